"""Replicated state of queues, workflows and registered workers; part of the machine."""

from sardinegauge import outcome, record
from sardinegauge.workflows import cancellations, queues, refusals, steps
from sardinegauge.workflows import workflow as workflow_module

# Ended workflows are kept this long, so that duplicate submissions and late queries
# still find them.
RETENTION_MS = 15 * 60 * 1000

# How a run ended, in the rows of `commands.RecordEnds`. A refused run never started; a
# lost one ended with the crash of its worker.
DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"
BROKEN = "broken"
ALONE = "alone"
REFUSED = "refused"
LOST = "lost"
ENDS = frozenset({DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE, REFUSED, LOST})


class RegisteredWorker(record.Record):
    """The newest registered incarnation of a worker.

    `life` is the number of the incarnation, `seen_end` that of its last recorded end.
    `replaced_at_ms` is when a newer worker of the same agent was registered, or 0.
    """

    __slots__ = ("worker", "life", "agent", "seen_end", "replaced_at_ms")
    _defaults = {"seen_end": 0, "replaced_at_ms": 0}


class Store:
    """All workflows, queues and registered workers.

    `open_ids` and `ended_ids` are dicts without values: the ids of open workflows in
    order of acceptance, and of ended ones in order of their end. `estimates` and
    `run_times` are the rows of the newest `commands.KeepEstimates`.
    `runs_by_incarnation` holds the runs of each worker and incarnation, as a dict of
    the task by task id and run number.
    `suspected_ids` are the ids of tasks of open workflows with suspected crashes.
    `run_changes_by_worker` counts the runs that were added and removed.
    """

    __slots__ = (
        "_incarnations_by_worker",
        "cancellations",
        "ended_ids",
        "estimates",
        "open_ids",
        "queue_set",
        "refusals",
        "run_changes_by_worker",
        "run_times",
        "runs_by_incarnation",
        "suspected_ids",
        "worker_by_id",
        "workflow_by_id",
    )

    def __init__(self):
        self.queue_set = queues.QueueSet()
        self.workflow_by_id = {}
        self.worker_by_id = {}
        self.open_ids = {}
        self.ended_ids = {}
        self.estimates = []
        self.run_times = []
        self.refusals = refusals.Refusals()
        self.cancellations = cancellations.Cancellations()
        self.runs_by_incarnation = {}
        self.run_changes_by_worker = {}
        self.suspected_ids = set()
        self._incarnations_by_worker = {}

    def find_task(self, task_id):
        """Return the workflow, occurrence and task of a task id, each None if unknown.

        Examples
        --------
        >>> Store().find_task("w1.0.0.0")
        (None, None, None)
        """
        parts = task_id.split(".")
        workflow = self.workflow_by_id.get(parts[0])
        if workflow is None or len(parts) != 4:
            return None, None, None
        try:
            number, position, index = (int(part) for part in parts[1:])
        except ValueError:
            return None, None, None
        occurrence = workflow.occurrences.get(number)
        if occurrence is None:
            return None, None, None
        try:
            return workflow, occurrence, occurrence.tasks_by_step[position][index]
        except IndexError:
            return None, None, None

    def queue_of(self, workflow):
        """Return the queue of a workflow, even after the queue was removed."""
        return self.queue_set.known_by_name[workflow.queue]

    def runs_of(self, worker, incarnation):
        """Return the tasks of the runs of an incarnation by task id and run number."""
        return self.runs_by_incarnation.get((worker, incarnation), {})

    def incarnations_with_runs(self, worker):
        """Return the incarnations of a worker that have runs, as a new list."""
        return list(self._incarnations_by_worker.get(worker, ()))

    def add_run(self, occurrence, task, run):
        """Add a run to a task of an occurrence."""
        occurrence.add_run(task, run)
        self._index_run(task, run)

    def remove_run(self, occurrence, task, run):
        """Remove a run of a task of an occurrence."""
        occurrence.remove_run(task, run)
        key = (run.worker, run.incarnation)
        runs = self.runs_by_incarnation[key]
        del runs[task.id, run.number]
        self._count_run_change(run.worker)
        if not runs:
            del self.runs_by_incarnation[key]
            self._incarnations_by_worker[run.worker].discard(run.incarnation)

    def _index_run(self, task, run):
        key = (run.worker, run.incarnation)
        self.runs_by_incarnation.setdefault(key, {})[task.id, run.number] = task
        incarnations = self._incarnations_by_worker.setdefault(run.worker, set())
        incarnations.add(run.incarnation)
        self._count_run_change(run.worker)

    def _count_run_change(self, worker):
        count = self.run_changes_by_worker.get(worker, 0)
        self.run_changes_by_worker[worker] = count + 1

    def forget_worker(self, worker):
        """Remove a registered worker without runs."""
        del self.worker_by_id[worker]
        self._incarnations_by_worker.pop(worker, None)
        self.run_changes_by_worker.pop(worker, None)

    def to_snapshot(self):
        """Return the state as plain data."""
        return {
            "queues": self.queue_set.to_snapshot(),
            "workflows": [
                workflow.to_snapshot() for workflow in self.workflow_by_id.values()
            ],
            "workers": [worker.to_dict() for worker in self.worker_by_id.values()],
            "estimates": self.estimates,
            "run_times": self.run_times,
            "refusals": self.refusals.to_snapshot(),
            "cancellations": self.cancellations.to_snapshot(),
        }

    def load_snapshot(self, data):
        """Load the state from the result of `to_snapshot`."""
        self.queue_set = queues.QueueSet.from_snapshot(data["queues"])
        # Snapshots of earlier releases have no estimates, refusals and cancellations.
        self.estimates = data.get("estimates", [])
        self.run_times = data.get("run_times", [])
        self.refusals.load_snapshot(data.get("refusals", []))
        self.cancellations.load_snapshot(data.get("cancellations", []))
        for fields in data["workers"]:
            self.worker_by_id[fields["worker"]] = RegisteredWorker.from_dict(fields)
        for workflow_data in data["workflows"]:
            workflow = workflow_module.Workflow.from_snapshot(workflow_data)
            self.workflow_by_id[workflow.id] = workflow
            (self.open_ids if workflow.is_open else self.ended_ids)[workflow.id] = None
            for task in workflow.tasks():
                for run in task.runs:
                    self._index_run(task, run)
                if task.crashes and workflow.is_open and not task.is_done:
                    self.suspected_ids.add(task.id)


