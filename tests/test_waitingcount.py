"""Guards against counts of waiting workflows that leave out those without a start."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import queues, store, views, waitingcount
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

STEP = steps_module.Step(cpu_millis=100)
RUN = ["w.0.0.0", 1]


@pytest.fixture
def leader():
    leader = leaderkit.Leader()
    leader.report()
    leader.settle()
    leader.submit(STEP, STEP.replace(after=[0]))
    leader.submit(STEP, id="v")
    leader.submit(STEP, id="other", queue="low")
    leader.settle()
    return leader


def waiting(leader):
    return waitingcount.answer(leader.state, {"queue": "q"})["waiting"]


def test_workflow_waits_until_a_run_begins(leader):
    """Guards against assigned runs that count as started: see `review/5`."""
    assert leader.placed().keys() == {"w.0.0.0", "v.0.0.0", "other.0.0.0"}
    assert waiting(leader) == 2
    leader.report(runs=[[*RUN, views.ORDERED], ["v.0.0.0", 1, views.GONE]])
    leader.settle()
    assert waiting(leader) == 2
    leader.report(runs=[[*RUN, views.ACTIVE]])
    assert waiting(leader) == 1
    leader.report()
    assert waiting(leader) == 1
    leader.commit(commands.CancelWorkflow(id="v"))
    assert waiting(leader) == 0


def test_run_that_ended_between_two_reports_has_begun(leader):
    """Guards against a workflow that waits though a task of it is done."""
    leader.report(ends=[[1, *RUN, store.STOPPED, ""]])
    leader.settle()
    assert waiting(leader) == 1


def test_new_leader_knows_the_workflows_that_began(leader):
    """Guards against counts that are far too high after a change of leader."""
    leader.report(runs=[["v.0.0.0", 1, views.ACTIVE]], ends=[[1, *RUN, store.DONE, ""]])
    leader.settle()
    leader.start_term(2)
    assert waiting(leader) == 1
    leader.report(runs=[["v.0.0.0", 1, views.ACTIVE]])
    assert waiting(leader) == 0


def test_ended_and_unknown_workflows_are_not_kept(leader):
    """Guards against memory that grows with every workflow."""
    leader.report(runs=[[*RUN, views.ACTIVE], ["x.0.0.0", 1, views.ACTIVE]])
    assert leader.state.begun_workflows.ids == {"w"}
    leader.commit(commands.CancelWorkflow(id="w"))
    leader.report(runs=[[*RUN, views.ACTIVE]])
    assert leader.state.begun_workflows.ids == set()


def test_count_tells_whether_the_queue_is_in_force(leader):
    """Guards against a removed queue that is counted as if it were empty."""
    other = queues.Queue(
        name="other", host="h", prefix="/other/", pool="p", max_attempts=9, timeout_ms=1
    )
    packed = queues.pack([other], [queues.Pool(name="p")])
    leader.commit(commands.SetQueues(version=2, packed=packed))
    assert not waitingcount.answer(leader.state, {"queue": "q"})["is_known"]
    found = waitingcount.answer(leader.state, {"queue": "other"})
    assert found == {"waiting": 0, "is_known": True}
