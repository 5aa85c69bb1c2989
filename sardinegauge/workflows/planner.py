"""Plans which waiting tasks start where; pure, from the store and the views."""

from sardinegauge.workflows import ordering, placing, views

# Tasks assigned in one plan, so that one command stays small.
MAX_ROWS = 400


class Planner:
    """Assigns waiting tasks to workers with room.

    Parameters
    ----------
    order : ordering.Ordering
    place : placing.Placing
    """

    def __init__(self, order=None, place=None):
        self.order = order or ordering.ByRest()
        self.place = place or placing.Sorted()

    def plan(self, state, now_ms, wall_ms):
        """Return rows of `commands.AssignRuns` for the tasks that start now."""
        candidates = _candidates(state, now_ms)
        if not candidates:
            return []
        rows = []
        for item, occurrence, position in self._waiting_steps(state, wall_ms):
            rows += self._plan_step(state, item, occurrence, position, candidates)
            if len(rows) >= MAX_ROWS:
                break
        return rows

    def _advised(self, state, task, advice, fitting):
        """Return the candidates with a ticket, and ask for tickets that are missing."""
        step = task.id.rpartition(".")[0]
        known = state.advising
        allowed = [
            candidate
            for candidate in fitting
            if not known.is_refused(step, candidate.view.id, candidate.view.life)
        ]
        allowed.sort(key=lambda c: self.place.score(task.step, c, ()), reverse=True)
        known.want(
            step,
            [(c.view.id, c.view.life, c.free.fits(task.step)) for c in allowed],
            advice,
            state.now_ms,
        )
        return [
            candidate
            for candidate in allowed
            if known.ticket(step, candidate.view.id, candidate.view.life, state.now_ms)
        ]

    def _waiting_steps(self, state, wall_ms):
        """Return the steps with waiting tasks, the first to get room first."""
        found = []
        for item_id in state.store.open_ids:
            item = state.store.workflow_by_id[item_id]
            queue = state.store.queue_of(item)
            for occurrence in item.due_occurrences(wall_ms):
                key = self.order.key(item, queue, occurrence, wall_ms)
                for position, left in enumerate(occurrence.left_by_step):
                    if left and occurrence.is_open(position):
                        found.append((key, item, occurrence, position))
        found.sort(key=lambda entry: entry[0])
        return [entry[1:] for entry in found]

    def _plan_step(self, state, item, occurrence, position, candidates):
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
        queue = state.store.queue_of(item)
        fitting = [
            candidate
            for candidate in candidates
            if candidate.view.pool == queue.pool
            and (
                not step.required_label or step.required_label in candidate.view.labels
            )
        ]
        if queue.advice is not None:
            fitting = self._advised(state, waiting[0], queue.advice, fitting)
        counts = _counts_by_worker(tasks, state) if step.max_per_worker else {}
        if step.is_gang:
            return self._plan_gang(state, tasks, waiting, step, fitting, counts)
        rows = []
        for task in waiting:
            chosen = self._choose(state, task, step, fitting, counts)
            if chosen is None:
                break
            _take(chosen, step, counts)
            rows.append([task.id, task.last_run + 1, chosen.view.id, chosen.view.life])
        return rows

    def _choose(self, state, task, step, candidates, counts):
        able = [
            candidate
            for candidate in candidates
            if candidate.free.fits(step)
            and not self._is_refused(state, task, candidate)
            and (
                not step.max_per_worker
                or counts.get(candidate.view.id, 0) < step.max_per_worker
            )
        ]
        if not able:
            return None
        avoided = set(state.failed_workers_by_task.get(task.id, ()))
        if task.id in state.moved_from_by_task:
            avoided.add(state.moved_from_by_task[task.id])
        return self.place.choose(step, task, able, avoided)

    def _is_refused(self, state, task, candidate):
        expires_ms = state.refused_until_ms.get((task.id, candidate.view.id), 0)
        return state.now_ms < expires_ms

    def _plan_gang(self, state, tasks, waiting, step, candidates, counts):
        """Place all members at once or none; in one rack where that matters."""
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
                    _take(candidate, step, counts)
                return [
                    [task.id, number, candidate.view.id, candidate.view.life]
                    for task, candidate in zip(waiting, chosen)
                ]
        return []

    def _fit_gang(self, state, waiting, step, group, counts):
        """Return a worker for each member, or nothing if one finds no room."""
        free_before = {c.view.id: c.free.replace() for c in group}
        counts = dict(counts)
        chosen = []
        for task in waiting:
            candidate = self._choose(state, task, step, group, counts)
            if candidate is None:
                break
            candidate.free.take(step)
            counts[candidate.view.id] = counts.get(candidate.view.id, 0) + 1
            chosen.append(candidate)
        for candidate in group:
            candidate.free = free_before[candidate.view.id]
        return chosen if len(chosen) == len(waiting) else []


def _take(candidate, step, counts):
    candidate.take(step)
    counts[candidate.view.id] = counts.get(candidate.view.id, 0) + 1


def _counts_by_worker(tasks, state):
    """Return how many runs of a step each worker has, planned ones included."""
    counts = {}
    for task in tasks:
        for run in task.runs:
            counts[run.worker] = counts.get(run.worker, 0) + 1
        planned = state.worker_by_planned_task.get(task.id)
        if planned is not None:
            counts[planned] = counts.get(planned, 0) + 1
    return counts


def _candidates(state, now_ms):
    """Return the workers that take new work, with the room they have left."""
    found = []
    for view in state.view_by_id.values():
        if not view.may_start(now_ms):
            continue
        if view.life != state.registered_life(view.id):
            continue
        found.append(_candidate(state, view))
    by_worker = {candidate.view.id: candidate for candidate in found}
    for task_id, worker in state.worker_by_planned_task.items():
        candidate = by_worker.get(worker)
        _, _, task = state.store.find_task(task_id)
        if candidate is not None and task is not None:
            candidate.take(task.step)
    return found


def _candidate(state, view):
    free = view.capacity.replace()
    penalty = state.health.penalty(view.id)
    candidate = placing.Candidate(view, free, state.sharing, penalty)
    runs = state.store.runs_of(view.id, view.life)
    for key, task in runs.items():
        # The room of a run is free once its end is listed.
        if key not in view.ended:
            candidate.take(task.step, key)
    for key, reported in view.runs.items():
        if key not in runs and reported.phase != views.GONE:
            _, _, task = state.store.find_task(key[0])
            if task is not None:
                candidate.take(task.step)
    return candidate
