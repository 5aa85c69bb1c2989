"""Record classes of the wire messages that carry callers' requests; see `messages`."""

from sardinegauge import record


class Header(record.Record):
    """One HTTP header."""

    __slots__ = (
        "name",
        "value",
    )
    _defaults = {"name": "", "value": ""}


class RequestHead(record.Record):
    """First message of the exchange that carries a caller's request to an agent."""

    __slots__ = (
        "request_id",
        "tenant",
        "service",
        "method",
        "path",
        "headers",
        "deadline_ms",
        "idempotent",
        "key",
        "claim_index",
        "incarnation",
        "has_body",
    )
    _defaults = {
        "request_id": "",
        "tenant": "",
        "service": "",
        "method": "",
        "path": "",
        "headers": list,
        "deadline_ms": 0,
        "idempotent": False,
        "key": "",
        "claim_index": 0,
        "incarnation": "",
        "has_body": False,
    }
    _nested = {"headers": Header}


class BodyChunk(record.Record):
    """A piece of a request's or a response's body."""

    __slots__ = ("data",)
    _defaults = {"data": b""}


class BodyEnd(record.Record):
    """Ends a body; `length` is its total size in bytes and reveals truncation."""

    __slots__ = ("length",)
    _defaults = {"length": 0}


class ResponseHead(record.Record):
    """Status and headers of a response, and the load of the upstream."""

    __slots__ = (
        "status",
        "headers",
        "in_flight",
        "queued",
    )
    _defaults = {"status": 0, "headers": list, "in_flight": 0, "queued": 0}
    _nested = {"headers": Header}


class Credit(record.Record):
    """Flow-control credit: the sender of a body may send `size` more bytes."""

    __slots__ = ("size",)
    _defaults = {"size": 0}


class Abort(record.Record):
    """Ends an exchange early."""

    __slots__ = (
        "verdict",
        "reason",
    )
    _defaults = {"verdict": "", "reason": ""}


class Refusal(record.Record):
    """The agent did not accept the request."""

    __slots__ = (
        "verdict",
        "reason",
        "retry_after_ms",
        "draining",
        "in_flight",
    )
    _defaults = {
        "verdict": "",
        "reason": "",
        "retry_after_ms": 0,
        "draining": False,
        "in_flight": 0,
    }


class KeyQuery(record.Record):
    """Asks an agent for the state of an idempotency key."""

    __slots__ = (
        "tenant",
        "key",
        "claim_index",
        "fence",
        "incarnation",
    )
    _defaults = {
        "tenant": "",
        "key": "",
        "claim_index": 0,
        "fence": False,
        "incarnation": "",
    }


class KeyReply(record.Record):
    """State of an idempotency key at an agent, with the stored response."""

    __slots__ = (
        "state",
        "status",
        "headers",
        "body",
        "is_body_kept",
    )
    _defaults = {
        "state": "",
        "status": 0,
        "headers": list,
        "body": b"",
        "is_body_kept": False,
    }
    _nested = {"headers": Header}
