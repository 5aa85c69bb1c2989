"""One caller's request between its entry's exchange and the upstream's connection."""

import asyncio
import collections

from sardinegauge import clock, errors, outcome
from sardinegauge.agents import requestkeys
from sardinegauge.links import httpcall, httpmessages

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = httpcall.CHUNK_BYTES
# A request that must not be repeated still gets this long to end after its caller
# left, so that the upstream is not interrupted and a claimed response can be stored.
GRACE_S = 30.0

# Head, body and end of a short response go out in one write: each system call costs
# more than the work on a message. Longer pieces are written at once.
FLUSH_DELAY_S = 0.001
FLUSH_BYTES = 16 * 1024
REQUEST_ID_HEADER = "Sardinegauge-Request-Id"
# The deadline holds until the response's head; after that only a response that makes
# no progress for this long is given up on, at the entry as well.
STALL_LIMIT_S = 30.0

NOT_RUN = outcome.Verdict.NOT_RUN.value
MAY_HAVE_RUN = outcome.Verdict.MAY_HAVE_RUN.value
RAN = outcome.Verdict.RAN.value


class BodyError(Exception):
    """The request's body was cut, over its window, or the caller left."""


class Forward(httpcall.Receiver):
    """Carries one request; gives exactly one final answer to its entry.

    Parameters
    ----------
    exchange : link.Exchange
        Closed when the request ends.
    head : httpmessages.RequestHead
    on_gone : callable
        Called once when the caller leaves, the deadline passes, or a response stalls.
    """

    def __init__(self, exchange, head, on_gone):
        self.exchange = exchange
        self.head = head
        self.on_gone = on_gone
        self.deadline_ms = clock.monotonic_ms() + head.deadline_ms
        self.status = 0
        self.headers = []
        self.stored = bytearray() if head.key and head.claim_index else None
        self.length = 0
        self.is_answered = False
        self.is_written = False
        self._window = WINDOW_BYTES
        self._body_window = WINDOW_BYTES
        self._body_length = 0
        self._chunks = collections.deque()
        self._is_body_ended = not head.has_body
        self._is_body_broken = False
        self._wake = asyncio.Event()
        self._stream = None
        self._outbox = []
        self._flush_timer = None
        self._grace_timer = None
        self._deadline_timer = None
        self._has_left = False
        self._progress_s = 0.0
        self._written = None

    def start(self):
        """Begin to take messages of the entry and to watch the deadline."""
        self.exchange.listen(self._take)
        left_s = (self.deadline_ms - clock.monotonic_ms()) / 1000
        loop = asyncio.get_running_loop()
        self._deadline_timer = loop.call_later(
            max(0.0, left_s), self._leave, "the deadline has passed"
        )

    @property
    def is_claimed(self):
        """Tell whether the response must be stored under a key."""
        return bool(self.head.key and self.head.claim_index)

    # From the entry

    def _take(self, message):
        """Take one message of the entry; None says that the link closed."""
        if message is None:
            self.is_answered = True
            self._leave("the link to the entry closed")
        elif isinstance(message, httpmessages.Credit):
            self._window += message.size
        elif isinstance(message, httpmessages.BodyChunk):
            self._body_length += len(message.data)
            self._body_window -= len(message.data)
            if self._body_window < 0 or len(message.data) > CHUNK_BYTES:
                self._is_body_broken = True
            if not self._is_body_broken:
                self._chunks.append(message.data)
        elif isinstance(message, httpmessages.BodyEnd):
            self._is_body_ended = True
            self._is_body_broken |= message.length != self._body_length
        elif isinstance(message, httpmessages.Abort):
            self.is_answered = True
            self._leave("the entry aborted")
        self._wake.set()

    def _leave(self, reason):
        """Answer at once, and cut what need not end for a stored response."""
        if self._has_left:
            return
        self._has_left = True
        self._deadline_timer.cancel()
        self.abort(MAY_HAVE_RUN if self.is_written else NOT_RUN, reason)
        if not self._is_body_ended:
            self._is_body_broken = True
        self._wake.set()
        self.on_gone()
        if self._stream is None:
            return
        may_repeat = self.head.idempotent and not self.is_claimed
        if may_repeat or not self._is_body_ended:
            self._stream.close()
        else:
            loop = asyncio.get_running_loop()
            self._grace_timer = loop.call_later(GRACE_S, self._stream.close)

    async def _body(self):
        """Yield the request's body; give credit for what the upstream took."""
        while True:
            while self._chunks:
                data = self._chunks.popleft()
                yield data
                self._body_window += len(data)
                self._send(httpmessages.Credit(size=len(data)))
            if self._is_body_broken:
                raise BodyError("the request body was cut")
            if self._is_body_ended:
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

    def _send_soon(self, message):
        """Queue a message for one write with those that follow at once."""
        self._outbox.append(message)
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self):
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        batch, self._outbox = self._outbox, []
        if not batch or self.is_answered:
            return
        try:
            self._written = self.exchange.send_all(batch)
        except errors.LinkClosedError:
            self.is_answered = True

    def _answer(self, message):
        """Send the final answer, unless there was one."""
        self._outbox.append(message)
        self._flush()
        self.is_answered = True

    def abort(self, verdict, reason):
        """End the exchange with a verdict."""
        self._answer(httpmessages.Abort(verdict=verdict, reason=reason))

    def refuse(self, reason, retry_after_ms, is_draining, in_flight):
        """Refuse the request with not-run and end the exchange."""
        self._answer(
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
        """Answer with a stored response; it fits into the first window."""
        head = httpmessages.ResponseHead(status=entry.status, headers=entry.headers)
        self._outbox.append(head)
        if entry.body:
            self._outbox.append(httpmessages.BodyChunk(data=entry.body))
        self._answer(httpmessages.BodyEnd(length=len(entry.body)))
        self.close()

    def close(self):
        """Stop listening to the entry and forget the exchange."""
        self._has_left = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._grace_timer is not None:
            # The connection may carry another request by then.
            self._grace_timer.cancel()
        self.exchange.close()

    # To and from the upstream

    async def run(self, pool, make_head, may_start):
        """Send the request to the upstream; return the verdict of the request.

        Parameters
        ----------
        pool : httpcall.Pool
            Connections to the upstream's HTTP server.
        make_head : callable
            Builds the `httpmessages.ResponseHead` of a status and headers.
        may_start : callable
            Asked right before the first byte is written, since the process may have
            been frozen after the request was admitted.

        Raises
        ------
        httpcall.ConnectError
            After the final answer, if the upstream took no connection.
        """
        self.make_head = make_head
        try:
            return await self._run(pool, may_start)
        finally:
            self.close()

    async def _run(self, pool, may_start):
        # A connection may close just as a request is written to it. Only a request
        # that may be repeated is worth that risk.
        head = self.head
        is_repeatable = head.idempotent and not head.has_body and not self.is_claimed
        stream = pool.take() if is_repeatable else None
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
        """Use one connection; return None if a reused one turned out closed."""
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
            pool.give(stream)
        self._answer(httpmessages.BodyEnd(length=self.length))
        await self._wait_written()
        return RAN

    async def _wait_written(self):
        """Wait until the socket took the answer, since a drain closes links next."""
        if self._written is None or self._written.done():
            return
        await asyncio.wait((self._written,), timeout=STALL_LIMIT_S)

    async def _exchange(self, address):
        head = self.head
        body = self._body() if head.has_body else None
        headers = [
            (header.name, header.value)
            for header in head.headers
            if header.name.lower() != REQUEST_ID_HEADER.lower()
        ]
        # The upstream's logs name the same request id as the caller's response.
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
        self._send_soon(self.make_head(status, self.headers))
        self._deadline_timer.cancel()
        self._progress_s = asyncio.get_running_loop().time()
        self._watch_stall()

    def _watch_stall(self):
        """Give up on a response that made no progress for `STALL_LIMIT_S`."""
        loop = asyncio.get_running_loop()
        left_s = self._progress_s + STALL_LIMIT_S - loop.time()
        if left_s <= 0:
            self._leave("the response stalled")
        elif not self.is_answered:
            self._deadline_timer = loop.call_later(left_s, self._watch_stall)

    async def on_chunk(self, data):
        """See `httpcall.Receiver`; waits for credit of the entry."""
        if self.stored is not None:
            self.stored += data
            if len(self.stored) > requestkeys.MAX_BODY_BYTES:
                self.stored = None
        while not self.is_answered and self._window < len(data):
            self._wake.clear()
            await self._wake.wait()
        self._window -= len(data)
        self._progress_s = asyncio.get_running_loop().time()
        self.length += len(data)
        self._send_soon(httpmessages.BodyChunk(data=data))
        if len(data) >= FLUSH_BYTES:
            self._flush()
