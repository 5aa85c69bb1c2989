"""Withdrawal of assigned runs whose worker may not take them any more.

The capacity of a worker may shrink while starts are on the way to it, or a
configuration may send their queue to another pool. An assigned run whose start is not
confirmed is stopped and assigned elsewhere; for what runs, see `overcommit`.
"""

import logging

from sardinegauge.workflows import candidates, eligibility, views

# Reasons to stop a run.
SHRUNK_REASON = "shrunk"
MISPLACED_REASON = "misplaced"
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


def on_queues_changed(state, former_version):
    """Withdraw the starts of queues that changed after a version of the queues."""
    changed_by_name = state.store.queue_set.changed_by_name
    changed_names = {
        name for name, version in changed_by_name.items() if version > former_version
    }
    if not changed_names:
        return
    for view in state.view_by_id.values():
        withdraw_misplaced(state, view, changed_names)


def withdraw_misplaced(state, view, queue_names=None):
    """Stop unconfirmed runs on a worker without the pool or the label that they need.

    With `queue_names`, only runs of these queues are looked at. Before its first
    report, the pool of a worker is not known.
    """
    if not view.update_count:
        return
    withdrawn = [
        (key, task)
        for key, task in state.store.runs_of(view.id, view.incarnation).items()
        if key not in state.stop_reason_by_run
        and is_unconfirmed(view, key)
        and _is_misplaced(state, view, task, queue_names)
    ]
    for key, task in withdrawn:
        log.info(
            "start_withdrawn task=%s run=%d worker=%s reason=%s",
            *key,
            view.id,
            MISPLACED_REASON,
        )
        stop(state, key, task, MISPLACED_REASON)
    if withdrawn:
        state.push(view.id, view.incarnation)


def _is_misplaced(state, view, task, queue_names):
    workflow, _, _ = state.store.find_task(task.id)
    if queue_names is not None and workflow.queue not in queue_names:
        return False
    return bool(eligibility.reason_against(state, workflow, task.step, view))


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
