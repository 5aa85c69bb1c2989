"""Guards against wrong leases, early releases, overfilled workers and stray runs."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import (
    lives,
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
    leader.run()
    return leader


def test_task_is_ordered_once_its_assignment_is_committed(leader):
    leader.submit(Step(cpu_millis=1000))
    leader.take(scheduler.plan(leader.state, leader.now_ms))
    assert leader.orders()["starts"] == []
    leader.run()
    assert leader.orders()["starts"] == [["w.0.0.0", 1, "x", "", "", 100]]
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["starts"] == []


def test_worker_is_never_filled_beyond_its_capacity(leader):
    leader.submit(Step(count=20, cpu_millis=3000, memory_mb=100))
    leader.run()
    assert len(leader.placed()) == 2
    runs = [[*key, views.ACTIVE] for key in leader.store.runs_of("a", 1)]
    # What is being stopped and what the store does not know still counts.
    leader.report(runs=[[*runs[0][:2], views.STOPPING], runs[1]])
    leader.run()
    assert len(leader.placed()) == 2
    leader.report(runs=[runs[1]], ends=[[1, *runs[0][:2], store.STOPPED, ""]])
    leader.run()
    assert len(leader.placed()) == 2


def test_filler_counts_memory_but_no_cores(leader):
    leader.submit(Step(count=5, cpu_millis=9000, memory_mb=3000, is_filler=True))
    leader.run()
    assert len(leader.placed()) == 2


def test_ends_are_committed_before_they_are_seen(leader):
    leader.submit(Step())
    leader.run()
    leader.report(ends=[[1, "w.0.0.0", 1, store.DONE, ""]])
    assert leader.orders()["seen_end"] == 0
    leader.run()
    assert leader.orders()["seen_end"] == 1
    assert leader.store.workflow_by_id["w"].state == "completed"


def test_life_is_released_only_after_the_last_lease_that_was_granted(leader):
    leader.submit(Step())
    leader.run()
    lives.note_grant(leader.state, "a", leader.now_ms)
    leader.tick(lives.LEASE_MS)
    assert leader.waiting == []
    leader.tick(lives.LEASE_MARGIN_MS + 10)
    (release,) = leader.waiting
    assert isinstance(release, commands.ReleaseLife)
    assert not lives.may_grant(leader.state, "a", 1)
    leader.run()
    assert lives.may_grant(leader.state, "a", 1)
    assert leader.placed() == {}


def test_runs_of_all_lives_are_taken_back_when_another_worker_is_beside_the_agent():
    """A worker that came back under its id and was replaced before it was fenced.

    Its view went away with its second life, and the runs of the first one stayed.
    """
    leader = Leader()
    leader.report("a", life=1, agent="vm")
    leader.run()
    leader.submit(Step())
    leader.run()
    leader.report("a", life=2, agent="vm", is_fenced=False)
    leader.run()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report("b", life=3, agent="vm")
    leader.run()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_runs_of_a_former_life_are_taken_back_though_the_next_one_is_lost_unfenced():
    leader = Leader()
    leader.report("a", life=1)
    leader.run()
    leader.submit(Step())
    leader.run()
    leader.report("a", life=2, is_fenced=False)
    leader.run()
    leader.tick(lives.LEASE_MS + lives.LEASE_MARGIN_MS + 10)
    leader.run()
    # A delayed order may still run there.
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.tick(lives.LATE_RUN_MS)
    leader.run()
    assert leader.placed() == {}


def test_new_leader_waits_for_leases_of_the_one_before(leader):
    leader.submit(Step())
    leader.run()
    leader.now_ms += 60_000
    leader.lead(term=2)
    leader.tick(lives.LEASE_MS)
    assert leader.waiting == []
    leader.tick(lives.LEASE_MARGIN_MS + 10)
    assert [type(command) for command in leader.waiting] == [commands.ReleaseLife]


def test_former_life_is_released_when_the_new_one_is_fenced_and_clean(leader):
    leader.submit(Step())
    leader.run()
    leader.report(life=2, is_fenced=False)
    leader.run()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report(life=2, runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert [type(command) for command in leader.waiting] == []
    assert leader.orders(life=2)["stops"] == [["w.0.0.0", 1]]
    leader.report(life=2)
    leader.run()
    (task,) = leader.store.runs_of("a", 2).values()
    assert task.last_run == 2


def test_worker_of_another_id_beside_the_same_agent_replaces_the_former(leader):
    leader.submit(Step())
    leader.run()
    leader.report("b", life=5, agent="agent-a")
    leader.run()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_run_that_never_started_is_taken_back_and_placed_anew(leader):
    leader.submit(Step())
    leader.run()
    leader.report(runs=[["w.0.0.0", 1, views.GONE]])
    leader.run()
    task = leader.store.find_task("w.0.0.0")[2]
    assert task.last_run == 2
    assert leader.orders()["forget"] == [["w.0.0.0", 1]]


def test_stray_and_cancelled_runs_are_stopped(leader):
    leader.submit(Step())
    leader.run()
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE], ["v.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["stops"] == [["v.0.0.0", 1]]
    leader.pushed.clear()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.pushed == ["a"]
    assert ["w.0.0.0", 1] in leader.orders()["stops"]


def test_cancelled_run_that_the_agent_does_not_know_is_stopped_as_well(leader):
    leader.submit(Step())
    leader.run()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.orders() | {"is_watched": 0} == {
        "seen_end": 0,
        "starts": [],
        "stops": [["w.0.0.0", 1]],
        "forget": [],
        "paces": [],
        "questions": [],
        "is_watched": 0,
    }


def test_gang_starts_whole_with_one_number_or_not_at_all(leader):
    leader.submit(Step(count=3, cpu_millis=4000, is_gang=True))
    leader.run()
    assert leader.placed() == {}
    leader.report("b")
    leader.run()
    assert len(leader.placed()) == 3
    numbers = {leader.store.find_task(t)[2].last_run for t in leader.placed()}
    assert numbers == {1}


def test_label_limit_and_pool_bind_the_placement(leader):
    leader.report("b", labels=["other", "r2"])
    leader.report("c", pool="elsewhere")
    leader.run()
    leader.submit(Step(count=4, required_label="k", max_per_worker=2))
    leader.run()
    assert list(leader.placed().values()) == ["a", "a"]


def test_draining_silent_and_unfenced_workers_get_nothing(leader):
    leader.report(is_draining=True)
    leader.report("b", is_fenced=False)
    leader.report("c")
    leader.run()
    leader.now_ms += views.FRESH_MS + 1
    leader.submit(Step())
    leader.run()
    assert leader.placed() == {}


def test_failed_task_goes_to_another_worker(leader):
    leader.report("b")
    leader.run()
    leader.submit(Step())
    leader.run()
    first = leader.placed()["w.0.0.0"]
    leader.report(first, ends=[[1, "w.0.0.0", 1, store.FAILED, ""]])
    leader.run()
    assert leader.placed()["w.0.0.0"] != first


def test_burst_of_low_priority_leaves_urgent_work_first(leader):
    """Load pattern: a burst of batch work fills all workers, then urgent work comes."""
    leader.submit(Step(count=30, cpu_millis=4000), id="batch", queue="low")
    leader.submit(Step(count=2, cpu_millis=4000), id="urgent")
    leader.run()
    assert set(leader.placed()) == {"urgent.0.0.0", "urgent.0.0.1"}


def test_work_that_is_too_late_lets_the_rest_of_a_burst_go_first():
    """Load pattern: after an outage old work is hopeless and new work is not."""
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
