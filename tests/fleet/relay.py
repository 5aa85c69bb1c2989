"""A TCP relay in front of a process that can cut links silently, per peer and way.

The relay reads the name of the connecting process from its hello, so one relay for
each process is enough to cut any pair of processes in one or both directions.
"""

import asyncio
import collections
import struct

from sardinegauge.links import codec

_LENGTH = struct.Struct("<I")
_CHUNK_BYTES = 65536


class Cuts:
    """The directed cuts in force: bytes from a source to a target are dropped."""

    def __init__(self):
        self._pairs = set()

    def cut(self, source, target):
        """Drop what `source` sends to `target`; ``"*"`` stands for any process."""
        self._pairs.add((source, target))

    def mend(self, source, target):
        """End one cut."""
        self._pairs.discard((source, target))

    def heal(self):
        """Let everything through again."""
        self._pairs.clear()

    def blocks(self, source, target):
        """Tell whether bytes from source to target are dropped at the moment."""
        return any(
            a in (source, "*") and b in (target, "*") and source != target
            for a, b in self._pairs
        )


class Relay:
    """Relays connections to one process, subject to the cuts.

    Once a byte was dropped, a connection stays silent for good: letting later bytes
    through would corrupt the stream, which no real network does.
    """

    def __init__(self, target, target_address, cuts):
        self.target = target
        self.target_host, port = target_address.rsplit(":", 1)
        self.target_port = int(port)
        self.cuts = cuts
        self.bytes_by_pair = collections.Counter()
        self._server = None
        self._tasks = set()

    async def start(self, address):
        """Listen on ``ip:port``."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self):
        """Close the listener and every relayed connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay(self, reader, writer):
        head = await reader.readexactly(_LENGTH.size)
        body = await reader.readexactly(_LENGTH.unpack(head)[0])
        source = codec.decode(body).message.name
        while self.cuts.blocks(source, self.target):
            # A cut in force swallows connection attempts without an answer.
            await asyncio.sleep(0.05)
            if reader.at_eof():
                return
        far_reader, far_writer = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        try:
            far_writer.write(head + body)
            await asyncio.wait(
                (
                    asyncio.ensure_future(
                        self._pump(reader, far_writer, source, self.target)
                    ),
                    asyncio.ensure_future(
                        self._pump(far_reader, writer, self.target, source)
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            far_writer.close()

    async def _pump(self, reader, writer, source, target):
        is_silent = False
        try:
            while data := await reader.read(_CHUNK_BYTES):
                self.bytes_by_pair[source, target] += len(data)
                is_silent = is_silent or self.cuts.blocks(source, target)
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
