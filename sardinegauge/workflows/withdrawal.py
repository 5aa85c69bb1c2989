"""Withdrawal of assigned runs that a worker has no room for any more.

The capacity of a worker may shrink while starts are on the way to it. An assigned run
whose start is not confirmed is stopped and assigned elsewhere; for what runs, see
`overcommit`.
"""

import logging

from sardinegauge.workflows import candidates, views

# Reason to stop a run.
SHRUNK_REASON = "shrunk"
log = logging.getLogger(__name__)


def withdraw_starts(state, view):
    """Stop the latest unconfirmed runs until the others fit on their worker."""
    free = candidates.build(state, view).free
    runs = state.store.runs_of(view.id, view.incarnation)
    withdrawn = []
    for key, task in reversed(list(runs.items())):
        if not _is_exceeded(free):
            break
        if key in state.stop_reason_by_run or not is_unconfirmed(view, key):
            continue
        if _needs_exceeded(task.step, free):
            free.release(task.step)
            withdrawn.append((key, task))
    for key, task in withdrawn:
        log.info("start_withdrawn task=%s run=%d worker=%s", *key, view.id)
        stop(state, key, task, SHRUNK_REASON)
    if withdrawn:
        state.push(view.id, view.incarnation)


def _is_exceeded(free):
    return min(free.cpu_millis, free.memory_mb, free.accelerators) < 0


def _needs_exceeded(step, free):
    """Return whether a task of a step takes up a resource that is exceeded."""
    needed = views.Room()
    needed.release(step)
    return any(
        getattr(free, name) < 0 < getattr(needed, name) for name in free.field_names()
    )


def is_unconfirmed(view, key):
    """Return whether the report of a worker does not show that a run has started."""
    reported = view.runs.get(key)
    if reported is None:
        return key not in view.ended
    return reported.phase == views.ORDERED


def stop(state, key, task, reason):
    """Stop a run, and with a member of a gang all others of its run."""
    state.stop_reason_by_run[key] = reason
    if not task.step.is_gang:
        return
    _, run_number = key
    _, occurrence, _ = state.store.find_task(task.id)
    for member in occurrence.tasks_by_step[task.position]:
        for run in member.runs:
            if run.number == run_number:
                state.stop_reason_by_run[member.id, run_number] = reason
                state.push(run.worker, run.incarnation)
