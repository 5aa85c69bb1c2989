"""Lives of workers: their registration, leases and release.

A life is one incarnation of a worker's process. A release takes back all runs of a
life, and is safe only once none of them can be active any more.
"""

import logging

from sardinegauge import commands
from sardinegauge.workflows import views

# Duration of a lease from the time at which the report that requested it was sent.
LEASE_MS = 5600
# Allowance for clocks of VMs that run at slightly different rates.
LEASE_MARGIN_MS = 250
# Time after the last lease during which a delayed start call of a former life may take
# effect in a life that was never fenced: the call arrives up to 13 s late, and its
# lease lasts at most 6 s.
LATE_START_MARGIN_MS = 15_000
log = logging.getLogger(__name__)


def create_view(state, worker, life, agent):
    """Create the view of a life, which may hold leases granted by an earlier leader."""
    lease_ms = LEASE_MS + LEASE_MARGIN_MS
    view = views.WorkerView(worker, life, agent, state.now_ms, lease_ms)
    state.view_by_id[worker] = view
    return view


def propose_registration(state, view):
    """Propose the registration of a life that is not in the store yet."""
    if state.registered_life(view.id) < view.life:
        state.propose(
            commands.RegisterLife(worker=view.id, life=view.life, agent=view.agent)
        )


def release_former_lives(state, view):
    """Release the lives that a report shows to have ended.

    A former life of the same worker is released once the new life is fenced, since
    until then a delayed start call of the former life could take effect in the new one.
    Earlier workers of the same agent with another id have ended as processes.
    """
    if not view.is_fenced or state.registered_life(view.id) != view.life:
        return
    for worker, life in list(state.store.runs_by_life):
        if worker == view.id and life < view.life:
            runs = state.store.runs_of(worker, life)
            # A delayed start call may have taken effect in this life before its fence.
            if not any(_may_be_running(view, key) for key in runs):
                propose_release(state, worker, life)
    _release_replaced_workers(state, view)
    if view.is_lapsed:
        propose_release(state, view.id, view.life)


def _release_replaced_workers(state, view):
    """Release all lives of earlier workers of the same agent, and drop their views."""
    for worker, life in list(state.store.runs_by_life):
        known = state.store.worker_by_id.get(worker)
        is_same_agent = known is not None and known.agent == view.agent
        if is_same_agent and worker != view.id and life < view.life:
            propose_release(state, worker, life)
    for other in list(state.view_by_id.values()):
        if other.agent == view.agent and other.id != view.id and other.life < view.life:
            del state.view_by_id[other.id]


def release_expired_lives(state, view):
    """Release the life of a worker without recent reports once its leases expired.

    Its former lives are released `LATE_START_MARGIN_MS` later: as the new life was not
    fenced, a delayed start call may still take effect.
    """
    if view.is_fresh(state.now_ms) or state.now_ms <= view.grant_until_ms:
        return
    propose_release(state, view.id, view.life)
    if state.now_ms <= view.grant_until_ms + LATE_START_MARGIN_MS:
        return
    for worker, life in list(state.store.runs_by_life):
        if worker == view.id and life < view.life:
            propose_release(state, worker, life)


def _may_be_running(view, key):
    reported = view.runs.get(key)
    return reported is not None and reported.phase != views.GONE


def propose_release(state, worker, life):
    """Propose the release of a life with the checkpoints that were last reported."""
    runs = state.store.runs_of(worker, life)
    if not runs:
        return
    view = state.view_by_id.get(worker)
    checkpoints = []
    if view is not None and view.life == life:
        if view.is_release_pending:
            return
        # No lease may be granted until the release is applied.
        view.is_release_pending = True
        checkpoints = [
            [task, run, reported.checkpoint]
            for (task, run), reported in view.runs.items()
            if reported.checkpoint
        ]
    log.info("life_released worker=%s life=%d runs=%d", worker, life, len(runs))
    state.propose(
        commands.ReleaseLife(worker=worker, life=life, checkpoints=checkpoints)
    )


def may_grant_lease(state, worker, life):
    """Return whether a lease may be granted to this life of a worker."""
    view = state.view_by_id.get(worker)
    return view is not None and view.life == life and not view.is_release_pending


def record_grant(state, worker, now_ms):
    """Record a granted lease, which ends at the latest `LEASE_MS` from now."""
    view = state.view_by_id[worker]
    view.grant_until_ms = max(view.grant_until_ms, now_ms + LEASE_MS + LEASE_MARGIN_MS)
