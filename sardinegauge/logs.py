"""structlog set-up: one line of key=value pairs for each event on standard output."""

import logging

import structlog

from sardinegauge import logsink, plainlogs

_SECRET_KEYS = plainlogs.SECRET_KEYS


def _hide_secrets(_logger, _method, event):
    for key in event.keys() & _SECRET_KEYS:
        event[key] = "hidden"
    return event


class _Writer:
    """Takes rendered lines from structlog."""

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
    """Set up logging of this process at a level such as ``"info"``."""
    number = getattr(logging, level.upper())
    plainlogs.configure(level, process)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _hide_secrets,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=_Writer,
        cache_logger_on_first_use=True,
    )


def get_logger(process):
    """Return a logger whose every line names the process."""
    return structlog.get_logger().bind(process=process)
