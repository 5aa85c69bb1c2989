"""Index of the free capacity of each worker.

The cost of an update depends on what changes, not on the size of the fleet.
"""

import bisect

from sardinegauge import record
from sardinegauge.scheduling import pacing

# Workers are grouped by whole free cores; larger workers share the last group.
CORE_BUCKETS = 128
# In fleets of up to this many workers, a placement decision scores all that fit.
MAX_EXACT_WORKERS = 32
# In larger fleets, a placement decision scores this many random workers. The best of
# them is in the top quarter of the fleet with probability 0.9, and the cost does not
# grow with the fleet.
MAX_CANDIDATES = 8
# Random draws before the index scans the buckets in order.
MAX_DRAWS = 64
# Number of demands that are remembered to fit on no worker until capacity is freed.
MAX_BLOCKED_DEMANDS = 64


class Demand(record.Record):
    """Resources needed by one task; memory in MB."""

    __slots__ = ("cores", "memory_mb", "accelerators", "connections")
    _defaults = {"accelerators": 0, "connections": 0}

    def key(self):
        """Return the demand as a hashable tuple, the same for equal demands."""
        return (self.cores, self.memory_mb, self.accelerators, self.connections)


class FreeCapacity:
    """Capacity of one worker that is neither reserved nor planned for a proposal.

    `starting` counts the tasks that are assigned or planned but do not run yet.
    """

    __slots__ = (
        "accelerators",
        "connections",
        "cores",
        "failure_domain",
        "is_usable",
        "memory_mb",
        "rack",
        "total_cores",
        "total_memory_mb",
        "slots",
        "starting",
        "upstream",
    )

    def fits(self, demand):
        """Tell whether one more task of this demand fits."""
        return (
            self.slots >= 1
            and self.cores >= demand.cores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
            and self.connections >= demand.connections
        )


class Buckets:
    """Upstreams grouped by whole free cores, with constant-time moves."""

    __slots__ = ("lists", "location_by_upstream")

    def __init__(self):
        self.lists = [[] for _ in range(CORE_BUCKETS)]
        self.location_by_upstream = {}

    def move(self, upstream, bucket_number):
        """Move an upstream into the bucket `bucket_number`."""
        location = self.location_by_upstream.get(upstream)
        if location is not None:
            old_number, _ = location
            if old_number == bucket_number:
                return
            self.remove(upstream)
        bucket = self.lists[bucket_number]
        self.location_by_upstream[upstream] = (bucket_number, len(bucket))
        bucket.append(upstream)

    def remove(self, upstream):
        """Remove an upstream; the last one of its bucket takes its position."""
        location = self.location_by_upstream.pop(upstream, None)
        if location is None:
            return
        bucket_number, position = location
        bucket = self.lists[bucket_number]
        last_upstream = bucket.pop()
        if last_upstream != upstream:
            bucket[position] = last_upstream
            self.location_by_upstream[last_upstream] = (bucket_number, position)

    def nonempty_from(self, bucket_number):
        """Return the non-empty buckets from `bucket_number` upwards."""
        return [bucket for bucket in self.lists[bucket_number:] if bucket]


