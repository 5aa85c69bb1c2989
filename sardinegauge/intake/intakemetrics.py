"""Metrics of what a process takes from its callers."""


class IntakeMetrics:
    """Counters of refused requests and closed connections, and gauges of what is held.

    Parameters
    ----------
    metrics : metrics.Metrics
        Metrics of the process.
    """

    def __init__(self, metrics):
        self._refused = metrics.counter(
            "intake_refused_requests",
            "Requests refused for the limits of the process, by reason.",
            ("listener", "reason"),
        )
        self._closed = metrics.counter(
            "intake_closed_connections",
            "Connections of callers closed by the process, by reason.",
            ("listener", "reason"),
        )
        self._reserved_bytes = metrics.gauge(
            "intake_reserved_bytes",
            "Memory reserved for callers' requests and connections.",
            ("listener",),
        )
        self._connections = metrics.gauge(
            "intake_connections", "Open connections of callers.", ("listener",)
        )

    def count_refused(self, listener, reason):
        """Count a request that was refused."""
        self._refused.labels(listener, reason).inc()

    def count_closed(self, listener, reason):
        """Count a connection that was closed, or not accepted."""
        self._closed.labels(listener, reason).inc()

    def watch(self, listener, intake):
        """Show the reserved bytes and the connections of an `intake.Intake`."""
        self._reserved_bytes.labels(listener).set_function(
            lambda: intake.budget.reserved_bytes
        )
        self._connections.labels(listener).set_function(lambda: len(intake.table))
