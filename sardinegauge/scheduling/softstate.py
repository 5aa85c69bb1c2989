"""Soft state of the scheduler: indexes of the state machine and data from heartbeats.

The indexes of tasks and workers are updated only for the tasks that an applied command
affects, so that the cost of an event does not grow with the number of all tasks.
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
    """Weights of the scheduling objectives, from the configuration document."""

    __slots__ = ("batch_throughput", "evictions", "tail_latency")
    _defaults = {"batch_throughput": 1.0, "evictions": 1.0, "tail_latency": 1.0}


class State:
    """Soft state of one leader; `machine`, the state machine, is only read.

    Parameters
    ----------
    machine : machine.Machine
    policy, preemption_policy, size_policy
        Policies of placement, preemption and task sizes. The defaults are used in
        production; others are baselines for comparison.
    """

    def __init__(self, machine, policy=None, preemption_policy=None, size_policy=None):
        self.machine = machine
        self.policy = policy or placement.InterferenceAware()
        self.preemption = preemption_policy or preemption.ThrottleFirst()
        self.size_policy = size_policy or estimates.LearnedSizes()
        # Wall-clock time minus monotonic time, from the times of applied commands.
        self.wall_offset_ms = None
        self.reset(0, 0)

    def reset(self, term, now_ms):
        """Discard all soft state; the term seeds the random choices of the leader."""
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
        # Assignments in flight, each with the tenant of its task.
        self.planned_by_task = {}
        self.upstream_by_task = {}
        self.task_ids_by_upstream = collections.defaultdict(set)
        self.replica_locations_by_task = {}
        self.replica_counts_by_service = {}
        self.run_by_task = {}
        self.views = {}
        # Number of service loads in all worker views.
        self.load_count = 0
        self.placement_stats = views.PlacementStats()
        self.orders_by_upstream = {}
        self.order_by_task = {}
        self.throttle_by_task = {}
        self.review_by_upstream = {}
        self.hold_by_upstream = {}
        self.upstreams_by_holder = {}
        self.draining = set()
        # Upstreams with reservations to be checked, as keys in the order of requests.
        self.resize_due_upstreams = {}
        # Tasks, with their upstream, that have just run long enough to be a success.
        self.new_successes = []
        # Upstreams whose directive is pushed at the end of the tick.
        self.upstreams_to_push = set()
        # Demands that no evictions could satisfy since the last review.
        self.infeasible_demands = set()
        self.reclaim_request_count = 0
        self.batch_wait_ms = 0
        self.last_review_ms = now_ms
        self.weights = Weights()
        self.throttle_steps = preemption.DEFAULT_THROTTLE_STEPS
        self.configured_version = None

    def configure(self):
        """Apply weights, rates and throttle steps if the configuration has changed."""
        configuration = self.machine.configuration
        if configuration.version == self.configured_version:
            return
        self.configured_version = configuration.version
        document = configuration.document
        weights = document.get("weights", {})
        configured_weights = {
            name: weights[name] for name in Weights.__slots__ if name in weights
        }
        self.weights = Weights(**configured_weights)
        steps = document.get("policy", {}).get("throttle_steps")
        self.throttle_steps = tuple(
            preemption.DEFAULT_THROTTLE_STEPS if steps is None else steps
        )
        self.rate_limits.configure(document)

    def age_ms(self, since_ms):
        """Return the age in ms of a wall-clock time of the state machine."""
        if self.wall_offset_ms is None:
            return 0
        return self.now_ms + self.wall_offset_ms - since_ms

    def demand_of(self, task):
        """Return the resources to reserve for a task that is about to start."""
        return self.size_policy.demand(self.sizes, task, self.capacity.largest)

    def is_over_quota(self, tenant):
        """Tell whether a tenant has used up its quota."""
        is_over_quota, _ = quotas.quota_share(self, tenant)
        return is_over_quota

    def mark_for_review(self, upstream, now_ms):
        """Add a worker to those that the preemption policy reviews."""
        if upstream not in self.review_by_upstream:
            self.review_by_upstream[upstream] = preemption.ReviewState()

    def pop_due_resizes(self, limit):
        """Remove and return up to `limit` upstreams with reservations to be checked."""
        due_upstreams = list(self.resize_due_upstreams)[:limit]
        for upstream in due_upstreams:
            del self.resize_due_upstreams[upstream]
        return due_upstreams

    def plan_assignment(self, task, assignment):
        """Add an assignment that is about to be proposed to the indexes."""
        self.pending.remove(task.id)
        self.planned_by_task[task.id] = (assignment, task.tenant)
        self.capacity.add_assignment(task.id, assignment)
        self.planned_usage.add(task.tenant, assignment, 1)
        if task.service:
            self._add_replica(task.id, task.service, assignment.upstream)
        else:
            total_cores = self.capacity.by_upstream[assignment.upstream].total_cores
            share = assignment.cores / max(total_cores, 1e-9)
            self.placement_stats.record_placement(estimates.group_of(task), share)

    def cancel_assignment(self, task_id):
        """Remove a planned assignment, refresh its worker and queue the task again."""
        for upstream in self.sync_task(task_id):
            self.refresh_worker(upstream)

    def sync_task(self, task_id):
        """Update the indexes for a task and return the upstreams to be refreshed."""
        task = self.machine.tasks.by_id.get(task_id)
        affected_upstreams = self._remove_planned(task_id)
        upstream = "" if task is None else task.upstream
        old_upstream = self.upstream_by_task.get(task_id, "")
        if old_upstream:
            affected_upstreams.append(old_upstream)
            if old_upstream != upstream:
                del self.upstream_by_task[task_id]
                self.task_ids_by_upstream[old_upstream].discard(task_id)
        if upstream:
            self.upstream_by_task[task_id] = upstream
            self.task_ids_by_upstream[upstream].add(task_id)
            affected_upstreams.append(upstream)
        self._sync_run(task_id, task)
        self._remove_replica(task_id)
        if task is not None and task.service and upstream and not task.has_ended:
            self._add_replica(task_id, task.service, upstream)
        if task is not None and task.state == "pending":
            self.pending.add(task)
        else:
            self.pending.remove(task_id)
        return affected_upstreams

    def refresh_worker(self, upstream):
        """Update the indexes of a worker whose tasks or record have changed."""
        worker = self.machine.workers.by_upstream.get(upstream)
        directives.invalidate(self, upstream)
        view = self.views.get(upstream)
        if view is not None:
            view.is_stale = True
        is_live = worker is not None and not worker.is_lost
        if is_live:
            self.capacity.refresh_worker(
                worker,
                self.machine.tasks.by_id,
                worker.failure_domain in self.machine.domain_drains,
            )
        else:
            # The VM that replaces a lost one has another name, so nothing is kept.
            self.capacity.remove_worker(upstream)
            self.outcomes.by_upstream.pop(upstream, None)
            if not self.task_ids_by_upstream[upstream]:
                del self.task_ids_by_upstream[upstream]
        _set_membership(self.draining, upstream, is_live and worker.is_draining)
        quarantined = self.outcomes.quarantined
        _set_membership(quarantined, upstream, is_live and worker.is_quarantined)

    def _remove_planned(self, task_id):
        planned = self.planned_by_task.pop(task_id, None)
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

    def _add_replica(self, task_id, service, upstream):
        self._remove_replica(task_id)
        worker = self.machine.workers.by_upstream[upstream]
        locations = (worker.failure_domain, worker.rack, upstream)
        self.replica_locations_by_task[task_id] = (service, locations)
        counts = self.replica_counts_by_service.get(service)
        if counts is None:
            location_kinds = ("failure_domain", "rack", "upstream")
            counts = {
                location_kind: collections.Counter() for location_kind in location_kinds
            }
            self.replica_counts_by_service[service] = counts
        for count_by_location, location in zip(counts.values(), locations):
            count_by_location[location] += 1

    def _remove_replica(self, task_id):
        replica = self.replica_locations_by_task.pop(task_id, None)
        if replica is None:
            return
        service, locations = replica
        for count_by_location, location in zip(
            self.replica_counts_by_service[service].values(), locations
        ):
            count_by_location[location] -= 1
            if not count_by_location[location]:
                del count_by_location[location]
        if not self.replica_counts_by_service[service]["upstream"]:
            del self.replica_counts_by_service[service]


def _set_membership(members, item, is_member):
    if is_member:
        members.add(item)
    else:
        members.discard(item)
