"""A TCP relay in front of a process that cuts links silently, per peer and direction.

The relay reads the name of the connecting process from its hello message, so one relay
for each process suffices to cut any pair of processes in one or both directions.
"""

import asyncio
import collections
import struct

from sardinegauge.links import codec

_LENGTH = struct.Struct("<I")
_CHUNK_BYTES = 65536
_PACED_CHUNK_BYTES = 4096


class Cuts:
    """The cuts in force, each from a source to a target, whose bytes are dropped."""

    def __init__(self):
        self._pairs = set()

    def cut(self, source, target):
        """Drop what `source` sends to `target`; ``"*"`` stands for any process."""
        self._pairs.add((source, target))

    def restore(self, source, target):
        """Remove one cut."""
        self._pairs.discard((source, target))

    def heal(self):
        """Remove all cuts."""
        self._pairs.clear()

    def is_blocked(self, source, target):
        """Return whether bytes from `source` to `target` are dropped."""
        return any(
            a in (source, "*") and b in (target, "*") and source != target
            for a, b in self._pairs
        )


class Relay:
    """Relays connections to one process, subject to the cuts.

    After a dropped chunk, all later bytes of the same direction of the connection are
    dropped too, even when the cut ends: forwarding them would corrupt the stream, which
    no real network does.

    With `bytes_per_s`, what the target sends passes each connection at that rate.
    """

    def __init__(self, target, target_address, cuts, bytes_per_s=None):
        self.target = target
        self.target_host, port = target_address.rsplit(":", 1)
        self.target_port = int(port)
        self.cuts = cuts
        self.bytes_per_s = bytes_per_s
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
        while self.cuts.is_blocked(source, self.target):
            # While the cut is in force, a connection attempt gets no answer.
            await asyncio.sleep(0.05)
            if reader.at_eof():
                return
        target_reader, target_writer = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        try:
            target_writer.write(head + body)
            await asyncio.wait(
                (
                    asyncio.ensure_future(
                        self._forward(reader, target_writer, source, self.target)
                    ),
                    asyncio.ensure_future(
                        self._forward(target_reader, writer, self.target, source)
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            target_writer.close()

    def _is_paced(self, source):
        return self.bytes_per_s is not None and source == self.target

    def _read_bytes(self, source):
        return _PACED_CHUNK_BYTES if self._is_paced(source) else _CHUNK_BYTES

    async def _pace(self, source, byte_count):
        if self._is_paced(source):
            await asyncio.sleep(byte_count / self.bytes_per_s)

    async def _forward(self, reader, writer, source, target):
        is_dropping = False
        try:
            while data := await reader.read(self._read_bytes(source)):
                await self._pace(source, len(data))
                self.bytes_by_pair[source, target] += len(data)
                is_dropping = is_dropping or self.cuts.is_blocked(source, target)
                if not is_dropping:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
