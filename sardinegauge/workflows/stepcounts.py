"""How many tasks of a step each worker has or is promised.

`Step.max_per_worker` limits them. Several modules choose workers, and each of them must
count the promises of the others, so all ask here.
"""

import collections

from sardinegauge.workflows import views


class StepCounts:
    """The tasks of one step by worker, against the limit of the step.

    Counted are runs of all incarnations, planned starts that are not applied yet, room
    reserved by `reservations` and `drainmoves`, and runs that a usable worker still
    reports though the store no longer has them. Without a limit, nothing is counted.

    Parameters
    ----------
    state : schedulerstate.State
    tasks : list of workflow.Task
        All tasks of the step.
    left_out : set of str
        Ids of tasks whose own runs and promises don't count, as they move.
    """

    __slots__ = ("_count_by_worker", "_limit")

    def __init__(self, state, tasks, left_out=frozenset()):
        self._limit = tasks[0].step.max_per_worker
        self._count_by_worker = collections.Counter()
        if self._limit:
            self._count_runs_and_promises(state, tasks, left_out)
            self._count_strays(state, tasks)

    def allows(self, worker):
        """Return whether one more task of the step may be on a worker."""
        return not self._limit or self._count_by_worker[worker] < self._limit

    def is_exceeded(self, worker):
        """Return whether a worker has or is promised more tasks than it may have."""
        return bool(self._limit) and self._count_by_worker[worker] > self._limit

    def remove(self, worker):
        """Count one task of the step less on a worker."""
        if self._limit:
            self._count_by_worker[worker] -= 1

    def add(self, worker):
        """Count one more task of the step on a worker."""
        if self._limit:
            self._count_by_worker[worker] += 1

    def copy(self):
        """Return counts that change independently."""
        counts = StepCounts.__new__(StepCounts)
        counts._limit = self._limit
        counts._count_by_worker = self._count_by_worker.copy()
        return counts

    def _count_runs_and_promises(self, state, tasks, left_out):
        moved = state.drain_moves.reserved_workers()
        planned = state.worker_by_planned_task
        reserved = state.reservation_by_task
        for task in tasks:
            if task.id in left_out:
                continue
            workers = [run.worker for run in task.runs]
            promised = {moved.get(task.id), planned.get(task.id)}
            if task.id in reserved:
                promised.add(reserved[task.id].worker)
            for worker in promised:
                # The task's own run there ends before the promise is kept.
                if worker is not None and worker not in workers:
                    workers.append(worker)
            for worker in workers:
                self._count_by_worker[worker] += 1

    def _count_strays(self, state, tasks):
        step_id = tasks[0].id.rpartition(".")[0]
        for worker, step_ids in state.candidates.stray_steps_by_worker.items():
            self._count_by_worker[worker] += step_ids.count(step_id)


def find_strays(view, runs):
    """Return the keys of the reported runs that the store no longer has.

    Parameters
    ----------
    view : views.WorkerView
    runs : dict
        The store's runs of the incarnation by key.
    """
    return [
        key
        for key, reported in view.runs.items()
        if key not in runs and reported.phase != views.GONE
    ]
