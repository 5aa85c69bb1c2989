"""Prometheus metrics of one process, based on prometheus_client."""

import prometheus_client
from prometheus_client import exposition, registry

from sardinegauge import plainmetrics

LATENCY_BUCKETS_S = plainmetrics.LATENCY_BUCKETS_S

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST


class Metrics:
    """The metrics of one process in a registry of its own.

    Names begin with ``sardinegauge_``; the last word of a name is its unit.

    Examples
    --------
    >>> metrics = Metrics()
    >>> waits = metrics.histogram("task_wait_seconds", "Wait.", ("tenant",))
    >>> waits.labels("karri").observe(0.3)
    >>> b'sardinegauge_task_wait_seconds_count{tenant="karri"} 1.0' in metrics.page()
    True
    """

    def __init__(self):
        self.registry = registry.CollectorRegistry()

    def counter(self, name, text, labels=()):
        """Return a new counter."""
        return prometheus_client.Counter(
            f"sardinegauge_{name}", text, labels, registry=self.registry
        )

    def gauge(self, name, text, labels=()):
        """Return a new gauge."""
        return prometheus_client.Gauge(
            f"sardinegauge_{name}", text, labels, registry=self.registry
        )

    def histogram(self, name, text, labels=(), buckets=LATENCY_BUCKETS_S):
        """Return a new histogram with bucket bounds in the unit of its name."""
        return prometheus_client.Histogram(
            f"sardinegauge_{name}",
            text,
            labels,
            registry=self.registry,
            buckets=buckets,
        )

    def page(self):
        """Return all metrics in the text exposition format, as bytes."""
        return exposition.generate_latest(self.registry)
