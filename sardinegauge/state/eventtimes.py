"""Time that a replica spends on its events, to see what keeps a leader busy."""

import logging

from sardinegauge import record
from sardinegauge.state import replica

PERIOD_MS = 1000
# Above this share of a period, messages wait noticeably for the reducer.
BUSY_SHARE = 0.6
MAX_LOGGED_KINDS = 6

log = logging.getLogger(__name__)


class KindTime(record.Record):
    """Number of the events of one kind, and the seconds that they took."""

    __slots__ = ("count", "kind", "seconds")
    _defaults = {"count": 0, "seconds": 0.0}


class Period(record.Record):
    """The `KindTime` of each kind of event in a period of `elapsed_ms`."""

    __slots__ = ("elapsed_ms", "kinds")

    @property
    def busy_ms(self):
        """Time that the events took together."""
        return 1000 * sum(kind.seconds for kind in self.kinds)

    @property
    def is_busy(self):
        """Whether messages had to wait."""
        return self.busy_ms > BUSY_SHARE * self.elapsed_ms

    def describe(self):
        """Return the kinds that took most time, as text for a log line.

        Examples
        --------
        >>> Period(
        ...     elapsed_ms=1000,
        ...     kinds=[
        ...         KindTime(kind="Poll", count=4, seconds=0.01),
        ...         KindTime(kind="Tick", count=2, seconds=0.3),
        ...     ],
        ... ).describe()
        'Tick:2:300ms,Poll:4:10ms'
        """
        longest = sorted(self.kinds, key=lambda kind: -kind.seconds)
        return ",".join(
            f"{kind.kind}:{kind.count}:{1000 * kind.seconds:.0f}ms"
            for kind in longest[:MAX_LOGGED_KINDS]
        )


class EventTimes:
    """Adds up the time of events until the end of a period."""

    def __init__(self, now_ms):
        self._started_ms = now_ms
        self._time_by_kind = {}

    def add(self, event, seconds):
        """Add the time of one event."""
        kind = _kind_of(event)
        total = self._time_by_kind.get(kind)
        if total is None:
            total = self._time_by_kind[kind] = KindTime(kind=kind)
        total.count += 1
        total.seconds += seconds

    def report(self, now_ms, metrics):
        """Add an ended period to the metrics, and log a busy one."""
        period = self.end_period(now_ms)
        if period is None:
            return
        metrics.add_event_times(period)
        if period.is_busy:
            log.info(
                "reducer_busy elapsed_ms=%d busy_ms=%d events=%s",
                period.elapsed_ms,
                period.busy_ms,
                period.describe(),
            )

    def end_period(self, now_ms):
        """Return the `Period` if it has ended, else None."""
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < PERIOD_MS:
            return None
        kinds = list(self._time_by_kind.values())
        self._time_by_kind = {}
        self._started_ms = now_ms
        return Period(elapsed_ms=elapsed_ms, kinds=kinds)


def _kind_of(event):
    if isinstance(event, replica.RequestReceived):
        return type(event.message).__name__
    # Messages of other replicas.
    message = getattr(event, "message", None)
    return type(event if message is None else message).__name__
