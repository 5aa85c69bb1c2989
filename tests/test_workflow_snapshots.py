"""Guards against snapshots that hold more or less than the state of their index."""

import json

import pytest

from sardinegauge import commands
from sardinegauge.state import machine
from sardinegauge.workflows import steps
from tests import test_workflow_store

QUEUE = test_workflow_store.QUEUE


@pytest.fixture
def log():
    log = test_workflow_store.Log()
    log.register()
    return log


def test_configuration_survives_a_restart_from_a_snapshot_taken_during_a_change(log):
    """A snapshot is encoded in steps, between which further commands are applied.

    It held later changes of the queues, so that the change failed when it was applied
    again after a restart. The replica kept the former queues for good.
    """
    other = QUEUE.replace(name="other", prefix="/other/")
    log.set_queues(2, QUEUE, other, source="two")
    being_encoded = machine.to_snapshot(log.machine)
    replayed_from = log.index
    log.set_queues(3, QUEUE.replace(name="new", prefix="/new/"), other, source="three")
    restored = test_workflow_store.Log()
    restored.machine = machine.from_snapshot(json.loads(json.dumps(being_encoded)))
    restored.index = replayed_from
    restored.set_queues(
        3, QUEUE.replace(name="new", prefix="/new/"), other, source="three"
    )
    assert restored.store.queue_set.version == 3
    assert restored.store.queue_set.source == "three"
    assert machine.to_snapshot(restored.machine) == machine.to_snapshot(log.machine)


def test_snapshot_does_not_change_with_later_commands(log):
    """See above; every table of the snapshot must be a copy."""
    other = QUEUE.replace(name="other", prefix="/other/")
    log.set_queues(2, QUEUE, other)
    log.submit(steps.Step(count=3, is_gang=True), steps.Step(after=[0]), repeats=2)
    log.submit(steps.Step(count=2, is_speculative=True), id="v", queue="other")
    log.assign(["w.0.0.0", 1, "a", 1], ["v.0.0.0", 1, "a", 1])
    log.apply(commands.RefuseWorkflow(id="u", queue="q", retry_after_s=3))
    log.apply(commands.CancelWorkflow(id="s", is_binding=True))
    log.apply(commands.KeepEstimates(rows=[["", "x", 0.1, 0.1]], run_times=[]))
    snapshot = machine.to_snapshot(log.machine)
    text = json.dumps(snapshot)
    log.assign(["w.0.0.1", 1, "a", 1], ["v.0.0.1", 1, "a", 1], ["w.1.0.0", 1, "a", 1])
    log.end([1, "w.0.0.0", 1, "failed", "c"], [2, "v.0.0.0", 1, "done", ""])
    log.register("b", 2)
    log.register("a", 3)
    log.apply(commands.RefuseWorkflow(id="u", queue="q", retry_after_s=9))
    log.apply(commands.RefuseWorkflow(id="t", queue="q", retry_after_s=3))
    log.apply(commands.KeepEstimates(rows=[["", "x", 0.2, 0.1]], run_times=[]))
    log.apply(commands.CancelWorkflow(id="v"))
    log.apply(commands.CancelWorkflow(id="r", is_binding=True))
    log.set_queues(3, other.replace(priority=3))
    assert json.dumps(snapshot) == text


def test_snapshot_of_an_earlier_release_with_later_changes_is_repaired(log):
    """Such snapshots may lie on disks; without a repair, the replica stays behind."""
    changed = (QUEUE.replace(name="new", prefix="/new/"),)
    snapshot = json.loads(json.dumps(machine.to_snapshot(log.machine)))
    queues_plain = snapshot["workflows"]["queues"]
    queues_plain["changed"] = {"new": 2}
    queues_plain["removed_at"] = {"q": 2}
    restored = test_workflow_store.Log()
    restored.machine = machine.from_snapshot(snapshot)
    assert restored.store.queue_set.changes(0)[1:] == ([QUEUE], [])
    restored.set_queues(2, *changed)
    assert restored.store.queue_set.changes(1) == (False, list(changed), ["q"])
