"""Room that is kept for tasks whose start waits for the end of displaced runs.

Without it, the next plan could give the room of the first run that ends to other tasks,
and the displacement would have been for nothing. Reservations are soft state: a new
leader has none, and decides anew.
"""

import logging

from sardinegauge.workflows import decisions, eligibility, stepcounts

# Reserved room is given up after this time: a stop is usually confirmed within 1 s, and
# a worker that takes longer is not the right one for an urgent task.
RESERVATION_MS = 5000
log = logging.getLogger(__name__)


class Reservation:
    """Room for the next run of a task on an incarnation of a worker, until `end_ms`.

    `decision` is the one of `decisions` that chose the worker, `last_run` the task's
    highest run number so far.
    """

    __slots__ = ("decision", "end_ms", "incarnation", "last_run", "step", "worker")

    def __init__(self, task, worker, incarnation, end_ms, decision):
        self.decision = decision
        self.step = task.step
        self.last_run = task.last_run
        self.worker = worker
        self.incarnation = incarnation
        self.end_ms = end_ms


def add(state, task, view, decision):
    """Reserve room for a task on a worker that one of `decisions` chose."""
    end_ms = state.now_ms + RESERVATION_MS
    state.reservation_by_task[task.id] = Reservation(
        task, view.id, view.incarnation, end_ms, decision
    )


def keep_room(state, candidates):
    """Subtract the reserved room from the candidates; drop what is out of date."""
    if not state.reservation_by_task:
        return
    for task_id, reservation in list(state.reservation_by_task.items()):
        if not _is_current(state, task_id, reservation):
            del state.reservation_by_task[task_id]
    candidate_by_worker = {candidate.view.id: candidate for candidate in candidates}
    for reservation in state.reservation_by_task.values():
        candidate = candidate_by_worker.get(reservation.worker)
        if candidate is not None:
            candidate.free.reserve(reservation.step)
            candidate.reservation_count += 1


def _is_current(state, task_id, reservation):
    workflow, _, task = state.store.find_task(task_id)
    view = state.view_by_id.get(reservation.worker)
    return (
        state.now_ms < reservation.end_ms
        and task is not None
        and workflow.is_open
        and not task.is_done
        # Suspected tasks start isolated.
        and not task.crashes
        and state.health.start_limit(reservation.worker) > 0
        and task.last_run == reservation.last_run
        and task_id not in state.worker_by_planned_task
        and view is not None
        and view.incarnation == reservation.incarnation
        and view.may_start(state.now_ms)
    )


def assign(state, offer):
    """Return rows of `commands.AssignRuns` for the tasks whose room is free now.

    A task whose former run is being stopped waits for its end. The tasks with a row
    count as planned from now on, so that the plan does not choose another
    worker for them.
    """
    if not state.reservation_by_task:
        return []
    closed_ids = offer.isolation.closed_ids
    candidate_by_worker = {
        candidate.view.id: candidate for candidate in offer.candidates
    }
    counts_by_step = {}
    assignments = []
    for task_id, reservation in list(state.reservation_by_task.items()):
        candidate = candidate_by_worker.get(reservation.worker)
        _, _, task = state.store.find_task(task_id)
        if candidate is None or reservation.worker in closed_ids:
            continue
        reason = _reason_against(state, task_id, reservation, counts_by_step)
        if reason:
            _drop(state, task_id, candidate, reason)
            continue
        if task.runs:
            continue
        if state.now_ms < state.refused_until_ms.get((task_id, reservation.worker), 0):
            continue
        step = reservation.step
        candidate.free.release(step)
        if not candidate.free.fits(step):
            candidate.free.reserve(step)
            continue
        candidate.reserve(step)
        del state.reservation_by_task[task_id]
        state.record_planned(task_id, reservation.worker, reservation.decision)
        row = [task_id, task.last_run + 1, reservation.worker, reservation.incarnation]
        assignments.append(row)
    return assignments


def _reason_against(state, task_id, reservation, counts_by_step):
    """Return why a worker may not take the task that it is reserved for, or ""."""
    workflow, occurrence, task = state.store.find_task(task_id)
    view = state.view_by_id[reservation.worker]
    reason = eligibility.reason_against(state, workflow, task.step, view)
    step_id = task_id.rpartition(".")[0]
    if step_id not in counts_by_step:
        members = occurrence.tasks_by_step[task.position]
        counts_by_step[step_id] = stepcounts.StepCounts(state, members)
    counts = counts_by_step[step_id]
    if not reason and counts.is_exceeded(reservation.worker):
        reason = decisions.LIMIT
    if reason:
        counts.remove(reservation.worker)
    return reason


def _drop(state, task_id, candidate, reason):
    """Give up a reservation whose worker may not take the task any more."""
    reservation = state.reservation_by_task.pop(task_id)
    candidate.free.release(reservation.step)
    log_dropped(task_id, reservation.decision, reason)


def log_dropped(task_id, decision, reason):
    """Log that room reserved for a task by one of `decisions` is given up."""
    log.info("reservation_dropped task=%s by=%s reason=%s", task_id, decision, reason)
