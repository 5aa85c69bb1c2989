"""Guards against calls of a former process of an agent that are executed late."""

import pytest

from sardinegauge.workflows import (
    hostedfence,
    hostedreport,
    hostevents,
    hosting,
    hoststate,
    schedulerevents,
    steps,
    views,
    workerclient,
)
from tests import leaderkit, test_workflow_hosting

KEY = test_workflow_hosting.KEY


def fence_process(agent, started_wall_ms, worker_fence):
    """Let a new process of the agent find the worker at a fence; return its own."""
    agent.state = hoststate.State("vm-1", started_wall_ms)
    agent.calls.clear()
    agent.sequence = 0
    agent.announce()
    for _ in range(100):
        agent.tick()
        for call in agent.take_calls(workerclient.HoldCall):
            if call.request.fence < worker_fence:
                reason = workerclient.STALE_FENCE
                agent.answer(call, kind=workerclient.REFUSED, reason=reason)
            else:
                worker_fence = call.request.fence
                agent.answer(call, incarnation=1, running=[], ended=[])
        if agent.state.is_fenced:
            return agent.state.fence
    raise AssertionError("the worker was never fenced")


@pytest.mark.parametrize("started_wall_ms", [1000, 6000, 5001, 5000, 4999, 0])
def test_each_process_has_a_higher_fence_than_the_ones_before(started_wall_ms):
    """Guards against late calls of a former process, also if the clock was set back."""
    agent = test_workflow_hosting.Agent()
    former_fence = fence_process(agent, 5000, 0)
    assert fence_process(agent, started_wall_ms, former_fence) > former_fence


def test_next_incarnation_has_a_higher_fence():
    """Guards against late calls for a former incarnation of the worker."""
    assert hostedfence.first_fence(12, 5000) > hostedfence.first_fence(11, 5000)


def test_accepted_number_of_a_former_process_is_not_used():
    """Guards against a fence that a former process shares, whose calls then pass."""
    agent = test_workflow_hosting.Agent()
    agent.announce(incarnation=2)
    first = agent.take_calls(workerclient.HoldCall)[-1]
    agent.order(starts=[[*KEY, "payload", ""]])
    agent.answer(first, incarnation=2, running=[], ended=[])
    assert not agent.state.is_fenced
    assert agent.take_calls(workerclient.StartCall) == []
    agent.answer_holds()
    agent.tick()
    (start,) = agent.take_calls(workerclient.StartCall)
    assert start.request.fence == first.request.fence + 1


def test_refusals_of_older_calls_raise_the_fence_once():
    """Guards against a fence that many refused calls raise without need."""
    agent = test_workflow_hosting.Agent()
    fence = agent.state.fence
    agent.tick()
    (hold,) = agent.take_calls(workerclient.HoldCall)
    for _ in range(3):
        agent.answer(hold, kind=workerclient.REFUSED, reason=workerclient.STALE_FENCE)
    assert agent.state.fence == fence + 1 and not agent.state.is_fenced


def test_order_that_expires_before_the_fence_is_stopped_first():
    """Guards against a second run beside a late start of the agent's former process."""
    agent = test_workflow_hosting.Agent()
    agent.announce(incarnation=2)
    agent.take_calls(workerclient.HoldCall)
    agent.order(starts=[[*KEY, "payload", ""]])
    for _ in range(hoststate.START_ORDER_MS // 100 + 1):
        agent.tick()
    assert agent.phase_of() == views.STOPPING
    assert agent.take_calls(workerclient.StopCall)


def reported_cap(agent):
    (row,) = hostedreport.report_fields(agent.state)["runs"]
    return row[-2]


def test_cpu_cap_that_a_former_process_has_set_is_unknown():
    """Guards against a run that stays throttled for good after an agent's restart."""
    agent = test_workflow_hosting.Agent()
    agent.tick()
    agent.answer_holds(running=[[*KEY, "", 5, 0]])
    assert reported_cap(agent) == views.UNKNOWN_CPU_CAP
    agent.order(paces=[[*KEY, 100]])
    (call,) = agent.take_calls(workerclient.PaceCall)
    agent.answer(call)
    assert reported_cap(agent) == 100


def test_cpu_cap_without_an_answer_is_unknown_until_it_can_no_longer_be_late():
    """Guards against a cap that takes effect after the one that replaced it."""
    agent = test_workflow_hosting.Agent()
    agent.answer(agent.start())
    agent.order(paces=[[*KEY, 30]])
    (call,) = agent.take_calls(workerclient.PaceCall)
    agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
    assert reported_cap(agent) == views.UNKNOWN_CPU_CAP
    agent.tick()
    agent.order(paces=[[*KEY, 100]])
    (call,) = agent.take_calls(workerclient.PaceCall)
    agent.answer(call)
    assert reported_cap(agent) == 100
    agent.tick(hosting.MAX_CALL_DELAY_MS)
    assert reported_cap(agent) == views.UNKNOWN_CPU_CAP
    agent.order(paces=[[*KEY, 100]])
    (call,) = agent.take_calls(workerclient.PaceCall)
    agent.answer(call)
    agent.tick(hosting.MAX_CALL_DELAY_MS)
    assert reported_cap(agent) == 100


@pytest.mark.parametrize("is_filler", [True, False])
def test_leader_orders_an_unknown_cpu_cap_of_a_best_effort_task(is_filler):
    """Guards against caps that stay as they are, and calls that no task needs."""
    leader = leaderkit.Leader()
    leader.report()
    leader.submit(steps.Step(count=1, cpu_millis=1000, is_filler=is_filler))
    leader.settle()
    row = ["w.0.0.0", 1, views.ACTIVE, "", 5, 0, "", views.UNKNOWN_CPU_CAP, 500]
    report = leaderkit.report_of("a", [])
    report.runs = [row]
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    expected = [["w.0.0.0", 1, 100]] if is_filler else []
    assert leader.orders()["paces"] == expected
