"""Intake of heartbeats: announcements, leases, changed phases and usage."""

from sardinegauge import commands
from sardinegauge.scheduling import estimates, pacing, quarantine

LEASE_MS = 10_000
# The agent's clock may run this much slower than the leader's over one lease.
DRIFT_MS = 1_000
# A task that ran with a throttle under the last leader keeps it.
FULL_SPEED = 0.999
# With more tasks than this, the usage of each is taken less often than reported.
MANY_TASKS = 2_000
USAGE_EVERY_MS = 5_000
# Phases in which a task no longer runs; they are news until the task has no place.
STOPPED_PHASES = frozenset({"stopped", "finished", "failed", "refused"})


class Leases:
    """Time of the last heartbeat of each incarnation, oldest first."""

    __slots__ = ("receipt_by_worker",)

    def __init__(self):
        self.receipt_by_worker = {}

    def renew(self, upstream, incarnation, now_ms):
        """Note a heartbeat; the entry moves to the end."""
        self.receipt_by_worker.pop((upstream, incarnation), None)
        self.receipt_by_worker[upstream, incarnation] = now_ms

    def forget(self, upstream, incarnation):
        """Drop an incarnation that is gone."""
        self.receipt_by_worker.pop((upstream, incarnation), None)

    def expired(self, now_ms):
        """Return the workers without a heartbeat for a lease and the drift bound."""
        found = []
        for worker, receipt_ms in self.receipt_by_worker.items():
            if now_ms - receipt_ms < LEASE_MS + DRIFT_MS:
                break
            found.append(worker)
        return found


def lost_workers(state, now_ms):
    """Return a `WorkerLost` for each lease that ended and is not yet proposed."""
    proposals = []
    for upstream, incarnation in state.leases.expired(now_ms):
        if len(proposals) >= pacing.MAX_LOSSES_PER_TICK:
            break
        worker = state.machine.workers.by_upstream.get(upstream)
        if worker is None or worker.is_lost or not _holds(state, worker, incarnation):
            state.leases.forget(upstream, incarnation)
        elif ("lost", upstream, incarnation) not in state.in_flight:
            proposals.append(
                commands.WorkerLost(upstream=upstream, incarnation=incarnation)
            )
            state.reasons.record_decision(
                now_ms, [upstream], "lost: no heartbeat of {} for 11 s", incarnation
            )
    return proposals


def _holds(state, worker, incarnation):
    """Tell whether an incarnation is the current one or left tasks behind."""
    if worker.incarnation == incarnation:
        return True
    by_id = state.machine.tasks.by_id
    return any(by_id[id].incarnation == incarnation for id in worker.task_ids)


def registration(state, heartbeat):
    """Return a `RegisterWorker` when the announcement is news, else None.

    The tasks of an older incarnation keep their places until their lease has ended,
    since the platform's worker may still run them.
    """
    if ("register", heartbeat.upstream, heartbeat.incarnation) in state.in_flight:
        return None
    worker = state.machine.workers.by_upstream.get(heartbeat.upstream)
    previous_may_run = False
    if worker is not None:
        if heartbeat.incarnation in worker.past_incarnations:
            return None
        is_same = worker.incarnation == heartbeat.incarnation
        if is_same and not worker.is_lost and _is_announced(worker, heartbeat):
            return None
        previous_may_run = not is_same and bool(worker.task_ids)
    return commands.RegisterWorker(
        upstream=heartbeat.upstream,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        failure_domain=heartbeat.failure_domain,
        rack=heartbeat.rack,
        services=list(heartbeat.services),
        room=heartbeat.room,
        draining=heartbeat.draining,
        previous_may_run=previous_may_run,
    )


def _is_announced(worker, heartbeat):
    return (
        worker.address == heartbeat.address
        and worker.failure_domain == heartbeat.failure_domain
        and worker.rack == heartbeat.rack
        and worker.services == heartbeat.services
        and worker.announces_draining == heartbeat.draining
        and worker.room == heartbeat.room
    )


def take_tasks(state, now_ms, heartbeat):
    """Take the reports of all tasks; return the changes of phase that are news."""
    by_id, run_by_task = state.machine.tasks.by_id, state.run_by_task
    changes = []
    is_large = len(run_by_task) > MANY_TASKS
    for report in heartbeat.tasks:
        task = by_id.get(report.task)
        if task is None or task.epoch != report.epoch:
            continue
        if task.upstream != heartbeat.upstream:
            continue
        phase = report.phase
        if phase == "running":
            run = run_by_task[report.task]
            if not is_large or now_ms - run.usage_processed_ms >= USAGE_EVERY_MS:
                run.usage_processed_ms = now_ms
                _take_usage(state, now_ms, task, run, report)
            is_news = task.state == "assigned" or (
                report.checkpoint and report.checkpoint != task.checkpoint
            )
        else:
            is_news = phase in STOPPED_PHASES
        if not is_news or ("report", task.id, task.epoch, phase) in state.in_flight:
            continue
        changes.append(
            commands.TaskChange(
                task=report.task,
                epoch=report.epoch,
                phase=phase,
                reason=report.reason,
                checkpoint=report.checkpoint,
            )
        )
    return changes


def _take_usage(state, now_ms, task, run, report):
    if report.throttle < FULL_SPEED and run.started_ms is None:
        if task.task_class == "batch" and task.id not in state.throttle_by_task:
            state.throttle_by_task[task.id] = report.throttle
            state.watch(task.upstream, now_ms)
    run.add_report(now_ms, report.cores, report.memory_mb, report.progress)
    if now_ms - run.sampled_ms >= estimates.SAMPLE_INTERVAL_MS:
        throttle = state.throttle_by_task.get(task.id, 1.0)
        state.sizes.learn_usage(now_ms, run, throttle)
        state.resize_due[task.upstream] = True
    elif report.memory_mb > task.memory_mb or run.typical_cores() > task.cores * 1.1:
        state.resize_due[task.upstream] = True
    if not run.has_succeeded and now_ms - run.started_ms >= quarantine.SUCCESS_AFTER_MS:
        run.has_succeeded = True
        state.successes.append((task.id, task.upstream))
