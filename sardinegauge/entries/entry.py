"""Pure reducer of the entry: configuration, choice of upstream, attempts and verdicts.

`reduce(state, event)` returns a list of effects. Each request ends with exactly one of
`Answer`, `Replay`, `FinishResponse`, `AbortResponse` and `DiscardCaller`. A request
whose caller has disconnected may stay in the table until its attempt or claim is
resolved.
"""

import json

from sardinegauge import outcome
from sardinegauge.entries import (
    entryattempts,
    entryclaims,
    entryevents,
    entrystate,
    limits,
    retrybudget,
    upstreamtable,
)

State = entrystate.State

# A timeout sooner than this does not count as a failure of the upstream, since the
# caller chose the deadline.
MIN_TIMEOUT_FAILURE_MS = 1_000


def reduce(state, event):
    """Apply an event to the state; return the list of effects."""
    if not isinstance(event, entryevents.RequestEvent):
        return _ON_PROCESS_EVENT[type(event)](state, event)
    if isinstance(event, entryevents.RequestArrived):
        return _request_arrived(state, event)
    request = state.requests.get(event.number)
    if request is None:
        return []
    return _ON_REQUEST_EVENT[type(event)](state, request, event)


def _poll_answered(state, event):
    reply = event.reply
    if not reply.confirmed or reply.config_version < state.config_version:
        return []
    if reply.directory_version < state.upstreams.version:
        return []
    if reply.config_version > state.config_version:
        if not reply.config:
            return []
        state.config_version = reply.config_version
        state.configuration = json.loads(reply.config)
        state.limits.configure(state.configuration.get("tenants") or {})
    effects = []
    if reply.is_full_directory or reply.directory_version > state.upstreams.version:
        to_dial, to_disconnect = state.upstreams.apply(
            reply.directory_version, reply.is_full_directory, reply.directory
        )
        effects += [entryevents.Disconnect(upstream=name) for name in to_disconnect]
        effects += [
            entryevents.Dial(
                upstream=name, address=state.upstreams.by_name[name].address
            )
            for name in to_dial
        ]
    state.confirmed_until_ms = max(
        state.confirmed_until_ms, event.sent_ms + entrystate.CONFIRMATION_VALID_MS
    )
    return effects


def _link_opened(state, event):
    upstream = state.upstreams.by_name.get(event.upstream)
    if upstream is not None:
        upstream.linked_incarnation = event.incarnation
    return []


def _link_closed(state, event):
    upstream = state.upstreams.by_name.get(event.upstream)
    if upstream is not None:
        upstream.linked_incarnation = ""
    return []


def _drain_started(state, event):
    state.is_draining = True
    return []


def _request_arrived(state, event):
    call = event.call
    request = entrystate.Request(event.number, call)
    if not state.is_ready(event.now_ms):
        reason = "no confirmed configuration"
        if state.is_draining:
            reason = "the entry is leaving"
        return [_reject(request, 503, reason)]
    admission = state.limits.admit(event.now_ms, call.tenant, event.number)
    if isinstance(admission, limits.Rejection):
        return [
            _reject(
                request, admission.status, admission.reason, admission.retry_after_ms
            )
        ]
    state.retry_budget.count_request(event.now_ms)
    state.requests[event.number] = request
    request.is_admitted = admission
    if admission:
        return []
    request.stage = entrystate.QUEUED
    return [entrystate.start_timer(request, limits.MAX_QUEUE_WAIT_MS)]


