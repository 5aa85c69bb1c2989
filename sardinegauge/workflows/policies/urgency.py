"""Policies of which best-effort task on a worker keeps its cores when some must yield.

They are made for wide steps under a shortage of cores or headroom: a step ends with its
slowest task, so that it costs nothing to slow down a task that would end long before
the slowest one, while any loss of the slowest task delays the whole workflow.
"""

import abc

from sardinegauge import record


class Outlook(record.Record):
    """The expected end of a task at full speed.

    Times are in ms. `priority` is that of the queue, lower numbers are more urgent.
    `begin_ms` is the wall-clock time from which the workflow's span is counted, and
    `span_ms` the time in which callers want it to end. `remaining_ms` is the rest of
    the task, `later_ms` the estimated path of the steps after it. `workflow_key` is the
    ordering's sort key of the workflow.
    """

    __slots__ = (
        "priority",
        "begin_ms",
        "span_ms",
        "remaining_ms",
        "later_ms",
        "workflow_key",
    )

    def slack_ms(self, wall_ms):
        """Return how much later the task may end without making its workflow late.

        Examples
        --------
        >>> outlook = Outlook(
        ...     priority=0, begin_ms=1000, span_ms=9000, remaining_ms=2000,
        ...     later_ms=3000, workflow_key=())
        >>> outlook.slack_ms(4000)
        1000
        """
        end_ms = wall_ms + self.remaining_ms + self.later_ms
        return self.begin_ms + self.span_ms - end_ms


class UrgencyPolicy(abc.ABC):
    """Ranks best-effort tasks; those with a higher rank yield first."""

    @abc.abstractmethod
    def rank(self, outlook, wall_ms):
        """Return the rank of a task, which is comparable to those of other tasks."""


class ByWorkflow(UrgencyPolicy):
    """Ranks all tasks of a workflow alike, by the order of the workflows."""

    def rank(self, outlook, wall_ms):
        """Return the sort key of the workflow."""
        return outlook.workflow_key


class BySlack(UrgencyPolicy):
    """Ranks by priority, then tasks that can be in time, then least slack.

    A task that would be late even at full speed yields to all that can be in time:
    with the earliest deadline first alone, a shortage would make everything late.
    """

    def rank(self, outlook, wall_ms):
        """Return the priority, whether the task is late, and the slack or the key."""
        slack_ms = outlook.slack_ms(wall_ms)
        if slack_ms >= 0:
            return (outlook.priority, 0, slack_ms, ())
        return (outlook.priority, 1, 0, outlook.workflow_key)
