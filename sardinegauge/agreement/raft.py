"""Raft consensus with pre-vote and learners, as a reducer without I/O.

`reduce` applies one event to the state and returns the resulting effects in order.
`raftstate` defines the state and the effects; `elections`, `replication` and
`follower` implement the protocol.
"""

from sardinegauge import record
from sardinegauge.agreement import (
    elections,
    follower,
    membership,
    raftmessages,
    raftstate,
    replication,
)

# A learner that lags by more entries is not promoted: while it caught up, commits that
# need its vote would stall.
MAX_PROMOTION_LAG_ENTRIES = 64
TRANSFER_TIMEOUT_MS = 1000
MEMBER_ACTIONS = ("promote", "remove")
# Limits of the entries that compaction retains before a snapshot, so that a member
# catches up from the log after a short outage instead of from a snapshot.
TRAILING_ENTRIES = 5000
TRAILING_BYTES = 16 << 20


class Event(record.Record):
    """Base of the events; `now_ms` is monotonic time in milliseconds."""

    __slots__ = ("now_ms",)


class Tick(Event):
    """Periodic timer; `jitter` is a new random number from 0 to 1."""

    __slots__ = ("jitter",)


class Received(Event):
    """A message from another replica arrived."""

    __slots__ = ("message",)


class Persisted(Event):
    """All writes up to number `sequence` are durable."""

    __slots__ = ("sequence",)


class Proposed(Event):
    """Proposes commands, each the body of one entry.

    Followers ignore the event, and so does a leader that transfers the leadership.
    """

    __slots__ = ("bodies",)


class ReadRequested(Event):
    """Requests a linearizable read; the resulting effect returns the number `read`.

    A lazy read waits for the next heartbeat instead of starting a read round.
    """

    __slots__ = ("is_lazy", "read")
    _defaults = {"is_lazy": False}


class JoinRequested(Event):
    """A replica requests to join as a learner, or announces its new address."""

    __slots__ = ("member",)


class MemberChangeRequested(Event):
    """An operator promotes or removes a member.

    A change that `change_problem` objects to is ignored.
    """

    __slots__ = ("action", "identity")


class SnapshotTaken(Event):
    """The state machine's data at the applied index `index` is encoded."""

    __slots__ = ("data", "index")


class TransferRequested(Event):
    """Requests a leadership transfer to the live voter with the most complete log."""

    __slots__ = ()


