"""Record classes of the wire messages, one per struct of ``wire.capnp``.

Units stand in the field names (``_ms``, ``_mb``). Indexes, terms, versions and epochs
are counted from 1; 0 means none. Those of the agreement stand in
`raftmessages`, those of callers' requests in `httpmessages`.
"""

from sardinegauge import record


class Ping(record.Record):
    """Keeps a link alive; sent when it was idle for a ping interval."""

    __slots__ = ("sent_ms",)
    _defaults = {"sent_ms": 0}


class Hello(record.Record):
    """First frame in each direction of a link."""

    __slots__ = (
        "role",
        "name",
        "identity",
        "address",
        "protocol",
    )
    _defaults = {"role": "", "name": "", "identity": "", "address": "", "protocol": 0}


class JoinRequest(record.Record):
    """A replica with a new identity asks to become a learner."""

    __slots__ = (
        "identity",
        "name",
        "address",
        "failure_domain",
    )
    _defaults = {"identity": "", "name": "", "address": "", "failure_domain": ""}


class JoinReply(record.Record):
    """The leader's answer to a join request."""

    __slots__ = (
        "accepted",
        "leader",
        "reason",
    )
    _defaults = {"accepted": False, "leader": "", "reason": ""}


class Propose(record.Record):
    """A command for the log, as tagged JSON of a `commands` record."""

    __slots__ = (
        "command",
        "deadline_ms",
    )
    _defaults = {"command": b"", "deadline_ms": 0}


class ProposeReply(record.Record):
    """The answer to a command, sent after it was committed and applied."""

    __slots__ = (
        "verdict",
        "answer",
        "index",
        "leader",
        "reason",
    )
    _defaults = {"verdict": "", "answer": b"", "index": 0, "leader": "", "reason": ""}


class Query(record.Record):
    """A linearizable read of the machine."""

    __slots__ = (
        "kind",
        "arguments",
    )
    _defaults = {"kind": "", "arguments": b""}


class QueryReply(record.Record):
    """The answer to a query, as JSON."""

    __slots__ = (
        "verdict",
        "answer",
        "leader",
        "reason",
    )
    _defaults = {"verdict": "", "answer": b"", "leader": "", "reason": ""}


class Poll(record.Record):
    """An entry asks for newer configuration and directory."""

    __slots__ = (
        "name",
        "config_version",
        "directory_version",
        "sequence",
        "queues_version",
    )
    _defaults = {
        "name": "",
        "config_version": 0,
        "directory_version": 0,
        "sequence": 0,
        "queues_version": 0,
    }


class Upstream(record.Record):
    """One upstream of the directory, as entries see it."""

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "failure_domain",
        "rack",
        "services",
        "connections",
        "draining",
        "removed",
    )
    _defaults = {
        "upstream": "",
        "incarnation": "",
        "address": "",
        "failure_domain": "",
        "rack": "",
        "services": list,
        "connections": 0,
        "draining": False,
        "removed": False,
    }


class PollReply(record.Record):
    """Newer configuration and directory, confirmed by a read round."""

    __slots__ = (
        "confirmed",
        "leader",
        "config_version",
        "config",
        "directory_version",
        "is_full_directory",
        "directory",
        "sequence",
        "queues_version",
        "queues",
        "replicas",
    )
    _defaults = {
        "confirmed": False,
        "leader": "",
        "config_version": 0,
        "config": b"",
        "directory_version": 0,
        "is_full_directory": False,
        "directory": list,
        "sequence": 0,
        "queues_version": 0,
        "queues": b"",
        "replicas": list,
    }
    _nested = {"directory": Upstream}


class Room(record.Record):
    """What a worker can carry; memory is in MB."""

    __slots__ = (
        "cores",
        "memory_mb",
        "accelerators",
        "tasks",
        "connections",
    )
    _defaults = {
        "cores": 0.0,
        "memory_mb": 0,
        "accelerators": 0,
        "tasks": 0,
        "connections": 0,
    }


