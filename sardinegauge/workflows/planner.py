"""Planner of assignments from the store and the soft state.

Its only side effect is to request missing tickets.
"""

from sardinegauge.workflows import ordering as ordering_module
from sardinegauge.workflows import placement as placement_module
from sardinegauge.workflows import views

# Assignments in one plan after which no further step is planned, so that the command
# stays small.
MAX_ASSIGNMENTS = 400


class Planner:
    """Assigns waiting tasks to workers with free resources.

    Parameters
    ----------
    ordering : ordering.Ordering
    place : placement.PlacementPolicy
    """

    def __init__(self, ordering=None, placement=None):
        self.ordering = ordering or ordering_module.ByRemainingWork()
        self.placement = placement or placement_module.SeparatingPlacement()

    def plan(self, state, now_ms, wall_ms):
        """Return rows of `commands.AssignRuns` for the tasks that start now."""
        candidates = _candidates(state, now_ms)
        if not candidates:
            return []
        assignments = []
        for workflow, occurrence, position in self._waiting_steps(state, wall_ms):
            assignments += self._plan_step(
                state, workflow, occurrence, position, candidates
            )
            if len(assignments) >= MAX_ASSIGNMENTS:
                break
        return assignments

    def _candidates_with_ticket(self, state, task, advice, matching):
        """Return the candidates with a ticket, and request the missing tickets."""
        step = task.id.rpartition(".")[0]
        decisions = state.advice_tracker
        allowed = [
            candidate
            for candidate in matching
            if not decisions.is_refused(
                step, candidate.view.id, candidate.view.incarnation
            )
        ]
        allowed.sort(key=lambda c: self.placement.score(task.step, c, ()), reverse=True)
        decisions.request_tickets(
            step,
            [(c.view.id, c.view.incarnation, c.free.fits(task.step)) for c in allowed],
            advice,
            state.now_ms,
        )
        return [
            candidate
            for candidate in allowed
            if decisions.ticket(
                step, candidate.view.id, candidate.view.incarnation, state.now_ms
            )
        ]

    def _waiting_steps(self, state, wall_ms):
        """Return the steps with waiting tasks in the order of assignment."""
        ready_steps = []
        for workflow_id in state.store.open_ids:
            workflow = state.store.workflow_by_id[workflow_id]
            queue = state.store.queue_of(workflow)
            for occurrence in workflow.due_occurrences(wall_ms):
                sort_key = self.ordering.key(workflow, queue, occurrence, wall_ms)
                for position, left in enumerate(occurrence.remaining_by_step):
                    if left and occurrence.is_step_ready(position):
                        ready_steps.append((sort_key, workflow, occurrence, position))
        ready_steps.sort(key=lambda ready_step: ready_step[0])
        return [
            (workflow, occurrence, position)
            for _, workflow, occurrence, position in ready_steps
        ]

    def _plan_step(self, state, workflow, occurrence, position, candidates):
        tasks = occurrence.tasks_by_step[position]
        waiting = [
            task
            for task in tasks
            if not task.is_done
            and not task.runs
            and task.id not in state.worker_by_planned_task
        ]
        if not waiting:
            return []
        step = tasks[0].step
        queue = state.store.queue_of(workflow)
        matching = [
            candidate
            for candidate in candidates
            if candidate.view.pool == queue.pool
            and (
                not step.required_label or step.required_label in candidate.view.labels
            )
        ]
        if queue.advice is not None:
            matching = self._candidates_with_ticket(
                state, waiting[0], queue.advice, matching
            )
        count_by_worker = (
            _count_runs_by_worker(tasks, state) if step.max_per_worker else {}
        )
        if step.is_gang:
            return self._plan_gang(
                state, tasks, waiting, step, matching, count_by_worker
            )
        assignments = []
        for task in waiting:
            chosen = self._choose(state, task, step, matching, count_by_worker)
            if chosen is None:
                break
            _reserve(chosen, step, count_by_worker)
            assignments.append(
                [task.id, task.last_run + 1, chosen.view.id, chosen.view.incarnation]
            )
        return assignments

    def _choose(self, state, task, step, candidates, count_by_worker):
        eligible = [
            candidate
            for candidate in candidates
            if candidate.free.fits(step)
            and not self._is_refused(state, task, candidate)
            and (
                not step.max_per_worker
                or count_by_worker.get(candidate.view.id, 0) < step.max_per_worker
            )
        ]
        if not eligible:
            return None
        avoided = set(state.failed_workers_by_task.get(task.id, ()))
        if task.id in state.moved_from_by_task:
            avoided.add(state.moved_from_by_task[task.id])
        return self.placement.choose(step, task, eligible, avoided)

    def _is_refused(self, state, task, candidate):
        expires_ms = state.refused_until_ms.get((task.id, candidate.view.id), 0)
        return state.now_ms < expires_ms

    def _plan_gang(self, state, tasks, waiting, step, candidates, count_by_worker):
        """Place all members or none, in one rack if the step is rack-sensitive.

        If no single rack has room, the gang spans racks.
        """
        if len(waiting) < len(tasks):
            return []
        number = max(task.last_run for task in tasks) + 1
        groups = [candidates]
        if step.is_rack_sensitive:
            racks = sorted({candidate.view.rack for candidate in candidates})
            groups = [
                [c for c in candidates if c.view.rack == rack] for rack in racks
            ] + groups
        for group in groups:
            chosen = self._fit_gang(state, waiting, step, group, count_by_worker)
            if chosen:
                for candidate in chosen:
                    _reserve(candidate, step, count_by_worker)
                return [
                    [task.id, number, candidate.view.id, candidate.view.incarnation]
                    for task, candidate in zip(waiting, chosen)
                ]
        return []

    def _fit_gang(self, state, waiting, step, group, count_by_worker):
        """Return a worker for each member, an empty list if one does not fit."""
        free_by_worker = {c.view.id: c.free.replace() for c in group}
        count_by_worker = dict(count_by_worker)
        chosen = []
        for task in waiting:
            candidate = self._choose(state, task, step, group, count_by_worker)
            if candidate is None:
                break
            candidate.free.reserve(step)
            count_by_worker[candidate.view.id] = (
                count_by_worker.get(candidate.view.id, 0) + 1
            )
            chosen.append(candidate)
        for candidate in group:
            candidate.free = free_by_worker[candidate.view.id]
        return chosen if len(chosen) == len(waiting) else []


