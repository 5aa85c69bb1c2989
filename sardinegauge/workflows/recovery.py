"""Restarts of stuck and slow runs on other workers, and suspicion of their workers.

The leader tracks the progress of runs in the reports and asks a
`stragglers.StragglerPolicy` for its verdicts. A run is only stopped here: as with every
stop, its task is assigned again once the end of the run is recorded.
"""

import logging

from sardinegauge.workflows import (
    availability,
    restartgain,
    schedulerevents,
    spareroom,
    store,
    views,
)
from sardinegauge.workflows.policies import progress, stragglers

# Interval of the verdicts; reports come every 400 ms from each worker.
JUDGE_INTERVAL_MS = 200
# Bounds of the restarts: of all runs per second, with a burst for the runs of one
# worker, and of each task.
MAX_RESTARTS_PER_S = 10.0
MAX_RESTART_BURST = 20.0
MAX_RESTARTS_PER_TASK = 2
# Restarts of a task longer ago do not count; persistent tasks run for days.
RESTART_MEMORY_MS = 300_000
# With more unhealthy workers than this share of the usable ones, the cause is not a
# worker: starts elsewhere would not help.
MAX_SUSPECTED_SHARE = 0.25
MIN_SUSPECTED_LIMIT = 2
# Progress in percent and time at work that prove a run on a worker on probation, long
# enough for a verdict on a slow run.
PROVING_PROGRESS = 5
PROVING_MS = 1000
log = logging.getLogger(__name__)


class Recovery:
    """Soft state of the restarts.

    `restarts_by_task` holds the times of the restarts of each task, `tokens` how many
    restarts the limit per second allows now. `is_ignored` is True while too many
    workers are unhealthy at once.
    """

    __slots__ = (
        "is_ignored",
        "judged_ms",
        "policy",
        "restarts_by_task",
        "suspected_count",
        "tokens",
        "tracker",
    )

    def __init__(self, policy=None):
        self.policy = policy or stragglers.ByProgress()
        self.tracker = progress.Tracker()
        self.restarts_by_task = {}
        self.suspected_count = 0
        self.is_ignored = False
        self.tokens = MAX_RESTART_BURST
        self.judged_ms = 0


def on_report(state, view):
    """Track the progress of the runs in a report."""
    tracker = state.recovery.tracker
    if not view.is_fenced:
        # The worker does not answer, or does not list all of its runs yet.
        tracker.begin_report(view.id, set(), state.now_ms)
        return
    runs = state.store.runs_of(view.id, view.incarnation)
    active_by_key = {
        key: reported
        for key, reported in view.runs.items()
        if reported.phase == views.ACTIVE and key in runs
    }
    for key in view.ended.keys() & tracker.track_by_run.keys():
        if view.ended[key] == store.DONE:
            tracker.record_done(tracker.track_by_run[key], state.now_ms)
    tracker.begin_report(view.id, set(active_by_key), state.now_ms)
    idle_millis = _idle_millis(view, runs, active_by_key)
    for key, reported in active_by_key.items():
        info = _find_info(state, key, runs[key], view.id)
        if info is not None:
            tracker.add_sample(info, reported, idle_millis, state.now_ms)


def _idle_millis(view, runs, active_by_key):
    """Return the thousandths of a core that are known to be idle.

    Nothing is known beside a latency-critical task, whose load is a latency. Other
    tasks count with the cores that they reserve.
    """
    idle = view.capacity.cpu_millis
    for key, task in runs.items():
        if task.step.target_ms:
            return 0.0
        load = active_by_key[key].load if key in active_by_key else 0
        idle -= load if task.step.is_filler else max(load, task.step.cpu_millis)
    return idle


def _find_info(state, key, task, worker):
    """Return the description of a run that may get a verdict, or None."""
    track = state.recovery.tracker.track_by_run.get(key)
    if track is not None:
        return track.info
    workflow, _, _ = state.store.find_task(task.id)
    if workflow is None or not workflow.is_open or task.step.is_gang:
        return None
    return progress.RunInfo(key, task.step, worker, workflow.queue)


def on_assigned(state, key, worker):
    """Record an assignment, which is a probe if the worker is suspected."""
    state.health.record_start(worker, key)


def on_end(state, key, worker, how):
    """Record the end of a run, for the probation of its worker."""
    _end_probe(state, worker, key, how == store.DONE)


def _end_probe(state, worker, key, is_success):
    if state.health.record_end(worker, key, is_success):
        log.info("worker_cleared worker=%s", worker)


def tick(state):
    """Restart the runs that the policy finds, and suspect their workers."""
    recovery = state.recovery
    passed_ms = state.now_ms - recovery.judged_ms
    if passed_ms < JUDGE_INTERVAL_MS:
        return
    recovery.judged_ms = state.now_ms
    gained_tokens = MAX_RESTARTS_PER_S * passed_ms / 1000
    recovery.tokens = min(MAX_RESTART_BURST, recovery.tokens + gained_tokens)
    _drop_ended(state)
    suspected_ids = state.health.suspected_ids
    judgement = recovery.policy.judge(recovery.tracker, suspected_ids, state.now_ms)
    limit = max(MIN_SUSPECTED_LIMIT, MAX_SUSPECTED_SHARE * _count_usable(state))
    unhealthy_count = len(suspected_ids | judgement.reason_by_worker.keys())
    is_ignored = unhealthy_count > limit
    if is_ignored and not recovery.is_ignored:
        log.warning("stalls_ignored workers=%d limit=%d", unhealthy_count, limit)
    recovery.is_ignored = is_ignored
    if not is_ignored:
        _suspect_workers(state, judgement)
        _restart_runs(state, judgement.verdicts)
    _end_proven_probes(state, judgement)
    _count_suspected(state)


