"""Table of the open connections of a process, and which of them are to be closed.

Times are in seconds of one monotonic clock.
"""

# A connection may be closed for a new one after it has waited this long for a request
# or the rest of its head, or for the next bytes of a body.
MIN_IDLE_S = 1.0
MIN_BODY_STALL_S = 3.0
# Bodies in small chunks cost much processor time for each byte: so many are received at
# the same time, which leaves the event loop to other callers in between.
MAX_FRAGMENTED_BODIES = 2
# A body is fragmented if its chunks are smaller than this on average.
MIN_BYTES_PER_CHUNK = 64
# Chunks of a body that are not judged.
MIN_JUDGED_CHUNKS = 256
# A fragmented body that has not grown for this long gives way to another one.
FRAGMENTED_STALL_S = 1.0

# What the process waits for on a connection.
REQUEST = "request"
HEAD = "head"
BODY = "body"
RESPONSE = "response"

# Reasons why a connection is closed.
HEADER_TIMEOUT = "header_timeout"
IDLE_TIMEOUT = "idle_timeout"
TOO_MANY = "too_many_connections"


class Connection:
    """One connection and what is waited for on it.

    `phase_since_s` is when the phase began, `active_s` when bytes last arrived. The
    counts of bytes and chunks are those of the current request.
    """

    __slots__ = (
        "active_s",
        "chunk_count",
        "owner",
        "phase",
        "phase_since_s",
        "received_bytes",
    )

    def __init__(self, owner, now_s):
        self.owner = owner
        self.phase = REQUEST
        self.phase_since_s = now_s
        self.active_s = now_s
        self.received_bytes = 0
        self.chunk_count = 0

    def enter(self, phase, now_s):
        """Begin a phase; a new request begins to count anew."""
        self.phase = phase
        self.phase_since_s = self.active_s = now_s
        if phase == REQUEST:
            self.received_bytes = self.chunk_count = 0

    def add_received(self, size, now_s):
        """Count bytes that arrived; the first ones of a request begin its head."""
        if self.phase == REQUEST:
            self.enter(HEAD, now_s)
        self.active_s = now_s
        self.received_bytes += size

    def idle_s(self, now_s):
        """Return for how long a client has kept the process waiting, 0 if not long."""
        if self.phase in (REQUEST, HEAD):
            waited_s, least_s = now_s - self.phase_since_s, MIN_IDLE_S
        elif self.phase == BODY:
            waited_s, least_s = now_s - self.active_s, MIN_BODY_STALL_S
        else:
            return 0
        return waited_s if waited_s >= least_s else 0

    @property
    def is_fragmented(self):
        """Whether the chunks of the body are small on average."""
        return (
            self.chunk_count >= MIN_JUDGED_CHUNKS
            and self.received_bytes < MIN_BYTES_PER_CHUNK * self.chunk_count
        )

    def expiry_reason(self, limits, now_s):
        """Return why the connection is to be closed by its limits, or an empty text."""
        if self.phase == HEAD:
            is_late = now_s - self.phase_since_s > limits.header_timeout_ms / 1000
            return HEADER_TIMEOUT if is_late else ""
        if self.phase == RESPONSE:
            return ""
        is_idle = now_s - self.active_s > limits.idle_timeout_ms / 1000
        return IDLE_TIMEOUT if is_idle else ""


class ConnectionTable:
    """All open connections of a process.

    Examples
    --------
    >>> table = ConnectionTable(max_connections=1)
    >>> first = Connection("first", now_s=0)
    >>> table.add(first, now_s=0), table.add(Connection("early", 0.5), now_s=0.5)
    ((True, None), (False, None))
    >>> is_added, closed = table.add(Connection("second", 2), now_s=2)
    >>> is_added, closed.owner
    (True, 'first')
    """

    def __init__(self, max_connections):
        self.max_connections = max_connections
        self._connections = {}
        self._fragmented = {}

    def __len__(self):
        return len(self._connections)

    def add(self, connection, now_s):
        """Add a connection unless there are too many.

        Returns
        -------
        tuple of (bool, Connection or None)
            Whether it was added, and the idle connection that has to close for it.
        """
        closed = None
        if len(self._connections) >= self.max_connections:
            closed = self._longest_idle(now_s)
            if closed is None:
                return False, None
            self.remove(closed)
        self._connections[connection] = None
        return True, closed

    def _longest_idle(self, now_s):
        """Return the connection that has waited longest for its client, or None."""
        found, longest_s = None, 0
        for connection in self._connections:
            idle_s = connection.idle_s(now_s)
            if idle_s > longest_s:
                found, longest_s = connection, idle_s
        return found

    def remove(self, connection):
        """Remove a connection that is closed."""
        self._connections.pop(connection, None)
        self._fragmented.pop(connection, None)

    def add_fragmented(self, connection, now_s):
        """Count a body as fragmented until `end_body`.

        Returns
        -------
        tuple of (bool, Connection or None)
            Whether its reception may go on, and the stalled one that gives way to it.
        """
        if connection in self._fragmented:
            return True, None
        stalled = None
        if len(self._fragmented) >= MAX_FRAGMENTED_BODIES:
            stalled = min(self._fragmented, key=lambda each: each.active_s)
            if now_s - stalled.active_s < FRAGMENTED_STALL_S:
                return False, None
            del self._fragmented[stalled]
        self._fragmented[connection] = None
        return True, stalled

    def end_body(self, connection):
        """Forget that the body of a connection is fragmented."""
        self._fragmented.pop(connection, None)

    def add_pause(self, paused_s):
        """Leave time in which the process did not read out of all measured times."""
        for connection in self._connections:
            connection.phase_since_s += paused_s
            connection.active_s += paused_s

    def expired(self, limits, now_s):
        """Return the connections to close, as pairs of connection and reason."""
        found = (
            (connection, connection.expiry_reason(limits, now_s))
            for connection in self._connections
        )
        return [(connection, reason) for connection, reason in found if reason]
