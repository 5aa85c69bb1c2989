"""Records of the task host: phases, calls to the worker and one hosted task."""

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
    """Start a task; void when executed at or after `lease_until_ms`."""

    __slots__ = ("order", "lease_until_ms")


class Checkpoint(record.Record):
    """Have the worker save a task's progress; `attempt` counts from 1."""

    __slots__ = ("task", "epoch", "attempt")


class Throttle(record.Record):
    """Limit a task to a share of its cores, 0 to 1."""

    __slots__ = ("task", "epoch", "share")


class Stop(record.Record):
    """Stop a task; also makes the worker forget an ended one."""

    __slots__ = ("task", "epoch")


class Ended(record.Record):
    """A task ended; for the log and the histograms. Times in ms."""

    __slots__ = ("order", "phase", "reason", "ran_ms")


class Hosted(record.Record):
    """One task at this agent.

    `reported_sequence` is the first heartbeat that reported the task in its present
    kind (live or ended), 0 before; `called_ms` is when the last call to the worker
    began; `retry_ms` is when it is repeated; `is_confirmed` says that the worker has
    the task; `is_throttle_lost` says that a throttle call got no answer; `next_order`
    is a start that waits for the end of this epoch.
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
        "checkpoint_tries",
        "reported_sequence",
        "started_ms",
        "called_ms",
        "retry_ms",
        "is_confirmed",
        "is_throttle_lost",
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
        "checkpoint_tries": 0,
        "reported_sequence": 0,
        "called_ms": 0,
        "retry_ms": 0,
        "is_confirmed": False,
        "is_throttle_lost": False,
        "next_order": None,
    }

    @property
    def is_ended(self):
        """Tell whether the task holds nothing at the worker any more."""
        return self.phase in ENDED


def report(hosted):
    """Return the `messages.TaskReport` of a hosted task."""
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
