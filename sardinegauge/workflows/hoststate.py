"""State of an agent: its worker, the worker's runs and their leases."""

from sardinegauge.workflows import callslots, hostedfence, hostevents

# Lowest rate of a worker's clock relative to true time.
MIN_CLOCK_RATE = 0.98
# The agent asks for a new grant when the current one ends within this time.
RENEW_BELOW_MS = 5000
# With less than this left of the grant, no lease is given to the worker.
MIN_LEASE_MS = 300
REPORT_INTERVAL_MS = 400
# A worker without an answer for this long gets no starts and no lease renewals.
RESPONSE_TIMEOUT_MS = 1200
# A start whose order is older is not called any more unless the leader repeated it. The
# leader may have withdrawn it, as in a drained failure domain, where no start may take
# effect 5,000 ms after the drain was acknowledged.
START_ORDER_MS = 3000


class HostedRun:
    """A run on the worker, as known to the agent.

    `ordered_ms` is when the leader last ordered the start or left it in force, at the
    earliest.
    `active_ms` is when the run was first known to be active, and `called_ms` when its
    start was called first, 0 before. `checkpoint` is the one to start from,
    `saved_checkpoint` the newest one that the worker listed.
    `cpu_cap` and `target_cpu_cap` are the confirmed and the ordered share of the run's
    full speed, in percent; `cpu_cap` is `views.UNKNOWN_CPU_CAP` if an unconfirmed call
    may have changed it. `cap_unsettled_until_ms` is until when such a call may still be
    executed, 0 for none. `unanswered_starts` counts start calls without an answer;
    `last_answer_event` is the number of the event that brought the last answer to a
    start or stop call, or the last list that shows the run: calls overtake each other,
    so a list that was requested before it may be older. `checkpoint_reported_event` is
    the number of the event before the last report that held the checkpoint, of those
    that left out others.
    """

    __slots__ = (
        "active_ms",
        "called_ms",
        "last_answer_event",
        "checkpoint",
        "checkpoint_reported_event",
        "is_call_open",
        "is_stop_answered",
        "load",
        "next_call_ms",
        "ordered_ms",
        "cpu_cap",
        "cap_unsettled_until_ms",
        "last_cpu_cap_call_ms",
        "payload",
        "phase",
        "progress",
        "reason",
        "saved_checkpoint",
        "ticket",
        "unanswered_starts",
        "last_unanswered_ms",
        "target_cpu_cap",
    )

    def __init__(self, phase, payload="", checkpoint="", ticket=""):
        self.phase = phase
        self.payload = payload
        self.checkpoint = checkpoint
        self.ticket = ticket
        self.active_ms = 0
        self.called_ms = 0
        self.ordered_ms = 0
        self.saved_checkpoint = ""
        self.checkpoint_reported_event = 0
        self.progress = 0
        self.load = 0
        self.reason = ""
        self.cpu_cap = 100
        self.target_cpu_cap = 100
        self.last_cpu_cap_call_ms = 0
        self.cap_unsettled_until_ms = 0
        self.unanswered_starts = 0
        self.last_unanswered_ms = 0
        self.last_answer_event = 0
        self.next_call_ms = 0
        self.is_call_open = False
        self.is_stop_answered = False


