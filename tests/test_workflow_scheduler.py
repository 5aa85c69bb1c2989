"""Guards against wrong leases, early releases, overcommitted workers and stray runs."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import (
    incarnations,
    ordering,
    queues,
    scheduler,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

Step = steps_module.Step


Leader = leaderkit.Leader


@pytest.fixture
def leader():
    leader = Leader()
    leader.report()
    leader.settle()
    return leader


def test_task_is_ordered_once_its_assignment_is_committed(leader):
    leader.submit(Step(cpu_millis=1000))
    leader.apply_effects(scheduler.plan(leader.state, leader.now_ms))
    assert leader.orders()["starts"] == []
    leader.settle()
    assert leader.orders()["starts"] == [["w.0.0.0", 1, "x", "", "", 100]]
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["starts"] == []


def test_worker_is_never_filled_beyond_its_capacity(leader):
    leader.submit(Step(count=20, cpu_millis=3000, memory_mb=100))
    leader.settle()
    assert len(leader.placed()) == 2
    runs = [[*key, views.ACTIVE] for key in leader.store.runs_of("a", 1)]
    # Runs that are being stopped or unknown to the store still occupy their room.
    leader.report(runs=[[*runs[0][:2], views.STOPPING], runs[1]])
    leader.settle()
    assert len(leader.placed()) == 2
    leader.report(runs=[runs[1]], ends=[[1, *runs[0][:2], store.STOPPED, ""]])
    leader.settle()
    assert len(leader.placed()) == 2


def test_best_effort_task_reserves_memory_but_no_cores(leader):
    leader.submit(Step(count=5, cpu_millis=9000, memory_mb=3000, is_filler=True))
    leader.settle()
    assert len(leader.placed()) == 2


def test_ends_are_committed_before_they_are_acknowledged(leader):
    leader.submit(Step())
    leader.settle()
    leader.report(ends=[[1, "w.0.0.0", 1, store.DONE, ""]])
    assert leader.orders()["seen_end"] == 0
    leader.settle()
    assert leader.orders()["seen_end"] == 1
    assert leader.store.workflow_by_id["w"].state == "completed"


def test_incarnation_is_released_only_after_the_last_lease_that_was_granted(leader):
    leader.submit(Step())
    leader.settle()
    incarnations.record_grant(leader.state, "a", leader.now_ms)
    leader.tick(incarnations.LEASE_MS)
    assert leader.proposed == []
    leader.tick(incarnations.LEASE_MARGIN_MS + 10)
    (release,) = leader.proposed
    assert isinstance(release, commands.ReleaseLife)
    assert not incarnations.may_grant_lease(leader.state, "a", 1)
    leader.settle()
    assert incarnations.may_grant_lease(leader.state, "a", 1)
    assert leader.placed() == {}


def test_runs_of_a_worker_that_answers_nothing_start_elsewhere():
    """Guards against tasks of a silent worker that wait for good, as its agent lives.

    A restarted agent does not know the leases that its former process gave, so the
    grants tell when they have ended.
    """
    leader = Leader()
    leader.report("a")
    leader.settle()
    leader.submit(Step(is_persistent=True))
    leader.settle()
    incarnations.record_grant(leader.state, "a", leader.now_ms)
    leader.report("b")
    granted_ms = leader.now_ms
    while leader.placed() != {"w.0.0.0": "b"}:
        leader.now_ms += 100
        leader.report("a", is_fenced=False, is_lapsed=leader.now_ms > granted_ms + 1500)
        leader.report("b")
        leader.tick(0)
        leader.settle()
        waited_ms = leader.now_ms - granted_ms
        assert waited_ms < incarnations.LEASE_MS + 1000
    assert waited_ms > incarnations.LEASE_MS + incarnations.LEASE_MARGIN_MS
    assert not incarnations.may_grant_lease(leader.state, "a", 1)
    leader.report("a")
    assert incarnations.may_grant_lease(leader.state, "a", 1)


def test_all_incarnations_are_released_when_the_worker_is_replaced():
    """Guards against runs that stay assigned to a worker that no longer exists.

    The worker restarts under its id and is replaced before its second incarnation is
    fenced. The replacement drops its view, so both incarnations must be released then.
    """
    leader = Leader()
    leader.report("a", incarnation=1, agent="vm")
    leader.settle()
    leader.submit(Step())
    leader.settle()
    leader.report("a", incarnation=2, agent="vm", is_fenced=False)
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report("b", incarnation=3, agent="vm")
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_former_incarnation_is_released_though_the_next_is_lost_unfenced():
    leader = Leader()
    leader.report("a", incarnation=1)
    leader.settle()
    leader.submit(Step())
    leader.settle()
    leader.report("a", incarnation=2, is_fenced=False)
    leader.settle()
    leader.tick(incarnations.LEASE_MS + incarnations.LEASE_MARGIN_MS + 10)
    leader.settle()
    # A delayed start call may still take effect on that worker.
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.tick(incarnations.LATE_START_MARGIN_MS)
    leader.settle()
    assert leader.placed() == {}


def test_new_leader_waits_for_leases_of_the_previous_leader(leader):
    leader.submit(Step())
    leader.settle()
    leader.now_ms += 60_000
    leader.start_term(term=2)
    leader.tick(incarnations.LEASE_MS)
    assert leader.proposed == []
    leader.tick(incarnations.LEASE_MARGIN_MS + 10)
    assert [type(command) for command in leader.proposed] == [commands.ReleaseLife]


def test_former_incarnation_is_released_when_the_new_one_is_fenced_and_clean(leader):
    leader.submit(Step())
    leader.settle()
    leader.report(incarnation=2, is_fenced=False)
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report(incarnation=2, runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert [type(command) for command in leader.proposed] == []
    assert leader.orders(incarnation=2)["stops"] == [["w.0.0.0", 1]]
    leader.report(incarnation=2)
    leader.settle()
    (task,) = leader.store.runs_of("a", 2).values()
    assert task.last_run == 2


@pytest.mark.parametrize("incarnation, is_stopped", [(1, False), (2, True)])
def test_listed_run_is_outdated_only_where_its_end_was_recorded(
    leader, incarnation, is_stopped
):
    """Guards against a late start in the next life that runs on beside another run."""
    leader.submit(Step())
    leader.settle()
    leader.report(ends=[[1, "w.0.0.0", 1, "stopped", ""]])
    leader.settle()
    leader.report(incarnation=incarnation)
    leader.settle()
    leader.report(incarnation=incarnation, runs=[["w.0.0.0", 1, views.ACTIVE]])
    stops = leader.orders(incarnation=incarnation)["stops"]
    assert (["w.0.0.0", 1] in stops) == is_stopped


def test_worker_of_another_id_beside_the_same_agent_replaces_the_former(leader):
    leader.submit(Step())
    leader.settle()
    leader.report("b", incarnation=5, agent="agent-a")
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_run_that_never_started_is_released_and_placed_again(leader):
    leader.submit(Step())
    leader.settle()
    leader.report(runs=[["w.0.0.0", 1, views.GONE]])
    leader.settle()
    task = leader.store.find_task("w.0.0.0")[2]
    assert task.last_run == 2
    assert leader.orders()["forget"] == [["w.0.0.0", 1]]


def test_stray_and_cancelled_runs_are_stopped(leader):
    leader.submit(Step())
    leader.settle()
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE], ["v.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["stops"] == [["v.0.0.0", 1]]
    leader.pushed.clear()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.pushed == ["a"]
    assert ["w.0.0.0", 1] in leader.orders()["stops"]


def test_cancelled_run_that_the_agent_does_not_know_is_stopped_as_well(leader):
    leader.submit(Step())
    leader.settle()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.orders() | {"is_watched": 0} == {
        "seen_end": 0,
        "starts": [],
        "stops": [["w.0.0.0", 1]],
        "forget": [],
        "paces": [],
        "still_ordered": [],
        "questions": [],
        "is_watched": 0,
        "crash_seen": 0,
    }


def test_gang_starts_whole_with_one_number_or_not_at_all(leader):
    leader.submit(Step(count=3, cpu_millis=4000, is_gang=True))
    leader.settle()
    assert leader.placed() == {}
    leader.report("b")
    leader.settle()
    assert len(leader.placed()) == 3
    numbers = {leader.store.find_task(t)[2].last_run for t in leader.placed()}
    assert numbers == {1}


def test_label_limit_and_pool_bind_the_placement(leader):
    leader.report("b", labels=["other", "r2"])
    leader.report("c", pool="elsewhere")
    leader.settle()
    leader.submit(Step(count=4, required_label="k", max_per_worker=2))
    leader.settle()
    assert list(leader.placed().values()) == ["a", "a"]


def test_draining_silent_and_unfenced_workers_get_nothing(leader):
    leader.report(is_draining=True)
    leader.report("b", is_fenced=False)
    leader.report("c")
    leader.settle()
    leader.now_ms += views.MAX_REPORT_AGE_MS + 1
    leader.submit(Step())
    leader.settle()
    assert leader.placed() == {}


def test_failed_task_goes_to_another_worker(leader):
    leader.report("b")
    leader.settle()
    leader.submit(Step())
    leader.settle()
    first = leader.placed()["w.0.0.0"]
    leader.report(first, ends=[[1, "w.0.0.0", 1, store.FAILED, ""]])
    leader.settle()
    assert leader.placed()["w.0.0.0"] != first


def test_burst_of_low_priority_leaves_urgent_work_first(leader):
    """Load pattern: a burst of batch work, and urgent work submitted after it."""
    leader.submit(Step(count=30, cpu_millis=4000), id="batch", queue="low")
    leader.submit(Step(count=2, cpu_millis=4000), id="urgent")
    leader.settle()
    assert set(leader.placed()) == {"urgent.0.0.0", "urgent.0.0.1"}


def test_late_work_goes_after_work_in_time():
    """Load pattern: after an outage, only new work can still meet its deadline."""
    order = ordering.ByDeadline()
    queue = queues.Queue(name="q", host="", prefix="", pool="p", objective_ms=1000)

    class Item:
        steps = (Step(estimate_ms=1000),)
        accepted_at_ms = 0
        repeats = 0

        def due_at_ms(self, number):
            return 0

    class Occurrence:
        number = 0

    old, new = Item(), Item()
    new.accepted_at_ms = 9_000
    keys = [order.key(item, queue, Occurrence, 9_500) for item in (old, new)]
    assert keys[1] < keys[0]
    baseline = ordering.ByArrival()
    keys = [baseline.key(item, queue, Occurrence, 9_500) for item in (old, new)]
    assert keys[0] < keys[1]
