"""Applies commands to a machine with growing indexes, for tests."""

import json

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.state import machine

ROOM = dict(cores=4.0, memory_mb=4000, accelerators=1, tasks=8, connections=64)
JOB = dict(name="sweep", tenant="irbid", cores=1.0, memory_mb=100)
SERVICE = dict(name="quote", tenant="karri", cores=1.0, memory_mb=10)


def announcement(room=(), **fields):
    """Return the fields of a `RegisterWorker` command."""
    defaults = dict(upstream="w1", incarnation="i1", address="127.0.0.1:1")
    place = dict(failure_domain="a", rack="a1")
    return {
        **defaults,
        **place,
        "room": messages.Room(**{**ROOM, **dict(room)}),
        **fields,
    }


class Driver:
    """A machine with shorthand methods for common commands."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0
        self.requests = 0
        self.last = None

    def apply(self, kind, **fields):
        """Apply a command by class name; one of an operator gets a new request id."""
        cls = commands.REGISTRY.by_name[kind]
        if issubclass(cls, commands.OperatorCommand) and "request_id" not in fields:
            self.requests += 1
            fields = {"operator": "ana", "request_id": f"r{self.requests}", **fields}
        self.last = cls(**{"at_ms": self.index, **fields})
        self.index += 1
        return machine.apply(self.machine, self.index, self.last)

    def register(self, upstream="w1", **fields):
        return self.apply("RegisterWorker", **announcement(upstream=upstream, **fields))

    def lose(self, upstream="w1", incarnation="i1"):
        return self.apply("WorkerLost", upstream=upstream, incarnation=incarnation)

    def drain(self, upstream="w1", draining=True):
        return self.apply("DrainUpstream", upstream=upstream, draining=draining)

    def configure(self, base_version, document, **fields):
        fields = {**fields, "base_version": base_version, "document": document}
        return self.apply("SetConfiguration", **fields)

    def submit(self, **fields):
        return self.apply("SubmitJob", **{**JOB, **fields}).ids[0]

    def declare(self, replicas, **fields):
        return self.apply("DeclareService", replicas=replicas, **{**SERVICE, **fields})

    def assign(self, *ids, **fields):
        defaults = dict(upstream="w1", incarnation="i1", cores=1.0, memory_mb=100)
        chosen = [
            commands.Assignment(
                task=id, **{"epoch": self.task(id).epoch + 1, **defaults, **fields}
            )
            for id in ids
        ]
        return self.apply("AssignTasks", assignments=chosen)

    def evict(self, id):
        eviction = commands.Eviction(task=id, epoch=self.task(id).epoch)
        return self.apply("EvictTasks", evictions=[eviction])

    def report(self, id, phase, upstream="w1", incarnation="i1", **fields):
        fields = {"epoch": self.task(id).epoch, **fields}
        change = commands.TaskChange(task=id, phase=phase, **fields)
        place = dict(upstream=upstream, incarnation=incarnation)
        return self.apply("ReportTasks", **place, changes=[change])

    def run(self, id, **place):
        self.assign(id, **place)
        self.report(id, "running", **place)

    def task(self, id):
        return self.machine.tasks.by_id[id]

    def job(self, id):
        return self.machine.jobs.by_id[id]

    def worker(self, upstream="w1"):
        return self.machine.workers.by_upstream[upstream]

    def snapshot(self):
        return json.dumps(machine.to_snapshot(self.machine))
