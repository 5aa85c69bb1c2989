"""What the replicated state knows of crashes of workers, by task; part of the machine.

The count of a task survives the loss of the leader, since a new leader would otherwise
start the task on as many workers again.
"""

from sardinegauge import outcome
from sardinegauge.workflows import store as store_module
from sardinegauge.workflows import workflow as workflow_module

# Verdicts on a run that a crash of its worker ended, in the rows of
# `commands.RecordCrash`: the run is one of several that may be the cause, or the only
# one; it is young, but others are younger; or the worker had survived it.
SUSPECT = "suspect"
SOLE_SUSPECT = "sole-suspect"
UNDECIDED = "undecided"
SURVIVED = "survived"
SUSPICIONS = frozenset({SUSPECT, SOLE_SUSPECT})
# Consecutive suspicions after which a task is given up: at the first two, if it was the
# only suspect in the last crash; else only later, as others were suspected with it.
MIN_CRASHES = 2
MAX_CRASHES = 4


def record_crash(machine, index, command):
    """Count a crash for the tasks on the worker, and give up those that caused it."""
    store = machine.workflows
    for task_id, run_number, verdict in command.rows:
        workflow, occurrence, task = store.find_task(task_id)
        if task is None or run_number <= task.last_lost_run:
            continue
        # The members of a gang are given up together, and count one crash for each run.
        members = [task]
        if task.step.is_gang:
            members = store_module.step_tasks(occurrence, task)
        for member in members:
            _count_crash(store, workflow, member, run_number, verdict)
        if workflow.is_open and not task.is_done and _is_cause(task, verdict):
            reason = f"task {task.id} crashed {task.crashes} workers"
            store_module.end_workflow(
                store, workflow, workflow_module.FAILED, command.at_ms, reason
            )
    return outcome.Accepted()


def clear_suspects(machine, index, command):
    """Forget the suspected crashes of tasks that a worker survived."""
    store = machine.workflows
    for task_id in command.tasks:
        _, _, task = store.find_task(task_id)
        if task is not None:
            task.crashes = 0
        store.suspected_ids.discard(task_id)
    return outcome.Accepted()


def _count_crash(store, workflow, task, run_number, verdict):
    task.last_lost_run = run_number
    task.lost_runs += 1
    if verdict in SUSPICIONS:
        task.crashes += 1
        if workflow.is_open:
            store.suspected_ids.add(task.id)
    elif verdict == SURVIVED:
        task.crashes = 0
        store.suspected_ids.discard(task.id)


def _is_cause(task, verdict):
    """Return whether the task is taken for the cause of its crashes."""
    if verdict == SOLE_SUSPECT:
        return task.crashes >= MIN_CRASHES
    return verdict == SUSPECT and task.crashes >= MAX_CRASHES
