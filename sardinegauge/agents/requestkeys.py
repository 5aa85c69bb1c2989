"""Table of the request keys of one agent, which keeps a key from running twice."""

from sardinegauge import record

MAX_KEYS = 8192
RETENTION_MS = 3_600_000
MAX_BODY_BYTES = 64 * 1024
# Limit of all stored responses together; the oldest responses are dropped first.
MAX_STORED_BYTES = 2 << 20
# Memory of a header besides its text: a record, two string objects and a list slot.
HEADER_OVERHEAD_BYTES = 200

RUNNING = "running"
FINISHED = "finished"
FENCED = "fenced"
CUT = "cut"
UNKNOWN = "unknown"


class Entry(record.Record):
    """State and stored response of one key.

    `state` is ``running``, ``finished``, ``fenced`` or ``cut``, which means that the
    request may have run and its response is lost. `headers` is a list of
    `httpmessages.Header`; `size` is the memory of headers and body in bytes.
    """

    __slots__ = ("state", "at_ms", "status", "headers", "body", "is_body_kept", "size")
    _defaults = {
        "status": 0,
        "headers": tuple,
        "body": b"",
        "is_body_kept": False,
        "size": 0,
    }


class RequestKeys:
    """Table of entries by (tenant, key, claim index), bounded in number and bytes.

    The table holds at most `max_keys` entries of about 0.4 KB each, and 2 MiB of
    responses, which is 5 MB in total. When the table is full, the oldest entry that has
    ended is dropped. `max_dropped_index` is the highest claim index among the dropped
    entries. A key that is not in the table and whose claim index is not above
    `max_dropped_index` may have run on this agent, so its state is ``cut`` rather than
    ``unknown`` and it is not run. Claim indexes are log indexes, hence the index of a
    new claim is above `max_dropped_index`.

    Examples
    --------
    >>> keys = RequestKeys(max_keys=1)
    >>> keys.begin(0, "karri", "o1", 5)
    ''
    >>> keys.begin(0, "karri", "o1", 5)
    'running'
    >>> keys.finish(1, "karri", "o1", 5, 200, [], b"done")
    >>> keys.begin(2, "karri", "o2", 6), keys.begin(3, "karri", "o1", 5)
    ('', 'cut')
    """

    def __init__(self, max_keys=MAX_KEYS):
        self.max_keys = max_keys
        self.by_key = {}
        self.max_dropped_index = 0
        self.stored_bytes = 0

    def state(self, tenant, key, claim_index):
        """Return the state of a key; ``unknown`` if it did not run on this agent."""
        entry = self.by_key.get((tenant, key, claim_index))
        if entry is not None:
            return entry.state
        return CUT if claim_index <= self.max_dropped_index else UNKNOWN

    def get(self, tenant, key, claim_index):
        """Return the entry of a key, or None."""
        return self.by_key.get((tenant, key, claim_index))

    def begin(self, now_ms, tenant, key, claim_index):
        """Mark an unknown key as running and return ``""``; else return its state."""
        state = self.state(tenant, key, claim_index)
        if state != UNKNOWN:
            return state
        self._ensure_space(now_ms)
        self.by_key[tenant, key, claim_index] = Entry(state=RUNNING, at_ms=now_ms)
        return ""

    def release(self, tenant, key, claim_index):
        """Remove a key that is marked as running but whose request did not run."""
        entry = self.by_key.get((tenant, key, claim_index))
        if entry is not None and entry.state == RUNNING:
            del self.by_key[tenant, key, claim_index]

    def finish(self, now_ms, tenant, key, claim_index, status, headers, body):
        """Store the response of a running key; `body` is None if it is too large."""
        entry = self.by_key[tenant, key, claim_index]
        may_store_body = body is not None and len(body) <= MAX_BODY_BYTES
        entry.state = FINISHED
        entry.at_ms = now_ms
        entry.status = status
        entry.is_body_kept = may_store_body
        if may_store_body:
            entry.headers = headers
            entry.body = bytes(body)
            entry.size = len(body) + sum(map(_header_size, headers))
        self.stored_bytes += entry.size
        self._drop_oldest_responses()

    def mark_cut(self, now_ms, tenant, key, claim_index):
        """Record that a running key may have run and that its response is lost."""
        entry = self.by_key[tenant, key, claim_index]
        entry.state = CUT
        entry.at_ms = now_ms

    def fence(self, now_ms, tenant, key, claim_index):
        """Fence an unknown key, so that it never runs; return the resulting state."""
        state = self.state(tenant, key, claim_index)
        if state == UNKNOWN:
            self._ensure_space(now_ms)
            self.by_key[tenant, key, claim_index] = Entry(state=FENCED, at_ms=now_ms)
            return FENCED
        return state

    def expire(self, now_ms):
        """Drop entries that ended `RETENTION_MS` ago, when their claims expire too."""
        expired_keys = []
        for key, entry in self.by_key.items():
            if entry.state != RUNNING:
                if entry.at_ms + RETENTION_MS > now_ms:
                    break
                expired_keys.append(key)
        for key in expired_keys:
            self._drop(key)

    def _ensure_space(self, now_ms):
        self.expire(now_ms)
        while len(self.by_key) >= self.max_keys:
            ended_keys = (
                key for key, entry in self.by_key.items() if entry.state != RUNNING
            )
            oldest_key = next(ended_keys, None)
            if oldest_key is None:
                return  # Connections bound the number of running entries.
            self._drop(oldest_key)

    def _drop(self, key):
        entry = self.by_key.pop(key)
        self.stored_bytes -= entry.size
        _, _, claim_index = key
        self.max_dropped_index = max(self.max_dropped_index, claim_index)

    def _drop_oldest_responses(self):
        if self.stored_bytes <= MAX_STORED_BYTES:
            return
        for entry in self.by_key.values():
            if entry.is_body_kept:
                self.stored_bytes -= entry.size
                entry.size = 0
                entry.headers = ()
                entry.body = b""
                entry.is_body_kept = False
                if self.stored_bytes <= MAX_STORED_BYTES:
                    return


def _header_size(header):
    return len(header.name) + len(header.value) + HEADER_OVERHEAD_BYTES
