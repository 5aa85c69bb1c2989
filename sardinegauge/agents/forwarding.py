"""Forwards one request from the exchange with an entry to the upstream."""

import asyncio
import collections

from sardinegauge import clock, errors, outcome
from sardinegauge.agents import requestkeys
from sardinegauge.links import httpcall, httpmessages

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = httpcall.CHUNK_BYTES
# Time that a request that must not be repeated has to complete after its caller left,
# so that the upstream is not interrupted and the response of a claimed key can be
# stored.
COMPLETION_GRACE_S = 30.0

# Head, body and end of a short response are sent in one write, since a system call
# costs more than the processing of a message. Chunks of FLUSH_BYTES or more are written
# at once.
FLUSH_DELAY_S = 0.001
FLUSH_BYTES = 16 * 1024
REQUEST_ID_HEADER = "Sardinegauge-Request-Id"
# The deadline applies until the response head arrives. After that, a response is
# aborted only if it makes no progress for this time; the entry applies the same rule.
STALL_TIMEOUT_S = 30.0

NOT_RUN = outcome.Verdict.NOT_RUN.value
MAY_HAVE_RUN = outcome.Verdict.MAY_HAVE_RUN.value
RAN = outcome.Verdict.RAN.value


class BodyError(Exception):
    """The request body is truncated or exceeds its window, or the caller left."""


