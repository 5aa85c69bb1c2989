"""A loopback proxy that delays, resets, or drops connections in one or both ways."""

import asyncio

DELAY_S = 0.4
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to a minion; `mode` selects how it disturbs them.

    The modes are ``""`` (forward), ``"slow"`` (delay each chunk), ``"silent"`` (drop
    both directions), ``"there"`` (drop what goes to the minion) and ``"back"`` (drop
    what the minion sends).
    """

    def __init__(self, target):
        self.host, self.port = target.split(":")
        self.mode = ""
        self.server = None
        self.writers = set()

    async def start(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        forwarders = [
            asyncio.ensure_future(self._forward(reader, target_writer, "there")),
            asyncio.ensure_future(self._forward(target_reader, writer, "back")),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # The event loop cancels open connections when the soak ends.
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            for open_writer in (writer, target_writer):
                open_writer.close()
                self.writers.discard(open_writer)

    async def _forward(self, reader, writer, direction):
        is_dropping = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                # After a dropped chunk the rest of the direction is dropped as well,
                # since later bytes would corrupt the stream.
                is_dropping = is_dropping or self.mode in ("silent", direction)
                if self.mode == "slow":
                    await asyncio.sleep(DELAY_S)
                if not is_dropping:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return
