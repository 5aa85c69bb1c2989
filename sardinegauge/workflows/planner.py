"""Planner of assignments from the store and the soft state.

It is made for many workers and few waiting steps at a time: a plan without waiting
tasks looks at no worker, and each step scores each worker once, not once a task. Its
only side effect is to request missing tickets.
"""

import collections
import heapq

from sardinegauge.workflows import decisions, reservations, stepcounts
from sardinegauge.workflows import isolation as isolation_module
from sardinegauge.workflows import ordering as ordering_module
from sardinegauge.workflows import placement as placement_module

# Assignments in one plan after which no further step is planned, so that the command
# stays small.
MAX_ASSIGNMENTS = 400


class Planner:
    """Assigns waiting tasks to workers with free resources.

    `waiting_steps` are those with waiting tasks before the last plan, in its order.

    Parameters
    ----------
    ordering : ordering.Ordering
    place : placement.PlacementPolicy
    """

    def __init__(self, ordering=None, placement=None):
        self.ordering = ordering or ordering_module.ByRemainingWork()
        self.placement = placement or placement_module.SeparatingPlacement()
        self.waiting_steps = []

    def plan(self, state, now_ms, wall_ms):
        """Return rows of `commands.AssignRuns` for the tasks that start now."""
        waiting_steps = self.waiting_steps = self._waiting_steps(state, wall_ms)
        if not waiting_steps:
            return []
        usable = state.candidates.find_usable(state, now_ms)
        isolation = isolation_module.IsolationPlan(state, usable)
        offer = _Offer(
            [c for c in usable if c.view.id not in state.isolation.probe_by_worker],
            isolation,
        )
        if not offer.candidates:
            return []
        assignments = self._plan_suspects(state, waiting_steps, offer)
        assignments += reservations.assign(state, offer)
        for workflow, occurrence, position in waiting_steps:
            assignments += self._plan_step(state, workflow, occurrence, position, offer)
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
            task.step.gang_size,
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
        planned_count_by_step = collections.Counter(
            task_id.rpartition(".")[0] for task_id in state.worker_by_planned_task
        )
        waiting = []
        for workflow_id in state.store.open_ids:
            workflow = state.store.workflow_by_id[workflow_id]
            for occurrence in workflow.due_occurrences(wall_ms):
                positions = _waiting_positions(
                    workflow, occurrence, planned_count_by_step
                )
                if positions:
                    self.ordering.observe(workflow, occurrence)
                    waiting.append((workflow, occurrence, positions))

        def sort_key(row):
            workflow, occurrence, _ = row
            queue = state.store.queue_of(workflow)
            return self.ordering.key(workflow, queue, occurrence, wall_ms)

        waiting.sort(key=sort_key)
        return [
            (workflow, occurrence, position)
            for workflow, occurrence, positions in waiting
            for position in positions
        ]

    def _plan_step(self, state, workflow, occurrence, position, offer):
        tasks = occurrence.tasks_by_step[position]
        step = tasks[0].step
        queue = state.store.queue_of(workflow)
        if offer.is_exhausted(queue.pool, step):
            return []
        waiting = [
            task
            for task in _waiting_tasks(state, tasks)
            if step.is_gang or not task.crashes
        ]
        if not waiting:
            return []
        matching = self._find_matching(state, queue, waiting[0], offer)
        matching = offer.find_open(matching)
        counts = stepcounts.StepCounts(state, tasks)
        if step.is_gang:
            if any(task.id in state.crashes.undecided_ms_by_task for task in waiting):
                return []
            return self._plan_gang(state, tasks, waiting, step, matching, counts)
        ranking = _Ranking(self.placement, step, matching, counts)
        assignments = []
        for task in waiting:
            chosen = self._choose(state, task, step, ranking)
            if chosen is None:
                is_limited = queue.advice is not None or step.max_per_worker
                if not is_limited and ranking.best() is None:
                    offer.record_exhausted(queue.pool, step)
                break
            ranking.reserve(chosen)
            assignments.append(_assignment(task, chosen))
        return assignments

    def _find_matching(self, state, queue, task, offer):
        """Return the candidates of a task's pool and label, with a ticket if needed."""
        matching = offer.find_matching(queue.pool, task.step.required_label)
        if queue.advice is None:
            return matching
        return self._candidates_with_ticket(state, task, queue.advice, matching)

    def _plan_suspects(self, state, waiting_steps, offer):
        """Return the rows for suspected tasks.

        They choose first, as any other start makes a worker unfit for isolation.
        """
        suspected_steps = {
            task_id.rpartition(".")[0] for task_id in state.store.suspected_ids
        }
        if not suspected_steps:
            return []
        assignments = []
        for workflow, occurrence, position in waiting_steps:
            tasks = occurrence.tasks_by_step[position]
            step = tasks[0].step
            step_id = f"{workflow.id}.{occurrence.number}.{position}"
            if step.is_gang or step_id not in suspected_steps:
                continue
            suspects = [
                task
                for task in _waiting_tasks(state, tasks)
                if task.crashes and task.id not in state.crashes.undecided_ms_by_task
            ]
            if not suspects:
                continue
            queue = state.store.queue_of(workflow)
            matching = self._find_matching(state, queue, suspects[0], offer)
            counts = stepcounts.StepCounts(state, tasks)
            for task in suspects:
                chosen = self._isolate(state, task, matching, counts, offer)
                if chosen is not None:
                    chosen.reserve(step)
                    state.record_planned(task.id, chosen.view.id, decisions.ISOLATION)
                    assignments.append(_assignment(task, chosen))
        return assignments

    def _isolate(self, state, task, matching, counts, offer):
        """Return the candidate on which a suspected task starts alone, or None."""
        step = task.step
        eligible = [
            candidate
            for candidate in matching
            if candidate.fits(step)
            and not self._is_refused(state, task, candidate)
            and counts.allows(candidate.view.id)
        ]
        avoided = state.failed_workers_by_task.get(task.id, ())
        chosen = offer.isolation.choose(
            task, eligible, lambda c: self.placement.score(step, c, avoided)
        )
        if chosen is not None:
            counts.add(chosen.view.id)
        return chosen

    def _choose(self, state, task, step, ranking):
        """Return the best candidate for a task, or None if it fits on none."""
        avoided = set(state.failed_workers_by_task.get(task.id, ()))
        if task.id in state.moved_from_by_task:
            avoided.add(state.moved_from_by_task[task.id])
        is_refused_anywhere = any(
            task_id == task.id for task_id, _ in state.refused_until_ms
        )
        if not avoided and not is_refused_anywhere:
            return ranking.best()
        eligible = [
            candidate
            for candidate in ranking.candidates
            if ranking.fits(candidate) and not self._is_refused(state, task, candidate)
        ]
        if not eligible:
            return None
        return max(eligible, key=lambda c: self.placement.score(step, c, avoided))

    def _is_refused(self, state, task, candidate):
        expires_ms = state.refused_until_ms.get((task.id, candidate.view.id), 0)
        return state.now_ms < expires_ms

    def _plan_gang(self, state, tasks, waiting, step, candidates, counts):
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
            chosen = self._fit_gang(state, waiting, step, group, counts)
            if chosen:
                for candidate in chosen:
                    candidate.reserve(step)
                return [
                    [task.id, number, candidate.view.id, candidate.view.incarnation]
                    for task, candidate in zip(waiting, chosen)
                ]
        return []

    def _fit_gang(self, state, waiting, step, group, counts):
        """Return a worker for each member, an empty list if one does not fit."""
        free_by_worker = {c.view.id: c.free.replace() for c in group}
        ranking = _Ranking(self.placement, step, group, counts.copy())
        chosen = []
        for task in waiting:
            candidate = self._choose(state, task, step, ranking)
            if candidate is None:
                break
            # Only the resources are reserved, and given back below: the candidate
            # stays as it was if another member does not fit.
            candidate.free.reserve(step)
            ranking.count(candidate)
            chosen.append(candidate)
        for candidate in group:
            candidate.free = free_by_worker[candidate.view.id]
        return chosen if len(chosen) == len(waiting) else []


