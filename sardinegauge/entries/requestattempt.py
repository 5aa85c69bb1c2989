"""One attempt of a request: an exchange with an agent that streams both bodies."""

import asyncio
import contextlib

from tornado import httputil

from sardinegauge import background, errors, outcome
from sardinegauge.entries import agentlinks, requestbody
from sardinegauge.links import httpmessages

CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024
# Credit is returned in batches of half a window: this halves the number of frames, and
# the sender is not stopped in between.
CREDIT_BATCH_BYTES = WINDOW_BYTES // 2
# Limit of the time without progress, of an agent that sends a response and of a caller
# that receives one.
STALL_TIMEOUT_S = 30.0
DISCONNECT_CHECK_INTERVAL_S = 0.25
MAX_STORED_BODY_BYTES = 64 * 1024


class AttemptError(Exception):
    """The attempt ended without a complete response.

    `refusal` is the agent's `httpmessages.Refusal`, if it refused the request.
    `is_caller_fault` tells that the caller caused the failure, which therefore does
    not count against the upstream.
    """

    def __init__(self, verdict, reason, refusal=None, is_caller_fault=False):
        self.verdict = verdict
        self.reason = reason
        self.is_caller_fault = is_caller_fault
        self.refusal = refusal
        super().__init__(reason)


class Attempt:
    """Sends one request to one agent and its response to the caller.

    Parameters
    ----------
    caller : callerhttp.Caller
        Source of the request and receiver of the response.
    links : agentlinks.AgentLinks
        Links to the agents.
    upstream : str
        Name of the upstream.
    head : httpmessages.RequestHead
        First message of the exchange.
    on_head : callable
        Called with the `httpmessages.ResponseHead` before any byte of the response is
        sent to the caller.
    """

    def __init__(self, caller, links, upstream, head, on_head):
        self.caller = caller
        self.links = links
        self.upstream = upstream
        self.head = head
        self._on_head = on_head
        self._window_bytes = WINDOW_BYTES
        self._credit_received = asyncio.Event()
        self._stored_body = bytearray() if head.claim_index else None
        self._chunk_lock = None

    async def run(self):
        """Run the exchange.

        Returns
        -------
        httpmessages.KeyReply or None
            The response to store in the claim, None for a request without a claim.

        Raises
        ------
        AttemptError
            With the verdict, if the response is not complete.
        """
        try:
            exchange, self._chunk_lock = self.links.open_exchange(
                self.upstream, self.head.incarnation, self.head
            )
        except errors.LinkClosedError as error:
            raise AttemptError(outcome.Verdict.NOT_RUN, str(error)) from error
        sender = None
        try:
            if self.head.has_body:
                sender = await self._send_body(exchange)
            return await self._receive_response(exchange)
        except errors.LinkClosedError as error:
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, str(error)) from error
        except TimeoutError as error:
            _send_abort(exchange, "no progress")
            reason = "the upstream sent nothing for too long"
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, reason) from error
        except asyncio.CancelledError:
            _send_abort(exchange, "cancelled")
            raise
        finally:
            if sender is not None:
                sender.cancel()
            exchange.close()

    async def _send_body(self, exchange):
        """Send a buffered body; return None, or the task that sends a streamed one."""
        if self.caller.body.is_streaming:
            return background.spawn(self._stream_body(exchange))
        data = self.caller.body.contents()
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = httpmessages.BodyChunk(data=data[start : start + CHUNK_BYTES])
            await agentlinks.send_chunk(exchange, self._chunk_lock, chunk)
        exchange.send(httpmessages.BodyEnd(length=len(data)))
        return None

    async def _stream_body(self, exchange):
        length = 0
        try:
            while True:
                data = await self.caller.body.read()
                if not data:
                    break
                for start in range(0, len(data), CHUNK_BYTES):
                    part = data[start : start + CHUNK_BYTES]
                    await self._acquire_window(len(part))
                    chunk = httpmessages.BodyChunk(data=part)
                    await agentlinks.send_chunk(exchange, self._chunk_lock, chunk)
                length += len(data)
            exchange.send(httpmessages.BodyEnd(length=length))
        except (errors.LinkClosedError, requestbody.BodyAbortedError):
            # The closed link or the caller's disconnection ends the exchange.
            pass

    async def _acquire_window(self, size):
        while self._window_bytes < size:
            self._credit_received.clear()
            await self._credit_received.wait()
        self._window_bytes -= size

    async def _receive_message(self, exchange, timeout_s):
        """Return the next message other than credit, which extends the send window."""
        while True:
            message = await exchange.receive(timeout_s)
            if isinstance(message, httpmessages.Credit):
                self._window_bytes += message.size
                self._credit_received.set()
            elif isinstance(message, httpmessages.Abort):
                verdict = _parse_verdict(message.verdict)
                raise AttemptError(verdict, message.reason)
            else:
                return message

    async def _receive_response(self, exchange):
        # The reducer's deadline timer normally ends this wait; the timeout takes
        # effect only if the timer does not.
        timeout_s = self.head.deadline_ms / 1000 + STALL_TIMEOUT_S
        head = await self._receive_message(exchange, timeout_s)
        if isinstance(head, httpmessages.Refusal):
            raise AttemptError(_parse_verdict(head.verdict), head.reason, head)
        if not isinstance(head, httpmessages.ResponseHead):
            _send_abort(exchange, "response expected")
            reason = f"the agent sent {type(head).__name__} in place of a response"
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, reason)
        try:
            self.caller.prepare_response(head)
        except ValueError as error:
            _send_abort(exchange, "malformed response")
            reason = f"the upstream's response is malformed: {error}"
            raise AttemptError(outcome.Verdict.RAN, reason) from error
        self._on_head(head)
        await self._receive_body(exchange)
        if self._stored_body is None:
            return None
        is_stored = len(self._stored_body) <= MAX_STORED_BODY_BYTES
        return httpmessages.KeyReply(
            state="finished",
            status=head.status,
            headers=head.headers,
            body=bytes(self._stored_body) if is_stored else b"",
            is_body_kept=is_stored,
        )

    async def _receive_body(self, exchange):
        length = consumed = 0
        while True:
            message = await self._receive_message(exchange, STALL_TIMEOUT_S)
            if isinstance(message, httpmessages.BodyEnd):
                break
            if not isinstance(message, httpmessages.BodyChunk):
                _send_abort(exchange, "body expected")
                raise AttemptError(
                    outcome.Verdict.RAN, "the agent sent no body after the head"
                )
            length += len(message.data)
            self._store(message.data)
            await self._write(exchange, message.data)
            consumed += len(message.data)
            if consumed >= CREDIT_BATCH_BYTES:
                # The agent may have closed its link after it sent the whole response.
                with contextlib.suppress(errors.LinkClosedError):
                    exchange.send(httpmessages.Credit(size=consumed))
                consumed = 0
        if message.length != length:
            reason = f"response of {message.length} bytes ended after {length}"
            raise AttemptError(outcome.Verdict.RAN, reason)

    def _store(self, data):
        if (
            self._stored_body is not None
            and len(self._stored_body) <= MAX_STORED_BODY_BYTES
        ):
            self._stored_body += data

    async def _write(self, exchange, data):
        """Write to the caller; data for a disconnected caller is discarded."""
        try:
            pending = self.caller.write(data)
            if pending is not None:
                await self._wait_flushed(exchange, pending)
        except httputil.HTTPOutputError as error:
            _send_abort(exchange, "the body is longer than its head says")
            raise AttemptError(outcome.Verdict.RAN, str(error)) from error

    async def _wait_flushed(self, exchange, pending):
        """Wait until the caller's connection has accepted the bytes or is closed.

        The future of a write is never done if the connection closes first, so the
        caller's state is polled as well.
        """
        for _ in range(int(STALL_TIMEOUT_S / DISCONNECT_CHECK_INTERVAL_S)):
            await asyncio.wait((pending,), timeout=DISCONNECT_CHECK_INTERVAL_S)
            if pending.done() or self.caller.is_disconnected:
                return
        reason = "the caller takes no data"
        _send_abort(exchange, reason)
        raise AttemptError(outcome.Verdict.RAN, reason, is_caller_fault=True)


def _send_abort(exchange, reason):
    try:
        exchange.send(httpmessages.Abort(reason=reason))
    except errors.LinkClosedError:
        pass


def _parse_verdict(text):
    """Return the verdict of a message; an unknown one counts as may-have-run."""
    try:
        return outcome.Verdict(text)
    except ValueError:
        return outcome.Verdict.MAY_HAVE_RUN
