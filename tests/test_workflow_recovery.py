"""Guards against needless or unbounded restarts, and starts on suspected workers."""

import random

import pytest

from sardinegauge.workflows import health, recovery, schedulerevents, store, views
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import stragglers
from tests import leaderkit

REPORT_MS = 400
STUCK = stragglers.STUCK


class Leader(leaderkit.Leader):
    """A leader with workers whose runs progress at `rate` percent per second.

    Those on worker `bad` stand still.
    """

    def __init__(self, *workers, cpu_cap=100):
        super().__init__()
        self.workers = workers
        self.cpu_cap = cpu_cap
        self.progress_by_run = {}
        self.began_ms_by_run = {}
        self.is_bad = False
        self.report_all()

    def report_all(self, silent=(), rate=20):
        self.now_ms += REPORT_MS
        for worker in self.workers:
            rows = []
            for key, task in self.store.runs_of(worker, 1).items():
                began_ms = self.began_ms_by_run.setdefault(key, self.now_ms)
                if not (self.is_bad and worker == "bad"):
                    moved = 1000 if task.step.is_persistent else rate * REPORT_MS / 1000
                    moved += self.progress_by_run.get(key, 0)
                    self.progress_by_run[key] = min(100, moved)
                progress = int(self.progress_by_run.get(key, 0))
                survived_ms = self.now_ms - began_ms
                row = [*key, views.ACTIVE, "", progress, 1000, "", self.cpu_cap]
                row.append(survived_ms)
                rows.append(row)
            if worker not in silent:
                report = leaderkit.report_of(worker, ()).replace(runs=rows)
                report.sent_ms = self.now_ms
                self.dispatch(schedulerevents.ReportReceived, report=report)
        self.tick(0)
        self.settle()

    def step(self, count, **fields):
        defaults = {"is_checkpointing": True, "estimate_ms": 5000, "cpu_millis": 1000}
        return steps_module.Step(count=count, **{**defaults, **fields})

    def stops(self):
        return [k for k, why in self.state.stop_reason_by_run.items() if why == STUCK]

    def go_bad(self, reports=4, silent=()):
        self.is_bad = True
        for _ in range(reports):
            self.report_all(silent)


def running(worker_count=3, count=12, is_full=False, cpu_cap=100, **fields):
    """Return a leader whose workers have run a step for 1.2 s."""
    workers = ["bad", *(f"b{n}" for n in range(worker_count - 1))]
    leader = Leader(*workers, cpu_cap=cpu_cap)
    leader.submit(leader.step(count, **fields))
    if is_full:
        leader.submit(leader.step(8 * worker_count - count), id="other")
    leader.settle()
    for _ in range(4):
        leader.report_all()
    return leader


def test_stuck_runs_start_elsewhere_after_their_confirmed_stop():
    leader = running()
    former = {t for t, w in leader.placed().items() if w == "bad"}
    leader.go_bad()
    assert {task for task, _ in leader.stops()} == former
    assert all(leader.placed()[task] == "bad" for task in former)
    ends = [[n + 1, *k, store.STOPPED, "c"] for n, k in enumerate(leader.stops())]
    leader.report("bad", ends=ends, sent_ms=leader.now_ms)
    leader.settle()
    assert leader.placed().keys() >= former
    assert "bad" not in leader.placed().values()


def test_stuck_runs_stay_without_room_elsewhere():
    leader = running(is_full=True)
    assert len(leader.placed()) == 24
    leader.go_bad(8)
    assert leader.stops() == []


@pytest.mark.parametrize("progressed, is_restarted", [(2, True), (10, False)])
def test_work_without_a_checkpoint_is_lost_only_for_a_higher_gain(
    progressed, is_restarted
):
    leader = running(is_checkpointing=False)
    for _ in range(progressed - 2):
        leader.report_all(rate=15)
    leader.go_bad()
    assert bool(leader.stops()) == is_restarted


