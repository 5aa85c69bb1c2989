"""How much a replica may keep for open workflows on the memory of its machine."""

from sardinegauge import record
from sardinegauge.workflows.policies import admission

MIB = 1 << 20
# Memory of a replica without workflows, and the most that its log takes besides.
PROCESS_BYTES = 55 * MIB
LOG_BYTES = 64 * MIB
# A snapshot takes this many times the memory of what is held while it is encoded.
SNAPSHOT_COPIES = 1.3
# Shares of the memory that must be left for a new workflow, a large one and any other.
LARGE_RESERVE_SHARE = 0.2
RESERVE_SHARE = 0.1


class MemoryLimit(record.Record):
    """Memory of a replica and what is held of it.

    `memory_bytes` is the memory of the machine, 0 without a limit; `resident_bytes` is
    what the process uses now, 0 if not known; `held_bytes` is the part of it that is
    held for open workflows, by `admission.held_bytes`.

    Examples
    --------
    >>> limit = MemoryLimit(memory_bytes=160 * MIB, resident_bytes=130 * MIB)
    >>> limit.has_room(1000), limit.has_room(admission.LARGE_HELD_BYTES + 1)
    (True, False)
    """

    __slots__ = ("held_bytes", "memory_bytes", "resident_bytes")
    _defaults = {"held_bytes": 0, "memory_bytes": 0, "resident_bytes": 0}

    def has_room(self, added_bytes):
        """Tell whether a workflow that holds so many bytes may be added."""
        if not self.memory_bytes:
            return True
        is_large = added_bytes > admission.LARGE_HELD_BYTES
        reserve_share = LARGE_RESERVE_SHARE if is_large else RESERVE_SHARE
        snapshot_bytes = SNAPSHOT_COPIES * self.held_bytes
        left_bytes = self.memory_bytes - self.resident_bytes - snapshot_bytes
        return left_bytes - added_bytes >= reserve_share * self.memory_bytes

    @property
    def max_held_bytes(self):
        """The most that may be held for open workflows."""
        if not self.memory_bytes:
            return admission.MAX_HELD_BYTES
        if not self.has_room(0):
            return 0
        left_bytes = self.memory_bytes - PROCESS_BYTES - LOG_BYTES
        allowed_bytes = int(left_bytes / (1 + SNAPSHOT_COPIES))
        return max(min(admission.MAX_HELD_BYTES, allowed_bytes), 0)
