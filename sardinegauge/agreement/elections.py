"""Elections of the agreement reducer: pre-vote, vote and their replies."""

from sardinegauge.agreement import membership, raftmessages, raftstate


def has_live_leader(state):
    """Tell whether a leader was heard within the shortest election timeout."""
    if state.role == raftstate.LEADER:
        return True
    since_ms = state.now_ms - state.leader_contact_ms
    return bool(state.leader) and since_ms < raftstate.ELECTION_MIN_MS


def start_pre_vote(state):
    """Ask whether an election could be won, without disturbing the term."""
    state.reset_election_timer()
    if not state.is_voter or is_stale(state, state.identity, state.log.last_index):
        return
    state.role = raftstate.PRECANDIDATE
    state.leader = ""
    state.votes = {state.identity}
    if membership.is_quorum(state.members, state.votes):
        start_election(state)
        return
    _ask_votes(state, state.term + 1, pre_vote=True)


def start_election(state):
    """Begin a term as candidate; the own vote counts once it is durable."""
    state.reset_election_timer()
    state.role = raftstate.CANDIDATE
    state.term += 1
    state.vote = state.identity
    state.leader = ""
    state.votes = set()
    state.persist()
    state.election_sequence = state.sequence
    _ask_votes(state, state.term, pre_vote=False)


def _ask_votes(state, term, pre_vote):
    request = raftmessages.VoteRequest(
        term=term,
        candidate=state.identity,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
    )
    for member in state.members.values():
        if member.is_voter and member.identity != state.identity:
            state.send_when_durable(member.identity, request)


def _is_up_to_date(state, request):
    own = (state.log.last_term, state.log.last_index)
    # Acknowledged indexes are committed, so a shorter log lacks committed entries: it
    # comes from an older copy of a data folder.
    if request.last_index < max(state.acknowledged.values(), default=0):
        return False
    return (request.last_term, request.last_index) >= own


def on_vote_request(state, request):
    """Answer a candidate. A granted vote is durable before it is sent."""
    if request.pre_vote:
        granted = (
            request.term > state.term
            and not has_live_leader(state)
            and _is_up_to_date(state, request)
        )
    else:
        granted = _grant(state, request)
    reply = raftmessages.VoteReply(
        term=request.term if granted else state.term,
        voter=state.identity,
        granted=granted,
        pre_vote=request.pre_vote,
        last_index=state.log.last_index,
    )
    state.send_when_durable(request.candidate, reply)


def _grant(state, request):
    if request.term > state.term:
        state.become_follower(request.term)
    if request.term < state.term or state.vote not in ("", request.candidate):
        return False
    if not _is_up_to_date(state, request):
        return False
    if not state.vote:
        state.vote = request.candidate
        state.persist()
    state.reset_election_timer()
    return True


def on_vote_reply(state, reply):
    """Count a vote; return True when the election is won."""
    if not reply.granted:
        if reply.term > state.term:
            state.become_follower(reply.term)
        return False
    if is_stale(state, reply.voter, reply.last_index):
        return False
    if reply.pre_vote:
        if state.role != raftstate.PRECANDIDATE or reply.term != state.term + 1:
            return False
        state.votes.add(reply.voter)
        if membership.is_quorum(state.members, state.votes):
            start_election(state)
        return False
    if state.role != raftstate.CANDIDATE or reply.term != state.term:
        return False
    state.votes.add(reply.voter)
    return membership.is_quorum(state.members, state.votes)


def is_stale(state, identity, last_index):
    """Tell whether a member's log is shorter than what it once acknowledged.

    Its data folder is an older copy, so it may also have forgotten its votes.
    """
    return last_index < state.acknowledged.get(identity, 0)


def on_own_vote_durable(state):
    """Count the own vote; return True when that wins the election."""
    if state.role != raftstate.CANDIDATE:
        return False
    if state.durable_sequence < state.election_sequence:
        return False
    state.votes.add(state.identity)
    return membership.is_quorum(state.members, state.votes)
