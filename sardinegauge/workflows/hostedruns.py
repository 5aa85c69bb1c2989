"""Calls for the runs on a worker: starts, stops, paces and lists."""

import logging

from sardinegauge.workflows import hoststate, views, workerport

HOLD_WAIT_MS = 400
# With tasks that serve and others that disturb them, latencies are wanted often.
WATCH_WAIT_MS = 250
IDLE_HOLD_WAIT_MS = 1000
RETRY_MS = 60
log = logging.getLogger(__name__)


def start(state, task, number, payload, checkpoint, ticket="", percent=100):
    """Start a run at a pace; of one that is known only the pace counts."""
    key = (task, number)
    if key in state.runs:
        pace(state, key, percent)
        return
    if is_ended(state, key):
        return
    run = state.runs[key] = hoststate.HostedRun(
        views.ORDERED, payload, checkpoint, ticket
    )
    run.wanted_pace = percent
    if state.is_draining:
        # An agent before this one may have started the run already.
        run.phase = views.STOPPING
        run.reason = "draining"
        _call_stop(state, key, run)
    elif not state.is_down:
        _call_start(state, key, run)


def _call_start(state, key, run):
    lease_until_ms = state.lease_until_ms()
    if run.is_call_open or not lease_until_ms or not state.is_fenced:
        return
    run.is_call_open = True
    state.lease_end_ms = max(state.lease_end_ms, state.grant_until_ms)
    state.call(
        workerport.StartCall(
            task=key[0],
            run=key[1],
            payload=run.payload,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
            lease_until_ms=lease_until_ms,
            fence=state.fence,
        )
    )


def give_up(state, key, run, reason):
    """End an ordered run that did not start, once it is certain that it never will."""
    run.reason = reason
    if run.unanswered or run.is_call_open:
        run.phase = views.STOPPING
        run.next_call_ms = state.now_ms
        _call_stop(state, key, run)
    else:
        run.phase = views.GONE


def pace(state, key, percent):
    """Have a run work at a share of its speed."""
    run = state.runs.get(key)
    if run is None:
        return
    run.wanted_pace = percent
    if run.phase != views.ACTIVE or run.pace == percent:
        return
    if state.now_ms - run.paced_ms < RETRY_MS:
        return
    run.paced_ms = state.now_ms
    state.call(
        workerport.PaceCall(task=key[0], run=key[1], percent=percent, fence=state.fence)
    )


def stop(state, key):
    """Stop a run, also one that is not known: its start may be on the way."""
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
    run.is_call_open = True
    state.call(workerport.StopCall(task=key[0], run=key[1], fence=state.fence))


def is_ended(state, key):
    """Tell whether an end of the run is listed."""
    return any((row[1], row[2]) == key for row in state.ends.values())


def hold(state, wait_ms=None):
    """Ask for the worker's lists, unless a call is open that waits as well."""
    if state.announcement is None or (state.holds_open and wait_ms is None):
        return
    if state.holds_open > 2 or (wait_ms is None and state.now_ms < state.next_hold_ms):
        return
    if wait_ms is None:
        wait_ms = IDLE_HOLD_WAIT_MS
        if state.runs:
            wait_ms = WATCH_WAIT_MS if state.is_watched else HOLD_WAIT_MS
        if not state.is_fenced or not state.is_responsive:
            wait_ms = 0
    lease_until_ms = state.lease_until_ms() if state.runs else 0
    if lease_until_ms:
        state.lease_end_ms = max(state.lease_end_ms, state.grant_until_ms)
    state.holds_open += 1
    state.call(
        workerport.HoldCall(
            lease_until_ms=lease_until_ms,
            fence=state.fence,
            seen_end=state.seen_end,
            wait_ms=wait_ms,
        )
    )


def retry(state):
    """Repeat the calls whose time has come."""
    for key, run in list(state.runs.items()):
        if run.is_call_open or state.now_ms < run.next_call_ms:
            continue
        if run.phase == views.ORDERED:
            _call_start(state, key, run)
        elif run.phase == views.STOPPING and not run.is_stop_answered:
            _call_stop(state, key, run)
