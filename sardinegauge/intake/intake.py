"""Decisions about the callers of a process: what is admitted, refused and closed.

`Intake` connects the budget of bytes, the table of connections and the limits of the
configuration. It decides and counts; `intakeserver` reads and writes.
"""

import logging
import time

from sardinegauge import record
from sardinegauge.intake import budget, connections, limits

# Time after which a refused caller is told to return. Stalled bodies give way after one
# second, so that there usually is room again.
RETRY_AFTER_S = 1
# Interval of the search for connections that are over their time. A later one shows
# that the process was suspended, or too busy to read.
EXPIRY_INTERVAL_S = 1.0
MAX_CHECK_DELAY_S = 0.5
# A body is held this many times over: in the server's buffer, as the request's body,
# decoded, and encoded for the leader or the upstream.
COPIES = 4
# A streamed body is held in a buffer and on its way to the upstream.
STREAMED_COPIES = 2
# A request without a body: its head, its handler and its response.
REQUEST_BYTES = 4096
# Without a declared length, bytes are reserved as they arrive, in steps of this many.
STEP_BYTES = 4096

BODY_TOO_LARGE = "body_too_large"
NO_ROOM = "no_room"
FRAGMENTED = "fragmented_body"
GAVE_WAY = "gave_way"

log = logging.getLogger(__name__)


class Refusal(record.Record):
    """An answer to a request that has not run and never will."""

    __slots__ = ("status", "reason", "text", "retry_after_s")
    _defaults = {"retry_after_s": 0}


def _no_room():
    return Refusal(
        status=503,
        reason=NO_ROOM,
        text="no memory for the request now",
        retry_after_s=RETRY_AFTER_S,
    )


class Request(record.Record):
    """What the intake knows of one request.

    `max_held_bytes` is the most that its body holds at a time, as a streamed body is
    passed on while it arrives. 0 stands for a body that is buffered in full.
    """

    __slots__ = ("connection", "body_bytes", "max_held_bytes", "share")
    _defaults = {"body_bytes": 0, "max_held_bytes": 0, "share": None}

    def held_bytes(self, body_bytes):
        """Return what is reserved for a body of a length."""
        if self.max_held_bytes:
            held_bytes = min(body_bytes, self.max_held_bytes)
            return REQUEST_BYTES + STREAMED_COPIES * held_bytes
        return REQUEST_BYTES + COPIES * body_bytes

    @property
    def is_passed_on(self):
        """Whether parts of a streamed body may have been passed on."""
        return 0 < self.max_held_bytes < self.body_bytes


