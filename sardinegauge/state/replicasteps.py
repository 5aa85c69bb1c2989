"""Steps that the modules of the state process share: agreement, log and status.

`replica` registers handlers for effects of the agreement reducer in `raft_handlers`;
effects without a handler go to the application.
"""

from sardinegauge import commands
from sardinegauge.agreement import raft
from sardinegauge.state import replicaeffects

raft_handlers = {}


def step_raft(state, event):
    """Pass an event to the agreement reducer and process its effects."""
    for effect in raft.reduce(state.raft, event):
        handler = raft_handlers.get(type(effect))
        if handler is None:
            state.emit(effect)
        else:
            handler(state, effect)


def append_command(state, command, token):
    """Set the time of a command and append it to the log.

    Its answer goes to the request with `token`, or nowhere if that is None. A replica
    that stops appends nothing more: the next leader must hold the whole log, and it
    proposes anew what the scheduler of this replica would have proposed.
    """
    if state.is_stopping:
        return
    command.at_ms = state.wall_ms
    body = commands.REGISTRY.dumps(command)
    register_proposal(state, command, token)
    step_raft(state, raft.Proposed(now_ms=state.now_ms, bodies=[body]))


def register_proposal(state, command, token):
    """Register the request that is answered when the next appended entry is applied."""
    index = state.raft.log.last_index + 1
    state.proposals_by_index[index] = replicaeffects.Proposal(
        command=command, token=token
    )


def status(state):
    """Return the plain dict shown by the health page and the query ``members``."""
    agreement = state.raft
    members = []
    for member in agreement.members.values():
        progress = agreement.progress.get(member.identity)
        is_self = member.identity == agreement.identity
        members.append(
            {
                **member.to_dict(),
                "is_leader": member.identity == agreement.leader,
                "match_index": agreement.durable_index
                if is_self
                else progress.match_index
                if progress
                else agreement.acknowledged.get(member.identity, 0),
                "silent_ms": state.now_ms - progress.last_ack_ms if progress else 0,
            }
        )
    return {
        "identity": agreement.identity,
        "role": agreement.role,
        "term": agreement.term,
        "leader": agreement.leader_address,
        "last_index": agreement.log.last_index,
        "commit_index": agreement.commit_index,
        "applied_index": state.applied_index,
        "snapshot_index": agreement.snapshot.index,
        "members": members,
    }
