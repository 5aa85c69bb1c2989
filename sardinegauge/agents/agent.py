"""Reducer of the agent: lease, tasks, admission, request keys, configuration, drain.

`reduce(state, event)` changes the state and returns a list of effects. Times in events
are milliseconds of CLOCK_BOOTTIME. Effects on the worker are those of `taskhost`.
"""

import json

from sardinegauge.agents import admission, agentevents, requesttable, taskhost
from sardinegauge.links import messages

HEARTBEAT_INTERVAL_MS = 1000
# Changes within this time share one heartbeat.
CHANGE_GAP_MS = 50
HEARTBEAT_TIMEOUT_MS = 1000
# Wait before the next replica is tried when none is known to lead.
RETRY_GAP_MS = 100
MAX_OUTSTANDING = 8
# Section 8: a confirmation is valid for 5 s from when its heartbeat was sent.
CONFIRMATION_MS = 5000
# Longest lease that a worker may still hold of an earlier agent: 10 s and 1 s of drift.
OLD_LEASE_MS = 11_000
WORKER_POLL_MS = 1000
# Phases are about to change while a task starts or stops, so they are asked for sooner.
WORKER_QUICK_POLL_MS = 200
# The worker's leases are renewed at this share of the lease's length.
RENEW_SHARE = 0.2
# Entries poll every 500 ms; until then they learn of the drain by a refusal, which is
# an accurate not-run, while a closed link would leave the outcome unknown.
DRAIN_LINGER_MS = 1500
EXPIRE_INTERVAL_MS = 60_000


class State:
    """The agent's state.

    Parameters
    ----------
    identity : Identity
        Announced in every heartbeat.
    replicas : list of str
        Addresses of the state processes, tried in turn until one leads.
    now_ms : int
        Time of the start.
    has_worker : bool
        Whether there is a worker API. Then nothing is announced until the worker
        runs no task of an earlier agent, or their leases must have ended. Otherwise
        the leader could place these tasks elsewhere while they still run here.
    queue : int
        Bound of the queue of waiting requests.
    """

    def __init__(self, identity, replicas, now_ms, has_worker, queue):
        self.identity = identity
        self.replicas = list(replicas)
        self.leader = self.replicas[0]
        self.has_worker = has_worker
        self.admission = admission.Admission(identity.room, queue)
        self.host = taskhost.TaskHost(self.admission)
        self.requests = requesttable.RequestTable(identity.incarnation, self.admission)
        self.announce_ms = now_ms + OLD_LEASE_MS if has_worker else now_ms
        self.sequence = 0
        self.sent_ms_by_sequence = {}
        self.applied_sequence = 0
        self.next_heartbeat_ms = now_ms
        self.sent_ms = now_ms - HEARTBEAT_INTERVAL_MS
        self.announced = None
        self.lease_ms = 0
        self.lease_until_ms = 0
        self.confirmed_until_ms = 0
        self.config_version = 0
        self.is_upstream_leaving = False
        self.is_draining = False
        self.evict_at_ms = 0
        self.is_drained = False
        self.next_poll_ms = now_ms
        self.next_renew_ms = now_ms
        self.next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
        self.change_sequence = 0
        self.linger_until_ms = 0

    @property
    def is_closed(self):
        """Tell whether new work is refused because the upstream is leaving."""
        return self.is_draining or self.is_upstream_leaving

    def may_serve(self, now_ms):
        """Tell whether a configuration is in force, which new requests need."""
        return now_ms < self.confirmed_until_ms


def reduce(state, event):
    """Apply one event; return the effects in the order of their execution."""
    now_ms = event.now_ms
    effects = []
    # The process may have been frozen, so the lease is checked before anything else.
    if now_ms >= state.lease_until_ms and state.host.live_count:
        effects += state.host.stop_all(now_ms, "lease ended")
    effects += _HANDLERS[type(event)](state, event)
    effects += state.requests.admit_waiting(now_ms, _closed_reason(state, now_ms))
    if state.is_draining and not state.is_drained:
        effects += _continue_drain(state, now_ms)
    effects += state.host.start_successors(
        now_ms, state.lease_until_ms, state.is_closed
    )
    effects += _heartbeat_if_due(state, now_ms)
    return effects


# Heartbeats


