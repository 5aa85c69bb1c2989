"""Isolated starts of suspected tasks.

It is made for tasks that crash each worker on which they start. A task that was
suspected in a crash starts again on a worker where no other run is young, and nothing
else starts there until the worker has survived it. If the worker crashes, the cause is
known, and only a bounded share of the workers is at risk at a time.

A crash during a burst leaves many suspects. Those of a first crash then share workers
in groups; after a second crash, the few members of the group start one by one.
"""

import logging
import math

from sardinegauge import commands
from sardinegauge.workflows import views

# A run that its worker is known to have survived for this long is not its end.
SURVIVAL_MS = 250
# A worker without a start for this long has survived its runs, as agents hear from it
# often enough.
QUIET_MS = 400
# Share of the usable workers that may be isolated at a time, at least one worker.
MAX_ISOLATED_SHARE = 1 / 3
# A worker is kept free of other starts for this long until it is quiet and the isolated
# start is in the log.
RESERVATION_MS = 1000
# With more suspects than this, those of a first crash start in groups.
MAX_SINGLE_STARTS = 4
log = logging.getLogger(__name__)


class Probe:
    """The isolated runs of suspected tasks on a worker."""

    __slots__ = ("incarnation", "keys")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.keys = []


class Isolation:
    """Soft state of the isolated workers.

    `probe_by_worker` holds the probes that the worker is not known to have survived,
    `reservation_end_ms_by_worker` the workers that wait to be quiet or for the commit
    of an isolated start, and `assigned_ms_by_worker` the time of the last assignment to
    a worker.
    """

    __slots__ = (
        "assigned_ms_by_worker",
        "begun_ms",
        "probe_by_worker",
        "reservation_end_ms_by_worker",
    )

    def __init__(self):
        self.begun_ms = 0
        self.probe_by_worker = {}
        self.reservation_end_ms_by_worker = {}
        self.assigned_ms_by_worker = {}

    def is_isolated(self, worker):
        """Return whether a suspected task runs on a worker or is about to."""
        return (
            worker in self.probe_by_worker
            or worker in self.reservation_end_ms_by_worker
        )


def begin(state):
    """Resume the probes of an earlier leader."""
    state.isolation.begun_ms = state.now_ms
    for task_id in state.store.suspected_ids:
        _, _, task = state.store.find_task(task_id)
        for run in task.runs:
            _add_to_probe(state, task, run.number, run.worker, run.incarnation)


def on_assigned(state, task_id, run_number, worker, incarnation):
    """Record an assignment, which is a probe if the task is suspected."""
    state.isolation.assigned_ms_by_worker[worker] = state.now_ms
    if task_id in state.store.suspected_ids:
        _, _, task = state.store.find_task(task_id)
        _add_to_probe(state, task, run_number, worker, incarnation)
        log.info(
            "probe_started task=%s run=%d worker=%s crashes=%d",
            task_id,
            run_number,
            worker,
            task.crashes,
        )


def _add_to_probe(state, task, run_number, worker, incarnation):
    if task.step.is_gang:
        # Members start on many workers at once, which can't all be quiet.
        return
    isolation = state.isolation
    isolation.reservation_end_ms_by_worker.pop(worker, None)
    probe = isolation.probe_by_worker.get(worker)
    if probe is None or probe.incarnation != incarnation:
        probe = isolation.probe_by_worker[worker] = Probe(incarnation)
    probe.keys.append((task.id, run_number))


def on_report(state, view):
    """End the probe on a worker that has survived it, or that lost it."""
    probe = state.isolation.probe_by_worker.get(view.id)
    if probe is None:
        return
    pending_keys = _pending_keys(state, view.id, probe)
    is_survived = all(_is_survived(view, key) for key in pending_keys)
    if pending_keys and not is_survived:
        return
    del state.isolation.probe_by_worker[view.id]
    log.info(
        "probe_ended worker=%s survived=%d of=%d",
        view.id,
        len(pending_keys),
        len(probe.keys),
    )
    if pending_keys:
        cleared_ids = [task_id for task_id, _ in pending_keys]
        state.propose(commands.ClearSuspects(tasks=cleared_ids))


def _pending_keys(state, worker, probe):
    runs = state.store.runs_of(worker, probe.incarnation)
    return [key for key in probe.keys if key in runs]


