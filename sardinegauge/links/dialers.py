"""Connections to other processes, opened again when they close."""

import asyncio
import random
import socket

from tornado import iostream

from sardinegauge import addresses, background
from sardinegauge.links import link

CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0


class Dialer:
    """Maintains one link to an address, reconnecting with jittered backoff.

    Timeouts are `asyncio.timeout` blocks: `asyncio.wait_for` of Python 3.11 loses a
    cancellation that arrives when its future is done, so a stopped process kept a
    link that never ended.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    handler : link.Handler
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
                self.address,
                CONNECT_TIMEOUT_S,
                max_buffer_size=2 * link.MAX_FRAME_BYTES,
            )
        except (TimeoutError, OSError, iostream.StreamClosedError):
            return False
        stream.max_write_buffer_size = link.MAX_SEND_BUFFER_BYTES
        self.link = link.Link(stream, self.handler, self.hello)
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
