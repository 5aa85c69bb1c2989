"""Compares orderings and placements of workflows in virtual time.

    python -m benchmarks.flowpolicies --seeds 3

The load is that of a small site: short interactive workflows, and batch workflows that
come in a burst for which there is no room. Each row is one policy over the same seeds.
Run times differ from their estimates; best-effort and latency-critical tasks are left
out, since their interference is measured by the users' bench.
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

WORKERS = 11
WORKER = {"cpu_millis": 16_000, "memory_mb": 62_500, "accelerators": 0}
STEP_MS = 20
LENGTH_MS = 60_000
# After the last arrival, what is open may still end.
DRAIN_MS = 60_000
BURST_MS = (15_000, 25_000)
# Workflows a second of both queues, and how often batch comes in the burst.
INTERACTIVE_PER_S = 3.5
BATCH_PER_S = 1.0
BURST_FACTOR = 5.0
# A workflow that ends within three times its span still earns this share.
LATE_CREDIT = 0.15
ORDERINGS = {
    "by arrival": ordering.ByArrival,
    "by deadline": ordering.ByDeadline,
    "by rest (chosen)": ordering.ByRemainingWork,
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


class World:
    """One leader and workers that end runs after their true time."""

    def __init__(self, seed, order, place):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        self.begun_ms = self.now_ms
        self.index = 0
        self.numbers = itertools.count(1)
        self.ends = []
        self.end_numbers = dict.fromkeys(range(WORKERS), 0)
        self.machine = machines.Machine()
        packed = queues.pack(QUEUES, [queues.Pool(name="p")])
        self.state = schedulerstate.State(self.machine)
        self.state.planner = planner.Planner(order(), place())
        self.commit(commands.SetQueues(version=1, packed=packed))
        for number in range(WORKERS):
            self.report(number)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                self.commit(effect.command)

    def feed(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        self.take(scheduler.reduce(self.state, event))

    def commit(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        answer = machines.apply(self.machine, self.index, command)
        if isinstance(command, commands.AssignRuns):
            for task, run, worker, _ in command.rows:
                _, _, found = self.machine.workflows.find_task(task)
                true_ms = found.step.estimate_ms * self.random.uniform(0.6, 1.4)
                entry = (self.now_ms + true_ms, next(self.numbers), task, run, worker)
                heapq.heappush(self.ends, entry)
        self.feed(
            schedulerevents.CommandApplied,
            index=self.index,
            command=command,
            answer=answer,
        )

    def report(self, number, ends=()):
        worker = f"w{number}"
        runs = [
            [*key, views.ACTIVE, "", 50, 0, "", 100]
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
            **WORKER,
        )
        self.feed(schedulerevents.ReportReceived, report=report)

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
                id=f"{queue[0]}{next(self.numbers)}",
                queue=queue,
                payload="",
                steps=declared,
            )
        )

    def arrive(self):
        at_ms = self.now_ms - self.begun_ms
        if at_ms >= LENGTH_MS:
            return
        is_burst = BURST_MS[0] <= at_ms < BURST_MS[1]
        rand = self.random
        if rand.random() < INTERACTIVE_PER_S * STEP_MS / 1000:
            estimate_ms = int(rand.uniform(300, 1600))
            self.submit("interactive", rand.randint(1, 8), 2, 240, estimate_ms)
        batch_per_s = BATCH_PER_S * (BURST_FACTOR if is_burst else 1.0)
        if rand.random() < batch_per_s * STEP_MS / 1000:
            estimate_ms = int(rand.uniform(1000, 4000))
            self.submit("batch", rand.randint(2, 14), 2, 1800, estimate_ms)

    def end_runs(self):
        by_worker = {}
        while self.ends and self.ends[0][0] <= self.now_ms:
            _, _, task, run, worker = heapq.heappop(self.ends)
            number = int(worker[1:])
            self.end_numbers[number] += 1
            row = [self.end_numbers[number], task, run, store.DONE, ""]
            by_worker.setdefault(number, []).append(row)
        for number, rows in by_worker.items():
            self.report(number, rows)
        for number in by_worker:
            self.report(number)

    def play(self):
        """Play the whole load; return credit earned and owed by queue."""
        while self.now_ms < self.begun_ms + LENGTH_MS + DRAIN_MS:
            self.now_ms += STEP_MS
            self.arrive()
            self.end_runs()
            for view in self.state.view_by_id.values():
                view.received_ms = self.now_ms
            self.take(scheduler.plan(self.state, self.now_ms))
        credit = {}
        for item in self.machine.workflows.workflow_by_id.values():
            earned, owed = credit.get(item.queue, (0.0, 0))
            credit[item.queue] = (earned + _credit(self, item), owed + 1)
        return credit


def _credit(world, item):
    if item.state != "completed":
        return 0.0
    queue = world.machine.workflows.queue_of(item)
    span = queue.stretch * ordering.critical_path_ms(item.steps) + queue.objective_ms
    lasted = item.ended_at_ms - item.accepted_at_ms
    if lasted <= span:
        return 1.0
    return LATE_CREDIT if lasted <= ordering.EXPIRY_SPANS * span else 0.0


def compare(seeds):
    """Return rows of policy and the mean share of credit by queue, in percent."""
    rows = []
    for name, order in ORDERINGS.items():
        rows.append(
            (f"order {name}", _mean(seeds, order, placement.SeparatingPlacement))
        )
    for name, place in PLACEMENTS.items():
        rows.append((f"place {name}", _mean(seeds, ordering.ByRemainingWork, place)))
    return rows


def _mean(seeds, order, place):
    shares = {queue.name: [] for queue in QUEUES}
    for seed in range(seeds):
        for queue, (earned, owed) in World(seed, order, place).play().items():
            shares[queue].append(100 * earned / owed)
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
