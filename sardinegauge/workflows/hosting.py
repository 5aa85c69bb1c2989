"""Reducer of an agent that runs tasks on the worker beside it.

The leader's orders say what shall start and stop; the worker's lists say what runs and
what ended. The agent carries out the first, reports the second, and renews the worker's
leases as long as the leader grants it. Times are milliseconds of the agent's clock
unless the name says otherwise.
"""

import logging

from sardinegauge import record
from sardinegauge.workflows import views, workerport

# The slowest clock of a worker, as a share of true time.
SLOWEST_CLOCK = 0.98
# The agent asks for a new grant when the present one has less than this left.
RENEW_MS = 3300
# A grant that ends sooner starts nothing.
MIN_LEASE_MS = 300
HOLD_WAIT_MS = 400
# With tasks that serve and others that disturb them, latencies are wanted often.
WATCH_WAIT_MS = 250
IDLE_HOLD_WAIT_MS = 1000
REPORT_INTERVAL_MS = 400
# A new list of the worker is reported somewhat before the next report would be due.
REPORT_EARLY_MS = 200
RETRY_MS = 60
# A worker that answers nothing for this long gets no new starts.
SILENT_MS = 1200
LAPSE_MARGIN_MS = 250
# An order without an answer may be carried out this much later.
LATE_ORDER_MS = 13_000
# Calls that find nobody listening before the worker counts as down.
DOWN_CALLS = 2
# The worker lists no more ends than this in one answer.
MAX_LISTED_ENDS = 500

log = logging.getLogger(__name__)


class Announced(record.Record):
    """Event: the worker announced itself; see `workerport.Announcement`."""

    __slots__ = ("announcement", "now_ms")


class Left(record.Record):
    """Event: the worker said that it ends."""

    __slots__ = ("now_ms", "worker")


class Answered(record.Record):
    """Event: a call was answered."""

    __slots__ = ("answer", "call", "now_ms")


class Unanswered(record.Record):
    """Event: a call got no answer; `is_down` says that nobody listens."""

    __slots__ = ("call", "is_down", "now_ms")


class OrdersReceived(record.Record):
    """Event: orders of the leader arrived; `body` is the decoded JSON."""

    __slots__ = ("body", "message", "now_ms")


class Tick(record.Record):
    """Event: time passed; expected every 100 ms."""

    __slots__ = ("now_ms",)


class Call(record.Record):
    """Effect: make a call to the worker, and report `Answered` or `Unanswered`.

    `step` tells the event that caused the call, since milliseconds are too coarse to
    tell which of two came first.
    """

    __slots__ = ("announcement", "life", "request", "sent_ms", "step")


class SendReport(record.Record):
    """Effect: report to the leader now."""

    __slots__ = ()


class HostedRun:
    """A run as the agent knows it.

    `unanswered` counts start calls without an answer, `answered_step` tells the event
    with which the last call for it was answered.
    """

    __slots__ = (
        "answered_step",
        "checkpoint",
        "is_call_open",
        "is_stop_answered",
        "load",
        "next_call_ms",
        "pace",
        "paced_ms",
        "payload",
        "phase",
        "progress",
        "reason",
        "saved",
        "ticket",
        "unanswered",
        "unanswered_ms",
    )

    def __init__(self, phase, payload="", checkpoint="", ticket=""):
        self.phase = phase
        self.payload = payload
        self.checkpoint = checkpoint
        self.ticket = ticket
        self.saved = ""
        self.progress = 0
        self.load = 0
        self.reason = ""
        self.pace = 100
        self.paced_ms = 0
        self.unanswered = 0
        self.unanswered_ms = 0
        self.answered_step = 0
        self.next_call_ms = 0
        self.is_call_open = False
        self.is_stop_answered = False


class State:
    """State of the agent for one life of its worker."""

    def __init__(self, agent):
        self.agent = agent
        self.announcement = None
        self.is_draining = False
        self.is_watched = False
        self.term = 0
        self.sequence = 0
        self.now_ms = 0
        self.step = 0
        self.report_due_ms = 0
        self.effects = []
        self._begin(0)

    def _begin(self, life):
        self.life = life
        self.fence = life
        self.is_fenced = False
        self.is_down = False
        self.is_lapsed = False
        self.down_calls = 0
        self.runs = {}
        self.ends = {}
        self.seen_end = 0
        self.told_end = 0
        self.anchor_clock_ms = 0
        self.anchor_ms = 0
        self.answered_ms = self.now_ms
        self.grant_until_ms = 0
        self.lease_end_ms = 0
        self.holds_open = 0
        self.next_hold_ms = 0
        self.applied_step = 0

    def begin_life(self, announcement):
        """Forget the former life of the worker."""
        self.announcement = announcement
        self.is_draining = announcement.is_draining
        self._begin(announcement.life)

    @property
    def is_responsive(self):
        """Tell whether the worker answered lately."""
        return not self.is_down and self.now_ms - self.answered_ms < SILENT_MS

    def lease_until_ms(self):
        """Return on the worker's clock until when leases may last, or 0."""
        left_ms = self.grant_until_ms - self.now_ms
        if not self.anchor_ms or left_ms < MIN_LEASE_MS or not self.is_responsive:
            return 0
        span_ms = SLOWEST_CLOCK * (self.grant_until_ms - self.anchor_ms)
        return self.anchor_clock_ms + int(span_ms)

    @property
    def is_lease_wanted(self):
        """Tell whether the leader should renew the grant."""
        return self.life > 0 and self.grant_until_ms - self.now_ms < RENEW_MS

    def call(self, request):
        """Emit a call to the worker."""
        self.effects.append(
            Call(
                announcement=self.announcement,
                life=self.life,
                request=request,
                sent_ms=self.now_ms,
                step=self.step,
            )
        )

    def report(self):
        """Emit the effect that reports at once."""
        self.report_due_ms = self.now_ms + REPORT_INTERVAL_MS
        self.effects.append(SendReport())


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    state.step += 1
    _BY_EVENT[type(event)](state, event)
    effects, state.effects = state.effects, []
    return effects


