"""The leader's replies and pushes to agents.

The scheduler decides the table of tasks of each agent. A reply to a heartbeat renews
the agent's lease, so it goes out only after a read round that began when the heartbeat
had arrived; a push renews nothing but waits for a round as well, since a deposed leader
must not stop tasks with an old table.
"""

import logging

from sardinegauge import commands, record
from sardinegauge.agreement import reads
from sardinegauge.links import messages
from sardinegauge.state import configuration, replicaeffects, replicasteps

log = logging.getLogger(__name__)
LEASE_MS = 10_000
# A heartbeat waits this long for a first table, which needs a registered worker.
TABLE_WAIT_MS = 1000


class PushRound(record.Record):
    """Stands for the pushes that wait for one read round."""

    __slots__ = ("upstreams",)


class Agent:
    """What the leader holds of one agent: open heartbeat and newest table."""

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
    """Agents by upstream, and upstreams whose loss is being logged."""

    def __init__(self):
        self.by_upstream = {}
        self.losing = set()
        self.waiting_pushes = set()
        self.is_push_round_open = False


def on_heartbeat(state, token, heartbeat):
    """Take a heartbeat; its reply follows when round and table are there."""
    if not state.is_leading:
        _refuse(state, token, heartbeat.sequence, "not the leader")
        return
    agents = state.agents
    agent = agents.by_upstream.get(heartbeat.upstream)
    if agent is None or agent.incarnation != heartbeat.incarnation:
        if agent is not None:
            _drop(state, agent, "another incarnation announced itself")
        agent = agents.by_upstream[heartbeat.upstream] = Agent(heartbeat.incarnation)
    _drop(state, agent, "a newer heartbeat arrived")
    agent.heartbeat = heartbeat
    agent.token = token
    agent.is_confirmed = False
    agent.received_ms = state.now_ms
    event = state.parts.scheduler.HeartbeatReceived(
        now_ms=state.now_ms, heartbeat=heartbeat
    )
    feed_scheduler(state, event)
    reads.ask_read(state, token, heartbeat)


def _refuse(state, token, sequence, reason):
    reply = messages.Directive(
        leader=state.raft.leader_address, sequence=sequence, reason=reason
    )
    state.emit(replicaeffects.Reply(token=token, message=reply))


def _drop(state, agent, reason):
    if agent.heartbeat is not None:
        _refuse(state, agent.token, agent.heartbeat.sequence, reason)
    agent.heartbeat = None
    agent.token = None


def on_direct(state, effect):
    """Take a new table of the scheduler for an agent."""
    agents = state.agents
    agent = agents.by_upstream.get(effect.upstream)
    if agent is None or agent.incarnation != effect.incarnation:
        return
    # While the loss of the worker is on its way into the log, no lease may be
    # renewed: its tasks will run elsewhere.
    if effect.upstream in agents.losing:
        return
    agent.directive = effect.directive
    if agent.heartbeat is not None:
        _answer(state, agent)
        return
    agents.waiting_pushes.add(effect.upstream)
    _open_push_round(state)


def _open_push_round(state):
    agents = state.agents
    if agents.is_push_round_open or not agents.waiting_pushes:
        return
    agents.is_push_round_open = True
    upstreams, agents.waiting_pushes = agents.waiting_pushes, set()
    reads.ask_read(state, None, PushRound(upstreams=upstreams))


def on_push_ready(state, read):
    """Push the newest tables to the agents of a confirmed round."""
    agents = state.agents
    agents.is_push_round_open = False
    for upstream in read.message.upstreams:
        agent = agents.by_upstream.get(upstream)
        if agent is None or agent.directive is None or upstream in agents.losing:
            continue
        state.emit(
            replicaeffects.Push(
                upstream=upstream,
                incarnation=agent.incarnation,
                message=_complete(state, agent, sequence=0, lease_ms=0),
            )
        )
    _open_push_round(state)


def on_read_ready(state, read):
    """Answer a heartbeat whose read round is confirmed."""
    agent = state.agents.by_upstream.get(read.message.upstream)
    if agent is None or agent.token != read.token:
        return
    agent.is_confirmed = True
    _answer(state, agent)


def on_read_failed(state, read):
    """Refuse the heartbeat of a read that cannot be confirmed."""
    if isinstance(read.message, PushRound):
        state.agents.is_push_round_open = False
        return
    agent = state.agents.by_upstream.get(read.message.upstream)
    if agent is not None and agent.token == read.token:
        _drop(state, agent, "not the leader")


def _answer(state, agent):
    """Answer the open heartbeat if both its round and a table are there."""
    if not agent.is_confirmed or agent.directive is None:
        return
    heartbeat = agent.heartbeat
    message = _complete(state, agent, heartbeat.sequence, LEASE_MS)
    state.emit(replicaeffects.Reply(token=agent.token, message=message))
    agent.heartbeat = None
    agent.token = None


def _complete(state, agent, sequence, lease_ms):
    held = agent.heartbeat.config_version if agent.heartbeat is not None else None
    version, config = state.machine.configuration.version, b""
    if held is not None:
        version, config = configuration.since(state.machine.configuration, held)
    return agent.directive.replace(
        confirmed=True,
        leader=state.raft.leader_address,
        sequence=sequence,
        lease_ms=lease_ms,
        config_version=version,
        config=config,
    )


def on_worker_losing(state, upstream):
    """Renew no lease of an upstream whose loss has been proposed."""
    state.agents.losing.add(upstream)
    agent = state.agents.by_upstream.get(upstream)
    if agent is not None:
        agent.directive = None


def on_worker_lost(state, upstream):
    """Allow new tables for an upstream whose loss has been applied."""
    state.agents.losing.discard(upstream)


def on_leadership_lost(state):
    """Refuse all open heartbeats and forget the agents."""
    for agent in state.agents.by_upstream.values():
        _drop(state, agent, "not the leader")
    state.agents = Agents()


def expire(state):
    """Refuse heartbeats that got no table in time, so that agents go on."""
    for agent in state.agents.by_upstream.values():
        if agent.heartbeat is None:
            continue
        if state.now_ms - agent.received_ms >= TABLE_WAIT_MS:
            _drop(state, agent, "no table of tasks yet")


def feed_scheduler(state, event):
    """Pass an event to the scheduler and take up its effects."""
    parts = state.parts.scheduler
    try:
        effects = parts.reduce(state.scheduler, event)
    except Exception:
        # Its state is soft, so the replica goes on without this decision.
        log.exception("scheduler_failed event=%s", type(event).__name__)
        return
    for effect in effects:
        if isinstance(effect, parts.Propose):
            _propose_own(state, effect.command)
        else:
            on_direct(state, effect)


def _propose_own(state, command):
    if isinstance(command, commands.WorkerLost):
        on_worker_losing(state, command.upstream)
    replicasteps.append_command(state, command, None)


reads.refusals.update({messages.Heartbeat: on_read_failed, PushRound: on_read_failed})
