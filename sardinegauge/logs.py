"""structlog configuration: one line of key=value pairs per event on standard output."""

import logging

import structlog

from sardinegauge import logsink, plainlogs

_SECRET_KEYS = plainlogs.SECRET_KEYS


def _hide_secrets(_logger, _method, event):
    for key in event.keys() & _SECRET_KEYS:
        event[key] = "hidden"
    return event


class _LineWriter:
    """Logger that structlog calls with rendered lines."""

    def __init__(self, *args):
        pass

    def msg(self, line, event=""):
        logsink.write_line(event, line)

    debug = info = warning = error = critical = exception = msg


_render_pairs = structlog.processors.KeyValueRenderer(
    key_order=["timestamp", "level", "process", "event"], drop_missing=True
)


def _render(logger, method, event):
    name = str(event.get("event", ""))
    return (_render_pairs(logger, method, event),), {"event": name}


def configure(level="info", process=""):
    """Configure the logging of this process at a level such as ``"info"``."""
    level_number = getattr(logging, level.upper())
    plainlogs.configure(level, process)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _hide_secrets,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=_LineWriter,
        cache_logger_on_first_use=True,
    )


def get_logger(process):
    """Return a logger that adds the process name to each line."""
    return structlog.get_logger().bind(process=process)
