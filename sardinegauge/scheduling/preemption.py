"""Preemption on workers whose services are slow: throttle first, evict last.

Only workers that measured a slow service, or that have throttled tasks, are reviewed.
All changes pass through hysteresis: a worker must stay slow before anything is done,
every step waits until its effect can be measured, and steps are undone one by one once
the services were fast for a while, each time later if they became slow again.
"""

import abc
import math

from sardinegauge import commands
from sardinegauge.scheduling import interference, views

DEFAULT_THROTTLE_STEPS = (0.6, 0.3)
REVIEW_EVERY_MS = 1_000
# A worker is slow for this long before the first step.
HOLD_MS = 3_000
# Measurements lag; a step is judged after this time.
SETTLE_MS = 8_000
# Services are fast for this long before a step is undone; doubled up to the maximum
# whenever the worker became slow again after that.
CALM_MS = 20_000
MAX_CALM_MS = 320_000
# A worker is slow for this long, and no throttle step helps, before an eviction.
EVICT_AFTER_MS = 10_000
# A step must be worth this much more than it costs, so that it is not undone at once.
MARGIN = 1.3
# Batch work that waits this long makes lost batch work this much dearer.
LONG_QUEUE_MS = 60_000
QUEUE_PRICE = 15.0
# A throttled task runs for longer, so a step must lower the harm by this much more than
# it lowers the task's speed.
WORTH_SLOWER = 1.1
# Tasks that end within this time are left alone.
NEARLY_DONE_S = 20.0
# Seconds of work that any eviction costs: checkpoint, restart, warm-up.
RESTART_S = 10.0
# At equal weights, this many seconds of lost work are worth a p99 that is lower by one
# multiple of its base.
SECONDS_PER_RELIEF = 20.0
# Another place must be this much better before a task is evicted for interference.
BETTER_PLACE = 0.5
# A task that was evicted this often is no longer evicted for others, so it finishes.
MAX_EVICTIONS = 3


class Guard:
    """Progress of the review of one worker; times in ms, None if not in that state."""

    __slots__ = ("acted_ms", "calm_ms", "calm_since_ms", "released_ms", "slow_since_ms")

    def __init__(self):
        self.acted_ms = None
        self.released_ms = None
        self.slow_since_ms = None
        self.calm_since_ms = None
        self.calm_ms = CALM_MS


class PreemptionPolicy(abc.ABC):
    """Decides what to do on a worker whose services are slow.

    `HOT` and `CALM` are logarithms of a p99 over its base: above the first a worker is
    slow, below the second it is fast.
    """

    HOT = math.log(1.3)
    CALM = math.log(1.12)

    def victim_cost(self, state, now_ms, task):
        """Return the cost of evicting a task to make room, or None to spare it.

        The baselines evict the largest tasks, of which the fewest are needed.
        """
        return 1.0 / (1.0 + task.cores)

    def review(self, state, now_ms, upstream, guard):
        """Return commands for one watched worker, or None to stop watching it."""
        view = state.views.get(upstream)
        slowest = _slowest(view)
        throttled = _throttled(state, upstream)
        if slowest > self.HOT:
            guard.calm_since_ms = None
            if guard.slow_since_ms is None:
                guard.slow_since_ms = now_ms
                _lengthen_calm(guard, now_ms)
            if now_ms - guard.slow_since_ms < HOLD_MS or _is_settling(guard, now_ms):
                return []
            return self.act(state, now_ms, view, guard, slowest)
        guard.slow_since_ms = None
        if slowest > self.CALM:
            guard.calm_since_ms = None
            return []
        if guard.calm_since_ms is None:
            guard.calm_since_ms = now_ms
        if not throttled:
            # The record of earlier steps is kept until the worker was fast for long.
            is_over = now_ms - guard.calm_since_ms > guard.calm_ms
            return None if is_over else []
        if now_ms - guard.calm_since_ms < guard.calm_ms:
            return []
        guard.calm_since_ms = now_ms
        guard.released_ms = now_ms
        return release(state, now_ms, view, throttled)

    @abc.abstractmethod
    def act(self, state, now_ms, view, guard, slowest):
        """Return commands against interference on a slow worker."""


class NoPreemption(PreemptionPolicy):
    """Baseline: slow services stay slow."""

    def act(self, state, now_ms, view, guard, slowest):
        """Do nothing."""
        return []


class EvictLargest(PreemptionPolicy):
    """Baseline: evict the task that uses the most cores, without throttling."""

    def act(self, state, now_ms, view, guard, slowest):
        """Evict one task within the bound of evictions."""
        tasks = [task for task, _ in _batch_runs(state, view.upstream)]
        if not tasks or not state.pace.evictions.available():
            return []
        largest = max(tasks, key=lambda task: (task.cores, task.id))
        guard.acted_ms = now_ms
        return [_evict(state, now_ms, largest, "largest task beside a slow service")]


