"""Sizes and run times of tasks, corrected from usage reports.

A declared size is a hint. Each group of tasks keeps the ratio of what its tasks used
to what was declared, and new tasks of the group are reserved that much. A placed task
follows its own reports. Between two reports a task counts with its reservation, so a
worker never looks idle because its newest tasks did not report yet.
"""

import abc
import math

from sardinegauge.scheduling import capacity

# Usage of a task's first seconds says little about the rest of its run.
WARM_UP_MS = 5_000
# Time between two samples of one task for its group's ratio.
SAMPLE_MS = 10_000
# Declared sizes count as this many samples of ratio 1.
PRIOR_SAMPLES = 2.0
# Old samples fade, so that a group whose work changed is followed.
MAX_SAMPLES = 50.0
# Reserved above the usage seen, since usage is reported with a lag.
HEADROOM = 1.15
# A reservation changes only by at least these shares, and not more often than this.
SHRINK_BELOW = 0.75
GROW_ABOVE = 1.1
SHRINK_EVERY_MS = 20_000
GROW_EVERY_MS = 3_000
# Cores are reserved at mean plus one standard deviation over about this long: tasks
# share cores, so a reservation at the peak would leave a third of the cores idle.
# Memory can't be shared out later and is reserved at its peak.
MEAN_MS = 20_000
MIN_CORES = 0.125
MIN_MEMORY_MB = 16
MAX_GROUPS = 5_000
# A demand is never estimated above this share of the largest worker, else no worker
# could ever take it.
MAX_SHARE_OF_WORKER = 0.9


class Run:
    """What is known of one placed task from its reports; usage in cores and MB."""

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
        "square_cores",
        "started_ms",
        "taken_ms",
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
        self.taken_ms = -math.inf
        self.resized_ms = now_ms
        self.sampled_ms = now_ms
        self.cores = 0.0
        self.memory_mb = 0
        self.mean_cores = 0.0
        self.square_cores = 0.0
        self.peak_memory_mb = 0
        self.progress = 0.0

    @property
    def cores_now(self):
        """Return the used cores, or the reserved ones before the first report."""
        return self.reserved_cores if self.reported_ms is None else self.cores

    def take(self, now_ms, cores, memory_mb, progress):
        """Take one usage report of a running task."""
        if self.started_ms is None:
            self.started_ms = now_ms
        self.progress = progress
        if cores <= 0.0 and memory_mb <= 0:
            return
        if self.reported_ms is None:
            self.mean_cores, self.square_cores = cores, cores * cores
        else:
            weight = min(1.0, (now_ms - self.reported_ms) / MEAN_MS)
            self.mean_cores += weight * (cores - self.mean_cores)
            self.square_cores += weight * (cores * cores - self.square_cores)
        self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
        self.cores = cores
        self.memory_mb = memory_mb
        self.reported_ms = now_ms

    def usual_cores(self):
        """Return the mean use of cores plus one standard deviation."""
        spread = max(0.0, self.square_cores - self.mean_cores * self.mean_cores)
        return self.mean_cores + math.sqrt(spread)

    def remaining_s(self, now_ms, expected_s):
        """Return the run time left in seconds, from progress or else as expected."""
        if self.started_ms is None:
            return expected_s
        elapsed_s = (now_ms - self.started_ms) / 1000.0
        if self.progress > 0.02 and elapsed_s > 1.0:
            return elapsed_s * (1.0 - self.progress) / self.progress
        return max(0.0, expected_s - elapsed_s)


class Ratio:
    """Decayed mean and variance of used to declared, starting at 1."""

    __slots__ = ("mean", "samples", "square")

    def __init__(self):
        self.mean = 1.0
        self.square = 1.0
        self.samples = PRIOR_SAMPLES

    def add(self, value):
        """Take one sample."""
        self.samples = min(self.samples + 1.0, MAX_SAMPLES)
        weight = 1.0 / self.samples
        self.mean += weight * (value - self.mean)
        self.square += weight * (value * value - self.square)

    def upper(self):
        """Return the mean plus one standard deviation."""
        return self.mean + math.sqrt(max(0.0, self.square - self.mean * self.mean))


class Group:
    """Ratios of one group of tasks, and its largest memory ratio."""

    __slots__ = ("cores", "memory", "memory_peak", "run_time")

    def __init__(self):
        self.cores = Ratio()
        self.memory = Ratio()
        self.memory_peak = 0.0
        self.run_time = Ratio()


def group_of(task):
    """Return the key under which tasks share what is learned of them."""
    return (task.tenant, task.group or task.service or task.job)


class SizePolicy(abc.ABC):
    """Decides what to reserve for a task that is about to start."""

    @abc.abstractmethod
    def demand(self, sizes, task, largest):
        """Return the `capacity.Demand` to reserve; `largest` is the largest room."""


