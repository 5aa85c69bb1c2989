"""Guards against worth of lasting tasks that is lost without a known cause."""

import pytest

from sardinegauge.workflows import lastingtasks, schedulerevents, steps, views
from tests import leaderkit

STEP = steps.Step(count=2, cpu_millis=1000, is_persistent=True, target_ms=50)


@pytest.fixture
def leader():
    found = leaderkit.Leader()
    found.submit(STEP)
    found.submit(STEP.replace(is_persistent=False), id="batch")
    return found


def states(leader):
    (counts,) = lastingtasks.count(leader.state).values()
    return {name: count for name, count in counts.items() if count}


def report_load(leader, load, progress=100):
    leader.report(runs=[[f"w.0.0.{n}", 1, views.ACTIVE] for n in (0, 1)])
    for reported in leader.state.view_by_id["a"].runs.values():
        reported.load, reported.progress = load, progress


def test_each_way_to_lose_the_worth_of_a_lasting_task_is_told_apart(leader):
    leader.settle()
    assert states(leader) == {lastingtasks.WAITING: 2}
    leader.report()
    leader.settle()
    assert states(leader) == {lastingtasks.STARTING: 2}
    report_load(leader, load=20, progress=60)
    assert states(leader) == {lastingtasks.STARTING: 2}
    report_load(leader, load=20)
    assert states(leader) == {lastingtasks.AT_WORK: 2}
    report_load(leader, load=80)
    assert states(leader) == {lastingtasks.OVER_TARGET: 2}
    leader.now_ms += views.MAX_REPORT_AGE_MS + 1
    leader.state.now_ms = leader.now_ms
    assert states(leader) == {lastingtasks.UNREACHABLE: 2}


def test_time_is_counted_once_and_not_across_a_stall(leader):
    counted = []
    leader.apply_effects = lambda effects: counted.extend(
        effect.lasted_ms
        for effect in effects
        if isinstance(effect, schedulerevents.LastingTasksCounted)
    )
    leader.tick(0)
    for _ in range(20):
        leader.tick(100)
    assert sum(counted) == 2000
    leader.tick(lastingtasks.MAX_INTERVAL_MS + 1)
    assert sum(counted) == 2000
