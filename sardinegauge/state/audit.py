"""Audit log: the newest accepted changes of operators."""

import collections

from sardinegauge import record
from sardinegauge.state import snapshots

MAX_RECORDS = 10_000
"""About ten hours at the target size, with 5,400 changes and 17,000 jobs a day."""
MAX_SUBJECT_LENGTH = 200


class AuditRecord(record.Record):
    """One accepted change.

    `index` is the log index, `call` the class name of the command, `subject` the ids or
    the version that the command changed.
    """

    __slots__ = ("index", "at_ms", "operator", "call", "outcome", "subject")


class Audit:
    """Accepted changes, oldest first; above `MAX_RECORDS` the oldest are removed."""

    __slots__ = ("records",)

    def __init__(self):
        self.records = collections.deque(maxlen=MAX_RECORDS)

    def add(self, index, command, answer):
        """Add an accepted change."""
        subject = ", ".join(answer.ids[:20])
        if answer.version:
            subject = f"version {answer.version}"
        self.records.append(
            AuditRecord(
                index=index,
                at_ms=command.at_ms,
                operator=command.operator,
                call=type(command).__name__,
                outcome="accepted",
                subject=subject[:MAX_SUBJECT_LENGTH],
            )
        )

    def to_snapshot(self):
        """Return the list as plain data."""
        return snapshots.to_rows(AuditRecord, self.records)

    def load_snapshot(self, data):
        """Rebuild the list."""
        self.records.extend(snapshots.from_rows(AuditRecord, data))
