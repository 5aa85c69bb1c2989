"""Assignment of runs by the log, which alone sees the order of all decisions.

A leader decides on the state that it has applied, and other commands may be applied
before its own. So limit and queue are checked again here.
"""

import collections

from sardinegauge import outcome
from sardinegauge.workflows import decisions
from sardinegauge.workflows import workflow as workflow_module


def assign_runs(machine, index, command):
    """Assign runs; the answer lists the tasks whose rows were still applicable.

    Its value ``reason_by_task`` holds why the others were refused, one of `decisions`.
    """
    batch = _Batch(machine.workflows, command)
    for rows in _group_rows(machine.workflows, command):
        batch.assign(rows)
    value = {}
    if batch.reason_by_task:
        value["reason_by_task"] = batch.reason_by_task
    return outcome.Accepted(ids=batch.assigned_ids, value=value)


def _group_rows(store, command):
    """Return the rows in groups that are assigned as a whole: gangs, or single rows."""
    rows_by_group = {}
    for position, row in enumerate(command.rows):
        group = position
        if command.queues_version:
            step = _find_step(store, row[0])
            if step is not None and step.is_gang:
                group = row[0].rpartition(".")[0]
        rows_by_group.setdefault(group, []).append(row)
    return rows_by_group.values()


class _Batch:
    """The rows of one `commands.AssignRuns` while they are applied."""

    __slots__ = (
        "_command",
        "_count_by_step",
        "_store",
        "assigned_ids",
        "reason_by_task",
    )

    def __init__(self, store, command):
        self._store = store
        self._command = command
        self._count_by_step = {}
        self.assigned_ids = []
        self.reason_by_task = {}

    def assign(self, rows):
        """Assign all rows of a group, or none if one is refused."""
        reason = self._reason_against(rows)
        for row in rows:
            if reason:
                self.reason_by_task[row[0]] = reason
            else:
                self._add_run(*row)

    def _reason_against(self, rows):
        """Return why a row of a group is refused, or "" if all can be assigned."""
        if len({row[0] for row in rows}) < len(rows):
            return decisions.OUTDATED
        added_by_worker = collections.Counter()
        for task_id, number, worker, incarnation in rows:
            registered = self._store.worker_by_id.get(worker)
            if registered is None or registered.life != incarnation:
                return decisions.OUTDATED
            workflow, occurrence, task = _find_or_create_task(self._store, task_id)
            if _is_outdated(workflow, task, number):
                return decisions.OUTDATED
            if not self._command.queues_version:
                continue
            if self._has_queue_changed(workflow):
                return decisions.QUEUE_CHANGED
            limit = task.step.max_per_worker
            if not limit:
                continue
            added_by_worker[worker] += 1
            count = self._counts(occurrence, task)[worker] + added_by_worker[worker]
            if count > limit:
                return decisions.LIMIT
        return ""

    def _has_queue_changed(self, workflow):
        """Return whether the queue changed after the version of the decision."""
        changed_by_name = self._store.queue_set.changed_by_name
        return changed_by_name.get(workflow.queue, 0) > self._command.queues_version

    def _counts(self, occurrence, task):
        """Return the runs of a task's step by worker, counted once for all rows."""
        step_id = task.id.rpartition(".")[0]
        if step_id not in self._count_by_step:
            self._count_by_step[step_id] = collections.Counter(
                run.worker
                for member in occurrence.tasks_by_step[task.position]
                for run in member.runs
            )
        return self._count_by_step[step_id]

    def _add_run(self, task_id, number, worker, incarnation):
        workflow, occurrence, task = self._store.find_task(task_id)
        run = workflow_module.Run(
            number=number,
            worker=worker,
            incarnation=incarnation,
            assigned_at_ms=self._command.at_ms,
        )
        task.last_run = number
        self._store.add_run(occurrence, task, run)
        workflow.state = workflow_module.RUNNING
        self.assigned_ids.append(task_id)
        step_id = task_id.rpartition(".")[0]
        if step_id in self._count_by_step:
            self._count_by_step[step_id][worker] += 1


def _is_outdated(workflow, task, number):
    if task is None or not workflow.is_open or task.is_done:
        return True
    if number <= task.last_run:
        return True
    return bool(task.runs) and not task.step.is_speculative


def _find_step(store, task_id):
    """Return the step of a task id, of which no occurrence may exist yet, or None."""
    parts = task_id.split(".")
    workflow = store.workflow_by_id.get(parts[0])
    if workflow is None or len(parts) != 4 or not parts[2].isdecimal():
        return None
    position = int(parts[2])
    return workflow.steps[position] if position < len(workflow.steps) else None


def _find_or_create_task(store, task_id):
    """Return the same as `Store.find_task`, and create the occurrence if needed."""
    found = store.find_task(task_id)
    _, _, task = found
    if task is not None:
        return found
    parts = task_id.split(".")
    workflow = store.workflow_by_id.get(parts[0])
    if workflow is None or len(parts) != 4 or not parts[1].isdigit():
        return None, None, None
    workflow.occurrence(int(parts[1]))
    return store.find_task(task_id)
