"""In-process replicas with a fake machine, for the tests of the state process."""

import asyncio
import os
import shutil
import socket
import types

from sardinegauge import outcome, record, settings
from sardinegauge.agreement import storage
from sardinegauge.links import messages, stateclient
from sardinegauge.state import domaindrains, replica, stateapp
from sardinegauge.workflows import store


class FakeMachine:
    """Records the names of submitted jobs, and the answers by request id."""

    def __init__(self):
        self.index = 0
        self.jobs = []
        self.replies = {}
        self.configuration = types.SimpleNamespace(version=0, document={}, operator="")
        self.domain_drains = domaindrains.DomainDrains()
        self.workflows = store.Store()


def apply(machine, index, command):
    machine.index = index
    kind = type(command).__name__
    request_id = getattr(command, "request_id", None)
    if request_id in machine.replies:
        return outcome.from_plain(machine.replies[request_id])
    if kind == "SubmitJob":
        if command.name == "explode":
            raise RuntimeError("the machine failed")
        machine.jobs.append(command.name)
        answer = outcome.Accepted(ids=[f"job-{len(machine.jobs)}"])
    elif kind == "SetConfiguration":
        machine.configuration.version += 1
        machine.configuration.document = command.document
        answer = outcome.Accepted(version=machine.configuration.version)
    else:
        answer = outcome.Accepted()
    if request_id is not None:
        machine.replies[request_id] = outcome.to_plain(answer)
    return answer


def to_snapshot(machine):
    return {
        "index": machine.index,
        "jobs": list(machine.jobs),
        "replies": dict(machine.replies),
        "configuration": [
            machine.configuration.version,
            machine.configuration.document,
        ],
    }


def from_snapshot(data):
    machine = FakeMachine()
    machine.index = data["index"]
    machine.jobs = list(data["jobs"])
    machine.replies = dict(data["replies"])
    machine.configuration.version, machine.configuration.document = data[
        "configuration"
    ]
    return machine


def answer(machine, kind, arguments):
    if kind != "jobs":
        raise ValueError(f"unknown kind {kind}")
    return {"jobs": machine.jobs, "index": machine.index}


def changes(machine, version):
    return 1, True, [messages.Upstream(upstream="10.0.0.9:80")]


class FakeScheduler:
    """Directs every job as one task to each agent that has sent a heartbeat.

    An agent's directive is updated after its heartbeat and after each command.
    """

    class LeadershipGained(record.Record):
        __slots__ = ("now_ms", "term")

    class LeadershipLost(record.Record):
        __slots__ = ("now_ms",)

    class HeartbeatReceived(record.Record):
        __slots__ = ("heartbeat", "now_ms")

    class CommandApplied(record.Record):
        __slots__ = ("answer", "command", "index", "now_ms")

    class Tick(record.Record):
        __slots__ = ("now_ms",)

    class Propose(record.Record):
        __slots__ = ("command",)

    class SendDirective(record.Record):
        __slots__ = ("directive", "incarnation", "upstream")

    class State:
        def __init__(self, machine):
            self.machine = machine
            self.incarnations = {}
            self.proposals = []

    @classmethod
    def reduce(cls, state, event):
        if isinstance(event, cls.HeartbeatReceived):
            heartbeat = event.heartbeat
            state.incarnations[heartbeat.upstream] = heartbeat.incarnation
        is_directive_due = isinstance(
            event, (cls.HeartbeatReceived, cls.CommandApplied)
        )
        proposed = [cls.Propose(command=command) for command in state.proposals]
        state.proposals = []
        if not is_directive_due or not state.incarnations:
            return proposed
        orders = [
            messages.TaskOrder(task=name, epoch=1, action="run")
            for name in state.machine.jobs
        ]
        return proposed + [
            cls.SendDirective(
                upstream=upstream,
                incarnation=incarnation,
                directive=messages.Directive(tasks=orders),
            )
            for upstream, incarnation in state.incarnations.items()
        ]

    @staticmethod
    def explain(state, id):
        return [f"{id}: no reason"]


def modules():
    return replica.Modules(
        machine=types.SimpleNamespace(
            Machine=FakeMachine,
            apply=apply,
            to_snapshot=to_snapshot,
            from_snapshot=from_snapshot,
        ),
        queries=types.SimpleNamespace(answer=answer),
        directory=types.SimpleNamespace(changes=changes),
        scheduler=FakeScheduler,
    )


def free_addresses(count):
    """Return local addresses with ports that are free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


async def wait_until(condition, limit_s=15.0):
    """Wait until a condition holds and return its value."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    while not (value := condition()):
        assert loop.time() < deadline, "condition not met in time"
        await asyncio.sleep(0.01)
    return value


class Fleet:
    """Replicas a, b and c of one group in this process."""

    def __init__(self, path, names="abc"):
        self.path = str(path)
        self.address_by_name = dict(zip(names, free_addresses(len(names))))
        self.apps = {}
        self.metrics_by_name = {}
        self.client = stateclient.StateClient(
            list(self.address_by_name.values()),
            messages.Hello(role="entry", name="test"),
        )

    def config(self, name):
        return settings.check(
            {
                "name": name,
                "listen": self.address_by_name[name],
                "data_dir": self.folder(name),
                "peers": list(self.address_by_name.values()),
                **(
                    {"metrics_listen": self.metrics_by_name[name]}
                    if name in self.metrics_by_name
                    else {}
                ),
            },
            stateapp.KNOWN_SETTINGS,
            "test",
        )

    def folder(self, name):
        return os.path.join(self.path, name)

    def delete_folder(self, name):
        shutil.rmtree(self.folder(name))

    async def start_all(self):
        for name in self.address_by_name:
            storage.init_folder(self.folder(name), name, self.address_by_name)
            await self.start(name)
        self.client.start()

    async def start(self, name, **values):
        app = stateapp.StateApplication(self.config(name), modules())
        for key, value in values.items():
            setattr(app, key, value)
        self.apps[name] = app
        await app.on_start()
        return app

    async def stop(self, name):
        """Stop a replica without a transfer of leadership, as a crash would."""
        app = self.apps.pop(name)
        for timer in app._timers:
            timer.cancel()
        await app.on_stop()

    async def stop_all(self):
        self.client.stop()
        for name in list(self.apps):
            await self.stop(name)

    def leader(self):
        leading = [n for n, app in self.apps.items() if app.state.is_leading]
        return leading[0] if len(leading) == 1 else None

    def voters(self):
        name = self.leader()
        if name is None:
            return set()
        members = self.apps[name].state.raft.members
        return {member.identity for member in members.values() if member.is_voter}