def end_workflow(store, workflow, state, at_ms, reason=""):
    """End an open workflow in a final state."""
    workflow.end(state, at_ms, reason)
    if store.suspected_ids:
        store.suspected_ids.difference_update(task.id for task in workflow.tasks())
    store.open_ids.pop(workflow.id, None)
    store.ended_ids[workflow.id] = None


def _drop_expired(store, now_ms):
    """Drop workflows and replaced workers after the retention period."""
    for workflow_id in list(store.ended_ids):
        workflow = store.workflow_by_id[workflow_id]
        if now_ms - workflow.ended_at_ms < RETENTION_MS:
            break
        for occurrence in workflow.occurrences.values():
            for task in occurrence.tasks():
                for run in list(task.runs):
                    store.remove_run(occurrence, task, run)
        del store.workflow_by_id[workflow_id]
        del store.ended_ids[workflow_id]
    for worker in list(store.worker_by_id.values()):
        is_expired = 0 < worker.replaced_at_ms < now_ms - RETENTION_MS
        if is_expired and not store.runs_of(worker.worker, worker.life):
            store.forget_worker(worker.worker)


# Commands of callers and operators.


def set_queues(machine, index, command):
    """Apply a set of queues; one with an outdated version is ignored."""
    queue_set = machine.workflows.queue_set
    problems = queue_set.apply(command.version, command.packed, command.source)
    if problems:
        return outcome.Invalid(problems=problems)
    return outcome.Accepted(version=queue_set.version)


def submit(machine, index, command):
    """Accept a workflow; a duplicate id gets the answer of the first submission."""
    store = machine.workflows
    if command.id in store.workflow_by_id:
        return outcome.Accepted(ids=[command.id])
    try:
        step_records = [steps.Step.from_dict(fields) for fields in command.steps]
    except (TypeError, ValueError, AttributeError) as error:
        return outcome.Invalid(problems=[["steps", str(error)]])
    problems = steps.check(command.replace(steps=step_records))
    if problems:
        return outcome.Invalid(problems=problems)
    if command.queue not in store.queue_set.by_name:
        return outcome.Impossible(reason="no such queue")
    if store.cancellations.blocks(command.id, command.at_ms):
        return outcome.Conflict(
            index, operator="", reason=cancellations.CANCELLED_BEFORE
        )
    refusal_index = store.refusals.blocking_index(command)
    if refusal_index:
        return outcome.Conflict(refusal_index, operator="", reason="refused before")
    store.refusals.remove(command.id)
    _drop_expired(store, command.at_ms)
    store.workflow_by_id[command.id] = workflow_module.Workflow(command, step_records)
    store.open_ids[command.id] = None
    return outcome.Accepted(ids=[command.id])


def cancel(machine, index, command):
    """Cancel a workflow; an ended workflow is not changed."""
    store = machine.workflows
    workflow = store.workflow_by_id.get(command.id)
    if workflow is None:
        return _cancel_unknown(store, index, command)
    if workflow.is_open:
        end_workflow(store, workflow, workflow_module.CANCELLED, command.at_ms)
    return outcome.Accepted(ids=[command.id])


