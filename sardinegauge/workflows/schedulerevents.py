"""Events and effects of the leader's reducer for workflows."""

from sardinegauge import record


class LeadershipGained(record.Record):
    """Event: this replica leads now, and has applied all entries of earlier terms."""

    __slots__ = ("now_ms", "term", "wall_ms")


class ReportReceived(record.Record):
    """Event: a `views.Report` of an agent was received."""

    __slots__ = ("now_ms", "report")


class CommandApplied(record.Record):
    """Event: the machine applied a command of the log and returned `answer`."""

    __slots__ = ("answer", "command", "index", "now_ms")


class CommandRefused(record.Record):
    """Event: the machine called a command of this leader invalid."""

    __slots__ = ("command", "now_ms")


class Tick(record.Record):
    """Event: time passed; expected every 100 ms."""

    __slots__ = ("now_ms", "wall_ms")


class Propose(record.Record):
    """Effect: propose a command to the log."""

    __slots__ = ("command",)


class Push(record.Record):
    """Effect: send a worker's orders, encoded by `orders`, now."""

    __slots__ = ("incarnation", "worker")


class RunDisplaced(record.Record):
    """Effect: count a run that is stopped before its end, for the metrics."""

    __slots__ = ("queue", "reason")


class OverTargetEnded(record.Record):
    """Effect: count how long a latency-critical task was over its target."""

    __slots__ = ("lasted_ms", "queue")


class LastingTasksCounted(record.Record):
    """Effect: count the time of lasting tasks of a queue in each state."""

    __slots__ = ("count_by_state", "lasted_ms", "queue")


class QuestionEnded(record.Record):
    """Effect: count a question to the policy service by how it ended."""

    __slots__ = ("end", "lasted_ms", "queue")


class RunEnded(record.Record):
    """Effect: count a run that ended, and the time that CPU caps cost it."""

    __slots__ = ("how", "queue", "throttled_ms")


class RunTimesLearned(record.Record):
    """Effect: set the metrics of changed rows of `policies.runtimes`."""

    __slots__ = ("rows",)


class WorkerCrashed(record.Record):
    """Effect: count a crash of a worker that ended `run_count` runs."""

    __slots__ = ("pool", "run_count")


class WorkflowEnded(record.Record):
    """Effect: count a workflow that ended, for the metrics."""

    __slots__ = ("lasted_ms", "queue", "state")


class RowsDecided(record.Record):
    """Effect: count rows of `commands.AssignRuns` by what the log did with them.

    `decision` is one of `decisions`; `result` is `decisions.ASSIGNED` or why the log
    refused the rows.
    """

    __slots__ = ("count", "decision", "result")


class RunRestarted(record.Record):
    """Effect: count a run that is stopped to start elsewhere, for the metrics."""

    __slots__ = ("queue", "reason")


class SuspectedWorkersCounted(record.Record):
    """Effect: the number of suspected workers has changed."""

    __slots__ = ("count",)
