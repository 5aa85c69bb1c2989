"""Reducer of the scheduler: machine and soft state in, commands and directives out.

The leader's replica runs it. It reads the machine and never changes it. Whatever must
survive the leader is proposed as a command; the rest is soft state, which a new leader
rebuilds from the machine and from heartbeats.
"""

import random

from sardinegauge import (
    capacity,
    commands,
    directives,
    heartbeats,
    inflight,
    pending,
    placement,
    planning,
    record,
)

STARTS_PER_S = 210.0


class LeadershipGained(record.Record):
    """This replica leads from now on; its machine holds all earlier terms' entries."""

    __slots__ = ("now_ms", "term")


class LeadershipLost(record.Record):
    """This replica no longer leads."""

    __slots__ = ("now_ms",)


class HeartbeatReceived(record.Record):
    """A `messages.Heartbeat` arrived from an agent."""

    __slots__ = ("heartbeat", "now_ms")


class CommandApplied(record.Record):
    """The machine applied a command of the log and gave `answer`."""

    __slots__ = ("answer", "command", "index", "now_ms")


class Tick(record.Record):
    """Time passes; expected every 100 ms."""

    __slots__ = ("now_ms",)


class Propose(record.Record):
    """Effect: put a command into the log."""

    __slots__ = ("command",)


class Direct(record.Record):
    """Effect: send a `messages.Directive` to an agent.

    A directive with a sequence answers the heartbeat of that sequence; sequence 0
    marks a push after a change, which renews no lease.
    """

    __slots__ = ("directive", "incarnation", "upstream")


class State:
    """Soft state of the scheduler; `machine` is read only."""

    def __init__(self, machine, policy=None):
        self.machine = machine
        self.policy = policy or placement.LeastLoaded()
        self.is_leader = False
        self.reset(0)

    def reset(self, term):
        """Drop all soft state; the term seeds the random choices of this leader."""
        self.term = term
        self.random = random.Random(term)
        self.leases = heartbeats.Leases()
        self.in_flight = inflight.InFlight()
        self.free = capacity.FreeRoom()
        self.pending = pending.PendingQueue()
        self.orders_by_upstream = {}
        self.throttle_by_task = {}
        self.upstream_by_task = {}
        self.ids_by_upstream = {}
        self.planned_upstream_by_task = {}
        self.start_tokens = 0.0
        self.tokens_at_ms = 0


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    if isinstance(event, LeadershipGained):
        return _gain(state, event)
    if isinstance(event, LeadershipLost):
        state.is_leader = False
        state.reset(0)
        return []
    if not state.is_leader:
        return []
    if isinstance(event, HeartbeatReceived):
        return _take_heartbeat(state, event.now_ms, event.heartbeat)
    if isinstance(event, CommandApplied):
        return _take_applied(state, event)
    if isinstance(event, Tick):
        return _tick(state, event.now_ms)
    raise TypeError(f"unknown event {type(event).__name__}")


def _gain(state, event):
    state.reset(event.term)
    state.is_leader = True
    state.tokens_at_ms = event.now_ms
    for worker in state.machine.workers.by_upstream.values():
        state.free.refresh(worker)
        if not worker.is_lost:
            state.leases.renew(worker.upstream, worker.incarnation, event.now_ms)
    for task_id in state.machine.tasks.by_id:
        _sync_task(state, task_id)
    return []


def _take_heartbeat(state, now_ms, heartbeat):
    effects = []
    worker = state.machine.workers.by_upstream.get(heartbeat.upstream)
    command = heartbeats.registration(state, heartbeat)
    if command is not None:
        effects.append(_propose(state, now_ms, command))
    is_known = (
        worker is not None
        and not worker.is_lost
        and worker.incarnation == heartbeat.incarnation
    )
    if not is_known:
        directive = directives.build_empty(heartbeat.sequence, "not registered yet")
        effects.append(_direct(heartbeat.upstream, heartbeat.incarnation, directive))
        return effects
    state.leases.renew(heartbeat.upstream, heartbeat.incarnation, now_ms)
    command = heartbeats.phase_changes(state, heartbeat)
    if command is not None:
        effects.append(_propose(state, now_ms, command))
    directive = directives.build(state, heartbeat.upstream, heartbeat.sequence)
    effects.append(_direct(heartbeat.upstream, heartbeat.incarnation, directive))
    return effects


