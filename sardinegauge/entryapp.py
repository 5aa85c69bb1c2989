"""Application of the entry: HTTP server, links to agents, state client, timers."""

import argparse
import asyncio
import collections
import os
import random
import time

from sardinegauge import (
    agentlinks,
    application,
    background,
    callerhttp,
    claimcalls,
    clock,
    entry,
    entryevents,
    entryhttp,
    entrymetrics,
    errors,
    forwarding,
    link,
    logs,
    messages,
    outcome,
    settings,
)

POLL_INTERVAL_S = 0.5
# Longest silence of a caller within its body.
BODY_STALL_S = 10.0
DRAIN_CHECK_S = 0.02

KNOWN_SETTINGS = [
    settings.Setting(name="name", kind="text", default="entry"),
    settings.Setting(name="listen", kind="address", default=""),
    settings.Setting(name="advertise", kind="address", default=""),
    settings.Setting(name="metrics_listen", kind="address", default=""),
    settings.Setting(name="failure_domain", kind="text", default=""),
    settings.Setting(
        name="log_level",
        kind="text",
        default="info",
        choices=("debug", "info", "warning", "error"),
    ),
    settings.Setting(
        name="drain_limit_s", kind="number", default=30.0, minimum=0, maximum=3600
    ),
    settings.Setting(
        name="drain_notice_s",
        kind="number",
        default=1.0,
        minimum=0,
        maximum=60,
        text="time in which requests are still taken after readiness is withdrawn",
    ),
    settings.Setting(name="state", kind="addresses"),
    settings.Setting(name="http_listen", kind="address"),
    settings.Setting(name="operator_tokens", kind="table", default={}),
    settings.Setting(
        name="max_concurrent", kind="integer", default=1000, minimum=1, maximum=100_000
    ),
    settings.Setting(
        name="max_concurrent_per_tenant",
        kind="integer",
        default=400,
        minimum=1,
        maximum=100_000,
    ),
    settings.Setting(
        name="retry_budget", kind="number", default=0.1, minimum=0, maximum=1
    ),
]


