"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio

DELAY_S = 0.4
CHUNK_BYTES = 65536


class Proxy:
    """Relays bytes to a minion; `mode` says what becomes of them."""

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
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, "there")),
            asyncio.ensure_future(self._pump(far_reader, writer, "back")),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            for pump in pumps:
                pump.cancel()
            for open_writer in (writer, far_writer):
                open_writer.close()
                self.writers.discard(open_writer)

    async def _pump(self, reader, writer, way):
        is_silent = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                # Later bytes would corrupt the stream after some were dropped.
                is_silent = is_silent or self.mode in ("silent", way)
                if self.mode == "slow":
                    await asyncio.sleep(DELAY_S)
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return
