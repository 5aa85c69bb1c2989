"""Guards workers whose capacity shrinks below what they run, and grows again."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import overcommit, steps, store, views
from tests import leaderkit, test_workflow_displacing

BEST_EFFORT = test_workflow_displacing.BEST_EFFORT
BATCH = steps.Step(
    cpu_millis=2000, memory_mb=1000, estimate_ms=9000, is_checkpointing=True
)
SERVING = steps.Step(
    cpu_millis=3000, memory_mb=2000, is_persistent=True, target_ms=10, max_unavailable=1
)


def leader_of(*loads, workers="a"):
    leader = test_workflow_displacing.Leader(workers)
    for number, (step, queue) in enumerate(loads):
        leader.submit(step, id=f"w{number}", queue=queue)
        leader.settle()
    leader.go_on(600)
    return leader


def stopped(leader):
    return sorted(task for task, _ in leader.stops())


def test_best_effort_runs_leave_a_worker_that_is_short_of_memory():
    leader = leader_of((SERVING, "q"), (BEST_EFFORT.replace(memory_mb=2500), "low"))
    leader.go_on(400, memory_mb=5000)
    assert stopped(leader) == [], "a short dip costs no run"
    leader.go_on(400, memory_mb=5000)
    assert len(stopped(leader)) == 1 and stopped(leader)[0].startswith("w1")
    assert leader.displaced == [("low", overcommit.OVERCOMMITTED_REASON)]
    leader.go_on(3000, memory_mb=5000)
    assert len(stopped(leader)) == 1, "the rest fits"


def test_capacity_that_is_back_soon_costs_no_run():
    leader = leader_of((BEST_EFFORT, "low"))
    leader.go_on(300, memory_mb=2000)
    leader.go_on(3000)
    assert stopped(leader) == []


def test_too_few_cores_cost_a_run_only_beside_latency_critical_tasks():
    leader = leader_of((BATCH.replace(count=4), "low"))
    leader.go_on(3000, cpu_millis=4000)
    assert stopped(leader) == []
    leader = leader_of((SERVING, "q"), (BATCH.replace(count=2), "low"))
    leader.go_on(900, cpu_millis=5000)
    assert len(stopped(leader)) == 1 and stopped(leader)[0].startswith("w1")


def report_with_room_elsewhere(leader, progress):
    leader.workers = "ab"
    leader.report("b")
    leader.settle()
    for _ in range(20):
        leader.tick(100)
        leader.report("b")
        runs = [[*key, views.ACTIVE] for key in leader.store.runs_of("a", 1)]
        leader.report("a", runs=runs, memory_mb=100, progress=progress)
        leader.settle()


def test_persistent_tasks_move_only_to_room_elsewhere_and_within_max_unavailable():
    leader = leader_of((SERVING.replace(count=2), "q"))
    leader.go_on(3000, memory_mb=100)
    assert stopped(leader) == [], "no other worker has room"
    report_with_room_elsewhere(leader, progress=100)
    (task,) = stopped(leader)
    leader.report("a", runs=[], memory_mb=100, ends=[[1, task, 1, store.STOPPED, ""]])
    leader.settle()
    assert leader.placed()[task] == "b"


def test_relief_counts_tasks_that_are_active_but_not_at_work_yet_as_unavailable():
    """Failure: relief stopped a task while another of its step was still starting."""
    leader = leader_of((SERVING.replace(count=2), "q"))
    report_with_room_elsewhere(leader, progress=40)
    assert stopped(leader) == []


def test_gang_is_not_torn_apart():
    gang = BATCH.replace(count=2, is_gang=True, memory_mb=3000)
    leader = leader_of((gang, "low"))
    leader.go_on(3000, memory_mb=4000)
    assert stopped(leader) == []


def test_new_leader_relieves_a_worker_that_shrank_before_its_term():
    leader = leader_of((BEST_EFFORT, "low"))
    leader.start_term(2)
    leader.go_on(900, memory_mb=4000)
    assert len(stopped(leader)) == 1


@pytest.mark.parametrize("fields", [{"memory_mb": 8000}, {"memory_mb": 9000}])
def test_capacity_that_comes_back_is_used_in_the_next_plan(fields):
    leader = leader_of((BEST_EFFORT, "low"))
    leader.go_on(900, memory_mb=4000)
    leader.report_all(ended=leader.stops(), memory_mb=4000)
    leader.settle()
    assert len(leader.placed()) == 1
    leader.report_all(**fields)
    leader.settle()
    assert len(leader.placed()) == 2


def sent(leader, sent_ms, **fields):
    leader.report("a", sent_ms=sent_ms, **fields)
    leader.settle()


def test_report_that_arrives_late_or_out_of_order_starts_nothing():
    """Failure: a former capacity counts as the present one."""
    leader = leaderkit.Leader()
    begun_ms = leader.now_ms
    for _ in range(3):
        leader.now_ms += 400
        sent(leader, leader.now_ms - begun_ms)
    leader.submit(BATCH.replace(count=4))
    leader.now_ms += 2500
    sent(leader, leader.now_ms - begun_ms - 2000)
    assert leader.placed() == {}, "this capacity is 2 s old"
    leader.now_ms += 100
    sent(leader, leader.now_ms - begun_ms, cpu_millis=2000)
    assert len(leader.placed()) == 1
    sent(leader, leader.now_ms - begun_ms - 50, cpu_millis=8000)
    assert len(leader.placed()) == 1
    leader.commit(commands.CancelWorkflow(id="w"))


def test_clock_that_begins_anew_does_not_keep_a_worker_out_of_use():
    leader = leaderkit.Leader()
    sent(leader, 500_000)
    leader.now_ms += 9000
    sent(leader, 100)
    leader.submit(BATCH)
    leader.settle()
    assert len(leader.placed()) == 1
    for _ in range(views.DELAY_WINDOW):
        leader.now_ms += 400
        sent(leader, 200)
    assert leader.state.view_by_id["a"].lateness_ms == 2800
    for number in range(views.DELAY_WINDOW):
        leader.now_ms += 400
        sent(leader, 200 + 400 * number)
    assert leader.state.view_by_id["a"].may_start(leader.now_ms)
