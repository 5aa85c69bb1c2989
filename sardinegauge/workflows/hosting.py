"""Reducer of an agent that runs tasks on the worker beside it.

The leader's orders say what shall start and stop; the worker's lists say what runs and
what ended. The agent carries out the first, reports the second, and renews the worker's
leases as long as the leader grants it. Times are milliseconds of the agent's clock
unless the name says otherwise.
"""

import logging

from sardinegauge.workflows import (
    hostedadvice,
    hostedruns,
    hostevents,
    hoststate,
    views,
    workerport,
)

# A new list of the worker is reported somewhat before the next report would be due.
REPORT_EARLY_MS = 200
LAPSE_MARGIN_MS = 250
# An order without an answer may be carried out this much later.
LATE_ORDER_MS = 13_000
# Calls that find nobody listening before the worker counts as down.
DOWN_CALLS = 2
# The worker lists no more ends than this in one answer.
MAX_LISTED_ENDS = 500
log = logging.getLogger(__name__)


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    state.step += 1
    _BY_EVENT[type(event)](state, event)
    effects, state.effects = state.effects, []
    return effects


def _on_announced(state, event):
    announcement = event.announcement
    known = state.announcement
    # A worker of another id counts even if its life was seen before its announcement.
    is_other = known is not None and announcement.worker != known.worker
    is_new = announcement.life > state.life or (
        is_other and announcement.life == state.life
    )
    if known is None or is_new:
        state.begin_life(announcement)
        hostedruns.hold(state)
        state.report()
        return
    if announcement.life < state.life or announcement.worker != known.worker:
        return
    if announcement.sequence <= known.sequence:
        return
    state.announcement = announcement
    if announcement.is_draining and not state.is_draining:
        state.is_draining = True
        for key, run in state.runs.items():
            if run.phase == views.ORDERED:
                hostedruns.give_up(state, key, run, "draining")
        state.report()


def _on_left(state, event):
    known = state.announcement
    if known is None or known.worker != event.worker:
        return
    state.is_draining = True
    _life_over(state, "left")


def _life_over(state, reason):
    """Take note that the worker's process has ended, and all its runs with it.

    A start without an answer may still be carried out by a next life, so such runs
    stay in doubt until then.
    """
    if not state.is_down:
        state.is_down = True
        log.warning(
            "worker_down worker=%s life=%d reason=%r runs=%d",
            _worker(state),
            state.life,
            reason,
            len(state.runs),
        )
        state.report()
    for run in state.runs.values():
        doubt_ms = run.unanswered_ms + LATE_ORDER_MS if run.unanswered else 0
        is_certain = state.now_ms >= doubt_ms and not run.is_call_open
        if run.phase != views.GONE and is_certain:
            run.phase = views.GONE
            run.reason = reason


def _on_answered(state, event):
    call = event.call
    if call.life != state.life:
        return
    answer = event.answer
    if answer.kind == workerport.OTHER_LIFE or (
        answer.life and answer.life != state.life
    ):
        _on_other_life(state, call, answer)
        return
    if state.is_down and answer.life == 0:
        # It may be the answer of a next life.
        _close(state, call)
        _note_unanswered(state, call)
        return
    state.answered_ms = state.now_ms
    state.down_calls = 0
    state.is_down = False
    if answer.clock_ms and call.sent_ms >= state.anchor_ms:
        state.anchor_clock_ms = answer.clock_ms
        state.anchor_ms = state.now_ms
    _ON_ANSWER[type(call.request)](state, call, answer)


