"""Emulates workers whose best-effort tasks interfere with latency-critical tasks.

    python -m benchmarks.interferenceload --seeds 8

The leader's own reducer, planner, interference model and CPU caps run in virtual time
against the workers of `emulatedworkers`. Reports, commits, orders and CPU caps take
effect with delays. A seed gives the same load each time, so that the outcomes of two
versions of the leader can be compared in pairs. The load is that of
`docs/hard-load.md` without quick tasks.
"""

import argparse
import heapq
import itertools
import json
import multiprocessing
import random
import statistics

from benchmarks import emulatedworkers, flowpolicies
from sardinegauge import commands
from sardinegauge.state import machine as machines
from sardinegauge.workflows import (
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

STEP_MS = emulatedworkers.STEP_MS
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
CRITICAL_MEMORY_MB = 26_000
CRITICAL_TASKS = 14
# Share of all cores that latency-critical tasks reserve.
CRITICAL_SHARE = 0.83
# A share of latency-critical workflows is spread over workers.
SPREAD_SHARE = 0.5
SPREAD_LIMIT = 2
# Relative numbers of latency-critical workflows by image.
IMAGE_WEIGHTS = (7, 3, 3, 2, 2, 1, 1)
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
        self.true_ms_by_task = {}
        self.span_by_workflow = {}
        self.work_by_workflow = {}
        self.critical_by_workflow = {}
        self.lead_meter = emulatedworkers.Meter()
        self.meter = emulatedworkers.Meter()
        self.cap_orders = self.stopped = 0
        self.machine = machines.Machine()
        self.state = schedulerstate.State(self.machine)
        packed = queues.pack(QUEUES, [queues.Pool(name="p")])
        self.commit(commands.SetQueues(version=1, packed=packed))
        self.handle(schedulerevents.LeadershipGained, wall_ms=self.now_ms, term=1)
        self.workers = [
            emulatedworkers.Worker(number, 96 if number % 3 == 2 else 64)
            for number in range(worker_count)
        ]
        self.worker_by_id = {worker.id: worker for worker in self.workers}
        self.images = emulatedworkers.Images(self.random)
        for worker in self.workers:
            # Workers register one after the other.
            delay_ms = int(self.random.uniform(0, 3000))
            self.schedule(delay_ms, lambda found=worker: self.register(found))
        self.submit_critical()
        for number in range(round(EARLY_WORKFLOWS * worker_count / 50)):
            self.schedule(EARLY_MS + 100 * number, self.submit_best_effort)
        self.arrivals_per_s = BEST_EFFORT_PER_S * worker_count / 50

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
        worker = self.worker_by_id[worker_id]
        incarnation = worker.incarnation
        body = json.loads(orders.encode(self.state, worker_id, incarnation).data)
        self.schedule(MESSAGE_MS, lambda: self.receive(worker, incarnation, body))

    # Workers and their agents.

    def receive(self, worker, incarnation, body):
        if worker.incarnation == incarnation:
            self.execute(worker, body)

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
            worker.critical_by_key[key] = emulatedworkers.CriticalRun(critical)
            return
        _, _, task = self.machine.workflows.find_task(key[0])
        length_ms = self.true_ms_by_task[key[0]]
        left_ms = float(checkpoint) if checkpoint else length_ms
        begins_ms = self.now_ms + (RESTORE_MS if checkpoint else 0)
        # A start does not carry a cap; the agent sets it once the run is active.
        worker.best_effort_by_key[key] = emulatedworkers.BestEffortRun(
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
        report = views.Report(
            agent=f"a{worker.id}",
            worker=worker.id,
            life=worker.incarnation,
            pool="p",
            is_fenced=True,
            cpu_millis=1000 * worker.cores,
            memory_mb=MEMORY_MB_PER_CORE * worker.cores,
            sent_ms=self.now_ms,
            runs=worker.run_rows(self.now_ms),
            ends=[list(row) for row in worker.ends],
        )
        self.schedule(MESSAGE_MS, lambda: self.deliver(worker, report))

    def deliver(self, worker, report):
        self.handle(schedulerevents.ReportReceived, report=report)
        # The answer to a report carries the current orders.
        self.push(worker.id)

    def advance(self, worker):
        is_lead = self.now_ms < self.start_ms + LEAD_MS
        meter = self.lead_meter if is_lead else self.meter
        if worker.advance(self.images, self.noise, meter, self.now_ms):
            self.report(worker)

    # Load.

    def submit_critical(self):
        cores = sum(worker.cores for worker in self.workers)
        tasks = int(CRITICAL_SHARE * 1000 * cores / emulatedworkers.CRITICAL_MILLIS)
        rng = self.random
        for number in range(tasks // CRITICAL_TASKS):
            ((image, resource),) = rng.choices(self.images.critical, IMAGE_WEIGHTS)
            is_spread = rng.random() < SPREAD_SHARE
            step = steps_module.Step(
                count=CRITICAL_TASKS,
                cpu_millis=emulatedworkers.CRITICAL_MILLIS,
                memory_mb=CRITICAL_MEMORY_MB,
                is_persistent=True,
                image=image,
                target_ms=emulatedworkers.TARGET_MS,
                max_per_worker=SPREAD_LIMIT if is_spread else 0,
            )
            workflow_id = f"critical{number}"
            workflow = emulatedworkers.CriticalWorkflow(image, resource, rng.random())
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
        image = rng.choice(self.images.best_effort)
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
        found.over_target_s = self.meter.over_ms / 1000
        found.over_share = self.meter.over_ms / max(self.meter.critical_ms, 1)
        found.paused_share = self.meter.paused_ms / max(self.meter.active_ms, 1)
        found.mean_cap = self.meter.capped_ms / max(self.meter.active_ms, 1)
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
