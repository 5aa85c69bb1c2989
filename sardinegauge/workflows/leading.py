"""The leader's exchange of reports and orders with agents.

A reply that renews the leases of a worker is sent only after a read round that began
after the report was received. Other replies and pushes renew no lease; they require a
recent answer of a quorum, since a deposed leader must not send orders from an outdated
store.
"""

import json
import logging

from sardinegauge import record
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

_MALFORMED = (ValueError, TypeError, KeyError, AttributeError)

log = logging.getLogger(__name__)


class PlanSoon(record.Record):
    """Effect: emit `PlanNow` after the events that are already queued."""

    __slots__ = ()


class PlanNow(record.Record):
    """Event: plan the waiting tasks."""

    __slots__ = ("now_ms",)


class Leading:
    """State of the exchange; `scheduler` is None unless this replica is the leader."""

    __slots__ = ("is_plan_scheduled", "scheduler", "sequence")

    def __init__(self):
        self.scheduler = None
        self.sequence = 0
        self.is_plan_scheduled = False


def start(state, term):
    """Start the scheduler of a new term; all entries of earlier terms are applied."""
    leading = state.leading
    leading.scheduler = schedulerstate.State(state.machine)
    leading.sequence = 0
    event = schedulerevents.LeadershipGained(
        now_ms=state.now_ms, wall_ms=state.wall_ms, term=term
    )
    dispatch(state, event)


def stop(state):
    """Drop the leader's soft state."""
    if state.leading.scheduler is not None:
        log.info("scheduling_ended term=%d", state.leading.scheduler.term)
    state.leading.scheduler = None


def dispatch(state, event):
    """Pass an event to the scheduler and apply its effects."""
    if state.leading.scheduler is None:
        return
    _apply_effects(state, scheduler.reduce(state.leading.scheduler, event))


def _apply_effects(state, effects):
    for effect in effects:
        if isinstance(effect, schedulerevents.Propose):
            replicasteps.append_command(state, effect.command, None)
        elif isinstance(effect, schedulerevents.Push):
            _push(state, effect.worker, effect.incarnation)
        else:
            state.emit(effect)
    leading = state.leading
    if leading.scheduler is None or leading.is_plan_scheduled:
        return
    if leading.scheduler.is_plan_due:
        leading.is_plan_scheduled = True
        state.emit(PlanSoon())


def on_plan_now(state, event):
    """Run the planner, and allow the next plan to be scheduled."""
    state.leading.is_plan_scheduled = False
    if state.leading.scheduler is not None:
        _apply_effects(state, scheduler.plan(state.leading.scheduler, state.now_ms))


def on_report(state, token, message):
    """Process a report of an agent.

    A report that requests a lease is answered after a confirmed read round, any other
    one at once.
    """
    leading = state.leading
    if leading.scheduler is None:
        _refuse(state, token, message)
        return
    if message.worker:
        try:
            report = _decode(message)
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


def _decode(message):
    fields = json.loads(message.body)
    return views.Report(
        agent=message.agent, worker=message.worker, life=message.life, **fields
    )


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
    leading = state.leading
    if leading.scheduler is None:
        _refuse(state, read.token, message)
        return
    reply = _build_orders(state, message.worker, message.life)
    reply.sent_ms = message.sent_ms
    if incarnations.may_grant_lease(leading.scheduler, message.worker, message.life):
        incarnations.record_grant(leading.scheduler, message.worker, state.now_ms)
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
    leading = state.leading
    leading.sequence += 1
    return messages.WorkerOrders(
        confirmed=True,
        leader=state.raft.leader_address,
        worker=worker,
        life=incarnation,
        term=leading.scheduler.term,
        sequence=leading.sequence,
        replicas=_replica_addresses(state),
        body=orders.encode(leading.scheduler, worker, incarnation),
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


EVENTS = {PlanNow: on_plan_now}

reads.refusals[messages.WorkerReport] = on_read_failed
