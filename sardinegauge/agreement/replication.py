"""The leader's side of Raft: log replication, read rounds and sending snapshots."""

from sardinegauge.agreement import elections, membership, raftmessages, raftstate

MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 256 << 10
# Per member. A low limit batches entries that arrive while requests are in flight.
MAX_REQUESTS_IN_FLIGHT = 4
SNAPSHOT_CHUNK_BYTES = 256 << 10
RESEND_TIMEOUT_MS = 300
# Least time between two read rounds; reads that arrive in between share the next one.
READ_ROUND_INTERVAL_MS = 20


def become_leader(state):
    """Become the leader of the current term and append its first entry."""
    state.role = raftstate.LEADER
    state.leader = state.identity
    state.has_committed_term_entry = False
    state.last_read_round = 0
    state.progress = {}
    _update_progress_table(state)
    state.term_start_index = state.log.last_index + 1
    append(state, "noop", b"")
    state.heartbeat_due_ms = state.now_ms + raftstate.HEARTBEAT_MS
    broadcast_heartbeat(state)


def append(state, kind, body):
    """Append an entry to the leader's log without sending it; see `replicate`."""
    entry = raftmessages.LogEntry(
        index=state.log.last_index + 1, term=state.term, kind=kind, body=body
    )
    state.log.append([entry])
    if kind == "members":
        state.set_members(entry.index, membership.loads(body))
        _update_progress_table(state)
    state.persist([entry])


def _update_progress_table(state):
    """Add progress for new members and remove it for those that left."""
    for identity in state.members:
        if identity != state.identity and identity not in state.progress:
            state.progress[identity] = raftstate.Progress(
                state.log.last_index + 1, state.now_ms
            )
    for identity in list(state.progress):
        if identity not in state.members:
            del state.progress[identity]


def replicate(state):
    """Send entries to every member below its limit of requests in flight."""
    for identity, progress in state.progress.items():
        while (
            progress.snapshot_offset is None
            and progress.next_index <= state.log.last_index
            and len(progress.in_flight)
            < (1 if progress.is_probing else MAX_REQUESTS_IN_FLIGHT)
        ):
            _send_entries(state, identity, progress)


def broadcast_heartbeat(state):
    """Send a heartbeat to every member, followed by the entries it lacks.

    Requests that got no answer within `RESEND_TIMEOUT_MS` are sent again.
    """
    for identity, progress in state.progress.items():
        if progress.in_flight and state.now_ms - progress.sent_ms > RESEND_TIMEOUT_MS:
            progress.in_flight.clear()
            if not progress.is_probing:
                progress.next_index = progress.match_index + 1
        if progress.snapshot_offset is not None:
            if state.now_ms - progress.sent_ms > RESEND_TIMEOUT_MS:
                _send_snapshot_chunk(state, identity, progress)
            _send_append(state, identity, state.log.last_index, [])
        elif progress.next_index <= state.log.base_index:
            _send_entries(state, identity, progress)
        else:
            _send_append(state, identity, progress.next_index - 1, [])
    replicate(state)


