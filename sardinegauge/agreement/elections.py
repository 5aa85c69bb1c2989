"""Raft elections: pre-votes, votes and their replies."""

import logging

from sardinegauge.agreement import membership, raftmessages, raftstate

log = logging.getLogger(__name__)


def has_live_leader(state):
    """Tell whether a leader has made contact within the shortest election timeout."""
    if state.role == raftstate.LEADER:
        return True
    elapsed_ms = state.now_ms - state.leader_contact_ms
    return bool(state.leader) and elapsed_ms < raftstate.ELECTION_MIN_MS


def start_pre_vote(state):
    """Request pre-votes to find out if an election can be won, keeping the term.

    A learner, or a replica whose log has lost acknowledged entries, does not stand.
    """
    state.reset_election_timer()
    if not state.is_voter or has_stale_log(state, state.identity, state.log.last_index):
        return
    state.role = raftstate.PRECANDIDATE
    state.leader = ""
    state.votes = {state.identity}
    if membership.is_quorum(state.members, state.votes):
        start_election(state)
        return
    _request_votes(state, state.term + 1, pre_vote=True)


def start_election(state):
    """Start a new term as candidate.

    The candidate's own vote is counted by `count_own_vote` once it is durable.
    """
    state.reset_election_timer()
    state.role = raftstate.CANDIDATE
    state.term += 1
    state.vote = state.identity
    state.leader = ""
    state.votes = set()
    state.persist()
    state.election_sequence = state.sequence
    log.info("election_started term=%d last_index=%d", state.term, state.log.last_index)
    _request_votes(state, state.term, pre_vote=False)


def _request_votes(state, term, pre_vote):
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
    # Acknowledged indexes are committed. A candidate whose log ends before one of them
    # lacks committed entries, so its data folder is an older copy.
    if request.last_index < max(state.acknowledged.values(), default=0):
        return False
    return (request.last_term, request.last_index) >= own


def on_vote_request(state, request):
    """Reply to a candidate; a granted vote is sent only once it is durable."""
    if request.pre_vote:
        granted = (
            request.term > state.term
            and not has_live_leader(state)
            and _is_up_to_date(state, request)
        )
    else:
        granted = _grant_vote(state, request)
    reply = raftmessages.VoteReply(
        term=request.term if granted else state.term,
        voter=state.identity,
        granted=granted,
        pre_vote=request.pre_vote,
        last_index=state.log.last_index,
    )
    state.send_when_durable(request.candidate, reply)


def _grant_vote(state, request):
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
    """Count a vote or pre-vote; return True if it wins the election."""
    if not reply.granted:
        if reply.term > state.term:
            state.become_follower(reply.term)
        return False
    if has_stale_log(state, reply.voter, reply.last_index):
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


def has_stale_log(state, identity, last_index):
    """Tell whether a member's log ends before an index that the member acknowledged.

    Its data folder is then an older copy, which may also lack votes that it cast.
    """
    return last_index < state.acknowledged.get(identity, 0)


def count_own_vote(state):
    """Count the candidate's own vote once durable; return True if it is elected."""
    if state.role != raftstate.CANDIDATE:
        return False
    if state.durable_sequence < state.election_sequence:
        return False
    state.votes.add(state.identity)
    return membership.is_quorum(state.members, state.votes)
