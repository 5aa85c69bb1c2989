"""Estimates that a leader keeps in the log for its successor.

Without them, a new leader would throttle best-effort tasks too little, and order work
by declared run times, until it has estimates of its own.
"""

import logging

from sardinegauge import checks, commands
from sardinegauge.workflows import commandrows, commandsize, schedulerevents
from sardinegauge.workflows.policies import runtimes

# Least time between two proposals.
INTERVAL_MS = 2000

log = logging.getLogger(__name__)


def load(state):
    """Load the estimates of the earlier leader."""
    state.interference.load_rows(state.store.estimates, state.now_ms)
    state.run_times.load_rows(state.store.run_times)
    state.estimates_proposed_ms = state.now_ms


def _bounded_rows(rows):
    """Return the rows that fit one command; those of single images come first."""
    rows = commandrows.valid_rows(checks.ESTIMATE_ROW, rows, "estimate")
    parts = commandsize.split_rows(rows)
    if len(parts) > 1:
        log.info("estimates_cut kept=%d of=%d", len(parts[0]), len(rows))
    return parts[0] if parts else []


def propose(state):
    """Propose the estimates if they have changed."""
    if state.now_ms - state.estimates_proposed_ms < INTERVAL_MS:
        return
    state.estimates_proposed_ms = state.now_ms
    estimates = _bounded_rows(state.interference.to_rows())
    learned = state.run_times.changed_rows(state.store.run_times)
    if not learned and (not estimates or estimates == state.store.estimates):
        return
    run_times = commandrows.valid_rows(
        checks.RUN_TIME_ROW, state.run_times.to_rows(), "run_time"
    )
    state.propose(commands.KeepEstimates(rows=estimates, run_times=run_times))
    if learned:
        runtimes.log_learned(learned)
        state.effects.append(schedulerevents.RunTimesLearned(rows=learned))
