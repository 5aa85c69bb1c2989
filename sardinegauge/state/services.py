"""Declared services and their latency-critical tasks."""

from sardinegauge import outcome, record
from sardinegauge.state import snapshots, tasks

_RETIRE_ORDER = {"pending": 0, "assigned": 1, "evicting": 2, "running": 3}


class Service(record.Record):
    """One long-lived service: the number of its tasks and their sizes.

    `task_ids` includes retired tasks that are still stopping.
    """

    __slots__ = (
        "name",
        "tenant",
        "replicas",
        "cores",
        "memory_mb",
        "accelerators",
        "connections",
        "command",
        "task_ids",
    )
    _defaults = {
        "accelerators": 0,
        "connections": 0,
        "command": "",
        "task_ids": list,
    }


class Services:
    """All services by name."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def to_snapshot(self):
        """Return the table as plain data."""
        return snapshots.to_rows(Service, self.by_name.values())

    def load_snapshot(self, data):
        """Rebuild the table."""
        for service in snapshots.from_rows(Service, data):
            self.by_name[service.name] = service


def declare(machine, index, command):
    """Apply `commands.DeclareService`.

    Tasks are created or retired to match `replicas`. New sizes and a new command apply
    to pending tasks at once and to other tasks at their next start: a change of the
    declaration must not interrupt tasks that serve callers.
    """
    service = machine.services.by_name.get(command.name)
    if service is not None and service.tenant != command.tenant:
        reason = f"the service belongs to tenant {service.tenant}"
        return outcome.Invalid(problems=[["tenant", reason]])
    is_possible = machine.workers.can_ever_fit(command, command.connections)
    if command.replicas and not is_possible:
        return outcome.Impossible(
            reason=f"no worker can hold a task of {command.cores:g} cores, "
            f"{command.memory_mb} MB, {command.accelerators} accelerators and "
            f"{command.connections} connections"
        )
    if len(machine.tasks.by_id) + command.replicas > tasks.MAX_TASKS:
        return outcome.Impossible(reason=f"more than {tasks.MAX_TASKS} tasks")
    if service is None:
        service = Service(
            **{name: getattr(command, name) for name in Service.__slots__[:-1]}
        )
        machine.services.by_name[service.name] = service
    for name in Service.__slots__[2:-1]:
        setattr(service, name, getattr(command, name))
    _adjust_replicas(machine, index, service, command.at_ms)
    return outcome.Accepted(ids=[command.name])


def _adjust_replicas(machine, index, service, at_ms):
    live = [machine.tasks.by_id[id] for id in service.task_ids]
    live = [task for task in live if not task.has_ended]
    for task in live:
        if task.state == "pending":
            apply_declaration(machine, task)
    surplus = len(live) - service.replicas
    if surplus > 0:
        # Sorting is stable, so the newest tasks of each state are retired first.
        live.reverse()
        live.sort(key=lambda task: _RETIRE_ORDER[task.state])
        for task in live[:surplus]:
            _retire(machine, index, task, at_ms)
    for number in range(-surplus):
        _add_task(machine, service, f"{service.name}.{index}.{number}", at_ms)
    _remove_if_unused(machine, service)


def _retire(machine, index, task, at_ms):
    if task.upstream:
        # Entries stop sending requests for this service to the upstream.
        worker = machine.workers.by_upstream[task.upstream]
        machine.workers.mark_changed(worker, index)
    machine.tasks.end(task, "cancelled", at_ms, "its service has fewer replicas")
    if not task.upstream:
        remove_task(machine, task)


def _add_task(machine, service, id, at_ms):
    task = tasks.Task(
        id=id,
        service=service.name,
        tenant=service.tenant,
        task_class="latency_critical",
        group=service.name,
        cores=service.cores,
        memory_mb=service.memory_mb,
        declared_cores=service.cores,
        declared_memory_mb=service.memory_mb,
        changed_at_ms=at_ms,
        pending_since_ms=at_ms,
    )
    service.task_ids.append(id)
    machine.tasks.add(task)
    apply_declaration(machine, task)


def apply_declaration(machine, task):
    """Copy sizes and command from its service to a task that is not placed."""
    if not task.service:
        return
    service = machine.services.by_name[task.service]
    task.cores = task.declared_cores = service.cores
    task.memory_mb = task.declared_memory_mb = service.memory_mb
    task.accelerators = service.accelerators
    task.connections = service.connections
    task.command = service.command


def remove_task(machine, task):
    """Remove a retired task that has stopped, and its service if that has no others.

    A service without tasks stays while it has `replicas`.
    """
    service = machine.services.by_name[task.service]
    service.task_ids.remove(task.id)
    machine.tasks.remove(task)
    _remove_if_unused(machine, service)


def _remove_if_unused(machine, service):
    if not service.replicas and not service.task_ids:
        machine.services.by_name.pop(service.name, None)
