"""Logging for the agent, in the format of `logs` but without structlog.

structlog and its imports take 5 MB of resident memory, and the agent's budget is 32 MB.
Keys, their order and their quoting are the same as in `logs`.
"""

import logging
import time

from sardinegauge import logsink

SECRET_KEYS = frozenset({"token", "authorization", "tokens"})


class _Handler(logging.Handler):
    """Writes records of module loggers: an event name and key=value pairs."""

    def __init__(self, process):
        super().__init__()
        self.process = process

    def emit(self, record):
        """Write one record; those of `Logger` are rendered already."""
        message = record.getMessage()
        if record.exc_info:
            trace = logging.Formatter().formatException(record.exc_info)
            message = f"{message} exception={trace!r}"
        if message.startswith("timestamp="):
            event = message.partition("event=")[2].partition(" ")[0]
            logsink.write_line(event, message)
            return
        event, _, pairs = message.partition(" ")
        prefix = render(record.levelname.lower(), self.process, event, {})
        logsink.write_line(event, f"{prefix} {pairs}" if pairs else prefix)


def configure(level="info", process=""):
    """Configure the logging of this process at a level such as ``"info"``."""
    logging.basicConfig(
        handlers=[_Handler(process)], level=getattr(logging, level.upper()), force=True
    )


def render(level, process, event, fields):
    """Return one line of key=value pairs.

    Examples
    --------
    >>> line = render("info", "agent", "task_ended", {"task": "t1", "token": "x"})
    >>> line.partition(" ")[2]
    "level='info' process='agent' event='task_ended' task='t1' token='hidden'"
    """
    now = time.time()
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    pairs = {
        "timestamp": f"{stamp}.{int(now % 1 * 1e6):06d}Z",
        "level": level,
        "process": process,
        "event": event,
        **fields,
    }
    for key in pairs.keys() & SECRET_KEYS:
        pairs[key] = "hidden"
    return " ".join(f"{key}={value!r}" for key, value in pairs.items())


class Logger:
    """Logger of one process; key=value pairs are keyword arguments."""

    def __init__(self, process):
        self.process = process
        self._logger = logging.getLogger(f"sardinegauge.{process}")

    def debug(self, event, **fields):
        """Write an event at level debug."""
        self._write(logging.DEBUG, "debug", event, fields)

    def info(self, event, **fields):
        """Write an event at level info."""
        self._write(logging.INFO, "info", event, fields)

    def warning(self, event, **fields):
        """Write an event at level warning."""
        self._write(logging.WARNING, "warning", event, fields)

    def error(self, event, **fields):
        """Write an event at level error."""
        self._write(logging.ERROR, "error", event, fields)

    def exception(self, event, **fields):
        """Write an event at level error with the traceback of the current exception."""
        self._write(logging.ERROR, "error", event, fields, exc_info=True)

    def _write(self, level_number, level, event, fields, exc_info=False):
        if self._logger.isEnabledFor(level_number):
            line = render(level, self.process, event, fields)
            self._logger.log(level_number, "%s", line, exc_info=exc_info)


def get_logger(process):
    """Return a logger that adds the process name to each line."""
    return Logger(process)