class RequestForwarder(httpcall.Receiver):
    """Forwards one request and sends exactly one final message to the entry.

    Parameters
    ----------
    exchange : exchanges.Exchange
        Exchange with the entry, closed when the request ends.
    head : httpmessages.RequestHead
    on_abandoned : callable
        Called once when the caller leaves, the deadline passes, or a response stalls.
    """

    def __init__(self, exchange, head, on_abandoned):
        self.exchange = exchange
        self.head = head
        self.on_abandoned = on_abandoned
        self.deadline_ms = clock.monotonic_ms() + head.deadline_ms
        self.status = 0
        self.headers = []
        self.stored_body = bytearray() if head.key and head.claim_index else None
        self.length = 0
        self.is_answered = False
        self.is_written = False
        self._response_window = WINDOW_BYTES
        self._request_window = WINDOW_BYTES
        self._request_length = 0
        self._chunks = collections.deque()
        self._is_body_complete = not head.has_body
        self._is_body_invalid = False
        self._wake = asyncio.Event()
        self._stream = None
        self._batch = []
        self._flush_timer = None
        self._grace_timer = None
        self._deadline_timer = None
        self._is_detached = False
        self._progress_at_s = 0.0
        self._write_future = None

    def start(self):
        """Start to receive messages of the entry, and start the deadline timer."""
        self.exchange.set_listener(self._on_message)
        remaining_s = (self.deadline_ms - clock.monotonic_ms()) / 1000
        loop = asyncio.get_running_loop()
        self._deadline_timer = loop.call_later(
            max(0.0, remaining_s), self._abandon, "the deadline has passed"
        )

    @property
    def is_claimed(self):
        """Whether the response must be stored under a request key."""
        return bool(self.head.key and self.head.claim_index)

    # From the entry

    def _on_message(self, message):
        """Handle one message of the entry; None if the link has closed."""
        if message is None:
            self.is_answered = True
            self._abandon("the link to the entry closed")
        elif isinstance(message, httpmessages.Credit):
            self._response_window += message.size
        elif isinstance(message, httpmessages.BodyChunk):
            self._request_length += len(message.data)
            self._request_window -= len(message.data)
            if self._request_window < 0 or len(message.data) > CHUNK_BYTES:
                self._is_body_invalid = True
            if not self._is_body_invalid:
                self._chunks.append(message.data)
        elif isinstance(message, httpmessages.BodyEnd):
            self._is_body_complete = True
            self._is_body_invalid |= message.length != self._request_length
        elif isinstance(message, httpmessages.Abort):
            self.is_answered = True
            self._abandon("the entry aborted")
        self._wake.set()

    def _abandon(self, reason):
        """Send an abort to the entry, and stop the request at the upstream if allowed.

        The upstream connection of a request that must not be repeated stays open for
        `COMPLETION_GRACE_S` if the request body is complete.
        """
        if self._is_detached:
            return
        self._is_detached = True
        self._deadline_timer.cancel()
        self.abort(MAY_HAVE_RUN if self.is_written else NOT_RUN, reason)
        if not self._is_body_complete:
            self._is_body_invalid = True
        self._wake.set()
        self.on_abandoned()
        if self._stream is None:
            return
        may_repeat = self.head.idempotent and not self.is_claimed
        if may_repeat or not self._is_body_complete:
            self._stream.close()
        else:
            loop = asyncio.get_running_loop()
            self._grace_timer = loop.call_later(COMPLETION_GRACE_S, self._stream.close)

    async def _read_body(self):
        """Yield the request body; grant credit for the chunks sent to the upstream."""
        while True:
            while self._chunks:
                data = self._chunks.popleft()
                yield data
                self._request_window += len(data)
                self._send(httpmessages.Credit(size=len(data)))
            if self._is_body_invalid:
                raise BodyError("the request body was cut")
            if self._is_body_complete:
                return
            self._wake.clear()
            await self._wake.wait()

    # To the entry

    def _send(self, message):
        if self.is_answered:
            return
        try:
            self.exchange.send(message)
        except errors.LinkClosedError:
            self.is_answered = True

    def _send_batched(self, message):
        """Queue a message that is written together with those that follow shortly."""
        self._batch.append(message)
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self):
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        batch, self._batch = self._batch, []
        if not batch or self.is_answered:
            return
        try:
            self._write_future = self.exchange.send_batch(batch)
        except errors.LinkClosedError:
            self.is_answered = True

    def _send_final(self, message):
        """Send the final message, unless one was sent before."""
        self._batch.append(message)
        self._flush()
        self.is_answered = True

    def abort(self, verdict, reason):
        """End the exchange with a verdict."""
        self._send_final(httpmessages.Abort(verdict=verdict, reason=reason))

    def refuse(self, reason, retry_after_ms, is_draining, in_flight):
        """Refuse the request with the verdict not-run and end the exchange."""
        self._send_final(
            httpmessages.Refusal(
                verdict=NOT_RUN,
                reason=reason,
                retry_after_ms=retry_after_ms,
                draining=is_draining,
                in_flight=in_flight,
            )
        )
        self.close()

    def replay(self, entry):
        """Send a stored response, which always fits into the initial window."""
        head = httpmessages.ResponseHead(status=entry.status, headers=entry.headers)
        self._batch.append(head)
        if entry.body:
            self._batch.append(httpmessages.BodyChunk(data=entry.body))
        self._send_final(httpmessages.BodyEnd(length=len(entry.body)))
        self.close()

    def close(self):
        """Cancel the timers and close the exchange."""
        self._is_detached = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._grace_timer is not None:
            # The connection may already be in use by another request.
            self._grace_timer.cancel()
        self.exchange.close()

    # To and from the upstream

    async def run(self, pool, make_head, may_start):
        """Send the request to the upstream and return the verdict.

        Parameters
        ----------
        pool : httpcall.Pool
            Connections to the upstream's HTTP server.
        make_head : callable
            Returns the `httpmessages.ResponseHead` for a status and headers.
        may_start : callable
            Called with the current time right before the first byte is written, since
            the process may have been frozen after the request was admitted.

        Raises
        ------
        httpcall.ConnectError
            After the final message, if no connection to the upstream could be made.
        """
        self.make_head = make_head
        try:
            return await self._run(pool, may_start)
        finally:
            self.close()

    async def _run(self, pool, may_start):
        # An idle connection may close just as a request is written to it, so only a
        # request that may be repeated uses one.
        head = self.head
        may_reuse = head.idempotent and not head.has_body and not self.is_claimed
        stream = pool.acquire() if may_reuse else None
        if stream is not None:
            verdict = await self._attempt(pool, stream, may_start)
            if verdict is not None:
                return verdict
        try:
            stream = await pool.connect()
        except httpcall.ConnectError as error:
            verdict = MAY_HAVE_RUN if self.is_written else NOT_RUN
            self.abort(verdict, f"upstream: {error}")
            raise
        return await self._attempt(pool, stream, may_start, is_last=True)

    async def _attempt(self, pool, stream, may_start, is_last=False):
        """Send the request on `stream`; return None if a reused stream was closed."""
        self._stream = stream
        now_ms = clock.monotonic_ms()
        try:
            if self.is_answered or now_ms >= self.deadline_ms or not may_start(now_ms):
                verdict = MAY_HAVE_RUN if self.is_written else NOT_RUN
                self.abort(verdict, "the deadline or the confirmation has passed")
                return verdict
            self.is_written = True
            await self._exchange(pool.address)
        except (httpcall.TruncatedError, BodyError, ValueError) as error:
            stream.close()
            if not is_last and not self.status and not self.is_answered:
                return None
            self.abort(MAY_HAVE_RUN, f"upstream: {error or 'connection closed'}")
            return MAY_HAVE_RUN
        finally:
            pool.release(stream)
        self._send_final(httpmessages.BodyEnd(length=self.length))
        await self._wait_written()
        return RAN

    async def _wait_written(self):
        """Wait until the response is written, since a drain then closes the links."""
        if self._write_future is None or self._write_future.done():
            return
        await asyncio.wait((self._write_future,), timeout=STALL_TIMEOUT_S)

    async def _exchange(self, address):
        head = self.head
        body = self._read_body() if head.has_body else None
        headers = [
            (header.name, header.value)
            for header in head.headers
            if header.name.lower() != REQUEST_ID_HEADER.lower()
        ]
        # Logs of the upstream can then be matched with the response to the caller.
        headers.append((REQUEST_ID_HEADER, head.request_id))
        await httpcall.exchange(
            self._stream,
            address,
            head.method,
            head.path,
            headers,
            body,
            self,
            keep_alive=True,
        )

    async def on_head(self, status, headers):
        """See `httpcall.Receiver`."""
        self.status = status
        self.headers = [httpmessages.Header(name=n, value=v) for n, v in headers]
        self._send_batched(self.make_head(status, self.headers))
        self._deadline_timer.cancel()
        self._progress_at_s = asyncio.get_running_loop().time()
        self._check_stall()

    def _check_stall(self):
        """Abort a response without progress for `STALL_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        remaining_s = self._progress_at_s + STALL_TIMEOUT_S - loop.time()
        if remaining_s <= 0:
            self._abandon("the response stalled")
        elif not self.is_answered:
            self._deadline_timer = loop.call_later(remaining_s, self._check_stall)

    async def on_chunk(self, data):
        """See `httpcall.Receiver`; waits for credit from the entry."""
        if self.stored_body is not None:
            self.stored_body += data
            if len(self.stored_body) > requestkeys.MAX_BODY_BYTES:
                self.stored_body = None
        while not self.is_answered and self._response_window < len(data):
            self._wake.clear()
            await self._wake.wait()
        self._response_window -= len(data)
        self._progress_at_s = asyncio.get_running_loop().time()
        self.length += len(data)
        self._send_batched(httpmessages.BodyChunk(data=data))
        if len(data) >= FLUSH_BYTES:
            self._flush()
