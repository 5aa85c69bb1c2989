"""Events and effects of the entry's reducer.

Times are milliseconds of `clock.monotonic_ms`. `seed` is a random integer of 64 bits
that the application draws, since the reducer has no random source.
"""

from sardinegauge import record


class Call(record.Record):
    """What the reducer needs to know of a caller's request.

    `key` is empty unless the request needs a claim. `token` names this call towards
    other entries, for its claim.
    """

    __slots__ = ("tenant", "service", "is_idempotent", "key", "token", "deadline_ms")
    _defaults = {"is_idempotent": True, "key": "", "token": ""}


class Event(record.Record):
    """Base of all events."""

    __slots__ = ("now_ms",)


class RequestEvent(Event):
    """Base of the events of one request; `number` is counted by the application."""

    __slots__ = ("number",)


class PollAnswered(Event):
    """The state process answered a poll that was sent at `sent_ms`."""

    __slots__ = ("reply", "sent_ms")


class LinkOpened(Event):
    """A link to an upstream's agent stands; its hello named the incarnation."""

    __slots__ = ("incarnation", "upstream")


class LinkClosed(Event):
    """The link to an upstream's agent is gone."""

    __slots__ = ("upstream",)


class DrainBegan(Event):
    """The process is asked to stop; requests in flight are finished."""

    __slots__ = ()


class Arrived(RequestEvent):
    """The head of a request arrived and is well-formed."""

    __slots__ = ("call",)


class BodyReady(RequestEvent):
    """The body can be sent: it is buffered whole, or it streams.

    `digest` names method, path and body of a request with a key.
    """

    __slots__ = ("digest", "seed")
    _defaults = {"digest": ""}


class AttemptFailed(RequestEvent):
    """An attempt ended without a whole response.

    `verdict` is an `outcome.Verdict`; `is_body_sent` tells that a part of a streaming
    body is gone, so that no other attempt can be made. `is_caller_fault` tells that
    the failure says nothing about the upstream.
    """

    __slots__ = (
        "attempt",
        "verdict",
        "reason",
        "retry_after_ms",
        "is_draining",
        "is_refusal",
        "in_flight",
        "is_body_sent",
        "is_caller_fault",
        "seed",
    )
    _defaults = {
        "retry_after_ms": 0,
        "is_draining": False,
        "is_refusal": False,
        "in_flight": 0,
        "is_body_sent": False,
        "is_caller_fault": False,
    }


class HeadReceived(RequestEvent):
    """The head of a response arrived, with the load of its upstream."""

    __slots__ = ("attempt", "status", "in_flight", "queued")


class AttemptFinished(RequestEvent):
    """The whole response arrived.

    `response` is a `httpmessages.KeyReply` with what a claim keeps, None without one.
    """

    __slots__ = ("attempt", "response")
    _defaults = {"response": None}


class WaitPassed(RequestEvent):
    """The delay of a `Wait` effect passed; an outdated `token` does nothing."""

    __slots__ = ("seed", "token")


class DeadlinePassed(RequestEvent):
    """The deadline of a request passed.

    Unless `is_body_whole`, the caller itself may be what is late.
    """

    __slots__ = ("is_body_whole",)
    _defaults = {"is_body_whole": True}


class CallerStalled(RequestEvent):
    """The caller sent nothing of its body for too long."""

    __slots__ = ()


class CallerGone(RequestEvent):
    """The caller closed its connection, or its body broke off."""

    __slots__ = ("is_body_cut",)
    _defaults = {"is_body_cut": False}


class ClaimAnswered(RequestEvent):
    """The state process answered `MakeClaim`; `answer` is a tagged outcome."""

    __slots__ = ("answer", "seed")


class ClaimReleased(RequestEvent):
    """The state process answered `ReleaseClaim`; `answer` is a tagged outcome."""

    __slots__ = ("answer", "seed")


class KeyAnswered(RequestEvent):
    """An agent answered `QueryKey`; `reply` is None where it could not be asked."""

    __slots__ = ("reply", "seed")


class Effect(record.Record):
    """Base of all effects."""

    __slots__ = ()


class Dial(Effect):
    """Keep a link to an upstream's agent at an address."""

    __slots__ = ("address", "upstream")


class HangUp(Effect):
    """Close the link to an upstream's agent once its exchanges have ended."""

    __slots__ = ("upstream",)


class RequestEffect(Effect):
    """Base of the effects on one request."""

    __slots__ = ("number",)


class Answer(RequestEffect):
    """Answer the caller without an upstream's response; final."""

    __slots__ = ("status", "verdict", "reason", "retry_after_ms")
    _defaults = {"retry_after_ms": 0}


class Replay(RequestEffect):
    """Answer the caller with a stored response; final.

    `response` is a `httpmessages.KeyReply` with a body.
    """

    __slots__ = ("response",)


class Forward(RequestEffect):
    """Begin the caller's response with the head that just arrived."""

    __slots__ = ("attempt",)


class Complete(RequestEffect):
    """End the caller's response, which is whole; final."""

    __slots__ = ()


class Cut(RequestEffect):
    """Close the caller's connection before its response ends; final."""

    __slots__ = ("reason",)


class Forget(RequestEffect):
    """Drop a request whose caller is gone; final."""

    __slots__ = ()


class Send(RequestEffect):
    """Send the request to an agent; `deadline_ms` is the time left."""

    __slots__ = ("attempt", "upstream", "incarnation", "deadline_ms", "claim_index")


class Cancel(RequestEffect):
    """Abort the attempt in flight."""

    __slots__ = ("attempt", "reason")


class Wait(RequestEffect):
    """Answer with `WaitPassed` after a delay."""

    __slots__ = ("delay_ms", "token")


class MakeClaim(RequestEffect):
    """Propose a claim for the request's key; answered with `ClaimAnswered`."""

    __slots__ = ("tenant", "key", "digest", "upstream", "incarnation", "token")


class ReleaseClaim(RequestEffect):
    """Propose to free a claim that never runs.

    Answered with `ClaimReleased` if `is_awaited`.
    """

    __slots__ = ("tenant", "key", "claim_index", "is_awaited")


class SettleClaim(RequestEffect):
    """Propose to store the response of a claimed request; not answered."""

    __slots__ = ("tenant", "key", "claim_index", "response")


class QueryKey(RequestEffect):
    """Ask an agent what became of a key, and fence it if it has not run there.

    Only the incarnation that was claimed knows: a later one would fence a key that
    ran before its time.
    """

    __slots__ = ("tenant", "key", "claim_index", "upstream", "incarnation")
