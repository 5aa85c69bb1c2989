"""Framed, long-lived TCP links between the processes of one deployment.

Each frame is a 4-byte little-endian length and one encoded `codec.Frame`. Either side
may open exchanges. Each side numbers its own, so the reply flag of a frame says whose
correlation id it holds.
"""

import abc
import asyncio
import contextlib
import logging
import struct

from tornado import iostream, tcpserver

from sardinegauge import background, errors
from sardinegauge.links import codec, exchanges, httpmessages, messages

MAX_FRAME_BYTES = 1 << 20
MAX_SEND_BUFFER_BYTES = 16 << 20
PING_INTERVAL_S = 0.5
# A network partition does not close the socket, so a link without input for this long
# is closed.
SILENCE_TIMEOUT_S = 2.0
# A silence timer that fires later than this means that this process itself was stalled.
STALL_THRESHOLD_S = 0.2
PROTOCOL = 1

_LENGTH_PREFIX = struct.Struct("<I")

log = logging.getLogger(__name__)


class Handler(abc.ABC):
    """Callbacks of a process for its links and the messages received on them."""

    def on_open(self, link):
        """Handle a link that opened, after both hellos were exchanged."""

    def on_close(self, link):
        """Handle a link that closed; its open exchanges have failed already."""

    @abc.abstractmethod
    def on_message(self, link, message):
        """Handle a one-way message."""

    @abc.abstractmethod
    def on_exchange(self, exchange, message):
        """Handle the first message of an exchange that the peer opened."""


