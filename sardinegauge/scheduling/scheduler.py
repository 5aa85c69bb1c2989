"""Reducer of the scheduler: turns events into proposed commands and directives.

It runs on the replica that leads. It reads the replicated state machine and never
modifies it. State that must survive a change of leader is proposed as a command. All
other state is soft: a new leader rebuilds it from the state machine and heartbeats.
"""

from sardinegauge import checks, commands, record
from sardinegauge.scheduling import (
    drains,
    explanations,
    heartbeats,
    planning,
    preemption,
    quarantine,
    reclamation,
    resizing,
    softstate,
    views,
)
from sardinegauge.state import directives

State = softstate.State
# Workers whose reservations are compared with their usage in one second.
RESIZE_CHECKS_PER_S = 200


class LeadershipGained(record.Record):
    """This replica became the leader and has applied all entries of earlier terms."""

    __slots__ = ("now_ms", "term")


class LeadershipLost(record.Record):
    """This replica is no longer the leader."""

    __slots__ = ("now_ms",)


class HeartbeatReceived(record.Record):
    """A `messages.Heartbeat` arrived from an agent."""

    __slots__ = ("heartbeat", "now_ms")


class CommandApplied(record.Record):
    """The state machine applied a command of the log, with the result `answer`."""

    __slots__ = ("answer", "command", "index", "now_ms")


class Tick(record.Record):
    """Periodic event, expected every 100 ms."""

    __slots__ = ("now_ms",)


class Propose(record.Record):
    """Effect: propose a command for the log."""

    __slots__ = ("command",)


class SendDirective(record.Record):
    """Effect: send a `messages.Directive` to an agent.

    A directive answers the heartbeat with the same sequence. Sequence 0 marks a push
    after a change, which renews no lease.
    """

    __slots__ = ("directive", "incarnation", "upstream")


def reduce(state, event):
    """Apply one event to the state and return the effects.

    `LeadershipGained` must come after the state machine has applied all entries of
    earlier terms. Directives built from an older state would stop tasks that must run.
    """
    if isinstance(event, CommandApplied):
        _update_wall_offset(state, event)
    if isinstance(event, LeadershipGained):
        return _start_leading(state, event)
    if isinstance(event, LeadershipLost):
        state.reset(0, event.now_ms)
        return []
    if not state.is_leader:
        return []
    state.now_ms = event.now_ms
    if isinstance(event, HeartbeatReceived):
        return _handle_heartbeat(state, event.now_ms, event.heartbeat)
    if isinstance(event, CommandApplied):
        return _handle_applied(state, event)
    if isinstance(event, Tick):
        return _handle_tick(state, event.now_ms)
    raise TypeError(f"unknown event {type(event).__name__}")


def _update_wall_offset(state, event):
    if event.command.at_ms > 0:
        state.wall_offset_ms = event.command.at_ms - event.now_ms


def _start_leading(state, event):
    state.reset(event.term, event.now_ms)
    state.is_leader = True
    state.configure()
    machine = state.machine
    for worker in machine.workers.by_upstream.values():
        state.refresh_worker(worker.upstream)
        if not worker.is_lost:
            state.leases.renew(worker.upstream, worker.incarnation, event.now_ms)
    for task_id, task in machine.tasks.by_id.items():
        state.sync_task(task_id)
        if task.upstream:
            # Includes older incarnations, whose tasks stay assigned until their lease
            # has expired.
            state.leases.renew(task.upstream, task.incarnation, event.now_ms)
        if task.state == "pending" and task.reason == resizing.OUTGREW:
            state.sizes.floor_by_task[task_id] = (task.cores, task.memory_mb)
    return []


