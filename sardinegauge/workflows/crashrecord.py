"""What the replicated state knows of crashes of workers, by task; part of the machine.

The count of a task survives the loss of the leader, since a new leader would otherwise
start the task on as many workers again.
"""

from sardinegauge import outcome
from sardinegauge.workflows import store as store_module
from sardinegauge.workflows import workflow as workflow_module

# Findings on a run that a crash of its worker ended, in the rows of
# `commands.RecordCrash`: the run is one of several that may be the cause, or the only
# one; it is young, but others are younger; or the worker had survived it.
SUSPECT = "suspect"
SOLE_SUSPECT = "sole-suspect"
UNDECIDED = "undecided"
SURVIVED = "survived"
SUSPICIONS = frozenset({SUSPECT, SOLE_SUSPECT})
# Consecutive suspicions after which the leader may give up a task that was the only
# suspect in the last crash, and after which any task is given up.
MIN_CRASHES = 2
MAX_CRASHES = 4


def record_crash(machine, index, command):
    """Count a crash for the tasks on the worker; give up those with `MAX_CRASHES`."""
    store = machine.workflows
    for task_id, run_number, finding in command.rows:
        workflow, occurrence, task = store.find_task(task_id)
        if task is None or run_number <= task.last_lost_run:
            continue
        # The members of a gang are given up together, and count one crash for each run.
        members = [task]
        if task.step.is_gang:
            members = store_module.step_tasks(occurrence, task)
        for member in members:
            _count_crash(store, workflow, member, run_number, finding)
        if task.crashes >= MAX_CRASHES:
            _give_up(store, workflow, task, command.at_ms)
    return outcome.Accepted()


def give_up_task(machine, index, command):
    """End the workflow of a task that is the cause of its workers' crashes."""
    store = machine.workflows
    workflow, _, task = store.find_task(command.task)
    if task is not None and task.crashes >= MIN_CRASHES:
        _give_up(store, workflow, task, command.at_ms)
    return outcome.Accepted()


def _give_up(store, workflow, task, at_ms):
    if not workflow.is_open or task.is_done:
        return
    reason = f"task {task.id} crashed {task.crashes} workers"
    store_module.end_workflow(store, workflow, workflow_module.FAILED, at_ms, reason)


def clear_suspects(machine, index, command):
    """Forget the suspected crashes of tasks that a worker survived."""
    store = machine.workflows
    for task_id in command.tasks:
        _, _, task = store.find_task(task_id)
        if task is not None:
            task.crashes = 0
        store.suspected_ids.discard(task_id)
    return outcome.Accepted()


def _count_crash(store, workflow, task, run_number, finding):
    task.last_lost_run = run_number
    task.lost_runs += 1
    if finding in SUSPICIONS:
        task.crashes += 1
        if workflow.is_open and not task.is_done:
            store.suspected_ids.add(task.id)
    elif finding == SURVIVED:
        task.crashes = 0
        store.suspected_ids.discard(task.id)
