"""Guards against a worker that is given up for the announcement of another writer."""

import pytest

from sardinegauge.workflows import hostedruns, hoststate, workerclient
from tests import test_workflow_hosting


@pytest.fixture
def agent():
    return test_workflow_hosting.Agent()


def announce_foreign(agent):
    agent.announce(incarnation=9, worker="foreign", pool="other")


def live(agent, ms):
    """Let the known worker announce itself and answer its holds for a while."""
    for _ in range(ms // 200):
        agent.announce(sequence=agent.now_ms)
        agent.answer_holds()
        agent.tick(200)


def worker_of(agent):
    return agent.state.announcement.worker


def test_worker_that_answers_is_not_replaced_by_a_fresh_id(agent):
    """Guards against a VM that is lost for good to one foreign announcement."""
    live(agent, 1000)
    announce_foreign(agent)
    assert worker_of(agent) == "i-1"
    live(agent, 4000)
    announce_foreign(agent)
    assert worker_of(agent) == "i-1"
    assert agent.state.is_responsive


def test_worker_that_hung_comes_back_after_a_foreign_announcement(agent):
    """Guards against a worker that is ignored since an unknown one was announced."""
    agent.tick(hoststate.RESPONSE_TIMEOUT_MS)
    announce_foreign(agent)
    assert worker_of(agent) == "foreign"
    agent.take_calls(workerclient.HoldCall)
    agent.tick(hoststate.RESPONSE_TIMEOUT_MS)
    agent.announce(sequence=2)
    assert worker_of(agent) == "i-1"
    live(agent, 1000)
    assert agent.state.is_fenced
    announce_foreign(agent)
    assert worker_of(agent) == "i-1"


def test_replacement_is_taken_once_the_former_worker_is_gone(agent):
    """Guards against a new worker that has to wait long for its first run."""
    (call, *_) = start_hold(agent)
    agent.answer(call, kind=workerclient.WRONG_INCARNATION)
    agent.announce(incarnation=2, worker="i-2")
    assert worker_of(agent) == "i-2"


def test_replacement_of_a_draining_worker_is_taken_at_once(agent):
    """Guards against a new worker that waits until a long drain has ended."""
    agent.announce(sequence=2, is_draining=True)
    agent.announce(incarnation=2, worker="i-2")
    assert worker_of(agent) == "i-2"


def test_restart_of_a_worker_under_another_id_is_taken_at_once(agent):
    """Guards against a worker that restarted and has to wait for its next heartbeat."""
    live(agent, 1000)
    agent.announce(incarnation=2, worker="i-2")
    assert worker_of(agent) == "i-2"


def test_late_announcement_of_a_former_worker_changes_nothing(agent):
    """Guards against a new worker that a delayed announcement replaces."""
    agent.tick(hoststate.RESPONSE_TIMEOUT_MS)
    agent.announce(incarnation=2, worker="i-2")
    agent.announce(incarnation=1, worker="i-1", sequence=99)
    assert worker_of(agent) == "i-2"
    agent.answer_holds()
    agent.tick(100)
    agent.announce(incarnation=1, worker="i-1", sequence=100)
    assert worker_of(agent) == "i-2"


def start_hold(agent):
    agent.take_calls(workerclient.HoldCall)
    agent.state.open_hold_count = 0
    hostedruns.send_hold(agent.state)
    effects, agent.state.effects = agent.state.effects, []
    return effects
