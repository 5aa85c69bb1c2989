"""Framed, long-lived TCP links between the processes of one deployment.

Each frame is a 4-byte little-endian length and one encoded `codec.Frame`. Either side
may open exchanges. Each side numbers its own, so the reply flag of a frame says whose
correlation id it holds.
"""

import abc
import asyncio
import contextlib
import logging
import random
import socket
import struct

from tornado import iostream, tcpserver

from sardinegauge import addresses, background, errors
from sardinegauge.links import codec, httpmessages, messages

MAX_FRAME_BYTES = 1 << 20
MAX_SEND_BUFFER_BYTES = 16 << 20
MAX_QUEUED_FRAMES = 1024
PING_INTERVAL_S = 0.5
# A network partition does not close the socket, so a link without input for this long
# is closed.
SILENCE_TIMEOUT_S = 2.0
# A silence timer that fires later than this means that this process itself was stalled.
STALL_THRESHOLD_S = 0.2
CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0
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


class Exchange:
    """A sequence of messages in both directions under one correlation id.

    The initiator gets it from `Link.open_exchange`, the responder in
    `Handler.on_exchange`. Each of them must close its own side.
    """

    __slots__ = ("_is_initiator", "_listener", "_queue", "correlation", "link")

    def __init__(self, link, correlation, is_initiator):
        self.link = link
        self.correlation = correlation
        self._is_initiator = is_initiator
        self._queue = asyncio.Queue()
        self._listener = None

    def send(self, message):
        """Queue a message; return a future that is done when the socket accepted it.

        Raises
        ------
        LinkClosedError
            If the link is closed or its send buffer is full.
        """
        return self.link.send_frame(
            codec.Frame(
                correlation=self.correlation,
                is_reply=not self._is_initiator,
                message=message,
            )
        )

    def send_batch(self, batch):
        """Queue several messages in one write to the socket; see `send`."""
        return self.link.send_frames(
            [
                codec.Frame(
                    correlation=self.correlation,
                    is_reply=not self._is_initiator,
                    message=message,
                )
                for message in batch
            ]
        )

    async def receive(self, timeout_s):
        """Return the peer's next message in this exchange.

        Raises
        ------
        LinkClosedError
            If the link closes first.
        asyncio.TimeoutError
            If nothing arrives within `timeout_s` seconds.
        """
        if self._queue.empty():
            # asyncio.wait_for of Python 3.11 swallows a cancellation that arrives
            # together with a message, so the cancelled task would continue.
            async with asyncio.timeout(timeout_s):
                message = await self._queue.get()
        else:
            message = self._queue.get_nowait()
        if message is None:
            self._queue.put_nowait(None)
            raise errors.LinkClosedError(f"link to {self.link.peer_name} closed")
        return message

    def set_listener(self, listener):
        """Pass further messages to a callable instead of to `receive`.

        The callable gets None when the link closes. Waking a task that waits in
        `receive` costs more than handling most messages.
        """
        self._listener = listener

    def close(self):
        """Remove the exchange from its link, which drops later frames of it."""
        self.link.remove_exchange(self.correlation, self._is_initiator)

    def deliver(self, message):
        """Pass on a message from the peer; None means that the link closed."""
        if self._listener is not None:
            self._listener(message)
            return
        if message is not None and self._queue.qsize() >= MAX_QUEUED_FRAMES:
            raise errors.WireError(
                "peer sent more frames than its flow-control credit allows"
            )
        self._queue.put_nowait(message)


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
        exchange = Exchange(self, frame.correlation, is_initiator=False)
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
        """Send a one-way message; see `Exchange.send` for errors."""
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
        exchange = Exchange(self, correlation, is_initiator=True)
        self._outbound_by_correlation[correlation] = exchange
        try:
            exchange.send(message)
        except errors.LinkClosedError:
            exchange.close()
            raise
        return exchange

    async def request(self, message, timeout_s):
        """Send a message and return the single reply; see `Exchange.receive`."""
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


class Dialer:
    """Maintains one link to an address, reconnecting with jittered backoff.

    Timeouts are `asyncio.timeout` blocks: `asyncio.wait_for` of Python 3.11 loses a
    cancellation that arrives when its future is done, so a stopped process kept a
    link that never ended.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    handler : Handler
        Receives what the peer sends.
    hello : messages.Hello
        Sent first on every connection.
    """

    def __init__(self, address, handler, hello):
        self.address = address
        self.handler = handler
        self.hello = hello
        self.link = None
        self._task = None

    @property
    def is_open(self):
        """Whether a link is open."""
        return self.link is not None and self.link.is_open

    def start(self):
        """Start connecting in the background."""
        self._task = background.spawn(self._run())

    def stop(self):
        """Stop reconnecting and close the link."""
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()

    async def _run(self):
        backoff_s = RECONNECT_MIN_S
        while True:
            if await self._connect_once():
                backoff_s = RECONNECT_MIN_S
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, RECONNECT_MAX_S)

    async def _connect_once(self):
        """Connect and run the link until it closes; return whether it ever opened."""
        try:
            stream = await connect(
                self.address, CONNECT_TIMEOUT_S, max_buffer_size=2 * MAX_FRAME_BYTES
            )
        except (TimeoutError, OSError, iostream.StreamClosedError):
            return False
        stream.max_write_buffer_size = MAX_SEND_BUFFER_BYTES
        self.link = Link(stream, self.handler, self.hello)
        await self.link.run()
        return self.link.peer is not None


async def connect(address, timeout_s, stream_class=iostream.IOStream, **stream_options):
    """Return a connected stream to a numeric ``ip:port`` address.

    Numeric addresses need no resolver; the resolver's threads would add to the memory
    use of the agent.

    Raises
    ------
    TimeoutError, OSError, tornado.iostream.StreamClosedError
        If there is no connection within `timeout_s` seconds, or the address is invalid.
    """
    try:
        host, port = addresses.parse(address)
    except ValueError as error:
        # Callers treat an address that was learnt from others like a silent peer.
        raise OSError(str(error)) from error
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = stream_class(socket.socket(family, socket.SOCK_STREAM), **stream_options)
    try:
        async with asyncio.timeout(timeout_s):
            return await stream.connect((host, port))
    except BaseException:
        stream.close()
        raise
