"""The workers that may start runs, with their free resources.

A candidate is built from the report of its worker and from the store, and kept until
one of them changes. At 160 workers a plan follows about five reports, so nearly all
candidates of a plan are those of the plan before.
"""

from sardinegauge.workflows import placement, reservations, stepcounts

# Limit of the runs of one worker, whose rows must fit one report.
MAX_RUNS = 1500


class _Entry:
    """A candidate, and the versions of what it was built from."""

    __slots__ = ("candidate", "run_changes", "update_count", "view")

    def __init__(self, candidate, view, run_changes):
        self.candidate = candidate
        self.view = view
        self.update_count = view.update_count
        self.run_changes = run_changes

    def is_current(self, view, run_changes):
        """Return whether neither the view nor the runs of the worker have changed."""
        return (
            self.view is view
            and self.update_count == view.update_count
            and self.run_changes == run_changes
            and not self.candidate.reservation_count
        )


class CandidateIndex:
    """The candidates of all workers by worker.

    `stray_steps_by_worker` holds the step ids of the runs that a worker reports though
    the store no longer has them, one for each run.
    """

    __slots__ = ("_entry_by_worker", "stray_steps_by_worker")

    def __init__(self):
        self._entry_by_worker = {}
        self.stray_steps_by_worker = {}

    def find_usable(self, state, now_ms):
        """Return the candidates of the workers that may start runs now.

        Workers in drained failure domains are left out. The resources of planned
        assignments, of `reservations` and of moves out of drained domains are reserved.

        Parameters
        ----------
        state : schedulerstate.State
        now_ms : int

        Returns
        -------
        list of placement.Candidate
        """
        candidates = [
            self._candidate(state, view)
            for view in state.view_by_id.values()
            if view.may_start(now_ms)
            and view.incarnation == state.registered_incarnation(view.id)
            and view.failure_domain not in state.domain_drains
        ]
        reserved = state.drain_moves.reserved_workers()
        if state.worker_by_planned_task or reserved:
            _reserve_planned(state, candidates, reserved)
        reservations.keep_room(state, candidates)
        if len(self._entry_by_worker) > len(state.view_by_id):
            for worker in self._entry_by_worker.keys() - state.view_by_id.keys():
                del self._entry_by_worker[worker]
                self.stray_steps_by_worker.pop(worker, None)
        return candidates

    def _candidate(self, state, view):
        run_changes = state.store.run_changes_by_worker.get(view.id, 0)
        entry = self._entry_by_worker.get(view.id)
        if entry is None or not entry.is_current(view, run_changes):
            entry = _Entry(build(state, view), view, run_changes)
            self._entry_by_worker[view.id] = entry
            self._record_strays(state, view)
        cold_penalty = placement.cold_penalty(view.cold_left_ms(state.now_ms))
        entry.candidate.penalty = state.health.penalty(view.id) + cold_penalty
        run_count = len(state.store.runs_of(view.id, view.incarnation))
        entry.candidate.start_limit = min(
            state.health.start_limit(view.id), max(MAX_RUNS - run_count, 0)
        )
        return entry.candidate

    def _record_strays(self, state, view):
        runs = state.store.runs_of(view.id, view.incarnation)
        strays = stepcounts.find_strays(view, runs)
        self.stray_steps_by_worker.pop(view.id, None)
        if strays:
            step_ids = [task_id.rpartition(".")[0] for task_id, _ in strays]
            self.stray_steps_by_worker[view.id] = step_ids


def build(state, view):
    """Return the candidate of a worker, without planned assignments."""
    free = view.capacity.replace()
    candidate = placement.Candidate(view, free, state.interference)
    runs = state.store.runs_of(view.id, view.incarnation)
    for key, task in runs.items():
        # The resources of a run are free once the agent reports its end.
        if key not in view.ended:
            candidate.reserve(task.step, key)
    for key in stepcounts.find_strays(view, runs):
        task_id, _ = key
        _, _, task = state.store.find_task(task_id)
        if task is not None:
            candidate.reserve(task.step, key)
    candidate.reservation_count = 0
    return candidate


def _reserve_planned(state, candidates, reserved):
    candidate_by_worker = {candidate.view.id: candidate for candidate in candidates}
    for task_id, worker in {**reserved, **state.worker_by_planned_task}.items():
        candidate = candidate_by_worker.get(worker)
        _, _, task = state.store.find_task(task_id)
        if candidate is not None and task is not None:
            candidate.reserve(task.step)
