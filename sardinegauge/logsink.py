"""Where log lines go: standard output, without ever waiting and with a bounded rate."""

import os
import stat
import sys
import time

# Lines of one event in one second; more are counted instead.
MAX_LINES_PER_S = 100
# Bytes kept while the reader of a pipe is behind; whole lines beyond it are dropped.
MAX_BACKLOG_BYTES = 256 << 10


class RateLimit:
    """Allows a number of lines of each event in a second.

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
        """Tell whether one more line of an event may be written in this second."""
        if second != self._second:
            self._second = second
            self._lines_by_event = {}
        lines = self._lines_by_event.get(event, 0) + 1
        self._lines_by_event[event] = lines
        return lines <= self.lines_per_s

    def suppressed(self, second):
        """Return events and numbers of the lines left out, once the second is over."""
        if second == self._second:
            return []
        return [
            (event, lines - self.lines_per_s)
            for event, lines in self._lines_by_event.items()
            if lines > self.lines_per_s
        ]


class Sink:
    """A file-like object over a descriptor that drops lines instead of waiting.

    Parameters
    ----------
    number : int
        File descriptor. A pipe or socket is made non-blocking; a file or terminal
        is written as it is.
    """

    def __init__(self, number):
        self.number = number
        self.dropped = 0
        self._backlog = b""
        mode = os.fstat(number).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(number, False)

    def write(self, text):
        """Write whole lines; drop them if the reader is too far behind."""
        data = text.encode("utf-8", "backslashreplace")
        if self._backlog:
            self._push(b"")
        if len(self._backlog) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped += data.count(b"\n")
            return
        if self.dropped and not self._backlog:
            data = b"event='log_lines_dropped' lines=%d\n" % self.dropped + data
            self.dropped = 0
        self._push(data)

    def _push(self, data):
        self._backlog += data
        try:
            while self._backlog:
                written = os.write(self.number, self._backlog)
                self._backlog = self._backlog[written:]
        except OSError:
            # A reader that is gone must not stop the process either.
            return

    def flush(self):
        """Do nothing: lines are written at once."""


_sink = None
_limit = RateLimit()


def sink():
    """Return the sink of this process over standard output."""
    global _sink
    if _sink is None:
        _sink = Sink(sys.stdout.fileno())
    return _sink


def write_line(event, line):
    """Write one line of an event, unless the event is over its rate."""
    second = int(time.monotonic())
    for other, lines in _limit.suppressed(second):
        sink().write(f"event='log_lines_suppressed' of={other!r} lines={lines}\n")
    if _limit.allow(event, second):
        sink().write(line + "\n")
