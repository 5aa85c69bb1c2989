"""Part of the entry's reducer: durable claims of request keys.

A claim names one upstream and its incarnation. The state process commits the claim
before the request is sent, and stores the response when the claim is settled. An open
claim of another call is resolved by asking the agent that the claim names. The agent
fences a key that has not run there, and only then is the claim released.
"""

import base64

from sardinegauge import outcome
from sardinegauge.entries import entryattempts, entryevents, entrystate
from sardinegauge.links import httpmessages

# Limit of claims, releases and key queries of one request.
MAX_CLAIM_ROUNDS = 12
MIN_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 400


def claim_answered(state, request, event):
    """Send the request under a new claim, or act on the claim that exists.

    The response of a settled claim is replayed; an open claim of another call is
    resolved.
    """
    if request.stage != entrystate.CLAIMING:
        return []
    answer = event.answer
    if not isinstance(answer, outcome.Answered):
        return _claim_unanswered(state, request, event)
    value = answer.value
    if isinstance(value, outcome.Conflict):
        reason = "the key was used before with another request"
        return entrystate.fail_request(
            state, request, reason, 422, verdict=outcome.Verdict.NOT_RUN
        )
    if not isinstance(value, outcome.Accepted):
        reason = f"the claim was refused: {value}"
        return entrystate.fail_request(
            state, request, reason, 400, verdict=outcome.Verdict.NOT_RUN
        )
    claim = value.value.get("claim", value.value)
    is_new = value.value.get("is_new", "state" not in claim)
    if is_new or _is_of_this_call(request, claim):
        return _claim_acquired(state, request, event, claim["claim_index"])
    if claim["state"] == "settled":
        return _replay(state, request, _stored_response(claim))
    if request.is_answered:
        return entrystate.remove(state, request)
    return _resolve_open_claim(state, request, claim)


def _is_of_this_call(request, claim):
    """Tell whether an open claim was committed by this call for this upstream.

    That is so if the answer to an earlier proposal was lost. A claim of this call for
    another upstream does not count, since only the upstream that a claim names may
    run the request.
    """
    return (
        claim["state"] == "open"
        and claim.get("entry") == request.call.token
        and claim["upstream"] == request.upstream.name
        and claim["incarnation"] == request.incarnation
    )


def _claim_unanswered(state, request, event):
    """Propose the claim again after a lost or refused proposal.

    The call's token makes that safe, since it identifies the call's own claim.
    """
    if request.is_answered:
        return entrystate.remove(state, request)
    if request.claim_rounds >= MAX_CLAIM_ROUNDS:
        return entrystate.fail_request(state, request, "the claim could not be made")
    return [_schedule_retry(request, event.seed)]


def _schedule_retry(request, seed):
    request.claim_rounds += 1
    max_delay_ms = min(
        MIN_RETRY_DELAY_MS << min(request.claim_rounds, 8), MAX_RETRY_DELAY_MS
    )
    return entrystate.start_timer(
        request, max_delay_ms // 2 + seed % (max_delay_ms // 2)
    )


def _claim_acquired(state, request, event, claim_index):
    request.claim_index = claim_index
    if request.is_answered:
        return _release(request, is_awaited=False) + entrystate.remove(state, request)
    return entryattempts.send(request, event.now_ms)


def _stored_response(claim):
    return httpmessages.KeyReply(
        state="finished",
        status=claim["status"],
        headers=[httpmessages.Header.from_dict(item) for item in claim["headers"]],
        body=base64.b64decode(claim["body"]),
        is_body_kept=claim["is_body_kept"],
    )


def _replay(state, request, response):
    """Answer the caller with a stored response."""
    if request.is_answered:
        return entrystate.remove(state, request)
    if not response.is_body_kept:
        reason = f"ran with status {response.status}; its response is not kept"
        return entrystate.fail_request(
            state, request, reason, 409, verdict=outcome.Verdict.RAN
        )
    request.is_answered = True
    effect = entryevents.Replay(number=request.number, response=response)
    return [effect, *entrystate.remove(state, request)]


def _resolve_open_claim(state, request, claim):
    """Ask the agent of an open claim, if still linked to the claimed incarnation."""
    entrystate.release_upstream(request)
    upstream = state.upstreams.by_name.get(claim["upstream"])
    incarnation = claim["incarnation"]
    if upstream is None or upstream.linked_incarnation != incarnation:
        reason = "the upstream of an earlier request with this key cannot be asked"
        return _fail_may_have_run(state, request, reason)
    request.stage = entrystate.QUERYING
    request.claim_index = claim["claim_index"]
    request.claim_upstream = upstream.name
    request.incarnation = incarnation
    return _query_agent(request)


def _query_agent(request):
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


def _fail_may_have_run(state, request, reason):
    return entrystate.fail_request(
        state, request, reason, verdict=outcome.Verdict.MAY_HAVE_RUN
    )


def key_answered(state, request, event):
    """Act on the state of the key at the agent of an open claim."""
    if request.stage != entrystate.QUERYING:
        return []
    reply = event.reply
    if reply is None:
        return _fail_may_have_run(
            state, request, "the upstream of this key does not answer"
        )
    if reply.state == "finished":
        effects = settle(request, request.claim_index, reply)
        return effects + _replay(state, request, reply)
    if reply.state == "fenced":
        request.stage = entrystate.RELEASING
        return _release(request, is_awaited=True)
    if reply.state == "running" and request.claim_rounds < MAX_CLAIM_ROUNDS:
        return [_schedule_retry(request, event.seed)]
    reason = f"an earlier request with this key is {reply.state} at its upstream"
    return _fail_may_have_run(state, request, reason)


def attempt_not_run(state, request, event):
    """Release the claim of an attempt that did not run, then retry or fail."""
    if request.is_answered or not entryattempts.reserve_retry(state, request, event):
        effects = _release(request, is_awaited=False)
        if request.is_answered:
            return effects + entrystate.remove(state, request)
        return effects + entryattempts.fail_after_attempt(state, request, event)
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
    """Start a new attempt once the claim is known to be released.

    A release whose answer was lost may still be applied later. It is proposed again
    until it is answered; otherwise it could release a claim that this request has
    reused and under which it runs.
    """
    if request.stage != entrystate.RELEASING:
        return []
    if request.claim_rounds >= MAX_CLAIM_ROUNDS:
        return entrystate.fail_request(
            state, request, "the claim could not be released"
        )
    if not isinstance(event.answer, outcome.Answered):
        return [_schedule_retry(request, event.seed)]
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
    """Repeat a claim, key query or release after its retry delay."""
    if request.is_answered:
        return entrystate.remove(state, request)
    if request.stage == entrystate.CLAIMING:
        return entryattempts.propose_claim(request)
    if request.stage == entrystate.QUERYING:
        return _query_agent(request)
    if request.stage == entrystate.RELEASING:
        return _release(request, is_awaited=True)
    return []


def deadline_passed(state, request):
    """Fail the request at its deadline.

    A request whose claim is still proposed stays in the table, so that the claim is
    released when its answer arrives.
    """
    if request.stage == entrystate.QUERYING:
        return _fail_may_have_run(
            state, request, "an earlier request with this key still runs"
        )
    if request.stage == entrystate.CLAIMING:
        return entrystate.answer_caller(
            request, "the claim was not made within the deadline"
        )
    return entrystate.fail_request(state, request, "not sent within the deadline")
