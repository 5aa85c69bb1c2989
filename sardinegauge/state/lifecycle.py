"""Life cycle of tasks: commands that assign, evict, resize and report them."""

import math

from sardinegauge import checks, outcome
from sardinegauge.state import jobs, services, tasks

_RESTORED_FIELDS = (
    "epoch",
    "cores",
    "memory_mb",
    "accelerators",
    "connections",
    "reason",
    "changed_at_ms",
    "pending_since_ms",
)
STOPPED_PHASES = frozenset({"stopped", "finished", "failed", "refused"})


def assign(machine, index, command):
    """Apply `commands.AssignTasks`.

    Each assignment is checked again here, since the scheduler planned it against an
    older state. A gang starts as a whole: its assignments in one command are undone if
    they would leave a task of the gang pending. The answer lists the assigned tasks,
    and the reason of each ``skipped`` one by task id.
    """
    skipped = {}
    before_by_id = {}
    for assignment in command.assignments:
        reason = _rejection_reason(machine, assignment)
        if reason:
            skipped.setdefault(assignment.task, reason)
        else:
            before_by_id[assignment.task] = _place(machine, assignment, command.at_ms)
    _undo_partial_gangs(machine, before_by_id, skipped)
    for id in before_by_id:
        skipped.pop(id, None)
    return outcome.Accepted(ids=list(before_by_id), value={"skipped": skipped})


def _rejection_reason(machine, assignment):
    """Return why an assignment is rejected, or an empty text."""
    task = machine.tasks.by_id.get(assignment.task)
    if task is None:
        return "no such task"
    if task.state != "pending":
        return f"task is {task.state}"
    if assignment.epoch != task.epoch + 1:
        return f"epoch must be {task.epoch + 1}"
    worker = machine.workers.by_upstream.get(assignment.upstream)
    if worker is None:
        return "no such upstream"
    reason = worker.rejection_reason(assignment.incarnation)
    if reason:
        return reason
    if worker.failure_domain in machine.domain_drains:
        return "failure domain is drained"
    resource = worker.exhausted_resource(assignment, machine.tasks.by_id)
    return f"no room: {resource}" if resource else ""


def _place(machine, assignment, at_ms):
    """Assign a task and return the values that `_undo` restores."""
    task = machine.tasks.by_id[assignment.task]
    before = {name: getattr(task, name) for name in _RESTORED_FIELDS}
    task.state = "assigned"
    task.epoch = assignment.epoch
    task.cores = assignment.cores
    task.memory_mb = assignment.memory_mb
    task.accelerators = assignment.accelerators
    task.connections = assignment.connections
    task.reason = checks.truncate_reason(assignment.reason)
    task.changed_at_ms = at_ms
    machine.tasks.place(task, machine.workers.by_upstream[assignment.upstream])
    return before


def _undo_partial_gangs(machine, before_by_id, skipped):
    gangs = {}
    for id in before_by_id:
        job = machine.jobs.by_id.get(machine.tasks.by_id[id].job)
        if job is not None and job.is_gang:
            gangs.setdefault(job.id, []).append(id)
    for job_id, ids in gangs.items():
        task_ids = machine.jobs.by_id[job_id].task_ids
        if any(id in machine.tasks.pending_by_id for id in task_ids):
            for id in ids:
                _undo(machine, id, before_by_id.pop(id))
                skipped[id] = "gang is not complete"


def _undo(machine, id, before):
    task = machine.tasks.by_id[id]
    machine.tasks.release(task, machine.workers.by_upstream[task.upstream])
    machine.tasks.make_pending(task, 0, "")
    for name, value in before.items():
        setattr(task, name, value)


def evict(machine, index, command):
    """Apply `commands.EvictTasks`: tasks keep their reservation until they stop.

    The answer lists the tasks now evicting, and the reason of each ``skipped`` one.
    """
    evicting = []
    skipped = {}
    for eviction in command.evictions:
        task = machine.tasks.by_id.get(eviction.task)
        if task is None:
            skipped[eviction.task] = "no such task"
        elif task.state not in ("assigned", "running"):
            skipped[eviction.task] = f"task is {task.state}"
        elif eviction.epoch != task.epoch:
            skipped[eviction.task] = f"epoch is {task.epoch}"
        else:
            task.state = "evicting"
            task.reason = checks.truncate_reason(eviction.reason)
            task.changed_at_ms = command.at_ms
            _mark_service_changed(machine, index, task)
            evicting.append(task.id)
    for id in evicting:
        skipped.pop(id, None)
    return outcome.Accepted(ids=evicting, value={"skipped": skipped})


def report(machine, index, command):
    """Apply `commands.ReportTasks`.

    A change is applied only if it names the task's current epoch and comes from the
    task's upstream, so late and repeated changes have no effect. The newest incarnation
    may also report the tasks of an older one. The answer lists the changed tasks, and
    the ``late`` ones.
    """
    changed = []
    late = []
    worker = machine.workers.by_upstream.get(command.upstream)
    for change in command.changes:
        task = machine.tasks.by_id.get(change.task)
        if worker is None or not _is_current(task, change, command, worker):
            late.append(change.task)
        elif _apply_change(machine, index, command.at_ms, task, change):
            changed.append(task.id)
    return outcome.Accepted(ids=changed, value={"late": late})


def _is_current(task, change, command, worker):
    if task is None or task.epoch != change.epoch:
        return False
    if task.upstream != command.upstream:
        return False
    return command.incarnation in (task.incarnation, worker.incarnation)


