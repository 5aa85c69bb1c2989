"""Account of what lasting tasks spend their time on, by queue.

Their worth is lost in three ways that look alike to callers: a task waits for a worker,
is being started, or is over its latency target. The leader counts the tasks in each
state once a second, so that the metrics tell these apart.
"""

import logging

from sardinegauge.workflows import schedulerevents, views

INTERVAL_MS = 1000
# A leader that was stalled does not know the states of the time before.
MAX_INTERVAL_MS = 3000

# States of a task: no run is assigned; its run is not known to be at work; the report
# of its worker is old, or its worker does not answer; at work; at work and over target.
WAITING = "waiting"
STARTING = "starting"
UNREACHABLE = "unreachable"
AT_WORK = "at_work"
OVER_TARGET = "over_target"
STATES = (WAITING, STARTING, UNREACHABLE, AT_WORK, OVER_TARGET)

log = logging.getLogger(__name__)


class Account:
    """When the lasting tasks were last counted; soft state of the leader."""

    __slots__ = ("counted_ms",)

    def __init__(self):
        self.counted_ms = 0


def tick(state):
    """Count the lasting tasks by queue and state, if that is due."""
    account = state.lasting_account
    lasted_ms = state.now_ms - account.counted_ms
    if lasted_ms < INTERVAL_MS:
        return
    account.counted_ms = state.now_ms
    if lasted_ms > MAX_INTERVAL_MS:
        return
    for queue, count_by_state in count(state).items():
        state.effects.append(
            schedulerevents.LastingTasksCounted(
                queue=queue, lasted_ms=lasted_ms, count_by_state=count_by_state
            )
        )
        if sum(count_by_state.values()) > count_by_state[AT_WORK]:
            found = " ".join(f"{name}={count_by_state[name]}" for name in STATES)
            log.info("lasting_tasks queue=%s %s", queue, found)


def count(state):
    """Return the number of lasting tasks of open workflows by state, by queue."""
    count_by_state_by_queue = {}
    for workflow_id in state.store.open_ids:
        workflow = state.store.workflow_by_id[workflow_id]
        if not workflow.is_persistent:
            continue
        counts = count_by_state_by_queue.setdefault(
            workflow.queue, dict.fromkeys(STATES, 0)
        )
        for task in workflow.tasks():
            if task.step.is_persistent:
                counts[_state_of(state, task)] += 1
    return count_by_state_by_queue


def _state_of(state, task):
    if not task.runs:
        return WAITING
    run = task.runs[-1]
    view = state.view_by_id.get(run.worker)
    if view is None or view.incarnation != run.incarnation:
        return UNREACHABLE
    if view.is_lapsed or not view.is_fresh(state.now_ms):
        return UNREACHABLE
    reported = view.runs.get((task.id, run.number))
    if reported is None or reported.phase != views.ACTIVE or reported.progress < 100:
        return STARTING
    if task.step.target_ms and reported.load > task.step.target_ms:
        return OVER_TARGET
    return AT_WORK
