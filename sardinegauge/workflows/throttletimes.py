"""Time that runs of best-effort tasks lose to their CPU caps; soft state."""

from sardinegauge import record

FULL_SPEED_PERCENT = 100


class LostTime(record.Record):
    """What the caps of a run have cost so far, in ms.

    `lost_ms` is the time weighted by the withheld share of the speed, `paused_ms` the
    time with a cap of 0.
    """

    __slots__ = ("lost_ms", "paused_ms")
    _defaults = {"lost_ms": 0, "paused_ms": 0}


class ThrottleTimes:
    """The lost time of the runs that have had a CPU cap.

    Examples
    --------
    >>> times = ThrottleTimes()
    >>> times.set_cap("run", 0, now_ms=0)
    >>> times.set_cap("run", 50, now_ms=1000)
    >>> lost = times.pop("run", now_ms=3000)
    >>> lost.lost_ms, lost.paused_ms
    (2000, 1000)
    """

    __slots__ = ("_cap_by_run", "_lost_by_run", "_updated_ms_by_run")

    def __init__(self):
        self._lost_by_run = {}
        self._cap_by_run = {}
        self._updated_ms_by_run = {}

    def set_cap(self, key, cap, now_ms):
        """Record the CPU cap of a run in percent from now on."""
        if cap == self._cap_by_run.get(key, FULL_SPEED_PERCENT):
            return
        self._add_elapsed(key, now_ms)
        self._cap_by_run[key] = cap

    def _add_elapsed(self, key, now_ms):
        lost = self._lost_by_run.setdefault(key, LostTime())
        cap = self._cap_by_run.get(key, FULL_SPEED_PERCENT)
        elapsed_ms = now_ms - self._updated_ms_by_run.get(key, now_ms)
        lost.lost_ms += elapsed_ms * (FULL_SPEED_PERCENT - cap) // FULL_SPEED_PERCENT
        if not cap:
            lost.paused_ms += elapsed_ms
        self._updated_ms_by_run[key] = now_ms

    def pop(self, key, now_ms):
        """Remove a run; return its `LostTime`."""
        if key not in self._lost_by_run:
            return LostTime()
        self._add_elapsed(key, now_ms)
        del self._cap_by_run[key]
        del self._updated_ms_by_run[key]
        return self._lost_by_run.pop(key)

    def runs(self):
        """Return the keys of the runs that have had a CPU cap, as a new list."""
        return list(self._lost_by_run)
