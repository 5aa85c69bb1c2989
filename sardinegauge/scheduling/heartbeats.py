"""Processing of heartbeats: registrations, leases, changes of phase and usage."""

from sardinegauge import checkpoints, commands
from sardinegauge.scheduling import estimates, pacing, quarantine

LEASE_MS = 10_000
# Bound on how much an agent's clock lags behind the leader's over one lease.
MAX_CLOCK_DRIFT_MS = 1_000
# A task that reports a throttle below this value to a new leader keeps the throttle.
UNTHROTTLED = 0.999
# With more placed tasks than this, the usage of each task is processed only at this
# interval, and not with every report.
LARGE_FLEET_TASKS = 2_000
USAGE_INTERVAL_MS = 5_000
# Phases in which a task no longer runs. They are proposed as long as the task is still
# recorded on the worker.
STOPPED_PHASES = frozenset({"stopped", "finished", "failed", "refused"})


class Leases:
    """Time of the last heartbeat of each incarnation of a worker, oldest first."""

    __slots__ = ("renewed_ms_by_incarnation",)

    def __init__(self):
        self.renewed_ms_by_incarnation = {}

    def renew(self, upstream, incarnation, now_ms):
        """Record a heartbeat and move the incarnation to the end of the order."""
        self.renewed_ms_by_incarnation.pop((upstream, incarnation), None)
        self.renewed_ms_by_incarnation[upstream, incarnation] = now_ms

    def remove(self, upstream, incarnation):
        """Remove an incarnation."""
        self.renewed_ms_by_incarnation.pop((upstream, incarnation), None)

    def expired(self, now_ms):
        """Return the incarnations whose lease and drift bound have passed.

        They are pairs of an upstream and an incarnation.
        """
        expired_keys = []
        for key, renewed_ms in self.renewed_ms_by_incarnation.items():
            if now_ms - renewed_ms < LEASE_MS + MAX_CLOCK_DRIFT_MS:
                break
            expired_keys.append(key)
        return expired_keys


def propose_losses(state, now_ms):
    """Return a `WorkerLost` for each expired lease, unless one is in flight."""
    proposals = []
    for upstream, incarnation in state.leases.expired(now_ms):
        if len(proposals) >= pacing.MAX_LOSSES_PER_TICK:
            break
        worker = state.machine.workers.by_upstream.get(upstream)
        if (
            worker is None
            or worker.is_lost
            or not _may_hold_tasks(state, worker, incarnation)
        ):
            state.leases.remove(upstream, incarnation)
        elif ("lost", upstream, incarnation) not in state.in_flight:
            proposals.append(
                commands.WorkerLost(upstream=upstream, incarnation=incarnation)
            )
            state.reasons.record_decision(
                now_ms, [upstream], "lost: no heartbeat of {} for 11 s", incarnation
            )
    return proposals


def _may_hold_tasks(state, worker, incarnation):
    """Tell whether an incarnation is the current one or still has tasks."""
    if worker.incarnation == incarnation:
        return True
    by_id = state.machine.tasks.by_id
    return any(by_id[id].incarnation == incarnation for id in worker.task_ids)


def registration(state, heartbeat):
    """Return a `RegisterWorker` if the heartbeat announces a change, else None.

    The tasks of an older incarnation stay assigned until its lease has expired, since
    the platform's worker may still run them.
    """
    if ("register", heartbeat.upstream, heartbeat.incarnation) in state.in_flight:
        return None
    worker = state.machine.workers.by_upstream.get(heartbeat.upstream)
    previous_may_run = False
    if worker is not None:
        if heartbeat.incarnation in worker.past_incarnations:
            return None
        is_same_incarnation = worker.incarnation == heartbeat.incarnation
        if (
            is_same_incarnation
            and not worker.is_lost
            and _is_announced(worker, heartbeat)
        ):
            return None
        previous_may_run = not is_same_incarnation and bool(worker.task_ids)
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


def process_task_reports(state, now_ms, heartbeat):
    """Process the reports of all tasks and return the changes to be proposed.

    Reports of another epoch or for a task on another worker are ignored.
    """
    by_id, run_by_task = state.machine.tasks.by_id, state.run_by_task
    changes = []
    is_large_fleet = len(run_by_task) > LARGE_FLEET_TASKS
    for report in heartbeat.tasks:
        task = by_id.get(report.task)
        if task is None or task.epoch != report.epoch:
            continue
        if task.upstream != heartbeat.upstream:
            continue
        phase = report.phase
        checkpoint = report.checkpoint
        if not checkpoints.is_storable(checkpoint):
            # The log can't hold it; the task keeps the one before.
            checkpoint = ""
        if phase == "running":
            run = run_by_task[report.task]
            if (
                not is_large_fleet
                or now_ms - run.usage_processed_ms >= USAGE_INTERVAL_MS
            ):
                run.usage_processed_ms = now_ms
                _process_usage(state, now_ms, task, run, report)
            is_change = task.state == "assigned" or (
                checkpoint and checkpoint != task.checkpoint
            )
        else:
            is_change = phase in STOPPED_PHASES
        if not is_change or ("report", task.id, task.epoch, phase) in state.in_flight:
            continue
        changes.append(
            commands.TaskChange(
                task=report.task,
                epoch=report.epoch,
                phase=phase,
                reason=report.reason,
                checkpoint=checkpoint,
            )
        )
    return changes


def _process_usage(state, now_ms, task, run, report):
    if report.throttle < UNTHROTTLED and run.started_ms is None:
        if task.task_class == "batch" and task.id not in state.throttle_by_task:
            state.throttle_by_task[task.id] = report.throttle
            state.mark_for_review(task.upstream, now_ms)
    run.add_report(now_ms, report.cores, report.memory_mb, report.progress)
    if now_ms - run.sampled_ms >= estimates.SAMPLE_INTERVAL_MS:
        throttle = state.throttle_by_task.get(task.id, 1.0)
        state.sizes.learn_usage(now_ms, run, throttle)
        state.resize_due_upstreams[task.upstream] = True
    elif report.memory_mb > task.memory_mb or run.typical_cores() > task.cores * 1.1:
        state.resize_due_upstreams[task.upstream] = True
    if not run.has_succeeded and now_ms - run.started_ms >= quarantine.SUCCESS_AFTER_MS:
        run.has_succeeded = True
        state.new_successes.append((task.id, task.upstream))
