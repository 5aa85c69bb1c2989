"""Backoff of workers on which runs fail or stand still; soft state of the leader.

It guards against a worker that fails every run: after a few consecutive failures the
worker is chosen last during an exponential backoff. Each further failure starts a
longer backoff; a success ends it.

A suspected worker, on which runs stand still or are slow, gets no starts during its
backoff. On probation after it, the worker gets one run, and twice as many unproven runs
at a time after each success, until enough successes clear it. Time without a fault
counts as well: some runs can't prove anything, and there may be none at all.
"""

import math

FAILURES_UNTIL_BACKOFF = 2
# First backoff, doubled with each further failure.
MIN_BACKOFF_MS = 2000
MAX_BACKOFF_MS = 16_000
# Successes on probation that clear a suspected worker.
SUCCESSES_UNTIL_CLEARED = 4
# This long on probation without a fault counts as a success. The slowest verdict, that
# of an idle persistent run, comes after 3 s.
FAULTLESS_MS = 4000
# Two stuck runs on a worker within this time make it suspected.
STALL_MEMORY_MS = 10_000
# Penalties in the score of a placement, the first one for each failure.
FAILED_PENALTY = 0.5
BACKOFF_PENALTY = 100.0


class WorkerHealth:
    """Failures of one worker since its last success, and its backoff.

    `probe_ms_by_run` is when the unproven runs were assigned to it while suspected.
    `faultless_since_ms` is when its probation began, or a later fault of a probe.
    """

    __slots__ = (
        "failures",
        "backoff_ms",
        "backoff_until_ms",
        "faultless_since_ms",
        "is_suspected",
        "probe_ms_by_run",
        "stalled_at_ms",
        "successes",
    )

    def __init__(self):
        self.failures = 0
        self.backoff_ms = MIN_BACKOFF_MS
        self.backoff_until_ms = 0
        self.faultless_since_ms = 0
        self.is_suspected = False
        self.probe_ms_by_run = {}
        self.stalled_at_ms = -math.inf
        self.successes = 0

    def back_off(self, now_ms):
        """Begin a backoff; the next one will take twice as long."""
        self.backoff_until_ms = now_ms + self.backoff_ms
        self.faultless_since_ms = self.backoff_until_ms
        self.backoff_ms = min(2 * self.backoff_ms, MAX_BACKOFF_MS)
        self.successes = 0

    def confidence(self, now_ms):
        """Return the successes on probation, with those that count for time."""
        faultless_ms = max(now_ms - self.faultless_since_ms, 0)
        return self.successes + faultless_ms // FAULTLESS_MS

    def count_probes(self, now_ms):
        """Return how many unproven runs still keep a place."""
        return sum(
            now_ms - begun_ms < FAULTLESS_MS
            for begun_ms in self.probe_ms_by_run.values()
        )


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
        is_limit_reached = worker_health.failures >= FAILURES_UNTIL_BACKOFF
        if is_limit_reached or worker_health.is_suspected:
            worker_health.back_off(now_ms)

    def record_success(self, worker):
        """Reset the failures and the backoff of a worker that is not suspected.

        A suspected worker may still finish some of the runs that it had before.
        """
        worker_health = self._health_by_worker.get(worker)
        if worker_health is None or worker_health.is_suspected:
            return
        stalled_at_ms = worker_health.stalled_at_ms
        del self._health_by_worker[worker]
        if self.now_ms - stalled_at_ms <= STALL_MEMORY_MS:
            # On some bad workers, only a share of the runs stands still.
            self._health_by_worker[worker] = WorkerHealth()
            self._health_by_worker[worker].stalled_at_ms = stalled_at_ms

    def suspect(self, worker, now_ms):
        """Suspect a worker; return whether that begins a backoff.

        Within the backoff of a suspected worker, nothing changes.
        """
        worker_health = self._health_by_worker.setdefault(worker, WorkerHealth())
        if worker_health.is_suspected and now_ms < worker_health.backoff_until_ms:
            return False
        worker_health.is_suspected = True
        worker_health.back_off(now_ms)
        return True

    def record_stall(self, worker, now_ms):
        """Record one stuck run; return whether it is the second within a short time."""
        worker_health = self._health_by_worker.setdefault(worker, WorkerHealth())
        is_second = now_ms - worker_health.stalled_at_ms <= STALL_MEMORY_MS
        worker_health.stalled_at_ms = now_ms
        return is_second

    @property
    def suspected_ids(self):
        """The suspected workers, as a new set."""
        return {
            worker
            for worker, worker_health in self._health_by_worker.items()
            if worker_health.is_suspected
        }

    def forget(self, worker):
        """Drop what is known about a worker that is gone."""
        self._health_by_worker.pop(worker, None)

    def record_start(self, worker, key):
        """Record that a run was assigned."""
        worker_health = self._health_by_worker.get(worker)
        if worker_health is not None and worker_health.is_suspected:
            worker_health.probe_ms_by_run[key] = self.now_ms

    def record_end(self, worker, key, is_success):
        """Record that a run has ended, or was proven by its progress.

        Returns
        -------
        bool
            Whether this clears the worker of its suspicion.
        """
        worker_health = self._health_by_worker.get(worker)
        if worker_health is None or key not in worker_health.probe_ms_by_run:
            return False
        del worker_health.probe_ms_by_run[key]
        if not is_success or self.now_ms < worker_health.backoff_until_ms:
            return False
        worker_health.successes += 1
        return self._clear_proven(worker)

    def record_probe_fault(self, worker):
        """Record that a probe is stuck or slow, which alone begins no backoff."""
        self._health_by_worker[worker].faultless_since_ms = self.now_ms

    def clear_proven(self):
        """Clear the workers that were on probation for long enough; return them."""
        return [w for w in self.suspected_ids if self._clear_proven(w)]

    def _clear_proven(self, worker):
        worker_health = self._health_by_worker[worker]
        if worker_health.confidence(self.now_ms) < SUCCESSES_UNTIL_CLEARED:
            return False
        del self._health_by_worker[worker]
        return True

    def probe_keys(self, worker):
        """Return the unproven runs of a suspected worker, as a new set."""
        worker_health = self._health_by_worker.get(worker)
        return (
            set(worker_health.probe_ms_by_run) if worker_health is not None else set()
        )

    def start_limit(self, worker):
        """Return how many more runs may start on a worker.

        Examples
        --------
        >>> health = Health()
        >>> health.suspect("a", now_ms=0)
        True
        >>> health.start_limit("a"), health.start_limit("b")
        (0, inf)
        >>> health.now_ms = MIN_BACKOFF_MS
        >>> health.start_limit("a")
        1
        >>> health.now_ms += FAULTLESS_MS
        >>> health.start_limit("a")
        2
        """
        worker_health = self._health_by_worker.get(worker)
        if worker_health is None or not worker_health.is_suspected:
            return math.inf
        if self.now_ms < worker_health.backoff_until_ms:
            return 0
        allowed_count = 2 ** worker_health.confidence(self.now_ms)
        return max(0, allowed_count - worker_health.count_probes(self.now_ms))

    def is_backing_off(self, worker):
        """Return whether a worker is in its backoff, or suspected."""
        worker_health = self._health_by_worker.get(worker)
        return worker_health is not None and (
            worker_health.is_suspected or self.now_ms < worker_health.backoff_until_ms
        )

    def penalty(self, worker):
        """Return the penalty of a worker in the score of a placement."""
        worker_health = self._health_by_worker.get(worker)
        if worker_health is None:
            return 0.0
        if self.now_ms < worker_health.backoff_until_ms:
            return BACKOFF_PENALTY
        return FAILED_PENALTY * (worker_health.failures + worker_health.is_suspected)