def _take_applied(state, event):
    command = event.command
    state.in_flight.remove(command)
    task_ids = _touched_tasks(state, command, event.answer)
    touched = set()
    for task_id in task_ids:
        touched.update(_sync_task(state, task_id))
    upstream = getattr(command, "upstream", "")
    if isinstance(command, _WORKER_COMMANDS) and upstream:
        touched.add(upstream)
    if isinstance(command, commands.RegisterWorker):
        state.leases.renew(upstream, command.incarnation, event.now_ms)
    effects = []
    for upstream in sorted(touched):
        _refresh(state, upstream)
        worker = state.machine.workers.by_upstream.get(upstream)
        if worker is None or worker.is_lost:
            continue
        if isinstance(command, commands.ReportTasks):
            continue
        directive = directives.build(state, upstream)
        effects.append(_direct(upstream, worker.incarnation, directive))
    return effects


_WORKER_COMMANDS = (
    commands.RegisterWorker,
    commands.WorkerLost,
    commands.QuarantineWorker,
    commands.DrainUpstream,
)


def _touched_tasks(state, command, answer):
    machine = state.machine
    if isinstance(command, commands.AssignTasks):
        return [assignment.task for assignment in command.assignments]
    if isinstance(command, commands.EvictTasks):
        return [eviction.task for eviction in command.evictions]
    if isinstance(command, commands.ReportTasks):
        return [change.task for change in command.changes]
    if isinstance(command, commands.ResizeTasks):
        return list(command.cores_by_task)
    if isinstance(command, (commands.WorkerLost, commands.RegisterWorker)):
        return sorted(state.ids_by_upstream.get(command.upstream, ()))
    if isinstance(command, commands.SubmitJob):
        return _tasks_of_jobs(machine, getattr(answer, "ids", ()))
    if isinstance(command, commands.CancelJobs):
        return _tasks_of_jobs(machine, command.jobs)
    if isinstance(command, commands.FailJob):
        return _tasks_of_jobs(machine, [command.job])
    if isinstance(command, commands.DeclareService):
        service = machine.services.by_name.get(command.name)
        known = [] if service is None else sorted(service.task_ids)
        return known
    return []


def _tasks_of_jobs(machine, job_ids):
    found = []
    for job_id in job_ids:
        job = machine.jobs.by_id.get(job_id)
        if job is not None:
            found.extend(sorted(job.task_ids))
    return found


def _sync_task(state, task_id):
    """Bring the indexes in line with the machine's task; return touched upstreams."""
    task = state.machine.tasks.by_id.get(task_id)
    touched = []
    planned = state.planned_upstream_by_task.pop(task_id, None)
    if planned is not None:
        state.free.unplan(planned, task_id)
        touched.append(planned)
    old = state.upstream_by_task.pop(task_id, "")
    if old:
        state.ids_by_upstream[old].discard(task_id)
        touched.append(old)
    if task is None:
        state.pending.remove(task_id)
        return touched
    if task.upstream:
        state.upstream_by_task[task_id] = task.upstream
        state.ids_by_upstream.setdefault(task.upstream, set()).add(task_id)
        touched.append(task.upstream)
    if task.state == "pending":
        state.pending.add(task)
    else:
        state.pending.remove(task_id)
    return touched


def _refresh(state, upstream):
    worker = state.machine.workers.by_upstream.get(upstream)
    directives.forget(state, upstream)
    if worker is not None:
        state.free.refresh(worker)


def _tick(state, now_ms):
    for key in state.in_flight.expire(now_ms):
        if key[0] == "assign":
            for upstream in _sync_task(state, key[1]):
                _refresh(state, upstream)
    proposals = heartbeats.lost_workers(state, now_ms)
    proposals += planning.plan(state, now_ms, _starts_budget(state, now_ms))
    return [_propose(state, now_ms, command) for command in proposals]


def _starts_budget(state, now_ms):
    elapsed_ms = now_ms - state.tokens_at_ms
    state.tokens_at_ms = now_ms
    tokens = state.start_tokens + elapsed_ms * STARTS_PER_S / 1000.0
    state.start_tokens = min(tokens, STARTS_PER_S / 2)
    return int(state.start_tokens)


def _propose(state, now_ms, command):
    state.in_flight.add(now_ms, command)
    if isinstance(command, commands.AssignTasks):
        state.start_tokens -= len(command.assignments)
        for assignment in command.assignments:
            state.planned_upstream_by_task[assignment.task] = assignment.upstream
    return Propose(command=command)


def _direct(upstream, incarnation, directive):
    return Direct(upstream=upstream, incarnation=incarnation, directive=directive)


def explain(state, id):
    """Return lines of text on what was decided about a task, job or worker."""
    return []
