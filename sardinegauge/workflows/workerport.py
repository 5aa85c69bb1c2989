"""What an agent asks of the worker beside it, whose protocol an adapter speaks."""

import abc

from sardinegauge import record

# How a worker answers a call.
DONE = "done"
REFUSED = "refused"
OTHER_LIFE = "other-life"

# Why a worker refuses a start.
BY_FENCE = "fence"
BY_OLD_RUN = "old"
BY_LEASE = "late"
BY_ROOM = "room"
BY_TICKET = "ticket"
UNHEALTHY = "unhealthy"
MALFORMED = "malformed"
REFUSALS = frozenset(
    {BY_FENCE, BY_OLD_RUN, BY_LEASE, BY_ROOM, BY_TICKET, UNHEALTHY, MALFORMED}
)


class StartCall(record.Record):
    """Start a run; `lease_until_ms` is the end of its lease on the worker's clock."""

    __slots__ = (
        "task",
        "run",
        "payload",
        "checkpoint",
        "ticket",
        "lease_until_ms",
        "fence",
    )


class StopCall(record.Record):
    """Stop a run, and refuse any later start with the same or a lower run number."""

    __slots__ = ("task", "run", "fence")


class HoldCall(record.Record):
    """Renew the leases of all runs and list what runs and what ended.

    `lease_until_ms` 0 renews nothing. The answer waits up to `wait_ms` for an end.
    """

    __slots__ = ("lease_until_ms", "fence", "seen_end", "wait_ms")


class PaceCall(record.Record):
    """Let a run work at a share of its speed, in percent."""

    __slots__ = ("task", "run", "percent", "fence")


class Answer(record.Record):
    """A worker's answer.

    `life` is 0 where the answer doesn't tell it, `clock_ms` the worker's clock.
    `running` holds rows of task, run, checkpoint, progress and load, `ended` rows of
    number, task, run, how and checkpoint; both are None but for a hold.
    """

    __slots__ = ("kind", "reason", "life", "clock_ms", "running", "ended")
    _defaults = {
        "kind": DONE,
        "reason": "",
        "life": 0,
        "clock_ms": 0,
        "running": None,
        "ended": None,
    }


class NoAnswerError(Exception):
    """A call got no whole answer, so it may be carried out now, later or never.

    `is_down` says that nothing listens at the worker's address.
    """

    def __init__(self, reason, is_down=False):
        self.is_down = is_down
        super().__init__(reason)


class Announcement(record.Record):
    """What a worker says of itself."""

    __slots__ = (
        "worker",
        "life",
        "address",
        "pool",
        "failure_domain",
        "rack",
        "labels",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "is_draining",
        "remaining_ms",
        "sequence",
    )
    _defaults = {
        "failure_domain": "",
        "rack": "",
        "labels": list,
        "cpu_millis": 0,
        "memory_mb": 0,
        "accelerators": 0,
        "is_draining": False,
        "remaining_ms": 0,
        "sequence": 0,
    }


class WorkerPort(abc.ABC):
    """Carries out the calls to one worker."""

    @abc.abstractmethod
    async def call(self, announcement, request, timeout_s):
        """Make a call and return its `Answer`.

        Parameters
        ----------
        announcement : Announcement
            The worker that is meant; another one must not carry out the call.
        request : StartCall, StopCall, HoldCall or PaceCall
        timeout_s : float
            Limit for the whole call, in seconds.

        Raises
        ------
        NoAnswerError
            If there is no whole answer in time.
        """

    def close(self):
        """Close all connections."""
