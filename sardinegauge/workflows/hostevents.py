"""Events and effects of the agent's reducer; `now_ms` is the agent's clock."""

from sardinegauge import record


class WorkerAnnounced(record.Record):
    """Event: the worker announced itself; see `workerclient.Announcement`."""

    __slots__ = ("announcement", "now_ms")


class WorkerLeft(record.Record):
    """Event: the worker announced the end of its process."""

    __slots__ = ("now_ms", "worker")


class CallAnswered(record.Record):
    """Event: the worker answered a call."""

    __slots__ = ("answer", "call", "now_ms")


class CallUnanswered(record.Record):
    """Event: a call got no answer; `is_down` if nothing listens at the address."""

    __slots__ = ("call", "is_down", "now_ms")


class OrdersReceived(record.Record):
    """Event: the leader's orders were received; `body` is the decoded JSON."""

    __slots__ = ("body", "message", "now_ms")


class AdviceReceived(record.Record):
    """Event: a question to the policy service ended.

    `tickets` are rows of worker and ticket, or None if the service gave no answer for
    `reason`. They are valid for `valid_ms`, which is None if the answer names no time.
    """

    __slots__ = ("now_ms", "reason", "step", "tickets", "valid_ms", "workers")
    _defaults = {"reason": "", "tickets": None, "valid_ms": None}


class AskAdvice(record.Record):
    """Effect: ask the policy service; `AdviceReceived` follows within `limit_ms`."""

    __slots__ = ("step", "workers", "limit_ms")


class Tick(record.Record):
    """Event: time passed; expected every 100 ms."""

    __slots__ = ("now_ms",)


class Call(record.Record):
    """Effect: call the worker; `CallAnswered` or `CallUnanswered` follows.

    `event_number` is the number of the event that caused the call. Answers are ordered
    by it, since two events may fall into the same millisecond.
    """

    __slots__ = ("announcement", "incarnation", "request", "sent_ms", "event_number")


class SendReport(record.Record):
    """Effect: send a report to the leader now."""

    __slots__ = ()