class State:
    """State of the agent for one incarnation of its worker.

    `started_wall_ms` is when the agent's process started, in ms since the Unix epoch.
    `event_number` counts the events reduced so far. `anchor_ms` and `anchor_clock_ms`
    are the same moment on the agent's and on the worker's clock. `grant_until_ms` is
    the end of the leader's grant, `lease_end_ms` the latest end of any lease given to
    the worker. `seen_end` is the highest end number that the leader acknowledged,
    `acknowledged_end` the highest one passed on to the worker. `last_list_event` is the
    event that sent the call whose list of runs was applied last. `unanswered_since_ms`
    is when the first call after the last answer went unanswered, or 0. `crash` is the
    `hostedcrash.Crash` that the leader has not acknowledged yet, or None.
    `orders_sent_ms` is when the newest report was sent that orders answered.
    `announced_ms` is when the newest announcement was received. `first_event_number` is
    that of the event that began the incarnation. `fence` is the number that calls to
    the worker carry; while `is_fenced`, the worker accepts none of a former process of
    the agent. `is_fence_highest` is whether it is higher than all that the worker had
    seen, `fence_step` how much it rises when the worker refuses it. `slots` limits the
    open calls to the worker.
    `question_by_step` holds the leader's questions to the policy service that have no
    answer yet, `open_question` the one whose call is under way, `advice_answers`
    the answers and `advice_failures` the failed calls to report.
    `unreported_count` is the number of ends and checkpoints that the last report left
    out. `ignored_worker` is the last worker whose announcement was ignored as the known
    one answers.
    """

    def __init__(self, agent, started_wall_ms=0):
        self.agent = agent
        self.started_wall_ms = started_wall_ms
        self.announcement = None
        self.announced_ms = 0
        self.is_draining = False
        self.is_watched = False
        self.term = 0
        self.sequence = 0
        self.orders_sent_ms = 0
        self.now_ms = 0
        self.event_number = 0
        self.report_due_ms = 0
        self.effects = []
        self.question_by_step = {}
        self.open_question = None
        self.advice_answers = []
        self.advice_failures = []
        self.crash = None
        self.unreported_count = 0
        self.ignored_worker = ""
        self._reset(0)

    def _reset(self, incarnation):
        self.incarnation = incarnation
        self.first_event_number = self.event_number
        self.slots = callslots.CallSlots()
        self.fence = hostedfence.first_fence(incarnation, self.started_wall_ms)
        self.fence_step = 1
        self.is_fence_highest = False
        self.is_fenced = False
        self.is_down = False
        self.is_lapsed = False
        self.connect_failures = 0
        self.runs = {}
        self.ends = {}
        self.seen_end = 0
        self.acknowledged_end = 0
        self.anchor_clock_ms = 0
        self.anchor_ms = 0
        self.answered_ms = self.now_ms
        self.unanswered_since_ms = 0
        self.grant_until_ms = 0
        self.lease_end_ms = 0
        self.open_hold_count = 0
        self.next_hold_ms = 0
        self.last_list_event = 0

    def begin_incarnation(self, announcement):
        """Reset the state for a new incarnation of the worker."""
        self.announcement = announcement
        self.announced_ms = self.now_ms
        self.is_draining = announcement.is_draining
        self._reset(announcement.incarnation)

    @property
    def is_responsive(self):
        """Whether the worker is up and answered within `RESPONSE_TIMEOUT_MS`."""
        return not self.is_down and self.now_ms - self.answered_ms < RESPONSE_TIMEOUT_MS

    @property
    def ordered_ms(self):
        """The earliest time at which the newest orders may have been made.

        Pushed orders name no time and may be delayed, but are newer than the last
        orders that answered a report.
        """
        return self.orders_sent_ms or self.now_ms

    def lease_until_ms(self):
        """Return the end of a lease given now on the worker's clock, or 0 for none."""
        left_ms = self.grant_until_ms - self.now_ms
        if not self.anchor_ms or left_ms < MIN_LEASE_MS or not self.is_responsive:
            return 0
        span_ms = MIN_CLOCK_RATE * (self.grant_until_ms - self.anchor_ms)
        return self.anchor_clock_ms + int(span_ms)

    @property
    def is_lease_wanted(self):
        """Whether the leader should renew the grant.

        A grant that can't be passed on to the worker would only delay its release.
        """
        return (
            self.incarnation > 0
            and self.is_responsive
            and self.grant_until_ms - self.now_ms < RENEW_BELOW_MS
        )

    def call(self, request):
        """Emit a call to the worker."""
        self.effects.append(
            hostevents.Call(
                announcement=self.announcement,
                incarnation=self.incarnation,
                request=request,
                sent_ms=self.now_ms,
                event_number=self.event_number,
            )
        )

    def report(self):
        """Emit the effect that sends a report now."""
        self.report_due_ms = self.now_ms + REPORT_INTERVAL_MS
        self.effects.append(hostevents.SendReport())
