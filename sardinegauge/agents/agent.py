"""Reducer of the agent: lease, tasks, admission, request keys, configuration, drain.

`reduce(state, event)` changes the state and returns a list of effects; the module does
no I/O. Times are milliseconds of CLOCK_BOOTTIME. The effects on the worker come from
`taskhost`, those on requests from `requesttable`.
"""

import json

from sardinegauge.agents import admission, agentevents, requesttable, taskhost
from sardinegauge.links import messages

HEARTBEAT_INTERVAL_MS = 1000
# Shortest time between two heartbeats; changes within this time are sent together.
MIN_HEARTBEAT_INTERVAL_MS = 50
HEARTBEAT_TIMEOUT_MS = 1000
# Delay before the next replica is tried while the leader is unknown.
REPLICA_RETRY_DELAY_MS = 100
MAX_UNANSWERED_HEARTBEATS = 8
# Section 8: a confirmed configuration is valid for 5 s after its heartbeat was sent.
CONFIRMATION_VALIDITY_MS = 5000
# Upper bound on a lease that an earlier agent process gave to the worker: 10 s, and
# 1 s of clock drift.
MAX_PREVIOUS_LEASE_MS = 11_000
WORKER_POLL_MS = 1000
# Poll interval while a task starts or stops, when its phase is about to change.
WORKER_FAST_POLL_MS = 200
# Interval between renewals of the worker's leases, as a fraction of the lease length.
RENEW_FRACTION = 0.2
# Minimum time for which a draining agent stays up to refuse requests. Entries poll
# every 500 ms and send requests here until they learn of the drain: a refusal gives the
# accurate verdict not-run, while a closed link leaves the outcome unknown.
DRAIN_LINGER_MS = 1500
EXPIRE_INTERVAL_MS = 60_000


class State:
    """The agent's state.

    Parameters
    ----------
    identity : Identity
        Sent in every heartbeat.
    replicas : list of str
        Addresses of the state processes, tried in turn until the leader answers.
    now_ms : int
        Start time of the agent.
    has_worker : bool
        Whether the agent has a worker API. If so, no heartbeat is sent until the worker
        runs no task of an earlier agent process, or until the leases of these tasks
        must have ended. Otherwise the leader could place these tasks on another
        upstream while the worker still runs them.
    queue : int
        Maximum number of waiting requests.
    """

    def __init__(self, identity, replicas, now_ms, has_worker, queue):
        self.identity = identity
        self.replicas = list(replicas)
        self.leader = self.replicas[0]
        self.has_worker = has_worker
        self.admission = admission.Admission(identity.room, queue)
        self.host = taskhost.TaskHost(self.admission)
        self.requests = requesttable.RequestTable(identity.incarnation, self.admission)
        self.announce_after_ms = (
            now_ms + MAX_PREVIOUS_LEASE_MS if has_worker else now_ms
        )
        self.sequence = 0
        self.sent_ms_by_sequence = {}
        self.applied_sequence = 0
        self.next_heartbeat_ms = now_ms
        self.sent_ms = now_ms - HEARTBEAT_INTERVAL_MS
        self.sent_urgent_fields = None
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
        self.urgent_sequence = 0
        self.linger_until_ms = 0

    @property
    def is_refusing_work(self):
        """Whether new work is refused because of a drain or a leaving upstream."""
        return self.is_draining or self.is_upstream_leaving

    def may_serve(self, now_ms):
        """Return whether a confirmed configuration is in force, as requests require."""
        return now_ms < self.confirmed_until_ms


def reduce(state, event):
    """Apply one event and return the effects in order of execution."""
    now_ms = event.now_ms
    effects = []
    # The lease is checked first, since it may have ended while the process was frozen.
    if now_ms >= state.lease_until_ms and state.host.live_count:
        effects += state.host.stop_all(now_ms, "lease ended")
    effects += _HANDLERS[type(event)](state, event)
    effects += state.requests.admit_waiting(now_ms, _refusal_reason(state, now_ms))
    if state.is_draining and not state.is_drained:
        effects += _continue_drain(state, now_ms)
    effects += state.host.start_successors(
        now_ms, state.lease_until_ms, state.is_refusing_work
    )
    effects += _heartbeat_if_due(state, now_ms)
    return effects


