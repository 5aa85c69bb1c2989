"""Prometheus counters, gauges and histograms without prometheus_client, for the agent.

prometheus_client imports an HTTP server and client, which take 2.9 MB of resident
memory and do not fit the agent's budget of 32 MB. The page follows version 0.0.4 of the
text exposition format; the tests parse it with prometheus_client.
"""

import bisect

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# They resolve both the 1.2 s limit of an urgent start and the few milliseconds of an
# interactive response.
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    1.2,
    2.0,
    5.0,
    10.0,
)
# Maximum number of series per metric; further label values are counted as "other".
MAX_SERIES = 256


class Metrics:
    """The metrics of one process.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.counter("agent_refusals_total", "Refused.", ("reason",)).add(1, "full")
    >>> print(metrics.page().decode(), end="")
    # HELP sardinegauge_agent_refusals_total Refused.
    # TYPE sardinegauge_agent_refusals_total counter
    sardinegauge_agent_refusals_total{reason="full"} 1
    """

    def __init__(self):
        self._metrics = []

    def counter(self, name, text, labels=()):
        """Return a new counter; `name` must end with ``_total``."""
        return self._register(LabeledCounter(name, text, labels, "counter"))

    def gauge(self, name, text, read):
        """Return a new gauge; `read` is called for its value on each page."""
        return self._register(Gauge(name, text, read))

    def histogram(self, name, text, labels=()):
        """Return a new histogram of durations in seconds."""
        return self._register(Histogram(name, text, labels, "histogram"))

    def _register(self, metric):
        self._metrics.append(metric)
        return metric

    def page(self):
        """Return all metrics in the text exposition format, as bytes."""
        lines = []
        for metric in self._metrics:
            lines.append(f"# HELP {metric.name} {metric.text}")
            lines.append(f"# TYPE {metric.name} {metric.kind}")
            lines += metric.lines()
        return ("\n".join(lines) + "\n").encode()


class Gauge:
    """A gauge whose value is read when the page is rendered."""

    kind = "gauge"

    def __init__(self, name, text, read):
        self.name = f"sardinegauge_{name}"
        self.text = text
        self.read = read

    def lines(self):
        """Return the lines of the page."""
        return [f"{self.name} {self.read()}"]


class LabeledCounter:
    """A counter with one value for each combination of label values."""

    def __init__(self, name, text, labels, kind):
        self.name = f"sardinegauge_{name}"
        self.text = text
        self.labels = labels
        self.kind = kind
        self.by_label_values = {}

    def add(self, amount, *values):
        """Add to the series with these label values."""
        key = self._series_key(values)
        self.by_label_values[key] = self.by_label_values.get(key, 0) + amount

    def _series_key(self, values):
        if values in self.by_label_values or len(self.by_label_values) < MAX_SERIES:
            return values
        return ("other",) * len(self.labels)

    def lines(self):
        """Return the lines of the page."""
        return [
            f"{self.name}{_labels(self.labels, values)} {number}"
            for values, number in self.by_label_values.items()
        ]


class Histogram(LabeledCounter):
    """Counts of durations by bucket, and their sum in seconds."""

    def observe(self, seconds, *values):
        """Record one duration in the series with these label values."""
        key = self._series_key(values)
        series = self.by_label_values.get(key)
        if series is None:
            series = [0] * (len(LATENCY_BUCKETS_S) + 1) + [0.0]
            self.by_label_values[key] = series
        series[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        series[-1] += seconds

    def lines(self):
        """Return the lines of the page."""
        lines = []
        names = (*self.labels, "le")
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for values, series in self.by_label_values.items():
            total = 0
            for bound, count in zip(bounds, series):
                total += count
                labels = _labels(names, (*values, bound))
                lines.append(f"{self.name}_bucket{labels} {total}")
            labels = _labels(self.labels, values)
            lines.append(f"{self.name}_count{labels} {total}")
            lines.append(f"{self.name}_sum{labels} {series[-1]}")
        return lines


def _labels(names, values):
    if not names:
        return ""
    pairs = ",".join(f'{name}="{_escape(v)}"' for name, v in zip(names, values))
    return f"{{{pairs}}}"


def _escape(value):
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
