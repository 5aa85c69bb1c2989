"""One planning round: assigns pending tasks in the order of class, quota and age.

Urgent work comes first, then services, then batch work that has waited long, then
batch work of the tenants that use the smallest share of their quota. The cost of a
round depends on the number of pending units, not on the number of running tasks.
"""

import heapq

from sardinegauge import commands
from sardinegauge.scheduling import pending, placement, quarantine, quotas, reclamation

# Units tried per round and class. The rest of a longer queue waits for later rounds.
MAX_UNITS_PER_ROUND = 256
# Units of one tenant that may fail to fit before only other tenants are considered.
MAX_MISSES_PER_TENANT = 24
# Keeps a command far below the frame limit of 1 MiB.
MAX_ASSIGNMENTS_PER_COMMAND = 64
# Batch work that has waited this long precedes all other batch work.
AGED_MS = 90_000
# Starts per round that aged batch work gets even if urgent work and services have
# used up the budget.
MIN_AGED_STARTS = 1
# Longest time for which a batch task waits for a worker with less interference.
MAX_DEFER_MS = 60_000


class PlanningRound:
    """Budget and results of one planning round."""

    __slots__ = ("assignments", "budget", "gangs", "now_ms", "state")

    def __init__(self, state, now_ms):
        self.state = state
        self.now_ms = now_ms
        self.budget = state.rate_limits.starts.available()
        self.assignments = []
        self.gangs = []


def plan(state, now_ms):
    """Return the commands of one planning round."""
    if not len(state.pending):
        return []
    planning_round = PlanningRound(state, now_ms)
    proposals = []
    for task_class in (pending.URGENT, pending.LATENCY_CRITICAL):
        proposals += _plan_class(planning_round, task_class)
    _plan_probes(planning_round)
    is_service_waiting = bool(state.pending.units_by_class[pending.LATENCY_CRITICAL])
    batch_budget = state.rate_limits.batch_budget(now_ms, is_service_waiting)
    planning_round.budget = min(planning_round.budget, batch_budget)
    units = state.pending.ready(pending.BATCH, now_ms)
    aged_units = [unit for unit in units if state.age_ms(unit.since_ms) >= AGED_MS]
    if aged_units:
        planning_round.budget = max(planning_round.budget, MIN_AGED_STARTS)
        proposals += _plan_aged(planning_round, aged_units[:MAX_UNITS_PER_ROUND])
    proposals += _plan_fair(planning_round, units[:MAX_UNITS_PER_ROUND])
    return _assignment_commands(planning_round) + proposals


def _assignment_commands(planning_round):
    size = MAX_ASSIGNMENTS_PER_COMMAND
    groups = [
        planning_round.assignments[start : start + size]
        for start in range(0, len(planning_round.assignments), size)
    ]
    return [
        commands.AssignTasks(assignments=group)
        for group in [*groups, *planning_round.gangs]
    ]


def _plan_class(planning_round, task_class):
    """Place urgent tasks or services; evict batch tasks for those that do not fit."""
    state = planning_round.state
    units = state.pending.ready(task_class, planning_round.now_ms)[:MAX_UNITS_PER_ROUND]
    is_over_quota_by_tenant = {
        unit.tenant: state.is_over_quota(unit.tenant) for unit in units
    }
    units.sort(key=lambda unit: is_over_quota_by_tenant[unit.tenant])
    proposals = []
    for unit in units:
        if planning_round.budget <= 0:
            break
        if not _place_unit(planning_round, unit):
            proposals += reclamation.evict_for_unit(state, planning_round.now_ms, unit)
    return proposals


def _plan_aged(planning_round, units):
    """Place batch work that has waited long, and hold workers where it does not fit."""
    proposals = []
    for unit in units:
        if planning_round.budget <= 0:
            break
        if not _place_unit(planning_round, unit):
            proposals += reclamation.hold_or_evict_for_aged(
                planning_round.state, planning_round.now_ms, unit
            )
    return proposals