# What the worker says.


def _on_announced(state, event):
    announcement = event.announcement
    known = state.announcement
    if known is None or announcement.life > state.life:
        state.begin_life(announcement)
        _hold(state)
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
                _give_up(state, key, run, "draining")
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
        if run.phase != views.GONE and state.now_ms >= doubt_ms:
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
        # The announcement of the new life is on its way.
        _life_over(state, "restarted")
        _close(state, call)
        return
    if state.is_down and answer.life == 0:
        _close(state, call)
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
        state.next_hold_ms = state.now_ms + RETRY_MS
    elif not isinstance(request, workerport.PaceCall):
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.is_call_open = False
            run.next_call_ms = state.now_ms + RETRY_MS


def _on_unanswered(state, event):
    call = event.call
    if call.life != state.life:
        return
    _close(state, call)
    request = call.request
    if isinstance(request, workerport.StartCall) and not event.is_down:
        run = state.runs.get((request.task, request.run))
        if run is not None:
            run.unanswered += 1
            run.unanswered_ms = state.now_ms
    if event.is_down:
        state.down_calls += 1
        if state.down_calls >= DOWN_CALLS:
            _life_over(state, "crashed")


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
        run.phase = views.ACTIVE
        log.info(
            "run_active task=%s run=%d lease_until_ms=%d unanswered=%d",
            *key,
            call.request.lease_until_ms,
            run.unanswered,
        )
        return
    if answer.reason == workerport.BY_LEASE:
        run.next_call_ms = state.now_ms + RETRY_MS
        return
    if answer.reason == workerport.BY_FENCE:
        state.fence += 1
        state.is_fenced = False
        state.next_hold_ms = state.now_ms
    _give_up(state, key, run, answer.reason)
    state.report()


def _give_up(state, key, run, reason):
    """End an ordered run that did not start, once it is certain that it never will."""
    run.reason = reason
    if run.unanswered or run.is_call_open:
        run.phase = views.STOPPING
        run.next_call_ms = state.now_ms
        _call_stop(state, key, run)
    else:
        run.phase = views.GONE


def _on_stop_answer(state, call, answer):
    run = state.runs.get((call.request.task, call.request.run))
    if run is None:
        return
    run.is_call_open = False
    run.answered_step = state.step
    run.is_stop_answered = answer.kind == workerport.DONE
    run.next_call_ms = state.now_ms + RETRY_MS
    # A hold sent from now on tells whether the run is there.
    _hold(state, wait_ms=0)


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
        state.next_hold_ms = state.now_ms + RETRY_MS
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
    _hold(state)
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
            run = state.runs[key] = HostedRun(views.ACTIVE)
        elif run.phase in (views.ORDERED, views.GONE):
            run.phase = views.ACTIVE
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


# What the leader says.


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
        _stop(state, (task, run))
    for row in body["starts"]:
        _start(state, *row)
    for task, run, percent in body["paces"]:
        _pace(state, (task, run), percent)


def _worker(state):
    return state.announcement.worker if state.announcement is not None else ""


def _see_ends(state, seen_end):
    if seen_end <= state.seen_end:
        return
    state.seen_end = seen_end
    for number in [number for number in state.ends if number <= seen_end]:
        del state.ends[number]
    _hold(state, wait_ms=0)


def _is_ended(state, key):
    return any((row[1], row[2]) == key for row in state.ends.values())


def _start(state, task, number, payload, checkpoint, ticket=""):
    key = (task, number)
    if key in state.runs or _is_ended(state, key):
        return
    run = state.runs[key] = HostedRun(views.ORDERED, payload, checkpoint, ticket)
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


def _pace(state, key, percent):
    run = state.runs.get(key)
    if run is None or run.phase != views.ACTIVE or run.pace == percent:
        return
    if state.now_ms - run.paced_ms < RETRY_MS:
        return
    run.paced_ms = state.now_ms
    state.call(
        workerport.PaceCall(task=key[0], run=key[1], percent=percent, fence=state.fence)
    )


def _stop(state, key):
    if _is_ended(state, key):
        return
    run = state.runs.get(key)
    if run is None:
        run = state.runs[key] = HostedRun(views.STOPPING)
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


# Time.


def _hold(state, wait_ms=None):
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


def _on_tick(state, event):
    if state.announcement is not None:
        _check_lapse(state)
        _retry(state)
        _hold(state)
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


def _retry(state):
    for key, run in list(state.runs.items()):
        if run.is_call_open or state.now_ms < run.next_call_ms:
            continue
        if run.phase == views.ORDERED:
            _call_start(state, key, run)
        elif run.phase == views.STOPPING and not run.is_stop_answered:
            _call_stop(state, key, run)


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
    }


_BY_EVENT = {
    Announced: _on_announced,
    Left: _on_left,
    Answered: _on_answered,
    Unanswered: _on_unanswered,
    OrdersReceived: _on_orders,
    Tick: _on_tick,
}

_ON_ANSWER = {
    workerport.StartCall: _on_start_answer,
    workerport.StopCall: _on_stop_answer,
    workerport.HoldCall: _on_hold_answer,
    workerport.PaceCall: _on_pace_answer,
}
