"""Events and effects of the agent's reducer; `now_ms` is the agent's clock."""

from sardinegauge import record


class Announced(record.Record):
    """Event: the worker announced itself; see `workerport.Announcement`."""

    __slots__ = ("announcement", "now_ms")


class Left(record.Record):
    """Event: the worker said that it ends."""

    __slots__ = ("now_ms", "worker")


class Answered(record.Record):
    """Event: a call was answered."""

    __slots__ = ("answer", "call", "now_ms")


class Unanswered(record.Record):
    """Event: a call got no answer; `is_down` says that nobody listens."""

    __slots__ = ("call", "is_down", "now_ms")


class OrdersReceived(record.Record):
    """Event: orders of the leader arrived; `body` is the decoded JSON."""

    __slots__ = ("body", "message", "now_ms")


class Advised(record.Record):
    """Event: the policy service answered; `tickets` is None if it did not.

    `tickets` are rows of worker and ticket, valid for `valid_ms`.
    """

    __slots__ = ("now_ms", "step", "tickets", "valid_ms", "workers")
    _defaults = {"tickets": None, "valid_ms": 0}


class AskAdvice(record.Record):
    """Effect: ask the policy service, and report `Advised`."""

    __slots__ = ("step", "workers")


class Tick(record.Record):
    """Event: time passed; expected every 100 ms."""

    __slots__ = ("now_ms",)


class Call(record.Record):
    """Effect: make a call to the worker, and report `Answered` or `Unanswered`.

    `step` tells the event that caused the call, since milliseconds are too coarse to
    tell which of two came first.
    """

    __slots__ = ("announcement", "life", "request", "sent_ms", "step")


class SendReport(record.Record):
    """Effect: report to the leader now."""

    __slots__ = ()
