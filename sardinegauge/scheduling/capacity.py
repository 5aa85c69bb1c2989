"""Index of the room left on each worker, kept in proportion to what changes."""

import bisect

from sardinegauge import record
from sardinegauge.scheduling import pacing

# Workers are grouped by whole free cores; larger workers share the last group.
CORE_BUCKETS = 128
# Up to this many workers, a placement decision scores all that have room.
EXACT_WORKERS = 32
# In larger fleets it scores this many at random: the best one of them is in the top
# quarter of the fleet with probability 0.9, and the cost does not grow with the fleet.
CANDIDATES = 8
# Random draws before the index walks the buckets one by one.
DRAWS = 64
# Sizes remembered as "fits nowhere" until room is freed.
BLOCKED_SIZES = 64


class Demand(record.Record):
    """What one task needs: cores, memory in MB, accelerators, connections."""

    __slots__ = ("cores", "memory_mb", "accelerators", "connections")
    _defaults = {"accelerators": 0, "connections": 0}

    def key(self):
        """Return the demand as a tuple, so that equal demands share one memo."""
        return (self.cores, self.memory_mb, self.accelerators, self.connections)


class Free:
    """The room left on one worker, after reservations and proposals in flight."""

    __slots__ = (
        "accelerators",
        "connections",
        "cores",
        "failure_domain",
        "is_usable",
        "memory_mb",
        "rack",
        "room_cores",
        "room_memory_mb",
        "slots",
        "starting",
        "upstream",
    )

    def fits(self, demand):
        """Tell whether one more task of this demand has room."""
        return (
            self.slots >= 1
            and self.cores >= demand.cores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
            and self.connections >= demand.connections
        )


class Buckets:
    """Upstreams grouped by whole free cores, with constant-time moves."""

    __slots__ = ("lists", "place_by_upstream")

    def __init__(self):
        self.lists = [[] for _ in range(CORE_BUCKETS)]
        self.place_by_upstream = {}

    def put(self, upstream, number):
        """Move an upstream into the bucket `number`."""
        place = self.place_by_upstream.get(upstream)
        if place is not None:
            if place[0] == number:
                return
            self.remove(upstream)
        bucket = self.lists[number]
        self.place_by_upstream[upstream] = (number, len(bucket))
        bucket.append(upstream)

    def remove(self, upstream):
        """Take an upstream out; the last one of its bucket fills the gap."""
        place = self.place_by_upstream.pop(upstream, None)
        if place is None:
            return
        number, position = place
        bucket = self.lists[number]
        last = bucket.pop()
        if last != upstream:
            bucket[position] = last
            self.place_by_upstream[last] = (number, position)

    def from_bucket(self, number):
        """Return the buckets that are not empty, from `number` upwards."""
        return [bucket for bucket in self.lists[number:] if bucket]


