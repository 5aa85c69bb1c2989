"""Events and effects of the entry's reducer.

Times are milliseconds of `clock.monotonic_ms`. `seed` is a random 64-bit integer drawn
by the application, since the reducer must be deterministic.
"""

from sardinegauge import record


class Call(record.Record):
    """The properties of a caller's request that the reducer needs.

    `key` is the idempotency key, empty unless the request needs a claim. `token`
    identifies this call in its claim, uniquely among all entries.
    """

    __slots__ = ("tenant", "service", "is_idempotent", "key", "token", "deadline_ms")
    _defaults = {"is_idempotent": True, "key": "", "token": ""}


class Event(record.Record):
    """Base of all events."""

    __slots__ = ("now_ms",)


class RequestEvent(Event):
    """Base of the events of one request; the application assigns `number`."""

    __slots__ = ("number",)


class PollAnswered(Event):
    """The state process answered a poll that was sent at `sent_ms`."""

    __slots__ = ("reply", "sent_ms")


class LinkOpened(Event):
    """A link to an upstream's agent opened; its hello named the incarnation."""

    __slots__ = ("incarnation", "upstream")


class LinkClosed(Event):
    """The link to an upstream's agent closed."""

    __slots__ = ("upstream",)


class DrainStarted(Event):
    """The process was asked to stop; requests in flight are finished."""

    __slots__ = ()


class RequestArrived(RequestEvent):
    """A well-formed head of a request arrived."""

    __slots__ = ("call",)


class BodyReady(RequestEvent):
    """The body can be sent: it is buffered completely, or it is streamed.

    `digest` is the hash of method, path and body of a request with a key.
    """

    __slots__ = ("digest", "seed")
    _defaults = {"digest": ""}


class AttemptFailed(RequestEvent):
    """An attempt ended without a complete response.

    `verdict` is an `outcome.Verdict`. `is_refusal` tells that the agent refused the
    request, and `in_flight` is then its load. `is_body_consumed` tells that part of a
    streamed body has left the buffer, so that the request cannot be retried.
    `is_caller_fault` tells that the caller caused the failure, which therefore does
    not count against the upstream.
    """

    __slots__ = (
        "attempt",
        "verdict",
        "reason",
        "retry_after_ms",
        "is_draining",
        "is_refusal",
        "in_flight",
        "is_body_consumed",
        "is_caller_fault",
        "seed",
    )
    _defaults = {
        "retry_after_ms": 0,
        "is_draining": False,
        "is_refusal": False,
        "in_flight": 0,
        "is_body_consumed": False,
        "is_caller_fault": False,
    }


class HeadReceived(RequestEvent):
    """The head of a response arrived, with the load of its upstream."""

    __slots__ = ("attempt", "status", "in_flight", "queued")


class AttemptFinished(RequestEvent):
    """The complete response arrived.

    `response` is the `httpmessages.KeyReply` to store in the claim, None for a request
    without a claim.
    """

    __slots__ = ("attempt", "response")
    _defaults = {"response": None}


class TimerExpired(RequestEvent):
    """The timer of a `StartTimer` effect expired.

    It is ignored unless `token` is that of the latest timer of the request.
    """

    __slots__ = ("seed", "token")


class DeadlinePassed(RequestEvent):
    """The deadline of a request passed.

    Unless `is_body_complete`, the caller may be the cause of the delay.
    """

    __slots__ = ("is_body_complete",)
    _defaults = {"is_body_complete": True}


class CallerStalled(RequestEvent):
    """The caller stopped sending its body for longer than the stall timeout."""

    __slots__ = ()


class CallerDisconnected(RequestEvent):
    """The caller closed its connection, or its body was cut off.

    `is_body_truncated` tells that the body had not arrived completely.
    """

    __slots__ = ("is_body_truncated",)
    _defaults = {"is_body_truncated": False}


class ClaimAnswered(RequestEvent):
    """The state process answered `MakeClaim`; `answer` is a tagged outcome."""

    __slots__ = ("answer", "seed")


class ClaimReleased(RequestEvent):
    """The state process answered `ReleaseClaim`; `answer` is a tagged outcome."""

    __slots__ = ("answer", "seed")


class KeyAnswered(RequestEvent):
    """An agent answered `QueryKey`; `reply` is None if no answer was received."""

    __slots__ = ("reply", "seed")


class Effect(record.Record):
    """Base of all effects."""

    __slots__ = ()


class Dial(Effect):
    """Open a link to an upstream's agent at an address, and reopen it when it fails."""

    __slots__ = ("address", "upstream")


class Disconnect(Effect):
    """Close the link to an upstream's agent once its open exchanges have ended."""

    __slots__ = ("upstream",)


class RequestEffect(Effect):
    """Base of the effects on one request."""

    __slots__ = ("number",)


class Answer(RequestEffect):
    """Answer the caller with a status of the entry's own; final."""

    __slots__ = ("status", "verdict", "reason", "retry_after_ms")
    _defaults = {"retry_after_ms": 0}


class Replay(RequestEffect):
    """Answer the caller with a stored response; final.

    `response` is a `httpmessages.KeyReply` with a body.
    """

    __slots__ = ("response",)


class StartResponse(RequestEffect):
    """Start the caller's response with the head that was received."""

    __slots__ = ("attempt",)


class FinishResponse(RequestEffect):
    """Finish the caller's response after its complete body; final."""

    __slots__ = ()


class AbortResponse(RequestEffect):
    """Close the caller's connection in the middle of the response; final."""

    __slots__ = ("reason",)


class DiscardCaller(RequestEffect):
    """Remove a caller that has disconnected; final."""

    __slots__ = ()


class Send(RequestEffect):
    """Send the request to an agent; `deadline_ms` is the remaining time."""

    __slots__ = ("attempt", "upstream", "incarnation", "deadline_ms", "claim_index")


class Cancel(RequestEffect):
    """Abort the attempt in flight."""

    __slots__ = ("attempt", "reason")


class StartTimer(RequestEffect):
    """Start a timer that answers with `TimerExpired`, in place of an earlier one."""

    __slots__ = ("delay_ms", "token")


class MakeClaim(RequestEffect):
    """Propose a claim for the request's key; answered with `ClaimAnswered`."""

    __slots__ = ("tenant", "key", "digest", "upstream", "incarnation", "token")


class ReleaseClaim(RequestEffect):
    """Propose to release a claim under which no request runs.

    Answered with `ClaimReleased` if `is_awaited`.
    """

    __slots__ = ("tenant", "key", "claim_index", "is_awaited")


class SettleClaim(RequestEffect):
    """Propose to store the response of a claimed request; not answered."""

    __slots__ = ("tenant", "key", "claim_index", "response")


class QueryKey(RequestEffect):
    """Ask an agent for the state of a key, and fence the key if it has not run there.

    Only the incarnation named by the claim can answer: a later incarnation does not
    know which keys ran before it started, and would fence one that ran.
    """

    __slots__ = ("tenant", "key", "claim_index", "upstream", "incarnation")
