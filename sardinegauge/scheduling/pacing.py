"""Pace of starts and evictions, and the slower refill after a large loss."""

import collections

DEFAULT_STARTS_PER_S = 210.0
DEFAULT_EVICTIONS_PER_MINUTE = 10.0
# Starts that may be saved up: one tick of 100 ms and its jitter.
START_BURST_S = 0.25
# As many lost workers within the window count as the loss of a rack.
LOSS_WORKERS = 3
LOSS_WINDOW_MS = 15_000
# Refill after such a loss: batch work gets this share of the starts until the window
# has passed, so that the next urgent or latency-critical start never waits for it.
RECOVERY_MS = 30_000
RECOVERY_BATCH_SHARE = 0.5
# Evictions that make room for urgent work and services: some at once, then per second.
ROOM_EVICTIONS_BURST = 40.0
ROOM_EVICTIONS_PER_S = 4.0
# Starts under way on one worker; more would hit its disk and network at once.
STARTS_PER_WORKER = 4
# Losses proposed in one tick, so that a lost failure domain is no burst in the log.
LOSSES_PER_TICK = 40


class TokenBucket:
    """Allows `rate_per_s` steps a second and saves up at most `burst` of them.

    Examples
    --------
    >>> bucket = TokenBucket(rate_per_s=2.0, burst=1.0)
    >>> bucket.refill(0); bucket.take(); bucket.available()
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
        """Change the rate; saved tokens are cut to the new burst."""
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self.tokens = min(self.tokens, self.burst)

    def available(self):
        """Return the whole steps allowed now."""
        return max(0, int(self.tokens + 1e-9))

    def take(self, count=1):
        """Use up steps; a gang may overdraw and is paid back by waiting."""
        self.tokens -= count


class Pace:
    """Budgets of starts and evictions, and whether a large loss is being refilled."""

    __slots__ = ("evictions", "loss_times_ms", "recovery_until_ms", "room", "starts")

    def __init__(self):
        rate = DEFAULT_STARTS_PER_S
        self.starts = TokenBucket(rate, rate * START_BURST_S)
        per_minute = DEFAULT_EVICTIONS_PER_MINUTE
        self.evictions = TokenBucket(per_minute / 60.0, per_minute / 4.0)
        self.room = TokenBucket(ROOM_EVICTIONS_PER_S, ROOM_EVICTIONS_BURST)
        self.loss_times_ms = collections.deque(maxlen=LOSS_WORKERS)
        self.recovery_until_ms = 0

    def configure(self, document):
        """Take the rates from a configuration document."""
        policy = document.get("policy", {})
        rate = policy.get("starts_per_s", DEFAULT_STARTS_PER_S)
        self.starts.set_rate(rate, rate * START_BURST_S)
        per_minute = policy.get("evictions_per_minute", DEFAULT_EVICTIONS_PER_MINUTE)
        self.evictions.set_rate(per_minute / 60.0, per_minute / 4.0)
        if per_minute == 0:
            self.evictions.tokens = 0.0

    def refill(self, now_ms):
        """Add the tokens of the time since the last refill."""
        self.starts.refill(now_ms)
        self.evictions.refill(now_ms)
        self.room.refill(now_ms)

    def note_loss(self, now_ms):
        """Note a lost worker; several in a short time start the recovery."""
        self.loss_times_ms.append(now_ms)
        oldest_ms = self.loss_times_ms[0]
        is_large = len(self.loss_times_ms) == LOSS_WORKERS
        if is_large and now_ms - oldest_ms <= LOSS_WINDOW_MS:
            self.recovery_until_ms = now_ms + RECOVERY_MS

    def is_recovering(self, now_ms):
        """Tell whether a large loss is being refilled."""
        return now_ms < self.recovery_until_ms

    def batch_budget(self, now_ms, is_service_waiting):
        """Return the starts that batch work may use in this round."""
        available = self.starts.available()
        if self.is_recovering(now_ms) and is_service_waiting:
            return int(available * RECOVERY_BATCH_SHARE)
        return available
