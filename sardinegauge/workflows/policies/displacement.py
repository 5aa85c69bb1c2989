"""Displacement policies, which choose the runs to stop for more urgent work.

`LeastLostWork` is made for a load in which best-effort tasks fill the memory of all
workers while urgent tasks arrive or latency-critical tasks lose their worker, and for
workers whose capacity shrinks below what they run. `NoDisplacement` is the baseline: a
task that fits nowhere waits, and whatever runs goes on.

A run is displaced only by a task of a strictly more urgent queue, so that there are no
displacement cycles, whatever the ordering within a queue.
"""

import abc

from sardinegauge import record
from sardinegauge.workflows import views
from sardinegauge.workflows.policies import displacementlimits

# A run with less expected rest is left to its end: its stop, the commands in the log
# and its restart take about 2 s.
MIN_REST_MS = 1500
# Expected rests rely on declared run times, which are off by up to 90%; a run with this
# progress counts as about to end in any case.
ENDING_PROGRESS = 95
# Lost work up to which a run without checkpoints may be displaced.
MAX_LOST_MS = 1000
# Work that each displacement costs beside the lost work: the stop and the restart.
RESTART_MS = 2000


class Run(record.Record):
    """A run on a worker.

    `key` holds its task and run number. Queues with a lower `priority` number are more
    urgent, `rank` is the sort key of the ordering. `rest_ms` is the expected time to
    its end, `lost_ms` the work that a stop would discard: the time since its last
    checkpoint, or since its start. A leaving run is being stopped. `may_move` holds for
    a persistent run that may be stopped within the `max_unavailable` of its step and
    would find room elsewhere.
    """

    __slots__ = (
        "key",
        "priority",
        "rank",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "is_filler",
        "is_persistent",
        "is_latency_critical",
        "is_gang",
        "is_checkpointing",
        "is_leaving",
        "progress",
        "rest_ms",
        "lost_ms",
        "displaced_count",
        "may_move",
    )
    _defaults = {
        "rank": (),
        "cpu_millis": 0,
        "memory_mb": 0,
        "accelerators": 0,
        "is_filler": False,
        "is_persistent": False,
        "is_latency_critical": False,
        "is_gang": False,
        "is_checkpointing": False,
        "is_leaving": False,
        "progress": 0,
        "rest_ms": 0,
        "lost_ms": 0,
        "displaced_count": 0,
        "may_move": False,
    }

    @property
    def cost(self):
        """The work that a displacement costs, in thousandths of a core times ms."""
        return max(self.cpu_millis, 1) * (self.lost_ms + RESTART_MS)


class Worker(record.Record):
    """A worker with its runs.

    `free` is a `views.Room` in which leaving runs still count; it is negative where
    more runs than the worker has room for.
    """

    __slots__ = ("id", "free", "runs")

    def expected_room(self):
        """Return the free room once the leaving runs have ended."""
        room = self.free.replace()
        for run in self.runs:
            if run.is_leaving:
                room.release(run)
        return room


class Claim(record.Record):
    """A waiting task that fits on no worker; see `Run` for the fields."""

    __slots__ = (
        "task",
        "priority",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "is_filler",
        "displaced_count",
    )
    _defaults = {
        "cpu_millis": 0,
        "memory_mb": 0,
        "accelerators": 0,
        "is_filler": False,
        "displaced_count": 0,
    }


class Choice(record.Record):
    """A worker, and the runs on it to stop; none if room is about to become free."""

    __slots__ = ("worker", "victims")


class DisplacementPolicy(abc.ABC):
    """Chooses the runs that are stopped before their end."""

    @abc.abstractmethod
    def choose(self, claim, workers, max_victims):
        """Return a `Choice` for a `Claim`, or None if the task has to wait.

        Parameters
        ----------
        claim : Claim
        workers : list of Worker
            Those on which the task may start.
        max_victims : int
            Number of runs that may be displaced now.
        """

    @abc.abstractmethod
    def choose_excess(self, worker, max_victims):
        """Return the runs to stop on a worker that runs more than its capacity."""


class NoDisplacement(DisplacementPolicy):
    """Stops nothing."""

    def choose(self, claim, workers, max_victims):
        """Return None."""
        return None

    def choose_excess(self, worker, max_victims):
        """Return no run."""
        return []