def reduce(state, event):
    """Apply one event and return the list of effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    _BY_EVENT[type(event)](state, event)
    effects, state.effects = state.effects, []
    return effects


def _on_tick(state, event):
    state.jitter = event.jitter
    if state.role != raftstate.LEADER:
        if state.now_ms >= state.election_due_ms:
            elections.start_pre_vote(state)
            _lead_if_elected(state, elections.count_own_vote(state))
        return
    if not replication.has_quorum_contact(state):
        state.become_follower(state.term)
        return
    if state.transfer_target and state.now_ms >= state.transfer_deadline_ms:
        state.transfer_target = ""
    if state.now_ms >= state.heartbeat_due_ms:
        state.heartbeat_due_ms = state.now_ms + raftstate.HEARTBEAT_MS
        _replace_failed_members(state)
        replication.on_heartbeat_due(state)
    else:
        replication.start_due_read_round(state)


def _lead_if_elected(state, is_elected):
    if is_elected:
        replication.become_leader(state)
        replication.advance_commit_index(state)


def _on_received(state, event):
    _BY_MESSAGE[type(event.message)](state, event.message)
    _transfer_if_ready(state)


def _on_vote_reply(state, reply):
    _lead_if_elected(state, elections.on_vote_reply(state, reply))


def _on_stale_member(state, message):
    if message.term < state.term or message.member != state.identity:
        return
    # The log may have grown past the index since a delayed message was sent.
    if state.log.last_index < message.acknowledged_index:
        state.emit(raftstate.Rejoin(acknowledged_index=message.acknowledged_index))


def _on_timeout_now(state, message):
    if message.term == state.term and state.is_voter:
        elections.start_election(state)


def _on_persisted(state, event):
    state.mark_durable(event.sequence)
    _lead_if_elected(state, elections.count_own_vote(state))
    replication.advance_commit_index(state)


def _on_proposed(state, event):
    if state.role != raftstate.LEADER or state.transfer_target:
        return
    for body in event.bodies:
        replication.append(state, "command", body)
    replication.replicate(state)


def _on_read_requested(state, event):
    replication.request_read(state, event.read, event.is_lazy)


def _on_snapshot_taken(state, event):
    term = state.log.term_at(event.index)
    if event.index <= state.snapshot.index or term is None:
        return
    blob = membership.pack_snapshot(state.members_at(event.index), event.data)
    state.snapshot = raftstate.Snapshot(index=event.index, term=term, blob=blob)
    compact_to = state.log.compaction_index(
        event.index, TRAILING_ENTRIES, TRAILING_BYTES
    )
    state.log.compact_to(compact_to)
    while len(state.members_history) > 1 and state.members_history[1][0] <= event.index:
        state.members_history.pop(0)
    state.emit(
        raftstate.SaveSnapshot(
            index=event.index, term=term, blob=blob, compact_to=compact_to
        )
    )


def _on_transfer_requested(state, _event):
    if state.role != raftstate.LEADER:
        return
    # A second target could become a candidate in the same term as the first.
    if state.transfer_target and _is_live(state, state.transfer_target):
        _transfer_if_ready(state)
        return
    candidates = [
        (progress.match_index, identity)
        for identity, progress in state.progress.items()
        if state.members[identity].is_voter and _is_live(state, identity)
    ]
    if not candidates:
        return
    state.transfer_target = max(candidates)[1]
    state.transfer_deadline_ms = state.now_ms + TRANSFER_TIMEOUT_MS
    _transfer_if_ready(state)


def _transfer_if_ready(state):
    """Tell the transfer target to start an election once it holds the whole log."""
    progress = state.progress.get(state.transfer_target)
    if state.role != raftstate.LEADER or progress is None:
        return
    if progress.match_index == state.log.last_index:
        state.send(
            state.transfer_target,
            raftmessages.TimeoutNow(term=state.term, leader=state.identity),
        )


# Membership changes.


def is_change_pending(state):
    """Tell whether the leader must not start a membership change.

    The last change must be committed, and so must the first entry of the leader's
    term. A leader that transfers the leadership appends nothing.
    """
    return (
        bool(state.transfer_target)
        or not state.has_committed_term_entry
        or state.members_history[-1][0] > state.commit_index
    )


def change_problem(state, action, identity):
    """Return why a requested membership change cannot start, or an empty string."""
    if action not in MEMBER_ACTIONS:
        return "action must be promote or remove"
    if identity not in state.members:
        return f"no member has the identity {identity}"
    if action == "remove" and identity == state.identity:
        return "the leader cannot remove itself"
    if action == "promote" and not _is_caught_up(state, identity):
        return "the learner is not caught up yet"
    if is_change_pending(state):
        return "another change of members is pending"
    return ""


def _change_members(state, members):
    replication.append(state, "members", membership.dumps(members))
    replication.replicate(state)


def _on_member_change_requested(state, event):
    if change_problem(state, event.action, event.identity):
        return
    if event.action == "promote":
        _promote(state, event.identity)
    else:
        _remove(state, event.identity)


def _promote(state, identity):
    member = state.members[identity].replace(is_voter=True)
    _change_members(state, {**state.members, identity: member})


def _remove(state, identity):
    members = dict(state.members)
    del members[identity]
    _change_members(state, members)


def _on_join_requested(state, event):
    if state.role != raftstate.LEADER or is_change_pending(state):
        return
    known = state.members.get(event.member.identity)
    joined = event.member.replace(is_voter=known is not None and known.is_voter)
    if joined != known:
        _change_members(state, {**state.members, joined.identity: joined})


def _is_live(state, identity):
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    if progress is None:
        return False
    return state.now_ms - progress.last_ack_ms < raftstate.CHECK_QUORUM_MS


def _is_caught_up(state, identity):
    if identity == state.identity or state.members[identity].is_voter:
        return True
    progress = state.progress[identity]
    if progress.snapshot_offset is not None or not progress.match_index:
        return False
    behind = state.log.last_index - progress.match_index
    return behind <= MAX_PROMOTION_LAG_ENTRIES and _is_live(state, identity)


def _replace_failed_members(state):
    """Replace a failed member, one membership change per call.

    With `target_voters` this is up to `_restore_voter_count`. Otherwise a member that
    lost its data folder is replaced by the new identity with its name: the new
    identity is promoted before the failed one is removed, so that the quorum never
    shrinks to members with fewer entries. A member that still answers is not replaced,
    since two processes with one name are an operator's mistake.
    """
    if is_change_pending(state):
        return
    if state.target_voters:
        _restore_voter_count(state)
        return
    for failed in state.members.values():
        if _is_live(state, failed.identity):
            continue
        for successor in state.members.values():
            if successor.name != failed.name or successor.identity == failed.identity:
                continue
            if not _is_live(state, successor.identity):
                continue
            if successor.is_voter or not failed.is_voter:
                _remove(state, failed.identity)
                return
            if _is_caught_up(state, successor.identity):
                _promote(state, successor.identity)
                return


def _restore_voter_count(state):
    """Bring the group back to `target_voters`, one membership change per call.

    A failed member is removed before its successor is promoted, so that no quorum
    depends on the vote of a member that will not return.
    """
    for failed in state.members.values():
        if not _is_live(state, failed.identity) and _is_replaceable(state, failed):
            _remove(state, failed.identity)
            return
    voters = [member for member in state.members.values() if member.is_voter]
    if len(voters) >= state.target_voters:
        return
    names = {member.name for member in voters}
    for learner in state.members.values():
        is_ready = not learner.is_voter and learner.name not in names
        if is_ready and _is_live(state, learner.identity):
            if _is_caught_up(state, learner.identity):
                _promote(state, learner.identity)
                return


def _is_replaceable(state, failed):
    """Tell whether a failed member has a live successor that can take its place.

    The successor is the new identity with the failed member's name or, for a voter
    that failed longer ago than `replacement_ms`, any learner that is caught up.
    """
    is_past_limit = (
        failed.is_voter
        and state.now_ms - state.progress[failed.identity].last_ack_ms
        > state.replacement_ms
    )
    for successor in state.members.values():
        if successor.identity == failed.identity or not _is_live(
            state, successor.identity
        ):
            continue
        if successor.name == failed.name:
            return successor.is_voter or _is_caught_up(state, successor.identity)
        if (
            is_past_limit
            and not successor.is_voter
            and _is_caught_up(state, successor.identity)
        ):
            return True
    return False


_BY_EVENT = {
    Tick: _on_tick,
    Received: _on_received,
    Persisted: _on_persisted,
    Proposed: _on_proposed,
    ReadRequested: _on_read_requested,
    JoinRequested: _on_join_requested,
    MemberChangeRequested: _on_member_change_requested,
    SnapshotTaken: _on_snapshot_taken,
    TransferRequested: _on_transfer_requested,
}

_BY_MESSAGE = {
    raftmessages.VoteRequest: elections.on_vote_request,
    raftmessages.VoteReply: _on_vote_reply,
    raftmessages.AppendRequest: follower.on_append_request,
    raftmessages.AppendReply: replication.on_append_reply,
    raftmessages.SnapshotChunk: follower.on_snapshot_chunk,
    raftmessages.SnapshotReply: replication.on_snapshot_reply,
    raftmessages.StaleMember: _on_stale_member,
    raftmessages.TimeoutNow: _on_timeout_now,
}

# Classes of the one-way messages between replicas, for dispatch by the application.
MESSAGE_CLASSES = frozenset(_BY_MESSAGE)