def test_stuck_runs_are_found_though_a_restarted_agent_knows_no_cpu_cap():
    """Guards against runs that get no verdict for good after an agent's restart."""
    leader = running(cpu_cap=views.UNKNOWN_CPU_CAP)
    leader.go_bad()
    assert leader.stops()


def test_worker_that_is_silent_loses_nothing():
    leader = running()
    leader.go_bad(8, silent=["bad"])
    leader.is_bad = False
    for _ in range(4):
        leader.report_all()
    assert leader.stops() == []


def test_lost_and_reordered_reports_restart_nothing():
    leader = running()
    for number in range(6):
        leader.report_all(silent=["bad"] if number % 2 else ())
        late = leaderkit.report_of("bad", ()).replace(
            runs=[
                [*key, views.ACTIVE, "", 1, 1000, "", 100, 500]
                for key in leader.store.runs_of("bad", 1)
            ]
        )
        late.sent_ms = leader.now_ms - 900
        leader.dispatch(schedulerevents.ReportReceived, report=late)
    assert leader.stops() == []


def test_new_leader_tracks_anew():
    leader = running()
    leader.go_bad(2)
    leader.start_term(2)
    leader.go_bad(2)
    assert leader.stops() == []


def test_restarts_are_bounded_per_task_and_per_second(monkeypatch):
    monkeypatch.setattr(recovery, "MAX_RESTART_BURST", 2.0)
    monkeypatch.setattr(recovery, "MAX_RESTARTS_PER_S", 1.0)
    leader = running()
    leader.state.recovery.tokens = 2.0
    (exempt, _) = min(leader.store.runs_of("bad", 1))
    times_ms = [leader.now_ms] * recovery.MAX_RESTARTS_PER_TASK
    leader.state.recovery.restarts_by_task[exempt] = times_ms
    leader.go_bad()
    assert len(leader.stops()) in (2, 3)
    leader.go_bad(10)
    assert exempt not in {task for task, _ in leader.stops()}


def test_gangs_and_stalls_of_many_workers_are_left_alone():
    """A restart elsewhere does not help if the cause is none of the workers."""
    gang = running(is_gang=True)
    gang.go_bad(8)
    assert gang.stops() == []
    leader = running()
    for worker in ("b0", "b1"):
        leader.state.health.suspect(worker, leader.now_ms)
    leader.go_bad()
    assert leader.stops() == []


@pytest.mark.parametrize("limit, is_restarted", [(1, True), (0, False), (-1, True)])
def test_idle_persistent_run_is_restarted_within_its_limit(limit, is_restarted):
    leader = running(is_persistent=True, is_checkpointing=False, max_unavailable=limit)
    (key, *_) = leader.store.runs_of("bad", 1)
    for _ in range(10):
        leader.report_all()
        leader.progress_by_run[key] = -1000
    assert (key in leader.state.stop_reason_by_run) == is_restarted


def test_suspected_worker_gets_no_start_then_one_and_then_more():
    leader = Leader("bad")
    leader.state.health.suspect("bad", leader.now_ms)
    leader.submit(leader.step(8))
    leader.settle()
    counts = []
    for _ in range(20):
        leader.report_all()
        counts.append(len(leader.placed()))
    assert counts[0] == 0 and counts[-1] == 8
    assert sorted(counts) == counts and {1, 3} <= set(counts)
    assert leader.state.health.suspected_ids == set()


def test_failed_probe_doubles_the_backoff_and_old_successes_end_nothing():
    workers = health.Health()
    workers.suspect("a", 0)
    workers.record_success("a")
    assert not workers.suspect("a", 100)
    workers.now_ms = health.MIN_BACKOFF_MS
    workers.record_start("a", ("w.0.0.0", 1))
    assert workers.start_limit("a") == 0
    assert workers.suspect("a", workers.now_ms)
    workers.now_ms += 2 * health.MIN_BACKOFF_MS - 1
    assert workers.is_backing_off("a") and workers.start_limit("a") == 0
    workers.now_ms += 1
    workers.record_end("a", ("w.0.0.0", 1), is_success=False)
    assert workers.start_limit("a") == 1


