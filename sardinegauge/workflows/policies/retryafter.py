"""Times at which refused callers return, so that they meet capacity and no second wave.

Made for bursts in which many callers are refused within a second or two. Each gets a
place behind the callers of its own or more urgent priority who were refused before and
have not returned yet. A caller who returns as told goes before newcomers.
"""

import math
import zlib

# Limits of what a gateway remembers of refused callers.
MAX_REMEMBERED = 20_000
# Callers return before their recorded refusal expires (`refusals.RETENTION_MS`).
MAX_DELAY_S = 110
# A caller returns as told from this long before its time until this long after it.
EARLY_S = 0.5
LATE_S = 5.0


def retry_after_s(workflow_id, refusal, worth_ms, position):
    """Return the seconds after which a refused caller returns, at least 1.

    Parameters
    ----------
    workflow_id : str
        Decides between equal times, the same way at every gateway.
    refusal : admission.Refusal
    worth_ms : float
        Time in which the workflow can still be worth something.
    position : int
        Number of callers that return before this one.

    Examples
    --------
    >>> from sardinegauge.workflows.policies import admission
    >>> refusal = admission.Refusal(
    ...     reason="held_bytes", wait_ms=2000, rate_per_s=5, measured=9, limit=8)
    >>> retry_after_s("w", refusal, 60_000, 0), retry_after_s("w", refusal, 60_000, 20)
    (2, 6)
    """
    worth_s = min(max(math.floor(worth_ms / 1000), 1), MAX_DELAY_S)
    start_s = max(refusal.wait_ms / 1000, 0)
    due_s = start_s + position / refusal.rate_per_s
    if due_s <= worth_s:
        return max(math.ceil(due_s), 1)
    # More callers were refused than there will be capacity for in time. Those without
    # a place are spread evenly, since none of them is certain to find none.
    first_s = min(math.ceil(start_s), worth_s // 2) or 1
    return first_s + zlib.crc32(workflow_id.encode()) % (worth_s - first_s + 1)


class _Refused:
    __slots__ = ("due_s", "first_s")

    def __init__(self, due_s, first_s):
        self.due_s = due_s
        self.first_s = first_s


class ReturnQueue:
    """The callers whom a gateway refused, by workflow id; times in s of one clock."""

    __slots__ = ("_refused_by_id", "max_remembered")

    def __init__(self, max_remembered=MAX_REMEMBERED):
        self.max_remembered = max_remembered
        self._refused_by_id = {}

    def add(self, workflow_id, due_s, now_s, waited_s=0):
        """Remember a refused caller, and when it was refused first."""
        earlier = self._refused_by_id.pop(workflow_id, None)
        first_s = earlier.first_s if earlier is not None else now_s - waited_s
        self._refused_by_id[workflow_id] = _Refused(due_s, first_s)
        while self._refused_by_id:
            oldest_id, oldest = next(iter(self._refused_by_id.items()))
            is_over = len(self._refused_by_id) > self.max_remembered
            if not is_over and oldest.due_s + LATE_S >= now_s:
                return
            del self._refused_by_id[oldest_id]

    def is_returning(self, workflow_id, now_s):
        """Return whether a caller was refused and returns when it was told to."""
        refused = self._refused_by_id.get(workflow_id)
        return refused is not None and -EARLY_S <= now_s - refused.due_s <= LATE_S

    def waited_s(self, workflow_id, now_s):
        """Return the time since a caller was refused first, 0 if it was not."""
        refused = self._refused_by_id.get(workflow_id)
        return now_s - refused.first_s if refused is not None else 0

    def remove(self, workflow_id):
        """Forget a caller, since its workflow was accepted."""
        self._refused_by_id.pop(workflow_id, None)

    def __len__(self):
        return len(self._refused_by_id)
