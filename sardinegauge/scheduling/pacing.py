"""Rate limits of starts and evictions, and the recovery from a large loss."""

import collections

DEFAULT_STARTS_PER_S = 210.0
DEFAULT_EVICTIONS_PER_MINUTE = 10.0
# Burst of starts, as a time at the full rate: a tick of 100 ms and its jitter.
START_BURST_S = 0.25
# Workers lost within the window that make up a large loss, such as that of a rack.
LARGE_LOSS_WORKERS = 3
LOSS_WINDOW_MS = 15_000
# During the recovery from a large loss, batch work gets only this share of the starts
# while services wait, so that urgent and latency-critical starts never wait for it.
RECOVERY_MS = 30_000
RECOVERY_BATCH_SHARE = 0.5
# Evictions for urgent work and services: the burst, and the rate after it.
PRIORITY_EVICTIONS_BURST = 40.0
PRIORITY_EVICTIONS_PER_S = 4.0
# Tasks that may be starting on one worker at a time. More would overload its disk and
# network.
MAX_STARTING_PER_WORKER = 4
# Lost workers proposed in one tick, so that the loss of a failure domain does not
# flood the log.
MAX_LOSSES_PER_TICK = 40


class TokenBucket:
    """Allows `rate_per_s` operations a second, in bursts of up to `burst`.

    Examples
    --------
    >>> bucket = TokenBucket(rate_per_s=2.0, burst=1.0)
    >>> bucket.refill(0); bucket.consume(); bucket.available()
    0
    >>> bucket.refill(500); bucket.available()
    1
    """

    __slots__ = ("burst", "rate_per_s", "refilled_ms", "tokens")

    def __init__(self, rate_per_s, burst):
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self.tokens = self.burst
        self.refilled_ms = None

    def refill(self, now_ms):
        """Add the tokens of the time since the last refill."""
        if self.refilled_ms is not None:
            elapsed_s = (now_ms - self.refilled_ms) / 1000.0
            self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.refilled_ms = now_ms

    def set_rate(self, rate_per_s, burst):
        """Change the rate and the burst, and cut the tokens to the new burst."""
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self.tokens = min(self.tokens, self.burst)

    def available(self):
        """Return the number of operations allowed now."""
        return max(0, int(self.tokens + 1e-9))

    def consume(self, count=1):
        """Consume tokens.

        A gang starts as a whole and may make the balance negative. Later starts then
        wait until it has been refilled.
        """
        self.tokens -= count


class RateLimits:
    """Token buckets of starts and evictions, and the state of the recovery."""

    __slots__ = (
        "evictions",
        "loss_times_ms",
        "recovery_until_ms",
        "priority_evictions",
        "starts",
    )

    def __init__(self):
        starts_per_s = DEFAULT_STARTS_PER_S
        self.starts = TokenBucket(starts_per_s, starts_per_s * START_BURST_S)
        evictions_per_minute = DEFAULT_EVICTIONS_PER_MINUTE
        self.evictions = TokenBucket(
            evictions_per_minute / 60.0, evictions_per_minute / 4.0
        )
        self.priority_evictions = TokenBucket(
            PRIORITY_EVICTIONS_PER_S, PRIORITY_EVICTIONS_BURST
        )
        self.loss_times_ms = collections.deque(maxlen=LARGE_LOSS_WORKERS)
        self.recovery_until_ms = 0

    def configure(self, document):
        """Set the rates from a configuration document."""
        policy = document.get("policy", {})
        starts_per_s = policy.get("starts_per_s", DEFAULT_STARTS_PER_S)
        self.starts.set_rate(starts_per_s, starts_per_s * START_BURST_S)
        evictions_per_minute = policy.get(
            "evictions_per_minute", DEFAULT_EVICTIONS_PER_MINUTE
        )
        self.evictions.set_rate(evictions_per_minute / 60.0, evictions_per_minute / 4.0)
        if evictions_per_minute == 0:
            self.evictions.tokens = 0.0

    def refill(self, now_ms):
        """Add the tokens of the time since the last refill."""
        self.starts.refill(now_ms)
        self.evictions.refill(now_ms)
        self.priority_evictions.refill(now_ms)

    def record_loss(self, now_ms):
        """Record a lost worker, and start the recovery if the loss is large."""
        self.loss_times_ms.append(now_ms)
        oldest_ms = self.loss_times_ms[0]
        is_large = len(self.loss_times_ms) == LARGE_LOSS_WORKERS
        if is_large and now_ms - oldest_ms <= LOSS_WINDOW_MS:
            self.recovery_until_ms = now_ms + RECOVERY_MS

    def is_recovering(self, now_ms):
        """Tell whether the scheduler recovers from a large loss."""
        return now_ms < self.recovery_until_ms

    def batch_budget(self, now_ms, is_service_waiting):
        """Return the number of starts that batch work may use in this round."""
        available = self.starts.available()
        if self.is_recovering(now_ms) and is_service_waiting:
            return int(available * RECOVERY_BATCH_SHARE)
        return available