def _cancel_unknown(store, index, command):
    """Keep out a submission that may still be on its way."""
    if command.is_binding and cancellations.can_be_submitted(command.id):
        if not store.cancellations.add(command.id, command.at_ms):
            return outcome.Conflict(
                index, operator="", reason="too many cancelled ids are recorded"
            )
        store.refusals.remove(command.id)
    return outcome.Impossible(reason="no such workflow")


# Commands of the leader.


def keep_estimates(machine, index, command):
    """Store the leader's estimates, which only a new leader reads."""
    machine.workflows.estimates = command.rows
    machine.workflows.run_times = command.run_times
    return outcome.Accepted()


def register_incarnation(machine, index, command):
    """Record a new incarnation of a worker.

    The runs of its former incarnations stay assigned until their release.
    """
    worker_by_id = machine.workflows.worker_by_id
    registered = worker_by_id.get(command.worker)
    # The same incarnation may be proposed twice; resetting `seen_end` would count ends
    # twice.
    if registered is None or registered.life != command.life:
        worker_by_id[command.worker] = RegisteredWorker(
            worker=command.worker, life=command.life, agent=command.agent
        )
        for other in worker_by_id.values():
            if other.agent == command.agent and other.life < command.life:
                other.replaced_at_ms = other.replaced_at_ms or command.at_ms
    return outcome.Accepted()


def record_ends(machine, index, command):
    """Record ends; an end number that was recorded before is ignored.

    Ends with number 0 are of runs that never started, and are always applied.
    """
    store = machine.workflows
    registered = store.worker_by_id.get(command.worker)
    if registered is not None and registered.life != command.life:
        registered = None
    for number, task_id, run_number, how, checkpoint in command.rows:
        if number:
            if registered is None or number <= registered.seen_end:
                continue
            registered.seen_end = number
        _apply_end(store, command, task_id, run_number, how, checkpoint)
    return outcome.Accepted()


def _apply_end(store, command, task_id, number, how, checkpoint):
    workflow, occurrence, task = store.find_task(task_id)
    if task is None:
        return
    run = task.find_run(number, command.worker, command.life)
    if run is not None:
        store.remove_run(occurrence, task, run)
    is_newest = run is not None or number >= task.last_run
    if checkpoint and is_newest and not task.is_done:
        _store_checkpoint(occurrence, task, checkpoint)
    if how == DONE:
        _finish_task(store, workflow, occurrence, task, command.at_ms)
    elif how == FAILED:
        _count_failure(store, workflow, occurrence, task, number, command.at_ms)


def _store_checkpoint(occurrence, task, checkpoint):
    if not task.step.is_gang:
        task.checkpoint = checkpoint
        return
    # A checkpoint of any member is valid for the whole gang, and all members must
    # restart from the same one.
    for member in step_tasks(occurrence, task):
        member.checkpoint = checkpoint


def step_tasks(occurrence, task):
    """Return all tasks of a task's step."""
    return occurrence.tasks_by_step[task.position]


def _finish_task(store, workflow, occurrence, task, at_ms):
    """Mark a task done, or all members of its gang, which end together."""
    if task.step.is_persistent or task.is_done:
        return
    finished = [task]
    if task.step.is_gang:
        finished = step_tasks(occurrence, task)
    for member in finished:
        occurrence.finish(member)
        store.suspected_ids.discard(member.id)
    if not occurrence.is_complete or not workflow.is_open:
        return
    workflow.completed_occurrences.add(occurrence.number)
    if len(workflow.completed_occurrences) == max(workflow.repeats, 1):
        end_workflow(store, workflow, workflow_module.COMPLETED, at_ms)


def _count_failure(store, workflow, occurrence, task, run_number, at_ms):
    task.failures += 1
    if task.step.is_persistent or not workflow.is_open or task.is_done:
        return
    failures = task.failures
    if task.step.is_gang:
        runs = occurrence.failed_gang_runs[task.position]
        runs.add(run_number)
        failures = len(runs)
    if failures >= store.queue_of(workflow).max_attempts:
        reason = f"task {task.id} failed {failures} times"
        end_workflow(store, workflow, workflow_module.FAILED, at_ms, reason)


def release_incarnation(machine, index, command):
    """Remove all runs of an incarnation, and store their last reported checkpoints."""
    store = machine.workflows
    checkpoint_by_run = {
        (task_id, run_number): checkpoint
        for task_id, run_number, checkpoint in command.checkpoints
    }
    for key, task in list(store.runs_of(command.worker, command.life).items()):
        _, run_number = key
        run = task.find_run(run_number, command.worker, command.life)
        _, occurrence, _ = store.find_task(task.id)
        store.remove_run(occurrence, task, run)
        if checkpoint_by_run.get(key) and not task.is_done:
            _store_checkpoint(occurrence, task, checkpoint_by_run[key])
    return outcome.Accepted()
