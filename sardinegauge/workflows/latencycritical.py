"""Latency-critical tasks as the model of interference sees them.

The load of a task is that of its step, and a deviation of its own that fades.
"""

import math

# Variance of the deviation of a latency-critical task from the load of its step, and
# the time in which a deviation fades.
DEVIATION_VARIANCE = 0.002
DEVIATION_FADING_S = 2.0
# Share of the target from which a latency counts as over it, since latencies are
# measured coarsely.
OVER_TARGET_RATIO = 0.95


class Estimate:
    """A mean with its variance."""

    __slots__ = ("mean", "updated_ms", "variance")

    def __init__(self, mean, variance, now_ms):
        self.mean = mean
        self.variance = variance
        self.updated_ms = now_ms

    def grow_variance(self, per_s, limit, now_ms):
        """Add the drift since the last update to the variance, up to a limit."""
        elapsed_s = max(now_ms - self.updated_ms, 0) / 1000
        self.updated_ms = now_ms
        self.variance = max(
            self.variance, min(self.variance + per_s * elapsed_s, limit)
        )


class LatencyCriticalTask:
    """A latency-critical task beside best-effort tasks.

    `load_track` is the `loadtrack.LoadTrack` of its step, `deviation` the estimate of
    how far its own load differs. `over_since_ms` is the time from which on its latency
    has been over the target, None while it is not. `is_active` is False until a report
    shows the run as active.
    """

    __slots__ = ("deviation", "image", "is_active", "load_track", "over_since_ms")

    def __init__(self, image, load_track, now_ms):
        self.image = image
        self.is_active = False
        self.load_track = load_track
        self.deviation = Estimate(0.0, DEVIATION_VARIANCE, now_ms)
        self.over_since_ms = None

    def record_latency(self, latency_ms, target_ms, now_ms):
        """Record whether a latency is over the target.

        Returns
        -------
        int
            How long the latency was over the target if it is not any more, otherwise 0.
        """
        ended_ms = 0
        if latency_ms < OVER_TARGET_RATIO * target_ms:
            ended_ms = self.over_target_ms(now_ms)
            self.over_since_ms = None
        elif self.over_since_ms is None:
            self.over_since_ms = now_ms
        return ended_ms

    def over_target_ms(self, now_ms):
        """Return for how long the latency has been over the target."""
        return now_ms - self.over_since_ms if self.over_since_ms is not None else 0

    def advance(self, now_ms):
        """Move the estimates of the load on to a later time."""
        self.load_track.advance(now_ms)
        left = _fading(now_ms - self.deviation.updated_ms)
        self.deviation.updated_ms = now_ms
        self.deviation.mean *= left
        self.deviation.variance *= left * left
        self.deviation.variance += (1 - left * left) * DEVIATION_VARIANCE

    def expected_load(self, at_ms):
        """Return the expected pressure without best-effort tasks at a time."""
        left = _fading(at_ms - self.deviation.updated_ms)
        return self.load_track.forecast(at_ms) + left * self.deviation.mean


def _fading(elapsed_ms):
    """Return the share of a deviation that is left after a time."""
    return math.exp(-max(elapsed_ms, 0) / 1000 / DEVIATION_FADING_S)
