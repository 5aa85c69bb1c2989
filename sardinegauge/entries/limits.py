"""Limits of an entry: concurrency and rate for each tenant, with bounded queues."""

import collections

# Requests of a tenant that may wait for one of its places, and for how long. A wait
# beyond half a second is a refusal that comes late.
MAX_QUEUED_PER_TENANT = 64
MAX_QUEUE_WAIT_MS = 500
# The share of a second's rate that may arrive at once.
BURST_S = 1.0
# Tenants are named by callers, so the table of them is bounded.
MAX_TENANTS = 4096
RETRY_AFTER_MS = 1_000


class Tenant:
    """Use of one tenant: requests in flight, waiting numbers, tokens of its rate."""

    __slots__ = ("in_flight", "queue", "tokens", "tokens_at_ms")

    def __init__(self, now_ms, burst):
        self.in_flight = 0
        self.queue = collections.deque()
        self.tokens = burst
        self.tokens_at_ms = now_ms


class Refused:
    """Why a request was not admitted, and after how many ms it may come back.

    `status` is 429 where the tenant's limit was met and 503 where the entry's was.
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
        self.total = 0
        self.by_tenant = {}
        self._configured = {}

    def configure(self, tenants):
        """Take the table ``tenants`` of a configuration document."""
        self._configured = tenants

    def is_configured(self, tenant):
        """Tell whether the configuration names the tenant."""
        return tenant in self._configured

    def _limits(self, tenant):
        """Return the most requests in flight and per second (None: any rate)."""
        table = self._configured.get(tenant, {})
        most = table.get("max_concurrent", self.max_per_tenant)
        return most, table.get("requests_per_s")

    def admit(self, now_ms, tenant, number):
        """Admit a request, queue it, or refuse it.

        Returns
        -------
        bool or Refused
            True when admitted, False when queued.
        """
        if self.total >= self.max_concurrent:
            return Refused(
                "the entry is at its limit of concurrent requests", status=503
            )
        most, rate = self._limits(tenant)
        use = self.by_tenant.get(tenant)
        if use is None:
            if len(self.by_tenant) >= MAX_TENANTS:
                self._sweep(now_ms)
            if len(self.by_tenant) >= MAX_TENANTS:
                return Refused("too many tenants at this entry")
            use = self.by_tenant[tenant] = Tenant(now_ms, _burst(rate))
        is_free = use.in_flight < most and not use.queue
        if not is_free and len(use.queue) >= min(MAX_QUEUED_PER_TENANT, most):
            return Refused("the tenant is at its limit of concurrent requests")
        if rate is not None and not _take_token(use, now_ms, rate):
            wait_ms = int(1000 * (1 - use.tokens) / rate) + 1 if rate > 0 else 60_000
            return Refused("the tenant is at its limit of requests per second", wait_ms)
        self.total += 1
        if is_free:
            use.in_flight += 1
            return True
        use.queue.append(number)
        return False

    def release(self, tenant):
        """Give back the place of an admitted request; return numbers now admitted."""
        use = self.by_tenant[tenant]
        use.in_flight -= 1
        self.total -= 1
        most, _ = self._limits(tenant)
        admitted = []
        while use.queue and use.in_flight < most:
            use.in_flight += 1
            admitted.append(use.queue.popleft())
        return admitted

    def leave_queue(self, tenant, number):
        """Remove a queued request."""
        self.by_tenant[tenant].queue.remove(number)
        self.total -= 1

    def _sweep(self, now_ms):
        """Forget tenants without requests whose tokens are full again."""
        for tenant, use in list(self.by_tenant.items()):
            is_idle = use.in_flight == 0 and not use.queue
            if is_idle and now_ms - use.tokens_at_ms > 1000 * BURST_S:
                del self.by_tenant[tenant]


def _burst(rate):
    return max(1.0, rate * BURST_S) if rate else 0.0


def _take_token(use, now_ms, rate):
    earned = (now_ms - use.tokens_at_ms) * rate / 1000
    use.tokens = min(use.tokens + earned, _burst(rate))
    use.tokens_at_ms = now_ms
    if use.tokens < 1:
        return False
    use.tokens -= 1
    return True
