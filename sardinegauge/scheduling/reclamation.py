"""Reclaims capacity for pending work that is entitled to it, by evicting batch tasks.

Urgent work, services, tenants within their quota and batch work that has waited very
long are entitled to it. Tasks are evicted on the worker where the evictions cost least,
in core-seconds of lost work. That worker is then held for the unit (the job or service)
that waits, so that other pending work cannot take the freed capacity. Tasks are evicted
and not throttled, since a throttled task keeps its slot and gets its cores back late,
which loses more work in total.
"""

from sardinegauge.scheduling import pending, preemption, quotas

# Workers compared for one demand; larger fleets are sampled at random.
MAX_WORKERS_SAMPLED = 24
# Requests for capacity that are handled in one planning round.
MAX_REQUESTS_PER_ROUND = 4
# Fixed cost of any eviction, in addition to the work that it loses.
EVICTION_COST_CORE_S = 200.0
# Time after which a hold expires. Evicted tasks normally stop much earlier.
HOLD_MS = 30_000
# A task of a tenant within its quota waits this long before tasks of tenants over
# their quota are evicted for it.
RECLAIM_AFTER_MS = 10_000
# Time for which aged batch work holds a worker while tasks there end by themselves.
AGED_HOLD_MS = 120_000
# Wait after which other batch tasks are evicted for aged batch work. This bounds the
# wait of a large task behind tasks that run for hours. With a much shorter time, the
# tasks of a long queue would evict each other in turn and lose work each time.
AGED_EVICT_AFTER_MS = 900_000
# Largest share of the workers that may be held for aged batch work.
MAX_HELD_SHARE = 0.1


class Hold:
    """Exclusive use of a worker's free capacity by one unit, up to `expires_ms`."""

    __slots__ = ("holder", "is_aged", "expires_ms")

    def __init__(self, holder, expires_ms, is_aged):
        self.holder = holder
        self.expires_ms = expires_ms
        self.is_aged = is_aged


def evict_for_unit(state, now_ms, unit):
    """Return commands that evict batch tasks for an urgent unit or a service."""
    held_upstreams = state.upstreams_by_holder.get(unit.name, ())
    if (
        len(held_upstreams) >= len(unit.task_ids)
        or state.reclaim_request_count >= MAX_REQUESTS_PER_ROUND
    ):
        return []
    state.reclaim_request_count += 1
    return _evict_for(state, now_ms, unit, is_over_quota_only=False)


def reclaim_quota(state, now_ms, unit):
    """Return commands that evict tasks over quota for a tenant within its quota."""
    if (
        unit.name in state.upstreams_by_holder
        or state.reclaim_request_count >= MAX_REQUESTS_PER_ROUND
    ):
        return []
    if not unit.task_ids or state.age_ms(unit.since_ms) < RECLAIM_AFTER_MS:
        return []
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    if quotas.would_exceed_quota(state, unit.tenant, state.demand_of(task)):
        return []
    state.reclaim_request_count += 1
    return _evict_for(state, now_ms, unit, is_over_quota_only=True)


def hold_or_evict_for_aged(state, now_ms, unit):
    """Evict or hold a worker for aged batch work, by the time that it has waited."""
    proposals = reclaim_quota(state, now_ms, unit)
    if proposals or state.reclaim_request_count >= MAX_REQUESTS_PER_ROUND:
        return proposals
    if state.age_ms(unit.since_ms) >= AGED_EVICT_AFTER_MS:
        state.reclaim_request_count += 1
        release_holds(state, unit.name)
        proposals = _evict_for(state, now_ms, unit, is_over_quota_only=False)
    if not proposals:
        _hold_worker_for_aged(state, now_ms, unit)
    return proposals


def expire_holds(state, now_ms):
    """Release the holds that have expired."""
    for upstream, hold in list(state.hold_by_upstream.items()):
        if now_ms >= hold.expires_ms:
            _release(state, upstream)


def release_holds(state, holder):
    """Release all holds of a unit."""
    for upstream in state.upstreams_by_holder.get(holder, set()).copy():
        _release(state, upstream)


def consume_hold(state, upstream, holder):
    """Release the hold on a worker where a task of its holder was just placed."""
    hold = state.hold_by_upstream.get(upstream)
    if hold is not None and hold.holder == holder:
        _release(state, upstream)


def _hold(state, now_ms, upstream, unit, duration_ms, is_aged):
    state.hold_by_upstream[upstream] = Hold(unit.name, now_ms + duration_ms, is_aged)
    state.upstreams_by_holder.setdefault(unit.name, set()).add(upstream)
    state.capacity.holder_by_upstream[upstream] = unit.name


def _release(state, upstream):
    hold = state.hold_by_upstream.pop(upstream)
    del state.capacity.holder_by_upstream[upstream]
    held_upstreams = state.upstreams_by_holder[hold.holder]
    held_upstreams.discard(upstream)
    if not held_upstreams:
        del state.upstreams_by_holder[hold.holder]
    state.capacity.mark_changed(upstream)


