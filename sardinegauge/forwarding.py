"""One caller's request between its entry's exchange and the upstream's connection."""

import asyncio
import collections

from sardinegauge import (
    background,
    clock,
    errors,
    httpcall,
    messages,
    outcome,
    requestkeys,
)

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = httpcall.CHUNK_BYTES
# A claimed request whose caller left still gets this long to end, so that its response
# can be stored.
CLAIMED_GRACE_S = 30.0

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
    head : messages.RequestHead
    on_gone : callable
        Called once when the caller leaves or the deadline passes.
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
        self._reader = background.spawn(self._read_entry())

    @property
    def is_claimed(self):
        """Tell whether the response must be stored under a key."""
        return bool(self.head.key and self.head.claim_index)

    # From the entry

    async def _read_entry(self):
        try:
            while True:
                left_s = (self.deadline_ms - clock.monotonic_ms()) / 1000
                message = await self.exchange.receive(max(0.0, left_s))
                if not self._take(message):
                    break
        except TimeoutError:
            self._leave("the deadline has passed")
        except errors.LinkClosedError:
            self.is_answered = True
            self._leave("the link to the entry closed")

    def _take(self, message):
        """Take one message; return False when the exchange is over."""
        if isinstance(message, messages.Credit):
            self._window += message.size
        elif isinstance(message, messages.BodyChunk):
            self._body_length += len(message.data)
            self._body_window -= len(message.data)
            if self._body_window < 0 or len(message.data) > CHUNK_BYTES:
                self._is_body_broken = True
            self._chunks.append(message.data)
        elif isinstance(message, messages.BodyEnd):
            self._is_body_ended = True
            self._is_body_broken |= message.length != self._body_length
        elif isinstance(message, messages.Abort):
            self.is_answered = True
            self._leave("the entry aborted")
            return False
        self._wake.set()
        return True

    def _leave(self, reason):
        """Answer at once, and cut what need not end for a stored response."""
        self.abort(MAY_HAVE_RUN if self.is_written else NOT_RUN, reason)
        if not self._is_body_ended:
            self._is_body_broken = True
        self._wake.set()
        self.on_gone()
        if self._stream is None:
            return
        if self.is_claimed and self._is_body_ended:
            loop = asyncio.get_running_loop()
            loop.call_later(CLAIMED_GRACE_S, self._stream.close)
        elif self.head.idempotent or not self._is_body_ended:
            self._stream.close()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(CLAIMED_GRACE_S, self._stream.close)

    async def _body(self):
        """Yield the request's body; give credit for what the upstream took."""
        while True:
            while self._chunks:
                data = self._chunks.popleft()
                yield data
                self._body_window += len(data)
                self._send(messages.Credit(size=len(data)))
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

    def _answer(self, message):
        """Send the final answer, unless there was one."""
        self._send(message)
        self.is_answered = True

    def abort(self, verdict, reason):
        """End the exchange with a verdict."""
        self._answer(messages.Abort(verdict=verdict, reason=reason))

    def refuse(self, reason, retry_after_ms, is_draining, in_flight):
        """Refuse the request with not-run and end the exchange."""
        self._answer(
            messages.Refusal(
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
        self._send(messages.ResponseHead(status=entry.status, headers=entry.headers))
        if entry.body:
            self._send(messages.BodyChunk(data=entry.body))
        self._answer(messages.BodyEnd(length=len(entry.body)))
        self.close()

    def close(self):
        """Stop reading from the entry and forget the exchange."""
        self._reader.cancel()
        self.exchange.close()

    # To and from the upstream

    async def run(self, address, make_head, may_start):
        """Send the request to the upstream; return the verdict of the request.

        Parameters
        ----------
        address : str
            The upstream's HTTP server.
        make_head : callable
            Builds the `messages.ResponseHead` of a status and headers.
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
            return await self._run(address, may_start)
        finally:
            self.close()

    async def _run(self, address, may_start):
        try:
            self._stream = await httpcall.connect(address)
        except httpcall.ConnectError as error:
            self.abort(NOT_RUN, f"upstream: {error}")
            raise
        now_ms = clock.monotonic_ms()
        if self.is_answered or now_ms >= self.deadline_ms or not may_start(now_ms):
            self._stream.close()
            self.abort(NOT_RUN, "the deadline or the confirmation has passed")
            return NOT_RUN
        self.is_written = True
        head = self.head
        body = self._body() if head.has_body else None
        headers = [(header.name, header.value) for header in head.headers]
        try:
            await httpcall.exchange(
                self._stream, address, head.method, head.path, headers, body, self
            )
        except (httpcall.TruncatedError, BodyError, ValueError) as error:
            self.abort(MAY_HAVE_RUN, f"upstream: {error or 'connection closed'}")
            return MAY_HAVE_RUN
        self._answer(messages.BodyEnd(length=self.length))
        return RAN

    async def on_head(self, status, headers):
        """See `httpcall.Receiver`."""
        self.status = status
        self.headers = [messages.Header(name=n, value=v) for n, v in headers]
        self._send(self.make_head(status, self.headers))

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
        self.length += len(data)
        self._send(messages.BodyChunk(data=data))
