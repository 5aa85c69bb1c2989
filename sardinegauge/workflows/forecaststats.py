"""What a second of reports shows about forecasts, latency targets and CPU caps."""

import math


class ForecastStats:
    """Sums over the reports of one second.

    Examples
    --------
    >>> stats = ForecastStats()
    >>> stats.add_latency(error=0.03, is_over=False)
    >>> stats.add_latency(error=-0.03, is_over=True)
    >>> stats.add_caps([100, 40, 0])
    >>> stats.over_count, stats.paused_count, stats.capped_count
    (1, 1, 1)
    >>> round(stats.rms_error, 2)
    0.03
    """

    __slots__ = (
        "best_effort_count",
        "capped_count",
        "error_squares",
        "over_count",
        "paused_count",
        "sample_count",
    )

    def __init__(self):
        self.sample_count = 0
        self.over_count = 0
        self.error_squares = 0.0
        self.best_effort_count = 0
        self.capped_count = 0
        self.paused_count = 0

    def add_latency(self, error, is_over):
        """Add a latency of a latency-critical task.

        `error` is its pressure less the forecast one.
        """
        self.sample_count += 1
        self.over_count += is_over
        self.error_squares += error * error

    def add_caps(self, cpu_caps):
        """Add the CPU caps of the best-effort tasks of one report, in percent."""
        self.best_effort_count += len(cpu_caps)
        self.paused_count += sum(not cap for cap in cpu_caps)
        self.capped_count += sum(0 < cap < 100 for cap in cpu_caps)

    @property
    def rms_error(self):
        """Root of the mean square of the errors."""
        return math.sqrt(self.error_squares / max(self.sample_count, 1))
