"""Starts of moved tasks on the workers that `drainmoves` reserved for them.

A start is proposed once the former runs of the move have ended. What was checked when
the worker was reserved is checked again, as it may not hold any more.
"""

from sardinegauge.workflows import (
    decisions,
    eligibility,
    reservations,
    stepcounts,
    views,
)


def assign_reserved(state):
    """Propose the assignments of moved tasks that have ended where they were.

    They come before the plan, which would give the reserved room to other tasks.
    """
    drain_moves = state.drain_moves
    if not drain_moves.moves:
        return
    candidate_by_worker = None
    for move in list(drain_moves.moves):
        if move.is_assigned or not _is_waiting(state, move):
            continue
        if candidate_by_worker is None:
            usable = state.candidates.find_usable(state, state.now_ms)
            candidate_by_worker = {c.view.id: c for c in usable}
        if not _is_room_left(state, move, candidate_by_worker):
            _drop(state, move, "room")
            continue
        reason = _reason_against(state, move)
        if reason:
            _drop(state, move, reason)
            continue
        move.is_assigned = True
        _assign(state, move)


def _is_waiting(state, move):
    """Return whether all tasks of a move wait for their next run."""
    for task_id in move.target_by_task:
        workflow, _, task = state.store.find_task(task_id)
        if task is None or task.is_done or task.runs or not workflow.is_open:
            return False
        if task_id in state.worker_by_planned_task:
            return False
    return True


def _is_room_left(state, move, candidate_by_worker):
    """Return whether the reserved workers can still take the tasks of a move."""
    for task_id, worker in move.target_by_task.items():
        candidate = candidate_by_worker.get(worker)
        workflow, _, task = state.store.find_task(task_id)
        if candidate is None or task.crashes or state.isolation.is_isolated(worker):
            return False
        # The room of the task itself is already reserved.
        needed = views.Room()
        needed.release(task.step)
        free = candidate.free
        for name in free.field_names():
            if getattr(free, name) < 0 < getattr(needed, name):
                return False
        if state.now_ms < state.refused_until_ms.get((task_id, worker), 0):
            return False
        # A start needs a ticket, which the planner requests.
        if state.store.queue_of(workflow).advice is not None:
            return False
    return True


def _reason_against(state, move):
    """Return why a reserved worker may not take its task any more, or ""."""
    workflow, occurrence, task = state.store.find_task(move.keys[0][0])
    members = occurrence.tasks_by_step[task.position]
    counts = stepcounts.StepCounts(state, members)
    for worker in move.target_by_task.values():
        view = state.view_by_id[worker]
        reason = eligibility.reason_against(state, workflow, task.step, view)
        if reason:
            return reason
        if counts.is_exceeded(worker):
            return decisions.LIMIT
    return ""


def _drop(state, move, reason):
    state.drain_moves.moves.remove(move)
    reservations.log_dropped(move.keys[0][0], decisions.MOVE, reason)


def _assign(state, move):
    rows = []
    tasks = [state.store.find_task(task_id)[2] for task_id in move.target_by_task]
    number = max(task.last_run for task in tasks) + 1
    for task_id, worker in move.target_by_task.items():
        incarnation = state.registered_incarnation(worker)
        rows.append([task_id, number, worker, incarnation])
        state.record_planned(task_id, worker, decisions.MOVE)
    state.propose_assignments(rows)


def on_refused(state, task_id):
    """Drop the move of a task whose assignment the log refused."""
    drain_moves = state.drain_moves
    drain_moves.moves = [
        move
        for move in drain_moves.moves
        if not move.is_assigned or task_id not in move.target_by_task
    ]
