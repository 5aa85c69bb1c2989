"""Tests that a replica takes in no more than it has memory for."""

import pytest

from sardinegauge import commands, outcome
from sardinegauge.links import messages
from sardinegauge.state import memorylimit, replica
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import admission
from tests import test_malformed_commands

MIB = memorylimit.MIB
STEP = steps_module.Step()
LARGE_STEPS = [STEP.replace(count=1000).to_sparse_dict()]


@pytest.fixture
def leader():
    found = test_malformed_commands.Leader()
    found.state.memory.memory_bytes = 200 * MIB
    return found


def use(leader, resident_mb):
    leader.dispatch(
        replica.SchedulerTick(
            now_ms=leader.now_ms, wall_ms=9, resident_bytes=resident_mb * MIB
        )
    )


def submit(leader, workflow_id, steps):
    command = commands.SubmitWorkflow(
        id=workflow_id, queue="q", payload="", steps=steps
    )
    body = commands.REGISTRY.dumps(command)
    token = leader.send_request(messages.Propose(command=body, deadline_ms=1000))
    leader.persist()
    return leader.replies[token].verdict


def test_leader_that_nears_its_memory_refuses_new_workflows(leader):
    """It ended for lack of memory, and its successors after it."""
    ran, not_run = outcome.Verdict.RAN.value, outcome.Verdict.NOT_RUN.value
    small = [STEP.to_sparse_dict()]
    use(leader, 100)
    assert submit(leader, "a", LARGE_STEPS) == ran
    use(leader, 170)
    assert submit(leader, "b", LARGE_STEPS) == not_run
    assert submit(leader, "c", small) == ran
    use(leader, 190)
    assert submit(leader, "d", small) == not_run
    # What was accepted before is still acknowledged.
    assert submit(leader, "a", LARGE_STEPS) == ran
    use(leader, 100)
    assert submit(leader, "d", small) == ran


def test_memory_without_a_limit_refuses_nothing():
    limit = memorylimit.MemoryLimit(resident_bytes=900 * MIB)
    assert limit.has_room(50 * MIB)
    assert limit.max_held_bytes == admission.MAX_HELD_BYTES


def test_gateways_are_told_what_a_smaller_machine_can_hold():
    held = [
        memorylimit.MemoryLimit(memory_bytes=mb * MIB).max_held_bytes
        for mb in (100, 160, 296, 424)
    ]
    assert held[0] == 0 < held[1] < held[2] == held[3] == admission.MAX_HELD_BYTES


def test_backlog_of_an_earlier_release_names_no_limit_of_memory():
    """Otherwise a gateway would have no copy while the replicas are upgraded."""
    text = b"[0,3,1000,0,0,{}]"
    found = admission.Backlog.from_json(text)
    assert (found.open_count, found.max_held_bytes) == (3, admission.MAX_HELD_BYTES)
