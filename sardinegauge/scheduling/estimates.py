"""Estimates of the sizes and run times of tasks from usage reports.

A declared size is only a hint. For each group of tasks, the ratio of used to declared
resources is learned, and the reservation of a new task of the group is its declared
size times this ratio. The reservation of a running task follows its own reports. A task
counts with its reservation until its first report, so that a worker with new tasks does
not appear idle.
"""

import abc
import math

from sardinegauge.scheduling import capacity

# The usage in the first seconds of a task is not representative of the rest.
WARM_UP_MS = 5_000
# Time between two samples of one task for the ratios of its group.
SAMPLE_INTERVAL_MS = 10_000
# Weight of the declared sizes, as a number of samples with the ratio 1.
PRIOR_SAMPLES = 2.0
# Bound on the sample count of a ratio, which lets old samples decay, so that the ratio
# follows a group whose work changes.
MAX_SAMPLES = 50.0
# Factor of reserved memory over the peak usage, since usage is reported with a lag.
MEMORY_HEADROOM = 1.15
# A reservation shrinks or grows only if the new size is beyond these ratios to the old
# one, and at most once in these intervals.
SHRINK_BELOW = 0.75
GROW_ABOVE = 1.1
SHRINK_INTERVAL_MS = 20_000
GROW_INTERVAL_MS = 3_000
# Cores are reserved at the mean plus one standard deviation of the usage over about
# this time. Tasks share cores, so reservations of the peak would leave a third of the
# cores idle. Memory cannot be shared and is reserved at its peak.
MEAN_WINDOW_MS = 20_000
MIN_CORES = 0.125
MIN_MEMORY_MB = 16
MAX_GROUPS = 5_000
# Largest estimated demand as a share of the largest worker. A demand above the size of
# all workers could never be placed.
MAX_SHARE_OF_WORKER = 0.9


class Run:
    """Usage of one placed task from its reports, in cores and MB."""

    __slots__ = (
        "assigned_ms",
        "cores",
        "declared_cores",
        "declared_memory_mb",
        "epoch",
        "group",
        "is_batch",
        "has_succeeded",
        "mean_cores",
        "memory_mb",
        "peak_memory_mb",
        "progress",
        "reported_ms",
        "reserved_cores",
        "resized_ms",
        "sampled_ms",
        "mean_square_cores",
        "started_ms",
        "usage_processed_ms",
    )

    def __init__(self, task, now_ms):
        self.epoch = task.epoch
        self.group = group_of(task)
        self.is_batch = task.task_class != "latency_critical"
        self.declared_cores = task.declared_cores
        self.declared_memory_mb = task.declared_memory_mb
        self.reserved_cores = task.cores
        self.assigned_ms = now_ms
        self.started_ms = None
        self.reported_ms = None
        self.has_succeeded = False
        self.usage_processed_ms = -math.inf
        self.resized_ms = now_ms
        self.sampled_ms = now_ms
        self.cores = 0.0
        self.memory_mb = 0
        self.mean_cores = 0.0
        self.mean_square_cores = 0.0
        self.peak_memory_mb = 0
        self.progress = 0.0

    @property
    def current_cores(self):
        """Return the used cores, or the reserved cores before the first report."""
        return self.reserved_cores if self.reported_ms is None else self.cores

    def add_report(self, now_ms, cores, memory_mb, progress):
        """Update the usage from a report of the running task."""
        if self.started_ms is None:
            self.started_ms = now_ms
        self.progress = progress
        if cores <= 0.0 and memory_mb <= 0:
            return
        if self.reported_ms is None:
            self.mean_cores, self.mean_square_cores = cores, cores * cores
        else:
            weight = min(1.0, (now_ms - self.reported_ms) / MEAN_WINDOW_MS)
            self.mean_cores += weight * (cores - self.mean_cores)
            self.mean_square_cores += weight * (cores * cores - self.mean_square_cores)
        self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
        self.cores = cores
        self.memory_mb = memory_mb
        self.reported_ms = now_ms

    def typical_cores(self):
        """Return the mean use of cores plus one standard deviation."""
        variance = max(0.0, self.mean_square_cores - self.mean_cores * self.mean_cores)
        return self.mean_cores + math.sqrt(variance)

    def remaining_s(self, now_ms, expected_s):
        """Return the remaining run time in seconds.

        It follows from the reported progress, or else from the expected run time.
        """
        if self.started_ms is None:
            return expected_s
        elapsed_s = (now_ms - self.started_ms) / 1000.0
        if self.progress > 0.02 and elapsed_s > 1.0:
            return elapsed_s * (1.0 - self.progress) / self.progress
        return max(0.0, expected_s - elapsed_s)


