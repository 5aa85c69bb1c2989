"""Reads of queues and workflows as plain dicts; see `queries` for the rest."""

import json
import zlib

from sardinegauge.workflows import queues

MAX_LISTED = 1000


def answer(store, kind, arguments):
    """Return the answer to one kind of query of `KINDS`.

    Parameters
    ----------
    store : store.Store
        Only read.
    kind : str
    arguments : dict
        ``waiting``: ``queue``; ``workflow`` and ``workflow_detail``: ``id``;
        ``workflows``: optional ``queue``.

    Returns
    -------
    dict
        Plain data, empty for a workflow that is unknown.
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


def _waiting(store, arguments):
    return {"waiting": store.count_waiting(arguments["queue"])}


def _workflow(store, arguments):
    item = store.workflow_by_id.get(arguments["id"])
    if item is None:
        return {}
    return {"state": item.state, "queue": item.queue, "reason": item.reason}


def _workflows(store, arguments):
    queue = arguments.get("queue", "")
    found = [
        item
        for item in store.workflow_by_id.values()
        if not queue or item.queue == queue
    ]
    return {"workflows": [_row(item) for item in found[-MAX_LISTED:]]}


def _row(item):
    count = sum(step.count for step in item.steps) * max(item.repeats, 1)
    return {
        "id": item.id,
        "queue": item.queue,
        "state": item.state,
        "reason": item.reason,
        "accepted_at_ms": item.accepted_at_ms,
        "ended_at_ms": item.ended_at_ms,
        "tasks_done": sum(task.is_done for task in item.tasks()),
        "task_count": count,
    }


def _detail(store, arguments):
    item = store.workflow_by_id.get(arguments["id"])
    if item is None:
        return {}
    runs = [
        {
            "task": task.id,
            "run": run.number,
            "worker": run.worker,
            "assigned_at_ms": run.assigned_at_ms,
        }
        for task in item.tasks()
        for run in task.runs
    ]
    return {**_row(item), "runs": runs[:MAX_LISTED]}


def poll_part(store, version):
    """Return the version in force and what changed since one, as packed JSON.

    There is no JSON if `version` is the one in force.
    """
    queue_set = store.queue_set
    if queue_set.version <= version:
        return queue_set.version, b""
    is_full, changed, removed = queue_set.changes(version)
    plain = {
        "is_full": is_full,
        "queues": [queue.to_sparse_dict() for queue in changed],
        "removed": removed,
    }
    data = json.dumps(plain, separators=(",", ":")).encode()
    # Entries may have thin links, and the names of queues are long.
    return queue_set.version, zlib.compress(data, queues.COMPRESSION_LEVEL)


_ANSWERS = {
    "queues": _queues,
    "queue_document": _queue_document,
    "waiting": _waiting,
    "workflow": _workflow,
    "workflows": _workflows,
    "workflow_detail": _detail,
}

KINDS = frozenset(_ANSWERS)
