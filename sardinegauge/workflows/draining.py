"""Drained failure domains as the leader treats them: nothing starts there.

The planner leaves out their workers, and starts that are on the way when a domain is
drained are withdrawn. It is made for the loss of a whole domain that operators foresee:
a start that slips through would be lost with the domain.
"""

import logging

from sardinegauge.workflows import views, withdrawal

# Time for a start ordered just before the drain to be confirmed: agents report at least
# every 400 ms, and a start call takes up to 300 ms. A quarter of the runs of 1.7 s are
# unconfirmed at any time, and those that run already must not be discarded.
CONFIRMATION_MS = 800
# Reason to stop a run.
DRAINED_REASON = "drained"
log = logging.getLogger(__name__)


class Draining:
    """Soft state of the drains: when this leader learned of each, by domain."""

    __slots__ = ("seen_ms_by_domain",)

    def __init__(self):
        self.seen_ms_by_domain = {}


def is_drained(state, view):
    """Return whether a worker is in a drained domain."""
    return view.failure_domain in state.domain_drains


def drained_views(state):
    """Return the views of the workers in drained domains."""
    if not state.domain_drains.by_domain:
        return []
    return [view for view in state.view_by_id.values() if is_drained(state, view)]


def begin(state):
    """Resume the drains that earlier leaders committed."""
    for domain in state.domain_drains.by_domain:
        state.draining.seen_ms_by_domain[domain] = state.now_ms


def on_command(state, event):
    """Log a committed drain or restore; the next tick and plan act on it."""
    domain = event.command.failure_domain
    seen_ms_by_domain = state.draining.seen_ms_by_domain
    is_seen = domain in seen_ms_by_domain
    if domain in state.domain_drains and not is_seen:
        seen_ms_by_domain[domain] = state.now_ms
        run_count = sum(
            count_runs(state, view)
            for view in state.view_by_id.values()
            if view.failure_domain == domain
        )
        log.info(
            "domain_drained domain=%r operator=%r runs=%d",
            domain,
            event.command.operator,
            run_count,
        )
    elif domain not in state.domain_drains and is_seen:
        lasted_ms = state.now_ms - seen_ms_by_domain.pop(domain)
        log.info(
            "domain_restored domain=%r operator=%r lasted_ms=%d",
            domain,
            event.command.operator,
            lasted_ms,
        )


def count_runs(state, view):
    """Return the number of runs on a worker."""
    return len(state.store.runs_of(view.id, view.incarnation))


def withdraw_starts(state):
    """Stop the runs in drained domains whose start is not confirmed in time.

    A silent agent loses nothing: its next report shows which runs have started, and it
    gives up all other starts by itself.
    """
    seen_ms_by_domain = state.draining.seen_ms_by_domain
    for view in drained_views(state):
        since_ms = seen_ms_by_domain.setdefault(view.failure_domain, state.now_ms)
        if view.received_ms < since_ms + CONFIRMATION_MS:
            continue
        withdrawn = [
            (key, task)
            for key, task in state.store.runs_of(view.id, view.incarnation).items()
            if key not in state.stop_reason_by_run
            and withdrawal.is_unconfirmed(view, key)
        ]
        for key, task in withdrawn:
            log.info(
                "start_withdrawn task=%s run=%d worker=%s domain=%r",
                *key,
                view.id,
                view.failure_domain,
            )
            withdrawal.stop(state, key, task, DRAINED_REASON)
        if withdrawn:
            state.push(view.id, view.incarnation)


def may_repeat_start(state, view, key):
    """Return whether the order of a start that is not confirmed stays in force."""
    reported = view.runs.get(key)
    return (
        reported is not None
        and reported.phase == views.ORDERED
        and not is_drained(state, view)
    )
