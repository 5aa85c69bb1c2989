"""Lives of workers: when one is registered, leased and released."""

import logging

from sardinegauge import commands
from sardinegauge.workflows import views

# How long a lease lasts from the moment the report was sent that asked for it.
LEASE_MS = 5600
# Clocks of two VMs may run at slightly different speeds.
LEASE_MARGIN_MS = 250
# After the last lease, a delayed order of a former life may still start a run in a life
# that was never fenced: it arrives up to 13 s late, and its lease lasts at most 6 s.
LATE_RUN_MS = 15_000
log = logging.getLogger(__name__)


def make_view(state, worker, life, agent):
    """Begin to watch a life, which may hold leases of an earlier leader."""
    lease_ms = LEASE_MS + LEASE_MARGIN_MS
    view = views.WorkerView(worker, life, agent, state.now_ms, lease_ms)
    state.view_by_id[worker] = view
    return view


def register(state, view):
    """Propose a life that the store doesn't know yet."""
    if state.registered_life(view.id) < view.life:
        state.propose(
            commands.RegisterLife(worker=view.id, life=view.life, agent=view.agent)
        )


def release_former(state, view):
    """Take back the runs of lives that are over.

    A former life of the same worker is over once the new one is fenced, since a delayed
    order of the former life could start a run in the new one until then. A worker of
    another id beside the same agent has ended as a process.
    """
    if not view.is_fenced or state.registered_life(view.id) != view.life:
        return
    for worker, life in list(state.store.runs_by_life):
        if worker == view.id and life < view.life:
            runs = state.store.runs_of(worker, life)
            # A delayed order may have started a run here before the fence.
            if not any(_is_there(view, key) for key in runs):
                release(state, worker, life)
    _release_others(state, view)
    if view.is_lapsed:
        release(state, view.id, view.life)


def _release_others(state, view):
    """Take back all runs of workers that were beside the same agent before this one."""
    for worker, life in list(state.store.runs_by_life):
        known = state.store.worker_by_id.get(worker)
        is_beside = known is not None and known.agent == view.agent
        if is_beside and worker != view.id and life < view.life:
            release(state, worker, life)
    for other in list(state.view_by_id.values()):
        if other.agent == view.agent and other.id != view.id and other.life < view.life:
            del state.view_by_id[other.id]


def release_silent(state, view):
    """Take back the runs of a worker that is silent and whose leases are over.

    Runs of former lives follow later, since no fence keeps them from a delayed start.
    """
    if view.is_fresh(state.now_ms) or state.now_ms <= view.grant_until_ms:
        return
    release(state, view.id, view.life)
    if state.now_ms <= view.grant_until_ms + LATE_RUN_MS:
        return
    for worker, life in list(state.store.runs_by_life):
        if worker == view.id and life < view.life:
            release(state, worker, life)


def _is_there(view, key):
    reported = view.runs.get(key)
    return reported is not None and reported.phase != views.GONE


def release(state, worker, life):
    """Propose to take back the runs of a life that is over."""
    runs = state.store.runs_of(worker, life)
    if not runs:
        return
    view = state.view_by_id.get(worker)
    checkpoints = []
    if view is not None and view.life == life:
        if view.is_losing:
            return
        # No lease may be granted until the release is applied.
        view.is_losing = True
        checkpoints = [
            [task, run, reported.checkpoint]
            for (task, run), reported in view.runs.items()
            if reported.checkpoint
        ]
    log.info("life_released worker=%s life=%d runs=%d", worker, life, len(runs))
    state.propose(
        commands.ReleaseLife(worker=worker, life=life, checkpoints=checkpoints)
    )


def may_grant(state, worker, life):
    """Tell whether a lease may be granted to this life of a worker."""
    view = state.view_by_id.get(worker)
    return view is not None and view.life == life and not view.is_losing


def note_grant(state, worker, now_ms):
    """Note that a lease was granted that ends at the latest `LEASE_MS` from now."""
    view = state.view_by_id[worker]
    view.grant_until_ms = max(view.grant_until_ms, now_ms + LEASE_MS + LEASE_MARGIN_MS)
