"""Model of workers that go bad while they answer, under the leader's real reducer.

It runs in virtual time. The work of a task is drawn from the seed and its id, so that
two policies see the same tasks.
"""

import random

from sardinegauge import commands
from sardinegauge.workflows import (
    queues,
    recovery,
    schedulerevents,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

STEP_MS = 50
REPORT_MS = 400
CORES_MILLIS = 32_000
STRETCH = 2.0
OBJECTIVE_MS = 500
BAD_MS = 6000
BAD_INTERVAL_MS = 12_000
SLOWDOWN = 5
FAILURE_DELAY_MS = 100
FORMS = ("stuck", "partly stuck", "slow", "failing")


class Run:
    """A run on a model worker; `progress` is in percent."""

    def __init__(self, step, work_ms, progress, now_ms):
        self.step = step
        self.work_ms = work_ms
        self.progress = progress
        self.started_ms = now_ms
        self.load = 0
        self.cpu_cap = 100


class Worker:
    """A worker that is good, or bad in one of the `FORMS`."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.id = f"i-{number}"
        self.random = random.Random(f"{fleet.seed}/{number}")
        self.form = ""
        self.bad_until_ms = 0
        self.next_report_ms = fleet.now_ms + self.random.randrange(REPORT_MS)
        self.runs = {}
        self.ends = []
        self.end_count = 0

    def advance(self):
        idle = CORES_MILLIS
        ordered = sorted(self.runs.items(), key=lambda item: item[1].step.is_filler)
        for key, run in ordered:
            demand = run.step.cpu_millis
            if run.step.is_persistent:
                # Its use swings, and best-effort runs get what it leaves.
                idle -= int(demand * self.random.uniform(0.2, 1.0))
                run.load = 12
                continue
            given = min(demand, idle) * run.cpu_cap / 100
            speed = self.speed(key)
            run.load = int(given) if speed or not run.step.is_filler else 0
            idle -= run.load
            run.progress += 100 * STEP_MS / run.work_ms * given / demand * speed
            is_failed = self.form == "failing" and (
                self.fleet.now_ms - run.started_ms == FAILURE_DELAY_MS
            )
            if is_failed or run.progress >= 100:
                self.end(key, store.FAILED if is_failed else store.DONE)

    def speed(self, key):
        if self.form == "partly stuck":
            return random.Random(f"{self.fleet.seed}/{key}").random() < 0.5
        return {"stuck": 0, "slow": 1 / SLOWDOWN}.get(self.form, 1)

    def end(self, key, how):
        run = self.runs.pop(key)
        self.end_count += 1
        checkpoint = ""
        if run.step.is_checkpointing and how == store.STOPPED:
            checkpoint = str(run.progress)
        self.ends.append([self.end_count, *key, how, checkpoint])
        self.next_report_ms = self.fleet.now_ms

    def report(self):
        self.next_report_ms = self.fleet.now_ms + REPORT_MS
        runs = [
            [*key, views.ACTIVE, "", int(run.progress), run.load, "", run.cpu_cap]
            + [self.fleet.now_ms - run.started_ms]
            for key, run in self.runs.items()
        ]
        report = leaderkit.report_of(
            self.id, (), 1, self.ends, cpu_millis=CORES_MILLIS, memory_mb=10**6
        )
        self.fleet.send_report(self, report.replace(runs=runs, sent_ms=0))

    def obey(self, orders):
        self.ends = [end for end in self.ends if end[0] > orders["seen_end"]]
        for key in map(tuple, orders["stops"]):
            if key in self.runs:
                self.end(key, store.STOPPED)
        known = {(task, number) for _, task, number, _, _ in self.ends}
        for task, number, _, checkpoint, _, cpu_cap in orders["starts"]:
            if (task, number) not in self.runs and (task, number) not in known:
                self.fleet.start_count += 1
                step = self.fleet.store.find_task(task)[2].step
                work_ms = self.fleet.work_ms(task)
                now_ms = self.fleet.now_ms
                run = Run(step, work_ms, float(checkpoint or 0), now_ms)
                run.cpu_cap = cpu_cap
                self.runs[task, number] = run
        for task, number, cpu_cap in orders["paces"]:
            if (task, number) in self.runs:
                self.runs[task, number].cpu_cap = cpu_cap


class Fleet(leaderkit.Leader):
    """Workers, the leader and their load; `form` is that of the bad workers."""

    def __init__(self, seed, policy, form="", tail_share=0.0, worker_count=12):
        self.restarts = []
        super().__init__()
        self.seed = seed
        self.random = random.Random(seed)
        self.policy = policy
        self.tail_share = tail_share
        self.base_ms_by_step = {}
        self.start_count = 0
        self.submit_count = 0
        self.form = form
        self.workers = [Worker(self, number) for number in range(worker_count)]
        self.set_queues()
        self.elect()

    def set_queues(self):
        quick = self.store.queue_set.by_name["q"].replace(
            stretch=STRETCH, objective_ms=OBJECTIVE_MS
        )
        low = quick.replace(name="low", prefix="/low/", priority=2)
        packed = queues.pack([quick, low], [queues.Pool(name="p")])
        self.commit(commands.SetQueues(version=2, packed=packed))

    def elect(self, term=1):
        self.start_term(term)
        self.state.recovery = recovery.Recovery(self.policy)
        for worker in self.workers:
            worker.report()
        self.settle()

    def work_ms(self, task):
        draw = random.Random(f"{self.seed}/{task}")
        factor = draw.uniform(0.7, 1.3) * (7 if draw.random() < self.tail_share else 1)
        return factor * self.base_ms_by_step.get(task.rpartition(".")[0], 1)

    def submit_random(self):
        self.submit_count += 1
        is_quick = self.random.random() < 0.9
        count = self.random.randint(10, 20)
        found = []
        for position in range(2 - (is_quick and self.random.random() < 0.4)):
            base_ms = 1700 if is_quick else 3800
            self.base_ms_by_step[f"w{self.submit_count}.0.{position}"] = base_ms
            step = steps_module.Step(
                count=count,
                cpu_millis=1200 if is_quick else 7000,
                # Declared run times are wrong by up to 90 percent.
                estimate_ms=int(base_ms * self.random.uniform(0.1, 1.9)),
                after=list(range(position)),
                is_filler=not is_quick,
                is_checkpointing=not is_quick,
                image="quick" if is_quick else "sweep",
            )
            found.append(step)
        queue = "q" if is_quick else "low"
        self.submit(*found, id=f"w{self.submit_count}", queue=queue)

    def send_report(self, worker, report):
        """Deliver a report; overridden where reports are lost or late."""
        self.dispatch_report(report)

    def dispatch_report(self, report):
        event = schedulerevents.ReportReceived
        self.dispatch(event, report=report)
        self.pushed.append(report.worker)

    def apply_effects(self, effects):
        restarted = schedulerevents.RunRestarted
        self.restarts += [e.reason for e in effects if isinstance(e, restarted)]
        super().apply_effects(effects)

    def make_workers_bad(self):
        for worker in self.random.sample(self.workers, self.random.randint(1, 2)):
            worker.form, worker.bad_until_ms = self.form, self.now_ms + BAD_MS

    def step(self):
        self.now_ms += STEP_MS
        pushed, self.pushed = set(self.pushed), []
        for worker in self.workers:
            if worker.id in pushed:
                worker.obey(self.orders(worker.id))
            if self.now_ms >= worker.bad_until_ms:
                worker.form = ""
            worker.advance()
            if self.now_ms >= worker.next_report_ms:
                worker.report()
        self.tick(0)
        self.settle()

    def run(self, lasts_ms=50_000):
        web = steps_module.Step(
            count=len(self.workers) // 2,
            cpu_millis=10_000,
            max_per_worker=1,
            image="web",
            target_ms=50,
            is_persistent=True,
        )
        self.submit(web, id="serving")
        end_ms = self.now_ms + lasts_ms
        next_bad_ms, next_submit_ms = self.now_ms + 5000, self.now_ms
        while self.now_ms < end_ms + 30_000:
            if next_submit_ms <= self.now_ms < end_ms:
                next_submit_ms += self.random.randint(300, 1700)
                self.submit_random()
            if next_bad_ms <= self.now_ms < end_ms and self.form:
                next_bad_ms += BAD_INTERVAL_MS
                self.make_workers_bad()
            self.step()
            if self.now_ms > end_ms and len(self.store.open_ids) == 1:
                break

    def spans_ms(self, queue):
        """Return how long workflows took, or were open until the end, by id."""
        return {
            item.id: (item.ended_at_ms or self.now_ms) - item.accepted_at_ms
            for item in self.store.workflow_by_id.values()
            if item.queue == queue and item.id != "serving"
        }

    def share_in_time(self, queue):
        """Return the share of workflows that end within their objective."""
        spans_ms = self.spans_ms(queue)
        limits_ms = {
            workflow_id: OBJECTIVE_MS
            + STRETCH
            * sum(
                base_ms
                for step_id, base_ms in self.base_ms_by_step.items()
                if step_id.startswith(f"{workflow_id}.")
            )
            for workflow_id in spans_ms
        }
        in_time = [spans_ms[item] <= limit for item, limit in limits_ms.items()]
        return sum(in_time) / max(len(in_time), 1)
