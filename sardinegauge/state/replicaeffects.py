"""Effects of the reducer in `replica`, and its record of pending proposals."""

from sardinegauge import record


class Reply(record.Record):
    """Effect: answer the request with `token`."""

    __slots__ = ("message", "token")


class Push(record.Record):
    """Effect: send a message to an agent that answers none of its requests."""

    __slots__ = ("incarnation", "message", "upstream")


class TaskWaited(record.Record):
    """Effect: record in the metrics that a task waited `wait_ms` until it ran."""

    __slots__ = ("task_class", "tenant", "wait_ms")


class QueuesEncoded(record.Record):
    """Effect: record in the metrics that changes of the queues were encoded."""

    __slots__ = ("byte_count",)


class OrdersCut(record.Record):
    """Effect: record in the metrics that rows were left out of a worker's orders."""

    __slots__ = ("left_out",)


class ScheduleApply(record.Record):
    """Effect: schedule `ApplyCommitted` after the events that are already queued."""

    __slots__ = ()


class CommandRefused(record.Record):
    """Effect: count a command of this leader that the machine called invalid."""

    __slots__ = ("kind",)


class Proposal(record.Record):
    """An appended command that has not been applied.

    `token` is that of the request to answer, None for a command of the leader itself.
    """

    __slots__ = ("command", "token")