def _handle_heartbeat(state, now_ms, heartbeat):
    effects = []
    upstream, incarnation = heartbeat.upstream, heartbeat.incarnation
    command = heartbeats.registration(state, heartbeat)
    if command is not None:
        effects.append(_propose(state, now_ms, command))
    worker = state.machine.workers.by_upstream.get(upstream)
    if worker is None or worker.is_lost or worker.incarnation != incarnation:
        reason = "not registered yet"
        if worker is not None and incarnation in worker.past_incarnations:
            reason = f"replaced by incarnation {worker.incarnation}"
        directive = directives.build_empty(heartbeat.sequence, reason)
        return [*effects, _send_directive(upstream, incarnation, directive)]
    state.leases.renew(upstream, incarnation, now_ms)
    changes = heartbeats.process_task_reports(state, now_ms, heartbeat)
    if changes:
        command = commands.ReportTasks(
            upstream=upstream,
            incarnation=incarnation,
            changes=changes,
            has_long_checkpoints=any(
                checks.is_long_checkpoint(change.checkpoint) for change in changes
            ),
        )
        effects.append(_propose(state, now_ms, command))
    view = state.views.get(upstream)
    if view is None:
        view = state.views[upstream] = views.WorkerView(upstream)
    views.update_loads(state, now_ms, view, heartbeat)
    directive = directives.build(state, upstream, heartbeat.sequence)
    effects.append(_send_directive(upstream, incarnation, directive))
    return effects


def _handle_applied(state, event):
    command, now_ms = event.command, event.now_ms
    state.in_flight.remove(command)
    if isinstance(command, commands.SetConfiguration):
        state.configure()
        return []
    follow_ups = _process_reports(state, now_ms, command, event.answer)
    task_ids = _affected_tasks(state, command, event.answer)
    affected_upstreams = set()
    for task_id in task_ids:
        affected_upstreams.update(state.sync_task(task_id))
    if isinstance(command, _WORKER_COMMANDS):
        affected_upstreams.add(command.upstream)
    elif isinstance(command, _DOMAIN_COMMANDS):
        affected_upstreams.update(drains.upstreams_of(state, command.failure_domain))
    _update_soft_state(state, now_ms, command, event.answer)
    for upstream in affected_upstreams:
        state.refresh_worker(upstream)
    effects = [_propose(state, now_ms, proposal) for proposal in follow_ups]
    if not isinstance(command, commands.ReportTasks):
        # The agent that reported the changes gets a directive with its next heartbeat.
        effects += _push_directives(state, affected_upstreams)
    return effects


def _push_directives(state, upstreams):
    effects = []
    for upstream in sorted(upstreams):
        worker = state.machine.workers.by_upstream.get(upstream)
        if worker is not None and not worker.is_lost:
            directive = directives.build(state, upstream)
            effects.append(_send_directive(upstream, worker.incarnation, directive))
    return effects


_WORKER_COMMANDS = (
    commands.RegisterWorker,
    commands.WorkerLost,
    commands.QuarantineWorker,
    commands.DrainUpstream,
)
_DOMAIN_COMMANDS = (commands.DrainDomain, commands.SetDomainDrain)


def _update_soft_state(state, now_ms, command, answer):
    """Update leases, views, rate limits and reasons after an applied command."""
    if isinstance(command, commands.RegisterWorker):
        worker = state.machine.workers.by_upstream.get(command.upstream)
        if worker is not None and worker.incarnation == command.incarnation:
            state.leases.renew(command.upstream, command.incarnation, now_ms)
    elif isinstance(command, commands.WorkerLost):
        worker = state.machine.workers.by_upstream.get(command.upstream)
        if worker is None or worker.is_lost:
            view = state.views.pop(command.upstream, None)
            if view is not None:
                state.load_count -= len(view.load_by_service)
            state.rate_limits.record_loss(now_ms)
    elif isinstance(command, commands.AssignTasks):
        skipped = getattr(answer, "value", {}).get("skipped", {})
        for task_id, reason in skipped.items():
            state.reasons.record_decision(now_ms, [task_id], "not assigned: {}", reason)


