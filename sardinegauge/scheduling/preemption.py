"""Preemption of batch tasks on workers whose services are slow.

Batch tasks are throttled first and evicted only if throttling does not help. Only
workers with a slow service or with throttled tasks are reviewed. Hysteresis avoids
oscillation: a worker must stay slow for some time before the first step, each step is
followed by a settling time, and steps are undone one at a time, each after a cooldown
during which all services were fast. The cooldown doubles whenever the worker becomes
slow again soon after a step was undone.
"""

import abc
import math

from sardinegauge import commands
from sardinegauge.scheduling import interference, views

DEFAULT_THROTTLE_STEPS = (0.6, 0.3)
REVIEW_INTERVAL_MS = 1_000
# A worker must be slow for this long before the first step.
SLOW_BEFORE_STEP_MS = 3_000
# Time after a step without further ones, since reported latencies lag behind.
SETTLE_MS = 8_000
# Services must be fast for this long before a step is undone. The time doubles, up to
# the maximum, if the worker becomes slow again soon after a step was undone.
COOLDOWN_MS = 20_000
MAX_COOLDOWN_MS = 320_000
# A worker must be slow for this long, with no useful throttle step left, before a task
# is evicted.
EVICT_AFTER_MS = 10_000
# Minimum ratio of the gain of a step to its cost. A step that barely pays off would
# soon be undone.
MIN_GAIN_RATIO = 1.3
# Once the oldest batch work has waited this long, the cost of lost batch work reaches
# its maximum of 1 + `QUEUE_COST_FACTOR`.
LONG_QUEUE_MS = 60_000
QUEUE_COST_FACTOR = 15.0
# A throttled task runs for longer, so a step must lower the slow-down that the task
# causes by at least this factor more than it lowers the speed of the task.
MIN_SPEEDUP_RATIO = 1.1
# Tasks expected to end within this time are not evicted.
NEARLY_DONE_S = 20.0
# Work lost by any eviction to the checkpoint, the restart and the warm-up.
RESTART_COST_S = 10.0
# At equal weights, lowering a p99 by one multiple of its base justifies losing this
# much work.
LOST_WORK_PER_P99_MULTIPLE_S = 20.0
# A task is evicted for interference only if the slow-down that it would cause on
# another worker is below this fraction of the present one.
BETTER_PLACE_RATIO = 0.5
# Evictions after which a task is no longer evicted for other work, so that it can
# finish.
MAX_EVICTIONS = 3


class ReviewState:
    """State of the review of one worker.

    Times are in ms; the time of an event that has not occurred is None.
    """

    __slots__ = (
        "acted_ms",
        "cooldown_ms",
        "fast_since_ms",
        "released_ms",
        "slow_since_ms",
    )

    def __init__(self):
        self.acted_ms = None
        self.released_ms = None
        self.slow_since_ms = None
        self.fast_since_ms = None
        self.cooldown_ms = COOLDOWN_MS


class PreemptionPolicy(abc.ABC):
    """Decides how to react on a worker whose services are slow.

    `SLOW_THRESHOLD` and `FAST_THRESHOLD` are logarithms of the ratio of a p99 to its
    base. A worker is slow above the first and fast below the second.
    """

    SLOW_THRESHOLD = math.log(1.3)
    FAST_THRESHOLD = math.log(1.12)

    def victim_cost(self, state, now_ms, task):
        """Return the cost of evicting a task for other work, or None to exempt it.

        The baselines evict the largest tasks, which needs the fewest evictions.
        """
        return 1.0 / (1.0 + task.cores)

    def review(self, state, now_ms, upstream, review_state):
        """Return commands for one worker under review, or None to end its review."""
        view = state.views.get(upstream)
        slowest = _slowest(view)
        throttled_task_ids = _throttled(state, upstream)
        if slowest > self.SLOW_THRESHOLD:
            review_state.fast_since_ms = None
            if review_state.slow_since_ms is None:
                review_state.slow_since_ms = now_ms
                _adjust_cooldown(review_state, now_ms)
            if (
                now_ms - review_state.slow_since_ms < SLOW_BEFORE_STEP_MS
                or _is_settling(review_state, now_ms)
            ):
                return []
            return self.act(state, now_ms, view, review_state, slowest)
        review_state.slow_since_ms = None
        if slowest > self.FAST_THRESHOLD:
            review_state.fast_since_ms = None
            return []
        if review_state.fast_since_ms is None:
            review_state.fast_since_ms = now_ms
        if not throttled_task_ids:
            # The review state is kept through the cooldown, since a worker that becomes
            # slow again before it ends gets a longer one.
            is_cooldown_over = (
                now_ms - review_state.fast_since_ms > review_state.cooldown_ms
            )
            return None if is_cooldown_over else []
        if now_ms - review_state.fast_since_ms < review_state.cooldown_ms:
            return []
        review_state.fast_since_ms = now_ms
        review_state.released_ms = now_ms
        return release_throttle_step(state, now_ms, view, throttled_task_ids)

    @abc.abstractmethod
    def act(self, state, now_ms, view, review_state, slowest):
        """Return commands against interference on a slow worker."""


