"""In which order waiting work gets room.

`ByRest` answers overload by a burst: work that can still end in time goes before work
that can't, and what has the least left to do goes first, so that as much as possible
ends in time. The earliest deadline first would have everything miss its deadline by a
little. `ByDeadline` and `ByArrival` are the baselines.
"""

import abc

DEFAULT_ESTIMATE_MS = 1000
# Work that ends within so many times its span is late; after that it is worth nothing.
LATE_SPANS = 3
# How much of a step that has begun to end is left, on average.
STARTED_SHARE = 0.5


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


class ByRest(Ordering):
    """Priority, then work that can be in time, then the least work left."""

    def key(self, item, queue, occurrence, wall_ms):
        """Return priority, what is still possible, and the work left in core-ms."""
        begin = begin_ms(item, occurrence)
        span = queue.stretch * chain_ms(item.steps) + queue.objective_ms
        end = wall_ms + rest_ms(item.steps, occurrence)
        lateness = (end > begin + span) + (end > begin + LATE_SPANS * span)
        return (queue.priority, lateness, rest_work(occurrence), begin)


def rest_ms(steps, occurrence):
    """Return the longest chain of estimated work in ms that is left."""
    ends = []
    for step, left in zip(steps, occurrence.left_by_step):
        begin = max((ends[earlier] for earlier in step.after), default=0)
        length = step.estimate_ms or DEFAULT_ESTIMATE_MS
        # Some tasks of a step that has ended ones are on their way as well.
        share = 0 if not left else 1 if left == step.count else STARTED_SHARE
        ends.append(begin + share * length)
    return max(ends, default=0)


def rest_work(occurrence):
    """Return the estimated work left in thousandths of a core times ms."""
    return sum(
        left * tasks[0].step.cpu_millis * tasks[0].step.estimate_ms
        for tasks, left in zip(occurrence.tasks_by_step, occurrence.left_by_step)
    )


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