def _reserve(candidate, step, count_by_worker):
    candidate.reserve(step)
    count_by_worker[candidate.view.id] = count_by_worker.get(candidate.view.id, 0) + 1


def _count_runs_by_worker(tasks, state):
    """Return the number of runs of a step by worker, including planned ones."""
    count_by_worker = {}
    for task in tasks:
        for run in task.runs:
            count_by_worker[run.worker] = count_by_worker.get(run.worker, 0) + 1
        planned = state.worker_by_planned_task.get(task.id)
        if planned is not None:
            count_by_worker[planned] = count_by_worker.get(planned, 0) + 1
    return count_by_worker


def _candidates(state, now_ms):
    """Return the workers that may start runs, with their free resources."""
    candidates = []
    for view in state.view_by_id.values():
        if not view.may_start(now_ms):
            continue
        if view.incarnation != state.registered_incarnation(view.id):
            continue
        candidates.append(_candidate(state, view))
    candidate_by_worker = {candidate.view.id: candidate for candidate in candidates}
    for task_id, worker in state.worker_by_planned_task.items():
        candidate = candidate_by_worker.get(worker)
        _, _, task = state.store.find_task(task_id)
        if candidate is not None and task is not None:
            candidate.reserve(task.step)
    return candidates


def _candidate(state, view):
    free = view.capacity.replace()
    penalty = state.health.penalty(view.id)
    candidate = placement_module.Candidate(view, free, state.interference, penalty)
    runs = state.store.runs_of(view.id, view.incarnation)
    for key, task in runs.items():
        # The resources of a run are free once the agent reports its end.
        if key not in view.ended:
            candidate.reserve(task.step, key)
    for key, reported in view.runs.items():
        if key not in runs and reported.phase != views.GONE:
            task_id, _ = key
            _, _, task = state.store.find_task(task_id)
            if task is not None:
                candidate.reserve(task.step)
    return candidate
