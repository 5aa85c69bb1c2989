"""Tasks: the table, its indexes, and the basic changes of a task's placement.

A task is placed at an upstream exactly while its `upstream` is not empty: from its
assignment until its stop is reported or its worker is lost. A task that ends while it
is placed, such as a cancelled one, keeps its placement and its reservation until then.
"""

from sardinegauge import record
from sardinegauge.state import snapshots, tenants

ENDED_STATES = frozenset({"finished", "failed", "cancelled", "impossible"})
MAX_FAILED_UPSTREAMS = 10
MAX_TASKS = 200_000
"""Nearly ten times the target size; limits the size of snapshots and memory."""


class Task(record.Record):
    """One task of a job or a service.

    `cores`, `memory_mb` (MB), `accelerators` and `connections` are the reservation, or
    that of the next start; the declared sizes are the operator's. `epoch` is that of
    the newest start, 0 before the first.
    """

    __slots__ = (
        "id",
        "job",
        "service",
        "tenant",
        "task_class",
        "group",
        "state",
        "epoch",
        "upstream",
        "incarnation",
        "cores",
        "memory_mb",
        "accelerators",
        "connections",
        "declared_cores",
        "declared_memory_mb",
        "checkpoint",
        "command",
        "run_time_s",
        "evictions",
        "failures",
        "failed_upstreams",
        "reason",
        "changed_at_ms",
        "pending_since_ms",
    )
    _defaults = {
        "job": "",
        "service": "",
        "group": "",
        "state": "pending",
        "epoch": 0,
        "upstream": "",
        "incarnation": "",
        "accelerators": 0,
        "connections": 0,
        "checkpoint": "",
        "command": "",
        "run_time_s": 0.0,
        "evictions": 0,
        "failures": 0,
        "failed_upstreams": list,
        "reason": "",
        "changed_at_ms": 0,
        "pending_since_ms": 0,
    }

    @property
    def has_ended(self):
        """Tell whether the task will never be assigned again."""
        return self.state in ENDED_STATES


class Tasks:
    """All tasks by id, with indexes.

    `ids_by_upstream` holds the same set objects as `workers.Worker.task_ids`, so that
    the two are always equal.
    """

    __slots__ = ("by_id", "ids_by_upstream", "pending_by_id", "usage_by_tenant")

    def __init__(self):
        self.by_id = {}
        self.pending_by_id = {}
        self.ids_by_upstream = {}
        self.usage_by_tenant = {}

    def add(self, task):
        """Add a pending task."""
        self.by_id[task.id] = task
        self._add_pending(task)

    def remove(self, task):
        """Remove an ended task that is not placed."""
        del self.by_id[task.id]

    def place(self, task, worker):
        """Place a pending task at a worker; its reservation must be set before."""
        self._remove_pending(task)
        task.upstream = worker.upstream
        task.incarnation = worker.incarnation
        worker.task_ids.add(task.id)
        self._usage(task).add(task, 1)
        worker.update_reserved(task, 1, self.by_id)

    def release(self, task, worker):
        """End the placement of a task and free its reservation."""
        task.upstream = ""
        task.incarnation = ""
        worker.task_ids.discard(task.id)
        self._usage(task).add(task, -1)
        self._remove_empty_usage(task)
        worker.update_reserved(task, -1, self.by_id)

    def make_pending(self, task, at_ms, reason):
        """Make a task that is not placed pending."""
        task.state = "pending"
        task.reason = reason
        task.changed_at_ms = at_ms
        task.pending_since_ms = at_ms
        self._add_pending(task)

    def end(self, task, state, at_ms, reason):
        """Set the final state of a task; its placement lasts until it stops."""
        if task.state == "pending":
            self._remove_pending(task)
            self._remove_empty_usage(task)
        task.state = state
        task.reason = reason
        task.changed_at_ms = at_ms

    def resize(self, task, worker, cores, memory_mb):
        """Change the reservation of a placed task."""
        usage = self._usage(task)
        usage.add(task, -1)
        worker.reserved.memory_mb += memory_mb - task.memory_mb
        task.cores = cores
        task.memory_mb = memory_mb
        usage.add(task, 1)
        worker.update_reserved_cores(self.by_id)

    def _add_pending(self, task):
        self.pending_by_id[task.id] = task
        self._usage(task).pending += 1

    def _remove_pending(self, task):
        del self.pending_by_id[task.id]
        self._usage(task).pending -= 1

    def _usage(self, task):
        usage = self.usage_by_tenant.get(task.tenant)
        if usage is None:
            usage = self.usage_by_tenant[task.tenant] = tenants.Usage()
        return usage

    def _remove_empty_usage(self, task):
        # Names of tenants are free text, so unused ones must not accumulate.
        if self.usage_by_tenant[task.tenant].is_empty:
            del self.usage_by_tenant[task.tenant]

    def to_snapshot(self, machine):
        """Return the table as plain columns and rows.

        A task's command is left out if it equals that of its job or service: 10,000
        copies of a long command would be most of the snapshot.
        """
        table = snapshots.to_rows(Task, self.by_id.values())
        column = table["fields"].index("command")
        for task, row in zip(self.by_id.values(), table["rows"]):
            if task.command == _owner(machine, task).command:
                row[column] = None
        return table

    def load_snapshot(self, data, machine):
        """Rebuild the table and its indexes; the other tables must be loaded before."""
        workers = machine.workers
        for task in snapshots.from_rows(Task, data):
            if task.command is None:
                task.command = _owner(machine, task).command
            self.by_id[task.id] = task
            if task.state == "pending":
                self._add_pending(task)
            elif task.upstream:
                worker = workers.by_upstream[task.upstream]
                worker.task_ids.add(task.id)
                worker.update_reserved(task, 1, self.by_id)
                self._usage(task).add(task, 1)


def _owner(machine, task):
    """Return the job or service of a task."""
    if task.service:
        return machine.services.by_name[task.service]
    return machine.jobs.by_id[task.job]
