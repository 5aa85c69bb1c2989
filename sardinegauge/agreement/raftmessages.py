"""Record classes of the wire messages between replicas; see `messages`."""

from sardinegauge import record


class VoteRequest(record.Record):
    """A candidate asks for a vote, or for a promise of one when `pre_vote` is set."""

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
    """A voter's answer, with its last log index."""

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
    """One entry of the replicated log."""

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
    """Log entries or a heartbeat from the leader."""

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
    """A member's acknowledgement after its fsync."""

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
    """A piece of a snapshot for a member that is too far behind for the log."""

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
    """The offset from which a member wants the next chunk."""

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
    """Tells a member that its data folder is older than what it acknowledged."""

    __slots__ = (
        "term",
        "member",
        "acknowledged_index",
    )
    _defaults = {"term": 0, "member": "", "acknowledged_index": 0}


class TimeoutNow(record.Record):
    """The leader hands over: the receiver begins an election at once."""

    __slots__ = (
        "term",
        "leader",
    )
    _defaults = {"term": 0, "leader": ""}
