"""The follower's side of Raft: accepting a leader's entries and snapshots."""

from sardinegauge.agreement import membership, raftmessages, raftstate

MAX_SNAPSHOT_BYTES = 1 << 30


def _accept_leader(state, message):
    """Follow the sender of a message; return False if its term is outdated."""
    if message.term < state.term:
        return False
    if message.term > state.term or state.role != raftstate.FOLLOWER:
        state.become_follower(message.term)
    state.leader = message.leader
    state.leader_contact_ms = state.now_ms
    state.reset_election_timer()
    return True


def on_append_request(state, request):
    """Append the leader's entries if the log holds the entry that precedes them.

    The reply names the last matching index, or the index to resend from.
    """
    reply = raftmessages.AppendReply(
        term=state.term,
        member=state.identity,
        read_round=request.read_round,
        prev_index=request.prev_index,
    )
    if not _accept_leader(state, request):
        reply.read_round = 0
        state.send_when_durable(request.leader, reply)
        return
    reply.term = state.term
    for item in request.acknowledged:
        state.record_acknowledged(item.member, item.index)
    conflict_index = _find_conflict(state, request)
    if conflict_index:
        reply.conflict_index = conflict_index
        reply.last_index = state.log.last_index
        _persist_acknowledged(state)
        state.send_when_durable(request.leader, reply)
        return
    match_index = request.prev_index + len(request.entries)
    _append_missing(state, request.entries)
    _persist_acknowledged(state)
    state.commit_index = max(state.commit_index, min(request.commit_index, match_index))
    reply.success = True
    reply.match_index = match_index
    if request.entries or state.durable_sequence >= state.sequence:
        state.send_when_durable(request.leader, reply)
        return
    # The reply to a heartbeat acknowledges only what is durable already, so that a slow
    # disk does not delay it.
    reply.match_index = min(match_index, state.durable_index)
    if _is_term_durable(state):
        state.send(request.leader, reply)
    else:
        state.send_when_durable(request.leader, reply)


def _is_term_durable(state):
    return state.durable_term == state.term


def _persist_acknowledged(state):
    """Persist new acknowledged indexes if one of them lies beyond this replica's log.

    Such an index must survive a restart: it alone lets this replica recognize a
    candidate that has lost committed entries.
    """
    if not state.has_unsaved_acknowledged:
        return
    if max(state.acknowledged.values(), default=0) > state.log.last_index:
        state.persist()


def _find_conflict(state, request):
    """Return the index from which the leader must resend, or 0 without a conflict."""
    if request.prev_index > state.log.last_index:
        return state.log.last_index + 1
    if request.prev_index <= state.log.base_index:
        return 0
    if state.log.term_at(request.prev_index) == request.prev_term:
        return 0
    first = state.log.first_index_of_term_at(request.prev_index)
    return max(first, state.commit_index + 1)


def _append_missing(state, entries):
    """Append the entries that the log lacks, truncating at the first conflict."""
    missing = []
    truncate_from = 0
    for entry in entries:
        if missing or entry.index > state.log.last_index:
            missing.append(entry)
            continue
        if entry.index <= state.log.base_index:
            continue
        if state.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= state.commit_index:
            raise AssertionError(f"leader conflicts with committed entry {entry.index}")
        truncate_from = entry.index
        state.log.truncate_from(entry.index)
        state.revert_members_from(entry.index)
        missing.append(entry)
    if not missing:
        return
    state.log.append(missing)
    for entry in missing:
        if entry.kind == "members":
            state.set_members(entry.index, membership.loads(entry.body))
    state.persist(missing, truncate_from)


def on_snapshot_chunk(state, chunk):
    """Collect the chunks of a snapshot in order and install it once complete."""
    reply = raftmessages.SnapshotReply(
        term=state.term,
        member=state.identity,
        last_index=chunk.last_index,
        read_round=chunk.read_round,
    )
    if not _accept_leader(state, chunk):
        reply.read_round = 0
        state.send_when_durable(chunk.leader, reply)
        return
    reply.term = state.term
    if _is_in_log(state, chunk):
        state.commit_index = max(state.commit_index, chunk.last_index)
        state.incoming_snapshot = None
        reply.done = True
    elif chunk.total <= MAX_SNAPSHOT_BYTES:
        incoming = state.incoming_snapshot
        key = (chunk.last_index, chunk.last_term)
        if incoming is None or (incoming.index, incoming.term) != key:
            incoming = state.incoming_snapshot = raftstate.IncomingSnapshot(*key)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        reply.next_offset = len(incoming.data)
        if reply.next_offset >= chunk.total:
            _install_snapshot(state, incoming)
            reply.done = True
    state.send_when_durable(chunk.leader, reply)


def _is_in_log(state, chunk):
    if chunk.last_index <= state.log.base_index:
        return True
    return state.log.term_at(chunk.last_index) == chunk.last_term


def _install_snapshot(state, incoming):
    blob = bytes(incoming.data)
    members, data = membership.unpack_snapshot(blob)
    state.incoming_snapshot = None
    state.snapshot = raftstate.Snapshot(
        index=incoming.index, term=incoming.term, blob=blob
    )
    state.log.reset(incoming.index, incoming.term)
    state.commit_index = incoming.index
    state.members_history = []
    state.set_members(incoming.index, members)
    state.install_snapshot(data)