class ThrottleFirst(PreemptionPolicy):
    """Throttles what the model holds responsible; evicts when that did not help."""

    def victim_cost(self, state, now_ms, task):
        """Return the seconds of work that an eviction costs, or None to spare it."""
        return eviction_cost(state, now_ms, task)

    def act(self, state, now_ms, view, guard, slowest):
        """Throttle the task with the best ratio of relief to loss, or evict one."""
        step = self._best_step(state, view, slowest)
        if step is not None:
            task, throttle, relief = step
            guard.acted_ms = now_ms
            set_throttle(state, task, throttle)
            state.reasons.note(
                now_ms,
                [task.id, task.job, view.upstream],
                "{} throttled to {:.0%}: services on {} at {:.1f} times their usual "
                "p99, relief expected {:.0%}",
                task.id,
                throttle,
                view.upstream,
                math.exp(slowest),
                relief,
            )
            return []
        if now_ms - guard.slow_since_ms < EVICT_AFTER_MS:
            return []
        return self._evict_cheapest(state, now_ms, view, guard, slowest)

    def _best_step(self, state, view, slowest):
        free = state.free.by_upstream[view.upstream]
        slot = 1.0 / max(1, state.machine.workers.by_upstream[view.upstream].room.tasks)
        best, best_ratio = None, 0.0
        for task, run in _batch_runs(state, view.upstream):
            throttle = state.throttle_by_task.get(task.id, 1.0)
            lower = next_step(state, throttle)
            if lower is None:
                continue
            share = run.cores_now / max(free.room_cores, 1e-9)
            slower = 1.0 - lower / throttle
            relief = _relief(state, view, run.group, share * slower, slowest)
            whole = _relief(state, view, run.group, share, slowest)
            if relief < whole * slower * WORTH_SLOWER:
                # The task would do the same harm for longer.
                continue
            gain = state.weights.tail_latency * relief
            # A throttled task loses its part of the worker, by cores or by slots.
            lost = slower * max(share, slot)
            loss = state.weights.batch_throughput * lost * batch_price(state)
            if gain > loss * MARGIN and relief > 0.03:
                ratio = relief / lost
                if ratio > best_ratio:
                    best, best_ratio = (task, lower, relief), ratio
        return best

    def _evict_cheapest(self, state, now_ms, view, guard, slowest):
        if not state.pace.evictions.available() or state.pace.is_recovering(now_ms):
            return []
        free = state.free.by_upstream[view.upstream]
        best, best_cost = None, None
        for task, run in _batch_runs(state, view.upstream):
            share = run.cores_now / max(free.room_cores, 1e-9)
            relief = _relief(state, view, run.group, share, slowest)
            cost = eviction_cost(state, now_ms, task)
            gain = state.weights.tail_latency * relief
            if (
                cost is None
                or gain < state.weights.evictions * cost / SECONDS_PER_RELIEF
            ):
                continue
            if relief < 0.1 or not _has_better_place(state, view, task, run, share):
                continue
            if best is None or cost / relief < best_cost:
                best, best_cost = task, cost / relief
        if best is None:
            return []
        guard.acted_ms = now_ms
        return [
            _evict(
                state,
                now_ms,
                best,
                f"services on {view.upstream} stay at {math.exp(slowest):.1f} times "
                "their usual p99 after throttling",
            )
        ]


def batch_price(state):
    """Return what lost batch work costs, from 1 up with the queue of batch work.

    Without a queue a throttled task only ends later. With one, the work that waits
    behind it is lost for good.
    """
    return 1.0 + QUEUE_PRICE * min(1.0, state.batch_wait_ms / LONG_QUEUE_MS)


def _slowest(view):
    """Return the excess of the slowest service on a worker.

    A service counts as slow while both its smoothed and its newest p99 are: one long
    spike stays in the smoothed value for seconds.
    """
    if view is None:
        return 0.0
    loads = view.load_by_service.values()
    return max((min(load.excess, load.latest) for load in loads), default=0.0)


def _throttled(state, upstream):
    held = state.ids_by_upstream.get(upstream, ())
    return sorted(task_id for task_id in held if task_id in state.throttle_by_task)


def _lengthen_calm(guard, now_ms):
    if guard.released_ms is None:
        return
    if now_ms - guard.released_ms < 2 * guard.calm_ms:
        guard.calm_ms = min(guard.calm_ms * 2, MAX_CALM_MS)
    else:
        guard.calm_ms = CALM_MS


def _is_settling(guard, now_ms):
    return guard.acted_ms is not None and now_ms - guard.acted_ms < SETTLE_MS