def _hold_worker_for_aged(state, now_ms, unit):
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    demand = state.demand_of(task)
    max_held = max(1, int(len(state.capacity.by_upstream) * MAX_HELD_SHARE))
    held_count = sum(1 for hold in state.hold_by_upstream.values() if hold.is_aged)
    if held_count >= max_held or unit.name in state.upstreams_by_holder:
        return
    best, least_missing = None, None
    for free in _sample_workers(state):
        room = state.machine.workers.by_upstream[free.upstream].room
        if not _is_large_enough(room, demand):
            continue
        missing = max(
            (demand.cores - free.cores) / max(room.cores, 1e-9),
            (demand.memory_mb - free.memory_mb) / max(room.memory_mb, 1),
            (demand.accelerators - free.accelerators) / max(room.accelerators, 1),
            (1 - free.slots) / max(room.tasks, 1),
        )
        if best is None or missing < least_missing:
            best, least_missing = free, missing
    if best is not None:
        _hold(state, now_ms, best.upstream, unit, AGED_HOLD_MS, is_aged=True)
        state.reasons.record_decision(
            now_ms,
            [unit.name, best.upstream],
            "{} is kept free for {}, which waits for room",
            best.upstream,
            unit.name,
        )


def _sample_workers(state):
    """Return usable workers without a hold, a random sample of them in large fleets."""
    usable = [
        free
        for free in state.capacity.by_upstream.values()
        if free.is_usable and free.upstream not in state.hold_by_upstream
    ]
    if len(usable) > MAX_WORKERS_SAMPLED:
        usable = state.random.sample(usable, MAX_WORKERS_SAMPLED)
    return usable


def _is_large_enough(room, demand):
    return (
        room.cores >= demand.cores
        and room.memory_mb >= demand.memory_mb
        and room.accelerators >= demand.accelerators
        and room.connections >= demand.connections
    )


def _evict_for(state, now_ms, unit, is_over_quota_only):
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    demand = state.demand_of(task)
    is_batch = unit.task_class == pending.BATCH
    bucket = (
        state.rate_limits.evictions
        if is_batch
        else state.rate_limits.priority_evictions
    )
    if bucket.available() <= 0 or demand.key() in state.infeasible_demands:
        return []
    best, best_cost = None, None
    for free in _sample_workers(state):
        room = state.machine.workers.by_upstream[free.upstream].room
        if not _is_large_enough(room, demand):
            continue
        selection = _select_victims(
            state, now_ms, free, demand, unit, is_over_quota_only
        )
        if selection is None:
            continue
        cost, victims = selection
        if len(victims) > bucket.available():
            continue
        if best is None or cost < best_cost:
            best, best_cost = (free, victims), cost
    if best is None:
        state.infeasible_demands.add(demand.key())
        return []
    free, victims = best
    _hold(state, now_ms, free.upstream, unit, HOLD_MS, is_aged=False)
    bucket.consume(len(victims))
    reason = f"makes room for {unit.name} ({unit.task_class})"
    return [preemption.evict(state, now_ms, victims, reason)]


def _select_victims(state, now_ms, free, demand, unit, is_over_quota_only):
    """Return the tasks to evict so that the demand fits on a worker.

    The result is the cost in core-seconds and the list of tasks, or None if no
    evictions suffice. The cheapest task that frees enough by itself is chosen, else the
    largest tasks, of which the fewest are needed.
    """
    by_id = state.machine.tasks.by_id
    costs_and_task_ids = []
    for task_id in sorted(state.task_ids_by_upstream.get(free.upstream, ())):
        task = by_id[task_id]
        if task.task_class != pending.BATCH or task.state not in (
            "assigned",
            "running",
        ):
            continue
        if ("evict", task_id, task.epoch) in state.in_flight or task.job == unit.name:
            continue
        if is_over_quota_only and not state.is_over_quota(task.tenant):
            continue
        cost = state.preemption.victim_cost(state, now_ms, task)
        if cost is not None:
            costs_and_task_ids.append((cost * task.cores, task_id))
    costs_and_task_ids.sort()
    free_amounts = [
        free.cores,
        free.memory_mb,
        free.accelerators,
        free.connections,
        free.slots,
    ]
    needed_amounts = [*demand.key(), 1]
    victims, total_cost = [], 0.0
    missing = [
        need - available for available, need in zip(free_amounts, needed_amounts)
    ]
    for cost, task_id in costs_and_task_ids:
        # A single eviction that suffices is preferred to several cheaper ones.
        if _covers(by_id[task_id], missing):
            return cost + EVICTION_COST_CORE_S, [by_id[task_id]]
    for cost, task_id in sorted(
        costs_and_task_ids, key=lambda pair: -by_id[pair[1]].cores
    ):
        if all(need <= 0 for need in missing):
            break
        task = by_id[task_id]
        freed = _reservation_of(task)
        if any(need > 0 and gain > 0 for need, gain in zip(missing, freed)):
            victims.append(task)
            total_cost += cost + EVICTION_COST_CORE_S
            missing = [need - gain for need, gain in zip(missing, freed)]
    if any(need > 0 for need in missing):
        return None
    return (total_cost, victims) if victims else None


def _reservation_of(task):
    return (task.cores, task.memory_mb, task.accelerators, task.connections, 1)


def _covers(task, missing):
    return all(gain >= need for gain, need in zip(_reservation_of(task), missing))
