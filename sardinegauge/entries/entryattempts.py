"""Part of the entry's reducer: attempts of a request and the decision to retry."""

from sardinegauge import outcome
from sardinegauge.entries import entryevents, entrystate

MAX_ATTEMPTS = 4
# A request that crashes its upstreams would otherwise take down one for each attempt.
MAX_LOST_ATTEMPTS = 2


def start(state, request, now_ms, seed):
    """Choose an upstream, then send the request or first claim its key."""
    if not state.is_confirmed(now_ms):
        return entrystate.fail_request(state, request, "no confirmed configuration")
    candidates = state.upstreams.candidates(
        request.call.service, now_ms, request.tried_upstreams
    )
    if not candidates:
        return entrystate.fail_request(
            state, request, f"no upstream serves {request.call.service}"
        )
    upstream = state.balancer.choose(candidates, seed, now_ms)
    upstream.own_in_flight += 1
    request.upstream = upstream
    request.incarnation = upstream.incarnation
    if request.call.key:
        return propose_claim(request)
    return send(request, now_ms)


def send(request, now_ms):
    """Send the request to its upstream as a new attempt."""
    request.attempt += 1
    request.stage = entrystate.SENT
    request.sent_at_ms = now_ms
    request.tried_upstreams.append(request.upstream.name)
    return [
        entryevents.Send(
            number=request.number,
            attempt=request.attempt,
            upstream=request.upstream.name,
            incarnation=request.incarnation,
            deadline_ms=max(1, request.call.deadline_ms - now_ms),
            claim_index=request.claim_index,
        )
    ]


def propose_claim(request):
    """Propose a claim for the chosen upstream."""
    request.stage = entrystate.CLAIMING
    return [
        entryevents.MakeClaim(
            number=request.number,
            tenant=request.call.tenant,
            key=request.call.key,
            digest=request.digest,
            upstream=request.upstream.name,
            incarnation=request.incarnation,
            token=request.call.token,
        )
    ]


def reserve_retry(state, request, event):
    """Return whether the request may be retried; spend the retry budget if so.

    A retry must be safe by the verdict of the failed attempt, within the deadline and
    the limits of attempts and of lost ones, and allowed by the retry budget.
    """
    is_safe = event.verdict.may_retry(request.call.is_idempotent)
    if not is_safe or event.is_body_consumed or request.attempt >= MAX_ATTEMPTS:
        return False
    if request.lost_attempts >= MAX_LOST_ATTEMPTS:
        return False
    if event.now_ms >= request.call.deadline_ms:
        return False
    if not state.retry_budget.try_spend(event.now_ms):
        return False
    request.retries += 1
    return True


def fail_after_attempt(state, request, event):
    """Answer the caller with the failure of the last attempt."""
    status = 502 if request.worst_verdict is outcome.Verdict.RAN else None
    retry_after_ms = event.retry_after_ms or None
    if request.worst_verdict is not outcome.Verdict.NOT_RUN:
        retry_after_ms = 0
    return entrystate.fail_request(
        state, request, event.reason, status, retry_after_ms=retry_after_ms
    )
