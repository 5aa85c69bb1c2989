"""Queries of the machine, answered with the keys of ``schema/operator.proto``."""

import itertools
import json

from sardinegauge.state import directory, tenants

DEFAULT_AUDIT_LIMIT = 100
MAX_AUDIT_LIMIT = 2_000
MAX_LISTED_JOBS = 1_000
MAX_LISTED_TASKS = 2_000
"""An answer must fit one frame of 1 MiB, and a listed task takes up to 500 bytes."""


def answer(machine, kind, arguments):
    """Return the answer to one kind of query.

    Parameters
    ----------
    machine : machine.Machine
        Not changed.
    kind : str
        One of `KINDS`.
    arguments : dict
        ``jobs``: optional ``tenant`` and ``state``; ``job``: ``id``; ``audit``:
        ``limit``; ``claim``: ``tenant`` and ``key``. Other kinds have none.

    Returns
    -------
    dict
        Plain data; empty for an unknown ``job`` or ``claim``. ``jobs`` lists the newest
        `MAX_LISTED_JOBS` without their tasks, ``job`` and ``services`` list at most
        `MAX_LISTED_TASKS` tasks; counts include tasks that are not listed.

    Raises
    ------
    ValueError
        If the kind is unknown.

    Examples
    --------
    >>> from sardinegauge.state import machine
    >>> answer(machine.Machine(), "configuration", {})
    {'version': 0, 'document': '{}', 'operator': ''}
    """
    if kind not in _ANSWERS:
        raise ValueError(f"unknown kind of query {kind!r}")
    if not isinstance(arguments, dict):
        arguments = {}
    return _ANSWERS[kind](machine, arguments)


def _configuration(machine, arguments):
    configuration = machine.configuration
    return {
        "version": configuration.version,
        "document": json.dumps(configuration.document),
        "operator": configuration.operator,
    }


def _jobs(machine, arguments):
    tenant = arguments.get("tenant")
    state = arguments.get("state")
    matching_jobs = (
        _job_summary(job)
        for job in reversed(machine.jobs.by_id.values())
        if (not tenant or job.tenant == tenant) and (not state or job.state == state)
    )
    newest_first = list(itertools.islice(matching_jobs, MAX_LISTED_JOBS))
    return {"jobs": newest_first[::-1]}


def _job(machine, arguments):
    job = machine.jobs.by_id.get(_text(arguments, "id"))
    if job is None:
        return {}
    return {
        **_job_summary(job),
        "tasks": _tasks(machine, job.task_ids[:MAX_LISTED_TASKS]),
    }


def _job_summary(job):
    return {
        "id": job.id,
        "name": job.name,
        "tenant": job.tenant,
        "state": job.state,
        "urgent": job.is_urgent,
        "task_count": len(job.task_ids),
        "finished": job.finished_count,
        "reason": job.reason,
        "tasks": [],
    }


def _tasks(machine, task_ids):
    return [
        {
            "id": task.id,
            "state": task.state,
            "epoch": task.epoch,
            "upstream": task.upstream,
            "checkpoint": task.checkpoint,
            "evictions": task.evictions,
            "reason": task.reason,
        }
        for task in map(machine.tasks.by_id.get, task_ids)
    ]


def _services(machine, arguments):
    by_name = machine.services.by_name
    limit = max(1, MAX_LISTED_TASKS // max(1, len(by_name)))
    return {
        "services": [
            {
                "name": service.name,
                "tenant": service.tenant,
                "replicas": service.replicas,
                "running": sum(
                    machine.tasks.by_id[id].state == "running"
                    for id in service.task_ids
                ),
                "tasks": _tasks(machine, service.task_ids[:limit]),
            }
            for _, service in sorted(by_name.items())
        ]
    }


def _upstreams(machine, arguments):
    return {
        "upstreams": [
            {
                "name": worker.upstream,
                "incarnation": worker.incarnation,
                "address": worker.address,
                "failure_domain": worker.failure_domain,
                "rack": worker.rack,
                "services": directory.active_services(machine, worker),
                "state": _worker_state(worker),
                "cores": worker.room.cores,
                "cores_reserved": worker.reserved.cores,
                "memory_mb": worker.room.memory_mb,
                "memory_mb_reserved": worker.reserved.memory_mb,
                "tasks": len(worker.task_ids),
                "reason": worker.reason,
            }
            for _, worker in sorted(machine.workers.by_upstream.items())
        ]
    }


def _worker_state(worker):
    if worker.is_lost:
        return "lost"
    if worker.is_quarantined:
        return "quarantined"
    return "draining" if worker.is_draining else "live"


def _tenants(machine, arguments):
    return {
        "tenants": [
            {
                "name": name,
                "cores_quota": tenants.quota(machine, name).get("cores", 0.0),
                "cores_reserved": tenants.usage(machine, name).cores,
                "tasks_running": tenants.usage(machine, name).placed,
                "tasks_pending": tenants.usage(machine, name).pending,
            }
            for name in tenants.names(machine)
        ]
    }


def _audit(machine, arguments):
    limit = arguments.get("limit")
    if isinstance(limit, bool) or not isinstance(limit, int) or limit <= 0:
        limit = DEFAULT_AUDIT_LIMIT
    records = list(machine.audit.records)[-min(limit, MAX_AUDIT_LIMIT) :]
    return {"records": [audit_record.to_dict() for audit_record in reversed(records)]}


def _claim(machine, arguments):
    key = (_text(arguments, "tenant"), _text(arguments, "key"))
    claim = machine.claims.by_key.get(key)
    return {} if claim is None else claim.to_answer()


def _text(arguments, name):
    value = arguments.get(name)
    return value if isinstance(value, str) else ""


_ANSWERS = {
    "configuration": _configuration,
    "jobs": _jobs,
    "job": _job,
    "services": _services,
    "upstreams": _upstreams,
    "tenants": _tenants,
    "audit": _audit,
    "claim": _claim,
}
KINDS = frozenset(_ANSWERS)
