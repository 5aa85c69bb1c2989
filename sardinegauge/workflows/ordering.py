"""Orderings of waiting steps, which decide whose tasks are assigned first.

`ByRemainingWork` is made for overload by a burst. Work that can still end in time goes
before work that can't, and the least remaining work goes first, so that as much as
possible ends in time; with the earliest deadline first, all work would miss its
deadline by a little. `ByDeadline` and `ByArrival` are the baselines.
"""

import abc

# Estimate for steps without one.
DEFAULT_ESTIMATE_MS = 1000
# Work that takes longer than its span, the time in which callers want it to end, is
# late; after this many times its span it is worth nothing.
EXPIRY_SPANS = 3
# Average remaining share of a step of which some tasks have ended.
STARTED_STEP_SHARE = 0.5


class Ordering(abc.ABC):
    """Sorts waiting steps."""

    @abc.abstractmethod
    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the sort key of a workflow's occurrence; the lowest goes first."""


class ByArrival(Ordering):
    """Orders by priority, then by time of acceptance."""

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority and the time of acceptance or of the occurrence."""
        return (queue.priority, begin_ms(workflow, occurrence))


class ByDeadline(Ordering):
    """Orders by priority, then work in time before late work, then by deadline."""

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority, the lateness (0 to 2), and the deadline."""
        begin_at_ms = begin_ms(workflow, occurrence)
        deadline_ms = (
            begin_at_ms
            + queue.stretch * critical_path_ms(workflow.steps)
            + queue.objective_ms
        )
        worthless_ms = deadline_ms + 2 * (deadline_ms - begin_at_ms)
        return (
            queue.priority,
            (wall_ms > deadline_ms) + (wall_ms > worthless_ms),
            deadline_ms,
        )


class ByRemainingWork(Ordering):
    """Orders by priority, then work that can end in time, then least remaining work."""

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority, expected lateness (0 to 2), and remaining work."""
        begin_at_ms = begin_ms(workflow, occurrence)
        span_ms = queue.stretch * critical_path_ms(workflow.steps) + queue.objective_ms
        end_ms = wall_ms + remaining_path_ms(workflow.steps, occurrence)
        lateness = (end_ms > begin_at_ms + span_ms) + (
            end_ms > begin_at_ms + EXPIRY_SPANS * span_ms
        )
        return (queue.priority, lateness, remaining_work(occurrence), begin_at_ms)


def remaining_path_ms(steps, occurrence):
    """Return the estimated length of the remaining critical path in ms."""
    end_ms_by_step = []
    for step, left in zip(steps, occurrence.remaining_by_step):
        start_ms = max((end_ms_by_step[earlier] for earlier in step.after), default=0)
        length_ms = step.estimate_ms or DEFAULT_ESTIMATE_MS
        # Other tasks of a step with ended tasks are usually running as well.
        share = 0 if not left else 1 if left == step.count else STARTED_STEP_SHARE
        end_ms_by_step.append(start_ms + share * length_ms)
    return max(end_ms_by_step, default=0)


def remaining_work(occurrence):
    """Return the estimated remaining work in thousandths of a core times ms."""
    return sum(
        left * tasks[0].step.cpu_millis * tasks[0].step.estimate_ms
        for tasks, left in zip(occurrence.tasks_by_step, occurrence.remaining_by_step)
    )


def begin_ms(workflow, occurrence):
    """Return the wall-clock time in ms from which on the span is counted."""
    return max(workflow.accepted_at_ms, workflow.due_at_ms(occurrence.number))


def critical_path_ms(steps):
    """Return the estimated length of the critical path in ms.

    Examples
    --------
    >>> from sardinegauge.workflows import steps as s
    >>> critical_path_ms([s.Step(estimate_ms=5), s.Step(estimate_ms=7, after=[0])])
    12
    """
    end_ms_by_step = []
    for step in steps:
        start_ms = max((end_ms_by_step[earlier] for earlier in step.after), default=0)
        end_ms_by_step.append(start_ms + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
    return max(end_ms_by_step, default=0)
