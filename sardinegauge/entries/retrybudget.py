"""Retry budget: limits retries to a fixed share of recent requests."""

WINDOW_MS = 10_000
SLOT_MS = 1_000
# Retries that a window always allows, so that a single request on an idle entry can
# still be retried when its upstream is draining.
MIN_RETRIES = 10
BACKOFF_BASE_MS = 5
BACKOFF_MAX_MS = 250


class RetryBudget:
    """Counts requests and retries in slots of 1 s over a sliding window of 10 s.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window, 0 to 1.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.1, min_retries=1)
    >>> budget.try_spend(now_ms=0), budget.try_spend(now_ms=1)
    (True, False)
    """

    def __init__(self, ratio, min_retries=MIN_RETRIES):
        self.ratio = ratio
        self.min_retries = min_retries
        self._slots = []  # lists of slot number, requests, retries; oldest first

    def count_request(self, now_ms):
        """Count a request, which adds `ratio` of a retry to the budget."""
        self._slot(now_ms)[1] += 1

    def try_spend(self, now_ms):
        """Spend one retry if the budget allows it; return whether it did."""
        current = self._slot(now_ms)
        requests = sum(slot[1] for slot in self._slots)
        retries = self.recent_retries(now_ms)
        if retries + 1 > self.min_retries + self.ratio * requests:
            return False
        current[2] += 1
        return True

    def recent_retries(self, now_ms):
        """Return the number of retries within the window."""
        self._slot(now_ms)
        return sum(slot[2] for slot in self._slots)

    def _slot(self, now_ms):
        number = now_ms // SLOT_MS
        slots = self._slots
        while slots and slots[0][0] <= number - WINDOW_MS // SLOT_MS:
            slots.pop(0)
        if not slots or slots[-1][0] < number:
            slots.append([number, 0, 0])
        return slots[-1]


def backoff_ms(retry, seed):
    """Return the delay before the retry of that number, from 1, with full jitter.

    Examples
    --------
    >>> backoff_ms(1, 0), 1 <= backoff_ms(20, 12345) <= BACKOFF_MAX_MS
    (1, True)
    """
    max_delay_ms = min(BACKOFF_BASE_MS << min(retry, 10), BACKOFF_MAX_MS)
    return 1 + seed % max_delay_ms
