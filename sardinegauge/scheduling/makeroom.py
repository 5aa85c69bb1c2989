"""Room for urgent work, services, tenants within their quota and aged batch work.

Room is made on the worker where it costs least, by the cheapest evictions there, in
core-seconds of lost work. Throttling batch work to make room was tried and lost more:
a throttled task keeps its slot, and gets its cores back late. The worker is then held
for the unit that asked, so that the room is not taken by others.
"""

from sardinegauge.scheduling import pending, preemption, quotas

# Workers looked at for one demand, drawn at random in a larger fleet.
WORKERS_TRIED = 24
# Requests for room that are answered in one round.
REQUESTS_PER_ROUND = 4
# What any eviction costs in core-seconds besides the work it loses.
EVICTION_PRICE = 200.0
# A held worker is given up after this time; its tasks should have stopped long since.
HOLD_MS = 30_000
# A tenant within its quota waits this long before borrowed room is taken back.
RECLAIM_AFTER_MS = 10_000
# Aged batch work holds one worker until enough tasks there ended.
AGED_HOLD_MS = 120_000
# After this time other batch work is evicted for it, which bounds the wait of a large
# task behind tasks that run for hours. Much earlier, a long queue would only trade
# places and lose work at every turn.
AGED_EVICT_AFTER_MS = 900_000
# At most this share of the workers is held for aged work.
HELD_SHARE = 0.1


class Hold:
    """A worker kept for one unit until a time in ms."""

    __slots__ = ("holder", "is_aged", "expires_ms")

    def __init__(self, holder, expires_ms, is_aged):
        self.holder = holder
        self.expires_ms = expires_ms
        self.is_aged = is_aged


def for_unit(state, now_ms, unit):
    """Return commands that make room for an urgent unit or a service."""
    held = state.held_for.get(unit.name, ())
    if len(held) >= len(unit.task_ids) or state.room_requests >= REQUESTS_PER_ROUND:
        return []
    state.room_requests += 1
    return _make(state, now_ms, unit, borrowed_only=False)


def reclaim(state, now_ms, unit):
    """Return commands that take borrowed room back for a tenant within its quota."""
    if unit.name in state.held_for or state.room_requests >= REQUESTS_PER_ROUND:
        return []
    if not unit.task_ids or state.age_ms(unit.since_ms) < RECLAIM_AFTER_MS:
        return []
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    if quotas.would_borrow(state, unit.tenant, state.demand_of(task)):
        return []
    state.room_requests += 1
    return _make(state, now_ms, unit, borrowed_only=True)


def for_aged(state, now_ms, unit):
    """Hold a worker for aged batch work; evict for it when that is not enough."""
    made = reclaim(state, now_ms, unit)
    if made or state.room_requests >= REQUESTS_PER_ROUND:
        return made
    if state.age_ms(unit.since_ms) >= AGED_EVICT_AFTER_MS:
        state.room_requests += 1
        release_holds(state, unit.name)
        made = _make(state, now_ms, unit, borrowed_only=False)
    if not made:
        _hold_for_aged(state, now_ms, unit)
    return made


def expire_holds(state, now_ms):
    """Give up holds whose time is over."""
    for upstream, hold in list(state.hold_by_upstream.items()):
        if now_ms >= hold.expires_ms:
            _release(state, upstream)


def release_holds(state, holder):
    """Give up all holds of a unit that has no pending task left."""
    for upstream in state.held_for.get(holder, set()).copy():
        _release(state, upstream)


def use_hold(state, upstream, holder):
    """Give up the hold on a worker that its unit has just used."""
    hold = state.hold_by_upstream.get(upstream)
    if hold is not None and hold.holder == holder:
        _release(state, upstream)


def _hold(state, now_ms, upstream, unit, duration_ms, is_aged):
    state.hold_by_upstream[upstream] = Hold(unit.name, now_ms + duration_ms, is_aged)
    state.held_for.setdefault(unit.name, set()).add(upstream)
    state.free.held_by_upstream[upstream] = unit.name


def _release(state, upstream):
    hold = state.hold_by_upstream.pop(upstream)
    del state.free.held_by_upstream[upstream]
    held = state.held_for[hold.holder]
    held.discard(upstream)
    if not held:
        del state.held_for[hold.holder]
    state.free.note_change(upstream)


