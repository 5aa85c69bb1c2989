"""Records of `taskhost`: task phases, calls to the worker and the state of a task."""

from sardinegauge import record
from sardinegauge.links import messages

STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"
STOPPED = "stopped"
FINISHED = "finished"
FAILED = "failed"
REFUSED = "refused"
ENDED = frozenset({STOPPED, FINISHED, FAILED, REFUSED})


class Start(record.Record):
    """Start a task, unless the call would be sent at or after `lease_until_ms`."""

    __slots__ = ("order", "lease_until_ms")


class Checkpoint(record.Record):
    """Ask the worker to checkpoint a task; `attempt` counts from 1."""

    __slots__ = ("task", "epoch", "attempt")


class Throttle(record.Record):
    """Limit a task to a share of its reserved cores, between 0 and 1."""

    __slots__ = ("task", "epoch", "share")


class Stop(record.Record):
    """Stop a task; for an ended task, the worker drops its record of the task."""

    __slots__ = ("task", "epoch")


class TaskEnded(record.Record):
    """A task ended, to be logged and counted; `run_time_ms` counts from its start."""

    __slots__ = ("order", "phase", "reason", "run_time_ms")


class HostedTask(record.Record):
    """State of one task on this agent.

    `reported_sequence` is the sequence number of the first heartbeat that reported the
    task as live or, once the task has ended, as ended; 0 until that heartbeat is sent.
    `called_at_ms` is the start time of the last call to the worker for this task, and
    `retry_at_ms` the time at which the call is repeated. `is_confirmed` is set once
    the worker has reported the task, `is_throttle_unconfirmed` after a throttle call
    without an answer. `next_order` is an order for a newer epoch, which starts after
    this epoch has ended.
    """

    __slots__ = (
        "order",
        "phase",
        "reason",
        "checkpoint",
        "cores",
        "memory_mb",
        "progress",
        "throttle",
        "is_checkpointing",
        "checkpoint_attempts",
        "reported_sequence",
        "started_at_ms",
        "called_at_ms",
        "retry_at_ms",
        "is_confirmed",
        "is_throttle_unconfirmed",
        "next_order",
    )
    _defaults = {
        "phase": STARTING,
        "reason": "",
        "checkpoint": "",
        "cores": 0.0,
        "memory_mb": 0,
        "progress": 0.0,
        "throttle": 1.0,
        "is_checkpointing": False,
        "checkpoint_attempts": 0,
        "reported_sequence": 0,
        "called_at_ms": 0,
        "retry_at_ms": 0,
        "is_confirmed": False,
        "is_throttle_unconfirmed": False,
        "next_order": None,
    }

    @property
    def is_ended(self):
        """Whether the task no longer uses resources of the worker."""
        return self.phase in ENDED


def report(hosted):
    """Return the `messages.TaskReport` for a `HostedTask`."""
    return messages.TaskReport(
        task=hosted.order.task,
        epoch=hosted.order.epoch,
        phase=hosted.phase,
        reason=hosted.reason,
        checkpoint=hosted.checkpoint,
        cores=hosted.cores,
        memory_mb=hosted.memory_mb,
        progress=hosted.progress,
        throttle=hosted.throttle,
    )