class _Offer:
    """The candidates of one plan, and the sizes of tasks that fit on none of them.

    Resources only shrink during a plan, so once a task fits nowhere, no task of at
    least its size does. This bounds the work in an overload with many waiting steps.
    """

    __slots__ = (
        "_exhausted_steps_by_group",
        "_matching_by_group",
        "candidates",
        "isolation",
    )

    def __init__(self, candidates, isolation):
        self.candidates = candidates
        self.isolation = isolation
        self._matching_by_group = {}
        self._exhausted_steps_by_group = {}

    def find_matching(self, pool, label):
        """Return the candidates of a pool with a label, or all with an empty one."""
        matching = self._matching_by_group.get((pool, label))
        if matching is None:
            matching = self._matching_by_group[pool, label] = [
                candidate
                for candidate in self.candidates
                if candidate.view.pool == pool
                and (not label or label in candidate.view.labels)
            ]
        return matching

    def find_open(self, candidates):
        """Return the candidates that are not kept for suspected tasks."""
        closed_ids = self.isolation.closed_ids
        if not closed_ids:
            return candidates
        return [c for c in candidates if c.view.id not in closed_ids]

    def record_exhausted(self, pool, step):
        """Record that a task of the step fits on no matching candidate."""
        group = (pool, step.required_label)
        self._exhausted_steps_by_group.setdefault(group, []).append(step)

    def is_exhausted(self, pool, step):
        """Return whether a task of the step is known to fit on no candidate."""
        return any(
            _is_at_least(step, other)
            for other in self._exhausted_steps_by_group.get(
                (pool, step.required_label), ()
            )
        )


