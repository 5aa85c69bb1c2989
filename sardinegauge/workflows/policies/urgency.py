"""Policies of which best-effort task on a worker keeps its cores when some must yield.

They are made for wide steps under a shortage of cores or headroom: a step ends with its
slowest task, so that it costs nothing to slow down a task that would end long before
the slowest one, while any loss of the slowest task delays the whole workflow.
"""

import abc

from sardinegauge import record

# A task that would end within this time of the slowest task of its step is critical.
CRITICAL_SLACK_MS = 1500


class Outlook(record.Record):
    """The expected end of a task.

    `workflow_key` is the ordering's sort key of the workflow, whose first part is the
    priority, and `lateness` how late it is expected to end (0: in time). `remaining_ms`
    is the expected time that the task takes from now on at full speed,
    `step_remaining_ms` the longest such time of all tasks of its step.
    """

    __slots__ = ("workflow_key", "lateness", "remaining_ms", "step_remaining_ms")
    _defaults = {"lateness": 0}

    @property
    def is_critical(self):
        """Whether a delay of the task delays its step."""
        return self.step_remaining_ms - self.remaining_ms < CRITICAL_SLACK_MS


class UrgencyPolicy(abc.ABC):
    """Ranks best-effort tasks; those with a higher rank yield first."""

    @abc.abstractmethod
    def rank(self, outlook):
        """Return the rank of a task, which is comparable to those of other tasks."""


class ByWorkflow(UrgencyPolicy):
    """Ranks all tasks of a workflow alike, by the order of the workflows."""

    def rank(self, outlook):
        """Return the sort key of the workflow."""
        return outlook.workflow_key


class ByCriticalTask(UrgencyPolicy):
    """Ranks by priority and lateness, then critical tasks, then the other parts.

    Examples
    --------
    >>> policy = ByCriticalTask()
    >>> first, last = (2, 500), (2, 900)
    >>> slowest = Outlook(workflow_key=last, remaining_ms=7000, step_remaining_ms=7000)
    >>> fast = Outlook(workflow_key=first, remaining_ms=2000, step_remaining_ms=7000)
    >>> policy.rank(slowest) < policy.rank(fast)
    True
    """

    def rank(self, outlook):
        """Return the parts of the rank in their order."""
        priority, *others = outlook.workflow_key
        return (priority, outlook.lateness, not outlook.is_critical, *others)
