"""What a restart of a stuck or slow run on another worker gains."""

from sardinegauge.workflows.policies import stragglers

# Time from a stop until the next run of the task is active: the stop, its report, two
# commands in the log, and the start.
RESTART_COST_MS = 600
# Least time for which a bad worker is expected to stay bad. A worker that was bad for
# longer is expected to stay so for as long again.
EXPECTED_BAD_MS = 4000
# Least gain of a restart.
MIN_GAIN_MS = 500
# Greatest share of the gain that a run without a checkpoint may lose of its work.
MAX_LOST_SHARE = 1.0


def gain_ms(verdict):
    """Return how much earlier a task would end with a restart elsewhere.

    Without any known rate, the task is expected to take its declared time.
    """
    if verdict.reason == stragglers.IDLE:
        return max(EXPECTED_BAD_MS, verdict.stalled_ms) - RESTART_COST_MS
    full_rate = _full_rate(verdict)
    if not full_rate:
        return 0.0
    left = 100 - verdict.progress
    to_repeat = 100 if not verdict.info.is_checkpointing else left
    bad_ms = max(EXPECTED_BAD_MS, verdict.stalled_ms)
    rate = verdict.rate if verdict.reason == stragglers.SLOW else 0.0
    if rate and rate * bad_ms >= left:
        stay_ms = left / rate
    else:
        stay_ms = bad_ms + (left - rate * bad_ms) / full_rate
    return stay_ms - to_repeat / full_rate - RESTART_COST_MS


def _full_rate(verdict):
    """Return the rate of the task on a good worker, 0 if it is unknown.

    A task with more work than its peers has a lower rate of its own.
    """
    own_rate = verdict.rate if verdict.reason == stragglers.STUCK else 0.0
    if own_rate or verdict.peer_rate:
        return own_rate or verdict.peer_rate
    return 100 / verdict.info.estimate_ms if verdict.info.estimate_ms else 0.0


def is_worthwhile(verdict, gain):
    """Return whether a gain is worth the restart, and the work that it loses."""
    if gain < MIN_GAIN_MS:
        return False
    is_lossless = verdict.info.is_checkpointing or verdict.info.is_persistent
    return is_lossless or _lost_ms(verdict) <= MAX_LOST_SHARE * gain


def _lost_ms(verdict):
    """Return the work that a run without a checkpoint loses, as time at full rate."""
    full_rate = _full_rate(verdict)
    return verdict.progress / full_rate if full_rate else verdict.worked_ms
