"""Executes the worker effects of the agent's reducer and reports results as events."""

from sardinegauge import clock
from sardinegauge.agents import agentevents, hostedtask, worker


class WorkerCalls:
    """Calls of one agent to its worker.

    Parameters
    ----------
    worker_api : worker.Worker
    handle : callable
        Called with the event of each result.
    log : logger
        Receives a warning for each call without an answer.
    """

    def __init__(self, worker_api, handle, log):
        self.worker = worker_api
        self.handle = handle
        self.log = log
        self.is_polling = False

    def execute(self, effect):
        """Return the coroutine that executes one effect."""
        return _METHODS[type(effect)](self, effect)

    async def _call(self, task, epoch, call, to_event):
        """Await a call for a task and report its answer or its failure."""
        try:
            answer = await call
        except worker.WorkerError as error:
            self.log.warning("worker_call_failed", task=task, error=str(error))
            event, fields = agentevents.WorkerCallFailed, {}
        else:
            event, fields = to_event(answer)
        if event is not None:
            self.handle(
                event(now_ms=clock.monotonic_ms(), task=task, epoch=epoch, **fields)
            )

    def start_task(self, effect):
        """Start a task on the worker."""
        order = effect.order
        return self._call(
            order.task,
            order.epoch,
            self.worker.start(order, effect.lease_until_ms),
            _start_event,
        )

    def checkpoint_task(self, effect):
        """Checkpoint a task on the worker."""
        return self._call(
            effect.task,
            effect.epoch,
            self.worker.checkpoint(effect.task, effect.epoch),
            lambda answer: (agentevents.CheckpointAnswered, {"checkpoint": answer}),
        )

    def throttle_task(self, effect):
        """Limit a task's cores."""
        return self._call(
            effect.task,
            effect.epoch,
            self.worker.throttle(effect.task, effect.epoch, effect.share),
            lambda answer: (None, {}),
        )

    def stop_task(self, effect):
        """Stop a task on the worker."""
        return self._call(
            effect.task,
            effect.epoch,
            self.worker.stop(effect.task, effect.epoch),
            lambda answer: (agentevents.StopAnswered, {"phase": answer}),
        )

    async def renew_tasks(self, effect):
        """Renew the worker's leases; a failed call is made up for by the next one."""
        try:
            await self.worker.renew(effect.tasks, effect.lease_until_ms)
        except worker.WorkerError as error:
            self.log.warning("renew_failed", error=str(error))

    async def poll_worker(self, effect):
        """Request the statuses of all tasks, unless a request is in progress."""
        if self.is_polling:
            return
        self.is_polling = True
        requested_at_ms = clock.monotonic_ms()
        try:
            statuses = await self.worker.tasks()
        except worker.WorkerError as error:
            self.log.warning("tasks_failed", error=str(error))
            statuses = None
        finally:
            self.is_polling = False
        self.handle(
            agentevents.WorkerPolled(
                now_ms=clock.monotonic_ms(),
                requested_at_ms=requested_at_ms,
                statuses=statuses,
            )
        )


def _start_event(answer):
    if answer is None:
        return None, {}
    return agentevents.StartAnswered, {"is_taken": not answer, "reason": answer}


_METHODS = {
    agentevents.RenewTasks: WorkerCalls.renew_tasks,
    agentevents.PollWorker: WorkerCalls.poll_worker,
    hostedtask.Start: WorkerCalls.start_task,
    hostedtask.Checkpoint: WorkerCalls.checkpoint_task,
    hostedtask.Throttle: WorkerCalls.throttle_task,
    hostedtask.Stop: WorkerCalls.stop_task,
}
