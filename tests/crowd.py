"""Clients that don't behave: raw connections that send what a test gives and stay open.

A crowd is sent to one process on a loopback address. What it may take from the process
is read from the kernel's records of that process.
"""

import asyncio
import contextlib
import os
import pathlib

CRLF = b"\r\n"
# Time for which the crowd's connections stay open once all has been sent.
HOLD_S = 5.0
# Longest time in which a connection sends; a process may stop reading from it.
SEND_LIMIT_S = 30.0
CONNECT_LIMIT_S = 10.0
READ_BYTES = 4096


def head(path, host, *fields):
    """Return the head of a POST request."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}", *fields]
    return "".join(f"{line}\r\n" for line in [*lines, ""]).encode()


def announced(path, host, length, body):
    """Return a request that announces a length, in parts of head and body."""
    return [head(path, host, f"Content-Length: {length}"), body]


def chunked(path, host, *chunks):
    """Return a request with a chunked body, in parts of head and chunks."""
    return [head(path, host, "Transfer-Encoding: chunked"), *chunks]


def chunk(data):
    """Return one chunk of a chunked body."""
    return b"%x" % len(data) + CRLF + data + CRLF


def pieces(data, size):
    """Return data in pieces of a size."""
    return [data[start : start + size] for start in range(0, len(data), size)]


class Member:
    """One connection of a crowd."""

    def __init__(self, parts, pause_s):
        self.parts = parts
        self.pause_s = pause_s
        self.answer = b""
        self.is_ended = False
        self.is_sent = False
        self._writer = None

    async def run(self, host, port):
        """Send all parts, then hold the connection open until the server ends it."""
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, self._writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            self.is_ended = True
            return
        reading = asyncio.ensure_future(self._read(reader))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                for part in self.parts:
                    self._writer.write(part)
                    await self._writer.drain()
                    await asyncio.sleep(self.pause_s)
        self.is_sent = True
        await reading

    async def _read(self, reader):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self.answer += data[: READ_BYTES - len(self.answer)]
        self.is_ended = True

    def close(self):
        """Close the connection without waiting for the server."""
        if self._writer is not None:
            self._writer.transport.abort()


class Crowd:
    """Connections that are opened at once to one address.

    Parameters
    ----------
    address : str
    requests : list of list of bytes
        What each connection sends, in parts.
    pause_s : float
        Pause of a connection between two parts, in seconds.
    """

    def __init__(self, address, requests, pause_s=0.0):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.members = [Member(parts, pause_s) for parts in requests]
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.ensure_future(member.run(self.host, self.port))
            for member in self.members
        ]
        return self

    async def __aexit__(self, *error):
        for member in self.members:
            member.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def hold(self):
        """Wait until all has been sent or was refused, and `HOLD_S` longer."""
        while not all(member.is_sent or member.is_ended for member in self.members):
            await asyncio.sleep(0.05)
        await asyncio.sleep(HOLD_S)

    @property
    def open_count(self):
        """Number of connections that the server has neither answered nor ended."""
        return sum(not (each.answer or each.is_ended) for each in self.members)


def peak_memory_mb(process_id):
    """Return the largest resident memory that a process has had, in MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def descriptor_count(process_id):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process_id}/fd"))
