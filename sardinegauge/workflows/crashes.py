"""Crashes of workers as the leader learns of them, and the tasks that may cause them.

A task that crashes its worker does so shortly after its start, so only the youngest
runs on a crashed worker are suspected. Suspected tasks start again alone, see
`isolation`; if the worker crashes again, only one task can be the cause.

Many workers that crash at once, in a storm, have another cause. A task is not suspected
for its first lost run then, and not given up after its second; later runs count, as
several such tasks could crash as many workers.
"""

import collections
import logging

from sardinegauge import checks, commands
from sardinegauge.workflows import commandrows, crashrecord, schedulerevents

# A run is suspected if the worker is not known to have been up for longer than this
# since its start: by the number of runs that its task lost in crashes before. It grows,
# so that a task that crashes its workers later is suspected after some crashes as well.
SUSPECT_WINDOWS_MS = (100, 1000, 2000)
# A single suspect is taken for the cause only if the crash was noticed within this time
# of its start. A longer one would suspect more tasks of crashes with other causes.
MAX_NOTICED_MS = 100
# At least this many workers, and this share of all known ones, that crash within this
# time have a common cause.
MIN_STORM_CRASHES = 3
MIN_STORM_SHARE = 0.25
STORM_WINDOW_MS = 300
# Limit of the runs that the log names for one crash, the most recently started first.
MAX_LOGGED_RUNS = 8
log = logging.getLogger(__name__)


class Crashes:
    """Soft state of the leader about crashes.

    `recent` holds pairs of time and ids of the tasks that a storm may clear, of the
    latest crashes. `undecided_ms_by_task` is when a task was the only suspect in its
    last crash. It may not start until it is decided whether that crash was part of a
    storm.
    """

    __slots__ = ("undecided_ms_by_task", "recent")

    def __init__(self):
        self.recent = collections.deque()
        self.undecided_ms_by_task = {}

    def add(self, now_ms, task_ids):
        """Add a crash, with the tasks whose first lost run it suspects."""
        self.recent.append((now_ms, task_ids))
        while self.recent[0][0] < now_ms - 2 * STORM_WINDOW_MS:
            self.recent.popleft()

    def is_storm(self, at_ms, worker_count):
        """Return whether many workers crashed around a time."""
        count = sum(abs(at_ms - ms) <= STORM_WINDOW_MS for ms, _ in self.recent)
        return count >= max(MIN_STORM_CRASHES, MIN_STORM_SHARE * worker_count)

    def take_first_suspects(self):
        """Return, once, the tasks that a common cause of the crashes clears."""
        cleared_ids = []
        for _, task_ids in self.recent:
            cleared_ids += task_ids
            task_ids.clear()
        return cleared_ids


def on_report(state, report):
    """Propose to record the crash in a report, unless that was done before."""
    crash = report.crash
    # Incarnations are compared for equality only, as the clock that numbers them may
    # have been set back.
    if crash is None or state.proposed_crash_by_agent.get(report.agent) == crash.life:
        return
    state.proposed_crash_by_agent[report.agent] = crash.life
    incarnation = [crash.worker, crash.life]
    if not commandrows.valid_rows(checks.INCARNATION_ROW, [incarnation], "crash"):
        return
    _log_crash(report, crash)
    state.effects.append(
        schedulerevents.WorkerCrashed(pool=report.pool, run_count=len(crash.runs))
    )
    findings = commandrows.valid_rows(
        checks.CRASH_ROW, classify(state.store, crash.runs), "crash"
    )
    state.propose(
        commands.RecordCrash(
            worker=crash.worker, life=crash.life, agent=report.agent, rows=findings
        )
    )
    state.crashes.add(state.now_ms, _first_suspected_ids(state.store, findings))
    if not state.crashes.is_storm(state.now_ms, len(state.view_by_id)):
        return
    cleared_ids = state.crashes.take_first_suspects()
    if cleared_ids:
        log.info("suspicions_cleared tasks=%d", len(cleared_ids))
        state.propose(commands.ClearSuspects(tasks=cleared_ids))


def _first_suspected_ids(store, findings):
    """Return the suspected tasks that lost no run in a crash before."""
    return [
        task_id
        for task_id, _, finding in findings
        if finding in crashrecord.SUSPICIONS and _lost_runs(store, task_id) == 0
    ]


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


def classify(store, runs):
    """Return the finding on each run that a crash of its worker ended.

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
        Task, run and one of the findings of `crashrecord`.
    """
    finding = crashrecord.SUSPECT
    suspects = [row for row in runs if row[2] < SUSPECT_WINDOWS_MS[0]]
    if _are_sole_suspect(store, suspects):
        finding = crashrecord.SOLE_SUSPECT
    if not suspects:
        suspects = [row for row in runs if row[2] < _window_ms(store, row[0])]
    suspected_keys = {(row[0], row[1]) for row in suspects}
    findings = []
    for task_id, run_number, survived_ms, _ in runs:
        if (task_id, run_number) in suspected_keys:
            found = finding
        elif survived_ms < _window_ms(store, task_id):
            found = crashrecord.UNDECIDED
        else:
            found = crashrecord.SURVIVED
        findings.append([task_id, run_number, found])
    return findings


def _are_sole_suspect(store, suspects):
    """Return whether the suspects are one task, or members of one gang."""
    units = {_unit(store, row[0]) for row in suspects}
    return len(units) == 1 and all(row[3] <= MAX_NOTICED_MS for row in suspects)


def _window_ms(store, task_id):
    lost_runs = _lost_runs(store, task_id)
    return SUSPECT_WINDOWS_MS[min(lost_runs, len(SUSPECT_WINDOWS_MS) - 1)]


def _lost_runs(store, task_id):
    _, _, task = store.find_task(task_id)
    return task.lost_runs if task is not None else 0


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
    for task_id, run_number, finding in command.rows:
        workflow, _, task = state.store.find_task(task_id)
        if task is None or finding not in crashrecord.SUSPICIONS:
            continue
        state.failed_workers_by_task.setdefault(task_id, set()).add(command.worker)
        log.info(
            "task_suspected task=%s run=%d worker=%s finding=%s crashes=%d",
            task_id,
            run_number,
            command.worker,
            finding,
            task.crashes,
        )
        if not workflow.is_open:
            given_up_by_id[workflow.id] = workflow
        elif (
            finding == crashrecord.SOLE_SUSPECT
            and task.crashes >= crashrecord.MIN_CRASHES
        ):
            state.crashes.undecided_ms_by_task[task_id] = state.now_ms
    return [
        workflow
        for workflow_id, workflow in given_up_by_id.items()
        if workflow_id in state.open_ids
    ]


def tick(state):
    """Give up the only suspects of crashes that were not part of a storm."""
    undecided_ms_by_task = state.crashes.undecided_ms_by_task
    for task_id, crashed_ms in list(undecided_ms_by_task.items()):
        if state.now_ms - crashed_ms < STORM_WINDOW_MS:
            continue
        del undecided_ms_by_task[task_id]
        is_storm = state.crashes.is_storm(crashed_ms, len(state.view_by_id))
        log.info("give_up_decided task=%s given_up=%s", task_id, not is_storm)
        if not is_storm:
            state.propose(commands.GiveUpTask(task=task_id))