class NoPreemption(PreemptionPolicy):
    """Baseline: takes no action against slow services."""

    def act(self, state, now_ms, view, review_state, slowest):
        """Return no commands."""
        return []


class EvictLargest(PreemptionPolicy):
    """Baseline: evict the task that uses the most cores, without throttling."""

    def act(self, state, now_ms, view, review_state, slowest):
        """Evict one task if the rate limit of evictions allows it."""
        tasks = [task for task, _ in _batch_runs(state, view.upstream)]
        if not tasks or not state.rate_limits.evictions.available():
            return []
        largest = max(tasks, key=lambda task: (task.cores, task.id))
        review_state.acted_ms = now_ms
        return [
            _evict_one(state, now_ms, largest, "largest task beside a slow service")
        ]


class ThrottleFirst(PreemptionPolicy):
    """Throttles the tasks to which the model attributes slow-downs, then evicts."""

    def victim_cost(self, state, now_ms, task):
        """Return the cost of an eviction in seconds of work, or None to exempt it."""
        return eviction_cost(state, now_ms, task)

    def act(self, state, now_ms, view, review_state, slowest):
        """Throttle the task with the best ratio of speed-up to lost work, or evict."""
        step = self._best_step(state, view, slowest)
        if step is not None:
            task, throttle, speedup = step
            review_state.acted_ms = now_ms
            set_throttle(state, task, throttle)
            state.reasons.record_decision(
                now_ms,
                [task.id, task.job, view.upstream],
                "{} throttled to {:.0%}: services on {} at {:.1f} times their usual "
                "p99, expected speed-up {:.0%}",
                task.id,
                throttle,
                view.upstream,
                math.exp(slowest),
                speedup,
            )
            return []
        if now_ms - review_state.slow_since_ms < EVICT_AFTER_MS:
            return []
        return self._evict_cheapest(state, now_ms, view, review_state, slowest)

    def _best_step(self, state, view, slowest):
        free = state.capacity.by_upstream[view.upstream]
        slot_share = 1.0 / max(
            1, state.machine.workers.by_upstream[view.upstream].room.tasks
        )
        best_step, best_ratio = None, 0.0
        for task, run in _batch_runs(state, view.upstream):
            throttle = state.throttle_by_task.get(task.id, 1.0)
            lower_throttle = next_throttle_step(state, throttle)
            if lower_throttle is None:
                continue
            share = run.current_cores / max(free.total_cores, 1e-9)
            speed_loss = 1.0 - lower_throttle / throttle
            speedup = _expected_speedup(
                state, view, run.group, share * speed_loss, slowest
            )
            full_speedup = _expected_speedup(state, view, run.group, share, slowest)
            if speedup < full_speedup * speed_loss * MIN_SPEEDUP_RATIO:
                # The longer run time would cancel out the lower interference.
                continue
            gain = state.weights.tail_latency * speedup
            # Throttling wastes a part of what the task occupies, be it cores or a slot.
            lost_share = speed_loss * max(share, slot_share)
            loss = (
                state.weights.batch_throughput * lost_share * batch_cost_factor(state)
            )
            if gain > loss * MIN_GAIN_RATIO and speedup > 0.03:
                ratio = speedup / lost_share
                if ratio > best_ratio:
                    best_step, best_ratio = (task, lower_throttle, speedup), ratio
        return best_step

    def _evict_cheapest(self, state, now_ms, view, review_state, slowest):
        if (
            not state.rate_limits.evictions.available()
            or state.rate_limits.is_recovering(now_ms)
        ):
            return []
        free = state.capacity.by_upstream[view.upstream]
        best_task, best_cost = None, None
        for task, run in _batch_runs(state, view.upstream):
            share = run.current_cores / max(free.total_cores, 1e-9)
            speedup = _expected_speedup(state, view, run.group, share, slowest)
            cost = eviction_cost(state, now_ms, task)
            gain = state.weights.tail_latency * speedup
            if (
                cost is None
                or gain < state.weights.evictions * cost / LOST_WORK_PER_P99_MULTIPLE_S
            ):
                continue
            if speedup < 0.1 or not _has_better_place(state, view, task, run, share):
                continue
            if best_task is None or cost / speedup < best_cost:
                best_task, best_cost = task, cost / speedup
        if best_task is None:
            return []
        review_state.acted_ms = now_ms
        return [
            _evict_one(
                state,
                now_ms,
                best_task,
                f"services on {view.upstream} stay at {math.exp(slowest):.1f} times "
                "their usual p99 after throttling",
            )
        ]


