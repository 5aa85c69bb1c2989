"""Guards against stuck runs that are missed, and verdicts on healthy runs."""

import pytest

from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows import views
from sardinegauge.workflows.policies import progress, stragglers

REPORT_MS = 400


class Samples:
    """A tracker that gets samples of runs with given rates.

    A run is named by its task id. `rate_by_task` holds percent per second.
    """

    def __init__(self, worker_by_task, estimate_ms=1000, **fields):
        self.now_ms = 0
        self.answered_ms = 0
        self.tracker = progress.Tracker()
        self.worker_by_task = worker_by_task
        self.step = steps_module.Step(
            cpu_millis=1000, estimate_ms=estimate_ms, image="i", **fields
        )
        self.progress_by_task = dict.fromkeys(worker_by_task, 0.0)

    def report(
        self, rate_by_task, load=1000, cpu_cap=100, idle_millis=0, answered=True
    ):
        self.now_ms += REPORT_MS
        self.answered_ms = self.now_ms if answered else self.answered_ms
        for worker in set(self.worker_by_task.values()):
            keys = {(t, 1) for t, w in self.worker_by_task.items() if w == worker}
            self.tracker.begin_report(worker, keys, self.now_ms)
        for task, worker in self.worker_by_task.items():
            rate = rate_by_task.get(task, rate_by_task.get("others", 0))
            self.progress_by_task[task] += rate * REPORT_MS / 1000
            reported = views.ReportedRun(
                views.ACTIVE, "", int(self.progress_by_task[task]), load, "", cpu_cap
            )
            reported.survived_ms = self.answered_ms
            info = progress.RunInfo((task, 1), self.step, worker, "q")
            self.tracker.add_sample(info, reported, idle_millis, self.now_ms)

    def judge(self, suspected=()):
        policy = stragglers.ByProgress()
        return policy.judge(self.tracker, set(suspected), self.now_ms)

    def found(self, suspected=()):
        return {
            verdict.info.key[0]: verdict.reason
            for verdict in self.judge(suspected).verdicts
        }


def one_step(bad_count=1, count=6, **fields):
    """Tasks of one step, the first ones on worker `bad`, each other on its own."""
    worker_by_task = {
        f"w.0.0.{n}": "bad" if n < bad_count else f"i-{n}" for n in range(count)
    }
    return Samples(worker_by_task, **fields)


def test_stuck_run_is_found_within_three_reports_by_its_own_rate_and_its_peers():
    samples = one_step()
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(3):
        assert samples.found() == {}
        samples.report({"w.0.0.0": 0, "others": 20})
    assert samples.found() == {"w.0.0.0": stragglers.STUCK}
    assert samples.judge().reason_by_worker == {"bad": stragglers.STUCK}
    nothing = stragglers.NoRestarts().judge(samples.tracker, set(), samples.now_ms)
    assert nothing.verdicts == [] and nothing.reason_by_worker == {}


def test_run_stuck_from_its_start_is_found_by_its_peers():
    samples = one_step()
    for _ in range(4):
        samples.report({"w.0.0.0": 0, "others": 50})
    assert samples.found() == {"w.0.0.0": stragglers.STUCK}


@pytest.mark.parametrize("estimate_ms, is_found", [(1000, True), (100_000, False)])
def test_run_without_peers_is_judged_by_its_declared_time(estimate_ms, is_found):
    """Declared run times are wrong by a factor of up to 10."""
    samples = Samples({"w.0.0.0": "a", "v.0.0.0": "b"}, estimate_ms)
    for _ in range(5):
        samples.report({"v.0.0.0": 50})
    assert (samples.found() == {"w.0.0.0": stragglers.STUCK}) == is_found


@pytest.mark.parametrize("cpu_cap", [0, 15])
def test_run_with_a_low_cap_is_never_stuck(cpu_cap):
    samples = one_step(is_filler=True)
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(20):
        samples.report({"w.0.0.0": 0, "others": 20}, cpu_cap=cpu_cap)
    assert samples.found() == {}


@pytest.mark.parametrize(
    "idle_millis, suspected, is_found",
    [(0, "", False), (900, "", True), (0, "a", True)],
)
def test_starved_best_effort_run_is_not_stuck(idle_millis, suspected, is_found):
    """A best-effort run without load is starved, unless cores are idle.

    It may also be stuck with no load on a worker that is suspected anyway.
    """
    samples = Samples({"w.0.0.0": "a", "w.0.0.1": "b", "w.0.0.2": "c"}, is_filler=True)
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(5):
        rates = {"w.0.0.0": 0, "others": 20}
        samples.report(rates, load=0, idle_millis=idle_millis)
    assert ("w.0.0.0" in samples.found(suspected)) == is_found


def test_long_task_is_no_straggler():
    """A task with 7 times the work of its peers takes as long on another worker."""
    samples = one_step(bad_count=2, count=10)
    for _ in range(12):
        samples.report({"w.0.0.0": 3, "others": 20})
        assert samples.found() == {}


def test_runs_of_a_slow_worker_are_found_and_those_begun_there_as_well():
    samples = one_step(bad_count=3, count=10)
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(3):
        samples.report({f"w.0.0.{n}": 4 for n in range(3)} | {"others": 20})
    assert set(samples.found().values()) == {stragglers.SLOW}
    assert len(samples.found()) == 3
    assert samples.judge().reason_by_worker == {"bad": stragglers.SLOW}
    begun = one_step(bad_count=2, count=10)
    for _ in range(5):
        begun.report({"w.0.0.0": 4, "w.0.0.1": 4, "others": 20})
    assert begun.judge().reason_by_worker == {"bad": stragglers.SLOW}


def test_one_stuck_run_among_moving_ones_does_not_make_its_worker_unhealthy():
    """A task may hang by itself; its worker is fine if other runs progress there."""
    samples = one_step(bad_count=3)
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(4):
        samples.report({"w.0.0.0": 0, "others": 20})
    assert samples.found() == {"w.0.0.0": stragglers.STUCK}
    assert samples.judge().reason_by_worker == {}


def test_answers_that_are_repeated_or_missing_show_nothing():
    """A worker that does not answer is silent, not stuck; a report repeats its last."""
    samples = one_step()
    for _ in range(3):
        samples.report({"others": 20})
    for _ in range(10):
        samples.report({}, answered=False)
    assert samples.found() == {}


def test_gap_restarts_the_tracking():
    samples = one_step()
    for _ in range(3):
        samples.report({"others": 20})
    samples.now_ms += 3000
    samples.report({})
    assert samples.found() == {}
    assert {track.worked_ms for track in samples.tracker.track_by_run.values()} == {0}


def test_kind_of_runs_without_any_progress_gets_no_verdict():
    """Workers may report no progress for a kind; its runs would be stopped forever."""
    samples = one_step()
    for _ in range(30):
        samples.report({"others": 0})
    assert samples.found() == {}


def test_persistent_run_that_does_not_begin_its_work_is_idle():
    samples = one_step(is_persistent=True)
    for _ in range(10):
        samples.report({"w.0.0.0": 0, "others": 250})
    assert samples.found() == {"w.0.0.0": stragglers.IDLE}
