"""Members of the replicated group, and snapshots that carry them."""

import json
import struct

from sardinegauge import record

_LENGTH = struct.Struct("<I")


class Member(record.Record):
    """One replica of the group; a learner counts in no quorum."""

    __slots__ = ("identity", "name", "address", "failure_domain", "is_voter")
    _defaults = {"failure_domain": "", "is_voter": True}


def dumps(members):
    """Return the body of a log entry that holds the whole table of members."""
    return json.dumps([member.to_dict() for member in members.values()]).encode()


def loads(body):
    """Build the table of members by identity from the body of a log entry."""
    members = [Member.from_dict(data) for data in json.loads(body)]
    return {member.identity: member for member in members}


def pack_snapshot(members, data):
    """Return one blob of the members at the snapshot's index and the machine's data.

    Examples
    --------
    >>> unpack_snapshot(pack_snapshot({}, b"machine"))
    ({}, b'machine')
    """
    head = dumps(members)
    return _LENGTH.pack(len(head)) + head + data


def unpack_snapshot(blob):
    """Return the members by identity and the machine's data of a packed blob."""
    (length,) = _LENGTH.unpack_from(blob)
    start = _LENGTH.size
    return loads(blob[start : start + length]), blob[start + length :]


def is_quorum(members, identities):
    """Tell whether the identities hold a majority of the voters.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> is_quorum(table, {"a", "x"}), is_quorum(table, {"a", "c"})
    (False, True)
    """
    voters = [member.identity for member in members.values() if member.is_voter]
    return 2 * sum(identity in identities for identity in voters) > len(voters)


def quorum_value(members, value_by_identity):
    """Return the highest value that a majority of the voters has reached.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> quorum_value(table, {"a": 7, "b": 5})
    5
    """
    values = _voter_values(members, value_by_identity)
    return values[len(values) // 2] if values else 0


def nth_value(members, value_by_identity, count):
    """Return the highest value that `count` voters have reached, 0 if there are fewer.

    Examples
    --------
    >>> table = {i: Member(identity=i, name=i, address="") for i in "abc"}
    >>> nth_value(table, {"a": 7, "b": 5}, 2), nth_value(table, {"a": 7}, 4)
    (5, 0)
    """
    values = _voter_values(members, value_by_identity)
    return values[count - 1] if count <= len(values) else 0


def _voter_values(members, value_by_identity):
    """Return the values of the voters, the highest first."""
    return sorted(
        (
            value_by_identity.get(member.identity, 0)
            for member in members.values()
            if member.is_voter
        ),
        reverse=True,
    )
