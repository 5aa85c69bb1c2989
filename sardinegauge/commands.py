"""Records of the commands in the log, which make all changes of the replicated machine.

An operator's command has a request id, under which the machine stores its answer for a
resend. Internal commands come from the leader or from entries. `at_ms` is the leader's
wall clock in milliseconds when it appended the command; the machine has no other clock.
"""

from sardinegauge import record
from sardinegauge.links import httpmessages, messages


class Command(record.Record):
    """Base of all commands; `at_ms` is set by the leader."""

    __slots__ = ("at_ms",)
    _defaults = {"at_ms": 0}


class OperatorCommand(Command):
    """Base of operators' commands, with the operator's name and the request id."""

    __slots__ = ("operator", "request_id")
    _defaults = {"at_ms": 0}


class SetConfiguration(OperatorCommand):
    """Replace the configuration if `base_version` is still the newest version.

    `document` is the whole configuration, see `configuration.check`. Answers:
    `Accepted` with the version, `Conflict`, or `Invalid`.
    """

    __slots__ = ("base_version", "document")


class SubmitJob(OperatorCommand):
    """Submit a batch job of one or more equal tasks.

    Sizes are for each task: cores, memory in MB, accelerators. `run_time_s` is the
    operator's estimate. A gang starts with all tasks or not at all. Answers: `Accepted`
    with the job's id, `Impossible`, or `Invalid`.
    """

    __slots__ = (
        "name",
        "tenant",
        "task_count",
        "cores",
        "memory_mb",
        "accelerators",
        "run_time_s",
        "urgent",
        "gang",
        "command",
        "group",
    )
    _defaults = {
        "at_ms": 0,
        "task_count": 1,
        "accelerators": 0,
        "run_time_s": 60.0,
        "urgent": False,
        "gang": False,
        "command": "",
        # Tasks of one interference class share estimates; default: the job's name.
        "group": "",
    }


class DeclareService(OperatorCommand):
    """Declare or change a long-lived service by its name.

    Each replica is a latency-critical task of the sizes given, spread over failure
    domains and racks. `replicas` 0 stops the service.
    """

    __slots__ = (
        "name",
        "tenant",
        "replicas",
        "cores",
        "memory_mb",
        "accelerators",
        "connections",
        "command",
    )
    _defaults = {"at_ms": 0, "accelerators": 0, "connections": 0, "command": ""}


class CancelJobs(OperatorCommand):
    """Cancel jobs by id, many with one command; cannot be undone."""

    __slots__ = ("jobs",)


class DrainUpstream(OperatorCommand):
    """Move tasks away from an upstream and assign it no new ones, or undo that."""

    __slots__ = ("draining", "upstream")
    _defaults = {"at_ms": 0, "draining": True}


class DrainDomain(OperatorCommand):
    """Drain a failure domain, or restore it if `undo` is set.

    In a drained domain nothing starts, and what runs there moves away. A domain without
    workers is accepted. Answers: `Accepted` with the domain as its id.
    """

    __slots__ = ("failure_domain", "undo")
    _defaults = {"at_ms": 0, "undo": False}


class ChangeMember(OperatorCommand):
    """Promote a learner or remove a member of the state group.

    `action` is ``"promote"`` or ``"remove"``. The leader turns it into a membership
    entry of the log, which does not change the machine.
    """

    __slots__ = ("identity", "action")


class RegisterWorker(Command):
    """Register an upstream, or a change of its announcement.

    A new incarnation makes the tasks of the previous one pending again, unless
    `previous_may_run` is set; see `workers.register` for when that must be set.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "failure_domain",
        "rack",
        "services",
        "room",
        "draining",
        "previous_may_run",
    )
    _defaults = {
        "at_ms": 0,
        "services": list,
        "draining": False,
        "previous_may_run": False,
    }
    _nested = {"room": messages.Room}


class WorkerLost(Command):
    """Record that the lease of an agent ended, so that its tasks are pending again."""

    __slots__ = ("incarnation", "upstream")


class Assignment(record.Record):
    """One task for one upstream; `epoch` must be the task's current epoch plus one.

    Sizes are those of the reservation: cores, memory in MB, accelerators, connections.
    """

    __slots__ = (
        "task",
        "epoch",
        "upstream",
        "incarnation",
        "cores",
        "memory_mb",
        "accelerators",
        "connections",
        "reason",
    )
    _defaults = {"accelerators": 0, "connections": 0, "reason": ""}


class AssignTasks(Command):
    """Place tasks; an assignment that does not fit its upstream is skipped."""

    __slots__ = ("assignments",)
    _nested = {"assignments": Assignment}


class Eviction(record.Record):
    """One assigned or running task to evict."""

    __slots__ = ("task", "epoch", "reason")
    _defaults = {"reason": ""}


class EvictTasks(Command):
    """Evict tasks by checkpoint; each resumes once after its stop is confirmed."""

    __slots__ = ("evictions",)
    _nested = {"evictions": Eviction}


class TaskChange(record.Record):
    """A change of a task's phase as its agent reported it."""

    __slots__ = ("task", "epoch", "phase", "reason", "checkpoint")
    _defaults = {"reason": "", "checkpoint": ""}