def _batch_runs(state, upstream):
    """Return the batch tasks running on a worker, with their runs, in a fixed order."""
    found = []
    for task_id in sorted(state.ids_by_upstream.get(upstream, ())):
        task = state.machine.tasks.by_id[task_id]
        run = state.run_by_task.get(task_id)
        is_evicted = ("evict", task_id, task.epoch) in state.in_flight
        if task.task_class == "batch" and task.state == "running" and run:
            if not is_evicted:
                found.append((task, run))
    return found


def _relief(state, view, group, share, slowest):
    """Return by how much less work of a group would speed up the slow services."""
    relief = 0.0
    before = view.share_by_group.get(group, 0.0)
    less = interference.pressure_of(before) - interference.pressure_of(before - share)
    for service, load in view.load_by_service.items():
        effect = state.model.effect(service, group, load.level)
        measured = math.exp(max(0.0, min(load.excess, slowest)))
        relief += measured * -math.expm1(-min(effect * less, 3.0))
    return relief


def _has_better_place(state, view, task, run, share):
    here = _harm_at(state, view.upstream, run.group, share)
    demand = state.demand_of(task)
    found = state.free.candidates(demand, state.random, holder=task.job)
    return any(
        _harm_at(state, free.upstream, run.group, share) < here * BETTER_PLACE
        for free in found
        if free.upstream != view.upstream
    )


def _harm_at(state, upstream, group, share):
    view = state.views.get(upstream)
    return 0.0 if view is None else views.harm(state, view, group, share)


def next_step(state, throttle):
    """Return the next lower throttle step, or None at the last one."""
    lower = [step for step in state.throttle_steps if step < throttle - 1e-6]
    return max(lower, default=None)


def set_throttle(state, task, throttle):
    """Throttle a task, or end its throttling at 1; its agent learns of it at once."""
    if throttle >= 1.0:
        state.throttle_by_task.pop(task.id, None)
    else:
        state.throttle_by_task[task.id] = throttle
    state.changed_upstreams.add(task.upstream)


def release(state, now_ms, view, throttled):
    """Undo one throttle step of the task that does the least harm."""
    best, best_harm = None, None
    for task_id in throttled:
        run = state.run_by_task.get(task_id)
        if run is None:
            continue
        task_harm = views.harm(state, view, run.group, 0.1)
        if best is None or task_harm < best_harm:
            best, best_harm = state.machine.tasks.by_id[task_id], task_harm
    if best is not None:
        throttle = state.throttle_by_task[best.id]
        higher = [step for step in state.throttle_steps if step > throttle + 1e-6]
        set_throttle(state, best, min(higher, default=1.0))
        state.reasons.note(now_ms, [best.id, view.upstream], "throttle released a step")
    return []


def eviction_cost(state, now_ms, task):
    """Return the cost of evicting a task in seconds of work, or None if it may not be.

    The cheapest task restarts fast, has a small checkpoint, was not evicted before,
    belongs to a tenant that borrows quota, and is not about to finish.
    """
    run = state.run_by_task.get(task.id)
    if run is None or task.evictions >= MAX_EVICTIONS:
        return None
    remaining_s = run.remaining_s(now_ms, state.sizes.expected_s(task))
    if remaining_s < NEARLY_DONE_S:
        return None
    cost = RESTART_S * (1 + task.evictions) + task.memory_mb / 2_000.0
    cost += 60.0 / max(remaining_s, 1.0) * RESTART_S
    if state.is_over_quota(task.tenant):
        cost *= 0.5
    job = state.machine.jobs.by_id.get(task.job)
    if job is not None and job.is_gang:
        # The rest of the gang waits for the evicted task.
        cost *= len(job.task_ids)
    return cost


def _evict(state, now_ms, task, reason):
    state.pace.evictions.take()
    return evict(state, now_ms, [task], reason)


def evict(state, now_ms, tasks, reason):
    """Return the command that evicts tasks for one reason."""
    for task in tasks:
        state.reasons.note(
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
    """Review every watched worker; the work is in proportion to their number."""
    proposals = []
    since_ms = state.pending.oldest_batch_ms()
    state.batch_wait_ms = 0 if since_ms is None else max(0, state.age_ms(since_ms))
    for upstream in sorted(state.guard_by_upstream):
        worker = state.machine.workers.by_upstream.get(upstream)
        is_gone = worker is None or worker.is_lost or upstream not in state.views
        found = None
        if not is_gone:
            guard = state.guard_by_upstream[upstream]
            found = state.preemption.review(state, now_ms, upstream, guard)
        if found is None:
            del state.guard_by_upstream[upstream]
        else:
            proposals.extend(found)
    return proposals
