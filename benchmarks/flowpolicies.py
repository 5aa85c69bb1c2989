"""Compares ordering and placement policies of workflows in virtual time.

    python -m benchmarks.flowpolicies --seeds 3

The load is that of a small site: short interactive workflows, and batch workflows with
a burst that exceeds the capacity. Each row is one policy over the same seeds. Run times
differ from their estimates. Best-effort tasks and latency-critical tasks are left out:
`benchmarks.hardload` has them, and the users' bench measures how they interfere.
"""

import argparse
import heapq
import itertools
import random
import statistics

from sardinegauge import commands
from sardinegauge.state import machine as machines
from sardinegauge.workflows import (
    ordering,
    placement,
    planner,
    queues,
    scheduler,
    schedulerevents,
    schedulerstate,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module

WORKER_COUNT = 11
WORKER_CAPACITY = {"cpu_millis": 16_000, "memory_mb": 62_500, "accelerators": 0}
STEP_MS = 20
ARRIVAL_PERIOD_MS = 60_000
# Time after the last arrival in which open workflows may complete.
COMPLETION_PERIOD_MS = 60_000
BURST_WINDOW_MS = (15_000, 25_000)
# Arrival rate of workflows by queue; the burst multiplies the rate of batch.
INTERACTIVE_PER_S = 3.5
BATCH_PER_S = 1.0
BURST_FACTOR = 5.0
# Credit of a workflow that ends late, but within three times its span
# (`ordering.EXPIRY_SPANS`); one that ends within its span earns 1.
LATE_CREDIT = 0.15
ORDERINGS = {
    "by arrival": ordering.ByArrival,
    "by deadline": ordering.ByDeadline,
    "by rest": ordering.ByRemainingWork,
    "by worth (chosen)": ordering.ByWorthPerWork,
}
PLACEMENTS = {
    "first fit": placement.FirstFit,
    "sorted (chosen)": placement.SeparatingPlacement,
}
QUEUES = (
    queues.Queue(
        name="interactive",
        host="h",
        prefix="/i/",
        pool="p",
        stretch=1.5,
        objective_ms=250,
        timeout_ms=3000,
    ),
    queues.Queue(
        name="batch",
        host="h",
        prefix="/b/",
        pool="p",
        priority=2,
        stretch=2.0,
        objective_ms=1000,
        timeout_ms=3000,
    ),
)


class Simulation:
    """A leader, and workers that end each run after its actual run time."""

    def __init__(self, seed, ordering_class, placement_class):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        self.start_ms = self.now_ms
        self.index = 0
        self.sequence = itertools.count(1)
        self.pending_ends = []
        self.end_count_by_worker = dict.fromkeys(range(WORKER_COUNT), 0)
        self.machine = machines.Machine()
        packed = queues.pack(QUEUES, [queues.Pool(name="p")])
        self.state = schedulerstate.State(self.machine)
        self.state.planner = planner.Planner(ordering_class(), placement_class())
        self.commit(commands.SetQueues(version=1, packed=packed))
        for number in range(WORKER_COUNT):
            self.send_report(number)

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                self.commit(effect.command)

    def handle_event(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        self.apply_effects(scheduler.reduce(self.state, event))

    def commit(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        answer = machines.apply(self.machine, self.index, command)
        if isinstance(command, commands.AssignRuns):
            for task, run, worker, _ in command.rows:
                self.start_run(task, run, worker)
        self.handle_event(
            schedulerevents.CommandApplied,
            index=self.index,
            command=command,
            answer=answer,
        )

    def start_run(self, task, run, worker):
        _, _, task_record = self.machine.workflows.find_task(task)
        true_ms = task_record.step.estimate_ms * self.random.uniform(0.6, 1.4)
        entry = (self.now_ms + true_ms, next(self.sequence), task, run, worker)
        heapq.heappush(self.pending_ends, entry)

    def send_report(self, number, ends=()):
        worker = f"w{number}"
        runs = [
            [*key, views.ACTIVE, "", 50, 0, "", 100, 1000]
            for key in self.machine.workflows.runs_of(worker, 1)
            if key not in {(row[1], row[2]) for row in ends}
        ]
        report = views.Report(
            agent=f"a{number}",
            worker=worker,
            life=1,
            pool="p",
            is_fenced=True,
            runs=runs,
            ends=ends,
            **WORKER_CAPACITY,
        )
        self.handle_event(schedulerevents.ReportReceived, report=report)

    def submit(self, queue, count, steps, cpu_millis, estimate_ms):
        declared = [
            steps_module.Step(
                count=count,
                cpu_millis=cpu_millis,
                memory_mb=100,
                estimate_ms=estimate_ms,
                after=[number - 1] if number else [],
            ).to_sparse_dict()
            for number in range(steps)
        ]
        self.commit(
            commands.SubmitWorkflow(
                id=f"{queue[0]}{next(self.sequence)}",
                queue=queue,
                payload="",
                steps=declared,
            )
        )

    def submit_arrivals(self):
        at_ms = self.now_ms - self.start_ms
        if at_ms >= ARRIVAL_PERIOD_MS:
            return
        is_burst = BURST_WINDOW_MS[0] <= at_ms < BURST_WINDOW_MS[1]
        rng = self.random
        if rng.random() < INTERACTIVE_PER_S * STEP_MS / 1000:
            estimate_ms = int(rng.uniform(300, 1600))
            self.submit("interactive", rng.randint(1, 8), 2, 240, estimate_ms)
        batch_per_s = BATCH_PER_S * (BURST_FACTOR if is_burst else 1.0)
        if rng.random() < batch_per_s * STEP_MS / 1000:
            estimate_ms = int(rng.uniform(1000, 4000))
            self.submit("batch", rng.randint(2, 14), 2, 1800, estimate_ms)

    def finish_due_runs(self):
        by_worker = {}
        while self.pending_ends and self.pending_ends[0][0] <= self.now_ms:
            _, _, task, run, worker = heapq.heappop(self.pending_ends)
            number = int(worker[1:])
            self.end_count_by_worker[number] += 1
            row = [self.end_count_by_worker[number], task, run, store.DONE, ""]
            by_worker.setdefault(number, []).append(row)
        for number, rows in by_worker.items():
            self.send_report(number, rows)
        for number in by_worker:
            self.send_report(number)

    def run_load(self):
        """Simulate the load; return earned credit and number of workflows by queue."""
        while self.now_ms < self.start_ms + ARRIVAL_PERIOD_MS + COMPLETION_PERIOD_MS:
            self.now_ms += STEP_MS
            self.submit_arrivals()
            self.finish_due_runs()
            for view in self.state.view_by_id.values():
                view.received_ms = self.now_ms
            self.apply_effects(scheduler.plan(self.state, self.now_ms))
        credit_by_queue = {}
        for item in self.machine.workflows.workflow_by_id.values():
            earned, workflow_count = credit_by_queue.get(item.queue, (0.0, 0))
            credit_by_queue[item.queue] = (
                earned + _earned_credit(self, item),
                workflow_count + 1,
            )
        return credit_by_queue


def _earned_credit(simulation, item):
    if item.state != "completed":
        return 0.0
    queue = simulation.machine.workflows.queue_of(item)
    span_ms = queue.stretch * ordering.critical_path_ms(item.steps) + queue.objective_ms
    elapsed_ms = item.ended_at_ms - item.accepted_at_ms
    if elapsed_ms <= span_ms:
        return 1.0
    return LATE_CREDIT if elapsed_ms <= ordering.EXPIRY_SPANS * span_ms else 0.0


def compare(seeds):
    """Return rows of policy name and mean share of credit by queue, in percent."""
    rows = []
    for name, ordering_class in ORDERINGS.items():
        rows.append(
            (
                f"order {name}",
                _mean_credit(seeds, ordering_class, placement.SeparatingPlacement),
            )
        )
    for name, placement_class in PLACEMENTS.items():
        rows.append(
            (
                f"place {name}",
                _mean_credit(seeds, ordering.ByRemainingWork, placement_class),
            )
        )
    return rows


def _mean_credit(seeds, ordering_class, placement_class):
    shares = {queue.name: [] for queue in QUEUES}
    for seed in range(seeds):
        for queue, (earned, workflow_count) in (
            Simulation(seed, ordering_class, placement_class).run_load().items()
        ):
            shares[queue].append(100 * earned / workflow_count)
    return {queue: statistics.fmean(values) for queue, values in shares.items()}


def main():
    """Print a table of all policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print(f"{'policy':<28}{'interactive':>14}{'batch':>10}   % of credit")
    for name, shares in compare(arguments.seeds):
        print(f"{name:<28}{shares['interactive']:>14.1f}{shares['batch']:>10.1f}")


if __name__ == "__main__":
    main()