class CheckpointCommand(Command):
    """Base of the commands that hold checkpoints.

    With `has_long_checkpoints`, they may have `checkpoints.MAX_LENGTH` characters each.
    Logs of earlier releases hold commands without that field, which are invalid with a
    longer one than `checks.MAX_TEXT_LENGTH`.
    """

    __slots__ = ("has_long_checkpoints",)
    _defaults = {"at_ms": 0, "has_long_checkpoints": False}

    def to_dict(self):
        """Return the fields; replicas of earlier releases don't know the flag."""
        fields = super().to_dict()
        if not fields["has_long_checkpoints"]:
            del fields["has_long_checkpoints"]
        return fields


class ReportTasks(CheckpointCommand):
    """Changes of phase reported by one agent; those of old epochs have no effect."""

    __slots__ = ("changes", "upstream", "incarnation")
    _nested = {"changes": TaskChange}


class ResizeTasks(Command):
    """Change the reservations of tasks after usage reports, by task id.

    `cores_by_task` is in cores, `memory_mb_by_task` in MB.
    """

    __slots__ = ("cores_by_task", "memory_mb_by_task")
    _defaults = {"at_ms": 0, "memory_mb_by_task": dict}


class QuarantineWorker(Command):
    """Limit a worker to one task at a time, as a probe, or end that."""

    __slots__ = ("upstream", "quarantined", "reason")
    _defaults = {"at_ms": 0, "quarantined": True, "reason": ""}


class FailJob(Command):
    """End a job that fails on every worker or can never run."""

    __slots__ = ("job", "reason", "impossible")
    _defaults = {"at_ms": 0, "impossible": False}


class MakeClaim(Command):
    """Claim a request key for one upstream before the request is sent.

    Answers: `Accepted` whose value has the fields of the claim, new or existing, and
    ``is_new``; `Conflict` if the key was used with another digest.
    """

    __slots__ = ("tenant", "key", "digest", "upstream", "incarnation", "entry")
    _defaults = {"at_ms": 0, "entry": ""}


class SettleClaim(Command):
    """Store the answer of a claimed request. `body` is base64 text.

    `is_body_kept` is false when the body was too large to store.
    """

    __slots__ = (
        "tenant",
        "key",
        "claim_index",
        "status",
        "headers",
        "body",
        "is_body_kept",
    )
    _defaults = {"at_ms": 0, "headers": list, "body": "", "is_body_kept": True}
    _nested = {"headers": httpmessages.Header}


class ReleaseClaim(Command):
    """Release a claim whose request did not run and is fenced at its agent."""

    __slots__ = ("tenant", "key", "claim_index")


class ExpireClaims(Command):
    """Remove claims and stored answers created before a wall-clock time in ms."""

    __slots__ = ("before_ms",)


class SetQueues(Command):
    """Put a set of queues in force if its version is the highest so far.

    `packed` is the result of `workflows.queues.pack`. `source` is the operator's text,
    stored to be returned by queries. Answers: `Accepted` with the version in force, or
    `Invalid`.
    """

    __slots__ = ("version", "packed", "source")
    _defaults = {"at_ms": 0, "source": ""}


