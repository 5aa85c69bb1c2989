"""One planning round: pending tasks in order of class, quota and age, within room.

Urgent work comes first, then services, then batch work that has waited long, then
batch work of the tenants that use the least of their quota. Nothing here is in
proportion to the tasks that run, only to the units that wait.
"""

import heapq

from sardinegauge import commands
from sardinegauge.scheduling import pending, placement, quarantine, quotas, reclamation

# Units tried per round and class; the rest of a long queue waits for the next round.
UNITS_PER_ROUND = 256
# Units of one tenant that may fail to fit before the round turns to other tenants.
MISSES_PER_TENANT = 24
# One command stays far below the frame limit of 1 MiB.
ASSIGNMENTS_PER_COMMAND = 64
# Batch tasks that waited this long go ahead of younger batch tasks of any tenant.
AGED_MS = 90_000
# Starts per round that go to aged batch work even when urgent work uses all others.
AGED_STARTS = 1
# A batch task waits at most this long for a place with less interference.
DEFER_MS = 60_000


class Round:
    """Budget and results of one planning round."""

    __slots__ = ("assignments", "budget", "gangs", "now_ms", "state")

    def __init__(self, state, now_ms):
        self.state = state
        self.now_ms = now_ms
        self.budget = state.pace.starts.available()
        self.assignments = []
        self.gangs = []


def plan(state, now_ms):
    """Return the commands of one planning round."""
    if not len(state.pending):
        return []
    round = Round(state, now_ms)
    proposals = []
    for task_class in (pending.URGENT, pending.LATENCY_CRITICAL):
        proposals += _plan_class(round, task_class)
    _plan_probes(round)
    is_service_waiting = bool(state.pending.units_by_class[pending.LATENCY_CRITICAL])
    batch_budget = state.pace.batch_budget(now_ms, is_service_waiting)
    round.budget = min(round.budget, batch_budget)
    units = state.pending.ready(pending.BATCH, now_ms)
    aged = [unit for unit in units if state.age_ms(unit.since_ms) >= AGED_MS]
    if aged:
        round.budget = max(round.budget, AGED_STARTS)
        proposals += _plan_aged(round, aged[:UNITS_PER_ROUND])
    proposals += _plan_fair(round, units[:UNITS_PER_ROUND])
    return _commands(round) + proposals


def _commands(round):
    step = ASSIGNMENTS_PER_COMMAND
    groups = [
        round.assignments[start : start + step]
        for start in range(0, len(round.assignments), step)
    ]
    return [
        commands.AssignTasks(assignments=group) for group in [*groups, *round.gangs]
    ]


def _plan_class(round, task_class):
    """Place urgent tasks or services; those without room make room."""
    state = round.state
    units = state.pending.ready(task_class, round.now_ms)[:UNITS_PER_ROUND]
    over_by_tenant = {unit.tenant: state.is_over_quota(unit.tenant) for unit in units}
    units.sort(key=lambda unit: over_by_tenant[unit.tenant])
    proposals = []
    for unit in units:
        if round.budget <= 0:
            break
        if not _place_unit(round, unit):
            proposals += reclamation.evict_for_unit(state, round.now_ms, unit)
    return proposals


def _plan_aged(round, units):
    """Place batch work that has waited long, and keep workers free for the oldest."""
    proposals = []
    for unit in units:
        if round.budget <= 0:
            break
        if not _place_unit(round, unit):
            proposals += reclamation.hold_or_evict_for_aged(
                round.state, round.now_ms, unit
            )
    return proposals


def _plan_fair(round, units):
    """Place batch work, always for the tenant that uses the least of its quota."""
    state = round.state
    units_by_tenant = {}
    for unit in units:
        if unit.not_before_ms <= round.now_ms and unit.task_ids:
            units_by_tenant.setdefault(unit.tenant, []).append(unit)
    heap = []
    for tenant, found in sorted(units_by_tenant.items()):
        found.reverse()
        heap.append((*quotas.quota_share(state, tenant), tenant))
    heapq.heapify(heap)
    misses_by_tenant = {}
    proposals = []
    while heap and round.budget > 0:
        _, _, tenant = heapq.heappop(heap)
        found = units_by_tenant[tenant]
        if not _place_unit(round, found[-1], limit=1):
            misses_by_tenant[tenant] = misses_by_tenant.get(tenant, 0) + 1
            proposals += reclamation.reclaim_quota(state, round.now_ms, found.pop())
        elif not found[-1].task_ids:
            found.pop()
        if found and misses_by_tenant.get(tenant, 0) < MISSES_PER_TENANT:
            standing = quotas.quota_share(state, tenant)
            # A tenant that could not place keeps its turn for its next unit.
            heapq.heappush(heap, (*standing, tenant))
    return proposals


