"""The leader's exchange of reports and orders with agents.

A reply that renews the leases of a worker is sent only after a read round that began
after the report was received. Other replies and pushes renew no lease; they require a
recent answer of a quorum, since a deposed leader must not send orders from an outdated
store.
"""

import logging

from sardinegauge import checks, record
from sardinegauge.agreement import reads, replication
from sardinegauge.links import messages
from sardinegauge.state import replicaeffects, replicasteps
from sardinegauge.workflows import (
    incarnations,
    orders,
    scheduler,
    schedulerevents,
    schedulerstate,
    views,
)

_MALFORMED = (ValueError, TypeError, KeyError, AttributeError, RecursionError)

log = logging.getLogger(__name__)


class SchedulePlanning(record.Record):
    """Effect: emit `PlanningDue` after the events that are already queued."""

    __slots__ = ()


class PlanningDue(record.Record):
    """Event: plan the waiting tasks."""

    __slots__ = ("now_ms",)


class LeaderExchange:
    """State of the exchange; `scheduler` is None unless this replica is the leader."""

    __slots__ = ("is_plan_scheduled", "scheduler", "sequence")

    def __init__(self):
        self.scheduler = None
        self.sequence = 0
        self.is_plan_scheduled = False


def start(state, term):
    """Start the scheduler of a new term; all entries of earlier terms are applied."""
    leader_exchange = state.leader_exchange
    leader_exchange.scheduler = schedulerstate.State(state.machine)
    leader_exchange.sequence = 0
    event = schedulerevents.LeadershipGained(
        now_ms=state.now_ms, wall_ms=state.wall_ms, term=term
    )
    dispatch(state, event)


def stop(state):
    """Drop the leader's soft state."""
    if state.leader_exchange.scheduler is not None:
        log.info("scheduling_ended term=%d", state.leader_exchange.scheduler.term)
    state.leader_exchange.scheduler = None


def dispatch(state, event):
    """Pass an event to the scheduler and apply its effects."""
    if state.leader_exchange.scheduler is None:
        return
    _apply_effects(state, scheduler.reduce(state.leader_exchange.scheduler, event))


def _apply_effects(state, effects):
    for effect in effects:
        if isinstance(effect, schedulerevents.Propose):
            replicasteps.append_command(state, effect.command, None)
        elif isinstance(effect, schedulerevents.Push):
            _push(state, effect.worker, effect.incarnation)
        else:
            state.emit(effect)
    leader_exchange = state.leader_exchange
    if leader_exchange.scheduler is None or leader_exchange.is_plan_scheduled:
        return
    if leader_exchange.scheduler.is_plan_due:
        leader_exchange.is_plan_scheduled = True
        state.emit(SchedulePlanning())


def on_planning_due(state, event):
    """Run the planner, and allow the next plan to be scheduled."""
    state.leader_exchange.is_plan_scheduled = False
    if state.leader_exchange.scheduler is not None:
        _apply_effects(
            state, scheduler.plan(state.leader_exchange.scheduler, state.now_ms)
        )


def on_report(state, token, message):
    """Process a report of an agent.

    A report that requests a lease is answered after a confirmed read round, any other
    one at once.
    """
    leader_exchange = state.leader_exchange
    if leader_exchange.scheduler is None:
        _refuse(state, token, message)
        return
    if message.worker:
        try:
            _check_incarnation(message)
            report = views.decode_report(message)
        except _MALFORMED as error:
            log.warning("report_malformed agent=%s error=%r", message.agent, error)
            _refuse(state, token, message)
            return
        dispatch(
            state, schedulerevents.ReportReceived(now_ms=state.now_ms, report=report)
        )
    if message.is_lease_wanted:
        reads.ask_read(state, token, message, is_lazy=True)
    elif replication.has_quorum_contact(state.raft):
        reply = _build_orders(state, message.worker, message.life)
        reply.sent_ms = message.sent_ms
        state.emit(replicaeffects.Reply(token=token, message=reply))
    else:
        _refuse(state, token, message)


