"""Crashes of workers as the leader learns of them, and the tasks they are blamed on.

A task that crashes its worker does so shortly after its start, so only the youngest
runs on a crashed worker are suspected. Suspected tasks start again alone, see
`isolation`; if the worker crashes again, only one task can be the cause.
"""

import logging

from sardinegauge import commands
from sardinegauge.workflows import crashrecord, schedulerevents

# A run is suspected if the worker is not known to have been up for longer than this
# since its start: by the number of runs that its task lost in crashes before. It grows,
# so that a task that crashes its workers later is suspected after some crashes as well.
SUSPECT_WINDOWS_MS = (100, 1000, 2000)
# A single suspect is taken for the cause only if the crash was noticed within this time
# of its start. A longer one would blame more tasks for crashes of other causes.
MAX_NOTICED_MS = 200
# Limit of the runs that the log names for one crash, the most recently started first.
MAX_LOGGED_RUNS = 8
log = logging.getLogger(__name__)


def on_report(state, report):
    """Propose to record the crash in a report, unless that was done before."""
    crash = report.crash
    if (
        crash is None
        or state.proposed_crash_by_agent.get(report.agent, 0) >= crash.life
    ):
        return
    state.proposed_crash_by_agent[report.agent] = crash.life
    _log_crash(report, crash)
    state.effects.append(
        schedulerevents.WorkerCrashed(pool=report.pool, run_count=len(crash.runs))
    )
    state.propose(
        commands.RecordCrash(
            worker=crash.worker,
            life=crash.life,
            agent=report.agent,
            rows=judge(state.store, crash.runs),
        )
    )


def _log_crash(report, crash):
    newest_first = sorted(crash.runs, key=lambda row: row[2])
    log.warning(
        "worker_crashed worker=%s life=%d pool=%s runs=%d youngest=%s",
        crash.worker,
        crash.life,
        report.pool,
        len(crash.runs),
        ",".join(
            f"{task_id}/{run_number}/{survived_ms:.0f}-{noticed_ms:.0f}ms"
            for task_id, run_number, survived_ms, noticed_ms in newest_first[
                :MAX_LOGGED_RUNS
            ]
        ),
    )


def judge(store, runs):
    """Return the verdict on each run that a crash of its worker ended.

    The runs within the first window are suspected, or if there is none, those within
    the window of their task. Members of a gang count as one.

    Parameters
    ----------
    store : store.Store
        Only read.
    runs : list of [str, int, float, float]
        Rows of `views.Crash`.

    Returns
    -------
    list of [str, int, str]
        Task, run and one of the verdicts of `crashrecord`.
    """
    verdict = crashrecord.SUSPECT
    suspects = [row for row in runs if row[2] < SUSPECT_WINDOWS_MS[0]]
    if _are_sole_suspect(store, suspects):
        verdict = crashrecord.SOLE_SUSPECT
    if not suspects:
        suspects = [row for row in runs if row[2] < _window_ms(store, row[0])]
    suspected_keys = {(row[0], row[1]) for row in suspects}
    verdicts = []
    for task_id, run_number, survived_ms, _ in runs:
        if (task_id, run_number) in suspected_keys:
            found = verdict
        elif survived_ms < _window_ms(store, task_id):
            found = crashrecord.UNDECIDED
        else:
            found = crashrecord.SURVIVED
        verdicts.append([task_id, run_number, found])
    return verdicts


def _are_sole_suspect(store, suspects):
    """Return whether the suspects are one task, or members of one gang."""
    units = {_unit(store, row[0]) for row in suspects}
    return len(units) == 1 and all(row[3] <= MAX_NOTICED_MS for row in suspects)


def _window_ms(store, task_id):
    _, _, task = store.find_task(task_id)
    lost_runs = task.lost_runs if task is not None else 0
    return SUSPECT_WINDOWS_MS[min(lost_runs, len(SUSPECT_WINDOWS_MS) - 1)]


def _unit(store, task_id):
    """Return the id of the step for a member of a gang, else that of the task."""
    _, _, task = store.find_task(task_id)
    if task is not None and task.step.is_gang:
        return task_id.rpartition(".")[0]
    return task_id


def on_recorded(state, command):
    """Keep the suspected tasks off the worker; return the workflows given up."""
    state.crash_by_agent[command.agent] = command.life
    given_up_by_id = {}
    for task_id, run_number, verdict in command.rows:
        workflow, _, task = state.store.find_task(task_id)
        if task is None or verdict not in crashrecord.SUSPICIONS:
            continue
        state.failed_workers_by_task.setdefault(task_id, set()).add(command.worker)
        log.info(
            "task_suspected task=%s run=%d worker=%s verdict=%s crashes=%d",
            task_id,
            run_number,
            command.worker,
            verdict,
            task.crashes,
        )
        if workflow.id in state.open_ids and not workflow.is_open:
            given_up_by_id[workflow.id] = workflow
    return list(given_up_by_id.values())
