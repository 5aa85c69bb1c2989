"""Intake of heartbeats: announcements, leases, changed phases and usage."""

from sardinegauge import commands

LEASE_MS = 10_000
# The agent's clock may run this much slower than the leader's over one lease.
DRIFT_MS = 1_000
# Phases that an agent reports, by the states of the machine's task in which they are
# news. A phase in any other state was already applied.
NEWS_BY_PHASE = {
    "running": ("assigned",),
    "refused": ("assigned",),
    "stopped": ("assigned", "running", "evicting", "cancelled", "failed"),
    "finished": ("assigned", "running", "evicting", "cancelled", "failed"),
    "failed": ("assigned", "running", "evicting", "cancelled"),
}


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
        worker = state.machine.workers.by_upstream.get(upstream)
        if worker is None or worker.is_lost or worker.incarnation != incarnation:
            state.leases.forget(upstream, incarnation)
        elif ("lost", upstream, incarnation) not in state.in_flight:
            proposals.append(
                commands.WorkerLost(upstream=upstream, incarnation=incarnation)
            )
    return proposals


def registration(state, heartbeat):
    """Return a `RegisterWorker` when the announcement is news, else None.

    A new incarnation waits until the lease of the old one has ended if that one holds
    tasks, since the platform's worker may still run them.
    """
    if ("register", heartbeat.upstream, heartbeat.incarnation) in state.in_flight:
        return None
    worker = state.machine.workers.by_upstream.get(heartbeat.upstream)
    if worker is not None and not worker.is_lost:
        if worker.incarnation == heartbeat.incarnation:
            if _announced(worker) == _announced(heartbeat):
                return None
        elif worker.task_ids:
            return None
    return commands.RegisterWorker(
        upstream=heartbeat.upstream,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        failure_domain=heartbeat.failure_domain,
        rack=heartbeat.rack,
        services=list(heartbeat.services),
        room=heartbeat.room,
        draining=heartbeat.draining,
    )


def _announced(source):
    room = source.room
    return (
        source.address,
        source.failure_domain,
        source.rack,
        list(source.services),
        room.cores,
        room.memory_mb,
        room.accelerators,
        room.tasks,
        room.connections,
    )


def phase_changes(state, heartbeat):
    """Return a `ReportTasks` with the phases that are news, else None."""
    by_id = state.machine.tasks.by_id
    changes = []
    for report in heartbeat.tasks:
        task = by_id.get(report.task)
        if task is None or task.epoch != report.epoch:
            continue
        if task.state not in NEWS_BY_PHASE.get(report.phase, ()):
            continue
        if not task.upstream == heartbeat.upstream:
            continue
        if ("report", report.task, report.epoch, report.phase) in state.in_flight:
            continue
        changes.append(
            commands.TaskChange(
                task=report.task,
                epoch=report.epoch,
                phase=report.phase,
                reason=report.reason,
                checkpoint=report.checkpoint,
            )
        )
    if not changes:
        return None
    return commands.ReportTasks(
        upstream=heartbeat.upstream, incarnation=heartbeat.incarnation, changes=changes
    )
