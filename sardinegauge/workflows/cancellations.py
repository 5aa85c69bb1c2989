"""Replicated record of cancelled ids that no workflow had, which keeps a cancel true.

A submission may lie at a gateway that is suspended, or be on its way to a leader, while
its caller cancels the workflow through another gateway and hears that it does not
exist. The record keeps that submission out when it arrives.
"""

import logging

from sardinegauge import checks

# As long as an ended workflow is kept: a gateway may be suspended for minutes.
RETENTION_MS = 15 * 60 * 1000
# Limit of the recorded ids, of which each takes about 250 bytes. With as many, a
# cancel of a further unknown id is not acknowledged.
MAX_CANCELLATIONS = 40_000
CANCELLED_BEFORE = "cancelled before it was accepted"

log = logging.getLogger(__name__)


class Cancellations:
    """The times of cancels by workflow id, in the order of the last cancel of each."""

    __slots__ = ("at_ms_by_id",)

    def __init__(self):
        self.at_ms_by_id = {}

    def blocks(self, workflow_id, now_ms):
        """Return whether a submission of an id must be kept out."""
        at_ms = self.at_ms_by_id.get(workflow_id)
        return at_ms is not None and now_ms - at_ms < RETENTION_MS

    def add(self, workflow_id, at_ms):
        """Record a cancel; return False if there are too many."""
        self._drop_expired(at_ms)
        if workflow_id not in self.at_ms_by_id:
            if len(self.at_ms_by_id) >= MAX_CANCELLATIONS:
                log.warning(
                    "cancel_not_recorded id=%s limit=%d", workflow_id, MAX_CANCELLATIONS
                )
                return False
        self.at_ms_by_id.pop(workflow_id, None)
        self.at_ms_by_id[workflow_id] = at_ms
        return True

    def _drop_expired(self, now_ms):
        while self.at_ms_by_id:
            oldest, at_ms = next(iter(self.at_ms_by_id.items()))
            if now_ms - at_ms < RETENTION_MS:
                return
            del self.at_ms_by_id[oldest]

    def to_snapshot(self):
        """Return the cancels as rows of id and time."""
        return [list(row) for row in self.at_ms_by_id.items()]

    def load_snapshot(self, data):
        """Load the cancels from the result of `to_snapshot`."""
        self.at_ms_by_id = dict(data)


def can_be_submitted(workflow_id):
    """Return whether a workflow can have this id; others need no record.

    Examples
    --------
    >>> can_be_submitted("5c0e7a21d94b36f8"), can_be_submitted("a/b")
    (True, False)
    """
    problems = []
    checks.name(workflow_id, "id", problems)
    return not problems
