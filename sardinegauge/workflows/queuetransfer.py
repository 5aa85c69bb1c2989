"""Transfer of changed queues from the leader to gateways, in parts of bounded size.

The leader encodes the changes between two versions once, for the polls of all gateways.
A gateway keeps the parts that it has received: a poll that times out loses one part,
and the transfer goes on at another leader that has the same changes.
"""

import json
import logging
import zlib

from sardinegauge import record
from sardinegauge.workflows import queues

# A part crosses a link of 2 Mbit/s in 65 ms, a fraction of a poll's timeout.
PART_BYTES = 16 << 10
# The changes to an older version are kept for gateways that have begun to fetch them;
# otherwise a series of new versions would restart each transfer.
MAX_ENCODINGS = 16

log = logging.getLogger(__name__)


def encode(queue_set, since):
    """Return the changes of a queue set after a version as compressed JSON."""
    is_full, changed, removed = queue_set.changes(since)
    plain = {
        "is_full": is_full,
        "queues": [queue.to_sparse_dict() for queue in changed],
        "removed": removed,
        "limits": queue_set.limits.to_sparse_dict(),
    }
    data = json.dumps(plain, separators=(",", ":")).encode()
    # Entries may have links with low bandwidth, and names of queues are long.
    return zlib.compress(data, queues.COMPRESSION_LEVEL)


class Encoding(record.Record):
    """The encoded changes that lead to a version; `checksum` identifies the bytes."""

    __slots__ = ("checksum", "data", "version")


class Encodings:
    """The leader's encoded changes, the least recently used first.

    They depend on the log alone, so they stay valid when the leadership is lost.
    """

    def __init__(self):
        self._by_versions = {}

    def fill(self, reply, poll, queue_set):
        """Set the fields of a `messages.PollReply` to the part that a poll asks for.

        Parameters
        ----------
        reply : messages.PollReply
        poll : messages.Poll
        queue_set : queues.QueueSet

        Returns
        -------
        int
            Size of the changes in bytes if they were encoded for this poll, else 0.
        """
        reply.queues_version = queue_set.version
        if queue_set.version <= poll.queues_version:
            return 0
        versions = (poll.queues_version, poll.queues_target)
        if versions not in self._by_versions:
            versions = (poll.queues_version, queue_set.version)
        encoding = self._by_versions.pop(versions, None)
        encoded_bytes = 0
        if encoding is None:
            data = encode(queue_set, poll.queues_version)
            encoding = Encoding(
                version=queue_set.version, data=data, checksum=zlib.crc32(data)
            )
            encoded_bytes = len(data)
        self._store(versions, encoding)
        _fill_part(reply, poll, encoding)
        return encoded_bytes

    def _store(self, versions, encoding):
        self._by_versions[versions] = encoding
        if len(self._by_versions) > MAX_ENCODINGS:
            del self._by_versions[next(iter(self._by_versions))]


def _fill_part(reply, poll, encoding):
    is_continued = (poll.queues_target, poll.queues_checksum) == (
        encoding.version,
        encoding.checksum,
    )
    offset = poll.queues_offset if is_continued else 0
    # A gateway of an earlier release names no size and takes the whole in one part.
    size = poll.queues_part_bytes or len(encoding.data)
    reply.queues = encoding.data[offset : offset + size]
    reply.queues_target = encoding.version
    reply.queues_checksum = encoding.checksum
    reply.queues_offset = offset
    reply.queues_bytes = len(encoding.data)


class Download:
    """The parts of encoded changes that a gateway has received so far."""

    __slots__ = ("_checksum", "_data", "target")

    def __init__(self):
        self._clear()

    def _clear(self):
        self.target = 0
        self._checksum = 0
        self._data = b""

    def poll_fields(self):
        """Return the fields of a `messages.Poll` that ask for the next part."""
        return {
            "queues_part_bytes": PART_BYTES,
            "queues_target": self.target,
            "queues_checksum": self._checksum,
            "queues_offset": len(self._data),
        }

    def add(self, reply):
        """Add the part of a `messages.PollReply`; return all bytes once complete.

        Returns
        -------
        bytes or None
            The encoded changes to `reply.queues_target`, None while parts are missing.
        """
        if not reply.queues_bytes:
            # A leader of an earlier release sends the whole in one part.
            reply.queues_bytes = len(reply.queues)
            reply.queues_target = reply.queues_version
            reply.queues_checksum = zlib.crc32(reply.queues)
        if (reply.queues_target, reply.queues_checksum) != (
            self.target,
            self._checksum,
        ):
            self._clear()
            self.target = reply.queues_target
            self._checksum = reply.queues_checksum
        if reply.queues_offset == len(self._data):
            self._data += reply.queues
        if len(self._data) < reply.queues_bytes:
            return None
        data = self._data
        self._clear()
        if zlib.crc32(data) != reply.queues_checksum:
            log.warning("queues_damaged version=%d", reply.queues_target)
            return None
        return data
