"""Counters, gauges and histograms with the Prometheus text format, for the agent.

prometheus_client imports an HTTP server and client and costs 2.9 MB of resident memory,
which does not fit the agent's budget of 32 MB. The page follows version 0.0.4 of the
text exposition format; the tests read it with prometheus_client's parser.
"""

import bisect

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Bounds in seconds; they bracket the 1.2 s of an urgent start and the few
# milliseconds of an interactive response.
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
# Series of one metric; further label values are counted together as "other".
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
        """Return a new counter; its name ends with ``_total``."""
        return self._add(Value(name, text, labels, "counter"))

    def gauge(self, name, text, read):
        """Return a new gauge, whose value is read by a call for each page."""
        return self._add(Gauge(name, text, read))

    def histogram(self, name, text, labels=()):
        """Return a new histogram of times in seconds."""
        return self._add(Histogram(name, text, labels, "histogram"))

    def _add(self, metric):
        self._metrics.append(metric)
        return metric

    def page(self):
        """Return the metrics page in the text format, as bytes."""
        lines = []
        for metric in self._metrics:
            lines.append(f"# HELP {metric.name} {metric.text}")
            lines.append(f"# TYPE {metric.name} {metric.kind}")
            lines += metric.lines()
        return ("\n".join(lines) + "\n").encode()


class Gauge:
    """A value that is read when the page is made."""

    kind = "gauge"

    def __init__(self, name, text, read):
        self.name = f"sardinegauge_{name}"
        self.text = text
        self.read = read

    def lines(self):
        """Return the lines of the page."""
        return [f"{self.name} {self.read()}"]


class Value:
    """A counter with one value for each combination of label values."""

    def __init__(self, name, text, labels, kind):
        self.name = f"sardinegauge_{name}"
        self.text = text
        self.labels = labels
        self.kind = kind
        self.by_labels = {}

    def add(self, amount, *values):
        """Add to the series with these label values."""
        key = self._key(values)
        self.by_labels[key] = self.by_labels.get(key, 0) + amount

    def _key(self, values):
        if values in self.by_labels or len(self.by_labels) < MAX_SERIES:
            return values
        return ("other",) * len(self.labels)

    def lines(self):
        """Return the lines of the page."""
        return [
            f"{self.name}{_labels(self.labels, values)} {number}"
            for values, number in self.by_labels.items()
        ]


class Histogram(Value):
    """Counts of times by bucket, and their sum in seconds."""

    def observe(self, seconds, *values):
        """Count one time in the series with these label values."""
        key = self._key(values)
        series = self.by_labels.get(key)
        if series is None:
            series = [0] * (len(LATENCY_BUCKETS_S) + 1) + [0.0]
            self.by_labels[key] = series
        series[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        series[-1] += seconds

    def lines(self):
        """Return the lines of the page."""
        lines = []
        names = (*self.labels, "le")
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for values, series in self.by_labels.items():
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
