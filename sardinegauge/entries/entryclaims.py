"""Part of the entry's reducer: durable claims of request keys.

A claim names one upstream and its incarnation. It is committed before the request is
sent and settled with the response. An open claim of another call is resolved by asking
its agent, which fences a key that has not run there; only then is the claim released.
"""

import base64

from sardinegauge import outcome
from sardinegauge.entries import entryattempts, entryevents, entrystate
from sardinegauge.links import httpmessages

# Claims, releases and queries of one request before it is given up.
MAX_ROUNDS = 12
RETRY_MIN_MS = 50
RETRY_MAX_MS = 400


def claim_answered(state, request, event):
    """Send under a new claim, replay a settled one, or resolve an open one."""
    if request.stage != entrystate.CLAIMING:
        return []
    answer = event.answer
    if not isinstance(answer, outcome.Answered):
        return _retry_claim(state, request, event)
    value = answer.value
    if isinstance(value, outcome.Conflict):
        reason = "the key was used before with another request"
        return entrystate.give_up(
            state, request, reason, 422, verdict=outcome.Verdict.NOT_RUN
        )
    if not isinstance(value, outcome.Accepted):
        reason = f"the claim was refused: {value}"
        return entrystate.give_up(
            state, request, reason, 400, verdict=outcome.Verdict.NOT_RUN
        )
    found = value.value.get("claim", value.value)
    is_new = value.value.get("is_new", "state" not in found)
    if is_new or _is_own(request, found):
        return _claimed(state, request, event, found["claim_index"])
    if found["state"] == "settled":
        return _replay(state, request, _response_of(found))
    if request.is_answered:
        return entrystate.drop(state, request)
    return _query(state, request, found)


def _is_own(request, found):
    """Tell whether an open claim is this call's own, its first answer having been lost.

    A claim that this call made earlier for another upstream is not meant: only the
    upstream that a claim names may run the request.
    """
    return (
        found["state"] == "open"
        and found.get("entry") == request.call.token
        and found["upstream"] == request.upstream.name
        and found["incarnation"] == request.incarnation
    )


def _retry_claim(state, request, event):
    """Propose again after a lost or refused proposal; the token makes that safe."""
    if request.is_answered:
        return entrystate.drop(state, request)
    if request.claim_rounds >= MAX_ROUNDS:
        return entrystate.give_up(state, request, "the claim could not be made")
    return [_wait(request, event.seed)]


