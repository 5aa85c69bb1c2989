"""Guards against wrong estimates of run times, and against what they cost."""

import math

import pytest

from sardinegauge.workflows import ordering, schedulerevents, store, views
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import runtimes
from tests import leaderkit

Step = steps_module.Step
DECLARED_MS = 1000
REPORT_MS = 400


class Bench:
    """A leader with one worker, whose reports the test writes."""

    def __init__(self):
        self.leader = leaderkit.Leader()
        self.leader.report()
        self.leader.settle()
        self.end_count = 0

    @property
    def model(self):
        return self.leader.state.run_times

    def submit(self, id="w", count=1, **fields):
        fields = {"cpu_millis": 100, "estimate_ms": DECLARED_MS, **fields}
        self.leader.submit(Step(count=count, image="i", **fields), id=id)
        self.leader.settle()
        return self.leader.store.workflow_by_id[id].occurrence(0)

    def report(self, *runs, ended=()):
        """Report rows of task, progress, survived_ms, load and CPU cap, and ends."""
        rows = [
            [task, self.run_number(task), views.ACTIVE, "", progress, load, "", cap, ms]
            for task, progress, ms, load, cap in runs
        ]
        ends = []
        for task in ended:
            self.end_count += 1
            end = [self.end_count, task, self.run_number(task), store.DONE, ""]
            ends.append(end)
        report = leaderkit.report_of("a", [], ends=ends)
        report.runs = rows
        self.leader.dispatch(schedulerevents.ReportReceived, report=report)
        self.leader.settle()

    def run_number(self, task_id):
        return self.leader.store.find_task(task_id)[2].last_run

    def run(self, task, run_ms, load=100, cpu_cap=100):
        """Report a run from its start to its end every `REPORT_MS`."""
        started_ms = self.leader.now_ms
        while (elapsed_ms := self.leader.now_ms - started_ms) < run_ms:
            self.report((task, 100 * elapsed_ms // run_ms, elapsed_ms, load, cpu_cap))
            self.leader.now_ms += min(REPORT_MS, run_ms - elapsed_ms)
        self.report(ended=[task])

    def ratio(self, id="new"):
        """Return the estimate for a workflow of which nothing has run."""
        return self.model.ratio("q", self.submit(id), 0)


@pytest.mark.parametrize("ratio", [0.1, 0.5, 1.0, 3.0, 10.0])
def test_ratio_is_learned_from_ended_runs(ratio):
    """Load pattern: declared run times off by up to a factor of ten."""
    bench = Bench()
    for number in range(8):
        bench.submit(f"w{number}")
        bench.run(f"w{number}.0.0.0", int(ratio * DECLARED_MS))
    learned = bench.ratio()
    assert abs(math.log(learned)) <= abs(math.log(ratio)) + 1e-9
    assert abs(math.log(learned / ratio)) < 0.3 * abs(math.log(ratio)) + 0.01


def test_one_sample_moves_the_estimate_only_partly():
    bench = Bench()
    bench.submit()
    bench.run("w.0.0.0", 10 * DECLARED_MS)
    assert 1.5 < bench.ratio() < 5


def test_ended_tasks_tell_about_the_others_of_their_step():
    """Load pattern: one workflow is wrong by a factor, its queue is not."""
    bench = Bench()
    for number in range(8):
        bench.submit(f"w{number}")
        bench.run(f"w{number}.0.0.0", DECLARED_MS)
    occurrence = bench.submit("odd", count=10)
    bench.run("odd.0.0.0", 5 * DECLARED_MS)
    first = bench.model.ratio("q", occurrence, 0)
    bench.run("odd.0.0.1", 5 * DECLARED_MS)
    second = bench.model.ratio("q", occurrence, 0)
    assert 1.3 < first < second <= 5
    # The whole step counts as one sample of its queue and image.
    assert bench.ratio() < 1.3


def test_progress_of_an_active_run_tells_before_its_end():
    bench = Bench()
    occurrence = bench.submit()
    bench.report(("w.0.0.0", 0, 0, 100, 100))
    bench.leader.now_ms += 1000
    bench.report(("w.0.0.0", 10, 1000, 100, 100))
    bench.leader.now_ms += 3000
    bench.report(("w.0.0.0", 40, 4000, 100, 100))
    assert 3 < bench.model.ratio("q", occurrence, 0) < 10


@pytest.mark.parametrize(("cpu_cap", "load"), [(40, 4000), (100, 1500), (100, 0)])
def test_slowed_best_effort_runs_teach_nothing(cpu_cap, load):
    """Load pattern: best-effort runs throttled, or short of cores, for all their time.

    Their long run times say nothing about full speed, and would make the whole queue
    look late.
    """
    bench = Bench()
    occurrence = bench.submit(is_filler=True, cpu_millis=4000, count=2)
    bench.run("w.0.0.0", 6 * DECLARED_MS, load=load, cpu_cap=cpu_cap)
    assert bench.model.ratio("q", occurrence, 0) == 1
    assert bench.model.to_rows() == []


def test_full_speed_part_of_a_throttled_run_teaches():
    bench = Bench()
    occurrence = bench.submit(is_filler=True, cpu_millis=4000)
    now_ms = 0
    for progress, ms, cpu_cap in (
        (0, 0, 100),
        (20, 400, 100),
        (40, 800, 100),
        (41, 4800, 10),
        (42, 8800, 10),
    ):
        bench.leader.now_ms += ms - now_ms
        now_ms = ms
        bench.report(("w.0.0.0", progress, ms, 4000, cpu_cap))
    # At full speed, 40 percent took 800 ms.
    assert 1 < bench.model.ratio("q", occurrence, 0) < 2


def test_restored_run_counts_only_its_own_work():
    bench = Bench()
    occurrence = bench.submit(is_checkpointing=True)
    bench.leader.store.find_task("w.0.0.0")[2].checkpoint = "c"
    bench.report(("w.0.0.0", 60, 100, 100, 100))
    bench.leader.now_ms += 800
    bench.report(("w.0.0.0", 100, 900, 100, 100))
    bench.report(ended=["w.0.0.0"])
    # The last 40 percent took 800 ms, the whole work would have taken 2 s.
    (row,) = [row for row in bench.model.to_rows() if row[1] == "i"]
    assert math.exp(row[2]) == pytest.approx(2.0, rel=0.05)
    assert occurrence.is_complete


def test_end_after_a_silence_of_the_worker_teaches_nothing():
    """Failure: the worker was cut off when its run ended.

    The end is reported much later, and the run would look as long as the cut.
    """
    bench = Bench()
    bench.submit()
    bench.report(("w.0.0.0", 50, 400, 100, 100))
    bench.leader.now_ms += 8000
    bench.report(ended=["w.0.0.0"])
    assert bench.model.to_rows() == []


def test_new_leader_begins_with_the_learned_ratios():
    """Failure: the leader is lost after it has learned."""
    bench = Bench()
    for number in range(8):
        bench.submit(f"w{number}")
        bench.run(f"w{number}.0.0.0", 3 * DECLARED_MS)
    bench.leader.tick(3000)
    bench.leader.settle()
    learned = bench.ratio("before")
    snapshot = bench.leader.store.to_snapshot()
    bench.leader.start_term(term=2)
    assert bench.ratio("after") == pytest.approx(learned, rel=0.02)
    loaded = store.Store()
    loaded.load_snapshot(snapshot)
    assert loaded.run_times == bench.leader.store.run_times != []
    # Snapshots of earlier releases have no ratios.
    del snapshot["run_times"]
    loaded.load_snapshot(snapshot)
    assert loaded.run_times == []


def test_unchanged_ratios_are_not_proposed_again():
    """Load pattern: 70 ends per second, each of which changes the ratios a little."""
    bench = Bench()
    for number in range(30):
        bench.submit(f"w{number}")
        bench.run(f"w{number}.0.0.0", DECLARED_MS + 2 * (number % 2))
        bench.leader.tick(2500)
        if number == 10:
            kept = bench.leader.store.run_times
        bench.leader.settle()
    assert bench.leader.store.run_times is kept


def test_malformed_rows_are_skipped():
    model = runtimes.RunTimeModel()
    model.load_rows(
        [
            5,
            ["q"],
            ["q", "i", "x", 0, 1],
            ["q", "i", float("nan"), 0, 1],
            ["q", "i", 0, -1, 1],
            ["q", "i", 0, 0, 0],
            ["q", None, 0, 0, 1],
            ["q", "i", 10**400, 0, 1],
            ["q", "good", 900, 0.1, 5],
        ]
    )
    assert model.to_rows() == [["q", "good", round(math.log(10), 3), 0.1, 5]]
    assert model.changed_rows([7, ["q"], ["q", "good", "x", 0, 0]]) == model.to_rows()


def test_kept_ratios_are_bounded(monkeypatch):
    """Load pattern: callers use a new image for each workflow."""
    monkeypatch.setattr(runtimes, "MAX_KEPT_RATIOS", 5)
    monkeypatch.setattr(runtimes, "MAX_ROWS", 3)
    bench = Bench()
    for number in range(9):
        leader = bench.leader
        step = Step(cpu_millis=100, estimate_ms=DECLARED_MS, image=f"i{number}")
        leader.submit(step, id=f"w{number}")
        leader.settle()
        bench.run(f"w{number}.0.0.0", 2 * DECLARED_MS)
    assert len(bench.model.to_rows()) == 3
    assert len(bench.model._ratio_by_kind) == 5


def test_declared_run_times_order_as_before():
    """The baseline must not change the order of any deployment."""
    bench = Bench()
    declared = ordering.ByRemainingWork()
    queue = bench.leader.store.queue_set.by_name["q"].replace(
        stretch=2.0, objective_ms=300
    )
    occurrence = bench.submit("w", count=4, estimate_ms=700)
    workflow = bench.leader.store.workflow_by_id["w"]
    begun_ms = workflow.accepted_at_ms
    for later_ms, lateness in ((0, 0), (1000, 0), (1001, 1), (4400, 1), (4401, 2)):
        key = declared.key(workflow, queue, occurrence, begun_ms + later_ms)
        assert key == (0, lateness, 4 * 100 * 700, begun_ms)
    bench.run("w.0.0.0", 3000)
    key = declared.key(workflow, queue, occurrence, begun_ms + 1350)
    assert key == (0, 0, 3 * 100 * 700, begun_ms)


def test_learned_run_times_move_the_deadline_and_the_work():
    """Load pattern: declared 1 s, really 4 s.

    Callers count the objective from the real run time, so the workflow is not late
    merely since it takes longer than declared.
    """
    bench = Bench()
    bench.model.load_rows([["q", "i", math.log(4), 0.0, 20]])
    queue = bench.leader.store.queue_set.by_name["q"].replace(stretch=1.5)
    occurrence = bench.submit()
    workflow = bench.leader.store.workflow_by_id["w"]
    learned = ordering.ByRemainingWork(bench.model)
    wall_ms = workflow.accepted_at_ms + 1000
    assert learned.key(workflow, queue, occurrence, wall_ms)[1] == 0
    key = ordering.ByRemainingWork().key(workflow, queue, occurrence, wall_ms)
    assert key[1] == 1
    assert learned.key(workflow, queue, occurrence, wall_ms)[2] > 3 * key[2]


def test_forecast_is_made_again_only_after_an_end_or_half_a_second(monkeypatch):
    """Load pattern: tens of plans a second over hundreds of waiting workflows."""
    bench = Bench()
    occurrence = bench.submit(count=3)
    workflow = bench.leader.store.workflow_by_id["w"]
    made = []
    original = ordering.Forecast.__init__
    monkeypatch.setattr(
        ordering.Forecast,
        "__init__",
        lambda self, *args: (made.append(1), original(self, *args))[1],
    )
    order = bench.leader.state.planner.ordering
    wall_ms = workflow.accepted_at_ms + 5000
    for later_ms in range(0, 490, 10):
        order.forecast(workflow, occurrence, wall_ms + later_ms)
    assert len(made) == 1
    occurrence.finish(occurrence.tasks_by_step[0][0])
    order.forecast(workflow, occurrence, wall_ms + 490)
    assert len(made) == 2
    order.forecast(workflow, occurrence, wall_ms + 1000)
    assert len(made) == 3
