"""Reducer of an agent that runs tasks on the worker on its VM.

The leader's orders name the runs to start and stop; the worker's answers list the runs
that are active and those that ended. The agent executes the orders, reports the lists
to the leader, and renews the worker's leases while it holds a grant of the leader.
Times are milliseconds of the agent's clock unless the name says otherwise.
"""

import logging

from sardinegauge.workflows import (
    hostedadvice,
    hostedcrash,
    hostedfence,
    hostedlists,
    hostedruns,
    hostevents,
    views,
    workerclient,
)

# On a watched worker, a new list that arrives this shortly before the next periodic
# report is reported at once.
REPORT_EARLY_MS = 200
# Time after the end of the last lease before the agent reports the leases as expired.
LAPSE_MARGIN_MS = 250
# A call without an answer may still be executed by the worker this much later.
MAX_CALL_DELAY_MS = 13_000
# Calls since the last answer that found nothing listening at the worker's address,
# after which the worker counts as down.
CONNECT_FAILURES_UNTIL_DOWN = 2
# Announcements may overtake each other within this time. The order of their numbers is
# not kept for longer, as one entry with a wrong number would hide all later ones.
MAX_REORDERING_MS = 10_000
log = logging.getLogger(__name__)


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    state.event_number += 1
    _BY_EVENT[type(event)](state, event)
    hostedruns.use_free_slots(state)
    effects, state.effects = state.effects, []
    return effects


def _on_announced(state, event):
    announcement = event.announcement
    last_announcement = state.announcement
    # A worker with another id is accepted even if its incarnation was already seen in
    # an answer before its announcement.
    is_other = (
        last_announcement is not None
        and announcement.worker != last_announcement.worker
    )
    is_new = announcement.incarnation > state.incarnation or (
        is_other and announcement.incarnation == state.incarnation
    )
    if is_other and not _may_be_replaced(state, announcement):
        _log_ignored(state, announcement)
        return
    is_returning = is_other and _is_unheard(state)
    if last_announcement is None or is_new or is_returning:
        hostedcrash.record(state)
        state.begin_incarnation(announcement)
        hostedruns.send_hold(state)
        state.report()
        return
    if (
        announcement.incarnation < state.incarnation
        or announcement.worker != last_announcement.worker
    ):
        return
    is_older = announcement.sequence <= last_announcement.sequence
    if is_older and state.now_ms - state.announced_ms <= MAX_REORDERING_MS:
        return
    state.announcement = announcement
    state.announced_ms = state.now_ms
    if announcement.capacity != last_announcement.capacity:
        state.report()
    if announcement.is_draining and not state.is_draining:
        state.is_draining = True
        for key, run in state.runs.items():
            if run.phase == views.ORDERED:
                hostedruns.abandon_start(state, key, run, "draining")
        state.report()


def _may_be_replaced(state, announcement):
    """Return whether a worker with another id may be the VM's worker by now.

    An announcement may come from another writer, and one VM has one worker. While the
    known one answers and isn't about to leave, none of another pool replaces it; one of
    its own pool is its next incarnation, which must not wait.
    """
    if announcement.pool == state.announcement.pool:
        return True
    return state.is_draining or not (state.is_fenced and state.is_responsive)


def _is_unheard(state):
    """Return whether the announced worker has answered nothing for a while."""
    return not state.is_fenced and not state.is_responsive


def _log_ignored(state, announcement):
    if announcement.worker == state.ignored_worker:
        return
    state.ignored_worker = announcement.worker
    log.warning(
        "announcement_ignored worker=%s life=%d pool=%s answering=%s",
        announcement.worker,
        announcement.incarnation,
        announcement.pool,
        _worker_id(state),
    )


def _on_left(state, event):
    announcement = state.announcement
    if announcement is None or announcement.worker != event.worker:
        return
    state.is_draining = True
    _end_incarnation(state, "left")


def _end_incarnation(state, reason):
    """Record that the worker's process has ended, and all its runs with it.

    A start call without an answer may still be executed by the next incarnation of the
    worker, so such a run is gone only after `MAX_CALL_DELAY_MS`.
    """
    if not state.is_down:
        state.is_down = True
        log.warning(
            "worker_down worker=%s life=%d reason=%r runs=%d",
            _worker_id(state),
            state.incarnation,
            reason,
            len(state.runs),
        )
        state.report()
    if reason == views.CRASHED:
        if not hostedcrash.is_settled(state):
            return
        hostedcrash.record(state)
    for run in state.runs.values():
        settled_at_ms = (
            run.last_unanswered_ms + MAX_CALL_DELAY_MS if run.unanswered_starts else 0
        )
        is_settled = state.now_ms >= settled_at_ms and not run.is_call_open
        if run.phase != views.GONE and is_settled:
            run.phase = views.GONE
            run.reason = reason
            state.report()


