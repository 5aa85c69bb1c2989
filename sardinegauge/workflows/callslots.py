"""Limit of an agent's concurrent calls to its worker that change runs.

Without a free slot a call is not queued: only its run waits. The reducer decides what
the run needs when a slot becomes free, so that a start never outlives the order, lease
or drain that it was meant for.
"""

import logging

# A new connection is expensive for the worker. Holds are long polls and take no slot.
MAX_OPEN_CALLS = 6

log = logging.getLogger(__name__)


class CallSlots:
    """The open calls of one incarnation of a worker, and the runs that wait for a slot.

    Stops go first, since they free capacity; CPU caps go before starts, since they
    protect the tasks beside the run.

    Examples
    --------
    >>> slots = CallSlots()
    >>> [slots.take() for _ in range(MAX_OPEN_CALLS + 1)].count(True)
    6
    >>> slots.wait_to_start(("w.0.0.0", 1))
    >>> slots.wait_to_stop(("w.0.0.1", 1))
    >>> slots.next_key() is None
    True
    >>> slots.release()
    >>> slots.next_key()
    ('w.0.0.1', 1)
    """

    __slots__ = ("_cap_keys", "_start_keys", "_stop_keys", "open_count")

    def __init__(self):
        self.open_count = 0
        # Dicts without values keep the order in which the runs began to wait.
        self._stop_keys = {}
        self._cap_keys = {}
        self._start_keys = {}

    @property
    def waiting_count(self):
        """The number of runs that wait for a slot."""
        return len(self._stop_keys) + len(self._cap_keys) + len(self._start_keys)

    def take(self):
        """Take a slot; return whether one was free."""
        if self.open_count >= MAX_OPEN_CALLS:
            return False
        self.open_count += 1
        return True

    def release(self):
        """Free the slot of a call that has ended."""
        self.open_count -= 1

    def wait_to_stop(self, key):
        """Let a run wait until it can be stopped; it is not started any more."""
        self._start_keys.pop(key, None)
        self._cap_keys.pop(key, None)
        self._wait(self._stop_keys, key)

    def wait_to_cap(self, key):
        """Let a run wait until its CPU cap can be set."""
        self._wait(self._cap_keys, key)

    def wait_to_start(self, key):
        """Let a run wait until it can be started."""
        self._wait(self._start_keys, key)

    def _wait(self, keys, key):
        if not self.waiting_count:
            log.info("calls_waiting limit=%d task=%s run=%d", MAX_OPEN_CALLS, *key)
        keys.setdefault(key)

    def next_key(self):
        """Remove and return the run that waits first, None without a free slot."""
        if self.open_count >= MAX_OPEN_CALLS:
            return None
        for keys in (self._stop_keys, self._cap_keys, self._start_keys):
            if keys:
                key = next(iter(keys))
                del keys[key]
                return key
        return None
