"""Workers: what each upstream announced, what it may hold, and what it holds."""

import math

from sardinegauge import checks, outcome, record
from sardinegauge.links import messages
from sardinegauge.state import lifecycle, snapshots

MAX_PAST_INCARNATIONS = 16
MAX_LOST_WORKERS = 1_000
"""Lost workers kept for operators; the target size replaces 140 VMs a day."""


class Worker(record.Record):
    """One upstream as a place for tasks.

    `room` is what it can hold and `reserved` what its tasks hold; `task_ids` includes
    tasks that are still stopping. `is_draining` is set when the agent announced it
    (`announces_draining`) or an operator asked for it (`is_drain_asked`).
    `changed_version` is the log index of the last change that callers' entries see.
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

    def count(self, task, sign, task_by_id):
        """Count a task's reservation in (`sign` 1) or out (-1), after `task_ids`."""
        reserved = self.reserved
        reserved.memory_mb += sign * task.memory_mb
        reserved.accelerators += sign * task.accelerators
        reserved.connections += sign * task.connections
        reserved.tasks = len(self.task_ids)
        self.count_cores(task_by_id)

    def count_cores(self, task_by_id):
        """Sum the reserved cores over the tasks, which are about eight.

        A running sum of floats would depend on the order of past changes, and a
        replica restored from a snapshot would differ in the last digits. `fsum` is
        exact in any order.
        """
        held = [task_by_id[id].cores for id in self.task_ids]
        self.reserved.cores = math.fsum(held)

    def lacking(self, wanted, task_by_id):
        """Return the name of the first resource without room for an assignment.

        Returns an empty text if there is room for `wanted`, a record with `cores`,
        `memory_mb`, `accelerators` and `connections`.
        """
        room, reserved = self.room, self.reserved
        held = [task_by_id[id].cores for id in self.task_ids]
        if math.fsum([*held, wanted.cores]) > room.cores:
            return "cores"
        if reserved.memory_mb + wanted.memory_mb > room.memory_mb:
            return "memory_mb"
        if reserved.accelerators + wanted.accelerators > room.accelerators:
            return "accelerators"
        if reserved.connections + wanted.connections > room.connections:
            return "connections"
        if reserved.tasks + 1 > room.tasks:
            return "tasks"
        return ""

    def refusal(self, incarnation):
        """Return why no new task may come here, or an empty text."""
        if self.is_lost:
            return "worker is lost"
        if incarnation != self.incarnation:
            return f"incarnation is {self.incarnation}"
        if self.is_draining:
            return "worker is draining"
        if self.is_quarantined and self.task_ids:
            return "worker is quarantined and holds its probe"
        return ""