class CapacityIndex:
    """Free capacity of all workers.

    `holder_by_upstream` has the unit for which a worker is held. `planned_by_upstream`
    has, by task, the assignments that were proposed and are not yet applied, so that no
    two proposals use the same capacity. `changed_by_blocked_demand` has, for demands
    that fitted on no worker, the workers that changed since.
    """

    __slots__ = (
        "accelerated",
        "changed_by_blocked_demand",
        "by_upstream",
        "general",
        "holder_by_upstream",
        "largest",
        "planned_by_upstream",
    )

    def __init__(self):
        self.by_upstream = {}
        self.general = Buckets()
        self.accelerated = Buckets()
        self.planned_by_upstream = {}
        self.changed_by_blocked_demand = {}
        self.holder_by_upstream = {}
        # Largest cores and MB seen on any worker, which bound estimated demands.
        self.largest = (0.0, 0)

    def refresh_worker(self, worker, task_by_id, is_domain_drained=False):
        """Recompute the free capacity of a worker from its replicated record."""
        free = self.by_upstream.get(worker.upstream)
        if free is None:
            free = self.by_upstream[worker.upstream] = FreeCapacity()
            free.upstream = worker.upstream
        room, reserved = worker.room, worker.reserved
        free.failure_domain = worker.failure_domain
        free.rack = worker.rack
        free.total_cores = room.cores
        free.total_memory_mb = room.memory_mb
        free.cores = room.cores - reserved.cores
        free.memory_mb = room.memory_mb - reserved.memory_mb
        free.accelerators = room.accelerators - reserved.accelerators
        free.connections = room.connections - reserved.connections
        free.slots = room.tasks - reserved.tasks
        free.starting = sum(
            1 for id in worker.task_ids if task_by_id[id].state == "assigned"
        )
        for planned in self.planned_by_upstream.get(worker.upstream, {}).values():
            self._subtract(free, planned)
        largest_cores, largest_memory_mb = self.largest
        self.largest = (
            max(largest_cores, room.cores),
            max(largest_memory_mb, room.memory_mb),
        )
        free.is_usable = not (
            worker.is_lost
            or worker.is_draining
            or worker.is_quarantined
            or is_domain_drained
        )
        self._update_buckets(free)
        self.mark_changed(worker.upstream)

    def remove_worker(self, upstream):
        """Remove a lost worker; its next registration adds it again."""
        if self.by_upstream.pop(upstream, None) is not None:
            self.general.remove(upstream)
            self.accelerated.remove(upstream)

    def mark_changed(self, upstream):
        """Let demands that fitted on no worker try this worker again."""
        for changed in self.changed_by_blocked_demand.values():
            changed.add(upstream)

    def add_assignment(self, task_id, assignment):
        """Subtract a proposed assignment from the free capacity of its worker."""
        planned = self.planned_by_upstream.setdefault(assignment.upstream, {})
        planned[task_id] = assignment
        free = self.by_upstream[assignment.upstream]
        self._subtract(free, assignment)
        self._update_buckets(free)

    def remove_assignment(self, upstream, task_id):
        """Remove a proposed assignment; the caller has to refresh the worker."""
        planned = self.planned_by_upstream.get(upstream)
        if planned is not None:
            planned.pop(task_id, None)
            if not planned:
                del self.planned_by_upstream[upstream]

    def candidates(self, demand, random, limit=MAX_CANDIDATES, holder=None, held=()):
        """Return up to `limit` workers on which the demand fits.

        In fleets of at most `MAX_EXACT_WORKERS`, all workers that fit are returned, so
        that small fleets are planned exactly. Larger fleets are sampled at random. A
        worker of `held`, the workers held for `holder`, is returned alone if it fits.
        """
        for upstream in sorted(held):
            free = self.by_upstream.get(upstream)
            if free is not None and self._fits(free, demand, holder):
                return [free]
        demand_key = demand.key()
        changed = self.changed_by_blocked_demand.get(demand_key)
        if changed is not None:
            changed_workers = [
                self.by_upstream.get(upstream) for upstream in sorted(changed)
            ]
            candidates = [
                free
                for free in changed_workers
                if free is not None and self._fits(free, demand, holder)
            ][:limit]
            changed.clear()
            if candidates:
                del self.changed_by_blocked_demand[demand_key]
            return candidates
        buckets = self.accelerated if demand.accelerators else self.general
        nonempty_buckets = buckets.nonempty_from(
            min(int(demand.cores), CORE_BUCKETS - 1)
        )
        if len(self.by_upstream) <= MAX_EXACT_WORKERS:
            limit = MAX_EXACT_WORKERS
        elif len(buckets.location_by_upstream) > limit:
            candidates = self._sample(nonempty_buckets, demand, random, limit, holder)
            if len(candidates) >= limit // 4:
                return candidates
        candidates = self._scan(nonempty_buckets, demand, limit, holder)
        if not candidates:
            self._mark_blocked(demand_key)
        return candidates

    def _sample(self, buckets, demand, random, limit, holder):
        ends, total = [], 0
        for bucket in buckets:
            total += len(bucket)
            ends.append(total)
        if not total:
            return []
        candidate_by_upstream = {}
        for _ in range(MAX_DRAWS):
            position = int(random.random() * total)
            bucket_number = bisect.bisect_right(ends, position)
            upstream = buckets[bucket_number][position - ends[bucket_number]]
            free = self.by_upstream[upstream]
            if self._fits(free, demand, holder):
                candidate_by_upstream[upstream] = free
                if len(candidate_by_upstream) == limit:
                    break
        return list(candidate_by_upstream.values())

    def _scan(self, buckets, demand, limit, holder):
        candidates = []
        for bucket in buckets:
            for upstream in bucket:
                free = self.by_upstream[upstream]
                if self._fits(free, demand, holder):
                    candidates.append(free)
                    if len(candidates) == limit:
                        return candidates
        return candidates

    def _fits(self, free, demand, holder):
        if not free.is_usable or not free.fits(demand):
            return False
        if free.starting >= pacing.MAX_STARTING_PER_WORKER:
            return False
        holder_of_worker = self.holder_by_upstream.get(free.upstream)
        return holder_of_worker is None or holder_of_worker == holder

    def _mark_blocked(self, demand_key):
        if len(self.changed_by_blocked_demand) >= MAX_BLOCKED_DEMANDS:
            self.changed_by_blocked_demand.pop(
                next(iter(self.changed_by_blocked_demand))
            )
        self.changed_by_blocked_demand[demand_key] = set()

    def _subtract(self, free, planned):
        free.cores -= planned.cores
        free.memory_mb -= planned.memory_mb
        free.accelerators -= planned.accelerators
        free.connections -= planned.connections
        free.slots -= 1
        free.starting += 1

    def _update_buckets(self, free):
        if not free.is_usable or free.slots < 1:
            self.general.remove(free.upstream)
            self.accelerated.remove(free.upstream)
            return
        bucket_number = max(0, min(int(free.cores), CORE_BUCKETS - 1))
        self.general.move(free.upstream, bucket_number)
        if free.accelerators > 0:
            self.accelerated.move(free.upstream, bucket_number)
        else:
            self.accelerated.remove(free.upstream)
