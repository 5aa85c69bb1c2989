"""Commands that were proposed and are not yet applied."""

from sardinegauge import commands

# A proposal that is not applied within this time was lost before it reached the log. If
# it was only delayed, the repeated one is rejected by its epochs or incarnation.
PROPOSAL_TIMEOUT_MS = 5_000


def keys_of(command):
    """Return the keys that identify the parts of a command while it is in flight.

    Examples
    --------
    >>> keys_of(commands.WorkerLost(upstream="a", incarnation="1"))
    [('lost', 'a', '1')]
    """
    if isinstance(command, commands.AssignTasks):
        return [
            ("assign", assignment.task, assignment.epoch)
            for assignment in command.assignments
        ]
    if isinstance(command, commands.EvictTasks):
        return [
            ("evict", eviction.task, eviction.epoch) for eviction in command.evictions
        ]
    if isinstance(command, commands.ReportTasks):
        return [
            ("report", change.task, change.epoch, change.phase)
            for change in command.changes
        ]
    if isinstance(command, commands.RegisterWorker):
        return [("register", command.upstream, command.incarnation)]
    if isinstance(command, commands.WorkerLost):
        return [("lost", command.upstream, command.incarnation)]
    if isinstance(command, commands.ResizeTasks):
        return [("resize", task_id) for task_id in command.cores_by_task]
    if isinstance(command, commands.QuarantineWorker):
        return [("quarantine", command.upstream)]
    if isinstance(command, commands.FailJob):
        return [("fail", command.job)]
    return []


class InFlight:
    """Keys of proposed commands with the time of their proposal, oldest first."""

    __slots__ = ("since_by_key",)

    def __init__(self):
        self.since_by_key = {}

    def __contains__(self, key):
        return key in self.since_by_key

    def add(self, now_ms, command):
        """Add the keys of a command that is proposed now."""
        for key in keys_of(command):
            self.since_by_key[key] = now_ms

    def remove(self, command):
        """Remove the keys of a command that was applied, whatever its answer."""
        for key in keys_of(command):
            self.since_by_key.pop(key, None)

    def expire(self, now_ms):
        """Remove the keys of proposals older than the timeout and return them."""
        expired = []
        for key, since_ms in self.since_by_key.items():
            if now_ms - since_ms < PROPOSAL_TIMEOUT_MS:
                break
            expired.append(key)
        for key in expired:
            del self.since_by_key[key]
        return expired
