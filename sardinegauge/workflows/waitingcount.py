"""The number of a queue's workflows that wait for the first start of a task.

The store knows assignments; that an assigned run began is known from the reports. An
assigned run may be refused, or wait at its agent, so its workflow still waits.
"""

from sardinegauge.workflows import views


class BegunWorkflows:
    """Open workflows of which a task is known to have begun; the leader's soft state.

    A new leader knows what the store tells of earlier runs, and what workers report.
    """

    __slots__ = ("ids",)

    def __init__(self):
        self.ids = set()


def begin(state):
    """Find the workflows whose tasks left a trace in the store."""
    for workflow_id in state.store.open_ids:
        workflow = state.store.workflow_by_id[workflow_id]
        if any(_has_run(task) for task in workflow.tasks()):
            state.begun_workflows.ids.add(workflow_id)


def _has_run(task):
    return bool(task.is_done or task.failures or task.checkpoint)


def on_report(state, view):
    """Record the workflows of the runs that a worker reports as active."""
    for (task_id, _), reported in view.runs.items():
        if reported.phase == views.ACTIVE:
            _record(state, task_id)


def on_ends_recorded(state, command):
    """Record the workflows of the runs whose end a worker listed."""
    for number, task_id, *_ in command.rows:
        if number:
            _record(state, task_id)


def _record(state, task_id):
    workflow_id, _, _ = task_id.partition(".")
    if workflow_id in state.store.open_ids:
        state.begun_workflows.ids.add(workflow_id)


def on_workflow_ended(state, workflow):
    """Drop what was kept about a workflow that has ended."""
    state.begun_workflows.ids.discard(workflow.id)


def answer(state, arguments):
    """Return the answer to a query ``waiting`` of the queue in `arguments`.

    Raises
    ------
    ValueError
        If the leader has not begun to schedule yet.
    """
    if state is None:
        raise ValueError("the leader has not begun to schedule yet")
    name = arguments["queue"]
    store = state.store
    count = sum(
        store.workflow_by_id[workflow_id].queue == name
        for workflow_id in store.open_ids.keys() - state.begun_workflows.ids
    )
    # A gateway may not know yet that the queue was removed.
    return {"waiting": count, "is_known": name in store.queue_set.by_name}
