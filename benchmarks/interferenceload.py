"""Emulates workers whose best-effort tasks interfere with latency-critical tasks.

    python -m benchmarks.interferenceload --seeds 8

The leader's own reducer, planner, interference model and CPU caps run in virtual time
against emulated workers. The load of a latency-critical task swings, with a phase for
each workflow, and rises for a moment now and then. Its pressure is its load plus, for
each best-effort task on its worker, the used cores times a coefficient of the pair of
images. Images are sensitive to one shared resource, and most best-effort images use one
of them heavily, so that most pairs hardly interfere. Reports, commits, orders and CPU
caps take effect with delays. Each seed is played with each variant, so that differences
are paired. The load is that of `docs/hard-load.md` without quick tasks.
"""

import argparse
import heapq
import itertools
import json
import math
import multiprocessing
import random
import statistics

from benchmarks import flowpolicies
from sardinegauge import commands
from sardinegauge.state import machine as machines
from sardinegauge.workflows import (
    interference,
    ordering,
    orders,
    queues,
    scheduler,
    schedulerevents,
    schedulerstate,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module

STEP_MS = 50
TICK_MS = 100
REPORT_MS = 300
# Latency-critical tasks start this long before the first best-effort workflow.
LEAD_MS = 12_000
ARRIVAL_PERIOD_MS = 34_000
COMPLETION_PERIOD_MS = 16_000
BURST_MS = (14_000, 20_000)
BURST_FACTOR = 1.4
# Delays of a commit in the log, of a message to or from an agent, and of a CPU cap.
COMMIT_MS = 15
MESSAGE_MS = 15
CPU_CAP_MS = 100
STOP_MS = 200
RESTORE_MS = 600
# A latency covers this time.
LATENCY_WINDOW_MS = 500
MAX_PRESSURE = 0.98

TARGET_MS = 50
CRITICAL_MILLIS = 13_000
CRITICAL_MEMORY_MB = 26_000
CRITICAL_TASKS = 14
# Share of all cores that latency-critical tasks reserve, and their mean load with its
# swing.
CRITICAL_SHARE = 0.83
MEAN_LOAD = 0.45
SWING = 0.5
SWING_MS = 14_000
PEAK_PER_S = 0.07
PEAK_LOAD = 0.12
PEAK_MS = 1500
NOISE = 0.01
# A share of latency-critical workflows is spread over workers.
SPREAD_SHARE = 0.5
SPREAD_LIMIT = 2
CRITICAL_IMAGES = 7
# Relative numbers of latency-critical workflows by image.
IMAGE_WEIGHTS = (7, 3, 3, 2, 2, 1, 1)
BEST_EFFORT_IMAGES = 18
RESOURCES = 3
HEAVY_SHARE = 0.6
HEAVY_COEFFICIENT = (0.12, 0.38)
LIGHT_COEFFICIENT = (0.0, 0.03)
# Coefficients change by this share within seconds.
COEFFICIENT_SWING = 0.3
COEFFICIENT_SWING_MS = 4_000
# Share of its declared cores that a best-effort task uses.
USED_SHARE = (0.7, 1.0)
# Best-effort workflows that are submitted before all others.
EARLY_WORKFLOWS = 5
EARLY_MS = 4_000
BEST_EFFORT_PER_S = 1.25
# Some steps take much longer than declared.
LONG_SHARE = 0.05
LONG_FACTOR = 4.0
MEMORY_MB_PER_CORE = 3900
QUEUES = (
    queues.Queue(
        name="best-effort",
        host="h",
        prefix="/b/",
        pool="p",
        priority=2,
        stretch=2.0,
        objective_ms=1000,
        timeout_ms=3000,
        max_attempts=9,
    ),
    queues.Queue(name="critical", host="h", prefix="/c/", pool="p", timeout_ms=3000),
)


class CriticalWorkflow:
    """The load of the tasks of one latency-critical workflow over time."""

    __slots__ = ("image", "phase", "resource")

    def __init__(self, image, resource, phase):
        self.image = image
        self.resource = resource
        self.phase = phase

    def load(self, now_ms):
        """Return the load, between 0 and 1, without peaks."""
        angle = 2 * math.pi * (now_ms / SWING_MS + self.phase)
        return MEAN_LOAD * (1 + SWING * math.sin(angle))


class CriticalRun:
    """A latency-critical run; `pressures` are those of the last window."""

    __slots__ = ("peak_until_ms", "pressures", "workflow")

    def __init__(self, workflow):
        self.workflow = workflow
        self.peak_until_ms = 0
        self.pressures = []


class BestEffortRun:
    """A best-effort run; `left_ms` is its remaining time at full speed."""

    __slots__ = (
        "begins_ms",
        "cpu_cap",
        "image",
        "left_ms",
        "length_ms",
        "since_ms",
        "usage_millis",
        "cpu_millis",
    )

    def __init__(self, step, left_ms, length_ms, cpu_cap, now_ms, begins_ms):
        self.image = step.image
        self.cpu_millis = step.cpu_millis
        self.left_ms = left_ms
        self.length_ms = length_ms
        self.cpu_cap = cpu_cap
        self.since_ms = now_ms
        self.begins_ms = begins_ms
        self.usage_millis = 0.0


class Worker:
    """An emulated worker with its agent."""

    __slots__ = (
        "best_effort_by_key",
        "cores",
        "critical_by_key",
        "end_count",
        "ends",
        "id",
        "is_registered",
    )

    def __init__(self, number, cores):
        self.id = f"w{number}"
        self.cores = cores
        self.is_registered = False
        self.critical_by_key = {}
        self.best_effort_by_key = {}
        self.ends = []
        self.end_count = 0

    def is_known(self, key):
        """Return whether a run is active or has ended here."""
        return (
            key in self.critical_by_key
            or key in self.best_effort_by_key
            or any((row[1], row[2]) == key for row in self.ends)
        )

    def end(self, key, how, checkpoint=""):
        """Record the end of a run."""
        self.end_count += 1
        self.ends.append([self.end_count, *key, how, checkpoint])


class Outcome:
    """What callers got in one simulation.

    `worth` is the earned share of the worth of best-effort workflows, `in_time` the
    share of them that ended in time. `over_target_s` is the time for which
    latency-critical tasks were over their target, `over_share` its share of all their
    time. `paused_share` is the share of the time of best-effort runs with a CPU cap of
    0, `mean_cap` their mean cap in percent, `cap_orders` the number of changed caps,
    and `stopped` that of stopped runs.
    """

    __slots__ = (
        "cap_orders",
        "in_time",
        "mean_cap",
        "over_share",
        "over_target_s",
        "paused_share",
        "stopped",
        "worth",
    )


class Simulation:
    """A leader and workers in virtual time."""

    def __init__(self, seed, worker_count=30):
        self.random = random.Random(seed)
        self.noise = random.Random(seed + 1)
        self.now_ms = self.start_ms = 1_000_000
        self.index = 0
        self.events = []
        self.numbers = itertools.count()
        self.commit_due_ms = 0
        self.true_ms_by_task = {}
        self.span_by_workflow = {}
        self.work_by_workflow = {}
        self.critical_by_workflow = {}
        self.over_ms = self.critical_ms = 0
        self.paused_ms = self.active_ms = self.capped_ms = 0
        self.cap_orders = self.stopped = 0
        self.machine = machines.Machine()
        self.state = schedulerstate.State(self.machine)
        packed = queues.pack(QUEUES, [queues.Pool(name="p")])
        self.commit(commands.SetQueues(version=1, packed=packed))
        self.handle(schedulerevents.LeadershipGained, wall_ms=self.now_ms, term=1)
        self.workers = [
            Worker(number, 96 if number % 3 == 2 else 64)
            for number in range(worker_count)
        ]
        self.worker_by_id = {worker.id: worker for worker in self.workers}
        self.draw_images()
        self.used_share_by_image = {
            image: self.random.uniform(*USED_SHARE) for image in self.best_effort_images
        }
        for worker in self.workers:
            # Workers register one after the other.
            delay_ms = int(self.random.uniform(0, 3000))
            self.schedule(delay_ms, lambda found=worker: self.register(found))
        self.submit_critical()
        for number in range(round(EARLY_WORKFLOWS * worker_count / 50)):
            self.schedule(EARLY_MS + 100 * number, self.submit_best_effort)
        self.arrivals_per_s = BEST_EFFORT_PER_S * worker_count / 50

    def draw_images(self):
        """Draw the images' resources and the coefficients of their pairs."""
        rng = self.random
        self.critical_images = [
            (f"c{number}", rng.randrange(RESOURCES))
            for number in range(CRITICAL_IMAGES)
        ]
        self.best_effort_images = [f"b{number}" for number in range(BEST_EFFORT_IMAGES)]
        self.coefficient_by_pair = {}
        for image in self.best_effort_images:
            is_heavy = rng.random() < HEAVY_SHARE
            pressed = rng.randrange(RESOURCES)
            for critical, resource in self.critical_images:
                limits = LIGHT_COEFFICIENT
                if is_heavy and resource == pressed:
                    limits = HEAVY_COEFFICIENT
                self.coefficient_by_pair[critical, image] = (
                    rng.uniform(*limits),
                    rng.random(),
                )

    # The leader.

    def schedule(self, delay_ms, action):
        entry = (self.now_ms + delay_ms, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def handle(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        self.apply_effects(scheduler.reduce(self.state, event))

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                command = effect.command
                self.schedule(COMMIT_MS, lambda c=command: self.commit(c))
            elif isinstance(effect, schedulerevents.Push):
                self.push(effect.worker)

    def commit(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        answer = machines.apply(self.machine, self.index, command)
        self.handle(
            schedulerevents.CommandApplied,
            index=self.index,
            command=command,
            answer=answer,
        )

    def push(self, worker_id):
        body = json.loads(orders.encode(self.state, worker_id, 1))
        worker = self.worker_by_id[worker_id]
        self.schedule(MESSAGE_MS, lambda: self.execute(worker, body))

    # Workers and their agents.

    def execute(self, worker, body):
        seen_end = body["seen_end"]
        worker.ends = [row for row in worker.ends if row[0] > seen_end]
        for task, run, _, checkpoint, _, cpu_cap in body["starts"]:
            if not worker.is_known((task, run)):
                self.start(worker, (task, run), checkpoint, cpu_cap)
        for task, run in body["stops"]:
            self.schedule(STOP_MS, lambda key=(task, run): self.stop(worker, key))
        for task, run, percent in body["paces"]:
            self.set_cap(worker, (task, run), percent)

    def start(self, worker, key, checkpoint, cpu_cap):
        workflow_id = key[0].partition(".")[0]
        critical = self.critical_by_workflow.get(workflow_id)
        if critical is not None:
            worker.critical_by_key[key] = CriticalRun(critical)
            return
        _, _, task = self.machine.workflows.find_task(key[0])
        length_ms = self.true_ms_by_task[key[0]]
        left_ms = float(checkpoint) if checkpoint else length_ms
        begins_ms = self.now_ms + (RESTORE_MS if checkpoint else 0)
        # A start does not carry a cap; the agent sets it once the run is active.
        worker.best_effort_by_key[key] = BestEffortRun(
            task.step, left_ms, length_ms, 100, self.now_ms, begins_ms
        )
        if cpu_cap != 100:
            self.set_cap(worker, key, cpu_cap)
        self.report(worker)

    def stop(self, worker, key):
        run = worker.best_effort_by_key.pop(key, None)
        if run is not None:
            self.stopped += 1
            checkpoint = f"{run.left_ms:.0f}" if run.left_ms < run.length_ms else ""
            worker.end(key, store.STOPPED, checkpoint)
            self.report(worker)

    def set_cap(self, worker, key, percent):
        if key in worker.best_effort_by_key:
            self.cap_orders += 1
            self.schedule(CPU_CAP_MS, lambda: self.apply_cap(worker, key, percent))

    def apply_cap(self, worker, key, percent):
        run = worker.best_effort_by_key.get(key)
        if run is not None:
            run.cpu_cap = percent

    def register(self, worker):
        worker.is_registered = True
        self.report(worker)

    def report(self, worker):
        if not worker.is_registered:
            return
        rows = []
        for key, run in worker.critical_by_key.items():
            latency_ms = self.latency_ms(run)
            rows.append([*key, views.ACTIVE, "", 100, latency_ms, "", 100, 5000])
        for key, run in worker.best_effort_by_key.items():
            progress = int(100 * (1 - run.left_ms / run.length_ms))
            row = [*key, views.ACTIVE, "", progress, int(run.usage_millis), ""]
            rows.append([*row, run.cpu_cap, self.now_ms - run.since_ms])
        report = views.Report(
            agent=f"a{worker.id}",
            worker=worker.id,
            life=1,
            pool="p",
            is_fenced=True,
            cpu_millis=1000 * worker.cores,
            memory_mb=MEMORY_MB_PER_CORE * worker.cores,
            sent_ms=self.now_ms,
            runs=rows,
            ends=[list(row) for row in worker.ends],
        )
        self.schedule(MESSAGE_MS, lambda: self.deliver(worker, report))

    def deliver(self, worker, report):
        self.handle(schedulerevents.ReportReceived, report=report)
        # The answer to a report carries the current orders.
        self.push(worker.id)

    def latency_ms(self, run):
        if not run.pressures:
            return 0
        pressure = statistics.fmean(run.pressures)
        idle_ms = TARGET_MS / interference.IDLE_LATENCY_RATIO
        return round(idle_ms / (1 - min(pressure, MAX_PRESSURE)))

    def advance(self, worker):
        """Let the runs of a worker progress for one step."""
        self.use_cores(worker)
        usage_by_image = {}
        unit_millis = 1000 * worker.cores * interference.USAGE_UNIT_SHARE
        for run in worker.best_effort_by_key.values():
            usage = run.usage_millis / unit_millis
            usage_by_image[run.image] = usage_by_image.get(run.image, 0.0) + usage
        for run in worker.critical_by_key.values():
            self.advance_critical(run, usage_by_image)
        ended = [
            key for key, run in worker.best_effort_by_key.items() if run.left_ms <= 0
        ]
        for key in ended:
            del worker.best_effort_by_key[key]
            worker.end(key, store.DONE)
        if ended:
            self.report(worker)

    def use_cores(self, worker):
        busy_millis = sum(
            CRITICAL_MILLIS * run.workflow.load(self.now_ms)
            for run in worker.critical_by_key.values()
        )
        left_millis = max(1000 * worker.cores - busy_millis, 1000)
        runs = worker.best_effort_by_key.values()
        wanted = sum(run.cpu_millis * run.cpu_cap / 100 for run in runs)
        share = min(left_millis / wanted, 1.0) if wanted else 1.0
        for run in runs:
            is_begun = self.now_ms >= run.begins_ms
            used_share = is_begun * share * run.cpu_cap / 100
            used_millis = self.used_share_by_image[run.image] * run.cpu_millis
            run.usage_millis = used_millis * used_share
            run.left_ms -= STEP_MS * used_share
            self.active_ms += STEP_MS
            self.capped_ms += STEP_MS * run.cpu_cap / 100
            self.paused_ms += STEP_MS * (not run.cpu_cap)

    def advance_critical(self, run, usage_by_image):
        image = run.workflow.image
        pressure = run.workflow.load(self.now_ms) + self.noise.gauss(0, NOISE)
        if self.noise.random() < PEAK_PER_S * STEP_MS / 1000:
            run.peak_until_ms = self.now_ms + PEAK_MS
        if self.now_ms < run.peak_until_ms:
            pressure += PEAK_LOAD
        for other, usage in usage_by_image.items():
            pressure += self.coefficient(image, other) * usage
        run.pressures.append(pressure)
        del run.pressures[: -LATENCY_WINDOW_MS // STEP_MS]
        if self.now_ms >= self.start_ms + LEAD_MS:
            self.critical_ms += STEP_MS
            self.over_ms += STEP_MS * (pressure > interference.TARGET_PRESSURE)

    def coefficient(self, critical, best_effort):
        """Return the current pressure of a pair of images for one unit of usage."""
        mean, phase = self.coefficient_by_pair[critical, best_effort]
        angle = 2 * math.pi * (self.now_ms / COEFFICIENT_SWING_MS + phase)
        return mean * (1 + COEFFICIENT_SWING * math.sin(angle))

    # Load.

    def submit_critical(self):
        cores = sum(worker.cores for worker in self.workers)
        tasks = int(CRITICAL_SHARE * 1000 * cores / CRITICAL_MILLIS)
        rng = self.random
        for number in range(tasks // CRITICAL_TASKS):
            ((image, resource),) = rng.choices(self.critical_images, IMAGE_WEIGHTS)
            is_spread = rng.random() < SPREAD_SHARE
            step = steps_module.Step(
                count=CRITICAL_TASKS,
                cpu_millis=CRITICAL_MILLIS,
                memory_mb=CRITICAL_MEMORY_MB,
                is_persistent=True,
                image=image,
                target_ms=TARGET_MS,
                max_per_worker=SPREAD_LIMIT if is_spread else 0,
            )
            workflow_id = f"critical{number}"
            workflow = CriticalWorkflow(image, resource, rng.random())
            self.critical_by_workflow[workflow_id] = workflow
            # They arrive one after the other, before and after workers do.
            delay_ms = int(rng.uniform(0, 3000))
            self.schedule(
                delay_ms, lambda i=workflow_id, s=step: self.submit(i, "critical", [s])
            )

    def submit(self, workflow_id, queue, steps):
        command = commands.SubmitWorkflow(
            id=workflow_id,
            queue=queue,
            payload="",
            steps=[step.to_sparse_dict() for step in steps],
        )
        self.commit(command)

    def submit_arrivals(self):
        at_ms = self.now_ms - self.start_ms - LEAD_MS
        if not 0 <= at_ms < ARRIVAL_PERIOD_MS:
            return
        rate = self.arrivals_per_s
        if BURST_MS[0] <= at_ms < BURST_MS[1]:
            rate *= BURST_FACTOR
        if self.random.random() < rate * STEP_MS / 1000:
            self.submit_best_effort()

    def submit_best_effort(self):
        rng = self.random
        workflow_id = f"b{len(self.span_by_workflow)}"
        image = rng.choice(self.best_effort_images)
        steps, path_ms, work = [], 0, 0
        for position in range(rng.choice((1, 2, 2, 3))):
            mean_ms = 3800 * rng.lognormvariate(-0.12, 0.5)
            count = min(max(int(20 * rng.lognormvariate(-0.18, 0.6)), 1), 80)
            step = steps_module.Step(
                count=count,
                cpu_millis=min(int(7000 * rng.lognormvariate(0, 0.3)), 14_000),
                memory_mb=min(int(13_000 * rng.lognormvariate(0, 0.3)), 26_000),
                estimate_ms=max(int(mean_ms * (1 + rng.uniform(-0.5, 0.5))), 1),
                after=[position - 1] if position else [],
                is_checkpointing=rng.random() < 0.85,
                image=image,
                is_filler=True,
            )
            if rng.random() < LONG_SHARE:
                mean_ms *= LONG_FACTOR
            lengths = [mean_ms * rng.uniform(0.7, 1.3) for _ in range(count)]
            for number, length_ms in enumerate(lengths):
                task = f"{workflow_id}.0.{position}.{number}"
                self.true_ms_by_task[task] = length_ms
            steps.append(step)
            path_ms += max(lengths)
            work += sum(lengths) * step.cpu_millis
        queue = QUEUES[0]
        self.span_by_workflow[workflow_id] = (
            queue.stretch * path_ms + queue.objective_ms
        )
        self.work_by_workflow[workflow_id] = work
        self.submit(workflow_id, queue.name, steps)

    # The run and its outcome.

    def run_load(self):
        """Simulate the load; return the `Outcome`."""
        end_ms = self.start_ms + LEAD_MS + ARRIVAL_PERIOD_MS + COMPLETION_PERIOD_MS
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.submit_arrivals()
            for number, worker in enumerate(self.workers):
                self.advance(worker)
                if (self.now_ms + STEP_MS * number) % REPORT_MS == 0:
                    self.report(worker)
            if self.now_ms % TICK_MS == 0:
                self.handle(schedulerevents.Tick, wall_ms=self.now_ms)
            self.run_events()
        return self.outcome()

    def run_events(self):
        while self.events and self.events[0][0] <= self.now_ms:
            _, _, action = heapq.heappop(self.events)
            action()
            if self.state.is_plan_due:
                self.apply_effects(scheduler.plan(self.state, self.now_ms))

    def outcome(self):
        found = Outcome()
        workflows = [
            (self.machine.workflows.workflow_by_id[workflow_id], work)
            for workflow_id, work in self.work_by_workflow.items()
        ]
        mean_work = statistics.fmean([work for _, work in workflows] or [1])
        earned = owed = in_time = 0
        for workflow, work in workflows:
            worth = min(0.3 + 0.7 * work / mean_work, 4.0)
            credit = self.credit(workflow)
            owed += worth
            earned += worth * credit
            in_time += credit == 1.0
        found.worth = earned / owed if owed else 1.0
        found.in_time = in_time / max(len(workflows), 1)
        found.over_target_s = self.over_ms / 1000
        found.over_share = self.over_ms / max(self.critical_ms, 1)
        found.paused_share = self.paused_ms / max(self.active_ms, 1)
        found.mean_cap = self.capped_ms / max(self.active_ms, 1)
        found.cap_orders = self.cap_orders
        found.stopped = self.stopped
        return found

    def credit(self, workflow):
        """Return the share of its worth that a workflow earned."""
        if workflow.state != "completed":
            return 0.0
        span_ms = self.span_by_workflow[workflow.id]
        elapsed_ms = workflow.ended_at_ms - workflow.accepted_at_ms
        if elapsed_ms <= span_ms:
            return 1.0
        is_late = elapsed_ms <= ordering.EXPIRY_SPANS * span_ms
        return flowpolicies.LATE_CREDIT if is_late else 0.0


def play(case):
    """Return the outcome of a seed."""
    seed, worker_count = case
    return Simulation(seed, worker_count).run_load()


def main():
    """Print the outcome of each seed and their means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--workers", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    names = Outcome.__slots__
    print("seed".rjust(6) + "".join(name.rjust(15) for name in names))
    cases = [(seed, arguments.workers) for seed in range(arguments.seeds)]
    with multiprocessing.Pool(arguments.jobs) as pool:
        outcomes = pool.map(play, cases, 1)
    rows = [[getattr(found, name) for name in names] for found in outcomes]
    for (seed, _), row in zip(cases, rows):
        print(f"{seed:6d}" + "".join(f"{value:15.3f}" for value in row))
    means = [statistics.fmean(column) for column in zip(*rows)]
    print("  mean" + "".join(f"{value:15.3f}" for value in means))


if __name__ == "__main__":
    main()
