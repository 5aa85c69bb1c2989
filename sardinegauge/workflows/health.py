"""Which workers fail what they are given; soft state of the leader.

It answers a worker that fails all that it starts: after a few failures in a row it gets
no more work, then one probe at a time until a task ends well there.
"""

FAILURES_IN_A_ROW = 2
# Rest before a probe, doubled with each failed one.
REST_MS = 2000
MAX_REST_MS = 16_000
FAILED_PENALTY = 0.5
RESTING_PENALTY = 100.0


class WorkerHealth:
    """Failures of one worker since its last success."""

    __slots__ = ("failures", "rest_ms", "rest_until_ms")

    def __init__(self):
        self.failures = 0
        self.rest_ms = REST_MS
        self.rest_until_ms = 0


class Health:
    """Health by worker."""

    __slots__ = ("_by_worker", "now_ms")

    def __init__(self):
        self._by_worker = {}
        self.now_ms = 0

    def note_failure(self, worker, now_ms):
        """Count a failed run, unless the task is known to fail everywhere."""
        found = self._by_worker.setdefault(worker, WorkerHealth())
        found.failures += 1
        if found.failures >= FAILURES_IN_A_ROW:
            found.rest_until_ms = now_ms + found.rest_ms
            found.rest_ms = min(2 * found.rest_ms, MAX_REST_MS)

    def note_success(self, worker):
        """Forget the failures of a worker."""
        self._by_worker.pop(worker, None)

    def is_resting(self, worker):
        """Tell whether a worker gets no work for now."""
        found = self._by_worker.get(worker)
        return found is not None and self.now_ms < found.rest_until_ms

    def penalty(self, worker):
        """Return what speaks against a worker in the score of a placement."""
        found = self._by_worker.get(worker)
        if found is None:
            return 0.0
        if self.now_ms < found.rest_until_ms:
            return RESTING_PENALTY
        return FAILED_PENALTY * found.failures
