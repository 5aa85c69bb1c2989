"""Budget of the bytes that a process holds for the requests of all its callers.

A request reserves a share before its body is read, and keeps it until its response is
complete. If there is no room, bodies that hardly arrive give way to a new request;
without any such body, the new request is refused. Times are in seconds of one monotonic
clock.
"""

from sardinegauge import record

# Requests up to this size may use the part of the budget that is kept from larger ones.
SMALL_BYTES = 16 << 10
LARGE_SHARE = 0.75
# Time over which the progress of a body is measured. A younger body never gives way.
PROGRESS_WINDOW_S = 1.0


class Share:
    """Bytes that are reserved for one request.

    `is_receiving` says that its body is still being received; `owner` is what the
    creator needs to end the request if it has to give way.
    """

    __slots__ = (
        "_last_count",
        "_window_count",
        "_window_start_s",
        "is_receiving",
        "owner",
        "reserved_bytes",
        "started_s",
    )

    def __init__(self, owner, reserved_bytes, now_s):
        self.owner = owner
        self.reserved_bytes = reserved_bytes
        self.started_s = now_s
        self.is_receiving = True
        self._window_start_s = now_s
        self._window_count = 0
        self._last_count = 0

    def add_received(self, size, now_s):
        """Count bytes of the body that have arrived."""
        self._roll(now_s)
        self._window_count += size

    def _roll(self, now_s):
        """Begin a new window if the current one has passed."""
        passed = now_s - self._window_start_s
        if passed < PROGRESS_WINDOW_S:
            return
        is_next = passed < 2 * PROGRESS_WINDOW_S
        self._last_count = self._window_count if is_next else 0
        self._window_count = 0
        self._window_start_s = now_s

    def progress(self, now_s):
        """Return which part of the reserved bytes arrived lately."""
        self._roll(now_s)
        arrived = self._last_count + self._window_count
        return arrived / max(self.reserved_bytes, 1)

    def may_give_way(self, now_s):
        """Tell whether the body is old enough for its progress to be known."""
        return self.is_receiving and now_s - self.started_s >= PROGRESS_WINDOW_S


class Admission(record.Record):
    """Answer to a request for bytes, and the shares that gave way to it."""

    __slots__ = ("share", "evicted")
    _defaults = {"share": None, "evicted": list}


class Budget:
    """Shares of all requests of a process.

    Examples
    --------
    >>> budget = Budget(100_000)
    >>> first = budget.reserve("first", 60_000, now_s=0).share
    >>> budget.reserve("second", 60_000, now_s=0.5).share is None
    True
    >>> [share.owner for share in budget.reserve("third", 60_000, now_s=2).evicted]
    ['first']
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._shares = {}

    def __len__(self):
        return len(self._shares)

    def reserve(self, owner, size, now_s):
        """Reserve bytes for a new request; return an `Admission`."""
        evicted = self._make_room(size, size, None, now_s)
        if evicted is None:
            return Admission()
        share = Share(owner, size, now_s)
        self._shares[share] = None
        self.reserved_bytes += size
        return Admission(share=share, evicted=evicted)

    def resize(self, share, size, now_s):
        """Change the size of a share; return an `Admission`.

        Without room, the share keeps its size and the admission has no share.
        """
        added = size - share.reserved_bytes
        evicted = [] if added <= 0 else self._make_room(added, size, share, now_s)
        if evicted is None:
            return Admission()
        share.reserved_bytes = size
        self.reserved_bytes += added
        return Admission(share=share, evicted=evicted)

    def add_fixed(self, size):
        """Add bytes that are held anyway, or remove them with a negative size."""
        self.reserved_bytes += size

    def release(self, share):
        """Return the bytes of a share; nothing happens if that was done before."""
        if share in self._shares:
            del self._shares[share]
            self.reserved_bytes -= share.reserved_bytes

    def _make_room(self, added, size, own, now_s):
        """Release shares until bytes can be added for a request of a size.

        Returns
        -------
        list of Share or None
            What gave way; None, with nothing released, if that can't make the room.
        """
        limit = self.max_bytes * (LARGE_SHARE if size > SMALL_BYTES else 1)
        missing = self.reserved_bytes + added - limit
        if missing <= 0:
            return []
        candidates = [
            share
            for share in self._shares
            if share is not own and share.may_give_way(now_s)
        ]
        candidates.sort(key=lambda each: (each.progress(now_s), -each.reserved_bytes))
        evicted = []
        for share in candidates:
            evicted.append(share)
            missing -= share.reserved_bytes
            if missing <= 0:
                break
        else:
            return None
        for share in evicted:
            self.release(share)
        return evicted
