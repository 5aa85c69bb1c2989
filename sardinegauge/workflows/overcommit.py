"""Relief of workers that run more than their capacity.

A worker may lower its capacity while it runs. Unconfirmed starts are withdrawn at once
(see `withdrawal`). What runs is stopped only if the excess hurts, and only after it has
lasted for a while; `policies.displacement` decides which runs.
"""

from sardinegauge.workflows import (
    availability,
    candidates,
    decisions,
    displacementrecords,
    displacing,
    reservations,
    stepcounts,
)

# A capacity that is back after this time costs no run: stopping one and starting it
# again takes longer.
MIN_EXCESS_MS = 500
# Reason to stop a run, and its label in the metrics.
OVERCOMMITTED_REASON = "overcommitted"


def relieve(state, view):
    """Stop runs after a report, until the others fit on their worker."""
    since_ms_by_worker = state.displacing.exceeded_since_ms_by_worker
    if not view.has_shrunk and view.update_count > 1:
        # A new leader does not know that the capacity shrank before its first report.
        if view.id not in since_ms_by_worker:
            return
    free = candidates.build(state, view).free
    if not any(getattr(free, name) < 0 for name in free.field_names()):
        since_ms_by_worker.pop(view.id, None)
        return
    since_ms = since_ms_by_worker.setdefault(view.id, state.now_ms)
    limits = state.displacing.limits
    is_due = state.now_ms - since_ms >= MIN_EXCESS_MS
    if is_due and not limits.is_paused(view.id, state.now_ms):
        _stop_excess(state, view, free)


def _stop_excess(state, view, free):
    limits, policy = state.displacing.limits, state.displacing.policy
    describer = displacementrecords.Describer(state)
    worker = describer.worker(view, free, -float("inf"))
    candidate_by_key = _find_movable(state, view, worker)
    for run in worker.runs:
        run.may_move = run.key in candidate_by_key
    victims = policy.choose_excess(worker, limits.allowance(state.now_ms))
    for victim in victims:
        if victim.is_persistent:
            _, _, task = state.store.find_task(victim.key[0])
            target = candidate_by_key[victim.key].view
            reservations.add(state, task, target, decisions.RELIEF)
        displacing.stop_run(
            state, view, victim.key, OVERCOMMITTED_REASON, "", victim.lost_ms
        )
    if victims:
        task_ids = [victim.key[0] for victim in victims]
        limits.record(view.id, task_ids, state.now_ms)


def _find_movable(state, view, worker):
    """Return the candidates that have room for the persistent runs of a worker.

    Left out are runs whose stop would make more tasks of their step unavailable than it
    allows.
    """
    persistent = [
        run
        for run in worker.runs
        if run.is_persistent and not run.is_gang and not run.is_leaving
    ]
    if not persistent:
        return {}
    usable = state.candidates.find_usable(state, state.now_ms)
    candidate_by_key = {}
    left_by_step = {}
    counts_by_step = {}
    for run in persistent:
        task_id, _ = run.key
        step_id = task_id.rpartition(".")[0]
        workflow, occurrence, task = state.store.find_task(task_id)
        if step_id not in left_by_step:
            left_by_step[step_id] = _stops_left(state, occurrence, task)
            members = occurrence.tasks_by_step[task.position]
            counts_by_step[step_id] = stepcounts.StepCounts(state, members)
        if left_by_step[step_id] <= 0:
            continue
        pool = state.store.queue_of(workflow).pool
        counts = counts_by_step[step_id]
        found = _find_room(state, usable, pool, counts, task, view)
        if found is not None:
            counts.add(found.view.id)
            found.free.reserve(task.step)
            found.reservation_count += 1
            candidate_by_key[run.key] = found
            left_by_step[step_id] -= 1
    return candidate_by_key


def _stops_left(state, occurrence, task):
    """Return how many tasks of a step may be stopped beside the unavailable ones."""
    if task.step.max_unavailable < 0:
        return float("inf")
    members = occurrence.tasks_by_step[task.position]
    unavailable_count = availability.count_unavailable(state, members)
    return task.step.max_unavailable - unavailable_count


def _find_room(state, usable, pool, counts, task, view):
    """Return a candidate on another worker that has room for a task, or None."""
    step = task.step
    avoided = state.failed_workers_by_task.get(task.id, ())
    for candidate in usable:
        worker = candidate.view
        if (
            worker.id != view.id
            and counts.allows(worker.id)
            and worker.id not in avoided
            and worker.pool == pool
            and (not step.required_label or step.required_label in worker.labels)
            and candidate.free.fits(step)
            and not state.isolation.is_isolated(worker.id)
            and not state.health.is_backing_off(worker.id)
        ):
            return candidate
    return None
