"""Throttling of best-effort tasks beside latency-critical tasks.

A task that stays slow moves to another worker on which it would run faster.
"""

import logging
import math

from sardinegauge.workflows import interference, views

# A best-effort task with this CPU cap or less for `MIN_SLOW_MS` may move to another
# worker.
LOW_CPU_CAP_PERCENT = 35
MIN_SLOW_MS = 2000
# Time that a move takes: the stop, the commands in the log, and the restore.
MOVE_COST_MS = 2000
# Least time that a move must save in addition.
MIN_MOVE_GAIN_MS = 1500
MAX_CONCURRENT_MOVES = 3
# Limit of the logged gain, which is infinite for a paused best-effort task.
MAX_LOGGED_GAIN_MS = 1e6
# Reason to stop a run that moves.
SLOW_REASON = "slow"
# Headroom that a best-effort task must find on the other worker; see `interference`.
MIN_MOVE_HEADROOM = 0.1
log = logging.getLogger(__name__)


def move_slow_best_effort_tasks(state):
    """Stop the best-effort tasks that would finish earlier on another worker.

    Each task moves at most once, and at most `MAX_CONCURRENT_MOVES` move at a time.
    """
    moving = sum(reason == SLOW_REASON for reason in state.stop_reason_by_run.values())
    for run_key, since_ms in sorted(
        state.slow_since_ms_by_run.items(), key=lambda pair: pair[1]
    ):
        if moving >= MAX_CONCURRENT_MOVES:
            return
        # A task that is slow on a second worker is likely to be slow on a third, too.
        task_id, run_number = run_key
        if run_key in state.stop_reason_by_run or task_id in state.moved_from_by_task:
            continue
        if state.now_ms - since_ms < MIN_SLOW_MS:
            continue
        workflow, _, task = state.store.find_task(task_id)
        run = _find_run(task, run_number)
        if run is None or not workflow.is_open or not task.step.is_checkpointing:
            del state.slow_since_ms_by_run[run_key]
            continue
        gain_ms = _move_gain_ms(state, run_key, run, task)
        pool = state.store.queue_of(workflow).pool
        if gain_ms > MIN_MOVE_GAIN_MS and _has_faster_worker(state, run, task, pool):
            moving += 1
            state.stop_reason_by_run[run_key] = SLOW_REASON
            state.moved_from_by_task[task_id] = run.worker
            state.push(run.worker, run.incarnation)
            log.info(
                "filler_moved task=%s run=%d worker=%s pace=%d slow_ms=%d gain_ms=%.0f",
                *run_key,
                run.worker,
                state.cpu_cap_by_run.get(run_key, 100),
                state.now_ms - since_ms,
                min(gain_ms, MAX_LOGGED_GAIN_MS),
            )


def _find_run(task, run_number):
    if task is None:
        return None
    return next((run for run in task.runs if run.number == run_number), None)


def _move_gain_ms(state, key, run, task):
    """Return how much earlier a best-effort task would finish with a move, in ms."""
    view = state.view_by_id.get(run.worker)
    reported = view.runs.get(key) if view is not None else None
    if reported is None:
        return 0
    left_ms = (1 - reported.progress / 100) * task.step.estimate_ms
    cpu_cap = state.cpu_cap_by_run.get(key, 100)
    stay_ms = left_ms * 100 / cpu_cap if cpu_cap else math.inf
    return stay_ms - left_ms - MOVE_COST_MS


def _has_faster_worker(state, run, task, pool):
    """Return whether another worker of the pool could run the task at full speed."""
    step = task.step
    for view in state.view_by_id.values():
        if view.id == run.worker or view.pool != pool:
            continue
        if not view.may_start(state.now_ms) or state.health.is_backing_off(view.id):
            continue
        demand = interference.usage_units(step.cpu_millis, view.capacity)
        headroom = state.interference.headroom(
            view.id, best_effort_tasks_on_worker(state, view), step.image, demand
        )
        if headroom > MIN_MOVE_HEADROOM:
            return True
    return False


def best_effort_tasks_on_worker(state, view):
    """Return an `interference.BestEffortTask` for each best-effort task on a worker."""
    best_effort_tasks = []
    for key, task in state.store.runs_of(view.id, view.incarnation).items():
        reported = view.runs.get(key)
        if task.step.is_filler and key not in view.ended:
            rank = _workflow_rank(state, task)
            best_effort_tasks.append(
                _describe_best_effort_task(view, key, task.step, reported, rank)
            )
    return best_effort_tasks


def _workflow_rank(state, task):
    """Return the planner's sort key of a task's workflow."""
    workflow, occurrence, _ = state.store.find_task(task.id)
    queue = state.store.queue_of(workflow)
    wall_ms = state.now_ms + state.wall_offset_ms
    return state.planner.ordering.key(workflow, queue, occurrence, wall_ms)


def _describe_best_effort_task(view, key, step, reported, rank):
    """Return a run as an `interference.BestEffortTask`, with its usage if known."""
    demand = interference.usage_units(step.cpu_millis, view.capacity)
    usage = 0.0
    if reported is not None and reported.load > 0:
        usage = interference.usage_units(reported.load, view.capacity)
        # With a low CPU cap, the usage is too small to extrapolate to full speed.
        if reported.cpu_cap >= 50:
            demand = usage * 100 / reported.cpu_cap
    return interference.BestEffortTask(key, step.image, demand, usage, rank)


def update_cpu_caps(state, view):
    """Update the model with the latencies of a report, and set the CPU caps."""
    latencies = []
    for key, reported in view.runs.items():
        task_id, _ = key
        _, _, task = state.store.find_task(task_id)
        if task is not None and task.step.target_ms:
            if reported.phase == views.ACTIVE:
                step = task.step
                latencies.append((key, step.image, reported.load, step.target_ms))
    best_effort_tasks = best_effort_tasks_on_worker(state, view)
    active = [
        best_effort_task
        for best_effort_task in best_effort_tasks
        if best_effort_task.key in view.runs
        and view.runs[best_effort_task.key].phase == views.ACTIVE
    ]
    state.interference.observe(view.id, latencies, active, state.now_ms)
    over_ms = state.interference.over_target_ms(view.id, state.now_ms)
    if over_ms > interference.OVER_TARGET_LIMIT_MS and active:
        log.info(
            "fillers_slowed worker=%s over_ms=%d fillers=%d latencies=%s",
            view.id,
            over_ms,
            len(active),
            ",".join(
                f"{latency_ms}/{target_ms}" for _, _, latency_ms, target_ms in latencies
            ),
        )
    if set_cpu_caps(state, view):
        state.push(view.id, view.incarnation)


def set_cpu_caps(state, view):
    """Set the CPU caps of best-effort tasks; return whether any changed."""
    best_effort_tasks = best_effort_tasks_on_worker(state, view)
    is_changed = False
    for key, cpu_cap in state.interference.cpu_caps(
        view.id, best_effort_tasks, state.now_ms
    ).items():
        is_changed = is_changed or state.cpu_cap_by_run.get(key, 100) != cpu_cap
        state.cpu_cap_by_run[key] = cpu_cap
        if cpu_cap > LOW_CPU_CAP_PERCENT:
            state.slow_since_ms_by_run.pop(key, None)
        else:
            state.slow_since_ms_by_run.setdefault(key, state.now_ms)
    return is_changed