def test_second_stuck_run_makes_a_worker_suspected():
    workers = health.Health()
    assert not workers.record_stall("a", 0)
    workers.record_success("a")
    assert workers.record_stall("a", health.STALL_MEMORY_MS)
    assert not workers.record_stall("a", 3 * health.STALL_MEMORY_MS)


@pytest.mark.parametrize("seed", range(10))
def test_numbers_out_of_range_end_no_leader(seed):
    """An exception in the reducer ends the process, and then the next leader's."""
    draw = random.Random(seed)
    leader = Leader("a", "b", "c")
    for index, is_filler in enumerate((False, True, False)):
        step = leader.step(6, is_filler=is_filler, estimate_ms=index, cpu_millis=index)
        leader.submit(step, id=f"w{index}")
    numbers = (0, 1, 50, 99, 100, -1, 0.5, views.MAX_NUMBER, -views.MAX_NUMBER, 400)
    for _ in range(60):
        leader.report_all()
        for worker in leader.workers:
            rows = [
                [*key, views.ACTIVE, "", *draw.choices(numbers, k=2), ""]
                + draw.choices(numbers, k=2)
                for key in leader.store.runs_of(worker, 1)
            ]
            report = leaderkit.report_of(worker, ()).replace(runs=rows)
            report.sent_ms = leader.now_ms
            leader.dispatch(schedulerevents.ReportReceived, report=report)
        leader.tick(REPORT_MS)
    assert leader.store.open_ids


def on_probation(*found_steps, rate=20, seconds=12):
    """Return the seconds until all tasks run on a suspected worker, None if never."""
    leader = Leader("bad")
    leader.state.health.suspect("bad", leader.now_ms)
    for number, step in enumerate(found_steps):
        leader.submit(step, id=f"w{number}")
    begun_ms = leader.now_ms
    wanted_count = sum(step.count for step in found_steps)
    while leader.now_ms - begun_ms < 1000 * seconds:
        leader.report_all(rate=rate)
        if len(leader.placed()) == wanted_count:
            return (leader.now_ms - begun_ms) / 1000
    return None


def test_persistent_tasks_prove_a_worker_by_being_at_work():
    """Guards against a worker on which the first persistent task is the last start."""
    step = steps_module.Step(
        count=1, cpu_millis=1000, estimate_ms=1000, is_persistent=True
    )
    assert on_probation(step, step, step) <= 6


@pytest.mark.parametrize(
    "fields, rate",
    [
        ({"is_gang": True, "count": 4}, 20),
        ({"estimate_ms": 1_200_000}, 0.08),
        ({"is_filler": True}, 0),
    ],
)
def test_probes_that_can_prove_nothing_do_not_keep_their_place(fields, rate):
    """Guards against gangs, long and paused runs that hold a worker on probation."""
    step = steps_module.Step(**{"cpu_millis": 1000, "count": 1, **fields})
    assert on_probation(step, step, rate=rate) <= 7


def test_stuck_probe_begins_the_time_without_a_fault_anew():
    """Guards against a bad worker that is cleared though each probe stands still."""
    workers = health.Health()
    workers.suspect("a", 0)
    workers.now_ms = health.MIN_BACKOFF_MS
    limit = health.SUCCESSES_UNTIL_CLEARED
    for _ in range(2 * limit):
        workers.record_start("a", ("w.0.0.0", 1))
        workers.now_ms += health.FAULTLESS_MS - 1
        workers.record_probe_fault("a")
        workers.record_end("a", ("w.0.0.0", 1), is_success=False)
        assert workers.start_limit("a") == 1 and workers.clear_proven() == []
    workers.now_ms += limit * health.FAULTLESS_MS
    assert workers.clear_proven() == ["a"]
