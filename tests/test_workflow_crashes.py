"""Guards against tasks that crash one worker after another."""

import pytest

from sardinegauge.workflows import schedulerevents, steps, views
from tests import leaderkit


@pytest.fixture
def leader():
    leader = leaderkit.Leader()
    for worker in "abc":
        leader.report(worker)
    leader.settle()
    return leader


def crash(worker="a", incarnation=1, runs=()):
    return views.Crash(
        worker=worker, life=incarnation, runs=[list(row) for row in runs]
    )


def test_crash_is_logged_and_counted_once_with_its_youngest_runs(leader, caplog):
    caplog.set_level("WARNING")
    effects = []
    leader.apply_effects = effects.extend
    found = crash(runs=[["w.0.0.0", 3, 900], ["w.0.0.1", 1, 0]])
    for _ in range(2):
        leader.report("a", crash=found)
    (message,) = [record.getMessage() for record in caplog.records]
    assert "worker=a life=1 pool=p runs=2" in message
    assert message.endswith("youngest=w.0.0.1/1/0ms,w.0.0.0/3/900ms")
    counted = [
        effect
        for effect in effects
        if isinstance(effect, schedulerevents.WorkerCrashed)
    ]
    assert [(effect.pool, effect.run_count) for effect in counted] == [("p", 2)]
    assert leader.orders()["crash_seen"] == 1


def test_run_lost_in_a_crash_is_told_from_one_that_never_started():
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    leader.submit(steps.Step(count=2, cpu_millis=100))
    leader.settle()
    runs = [["w.0.0.0", 1, views.GONE], ["w.0.0.1", 1, views.GONE]]
    report = leaderkit.report_of("a", runs)
    report.runs[0][6] = views.CRASHED
    report.runs[1][6] = "room"
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    (command,) = leader.proposed
    assert [row[3] for row in command.rows] == ["lost", "refused"]