def _reject(request, status, reason, retry_after_ms=entrystate.RETRY_AFTER_MS):
    return entryevents.Answer(
        number=request.number,
        status=status,
        verdict=outcome.Verdict.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def _body_ready(state, request, event):
    request.is_body_ready = True
    request.digest = event.digest
    if not request.is_admitted:
        return []
    return entryattempts.start(state, request, event.now_ms, event.seed)


def _attempt_failed(state, request, event):
    if event.attempt != request.attempt or request.stage not in (
        entrystate.SENT,
        entrystate.RESPONDING,
    ):
        return []
    _record_attempt_failure(request.upstream, event)
    if request.stage == entrystate.RESPONDING:
        return _finish_response(
            state, request, entryevents.AbortResponse, reason=event.reason
        )
    entrystate.release_upstream(request)
    if event.verdict is not outcome.Verdict.NOT_RUN:
        request.worst_verdict = event.verdict
        request.lost_attempts += 1
    elif request.claim_index:
        return entryclaims.attempt_not_run(state, request, event)
    if request.is_answered:
        return entrystate.remove(state, request)
    if not entryattempts.reserve_retry(state, request, event):
        return entryattempts.fail_after_attempt(state, request, event)
    request.stage = entrystate.BACKOFF
    delay_ms = retrybudget.backoff_ms(request.retries, event.seed)
    return [entrystate.start_timer(request, delay_ms)]


def _record_attempt_failure(upstream, event):
    if event.is_refusal:
        upstream.record_load(event.in_flight, event.now_ms)
        if event.is_draining:
            upstream.presumed_draining_until_ms = (
                event.now_ms + upstreamtable.PRESUMED_DRAINING_MS
            )
    elif event.verdict is not outcome.Verdict.NOT_RUN and not event.is_caller_fault:
        upstream.record_failure(event.now_ms)


def _finish_response(state, request, effect_class, **fields):
    """End a request whose response has started, with an effect of that class."""
    effects = []
    if not request.is_answered:
        request.is_answered = True
        effects.append(effect_class(number=request.number, **fields))
    return effects + entrystate.remove(state, request)


def _head_received(state, request, event):
    if event.attempt != request.attempt or request.stage != entrystate.SENT:
        return []
    request.stage = entrystate.RESPONDING
    request.upstream.record_load(event.in_flight + event.queued, event.now_ms)
    if event.status >= 500:
        request.upstream.record_failure(event.now_ms)
    else:
        request.upstream.record_success()
    if request.is_answered:
        return []
    return [entryevents.StartResponse(number=request.number, attempt=request.attempt)]


def _attempt_finished(state, request, event):
    if event.attempt != request.attempt or request.stage != entrystate.RESPONDING:
        return []
    effects = entryclaims.settle(request, request.claim_index, event.response)
    return _finish_response(state, request, entryevents.FinishResponse) + effects


def _timer_expired(state, request, event):
    if event.token != request.timer_token:
        return []
    if request.stage == entrystate.QUEUED:
        reason = "the tenant is at its limit of concurrent requests"
        return entrystate.fail_request(
            state, request, reason, 429, retry_after_ms=entrystate.RETRY_AFTER_MS
        )
    if request.stage == entrystate.BACKOFF:
        return entryattempts.start(state, request, event.now_ms, event.seed)
    return entryclaims.timer_expired(state, request)


def _deadline_passed(state, request, event):
    if request.stage == entrystate.RESPONDING and not request.is_answered:
        # The deadline limits the time until the head of the response, not its body.
        return []
    if request.stage == entrystate.SENT or request.stage == entrystate.RESPONDING:
        waited_ms = event.now_ms - request.sent_at_ms
        if event.is_body_complete and waited_ms >= MIN_TIMEOUT_FAILURE_MS:
            request.upstream.record_failure(event.now_ms)
        if request.worst_verdict is outcome.Verdict.NOT_RUN:
            request.worst_verdict = outcome.Verdict.MAY_HAVE_RUN
        return [_cancel(request, "deadline passed")] + entrystate.fail_request(
            state, request, "no response within the deadline"
        )
    if request.stage == entrystate.RECEIVING:
        return entrystate.fail_request(
            state, request, "body not received within the deadline", 408
        )
    if request.stage in (
        entrystate.CLAIMING,
        entrystate.QUERYING,
        entrystate.RELEASING,
    ):
        return entryclaims.deadline_passed(state, request)
    return entrystate.fail_request(state, request, "not sent within the deadline")


def _caller_stalled(state, request, event):
    """Fail a request whose body stopped arriving."""
    if request.is_answered:
        return []
    reason = "the body stopped arriving"
    if request.stage == entrystate.RESPONDING:
        effects = [_cancel(request, reason)]
        return effects + _finish_response(
            state, request, entryevents.AbortResponse, reason=reason
        )
    if request.stage == entrystate.SENT:
        request.worst_verdict = outcome.Verdict.MAY_HAVE_RUN
        effects = [_cancel(request, reason)]
        return effects + entrystate.fail_request(state, request, reason, 408)
    return entrystate.fail_request(state, request, reason, 408)


def _cancel(request, reason):
    return entryevents.Cancel(
        number=request.number, attempt=request.attempt, reason=reason
    )


def _caller_disconnected(state, request, event):
    """Remove the caller, and cancel its attempt if that is safe.

    An attempt of a non-idempotent request with a complete body runs to its end, so that
    its response settles the claim and can be replayed to a resend.
    """
    if request.is_answered:
        return []
    request.is_answered = True
    effects = [entryevents.DiscardCaller(number=request.number)]
    if request.stage in (entrystate.SENT, entrystate.RESPONDING):
        if not request.call.is_idempotent and not event.is_body_truncated:
            return effects
        effects.append(_cancel(request, "caller disconnected"))
    elif request.stage == entrystate.CLAIMING:
        return effects
    return effects + entrystate.remove(state, request)


_ON_PROCESS_EVENT = {
    entryevents.PollAnswered: _poll_answered,
    entryevents.LinkOpened: _link_opened,
    entryevents.LinkClosed: _link_closed,
    entryevents.DrainStarted: _drain_started,
}
_ON_REQUEST_EVENT = {
    entryevents.BodyReady: _body_ready,
    entryevents.AttemptFailed: _attempt_failed,
    entryevents.HeadReceived: _head_received,
    entryevents.AttemptFinished: _attempt_finished,
    entryevents.TimerExpired: _timer_expired,
    entryevents.DeadlinePassed: _deadline_passed,
    entryevents.CallerDisconnected: _caller_disconnected,
    entryevents.CallerStalled: _caller_stalled,
    entryevents.ClaimAnswered: entryclaims.claim_answered,
    entryevents.ClaimReleased: entryclaims.claim_released,
    entryevents.KeyAnswered: entryclaims.key_answered,
}