def _send_entries(state, identity, progress):
    if progress.next_index <= state.log.base_index:
        progress.snapshot_offset = 0
        progress.in_flight.clear()
        _send_snapshot_chunk(state, identity, progress)
        return
    entries = state.log.batch(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
    _send_append(state, identity, progress.next_index - 1, entries)
    progress.in_flight.append(entries[-1].index)
    # While probing, `next_index` stays, so that a rejection can be matched to its
    # request.
    if not progress.is_probing:
        progress.next_index += len(entries)
    progress.sent_ms = state.now_ms


def _send_append(state, identity, prev_index, entries):
    # Followers need the acknowledged index of current members only, to reject
    # candidates that have lost entries.
    table = [
        raftmessages.MemberIndex(member=member, index=index)
        for member, index in state.acknowledged.items()
        if member in state.members
    ]
    state.send(
        identity,
        raftmessages.AppendRequest(
            term=state.term,
            leader=state.identity,
            prev_index=prev_index,
            prev_term=state.log.term_at(prev_index) or 0,
            entries=entries,
            commit_index=state.commit_index,
            read_round=state.last_read_round,
            acknowledged=table,
        ),
    )


def _send_snapshot_chunk(state, identity, progress):
    snapshot = state.snapshot
    offset = progress.snapshot_offset
    progress.sent_ms = state.now_ms
    state.send(
        identity,
        raftmessages.SnapshotChunk(
            term=state.term,
            leader=state.identity,
            last_index=snapshot.index,
            last_term=snapshot.term,
            offset=offset,
            total=len(snapshot.blob),
            data=snapshot.blob[offset : offset + SNAPSHOT_CHUNK_BYTES],
            read_round=state.last_read_round,
        ),
    )


def _record_contact(state, reply):
    """Record a reply of the current term.

    Returns the member's progress, or None if the reply must be ignored.
    """
    if reply.term > state.term:
        state.become_follower(reply.term)
        return None
    if state.role != raftstate.LEADER or reply.term < state.term:
        return None
    progress = state.progress.get(reply.member)
    if progress is not None:
        progress.last_ack_ms = state.now_ms
        progress.read_round = max(progress.read_round, reply.read_round)
    return progress


def on_append_reply(state, reply):
    """Update a member's progress after it accepted or rejected a request."""
    progress = _record_contact(state, reply)
    if progress is None:
        return
    if reply.success:
        _advance_match_index(state, reply.member, progress, reply.match_index)
    elif elections.has_stale_log(state, reply.member, reply.last_index):
        state.send(
            reply.member,
            raftmessages.StaleMember(
                term=state.term,
                member=reply.member,
                acknowledged_index=state.acknowledged[reply.member],
            ),
        )
    elif progress.snapshot_offset is None:
        _decrease_next_index(progress, reply)
    confirm_reads(state)
    replicate(state)


def _decrease_next_index(progress, reply):
    """Probe at an earlier index, unless the rejection is outdated.

    Several pipelined requests may be rejected. Without this check each rejection would
    start a new pipeline, and the number of requests would multiply.
    """
    if progress.is_probing:
        is_late = reply.prev_index != progress.next_index - 1
    else:
        is_late = reply.prev_index <= progress.match_index
    next_index = max(
        progress.match_index + 1, min(reply.conflict_index, reply.prev_index)
    )
    if is_late or next_index >= progress.next_index:
        return
    progress.is_probing = True
    progress.in_flight.clear()
    progress.next_index = next_index


def _advance_match_index(state, identity, progress, match_index):
    if match_index > progress.match_index or not progress.in_flight:
        progress.is_probing = False
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    while progress.in_flight and progress.in_flight[0] <= match_index:
        progress.in_flight.popleft()
    advance_commit_index(state)
    state.record_acknowledged(identity, min(progress.match_index, state.commit_index))


def advance_commit_index(state):
    """Commit entries up to the highest index that a quorum holds durably.

    Only an entry of the current term is committed by counting copies; entries of
    earlier terms are committed with it.
    """
    if state.role != raftstate.LEADER:
        return
    match_by_identity = {
        i: progress.match_index for i, progress in state.progress.items()
    }
    match_by_identity[state.identity] = state.durable_index
    index = membership.quorum_value(state.members, match_by_identity)
    if state.target_voters:
        majority = state.target_voters // 2 + 1
        index = min(
            index,
            membership.nth_highest_value(state.members, match_by_identity, majority),
        )
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_index = index
        state.record_acknowledged(
            state.identity, min(state.durable_index, state.commit_index)
        )
        for identity, match_index in match_by_identity.items():
            state.record_acknowledged(identity, min(match_index, index))
    if (
        not state.has_committed_term_entry
        and state.commit_index >= state.term_start_index
    ):
        state.has_committed_term_entry = True
        state.emit(raftstate.LeadershipGained(term=state.term))
        confirm_reads(state)


def on_snapshot_reply(state, reply):
    """Send the next chunk, or log entries once the whole snapshot is installed."""
    progress = _record_contact(state, reply)
    if progress is None:
        return
    confirm_reads(state)
    if progress.snapshot_offset is None or reply.last_index != state.snapshot.index:
        if progress.snapshot_offset is not None and not reply.done:
            # The leader took a newer snapshot during the transfer.
            progress.snapshot_offset = 0
            _send_snapshot_chunk(state, reply.member, progress)
        return
    if reply.done:
        progress.snapshot_offset = None
        progress.next_index = reply.last_index + 1
        _advance_match_index(state, reply.member, progress, reply.last_index)
        replicate(state)
    elif reply.next_offset < len(state.snapshot.blob):
        progress.snapshot_offset = reply.next_offset
        _send_snapshot_chunk(state, reply.member, progress)


def has_quorum_contact(state):
    """Tell whether a quorum acknowledged the leader within `CHECK_QUORUM_MS`."""
    live = {state.identity}
    for identity, progress in state.progress.items():
        if state.now_ms - progress.last_ack_ms < raftstate.CHECK_QUORUM_MS:
            live.add(identity)
    return membership.is_quorum(state.members, live)


def request_read(state, read, is_lazy=False):
    """Queue a read for the next read round, which starts after its arrival.

    A round is a broadcast that a quorum must answer: the answers confirm that this
    replica was still the leader after the read arrived. With `is_lazy` the read waits
    for the next heartbeat; otherwise a round starts as soon as one may.
    """
    if state.role != raftstate.LEADER:
        state.emit(raftstate.ReadFailed(read=read))
        return
    state.reads.append((read, state.last_read_round + 1, state.commit_index))
    if not is_lazy:
        state.is_read_round_requested = True
        start_due_read_round(state)


def on_heartbeat_due(state):
    """Send a heartbeat, as a new read round if reads wait and none is unconfirmed."""
    if state.reads and _confirmed_read_round(state) >= state.last_read_round:
        _start_read_round(state)
    else:
        broadcast_heartbeat(state)


def start_due_read_round(state):
    """Start a requested read round once the last one is confirmed and old enough."""
    if (
        not state.is_read_round_requested
        or _confirmed_read_round(state) < state.last_read_round
    ):
        return
    # A group of one sends nothing in a round, so it need not wait.
    if (
        not state.progress
        or state.now_ms - state.read_round_started_ms >= READ_ROUND_INTERVAL_MS
    ):
        _start_read_round(state)


def _start_read_round(state):
    state.last_read_round += 1
    state.read_round_started_ms = state.now_ms
    state.is_read_round_requested = False
    broadcast_heartbeat(state)
    confirm_reads(state)


def _confirmed_read_round(state):
    round_by_identity = {
        i: progress.read_round for i, progress in state.progress.items()
    }
    round_by_identity[state.identity] = state.last_read_round
    return membership.quorum_value(state.members, round_by_identity)


def confirm_reads(state):
    """Emit the reads whose round a quorum acknowledged."""
    # Until the first entry of its term is committed, a new leader may not know the
    # newest entry that an earlier leader committed.
    if state.role != raftstate.LEADER or not state.has_committed_term_entry:
        return
    confirmed = _confirmed_read_round(state)
    while state.reads and state.reads[0][1] <= confirmed:
        read, _, index = state.reads.popleft()
        index = max(index, state.term_start_index)
        state.emit(raftstate.ReadReady(read=read, index=index))
    start_due_read_round(state)
