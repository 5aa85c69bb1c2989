"""Replicated record of refused workflows, which keeps "not accepted" true.

A caller whose submission got no answer may submit again through another gateway and be
refused there, while the first proposal is still on its way to a leader. The record of
the refusal blocks that proposal. A caller who returns after the refusal passes, since
its gateway has seen the index of the refusal before the call arrived.
"""

from sardinegauge import outcome, record

# A proposal reaches a leader within seconds of its submission or never: a gateway
# proposes for 1.6 s, and links without an answer are closed.
RETENTION_MS = 120_000
# Limit of the recorded refusals, of which each takes about 400 bytes. With as many, no
# further one is recorded, and so no workflow is refused.
MAX_REFUSALS = 40_000
# A caller returns as told from this long before its time until this long after it.
EARLY_MS = 500
RETURN_WINDOW_MS = 5000


class RefusedWorkflow(record.Record):
    """A refused workflow; its caller was told to return at `due_ms`.

    `index` and `at_ms` are those of its last refusal, `first_at_ms` is the time of the
    first one.
    """

    __slots__ = ("id", "queue", "index", "at_ms", "due_ms", "first_at_ms")

    def is_due(self, at_ms):
        """Return whether a caller at this time returns when it was told to."""
        return -EARLY_MS <= at_ms - self.due_ms <= RETURN_WINDOW_MS


class Refusals:
    """The refused workflows by id, in the order of their last refusal."""

    __slots__ = ("by_id",)

    def __init__(self):
        self.by_id = {}

    def blocking_index(self, command):
        """Return the log index of the refusal that blocks a submission, else 0."""
        refused = self.by_id.get(command.id)
        if refused is None or refused.index <= command.seen_index:
            return 0
        return refused.index

    def add(self, refused):
        """Record a refusal; return False if there are too many."""
        self._drop_expired(refused.at_ms)
        if refused.id not in self.by_id and len(self.by_id) >= MAX_REFUSALS:
            return False
        self.by_id.pop(refused.id, None)
        self.by_id[refused.id] = refused
        return True

    def _drop_expired(self, now_ms):
        while self.by_id:
            oldest = next(iter(self.by_id.values()))
            if now_ms - oldest.at_ms < RETENTION_MS:
                return
            del self.by_id[oldest.id]

    def remove(self, workflow_id):
        """Forget the refusal of a workflow that is accepted now."""
        self.by_id.pop(workflow_id, None)

    def waiting_by_queue(self, wall_ms):
        """Return the number of callers by queue who are still expected to return."""
        count_by_queue = {}
        for refused in self.by_id.values():
            if refused.due_ms + RETURN_WINDOW_MS > wall_ms:
                count = count_by_queue.get(refused.queue, 0)
                count_by_queue[refused.queue] = count + 1
        return count_by_queue

    def to_snapshot(self):
        """Return the refusals as plain data."""
        return [refused.to_dict() for refused in self.by_id.values()]

    def load_snapshot(self, data):
        """Load the refusals from the result of `to_snapshot`."""
        for fields in data:
            refused = RefusedWorkflow.from_dict(fields)
            self.by_id[refused.id] = refused


def refuse(machine, index, command):
    """Record the refusal of a workflow, unless it was accepted before."""
    store = machine.workflows
    if command.id in store.workflow_by_id:
        return outcome.Accepted(ids=[command.id])
    earlier = store.refusals.by_id.get(command.id)
    if earlier is not None and command.is_newcomer and earlier.is_due(command.at_ms):
        if earlier.index <= command.seen_index:
            waited_ms = command.at_ms - earlier.first_at_ms
            return outcome.Accepted(value={"waited_ms": waited_ms})
    refused = RefusedWorkflow(
        id=command.id,
        queue=command.queue,
        index=index,
        at_ms=command.at_ms,
        due_ms=command.at_ms + 1000 * command.retry_after_s,
        first_at_ms=earlier.first_at_ms if earlier is not None else command.at_ms,
    )
    if not store.refusals.add(refused):
        return outcome.Impossible(reason="too many refused workflows are recorded")
    return outcome.Accepted(version=index)
