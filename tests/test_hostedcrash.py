"""Guards against a crash of a worker that the leader can't attribute to a task."""

import pytest

from sardinegauge.workflows import hostedreport, hostevents, workerclient
from tests import test_workflow_hosting

OTHER = ("w.0.0.1", 1)


@pytest.fixture
def agent():
    return test_workflow_hosting.Agent()


def start(agent, key):
    agent.order(starts=[[*key, "payload", ""]])
    (call,) = agent.take_calls(workerclient.StartCall)
    agent.answer(call)


def crash(agent):
    """Let all open calls and the next ones find nothing at the worker's address."""
    agent.tick()
    for _ in range(3):
        for call in agent.calls[:]:
            agent.calls.remove(call)
            agent.dispatch(hostevents.CallUnanswered, call=call, is_down=True)
        agent.tick()


def reported_crash(agent):
    return hostedreport.report_fields(agent.state).get("crash")


def test_crash_is_reported_with_the_time_that_each_run_had_survived(agent):
    start(agent, test_workflow_hosting.KEY)
    agent.now_ms += 700
    start(agent, OTHER)
    assert reported_crash(agent) is None
    crash(agent)
    assert reported_crash(agent) == {
        "worker": "i-1",
        "life": 1,
        "runs": [[*test_workflow_hosting.KEY, 700, 800], [*OTHER, 0, 100]],
    }


def test_run_that_was_never_started_is_not_reported_with_the_crash(agent):
    agent.order(starts=[[*OTHER, "payload", ""]], grant_ms=0)
    assert not agent.take_calls(workerclient.StartCall)
    crash(agent)
    assert reported_crash(agent)["runs"] == []


def test_start_whose_answer_was_lost_in_the_crash_is_reported(agent):
    agent.order(starts=[[*OTHER, "payload", ""]])
    (call,) = agent.take_calls(workerclient.StartCall)
    agent.now_ms += 15
    agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    crash(agent)
    assert reported_crash(agent)["runs"] == [[*OTHER, 0, 15]]


def test_start_that_stayed_without_an_answer_is_not_taken_for_a_young_run(agent):
    """It may have started at its first call, long before the crash."""
    agent.order(starts=[[*OTHER, "payload", ""]])
    (call,) = agent.take_calls(workerclient.StartCall)
    agent.now_ms += 300
    agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    agent.now_ms += 500
    agent.answer_holds()
    crash(agent)
    assert reported_crash(agent)["runs"] == [[*OTHER, 0, 900]]


def test_crash_that_is_only_seen_by_the_next_incarnation_is_reported(agent):
    start(agent, test_workflow_hosting.KEY)
    agent.announce(incarnation=2)
    assert reported_crash(agent)["life"] == 1
    assert reported_crash(agent)["runs"] == [[*test_workflow_hosting.KEY, 0, 0]]


def test_end_of_a_draining_worker_is_no_crash(agent):
    start(agent, test_workflow_hosting.KEY)
    agent.announce(sequence=2, is_draining=True)
    crash(agent)
    agent.announce(incarnation=2)
    assert reported_crash(agent) is None


def test_crash_is_reported_until_the_leader_has_recorded_it(agent):
    start(agent, test_workflow_hosting.KEY)
    crash(agent)
    agent.order()
    agent.order(crash_seen=0)
    assert reported_crash(agent) is not None
    agent.order(crash_seen=1)
    assert reported_crash(agent) is None