class Link:
    """One connection to a peer process, after the exchange of hellos."""

    def __init__(self, stream, handler, hello):
        self.stream = stream
        self.handler = handler
        self.hello = hello
        self.peer = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_not_sent = 0
        self._next_correlation = 1
        self._outbound_by_correlation = {}
        self._inbound_by_correlation = {}
        self._is_open = False
        self._last_received_s = 0.0
        self._last_sent_s = 0.0
        self._silence_timer = None

    @property
    def peer_name(self):
        """Name of the peer from its hello, or its role if the name is empty."""
        if self.peer is None:
            return "unknown"
        return self.peer.name or self.peer.role

    @property
    def is_open(self):
        """Whether messages can be sent."""
        return self._is_open and not self.stream.closed()

    @property
    def exchange_count(self):
        """Number of exchanges that this side opened and has not closed yet."""
        return len(self._outbound_by_correlation)

    async def run(self):
        """Exchange hellos, then read frames until the link closes."""
        self.stream.set_nodelay(True)
        ping_task = None
        self._last_received_s = asyncio.get_running_loop().time()
        self._arm_silence_timer(SILENCE_TIMEOUT_S)
        try:
            self.send_frame(codec.Frame(message=self.hello))
            hello_frame = await self._read_frame()
            if not isinstance(hello_frame.message, messages.Hello):
                raise errors.WireError("the first frame is not a Hello")
            self.peer = hello_frame.message
            self._is_open = True
            self.handler.on_open(self)
            ping_task = background.spawn(self._ping())
            while True:
                self._dispatch(await self._read_frame())
        except (iostream.StreamClosedError, errors.LinkClosedError):
            pass
        except errors.WireError as error:
            log.warning("link_protocol_error peer=%s error=%s", self.peer_name, error)
        except Exception:
            # Only this link is closed; without this, its dialer would end with it.
            log.exception("link_handler_failed peer=%s", self.peer_name)
        finally:
            if ping_task is not None:
                ping_task.cancel()
            self._silence_timer.cancel()
            self.close()

    def _arm_silence_timer(self, delay_s):
        # One timer per link, since a timeout around each read costs more processor
        # time than reading a short frame.
        loop = asyncio.get_running_loop()
        scheduled_s = loop.time() + delay_s
        self._silence_timer = loop.call_at(
            scheduled_s, self._close_if_silent, scheduled_s
        )

    def _close_if_silent(self, scheduled_s):
        now_s = asyncio.get_running_loop().time()
        remaining_s = self._last_received_s + SILENCE_TIMEOUT_S - now_s
        if remaining_s > 0:
            self._arm_silence_timer(remaining_s)
        elif now_s - scheduled_s > STALL_THRESHOLD_S:
            # The timer fired late because this process was stalled, so input of the
            # peer may still be unread.
            self._arm_silence_timer(STALL_THRESHOLD_S)
        else:
            self.close()

    async def _read_frame(self):
        prefix = await self.stream.read_bytes(_LENGTH_PREFIX.size)
        self._last_received_s = asyncio.get_running_loop().time()
        (length,) = _LENGTH_PREFIX.unpack(prefix)
        if length > MAX_FRAME_BYTES:
            raise errors.WireError(f"frame of {length} bytes is over the limit")
        data = await self.stream.read_bytes(length)
        self._last_received_s = asyncio.get_running_loop().time()
        self.bytes_received += _LENGTH_PREFIX.size + length
        return codec.decode(data)

    def _dispatch(self, frame):
        message = frame.message
        if isinstance(message, messages.Ping):
            return
        if frame.is_reply:
            exchange = self._outbound_by_correlation.get(frame.correlation)
            if exchange is not None:
                exchange.deliver(message)
            return
        if frame.correlation == 0:
            self.handler.on_message(self, message)
            return
        exchange = self._inbound_by_correlation.get(frame.correlation)
        if exchange is not None:
            exchange.deliver(message)
            return
        if isinstance(message, _CONTINUATION_MESSAGES):
            return  # This side has closed the exchange already.
        exchange = exchanges.Exchange(self, frame.correlation, is_initiator=False)
        self._inbound_by_correlation[frame.correlation] = exchange
        self.handler.on_exchange(exchange, message)

    async def _ping(self):
        loop = asyncio.get_running_loop()
        while self.is_open:
            # Any frame resets the peer's silence timer, so a ping is sent only on an
            # idle link.
            idle_s = loop.time() - self._last_sent_s
            if idle_s < PING_INTERVAL_S * 0.9:
                await asyncio.sleep(PING_INTERVAL_S - idle_s)
                continue
            with contextlib.suppress(errors.LinkClosedError):
                self.send_frame(codec.Frame(message=messages.Ping()))
            await asyncio.sleep(PING_INTERVAL_S)

    def send(self, message):
        """Send a one-way message; see `exchanges.Exchange.send` for errors."""
        return self.send_frame(codec.Frame(message=message))

    def send_frame(self, frame):
        """Write one frame; return the future of the socket write."""
        return self.send_frames((frame,))

    def send_frames(self, frames):
        """Write several frames with one write, which saves system calls.

        A frame that is larger than a peer accepts is left out and logged, so that the
        sender of a request gets no answer in time.
        """
        parts = []
        for frame in frames:
            data = codec.encode(frame)
            if len(data) > MAX_FRAME_BYTES:
                # The peer would close the link, and with it all other exchanges.
                log.error(
                    "frame_not_sent peer=%s message=%s bytes=%d limit=%d",
                    self.peer_name,
                    type(frame.message).__name__,
                    len(data),
                    MAX_FRAME_BYTES,
                )
                self.frames_not_sent += 1
                continue
            parts += (_LENGTH_PREFIX.pack(len(data)), data)
        data = b"".join(parts)
        try:
            future = self.stream.write(data)
        except (iostream.StreamClosedError, iostream.StreamBufferFullError) as error:
            self.close()
            raise errors.LinkClosedError(str(error)) from error
        self.bytes_sent += len(data)
        self._last_sent_s = asyncio.get_running_loop().time()
        # Most callers do not await the future. Reading its exception keeps asyncio from
        # logging it as unretrieved; a failed write also closes the link.
        future.add_done_callback(lambda done: done.exception())
        return future

    def open_exchange(self, message):
        """Open an exchange with its first message and return it."""
        correlation = self._next_correlation
        self._next_correlation += 1
        exchange = exchanges.Exchange(self, correlation, is_initiator=True)
        self._outbound_by_correlation[correlation] = exchange
        try:
            exchange.send(message)
        except errors.LinkClosedError:
            exchange.close()
            raise
        return exchange

    async def request(self, message, timeout_s):
        """Send a message and return the reply; see `exchanges.Exchange.receive`."""
        exchange = self.open_exchange(message)
        try:
            return await exchange.receive(timeout_s)
        finally:
            exchange.close()

    def remove_exchange(self, correlation, is_initiator):
        """Remove an exchange; later frames of it are dropped."""
        if is_initiator:
            self._outbound_by_correlation.pop(correlation, None)
        else:
            self._inbound_by_correlation.pop(correlation, None)

    def close(self):
        """Close the connection and fail its open exchanges; idempotent."""
        was_open = self._is_open
        self._is_open = False
        self.stream.close()
        for table in (self._outbound_by_correlation, self._inbound_by_correlation):
            for exchange in list(table.values()):
                exchange.deliver(None)
            table.clear()
        if was_open:
            self.handler.on_close(self)


_CONTINUATION_MESSAGES = (
    httpmessages.BodyChunk,
    httpmessages.BodyEnd,
    httpmessages.Credit,
    httpmessages.Abort,
)


class LinkServer(tcpserver.TCPServer):
    """Accepts links from other processes and serves all of them with one handler."""

    def __init__(self, handler, hello):
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self.handler = handler
        self.hello = hello
        self.links = set()

    async def handle_stream(self, stream, address):
        """Run one accepted connection until it closes."""
        stream.max_write_buffer_size = MAX_SEND_BUFFER_BYTES
        link = Link(stream, self.handler, self.hello)
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)

    def close_links(self):
        """Stop listening and close every link."""
        self.stop()
        for link in list(self.links):
            link.close()