def _heartbeat_if_due(state, now_ms):
    if now_ms < state.announce_ms or now_ms < state.sent_ms + CHANGE_GAP_MS:
        return []
    is_changed = state.announced != _announcement(state)
    if now_ms < state.next_heartbeat_ms and not (is_changed and state.applied_sequence):
        return []
    return [_heartbeat(state, now_ms, is_changed)]


def _announcement(state):
    """Return what must be told to the leader at once when it changes."""
    return state.host.revision, state.is_closed


def has_unsent_change(state):
    """Tell whether a change waits for `CHANGE_GAP_MS` to pass."""
    return state.applied_sequence > 0 and state.announced != _announcement(state)


def _heartbeat(state, now_ms, is_changed):
    state.sequence += 1
    if is_changed:
        state.change_sequence = state.sequence
    state.sent_ms = now_ms
    state.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
    state.announced = _announcement(state)
    state.sent_ms_by_sequence[state.sequence] = now_ms
    while len(state.sent_ms_by_sequence) > MAX_OUTSTANDING:
        del state.sent_ms_by_sequence[next(iter(state.sent_ms_by_sequence))]
    state.host.mark_reported(state.sequence)
    identity = state.identity
    heartbeat = messages.Heartbeat(
        upstream=identity.upstream,
        incarnation=identity.incarnation,
        address=identity.address,
        failure_domain=identity.failure_domain,
        rack=identity.rack,
        services=identity.services,
        room=identity.room,
        draining=state.is_closed,
        config_version=state.config_version,
        sequence=state.sequence,
        tasks=state.host.reports(),
        loads=state.requests.take_loads(),
    )
    return agentevents.SendHeartbeat(address=state.leader, heartbeat=heartbeat)


def _on_heartbeat_failed(state, event):
    state.sent_ms_by_sequence.pop(event.sequence, None)
    if event.address == state.leader:
        _follow_leader(state, event.now_ms, "")
    return []


def _follow_leader(state, now_ms, leader):
    """Send the next heartbeat to the named leader, or to the next replica in turn."""
    if leader and leader != state.leader:
        state.leader = leader
        state.next_heartbeat_ms = now_ms
        return
    addresses = state.replicas
    known = state.leader in addresses
    position = addresses.index(state.leader) + 1 if known else 0
    state.leader = addresses[position % len(addresses)]
    state.next_heartbeat_ms = max(now_ms, state.sent_ms + RETRY_GAP_MS)


# Directives


def _on_directive(state, event):
    directive = event.directive
    if directive.sequence == 0:
        return _on_push(state, event)
    sent_ms = state.sent_ms_by_sequence.pop(directive.sequence, None)
    if not directive.confirmed:
        if event.address == state.leader:
            _follow_leader(state, event.now_ms, directive.leader)
        return []
    if sent_ms is None or directive.sequence <= state.applied_sequence:
        return []
    state.applied_sequence = directive.sequence
    state.leader = event.address
    state.lease_ms = directive.lease_ms
    state.lease_until_ms = max(state.lease_until_ms, sent_ms + directive.lease_ms)
    state.confirmed_until_ms = max(state.confirmed_until_ms, sent_ms + CONFIRMATION_MS)
    effects = _take_configuration(state, directive)
    effects += _apply_table(state, event, directive.sequence)
    return effects


def _on_push(state, event):
    """Follow a push of the leader; it renews nothing, and absence means nothing."""
    if event.address != state.leader or not state.applied_sequence:
        return []
    return _apply_table(state, event, 0)


def _apply_table(state, event, answered_sequence):
    return state.host.apply_orders(
        event.now_ms,
        event.directive.tasks,
        answered_sequence,
        state.lease_until_ms,
        state.is_closed,
    )


def _take_configuration(state, directive):
    """Put a newer configuration in force; a lower version is never applied."""
    if directive.config_version <= state.config_version or not directive.config:
        return []
    try:
        document = json.loads(directive.config)
    except ValueError:
        return []
    state.config_version = directive.config_version
    state.admission.set_limits(document.get("services", {}))
    return [agentevents.ConfigurationChanged(version=state.config_version)]


# Time


def _on_tick(state, event):
    now_ms = event.now_ms
    effects = []
    effects += state.host.retry_calls(now_ms, state.lease_until_ms)
    effects += _poll_worker(state, now_ms)
    effects += _renew_tasks(state, now_ms)
    if now_ms >= state.next_expire_ms:
        state.next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
        state.requests.keys.expire(now_ms)
    return effects


