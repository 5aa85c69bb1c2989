"""Requests that a replica answers: commands, queries, polls and joins."""

import json
import logging

from sardinegauge import checks, commands, outcome
from sardinegauge.agreement import membership, raft, raftstate, reads
from sardinegauge.links import messages
from sardinegauge.state import (
    configuration,
    domainqueries,
    replicaeffects,
    replicasteps,
)
from sardinegauge.workflows import (
    adviceexplanation,
    leaderexchange,
    placementexplanation,
    waitingcount,
    workflowqueries,
)
from sardinegauge.workflows.policies import admission

MAX_COMMAND_BYTES = 512 << 10
# Limit on entries that lack a quorum or are not durable on the leader's own disk. Above
# it, commands are refused as not run.
MAX_UNCOMMITTED = 4096
# An answer must fit one frame of 1 MiB; 4 KiB are left for the other fields.
MAX_ANSWER_BYTES = (1 << 20) - 4096
_MALFORMED = (ValueError, TypeError, KeyError, AttributeError, RecursionError)

log = logging.getLogger(__name__)


def _reply(state, token, message):
    if token is not None:
        state.emit(replicaeffects.Reply(token=token, message=message))


def reply_ran(state, token, answer, index=0):
    """Answer a command with its outcome."""
    data = json.dumps(outcome.to_plain(answer)).encode()
    if len(data) > MAX_ANSWER_BYTES:
        data = b""
    reply = messages.ProposeReply(
        verdict=outcome.Verdict.RAN.value,
        answer=data,
        index=index,
        leader=state.raft.leader_address,
        reason="" if data else "the answer is too large for one message",
    )
    _reply(state, token, reply)


def reply_not_run(state, token, reason):
    """Answer that a command was not appended to the log and never will be."""
    reply = messages.ProposeReply(
        verdict=outcome.Verdict.NOT_RUN.value,
        leader=state.raft.leader_address,
        reason=reason,
    )
    _reply(state, token, reply)


# Commands.


def on_propose(state, token, message):
    """Append a command to the log, or answer why that is refused."""
    problem = _proposal_problem(state)
    if problem:
        reply_not_run(state, token, problem)
        return
    try:
        command = _parse(message.command)
    except _MALFORMED as error:
        invalid = outcome.Invalid(problems=[["", f"malformed command: {error}"]])
        reply_ran(state, token, invalid)
        return
    if isinstance(command, dict):
        _change_member(state, token, command)
    elif _is_beyond_memory(state, command):
        reply_not_run(state, token, "the leader is short of memory")
    else:
        replicasteps.append_command(state, command, token)


def _proposal_problem(state):
    if state.raft.role != raftstate.LEADER:
        return "not the leader"
    if state.is_stopping:
        return "the leader hands over"
    if _is_forming(state):
        return "the group has too few voters yet"
    confirmed_index = min(state.raft.commit_index, state.raft.durable_index)
    if state.raft.log.last_index - confirmed_index >= MAX_UNCOMMITTED:
        return "too many commands wait for a quorum"
    return ""


def _is_beyond_memory(state, command):
    """Tell whether the replicas might not have the memory for a new workflow.

    Gateways refuse such workflows by the backlog, whose copy may be some seconds old.
    """
    is_checked = isinstance(command, commands.SubmitWorkflow) and checks.is_valid(
        checks.TEXT, command.id
    )
    if not is_checked or command.id in state.machine.workflows.workflow_by_id:
        return False  # The machine refuses or acknowledges it.
    return not state.memory.has_room(admission.submitted_bytes(command))


def _is_forming(state):
    """Tell whether a new group has too few voters to acknowledge commands.

    A command acknowledged by a group of three would not survive the loss of two
    members. A group with a set of queues in force was complete before: there, a lost
    member is being replaced, and the copies that a commit needs suffice.
    """
    voters = sum(member.is_voter for member in state.raft.members.values())
    if voters >= state.raft.target_voters:
        return False
    return state.modules.has_workflows and not state.machine.workflows.queue_set.version


def _parse(data):
    """Return a command record, or the dict of a membership change."""
    if len(data) > MAX_COMMAND_BYTES:
        raise ValueError(f"{len(data)} bytes are over the limit {MAX_COMMAND_BYTES}")
    plain = json.loads(data)
    if not isinstance(plain, dict):
        raise ValueError("the command is not a JSON object")
    if plain.get("kind") == "ChangeMember":
        return {"identity": str(plain["identity"]), "action": str(plain["action"])}
    return commands.REGISTRY.from_tagged(plain)


def _change_member(state, token, change):
    known = state.raft.members.get(change["identity"])
    if change["action"] == "promote" and known is not None and known.is_voter:
        reply_ran(state, token, outcome.Accepted())
        return
    problem = raft.change_problem(state.raft, change["action"], change["identity"])
    if problem:
        is_final = change["action"] not in raft.MEMBER_ACTIONS or known is None
        if is_final:
            reply_ran(state, token, outcome.Invalid(problems=[["", problem]]))
        else:
            reply_not_run(state, token, problem)
        return
    replicasteps.register_proposal(state, None, token)
    event = raft.MemberChangeRequested(now_ms=state.now_ms, **change)
    replicasteps.step_raft(state, event)


