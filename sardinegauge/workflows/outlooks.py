"""Expected ends of best-effort tasks, from learned run times and reported progress."""

import weakref

from sardinegauge.workflows.policies import urgency

# The expected end of a step is computed anew after this time; each task of the step on
# each worker asks for it at every report.
STEP_RETENTION_MS = 400


class StepTimes:
    """The remaining times of steps by occurrence and position."""

    __slots__ = ("_rows_by_occurrence",)

    def __init__(self):
        # Rows of the time of the computation and the result, by position.
        self._rows_by_occurrence = weakref.WeakKeyDictionary()

    def remaining_ms(self, state, workflow, occurrence, position):
        """Return the longest remaining time of the tasks of a step at full speed."""
        row_by_position = self._rows_by_occurrence.setdefault(occurrence, {})
        computed_ms, remaining_ms = row_by_position.get(position, (None, 0))
        if computed_ms is not None and state.now_ms - computed_ms < STEP_RETENTION_MS:
            return remaining_ms
        task_ms = state.run_times.task_ms(workflow.queue, occurrence, position)
        remaining_ms = max(
            (
                _remaining_ms(state, task, task_ms)
                for task in occurrence.tasks_by_step[position]
                if not task.is_done
            ),
            default=0,
        )
        row_by_position[position] = (state.now_ms, remaining_ms)
        return remaining_ms


def of_task(state, task, wall_ms):
    """Return the `urgency.Outlook` of a task.

    Parameters
    ----------
    state : schedulerstate.State
    task : workflow.Task
    wall_ms : int
    """
    workflow, occurrence, _ = state.store.find_task(task.id)
    queue = state.store.queue_of(workflow)
    position = task.position
    task_ms = state.run_times.task_ms(workflow.queue, occurrence, position)
    ordering = state.planner.ordering
    return urgency.Outlook(
        workflow_key=ordering.key(workflow, queue, occurrence, wall_ms),
        lateness=ordering.lateness(workflow, queue, occurrence, wall_ms),
        remaining_ms=_remaining_ms(state, task, task_ms),
        step_remaining_ms=state.step_times.remaining_ms(
            state, workflow, occurrence, position
        ),
    )


def _remaining_ms(state, task, task_ms):
    """Return the remaining time at full speed, by the task's own rate if known."""
    if not task.runs:
        return task_ms
    run = task.runs[-1]
    track = state.recovery.tracker.track_by_run.get((task.id, run.number))
    if track is None:
        return task_ms
    left = 100 - track.progress
    rate = track.moving_rate()
    return left / rate if rate else task_ms * left / 100
