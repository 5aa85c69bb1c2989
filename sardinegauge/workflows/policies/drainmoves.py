"""Policies that choose which runs leave a drained failure domain, and in what order.

They are made for a load of short batch tasks, best-effort tasks of several seconds and
persistent latency-critical tasks, of which the other domains can take only a part.
"""

import abc
import math

from sardinegauge import record

# Runs that end within this time stay: a move takes about 2,000 ms, and a drain promises
# only that nothing starts in the domain 5,000 ms after its acknowledgement.
MIN_LEFT_MS = 5000
# With less progress than this, the declared run time tells more than the elapsed time.
MIN_PROGRESS_PERCENT = 10
# Runs that move at a time. Each is away for about 2,000 ms, so that a domain of 17
# workers with 60 long runs is left within 20 s.
MAX_CONCURRENT_MOVES = 6
# Members of a persistent step that may be away at a time if it declares no limit.
MAX_AWAY_WITHOUT_LIMIT = 3


class Unit(record.Record):
    """A run in a drained domain, or all runs of a gang with a member there.

    `keys` are pairs of task id and run number, `step_id` is the id of their step.
    `rank` is the planner's sort key, the most urgent first. `left_ms` is the expected
    time until the end, infinite for a persistent task. `away_count` is the number of
    the step's members that are not available, for any cause.
    """

    __slots__ = (
        "keys",
        "step_id",
        "rank",
        "left_ms",
        "is_persistent",
        "is_checkpointing",
        "max_unavailable",
        "away_count",
    )


class DrainPolicy(abc.ABC):
    """Chooses the runs that leave a drained domain."""

    @abc.abstractmethod
    def is_movable(self, unit):
        """Return whether a unit should leave the domain at some time."""

    @abc.abstractmethod
    def choose(self, units, moving_count, reserve):
        """Return the units to stop now.

        Parameters
        ----------
        units : list of Unit
        moving_count : int
            Number of runs that move already.
        reserve : callable
            Reserves room in another domain for a unit; returns whether there is any.

        Returns
        -------
        list of Unit
            Those for which room was reserved.
        """


class KeepRuns(DrainPolicy):
    """Moves nothing: all runs of the domain end there."""

    def is_movable(self, unit):
        """Return False."""
        return False

    def choose(self, units, moving_count, reserve):
        """Return no unit."""
        return []


class MoveLongRuns(DrainPolicy):
    """Moves persistent and long checkpointing runs, the most urgent first."""

    def is_movable(self, unit):
        """Return whether a move loses no work, and the unit would stay for long."""
        if unit.is_persistent:
            return True
        return unit.is_checkpointing and unit.left_ms > MIN_LEFT_MS

    def choose(self, units, moving_count, reserve):
        """Return the units to stop now; see the base class."""
        chosen = []
        away_by_step = {}
        for unit in sorted(units, key=lambda unit: unit.rank):
            if moving_count >= MAX_CONCURRENT_MOVES:
                break
            size = len(unit.keys)
            away_count = away_by_step.get(unit.step_id, unit.away_count)
            # A gang moves as a whole, if need be as the only one.
            if moving_count and moving_count + size > MAX_CONCURRENT_MOVES:
                continue
            if not self.is_movable(unit) or not _may_be_away(unit, away_count):
                continue
            if reserve(unit):
                moving_count += size
                away_by_step[unit.step_id] = away_count + size
                chosen.append(unit)
        return chosen


def _may_be_away(unit, away_count):
    """Return whether a unit's members may be away with those that are already."""
    size = len(unit.keys)
    if not unit.is_persistent:
        return True
    if unit.max_unavailable >= 0:
        return away_count + size <= unit.max_unavailable
    return not away_count or away_count + size <= MAX_AWAY_WITHOUT_LIMIT


def expected_left_ms(step, progress, active_ms, is_resumed):
    """Return the expected time until a run ends.

    Declared run times are off by up to a factor of ten, so that the time that a run
    took so far is the better measure, unless it began from a checkpoint.

    Examples
    --------
    >>> from sardinegauge.workflows import steps
    >>> step = steps.Step(estimate_ms=1000)
    >>> expected_left_ms(step, 20, 4000, False), expected_left_ms(step, 20, 4000, True)
    (16000.0, 800.0)
    """
    if step.is_persistent:
        return math.inf
    left_share = 1 - min(progress, 100) / 100
    if progress >= MIN_PROGRESS_PERCENT and active_ms > 0 and not is_resumed:
        return active_ms * left_share * 100 / progress
    return step.estimate_ms * left_share
