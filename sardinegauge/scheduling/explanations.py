"""Text of `sardinegauge explain`: the current state of an id and recent decisions."""

import collections
import math


def lines(state, id):
    """Return lines on a task, job, service or worker.

    Lines on the current state come first, then the reasons of decisions, newest last.
    """
    machine = state.machine
    explanation = []
    if id in machine.tasks.by_id:
        explanation += _task(state, machine.tasks.by_id[id])
    if id in machine.jobs.by_id:
        explanation += _unit(state, "job", machine.jobs.by_id[id])
    if id in machine.services.by_name:
        explanation += _unit(state, "service", machine.services.by_name[id])
    if id in machine.workers.by_upstream:
        explanation += _worker(state, machine.workers.by_upstream[id])
    explanation += state.reasons.lines(id, state.now_ms)
    return explanation or [f"nothing is known of {id!r}"]


def _task(state, task):
    task_lines = [
        f"task {task.id} of {task.job or task.service}: {task.state}, "
        f"{task.task_class}, tenant {task.tenant}, epoch {task.epoch}"
    ]
    if task.upstream:
        task_lines.append(
            f"on {task.upstream}: {task.cores:g} cores and {task.memory_mb} MB "
            "reserved, "
            f"{task.declared_cores:g} cores and {task.declared_memory_mb} MB declared"
        )
    if task.id in state.throttle_by_task:
        task_lines.append(
            f"throttled to {state.throttle_by_task[task.id]:.0%} of its cores"
        )
    if task.failures:
        places = ", ".join(task.failed_upstreams)
        task_lines.append(f"failed {task.failures} times, last on {places}")
    if task.reason:
        task_lines.append(f"last reason in the log: {task.reason}")
    if task.state == "pending":
        task_lines += _pending(state, task)
    return task_lines


def _pending(state, task):
    """Return lines on a pending task, with the number of workers by their obstacle."""
    waited_s = max(0, state.age_ms(task.pending_since_ms)) // 1000
    demand = state.demand_of(task)
    if task.id in state.planned_by_task:
        assignment, _ = state.planned_by_task[task.id]
        return [f"assignment to {assignment.upstream} is being written to the log"]
    counts = collections.Counter()
    for free in state.capacity.by_upstream.values():
        counts[_fit_status(state, free, demand)] += 1
    obstacles = ", ".join(
        f"{count} {obstacle}" for obstacle, count in counts.most_common()
    )
    pending_lines = [
        f"waits for {waited_s} s for {demand.cores:g} cores, {demand.memory_mb} MB, "
        f"{demand.accelerators} accelerators, {demand.connections} connections; "
        f"workers: {obstacles or 'none registered'}"
    ]
    if state.is_over_quota(task.tenant):
        pending_lines.append(
            f"tenant {task.tenant} is over its quota and may only borrow"
        )
    return pending_lines


def _fit_status(state, free, demand):
    worker = state.machine.workers.by_upstream[free.upstream]
    if worker.is_lost:
        return "lost"
    if worker.is_draining:
        return "draining"
    if worker.failure_domain in state.machine.domain_drains:
        return "in a drained domain"
    if worker.is_quarantined:
        return "quarantined"
    if free.slots < 1:
        return "without a task slot"
    if free.cores < demand.cores:
        return "short of cores"
    if free.memory_mb < demand.memory_mb:
        return "short of memory"
    if free.accelerators < demand.accelerators:
        return "short of accelerators"
    if free.connections < demand.connections:
        return "short of connections"
    if free.upstream in state.hold_by_upstream:
        return f"kept for {state.hold_by_upstream[free.upstream].holder}"
    return "with room"


def _unit(state, kind, record):
    by_id = state.machine.tasks.by_id
    counts = collections.Counter(by_id[id].state for id in record.task_ids)
    state_counts = ", ".join(
        f"{count} {task_state}" for task_state, count in sorted(counts.items())
    )
    name = record.id if kind == "job" else record.name
    unit_lines = [
        f"{kind} {name} of tenant {record.tenant}: tasks {state_counts or 'none'}"
    ]
    if kind == "job" and record.reason:
        unit_lines.append(f"{record.state}: {record.reason}")
    return unit_lines


def _worker(state, worker):
    room, reserved = worker.room, worker.reserved
    flags = [
        flag
        for flag in ("draining", "quarantined", "lost")
        if getattr(worker, f"is_{flag}")
    ]
    worker_lines = [
        f"worker {worker.upstream} ({worker.failure_domain}, {worker.rack}): "
        f"{', '.join(flags) or 'in use'}; reserved {reserved.cores:g} of "
        f"{room.cores:g} cores, {reserved.memory_mb} of {room.memory_mb} MB, "
        f"{reserved.tasks} of {room.tasks} tasks"
    ]
    if worker.reason:
        worker_lines.append(f"last reason in the log: {worker.reason}")
    view = state.views.get(worker.upstream)
    for service, load in sorted(view.load_by_service.items()) if view else ():
        worker_lines.append(
            f"{service}: {load.rate_per_s:.0f} requests/s, p99 {load.p99_ms:.0f} ms, "
            f"{math.exp(load.excess):.1f} times its usual p99"
        )
    return worker_lines