def batch_cost_factor(state):
    """Return the factor on the cost of lost batch work, at least 1.

    Without queued batch work, throttling a task only delays its end. With a queue, the
    cores that it leaves unused reduce the total throughput, so the factor grows with
    the wait of the oldest queued batch work.
    """
    return 1.0 + QUEUE_COST_FACTOR * min(1.0, state.batch_wait_ms / LONG_QUEUE_MS)


def _slowest(view):
    """Return the excess of the slowest service on a worker.

    The lower of the smoothed and the newest value counts for each service, since a
    single spike raises the smoothed value for seconds.
    """
    if view is None:
        return 0.0
    loads = view.load_by_service.values()
    return max((min(load.excess, load.latest_excess) for load in loads), default=0.0)


def _throttled(state, upstream):
    task_ids = state.task_ids_by_upstream.get(upstream, ())
    return sorted(task_id for task_id in task_ids if task_id in state.throttle_by_task)


def _adjust_cooldown(review_state, now_ms):
    if review_state.released_ms is None:
        return
    if now_ms - review_state.released_ms < 2 * review_state.cooldown_ms:
        review_state.cooldown_ms = min(review_state.cooldown_ms * 2, MAX_COOLDOWN_MS)
    else:
        review_state.cooldown_ms = COOLDOWN_MS


def _is_settling(review_state, now_ms):
    return (
        review_state.acted_ms is not None and now_ms - review_state.acted_ms < SETTLE_MS
    )


def _batch_runs(state, upstream):
    """Return the batch tasks running on a worker, with their runs, in a fixed order."""
    tasks_and_runs = []
    for task_id in sorted(state.task_ids_by_upstream.get(upstream, ())):
        task = state.machine.tasks.by_id[task_id]
        run = state.run_by_task.get(task_id)
        is_evicted = ("evict", task_id, task.epoch) in state.in_flight
        if task.task_class == "batch" and task.state == "running" and run:
            if not is_evicted:
                tasks_and_runs.append((task, run))
    return tasks_and_runs


def _expected_speedup(state, view, group, share, slowest):
    """Return by how much removing a share of a group speeds up a worker's services."""
    speedup = 0.0
    present_share = view.share_by_group.get(group, 0.0)
    pressure_drop = interference.pressure_of(present_share) - interference.pressure_of(
        present_share - share
    )
    for service, load in view.load_by_service.items():
        effect = state.model.effect(service, group, load.level)
        measured = math.exp(max(0.0, min(load.excess, slowest)))
        speedup += measured * -math.expm1(-min(effect * pressure_drop, 3.0))
    return speedup


def _has_better_place(state, view, task, run, share):
    present_slowdown = _slowdown_at(state, view.upstream, run.group, share)
    demand = state.demand_of(task)
    candidates = state.capacity.candidates(demand, state.random, holder=task.job)
    return any(
        _slowdown_at(state, free.upstream, run.group, share)
        < present_slowdown * BETTER_PLACE_RATIO
        for free in candidates
        if free.upstream != view.upstream
    )


