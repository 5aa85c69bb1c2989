"""Background tasks with a strong reference until they are done."""

import asyncio
import logging

log = logging.getLogger(__name__)
_running_tasks = set()


def spawn(coroutine):
    """Run a coroutine in the background and return its task.

    The event loop holds only weak references to tasks, so a task without another
    reference may be garbage-collected before it is done. An exception is logged, since
    the task is not awaited.
    """
    task = asyncio.ensure_future(coroutine)
    _running_tasks.add(task)
    task.add_done_callback(_on_done)
    return task


def _on_done(task):
    _running_tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log.error("background_task_failed", exc_info=task.exception())
