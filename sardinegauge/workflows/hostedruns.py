"""Calls of an agent to its worker: starts, stops, CPU caps, and holds.

A hold renews the leases of all runs and returns the worker's lists of active and ended
runs; the worker may keep it open until a run ends.
"""

import logging

from sardinegauge.workflows import hoststate, views, workerclient

# Longest time that the worker keeps a hold open: with runs, on a watched worker, whose
# latencies are needed more often to throttle best-effort tasks, and without runs.
HOLD_WAIT_MS = 400
WATCHED_HOLD_WAIT_MS = 250
IDLE_HOLD_WAIT_MS = 1000
# Pause before a call is repeated.
RETRY_MS = 60
# Reason of a run that is gone because the leader did not repeat the order to start it.
ORDER_EXPIRED = "order expired"
log = logging.getLogger(__name__)


def start_run(state, task_id, run_number, payload, checkpoint, ticket="", percent=100):
    """Start a run with a CPU cap in percent; of a known run, only set the cap."""
    key = (task_id, run_number)
    if key in state.runs:
        state.runs[key].ordered_ms = state.ordered_ms
        set_cpu_cap(state, key, percent)
        return
    if is_ended(state, key):
        return
    run = state.runs[key] = hoststate.HostedRun(
        views.ORDERED, payload, checkpoint, ticket
    )
    run.ordered_ms = state.ordered_ms
    run.target_cpu_cap = percent
    if state.is_draining:
        # A previous process of this agent may have started the run already.
        run.phase = views.STOPPING
        run.reason = "draining"
        _call_stop(state, key, run)
    elif not state.is_down and not _is_expired(state, run):
        _call_start(state, key, run)


def keep_orders(state, keys):
    """Record that the leader left ordered starts in force.

    `keys` is None for a leader of an earlier release, which names none: all stay.
    """
    if keys is None:
        keys = state.runs
    for key in keys:
        run = state.runs.get(tuple(key))
        if run is not None:
            run.ordered_ms = state.ordered_ms


def _call_start(state, key, run):
    lease_until_ms = state.lease_until_ms()
    if run.is_call_open or not lease_until_ms or not state.is_fenced:
        return
    if not state.slots.take():
        state.slots.wait_to_start(key)
        return
    task_id, run_number = key
    run.is_call_open = True
    run.called_ms = run.called_ms or state.now_ms
    state.lease_end_ms = max(state.lease_end_ms, state.grant_until_ms)
    state.call(
        workerclient.StartCall(
            task=task_id,
            run=run_number,
            payload=run.payload,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
            lease_until_ms=lease_until_ms,
            fence=state.fence,
        )
    )


def mark_active(state, key, run, source):
    """Record that a run is active, as seen in the answer to its start or in a list."""
    run.phase = views.ACTIVE
    run.active_ms = run.active_ms or state.now_ms
    log.info(
        "run_active task=%s run=%d seen_in=%s unanswered=%d",
        *key,
        source,
        run.unanswered_starts,
    )


def abandon_start(state, key, run, reason):
    """Give up an ordered run that did not start.

    The run is gone at once if no start call can take effect any more; otherwise it is
    stopped first. Before the worker is fenced, that may be a call of a former process.
    """
    run.reason = reason
    if run.unanswered_starts or run.is_call_open or not state.is_fenced:
        run.phase = views.STOPPING
        run.next_call_ms = state.now_ms
        _call_stop(state, key, run)
    else:
        run.phase = views.GONE


def set_cpu_cap(state, key, percent):
    """Set the CPU cap of a run, in percent of its full speed."""
    run = state.runs.get(key)
    if run is None:
        return
    run.target_cpu_cap = percent
    if run.phase != views.ACTIVE or run.cpu_cap == percent:
        return
    if state.now_ms - run.last_cpu_cap_call_ms < RETRY_MS:
        return
    if not state.slots.take():
        state.slots.wait_to_cap(key)
        return
    task_id, run_number = key
    run.last_cpu_cap_call_ms = state.now_ms
    state.call(
        workerclient.PaceCall(
            task=task_id, run=run_number, percent=percent, fence=state.fence
        )
    )


