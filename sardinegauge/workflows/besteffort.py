"""Throttling of best-effort tasks beside latency-critical tasks.

A task that stays slow moves to another worker on which it would run faster.
"""

import logging
import math

from sardinegauge.workflows import (
    availability,
    interference,
    outlooks,
    schedulerevents,
    throttletimes,
    throttling,
    views,
)
from sardinegauge.workflows.policies import coreshares

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
THROTTLING_LOG_MS = 1000
# A run is active for this long before its load, a mean of half a second, is used.
MIN_LOAD_MS = 1000
# A run that uses less than this share of what its cap allows is taken to be stuck.
STUCK_LOAD_SHARE = 0.1
log = logging.getLogger(__name__)


def move_slow_best_effort_tasks(state):
    """Stop the best-effort tasks that would finish earlier on another worker.

    Each task moves at most once, and at most `MAX_CONCURRENT_MOVES` move at a time.
    """
    moving = sum(reason == SLOW_REASON for reason in state.stop_reason_by_run.values())
    destinations = None
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
        workflow, occurrence, task = state.store.find_task(task_id)
        run = _find_run(task, run_number)
        if run is None or not workflow.is_open or not task.step.is_checkpointing:
            del state.slow_since_ms_by_run[run_key]
            continue
        gain_ms = _move_gain_ms(state, run_key, run, task)
        if gain_ms <= MIN_MOVE_GAIN_MS:
            continue
        if not availability.may_stop(state, occurrence, task):
            continue
        destinations = destinations or _Destinations(state)
        pool = state.store.queue_of(workflow).pool
        if destinations.reserve(pool, task.step, run.worker):
            moving += 1
            _move(state, run_key, run, since_ms, gain_ms)


def _move(state, run_key, run, since_ms, gain_ms):
    task_id, _ = run_key
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


class _Destinations:
    """Workers on which a moved best-effort task runs at full speed.

    It is made for many slow tasks and few idle workers: each kind of task that finds no
    worker is looked up only once.
    """

    __slots__ = ("_candidates", "_is_backing_off", "_unplaceable")

    def __init__(self, state):
        self._candidates = state.candidates.find_usable(state, state.now_ms)
        self._is_backing_off = state.health.is_backing_off
        self._unplaceable = set()

    def reserve(self, pool, step, worker):
        """Reserve room on another worker than this one; return whether there is any."""
        kind = (pool, step.required_label, step.image, step.cpu_millis, step.memory_mb)
        if kind in self._unplaceable:
            return False
        suitable = [
            candidate
            for candidate in self._candidates
            if candidate.view.pool == pool and self._is_suitable(candidate, step)
        ]
        if not suitable:
            self._unplaceable.add(kind)
        for candidate in suitable:
            if candidate.view.id != worker:
                candidate.reserve(step)
                return True
        return False

    def _is_suitable(self, candidate, step):
        label = step.required_label
        return (
            candidate.idle_millis >= step.cpu_millis
            and candidate.free.fits(step)
            and (not label or label in candidate.view.labels)
            and not self._is_backing_off(candidate.view.id)
            and candidate.headroom(step) > MIN_MOVE_HEADROOM
        )


def best_effort_tasks_on_worker(state, view):
    """Return an `interference.BestEffortTask` for each best-effort task on a worker."""
    best_effort_tasks = []
    for key, task in state.store.runs_of(view.id, view.incarnation).items():
        reported = view.runs.get(key)
        if task.step.is_filler and key not in view.ended:
            rank = _task_rank(state, task)
            best_effort_tasks.append(
                _describe_best_effort_task(view, key, task.step, reported, rank)
            )
    return best_effort_tasks


def _task_rank(state, task):
    """Return the sort key of a task among those that may be throttled."""
    wall_ms = state.now_ms + state.wall_offset_ms
    return state.urgency.rank(outlooks.of_task(state, task, wall_ms))


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


def resolve_cpu_caps(state, view):
    """Take the CPU cap that an agent does not know for none, where no task gets one.

    The cap of a best-effort task stays unknown until it is set anew.
    """
    runs = state.store.runs_of(view.id, view.incarnation)
    for key, reported in view.runs.items():
        if reported.cpu_cap == views.UNKNOWN_CPU_CAP and key in runs:
            if not runs[key].step.is_filler:
                reported.cpu_cap = views.FULL_CPU_CAP


