"""Background coroutines whose tasks are referenced until they end."""

import asyncio
import logging

log = logging.getLogger(__name__)
_running = set()


def spawn(coroutine):
    """Run a coroutine in the background and return its task.

    The event loop itself holds tasks weakly, so a task without another reference may
    be collected before it ends. An exception is logged, since nobody awaits the task.
    """
    task = asyncio.ensure_future(coroutine)
    _running.add(task)
    task.add_done_callback(_finish)
    return task


def _finish(task):
    _running.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log.error("background_task_failed", exc_info=task.exception())