def _process_reports(state, now_ms, command, answer):
    """Process the outcomes of reported tasks and return the resulting commands.

    The commands quarantine or release workers and fail jobs.
    """
    if not isinstance(command, commands.ReportTasks):
        return []
    changed_task_ids = set(getattr(answer, "ids", ()))
    proposals = []
    for change in command.changes:
        task = state.machine.tasks.by_id.get(change.task)
        if change.task not in changed_task_ids or task is None:
            continue
        if change.phase in ("failed", "finished") and task.state == "pending":
            worker = state.machine.workers.by_upstream.get(command.upstream)
            if worker is not None and worker.is_quarantined:
                quarantine.record_failed_probe(state, now_ms, command.upstream)
            proposals += quarantine.process_failure(
                state, now_ms, task, command.upstream
            )
            state.reasons.record_decision(
                now_ms,
                [task.id, task.job or task.service, command.upstream],
                "{} failed on {}: {}",
                task.id,
                command.upstream,
                change.reason,
            )
        elif change.phase == "finished" and task.state == "finished":
            run = state.run_by_task.get(task.id)
            if run is not None:
                state.sizes.learn_run_time(now_ms, run, task.run_time_s)
            proposals += quarantine.record_success(
                state, now_ms, task, command.upstream
            )
    return proposals


def _affected_tasks(state, command, answer):
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
        return sorted(state.task_ids_by_upstream.get(command.upstream, ()))
    if isinstance(command, commands.SubmitJob):
        return _task_ids_of_jobs(machine, getattr(answer, "ids", ()))
    if isinstance(command, commands.CancelJobs):
        return _task_ids_of_jobs(machine, command.jobs)
    if isinstance(command, commands.FailJob):
        return _task_ids_of_jobs(machine, [command.job])
    if isinstance(command, commands.DeclareService):
        unit = state.pending.units_by_class["latency_critical"].get(command.name)
        retired_task_ids = [] if unit is None else list(unit.task_ids)
        service = machine.services.by_name.get(command.name)
        return retired_task_ids + ([] if service is None else list(service.task_ids))
    return []


def _task_ids_of_jobs(machine, job_ids):
    task_ids = []
    for job_id in job_ids:
        job = machine.jobs.by_id.get(job_id)
        if job is not None:
            task_ids.extend(job.task_ids)
    return task_ids


def _handle_tick(state, now_ms):
    for key in state.in_flight.expire(now_ms):
        kind, *parts = key
        if kind == "assign":
            task_id, _ = parts
            state.cancel_assignment(task_id)
    state.reclaim_request_count = 0
    state.rate_limits.refill(now_ms)
    reclamation.expire_holds(state, now_ms)
    proposals = heartbeats.propose_losses(state, now_ms)
    proposals += _process_successes(state, now_ms)
    if now_ms - state.last_review_ms >= preemption.REVIEW_INTERVAL_MS:
        state.last_review_ms = now_ms
        state.infeasible_demands.clear()
        state.reasons.expire(now_ms)
        proposals += preemption.review_all(state, now_ms)
        proposals += resizing.propose_resizes(state, now_ms, RESIZE_CHECKS_PER_S)
        proposals += drains.evict_from_draining(state, now_ms)
        proposals += drains.withdraw_from_drained_domains(state, now_ms)
    proposals += planning.plan(state, now_ms)
    effects = [_propose(state, now_ms, command) for command in proposals]
    changed_upstreams, state.upstreams_to_push = state.upstreams_to_push, set()
    for upstream in changed_upstreams:
        directives.invalidate(state, upstream)
    return effects + _push_directives(state, changed_upstreams)


def _process_successes(state, now_ms):
    successes, state.new_successes = state.new_successes, []
    proposals = []
    for task_id, upstream in successes:
        task = state.machine.tasks.by_id.get(task_id)
        if task is not None:
            proposals += quarantine.record_success(state, now_ms, task, upstream)
    return proposals


def _propose(state, now_ms, command):
    state.in_flight.add(now_ms, command)
    if isinstance(command, commands.AssignTasks):
        state.rate_limits.starts.consume(len(command.assignments))
    return Propose(command=command)


def _send_directive(upstream, incarnation, directive):
    return SendDirective(
        upstream=upstream, incarnation=incarnation, directive=directive
    )


def explain(state, id):
    """Return lines on the state of an id and on recent decisions about it.

    The id is that of a task or job, or the name of a service or upstream.
    """
    return explanations.lines(state, id)
