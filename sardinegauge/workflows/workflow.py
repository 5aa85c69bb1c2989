"""One workflow in the replicated state: its occurrences, tasks and runs."""

from sardinegauge import record
from sardinegauge.workflows import steps as steps_module

PENDING = "pending"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"

# Due occurrences are left for a later plan once those before them hold this many
# unfinished tasks while some of these could be assigned.
MAX_DUE_TASKS = 1000

OPEN_STATES = frozenset({PENDING, RUNNING})


class Run(record.Record):
    """An assigned run of a task without a recorded end."""

    __slots__ = ("number", "worker", "incarnation", "assigned_at_ms")


class Task:
    """One task of an occurrence; `last_run` is its highest run number so far.

    `position` is that of its step in the workflow. `crashes` counts the last crashes of
    workers in which the task was suspected, since a worker survived one of its runs.
    `lost_runs` counts all its runs that ended with a crash, `last_lost_run` is the
    highest number of them.
    """

    __slots__ = (
        "checkpoint",
        "crashes",
        "failures",
        "id",
        "is_done",
        "last_lost_run",
        "last_run",
        "lost_runs",
        "position",
        "runs",
        "step",
    )

    def __init__(self, task_id, step, position=0):
        self.id = task_id
        self.step = step
        self.position = position
        self.last_run = 0
        self.failures = 0
        self.crashes = 0
        self.lost_runs = 0
        self.last_lost_run = 0
        self.checkpoint = ""
        self.is_done = False
        self.runs = []

    def find_run(self, number, worker, incarnation):
        """Return the run with this number in this incarnation of a worker, or None."""
        for run in self.runs:
            if (
                run.number == number
                and run.worker == worker
                and run.incarnation == incarnation
            ):
                return run
        return None


class Occurrence:
    """One repetition of a workflow's steps, with the tasks of each step.

    `remaining_by_step` counts the unfinished tasks of each step, `waiting_by_step`
    those of them without a run. `failed_gang_runs` holds, by step, the run numbers in
    which a member of a gang failed: a gang counts one failure for each, however many
    members failed.
    """

    __slots__ = (
        "__weakref__",
        "failed_gang_runs",
        "number",
        "remaining_by_step",
        "tasks_by_step",
        "waiting_by_step",
    )

    def __init__(self, workflow_id, number, steps):
        self.number = number
        self.tasks_by_step = [
            [
                Task(f"{workflow_id}.{number}.{position}.{index}", step, position)
                for index in range(step.count)
            ]
            for position, step in enumerate(steps)
        ]
        self.remaining_by_step = [step.count for step in steps]
        self.waiting_by_step = [step.count for step in steps]
        self.failed_gang_runs = [set() for _ in steps]

    def is_step_ready(self, position):
        """Return whether all steps that a step depends on are done."""
        tasks = self.tasks_by_step[position]
        return all(
            not self.remaining_by_step[earlier] for earlier in tasks[0].step.after
        )

    def add_run(self, task, run):
        """Add a run to one of the tasks."""
        if not task.runs:
            self.waiting_by_step[task.position] -= 1
        task.runs.append(run)

    def remove_run(self, task, run):
        """Remove a run of one of the tasks."""
        task.runs.remove(run)
        if not task.runs and not task.is_done:
            self.waiting_by_step[task.position] += 1

    def finish(self, task):
        """Mark one of the tasks as done, unless it is."""
        if task.is_done:
            return
        task.is_done = True
        self.remaining_by_step[task.position] -= 1
        if not task.runs:
            self.waiting_by_step[task.position] -= 1

    def tasks(self):
        """Iterate over the tasks of all steps."""
        for tasks in self.tasks_by_step:
            yield from tasks

    @property
    def has_assignable_tasks(self):
        """Whether a task has no run though the steps that it depends on are done."""
        return any(
            count and self.is_step_ready(position)
            for position, count in enumerate(self.waiting_by_step)
        )

    @property
    def is_complete(self):
        """Whether every task is done."""
        return not any(self.remaining_by_step)


