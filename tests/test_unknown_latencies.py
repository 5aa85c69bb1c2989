"""Guards against best-effort tasks at full speed beside tasks without a known latency.

After a loss of power, all tasks start in one plan, beside latency-critical tasks that
have not reported a latency yet.
"""

from sardinegauge import commands
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

Step = steps_module.Step

SERVING = Step(cpu_millis=3000, image="web", target_ms=50, is_persistent=True)
SWEEP = Step(cpu_millis=4000, image="sweep", is_filler=True)
# What an earlier leader learned: one unit of usage adds this pressure.
ROWS = [["", "sweep", 0.2, 0.001], ["web", "sweep", 0.1, 0.001]]


def succeed():
    """Return a new leader that knows the interference from its predecessor."""
    leader = leaderkit.Leader()
    leader.commit(commands.KeepEstimates(rows=ROWS, run_times=[]))
    leader.start_term(term=2)
    return leader


def test_best_effort_task_starts_throttled_beside_a_task_that_is_being_started():
    leader = succeed()
    leader.report()
    leader.settle()
    leader.submit(SERVING, id="serving")
    leader.submit(SWEEP, id="sweep", queue="low")
    leader.settle()
    (sweep,) = [row for row in leader.orders()["starts"] if row[0] == "sweep.0.0.0"]
    assert sweep[5] < 50


def test_running_best_effort_task_is_throttled_when_a_latency_critical_one_starts():
    leader = succeed()
    leader.report()
    leader.settle()
    leader.submit(SWEEP, id="sweep", queue="low")
    leader.settle()
    leader.report(runs=[["sweep.0.0.0", 1, "active"]])
    assert leader.orders()["paces"] == []
    leader.submit(SERVING, id="serving")
    leader.settle()
    ((task, _, cpu_cap),) = leader.orders()["paces"]
    assert task == "sweep.0.0.0" and cpu_cap < 50


def test_best_effort_task_keeps_away_from_latency_critical_tasks_of_the_same_plan():
    leader = succeed()
    leader.report("a")
    leader.report("b")
    leader.settle()
    leader.submit(Step(cpu_millis=4000), id="batch")
    leader.settle()
    batch_worker = leader.placed()["batch.0.0.0"]
    leader.submit(SERVING.replace(cpu_millis=5000), id="serving")
    leader.submit(SWEEP, id="sweep", queue="low")
    leader.settle()
    placed = leader.placed()
    assert placed["serving.0.0.0"] != batch_worker
    assert placed["sweep.0.0.0"] == batch_worker
