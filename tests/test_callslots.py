"""Guards against calls to a worker that outlive what they were meant for."""

import pytest

from sardinegauge.workflows import hostevents, hoststate, views, workerclient
from tests import test_workflow_hosting

KEY = test_workflow_hosting.KEY


@pytest.fixture
def agent():
    return test_workflow_hosting.Agent()


def burst_of_starts(agent, count):
    """Order more starts than can be called at once; return their keys and calls."""
    keys = [(f"w.0.0.{number}", 1) for number in range(count)]
    agent.order(starts=[[*key, "payload", ""] for key in keys])
    calls = agent.take_calls(workerclient.StartCall)
    assert 0 < len(calls) < len(keys)
    return keys, calls


def test_starts_that_wait_for_a_slot_are_not_called_after_a_cancel(agent):
    """Guards against cancelled tasks that start once a hanging worker answers."""
    keys, calls = burst_of_starts(agent, 120)
    agent.now_ms += 150
    agent.order(stops=keys)
    agent.now_ms += 150
    for call in calls:
        agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    for _ in range(40):
        agent.tick()
        agent.answer_holds()
        for stop in agent.take_calls(workerclient.StopCall):
            agent.answer(stop)
    assert agent.take_calls(workerclient.StartCall) == []
    assert {agent.phase_of(key) for key in keys} == {views.GONE}


def test_starts_that_wait_for_a_slot_are_not_called_after_a_drain_notice(agent):
    """Guards against starts on a worker that said that it leaves."""
    keys, calls = burst_of_starts(agent, 30)
    agent.announce(sequence=2, is_draining=True)
    called_keys = {(call.request.task, call.request.run) for call in calls}
    for call in calls:
        agent.answer(call)
    assert agent.take_calls(workerclient.StartCall) == []
    gone_keys = {key for key in keys if agent.phase_of(key) == views.GONE}
    assert gone_keys == set(keys) - called_keys


def test_waiting_starts_expire_with_their_order(agent):
    """Guards against starts that a leader withdrew while they waited for a slot."""
    _, calls = burst_of_starts(agent, 30)
    agent.tick(hoststate.START_ORDER_MS + 100)
    for call in calls:
        agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    agent.answer_holds()
    agent.tick()
    assert agent.take_calls(workerclient.StartCall) == []


def test_all_waiting_calls_are_made_once_slots_are_free(agent):
    """Guards against lost slots, with which a worker gets ever fewer calls."""
    keys, calls = burst_of_starts(agent, 60)
    while calls:
        for number, call in enumerate(calls):
            if number % 3:
                agent.answer(call)
            else:
                agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
        agent.tick()
        agent.answer_holds([[*key, "", 5, 0] for key in keys if agent.phase_of(key)])
        calls = agent.take_calls(workerclient.StartCall)
    assert {agent.phase_of(key) for key in keys} == {views.ACTIVE}
    assert agent.state.slots.open_count == agent.state.slots.waiting_count == 0


def test_stops_go_before_starts_that_wait(agent):
    """Guards against stops that are late behind a queue of starts."""
    agent.answer(agent.start())
    _, calls = burst_of_starts(agent, 30)
    agent.order(stops=[KEY])
    agent.answer(calls[0])
    (stop,) = agent.take_calls(workerclient.StopCall)
    assert stop.request.task == KEY[0]
    assert agent.take_calls(workerclient.StartCall) == []


def test_calls_to_a_replaced_worker_hold_no_slot_of_the_new_one(agent):
    """Guards against more open calls than the limit after a replacement."""
    _, calls = burst_of_starts(agent, 30)
    agent.announce(incarnation=1, worker="i-2")
    agent.answer_holds()
    for call in calls:
        agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    assert agent.state.slots.open_count == 0


def test_only_the_leader_repeats_a_cpu_cap_without_an_answer(agent):
    """Guards against a call in each tick for a cap that the worker refuses."""
    agent.answer(agent.start())
    agent.order(paces=[[*KEY, 30]])
    (call,) = agent.take_calls(workerclient.PaceCall)
    agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    for _ in range(5):
        agent.tick()
    assert agent.take_calls(workerclient.PaceCall) == []
    agent.order(paces=[[*KEY, 30]])
    assert len(agent.take_calls(workerclient.PaceCall)) == 1


def test_cpu_cap_that_waits_for_a_slot_is_set_to_the_newest_order(agent):
    """Guards against a cap that is lost, or set to a share that was ordered before."""
    agent.answer(agent.start())
    _, calls = burst_of_starts(agent, 30)
    agent.order(paces=[[*KEY, 30]])
    agent.order(paces=[[*KEY, 40]])
    assert agent.take_calls(workerclient.PaceCall) == []
    agent.answer(calls[0])
    (call,) = agent.take_calls(workerclient.PaceCall)
    assert call.request.percent == 40