def _place_unit(round, unit, limit=None):
    """Place tasks of a unit; return False when one had no place."""
    state = round.state
    job = state.machine.jobs.by_id.get(unit.name)
    if job is not None and job.is_gang and unit.task_class != pending.LATENCY_CRITICAL:
        return _place_gang(round, unit)
    for task_id in list(unit.task_ids)[:limit]:
        if round.budget <= 0:
            return True
        assignment = place(state, round.now_ms, unit, task_id)
        if assignment is None:
            unit.not_before_ms = round.now_ms + pending.backoff_ms(unit)
            return False
        round.assignments.append(assignment)
        round.budget -= 1
    if not unit.task_ids:
        reclamation.release_holds(state, unit.name)
    return True


def _place_gang(round, unit):
    """Place all pending tasks of a gang in one command, or none of them."""
    state = round.state
    task_ids = list(unit.task_ids)
    placed = []
    for task_id in task_ids:
        assignment = place(state, round.now_ms, unit, task_id)
        if assignment is None:
            break
        placed.append(assignment)
    if len(placed) == len(task_ids):
        round.gangs.append(placed)
        round.budget -= len(placed)
        reclamation.release_holds(state, unit.name)
        return True
    for assignment in placed:
        state.undo_plan(assignment.task)
    unit = state.pending.unit_by_task[task_ids[0]]
    unit.not_before_ms = round.now_ms + pending.backoff_ms(unit)
    state.reasons.record_decision(
        round.now_ms,
        [unit.name],
        "gang waits: a place for {} of {} tasks",
        len(placed),
        len(task_ids),
    )
    return False


def _plan_probes(round):
    """Give each quarantined worker whose probe is due one batch task."""
    state = round.state
    due = quarantine.due_probes(state, round.now_ms)
    if not due:
        return
    units = state.pending.ready(pending.BATCH, round.now_ms)[: 4 * len(due)]
    for upstream in due:
        free = state.free.by_upstream.get(upstream)
        worker = state.machine.workers.by_upstream.get(upstream)
        if free is None or worker is None or worker.is_lost or worker.is_draining:
            continue
        for unit in units:
            job = state.machine.jobs.by_id.get(unit.name)
            if not unit.task_ids or job is None or job.is_gang:
                continue
            task = state.machine.tasks.by_id[next(iter(unit.task_ids))]
            demand = state.demand_of(task)
            if upstream in task.failed_upstreams or not free.fits(demand):
                continue
            reason = f"probe of the quarantined worker {upstream}"
            round.assignments.append(
                _assign(state, round.now_ms, task, demand, free, reason)
            )
            break


def place(state, now_ms, unit, task_id):
    """Choose a worker and count the task there; None when it has to wait."""
    task = state.machine.tasks.by_id[task_id]
    demand = state.demand_of(task)
    candidates = state.free.candidates(
        demand,
        state.random,
        holder=unit.name,
        held=state.upstreams_by_holder.get(unit.name, ()),
    )
    if task.service:
        candidates = placement.narrow_to_spread(state, task, candidates)
    may_wait = state.age_ms(task.pending_since_ms) < DEFER_MS
    best = state.policy.choose(state, task, demand, candidates, may_wait)
    if best is None:
        if candidates:
            state.reasons.record_decision(
                now_ms, [task_id], "waits for a place with less harm"
            )
        else:
            state.reasons.record_decision(
                now_ms,
                [task_id, unit.name],
                "no room for {:g} cores, {} MB, {} accelerators, {} connections",
                demand.cores,
                demand.memory_mb,
                demand.accelerators,
                demand.connections,
            )
        return None
    return _assign(state, now_ms, task, demand, best, "")


def _assign(state, now_ms, task, demand, free, reason):
    worker = state.machine.workers.by_upstream[free.upstream]
    assignment = commands.Assignment(
        task=task.id,
        epoch=task.epoch + 1,
        upstream=free.upstream,
        incarnation=worker.incarnation,
        cores=demand.cores,
        memory_mb=demand.memory_mb,
        accelerators=demand.accelerators,
        connections=demand.connections,
        reason=reason,
    )
    state.reasons.record_decision(
        now_ms,
        [task.id, task.job or task.service, free.upstream],
        "{} placed on {}: {:g} of {:g} free cores, {}",
        task.id,
        free.upstream,
        demand.cores,
        free.cores,
        reason or type(state.policy).__name__,
    )
    state.plan(task, assignment)
    reclamation.consume_hold(state, free.upstream, task.job or task.service)
    return assignment
