"""What an agent knows of its worker, its runs and its leases."""

from sardinegauge.workflows import hostevents

# The slowest clock of a worker, as a share of true time.
SLOWEST_CLOCK = 0.98
# The agent asks for a new grant when the present one has less than this left.
RENEW_MS = 5000
# A grant that ends sooner starts nothing.
MIN_LEASE_MS = 300
REPORT_INTERVAL_MS = 400
# A worker that answers nothing for this long gets no new starts.
SILENT_MS = 1200


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
        "wanted_pace",
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
        self.wanted_pace = 100
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
        self.question_by_step = {}
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
            hostevents.Call(
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
        self.effects.append(hostevents.SendReport())
