"""Retry budget: retries stay a fixed share of recent requests."""

WINDOW_MS = 10_000
SLOT_MS = 1_000
# Retries that a window always allows, so that a lone request on a quiet entry can
# still move away from an upstream that is leaving.
MIN_RETRIES = 10
BACKOFF_BASE_MS = 5
BACKOFF_MAX_MS = 250


class RetryBudget:
    """Counts requests and retries in slots of one second over a window of ten.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window, 0 to 1.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.1, min_retries=1)
    >>> budget.take(now_ms=0), budget.take(now_ms=1)
    (True, False)
    """

    def __init__(self, ratio, min_retries=MIN_RETRIES):
        self.ratio = ratio
        self.min_retries = min_retries
        self._slots = []  # lists of slot number, requests, retries; oldest first

    def count_request(self, now_ms):
        """Count a request, which earns a share of a retry."""
        self._slot(now_ms)[1] += 1

    def take(self, now_ms):
        """Take one retry; tell whether the budget allowed it."""
        slot = self._slot(now_ms)
        requests = sum(entry[1] for entry in self._slots)
        retries = self.recent_retries(now_ms)
        if retries + 1 > self.min_retries + self.ratio * requests:
            return False
        slot[2] += 1
        return True

    def recent_retries(self, now_ms):
        """Return the number of retries within the window."""
        self._slot(now_ms)
        return sum(entry[2] for entry in self._slots)

    def _slot(self, now_ms):
        number = now_ms // SLOT_MS
        slots = self._slots
        while slots and slots[0][0] <= number - WINDOW_MS // SLOT_MS:
            slots.pop(0)
        if not slots or slots[-1][0] < number:
            slots.append([number, 0, 0])
        return slots[-1]


def backoff_ms(retry, seed):
    """Return the delay before a retry, counted from 1, with full jitter.

    Examples
    --------
    >>> backoff_ms(1, 0), 1 <= backoff_ms(20, 12345) <= BACKOFF_MAX_MS
    (1, True)
    """
    ceiling = min(BACKOFF_BASE_MS << min(retry, 10), BACKOFF_MAX_MS)
    return 1 + seed % ceiling