class Intake:
    """What a process takes from all its callers.

    Parameters
    ----------
    room : limits.Room
    metrics : intakemetrics.IntakeMetrics
    defaults : limits.RequestLimits, optional
        Limits that hold where the configuration sets none.
    listener : str, optional
        Who is served, as a label of the metrics.
    """

    def __init__(self, room, metrics, defaults=limits.DEFAULTS, listener="callers"):
        self.defaults = defaults
        self.limits = defaults
        self.listener = listener
        self.budget = budget.Budget(room.max_bytes)
        self.table = connections.ConnectionTable(room.max_connections)
        self.metrics = metrics
        self._checked_s = None
        metrics.watch(listener, self)

    def time_s(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def configure(self, configured):
        """Apply the `limits.RequestLimits` of a configuration."""
        self.limits = configured.with_defaults(self.defaults)

    # Connections

    def open_connection(self, owner):
        """Return a `connections.Connection`, or None if there are too many.

        `owner.close(reason)` is called when the connection has to close.
        """
        now_s = self.time_s()
        connection = connections.Connection(owner, now_s)
        is_added, closed = self.table.add(connection, now_s)
        if closed is not None:
            self._end(closed, connections.TOO_MANY)
        if not is_added:
            self._count_closed(connections.TOO_MANY, connection)
            return None
        self.budget.add_fixed(limits.CONNECTION_BYTES)
        return connection

    def close_connection(self, connection):
        """Forget a connection that is closed."""
        self.table.remove(connection)
        self.budget.add_fixed(-limits.CONNECTION_BYTES)

    def close_expired(self):
        """Close the connections that are over a limit of time.

        Called every `EXPIRY_INTERVAL_S`. Time in which the process itself was suspended
        is no fault of its callers.
        """
        now_s = self.time_s()
        checked_s, self._checked_s = self._checked_s, now_s
        paused_s = now_s - checked_s - EXPIRY_INTERVAL_S if checked_s else 0
        if paused_s > MAX_CHECK_DELAY_S:
            self.table.add_pause(paused_s)
        for connection, reason in self.table.expired(self.limits, now_s):
            self._end(connection, reason)

    def _end(self, connection, reason):
        self._count_closed(reason, connection)
        connection.owner.close(reason)

    def _count_closed(self, reason, connection):
        self.metrics.count_closed(self.listener, reason)
        log.info(
            "connection_closed listener=%s reason=%s phase=%s received=%d",
            self.listener,
            reason,
            connection.phase,
            connection.received_bytes,
        )

    # Requests

    def begin_request(self, connection, length, max_held_bytes=0):
        """Admit or refuse a request whose head has arrived.

        Parameters
        ----------
        connection : connections.Connection
        length : int
            Declared length of the body; 0 if there is none or if it is not declared.
        max_held_bytes : int, optional
            See `Request`.

        Returns
        -------
        Request or Refusal
        """
        now_s = self.time_s()
        # A streamed body is timed by its receiver, which pauses it at times.
        phase = connections.RESPONSE if max_held_bytes else connections.BODY
        connection.enter(phase, now_s)
        if not max_held_bytes and length > self.limits.max_body_bytes:
            return self._refuse(self._too_large(), connection)
        request = Request(connection=connection, max_held_bytes=max_held_bytes)
        held_bytes = request.held_bytes(length)
        admission = self.budget.reserve(request, held_bytes, now_s)
        self._end_evicted(admission)
        if admission.share is None:
            return self._refuse(_no_room(), connection)
        request.share = admission.share
        return request

    def add_body(self, request, size):
        """Count bytes of a body that arrived; return a `Refusal` or None."""
        if request.share is None:
            return None
        now_s = self.time_s()
        request.body_bytes += size
        if not request.max_held_bytes and (
            request.body_bytes > self.limits.max_body_bytes
        ):
            return self._refuse(self._too_large(), request.connection)
        request.share.add_received(size, now_s)
        # Its receiver pauses a body that is passed on, which is no fault of its caller.
        request.share.is_receiving = not request.is_passed_on
        needed = request.held_bytes(request.body_bytes)
        if needed <= request.share.reserved_bytes:
            return None
        needed = -(-needed // STEP_BYTES) * STEP_BYTES
        admission = self.budget.resize(request.share, needed, now_s)
        self._end_evicted(admission)
        if admission.share is None:
            return self._refuse(_no_room(), request.connection)
        return None

    def add_chunks(self, connection):
        """Judge the chunks of a body that is being received.

        Returns
        -------
        Refusal or None
            A refusal if many bodies arrive in small chunks.
        """
        if not connection.is_fragmented:
            return None
        is_admitted, stalled = self.table.add_fragmented(connection, self.time_s())
        if stalled is not None:
            self._end(stalled, FRAGMENTED)
        if is_admitted:
            return None
        refusal = Refusal(
            status=503,
            reason=FRAGMENTED,
            text="too many bodies in small chunks at once",
            retry_after_s=RETRY_AFTER_S,
        )
        return self._refuse(refusal, connection)

    def end_body(self, request):
        """Note that a body has arrived completely."""
        if request.share is not None:
            request.share.is_receiving = False
        request.connection.enter(connections.RESPONSE, self.time_s())
        self.table.end_body(request.connection)

    def end_request(self, request):
        """Return what a request reserved; nothing happens if that was done before."""
        if request.share is not None:
            self.budget.release(request.share)
            request.share = None

    def wait_for_request(self, connection):
        """Note that the connection waits for its next request."""
        connection.enter(connections.REQUEST, self.time_s())
        self.table.end_body(connection)

    def _too_large(self):
        return Refusal(
            status=413,
            reason=BODY_TOO_LARGE,
            text=f"the body is over {self.limits.max_body_bytes} bytes",
        )

    def _end_evicted(self, admission):
        for share in admission.evicted:
            self._end(share.owner.connection, GAVE_WAY)

    def _refuse(self, refusal, connection):
        self.metrics.count_refused(self.listener, refusal.reason)
        log.info(
            "request_rejected listener=%s reason=%s received=%d reserved=%d "
            "connections=%d",
            self.listener,
            refusal.reason,
            connection.received_bytes,
            self.budget.reserved_bytes,
            len(self.table),
        )
        return refusal