def check_late_caps(state):
    """Have the CPU caps set anew that a late call may have changed after the last."""
    for run in state.runs.values():
        if 0 < run.cap_unsettled_until_ms <= state.now_ms:
            run.cap_unsettled_until_ms = 0
            run.cpu_cap = views.UNKNOWN_CPU_CAP


def stop_run(state, key):
    """Stop a run, known or not, since a start call may still be on the way."""
    if is_ended(state, key):
        return
    run = state.runs.get(key)
    if run is None:
        run = state.runs[key] = hoststate.HostedRun(views.STOPPING)
    elif run.phase in (views.STOPPING, views.GONE):
        return
    run.phase = views.STOPPING
    run.next_call_ms = state.now_ms
    log.info("run_stopping task=%s run=%d", *key)
    _call_stop(state, key, run)


def _call_stop(state, key, run):
    if state.is_down:
        return
    if not state.slots.take():
        state.slots.wait_to_stop(key)
        return
    task_id, run_number = key
    run.is_call_open = True
    state.call(workerclient.StopCall(task=task_id, run=run_number, fence=state.fence))


def is_ended(state, key):
    """Return whether the worker listed an end of the run."""
    return any(
        (task_id, run_number) == key
        for _, task_id, run_number, _, _ in state.ends.values()
    )


def send_hold(state, wait_ms=None):
    """Send a hold to the worker unless one is open already.

    With an explicit `wait_ms`, the hold is sent beside an open one, up to three at a
    time.
    """
    if state.announcement is None or (state.open_hold_count and wait_ms is None):
        return
    if state.open_hold_count > 2 or (
        wait_ms is None and state.now_ms < state.next_hold_ms
    ):
        return
    if wait_ms is None:
        wait_ms = IDLE_HOLD_WAIT_MS
        if state.runs:
            wait_ms = WATCHED_HOLD_WAIT_MS if state.is_watched else HOLD_WAIT_MS
        if not state.is_fenced or not state.is_responsive:
            wait_ms = 0
    lease_until_ms = state.lease_until_ms() if state.runs else 0
    if lease_until_ms:
        state.lease_end_ms = max(state.lease_end_ms, state.grant_until_ms)
    state.open_hold_count += 1
    state.call(
        workerclient.HoldCall(
            lease_until_ms=lease_until_ms,
            fence=state.fence,
            seen_end=state.seen_end,
            wait_ms=wait_ms,
        )
    )


def retry_calls(state):
    """Repeat the start and stop calls that are due; the leader repeats CPU caps."""
    for key, run in list(state.runs.items()):
        is_due = not run.is_call_open and state.now_ms >= run.next_call_ms
        if is_due and run.phase != views.ACTIVE:
            _advance(state, key, run)


def use_free_slots(state):
    """Make the calls that waiting runs need by now, as far as there are slots.

    A start whose order has expired, or that is not wanted any more, is not called.
    """
    while (key := state.slots.next_key()) is not None:
        run = state.runs.get(key)
        if run is not None:
            _advance(state, key, run)


def _advance(state, key, run):
    """Make the call that a run needs in its phase."""
    if run.phase == views.ORDERED and not state.is_down and _is_expired(state, run):
        abandon_start(state, key, run, ORDER_EXPIRED)
        log.info("start_expired task=%s run=%d", *key)
        state.report()
    elif run.phase == views.ORDERED:
        _call_start(state, key, run)
    elif run.phase == views.STOPPING and not run.is_stop_answered:
        _call_stop(state, key, run)
    elif run.phase == views.ACTIVE:
        set_cpu_cap(state, key, run.target_cpu_cap)


def _is_expired(state, run):
    return state.now_ms - run.ordered_ms > hoststate.START_ORDER_MS