def _wait(request, seed):
    request.claim_rounds += 1
    ceiling = min(RETRY_MIN_MS << min(request.claim_rounds, 8), RETRY_MAX_MS)
    return entrystate.wait(request, ceiling // 2 + seed % (ceiling // 2))


def _claimed(state, request, event, claim_index):
    request.claim_index = claim_index
    if request.is_answered:
        return _release(request, is_awaited=False) + entrystate.drop(state, request)
    return entryattempts.send(request, event.now_ms)


def _response_of(existing):
    return httpmessages.KeyReply(
        state="finished",
        status=existing["status"],
        headers=[httpmessages.Header.from_dict(item) for item in existing["headers"]],
        body=base64.b64decode(existing["body"]),
        is_body_kept=existing["is_body_kept"],
    )


def _replay(state, request, response):
    """Answer the caller with a stored response."""
    if request.is_answered:
        return entrystate.drop(state, request)
    if not response.is_body_kept:
        reason = f"ran with status {response.status}; its response is not kept"
        return entrystate.give_up(
            state, request, reason, 409, verdict=outcome.Verdict.RAN
        )
    request.is_answered = True
    effect = entryevents.Replay(number=request.number, response=response)
    return [effect, *entrystate.drop(state, request)]


def _query(state, request, existing):
    """Ask the agent of an open claim, if it is still the one that was claimed."""
    entrystate.leave_upstream(request)
    upstream = state.upstreams.by_name.get(existing["upstream"])
    incarnation = existing["incarnation"]
    if upstream is None or upstream.linked_incarnation != incarnation:
        reason = "the upstream of an earlier request with this key cannot be asked"
        return _unknown(state, request, reason)
    request.stage = entrystate.QUERYING
    request.claim_index = existing["claim_index"]
    request.claim_upstream = upstream.name
    request.incarnation = incarnation
    return _ask(request)


def _ask(request):
    return [
        entryevents.QueryKey(
            number=request.number,
            tenant=request.call.tenant,
            key=request.call.key,
            claim_index=request.claim_index,
            upstream=request.claim_upstream,
            incarnation=request.incarnation,
        )
    ]


def _unknown(state, request, reason):
    return entrystate.give_up(
        state, request, reason, verdict=outcome.Verdict.MAY_HAVE_RUN
    )


def key_answered(state, request, event):
    """Act on what the agent of an open claim knows of the key."""
    if request.stage != entrystate.QUERYING:
        return []
    reply = event.reply
    if reply is None:
        return _unknown(state, request, "the upstream of this key does not answer")
    if reply.state == "finished":
        effects = settle(request, request.claim_index, reply)
        return effects + _replay(state, request, reply)
    if reply.state == "fenced":
        request.stage = entrystate.RELEASING
        return _release(request, is_awaited=True)
    if reply.state == "running" and request.claim_rounds < MAX_ROUNDS:
        return [_wait(request, event.seed)]
    reason = f"an earlier request with this key is {reply.state} at its upstream"
    return _unknown(state, request, reason)


def not_run(state, request, event):
    """Free the claim of an attempt that did not run, then try again or give up."""
    if request.is_answered or not entryattempts.may_retry(state, request, event):
        effects = _release(request, is_awaited=False)
        if request.is_answered:
            return effects + entrystate.drop(state, request)
        return effects + entryattempts.fail(state, request, event)
    request.stage = entrystate.RELEASING
    return _release(request, is_awaited=True)


def _release(request, is_awaited):
    return [
        entryevents.ReleaseClaim(
            number=request.number,
            tenant=request.call.tenant,
            key=request.call.key,
            claim_index=request.claim_index,
            is_awaited=is_awaited,
        )
    ]


def claim_released(state, request, event):
    """Start again once it is certain that the claim is gone.

    A release whose answer was lost may still be applied. It is proposed again until it
    is answered: otherwise it could free a claim under which the request runs.
    """
    if request.stage != entrystate.RELEASING:
        return []
    if request.claim_rounds >= MAX_ROUNDS:
        return entrystate.give_up(state, request, "the claim could not be released")
    if not isinstance(event.answer, outcome.Answered):
        return [_wait(request, event.seed)]
    request.claim_rounds += 1
    request.claim_index = 0
    return entryattempts.start(state, request, event.now_ms, event.seed)


def settle(request, claim_index, response):
    """Return the effects that store a response in its claim."""
    if not claim_index or response is None:
        return []
    return [
        entryevents.SettleClaim(
            number=request.number,
            tenant=request.call.tenant,
            key=request.call.key,
            claim_index=claim_index,
            response=response,
        )
    ]


def timer_expired(state, request):
    """Propose or ask again after a delay."""
    if request.is_answered:
        return entrystate.drop(state, request)
    if request.stage == entrystate.CLAIMING:
        return entryattempts.claim(request)
    if request.stage == entrystate.QUERYING:
        return _ask(request)
    if request.stage == entrystate.RELEASING:
        return _release(request, is_awaited=True)
    return []


def deadline_passed(state, request):
    """Give up; a claim that is being made is released once it is known."""
    if request.stage == entrystate.QUERYING:
        return _unknown(state, request, "an earlier request with this key still runs")
    if request.stage == entrystate.CLAIMING:
        return entrystate.answer(request, "the claim was not made within the deadline")
    return entrystate.give_up(state, request, "not sent within the deadline")
