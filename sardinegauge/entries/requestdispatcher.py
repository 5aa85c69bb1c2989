"""Dispatch of events to the entry's reducer and execution of its effects."""

import asyncio
import collections
import os
import random
import time

from sardinegauge import background, clock, outcome
from sardinegauge.entries import (
    agentlinks,
    callerhttp,
    claimexecutor,
    entry,
    entryevents,
    requestattempt,
)
from sardinegauge.links import httpmessages

# Limit of the time between two chunks of a caller's body.
BODY_STALL_TIMEOUT_S = 10.0


class RequestDispatcher:
    """Passes events of callers and agents to the reducer and executes its effects.

    Parameters
    ----------
    state : entrystate.State
        State of the reducer.
    client : stateclient.StateClient
        Proposes the claims to the state process.
    hello : messages.Hello
        Sent on the links to agents.
    metrics : entrymetrics.EntryMetrics
        Counts how requests end.
    log : structlog logger
        The application's logger.
    """

    def __init__(self, state, client, hello, metrics, log):
        self.state = state
        self.metrics = metrics
        self.log = log
        self.callers = {}
        self.is_draining = False
        self.links = agentlinks.AgentLinks(hello, self._link_opened, self._link_closed)
        self.claims = claimexecutor.ClaimExecutor(client, self.links, self.handle, log)
        self._attempts = {}
        self._events = collections.deque()
        self._is_handling = False
        self._next_number = 0
        # A restarted entry must not reuse the claim tokens of its previous run.
        self._token_prefix = f"{hello.name}/{os.urandom(6).hex()}"

    @property
    def is_busy(self):
        """Tell whether requests or claims are in progress."""
        return bool(self.state.requests or self.callers or self.claims.is_busy)

    def stop(self):
        """Cancel all attempts and close the links."""
        for task in self._attempts.values():
            task.cancel()
        self.links.stop()

    def check_stalled_callers(self):
        """Fail requests whose body stopped arriving, and close drained links.

        The time in which the entry itself pauses a caller does not count as a stall.
        """
        self.links.close_drained()
        now_s = self.time_s()
        for caller in list(self.callers.values()):
            is_paused = caller.body.buffered_bytes > caller.body.limit_bytes
            if caller.body.is_ended or is_paused:
                caller.last_byte_s = now_s
            elif now_s - caller.last_byte_s > BODY_STALL_TIMEOUT_S:
                self.handle(
                    entryevents.CallerStalled(
                        now_ms=clock.monotonic_ms(), number=caller.number
                    )
                )

    # Events from callers

    def time_s(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_later(self, delay_s, callback, *arguments):
        """Schedule a call after a delay in seconds; return its handle."""
        return asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    def bad_request(self, caller, error):
        """Answer a malformed request."""
        self.metrics.count_bad_request(error.status)
        caller.answer(error.status, outcome.Verdict.NOT_RUN, str(error))

    def request_arrived(self, caller):
        """Assign a number to a request, start its deadline timer, and reduce it."""
        self._next_number += 1
        head = caller.head
        caller.number = self._next_number
        caller.started_s = caller.last_byte_s = self.time_s()
        token = f"{self._token_prefix}/{caller.number}"
        caller.request_id = head.request_id or token
        self.callers[caller.number] = caller
        caller.timer = self.call_later(
            head.deadline_ms / 1000, self._deadline_passed, caller
        )
        now_ms = clock.monotonic_ms()
        call = entryevents.Call(
            tenant=head.tenant,
            service=head.service,
            is_idempotent=head.is_idempotent,
            key="" if head.is_idempotent else head.key,
            token=token,
            deadline_ms=now_ms + head.deadline_ms,
        )
        self.handle(
            entryevents.RequestArrived(now_ms=now_ms, number=caller.number, call=call)
        )

    def body_ready(self, caller):
        """Report to the reducer that a body is buffered completely or streamed."""
        needs_claim = caller.head.key and not caller.head.is_idempotent
        if needs_claim and caller.body.is_streaming:
            limit = callerhttp.MAX_BUFFERED_BODY_BYTES
            reason = f"a body with Idempotency-Key may have {limit} bytes"
            self.caller_disconnected(caller, is_body_truncated=True)
            caller.answer(413, outcome.Verdict.NOT_RUN, reason)
            return
        digest = claimexecutor.request_digest(caller) if needs_claim else ""
        self.handle(
            entryevents.BodyReady(
                now_ms=clock.monotonic_ms(),
                number=caller.number,
                digest=digest,
                seed=_draw_seed(),
            )
        )

    def caller_disconnected(self, caller, is_body_truncated):
        """Report to the reducer that a caller disconnected."""
        if caller.number in self.callers:
            self.handle(
                entryevents.CallerDisconnected(
                    now_ms=clock.monotonic_ms(),
                    number=caller.number,
                    is_body_truncated=is_body_truncated,
                )
            )

    def _deadline_passed(self, caller):
        self.handle(
            entryevents.DeadlinePassed(
                now_ms=clock.monotonic_ms(),
                number=caller.number,
                is_body_complete=caller.body.is_ended,
            )
        )

    # Reducer

    def handle(self, event):
        """Reduce an event and execute its effects.

        Events that arise meanwhile are queued and reduced afterwards.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                for effect in entry.reduce(self.state, self._events.popleft()):
                    self._execute(effect)
        finally:
            self._is_handling = False

    def _execute(self, effect):
        try:
            _ON_EFFECT[type(effect)](self, effect)
        except Exception:
            # The other effects of the event are executed even if this one fails.
            self.log.exception("effect_failed", effect=type(effect).__name__)

    def _dial(self, effect):
        self.log.info("upstream_found", upstream=effect.upstream)
        self.links.dial(effect.upstream, effect.address)

    def _disconnect(self, effect):
        self.log.info("upstream_gone", upstream=effect.upstream)
        self.links.disconnect(effect.upstream)

    def _link_opened(self, name, incarnation):
        self.handle(
            entryevents.LinkOpened(
                now_ms=clock.monotonic_ms(), upstream=name, incarnation=incarnation
            )
        )

    def _link_closed(self, name):
        self.handle(entryevents.LinkClosed(now_ms=clock.monotonic_ms(), upstream=name))

    def _start_timer(self, effect):
        self.call_later(effect.delay_ms / 1000, self._timer_expired, effect)

    def _timer_expired(self, effect):
        self.handle(
            entryevents.TimerExpired(
                now_ms=clock.monotonic_ms(),
                number=effect.number,
                token=effect.token,
                seed=_draw_seed(),
            )
        )

    # Attempts

    def _send(self, effect):
        caller = self.callers[effect.number]
        head = caller.head
        attempt = requestattempt.Attempt(
            caller,
            self.links,
            effect.upstream,
            httpmessages.RequestHead(
                request_id=caller.request_id,
                tenant=head.tenant,
                service=head.service,
                method=head.method,
                path=head.path,
                headers=head.headers,
                deadline_ms=effect.deadline_ms,
                idempotent=head.is_idempotent,
                key="" if head.is_idempotent else head.key,
                claim_index=effect.claim_index,
                incarnation=effect.incarnation,
                has_body=head.has_body,
            ),
            lambda response: self._head_received(effect, response),
        )
        self._attempts[effect.number] = background.spawn(
            self._run_attempt(attempt, effect)
        )

    async def _run_attempt(self, attempt, effect):
        number = effect.number
        try:
            response = await attempt.run()
        except requestattempt.AttemptError as error:
            event = _failure_event(attempt.caller, effect, error)
        else:
            event = entryevents.AttemptFinished(
                now_ms=clock.monotonic_ms(),
                number=number,
                attempt=effect.attempt,
                response=response,
            )
        finally:
            if self._attempts.get(number) is asyncio.current_task():
                del self._attempts[number]
            if attempt.caller.is_disconnected:
                attempt.caller.release()
        self.handle(event)

    def _head_received(self, effect, response):
        self.handle(
            entryevents.HeadReceived(
                now_ms=clock.monotonic_ms(),
                number=effect.number,
                attempt=effect.attempt,
                status=response.status,
                in_flight=response.in_flight,
                queued=response.queued,
            )
        )

    def _start_response(self, effect):
        self.callers[effect.number].start_response()

    def _cancel(self, effect):
        task = self._attempts.pop(effect.number, None)
        if task is not None:
            task.cancel()

    # Final effects

    def _answer(self, effect):
        caller = self._end_caller(effect, effect.verdict, effect.status)
        caller.answer(
            effect.status, effect.verdict, effect.reason, effect.retry_after_ms
        )

    def _replay(self, effect):
        caller = self._end_caller(effect, outcome.Verdict.RAN, effect.response.status)
        caller.replay(effect.response)

    def _finish_response(self, effect):
        status = self.callers[effect.number].response_status
        self._end_caller(effect, outcome.Verdict.RAN, status).finish_response()

    def _abort_response(self, effect):
        caller = self._end_caller(effect, outcome.Verdict.RAN, 0)
        self.log.warning(
            "response_cut", request=caller.request_id, reason=effect.reason
        )
        caller.abort_response()

    def _discard_caller(self, effect):
        # The attempt may continue without its caller and still needs the deadline.
        self._end_caller(effect, None, 0, keep_timer=True)

    def _end_caller(self, effect, verdict, status, keep_timer=False):
        """Remove a caller from the table and record the outcome of its request."""
        caller = self.callers.pop(effect.number)
        if not keep_timer:
            caller.timer.cancel()
        if caller.is_disconnected and effect.number not in self._attempts:
            caller.release()
        duration_s = self.time_s() - caller.started_s
        self.metrics.observe(self.state, caller.head, verdict, status, duration_s)
        return caller


def _failure_event(caller, effect, error):
    refusal = error.refusal or httpmessages.Refusal()
    return entryevents.AttemptFailed(
        now_ms=clock.monotonic_ms(),
        number=effect.number,
        attempt=effect.attempt,
        verdict=error.verdict,
        reason=error.reason,
        retry_after_ms=refusal.retry_after_ms,
        is_draining=refusal.draining,
        is_refusal=error.refusal is not None,
        in_flight=refusal.in_flight,
        is_body_consumed=caller.body.is_consumed,
        is_caller_fault=error.is_caller_fault,
        seed=_draw_seed(),
    )


def _draw_seed():
    return random.getrandbits(64)


def _execute_claim_effect(dispatcher, effect):
    dispatcher.claims.execute(effect)


_ON_EFFECT = {
    entryevents.Dial: RequestDispatcher._dial,
    entryevents.Disconnect: RequestDispatcher._disconnect,
    entryevents.Answer: RequestDispatcher._answer,
    entryevents.Replay: RequestDispatcher._replay,
    entryevents.StartResponse: RequestDispatcher._start_response,
    entryevents.FinishResponse: RequestDispatcher._finish_response,
    entryevents.AbortResponse: RequestDispatcher._abort_response,
    entryevents.DiscardCaller: RequestDispatcher._discard_caller,
    entryevents.Send: RequestDispatcher._send,
    entryevents.Cancel: RequestDispatcher._cancel,
    entryevents.StartTimer: RequestDispatcher._start_timer,
    entryevents.MakeClaim: _execute_claim_effect,
    entryevents.ReleaseClaim: _execute_claim_effect,
    entryevents.SettleClaim: _execute_claim_effect,
    entryevents.QueryKey: _execute_claim_effect,
}