class EntryApplication(application.Application):
    """The entry process.

    Parameters
    ----------
    config : settings.Settings
        Checked settings, see `KNOWN_SETTINGS`.
    state_client : stateclient.StateClient
        Carries polls, proposals and queries; started and stopped by the application.
    """

    def __init__(self, config, state_client):
        super().__init__(config.name)
        self.config = config
        self.drain_limit_s = config.drain_limit_s
        self.metrics = entrymetrics.EntryMetrics()
        self.state = entry.State(
            config.max_concurrent, config.max_concurrent_per_tenant, config.retry_budget
        )
        self.callers = {}
        self.is_draining = False
        hello = _hello(config)
        self.client = state_client
        self.links = agentlinks.AgentLinks(hello, self._link_opened, self._link_closed)
        self.claims = claimcalls.ClaimCalls(
            self.client, self.links, self.handle, self.log
        )
        self.front = None
        self.server = None
        self.metrics_server = None
        self._attempts = {}
        self._events = collections.deque()
        self._is_handling = False
        self._next_number = 0
        # Tokens of claims must differ between runs of an entry with the same name.
        self._run = os.urandom(6).hex()

    # Life cycle

    async def on_start(self):
        """Open the HTTP servers and begin to poll."""
        self.client.start()
        tokens = self.config.operator_tokens
        reserved = entryhttp.reserved_routes(self, self.client, tokens)
        self.front = entryhttp.Front(self, reserved)
        self.server = entryhttp.serve(self.front, self.config.http_listen)
        if self.config.metrics_listen:
            self.metrics_server = entryhttp.serve(reserved, self.config.metrics_listen)
        self.every(POLL_INTERVAL_S, self._poll_due)
        background.spawn(self._poll())

    async def on_drain(self):
        """Withdraw readiness, then refuse new requests and finish those in flight."""
        self.is_draining = True
        await asyncio.sleep(self.config.drain_notice_s)
        self.handle(entryevents.DrainBegan(now_ms=clock.monotonic_ms()))
        self.server.stop()
        while self._is_busy():
            await asyncio.sleep(DRAIN_CHECK_S)

    def _is_busy(self):
        if self.state.requests or self.callers or self.claims.is_busy:
            return True
        return self.front.is_flushing

    async def on_stop(self):
        """Close servers, links and the state client."""
        for server in (self.server, self.metrics_server):
            if server is not None:
                server.stop()
                await server.close_all_connections()
        for task in self._attempts.values():
            task.cancel()
        self.links.stop()
        self.client.stop()

    def is_ready(self):
        """Tell whether the load balancer may send requests here."""
        return not self.is_draining and self.state.is_ready(clock.monotonic_ms())

    # Events from timers and links

    def _poll_due(self, now_ms):
        self.links.sweep()
        now_s = self.time_s()
        for caller in list(self.callers.values()):
            is_paused = caller.body.buffered > caller.body.limit
            if caller.body.is_ended or is_paused:
                caller.last_byte_s = now_s
            elif now_s - caller.last_byte_s > BODY_STALL_S:
                self._deadline_passed(caller)
        background.spawn(self._poll())

    async def _poll(self):
        sent_ms = clock.monotonic_ms()
        answer = await self.client.poll(
            self.state.config_version, self.state.upstreams.version
        )
        if isinstance(answer, outcome.Answered):
            self.handle(
                entryevents.PollAnswered(
                    now_ms=clock.monotonic_ms(), sent_ms=sent_ms, reply=answer.value
                )
            )

    def _link_opened(self, name, incarnation):
        self.handle(
            entryevents.LinkOpened(
                now_ms=clock.monotonic_ms(), upstream=name, incarnation=incarnation
            )
        )

    def _link_closed(self, name):
        self.handle(entryevents.LinkClosed(now_ms=clock.monotonic_ms(), upstream=name))

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
        token = f"{self.name}/{self._run}/{caller.number}"
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
            self.caller_gone(caller, is_body_cut=True)
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

    def caller_gone(self, caller, is_body_cut):
        """Tell the reducer that a caller left."""
        if caller.number in self.callers:
            self.handle(
                entryevents.CallerGone(
                    now_ms=clock.monotonic_ms(),
                    number=caller.number,
                    is_body_cut=is_body_cut,
                )
            )

    def _deadline_passed(self, caller):
        self.handle(
            entryevents.DeadlinePassed(
                now_ms=clock.monotonic_ms(), number=caller.number
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
                    _ON_EFFECT[type(effect)](self, effect)
        finally:
            self._is_handling = False

    def _dial(self, effect):
        self.log.info("upstream_found", upstream=effect.upstream)
        self.links.dial(effect.upstream, effect.address)

    def _hang_up(self, effect):
        self.log.info("upstream_gone", upstream=effect.upstream)
        self.links.hang_up(effect.upstream)

    def _wait(self, effect):
        self.call_later(effect.delay_ms / 1000, self._wait_passed, effect)

    def _wait_passed(self, effect):
        self.handle(
            entryevents.WaitPassed(
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
        attempt = forwarding.Attempt(
            caller,
            self.links,
            effect.upstream,
            messages.RequestHead(
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
        except forwarding.AttemptError as error:
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
        caller = self.callers.get(effect.number)
        if caller is not None:
            caller.response_head = response
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
        caller = self.callers[effect.number]
        head = caller.response_head
        caller.start_response(head.status, head.headers)

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
        caller = self.callers[effect.number]
        self._end(effect, outcome.Verdict.RAN, caller.response_head.status)
        caller.finish_response()

    def _cut(self, effect):
        caller = self._end(effect, outcome.Verdict.RAN, 0)
        self.log.warning(
            "response_cut", request=caller.request_id, reason=effect.reason
        )
        caller.cut()

    def _forget(self, effect):
        self._end(effect, None, 0)

    def _end(self, effect, verdict, status):
        """Drop a caller from the table and count how its request ended."""
        caller = self.callers.pop(effect.number)
        caller.timer.cancel()
        duration_s = self.time_s() - caller.started_s
        self.metrics.observe(self.state, caller.head, verdict, status, duration_s)
        return caller


def _failure(caller, effect, error):
    refusal = error.refusal or messages.Refusal()
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
        is_body_sent=caller.body.is_touched,
        seed=_seed(),
    )


def _hello(config):
    return messages.Hello(role="entry", name=config.name, protocol=link.PROTOCOL)


def _seed():
    return random.getrandbits(64)


def _of_claims(app, effect):
    app.claims.execute(effect)


_ON_EFFECT = {
    entryevents.Dial: EntryApplication._dial,
    entryevents.HangUp: EntryApplication._hang_up,
    entryevents.Answer: EntryApplication._answer,
    entryevents.Replay: EntryApplication._replay,
    entryevents.Forward: EntryApplication._forward,
    entryevents.Complete: EntryApplication._complete,
    entryevents.Cut: EntryApplication._cut,
    entryevents.Forget: EntryApplication._forget,
    entryevents.Send: EntryApplication._send,
    entryevents.Cancel: EntryApplication._cancel,
    entryevents.Wait: EntryApplication._wait,
    entryevents.MakeClaim: _of_claims,
    entryevents.ReleaseClaim: _of_claims,
    entryevents.SettleClaim: _of_claims,
    entryevents.QueryKey: _of_claims,
}


def main():
    """Run the entry process with ``--settings FILE``."""
    # The module is on another branch until the branches are merged.
    from sardinegauge import stateclient

    parser = argparse.ArgumentParser(prog="sardinegauge-entry")
    parser.add_argument("--settings", required=True, metavar="FILE")
    arguments = parser.parse_args()
    try:
        config = settings.load(arguments.settings, KNOWN_SETTINGS)
    except errors.SettingsError as error:
        parser.exit(error.exit_status, f"sardinegauge-entry: {error}\n")
    logs.configure(config.log_level)
    client = stateclient.StateClient(config.state, _hello(config))
    raise SystemExit(EntryApplication(config, client).run())


if __name__ == "__main__":
    main()
