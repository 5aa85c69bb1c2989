"""Body of a caller's request: buffered completely for retries, or streamed."""

import asyncio
import collections


class BodyAbortedError(Exception):
    """The body was aborted before its end."""


class Body:
    """Buffer for the request body between a caller and an agent.

    Up to `limit_bytes` are buffered. A body that ends within this limit can be sent any
    number of times with `contents`. A larger body is streamed: `read` returns each byte
    once, and the caller is paused while the buffer is full.

    Parameters
    ----------
    limit_bytes : int
        Capacity of the buffer, to which one chunk of the connection is added.
    on_ready : callable
        Called once, when the body has ended or exceeded the buffer.
    """

    __slots__ = (
        "_chunks",
        "_on_ready",
        "_writable",
        "_readable",
        "buffered_bytes",
        "is_aborted",
        "is_ended",
        "is_streaming",
        "is_consumed",
        "limit_bytes",
        "total_bytes",
    )

    def __init__(self, limit_bytes, on_ready):
        self.limit_bytes = limit_bytes
        self.buffered_bytes = 0
        self.total_bytes = 0
        self.is_aborted = False
        self.is_ended = False
        self.is_streaming = False
        self.is_consumed = False
        self._chunks = collections.deque()
        self._on_ready = on_ready
        self._writable = None
        self._readable = None

    def add(self, data):
        """Buffer bytes; return a future to wait for while the buffer is full."""
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self.total_bytes += len(data)
        if self.buffered_bytes > self.limit_bytes and not self.is_streaming:
            self.is_streaming = True
            self._on_ready()
        self._notify_reader()
        if self.buffered_bytes <= self.limit_bytes:
            return None
        self._writable = asyncio.get_running_loop().create_future()
        return self._writable

    def end(self):
        """Mark the body as complete."""
        self.is_ended = True
        if not self.is_streaming:
            self._on_ready()
        self._notify_reader()

    def abort(self):
        """Discard the buffered bytes; a pending or later `read` fails.

        Called when the caller disconnects and when the rest of the body is not needed.
        """
        self.is_aborted = True
        self._chunks.clear()
        self.buffered_bytes = 0
        self._notify_writer()
        self._notify_reader()

    def contents(self):
        """Return the bytes of a body that ended within the buffer."""
        if len(self._chunks) > 1:
            joined = b"".join(self._chunks)
            self._chunks.clear()
            self._chunks.append(joined)
        return self._chunks[0] if self._chunks else b""

    async def read(self):
        """Return the next bytes of a streamed body, empty at its end.

        Raises
        ------
        BodyAbortedError
            If the body was aborted.
        """
        while not self._chunks:
            if self.is_aborted:
                raise BodyAbortedError("the request body was aborted")
            if self.is_ended:
                return b""
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        self.is_consumed = True
        data = self._chunks.popleft()
        self.buffered_bytes -= len(data)
        if self.buffered_bytes <= self.limit_bytes:
            self._notify_writer()
        return data

    def _notify_reader(self):
        readable, self._readable = self._readable, None
        if readable is not None and not readable.done():
            readable.set_result(None)

    def _notify_writer(self):
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)
