"""Agreement on the replicated log as a pure reducer: Raft with pre-vote and learners.

`reduce` takes the state and one event and returns the effects in order. The state
module holds the effects; `elections`, `replication` and `following` the protocol.
"""

from sardinegauge import record
from sardinegauge.agreement import (
    elections,
    following,
    membership,
    raftmessages,
    raftstate,
    replication,
)

# A learner this close to the end of the log can be promoted without a pause.
CAUGHT_UP_ENTRIES = 64
TRANSFER_LIMIT_MS = 1000
# A voter that was silent this long is replaced by a spare learner.
GONE_MS = 8000
MEMBER_ACTIONS = ("promote", "remove")
# Entries kept behind a snapshot, so that a short absence needs no snapshot.
TRAILING_ENTRIES = 5000
TRAILING_BYTES = 16 << 20


class Event(record.Record):
    """Base of the events; `now_ms` is monotonic."""

    __slots__ = ("now_ms",)


class Tick(Event):
    """Time passed; `jitter` is a fresh random number from 0 to 1."""

    __slots__ = ("jitter",)


class Received(Event):
    """A message of another replica arrived."""

    __slots__ = ("message",)


class Persisted(Event):
    """All writes up to `sequence` are durable."""

    __slots__ = ("sequence",)


class Appended(Event):
    """The leader shall append commands; each is the body of one entry."""

    __slots__ = ("bodies",)


class ReadAsked(Event):
    """A linearizable read is wanted; `read` comes back in an effect.

    One that is lazy waits for the next heartbeat instead of a round of its own.
    """

    __slots__ = ("is_lazy", "read")
    _defaults = {"is_lazy": False}


class JoinAsked(Event):
    """A replica asks to become a learner, or tells its new address."""

    __slots__ = ("member",)


class MemberChangeAsked(Event):
    """An operator promotes or removes a member; check `change_problem` first."""

    __slots__ = ("action", "identity")


class SnapshotTaken(Event):
    """The machine's data at an applied index is ready to be kept."""

    __slots__ = ("data", "index")


class TransferAsked(Event):
    """The leader shall hand over to the member with the longest log."""

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
            _check_won(state, elections.on_own_vote_durable(state))
        return
    if not replication.has_quorum_contact(state):
        state.become_follower(state.term)
        return
    if state.transfer_target and state.now_ms >= state.transfer_deadline_ms:
        state.transfer_target = ""
    if state.now_ms >= state.heartbeat_due_ms:
        state.heartbeat_due_ms = state.now_ms + raftstate.HEARTBEAT_MS
        _repair_members(state)
        replication.on_heartbeat_due(state)
    else:
        replication.start_due_read_round(state)


def _check_won(state, is_won):
    if is_won:
        replication.become_leader(state)
        replication.advance_commit_index(state)


def _on_received(state, event):
    _BY_MESSAGE[type(event.message)](state, event.message)
    _transfer_if_ready(state)


def _on_vote_reply(state, reply):
    _check_won(state, elections.on_vote_reply(state, reply))


def _on_stale_member(state, message):
    if message.term < state.term or message.member != state.identity:
        return
    # A delayed message may be older than what was acknowledged since.
    if state.log.last_index < message.acknowledged_index:
        state.emit(raftstate.Rejoin(acknowledged_index=message.acknowledged_index))


def _on_timeout_now(state, message):
    if message.term == state.term and state.is_voter:
        elections.start_election(state)


def _on_persisted(state, event):
    state.mark_durable(event.sequence)
    _check_won(state, elections.on_own_vote_durable(state))
    replication.advance_commit_index(state)


def _on_appended(state, event):
    if state.role != raftstate.LEADER:
        return
    for body in event.bodies:
        replication.append(state, "command", body)
    replication.replicate(state)


def _on_read_asked(state, event):
    replication.request_read(state, event.read, event.is_lazy)


def _on_snapshot_taken(state, event):
    term = state.log.term_at(event.index)
    if event.index <= state.snapshot.index or term is None:
        return
    blob = membership.pack_snapshot(state.members_at(event.index), event.data)
    state.snapshot = raftstate.Snapshot(index=event.index, term=term, blob=blob)
    compact_to = state.log.trailing_start(event.index, TRAILING_ENTRIES, TRAILING_BYTES)
    state.log.compact_to(compact_to)
    while len(state.members_history) > 1 and state.members_history[1][0] <= event.index:
        state.members_history.pop(0)
    state.emit(
        raftstate.SaveSnapshot(
            index=event.index, term=term, blob=blob, compact_to=compact_to
        )
    )


