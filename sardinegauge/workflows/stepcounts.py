"""How many tasks of a step each worker has or is promised.

`Step.max_per_worker` limits them. Several modules choose workers, and each of them must
count the promises of the others, so all ask here.
"""

import collections

from sardinegauge.workflows import decisions, views


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
        Ids of tasks whose own runs and promises don't count, as they move or as the
        caller is about to use the promise.
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
        for task in tasks:
            if task.id in left_out:
                continue
            workers = [run.worker for run in task.runs]
            reservation = state.reservation_by_task.get(task.id)
            promised = {
                moved.get(task.id),
                state.worker_by_planned_task.get(task.id),
                reservation.worker if reservation is not None else None,
            }
            # The task's own run there ends before the promise is kept.
            workers += promised.difference(workers, [None])
            self._count_by_worker.update(workers)

    def _count_strays(self, state, tasks):
        step_id = tasks[0].id.rpartition(".")[0]
        for worker, step_ids in state.candidates.stray_steps_by_worker.items():
            self._count_by_worker[worker] += step_ids.count(step_id)


def reason_against(state, workflow, task, view, counts):
    """Return why a promised start may not be on its worker any more, or "".

    Pool, label and limit hold when the worker is chosen, and may not when its room
    becomes free. `counts` are the `StepCounts` without the promise itself.
    """
    if view.pool != state.store.queue_of(workflow).pool:
        return decisions.POOL
    label = task.step.required_label
    if label and label not in view.labels:
        return decisions.LABEL
    return "" if counts.allows(view.id) else decisions.LIMIT


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
