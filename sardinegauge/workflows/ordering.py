"""Orderings of waiting steps, which decide whose tasks are assigned first.

`ByRemainingWork` is made for overload by a burst. Work that can still end in time goes
before work that can't, and the least remaining work goes first, so that as much as
possible ends in time; with the earliest deadline first, all work would miss its
deadline by a little. `ByDeadline` and `ByArrival` are the baselines.
"""

import abc
import weakref

from sardinegauge.workflows.policies import runtimes

# Estimate for steps without one.
DEFAULT_ESTIMATE_MS = runtimes.DEFAULT_ESTIMATE_MS
# Work that takes longer than its span, the time in which callers want it to end, is
# late; after this many times its span it is worth nothing.
EXPIRY_SPANS = 3
# Average remaining share of a step of which some tasks have ended.
STARTED_STEP_SHARE = 0.5
# Estimates of an occurrence are used again for this long unless a task of it has ended.
# Each plan asks for those of all waiting workflows, many times a second.
FORECAST_RETENTION_MS = 500


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
    """Orders by priority, then work that can end in time, then least remaining work.

    Parameters
    ----------
    run_times : runtimes.RunTimes, optional
        Default: the declared run times.
    """

    def __init__(self, run_times=None):
        self.run_times = run_times or runtimes.DeclaredRunTimes()
        self._forecast_by_occurrence = weakref.WeakKeyDictionary()

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority, expected lateness (0 to 2), and remaining work."""
        begin_at_ms = begin_ms(workflow, occurrence)
        forecast = self.forecast(workflow, occurrence, wall_ms)
        # Callers count the span from the real run times, so it follows the estimates.
        span_ms = queue.stretch * forecast.critical_path_ms + queue.objective_ms
        end_ms = wall_ms + forecast.remaining_path_ms
        lateness = (end_ms > begin_at_ms + span_ms) + (
            end_ms > begin_at_ms + EXPIRY_SPANS * span_ms
        )
        return (queue.priority, lateness, forecast.remaining_work, begin_at_ms)

    def forecast(self, workflow, occurrence, wall_ms):
        """Return the `Forecast` of an occurrence, which may be up to 0.5 s old."""
        forecast = self._forecast_by_occurrence.get(occurrence)
        if forecast is None or not forecast.is_current(occurrence, wall_ms):
            forecast = Forecast(workflow, occurrence, self.run_times, wall_ms)
            self._forecast_by_occurrence[occurrence] = forecast
        return forecast


class Forecast:
    """Estimates of an occurrence at one time."""

    __slots__ = (
        "_made_ms",
        "_remaining_count",
        "critical_path_ms",
        "remaining_path_ms",
        "remaining_work",
    )

    def __init__(self, workflow, occurrence, run_times, wall_ms):
        self._made_ms = wall_ms
        self._remaining_count = sum(occurrence.remaining_by_step)
        ratios = [
            run_times.ratio(workflow.queue, occurrence, position)
            for position in range(len(workflow.steps))
        ]
        self.critical_path_ms = critical_path_ms(workflow.steps, ratios)
        self.remaining_path_ms = remaining_path_ms(workflow.steps, occurrence, ratios)
        self.remaining_work = remaining_work(occurrence, ratios)

    def is_current(self, occurrence, wall_ms):
        """Return whether no task has ended since, and the estimates are recent."""
        return (
            0 <= wall_ms - self._made_ms < FORECAST_RETENTION_MS
            and sum(occurrence.remaining_by_step) == self._remaining_count
        )


def remaining_path_ms(steps, occurrence, ratios=None):
    """Return the estimated length of the remaining critical path in ms.

    `ratios` are those of actual to declared run time by step, 1 by default.
    """
    end_ms_by_step = []
    ratios = ratios or [1] * len(steps)
    for step, left, ratio in zip(steps, occurrence.remaining_by_step, ratios):
        start_ms = max((end_ms_by_step[earlier] for earlier in step.after), default=0)
        length_ms = ratio * (step.estimate_ms or DEFAULT_ESTIMATE_MS)
        # Other tasks of a step with ended tasks are usually running as well.
        share = 0 if not left else 1 if left == step.count else STARTED_STEP_SHARE
        end_ms_by_step.append(start_ms + share * length_ms)
    return max(end_ms_by_step, default=0)


def remaining_work(occurrence, ratios=None):
    """Return the estimated remaining work in thousandths of a core times ms.

    `ratios` are those of actual to declared run time by step, 1 by default.
    """
    ratios = ratios or [1] * len(occurrence.tasks_by_step)
    return sum(
        left * tasks[0].step.cpu_millis * tasks[0].step.estimate_ms * ratio
        for tasks, left, ratio in zip(
            occurrence.tasks_by_step, occurrence.remaining_by_step, ratios
        )
    )


def begin_ms(workflow, occurrence):
    """Return the wall-clock time in ms from which on the span is counted."""
    return max(workflow.accepted_at_ms, workflow.due_at_ms(occurrence.number))


def critical_path_ms(steps, ratios=None):
    """Return the estimated length of the critical path in ms.

    `ratios` are those of actual to declared run time by step, 1 by default.

    Examples
    --------
    >>> from sardinegauge.workflows import steps as s
    >>> critical_path_ms([s.Step(estimate_ms=5), s.Step(estimate_ms=7, after=[0])])
    12
    """
    end_ms_by_step = []
    for step, ratio in zip(steps, ratios or [1] * len(steps)):
        start_ms = max((end_ms_by_step[earlier] for earlier in step.after), default=0)
        length_ms = ratio * (step.estimate_ms or DEFAULT_ESTIMATE_MS)
        end_ms_by_step.append(start_ms + length_ms)
    return max(end_ms_by_step, default=0)