def _on_answered(state, event):
    call = event.call
    if call.incarnation != state.incarnation:
        return
    _release_slot(state, call)
    answer = event.answer
    if answer.kind == workerclient.WRONG_INCARNATION or (
        answer.incarnation and answer.incarnation != state.incarnation
    ):
        _on_other_incarnation(state, call, answer)
        return
    if state.is_down and answer.incarnation == 0:
        # The answer names no incarnation, so it may come from the worker's next
        # incarnation.
        _close_call(state, call)
        _record_unanswered_start(state, call)
        return
    if not state.is_responsive:
        # The leader renews no lease of a worker that does not answer.
        state.report()
    state.answered_ms = state.now_ms
    state.unanswered_since_ms = 0
    state.connect_failures = 0
    state.is_down = False
    if answer.clock_ms and call.sent_ms >= state.anchor_ms:
        state.anchor_clock_ms = answer.clock_ms
        state.anchor_ms = state.now_ms
    _ON_ANSWER[type(call.request)](state, call, answer)


def _release_slot(state, call):
    """Free the slot of an ended call.

    A worker with another id may have the same incarnation number; calls to the former
    one hold no slot.
    """
    is_hold = isinstance(call.request, workerclient.HoldCall)
    if not is_hold and call.event_number >= state.first_event_number:
        state.slots.release()


