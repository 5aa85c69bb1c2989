"""Metrics of the gateway and the agent about workflows, and their page."""

from tornado import httpserver, web

from sardinegauge import addresses, metrics

# Bounds of the histogram of the times after which refused callers return.
RETRY_AFTER_BUCKETS_S = (1, 2, 3, 5, 8, 13, 20, 30, 60, 120, 300, 600)


class GatewayMetrics:
    """Metrics of callers' requests by queue."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self._seconds = self.metrics.histogram(
            "workflow_request_seconds",
            "Time of callers' requests about workflows.",
            ("queue", "method"),
        )
        self._requests = self.metrics.counter(
            "workflow_requests",
            "Callers' requests about workflows by how they were answered.",
            ("queue", "method", "status"),
        )
        self._version = self.metrics.gauge(
            "queues_version", "Version of the queues in force."
        )
        self._admissions = self.metrics.counter(
            "workflow_admissions",
            "Submissions by how they were decided: accepted, or a refusal's reason.",
            ("queue", "decision"),
        )
        self._retry_after = self.metrics.histogram(
            "workflow_retry_after_seconds",
            "Times after which refused callers were told to return.",
            ("queue",),
            RETRY_AFTER_BUCKETS_S,
        )
        self._backlog_age = self.metrics.gauge(
            "backlog_age_seconds", "Age of the backlog copy at the last submission."
        )
        self._attempts = self.metrics.counter(
            "leader_attempts",
            "Attempts to call the leader by how they ended.",
            ("message", "result"),
        )
        self._unrecorded_cancels = self.metrics.counter(
            "workflow_unrecorded_cancels",
            "Cancels of unknown workflows that were refused, as too many are recorded.",
        )
        self._polls = self.metrics.histogram(
            "queues_poll_seconds",
            "Time of polls by whether the leader confirmed the queues in force.",
            ("result",),
        )
        self._queues_age = self.metrics.histogram(
            "queues_age_seconds",
            "Time since the last confirmed poll, when a request was routed.",
        )

    def count_unrecorded_cancel(self):
        """Count a cancel that was refused, since too many are recorded."""
        self._unrecorded_cancels.inc()

    def count(self, queue, method, status, seconds):
        """Count one answered request; `queue` is empty if none was found."""
        self._seconds.labels(queue, method).observe(seconds)
        self._requests.labels(queue, method, status).inc()

    def set_version(self, version):
        """Set the version of the current queues."""
        self._version.set(version)

    def count_admission(self, queue, decision):
        """Count a submission that was accepted, or refused for a reason."""
        self._admissions.labels(queue, decision).inc()

    def observe_retry_after(self, queue, seconds):
        """Observe the time after which a refused caller was told to return."""
        self._retry_after.labels(queue).observe(seconds)

    def count_attempt(self, message, result):
        """Count an attempt to call the leader; see `stateclient.StateClient`."""
        self._attempts.labels(type(message).__name__, result).inc()

    def observe_poll(self, is_confirmed, seconds):
        """Observe the time of one poll for newer queues."""
        result = "confirmed" if is_confirmed else "unconfirmed"
        self._polls.labels(result).observe(seconds)

    def observe_queues_age(self, seconds):
        """Observe the age of the confirmation by which a request was routed."""
        self._queues_age.observe(seconds)

    def set_backlog_age(self, seconds):
        """Set the age of the backlog copy by which a submission was decided."""
        self._backlog_age.set(seconds)


class HostMetrics:
    """Metrics of an agent's calls to its worker."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self._seconds = self.metrics.histogram(
            "worker_call_seconds", "Time of calls to the worker.", ("call",)
        )
        self._calls = self.metrics.counter(
            "worker_calls", "Calls to the worker by how they ended.", ("call", "end")
        )
        self._runs = self.metrics.gauge("worker_runs", "Runs on the worker.")
        self._waiting_runs = self.metrics.gauge(
            "worker_waiting_runs", "Runs that wait for a free slot of a call."
        )
        self._unreported = self.metrics.gauge(
            "worker_unreported_rows",
            "Ends and checkpoints that the last report left out for its size.",
        )

    def count(self, call, end, seconds):
        """Count one call; `end` is how it ended: the answer's reason or kind."""
        self._seconds.labels(call).observe(seconds)
        self._calls.labels(call, end).inc()

    def update(self, state):
        """Set the gauges from the agent's `hoststate.State`."""
        self._runs.set(len(state.runs))
        self._waiting_runs.set(state.slots.waiting_count)
        self._unreported.set(state.unreported_count)


class _MetricsHandler(web.RequestHandler):
    def initialize(self, page):
        self.page = page

    def get(self):
        """Write the metrics in the text format."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.write(self.page())


def route(page):
    """Return the route of a metrics page at ``/metrics``."""
    return ("/metrics", _MetricsHandler, {"page": page})


def serve(address, page):
    """Serve a metrics page at ``/metrics`` of an address; return the server."""
    server = httpserver.HTTPServer(
        web.Application([route(page)], log_function=lambda handler: None)
    )
    host, port = addresses.split(address)
    server.listen(port, host)
    return server