def _is_at_least(step, other):
    """Return whether a step's tasks need all the resources of another step's tasks."""
    needs_cores = other.is_filler or (
        not step.is_filler and step.cpu_millis >= other.cpu_millis
    )
    return (
        needs_cores
        and step.memory_mb >= other.memory_mb
        and step.accelerators >= other.accelerators
    )


class _Ranking:
    """The candidates for the tasks of one step, the best first.

    A reservation changes the score of its candidate only, so that all other scores stay
    valid. `counts` are the `stepcounts.StepCounts` of the step.
    """

    __slots__ = ("_counts", "_heap", "_policy", "_step", "candidates")

    def __init__(self, policy, step, candidates, counts):
        self._policy = policy
        self._step = step
        self.candidates = candidates
        self._counts = counts
        self._heap = None

    def fits(self, candidate):
        """Return whether one more task of the step fits on a candidate."""
        return candidate.fits(self._step) and self._counts.allows(candidate.view.id)

    def best(self):
        """Return the candidate with the highest score, or None if none fits."""
        if self._heap is None:
            self._heap = [
                self._item(position)
                for position, candidate in enumerate(self.candidates)
                if self.fits(candidate)
            ]
            heapq.heapify(self._heap)
        while self._heap:
            _, position, reservation_count = self._heap[0]
            candidate = self.candidates[position]
            if not self.fits(candidate):
                heapq.heappop(self._heap)
            elif reservation_count != candidate.reservation_count:
                heapq.heapreplace(self._heap, self._item(position))
            else:
                return candidate
        return None

    def _item(self, position):
        candidate = self.candidates[position]
        score = self._policy.score(self._step, candidate, ())
        return (-score, position, candidate.reservation_count)

    def reserve(self, candidate):
        """Reserve the resources of one task of the step on a candidate."""
        candidate.reserve(self._step)
        self.count(candidate)

    def count(self, candidate):
        """Count one more run of the step on a candidate's worker."""
        self._counts.add(candidate.view.id)


def _assignment(task, candidate):
    """Return the row of `commands.AssignRuns` for the next run of a task."""
    view = candidate.view
    return [task.id, task.last_run + 1, view.id, view.incarnation]


def _waiting_tasks(state, tasks):
    return [
        task
        for task in tasks
        if not task.is_done
        and not task.runs
        and task.id not in state.worker_by_planned_task
    ]


def _waiting_positions(workflow, occurrence, planned_count_by_step):
    """Return the ready steps of an occurrence that have tasks to assign."""
    return [
        position
        for position, waiting_count in enumerate(occurrence.waiting_by_step)
        if waiting_count
        and waiting_count
        > planned_count_by_step.get(f"{workflow.id}.{occurrence.number}.{position}", 0)
        and occurrence.is_step_ready(position)
    ]