def _poll_worker(state, now_ms):
    is_idle = not state.host.live_count and now_ms >= state.announce_ms
    if not state.has_worker or is_idle or now_ms < state.next_poll_ms:
        return []
    settled = state.host.is_settled() and now_ms >= state.announce_ms
    state.next_poll_ms = now_ms + (WORKER_POLL_MS if settled else WORKER_QUICK_POLL_MS)
    return [agentevents.AskTasks()]


def _renew_tasks(state, now_ms):
    if now_ms < state.next_renew_ms or now_ms >= state.lease_until_ms:
        return []
    state.next_renew_ms = now_ms + state.lease_ms * RENEW_SHARE
    tasks = [
        (hosted.order.task, hosted.order.epoch)
        for hosted in state.host.by_task.values()
        if not hosted.is_ended
    ]
    if not tasks:
        return []
    return [agentevents.RenewTasks(tasks=tasks, lease_until_ms=state.lease_until_ms)]


# Worker


def _on_worker_seen(state, event):
    if event.statuses is None:
        return []
    effects = state.host.apply_statuses(event.now_ms, event.statuses, event.asked_ms)
    if event.now_ms < state.announce_ms and not effects:
        state.announce_ms = event.now_ms
    return effects


def _on_start_answered(state, event):
    return state.host.start_answered(
        event.now_ms, event.task, event.epoch, event.is_taken, event.reason
    )


def _on_checkpoint_answered(state, event):
    return state.host.checkpoint_answered(
        event.now_ms, event.task, event.epoch, event.checkpoint
    )


def _on_stop_answered(state, event):
    return state.host.stop_answered(event.now_ms, event.task, event.epoch, event.phase)


def _on_worker_call_failed(state, event):
    return state.host.call_failed(event.now_ms, event.task, event.epoch)


# Requests


def _closed_reason(state, now_ms):
    """Return why no new request is taken, or ``""``."""
    if state.is_closed:
        return "draining"
    # Section 8: without a confirmation a newer configuration may be in force.
    if now_ms >= state.confirmed_until_ms:
        return "no confirmed configuration"
    return ""


def _on_request(state, event):
    return state.requests.arrived(
        event.now_ms, event.request, event.head, _closed_reason(state, event.now_ms)
    )


def _on_request_gone(state, event):
    return state.requests.gone(event.request)


def _on_request_ended(state, event):
    return state.requests.ended(event.now_ms, event.request, event)


def _on_key_query(state, event):
    return state.requests.queried(event.now_ms, event.query, event.message)


# Leaving


def _on_upstream_changed(state, event):
    state.is_upstream_leaving = event.is_leaving
    return []


def _on_drain(state, event):
    state.is_draining = True
    state.evict_at_ms = event.evict_at_ms
    state.linger_until_ms = event.now_ms + DRAIN_LINGER_MS
    return []


def _continue_drain(state, now_ms):
    """Evict what the leader left at the bound; report when nothing is left."""
    effects = []
    is_late = now_ms >= state.evict_at_ms
    if is_late:
        effects += state.host.evict_all(now_ms)
    is_told = (
        state.announced == _announcement(state)
        and state.applied_sequence >= state.change_sequence
    )
    is_empty = not state.host.live_count and not state.requests.by_request
    is_over = now_ms >= state.linger_until_ms or is_late
    if is_empty and is_over and (is_told or is_late):
        state.is_drained = True
        effects.append(agentevents.Drained())
    return effects


_HANDLERS = {
    agentevents.Tick: _on_tick,
    agentevents.DirectiveReceived: _on_directive,
    agentevents.HeartbeatFailed: _on_heartbeat_failed,
    agentevents.RequestArrived: _on_request,
    agentevents.RequestGone: _on_request_gone,
    agentevents.RequestEnded: _on_request_ended,
    agentevents.KeyQueried: _on_key_query,
    agentevents.WorkerSeen: _on_worker_seen,
    agentevents.StartAnswered: _on_start_answered,
    agentevents.CheckpointAnswered: _on_checkpoint_answered,
    agentevents.StopAnswered: _on_stop_answered,
    agentevents.WorkerCallFailed: _on_worker_call_failed,
    agentevents.UpstreamChanged: _on_upstream_changed,
    agentevents.DrainAsked: _on_drain,
}
