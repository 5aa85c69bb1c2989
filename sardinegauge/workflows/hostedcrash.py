"""The last crash of an agent's worker, as it is reported to the leader.

The report names each run that the crash ended, and how long the worker is known to have
been up since that run became active: a run that the worker survived for long is
unlikely to have crashed it.
"""

from sardinegauge.workflows import views


class Crash:
    """A crash of one incarnation of the worker.

    `rows` hold task, run and `survived_ms` of the runs that the worker had started, or
    may have: the time from when a run became active to the last answer of the worker,
    0 for a start without an answer.
    """

    __slots__ = ("incarnation", "rows", "worker")

    def __init__(self, worker, incarnation, rows):
        self.worker = worker
        self.incarnation = incarnation
        self.rows = rows


def record(state):
    """Record that the worker crashed, unless it was about to leave anyway."""
    if state.announcement is None or state.is_draining:
        return
    if state.crash is not None and state.crash.incarnation >= state.incarnation:
        return
    rows = [
        [*key, _survived_ms(state, run)]
        for key, run in state.runs.items()
        if _may_have_started(run)
    ]
    state.crash = Crash(state.announcement.worker, state.incarnation, rows)


def _may_have_started(run):
    if run.phase == views.GONE:
        return False
    return run.active_ms > 0 or run.unanswered_starts > 0 or run.is_call_open


def _survived_ms(state, run):
    return max(state.answered_ms - run.active_ms, 0) if run.active_ms else 0


def acknowledge(state, incarnation):
    """Drop the crash that the leader has recorded."""
    if state.crash is not None and state.crash.incarnation <= incarnation:
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
