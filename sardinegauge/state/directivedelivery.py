"""Directives that the leader sends to agents, as heartbeat replies and as pushes.

The scheduler decides the directive of each agent, which lists the agent's tasks. A
reply to a heartbeat renews the agent's lease, so the leader sends it only after a read
round that began after the heartbeat arrived. A push renews no lease, but it waits for a
read round as well: a deposed leader must not stop tasks with an outdated directive.
"""

import logging

from sardinegauge import commands, record
from sardinegauge.agreement import reads
from sardinegauge.links import messages
from sardinegauge.state import configuration, replicaeffects, replicasteps

log = logging.getLogger(__name__)
LEASE_MS = 10_000
# Longest wait of a heartbeat for the first directive of its agent, which the scheduler
# builds only once the worker is registered.
DIRECTIVE_TIMEOUT_MS = 1000


class PushRound(record.Record):
    """Read request for a round of pushes to the agents of `upstreams`."""

    __slots__ = ("upstreams",)


class Agent:
    """The leader's record of one agent: unanswered heartbeat and newest directive.

    `token` identifies the request of the heartbeat, `is_confirmed` tells whether its
    read round has been confirmed.
    """

    __slots__ = (
        "directive",
        "heartbeat",
        "incarnation",
        "is_confirmed",
        "received_ms",
        "token",
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.directive = None
        self.heartbeat = None
        self.is_confirmed = False
        self.received_ms = 0
        self.token = None


class Agents:
    """Agents by upstream, with the state of their pushes.

    `pending_losses` holds the upstreams whose `commands.WorkerLost` has been proposed
    but not applied, `pending_pushes` those that wait for the next round of pushes.
    """

    def __init__(self):
        self.by_upstream = {}
        self.pending_losses = set()
        self.pending_pushes = set()
        self.is_push_round_open = False


def on_heartbeat(state, token, heartbeat):
    """Record a heartbeat, answered once confirmed and with a directive available."""
    if not state.is_leading:
        _refuse(state, token, heartbeat.sequence, "not the leader")
        return
    agents = state.agents
    agent = agents.by_upstream.get(heartbeat.upstream)
    if agent is None or agent.incarnation != heartbeat.incarnation:
        if agent is not None:
            _reject_heartbeat(state, agent, "another incarnation announced itself")
        agent = agents.by_upstream[heartbeat.upstream] = Agent(heartbeat.incarnation)
    _reject_heartbeat(state, agent, "a newer heartbeat arrived")
    agent.heartbeat = heartbeat
    agent.token = token
    agent.is_confirmed = False
    agent.received_ms = state.now_ms
    event = state.modules.scheduler.HeartbeatReceived(
        now_ms=state.now_ms, heartbeat=heartbeat
    )
    step_scheduler(state, event)
    reads.ask_read(state, token, heartbeat)


def _refuse(state, token, sequence, reason):
    reply = messages.Directive(
        leader=state.raft.leader_address, sequence=sequence, reason=reason
    )
    state.emit(replicaeffects.Reply(token=token, message=reply))


def _reject_heartbeat(state, agent, reason):
    if agent.heartbeat is not None:
        _refuse(state, agent.token, agent.heartbeat.sequence, reason)
    agent.heartbeat = None
    agent.token = None


def on_send_directive(state, effect):
    """Set the newest directive of an agent, and answer its heartbeat or push it."""
    agents = state.agents
    agent = agents.by_upstream.get(effect.upstream)
    if agent is None or agent.incarnation != effect.incarnation:
        return
    # No lease may be renewed between the proposal of `WorkerLost` and its application,
    # since the tasks of the worker are going to run elsewhere.
    if effect.upstream in agents.pending_losses:
        return
    agent.directive = effect.directive
    if agent.heartbeat is not None:
        _reply_if_ready(state, agent)
        return
    agents.pending_pushes.add(effect.upstream)
    _open_push_round(state)


def _open_push_round(state):
    agents = state.agents
    if agents.is_push_round_open or not agents.pending_pushes:
        return
    agents.is_push_round_open = True
    upstreams, agents.pending_pushes = agents.pending_pushes, set()
    reads.ask_read(state, None, PushRound(upstreams=upstreams))


def on_push_ready(state, read):
    """Push the newest directives to the agents of a confirmed round."""
    agents = state.agents
    agents.is_push_round_open = False
    for upstream in read.message.upstreams:
        agent = agents.by_upstream.get(upstream)
        if (
            agent is None
            or agent.directive is None
            or upstream in agents.pending_losses
        ):
            continue
        state.emit(
            replicaeffects.Push(
                upstream=upstream,
                incarnation=agent.incarnation,
                message=_build_directive(state, agent, sequence=0, lease_ms=0),
            )
        )
    _open_push_round(state)


def on_read_ready(state, read):
    """Mark the heartbeat of a confirmed read round, and answer it if possible."""
    agent = state.agents.by_upstream.get(read.message.upstream)
    if agent is None or agent.token != read.token:
        return
    agent.is_confirmed = True
    _reply_if_ready(state, agent)


def on_read_failed(state, read):
    """Refuse the heartbeat of a read that cannot be confirmed."""
    if isinstance(read.message, PushRound):
        state.agents.is_push_round_open = False
        return
    agent = state.agents.by_upstream.get(read.message.upstream)
    if agent is not None and agent.token == read.token:
        _reject_heartbeat(state, agent, "not the leader")


def _reply_if_ready(state, agent):
    """Answer the heartbeat if it is confirmed and the agent has a directive."""
    if not agent.is_confirmed or agent.directive is None:
        return
    heartbeat = agent.heartbeat
    message = _build_directive(state, agent, heartbeat.sequence, LEASE_MS)
    state.emit(replicaeffects.Reply(token=agent.token, message=message))
    agent.heartbeat = None
    agent.token = None


def _build_directive(state, agent, sequence, lease_ms):
    known = agent.heartbeat.config_version if agent.heartbeat is not None else None
    version, config = state.machine.configuration.version, b""
    if known is not None:
        version, config = configuration.newer_than(state.machine.configuration, known)
    return agent.directive.replace(
        confirmed=True,
        leader=state.raft.leader_address,
        sequence=sequence,
        lease_ms=lease_ms,
        config_version=version,
        config=config,
    )


def on_loss_proposed(state, upstream):
    """Stop renewing the lease of an upstream whose loss has been proposed."""
    state.agents.pending_losses.add(upstream)
    agent = state.agents.by_upstream.get(upstream)
    if agent is not None:
        agent.directive = None


def on_loss_applied(state, upstream):
    """Allow directives again for an upstream whose loss has been applied."""
    state.agents.pending_losses.discard(upstream)


def on_leadership_lost(state):
    """Refuse all unanswered heartbeats and clear the records of agents."""
    for agent in state.agents.by_upstream.values():
        _reject_heartbeat(state, agent, "not the leader")
    state.agents = Agents()


def expire(state):
    """Refuse heartbeats without a directive after `DIRECTIVE_TIMEOUT_MS`.

    Their agents then stop waiting for a reply.
    """
    for agent in state.agents.by_upstream.values():
        if agent.heartbeat is None:
            continue
        if state.now_ms - agent.received_ms >= DIRECTIVE_TIMEOUT_MS:
            _reject_heartbeat(state, agent, "no table of tasks yet")


def step_scheduler(state, event):
    """Pass an event to the scheduler and process its effects."""
    module = state.modules.scheduler
    try:
        effects = module.reduce(state.scheduler, event)
    except Exception:
        # The scheduler's state can be rebuilt, so the replica continues without this
        # decision.
        log.exception("scheduler_failed event=%s", type(event).__name__)
        return
    for effect in effects:
        if isinstance(effect, module.Propose):
            _propose_internal(state, effect.command)
        else:
            on_send_directive(state, effect)


def _propose_internal(state, command):
    if isinstance(command, commands.WorkerLost):
        on_loss_proposed(state, command.upstream)
    replicasteps.append_command(state, command, None)


reads.refusal_by_message_class.update(
    {messages.Heartbeat: on_read_failed, PushRound: on_read_failed}
)