class Ratio:
    """Decaying mean and mean square of the ratio of used to declared, initially 1."""

    __slots__ = ("mean", "samples", "mean_square")

    def __init__(self):
        self.mean = 1.0
        self.mean_square = 1.0
        self.samples = PRIOR_SAMPLES

    def add(self, value):
        """Add a sample."""
        self.samples = min(self.samples + 1.0, MAX_SAMPLES)
        weight = 1.0 / self.samples
        self.mean += weight * (value - self.mean)
        self.mean_square += weight * (value * value - self.mean_square)

    def upper(self):
        """Return the mean plus one standard deviation."""
        return self.mean + math.sqrt(max(0.0, self.mean_square - self.mean * self.mean))


class Group:
    """Ratios of one group of tasks, and the decaying peak of its memory ratio."""

    __slots__ = ("cores", "memory", "memory_peak", "run_time")

    def __init__(self):
        self.cores = Ratio()
        self.memory = Ratio()
        self.memory_peak = 0.0
        self.run_time = Ratio()


def group_of(task):
    """Return the key of a task's group, whose tasks share learned ratios."""
    return (task.tenant, task.group or task.service or task.job)


class SizePolicy(abc.ABC):
    """Decides what to reserve for a task that is about to start."""

    @abc.abstractmethod
    def demand(self, sizes, task, largest):
        """Return the `capacity.Demand` to reserve.

        `largest` has the cores and MB of the largest worker.
        """


class DeclaredSizes(SizePolicy):
    """Baseline: reserves the declared sizes."""

    def demand(self, sizes, task, largest):
        """Return the declared sizes."""
        return _demand(task, task.declared_cores, task.declared_memory_mb)


class LearnedSizes(SizePolicy):
    """Reserves the declared sizes times the learned ratios of the task's group."""

    def demand(self, sizes, task, largest):
        """Return the corrected sizes; for services, at least the declared sizes."""
        cores, memory_mb = task.declared_cores, task.declared_memory_mb
        group = sizes.group_by_key.get(group_of(task))
        if group is not None:
            memory_ratio = max(group.memory.upper(), group.memory_peak)
            cores = round_cores(cores * group.cores.upper())
            memory_mb = round_memory_mb(memory_mb * memory_ratio)
        floor_cores, floor_memory_mb = sizes.floor_by_task.get(task.id, (0.0, 0))
        cores, memory_mb = max(cores, floor_cores), max(memory_mb, floor_memory_mb)
        if task.task_class == "latency_critical":
            cores = max(cores, task.declared_cores)
            memory_mb = max(memory_mb, task.declared_memory_mb)
        # The cap never cuts below the declared size, which is known to fit.
        largest_cores, largest_memory_mb = largest
        max_cores = max(largest_cores * MAX_SHARE_OF_WORKER, task.declared_cores)
        max_memory_mb = max(
            int(largest_memory_mb * MAX_SHARE_OF_WORKER), task.declared_memory_mb
        )
        return _demand(task, min(cores, max_cores), min(memory_mb, max_memory_mb))


def _demand(task, cores, memory_mb):
    return capacity.Demand(
        cores=cores,
        memory_mb=memory_mb,
        accelerators=task.accelerators,
        connections=task.connections,
    )