def _hold_for_aged(state, now_ms, unit):
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    demand = state.demand_of(task)
    most = max(1, int(len(state.free.by_upstream) * HELD_SHARE))
    held = sum(1 for hold in state.hold_by_upstream.values() if hold.is_aged)
    if held >= most or unit.name in state.held_for:
        return
    best, best_missing = None, None
    for free in _workers(state):
        room = state.machine.workers.by_upstream[free.upstream].room
        if not _could_fit(room, demand):
            continue
        missing = max(
            (demand.cores - free.cores) / max(room.cores, 1e-9),
            (demand.memory_mb - free.memory_mb) / max(room.memory_mb, 1),
            (demand.accelerators - free.accelerators) / max(room.accelerators, 1),
            (1 - free.slots) / max(room.tasks, 1),
        )
        if best is None or missing < best_missing:
            best, best_missing = free, missing
    if best is not None:
        _hold(state, now_ms, best.upstream, unit, AGED_HOLD_MS, is_aged=True)
        state.reasons.record_decision(
            now_ms,
            [unit.name, best.upstream],
            "{} is kept free for {}, which waits for room",
            best.upstream,
            unit.name,
        )


def _workers(state):
    """Return workers without a hold; a random choice in a larger fleet."""
    usable = [
        free
        for free in state.free.by_upstream.values()
        if free.is_usable and free.upstream not in state.hold_by_upstream
    ]
    if len(usable) > WORKERS_TRIED:
        usable = state.random.sample(usable, WORKERS_TRIED)
    return usable


def _could_fit(room, demand):
    return (
        room.cores >= demand.cores
        and room.memory_mb >= demand.memory_mb
        and room.accelerators >= demand.accelerators
        and room.connections >= demand.connections
    )


def _make(state, now_ms, unit, borrowed_only):
    task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
    demand = state.demand_of(task)
    is_batch = unit.task_class == pending.BATCH
    bucket = state.pace.evictions if is_batch else state.pace.room
    if bucket.available() <= 0 or demand.key() in state.no_room_keys:
        return []
    best, best_cost = None, None
    for free in _workers(state):
        room = state.machine.workers.by_upstream[free.upstream].room
        if not _could_fit(room, demand):
            continue
        found = _victims(state, now_ms, free, demand, unit, borrowed_only)
        if found is None or len(found[1]) > bucket.available():
            continue
        if best is None or found[0] < best_cost:
            best, best_cost = (free, found[1]), found[0]
    if best is None:
        state.no_room_keys.add(demand.key())
        return []
    free, found = best
    _hold(state, now_ms, free.upstream, unit, HOLD_MS, is_aged=False)
    bucket.take(len(found))
    reason = f"makes room for {unit.name} ({unit.task_class})"
    return [preemption.evict(state, now_ms, found, reason)]


def _victims(state, now_ms, free, demand, unit, borrowed_only):
    """Return cost in core-seconds and tasks of the cheapest evictions, or None."""
    by_id = state.machine.tasks.by_id
    costs = []
    for task_id in sorted(state.ids_by_upstream.get(free.upstream, ())):
        task = by_id[task_id]
        if task.task_class != pending.BATCH or task.state not in (
            "assigned",
            "running",
        ):
            continue
        if ("evict", task_id, task.epoch) in state.in_flight or task.job == unit.name:
            continue
        if borrowed_only and not state.is_over_quota(task.tenant):
            continue
        cost = state.preemption.victim_cost(state, now_ms, task)
        if cost is not None:
            costs.append((cost * task.cores, task_id))
    costs.sort()
    left = [free.cores, free.memory_mb, free.accelerators, free.connections, free.slots]
    needed = [*demand.key(), 1]
    chosen, total = [], 0.0
    missing = [need - have for have, need in zip(left, needed)]
    for cost, task_id in costs:
        # One eviction that is enough by itself is better than several cheap ones.
        if _frees(by_id[task_id], missing):
            return cost + EVICTION_PRICE, [by_id[task_id]]
    for cost, task_id in sorted(costs, key=lambda pair: -by_id[pair[1]].cores):
        if all(need <= 0 for need in missing):
            break
        task = by_id[task_id]
        freed = _room_of(task)
        if any(need > 0 and gain > 0 for need, gain in zip(missing, freed)):
            chosen.append(task)
            total += cost + EVICTION_PRICE
            missing = [need - gain for need, gain in zip(missing, freed)]
    if any(need > 0 for need in missing):
        return None
    return (total, chosen) if chosen else None


def _room_of(task):
    return (task.cores, task.memory_mb, task.accelerators, task.connections, 1)


def _frees(task, missing):
    return all(gain >= need for gain, need in zip(_room_of(task), missing))
