"""Limits of displacements; made for loads in which many urgent tasks wait at once.

Without them, a burst of urgent tasks or a lost failure domain could stop most
best-effort work at once.
"""

import collections

# Displaced runs a second in the fleet. The loss of 17 workers with three
# latency-critical tasks each, with two runs displaced for each task, is made up in 5 s.
MAX_PER_SECOND = 20
# Displacements of a task in its life, so that it ends in spite of urgent work.
MAX_PER_TASK = 2
# Pause before the next displacement on a worker: until the stops of the former one are
# confirmed and its task has started, the room of the worker is uncertain.
PAUSE_MS = 1000
WINDOW_MS = 1000


class DisplacementLimits:
    """Counts displacements, and tells how many more are allowed.

    `count_by_task` holds how many times each task was displaced.

    Examples
    --------
    >>> limits = DisplacementLimits(max_per_second=2)
    >>> limits.record("a", ["w.0.0.0"], 1000)
    >>> limits.allowance(1500), limits.allowance(2000)
    (1, 2)
    >>> limits.is_paused("a", 1500), limits.is_paused("a", 2000)
    (True, False)
    """

    __slots__ = (
        "_end_ms_by_paused_worker",
        "_recent_ms",
        "count_by_task",
        "max_per_second",
        "pause_ms",
    )

    def __init__(self, max_per_second=MAX_PER_SECOND, pause_ms=PAUSE_MS):
        self.max_per_second = max_per_second
        self.pause_ms = pause_ms
        self.count_by_task = {}
        self._recent_ms = collections.deque()
        self._end_ms_by_paused_worker = {}

    def allowance(self, now_ms):
        """Return how many runs may be displaced now."""
        while self._recent_ms and now_ms - self._recent_ms[0] >= WINDOW_MS:
            self._recent_ms.popleft()
        return self.max_per_second - len(self._recent_ms)

    def is_paused(self, worker, now_ms):
        """Return whether a worker is in its pause after a displacement."""
        return now_ms < self._end_ms_by_paused_worker.get(worker, 0)

    def record(self, worker, task_ids, now_ms):
        """Count the displacement of tasks from a worker."""
        self._end_ms_by_paused_worker[worker] = now_ms + self.pause_ms
        for task_id in task_ids:
            self._recent_ms.append(now_ms)
            self.count_by_task[task_id] = self.count_by_task.get(task_id, 0) + 1

    def expire(self, now_ms, is_known):
        """Drop the pauses that have ended, and the counts of unknown tasks."""
        for worker, end_ms in list(self._end_ms_by_paused_worker.items()):
            if now_ms >= end_ms:
                del self._end_ms_by_paused_worker[worker]
        for task_id in [id for id in self.count_by_task if not is_known(id)]:
            del self.count_by_task[task_id]