class LeastLostWork(DisplacementPolicy):
    """Stops the least urgent runs, among them those with the least lost work.

    Parameters
    ----------
    min_rest_ms : int
        A run with less expected rest stays.
    max_lost_ms : int
        A run without checkpoints that would lose more work stays.
    max_displaced : int
        How many times a task may be displaced in its life.
    """

    def __init__(
        self,
        min_rest_ms=MIN_REST_MS,
        max_lost_ms=MAX_LOST_MS,
        max_displaced=displacementlimits.MAX_PER_TASK,
    ):
        self.min_rest_ms = min_rest_ms
        self.max_lost_ms = max_lost_ms
        self.max_displaced = max_displaced

    def choose(self, claim, workers, max_victims):
        """Return the choice that costs least; see `DisplacementPolicy.choose`.

        A displaced task displaces nothing.
        """
        if claim.displaced_count:
            return None
        best = None
        for worker in workers:
            victims = self._victims(claim, worker)
            if victims is None or len(victims) > max_victims:
                continue
            cost = _cost_key(victims)
            if best is None or cost < best[0]:
                best = (cost, Choice(worker=worker.id, victims=victims))
            if not victims:
                break
        return best[1] if best is not None else None

    def choose_excess(self, worker, max_victims):
        """Return the runs to stop until the rest fits, as far as the excess hurts.

        Memory and accelerators can't be shared, so any excess of them hurts. Too few
        cores only slow the runs down, and a stop would discard work without a gain,
        unless latency-critical tasks are among them.
        """
        room = worker.expected_room()
        names = _hurting_resources(worker, room)
        victims = []
        if not names:
            return victims
        movable = [run for run in worker.runs if self._tier(run, names) is not None]
        movable.sort(
            key=lambda run: (self._tier(run, names), not run.is_filler, _order(run))
        )
        for run in movable:
            short = {name for name in names if getattr(room, name) < 0}
            if not short:
                break
            if _relieves(run, short):
                room.release(run)
                victims.append(run)
        victims = _without_superfluous(
            victims, room, lambda left: all(getattr(left, name) >= 0 for name in names)
        )
        return victims[:max_victims]

    def _victims(self, claim, worker):
        """Return the runs to stop for a claim; None if their room is not enough."""
        room = worker.expected_room()
        if room.fits(claim):
            return []
        eligible = sorted(
            (
                run
                for run in worker.runs
                if run.priority > claim.priority
                and not run.is_persistent
                and self._is_cheap(run)
                and _relieves(run, _short_resources(room, claim))
            ),
            key=_order,
        )
        victims = []
        for run in eligible:
            if room.fits(claim):
                break
            if _relieves(run, _short_resources(room, claim)):
                room.release(run)
                victims.append(run)
        if not room.fits(claim):
            return None
        victims = _without_superfluous(victims, room, lambda left: left.fits(claim))
        choices = [victims] + [
            [run] for run in eligible if _fits_without(claim, worker, run)
        ]
        return min(choices, key=_cost_key)

    def _is_cheap(self, run):
        """Return whether little is lost with the displacement of a run."""
        return self._may_stop(run) and (
            run.is_checkpointing or run.lost_ms <= self.max_lost_ms
        )

    def _may_stop(self, run):
        is_ending = (
            run.rest_ms < self.min_rest_ms or run.progress >= ENDING_PROGRESS
        ) and not run.is_persistent
        return not (
            run.is_gang
            or run.is_leaving
            or is_ending
            or run.displaced_count >= self.max_displaced
        )

    def _tier(self, run, names):
        """Return when a run is chosen on an overcommitted worker, None for never."""
        if not self._may_stop(run):
            return None
        if run.is_persistent:
            return 2 if run.may_move else None
        if self._is_cheap(run):
            return 0
        return 1 if names - {"cpu_millis"} else None


def _hurting_resources(worker, room):
    names = {name for name in room.field_names() if getattr(room, name) < 0}
    if not any(run.is_latency_critical for run in worker.runs):
        names.discard("cpu_millis")
    return names


def _short_resources(room, claim):
    """Return the names of the resources that a room lacks for a claim."""
    left = room.replace()
    left.reserve(claim)
    names = {name for name in left.field_names() if getattr(left, name) < 0}
    return names - {"cpu_millis"} if claim.is_filler else names


def _relieves(run, names):
    """Return whether the end of a run gives back any of the named resources."""
    given_back = views.Room()
    given_back.release(run)
    return any(getattr(given_back, name) > 0 for name in names)


def _fits_without(claim, worker, run):
    room = worker.expected_room()
    room.release(run)
    return room.fits(claim)


def _without_superfluous(victims, room, is_enough):
    """Return the victims without those, the most costly first, that need not stop."""
    needed = list(victims)
    for run in reversed(victims):
        room.reserve(run)
        if is_enough(room):
            needed.remove(run)
        else:
            room.release(run)
    return needed


def _order(run):
    """Return the sort key of victims: least urgent, least cost, last in the order."""
    return (-run.priority, run.cost, _Reversed(run.rank))


def _cost_key(victims):
    """Return the sort key of sets of victims; the empty set has the lowest one."""
    if not victims:
        return (-float("inf"), 0, 0)
    return (
        -min(run.priority for run in victims),
        sum(run.cost for run in victims),
        len(victims),
    )


class _Reversed:
    """Sorts in the opposite direction of the wrapped key."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key

    def __eq__(self, other):
        return self.key == other.key

    def __lt__(self, other):
        return other.key < self.key
