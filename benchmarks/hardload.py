"""Compares orderings of workflows under hard load in virtual time.

    python -m benchmarks.hardload --seeds 6

The load is that of `docs/hard-load.md` at a smaller scale. Quick tasks reserve cores.
Best-effort tasks reserve memory only, and all of them on a worker share what the
latency-critical and the quick tasks leave: in proportion, or in the order of the
workflows. Workers are uneven, bursts last 5 s, and declared run times are wrong by up
to 90 percent. Callers are in three failure domains, one of which sends larger work. A
workflow is worth more the more cores and time it needs; it earns its worth in full, or
`flowpolicies.LATE_CREDIT` of it, or nothing. Interference is left out.
"""

import argparse
import itertools
import math
import multiprocessing
import random
import statistics

from benchmarks import flowpolicies
from sardinegauge import commands
from sardinegauge.state import machine as machines
from sardinegauge.workflows import (
    ordering,
    planner,
    queues,
    schedulerevents,
    schedulerstate,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module

STEP_MS = 20
REPORT_MS = 400
RANKING_MS = 100
ARRIVAL_PERIOD_MS = 90_000
COMPLETION_PERIOD_MS = 40_000
BURST_PERIOD_MS = 20_000
BURST_MS = 5_000
BURST_FACTOR = 2.6
# Cores by worker, and memory for each core.
WORKER_CORES = (64, 64, 96) * 4
MEMORY_MB_PER_CORE = 3900
# A latency-critical task's reservation and its average use, which swings by half.
CRITICAL_CORES = 13
CRITICAL_MEMORY_MB = 26_000
CRITICAL_SHARE = 0.83
CRITICAL_USE = 0.45
SWING_MS = 14_000
# Share of the left-over cores that best-effort tasks may use beside the targets of
# latency-critical tasks.
LEFT_OVER_SHARE = 0.75
QUICK_PER_S = 1.2
BEST_EFFORT_PER_S = 0.24
IMAGES = 4
MAX_ERROR = 0.9
MAX_WORTH = 4.0
# Share of workflows and factor of their sizes by the failure domain of the caller.
DOMAINS = {"d1": (0.5, 0.9), "d2": (0.3, 0.9), "d3": (0.2, 1.4)}
QUEUES = (
    queues.Queue(
        name="quick",
        host="h",
        prefix="/q/",
        pool="p",
        stretch=1.5,
        objective_ms=1000,
        timeout_ms=3000,
    ),
    queues.Queue(
        name="best-effort",
        host="h",
        prefix="/b/",
        pool="p",
        priority=2,
        stretch=2.0,
        objective_ms=4000,
        timeout_ms=3000,
    ),
    queues.Queue(name="critical", host="h", prefix="/c/", pool="p", timeout_ms=3000),
)
ORDERINGS = {
    "by arrival": lambda run_times: ordering.ByArrival(),
    "by deadline": lambda run_times: ordering.ByDeadline(),
    "by work, declared": lambda run_times: ordering.ByRemainingWork(),
    "by work, learned": ordering.ByRemainingWork,
    "by worth, declared": lambda run_times: ordering.ByWorthPerWork(),
    "by worth (chosen)": ordering.ByWorthPerWork,
}


class ActiveRun:
    """A run on a worker; `left_ms` is its remaining time at full speed."""

    __slots__ = (
        "cores",
        "is_filler",
        "left_ms",
        "length_ms",
        "load",
        "rank",
        "since_ms",
    )

    def __init__(self, step, length_ms, now_ms):
        self.is_filler = step.is_filler
        self.cores = step.cpu_millis / 1000
        self.length_ms = self.left_ms = length_ms
        self.since_ms = now_ms
        self.load = self.cores
        self.rank = ()


class HardLoad(flowpolicies.Simulation):
    """A leader and uneven workers under the load."""

    def __init__(self, seed, create_ordering, is_ordered, rate=1.0):
        self.rate = rate
        self.random = random.Random(seed)
        self.run_random = random.Random(seed)
        self.is_ordered = is_ordered
        self.now_ms = self.start_ms = 1_000_000
        self.index = 0
        self.runs_by_worker = [{} for _ in WORKER_CORES]
        self.end_count_by_worker = [0] * len(WORKER_CORES)
        # By workflow: real run times by step, core-milliseconds, domain.
        self.true_ms_by_workflow = {}
        self.work_by_workflow = {}
        self.domain_by_workflow = {}
        self.bias_by_image = {
            f"{queue.name}-{number}": self.random.uniform(-MAX_ERROR, MAX_ERROR)
            for queue in QUEUES
            for number in range(IMAGES)
        }
        self.machine = machines.Machine()
        packed = queues.pack(QUEUES, [queues.Pool(name="p")])
        self.state = schedulerstate.State(self.machine)
        self.state.planner = planner.Planner(create_ordering(self.state.run_times))
        self.commit(commands.SetQueues(version=1, packed=packed))
        for number in range(len(WORKER_CORES)):
            self.send_report(number)
        self.submit_critical()

    def submit_critical(self):
        count = int(CRITICAL_SHARE * sum(WORKER_CORES) / CRITICAL_CORES)
        step = steps_module.Step(
            count=count,
            cpu_millis=1000 * CRITICAL_CORES,
            memory_mb=CRITICAL_MEMORY_MB,
            is_persistent=True,
        )
        self.commit_workflow("critical", "critical", [step], "")
        self.plan()

    def commit_workflow(self, workflow_id, queue, steps, domain):
        self.domain_by_workflow[workflow_id] = domain
        self.commit(
            commands.SubmitWorkflow(
                id=workflow_id,
                queue=queue,
                payload="",
                steps=[step.to_sparse_dict() for step in steps],
            )
        )

    def start_run(self, task, run, worker):
        workflow, _, record = self.machine.workflows.find_task(task)
        if record.step.is_persistent:
            return
        true_ms = self.true_ms_by_workflow[workflow.id][record.position]
        length_ms = true_ms * self.run_random.uniform(0.9, 1.1)
        active = ActiveRun(record.step, length_ms, self.now_ms)
        self.runs_by_worker[int(worker[1:])][task, run] = active

    def send_report(self, number, ends=()):
        worker = f"w{number}"
        rows = [
            [
                *key,
                views.ACTIVE,
                "",
                int(100 * (1 - run.left_ms / run.length_ms)),
                int(1000 * run.load),
                "",
                100,
                self.now_ms - run.since_ms,
            ]
            for key, run in self.runs_by_worker[number].items()
        ]
        for key, task in self.machine.workflows.runs_of(worker, 1).items():
            if task.step.is_persistent:
                rows.append([*key, views.ACTIVE, "", 100, 0, "", 100, 1000])
        cores = WORKER_CORES[number]
        report = views.Report(
            agent=f"a{number}",
            worker=worker,
            life=1,
            pool="p",
            is_fenced=True,
            cpu_millis=1000 * cores,
            memory_mb=MEMORY_MB_PER_CORE * cores,
            runs=rows,
            ends=ends,
        )
        self.handle_event(schedulerevents.ReportReceived, report=report)

    def submit_arrivals(self):
        at_ms = self.now_ms - self.start_ms
        if at_ms >= ARRIVAL_PERIOD_MS:
            return
        is_burst = at_ms % BURST_PERIOD_MS >= BURST_PERIOD_MS - BURST_MS
        rate = self.rate * BEST_EFFORT_PER_S * (BURST_FACTOR if is_burst else 1.0)
        rng = self.random
        if rng.random() < QUICK_PER_S * STEP_MS / 1000:
            sizes = (10, 1.2, 2400, 1700)
            self.submit("quick", rng.choice((1, 1, 2, 2, 2)), *sizes)
        if rng.random() < rate * STEP_MS / 1000:
            sizes = (20, 7.0, 13_000, 3800)
            self.submit("best-effort", rng.choice((1, 2, 3)), *sizes, is_filler=True)

    def submit(self, queue, step_count, count, cores, memory_mb, mean_ms, **fields):
        rng = self.random
        workflow_id = f"{queue}{len(self.domain_by_workflow)}"
        (domain,) = rng.choices(list(DOMAINS), [share for share, _ in DOMAINS.values()])
        image = f"{queue}-{rng.randrange(IMAGES)}"
        steps, lengths_ms, work = [], [], 0
        for number in range(step_count):
            length_ms = mean_ms * rng.lognormvariate(-0.18, 0.6)
            size = max(int(count * DOMAINS[domain][1] * rng.uniform(0.2, 1.8)), 1)
            step = steps_module.Step(
                count=size,
                cpu_millis=int(1000 * cores * rng.uniform(0.5, 1.5)),
                memory_mb=memory_mb,
                estimate_ms=max(int(self.declare(image, length_ms)), 1),
                after=[number - 1] if number else [],
                image=image,
                **fields,
            )
            steps.append(step)
            lengths_ms.append(length_ms)
            work += size * step.cpu_millis / 1000 * length_ms
        self.true_ms_by_workflow[workflow_id] = lengths_ms
        self.work_by_workflow[workflow_id] = work
        self.commit_workflow(workflow_id, queue, steps, domain)

    def declare(self, image, length_ms):
        """Return the declared run time: wrong by image, and by step."""
        step_error = self.random.uniform(-MAX_ERROR, MAX_ERROR)
        return length_ms * (1 + 0.5 * (self.bias_by_image[image] + step_error))

    def advance_runs(self):
        is_ranking_due = self.now_ms % RANKING_MS == 0
        for number, runs in enumerate(self.runs_by_worker):
            if not runs:
                continue
            if self.is_ordered and is_ranking_due:
                self.rank(runs)
            self.share_cores(number, runs)
            ended = [key for key, run in runs.items() if run.left_ms <= 0]
            rows = []
            for key in ended:
                del runs[key]
                self.end_count_by_worker[number] += 1
                rows.append([self.end_count_by_worker[number], *key, store.DONE, ""])
            if rows:
                self.send_report(number, rows)
                self.send_report(number)

    def rank(self, runs):
        for (task, _), run in runs.items():
            workflow, occurrence, _ = self.machine.workflows.find_task(task)
            queue = self.machine.workflows.queue_of(workflow)
            order = self.state.planner.ordering
            run.rank = order.key(workflow, queue, occurrence, self.now_ms)

    def share_cores(self, number, runs):
        """Let the runs of a worker progress for one step."""
        fillers = [run for run in runs.values() if run.is_filler]
        angle = 2 * math.pi * (self.now_ms / SWING_MS + number / len(WORKER_CORES))
        use = CRITICAL_SHARE * CRITICAL_USE * (1 + 0.5 * math.sin(angle))
        left = WORKER_CORES[number] * (1 - use)
        left -= sum(run.cores for run in runs.values() if not run.is_filler)
        left = max(LEFT_OVER_SHARE * left, 0.5)
        wanted = sum(run.cores for run in fillers)
        if self.is_ordered:
            fillers.sort(key=lambda run: run.rank)
        for run in fillers:
            if self.is_ordered:
                run.load = min(run.cores, left)
                left -= run.load
            else:
                run.load = run.cores * min(left / wanted, 1.0)
        for run in runs.values():
            run.left_ms -= STEP_MS * run.load / run.cores

    def plan(self):
        self.handle_event(schedulerevents.Tick, wall_ms=self.now_ms)
        self.apply_effects(flowpolicies.scheduler.plan(self.state, self.now_ms))

    def run_load(self):
        """Simulate the load; return rows of queue, domain, work, worth and credit."""
        end_ms = self.start_ms + ARRIVAL_PERIOD_MS + COMPLETION_PERIOD_MS
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.submit_arrivals()
            self.advance_runs()
            for number in range(len(WORKER_CORES)):
                if (self.now_ms + 40 * number) % REPORT_MS == 0:
                    self.send_report(number)
            if self.state.is_plan_due:
                self.plan()
        return self.results()

    def results(self):
        by_queue = {queue.name: [] for queue in QUEUES}
        for workflow_id, work in self.work_by_workflow.items():
            workflow = self.machine.workflows.workflow_by_id[workflow_id]
            by_queue[workflow.queue].append((workflow, work))
        rows = []
        for queue_name, pairs in by_queue.items():
            mean_work = statistics.fmean([work for _, work in pairs] or [1])
            for workflow, work in pairs:
                worth = min(0.3 + 0.7 * work / mean_work, MAX_WORTH)
                domain = self.domain_by_workflow[workflow.id]
                rows.append((queue_name, domain, work, worth, self.credit(workflow)))
        return rows

    def credit(self, workflow):
        if workflow.state != "completed":
            return 0.0
        queue = self.machine.workflows.queue_of(workflow)
        path_ms = sum(self.true_ms_by_workflow[workflow.id])
        span_ms = queue.stretch * path_ms + queue.objective_ms
        elapsed_ms = workflow.ended_at_ms - workflow.accepted_at_ms
        if elapsed_ms <= span_ms:
            return 1.0
        is_late = elapsed_ms <= ordering.EXPIRY_SPANS * span_ms
        return flowpolicies.LATE_CREDIT if is_late else 0.0


def earned_percent(rows):
    """Return the earned share of the worth of workflows in percent."""
    worth = sum(row[3] for row in rows)
    return 100 * sum(row[3] * row[4] for row in rows) / worth if worth else 0.0


def in_time_percent(rows):
    """Return the share of workflows that ended in time in percent."""
    return 100 * statistics.fmean([row[4] == 1.0 for row in rows] or [0.0])


def summarize(rows):
    """Return the columns of the table: percentages of worth, and in time."""
    best_effort = sorted((r for r in rows if r[0] == "best-effort"), key=lambda r: r[2])
    largest = best_effort[-max(len(best_effort) // 10, 1) :]
    columns = [
        earned_percent(rows),
        earned_percent([row for row in rows if row[0] == "quick"]),
        earned_percent(best_effort),
        earned_percent(largest),
        in_time_percent(best_effort),
        in_time_percent(largest),
    ]
    for domain in DOMAINS:
        columns.append(earned_percent([r for r in best_effort if r[1] == domain]))
    return columns


def _simulate(case):
    seed, name, is_ordered, rate = case
    return HardLoad(seed, ORDERINGS[name], is_ordered, rate).run_load()


def main():
    """Print a table of all orderings, for shared and for ordered execution."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="", help="part of the ordering's name")
    parser.add_argument("--in-order", action="store_true", help="skip shared cores")
    parser.add_argument("--rate", type=float, default=1.0, help="of best-effort work")
    arguments = parser.parse_args()
    print(f"{'order':<28}{'total':>7}{'quick':>7}{'best':>7}{'tenth':>7}", end="")
    print(f"{'in time':>9}{'tenth':>7}" + "".join(f"{d:>7}" for d in DOMAINS))
    with multiprocessing.Pool(2) as pool:
        for is_ordered in (True,) if arguments.in_order else (False, True):
            for name in ORDERINGS:
                if arguments.only not in name:
                    continue
                cases = [
                    (seed, name, is_ordered, arguments.rate)
                    for seed in range(arguments.seeds)
                ]
                found = pool.imap(_simulate, cases)
                rows = list(itertools.chain.from_iterable(found))
                shown = "".join(f"{column:7.1f}" for column in summarize(rows))
                suffix = ", in order" if is_ordered else ""
                print(f"{name + suffix:<28}{shown}", flush=True)


if __name__ == "__main__":
    main()
