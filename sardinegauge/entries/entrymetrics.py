"""Metrics of the entry."""

from sardinegauge import clock, metrics

CONTENT_TYPE = metrics.CONTENT_TYPE
# Label of all tenants that the configuration does not name. Callers choose the names of
# tenants, and each label value uses memory.
OTHER_TENANT = "other"


class EntryMetrics:
    """Histograms by tenant and request class, counters by verdict, gauges of state."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self.request_seconds = self.metrics.histogram(
            "request_seconds",
            "Time from a request's head to the end of its response.",
            ("tenant", "class"),
        )
        self.requests = self.metrics.counter(
            "requests", "Requests by how they ended.", ("tenant", "verdict", "status")
        )
        self.bad_requests = self.metrics.counter(
            "bad_requests", "Requests refused for their head or size.", ("status",)
        )
        self.in_flight = self.metrics.gauge("requests_in_flight", "Requests in flight.")
        self.retries = self.metrics.gauge(
            "recent_retries", "Retries within the window of the retry budget."
        )
        self.upstreams = self.metrics.gauge("upstreams", "Upstreams by use.", ("use",))
        self.confirmation_left = self.metrics.gauge(
            "evidence_left_seconds", "Time left until new requests are refused."
        )
        self.configuration_version = self.metrics.gauge(
            "configuration_version", "Configuration version in force."
        )
        self._labelled = {}

    def observe(self, state, head, verdict, status, duration_s):
        """Record a request that ended; `verdict` is None if the caller disconnected."""
        tenant = head.tenant
        if not state.limits.is_configured(tenant):
            tenant = OTHER_TENANT
        name = "caller-gone" if verdict is None else verdict.value
        key = (tenant, _request_class(head), name, status)
        labelled = self._labelled.get(key)
        if labelled is None:
            labelled = self._labelled[key] = (
                self.request_seconds.labels(tenant, key[1]),
                self.requests.labels(tenant, name, str(status)),
            )
        labelled[0].observe(duration_s)
        labelled[1].inc()

    def count_bad_request(self, status):
        """Count a request that was refused for its head or size."""
        self.bad_requests.labels(str(status)).inc()

    def page(self, state):
        """Return the metrics page as bytes."""
        now_ms = clock.monotonic_ms()
        self.in_flight.set(len(state.requests))
        self.retries.set(state.retry_budget.recent_retries(now_ms))
        usable = ejected = 0
        for upstream in state.upstreams.by_name.values():
            usable += upstream.is_usable(now_ms)
            ejected += now_ms < upstream.ejected_until_ms
        self.upstreams.labels("usable").set(usable)
        self.upstreams.labels("ejected").set(ejected)
        self.confirmation_left.set(max(0, state.confirmed_until_ms - now_ms) / 1000)
        self.configuration_version.set(state.config_version)
        return self.metrics.page()


def _request_class(head):
    if head.is_idempotent:
        return "idempotent"
    return "keyed" if head.key else "non_idempotent"
