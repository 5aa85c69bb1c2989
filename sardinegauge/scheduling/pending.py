"""Queue of pending tasks, by class and by job or service."""

from sardinegauge import record

URGENT = "urgent"
LATENCY_CRITICAL = "latency_critical"
BATCH = "batch"
CLASSES = (URGENT, LATENCY_CRITICAL, BATCH)
# A batch unit that does not fit is tried again after this time, which bounds the cost
# of a long queue. Capacity that is freed in the meantime is found at the next try.
BATCH_BACKOFF_MS = 500
# Urgent units and services are tried again at the next tick.
PRIORITY_BACKOFF_MS = 100


class Unit(record.Record):
    """The pending tasks of one job or service, which all have the same size.

    `since_ms` is the wall-clock time at which the oldest task became pending.
    `not_before_ms` is the monotonic time of the next try.
    """

    __slots__ = (
        "name",
        "not_before_ms",
        "since_ms",
        "task_class",
        "task_ids",
        "tenant",
    )
    _defaults = {"not_before_ms": 0, "task_ids": dict}


def backoff_ms(unit):
    """Return the time after which a unit that did not fit is tried again."""
    return BATCH_BACKOFF_MS if unit.task_class == BATCH else PRIORITY_BACKOFF_MS


class PendingQueue:
    """Pending tasks by unit.

    A task whose assignment is in flight is not in the queue.
    """

    __slots__ = ("unit_by_task", "units_by_class")

    def __init__(self):
        self.units_by_class = {task_class: {} for task_class in CLASSES}
        self.unit_by_task = {}

    def __len__(self):
        return len(self.unit_by_task)

    def __contains__(self, task_id):
        return task_id in self.unit_by_task

    def add(self, task):
        """Add a task that is pending in the state machine, unless it is queued."""
        if task.id in self.unit_by_task:
            return
        name = task.job or task.service
        units = self.units_by_class[task.task_class]
        unit = units.get(name)
        if unit is None:
            unit = units[name] = Unit(
                name=name,
                tenant=task.tenant,
                task_class=task.task_class,
                since_ms=task.pending_since_ms,
            )
        unit.since_ms = min(unit.since_ms, task.pending_since_ms)
        unit.task_ids[task.id] = True
        self.unit_by_task[task.id] = unit

    def remove(self, task_id):
        """Remove a task, and its unit with the last task."""
        unit = self.unit_by_task.pop(task_id, None)
        if unit is None:
            return
        del unit.task_ids[task_id]
        if not unit.task_ids:
            del self.units_by_class[unit.task_class][unit.name]

    def ready(self, task_class, now_ms):
        """Return the units of a class whose back-off has passed, oldest first."""
        units = self.units_by_class[task_class].values()
        ready_units = [unit for unit in units if unit.not_before_ms <= now_ms]
        ready_units.sort(key=lambda unit: (unit.since_ms, unit.name))
        return ready_units

    def oldest_batch_since_ms(self):
        """Return since which wall-clock time the oldest batch unit waits, or None."""
        units = self.units_by_class[BATCH].values()
        return min((unit.since_ms for unit in units), default=None)
