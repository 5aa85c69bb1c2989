"""Workers: the announcement, the capacity and the reservations of each upstream."""

import math

from sardinegauge import checks, outcome, record
from sardinegauge.links import messages
from sardinegauge.state import lifecycle, snapshots

MAX_PAST_INCARNATIONS = 16
MAX_LOST_WORKERS = 1_000
"""Lost workers retained for operators; a fleet of the target size replaces 140 VMs a
day."""


class Worker(record.Record):
    """One upstream that runs tasks.

    `room` is its capacity and `reserved` the sum of its tasks' reservations; `task_ids`
    includes tasks that are still stopping. `is_draining` is set when the agent
    announced it (`announces_draining`) or an operator asked for it (`is_drain_asked`).
    `changed_version` is the log index of the last change that entries see.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "failure_domain",
        "rack",
        "services",
        "room",
        "reserved",
        "task_ids",
        "is_draining",
        "is_quarantined",
        "is_lost",
        "reason",
        "changed_version",
        "announces_draining",
        "is_drain_asked",
        "past_incarnations",
    )
    _defaults = {
        "address": "",
        "failure_domain": "",
        "rack": "",
        "services": list,
        "room": messages.Room,
        "reserved": messages.Room,
        "task_ids": set,
        "is_draining": False,
        "is_quarantined": False,
        "is_lost": False,
        "reason": "",
        "changed_version": 0,
        "announces_draining": False,
        "is_drain_asked": False,
        "past_incarnations": list,
    }

    def update_reserved(self, task, sign, task_by_id):
        """Add (`sign` 1) or subtract (-1) a task's reservation.

        `task_ids` must have been changed before.
        """
        reserved = self.reserved
        reserved.memory_mb += sign * task.memory_mb
        reserved.accelerators += sign * task.accelerators
        reserved.connections += sign * task.connections
        reserved.tasks = len(self.task_ids)
        self.update_reserved_cores(task_by_id)

    def update_reserved_cores(self, task_by_id):
        """Sum the reserved cores anew over the tasks, of which there are about eight.

        A running sum of floats would depend on the order of past changes, so a replica
        restored from a snapshot would differ in the last digits. `fsum` gives the same
        result in any order.
        """
        task_cores = [task_by_id[id].cores for id in self.task_ids]
        self.reserved.cores = math.fsum(task_cores)

    def exhausted_resource(self, requested, task_by_id):
        """Return the name of the first resource that is insufficient for a task.

        Returns an empty text if `requested` fits, a record with `cores`, `memory_mb`,
        `accelerators` and `connections`.
        """
        room, reserved = self.room, self.reserved
        task_cores = [task_by_id[id].cores for id in self.task_ids]
        if math.fsum([*task_cores, requested.cores]) > room.cores:
            return "cores"
        if reserved.memory_mb + requested.memory_mb > room.memory_mb:
            return "memory_mb"
        if reserved.accelerators + requested.accelerators > room.accelerators:
            return "accelerators"
        if reserved.connections + requested.connections > room.connections:
            return "connections"
        if reserved.tasks + 1 > room.tasks:
            return "tasks"
        return ""

    def rejection_reason(self, incarnation):
        """Return why no task may be assigned to an incarnation, or an empty text."""
        if self.is_lost:
            return "worker is lost"
        if incarnation != self.incarnation:
            return f"incarnation is {self.incarnation}"
        if self.is_draining:
            return "worker is draining"
        if self.is_quarantined and self.task_ids:
            return "worker is quarantined and already runs a probe"
        return ""


class Workers:
    """All workers by upstream, with an index in the order of their last change.

    `version` is that of the directory: the log index of the newest change that entries
    see. A directory older than `floor_version` may list workers that have been removed
    here. `count_by_shape` counts workers by their capacity.
    """

    __slots__ = (
        "by_upstream",
        "changed_order",
        "count_by_shape",
        "floor_version",
        "lost_order",
        "version",
    )

    def __init__(self):
        self.by_upstream = {}
        self.changed_order = {}
        self.lost_order = {}
        self.count_by_shape = {}
        self.version = 0
        self.floor_version = 0

    def mark_changed(self, worker, index):
        """Record a change of a worker that the directory must pass on to entries."""
        worker.changed_version = index
        self.version = index
        self.changed_order.pop(worker.upstream, None)
        self.changed_order[worker.upstream] = None

    def set_room(self, worker, room):
        """Set the capacity of a worker and update the counts of capacities."""
        if worker.upstream in self.by_upstream:
            self._count_shape(worker.room, -1)
        worker.room = room
        self._count_shape(room, 1)

    def can_ever_fit(self, requested, connections=0):
        """Tell whether a task would fit some worker that runs no other task.

        Lost and draining workers count, since they may return. True without workers.
        """
        if not self.count_by_shape:
            return True
        return any(
            cores >= requested.cores
            and memory_mb >= requested.memory_mb
            and accelerators >= requested.accelerators
            and slots >= 1
            and max_conns >= connections
            for cores, memory_mb, accelerators, slots, max_conns in self.count_by_shape
        )

    def remove(self, worker):
        """Remove a lost worker, which has no tasks."""
        self._count_shape(worker.room, -1)
        del self.by_upstream[worker.upstream]
        del self.changed_order[worker.upstream]
        del self.lost_order[worker.upstream]
        self.floor_version = max(self.floor_version, worker.changed_version)

    def _count_shape(self, room, sign):
        shape = (
            room.cores,
            room.memory_mb,
            room.accelerators,
            room.tasks,
            room.connections,
        )
        count = self.count_by_shape.get(shape, 0) + sign
        if count:
            self.count_by_shape[shape] = count
        else:
            del self.count_by_shape[shape]

    def to_snapshot(self):
        """Return the table as plain data, in the order of the last change."""
        workers = [self.by_upstream[upstream] for upstream in self.changed_order]
        table = snapshots.to_rows(Worker, workers)
        room_column = table["fields"].index("room")
        dropped_columns = [
            table["fields"].index(name) for name in ("reserved", "task_ids")
        ]
        for row in table["rows"]:
            row[room_column] = row[room_column].to_dict()
            for column in dropped_columns:
                row[column] = None
        return {
            "version": self.version,
            "floor_version": self.floor_version,
            "lost": list(self.lost_order),
            "table": table,
        }

    def load_snapshot(self, data, ids_by_upstream):
        """Rebuild the table; `Tasks.load_snapshot` restores the reservations."""
        self.version = data["version"]
        self.floor_version = data["floor_version"]
        for worker in snapshots.from_rows(Worker, data["table"]):
            worker.task_ids = ids_by_upstream[worker.upstream] = set()
            worker.reserved = messages.Room()
            room = messages.Room.from_dict(worker.room)
            self.set_room(worker, room)
            self.by_upstream[worker.upstream] = worker
            self.changed_order[worker.upstream] = None
        self.lost_order = dict.fromkeys(data["lost"])


def register(machine, index, command):
    """Apply `commands.RegisterWorker`.

    A new incarnation of an agent has no record of its predecessor's tasks, so these are
    pending again. This is safe only when none of them can still run: a worker continues
    its tasks until the lease ends, up to 10 s after the last renewal, even if its agent
    died at once. The machine has no clock, so the leader must ensure this. It may
    propose a new incarnation without `previous_may_run` only when 11 s (lease plus
    drift bound) have passed on its own clock since it last received a heartbeat of the
    previous incarnation, counted from its election at the earliest. Before that, the
    leader either waits or sets `previous_may_run`: then the new incarnation is
    registered and receives new tasks within the remaining capacity, while the old tasks
    keep their reservations until the new agent reports them as stopped under their
    epochs or `WorkerLost` names the old incarnation.

    Answers `Accepted` whose value lists the tasks ``freed`` and the tasks ``held`` for
    an older incarnation, or `Impossible` for an incarnation that was replaced before:
    an agent that was frozen while its successor registered must not register again.
    """
    workers = machine.workers
    worker = workers.by_upstream.get(command.upstream)
    freed_task_ids = []
    if worker is None:
        worker = Worker(upstream=command.upstream, incarnation=command.incarnation)
        machine.tasks.ids_by_upstream[command.upstream] = worker.task_ids
        is_changed = True
    elif command.incarnation in worker.past_incarnations:
        return outcome.Impossible(
            reason=f"incarnation {command.incarnation} was replaced by "
            f"{worker.incarnation}"
        )
    else:
        is_changed = _has_changed(worker, command)
        if command.incarnation != worker.incarnation:
            freed_task_ids = _replace_incarnation(machine, index, worker, command)
    _copy_announcement(workers, worker, command)
    workers.by_upstream[worker.upstream] = worker
    if is_changed:
        workers.mark_changed(worker, index)
    held_task_ids = [
        id
        for id in sorted(worker.task_ids)
        if machine.tasks.by_id[id].incarnation != worker.incarnation
    ]
    return outcome.Accepted(
        ids=[worker.upstream], value={"freed": freed_task_ids, "held": held_task_ids}
    )


def _has_changed(worker, command):
    announced = (
        command.incarnation,
        command.address,
        command.failure_domain,
        command.rack,
        command.services,
        command.room,
        command.draining or worker.is_drain_asked,
        False,
    )
    recorded = (
        worker.incarnation,
        worker.address,
        worker.failure_domain,
        worker.rack,
        worker.services,
        worker.room,
        worker.is_draining,
        worker.is_lost,
    )
    return announced != recorded


def _replace_incarnation(machine, index, worker, command):
    worker.past_incarnations.append(worker.incarnation)
    del worker.past_incarnations[:-MAX_PAST_INCARNATIONS]
    worker.incarnation = command.incarnation
    if command.previous_may_run:
        return []
    reason = "its agent restarted"
    return lifecycle.release_tasks(machine, index, command.at_ms, worker, None, reason)


def _copy_announcement(workers, worker, command):
    worker.address = command.address
    worker.failure_domain = command.failure_domain
    worker.rack = command.rack
    worker.services = list(command.services)
    worker.announces_draining = command.draining
    worker.is_draining = command.draining or worker.is_drain_asked
    if worker.is_lost:
        worker.is_lost = False
        worker.reason = ""
        workers.lost_order.pop(worker.upstream)
    workers.set_room(worker, command.room.replace())


def lose(machine, index, command):
    """Apply `commands.WorkerLost`: the tasks of that incarnation are pending again.

    The loss of the newest incarnation marks the worker as lost and frees the tasks of
    all incarnations; the loss of an older one frees only its own tasks. The answer
    lists the freed tasks. The repeated loss of an incarnation, or the loss of an
    unknown one, frees nothing.
    """
    workers = machine.workers
    worker = workers.by_upstream.get(command.upstream)
    if worker is None or worker.is_lost:
        return outcome.Accepted()
    if command.incarnation != worker.incarnation:
        if command.incarnation not in worker.past_incarnations:
            return outcome.Accepted()
        released_incarnation = command.incarnation
    else:
        released_incarnation = None
        worker.is_lost = True
        worker.reason = "its lease ended"
        workers.lost_order[worker.upstream] = None
        workers.mark_changed(worker, index)
    freed_task_ids = lifecycle.release_tasks(
        machine,
        index,
        command.at_ms,
        worker,
        released_incarnation,
        "its worker was lost",
    )
    _remove_oldest_lost(machine)
    return outcome.Accepted(ids=freed_task_ids)


def _remove_oldest_lost(machine):
    workers = machine.workers
    while len(workers.lost_order) > MAX_LOST_WORKERS:
        upstream = next(iter(workers.lost_order))
        workers.remove(workers.by_upstream[upstream])
        del machine.tasks.ids_by_upstream[upstream]


def drain(machine, index, command):
    """Apply `commands.DrainUpstream`."""
    worker = machine.workers.by_upstream.get(command.upstream)
    if worker is None:
        return outcome.Invalid(problems=[["upstream", "no such upstream"]])
    worker.is_drain_asked = command.draining
    is_draining = command.draining or worker.announces_draining
    if is_draining != worker.is_draining:
        worker.is_draining = is_draining
        machine.workers.mark_changed(worker, index)
    return outcome.Accepted(ids=[worker.upstream])


def quarantine(machine, index, command):
    """Apply `commands.QuarantineWorker`, which does not change the directory."""
    worker = machine.workers.by_upstream.get(command.upstream)
    if worker is None:
        return outcome.Impossible(reason="no such upstream")
    worker.is_quarantined = command.quarantined
    worker.reason = checks.clip(command.reason)
    return outcome.Accepted(ids=[worker.upstream])
