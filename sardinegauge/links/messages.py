"""Record classes of the wire messages, one per struct of ``wire.capnp``.

Field names end in their unit (``_ms``, ``_mb``). Indexes, terms, versions and epochs
are counted from 1; 0 means none. The messages of the consensus protocol are in
`raftmessages`, those of callers' requests in `httpmessages`.
"""

from sardinegauge import record


class Ping(record.Record):
    """Keepalive, sent on a link that was idle for a ping interval."""

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
    """Request of a replica with a new identity to become a learner."""

    __slots__ = (
        "identity",
        "name",
        "address",
        "failure_domain",
    )
    _defaults = {"identity": "", "name": "", "address": "", "failure_domain": ""}


class JoinReply(record.Record):
    """The leader's reply to a join request."""

    __slots__ = (
        "accepted",
        "leader",
        "reason",
    )
    _defaults = {"accepted": False, "leader": "", "reason": ""}


class Propose(record.Record):
    """A command to append to the log, as tagged JSON of a `commands` record."""

    __slots__ = (
        "command",
        "deadline_ms",
    )
    _defaults = {"command": b"", "deadline_ms": 0}


class ProposeReply(record.Record):
    """Reply to `Propose`, sent after the command was committed and applied."""

    __slots__ = (
        "verdict",
        "answer",
        "index",
        "leader",
        "reason",
    )
    _defaults = {"verdict": "", "answer": b"", "index": 0, "leader": "", "reason": ""}


class Query(record.Record):
    """A linearizable read of the state machine."""

    __slots__ = (
        "kind",
        "arguments",
    )
    _defaults = {"kind": "", "arguments": b""}


class QueryReply(record.Record):
    """Reply to `Query`; `answer` is JSON."""

    __slots__ = (
        "verdict",
        "answer",
        "leader",
        "reason",
    )
    _defaults = {"verdict": "", "answer": b"", "leader": "", "reason": ""}


class Poll(record.Record):
    """Request of an entry for newer configuration, directory and queues.

    Changes of the queues come in parts of at most `queues_part_bytes`. `queues_target`
    and `queues_checksum` name the changes of which `queues_offset` bytes have arrived.
    """

    __slots__ = (
        "name",
        "config_version",
        "directory_version",
        "sequence",
        "queues_version",
        "queues_part_bytes",
        "queues_target",
        "queues_checksum",
        "queues_offset",
    )
    _defaults = {
        "name": "",
        "config_version": 0,
        "directory_version": 0,
        "sequence": 0,
        "queues_version": 0,
        "queues_part_bytes": 0,
        "queues_target": 0,
        "queues_checksum": 0,
        "queues_offset": 0,
    }


class Upstream(record.Record):
    """One upstream in the directory that entries receive."""

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
    """Reply to `Poll`; a confirmed one was checked by a read round.

    `queues` is the part at `queues_offset` of the changes that lead to the version
    `queues_target`, which have `queues_bytes` in all; `queues_version` is the newest.
    `backlog` is the leader's summary of the open work, if it has one. `refusal_index`
    is the applied index while refusals of workflows are recorded, else 0.
    """

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
        "backlog",
        "refusal_index",
        "queues_target",
        "queues_checksum",
        "queues_offset",
        "queues_bytes",
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
        "backlog": b"",
        "refusal_index": 0,
        "queues_target": 0,
        "queues_checksum": 0,
        "queues_offset": 0,
        "queues_bytes": 0,
    }
    _nested = {"directory": Upstream}


class Room(record.Record):
    """Capacity of a worker."""

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
    """State of one task as reported by its agent."""

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
    """Request count and latencies of one service since the last heartbeat."""

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
    """Address, capacity, load and complete task list of an agent."""

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
    """Instruction to an agent for one task."""

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
    """Complete list of the tasks of an agent.

    As the reply to a heartbeat, it also renews the agent's lease.
    """

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
    """An agent's report on the worker on its VM; `body` is JSON.

    Renewing a lease costs the leader a read round, so it is done only for reports with
    `is_lease_wanted`.

    The rows of runs and ends are JSON inside the message, since reading their fields
    one by one from Cap'n Proto takes several times as long in Python.
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

    Only a reply to a report extends the leases of the worker, by `grant_ms` counted
    from the report's `sent_ms`. Orders with a lower term or sequence than the
    latest ones are outdated.
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