def update_cpu_caps(state, view):
    """Update the model with the latencies of a report, and set the CPU caps."""
    if not _has_latency_critical_task(state, view):
        state.interference.drop_worker(view.id)
        if set_cpu_caps(state, view):
            state.push(view.id, view.incarnation)
        return
    latencies = _latencies(state, view)
    best_effort_tasks = best_effort_tasks_on_worker(state, view)
    active = [
        best_effort_task
        for best_effort_task in best_effort_tasks
        if best_effort_task.key in view.runs
        and view.runs[best_effort_task.key].phase == views.ACTIVE
    ]
    over_ms_by_key = state.interference.observe(
        view.id, latencies, active, state.now_ms
    )
    _emit_over_target(state, over_ms_by_key)
    over_ms = state.interference.over_target_ms(view.id, state.now_ms)
    if over_ms > throttling.OVER_TARGET_LIMIT_MS and active:
        log.info(
            "fillers_slowed worker=%s over_ms=%d fillers=%d latencies=%s",
            view.id,
            over_ms,
            len(active),
            ",".join(
                f"{latency_ms}/{target_ms}" for _, _, latency_ms, target_ms in latencies
            ),
        )
    if _apply_cpu_caps(state, view, best_effort_tasks):
        state.push(view.id, view.incarnation)
    state.interference.stats.add_caps(
        [state.cpu_cap_by_run.get(task.key, 100) for task in best_effort_tasks]
    )


def _emit_over_target(state, over_ms_by_key):
    """Count how long tasks were over their target that are not any more."""
    for (task_id, _), over_ms in over_ms_by_key.items():
        workflow, _, _ = state.store.find_task(task_id)
        if workflow is not None:
            state.effects.append(
                schedulerevents.OverTargetEnded(queue=workflow.queue, lasted_ms=over_ms)
            )


def log_throttling(state):
    """Log once a second how well latencies are forecast, and what the caps are."""
    if state.now_ms - state.throttling_logged_ms < THROTTLING_LOG_MS:
        return
    state.throttling_logged_ms = state.now_ms
    stats = state.interference.take_stats()
    if stats.sample_count:
        log.info(
            "best_effort_throttling samples=%d over=%d error=%.3f best_effort=%d "
            "capped=%d paused=%d",
            stats.sample_count,
            stats.over_count,
            stats.rms_error,
            stats.best_effort_count,
            stats.capped_count,
            stats.paused_count,
        )


def _has_latency_critical_task(state, view):
    """Return whether the worker runs a latency-critical task, or is about to."""
    runs = state.store.runs_of(view.id, view.incarnation)
    if any(task.step.target_ms for task in runs.values()):
        return True
    # A run of a cancelled workflow may still be active.
    return any(
        task is not None and task.step.target_ms
        for task in (
            state.store.find_task(task_id)[2]
            for task_id, run_number in view.runs
            if (task_id, run_number) not in runs
        )
    )


def _latency_critical_images(state, view):
    """Return the images of the latency-critical runs of a worker by run key."""
    return {
        key: task.step.image
        for key, task in state.store.runs_of(view.id, view.incarnation).items()
        if task.step.target_ms and key not in view.ended
    }


def _latencies(state, view):
    """Return the rows of `interference.InterferenceModel.observe` for a report."""
    latencies = []
    for key, reported in view.runs.items():
        if reported.phase != views.ACTIVE:
            continue
        _, _, task = state.store.find_task(key[0])
        if task is not None and task.step.target_ms:
            step = task.step
            latencies.append((key, step.image, reported.load, step.target_ms))
    return latencies


def set_cpu_caps(state, view):
    """Set the CPU caps of best-effort tasks; return whether any changed."""
    has_latency_critical_task = _has_latency_critical_task(state, view)
    if not has_latency_critical_task and not _is_shared_in_order(state, view):
        return _remove_cpu_caps(state, view)
    best_effort_tasks = best_effort_tasks_on_worker(state, view)
    if has_latency_critical_task:
        return _apply_cpu_caps(state, view, best_effort_tasks)
    shares = _core_shares(state, view, best_effort_tasks, {})
    return _order_caps(state, _to_caps(shares, {}))


