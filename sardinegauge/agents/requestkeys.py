"""Request keys that were claimed for this agent, so that none runs a second time."""

from sardinegauge import record

MAX_KEYS = 8192
KEEP_MS = 3_600_000
MAX_BODY_BYTES = 64 * 1024
# All stored responses together; the oldest are dropped first.
MAX_STORED_BYTES = 2 << 20
# What one header takes besides its text: a record, two strings and a list slot.
HEADER_OVERHEAD_BYTES = 200

RUNNING = "running"
FINISHED = "finished"
FENCED = "fenced"
CUT = "cut"
UNKNOWN = "unknown"


class Entry(record.Record):
    """What became of one key.

    `state` is ``running``, ``finished``, ``fenced`` or ``cut`` (it may have run and
    its response is lost). `headers` is a list of `httpmessages.Header`; `size` is what
    headers and body take in bytes.
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

    The table holds at most `max_keys` entries, at about 0.4 KB each, and 2 MiB of
    responses: 5 MB when it is full. Then the oldest ended entry makes room, and its
    claim index becomes the floor: an unknown key at or below the floor may have run
    here, so it is neither run nor reported as unknown. Claim indexes are log indexes,
    hence a new claim is above the floor.

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
        self.floor = 0
        self.stored_bytes = 0

    def state(self, tenant, key, claim_index):
        """Return the state of a key; ``unknown`` means that it did not run here."""
        entry = self.by_key.get((tenant, key, claim_index))
        if entry is not None:
            return entry.state
        return CUT if claim_index <= self.floor else UNKNOWN

    def get(self, tenant, key, claim_index):
        """Return the entry of a key, or None."""
        return self.by_key.get((tenant, key, claim_index))

    def begin(self, now_ms, tenant, key, claim_index):
        """Mark an unknown key as running; return ``""``, or the state that forbids."""
        state = self.state(tenant, key, claim_index)
        if state != UNKNOWN:
            return state
        self._make_room(now_ms)
        self.by_key[tenant, key, claim_index] = Entry(state=RUNNING, at_ms=now_ms)
        return ""

    def release(self, tenant, key, claim_index):
        """Forget a running key whose request did not run."""
        entry = self.by_key.get((tenant, key, claim_index))
        if entry is not None and entry.state == RUNNING:
            del self.by_key[tenant, key, claim_index]

    def finish(self, now_ms, tenant, key, claim_index, status, headers, body):
        """Store the response of a running key; `body` is None when over the limit."""
        entry = self.by_key[tenant, key, claim_index]
        is_kept = body is not None and len(body) <= MAX_BODY_BYTES
        entry.state = FINISHED
        entry.at_ms = now_ms
        entry.status = status
        entry.is_body_kept = is_kept
        if is_kept:
            entry.headers = headers
            entry.body = bytes(body)
            entry.size = len(body) + sum(map(_header_size, headers))
        self.stored_bytes += entry.size
        self._drop_responses()

    def cut(self, now_ms, tenant, key, claim_index):
        """Note that a running key may have run and its response is lost."""
        entry = self.by_key[tenant, key, claim_index]
        entry.state = CUT
        entry.at_ms = now_ms

    def fence(self, now_ms, tenant, key, claim_index):
        """Forbid an unknown key for good; return the state after that."""
        state = self.state(tenant, key, claim_index)
        if state == UNKNOWN:
            self._make_room(now_ms)
            self.by_key[tenant, key, claim_index] = Entry(state=FENCED, at_ms=now_ms)
            return FENCED
        return state

    def expire(self, now_ms):
        """Drop ended entries that are older than claims are kept."""
        old = []
        for key, entry in self.by_key.items():
            if entry.state != RUNNING:
                if entry.at_ms + KEEP_MS > now_ms:
                    break
                old.append(key)
        for key in old:
            self._drop(key)

    def _make_room(self, now_ms):
        self.expire(now_ms)
        while len(self.by_key) >= self.max_keys:
            ended = (k for k, e in self.by_key.items() if e.state != RUNNING)
            oldest = next(ended, None)
            if oldest is None:
                return  # Running entries are bounded by the connections.
            self._drop(oldest)

    def _drop(self, key):
        entry = self.by_key.pop(key)
        self.stored_bytes -= entry.size
        self.floor = max(self.floor, key[2])

    def _drop_responses(self):
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
