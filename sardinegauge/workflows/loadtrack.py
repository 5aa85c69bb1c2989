"""Tracks the load that all tasks of one latency-critical step share.

It is made for services whose load rises and falls within seconds. The tasks of a step
serve the same users, so their loads move together. The reports of all of them, from
workers with other neighbors each, show the load apart from the interference on any one
worker, and show early whether it rises.
"""

# Load before the first report, and its variance.
INITIAL_LEVEL = 0.45
INITIAL_LEVEL_VARIANCE = 0.05
# Variance of the trend, in square load per square second, before the first report.
INITIAL_TREND_VARIANCE = 0.004
# Growth of the variances per second.
LEVEL_DRIFT_PER_S = 0.0005
TREND_DRIFT_PER_S = 0.003
# A trend says nothing about a time that is farther away.
MAX_FORECAST_S = 2.0
MIN_VARIANCE = 1e-6


class LoadTrack:
    """A Kalman filter of a load and its trend.

    `level` is the estimated load at `updated_ms`, `level_variance` its variance, and
    `trend_per_s` its change per second.

    Examples
    --------
    >>> track = LoadTrack(now_ms=0)
    >>> for now_ms in range(0, 2000, 20):
    ...     track.advance(now_ms)
    ...     error = 0.3 + 0.1 * now_ms / 1000 - track.level
    ...     track.correct(error, track.level_variance + 0.001)
    >>> round(track.trend_per_s, 1), round(track.forecast(3000), 1)
    (0.1, 0.6)
    """

    __slots__ = (
        "__weakref__",
        "_covariance",
        "_trend_variance",
        "level",
        "level_variance",
        "trend_per_s",
        "updated_ms",
    )

    def __init__(self, now_ms):
        self._reset(now_ms)

    def _reset(self, now_ms):
        self.level = INITIAL_LEVEL
        self.trend_per_s = 0.0
        self.level_variance = INITIAL_LEVEL_VARIANCE
        self._covariance = 0.0
        self._trend_variance = INITIAL_TREND_VARIANCE
        self.updated_ms = now_ms

    def advance(self, now_ms):
        """Move the estimates on to a later time."""
        elapsed_s = max(now_ms - self.updated_ms, 0) / 1000
        self.updated_ms = max(now_ms, self.updated_ms)
        if elapsed_s > MAX_FORECAST_S:
            self._reset(now_ms)
            return
        self.level += self.trend_per_s * elapsed_s
        self.level_variance += elapsed_s * (
            2 * self._covariance + elapsed_s * self._trend_variance + LEVEL_DRIFT_PER_S
        )
        self._covariance += elapsed_s * self._trend_variance
        self._trend_variance += elapsed_s * TREND_DRIFT_PER_S

    def correct(self, error, error_variance):
        """Correct the estimates by a measured load.

        Parameters
        ----------
        error : float
            Measured load less the level.
        error_variance : float
            Expected square of the error, which includes `level_variance`.
        """
        level_gain = self.level_variance / error_variance
        trend_gain = self._covariance / error_variance
        self.level += level_gain * error
        self.trend_per_s += trend_gain * error
        self._trend_variance -= trend_gain * self._covariance
        self._trend_variance = max(self._trend_variance, MIN_VARIANCE)
        self._covariance *= 1 - level_gain
        self.level_variance *= 1 - level_gain
        self.level_variance = max(self.level_variance, MIN_VARIANCE)

    def forecast(self, at_ms):
        """Return the expected load at a time."""
        ahead_s = (at_ms - self.updated_ms) / 1000
        return self.level + self.trend_per_s * min(max(ahead_s, 0.0), MAX_FORECAST_S)