def _apply_cpu_caps(state, view, best_effort_tasks):
    """Set the caps beside latency-critical tasks; return whether any changed."""
    state.interference.expect(
        view.id, _latency_critical_images(state, view), state.now_ms
    )
    caps = throttling.cpu_caps(
        state.interference, view.id, best_effort_tasks, state.now_ms
    )
    shares = {task.key: 1.0 for task in best_effort_tasks}
    if _is_shared_in_order(state, view):
        shares = _core_shares(state, view, best_effort_tasks, caps)
    return _order_caps(state, _to_caps(shares, caps))


def _core_shares(state, view, best_effort_tasks, cap_by_run):
    """Return the shares of the left-over cores under the caps, by run key."""
    runs = state.store.runs_of(view.id, view.incarnation)
    batch_millis = latency_critical_millis = 0
    for task in runs.values():
        if task.step.target_ms:
            latency_critical_millis += task.step.cpu_millis
        elif not task.step.is_filler:
            batch_millis += task.step.cpu_millis
    left_millis = coreshares.left_over_millis(
        view.capacity.cpu_millis, batch_millis, latency_critical_millis
    )
    demands = [
        (task.key, runs[task.key].step.cpu_millis * cap_by_run.get(task.key, 100) / 100)
        for task in sorted(best_effort_tasks, key=lambda task: task.rank)
    ]
    return state.core_sharing.shares(left_millis, demands)


def _is_shared_in_order(state, view):
    """Return whether the worker is, or was lately, short of cores."""
    runs = state.store.runs_of(view.id, view.incarnation)
    if _is_short_of_cores(view, runs):
        end_ms = state.now_ms + coreshares.SHORTAGE_MS
        state.short_until_ms_by_worker[view.id] = end_ms
        return True
    if state.now_ms < state.short_until_ms_by_worker.get(view.id, 0):
        return True
    state.short_until_ms_by_worker.pop(view.id, None)
    return False


def _is_short_of_cores(view, runs):
    """Return whether the report shows a shortage.

    Left out are new runs, which have no load yet, and those that use next to nothing: a
    shortage leaves each run its share, so that they are stuck.
    """
    demands, used_millis = [], 0
    for key, reported in view.runs.items():
        task = runs.get(key)
        if task is None or not task.step.is_filler or reported.phase != views.ACTIVE:
            continue
        if reported.cpu_cap == views.UNKNOWN_CPU_CAP:
            continue
        allowed_millis = task.step.cpu_millis * reported.cpu_cap / 100
        is_stuck = reported.load < STUCK_LOAD_SHARE * allowed_millis
        if reported.survived_ms >= MIN_LOAD_MS and not is_stuck:
            demands.append((key, allowed_millis))
            used_millis += reported.load
    return len(demands) > 1 and coreshares.is_short(demands, used_millis)


def _to_caps(share_by_run, cap_by_run):
    """Return the caps reduced by the shares, as multiples of the step of a cap.

    Only a run that is paused because of interference gets a cap of 0.
    """
    step = throttling.CPU_CAP_STEP_PERCENT
    caps = {}
    for key, share in share_by_run.items():
        limit = cap_by_run.get(key, 100)
        reduced = int(share * limit // step) * step
        caps[key] = max(reduced, step) if limit else 0
    return caps


def _order_caps(state, cap_by_run):
    """Set the caps of the runs; return whether any changed."""
    is_changed = False
    for key, cpu_cap in cap_by_run.items():
        is_changed = is_changed or state.cpu_cap_by_run.get(key, 100) != cpu_cap
        state.cpu_cap_by_run[key] = cpu_cap
        state.throttle_times.set_cap(key, cpu_cap, state.now_ms)
        if cpu_cap > LOW_CPU_CAP_PERCENT:
            state.slow_since_ms_by_run.pop(key, None)
        else:
            state.slow_since_ms_by_run.setdefault(key, state.now_ms)
    return is_changed


def _remove_cpu_caps(state, view):
    """Remove all CPU caps on a worker; return whether there were any."""
    is_changed = False
    for key in state.store.runs_of(view.id, view.incarnation):
        if state.cpu_cap_by_run.pop(key, 100) != 100:
            is_changed = True
            state.throttle_times.set_cap(
                key, throttletimes.FULL_SPEED_PERCENT, state.now_ms
            )
            state.slow_since_ms_by_run.pop(key, None)
    return is_changed