def _drop_ended(state):
    """Drop what is known about workflows that have ended and workers that are gone."""
    recovery = state.recovery
    recovery.tracker.drop_workers(state.view_by_id.keys())
    recovery.tracker.drop_steps(state.now_ms)
    limit_ms = state.now_ms - RESTART_MEMORY_MS
    for task_id, times_ms in list(recovery.restarts_by_task.items()):
        is_open = task_id.partition(".")[0] in state.open_ids
        times_ms[:] = [time_ms for time_ms in times_ms if time_ms > limit_ms]
        if not is_open or not times_ms:
            del recovery.restarts_by_task[task_id]
    for worker in state.health.suspected_ids:
        view = state.view_by_id.get(worker)
        if view is None:
            state.health.forget(worker)
            continue
        runs = state.store.runs_of(worker, view.incarnation)
        for key in state.health.probe_keys(worker) - runs.keys():
            _end_probe(state, worker, key, False)


def _count_usable(state):
    return sum(view.may_start(state.now_ms) for view in state.view_by_id.values())


def _suspect_workers(state, judgement):
    for worker, reason in judgement.reason_by_worker.items():
        if _is_answering(state, worker):
            _suspect(state, worker, reason)


def _is_answering(state, worker):
    view = state.view_by_id.get(worker)
    return view is not None and view.is_fenced and view.is_fresh(state.now_ms)


def _suspect(state, worker, reason):
    if state.health.suspect(worker, state.now_ms):
        log.info("worker_suspected worker=%s reason=%s", worker, reason)


def _restart_runs(state, verdicts):
    """Restart the runs with the highest gain, within the bounds."""
    found = []
    for verdict in verdicts:
        run = _find_run(state, verdict.info)
        if run is not None:
            gain_ms = restartgain.gain_ms(verdict)
            if restartgain.is_worthwhile(verdict, gain_ms):
                found.append((gain_ms, verdict, run))
    if not found:
        return
    rooms = spareroom.SpareRooms(state)
    for gain_ms, verdict, run in sorted(
        found, key=lambda row: (-row[0], row[1].info.key)
    ):
        if state.recovery.tokens < 1:
            return
        workflow, occurrence, task = state.store.find_task(_task_id(verdict))
        if not availability.may_stop(state, occurrence, task):
            continue
        if rooms.reserve(state.store.queue_of(workflow).pool, task.step, run.worker):
            _restart(state, verdict, run, workflow.queue, gain_ms)


def _task_id(verdict):
    """Return the task id of a verdict's run."""
    task_id, _ = verdict.info.key
    return task_id


def _find_run(state, info):
    """Return the run that is to be restarted, or None if it may not be."""
    task_id, run_number = info.key
    workflow, _, task = state.store.find_task(task_id)
    if task is None or not workflow.is_open or task.is_done or task.crashes:
        return None
    if info.key in state.stop_reason_by_run or not _is_answering(state, info.worker):
        return None
    if len(state.recovery.restarts_by_task.get(task_id, ())) >= MAX_RESTARTS_PER_TASK:
        return None
    # A task with several runs at a time has its copy already.
    if len(task.runs) != 1 or task.runs[0].number != run_number:
        return None
    return task.runs[0]


def _restart(state, verdict, run, queue, gain_ms):
    task_id, run_number = verdict.info.key
    recovery = state.recovery
    recovery.tokens -= 1
    recovery.restarts_by_task.setdefault(task_id, []).append(state.now_ms)
    state.stop_reason_by_run[verdict.info.key] = verdict.reason
    state.moved_from_by_task[task_id] = run.worker
    state.push(run.worker, run.incarnation)
    state.effects.append(
        schedulerevents.RunRestarted(queue=queue, reason=verdict.reason)
    )
    log.info(
        "run_restarted task=%s run=%d worker=%s reason=%s progress=%d stalled_ms=%d "
        "rate_per_s=%.1f peer_rate_per_s=%.1f gain_ms=%d",
        task_id,
        run_number,
        run.worker,
        verdict.reason,
        verdict.progress,
        verdict.stalled_ms,
        1000 * verdict.rate,
        1000 * verdict.peer_rate,
        gain_ms,
    )
    is_evidence = verdict.reason == stragglers.STUCK and verdict.has_moving_peers
    if is_evidence and state.health.record_stall(run.worker, state.now_ms):
        _suspect(state, run.worker, verdict.reason)


def _end_proven_probes(state, judgement):
    """Count the probes that progress as expected as successes of their worker."""
    bad_keys = {verdict.info.key for verdict in judgement.verdicts}
    for worker in state.health.suspected_ids:
        probe_keys = state.health.probe_keys(worker)
        if probe_keys & bad_keys:
            state.health.record_probe_fault(worker)
        for key in probe_keys - bad_keys:
            track = state.recovery.tracker.track_by_run.get(key)
            if track is not None and _is_proven(track):
                _end_probe(state, worker, key, True)
    for worker in state.health.clear_proven():
        log.info("worker_cleared worker=%s", worker)


def _is_proven(track):
    if track.info.is_persistent:
        # It makes no progress once it is at work, which it reaches by working.
        return track.progress >= 100 and track.survived_ms >= PROVING_MS
    gained = track.progress - track.first_progress
    return (
        track.stalled_ms == 0
        and gained >= PROVING_PROGRESS
        and track.worked_ms >= PROVING_MS
    )


def _count_suspected(state):
    count = len(state.health.suspected_ids)
    if count != state.recovery.suspected_count:
        state.recovery.suspected_count = count
        state.effects.append(schedulerevents.SuspectedWorkersCounted(count=count))