class SubmitWorkflow(Command):
    """Accept a workflow under the caller's id; a resend creates no second workflow.

    `steps` are `workflows.steps.Step` records as plain dicts. `seen_index` is a log
    index that the gateway knew to be applied when the call arrived: a refusal with a
    higher index blocks the command. Answers: `Accepted`, `Impossible` if the queue
    doesn't exist, `Conflict` if the workflow was refused, or `Invalid`.
    """

    __slots__ = (
        "id",
        "queue",
        "payload",
        "steps",
        "repeats",
        "first_at_ms",
        "interval_ms",
        "seen_index",
    )
    _defaults = {
        "at_ms": 0,
        "repeats": 0,
        "first_at_ms": 0,
        "interval_ms": 0,
        "seen_index": 0,
    }

    def to_dict(self):
        """Return the fields; replicas of earlier releases don't know `seen_index`."""
        fields = super().to_dict()
        if not fields["seen_index"]:
            del fields["seen_index"]
        return fields


class RefuseWorkflow(Command):
    """Record that a workflow is not accepted, unless it was accepted before.

    Its caller is told to return after `retry_after_s`. With `is_newcomer`, the gateway
    knows of no earlier refusal; `seen_index` is that of `SubmitWorkflow`. Answers:
    `Accepted` with the refusal's index as version, with the id of the workflow if it
    was accepted before, or with the value ``waited_ms`` if the caller is no newcomer
    but returns when it was told to, and nothing is recorded; `Impossible` if the
    refusal can't be recorded.
    """

    __slots__ = ("id", "queue", "retry_after_s", "is_newcomer", "seen_index")
    _defaults = {"at_ms": 0, "is_newcomer": False, "seen_index": 0}


class CancelWorkflow(Command):
    """Cancel a workflow. Answers: `Accepted`, or `Impossible` if it is unknown.

    With `is_binding`, an unknown id is recorded, and a later submission of it is
    answered with `Conflict`; an unknown id that can't be recorded is answered with
    `Conflict`, too. Logs of earlier releases hold cancels without this field, which
    record nothing.
    """

    __slots__ = ("id", "is_binding")
    _defaults = {"at_ms": 0, "is_binding": False}


class RegisterLife(Command):
    """Register a new incarnation of a worker; its fence is the command's log index."""

    __slots__ = ("worker", "life", "agent")


class AssignRuns(Command):
    """Assign runs of tasks; rows of task, run, worker and incarnation.

    Rows that are outdated are skipped; the answer's ids are the assigned tasks.
    `queues_version` is that of the queues on which the leader decided: rows beyond the
    limit of a step on a worker or of a queue that changed later are skipped, too, and
    with a member all of its gang. Logs of earlier releases hold no such version, and
    their rows are not checked for this.
    """

    __slots__ = ("rows", "queues_version")
    _defaults = {"at_ms": 0, "queues_version": 0}


class RecordEnds(CheckpointCommand):
    """Record ends of runs in one incarnation of a worker.

    Rows hold number, task, run, how and checkpoint; the number is 0 for an end that the
    worker did not report itself.
    """

    __slots__ = ("worker", "life", "rows")


class ReleaseLife(CheckpointCommand):
    """Release all runs of an incarnation that has ended or whose leases have expired.

    `checkpoints` are rows of task, run and the newest checkpoint known to the leader.
    """

    __slots__ = ("worker", "life", "checkpoints")
    _defaults = {"at_ms": 0, "has_long_checkpoints": False, "checkpoints": list}


class RecordCrash(Command):
    """Record a crash of a worker for the tasks of the runs that it ended.

    `agent` reported it. Rows hold task, run and a finding of `workflows.crashrecord`; a
    run that was recorded before is skipped. It removes no run.
    """

    __slots__ = ("worker", "life", "agent", "rows")


class GiveUpTask(Command):
    """End the workflow of a task that is the cause of its workers' crashes."""

    __slots__ = ("task",)


class ClearSuspects(Command):
    """Forget the suspected crashes of tasks that a worker survived."""

    __slots__ = ("tasks",)


class SetDomainDrain(Command):
    """Like `DrainDomain`, for callers without request ids.

    A repeated command changes nothing, so it may be resent.
    """

    __slots__ = ("failure_domain", "undo", "operator")
    _defaults = {"at_ms": 0, "undo": False, "operator": ""}


class KeepEstimates(Command):
    """Store the leader's estimates for its successor.

    `rows` are those of `workflows.interference.InterferenceModel.to_rows`, `run_times`
    those of `workflows.policies.runtimes.RunTimeModel.to_rows`; they replace earlier
    rows.
    """

    __slots__ = ("rows", "run_times")
    _defaults = {"at_ms": 0, "run_times": list}


REGISTRY = record.Registry.of_module(globals(), Command)
