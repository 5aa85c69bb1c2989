"""Guards against workflows that run although their cancel was acknowledged."""

import json
import tracemalloc

import pytest

from sardinegauge import commands, outcome
from sardinegauge.state import machine
from sardinegauge.workflows import cancellations, gateway
from tests import admissionkit


@pytest.fixture
def cluster():
    """Two gateways, of which the first has a submission on its way."""
    found = admissionkit.Cluster(gateway_count=2)
    found.poll()
    found.clients[0].is_holding = True
    assert isinstance(found.submit("w"), outcome.Lost)
    return found


def cancel_at(cluster, at=1, id="w"):
    return cluster.run(cluster.gateways[at].cancel(id, 1))


def restart_all(cluster):
    """Let all replicas lose power, and load what they kept."""
    data = json.loads(json.dumps(machine.to_snapshot(cluster.leader.machine)))
    cluster.leader.machine = machine.from_snapshot(data)
    cluster.leader.start_term(term=2)


def test_submission_that_arrives_after_its_cancel_is_kept_out(cluster):
    """Guards against a job that runs after its cancel was answered with 410."""
    assert cancel_at(cluster) == gateway.NoWorkflow()
    assert isinstance(cluster.clients[0].deliver()[0], outcome.Conflict)
    assert "w" not in cluster.open_ids


def test_cancel_of_an_unknown_id_survives_a_snapshot_and_a_change_of_leader(cluster):
    cancel_at(cluster)
    restart_all(cluster)
    assert isinstance(cluster.clients[0].deliver()[0], outcome.Conflict)
    assert "w" not in cluster.open_ids


def test_caller_who_submits_a_cancelled_id_is_refused_for_good(cluster):
    """Guards against a refused caller whose job is accepted by a later attempt."""
    cancel_at(cluster)
    for at in (1, 1, 0):
        cluster.clients[0].is_holding = False
        answer = cluster.submit("w", at)
        assert isinstance(answer, outcome.Refused)
        assert answer.reason == cancellations.CANCELLED_BEFORE
    cluster.leader.now_ms += cancellations.RETENTION_MS
    assert cluster.submit("w", 1) == outcome.Accepted(ids=["w"])


def test_refused_and_cancelled_caller_is_not_expected_any_more(cluster):
    cluster.leader.commit(
        commands.RefuseWorkflow(id="x", queue="q", retry_after_s=9, seen_index=0)
    )
    cancel_at(cluster, id="x")
    assert not cluster.leader.store.refusals.by_id


def test_cancels_of_ids_that_no_workflow_can_have_are_not_recorded(cluster):
    """Guards against records of any size, as callers choose the text of a path."""
    for id in ("a/b", "a.b" * 40, "", "\u00e9"):
        cancel_at(cluster, id=id)
    assert not cluster.leader.store.cancellations.at_ms_by_id


def test_cancel_beyond_the_limit_is_not_acknowledged(cluster, monkeypatch):
    """Guards against an acknowledged cancel without a record."""
    monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS", 2)
    for id in ("a", "b", "b", "a"):
        assert cancel_at(cluster, id=id) == gateway.NoWorkflow()
    assert isinstance(cancel_at(cluster), outcome.Refused)
    assert isinstance(cluster.clients[0].deliver()[0], outcome.Accepted)
    # A known workflow is cancelled as before.
    assert cancel_at(cluster) == outcome.Accepted(ids=["w"])
    cluster.leader.now_ms += cancellations.RETENTION_MS
    assert cancel_at(cluster, id="c") == gateway.NoWorkflow()
    assert list(cluster.leader.store.cancellations.at_ms_by_id) == ["c"]


def test_cancel_in_a_log_of_an_earlier_release_records_nothing(cluster):
    """Guards against a replay that loses a job which was accepted after a cancel."""
    data = commands.REGISTRY.dumps(commands.CancelWorkflow(id="w"))
    command = commands.REGISTRY.loads(data)
    assert isinstance(cluster.leader.commit(command), outcome.Impossible)
    assert isinstance(cluster.clients[0].deliver()[0], outcome.Accepted)


def test_full_record_takes_little_memory():
    """Guards against a flood of cancels that drives a replica over its limit."""
    tracemalloc.start()
    found = cancellations.Cancellations()
    for number in range(cancellations.MAX_CANCELLATIONS):
        assert found.add(f"{number:016x}", 1_700_000_000_000 + number)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert size < 300 * cancellations.MAX_CANCELLATIONS
