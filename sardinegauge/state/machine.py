"""The replicated state machine, which applies the commands of the log.

The machine is deterministic: it reads no clock and no random source, and no result
depends on the order of a set. Replicas that applied the same commands have equal
snapshots. No content of a command raises an exception: a malformed command changes
nothing and is answered with `outcome.Invalid`.
"""

from sardinegauge import checks, commands, outcome
from sardinegauge.state import (
    audit,
    claims,
    configuration,
    domaindrains,
    jobs,
    lifecycle,
    replies,
    services,
    tasks,
    workers,
)
from sardinegauge.workflows import assigning, crashrecord, refusals, store

SNAPSHOT_FORMAT = 1


class Machine:
    """The complete replicated state.

    `index` is the log index of the last command applied.

    Examples
    --------
    >>> machine = Machine()
    >>> apply(machine, 1, commands.SubmitJob(
    ...     operator="ana", request_id="r1", name="sweep", tenant="irbid",
    ...     cores=1.0, memory_mb=100))
    Accepted(version=0, ids=['job-1'], value={})
    >>> machine.tasks.by_id["job-1.0"].state
    'pending'
    """

    __slots__ = (
        "index",
        "configuration",
        "workers",
        "jobs",
        "services",
        "tasks",
        "claims",
        "replies",
        "audit",
        "workflows",
        "domain_drains",
    )

    def __init__(self):
        self.index = 0
        self.configuration = configuration.Configuration()
        self.workers = workers.Workers()
        self.jobs = jobs.Jobs()
        self.services = services.Services()
        self.tasks = tasks.Tasks()
        self.claims = claims.Claims()
        self.replies = replies.Replies()
        self.audit = audit.Audit()
        self.workflows = store.Store()
        self.domain_drains = domaindrains.DomainDrains()


_HANDLERS = {
    commands.SetConfiguration: configuration.set_document,
    commands.SubmitJob: jobs.submit,
    commands.DeclareService: services.declare,
    commands.CancelJobs: jobs.cancel,
    commands.DrainUpstream: workers.drain,
    commands.DrainDomain: domaindrains.set_drain,
    commands.SetDomainDrain: domaindrains.set_drain,
    commands.RegisterWorker: workers.register,
    commands.WorkerLost: workers.lose,
    commands.AssignTasks: lifecycle.assign,
    commands.EvictTasks: lifecycle.evict,
    commands.ReportTasks: lifecycle.report,
    commands.ResizeTasks: lifecycle.resize,
    commands.QuarantineWorker: workers.quarantine,
    commands.FailJob: jobs.fail,
    commands.MakeClaim: claims.create,
    commands.SettleClaim: claims.settle,
    commands.ReleaseClaim: claims.release,
    commands.ExpireClaims: claims.expire,
    commands.SetQueues: store.set_queues,
    commands.SubmitWorkflow: store.submit,
    commands.RefuseWorkflow: refusals.refuse,
    commands.CancelWorkflow: store.cancel,
    commands.KeepEstimates: store.keep_estimates,
    commands.RegisterLife: store.register_incarnation,
    commands.AssignRuns: assigning.assign_runs,
    commands.RecordEnds: store.record_ends,
    commands.ReleaseLife: store.release_incarnation,
    commands.RecordCrash: crashrecord.record_crash,
    commands.GiveUpTask: crashrecord.give_up_task,
    commands.ClearSuspects: crashrecord.clear_suspects,
}


_REPLY_FIELDS = ("operator", "request_id", "at_ms", "kind")


def apply(machine, index, command):
    """Apply one committed command and return its answer.

    Parameters
    ----------
    machine : Machine
        Changed in place.
    index : int
        The command's log index; each call has a higher one.
    command : commands.Command
        Any command of `commands.REGISTRY`, with any content.

    Returns
    -------
    outcome.Accepted, outcome.Conflict, outcome.Invalid or outcome.Impossible
        The answer; for a resent command of an operator, the first answer.
    """
    machine.index = index
    problems = checks.problems_of(command)
    if not isinstance(command, commands.OperatorCommand):
        if problems:
            return outcome.Invalid(problems=problems)
        return _HANDLERS[type(command)](machine, index, command)
    if any(path in _REPLY_FIELDS for path, _ in problems):
        # Without a valid key and time, the answer could not be stored and expired.
        return outcome.Invalid(problems=problems)
    return _apply_operator_command(machine, index, command, problems)


def _apply_operator_command(machine, index, command, problems):
    answer = machine.replies.find(command, problems)
    if answer is not None:
        return answer
    if problems:
        answer = outcome.Invalid(problems=problems)
    else:
        answer = _HANDLERS[type(command)](machine, index, command)
    machine.replies.store(command, problems, answer)
    if isinstance(answer, outcome.Accepted):
        machine.audit.add(index, command, answer)
    return answer


def to_snapshot(machine):
    """Return the complete machine as a dict of plain data for JSON."""
    return {
        "format": SNAPSHOT_FORMAT,
        "index": machine.index,
        "configuration": machine.configuration.to_dict(),
        "workers": machine.workers.to_snapshot(),
        "jobs": machine.jobs.to_snapshot(),
        "services": machine.services.to_snapshot(),
        "tasks": machine.tasks.to_snapshot(machine),
        "claims": machine.claims.to_snapshot(),
        "replies": machine.replies.to_snapshot(),
        "audit": machine.audit.to_snapshot(),
        "workflows": machine.workflows.to_snapshot(),
        "domain_drains": machine.domain_drains.to_snapshot(),
    }


def from_snapshot(data):
    """Rebuild the machine from the result of `to_snapshot`.

    Raises
    ------
    ValueError
        If the snapshot has a format that this version doesn't know.
    """
    if data["format"] != SNAPSHOT_FORMAT:
        raise ValueError(f"unknown snapshot format {data['format']!r}")
    machine = Machine()
    machine.index = data["index"]
    machine.configuration = configuration.Configuration.from_dict(data["configuration"])
    machine.workers.load_snapshot(data["workers"], machine.tasks.ids_by_upstream)
    machine.jobs.load_snapshot(data["jobs"])
    machine.services.load_snapshot(data["services"])
    machine.tasks.load_snapshot(data["tasks"], machine)
    machine.claims.load_snapshot(data["claims"])
    machine.replies.load_snapshot(data["replies"])
    machine.audit.load_snapshot(data["audit"])
    if "workflows" in data:
        machine.workflows.load_snapshot(data["workflows"])
    # Snapshots of earlier releases know no drained domains.
    if "domain_drains" in data:
        machine.domain_drains.load_snapshot(data["domain_drains"])
    return machine
