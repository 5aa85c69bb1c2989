"""Failure domains as operators see them: their workers, drains and runs."""

import collections


def answer(machine, scheduler):
    """Return the answer to the query ``failure_domains``.

    Parameters
    ----------
    machine : machine.Machine
        Only read.
    scheduler : schedulerstate.State or None
        The leader's soft state for workflows, which alone knows the failure domains of
        their workers; None for a leader without it.

    Examples
    --------
    >>> from sardinegauge.state import machine
    >>> answer(machine.Machine(), None)
    {'domains': [], 'is_complete': False}
    """
    worker_count_by_domain = collections.Counter()
    run_count_by_domain = count_runs(machine, scheduler)
    for worker in machine.workers.by_upstream.values():
        if not worker.is_lost:
            worker_count_by_domain[worker.failure_domain] += 1
    if scheduler is not None:
        for view in scheduler.view_by_id.values():
            worker_count_by_domain[view.failure_domain] += 1
    drain_by_domain = machine.domain_drains.by_domain
    names = {*worker_count_by_domain, *run_count_by_domain, *drain_by_domain} - {""}
    return {
        "domains": [
            _row(
                name,
                worker_count_by_domain[name],
                run_count_by_domain[name],
                drain_by_domain.get(name),
            )
            for name in sorted(names)
        ],
        "is_complete": _is_complete(machine, scheduler),
    }


def _is_complete(machine, scheduler):
    """Return whether the failure domains of all workers with runs are known.

    A new leader learns them from the first reports.
    """
    if scheduler is None:
        return False
    for worker, _ in machine.workflows.runs_by_incarnation:
        view = scheduler.view_by_id.get(worker)
        if view is None or not view.update_count:
            return False
    return True


def _row(name, worker_count, run_count, drain):
    return {
        "name": name,
        "workers": worker_count,
        "drained": drain is not None,
        "drained_since_ms": drain.since_ms if drain is not None else 0,
        "operator": drain.operator if drain is not None else "",
        "runs": run_count,
    }


def count_runs(machine, scheduler):
    """Return the number of runs and tasks in each failure domain."""
    count_by_domain = collections.Counter()
    for worker in machine.workers.by_upstream.values():
        count_by_domain[worker.failure_domain] += len(worker.task_ids)
    if scheduler is not None:
        for view in scheduler.view_by_id.values():
            runs = machine.workflows.runs_of(view.id, view.incarnation)
            count_by_domain[view.failure_domain] += len(runs)
    return count_by_domain
