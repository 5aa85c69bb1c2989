"""Body of a caller's request: buffered whole for retries, or streamed."""

import asyncio
import collections


class BodyBrokenError(Exception):
    """The caller went away or was cut off before its body ended."""


class Body:
    """Bytes on their way from a caller to an agent.

    Up to `limit` bytes are buffered. A body that ends within them can be sent any
    number of times with `whole`. A larger one is read once with `read`, and the caller
    is paused while the buffer is full.

    Parameters
    ----------
    limit : int
        Bytes that are buffered, beside one chunk of the connection.
    on_ready : callable
        Called once, when the body has ended or outgrown the buffer.
    """

    __slots__ = (
        "_chunks",
        "_on_ready",
        "_resume",
        "_wanted",
        "buffered",
        "is_broken",
        "is_ended",
        "is_streaming",
        "is_touched",
        "limit",
        "total",
    )

    def __init__(self, limit, on_ready):
        self.limit = limit
        self.buffered = 0
        self.total = 0
        self.is_broken = False
        self.is_ended = False
        self.is_streaming = False
        self.is_touched = False
        self._chunks = collections.deque()
        self._on_ready = on_ready
        self._resume = None
        self._wanted = None

    def add(self, data):
        """Buffer bytes; return a future to wait for while the buffer is full."""
        self._chunks.append(data)
        self.buffered += len(data)
        self.total += len(data)
        if self.buffered > self.limit and not self.is_streaming:
            self.is_streaming = True
            self._on_ready()
        self._wake()
        if self.buffered <= self.limit:
            return None
        self._resume = asyncio.get_running_loop().create_future()
        return self._resume

    def end(self):
        """Take note that the body is whole."""
        self.is_ended = True
        if not self.is_streaming:
            self._on_ready()
        self._wake()

    def break_off(self):
        """Take note that the rest will not come, and drop what is buffered."""
        self.is_broken = True
        self._chunks.clear()
        self.buffered = 0
        self._release()
        self._wake()

    def whole(self):
        """Return a body that ended within the buffer."""
        if len(self._chunks) > 1:
            joined = b"".join(self._chunks)
            self._chunks.clear()
            self._chunks.append(joined)
        return self._chunks[0] if self._chunks else b""

    async def read(self):
        """Return the next bytes of a streaming body, empty at its end.

        Raises
        ------
        BodyBrokenError
            If the rest will not come.
        """
        while not self._chunks:
            if self.is_broken:
                raise BodyBrokenError("the body broke off")
            if self.is_ended:
                return b""
            self._wanted = asyncio.get_running_loop().create_future()
            await self._wanted
        self.is_touched = True
        data = self._chunks.popleft()
        self.buffered -= len(data)
        if self.buffered <= self.limit:
            self._release()
        return data

    def _wake(self):
        wanted, self._wanted = self._wanted, None
        if wanted is not None and not wanted.done():
            wanted.set_result(None)

    def _release(self):
        resume, self._resume = self._resume, None
        if resume is not None and not resume.done():
            resume.set_result(None)
