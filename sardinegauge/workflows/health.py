"""Backoff of workers on which runs fail; soft state of the leader.

It guards against a worker that fails every run: after a few consecutive failures the
worker is chosen last during an exponential backoff. Each further failure starts a
longer backoff; a success ends it.
"""

FAILURES_UNTIL_BACKOFF = 2
# First backoff, doubled with each further failure.
MIN_BACKOFF_MS = 2000
MAX_BACKOFF_MS = 16_000
# Penalties in the score of a placement, the first one for each failure.
FAILED_PENALTY = 0.5
BACKOFF_PENALTY = 100.0


class WorkerHealth:
    """Failures of one worker since its last success, and its backoff."""

    __slots__ = ("failures", "backoff_ms", "backoff_until_ms")

    def __init__(self):
        self.failures = 0
        self.backoff_ms = MIN_BACKOFF_MS
        self.backoff_until_ms = 0


class Health:
    """Health of all workers."""

    __slots__ = ("_health_by_worker", "now_ms")

    def __init__(self):
        self._health_by_worker = {}
        self.now_ms = 0

    def record_failure(self, worker, now_ms):
        """Count a failed run, and back off after too many in a row.

        Callers leave out failures of tasks that fail on several workers.
        """
        worker_health = self._health_by_worker.setdefault(worker, WorkerHealth())
        worker_health.failures += 1
        if worker_health.failures >= FAILURES_UNTIL_BACKOFF:
            worker_health.backoff_until_ms = now_ms + worker_health.backoff_ms
            worker_health.backoff_ms = min(2 * worker_health.backoff_ms, MAX_BACKOFF_MS)

    def record_success(self, worker):
        """Reset the failures and the backoff of a worker."""
        self._health_by_worker.pop(worker, None)

    def is_backing_off(self, worker):
        """Return whether a worker is in its backoff."""
        worker_health = self._health_by_worker.get(worker)
        return (
            worker_health is not None and self.now_ms < worker_health.backoff_until_ms
        )

    def penalty(self, worker):
        """Return the penalty of a worker in the score of a placement."""
        worker_health = self._health_by_worker.get(worker)
        if worker_health is None:
            return 0.0
        if self.now_ms < worker_health.backoff_until_ms:
            return BACKOFF_PENALTY
        return FAILED_PENALTY * worker_health.failures
