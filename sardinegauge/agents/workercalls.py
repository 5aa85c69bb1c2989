"""Executes the effects on the worker and reports their answers as events."""

from sardinegauge import clock
from sardinegauge.agents import agentevents, hostedtask, worker


class WorkerCalls:
    """Calls of one agent to its worker.

    Parameters
    ----------
    calls : worker.Worker
    handle : callable
        Takes the event of an answer.
    log : logger
        Takes a line for each call without an answer.
    """

    def __init__(self, calls, handle, log):
        self.worker = calls
        self.handle = handle
        self.log = log
        self.is_asking_tasks = False

    def execute(self, effect):
        """Return the coroutine that carries out one effect."""
        return _METHODS[type(effect)](self, effect)

    async def _call(self, task, epoch, call, to_event):
        """Make one call for a task and report its answer or its failure."""
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
        """Start a task at the worker."""
        order = effect.order
        return self._call(
            order.task,
            order.epoch,
            self.worker.start(order, effect.lease_until_ms),
            _start_event,
        )

    def checkpoint_task(self, effect):
        """Have a task's progress saved."""
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
        """Stop a task at the worker."""
        return self._call(
            effect.task,
            effect.epoch,
            self.worker.stop(effect.task, effect.epoch),
            lambda answer: (agentevents.StopAnswered, {"phase": answer}),
        )

    async def renew_tasks(self, effect):
        """Extend the worker's leases; a lost call is repeated by the next one."""
        try:
            await self.worker.renew(effect.tasks, effect.lease_until_ms)
        except worker.WorkerError as error:
            self.log.warning("renew_failed", error=str(error))

    async def ask_tasks(self, effect):
        """Ask the worker for its table, one call at a time."""
        if self.is_asking_tasks:
            return
        self.is_asking_tasks = True
        asked_ms = clock.monotonic_ms()
        try:
            statuses = await self.worker.tasks()
        except worker.WorkerError as error:
            self.log.warning("tasks_failed", error=str(error))
            statuses = None
        finally:
            self.is_asking_tasks = False
        self.handle(
            agentevents.WorkerSeen(
                now_ms=clock.monotonic_ms(), asked_ms=asked_ms, statuses=statuses
            )
        )


def _start_event(answer):
    if answer is None:
        return None, {}
    return agentevents.StartAnswered, {"is_taken": not answer, "reason": answer}


_METHODS = {
    agentevents.RenewTasks: WorkerCalls.renew_tasks,
    agentevents.AskTasks: WorkerCalls.ask_tasks,
    hostedtask.Start: WorkerCalls.start_task,
    hostedtask.Checkpoint: WorkerCalls.checkpoint_task,
    hostedtask.Throttle: WorkerCalls.throttle_task,
    hostedtask.Stop: WorkerCalls.stop_task,
}
