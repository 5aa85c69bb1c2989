"""Members of the Raft group, their quorums, and their encoding in snapshots."""

import json
import struct

from sardinegauge import record

_LENGTH = struct.Struct("<I")


class Member(record.Record):
    """One replica of the group; only a voter counts in quorums, a learner does not."""

    __slots__ = ("identity", "name", "address", "failure_domain", "is_voter")
    _defaults = {"failure_domain": "", "is_voter": True}


def dumps(members):
    """Encode the table of members as the body of a log entry."""
    return json.dumps([member.to_dict() for member in members.values()]).encode()


def loads(body):
    """Decode the table of members, by identity, from the body of a log entry."""
    members = [Member.from_dict(data) for data in json.loads(body)]
    return {member.identity: member for member in members}


def pack_snapshot(members, data):
    """Pack the members at the snapshot's index and the state machine's data.

    Examples
    --------
    >>> unpack_snapshot(pack_snapshot({}, b"machine"))
    ({}, b'machine')
    """
    head = dumps(members)
    return _LENGTH.pack(len(head)) + head + data


def unpack_snapshot(blob):
    """Return the members by identity and the state machine's data from a blob."""
    (length,) = _LENGTH.unpack_from(blob)
    start = _LENGTH.size
    return loads(blob[start : start + length]), blob[start + length :]


def is_quorum(members, identities):
    """Tell whether `identities` include a majority of the voters.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> is_quorum(table, {"a", "x"}), is_quorum(table, {"a", "c"})
    (False, True)
    """
    voters = [member.identity for member in members.values() if member.is_voter]
    return 2 * sum(identity in identities for identity in voters) > len(voters)


def quorum_value(members, value_by_identity):
    """Return the highest value that a majority of the voters has reached, or 0.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> quorum_value(table, {"a": 7, "b": 5})
    5
    """
    values = _voter_values(members, value_by_identity)
    return values[len(values) // 2] if values else 0


def nth_highest_value(members, value_by_identity, count):
    """Return the highest value that `count` voters have reached, 0 with fewer voters.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> nth_highest_value(table, {"a": 7, "b": 5}, 2)
    5
    >>> nth_highest_value(table, {"a": 7}, 4)
    0
    """
    values = _voter_values(members, value_by_identity)
    return values[count - 1] if count <= len(values) else 0


def _voter_values(members, value_by_identity):
    """Return the values of the voters in descending order."""
    return sorted(
        (
            value_by_identity.get(member.identity, 0)
            for member in members.values()
            if member.is_voter
        ),
        reverse=True,
    )
