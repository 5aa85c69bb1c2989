"""Raft messages between replicas, and the log entries that they carry.

The units and numbering are those of the other wire messages, see `links.messages`.
"""

from sardinegauge import record


class VoteRequest(record.Record):
    """Requests a vote for a candidate, or a pre-vote if `pre_vote` is set.

    `last_index` and `last_term` are those of the last entry in the candidate's log.
    """

    __slots__ = (
        "term",
        "candidate",
        "last_index",
        "last_term",
        "pre_vote",
    )
    _defaults = {
        "term": 0,
        "candidate": "",
        "last_index": 0,
        "last_term": 0,
        "pre_vote": False,
    }


class VoteReply(record.Record):
    """Answers a `VoteRequest`; `last_index` is that of the voter's log."""

    __slots__ = (
        "term",
        "voter",
        "granted",
        "pre_vote",
        "last_index",
    )
    _defaults = {
        "term": 0,
        "voter": "",
        "granted": False,
        "pre_vote": False,
        "last_index": 0,
    }


class LogEntry(record.Record):
    """One entry of the replicated log: a command, a table of members or a no-op."""

    __slots__ = (
        "index",
        "term",
        "kind",
        "body",
    )
    _defaults = {"index": 0, "term": 0, "kind": "", "body": b""}


class MemberIndex(record.Record):
    """The highest committed index that a member acknowledged."""

    __slots__ = (
        "member",
        "index",
    )
    _defaults = {"member": "", "index": 0}


class AppendRequest(record.Record):
    """Log entries from the leader, or a heartbeat if `entries` is empty.

    `read_round` is the leader's latest read round, and `acknowledged` lists the highest
    acknowledged index of each member.
    """

    __slots__ = (
        "term",
        "leader",
        "prev_index",
        "prev_term",
        "entries",
        "commit_index",
        "read_round",
        "acknowledged",
    )
    _defaults = {
        "term": 0,
        "leader": "",
        "prev_index": 0,
        "prev_term": 0,
        "entries": list,
        "commit_index": 0,
        "read_round": 0,
        "acknowledged": list,
    }
    _nested = {"entries": LogEntry, "acknowledged": MemberIndex}


class AppendReply(record.Record):
    """Answers an `AppendRequest`.

    `match_index` is the highest index that the member holds durably and in agreement
    with the leader. After a rejection, `conflict_index` is the index to resend from and
    `last_index` the last index of the member's log.
    """

    __slots__ = (
        "term",
        "member",
        "success",
        "match_index",
        "conflict_index",
        "read_round",
        "prev_index",
        "last_index",
    )
    _defaults = {
        "term": 0,
        "member": "",
        "success": False,
        "match_index": 0,
        "conflict_index": 0,
        "read_round": 0,
        "prev_index": 0,
        "last_index": 0,
    }


class SnapshotChunk(record.Record):
    """A chunk of a snapshot, for a member that lacks entries compacted from the log.

    `last_index` and `last_term` are those of the last entry that the snapshot covers;
    `offset` and `total` count bytes.
    """

    __slots__ = (
        "term",
        "leader",
        "last_index",
        "last_term",
        "offset",
        "total",
        "data",
        "read_round",
    )
    _defaults = {
        "term": 0,
        "leader": "",
        "last_index": 0,
        "last_term": 0,
        "offset": 0,
        "total": 0,
        "data": b"",
        "read_round": 0,
    }


class SnapshotReply(record.Record):
    """Answers a `SnapshotChunk` with the byte offset of the next chunk.

    `done` is set once the member has installed the snapshot or holds its entries.
    """

    __slots__ = (
        "term",
        "member",
        "last_index",
        "next_offset",
        "done",
        "read_round",
    )
    _defaults = {
        "term": 0,
        "member": "",
        "last_index": 0,
        "next_offset": 0,
        "done": False,
        "read_round": 0,
    }


class StaleMember(record.Record):
    """Notifies a member that its log ends before an index that it acknowledged.

    The member's data folder is then an older copy; see `raftstate.Rejoin`.
    """

    __slots__ = (
        "term",
        "member",
        "acknowledged_index",
    )
    _defaults = {"term": 0, "member": "", "acknowledged_index": 0}


class TimeoutNow(record.Record):
    """Transfers the leadership: the receiver starts an election at once."""

    __slots__ = (
        "term",
        "leader",
    )
    _defaults = {"term": 0, "leader": ""}