def _close(state, call):
    request = call.request
    if isinstance(request, workerport.HoldCall):
        state.holds_open -= 1
        state.next_hold_ms = state.now_ms + hostedruns.RETRY_MS
    elif not isinstance(request, workerport.PaceCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.is_call_open = False
            run.next_call_ms = state.now_ms + hostedruns.RETRY_MS


def _on_unanswered(state, event):
    call = event.call
    if call.life != state.life:
        return
    _close(state, call)
    if not event.is_down:
        _note_unanswered(state, call)
    if event.is_down:
        state.down_calls += 1
        if state.down_calls >= DOWN_CALLS:
            _life_over(state, "crashed")


def _note_unanswered(state, call):
    """Note that a start may be carried out at any time from now on."""
    request = call.request
    if isinstance(request, workerport.StartCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.unanswered += 1
            run.unanswered_ms = state.now_ms


def _on_other_life(state, call, answer):
    """Turn to a next life that answered before it announced itself.

    It may have carried out starts that were meant for the former one. The leader takes
    back the former life's runs once the new one is fenced and has none of them. A
    refusal comes from a worker of another id, whose announcement tells the rest.
    """
    _close(state, call)
    is_same_worker = answer.kind != workerport.OTHER_LIFE
    if is_same_worker and answer.life > state.life:
        state.begin_life(state.announcement.replace(life=answer.life, sequence=0))
        hostedruns.hold(state)
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
    run.answered_step = state.step
    if run.phase != views.ORDERED:
        return
    if answer.kind == workerport.DONE:
        _note_active(key, run, "answer")
        hostedruns.pace(state, key, run.wanted_pace)
        return
    if answer.reason == workerport.BY_LEASE:
        run.next_call_ms = state.now_ms + hostedruns.RETRY_MS
        return
    if answer.reason == workerport.BY_FENCE:
        state.fence += 1
        state.is_fenced = False
        state.next_hold_ms = state.now_ms
    hostedruns.give_up(state, key, run, answer.reason)
    state.report()


def _note_active(key, run, source):
    run.phase = views.ACTIVE
    log.info(
        "run_active task=%s run=%d seen_in=%s unanswered=%d",
        *key,
        source,
        run.unanswered,
    )


def _on_stop_answer(state, call, answer):
    run = state.runs.get((call.request.task, call.request.run))
    if run is None:
        return
    run.is_call_open = False
    run.answered_step = state.step
    run.is_stop_answered = answer.kind == workerport.DONE
    run.next_call_ms = state.now_ms + hostedruns.RETRY_MS
    # A hold sent from now on tells whether the run is there.
    hostedruns.hold(state, wait_ms=0)


def _on_pace_answer(state, call, answer):
    """Note a pace; an order repeats one that was lost or refused."""
    request = call.request
    run = state.runs.get((request.task, request.run))
    if run is not None and answer.kind == workerport.DONE:
        run.pace = request.percent


def _on_hold_answer(state, call, answer):
    state.holds_open -= 1
    if answer.kind != workerport.DONE:
        if answer.reason == workerport.BY_FENCE:
            state.fence += 1
        state.next_hold_ms = state.now_ms + hostedruns.RETRY_MS
        return
    if call.request.fence == state.fence and not state.is_fenced:
        state.is_fenced = True
        state.report()
    state.is_lapsed = False
    if call.request.seen_end > state.told_end:
        state.told_end = call.request.seen_end
    _take_ends(state, answer.ended)
    if call.step >= state.applied_step:
        state.applied_step = call.step
        _take_running(state, call, answer)
    state.next_hold_ms = state.now_ms
    hostedruns.hold(state)
    if state.is_watched and state.now_ms >= state.report_due_ms - REPORT_EARLY_MS:
        state.report()


def _take_ends(state, ended):
    for row in ended:
        number, task, run = row[0], row[1], row[2]
        if number <= state.seen_end or number in state.ends:
            continue
        state.ends[number] = list(row)
        log.info("run_ended task=%s run=%d number=%d how=%s", task, run, number, row[3])
        state.runs.pop((task, run), None)
        state.report()


def _take_running(state, call, answer):
    listed = set()
    ended = {(row[1], row[2]) for row in state.ends.values()}
    for task, number, saved, progress, load in answer.running:
        key = (task, number)
        listed.add(key)
        if key in ended:
            continue
        run = state.runs.get(key)
        if run is None:
            run = state.runs[key] = hoststate.HostedRun(views.ORDERED)
        if run.phase in (views.ORDERED, views.GONE):
            _note_active(key, run, "list")
        run.saved = saved
        run.progress = progress
        run.load = load
    if len(answer.ended) >= MAX_LISTED_ENDS:
        return
    for key, run in list(state.runs.items()):
        if key in listed or call.step < run.answered_step:
            continue
        is_started = run.phase == views.ACTIVE
        if is_started or (run.phase == views.STOPPING and run.is_stop_answered):
            run.reason = run.reason or "not running"
            run.phase = views.GONE
            state.report()


def _on_orders(state, event):
    message = event.message
    if (message.term, message.sequence) <= (state.term, state.sequence):
        return
    state.term, state.sequence = message.term, message.sequence
    if message.worker != _worker(state) or message.life != state.life:
        return
    if message.grant_ms and not state.is_lapsed:
        lease_until_ms = message.sent_ms + message.grant_ms
        state.grant_until_ms = max(state.grant_until_ms, lease_until_ms)
    body = event.body
    state.is_watched = body["is_watched"]
    _see_ends(state, body["seen_end"])
    for task, run in body["forget"]:
        found = state.runs.get((task, run))
        if found is not None and found.phase == views.GONE:
            del state.runs[task, run]
    for task, run in body["stops"]:
        hostedruns.stop(state, (task, run))
    for row in body["starts"]:
        hostedruns.start(state, *row)
    for task, run, percent in body["paces"]:
        hostedruns.pace(state, (task, run), percent)
    # A leader of an earlier release sends no questions.
    hostedadvice.take(state, body.get("questions", []))


def _worker(state):
    return state.announcement.worker if state.announcement is not None else ""


def _see_ends(state, seen_end):
    if seen_end <= state.seen_end:
        return
    state.seen_end = seen_end
    for number in [number for number in state.ends if number <= seen_end]:
        del state.ends[number]
    hostedruns.hold(state, wait_ms=0)


def _on_tick(state, event):
    if state.announcement is not None:
        _check_lapse(state)
        hostedruns.retry(state)
        hostedruns.hold(state)
    hostedadvice.retry(state)
    if state.now_ms >= state.report_due_ms:
        state.report()


def _check_lapse(state):
    """Tell the leader when a silent worker's leases have certainly run out."""
    if state.is_down:
        _life_over(state, "crashed")
        return
    if state.is_responsive or state.is_lapsed:
        return
    if state.now_ms > max(state.lease_end_ms, state.answered_ms) + LAPSE_MARGIN_MS:
        state.is_lapsed = True
        log.warning(
            "worker_lapsed worker=%s life=%d silent_ms=%d",
            _worker(state),
            state.life,
            state.now_ms - state.answered_ms,
        )
        # Only a grant for a later report may renew leases again.
        state.grant_until_ms = 0
        state.report()


def report_fields(state):
    """Return the fields of a `views.Report` about the worker, as a plain dict."""
    known = state.announcement
    if known is None:
        return {}
    return {
        "pool": known.pool,
        "failure_domain": known.failure_domain,
        "rack": known.rack,
        "labels": known.labels,
        "cpu_millis": known.cpu_millis,
        "memory_mb": known.memory_mb,
        "accelerators": known.accelerators,
        "is_draining": state.is_draining,
        "remaining_ms": known.remaining_ms,
        "is_fenced": state.is_fenced and state.is_responsive,
        "is_lapsed": state.is_lapsed,
        "seen_end": state.seen_end,
        "runs": [
            [
                *key,
                run.phase,
                run.saved,
                run.progress,
                run.load,
                run.reason,
                run.pace,
            ]
            for key, run in state.runs.items()
        ],
        "ends": [state.ends[number] for number in sorted(state.ends)],
        "advice": hostedadvice.rows(state),
    }


_BY_EVENT = {
    hostevents.Announced: _on_announced,
    hostevents.Left: _on_left,
    hostevents.Answered: _on_answered,
    hostevents.Unanswered: _on_unanswered,
    hostevents.OrdersReceived: _on_orders,
    hostevents.Tick: _on_tick,
    hostevents.Advised: hostedadvice.on_advised,
}
_ON_ANSWER = {
    workerport.StartCall: _on_start_answer,
    workerport.StopCall: _on_stop_answer,
    workerport.HoldCall: _on_hold_answer,
    workerport.PaceCall: _on_pace_answer,
}
