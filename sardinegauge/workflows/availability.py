"""Which tasks of a step are at work, as `Step.max_unavailable` counts them.

Several modules stop runs of persistent tasks, and all ask here, so that no two of them
count differently how many others are away.
"""

from sardinegauge.workflows import views


def find_reported(state, task, run):
    """Return the `views.ReportedRun` of a run in a recent report, or None."""
    view = state.view_by_id.get(run.worker)
    if view is None or view.incarnation != run.incarnation:
        return None
    return view.runs.get((task.id, run.number)) if view.is_fresh(state.now_ms) else None


def is_available(state, task):
    """Return whether a task is certainly at work, and is not being stopped."""
    for run in task.runs:
        reported = find_reported(state, task, run)
        if (
            reported is not None
            and reported.phase == views.ACTIVE
            and reported.progress >= 100
            and (task.id, run.number) not in state.stop_reason_by_run
        ):
            return True
    return False


def count_unavailable(state, tasks):
    """Return how many unfinished tasks are not at work, for any cause."""
    return sum(not task.is_done and not is_available(state, task) for task in tasks)


def may_stop(state, occurrence, task):
    """Return whether `max_unavailable` allows to stop a task of a persistent step."""
    limit = task.step.max_unavailable
    if not task.step.is_persistent or limit < 0:
        return True
    others = [
        member
        for member in occurrence.tasks_by_step[task.position]
        if member is not task
    ]
    return count_unavailable(state, others) + 1 <= limit
