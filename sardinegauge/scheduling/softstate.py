"""Soft state of the scheduler: indexes over the machine and what heartbeats told.

The indexes mirror the machine's tasks and workers and are updated for the tasks that a
command touched, so that no step is in proportion to all tasks.
"""

import collections
import random

from sardinegauge import record
from sardinegauge.scheduling import (
    capacity,
    estimates,
    heartbeats,
    inflight,
    interference,
    pacing,
    pending,
    placement,
    preemption,
    quarantine,
    quotas,
    reasons,
    views,
)
from sardinegauge.state import directives


class Weights(record.Record):
    """Weights of the outcomes, from the configuration document."""

    __slots__ = ("batch_throughput", "evictions", "tail_latency")
    _defaults = {"batch_throughput": 1.0, "evictions": 1.0, "tail_latency": 1.0}


class State:
    """Soft state of one leader; `machine` is read only.

    Parameters
    ----------
    machine : machine.Machine
    policy, preemption, size_policy
        Policies; the defaults are the ones in use, others serve as baselines.
    """

    def __init__(self, machine, policy=None, preemption_policy=None, size_policy=None):
        self.machine = machine
        self.policy = policy or placement.InterferenceAware()
        self.preemption = preemption_policy or preemption.ThrottleFirst()
        self.size_policy = size_policy or estimates.LearnedSizes()
        # Wall clock minus the monotonic one, known from applied commands.
        self.wall_offset_ms = None
        self.reset(0, 0)

    def reset(self, term, now_ms):
        """Drop all soft state; the term seeds the random choices of this leader."""
        self.is_leader = False
        self.term = term
        self.now_ms = now_ms
        self.random = random.Random(term)
        self.leases = heartbeats.Leases()
        self.in_flight = inflight.InFlight()
        self.capacity = capacity.CapacityIndex()
        self.pending = pending.PendingQueue()
        self.rate_limits = pacing.RateLimits()
        self.reasons = reasons.Reasons()
        self.sizes = estimates.Sizes()
        self.model = interference.Model()
        self.outcomes = quarantine.OutcomeHistory()
        self.planned_usage = quotas.PlannedUsage()
        self.assignment_by_task = {}
        self.upstream_by_task = {}
        self.ids_by_upstream = collections.defaultdict(set)
        self.spread_place_by_task = {}
        self.spread_by_service = {}
        self.run_by_task = {}
        self.views = {}
        # Services reported over all views.
        self.load_count = 0
        self.placement_stats = views.PlacementStats()
        self.orders_by_upstream = {}
        self.order_by_task = {}
        self.throttle_by_task = {}
        self.review_by_upstream = {}
        self.hold_by_upstream = {}
        self.upstreams_by_holder = {}
        self.draining = set()
        self.resize_due = {}
        # Tasks that just ran long enough to count as a success, with their upstream.
        self.successes = []
        self.changed_upstreams = set()
        self.infeasible_demands = set()
        self.room_request_count = 0
        self.batch_wait_ms = 0
        self.reviewed_ms = now_ms
        self.weights = Weights()
        self.throttle_steps = preemption.DEFAULT_THROTTLE_STEPS
        self.configured_version = None

    def configure(self):
        """Take weights, rates and steps from a new configuration."""
        configuration = self.machine.configuration
        if configuration.version == self.configured_version:
            return
        self.configured_version = configuration.version
        document = configuration.document
        weights = document.get("weights", {})
        known = {name: weights[name] for name in Weights.__slots__ if name in weights}
        self.weights = Weights(**known)
        steps = document.get("policy", {}).get("throttle_steps")
        self.throttle_steps = tuple(
            preemption.DEFAULT_THROTTLE_STEPS if steps is None else steps
        )
        self.rate_limits.configure(document)

    def age_ms(self, since_ms):
        """Return how long ago a wall-clock time of the machine was, in ms."""
        if self.wall_offset_ms is None:
            return 0
        return self.now_ms + self.wall_offset_ms - since_ms

    def demand_of(self, task):
        """Return what to reserve for a task that is about to start."""
        return self.size_policy.demand(self.sizes, task, self.capacity.largest)

    def is_over_quota(self, tenant):
        """Tell whether a tenant uses more than its quota."""
        return quotas.quota_share(self, tenant)[0]

    def watch(self, upstream, now_ms):
        """Let the preemption policy review a worker."""
        if upstream not in self.review_by_upstream:
            self.review_by_upstream[upstream] = preemption.ReviewState()

    def pop_due_resizes(self, limit):
        """Return upstreams whose reservations are due for a check, and forget them."""
        due = list(self.resize_due)[:limit]
        for upstream in due:
            del self.resize_due[upstream]
        return due

    def plan(self, task, assignment):
        """Count an assignment that is about to be proposed."""
        self.pending.remove(task.id)
        self.assignment_by_task[task.id] = (assignment, task.tenant)
        self.capacity.add_assignment(task.id, assignment)
        self.planned_usage.add(task.tenant, assignment, 1)
        if task.service:
            self._spread(task.id, task.service, assignment.upstream)
        else:
            total_cores = self.capacity.by_upstream[assignment.upstream].total_cores
            share = assignment.cores / max(total_cores, 1e-9)
            self.placement_stats.record_placement(estimates.group_of(task), share)

    def undo_plan(self, task_id):
        """Take back an assignment; refresh its worker and queue the task again."""
        for upstream in self.sync_task(task_id):
            self.refresh(upstream)

    def sync_task(self, task_id):
        """Bring the indexes in line with the machine's task; return its upstreams."""
        task = self.machine.tasks.by_id.get(task_id)
        touched = self._drop_plan(task_id)
        upstream = "" if task is None else task.upstream
        old = self.upstream_by_task.get(task_id, "")
        if old:
            touched.append(old)
            if old != upstream:
                del self.upstream_by_task[task_id]
                self.ids_by_upstream[old].discard(task_id)
        if upstream:
            self.upstream_by_task[task_id] = upstream
            self.ids_by_upstream[upstream].add(task_id)
            touched.append(upstream)
        self._sync_run(task_id, task)
        self._unspread(task_id)
        if task is not None and task.service and upstream and not task.has_ended:
            self._spread(task_id, task.service, upstream)
        if task is not None and task.state == "pending":
            self.pending.add(task)
        else:
            self.pending.remove(task_id)
        return touched

    def refresh(self, upstream):
        """Recompute what depends on a worker whose tasks or record changed."""
        worker = self.machine.workers.by_upstream.get(upstream)
        directives.forget(self, upstream)
        view = self.views.get(upstream)
        if view is not None:
            view.is_stale = True
        is_live = worker is not None and not worker.is_lost
        if is_live:
            self.capacity.refresh_worker(worker, self.machine.tasks.by_id)
        else:
            # Replaced VMs come back under other names, so nothing of them is kept.
            self.capacity.remove_worker(upstream)
            self.outcomes.by_upstream.pop(upstream, None)
            if not self.ids_by_upstream[upstream]:
                del self.ids_by_upstream[upstream]
        _set_member(self.draining, upstream, is_live and worker.is_draining)
        quarantined = self.outcomes.quarantined
        _set_member(quarantined, upstream, is_live and worker.is_quarantined)

    def _drop_plan(self, task_id):
        planned = self.assignment_by_task.pop(task_id, None)
        if planned is None:
            return []
        assignment, tenant = planned
        self.capacity.remove_assignment(assignment.upstream, task_id)
        self.planned_usage.add(tenant, assignment, -1)
        return [assignment.upstream]

    def _sync_run(self, task_id, task):
        run = self.run_by_task.get(task_id)
        if task is None or not task.upstream:
            if run is not None:
                del self.run_by_task[task_id]
            self.order_by_task.pop(task_id, None)
            self.throttle_by_task.pop(task_id, None)
            if task is None or task.has_ended:
                self.sizes.floor_by_task.pop(task_id, None)
        elif run is None or run.epoch != task.epoch:
            self.run_by_task[task_id] = estimates.Run(task, self.now_ms)
        else:
            run.reserved_cores = task.cores

    def _spread(self, task_id, service, upstream):
        self._unspread(task_id)
        worker = self.machine.workers.by_upstream[upstream]
        places = (worker.failure_domain, worker.rack, upstream)
        self.spread_place_by_task[task_id] = (service, places)
        counts = self.spread_by_service.get(service)
        if counts is None:
            names = ("failure_domain", "rack", "upstream")
            counts = {name: collections.Counter() for name in names}
            self.spread_by_service[service] = counts
        for table, place in zip(counts.values(), places):
            table[place] += 1

    def _unspread(self, task_id):
        found = self.spread_place_by_task.pop(task_id, None)
        if found is None:
            return
        service, places = found
        for table, place in zip(self.spread_by_service[service].values(), places):
            table[place] -= 1
            if not table[place]:
                del table[place]
        if not self.spread_by_service[service]["upstream"]:
            del self.spread_by_service[service]


def _set_member(members, item, is_member):
    if is_member:
        members.add(item)
    else:
        members.discard(item)