# Heartbeats


def _heartbeat_if_due(state, now_ms):
    if (
        now_ms < state.announce_after_ms
        or now_ms < state.sent_ms + MIN_HEARTBEAT_INTERVAL_MS
    ):
        return []
    has_urgent_change = state.sent_urgent_fields != _urgent_fields(state)
    if now_ms < state.next_heartbeat_ms and not (
        has_urgent_change and state.applied_sequence
    ):
        return []
    return [_heartbeat(state, now_ms, has_urgent_change)]


def _urgent_fields(state):
    """Return the heartbeat fields whose change is sent ahead of the interval."""
    return state.host.revision, state.is_refusing_work


def has_unsent_change(state):
    """Return whether a change waits for `MIN_HEARTBEAT_INTERVAL_MS` to pass."""
    return state.applied_sequence > 0 and state.sent_urgent_fields != _urgent_fields(
        state
    )


def _heartbeat(state, now_ms, has_urgent_change):
    state.sequence += 1
    if has_urgent_change:
        state.urgent_sequence = state.sequence
    state.sent_ms = now_ms
    state.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
    state.sent_urgent_fields = _urgent_fields(state)
    state.sent_ms_by_sequence[state.sequence] = now_ms
    while len(state.sent_ms_by_sequence) > MAX_UNANSWERED_HEARTBEATS:
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
        draining=state.is_refusing_work,
        config_version=state.config_version,
        sequence=state.sequence,
        tasks=state.host.reports(),
        loads=state.requests.collect_loads(),
    )
    return agentevents.SendHeartbeat(address=state.leader, heartbeat=heartbeat)


def _on_heartbeat_failed(state, event):
    state.sent_ms_by_sequence.pop(event.sequence, None)
    if event.address == state.leader:
        _switch_leader(state, event.now_ms, "")
    return []


def _switch_leader(state, now_ms, leader):
    """Send the next heartbeat to `leader`, or to the next replica if it is ``""``."""
    if leader and leader != state.leader:
        state.leader = leader
        state.next_heartbeat_ms = now_ms
        return
    addresses = state.replicas
    is_known = state.leader in addresses
    position = addresses.index(state.leader) + 1 if is_known else 0
    state.leader = addresses[position % len(addresses)]
    state.next_heartbeat_ms = max(now_ms, state.sent_ms + REPLICA_RETRY_DELAY_MS)


# Directives


def _on_directive(state, event):
    directive = event.directive
    if directive.sequence == 0:
        return _on_push(state, event)
    sent_ms = state.sent_ms_by_sequence.pop(directive.sequence, None)
    if not directive.confirmed:
        if event.address == state.leader:
            _switch_leader(state, event.now_ms, directive.leader)
        return []
    if sent_ms is None or directive.sequence <= state.applied_sequence:
        return []
    state.applied_sequence = directive.sequence
    state.leader = event.address
    state.lease_ms = directive.lease_ms
    state.lease_until_ms = max(state.lease_until_ms, sent_ms + directive.lease_ms)
    state.confirmed_until_ms = max(
        state.confirmed_until_ms, sent_ms + CONFIRMATION_VALIDITY_MS
    )
    effects = _apply_configuration(state, directive)
    effects += _apply_orders(state, event, directive.sequence)
    return effects


def _on_push(state, event):
    """Apply a push of the leader.

    A push renews no lease, and a task that the push does not list is not stopped.
    """
    if event.address != state.leader or not state.applied_sequence:
        return []
    return _apply_orders(state, event, 0)


def _apply_orders(state, event, answered_sequence):
    return state.host.apply_orders(
        event.now_ms,
        event.directive.tasks,
        answered_sequence,
        state.lease_until_ms,
        state.is_refusing_work,
    )


def _apply_configuration(state, directive):
    """Apply the configuration of a directive if its version is newer."""
    if directive.config_version <= state.config_version or not directive.config:
        return []
    try:
        document = json.loads(directive.config)
    except ValueError:
        return []
    state.config_version = directive.config_version
    state.admission.set_limits(document.get("services", {}))
    return [agentevents.ConfigurationChanged(version=state.config_version)]