class TaskReport(record.Record):
    """What an agent knows of one task."""

    __slots__ = (
        "task",
        "epoch",
        "phase",
        "reason",
        "checkpoint",
        "cores",
        "memory_mb",
        "progress",
        "throttle",
    )
    _defaults = {
        "task": "",
        "epoch": 0,
        "phase": "",
        "reason": "",
        "checkpoint": "",
        "cores": 0.0,
        "memory_mb": 0,
        "progress": 0.0,
        "throttle": 1.0,
    }


class ServiceLoad(record.Record):
    """Requests and latencies of one service since the last heartbeat."""

    __slots__ = (
        "service",
        "requests",
        "p50_ms",
        "p99_ms",
        "in_flight",
    )
    _defaults = {
        "service": "",
        "requests": 0,
        "p50_ms": 0.0,
        "p99_ms": 0.0,
        "in_flight": 0,
    }


class Heartbeat(record.Record):
    """An agent's announcement, load and whole table of tasks."""

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "failure_domain",
        "rack",
        "services",
        "room",
        "draining",
        "config_version",
        "sequence",
        "tasks",
        "loads",
    )
    _defaults = {
        "upstream": "",
        "incarnation": "",
        "address": "",
        "failure_domain": "",
        "rack": "",
        "services": list,
        "room": Room,
        "draining": False,
        "config_version": 0,
        "sequence": 0,
        "tasks": list,
        "loads": list,
    }
    _nested = {"room": Room, "tasks": TaskReport, "loads": ServiceLoad}


class TaskOrder(record.Record):
    """What shall become of one task at an agent."""

    __slots__ = (
        "task",
        "epoch",
        "action",
        "tenant",
        "job",
        "task_class",
        "cores",
        "memory_mb",
        "accelerators",
        "connections",
        "command",
        "checkpoint",
        "throttle",
    )
    _defaults = {
        "task": "",
        "epoch": 0,
        "action": "",
        "tenant": "",
        "job": "",
        "task_class": "",
        "cores": 0.0,
        "memory_mb": 0,
        "accelerators": 0,
        "connections": 0,
        "command": "",
        "checkpoint": "",
        "throttle": 1.0,
    }


class Directive(record.Record):
    """The whole table of tasks that an agent shall run; a reply renews its lease."""

    __slots__ = (
        "confirmed",
        "leader",
        "sequence",
        "lease_ms",
        "config_version",
        "config",
        "tasks",
        "reason",
    )
    _defaults = {
        "confirmed": False,
        "leader": "",
        "sequence": 0,
        "lease_ms": 0,
        "config_version": 0,
        "config": b"",
        "tasks": list,
        "reason": "",
    }
    _nested = {"tasks": TaskOrder}


class WorkerReport(record.Record):
    """What an agent reports of the worker beside it; `body` is JSON.

    A lease costs a read round, so it is renewed only where the agent wants that.

    The rows of runs and ends are JSON inside the message, since reading a row's fields
    one by one from Cap'n Proto costs several times as much in Python.
    """

    __slots__ = (
        "agent",
        "worker",
        "life",
        "sequence",
        "sent_ms",
        "body",
        "is_lease_wanted",
    )
    _defaults = {
        "agent": "",
        "worker": "",
        "life": 0,
        "sequence": 0,
        "sent_ms": 0,
        "body": b"",
        "is_lease_wanted": False,
    }


class WorkerOrders(record.Record):
    """The leader's orders to an agent; `body` is JSON.

    Only a reply to a report, with `grant_ms`, extends the leases of the worker, counted
    from the report's `sent_ms`. Orders with a lower term or sequence are outdated.
    """

    __slots__ = (
        "confirmed",
        "leader",
        "worker",
        "life",
        "term",
        "sequence",
        "sent_ms",
        "grant_ms",
        "replicas",
        "body",
    )
    _defaults = {
        "confirmed": False,
        "leader": "",
        "worker": "",
        "life": 0,
        "term": 0,
        "sequence": 0,
        "sent_ms": 0,
        "grant_ms": 0,
        "replicas": list,
        "body": b"",
    }
