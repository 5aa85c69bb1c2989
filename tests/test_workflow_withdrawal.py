"""Guards against starts on a worker whose capacity has shrunk meanwhile."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import queues, steps, views
from tests import leaderkit, test_workflow_hosting

STEP = steps.Step(count=4, cpu_millis=2000)


@pytest.fixture
def leader():
    leader = leaderkit.Leader()
    leader.report()
    leader.settle()
    leader.submit(STEP)
    leader.settle()
    assert len(leader.orders()["starts"]) == 4
    return leader


def runs(*phases):
    return [[f"w.0.0.{index}", 1, phase] for index, phase in enumerate(phases)]


def test_starts_on_the_way_to_a_shrunk_worker_are_withdrawn(leader):
    leader.report(runs=runs(views.ACTIVE, views.ORDERED), cpu_millis=4500)
    orders = leader.orders()
    assert orders["starts"] == []
    assert sorted(orders["stops"]) == [["w.0.0.2", 1], ["w.0.0.3", 1]]
    assert "a" in leader.pushed


def test_active_runs_of_a_shrunk_worker_go_on(leader):
    active = runs(*[views.ACTIVE] * 4)
    leader.report(runs=active, cpu_millis=1000)
    assert leader.orders()["stops"] == []
    leader.submit(STEP, id="v")
    leader.settle()
    assert set(leader.placed()) == {row[0] for row in active}


def test_best_effort_start_stays_where_only_cores_are_short(leader):
    """It was withdrawn and assigned to the same worker again without end."""
    leader.report(runs=runs(*[views.ACTIVE] * 4), cpu_millis=1000)
    leader.submit(steps.Step(cpu_millis=500, is_filler=True), id="f")
    leader.settle()
    assert leader.orders()["stops"] == []
    assert [row[0] for row in leader.orders()["starts"]] == ["f.0.0.0"]


def test_new_leader_does_not_order_starts_that_no_longer_fit(leader):
    leader.start_term(2)
    leader.report(cpu_millis=4500)
    assert len(leader.orders()["starts"]) == 2
    assert len(leader.orders()["stops"]) == 2


def test_assignment_that_is_committed_after_the_capacity_shrank_is_withdrawn():
    leader = leaderkit.Leader()
    leader.report()
    leader.settle()
    leader.submit(STEP)
    leader.apply_effects(leaderkit.scheduler.plan(leader.state, leader.now_ms))
    (command,) = leader.proposed
    leader.report(cpu_millis=2500)
    leader.commit(command)
    assert len(leader.orders()["starts"]) == 1
    assert len(leader.orders()["stops"]) == 3


def test_withdrawn_task_starts_once_the_worker_has_grown_again(leader):
    leader.report(runs=runs(views.ACTIVE, views.ACTIVE), cpu_millis=4500)
    leader.settle()
    gone = [["w.0.0.2", 1, views.GONE], ["w.0.0.3", 1, views.GONE]]
    leader.report(runs=runs(views.ACTIVE, views.ACTIVE) + gone, cpu_millis=4500)
    leader.settle()
    assert len(leader.placed()) == 2
    leader.report(runs=runs(views.ACTIVE, views.ACTIVE), cpu_millis=8000)
    leader.settle()
    started = {(task, run) for task, run, *_ in leader.orders()["starts"]}
    assert started == {("w.0.0.2", 2), ("w.0.0.3", 2)}


def test_members_of_a_gang_are_withdrawn_together():
    leader = leaderkit.Leader()
    for worker in "ab":
        leader.report(worker)
    leader.settle()
    leader.submit(STEP.replace(count=8, is_gang=True))
    leader.settle()
    leader.report("a", cpu_millis=2500)
    assert len(leader.orders("a")["stops"]) == 4
    assert len(leader.orders("b")["stops"]) == 4


def test_changed_capacity_is_reported_at_once():
    agent = test_workflow_hosting.Agent()
    agent.announce(sequence=2, cpu_millis=16_000)
    reports = agent.reports
    agent.announce(sequence=3, cpu_millis=16_000)
    assert agent.reports == reports
    agent.announce(sequence=4, cpu_millis=4000)
    assert agent.reports == reports + 1


def send_queue_elsewhere(leader):
    queue = leader.store.queue_set.by_name["q"].replace(pool="p2")
    packed = queues.pack([queue], [queues.Pool(name="p2")])
    leader.commit(commands.SetQueues(version=2, packed=packed))


def change_pool_of_worker(leader):
    leader.report(runs=runs(views.ACTIVE, views.ORDERED), pool="p2")


def begin_term_after_change(leader):
    send_queue_elsewhere(leader)
    leader.start_term(2)
    leader.report(runs=runs(views.ACTIVE, views.ORDERED))


@pytest.mark.parametrize(
    "change", [send_queue_elsewhere, change_pool_of_worker, begin_term_after_change]
)
def test_starts_on_the_way_to_the_former_service_of_a_queue_are_withdrawn(
    leader, change
):
    """Failure: a start was ordered in a service to which its queue is not sent."""
    leader.report(runs=runs(views.ACTIVE, views.ORDERED))
    change(leader)
    orders = leader.orders()
    assert orders["starts"] == []
    assert orders["still_ordered"] == []
    assert sorted(orders["stops"]) == [[f"w.0.0.{index}", 1] for index in (1, 2, 3)]
