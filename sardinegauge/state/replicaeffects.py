"""Effects of the reducer of the state process, and what it remembers for them."""

from sardinegauge import record


class Reply(record.Record):
    """Effect: answer the request with this token."""

    __slots__ = ("message", "token")


class Push(record.Record):
    """Effect: send a message to an agent outside its heartbeat exchange."""

    __slots__ = ("incarnation", "message", "upstream")


class TaskWaited(record.Record):
    """Effect: count that a task runs after waiting `wait_ms`, for the histogram."""

    __slots__ = ("task_class", "tenant", "wait_ms")


class ApplyMore(record.Record):
    """Effect: send `ApplyNext` soon, after other events had their turn."""

    __slots__ = ()


class Proposal(record.Record):
    """A command in the log that awaits its answer; `token` is None for own ones."""

    __slots__ = ("command", "token")
