"""structlog set-up: one line of key=value pairs for each event on standard error."""

import logging
import sys

import structlog

_SECRET_KEYS = frozenset({"token", "authorization", "tokens"})


def _hide_secrets(_logger, _method, event):
    for key in event.keys() & _SECRET_KEYS:
        event[key] = "hidden"
    return event


def configure(level="info"):
    """Set up logging of this process at a level such as ``"info"``."""
    number = getattr(logging, level.upper())
    logging.basicConfig(stream=sys.stderr, level=number, format="%(message)s")
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _hide_secrets,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "process", "event"],
                drop_missing=True,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(process):
    """Return a logger whose every line names the process."""
    return structlog.get_logger().bind(process=process)
