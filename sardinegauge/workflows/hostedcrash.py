"""The last crash of an agent's worker, as it is reported to the leader.

The report names each run that the crash ended, and how long after its start the crash
came at least and at most: a run that the worker survived for long is unlikely to have
crashed it.
"""

from sardinegauge.workflows import views

# The crash is recorded without the calls that are still open after this time.
MAX_SETTLE_MS = 300


class Crash:
    """A crash of one incarnation of the worker.

    `rows` hold task, run, `survived_ms` and `noticed_ms` of the runs that the worker
    had started, or may have: the times from when a run became active to the last answer
    of the worker, and to the first call without one. A start without an answer counts
    from its first call, and survived nothing.
    """

    __slots__ = ("incarnation", "rows", "worker")

    def __init__(self, worker, incarnation, rows):
        self.worker = worker
        self.incarnation = incarnation
        self.rows = rows


def is_settled(state):
    """Return whether no call is open that shows if its run had started.

    Calls that were open at the crash may fail only after it was noticed.
    """
    since_ms = state.unanswered_since_ms or state.now_ms
    return state.now_ms - since_ms >= MAX_SETTLE_MS or not any(
        run.is_call_open for run in state.runs.values()
    )


def record(state):
    """Record that the worker crashed, unless it was about to leave anyway."""
    if state.announcement is None or state.is_draining:
        return
    if state.crash is not None and state.crash.incarnation == state.incarnation:
        return
    rows = [
        [*key, *_age_bounds_ms(state, run)]
        for key, run in state.runs.items()
        if _may_have_started(run)
    ]
    state.crash = Crash(state.announcement.worker, state.incarnation, rows)


def _may_have_started(run):
    if run.phase == views.GONE:
        return False
    is_start_open = run.called_ms > 0 and run.is_call_open
    return run.active_ms > 0 or run.unanswered_starts > 0 or is_start_open


def _age_bounds_ms(state, run):
    noticed_at_ms = state.unanswered_since_ms or state.now_ms
    begun_ms = run.active_ms or run.called_ms
    return survived_ms(state, run), max(noticed_at_ms - begun_ms, 0)


def survived_ms(state, run):
    """Return how long the worker is known to have been up since a run became active."""
    return max(state.answered_ms - run.active_ms, 0) if run.active_ms else 0


def acknowledge(state, incarnation):
    """Drop the crash that the leader has recorded."""
    if state.crash is not None and state.crash.incarnation == incarnation:
        state.crash = None


def report_field(state):
    """Return the field ``crash`` of a `views.Report`, None if there is none."""
    if state.crash is None:
        return None
    return {
        "worker": state.crash.worker,
        "life": state.crash.incarnation,
        "runs": state.crash.rows,
    }