def _check_incarnation(message):
    """Check that the log can hold what identifies an incarnation of a worker."""
    for name, check in (
        ("agent", checks.TEXT),
        ("worker", checks.TEXT),
        ("life", checks.COUNT),
    ):
        if not checks.is_valid(check, getattr(message, name)):
            raise ValueError(f"{name} has the wrong type or size")


def _refuse(state, token, message):
    reply = messages.WorkerOrders(
        leader=state.raft.leader_address,
        sent_ms=message.sent_ms,
        replicas=_replica_addresses(state),
    )
    state.emit(replicaeffects.Reply(token=token, message=reply))


def on_read_failed(state, read):
    """Refuse a report whose read round could not be confirmed."""
    _refuse(state, read.token, read.message)


def on_read_ready(state, read):
    """Answer a report with orders, and with a lease if the worker may hold one."""
    message = read.message
    leader_exchange = state.leader_exchange
    if leader_exchange.scheduler is None:
        _refuse(state, read.token, message)
        return
    reply = _build_orders(state, message.worker, message.life)
    reply.sent_ms = message.sent_ms
    if incarnations.may_grant_lease(
        leader_exchange.scheduler, message.worker, message.life
    ):
        incarnations.record_grant(
            leader_exchange.scheduler, message.worker, state.now_ms
        )
        reply.grant_ms = incarnations.LEASE_MS
    state.emit(replicaeffects.Reply(token=read.token, message=reply))


def _push(state, worker, incarnation):
    if not replication.has_quorum_contact(state.raft):
        return
    state.emit(
        replicaeffects.Push(
            upstream=worker,
            incarnation=str(incarnation),
            message=_build_orders(state, worker, incarnation),
        )
    )


def _build_orders(state, worker, incarnation):
    leader_exchange = state.leader_exchange
    leader_exchange.sequence += 1
    encoded = orders.encode(leader_exchange.scheduler, worker, incarnation)
    if encoded.left_out:
        state.emit(replicaeffects.OrdersCut(left_out=encoded.left_out))
    return messages.WorkerOrders(
        confirmed=True,
        leader=state.raft.leader_address,
        worker=worker,
        life=incarnation,
        term=leader_exchange.scheduler.term,
        sequence=leader_exchange.sequence,
        replicas=_replica_addresses(state),
        body=encoded.data,
    )


def _replica_addresses(state):
    return [member.address for member in state.raft.members.values()]


def tick(state):
    """Pass the current time to the scheduler."""
    event = schedulerevents.Tick(now_ms=state.now_ms, wall_ms=state.wall_ms)
    dispatch(state, event)


def on_command_applied(state, index, command, answer):
    """Pass an applied command to the scheduler."""
    event = schedulerevents.CommandApplied(
        now_ms=state.now_ms, index=index, command=command, answer=answer
    )
    dispatch(state, event)


def on_command_refused(state, command):
    """Pass a command of this leader that the machine refused to the scheduler."""
    event = schedulerevents.CommandRefused(now_ms=state.now_ms, command=command)
    dispatch(state, event)


def held_bytes(state):
    """Return what is held for open workflows by the newest summary, 0 without one."""
    current = state.leader_exchange.scheduler
    if current is None or current.backlog.current is None:
        return 0
    return current.backlog.current.held_bytes


def backlog_fields(state):
    """Return the fields of a poll reply that gateways admit workflows by."""
    current = state.leader_exchange.scheduler
    if current is None or not current.store.queue_set.version:
        return {}  # A deployment without queues has no workflows.
    return {
        "backlog": current.backlog.summary(state.now_ms, state.memory.max_held_bytes),
        "refusal_index": state.applied_index if current.store.refusals.by_id else 0,
    }


EVENTS = {PlanningDue: on_planning_due}

reads.refusal_by_message_class[messages.WorkerReport] = on_read_failed