class Workers:
    """All workers by upstream, in the order of their last change as well.

    `version` is the directory's: the log index of the newest change that entries see.
    A directory older than `floor_version` may hold workers that are forgotten here.
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

    def touch(self, worker, index):
        """Note a change that entries must learn of."""
        worker.changed_version = index
        self.version = index
        self.changed_order.pop(worker.upstream, None)
        self.changed_order[worker.upstream] = None

    def set_room(self, worker, room):
        """Change what a worker can hold and count its shape."""
        if worker.upstream in self.by_upstream:
            self._count_shape(worker.room, -1)
        worker.room = room
        self._count_shape(room, 1)

    def can_ever_hold(self, wanted, connections=0):
        """Tell whether some worker, empty, had room for a task; True without workers.

        Lost and draining workers count, since they may return.
        """
        if not self.count_by_shape:
            return True
        return any(
            cores >= wanted.cores
            and memory_mb >= wanted.memory_mb
            and accelerators >= wanted.accelerators
            and slots >= 1
            and places >= connections
            for cores, memory_mb, accelerators, slots, places in self.count_by_shape
        )

    def forget(self, worker):
        """Drop a lost worker without tasks."""
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
        room = table["fields"].index("room")
        dropped = [table["fields"].index(name) for name in ("reserved", "task_ids")]
        for row in table["rows"]:
            row[room] = row[room].to_dict()
            for column in dropped:
                row[column] = None
        return {
            "version": self.version,
            "floor_version": self.floor_version,
            "lost": list(self.lost_order),
            "table": table,
        }

    def load_snapshot(self, data, ids_by_upstream):
        """Rebuild the table; reservations follow when the tasks are loaded."""
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

    A new incarnation has lost the memory of the one before, so the tasks of that one
    are pending again. This is safe only when none of them can still run: a worker runs
    its tasks on until their lease ends, up to 10 s after the last renewal, even when
    its agent died at once. The machine has no clock, so the leader vouches for it. It
    may propose a new incarnation without `previous_may_run` only when 11 s (lease plus
    drift bound) have passed on its own clock since it last received a heartbeat of the
    previous incarnation, counted at least from its election. Before that, it either
    waits or sets `previous_may_run`: then the new incarnation is registered and takes
    new work in the room that is left, while the old tasks keep their places until the
    new agent reports them as stopped under their epochs or `WorkerLost` names the old
    incarnation.

    Answers `Accepted` whose value lists the tasks ``freed`` and the tasks ``held`` for
    an older incarnation, or `Impossible` for an incarnation that was replaced before:
    an agent that was frozen while its successor registered must not come back.
    """
    workers = machine.workers
    worker = workers.by_upstream.get(command.upstream)
    freed = []
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
        is_changed = _differs(worker, command)
        if command.incarnation != worker.incarnation:
            freed = _replace_incarnation(machine, index, worker, command)
    _copy_announcement(workers, worker, command)
    workers.by_upstream[worker.upstream] = worker
    if is_changed:
        workers.touch(worker, index)
    held = [
        id
        for id in sorted(worker.task_ids)
        if machine.tasks.by_id[id].incarnation != worker.incarnation
    ]
    return outcome.Accepted(ids=[worker.upstream], value={"freed": freed, "held": held})


def _differs(worker, command):
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
    known = (
        worker.incarnation,
        worker.address,
        worker.failure_domain,
        worker.rack,
        worker.services,
        worker.room,
        worker.is_draining,
        worker.is_lost,
    )
    return announced != known


def _replace_incarnation(machine, index, worker, command):
    worker.past_incarnations.append(worker.incarnation)
    del worker.past_incarnations[:-MAX_PAST_INCARNATIONS]
    worker.incarnation = command.incarnation
    if command.previous_may_run:
        return []
    reason = "its agent restarted"
    return lifecycle.lose(machine, index, command.at_ms, worker, None, reason)


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

    The loss of the newest incarnation marks the worker, and also frees what older ones
    left; the loss of an older one frees only its own tasks. The answer lists the freed
    tasks. A repeated or unknown loss frees nothing.
    """
    workers = machine.workers
    worker = workers.by_upstream.get(command.upstream)
    if worker is None or worker.is_lost:
        return outcome.Accepted()
    if command.incarnation != worker.incarnation:
        if command.incarnation not in worker.past_incarnations:
            return outcome.Accepted()
        only = command.incarnation
    else:
        only = None
        worker.is_lost = True
        worker.reason = "its lease ended"
        workers.lost_order[worker.upstream] = None
        workers.touch(worker, index)
    freed = lifecycle.lose(
        machine, index, command.at_ms, worker, only, "its worker was lost"
    )
    _forget_old(machine)
    return outcome.Accepted(ids=freed)


def _forget_old(machine):
    workers = machine.workers
    while len(workers.lost_order) > MAX_LOST_WORKERS:
        upstream = next(iter(workers.lost_order))
        workers.forget(workers.by_upstream[upstream])
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
        machine.workers.touch(worker, index)
    return outcome.Accepted(ids=[worker.upstream])


def quarantine(machine, index, command):
    """Apply `commands.QuarantineWorker`; entries need not know of it."""
    worker = machine.workers.by_upstream.get(command.upstream)
    if worker is None:
        return outcome.Impossible(reason="no such upstream")
    worker.is_quarantined = command.quarantined
    worker.reason = checks.clip(command.reason)
    return outcome.Accepted(ids=[worker.upstream])
