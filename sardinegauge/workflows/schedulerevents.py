"""Events and effects of the leader's reducer for workflows."""

from sardinegauge import record


class LeadershipGained(record.Record):
    """This replica leads now, and its store holds all entries of earlier terms."""

    __slots__ = ("now_ms", "term", "wall_ms")


class ReportReceived(record.Record):
    """A `views.Report` arrived from an agent."""

    __slots__ = ("now_ms", "report")


class CommandApplied(record.Record):
    """The machine applied a command of the log and gave `answer`."""

    __slots__ = ("answer", "command", "index", "now_ms")


class Tick(record.Record):
    """Time passes; expected every 100 ms."""

    __slots__ = ("now_ms", "wall_ms")


class Propose(record.Record):
    """Effect: put a command into the log."""

    __slots__ = ("command",)


class Push(record.Record):
    """Effect: send a worker's orders now, as `orders` returns them."""

    __slots__ = ("life", "worker")


class RunEnded(record.Record):
    """Effect: count a run that ended, for the metrics."""

    __slots__ = ("how", "queue")


class WorkflowEnded(record.Record):
    """Effect: count a workflow that ended, for the metrics."""

    __slots__ = ("lasted_ms", "queue", "state")
