"""Expected ends of running tasks, from learned run times and reported progress."""

from sardinegauge.workflows import ordering
from sardinegauge.workflows.policies import urgency


def of_run(state, task, reported, wall_ms):
    """Return the `urgency.Outlook` of a task's run.

    Parameters
    ----------
    state : schedulerstate.State
    task : workflow.Task
    reported : views.ReportedRun or None
        None before the run is in a report of its worker.
    wall_ms : int
    """
    workflow, occurrence, _ = state.store.find_task(task.id)
    queue = state.store.queue_of(workflow)
    task_ms_by_step = [
        state.run_times.task_ms(workflow.queue, occurrence, position)
        for position in range(len(workflow.steps))
    ]
    progress = reported.progress if reported is not None else 0
    path_ms = longest_path_ms(workflow.steps, task_ms_by_step)
    return urgency.Outlook(
        priority=queue.priority,
        begin_ms=ordering.begin_ms(workflow, occurrence),
        span_ms=queue.stretch * path_ms + queue.objective_ms,
        remaining_ms=task_ms_by_step[task.position] * (1 - progress / 100),
        later_ms=later_path_ms(workflow.steps, task_ms_by_step, task.position),
        workflow_key=state.planner.ordering.key(workflow, queue, occurrence, wall_ms),
    )


def longest_path_ms(steps, task_ms_by_step):
    """Return the length of the longest path through the steps in ms."""
    end_ms_by_step = []
    for step, task_ms in zip(steps, task_ms_by_step):
        start_ms = max((end_ms_by_step[earlier] for earlier in step.after), default=0)
        end_ms_by_step.append(start_ms + task_ms)
    return max(end_ms_by_step, default=0)


def later_path_ms(steps, task_ms_by_step, position):
    """Return the length of the longest path after a step in ms.

    Examples
    --------
    >>> from sardinegauge.workflows import steps as s
    >>> chain = [s.Step(), s.Step(after=[0]), s.Step(after=[1]), s.Step(after=[0])]
    >>> [later_path_ms(chain, [1, 2, 4, 8], number) for number in range(4)]
    [8, 4, 0, 0]
    """
    later_ms_by_step = [0] * len(steps)
    for number in range(len(steps) - 1, position, -1):
        for earlier in steps[number].after:
            through_ms = task_ms_by_step[number] + later_ms_by_step[number]
            later_ms_by_step[earlier] = max(later_ms_by_step[earlier], through_ms)
    return later_ms_by_step[position]
