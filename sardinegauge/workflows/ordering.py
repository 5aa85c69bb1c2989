"""Orderings of waiting steps, which decide whose tasks are assigned first.

`ByWorthPerWork` is made for overload by a burst: of what can't all end in time, that is
delayed which costs callers least for the cores that it takes. `ByRemainingWork` is its
baseline, which starves large workflows: work that can still end in time goes before
work that can't, and the least remaining work goes first. With `ByDeadline`, all work
would miss its deadline by a little. `ByArrival` is the simplest.
"""

import abc
import weakref

from sardinegauge.workflows.policies import runtimes

# Estimate for steps without one.
DEFAULT_ESTIMATE_MS = runtimes.DEFAULT_ESTIMATE_MS
# A workflow is worth this to its callers, plus the rest of 1 in proportion to its work
# relative to the mean of its queue, up to a limit.
FIXED_WORTH = 0.3
MAX_WORTH = 4.0
# Share of its worth that is left by expected lateness. What is worth nothing any more
# must still end, so it is not quite 0.
WORTH_SHARES = (1.0, 0.15, 0.001)
# Number of workflows after which the mean work of a queue follows newer ones.
MEAN_WORK_WORKFLOWS = 50
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
        """Return the sort key of a workflow's occurrence; the lowest goes first.

        Its first part is the priority.
        """

    def observe(self, workflow, occurrence):
        """Take note of an occurrence before the keys of a plan are computed."""

    def lateness(self, workflow, queue, occurrence, wall_ms):
        """Return how late the end is expected; 0, in time, unless it is estimated."""
        return 0


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

    # Assumed run time of undeclared steps in the remaining work.
    undeclared_ms = 0

    def __init__(self, run_times=None):
        self.run_times = run_times or runtimes.DeclaredRunTimes()
        self._forecast_by_occurrence = weakref.WeakKeyDictionary()

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority, expected lateness (0 to 2), and remaining work."""
        begin_at_ms = begin_ms(workflow, occurrence)
        forecast = self.forecast(workflow, occurrence, wall_ms)
        lateness = forecast.lateness(queue, wall_ms - begin_at_ms)
        return (queue.priority, lateness, forecast.remaining_work, begin_at_ms)

    def lateness(self, workflow, queue, occurrence, wall_ms):
        """Return 0 for an end in time, 1 for a late one, 2 if it is worth nothing."""
        forecast = self.forecast(workflow, occurrence, wall_ms)
        return forecast.lateness(queue, wall_ms - begin_ms(workflow, occurrence))

    def forecast(self, workflow, occurrence, wall_ms):
        """Return the `Forecast` of an occurrence, which may be up to 0.5 s old."""
        forecast = self._forecast_by_occurrence.get(occurrence)
        if forecast is None or not forecast.is_current(occurrence, wall_ms):
            forecast = Forecast(
                workflow, occurrence, self.run_times, wall_ms, self.undeclared_ms
            )
            self._forecast_by_occurrence[occurrence] = forecast
        return forecast


class ByWorthPerWork(ByRemainingWork):
    """Orders by priority, then most expected worth for the remaining work.

    The expected worth is what is left of a workflow's worth if it ends as estimated. It
    falls by steps with the lateness, so that a late workflow goes before one in time
    only if it needs far less work to end. The worth rests on the declared work, so that
    it stays the same while estimates change.
    """

    # Without any, undeclared work would go first forever.
    undeclared_ms = DEFAULT_ESTIMATE_MS

    def __init__(self, run_times=None):
        super().__init__(run_times)
        self._work_by_occurrence = weakref.WeakKeyDictionary()
        self._mean_work_by_queue = {}

    def key(self, workflow, queue, occurrence, wall_ms):
        """Return the priority, the work for one unit of worth, and the begin."""
        begin_at_ms = begin_ms(workflow, occurrence)
        forecast = self.forecast(workflow, occurrence, wall_ms)
        lateness = forecast.lateness(queue, wall_ms - begin_at_ms)
        worth = WORTH_SHARES[lateness] * self._worth(workflow, occurrence)
        return (queue.priority, forecast.remaining_work / worth, begin_at_ms)

    def observe(self, workflow, occurrence):
        """Add the work of a new occurrence to the mean of its queue.

        All new ones of a plan are added before any key is computed, as the keys of a
        plan must rest on the same means.
        """
        if occurrence in self._work_by_occurrence:
            return
        counts = [step.count for step in workflow.steps]
        ratios = [1] * len(counts)
        work = work_of(workflow.steps, counts, ratios, self.undeclared_ms)
        self._work_by_occurrence[occurrence] = work
        self._mean_work_by_queue.setdefault(workflow.queue, _Mean()).add(work)

    def _worth(self, workflow, occurrence):
        self.observe(workflow, occurrence)
        mean = self._mean_work_by_queue[workflow.queue]
        return worth_of(self._work_by_occurrence[occurrence], mean.value)


class _Mean:
    """The mean of the latest values."""

    __slots__ = ("_count", "value")

    def __init__(self):
        self._count = 0
        self.value = 0.0

    def add(self, value):
        self._count = min(self._count + 1, MEAN_WORK_WORKFLOWS)
        self.value += (value - self.value) / self._count


class Forecast:
    """Estimates of an occurrence at one time.

    `remaining_work` is in thousandths of a core times ms.
    """

    __slots__ = (
        "_has_end",
        "_made_ms",
        "_remaining_count",
        "critical_path_ms",
        "remaining_path_ms",
        "remaining_work",
    )

    def __init__(self, workflow, occurrence, run_times, wall_ms, undeclared_ms=0):
        self._has_end = not workflow.is_persistent
        self._made_ms = wall_ms
        self._remaining_count = sum(occurrence.remaining_by_step)
        ratios = [
            run_times.ratio(workflow.queue, occurrence, position)
            for position in range(len(workflow.steps))
        ]
        self.critical_path_ms = critical_path_ms(workflow.steps, ratios)
        self.remaining_path_ms = remaining_path_ms(workflow.steps, occurrence, ratios)
        self.remaining_work = work_of(
            workflow.steps,
            outstanding_counts(workflow, occurrence),
            ratios,
            undeclared_ms,
        )

    def lateness(self, queue, elapsed_ms):
        """Return how late the end is expected: 0 in time, 1 late, 2 worth nothing.

        Callers count the span from the real run times, so it follows the estimates. A
        workflow without an end is never late: its callers lose worth while it waits,
        however long ago they submitted it.
        """
        if not self._has_end:
            return 0
        span_ms = queue.stretch * self.critical_path_ms + queue.objective_ms
        lasting_ms = elapsed_ms + self.remaining_path_ms
        return (lasting_ms > span_ms) + (lasting_ms > EXPIRY_SPANS * span_ms)

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


def outstanding_counts(workflow, occurrence):
    """Return the number of tasks of each step that remaining work is counted for.

    A persistent task that runs needs no further work.
    """
    return [
        waiting if step.is_persistent else remaining
        for step, waiting, remaining in zip(
            workflow.steps, occurrence.waiting_by_step, occurrence.remaining_by_step
        )
    ]


def work_of(steps, counts, ratios, undeclared_ms):
    """Return the work of some tasks of each step, in thousandths of a core times ms.

    Parameters
    ----------
    steps : list of steps.Step
    counts : list of int
        Number of tasks by step.
    ratios : list of float
        Ratio of actual to declared run time by step.
    undeclared_ms : int
        Run time of steps that declare none.
    """
    return sum(
        count * step.cpu_millis * (step.estimate_ms or undeclared_ms) * ratio
        for step, count, ratio in zip(steps, counts, ratios)
    )


def worth_of(work, mean_work):
    """Return what a workflow is worth to its callers, 1 for one of mean work.

    Examples
    --------
    >>> worth_of(50, 50), worth_of(0, 50), worth_of(5000, 50), worth_of(0, 0)
    (1.0, 0.3, 4.0, 1.0)
    """
    if not mean_work:
        return 1.0
    return min(FIXED_WORTH + (1 - FIXED_WORTH) * work / mean_work, MAX_WORTH)


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
