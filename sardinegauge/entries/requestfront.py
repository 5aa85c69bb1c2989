"""Requests in progress: callers, attempts and timers around the entry's reducer."""

import asyncio
import collections
import os
import random
import time

from sardinegauge import background, clock, outcome
from sardinegauge.entries import (
    agentlinks,
    callerhttp,
    claimcalls,
    entry,
    entryevents,
    requestattempt,
)
from sardinegauge.links import httpmessages

# Longest silence of a caller within its body.
BODY_STALL_S = 10.0


class RequestDispatcher:
    """Turns what callers and agents do into events and carries out the effects.

    Parameters
    ----------
    state : entrystate.State
        State of the reducer.
    client : stateclient.StateClient
        Takes the proposals of claims.
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
        self.claims = claimcalls.ClaimCalls(client, self.links, self.handle, log)
        self._attempts = {}
        self._events = collections.deque()
        self._is_handling = False
        self._next_number = 0
        # Tokens of claims must differ between runs of an entry with the same name.
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

    def check_stalled(self):
        """Give up requests whose callers send nothing, and close idle links."""
        self.links.close_drained()
        now_s = self.time_s()
        for caller in list(self.callers.values()):
            is_paused = caller.body.buffered_bytes > caller.body.limit_bytes
            if caller.body.is_ended or is_paused:
                caller.last_byte_s = now_s
            elif now_s - caller.last_byte_s > BODY_STALL_S:
                self.handle(
                    entryevents.CallerStalled(
                        now_ms=clock.monotonic_ms(), number=caller.number
                    )
                )

    # Events from callers

    def time_s(self):
        """Return the time of the event loop in seconds."""
        return time.monotonic()

    def call_later(self, delay_s, callback, *arguments):
        """Call back after a delay in seconds; return the handle."""
        return asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    def bad_request(self, caller, error):
        """Answer a malformed request."""
        self.metrics.count_bad_request(error.status)
        caller.answer(error.status, outcome.Verdict.NOT_RUN, str(error))

    def request_arrived(self, caller):
        """Number a request, set its deadline and hand it to the reducer."""
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
        self.handle(entryevents.Arrived(now_ms=now_ms, number=caller.number, call=call))

    def body_ready(self, caller):
        """Hand the reducer a body that is buffered whole or that streams."""
        needs_claim = caller.head.key and not caller.head.is_idempotent
        if needs_claim and caller.body.is_streaming:
            limit = callerhttp.MAX_BUFFERED_BODY_BYTES
            reason = f"a body with Idempotency-Key may have {limit} bytes"
            self.caller_disconnected(caller, is_body_truncated=True)
            caller.answer(413, outcome.Verdict.NOT_RUN, reason)
            return
        digest = claimcalls.digest(caller) if needs_claim else ""
        self.handle(
            entryevents.BodyReady(
                now_ms=clock.monotonic_ms(),
                number=caller.number,
                digest=digest,
                seed=_seed(),
            )
        )

    def caller_disconnected(self, caller, is_body_truncated):
        """Tell the reducer that a caller left."""
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
        """Reduce an event and carry out its effects, then those that follow."""
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
            # One failed effect must not take the others of the event with it.
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
                seed=_seed(),
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
            event = _failure(attempt.caller, effect, error)
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

    def _forward(self, effect):
        self.callers[effect.number].start_response()

    def _cancel(self, effect):
        task = self._attempts.pop(effect.number, None)
        if task is not None:
            task.cancel()

    # Final effects

    def _answer(self, effect):
        caller = self._end(effect, effect.verdict, effect.status)
        caller.answer(
            effect.status, effect.verdict, effect.reason, effect.retry_after_ms
        )

    def _replay(self, effect):
        caller = self._end(effect, outcome.Verdict.RAN, effect.response.status)
        caller.replay(effect.response)

    def _complete(self, effect):
        status = self.callers[effect.number].response_status
        self._end(effect, outcome.Verdict.RAN, status).finish_response()

    def _abort_response(self, effect):
        caller = self._end(effect, outcome.Verdict.RAN, 0)
        self.log.warning(
            "response_cut", request=caller.request_id, reason=effect.reason
        )
        caller.abort_response()

    def _discard_caller(self, effect):
        # The timer stays, since the attempt may go on without its caller.
        self._end(effect, None, 0, keeps_timer=True)

    def _end(self, effect, verdict, status, keeps_timer=False):
        """Drop a caller from the table and count how its request ended."""
        caller = self.callers.pop(effect.number)
        if not keeps_timer:
            caller.timer.cancel()
        duration_s = self.time_s() - caller.started_s
        self.metrics.observe(self.state, caller.head, verdict, status, duration_s)
        return caller


def _failure(caller, effect, error):
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
        seed=_seed(),
    )


def _seed():
    return random.getrandbits(64)


def _of_claims(dispatcher, effect):
    dispatcher.claims.execute(effect)


_ON_EFFECT = {
    entryevents.Dial: RequestDispatcher._dial,
    entryevents.Disconnect: RequestDispatcher._disconnect,
    entryevents.Answer: RequestDispatcher._answer,
    entryevents.Replay: RequestDispatcher._replay,
    entryevents.Forward: RequestDispatcher._forward,
    entryevents.Complete: RequestDispatcher._complete,
    entryevents.AbortResponse: RequestDispatcher._abort_response,
    entryevents.DiscardCaller: RequestDispatcher._discard_caller,
    entryevents.Send: RequestDispatcher._send,
    entryevents.Cancel: RequestDispatcher._cancel,
    entryevents.StartTimer: RequestDispatcher._start_timer,
    entryevents.MakeClaim: _of_claims,
    entryevents.ReleaseClaim: _of_claims,
    entryevents.SettleClaim: _of_claims,
    entryevents.QueryKey: _of_claims,
}
