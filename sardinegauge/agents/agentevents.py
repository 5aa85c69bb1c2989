"""Events and effects of the agent's reducer.

Times (`now_ms`) are milliseconds of CLOCK_BOOTTIME. The effects on the worker are in
`hostedtask`, those on requests in `requesttable`.
"""

from sardinegauge import record


class SendHeartbeat(record.Record):
    """Send a heartbeat to the replica at `address`."""

    __slots__ = ("address", "heartbeat")


class RenewTasks(record.Record):
    """Extend the worker's leases of (task, epoch) pairs."""

    __slots__ = ("tasks", "lease_until_ms")


class AskTasks(record.Record):
    """Ask the worker for its table of tasks."""

    __slots__ = ()


class ConfigurationChanged(record.Record):
    """A newer configuration is in force."""

    __slots__ = ("version",)


class Drained(record.Record):
    """Nothing is in flight and no task is live; the process may stop."""

    __slots__ = ()


class Tick(record.Record):
    """Time passes; also brings heartbeats, polls and retries."""

    __slots__ = ("now_ms",)


class DirectiveReceived(record.Record):
    """A directive came from a replica, as a reply or as a push (sequence 0)."""

    __slots__ = ("now_ms", "address", "directive")


class HeartbeatFailed(record.Record):
    """A heartbeat was not answered: link closed, none open, or no answer in time."""

    __slots__ = ("now_ms", "address", "sequence")


class RequestArrived(record.Record):
    """An entry opened an exchange; `request` is its number in this process."""

    __slots__ = ("now_ms", "request", "head")


class RequestGone(record.Record):
    """The caller of a request left; nothing of it may start any more."""

    __slots__ = ("now_ms", "request")


class RequestEnded(record.Record):
    """An admitted request ended and its upstream connection is closed.

    `verdict` is an `outcome.Verdict` value as text; `body` is None when it was cut or
    is over the limit for stored responses.
    """

    __slots__ = (
        "now_ms",
        "request",
        "verdict",
        "duration_ms",
        "status",
        "headers",
        "body",
    )
    _defaults = {"duration_ms": 0.0, "status": 0, "headers": list, "body": None}


class KeyQueried(record.Record):
    """An entry asks about a key; `query` is its number in this process."""

    __slots__ = ("now_ms", "query", "message")


class WorkerSeen(record.Record):
    """The worker's table, or None when it did not answer."""

    __slots__ = ("now_ms", "asked_ms", "statuses")


class StartAnswered(record.Record):
    """The worker took or refused a start."""

    __slots__ = ("now_ms", "task", "epoch", "is_taken", "reason")


class CheckpointAnswered(record.Record):
    """The worker saved a checkpoint; empty when it could not."""

    __slots__ = ("now_ms", "task", "epoch", "checkpoint")


class StopAnswered(record.Record):
    """The worker confirmed that a task ended, in the phase given."""

    __slots__ = ("now_ms", "task", "epoch", "phase")


class WorkerCallFailed(record.Record):
    """A call for a task got no answer, and whether it took effect is unknown."""

    __slots__ = ("now_ms", "task", "epoch")


class UpstreamChanged(record.Record):
    """The upstream became reachable or not, or is leaving by its settings."""

    __slots__ = ("now_ms", "is_leaving")


class DrainAsked(record.Record):
    """The process shall stop; tasks left at `evict_at_ms` are evicted by the agent."""

    __slots__ = ("now_ms", "evict_at_ms")


class Identity(record.Record):
    """What the agent announces of itself; `services` are those it always serves."""

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "failure_domain",
        "rack",
        "services",
        "room",
    )
    _defaults = {"failure_domain": "", "rack": "", "services": list}
