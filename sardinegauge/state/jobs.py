"""Batch jobs: submission, end, and the retention of ended jobs."""

from sardinegauge import checks, outcome, record
from sardinegauge.state import snapshots, tasks

MAX_ENDED_JOBS = 5_000
"""Ended jobs retained for operators: about seven hours at 17,000 jobs a day."""
MAX_ENDED_TASKS = 10_000


class Job(record.Record):
    """One batch job of one or more equal tasks.

    `run_time_s` is the operator's estimate. `finished_count` is the number of finished
    tasks, so that the end of a task needs no scan of the others.
    """

    __slots__ = (
        "id",
        "name",
        "tenant",
        "state",
        "task_ids",
        "is_urgent",
        "is_gang",
        "group",
        "run_time_s",
        "reason",
        "submitted_at_ms",
        "finished_count",
        "command",
    )
    _defaults = {
        "state": "pending",
        "task_ids": list,
        "is_urgent": False,
        "is_gang": False,
        "group": "",
        "run_time_s": 0.0,
        "reason": "",
        "submitted_at_ms": 0,
        "finished_count": 0,
        "command": "",
    }

    @property
    def has_ended(self):
        """Tell whether the job's state is final."""
        return self.state in tasks.ENDED_STATES


class Jobs:
    """All jobs by id; `ended_order` has the ended ones, oldest first."""

    __slots__ = ("by_id", "ended_order", "ended_task_count")

    def __init__(self):
        self.by_id = {}
        self.ended_order = {}
        self.ended_task_count = 0

    @property
    def has_too_many_ended(self):
        """Tell whether the oldest ended jobs must be removed."""
        return (
            self.ended_task_count > MAX_ENDED_TASKS
            or len(self.ended_order) > MAX_ENDED_JOBS
        )

    def to_snapshot(self):
        """Return the table as plain data."""
        return {
            "ended": list(self.ended_order),
            "table": snapshots.to_rows(Job, self.by_id.values()),
        }

    def load_snapshot(self, data):
        """Rebuild the table."""
        for job in snapshots.from_rows(Job, data["table"]):
            self.by_id[job.id] = job
        self.ended_order = dict.fromkeys(data["ended"])
        self.ended_task_count = sum(
            len(self.by_id[id].task_ids) for id in self.ended_order
        )


def submit(machine, index, command):
    """Apply `commands.SubmitJob`; the job's id is derived from the log index."""
    if not machine.workers.can_ever_fit(command):
        return outcome.Impossible(
            reason=f"no worker can hold a task of {command.cores:g} cores, "
            f"{command.memory_mb} MB and {command.accelerators} accelerators"
        )
    count = len(machine.tasks.by_id) + command.task_count
    if count > tasks.MAX_TASKS:
        return outcome.Impossible(reason=f"more than {tasks.MAX_TASKS} tasks")
    job = Job(
        id=f"job-{index}",
        name=command.name,
        tenant=command.tenant,
        is_urgent=command.urgent,
        is_gang=command.gang,
        group=command.group or command.name,
        run_time_s=command.run_time_s,
        submitted_at_ms=command.at_ms,
        command=command.command,
    )
    machine.jobs.by_id[job.id] = job
    for number in range(command.task_count):
        task = _new_task(job, number, command)
        job.task_ids.append(task.id)
        machine.tasks.add(task)
    return outcome.Accepted(ids=[job.id])


def _new_task(job, number, command):
    return tasks.Task(
        id=f"{job.id}.{number}",
        job=job.id,
        tenant=job.tenant,
        task_class="urgent" if job.is_urgent else "batch",
        group=job.group,
        cores=command.cores,
        memory_mb=command.memory_mb,
        accelerators=command.accelerators,
        declared_cores=command.cores,
        declared_memory_mb=command.memory_mb,
        command=job.command,
        run_time_s=command.run_time_s,
        changed_at_ms=command.at_ms,
        pending_since_ms=command.at_ms,
    )


def mark_running(machine, task):
    """Set the state of a job to running when one of its tasks starts."""
    job = machine.jobs.by_id.get(task.job)
    if job is not None and job.state == "pending":
        job.state = "running"


def record_finished(machine, task, at_ms):
    """Count a finished task; the job finishes with its last one."""
    job = machine.jobs.by_id[task.job]
    job.finished_count += 1
    if job.finished_count == len(job.task_ids):
        _end(machine, job, "finished", at_ms, "")
        _remove_oldest_ended(machine)


def cancel(machine, index, command):
    """Apply `commands.CancelJobs`.

    The answer lists the cancelled jobs, the ``unknown`` ids, and the jobs that had
    ``ended`` before.
    """
    cancelled = []
    unknown = []
    ended = []
    for id in dict.fromkeys(command.jobs):
        job = machine.jobs.by_id.get(id)
        if job is None:
            unknown.append(id)
        elif job.has_ended:
            ended.append(id)
        else:
            _end(machine, job, "cancelled", command.at_ms, "cancelled by an operator")
            cancelled.append(id)
    _remove_oldest_ended(machine)
    return outcome.Accepted(ids=cancelled, value={"unknown": unknown, "ended": ended})


def fail(machine, index, command):
    """Apply `commands.FailJob`; a job that has ended is not changed."""
    job = machine.jobs.by_id.get(command.job)
    if job is None:
        return outcome.Impossible(reason="no such job")
    if job.has_ended:
        return outcome.Accepted()
    state = "impossible" if command.impossible else "failed"
    _end(machine, job, state, command.at_ms, checks.truncate_reason(command.reason))
    _remove_oldest_ended(machine)
    return outcome.Accepted(ids=[job.id])


def _end(machine, job, state, at_ms, reason):
    for id in job.task_ids:
        task = machine.tasks.by_id[id]
        if not task.has_ended:
            machine.tasks.end(task, state, at_ms, reason)
    job.state = state
    job.reason = reason
    machine.jobs.ended_order[job.id] = None
    machine.jobs.ended_task_count += len(job.task_ids)


def _remove_oldest_ended(machine):
    """Remove the oldest ended jobs, but none with a task that is still stopping."""
    jobs = machine.jobs
    if not jobs.has_too_many_ended:
        return
    for id in list(jobs.ended_order):
        if not jobs.has_too_many_ended:
            return
        job = jobs.by_id[id]
        ended = [machine.tasks.by_id[task_id] for task_id in job.task_ids]
        if any(task.upstream for task in ended):
            continue
        for task in ended:
            machine.tasks.remove(task)
        del jobs.by_id[id]
        del jobs.ended_order[id]
        jobs.ended_task_count -= len(ended)
