"""Metrics of the entry."""

from sardinegauge import clock, metrics

CONTENT_TYPE = metrics.CONTENT_TYPE
# Tenants that the configuration does not name share a label, since callers choose the
# names and each label costs memory.
OTHER_TENANT = "other"


class EntryMetrics:
    """Histograms by tenant and class, counters by verdict, gauges of the state."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self.seconds = self.metrics.histogram(
            "request_seconds",
            "Time from a request's head to the end of its response.",
            ("tenant", "class"),
        )
        self.ended = self.metrics.counter(
            "requests", "Requests by how they ended.", ("tenant", "verdict", "status")
        )
        self.bad = self.metrics.counter(
            "bad_requests", "Requests refused for their head or size.", ("status",)
        )
        self.in_flight = self.metrics.gauge("requests_in_flight", "Requests in flight.")
        self.retries = self.metrics.gauge(
            "recent_retries", "Retries within the window of the retry budget."
        )
        self.upstreams = self.metrics.gauge("upstreams", "Upstreams by use.", ("use",))
        self.evidence = self.metrics.gauge(
            "evidence_left_seconds", "Time left until new requests are refused."
        )
        self.version = self.metrics.gauge(
            "configuration_version", "Configuration version in force."
        )
        self._bound = {}

    def observe(self, state, head, verdict, status, duration_s):
        """Count a request that ended; `verdict` is None where the caller left."""
        tenant = head.tenant
        if not state.limits.is_configured(tenant):
            tenant = OTHER_TENANT
        name = "caller-gone" if verdict is None else verdict.value
        key = (tenant, _class_of(head), name, status)
        bound = self._bound.get(key)
        if bound is None:
            bound = self._bound[key] = (
                self.seconds.labels(tenant, key[1]),
                self.ended.labels(tenant, name, str(status)),
            )
        bound[0].observe(duration_s)
        bound[1].inc()

    def count_bad_request(self, status):
        """Count a request that was refused for its head or size."""
        self.bad.labels(str(status)).inc()

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
        self.evidence.set(max(0, state.confirmed_until_ms - now_ms) / 1000)
        self.version.set(state.config_version)
        return self.metrics.page()


def _class_of(head):
    if head.is_idempotent:
        return "idempotent"
    return "keyed" if head.key else "non_idempotent"
