"""Guards against a refused workflow that runs, in the replicated record of refusals."""

import json

from sardinegauge import commands, outcome
from sardinegauge.state import machine
from sardinegauge.workflows import refusals
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

STEP = steps_module.Step(cpu_millis=100)


def refuse(leader, id="w", retry_after_s=2):
    command = commands.RefuseWorkflow(id=id, queue="q", retry_after_s=retry_after_s)
    return leader.commit(command)


def test_proposal_that_was_made_before_a_refusal_is_blocked():
    """It would run a workflow that its caller knows as not accepted."""
    leader = leaderkit.Leader()
    refusal = refuse(leader)
    late = leader.submit(STEP, seen_index=refusal.version - 1)
    assert late == outcome.Conflict(refusal.version, "", "refused before")
    # A gateway of an earlier release names no index.
    assert isinstance(leader.submit(STEP), outcome.Conflict)
    assert not leader.store.workflow_by_id


def test_caller_who_returns_after_a_refusal_is_accepted():
    leader = leaderkit.Leader()
    refusal = refuse(leader)
    answer = leader.submit(STEP, seen_index=refusal.version)
    assert answer == outcome.Accepted(ids=["w"])
    assert not leader.store.refusals.by_id
    # A late copy of the first proposal finds the workflow by its id.
    assert leader.submit(STEP) == answer
    assert len(leader.store.workflow_by_id) == 1


def test_accepted_workflow_is_never_refused():
    leader = leaderkit.Leader()
    leader.submit(STEP)
    assert refuse(leader) == outcome.Accepted(ids=["w"])
    leader.commit(commands.CancelWorkflow(id="w"))
    assert refuse(leader).ids == ["w"]
    assert not leader.store.refusals.by_id


def test_later_refusal_replaces_the_earlier_one():
    leader = leaderkit.Leader()
    first = refuse(leader).version
    second = refuse(leader).version
    assert isinstance(leader.submit(STEP, seen_index=first), outcome.Conflict)
    assert isinstance(leader.submit(STEP, seen_index=second), outcome.Accepted)


def test_refusals_are_bounded_in_number_and_time(monkeypatch):
    monkeypatch.setattr(refusals, "MAX_REFUSALS", 3)
    leader = leaderkit.Leader()
    for number in range(3):
        assert refuse(leader, f"w{number}").version
    assert isinstance(refuse(leader, "w3"), outcome.Impossible)
    # One that is recorded already can always be renewed.
    assert refuse(leader, "w0").version
    leader.now_ms += refusals.RETENTION_MS
    assert refuse(leader, "w3").version
    assert list(leader.store.refusals.by_id) == ["w3"]


def test_refusals_survive_a_snapshot():
    leader = leaderkit.Leader()
    refusal = refuse(leader)
    data = json.loads(json.dumps(machine.to_snapshot(leader.machine)))
    restored = machine.from_snapshot(data)
    late = commands.SubmitWorkflow(
        id="w", queue="q", payload="", steps=[STEP.to_sparse_dict()], at_ms=1
    )
    answer = machine.apply(restored, 99, late)
    assert answer == outcome.Conflict(refusal.version, "", "refused before")
    del data["workflows"]["refusals"]
    assert not machine.from_snapshot(data).workflows.refusals.by_id


def test_callers_are_expected_until_their_window_ends():
    leader = leaderkit.Leader()
    refuse(leader, "a", retry_after_s=2)
    refuse(leader, "b", retry_after_s=60)
    found = leader.store.refusals
    assert found.waiting_by_queue(leader.now_ms) == {"q": 2}
    end_ms = leader.now_ms + 2000 + refusals.RETURN_WINDOW_MS
    assert found.waiting_by_queue(end_ms) == {"q": 1}


def test_submission_without_a_refusal_has_the_form_of_earlier_releases():
    """Replicas of an earlier release would end with an unknown field in the log."""
    command = commands.SubmitWorkflow(id="w", queue="q", payload="", steps=[])
    assert b"seen_index" not in commands.REGISTRY.dumps(command)
    command.seen_index = 5
    data = commands.REGISTRY.dumps(command)
    assert commands.REGISTRY.loads(data).seen_index == 5
