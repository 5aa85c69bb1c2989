"""Client of the platform's worker API: an abstract base class and an HTTP client."""

import abc

from sardinegauge import clock, record
from sardinegauge.agents import hostedtask
from sardinegauge.links import httpcall

CALL_TIMEOUT_S = 1.0
# Saving a checkpoint takes longer than other calls; `taskhost.PENDING_CALL_RETRY_MS`
# allows for it.
CHECKPOINT_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0
MAX_REASON_LENGTH = 200
MAX_CONNECTIONS = 32


class TaskStatus(record.Record):
    """State of one task on the worker; `memory_mb` in MB, `progress` from 0 to 1."""

    __slots__ = (
        "task",
        "epoch",
        "phase",
        "reason",
        "cores",
        "memory_mb",
        "progress",
    )
    _defaults = {"reason": "", "cores": 0.0, "memory_mb": 0, "progress": 0.0}


class WorkerError(Exception):
    """A call got no valid answer; whether it took effect is unknown."""


class Worker(abc.ABC):
    """Calls to the worker of this agent.

    Every call names the task and its epoch, and the worker refuses older epochs. The
    end of a lease is a point of CLOCK_BOOTTIME in ms. A call whose lease expires before
    the call is written is not sent. All calls raise `WorkerError` if the worker does
    not answer.
    """

    @abc.abstractmethod
    async def start(self, order, lease_until_ms):
        """Start a task; return ``""``, or why the worker refused it.

        Returns None if the lease expired before the call was written.
        """

    @abc.abstractmethod
    async def renew(self, tasks, lease_until_ms):
        """Renew the lease of tasks, given as (task, epoch) pairs."""

    @abc.abstractmethod
    async def checkpoint(self, task, epoch):
        """Checkpoint a task; return the checkpoint, or ``""`` if there is none."""

    @abc.abstractmethod
    async def throttle(self, task, epoch, share):
        """Limit a task to a share of its reserved cores, between 0 and 1."""

    @abc.abstractmethod
    async def stop(self, task, epoch):
        """Stop a task; return the phase in which it ended."""

    def close(self):
        """Close idle connections."""

    @abc.abstractmethod
    async def tasks(self):
        """Return a `TaskStatus` for each task on the worker."""


class HttpWorker(Worker):
    """Client of the worker API over HTTP with JSON bodies.

    A lease is sent as the remaining time (`lease_ms`) and the CLOCK_BOOTTIME of sending
    (`sent_ms`), so that a worker that reads the call late can subtract the delay.
    """

    def __init__(self, address):
        self.pool = httpcall.Pool(address, MAX_CONNECTIONS)

    def close(self):
        """See `Worker.close`."""
        self.pool.close()

    async def _call(self, method, name, make_body, timeout_s=CALL_TIMEOUT_S):
        try:
            return await httpcall.call_json(
                self.pool, method, f"/worker/{name}", make_body, timeout_s
            )
        except (
            httpcall.ConnectError,
            httpcall.TruncatedError,
            TimeoutError,
            ValueError,
        ) as error:
            raise WorkerError(
                f"worker call {name}: {error or 'no answer in time'}"
            ) from error

    async def start(self, order, lease_until_ms):
        """See `Worker.start`."""

        def body():
            return _with_lease(
                {
                    "task": order.task,
                    "epoch": order.epoch,
                    "command": order.command,
                    "checkpoint": order.checkpoint,
                    "cores": order.cores,
                    "memory_mb": order.memory_mb,
                    "accelerators": order.accelerators,
                    "throttle": order.throttle,
                },
                lease_until_ms,
            )

        status, answer = await self._call("POST", "start", body)
        if status == 0:
            return None
        if status == 200:
            return ""
        reason = str(answer.get("reason", f"status {status}"))
        return reason[:MAX_REASON_LENGTH]

    async def renew(self, tasks, lease_until_ms):
        """See `Worker.renew`."""
        named = [{"task": task, "epoch": epoch} for task, epoch in tasks]
        await self._call(
            "POST", "renew", lambda: _with_lease({"tasks": named}, lease_until_ms)
        )

    async def checkpoint(self, task, epoch):
        """See `Worker.checkpoint`."""
        status, answer = await self._call(
            "POST",
            "checkpoint",
            lambda: {"task": task, "epoch": epoch},
            CHECKPOINT_TIMEOUT_S,
        )
        return str(answer.get("checkpoint", "")) if status == 200 else ""

    async def throttle(self, task, epoch, share):
        """See `Worker.throttle`."""
        await self._call(
            "POST",
            "throttle",
            lambda: {"task": task, "epoch": epoch, "share": share},
        )

    async def stop(self, task, epoch):
        """See `Worker.stop`; a task or epoch unknown to the worker counts as stopped.

        The worker records the epoch, so that it refuses a start still in flight.
        """
        status, answer = await self._call(
            "POST", "stop", lambda: {"task": task, "epoch": epoch}, STOP_TIMEOUT_S
        )
        if status in (404, 409):
            return hostedtask.STOPPED
        if status != 200:
            raise WorkerError(f"worker answered stop with status {status}")
        return answer.get("phase", hostedtask.STOPPED)

    async def tasks(self):
        """See `Worker.tasks`."""
        status, answer = await self._call("GET", "tasks", None)
        if status != 200:
            raise WorkerError(f"worker answered tasks with status {status}")
        return [TaskStatus(**item) for item in answer.get("tasks", ())]


def _with_lease(fields, lease_until_ms):
    """Add the remaining lease time to `fields`; return None if it has expired."""
    now_ms = clock.monotonic_ms()
    if now_ms >= lease_until_ms:
        return None
    return {**fields, "lease_ms": lease_until_ms - now_ms, "sent_ms": now_ms}
