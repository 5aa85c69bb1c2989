"""In which order waiting work gets room.

`ByDeadline` answers overload by a burst: work that can still end in time goes before
work that can't, and among equals the earliest deadline goes first. `ByArrival` is the
baseline.
"""

import abc

DEFAULT_ESTIMATE_MS = 1000


class Ordering(abc.ABC):
    """Sorts waiting steps."""

    @abc.abstractmethod
    def key(self, item, queue, occurrence, wall_ms):
        """Return the sort key of a workflow's occurrence; the lowest goes first."""


class ByArrival(Ordering):
    """Priority, then order of acceptance."""

    def key(self, item, queue, occurrence, wall_ms):
        """Return priority and the time of acceptance or of the occurrence."""
        return (queue.priority, begin_ms(item, occurrence))


class ByDeadline(Ordering):
    """Priority, then work that can be in time, then the earliest deadline."""

    def key(self, item, queue, occurrence, wall_ms):
        """Return priority, whether the deadline has passed, and the deadline."""
        begin = begin_ms(item, occurrence)
        deadline = begin + queue.stretch * chain_ms(item.steps) + queue.objective_ms
        late_by = deadline + 2 * (deadline - begin)
        return (queue.priority, (wall_ms > deadline) + (wall_ms > late_by), deadline)


def begin_ms(item, occurrence):
    """Return from when on the callers count, in wall-clock milliseconds."""
    return max(item.accepted_at_ms, item.due_at_ms(occurrence.number))


def chain_ms(steps):
    """Return the longest chain of estimated work in ms.

    Examples
    --------
    >>> from sardinegauge.workflows import steps as s
    >>> chain_ms([s.Step(estimate_ms=5), s.Step(estimate_ms=7, after=[0])])
    12
    """
    ends = []
    for step in steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
    return max(ends, default=0)