def _plan_fair(planning_round, units):
    """Place batch tasks, one at a time for the tenant with the smallest quota share."""
    state = planning_round.state
    units_by_tenant = {}
    for unit in units:
        if unit.not_before_ms <= planning_round.now_ms and unit.task_ids:
            units_by_tenant.setdefault(unit.tenant, []).append(unit)
    heap = []
    for tenant, tenant_units in sorted(units_by_tenant.items()):
        tenant_units.reverse()
        heap.append((*quotas.quota_share(state, tenant), tenant))
    heapq.heapify(heap)
    misses_by_tenant = {}
    proposals = []
    while heap and planning_round.budget > 0:
        _, _, tenant = heapq.heappop(heap)
        tenant_units = units_by_tenant[tenant]
        if not _place_unit(planning_round, tenant_units[-1], limit=1):
            misses_by_tenant[tenant] = misses_by_tenant.get(tenant, 0) + 1
            proposals += reclamation.reclaim_quota(
                state, planning_round.now_ms, tenant_units.pop()
            )
        elif not tenant_units[-1].task_ids:
            tenant_units.pop()
        if tenant_units and misses_by_tenant.get(tenant, 0) < MAX_MISSES_PER_TENANT:
            quota_share = quotas.quota_share(state, tenant)
            # A miss leaves the share as it is, so the next unit of the tenant is tried.
            heapq.heappush(heap, (*quota_share, tenant))
    return proposals


def _place_unit(planning_round, unit, limit=None):
    """Place up to `limit` tasks of a unit; return False if one does not fit."""
    state = planning_round.state
    job = state.machine.jobs.by_id.get(unit.name)
    if job is not None and job.is_gang and unit.task_class != pending.LATENCY_CRITICAL:
        return _place_gang(planning_round, unit)
    for task_id in list(unit.task_ids)[:limit]:
        if planning_round.budget <= 0:
            return True
        assignment = place(state, planning_round.now_ms, unit, task_id)
        if assignment is None:
            unit.not_before_ms = planning_round.now_ms + pending.backoff_ms(unit)
            return False
        planning_round.assignments.append(assignment)
        planning_round.budget -= 1
    if not unit.task_ids:
        reclamation.release_holds(state, unit.name)
    return True


def _place_gang(planning_round, unit):
    """Place all pending tasks of a gang in one command, or none of them.

    Returns whether they were placed.
    """
    state = planning_round.state
    task_ids = list(unit.task_ids)
    assignments = []
    for task_id in task_ids:
        assignment = place(state, planning_round.now_ms, unit, task_id)
        if assignment is None:
            break
        assignments.append(assignment)
    if len(assignments) == len(task_ids):
        planning_round.gangs.append(assignments)
        planning_round.budget -= len(assignments)
        reclamation.release_holds(state, unit.name)
        return True
    for assignment in assignments:
        state.cancel_assignment(assignment.task)
    unit = state.pending.unit_by_task[task_ids[0]]
    unit.not_before_ms = planning_round.now_ms + pending.backoff_ms(unit)
    state.reasons.record_decision(
        planning_round.now_ms,
        [unit.name],
        "gang waits: a place for {} of {} tasks",
        len(assignments),
        len(task_ids),
    )
    return False


def _plan_probes(planning_round):
    """Assign one batch task to each quarantined worker whose probe is due."""
    state = planning_round.state
    due_upstreams = quarantine.due_probes(state, planning_round.now_ms)
    if not due_upstreams:
        return
    units = state.pending.ready(pending.BATCH, planning_round.now_ms)[
        : 4 * len(due_upstreams)
    ]
    for upstream in due_upstreams:
        free = state.capacity.by_upstream.get(upstream)
        worker = state.machine.workers.by_upstream.get(upstream)
        if free is None or worker is None or worker.is_lost or worker.is_draining:
            continue
        if worker.failure_domain in state.machine.domain_drains:
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
            planning_round.assignments.append(
                _assign(state, planning_round.now_ms, task, demand, free, reason)
            )
            break


def place(state, now_ms, unit, task_id):
    """Return the assignment of a task to the best worker, or None if it has to wait.

    The assignment is counted against the free capacity of its worker.
    """
    task = state.machine.tasks.by_id[task_id]
    demand = state.demand_of(task)
    candidates = state.capacity.candidates(
        demand,
        state.random,
        holder=unit.name,
        held=state.upstreams_by_holder.get(unit.name, ()),
    )
    if task.service:
        candidates = placement.filter_by_spread(state, task, candidates)
    may_wait = state.age_ms(task.pending_since_ms) < MAX_DEFER_MS
    best = state.policy.choose(state, task, demand, candidates, may_wait)
    if best is None:
        if candidates:
            state.reasons.record_decision(
                now_ms, [task_id], "waits for a worker with less interference"
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
    state.plan_assignment(task, assignment)
    reclamation.consume_hold(state, free.upstream, task.job or task.service)
    return assignment