def _slowdown_at(state, upstream, group, share):
    view = state.views.get(upstream)
    return 0.0 if view is None else views.added_slowdown(state, view, group, share)


def next_throttle_step(state, throttle):
    """Return the next lower throttle step, or None at the last one."""
    lower_steps = [step for step in state.throttle_steps if step < throttle - 1e-6]
    return max(lower_steps, default=None)


def set_throttle(state, task, throttle):
    """Set the throttle of a task, where 1 is none, and push it to the agent at once."""
    if throttle >= 1.0:
        state.throttle_by_task.pop(task.id, None)
    else:
        state.throttle_by_task[task.id] = throttle
    state.upstreams_to_push.add(task.upstream)


def release_throttle_step(state, now_ms, view, throttled_task_ids):
    """Undo one throttle step of the task that slows the services down the least."""
    best_task, least_slowdown = None, None
    for task_id in throttled_task_ids:
        run = state.run_by_task.get(task_id)
        if run is None:
            continue
        task_slowdown = views.added_slowdown(state, view, run.group, 0.1)
        if best_task is None or task_slowdown < least_slowdown:
            best_task, least_slowdown = (
                state.machine.tasks.by_id[task_id],
                task_slowdown,
            )
    if best_task is not None:
        throttle = state.throttle_by_task[best_task.id]
        higher_steps = [step for step in state.throttle_steps if step > throttle + 1e-6]
        set_throttle(state, best_task, min(higher_steps, default=1.0))
        state.reasons.record_decision(
            now_ms, [best_task.id, view.upstream], "throttle released by one step"
        )
    return []


def eviction_cost(state, now_ms, task):
    """Return the cost of evicting a task in seconds of work, or None if it may not be.

    The cost is lowest for tasks with little memory and so a small checkpoint, with few
    earlier evictions, with much run time left, and of a tenant over its quota.
    """
    run = state.run_by_task.get(task.id)
    if run is None or task.evictions >= MAX_EVICTIONS:
        return None
    remaining_s = run.remaining_s(now_ms, state.sizes.expected_s(task))
    if remaining_s < NEARLY_DONE_S:
        return None
    cost = RESTART_COST_S * (1 + task.evictions) + task.memory_mb / 2_000.0
    cost += 60.0 / max(remaining_s, 1.0) * RESTART_COST_S
    if state.is_over_quota(task.tenant):
        cost *= 0.5
    job = state.machine.jobs.by_id.get(task.job)
    if job is not None and job.is_gang:
        # The other tasks of the gang cannot make progress without the evicted one.
        cost *= len(job.task_ids)
    return cost


def _evict_one(state, now_ms, task, reason):
    state.rate_limits.evictions.consume()
    return evict(state, now_ms, [task], reason)


def evict(state, now_ms, tasks, reason):
    """Return the command that evicts tasks for one reason."""
    for task in tasks:
        state.reasons.record_decision(
            now_ms,
            [task.id, task.job, task.upstream],
            "{} evicted: {}",
            task.id,
            reason,
        )
    return commands.EvictTasks(
        evictions=[
            commands.Eviction(task=task.id, epoch=task.epoch, reason=reason)
            for task in tasks
        ]
    )


def review_all(state, now_ms):
    """Return the commands of the review of all workers marked for it.

    The cost is proportional to the number of these workers, not to the fleet.
    """
    proposals = []
    since_ms = state.pending.oldest_batch_since_ms()
    state.batch_wait_ms = 0 if since_ms is None else max(0, state.age_ms(since_ms))
    for upstream in sorted(state.review_by_upstream):
        worker = state.machine.workers.by_upstream.get(upstream)
        is_gone = worker is None or worker.is_lost or upstream not in state.views
        review_commands = None
        if not is_gone:
            review_state = state.review_by_upstream[upstream]
            review_commands = state.preemption.review(
                state, now_ms, upstream, review_state
            )
        if review_commands is None:
            del state.review_by_upstream[upstream]
        else:
            proposals.extend(review_commands)
    return proposals
