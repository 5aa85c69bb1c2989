"""Limits of requests and connections, and the room that a process has for them."""

import resource

from sardinegauge import checks, record

MIB = 1 << 20
# Memory of a process without callers, and what it needs to serve them: modules, copies
# of the configuration, buffers of links, and memory that the allocator keeps.
PROCESS_BYTES = 64 * MIB
# Memory of a machine whose settings don't name it.
DEFAULT_MEMORY_MB = 320
# Room for callers on a machine that is smaller than the process itself.
MIN_ROOM_BYTES = 8 * MIB
# Descriptors for links, servers, data files, logs and callers of the platform's own.
RESERVED_DESCRIPTORS = 96
MIN_CONNECTIONS = 16
# An open connection with a head or a part of a body in its buffer.
CONNECTION_BYTES = 32 << 10
# Share of the room that connections without a body may take.
CONNECTIONS_SHARE = 0.5


class RequestLimits(record.Record):
    """Limits of one request and its connection; 0 stands for the default.

    A connection is closed if a head is incomplete `header_timeout_ms` after its first
    byte, or if nothing arrives for `idle_timeout_ms` while the process waits for a
    request or the rest of its body.

    Examples
    --------
    >>> RequestLimits(max_body_bytes=1024).with_defaults(DEFAULTS).max_body_bytes
    1024
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
    )
    _defaults = {
        "max_header_bytes": 0,
        "max_body_bytes": 0,
        "header_timeout_ms": 0,
        "idle_timeout_ms": 0,
    }

    def with_defaults(self, defaults):
        """Return the limits with those that are 0 replaced by `defaults`."""
        fields = {
            name: getattr(self, name) or getattr(defaults, name)
            for name in self.field_names()
        }
        return RequestLimits(**fields)


DEFAULTS = RequestLimits(
    max_header_bytes=32 << 10,
    max_body_bytes=MIB,
    header_timeout_ms=10_000,
    idle_timeout_ms=60_000,
)


def check(limits):
    """Return the problems of `RequestLimits` as pairs of path and reason."""
    problems = []
    for name in limits.field_names():
        checks.integer(0)(getattr(limits, name), f"limits.{name}", problems)
    return problems


class Room(record.Record):
    """Bytes and connections that all callers together may take from a process."""

    __slots__ = ("max_bytes", "max_connections")


# Room of listeners that only operators and the platform reach. It is apart from that of
# the callers, who must not lock out a readiness check.
INTERNAL_ROOM = Room(max_bytes=4 * MIB, max_connections=32)


def room(memory_mb=0, max_descriptors=0):
    """Return the `Room` of a process.

    Parameters
    ----------
    memory_mb : float, optional
        Memory that the process may use, 0 if that is not known.
    max_descriptors : int, optional
        Descriptors that it may open; the limit of the operating system holds as well.

    Examples
    --------
    >>> room(memory_mb=96, max_descriptors=256).max_connections
    160
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * MIB)
    max_bytes = max(memory_bytes - PROCESS_BYTES, MIN_ROOM_BYTES)
    max_connections = int(CONNECTIONS_SHARE * max_bytes / CONNECTION_BYTES)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    for available in (descriptors, max_descriptors):
        if available not in (0, resource.RLIM_INFINITY):
            max_connections = min(max_connections, available - RESERVED_DESCRIPTORS)
    return Room(
        max_bytes=max_bytes, max_connections=max(max_connections, MIN_CONNECTIONS)
    )
