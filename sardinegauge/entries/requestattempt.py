"""One attempt of a request: its exchange with an agent, both bodies streamed."""

import asyncio
import contextlib

from tornado import httputil

from sardinegauge import background, errors, outcome
from sardinegauge.entries import agentlinks, requestbody
from sardinegauge.links import httpmessages

CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024
# Credit is returned in portions of half a window, which halves the frames and still
# keeps the sender going.
CREDIT_PORTION_BYTES = WINDOW_BYTES // 2
# Longest silence of an agent within a response, and of a caller that takes one.
STALL_LIMIT_S = 30.0
GONE_CHECK_S = 0.25
MAX_KEPT_BODY_BYTES = 64 * 1024


class AttemptError(Exception):
    """The attempt ended without a whole response.

    `is_caller_fault` tells that it says nothing about the upstream.
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
        Gives the request and takes the response.
    links : agentlinks.AgentLinks
        Links to the agents.
    upstream : str
        Name of the upstream.
    head : httpmessages.RequestHead
        First message of the exchange.
    on_head : callable
        Called with the `httpmessages.ResponseHead` before any byte of the response goes
        to the caller.
    """

    def __init__(self, caller, links, upstream, head, on_head):
        self.caller = caller
        self.links = links
        self.upstream = upstream
        self.head = head
        self._on_head = on_head
        self._window = WINDOW_BYTES
        self._window_grew = asyncio.Event()
        self._kept = bytearray() if head.claim_index else None
        self._lock = None

    async def run(self):
        """Run the exchange.

        Returns
        -------
        httpmessages.KeyReply or None
            What a claim keeps of the response, None for a request without one.

        Raises
        ------
        AttemptError
            With the verdict, if there is no whole response.
        """
        try:
            exchange, self._lock = self.links.open_exchange(
                self.upstream, self.head.incarnation, self.head
            )
        except errors.LinkClosedError as error:
            raise AttemptError(outcome.Verdict.NOT_RUN, str(error)) from error
        sender = None
        try:
            if self.head.has_body:
                sender = await self._send_body(exchange)
            return await self._take_response(exchange)
        except errors.LinkClosedError as error:
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, str(error)) from error
        except TimeoutError as error:
            _abort(exchange, "no progress")
            reason = "the upstream sent nothing for too long"
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, reason) from error
        except asyncio.CancelledError:
            _abort(exchange, "cancelled")
            raise
        finally:
            if sender is not None:
                sender.cancel()
            exchange.close()

    async def _send_body(self, exchange):
        """Send a buffered body; return the task that sends a streaming one."""
        if self.caller.body.is_streaming:
            return background.spawn(self._stream_body(exchange))
        data = self.caller.body.contents()
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = httpmessages.BodyChunk(data=data[start : start + CHUNK_BYTES])
            await agentlinks.send_chunk(exchange, self._lock, chunk)
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
                    piece = data[start : start + CHUNK_BYTES]
                    await self._take_window(len(piece))
                    chunk = httpmessages.BodyChunk(data=piece)
                    await agentlinks.send_chunk(exchange, self._lock, chunk)
                length += len(data)
            exchange.send(httpmessages.BodyEnd(length=length))
        except (errors.LinkClosedError, requestbody.BodyAbortedError):
            pass  # The exchange ends by its closed link or by the caller's absence.

    async def _take_window(self, size):
        while self._window < size:
            self._window_grew.clear()
            await self._window_grew.wait()
        self._window -= size

    async def _receive(self, exchange, timeout_s):
        """Return the next message that is no credit."""
        while True:
            message = await exchange.receive(timeout_s)
            if isinstance(message, httpmessages.Credit):
                self._window += message.size
                self._window_grew.set()
            elif isinstance(message, httpmessages.Abort):
                verdict = _verdict_of(message.verdict)
                raise AttemptError(verdict, message.reason)
            else:
                return message

    async def _take_response(self, exchange):
        # The deadline timer of the request bounds this wait; the limit is a backstop.
        timeout_s = self.head.deadline_ms / 1000 + STALL_LIMIT_S
        head = await self._receive(exchange, timeout_s)
        if isinstance(head, httpmessages.Refusal):
            raise AttemptError(_verdict_of(head.verdict), head.reason, head)
        if not isinstance(head, httpmessages.ResponseHead):
            _abort(exchange, "response expected")
            reason = f"the agent sent {type(head).__name__} in place of a response"
            raise AttemptError(outcome.Verdict.MAY_HAVE_RUN, reason)
        try:
            self.caller.prepare_response(head)
        except ValueError as error:
            _abort(exchange, "malformed response")
            reason = f"the upstream's response is malformed: {error}"
            raise AttemptError(outcome.Verdict.RAN, reason) from error
        self._on_head(head)
        await self._take_body(exchange)
        if self._kept is None:
            return None
        is_kept = len(self._kept) <= MAX_KEPT_BODY_BYTES
        return httpmessages.KeyReply(
            state="finished",
            status=head.status,
            headers=head.headers,
            body=bytes(self._kept) if is_kept else b"",
            is_body_kept=is_kept,
        )

    async def _take_body(self, exchange):
        length = consumed = 0
        while True:
            message = await self._receive(exchange, STALL_LIMIT_S)
            if isinstance(message, httpmessages.BodyEnd):
                break
            if not isinstance(message, httpmessages.BodyChunk):
                _abort(exchange, "body expected")
                raise AttemptError(outcome.Verdict.RAN, "the upstream sent no body")
            length += len(message.data)
            self._keep(message.data)
            await self._write(exchange, message.data)
            consumed += len(message.data)
            if consumed >= CREDIT_PORTION_BYTES:
                # The rest may have arrived already from an agent that has stopped.
                with contextlib.suppress(errors.LinkClosedError):
                    exchange.send(httpmessages.Credit(size=consumed))
                consumed = 0
        if message.length != length:
            reason = f"response of {message.length} bytes ended after {length}"
            raise AttemptError(outcome.Verdict.RAN, reason)

    def _keep(self, data):
        if self._kept is not None and len(self._kept) <= MAX_KEPT_BODY_BYTES:
            self._kept += data

    async def _write(self, exchange, data):
        """Write to the caller; a caller that is gone takes everything."""
        try:
            pending = self.caller.write(data)
            if pending is not None:
                await self._flushed(exchange, pending)
        except httputil.HTTPOutputError as error:
            _abort(exchange, "the body is longer than its head says")
            raise AttemptError(outcome.Verdict.RAN, str(error)) from error

    async def _flushed(self, exchange, pending):
        """Wait until the caller's connection took the bytes, or is gone.

        The future of a write stays open when its connection closes, so the absence of
        the caller is checked beside it.
        """
        for _ in range(int(STALL_LIMIT_S / GONE_CHECK_S)):
            await asyncio.wait((pending,), timeout=GONE_CHECK_S)
            if pending.done() or self.caller.is_disconnected:
                return
        reason = "the caller takes no data"
        _abort(exchange, reason)
        raise AttemptError(outcome.Verdict.RAN, reason, is_caller_fault=True)


def _abort(exchange, reason):
    try:
        exchange.send(httpmessages.Abort(reason=reason))
    except errors.LinkClosedError:
        pass


def _verdict_of(text):
    """Return the verdict of a message; an unknown one promises nothing."""
    try:
        return outcome.Verdict(text)
    except ValueError:
        return outcome.Verdict.MAY_HAVE_RUN