def _is_survived(view, key):
    """Return whether the worker answered long enough after a run became active.

    That the run is still listed as active shows nothing: a worker that crashed without
    closing its connections is found out only later.
    """
    reported = view.runs.get(key)
    return (
        reported is not None
        and reported.phase == views.ACTIVE
        and reported.survived_ms >= SURVIVAL_MS
    )


def tick(state):
    """Drop expired reservations, workers that are gone, and probes that have ended."""
    isolation = state.isolation
    for worker, end_ms in list(isolation.reservation_end_ms_by_worker.items()):
        if state.now_ms >= end_ms:
            del isolation.reservation_end_ms_by_worker[worker]
    for worker in isolation.assigned_ms_by_worker.keys() - state.view_by_id.keys():
        del isolation.assigned_ms_by_worker[worker]
    for worker, probe in list(isolation.probe_by_worker.items()):
        if not _pending_keys(state, worker, probe):
            del isolation.probe_by_worker[worker]


def is_quiet(state, view):
    """Return whether a worker has survived all its runs for `QUIET_MS`."""
    isolation = state.isolation
    last_ms = isolation.assigned_ms_by_worker.get(view.id, isolation.begun_ms)
    if state.now_ms - last_ms < QUIET_MS:
        return False
    return all(
        key in view.ended
        or (key in view.runs and view.runs[key].phase != views.ORDERED)
        for key in state.store.runs_of(view.id, view.incarnation)
    )


class IsolationPlan:
    """The workers that one plan of assignments may isolate.

    `closed_ids` are those on which no other task may start: reserved workers, and those
    chosen in this plan.
    """

    __slots__ = (
        "_group_size",
        "_left",
        "_members_by_worker",
        "_planned_ids",
        "_state",
        "closed_ids",
    )

    def __init__(self, state, candidates):
        self._state = state
        isolation = state.isolation
        self.closed_ids = set(isolation.reservation_end_ms_by_worker)
        self._planned_ids = set(state.worker_by_planned_task.values())
        self._members_by_worker = {}
        limit = max(1, int(MAX_ISOLATED_SHARE * len(candidates)))
        self._left = limit - len(isolation.probe_by_worker)
        self._group_size = 1
        suspect_count = len(state.store.suspected_ids)
        if suspect_count > MAX_SINGLE_STARTS:
            self._group_size = math.isqrt(suspect_count)

    def choose(self, task, eligible, rank):
        """Return a quiet worker for a suspected task, or reserve one and return None.

        Parameters
        ----------
        task : workflow.Task
        eligible : list of placement.Candidate
            Those on which the task fits.
        rank : callable
            Returns the sort key of a candidate; the highest is preferred.
        """
        is_single = task.crashes > 1 or self._group_size == 1
        if not is_single:
            for candidate in eligible:
                worker = candidate.view.id
                if 0 < self._members_by_worker.get(worker, 0) < self._group_size:
                    self._members_by_worker[worker] += 1
                    return candidate
        if self._left <= 0:
            return None
        free = [
            c
            for c in eligible
            if c.view.id not in self._planned_ids and not c.reservation_count
        ]
        quiet = [c for c in free if is_quiet(self._state, c.view)]
        if not quiet:
            self._reserve(free)
            return None
        chosen = max(quiet, key=lambda c: (-self._run_count(c), rank(c)))
        worker = chosen.view.id
        self._left -= 1
        self._planned_ids.add(worker)
        if not is_single:
            self._members_by_worker[worker] = 1
        self._close(worker)
        return chosen

    def _run_count(self, candidate):
        view = candidate.view
        return len(self._state.store.runs_of(view.id, view.incarnation))

    def _close(self, worker):
        self.closed_ids.add(worker)
        self._state.isolation.reservation_end_ms_by_worker[worker] = (
            self._state.now_ms + RESERVATION_MS
        )

    def _reserve(self, candidates):
        """Keep other tasks off the worker that had no start for the longest time."""
        isolation = self._state.isolation
        waiting_ids = self.closed_ids - self._planned_ids
        if len(waiting_ids) >= self._left:
            return
        free_ids = [c.view.id for c in candidates if c.view.id not in self.closed_ids]
        if free_ids:
            assigned_ms_by_worker = isolation.assigned_ms_by_worker
            self._close(min(free_ids, key=lambda w: assigned_ms_by_worker.get(w, 0)))