class FreeRoom:
    """Room left on all workers.

    `holder_by_upstream` names the unit for which a worker is kept free of others.
    `planned_by_upstream` holds the assignments that were proposed and are not yet
    applied, by task, so that two proposals never count on the same room.
    """

    __slots__ = (
        "accelerated",
        "blocked_by_size",
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
        self.blocked_by_size = {}
        self.holder_by_upstream = {}
        # Cores and MB of the largest worker seen, which bound estimates.
        self.largest = (0.0, 0)

    def refresh(self, worker, task_by_id):
        """Recompute one worker's room from the machine's record of it."""
        free = self.by_upstream.get(worker.upstream)
        if free is None:
            free = self.by_upstream[worker.upstream] = Free()
            free.upstream = worker.upstream
        room, reserved = worker.room, worker.reserved
        free.failure_domain = worker.failure_domain
        free.rack = worker.rack
        free.room_cores = room.cores
        free.room_memory_mb = room.memory_mb
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
        self.largest = (
            max(self.largest[0], room.cores),
            max(self.largest[1], room.memory_mb),
        )
        free.is_usable = not (
            worker.is_lost or worker.is_draining or worker.is_quarantined
        )
        self._index(free)
        self.note_change(worker.upstream)

    def forget(self, upstream):
        """Drop a lost worker; it comes back with its next registration."""
        if self.by_upstream.pop(upstream, None) is not None:
            self.general.remove(upstream)
            self.accelerated.remove(upstream)

    def note_change(self, upstream):
        """Let demands that fitted nowhere try this worker again."""
        for changed in self.blocked_by_size.values():
            changed.add(upstream)

    def plan(self, task_id, assignment):
        """Count a proposed assignment against its worker's room."""
        planned = self.planned_by_upstream.setdefault(assignment.upstream, {})
        planned[task_id] = assignment
        free = self.by_upstream[assignment.upstream]
        self._subtract(free, assignment)
        self._index(free)

    def unplan(self, upstream, task_id):
        """Forget a proposed assignment; the caller refreshes the worker."""
        planned = self.planned_by_upstream.get(upstream)
        if planned is not None:
            planned.pop(task_id, None)
            if not planned:
                del self.planned_by_upstream[upstream]

    def candidates(self, demand, random, limit=CANDIDATES, holder=None, held=()):
        """Return up to `limit` workers with room for the demand.

        All workers that fit are returned in fleets of at most `EXACT_WORKERS`, so that
        small fleets are planned exactly; larger ones are sampled at random.
        Workers in `held`, which are kept for `holder`, come first when they fit.
        """
        for upstream in sorted(held):
            free = self.by_upstream.get(upstream)
            if free is not None and self._fits(free, demand, holder):
                return [free]
        size = demand.key()
        changed = self.blocked_by_size.get(size)
        if changed is not None:
            known = [self.by_upstream.get(upstream) for upstream in sorted(changed)]
            found = [
                free
                for free in known
                if free is not None and self._fits(free, demand, holder)
            ][:limit]
            changed.clear()
            if found:
                del self.blocked_by_size[size]
            return found
        buckets = self.accelerated if demand.accelerators else self.general
        lists = buckets.from_bucket(min(int(demand.cores), CORE_BUCKETS - 1))
        if len(self.by_upstream) <= EXACT_WORKERS:
            limit = EXACT_WORKERS
        elif len(buckets.place_by_upstream) > limit:
            found = self._draw(lists, demand, random, limit, holder)
            if len(found) >= limit // 4:
                return found
        found = self._walk(lists, demand, limit, holder)
        if not found:
            self._block(size)
        return found

    def _draw(self, lists, demand, random, limit, holder):
        ends, total = [], 0
        for bucket in lists:
            total += len(bucket)
            ends.append(total)
        if not total:
            return []
        found = {}
        for _ in range(DRAWS):
            number = int(random.random() * total)
            where = bisect.bisect_right(ends, number)
            upstream = lists[where][number - ends[where]]
            free = self.by_upstream[upstream]
            if self._fits(free, demand, holder):
                found[upstream] = free
                if len(found) == limit:
                    break
        return list(found.values())

    def _walk(self, lists, demand, limit, holder):
        found = []
        for bucket in lists:
            for upstream in bucket:
                free = self.by_upstream[upstream]
                if self._fits(free, demand, holder):
                    found.append(free)
                    if len(found) == limit:
                        return found
        return found

    def _fits(self, free, demand, holder):
        if not free.is_usable or not free.fits(demand):
            return False
        if free.starting >= pacing.MAX_STARTING_PER_WORKER:
            return False
        held_for = self.holder_by_upstream.get(free.upstream)
        return held_for is None or held_for == holder

    def _block(self, size):
        if len(self.blocked_by_size) >= BLOCKED_SIZES:
            self.blocked_by_size.pop(next(iter(self.blocked_by_size)))
        self.blocked_by_size[size] = set()

    def _subtract(self, free, planned):
        free.cores -= planned.cores
        free.memory_mb -= planned.memory_mb
        free.accelerators -= planned.accelerators
        free.connections -= planned.connections
        free.slots -= 1
        free.starting += 1

    def _index(self, free):
        if not free.is_usable or free.slots < 1:
            self.general.remove(free.upstream)
            self.accelerated.remove(free.upstream)
            return
        number = max(0, min(int(free.cores), CORE_BUCKETS - 1))
        self.general.put(free.upstream, number)
        if free.accelerators > 0:
            self.accelerated.put(free.upstream, number)
        else:
            self.accelerated.remove(free.upstream)
