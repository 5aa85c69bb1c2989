"""Applies commands to a machine with growing indexes, for tests."""

import json

from sardinegauge import commands, machine, messages

ROOM = {
    "cores": 4.0,
    "memory_mb": 4000,
    "accelerators": 1,
    "tasks": 8,
    "connections": 64,
}


class Driver:
    """A machine with short forms of the usual commands."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0
        self.requests = 0
        self.last = None

    def do(self, kind, **fields):
        """Apply a command given by its class name."""
        cls = commands.REGISTRY.by_name[kind]
        if issubclass(cls, commands.OperatorCommand) and "request_id" not in fields:
            self.requests += 1
            fields = {"operator": "ana", "request_id": f"r{self.requests}", **fields}
        return self.apply(cls(**{"at_ms": self.index, **fields}))

    def apply(self, command):
        self.index += 1
        self.last = command
        return machine.apply(self.machine, self.index, command)

    def register(self, upstream="w1", incarnation="i1", **fields):
        room = messages.Room(**{**ROOM, **fields.pop("room", {})})
        return self.do(
            "RegisterWorker",
            upstream=upstream,
            incarnation=incarnation,
            **{
                "address": "127.0.0.1:1",
                "failure_domain": "a",
                "rack": "a1",
                "room": room,
                **fields,
            },
        )

    def submit(self, **fields):
        defaults = {"name": "sweep", "tenant": "irbid", "cores": 1.0, "memory_mb": 100}
        return self.do("SubmitJob", **{**defaults, **fields}).ids[0]

    def assign(self, *ids, upstream="w1", incarnation="i1", **fields):
        chosen = [
            commands.Assignment(
                **{
                    "task": id,
                    "epoch": self.task(id).epoch + 1,
                    "upstream": upstream,
                    "incarnation": incarnation,
                    "cores": 1.0,
                    "memory_mb": 100,
                    **fields,
                }
            )
            for id in ids
        ]
        return self.do("AssignTasks", assignments=chosen)

    def evict(self, id):
        eviction = commands.Eviction(task=id, epoch=self.task(id).epoch)
        return self.do("EvictTasks", evictions=[eviction])

    def report(self, id, phase, upstream="w1", incarnation="i1", **fields):
        change = commands.TaskChange(
            **{"task": id, "epoch": self.task(id).epoch, "phase": phase, **fields}
        )
        return self.do(
            "ReportTasks", upstream=upstream, incarnation=incarnation, changes=[change]
        )

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
