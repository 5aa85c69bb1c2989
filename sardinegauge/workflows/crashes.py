"""Crashes of workers as the leader learns of them, and the runs that they ended."""

import logging

from sardinegauge.workflows import schedulerevents

# Limit of the runs that the log names for one crash, the most recently started first.
MAX_LOGGED_RUNS = 8
log = logging.getLogger(__name__)


def on_report(state, report):
    """Log and count the crash in a report, unless that was done before."""
    crash = report.crash
    if crash is None or state.crash_by_agent.get(report.agent, 0) >= crash.life:
        return
    state.crash_by_agent[report.agent] = crash.life
    newest_first = sorted(crash.runs, key=lambda row: row[2])
    log.warning(
        "worker_crashed worker=%s life=%d pool=%s runs=%d youngest=%s",
        crash.worker,
        crash.life,
        report.pool,
        len(crash.runs),
        ",".join(
            f"{task_id}/{run_number}/{survived_ms:.0f}ms"
            for task_id, run_number, survived_ms in newest_first[:MAX_LOGGED_RUNS]
        ),
    )
    state.effects.append(
        schedulerevents.WorkerCrashed(pool=report.pool, run_count=len(crash.runs))
    )