class Workflow:
    """An accepted workflow; `state` is one of the constants of this module."""

    __slots__ = (
        "accepted_at_ms",
        "completed_occurrences",
        "ended_at_ms",
        "first_at_ms",
        "id",
        "interval_ms",
        "is_persistent",
        "occurrences",
        "payload",
        "queue",
        "reason",
        "repeats",
        "state",
        "steps",
        "_first_unfinished",
    )

    def __init__(self, command, steps):
        self.id = command.id
        self.queue = command.queue
        self.payload = command.payload
        self.steps = steps
        self.repeats = command.repeats
        self.first_at_ms = command.first_at_ms
        self.interval_ms = command.interval_ms
        self.accepted_at_ms = command.at_ms
        self.ended_at_ms = 0
        self.state = PENDING
        self.reason = ""
        self.occurrences = {}
        self.completed_occurrences = set()
        self._first_unfinished = 0
        self.is_persistent = any(step.is_persistent for step in steps)

    @property
    def is_open(self):
        """Whether tasks of the workflow may still start."""
        return self.state in OPEN_STATES

    def occurrence(self, number):
        """Return an occurrence, created on first use; None if the number is invalid."""
        occurrence = self.occurrences.get(number)
        if occurrence is None and 0 <= number < max(self.repeats, 1):
            occurrence = Occurrence(self.id, number, self.steps)
            self.occurrences[number] = occurrence
        return occurrence

    def due_at_ms(self, number):
        """Return the wall-clock time in ms from which on an occurrence may start."""
        if not self.repeats:
            return 0
        return self.first_at_ms + number * self.interval_ms

    def due_occurrences(self, wall_ms):
        """Return the first unfinished occurrences that are due.

        Those at work are returned, too. Later ones follow as `MAX_DUE_TASKS` allows, so
        that a workflow whose times have all passed doesn't hold up all others.
        """
        due = []
        task_count = 0
        while self._first_unfinished in self.completed_occurrences:
            self._first_unfinished += 1
        for number in range(self._first_unfinished, max(self.repeats, 1)):
            if self.due_at_ms(number) > wall_ms or task_count >= MAX_DUE_TASKS:
                break
            if number in self.completed_occurrences:
                continue
            occurrence = self.occurrence(number)
            due.append(occurrence)
            if occurrence.has_assignable_tasks:
                task_count += sum(occurrence.remaining_by_step)
        return due

    def tasks(self):
        """Iterate over the tasks of all occurrences created so far."""
        for occurrence in self.occurrences.values():
            yield from occurrence.tasks()

    def end(self, state, at_ms, reason=""):
        """Enter a final state."""
        self.state = state
        self.ended_at_ms = at_ms
        self.reason = reason

    def to_snapshot(self):
        """Return the workflow as plain data."""
        return {
            "id": self.id,
            "queue": self.queue,
            "payload": self.payload,
            "steps": [step.to_dict() for step in self.steps],
            "repeats": self.repeats,
            "first_at_ms": self.first_at_ms,
            "interval_ms": self.interval_ms,
            "at_ms": self.accepted_at_ms,
            "ended_at_ms": self.ended_at_ms,
            "state": self.state,
            "reason": self.reason,
            "completed": sorted(self.completed_occurrences),
            "occurrences": [
                _occurrence_to_snapshot(occurrence)
                for occurrence in self.occurrences.values()
            ],
        }

    @classmethod
    def from_snapshot(cls, data):
        """Rebuild a workflow from the result of `to_snapshot`."""
        workflow = cls.__new__(cls)
        for name in (
            "id",
            "queue",
            "payload",
            "repeats",
            "first_at_ms",
            "interval_ms",
            "ended_at_ms",
            "state",
            "reason",
        ):
            setattr(workflow, name, data[name])
        workflow.accepted_at_ms = data["at_ms"]
        workflow.steps = [steps_module.Step.from_dict(step) for step in data["steps"]]
        workflow.is_persistent = any(step.is_persistent for step in workflow.steps)
        workflow.completed_occurrences = set(data["completed"])
        workflow._first_unfinished = 0
        workflow.occurrences = {}
        for occurrence_data in data["occurrences"]:
            _load_occurrence(
                workflow.occurrence(occurrence_data["number"]), occurrence_data
            )
        return workflow


def _occurrence_to_snapshot(occurrence):
    return {
        "number": occurrence.number,
        "left": list(occurrence.remaining_by_step),
        "failed_gang_runs": [sorted(runs) for runs in occurrence.failed_gang_runs],
        "tasks": [
            [
                [
                    task.last_run,
                    task.failures,
                    task.checkpoint,
                    task.is_done,
                    [
                        [run.number, run.worker, run.incarnation, run.assigned_at_ms]
                        for run in task.runs
                    ],
                    [task.crashes, task.lost_runs, task.last_lost_run],
                ]
                for task in tasks
            ]
            for tasks in occurrence.tasks_by_step
        ],
    }


def _load_occurrence(occurrence, data):
    occurrence.remaining_by_step = list(data["left"])
    occurrence.failed_gang_runs = [set(runs) for runs in data["failed_gang_runs"]]
    for tasks, data_of_tasks in zip(occurrence.tasks_by_step, data["tasks"]):
        for task, task_data in zip(tasks, data_of_tasks):
            task.last_run, task.failures, task.checkpoint, task.is_done, runs = (
                task_data[:5]
            )
            # Snapshots of earlier releases end here.
            if len(task_data) > 5:
                task.crashes, task.lost_runs, task.last_lost_run = task_data[5]
            task.runs = [
                Run(
                    number=number,
                    worker=worker,
                    incarnation=incarnation,
                    assigned_at_ms=at_ms,
                )
                for number, worker, incarnation, at_ms in runs
            ]
    occurrence.waiting_by_step = [
        sum(not task.is_done and not task.runs for task in tasks)
        for tasks in occurrence.tasks_by_step
    ]