# Timers


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
    is_idle = not state.host.live_count and now_ms >= state.announce_after_ms
    if not state.has_worker or is_idle or now_ms < state.next_poll_ms:
        return []
    is_all_settled = state.host.is_settled() and now_ms >= state.announce_after_ms
    state.next_poll_ms = now_ms + (
        WORKER_POLL_MS if is_all_settled else WORKER_FAST_POLL_MS
    )
    return [agentevents.PollWorker()]


def _renew_tasks(state, now_ms):
    if now_ms < state.next_renew_ms or now_ms >= state.lease_until_ms:
        return []
    state.next_renew_ms = now_ms + state.lease_ms * RENEW_FRACTION
    tasks = [
        (hosted.order.task, hosted.order.epoch)
        for hosted in state.host.by_task.values()
        if not hosted.is_ended
    ]
    if not tasks:
        return []
    return [agentevents.RenewTasks(tasks=tasks, lease_until_ms=state.lease_until_ms)]


# Worker


def _on_worker_polled(state, event):
    if event.statuses is None:
        return []
    effects = state.host.apply_statuses(
        event.now_ms, event.statuses, event.requested_at_ms
    )
    if event.now_ms < state.announce_after_ms and not effects:
        state.announce_after_ms = event.now_ms
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


def _refusal_reason(state, now_ms):
    """Return why new requests are refused, or ``""`` if they are accepted."""
    if state.is_refusing_work:
        return "draining"
    # Section 8: without a confirmation, a newer configuration may be in force.
    if now_ms >= state.confirmed_until_ms:
        return "no confirmed configuration"
    return ""


def _on_request(state, event):
    return state.requests.receive(
        event.now_ms, event.request, event.head, _refusal_reason(state, event.now_ms)
    )


def _on_request_abandoned(state, event):
    return state.requests.abandon(event.request)


def _on_request_ended(state, event):
    return state.requests.complete(event.now_ms, event.request, event)


def _on_key_query(state, event):
    return state.requests.answer_query(event.now_ms, event.query, event.message)


# Drain


def _on_upstream_changed(state, event):
    state.is_upstream_leaving = event.is_leaving
    return []


def _on_drain(state, event):
    state.is_draining = True
    state.evict_at_ms = event.evict_at_ms
    state.linger_until_ms = event.now_ms + DRAIN_LINGER_MS
    return []


def _continue_drain(state, now_ms):
    """Report the end of the drain; evict the remaining tasks at `evict_at_ms`."""
    effects = []
    is_past_limit = now_ms >= state.evict_at_ms
    if is_past_limit:
        effects += state.host.evict_all(now_ms)
    is_acknowledged = (
        state.sent_urgent_fields == _urgent_fields(state)
        and state.applied_sequence >= state.urgent_sequence
    )
    is_empty = not state.host.live_count and not state.requests.by_request
    has_lingered = now_ms >= state.linger_until_ms or is_past_limit
    if is_empty and has_lingered and (is_acknowledged or is_past_limit):
        state.is_drained = True
        effects.append(agentevents.Drained())
    return effects


_HANDLERS = {
    agentevents.Tick: _on_tick,
    agentevents.DirectiveReceived: _on_directive,
    agentevents.HeartbeatFailed: _on_heartbeat_failed,
    agentevents.RequestArrived: _on_request,
    agentevents.RequestAbandoned: _on_request_abandoned,
    agentevents.RequestEnded: _on_request_ended,
    agentevents.KeyQueried: _on_key_query,
    agentevents.WorkerPolled: _on_worker_polled,
    agentevents.StartAnswered: _on_start_answered,
    agentevents.CheckpointAnswered: _on_checkpoint_answered,
    agentevents.StopAnswered: _on_stop_answered,
    agentevents.WorkerCallFailed: _on_worker_call_failed,
    agentevents.UpstreamChanged: _on_upstream_changed,
    agentevents.DrainRequested: _on_drain,
}
