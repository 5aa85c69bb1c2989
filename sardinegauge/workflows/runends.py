"""What follows for the leader when the ends of runs are recorded; soft state."""

import logging

from sardinegauge.workflows import recovery, schedulerevents, store, waitingcount

log = logging.getLogger(__name__)


def on_recorded(state, event):
    """Drop what was kept about the runs of a `commands.RecordEnds`, and log them."""
    command = event.command
    for number, task_id, run_number, how, _ in command.rows:
        lost = state.throttle_times.pop((task_id, run_number), state.now_ms)
        log.info(
            "run_end_recorded task=%s run=%d worker=%s number=%d how=%s "
            "throttled_ms=%d paused_ms=%d",
            task_id,
            run_number,
            command.worker,
            number,
            how,
            lost.lost_ms,
            lost.paused_ms,
        )
        place = (command.worker, command.life)
        state.end_ms_by_recent_run[task_id, run_number, *place] = state.now_ms
        recovery.on_end(state, (task_id, run_number), command.worker, how)
        _emit_run_ended(state, task_id, how, lost.lost_ms)
        state.stop_reason_by_run.pop((task_id, run_number), None)
        state.cpu_cap_by_run.pop((task_id, run_number), None)
        state.slow_since_ms_by_run.pop((task_id, run_number), None)
        if number:
            _update_health(state, command.worker, task_id, how)
    state.run_times.on_ends_recorded(state.store, command)
    state.push(command.worker, command.life)


def _emit_run_ended(state, task_id, how, throttled_ms):
    workflow, _, _ = state.store.find_task(task_id)
    if workflow is None:
        return
    state.effects.append(
        schedulerevents.RunEnded(
            queue=workflow.queue, how=how, throttled_ms=throttled_ms
        )
    )
    if not workflow.is_open and workflow.id in state.open_ids:
        on_workflow_ended(state, workflow)


def on_workflow_ended(state, workflow):
    """Drop what was kept about a workflow that has ended, and log its end."""
    state.open_ids.discard(workflow.id)
    waitingcount.on_workflow_ended(state, workflow)
    for task in workflow.tasks():
        state.moved_from_by_task.pop(task.id, None)
    state.advice_tracker.drop_workflow(workflow.id)
    lasted_ms = workflow.ended_at_ms - workflow.accepted_at_ms
    log.info(
        "workflow_ended id=%s queue=%s state=%s lasted_ms=%d reason=%r",
        workflow.id,
        workflow.queue,
        workflow.state,
        lasted_ms,
        workflow.reason,
    )
    state.effects.append(
        schedulerevents.WorkflowEnded(
            queue=workflow.queue, state=workflow.state, lasted_ms=lasted_ms
        )
    )


def _update_health(state, worker, task_id, how):
    if how == store.DONE:
        state.health.record_success(worker)
        state.failed_workers_by_task.pop(task_id, None)
    elif how == store.FAILED:
        failed_workers = state.failed_workers_by_task.setdefault(task_id, set())
        failed_workers.add(worker)
        # Failures of a task on several workers are not attributed to the later ones.
        if len(failed_workers) == 1:
            state.health.record_failure(worker, state.now_ms)


def drop_released(state):
    """Drop what is kept about runs that the store removed without an end."""
    for row_by_run in (
        state.stop_reason_by_run,
        state.cpu_cap_by_run,
        state.slow_since_ms_by_run,
    ):
        for key in list(row_by_run):
            if _is_released(state, key):
                del row_by_run[key]
    for key in state.throttle_times.runs():
        if _is_released(state, key):
            state.throttle_times.pop(key, state.now_ms)


def _is_released(state, key):
    task_id, run_number = key
    _, _, task = state.store.find_task(task_id)
    return task is None or all(run.number != run_number for run in task.runs)
