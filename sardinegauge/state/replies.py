"""Stored answers to operators' commands, so that a resend gets the first answer."""

import copy
import hashlib
import json

from sardinegauge import outcome, record
from sardinegauge.state import snapshots

MAX_REPLIES = 50_000
"""Two days of operators' calls at the target size; above this the oldest are removed,
so that a flood of calls doesn't fill the memory."""


class Reply(record.Record):
    """The answer to one request id of one operator, as plain data.

    `digest` is that of the command, to detect a request id reused for another one.
    """

    __slots__ = ("operator", "request_id", "digest", "answer", "made_at_ms")


class Replies:
    """All stored answers by operator and request id, in the order of their creation."""

    __slots__ = ("by_request",)

    def __init__(self):
        self.by_request = {}

    def find(self, command, problems):
        """Return the answer to a resent command, or None for a new one.

        `problems` are those found in the command's fields.
        """
        reply = self.by_request.get((command.operator, command.request_id))
        if reply is None:
            return None
        if reply.digest != _digest(command, problems):
            reason = "was used for another call"
            return outcome.Invalid(problems=[["request_id", reason]])
        return outcome.from_plain(copy.deepcopy(reply.answer))

    def store(self, command, problems, answer):
        """Store the answer to a new command, whether accepted or not."""
        if len(self.by_request) >= MAX_REPLIES:
            del self.by_request[next(iter(self.by_request))]
        self.by_request[command.operator, command.request_id] = Reply(
            operator=command.operator,
            request_id=command.request_id,
            digest=_digest(command, problems),
            answer=outcome.to_plain(answer),
            made_at_ms=command.at_ms,
        )

    def expire(self, before_ms):
        """Remove answers created before a wall-clock time and return their number.

        The search ends at the first answer that is new enough.
        """
        expired = []
        for key, reply in self.by_request.items():
            if reply.made_at_ms >= before_ms:
                break
            expired.append(key)
        for key in expired:
            del self.by_request[key]
        return len(expired)

    def to_snapshot(self):
        """Return the table as plain data."""
        return snapshots.to_rows(Reply, self.by_request.values())

    def load_snapshot(self, data):
        """Rebuild the table."""
        for reply in snapshots.from_rows(Reply, data):
            self.by_request[reply.operator, reply.request_id] = reply


def _digest(command, problems):
    """Return a digest of a command that does not depend on its time.

    A malformed command may hold data that JSON cannot encode, so the digest covers its
    problems in place of its fields.
    """
    fields = {} if problems else {**command.to_dict(), "at_ms": 0}
    content = [type(command).__name__, fields, problems]
    data = json.dumps(content, sort_keys=True).encode()
    return hashlib.sha256(data).hexdigest()[:32]