def _apply_change(machine, index, at_ms, task, change):
    """Apply one reported change and tell whether the task differs afterwards."""
    if change.phase in STOPPED_PHASES:
        if change.checkpoint:
            task.checkpoint = change.checkpoint
        _apply_stop(machine, index, at_ms, task, change)
        return True
    if change.phase == "running" and task.state == "assigned":
        task.state = "running"
        task.changed_at_ms = at_ms
        _mark_service_changed(machine, index, task)
        jobs.mark_running(machine, task)
        return True
    if change.checkpoint and change.checkpoint != task.checkpoint:
        # A periodic checkpoint limits the work that the loss of the worker repeats.
        task.checkpoint = change.checkpoint
        return True
    return False


def _apply_stop(machine, index, at_ms, task, change):
    """Release a task whose stop was reported, and set its next state."""
    is_done = change.phase == "finished" and not task.service
    if not task.has_ended:
        if is_done:
            machine.tasks.end(
                task, "finished", at_ms, checks.truncate_reason(change.reason)
            )
        elif change.phase in ("failed", "finished"):
            # A task of a service never finishes by itself, so its exit is a failure.
            _record_failure(task)
        elif change.phase == "stopped" and task.state == "evicting":
            task.evictions += 1
    _release(
        machine,
        index,
        at_ms,
        task,
        checks.truncate_reason(change.reason) or change.phase,
    )
    if is_done and task.state == "finished":
        jobs.record_finished(machine, task, at_ms)


def _record_failure(task):
    task.failures += 1
    if task.upstream not in task.failed_upstreams:
        task.failed_upstreams.append(task.upstream)
        del task.failed_upstreams[: -tasks.MAX_FAILED_UPSTREAMS]


def _release(machine, index, at_ms, task, reason):
    """Free a task's reservation; the task is pending again unless it has ended."""
    worker = machine.workers.by_upstream[task.upstream]
    _mark_service_changed(machine, index, task)
    machine.tasks.release(task, worker)
    if not task.has_ended:
        services.apply_declaration(machine, task)
        machine.tasks.make_pending(task, at_ms, reason)
    elif task.service:
        services.remove_task(machine, task)


def _mark_service_changed(machine, index, task):
    """Update the directory when an upstream starts or stops serving a service."""
    if task.service:
        worker = machine.workers.by_upstream[task.upstream]
        machine.workers.mark_changed(worker, index)


def release_tasks(machine, index, at_ms, worker, incarnation, reason):
    """Release the tasks of one incarnation of a worker, or of all if it is None.

    The epochs of the tasks increase at once, so that later reports of the old agent
    have no effect. Returns the ids of the tasks that are pending again.
    """
    freed = []
    for id in sorted(worker.task_ids):
        task = machine.tasks.by_id[id]
        if incarnation is not None and task.incarnation != incarnation:
            continue
        if not task.has_ended:
            task.epoch += 1
            freed.append(id)
        _release(machine, index, at_ms, task, reason)
    return freed


def resize(machine, index, command):
    """Apply `commands.ResizeTasks`; reservations shrink before others grow.

    A reservation grows only within the free capacity of its worker. The answer lists
    the resized tasks; ``excess`` has by task id the amounts that did not fit (`cores`,
    `memory_mb`), for which the scheduler makes room by evictions; ``skipped`` has the
    reason of each task without a reservation.
    """
    requested = []
    skipped = {}
    for id in {**command.cores_by_task, **command.memory_mb_by_task}:
        task = machine.tasks.by_id.get(id)
        if task is None or not task.upstream or task.has_ended:
            skipped[id] = "no such task" if task is None else f"task is {task.state}"
            continue
        cores = command.cores_by_task.get(id, task.cores)
        memory_mb = command.memory_mb_by_task.get(id, task.memory_mb)
        requested.append((task, cores, memory_mb))
    for task, cores, memory_mb in requested:
        _resize(machine, task, min(cores, task.cores), min(memory_mb, task.memory_mb))
    excess = {}
    for task, cores, memory_mb in requested:
        granted = _grow(machine, task, cores, memory_mb)
        if granted != (cores, memory_mb):
            excess[task.id] = {
                "cores": cores - granted[0],
                "memory_mb": memory_mb - granted[1],
            }
    ids = [task.id for task, _, _ in requested]
    return outcome.Accepted(ids=ids, value={"excess": excess, "skipped": skipped})


def _grow(machine, task, cores, memory_mb):
    """Grow a reservation within the free capacity and return its new size."""
    worker = machine.workers.by_upstream[task.upstream]
    others = [machine.tasks.by_id[id].cores for id in worker.task_ids if id != task.id]
    if math.fsum([*others, cores]) > worker.room.cores:
        cores = max(task.cores, worker.room.cores - math.fsum(others))
        if math.fsum([*others, cores]) > worker.room.cores:
            # The difference was rounded up, so the reservation stays as it is.
            cores = task.cores
    free_mb = worker.room.memory_mb - worker.reserved.memory_mb
    memory_mb = min(memory_mb, task.memory_mb + max(0, free_mb))
    _resize(machine, task, cores, memory_mb)
    return cores, memory_mb


def _resize(machine, task, cores, memory_mb):
    if (cores, memory_mb) != (task.cores, task.memory_mb):
        worker = machine.workers.by_upstream[task.upstream]
        machine.tasks.resize(task, worker, cores, memory_mb)