class DeclaredSizes(SizePolicy):
    """Baseline: what the operator declared."""

    def demand(self, sizes, task, largest):
        """Return the declared sizes."""
        return _demand(task, task.declared_cores, task.declared_memory_mb)


class LearnedSizes(SizePolicy):
    """Declared sizes times the ratio learned of the task's group."""

    def demand(self, sizes, task, largest):
        """Return the corrected sizes; a service never gets less than declared."""
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
        # The cap never cuts below what was declared and found possible.
        most_cores = max(largest[0] * MAX_SHARE_OF_WORKER, task.declared_cores)
        most_memory_mb = max(
            int(largest[1] * MAX_SHARE_OF_WORKER), task.declared_memory_mb
        )
        return _demand(task, min(cores, most_cores), min(memory_mb, most_memory_mb))


def _demand(task, cores, memory_mb):
    return capacity.Demand(
        cores=cores,
        memory_mb=memory_mb,
        accelerators=task.accelerators,
        connections=task.connections,
    )


def round_cores(cores):
    """Round up to sixteenths of a core, whose sums are exact in binary floats."""
    return max(MIN_CORES, math.ceil(cores * 16.0 - 1e-9) / 16.0)


def round_memory_mb(memory_mb):
    """Round up to 16 MB."""
    return max(MIN_MEMORY_MB, math.ceil(memory_mb / 16.0) * 16)


class Sizes:
    """What was learned of groups, and of tasks that outgrew their size.

    `floor_by_task` holds the size in cores and MB of each task that was moved because
    it outgrew its reservation; such a task is not moved for its size again.
    """

    __slots__ = ("floor_by_task", "group_by_key")

    def __init__(self):
        self.group_by_key = {}
        self.floor_by_task = {}

    def group(self, key):
        """Return the ratios of a group, new ones if it is unknown."""
        group = self.group_by_key.get(key)
        if group is None:
            if len(self.group_by_key) >= MAX_GROUPS:
                del self.group_by_key[next(iter(self.group_by_key))]
            group = self.group_by_key[key] = Group()
        return group

    def learn_usage(self, now_ms, run, throttle):
        """Take a sample of a running task's usage for its group, at times."""
        if run.reported_ms is None or now_ms - run.sampled_ms < SAMPLE_MS:
            return
        if run.started_ms is None or now_ms - run.started_ms < WARM_UP_MS:
            return
        run.sampled_ms = now_ms
        group = self.group(run.group)
        memory = run.memory_mb / max(run.declared_memory_mb, 1)
        group.memory.add(memory)
        group.memory_peak = max(group.memory_peak * 0.999, memory)
        # A throttled task uses less than it needs.
        if throttle >= 1.0:
            group.cores.add(run.cores / max(run.declared_cores, 1e-3))

    def learn_run_time(self, now_ms, run, declared_s):
        """Take the run time of a task that finished."""
        if run.started_ms is not None and declared_s > 0:
            elapsed_s = (now_ms - run.started_ms) / 1000.0
            self.group(run.group).run_time.add(elapsed_s / declared_s)

    def expected_s(self, task):
        """Return the whole run time of a task in seconds, as learned."""
        group = self.group_by_key.get(group_of(task))
        ratio = 1.0 if group is None else group.run_time.mean
        return task.run_time_s * ratio


def target(run, task, now_ms, throttle):
    """Return the cores and MB to reserve for a running task, or None to keep them."""
    if run.reported_ms is None or run.started_ms is None:
        return None
    since_ms = now_ms - run.resized_ms
    cores = run.usual_cores()
    memory_mb = run.peak_memory_mb * HEADROOM
    if not run.is_batch:
        cores = max(cores, task.declared_cores)
        memory_mb = max(memory_mb, task.declared_memory_mb)
    if throttle < 1.0:
        # A throttled task's usage is no evidence that it needs less.
        cores = max(cores, task.cores)
    cores = round_cores(cores)
    memory_mb = round_memory_mb(memory_mb)
    is_larger = cores > task.cores * GROW_ABOVE or run.memory_mb > task.memory_mb
    if is_larger and throttle >= 1.0 and since_ms >= GROW_EVERY_MS:
        return max(cores, task.cores), max(memory_mb, task.memory_mb)
    is_smaller = (
        cores < task.cores * SHRINK_BELOW or memory_mb < task.memory_mb * SHRINK_BELOW
    )
    is_warm = now_ms - run.started_ms >= SHRINK_EVERY_MS
    if is_smaller and is_warm and since_ms >= SHRINK_EVERY_MS:
        return min(cores, task.cores), min(memory_mb, task.memory_mb)
    return None
