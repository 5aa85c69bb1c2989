"""Events and effects of the agent's reducer.

Points in time, such as `now_ms`, are milliseconds of CLOCK_BOOTTIME. The effects on the
worker are in `hostedtask`, those on requests in `requesttable`.
"""

from sardinegauge import record


class SendHeartbeat(record.Record):
    """Send a heartbeat to the replica at `address`."""

    __slots__ = ("address", "heartbeat")


class RenewTasks(record.Record):
    """Extend the worker's leases of (task, epoch) pairs."""

    __slots__ = ("tasks", "lease_until_ms")


class PollWorker(record.Record):
    """Request the statuses of all tasks from the worker."""

    __slots__ = ()


class ConfigurationChanged(record.Record):
    """A newer configuration is in force."""

    __slots__ = ("version",)


class Drained(record.Record):
    """No request is in flight and no task is live, so the process may stop."""

    __slots__ = ()


class Tick(record.Record):
    """A timer fired; triggers heartbeats, worker polls and retries that are due."""

    __slots__ = ("now_ms",)


class DirectiveReceived(record.Record):
    """A replica sent a directive, as a reply or, with sequence 0, as a push."""

    __slots__ = ("now_ms", "address", "directive")


class HeartbeatFailed(record.Record):
    """A heartbeat got no answer: no open link, link closed, or timed out."""

    __slots__ = ("now_ms", "address", "sequence")


class RequestArrived(record.Record):
    """An entry sent a request; `request` is its number in this agent process."""

    __slots__ = ("now_ms", "request", "head")


class RequestAbandoned(record.Record):
    """The caller left, the deadline passed or the response stalled.

    A request that is still waiting must not be started any more.
    """

    __slots__ = ("now_ms", "request")


class RequestEnded(record.Record):
    """An admitted request ended and its upstream connection is closed.

    `verdict` is the text of an `outcome.Verdict`; `body` is None if the response was
    truncated or exceeds the size limit for stored responses.
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
    """An entry queried a key; `query` is the query's number in this process."""

    __slots__ = ("now_ms", "query", "message")


class WorkerPolled(record.Record):
    """The worker's answer to a poll that was sent at `requested_at_ms`.

    `statuses` are the statuses of its tasks, None without an answer.
    """

    __slots__ = ("now_ms", "requested_at_ms", "statuses")


class StartAnswered(record.Record):
    """The worker accepted or refused to start a task."""

    __slots__ = ("now_ms", "task", "epoch", "is_taken", "reason")


class CheckpointAnswered(record.Record):
    """The worker saved a checkpoint; `checkpoint` is ``""`` if saving failed."""

    __slots__ = ("now_ms", "task", "epoch", "checkpoint")


class StopAnswered(record.Record):
    """The worker confirmed that a task has ended in `phase`."""

    __slots__ = ("now_ms", "task", "epoch", "phase")


class WorkerCallFailed(record.Record):
    """A worker call for a task got no answer; whether it took effect is unknown."""

    __slots__ = ("now_ms", "task", "epoch")


class UpstreamChanged(record.Record):
    """The upstream began or ceased to leave, by its settings or its reachability."""

    __slots__ = ("now_ms", "is_leaving")


class DrainRequested(record.Record):
    """The process is to stop; the agent evicts tasks still live at `evict_at_ms`."""

    __slots__ = ("now_ms", "evict_at_ms")


class Identity(record.Record):
    """Identity that the agent announces; it always serves `services`."""

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