def _on_transfer_asked(state, _event):
    if state.role != raftstate.LEADER:
        return
    candidates = [
        (progress.match_index, identity)
        for identity, progress in state.progress.items()
        if state.members[identity].is_voter and _is_live(state, identity)
    ]
    if not candidates:
        return
    state.transfer_target = max(candidates)[1]
    state.transfer_deadline_ms = state.now_ms + TRANSFER_LIMIT_MS
    _transfer_if_ready(state)


def _transfer_if_ready(state):
    """Let the chosen member elect itself once it holds the whole log."""
    progress = state.progress.get(state.transfer_target)
    if state.role != raftstate.LEADER or progress is None:
        return
    if progress.match_index == state.log.last_index:
        state.send(
            state.transfer_target,
            raftmessages.TimeoutNow(term=state.term, leader=state.identity),
        )


# Membership.


def is_change_pending(state):
    """Tell whether the leader must not begin a change of members now."""
    return (
        not state.has_committed_term_entry
        or state.members_history[-1][0] > state.commit_index
    )


def change_problem(state, action, identity):
    """Return why a change asked by an operator cannot begin, or empty text."""
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


def _on_member_change_asked(state, event):
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


def _on_join_asked(state, event):
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
    return state.now_ms - progress.ack_ms < raftstate.CHECK_QUORUM_MS


def _is_caught_up(state, identity):
    if identity == state.identity or state.members[identity].is_voter:
        return True
    progress = state.progress[identity]
    if progress.snapshot_offset is not None or not progress.match_index:
        return False
    behind = state.log.last_index - progress.match_index
    return behind <= CAUGHT_UP_ENTRIES and _is_live(state, identity)


def _repair_members(state):
    """Replace a member whose data folder was lost by its new identity of that name.

    The new identity is promoted first and the old one removed after that, so that
    no quorum ever shrinks to members that hold less. A member that still answers is
    not replaced: two processes with one name are an operator's mistake.
    """
    if is_change_pending(state):
        return
    if state.target_voters:
        _keep_voters(state)
        return
    for old in state.members.values():
        if _is_live(state, old.identity):
            continue
        for new in state.members.values():
            if new.name != old.name or new.identity == old.identity:
                continue
            if not _is_live(state, new.identity):
                continue
            if new.is_voter or not old.is_voter:
                _remove(state, old.identity)
                return
            if _is_caught_up(state, new.identity):
                _promote(state, new.identity)
                return


def _keep_voters(state):
    """Keep the group at its number of voters, one change at a time.

    A dead identity is removed before its successor is promoted, so that the group
    never needs the vote of a member that is gone for good.
    """
    for old in state.members.values():
        if not _is_live(state, old.identity) and _is_replaceable(state, old):
            _remove(state, old.identity)
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


def _is_replaceable(state, old):
    """Tell whether a member that doesn't answer has a successor that can take over."""
    is_gone_long = (
        old.is_voter and state.now_ms - state.progress[old.identity].ack_ms > GONE_MS
    )
    for new in state.members.values():
        if new.identity == old.identity or not _is_live(state, new.identity):
            continue
        if new.name == old.name:
            return new.is_voter or _is_caught_up(state, new.identity)
        if is_gone_long and not new.is_voter and _is_caught_up(state, new.identity):
            return True
    return False


_BY_EVENT = {
    Tick: _on_tick,
    Received: _on_received,
    Persisted: _on_persisted,
    Appended: _on_appended,
    ReadAsked: _on_read_asked,
    JoinAsked: _on_join_asked,
    MemberChangeAsked: _on_member_change_asked,
    SnapshotTaken: _on_snapshot_taken,
    TransferAsked: _on_transfer_asked,
}

_BY_MESSAGE = {
    raftmessages.VoteRequest: elections.on_vote_request,
    raftmessages.VoteReply: _on_vote_reply,
    raftmessages.AppendRequest: following.on_append_request,
    raftmessages.AppendReply: replication.on_append_reply,
    raftmessages.SnapshotChunk: following.on_snapshot_chunk,
    raftmessages.SnapshotReply: replication.on_snapshot_reply,
    raftmessages.StaleMember: _on_stale_member,
    raftmessages.TimeoutNow: _on_timeout_now,
}

# Messages that other replicas send one way.
RECEIVED = frozenset(_BY_MESSAGE)
