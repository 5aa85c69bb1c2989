"""Interface of the client through which an agent calls the worker on its VM."""

import abc

from sardinegauge import record

# Kinds of a worker's answer.
DONE = "done"
REFUSED = "refused"
WRONG_INCARNATION = "other-life"

# Reasons of a worker to refuse a call: an outdated fence, a run number that is not
# higher than one stopped or ended before, a lease that has expired, missing capacity,
# an invalid ticket.
STALE_FENCE = "fence"
STALE_RUN = "old"
LEASE_EXPIRED = "late"
NO_CAPACITY = "room"
TICKET_REJECTED = "ticket"
UNHEALTHY = "unhealthy"
MALFORMED = "malformed"
REFUSAL_REASONS = frozenset(
    {
        STALE_FENCE,
        STALE_RUN,
        LEASE_EXPIRED,
        NO_CAPACITY,
        TICKET_REJECTED,
        UNHEALTHY,
        MALFORMED,
    }
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
    """Set the CPU cap of a run, in percent of its full speed."""

    __slots__ = ("task", "run", "percent", "fence")


class Answer(record.Record):
    """A worker's answer.

    `incarnation` is 0 if the answer does not name it; `clock_ms` is the worker's clock.
    `running` holds rows of task, run, checkpoint, progress and load, `ended` rows of
    number, task, run, how and checkpoint; both are None except in answers to a hold.
    """

    __slots__ = ("kind", "reason", "incarnation", "clock_ms", "running", "ended")
    _defaults = {
        "kind": DONE,
        "reason": "",
        "incarnation": 0,
        "clock_ms": 0,
        "running": None,
        "ended": None,
    }


class NoAnswerError(Exception):
    """A call got no complete answer, so the worker may execute it now, later or never.

    `is_down` is True if nothing listens at the worker's address.
    """

    def __init__(self, reason, is_down=False):
        self.is_down = is_down
        super().__init__(reason)


class Announcement(record.Record):
    """A worker's announcement of its incarnation, address, pool and capacity.

    `sequence` rises with each announcement of an incarnation; older ones are ignored.
    `remaining_ms` is the time left until a draining worker ends, `cold_ms` the time for
    which a worker is still cold after its start or a restore of its failure domain.
    """

    __slots__ = (
        "worker",
        "incarnation",
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
        "cold_ms",
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
        "cold_ms": 0,
        "sequence": 0,
    }

    @property
    def capacity(self):
        """The resources as a tuple."""
        return self.cpu_millis, self.memory_mb, self.accelerators


class WorkerClient(abc.ABC):
    """Sends calls to one worker."""

    @abc.abstractmethod
    async def call(self, announcement, request, timeout_s):
        """Send a call and return its `Answer`.

        Parameters
        ----------
        announcement : Announcement
            The worker addressed; another worker must not execute the call.
        request : StartCall, StopCall, HoldCall or PaceCall
        timeout_s : float
            Limit for the whole call, in seconds.

        Raises
        ------
        NoAnswerError
            If there is no complete answer in time.
        """

    def close(self):
        """Close all connections."""
