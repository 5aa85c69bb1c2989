"""Exchanges of messages between two processes over one link."""

import asyncio

from sardinegauge import errors
from sardinegauge.links import codec

MAX_QUEUED_FRAMES = 1024


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