def round_cores(cores):
    """Round up to a multiple of 1/16 core; sums of these are exact in binary floats."""
    return max(MIN_CORES, math.ceil(cores * 16.0 - 1e-9) / 16.0)


def round_memory_mb(memory_mb):
    """Round up to a multiple of 16 MB."""
    return max(MIN_MEMORY_MB, math.ceil(memory_mb / 16.0) * 16)


class Sizes:
    """Learned ratios by group, and the least sizes of tasks that outgrew theirs.

    `floor_by_task` has the least reservation, in cores and MB, of each task that was
    evicted because it outgrew its reservation. Such a task is not evicted for its size
    again.
    """

    __slots__ = ("floor_by_task", "group_by_key")

    def __init__(self):
        self.group_by_key = {}
        self.floor_by_task = {}

    def group(self, key):
        """Return the ratios of a group, new ones if the group is unknown."""
        group = self.group_by_key.get(key)
        if group is None:
            if len(self.group_by_key) >= MAX_GROUPS:
                del self.group_by_key[next(iter(self.group_by_key))]
            group = self.group_by_key[key] = Group()
        return group

    def learn_usage(self, now_ms, run, throttle):
        """Add a sample of a task's usage to the ratios of its group, if one is due."""
        if run.reported_ms is None or now_ms - run.sampled_ms < SAMPLE_INTERVAL_MS:
            return
        if run.started_ms is None or now_ms - run.started_ms < WARM_UP_MS:
            return
        run.sampled_ms = now_ms
        group = self.group(run.group)
        memory_ratio = run.memory_mb / max(run.declared_memory_mb, 1)
        group.memory.add(memory_ratio)
        group.memory_peak = max(group.memory_peak * 0.999, memory_ratio)
        # A throttled task uses fewer cores than it needs.
        if throttle >= 1.0:
            group.cores.add(run.cores / max(run.declared_cores, 1e-3))

    def learn_run_time(self, now_ms, run, declared_s):
        """Add the run time of a finished task to the ratio of its group."""
        if run.started_ms is not None and declared_s > 0:
            elapsed_s = (now_ms - run.started_ms) / 1000.0
            self.group(run.group).run_time.add(elapsed_s / declared_s)

    def expected_s(self, task):
        """Return the expected total run time of a task in seconds."""
        group = self.group_by_key.get(group_of(task))
        ratio = 1.0 if group is None else group.run_time.mean
        return task.run_time_s * ratio


def target_reservation(run, task, now_ms, throttle):
    """Return the cores and MB to reserve for a running task, or None for no change."""
    if run.reported_ms is None or run.started_ms is None:
        return None
    since_ms = now_ms - run.resized_ms
    cores = run.typical_cores()
    memory_mb = run.peak_memory_mb * MEMORY_HEADROOM
    if not run.is_batch:
        cores = max(cores, task.declared_cores)
        memory_mb = max(memory_mb, task.declared_memory_mb)
    if throttle < 1.0:
        # The usage of a throttled task does not show that it needs fewer cores.
        cores = max(cores, task.cores)
    cores = round_cores(cores)
    memory_mb = round_memory_mb(memory_mb)
    is_larger = cores > task.cores * GROW_ABOVE or run.memory_mb > task.memory_mb
    if is_larger and throttle >= 1.0 and since_ms >= GROW_INTERVAL_MS:
        return max(cores, task.cores), max(memory_mb, task.memory_mb)
    is_smaller = (
        cores < task.cores * SHRINK_BELOW or memory_mb < task.memory_mb * SHRINK_BELOW
    )
    is_warm = now_ms - run.started_ms >= SHRINK_INTERVAL_MS
    if is_smaller and is_warm and since_ms >= SHRINK_INTERVAL_MS:
        return min(cores, task.cores), min(memory_mb, task.memory_mb)
    return None
