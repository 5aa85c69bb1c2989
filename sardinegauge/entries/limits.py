"""Admission limits of an entry: concurrency and rate per tenant, bounded queues."""

import collections

# Limits of a tenant's queue. A request that has waited 500 ms for a slot is refused: a
# later refusal would only delay the caller's retry.
MAX_QUEUED_PER_TENANT = 64
MAX_QUEUE_WAIT_MS = 500
# Capacity of a tenant's token bucket, as the time in which its rate fills the bucket.
BURST_S = 1.0
# Callers choose the names of tenants, so the table of tenants must be bounded.
MAX_TENANTS = 4096
RETRY_AFTER_MS = 1_000


class TenantUsage:
    """Usage of one tenant.

    `in_flight` counts its admitted requests, `queue` holds the numbers of its queued
    ones, and `tokens` is the level of its token bucket at `refilled_at_ms`.
    """

    __slots__ = ("in_flight", "queue", "tokens", "refilled_at_ms")

    def __init__(self, now_ms, burst):
        self.in_flight = 0
        self.queue = collections.deque()
        self.tokens = burst
        self.refilled_at_ms = now_ms


class Rejection:
    """Why a request was not admitted, and the delay before the caller may retry.

    `status` is 429 if a limit of the tenant is exhausted and 503 if that of the entry.
    """

    __slots__ = ("reason", "retry_after_ms", "status")

    def __init__(self, reason, retry_after_ms=RETRY_AFTER_MS, status=429):
        self.reason = reason
        self.status = status
        self.retry_after_ms = retry_after_ms


class Limits:
    """Admits requests within the limits of the process and of each tenant.

    Parameters
    ----------
    max_concurrent : int
        Requests in flight or queued at this entry.
    max_per_tenant : int
        Requests in flight of a tenant without a limit of its own.
    """

    def __init__(self, max_concurrent, max_per_tenant):
        self.max_concurrent = max_concurrent
        self.max_per_tenant = max_per_tenant
        self.total_requests = 0
        self.by_tenant = {}
        self._configured = {}

    def configure(self, tenants):
        """Replace the limits by the table ``tenants`` of a configuration document."""
        self._configured = tenants

    def is_configured(self, tenant):
        """Tell whether the configuration names the tenant."""
        return tenant in self._configured

    def _limits_of(self, tenant):
        """Return the limits of requests in flight and per second (None: no limit)."""
        table = self._configured.get(tenant, {})
        max_in_flight = table.get("max_concurrent", self.max_per_tenant)
        return max_in_flight, table.get("requests_per_s")

    def admit(self, now_ms, tenant, number):
        """Admit a request, queue it, or refuse it.

        Returns
        -------
        bool or Rejection
            True when admitted, False when queued.
        """
        if self.total_requests >= self.max_concurrent:
            return Rejection(
                "the entry is at its limit of concurrent requests", status=503
            )
        max_in_flight, rate_per_s = self._limits_of(tenant)
        usage = self.by_tenant.get(tenant)
        if usage is None:
            if len(self.by_tenant) >= MAX_TENANTS:
                self._evict_idle(now_ms)
            if len(self.by_tenant) >= MAX_TENANTS:
                return Rejection("too many tenants at this entry")
            usage = self.by_tenant[tenant] = TenantUsage(now_ms, _burst(rate_per_s))
        has_slot = usage.in_flight < max_in_flight and not usage.queue
        if not has_slot and len(usage.queue) >= min(
            MAX_QUEUED_PER_TENANT, max_in_flight
        ):
            return Rejection("the tenant is at its limit of concurrent requests")
        if rate_per_s is not None and not _consume_token(usage, now_ms, rate_per_s):
            retry_after_ms = (
                int(1000 * (1 - usage.tokens) / rate_per_s) + 1
                if rate_per_s > 0
                else 60_000
            )
            return Rejection(
                "the tenant is at its limit of requests per second", retry_after_ms
            )
        self.total_requests += 1
        if has_slot:
            usage.in_flight += 1
            return True
        usage.queue.append(number)
        return False

    def release(self, tenant):
        """Release the slot of an admitted request and admit queued requests.

        Returns
        -------
        list of int
            Numbers of the requests that are admitted now.
        """
        usage = self.by_tenant[tenant]
        usage.in_flight -= 1
        self.total_requests -= 1
        max_in_flight, _ = self._limits_of(tenant)
        admitted = []
        while usage.queue and usage.in_flight < max_in_flight:
            usage.in_flight += 1
            admitted.append(usage.queue.popleft())
        return admitted

    def leave_queue(self, tenant, number):
        """Remove a queued request."""
        self.by_tenant[tenant].queue.remove(number)
        self.total_requests -= 1

    def _evict_idle(self, now_ms):
        """Evict tenants that have no requests and whose token bucket is full."""
        for tenant, usage in list(self.by_tenant.items()):
            is_idle = usage.in_flight == 0 and not usage.queue
            if is_idle and now_ms - usage.refilled_at_ms > 1000 * BURST_S:
                del self.by_tenant[tenant]


def _burst(rate_per_s):
    return max(1.0, rate_per_s * BURST_S) if rate_per_s else 0.0


def _consume_token(usage, now_ms, rate_per_s):
    refill = (now_ms - usage.refilled_at_ms) * rate_per_s / 1000
    usage.tokens = min(usage.tokens + refill, _burst(rate_per_s))
    usage.refilled_at_ms = now_ms
    if usage.tokens < 1:
        return False
    usage.tokens -= 1
    return True