def _close_call(state, call):
    request = call.request
    if isinstance(request, workerclient.HoldCall):
        state.open_hold_count -= 1
        state.next_hold_ms = state.now_ms + hostedruns.RETRY_MS
    elif not isinstance(request, workerclient.PaceCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.is_call_open = False
            run.next_call_ms = state.now_ms + hostedruns.RETRY_MS


def _on_unanswered(state, event):
    call = event.call
    if call.incarnation != state.incarnation:
        return
    _release_slot(state, call)
    _close_call(state, call)
    state.unanswered_since_ms = state.unanswered_since_ms or state.now_ms
    if not event.is_down:
        _record_unanswered_start(state, call)
        _record_unanswered_cap(state, call)
    if event.is_down:
        state.connect_failures += 1
        if state.connect_failures >= CONNECT_FAILURES_UNTIL_DOWN:
            _end_incarnation(state, views.CRASHED)


def _record_unanswered_start(state, call):
    """Record that the worker may execute a start call at any time from now on."""
    request = call.request
    if isinstance(request, workerclient.StartCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.unanswered_starts += 1
            run.last_unanswered_ms = state.now_ms


def _record_unanswered_cap(state, call):
    """Record that the worker may execute a CPU cap at any time from now on."""
    request = call.request
    if isinstance(request, workerclient.PaceCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.cpu_cap = views.UNKNOWN_CPU_CAP
            run.cap_unsettled_until_ms = state.now_ms + MAX_CALL_DELAY_MS


def _on_other_incarnation(state, call, answer):
    """Switch to a new incarnation of the worker that answered before it was announced.

    The new incarnation may have executed start calls meant for the former one. The
    leader releases the former incarnation's runs once the new incarnation is fenced and
    runs none of them. An answer `workerclient.WRONG_INCARNATION` comes from a worker
    with another id: the agent waits for the announcement of that worker.
    """
    _close_call(state, call)
    is_same_worker = answer.kind != workerclient.WRONG_INCARNATION
    if is_same_worker and answer.incarnation > state.incarnation:
        hostedcrash.record(state)
        state.begin_incarnation(
            state.announcement.replace(incarnation=answer.incarnation, sequence=0)
        )
        hostedruns.send_hold(state)
        state.report()
    elif not state.is_down:
        state.is_down = True
        state.report()


def _on_start_answer(state, call, answer):
    key = (call.request.task, call.request.run)
    run = state.runs.get(key)
    if run is None:
        return
    run.is_call_open = False
    run.last_answer_event = state.event_number
    if run.phase != views.ORDERED:
        return
    if answer.kind == workerclient.DONE:
        hostedruns.mark_active(state, key, run, "answer")
        hostedruns.set_cpu_cap(state, key, run.target_cpu_cap)
        return
    if answer.reason == workerclient.LEASE_EXPIRED:
        run.next_call_ms = state.now_ms + hostedruns.RETRY_MS
        return
    if answer.reason == workerclient.STALE_FENCE:
        hostedfence.on_refused(state, call.request.fence)
        state.next_hold_ms = state.now_ms
    hostedruns.abandon_start(state, key, run, answer.reason)
    state.report()


def _on_stop_answer(state, call, answer):
    run = state.runs.get((call.request.task, call.request.run))
    if run is None:
        return
    run.is_call_open = False
    run.last_answer_event = state.event_number
    run.is_stop_answered = answer.kind == workerclient.DONE
    run.next_call_ms = state.now_ms + hostedruns.RETRY_MS
    # Only a list that the worker makes after the stop shows whether the run remains.
    hostedruns.send_hold(state, wait_ms=0)


def _on_cpu_cap_answer(state, call, answer):
    """Record a confirmed CPU cap; the leader repeats an unconfirmed order."""
    request = call.request
    run = state.runs.get((request.task, request.run))
    if run is not None and answer.kind == workerclient.DONE:
        run.cpu_cap = request.percent


def _on_hold_answer(state, call, answer):
    state.open_hold_count -= 1
    if answer.kind != workerclient.DONE:
        if answer.reason == workerclient.STALE_FENCE:
            hostedfence.on_refused(state, call.request.fence)
        state.next_hold_ms = state.now_ms + hostedruns.RETRY_MS
        return
    hostedfence.on_accepted(state, call.request.fence)
    state.is_lapsed = False
    if call.request.seen_end > state.acknowledged_end:
        state.acknowledged_end = call.request.seen_end
    hostedlists.record_ends(state, answer.ended)
    if call.event_number >= state.last_list_event:
        state.last_list_event = call.event_number
        hostedlists.update_runs(state, call, answer)
    state.next_hold_ms = state.now_ms
    hostedruns.send_hold(state)
    if state.is_watched and state.now_ms >= state.report_due_ms - REPORT_EARLY_MS:
        state.report()


def _on_orders(state, event):
    message = event.message
    if (message.term, message.sequence) <= (state.term, state.sequence):
        return
    state.term, state.sequence = message.term, message.sequence
    if message.worker != _worker_id(state) or message.life != state.incarnation:
        return
    if message.grant_ms and not state.is_lapsed:
        lease_until_ms = message.sent_ms + message.grant_ms
        state.grant_until_ms = max(state.grant_until_ms, lease_until_ms)
    state.orders_sent_ms = max(state.orders_sent_ms, message.sent_ms)
    body = event.body
    state.is_watched = body["is_watched"]
    _acknowledge_ends(state, body["seen_end"])
    for task_id, run_number in body["forget"]:
        run = state.runs.get((task_id, run_number))
        if run is not None and run.phase == views.GONE:
            del state.runs[task_id, run_number]
    for task_id, run_number in body["stops"]:
        hostedruns.stop_run(state, (task_id, run_number))
    for start in body["starts"]:
        hostedruns.start_run(state, *start)
    hostedruns.keep_orders(state, body.get("still_ordered"))
    for task_id, run_number, percent in body["paces"]:
        hostedruns.set_cpu_cap(state, (task_id, run_number), percent)
    # Leaders of earlier releases send no questions, or no terms.
    hostedadvice.update_questions(
        state,
        body.get("questions", []),
        body.get("question_terms", {}),
        message.sent_ms,
    )
    hostedcrash.acknowledge(state, body.get("crash_seen", 0))


def _worker_id(state):
    return state.announcement.worker if state.announcement is not None else ""


def _acknowledge_ends(state, seen_end):
    if seen_end <= state.seen_end:
        return
    state.seen_end = seen_end
    for number in [number for number in state.ends if number <= seen_end]:
        del state.ends[number]
    hostedruns.send_hold(state, wait_ms=0)


def _on_tick(state, event):
    if state.announcement is not None:
        _check_lapse(state)
        hostedruns.check_late_caps(state)
        hostedruns.retry_calls(state)
        hostedruns.send_hold(state)
    hostedadvice.send_due_questions(state)
    if state.now_ms >= state.report_due_ms:
        state.report()


def _check_lapse(state):
    """Report a worker that does not answer once all its leases have expired."""
    if state.is_down:
        _end_incarnation(state, views.CRASHED)
        return
    if state.is_responsive or state.is_lapsed:
        return
    if state.now_ms > max(state.lease_end_ms, state.answered_ms) + LAPSE_MARGIN_MS:
        state.is_lapsed = True
        log.warning(
            "worker_lapsed worker=%s life=%d silent_ms=%d",
            _worker_id(state),
            state.incarnation,
            state.now_ms - state.answered_ms,
        )
        # Leases are renewed again only under a grant that answers a later report.
        state.grant_until_ms = 0
        state.report()


_BY_EVENT = {
    hostevents.WorkerAnnounced: _on_announced,
    hostevents.WorkerLeft: _on_left,
    hostevents.CallAnswered: _on_answered,
    hostevents.CallUnanswered: _on_unanswered,
    hostevents.OrdersReceived: _on_orders,
    hostevents.Tick: _on_tick,
    hostevents.AdviceReceived: hostedadvice.on_advice_received,
}
_ON_ANSWER = {
    workerclient.StartCall: _on_start_answer,
    workerclient.StopCall: _on_stop_answer,
    workerclient.HoldCall: _on_hold_answer,
    workerclient.PaceCall: _on_cpu_cap_answer,
}
