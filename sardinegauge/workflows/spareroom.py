"""Room on healthy workers for runs that are about to be stopped elsewhere."""

from sardinegauge.workflows import besteffort
from sardinegauge.workflows.policies import stragglers

# Share of its cores that a best-effort task must find idle.
MIN_IDLE_SHARE = 0.5
RESTART_REASONS = frozenset({stragglers.STUCK, stragglers.SLOW, stragglers.IDLE})


class SpareRooms:
    """The free resources of the workers that are neither backing off nor suspected.

    Room is reserved at once for the tasks of runs that were stopped before and have not
    ended yet.
    """

    __slots__ = ("_candidates", "_is_full")

    def __init__(self, state):
        self._candidates = [
            candidate
            for candidate in state.candidates.find_usable(state, state.now_ms)
            if not state.health.is_backing_off(candidate.view.id)
        ]
        self._is_full = set()
        for (task_id, run_number), reason in state.stop_reason_by_run.items():
            workflow, _, task = state.store.find_task(task_id)
            if reason not in RESTART_REASONS or task is None or not workflow.is_open:
                continue
            for run in task.runs:
                if run.number == run_number:
                    pool = state.store.queue_of(workflow).pool
                    self.reserve(pool, task.step, run.worker)

    def reserve(self, pool, step, worker):
        """Reserve room on another worker than this one; return whether there is any."""
        kind = (pool, step.required_label, step.is_filler, step.image)
        kind += (step.cpu_millis, step.memory_mb, step.accelerators)
        if kind in self._is_full:
            return False
        suitable = [c for c in self._candidates if _is_suitable(c, pool, step)]
        if not suitable:
            self._is_full.add(kind)
        for candidate in suitable:
            if candidate.view.id != worker:
                candidate.reserve(step)
                return True
        return False


def _is_suitable(candidate, pool, step):
    label = step.required_label
    if candidate.view.pool != pool or (label and label not in candidate.view.labels):
        return False
    if not candidate.fits(step):
        return False
    return not step.is_filler or (
        candidate.idle_millis >= MIN_IDLE_SHARE * step.cpu_millis
        and candidate.headroom(step) > besteffort.MIN_MOVE_HEADROOM
    )
