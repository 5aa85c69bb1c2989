"""Queries of queues and workflows, answered as plain dicts; see also `queries`."""

import json

MAX_LISTED = 1000


def answer(store, kind, arguments):
    """Return the answer to a query.

    Parameters
    ----------
    store : store.Store
        Only read.
    kind : str
        One of `KINDS`.
    arguments : dict
        ``workflow`` and ``workflow_detail``: ``id``;
        ``workflows``: optional ``queue``.

    Returns
    -------
    dict
        Plain data, empty for an unknown workflow.
    """
    return _ANSWERS[kind](store, arguments)


def _queues(store, arguments):
    return {"version": store.queue_set.version, "source": store.queue_set.source}


def _queue_document(store, arguments):
    queue_set = store.queue_set
    document = {
        "queues": [queue.to_sparse_dict() for queue in queue_set.by_name.values()],
        "pools": [pool.to_sparse_dict() for pool in queue_set.pool_by_name.values()],
    }
    return {"version": queue_set.version, "document": json.dumps(document, indent=1)}


def _workflow(store, arguments):
    workflow = store.workflow_by_id.get(arguments["id"])
    if workflow is None:
        return {}
    return {"state": workflow.state, "queue": workflow.queue, "reason": workflow.reason}


def _workflows(store, arguments):
    queue = arguments.get("queue", "")
    workflows = [
        workflow
        for workflow in store.workflow_by_id.values()
        if not queue or workflow.queue == queue
    ]
    return {"workflows": [_summary(workflow) for workflow in workflows[-MAX_LISTED:]]}


def _summary(workflow):
    count = sum(step.count for step in workflow.steps) * max(workflow.repeats, 1)
    return {
        "id": workflow.id,
        "queue": workflow.queue,
        "state": workflow.state,
        "reason": workflow.reason,
        "accepted_at_ms": workflow.accepted_at_ms,
        "ended_at_ms": workflow.ended_at_ms,
        "tasks_done": sum(task.is_done for task in workflow.tasks()),
        "task_count": count,
    }


def _workflow_detail(store, arguments):
    workflow = store.workflow_by_id.get(arguments["id"])
    if workflow is None:
        return {}
    runs = [
        {
            "task": task.id,
            "run": run.number,
            "worker": run.worker,
            "assigned_at_ms": run.assigned_at_ms,
        }
        for task in workflow.tasks()
        for run in task.runs
    ]
    return {**_summary(workflow), "runs": runs[:MAX_LISTED]}


_ANSWERS = {
    "queues": _queues,
    "queue_document": _queue_document,
    "workflow": _workflow,
    "workflows": _workflows,
    "workflow_detail": _workflow_detail,
}

KINDS = frozenset(_ANSWERS)
