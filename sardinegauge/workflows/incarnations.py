"""Incarnations of workers: their registration, leases and release.

An incarnation is one process of a worker, named by a number that rises with each
restart. A release removes the assignments of all runs of an incarnation, and is safe
only once none of them can be active any more. Stored and sent fields that hold the
number are called `life`.
"""

import logging

from sardinegauge import checks, commands
from sardinegauge.workflows import commandrows, commandsize, views

# Duration of a lease from the time at which the report that requested it was sent.
LEASE_MS = 5600
# Allowance for clocks of VMs that run at slightly different rates.
LEASE_MARGIN_MS = 250
# Time after the last lease during which a delayed start call of a former incarnation
# may take effect in an incarnation that was never fenced: the call arrives up to 13 s
# late, and its lease lasts at most 6 s.
LATE_START_MARGIN_MS = 15_000
log = logging.getLogger(__name__)


def create_view(state, worker, incarnation, agent):
    """Create the view of an incarnation.

    The incarnation may hold leases that an earlier leader granted.
    """
    lease_ms = LEASE_MS + LEASE_MARGIN_MS
    view = views.WorkerView(worker, incarnation, agent, state.now_ms, lease_ms)
    state.view_by_id[worker] = view
    state.workers_by_agent.setdefault(agent, set()).add(worker)
    return view


def propose_registration(state, view):
    """Propose the registration of an incarnation that is not in the store yet."""
    if state.registered_incarnation(view.id) < view.incarnation:
        state.propose(
            commands.RegisterLife(
                worker=view.id, life=view.incarnation, agent=view.agent
            )
        )


def release_former_incarnations(state, view):
    """Release the incarnations that a report shows to have ended.

    A former incarnation of the same worker is released once the new incarnation is
    fenced, since until then a delayed start call of the former incarnation could take
    effect in the new one. Earlier workers of the same agent with another id have ended
    as processes.
    """
    if not view.is_fenced or state.registered_incarnation(view.id) != view.incarnation:
        return
    for incarnation in state.store.incarnations_with_runs(view.id):
        if incarnation < view.incarnation:
            runs = state.store.runs_of(view.id, incarnation)
            # A delayed start call may have taken effect in this incarnation before its
            # fence.
            if not any(_may_be_running(view, key) for key in runs):
                propose_release(state, view.id, incarnation)
    _release_replaced_workers(state, view)


def _release_replaced_workers(state, view):
    """Release all incarnations of the agent's earlier workers; drop their views."""
    for worker in state.workers_by_agent[view.agent] - {view.id}:
        registered = state.store.worker_by_id.get(worker)
        if registered is not None and registered.agent == view.agent:
            for incarnation in state.store.incarnations_with_runs(worker):
                if incarnation < view.incarnation:
                    propose_release(state, worker, incarnation)
        other_view = state.view_by_id.get(worker)
        if (
            other_view is not None
            and other_view.agent == view.agent
            and other_view.incarnation < view.incarnation
        ):
            del state.view_by_id[worker]


def release_expired_incarnations(state, view):
    """Release the incarnation of a silent worker once its leases have expired.

    A worker is silent without a recent report, or if its agent reports that it doesn't
    answer. The end of its leases is known from the grants, since a restarted agent does
    not know which leases its former process gave to the worker. Its former incarnations
    are released `LATE_START_MARGIN_MS` later: as the new incarnation was not fenced, a
    delayed start call may still take effect.
    """
    is_silent = view.is_lapsed or not view.is_fresh(state.now_ms)
    if not is_silent or state.now_ms <= view.grant_until_ms:
        return
    propose_release(state, view.id, view.incarnation)
    if state.now_ms <= view.grant_until_ms + LATE_START_MARGIN_MS:
        return
    for incarnation in state.store.incarnations_with_runs(view.id):
        if incarnation < view.incarnation:
            propose_release(state, view.id, incarnation)


def _may_be_running(view, key):
    reported = view.runs.get(key)
    return reported is not None and reported.phase != views.GONE


def propose_release(state, worker, incarnation):
    """Propose the release of an incarnation with the last reported checkpoints."""
    runs = state.store.runs_of(worker, incarnation)
    if not runs:
        return
    view = state.view_by_id.get(worker)
    checkpoints = []
    if view is not None and view.incarnation == incarnation:
        if view.is_release_pending:
            return
        # No lease may be granted until the release is applied.
        view.is_release_pending = True
        checkpoints = _bounded_checkpoints(view)
    log.info("life_released worker=%s life=%d runs=%d", worker, incarnation, len(runs))
    state.propose(
        commands.ReleaseLife(
            worker=worker,
            life=incarnation,
            checkpoints=checkpoints,
            has_long_checkpoints=commandrows.has_long_checkpoints(checkpoints),
        )
    )


def _bounded_checkpoints(view):
    """Return rows of task, run and reported checkpoint, as many as fit one command."""
    rows = [
        [task_id, run_number, reported.checkpoint]
        for (task_id, run_number), reported in view.runs.items()
        if reported.checkpoint
    ]
    rows = commandrows.valid_rows(checks.CHECKPOINT_ROW, rows, "checkpoint")
    parts = commandsize.split_rows(rows)
    if len(parts) > 1:
        log.warning(
            "checkpoints_dropped worker=%s life=%d kept=%d dropped=%d",
            view.id,
            view.incarnation,
            len(parts[0]),
            len(rows) - len(parts[0]),
        )
    return parts[0] if parts else []


def may_grant_lease(state, worker, incarnation):
    """Return whether a lease may be granted to this incarnation of a worker."""
    view = state.view_by_id.get(worker)
    return (
        view is not None
        and view.incarnation == incarnation
        and not view.is_release_pending
        and not view.is_lapsed
    )


def record_grant(state, worker, now_ms):
    """Record a granted lease, which ends at the latest `LEASE_MS` from now."""
    view = state.view_by_id[worker]
    view.grant_until_ms = max(view.grant_until_ms, now_ms + LEASE_MS + LEASE_MARGIN_MS)
