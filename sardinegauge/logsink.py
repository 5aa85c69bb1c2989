"""Non-blocking, rate-limited output of log lines to standard output."""

import os
import stat
import sys
import time

# Further lines of the same event in the same second are counted but not written.
MAX_LINES_PER_S = 100
# Buffer for a pipe whose reader is slow; lines that don't fit are dropped whole.
MAX_BACKLOG_BYTES = 256 << 10


class RateLimit:
    """Limits the number of lines per event and second.

    Examples
    --------
    >>> limit = RateLimit(1)
    >>> limit.allow("a", 7), limit.allow("a", 7), limit.allow("b", 7)
    (True, False, True)
    >>> limit.suppressed(8)
    [('a', 1)]
    """

    def __init__(self, lines_per_s=MAX_LINES_PER_S):
        self.lines_per_s = lines_per_s
        self._second = 0
        self._lines_by_event = {}

    def allow(self, event, second):
        """Return whether one more line of an event may be written in this second."""
        if second != self._second:
            self._second = second
            self._lines_by_event = {}
        lines = self._lines_by_event.get(event, 0) + 1
        self._lines_by_event[event] = lines
        return lines <= self.lines_per_s

    def suppressed(self, second):
        """Return (event, number of suppressed lines) pairs once the second is over."""
        if second == self._second:
            return []
        return [
            (event, lines - self.lines_per_s)
            for event, lines in self._lines_by_event.items()
            if lines > self.lines_per_s
        ]


class Sink:
    """A file-like object over a descriptor that drops lines rather than block.

    Parameters
    ----------
    number : int
        File descriptor. A pipe or socket is made non-blocking; files and terminals
        are left as they are.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.dropped = 0
        self._backlog = b""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text):
        """Write complete lines, or drop them if the backlog would exceed its limit."""
        data = text.encode("utf-8", "backslashreplace")
        if self._backlog:
            self._write_backlog(b"")
        if len(self._backlog) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped += data.count(b"\n")
            return
        if self.dropped and not self._backlog:
            data = b"event='log_lines_dropped' lines=%d\n" % self.dropped + data
            self.dropped = 0
        self._write_backlog(data)

    def _write_backlog(self, data):
        self._backlog += data
        try:
            while self._backlog:
                written = os.write(self.descriptor, self._backlog)
                self._backlog = self._backlog[written:]
        except OSError:
            # The pipe is full, or its reader has exited, which must not stop the
            # process.
            return

    def flush(self):
        """Do nothing, since `write` does not buffer beyond the backlog."""


_sink = None
_limit = RateLimit()


def sink():
    """Return the process-wide sink for standard output, created on first use."""
    global _sink
    if _sink is None:
        _sink = Sink(sys.stdout.fileno())
    return _sink


def write_line(event, line):
    """Write one line of an event, unless the event has exceeded its rate limit."""
    second = int(time.monotonic())
    for other, lines in _limit.suppressed(second):
        sink().write(f"event='log_lines_suppressed' of={other!r} lines={lines}\n")
    if _limit.allow(event, second):
        sink().write(line + "\n")