def on_join(state, token, message):
    """Add a replica as learner if this one leads, and answer if it is a member."""
    is_complete = message.identity and message.name and message.address
    if state.raft.role == raftstate.LEADER and is_complete:
        member = membership.Member(
            identity=message.identity,
            name=message.name,
            address=message.address,
            failure_domain=message.failure_domain,
            is_voter=False,
        )
        replicasteps.step_raft(
            state, raft.JoinRequested(now_ms=state.now_ms, member=member)
        )
    reply = messages.JoinReply(
        accepted=state.raft.role == raftstate.LEADER
        and message.identity in state.raft.members,
        leader=state.raft.leader_address,
    )
    _reply(state, token, reply)


# Reads.


def on_leadership_lost(state):
    """Answer every pending proposal as possibly run, and refuse confirmed reads."""
    for proposal in state.proposals_by_index.values():
        reply = messages.ProposeReply(
            verdict=outcome.Verdict.MAY_HAVE_RUN.value,
            leader=state.raft.leader_address,
            reason="the leadership was lost before the command was committed",
        )
        _reply(state, proposal.token, reply)
    state.proposals_by_index.clear()
    confirmed, state.reads.confirmed = state.reads.confirmed, []
    for read in confirmed:
        reads.refuse(state, read)


def _refuse_query(state, read):
    reply = messages.QueryReply(
        verdict=outcome.Verdict.NOT_RUN.value,
        leader=state.raft.leader_address,
        reason="not the leader",
    )
    _reply(state, read.token, reply)


def _refuse_poll(state, read):
    reply = messages.PollReply(
        leader=state.raft.leader_address, sequence=read.message.sequence
    )
    _reply(state, read.token, reply)


reads.refusal_by_message_class.update(
    {messages.Query: _refuse_query, messages.Poll: _refuse_poll}
)


def answer_query(state, read):
    """Answer a confirmed query."""
    reply = messages.QueryReply(
        verdict=outcome.Verdict.RAN.value, leader=state.raft.leader_address
    )
    try:
        arguments = json.loads(read.message.arguments or b"{}")
        answer = _query(state, read.message.kind, arguments)
        reply.answer = json.dumps(answer).encode()
        if len(reply.answer) > MAX_ANSWER_BYTES:
            reply.answer = b""
            reply.reason = "the answer is too large for one message"
    except Exception as error:
        # A query changes no state, so any exception is reported to its caller only.
        log.info("query_failed kind=%s error=%r", read.message.kind, error)
        reply.answer = b""
        reply.reason = f"{type(error).__name__}: {error}"
    _reply(state, read.token, reply)


def _query(state, kind, arguments):
    if kind == "members":
        return replicasteps.status(state)
    if kind == "explain":
        lines = state.modules.scheduler.explain(state.scheduler, arguments["id"])
        # The native scheduler says of a workflow that it knows nothing.
        advice = adviceexplanation.lines(
            state.leader_exchange.scheduler, arguments["id"]
        )
        return {"lines": advice or lines}
    if kind == "failure_domains":
        return domainqueries.answer(state.machine, state.leader_exchange.scheduler)
    if kind == "explain_placement":
        return placementexplanation.explain(state.leader_exchange.scheduler, arguments)
    if kind == "waiting":
        return waitingcount.answer(state.leader_exchange.scheduler, arguments)
    if kind in workflowqueries.KINDS:
        return workflowqueries.answer(state.machine.workflows, kind, arguments)
    return state.modules.queries.answer(state.machine, kind, arguments)


def answer_poll(state, read):
    """Answer a confirmed poll with what is newer than the versions it names."""
    poll = read.message
    try:
        config_version, config = configuration.newer_than(
            state.machine.configuration, poll.config_version
        )
        version, is_full, upstreams = state.modules.directory.changes(
            state.machine, poll.directory_version
        )
    except Exception:
        log.exception("poll_failed name=%s", poll.name)
        reads.refuse(state, read)
        return
    reply = messages.PollReply(
        confirmed=True,
        leader=state.raft.leader_address,
        config_version=config_version,
        config=config,
        directory_version=version,
        is_full_directory=is_full,
        directory=upstreams,
        sequence=poll.sequence,
        replicas=[member.address for member in state.raft.members.values()],
        **leaderexchange.backlog_fields(state),
    )
    if state.modules.has_workflows:
        queue_set = state.machine.workflows.queue_set
        byte_count = state.queue_encodings.fill(reply, poll, queue_set)
        if byte_count:
            state.emit(replicaeffects.QueuesEncoded(byte_count=byte_count))
    _reply(state, read.token, reply)
