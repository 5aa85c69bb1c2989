"""Guards against workflows that all end late because all of them run slowly."""

import pytest

from sardinegauge.workflows import schedulerevents, views
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import coreshares, urgency
from tests import leaderkit

Step = steps_module.Step


def _run_row(key, progress, load, survived_ms, cpu_cap=100):
    return [*key, views.ACTIVE, "", progress, load, "", cpu_cap, survived_ms]


def _report_progress(leader, progress_by_task, survived_ms, worker="a", load=4000):
    """Report the runs of a worker with the given progress in percent."""
    runs = leader.store.runs_of(worker, 1)
    rows = [
        _run_row(key, progress_by_task.get(key[0], 0), load, survived_ms)
        for key in runs
    ]
    report = leaderkit.report_of(worker, ()).replace(runs=rows)
    leader.dispatch(schedulerevents.ReportReceived, report=report)


def _caps(leader):
    return {
        task_id: leader.state.cpu_cap_by_run.get((task_id, number), 100)
        for task_id, number in leader.store.runs_of("a", 1)
    }


def test_cores_go_to_the_first_workflow_when_they_are_short():
    """Load pattern: a burst of best-effort work that fits by memory only."""
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    for name in ("big", "small"):
        count = 1 if name == "small" else 2
        step = Step(count=count, cpu_millis=6000, estimate_ms=4000, is_filler=True)
        leader.submit(step, id=name)
    leader.settle()
    assert len(leader.store.runs_of("a", 1)) == 3
    _report_progress(leader, {}, 1200, load=2500)
    caps = _caps(leader)
    # 8 cores: all for the smallest workflow, the rest for one task of the other.
    assert caps["small.0.0.0"] == 100
    assert sorted([caps["big.0.0.0"], caps["big.0.0.1"]]) == [10, 30]


def test_slowest_task_of_a_step_keeps_its_cores():
    """Load pattern: a wide step with uneven tasks on a worker with too few cores."""
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    leader.submit(Step(count=2, cpu_millis=6000, estimate_ms=9000, is_filler=True))
    leader.settle()
    for number in range(1, 6):
        leader.now_ms += 400
        progress_by_task = {"w.0.0.0": 14 * number, "w.0.0.1": 5 * number}
        _report_progress(leader, progress_by_task, 400 * number, load=3500)
    caps = _caps(leader)
    assert caps["w.0.0.1"] == 100
    assert caps["w.0.0.0"] < 50


def test_caps_end_with_the_shortage():
    """Caps beside no latency-critical task are removed once the cores suffice."""
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    for name in ("one", "two"):
        leader.submit(Step(cpu_millis=6000, estimate_ms=4000, is_filler=True), id=name)
    leader.settle()
    _report_progress(leader, {}, 1200, load=3500)
    assert min(_caps(leader).values()) < 100
    leader.now_ms += 2 * coreshares.SHORTAGE_MS
    report = leaderkit.report_of("a", ()).replace(
        runs=[_run_row(("two.0.0.0", 1), 50, 2000, 8000, 30)],
        ends=[[1, "one.0.0.0", 1, "done", ""]],
    )
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    leader.settle()
    report = report.replace(ends=[], seen_end=1)
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    assert _caps(leader) == {"two.0.0.0": 100}


def test_cores_that_suffice_are_not_shared_in_order():
    """Tasks that use less than they declare, as most do, are no sign of a shortage."""
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    leader.submit(Step(count=3, cpu_millis=4000, estimate_ms=4000, is_filler=True))
    leader.settle()
    _report_progress(leader, {}, 1200, load=2700)
    assert set(_caps(leader).values()) == {100}


@pytest.mark.parametrize("left_millis", [-500, 0, 3000, 50_000])
def test_shares_never_exceed_the_demand_nor_starve_a_task(left_millis):
    demands = [(number, 1000 * number) for number in range(8)]
    shares = coreshares.InOrder().shares(left_millis, demands)
    assert shares.keys() == dict(demands).keys()
    assert all(coreshares.MIN_SHARE <= share <= 1 for share in shares.values())
    granted = sum(
        shares[key] * millis
        for key, millis in demands
        if shares[key] > coreshares.MIN_SHARE
    )
    assert granted <= max(left_millis, 0)


def test_baselines_behave_as_before():
    assert coreshares.Proportional().shares(0, [("a", 5)]) == {"a": 1.0}
    outlook = urgency.Outlook(
        workflow_key=(1, 0, 7), remaining_ms=1, step_remaining_ms=9
    )
    assert urgency.ByWorkflow().rank(outlook) == (1, 0, 7)
