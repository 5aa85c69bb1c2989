"""Tells a worker that fails everything from a job that fails everywhere.

Each failure counts against both its worker and its job. A worker is faulty when
several jobs fail there that do well elsewhere or failed at fewer workers than the
worker has failing jobs. A job is faulty when it fails on several workers that are not
faulty themselves.
"""

import collections

from sardinegauge import commands

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
# Failures of a single job count against a worker only if the job succeeds elsewhere.
FAILURES_OF_ONE_JOB = 3
WORKERS_TO_FAIL_JOB = 3
# A task that ran this long counts as a success of its worker and its job.
SUCCESS_AFTER_MS = 10_000
FIRST_PROBE_MS = 20_000
MAX_PROBE_MS = 600_000
FORGET_MS = 1_800_000
MAX_JOBS = 20_000


class WorkerRecord:
    """Failures on one worker since its last success: number and times by job."""

    __slots__ = ("failed_jobs", "failures", "next_probe_ms", "probe_ms", "probe_task")

    def __init__(self):
        self.failures = 0
        self.failed_jobs = {}
        self.probe_task = ""
        self.probe_ms = FIRST_PROBE_MS
        self.next_probe_ms = 0


class JobRecord:
    """Workers on which a job failed and on which it succeeded, each since when."""

    __slots__ = ("failed_by_upstream", "succeeded_by_upstream")

    def __init__(self):
        self.failed_by_upstream = {}
        self.succeeded_by_upstream = {}


class Ledger:
    """Successes and failures by worker and by job or service."""

    __slots__ = ("by_job", "by_upstream", "quarantined")

    def __init__(self):
        self.by_upstream = collections.defaultdict(WorkerRecord)
        self.by_job = {}
        self.quarantined = set()

    def job(self, name):
        """Return the record of a job or service."""
        found = self.by_job.get(name)
        if found is None:
            if len(self.by_job) >= MAX_JOBS:
                del self.by_job[next(iter(self.by_job))]
            found = self.by_job[name] = JobRecord()
        return found

    def note_success(self, now_ms, upstream, name):
        """Note that a task finished or ran for a while."""
        worker = self.by_upstream.get(upstream)
        if worker is not None:
            worker.failures = 0
            worker.failed_jobs.clear()
        record = self.job(name)
        record.succeeded_by_upstream[upstream] = now_ms
        record.failed_by_upstream.pop(upstream, None)

    def note_failure(self, now_ms, upstream, name):
        """Note that a task failed; old evidence is dropped."""
        worker = self.by_upstream[upstream]
        for job, failed_ms in list(worker.failed_jobs.items()):
            if now_ms - failed_ms > FORGET_MS:
                del worker.failed_jobs[job]
        worker.failures += 1
        worker.failed_jobs[name] = now_ms
        record = self.job(name)
        for table in (record.failed_by_upstream, record.succeeded_by_upstream):
            for known, at_ms in list(table.items()):
                if now_ms - at_ms > FORGET_MS:
                    del table[known]
        record.failed_by_upstream[upstream] = now_ms

    def is_worker_faulty(self, upstream):
        """Tell whether the failures on a worker are due to the worker."""
        worker = self.by_upstream.get(upstream)
        if worker is None or worker.failures < FAILURES_TO_QUARANTINE:
            return False
        jobs = worker.failed_jobs
        against = [name for name in jobs if self._counts_against(upstream, name)]
        if len(against) >= JOBS_TO_QUARANTINE:
            return True
        return worker.failures >= FAILURES_OF_ONE_JOB and any(
            self._succeeds_elsewhere(upstream, name) for name in against
        )

    def is_job_faulty(self, name):
        """Tell whether the failures of a job are due to the job."""
        record = self.by_job.get(name)
        if record is None or record.succeeded_by_upstream:
            return False
        return len(self._not_faulty(record.failed_by_upstream)) >= WORKERS_TO_FAIL_JOB

    def is_task_faulty(self, task):
        """Tell whether a task failed on several workers that are not faulty."""
        return len(self._not_faulty(task.failed_upstreams)) >= WORKERS_TO_FAIL_JOB

    def recent_failures(self, upstream):
        """Return the failures on a worker since its last success."""
        worker = self.by_upstream.get(upstream)
        return 0 if worker is None else worker.failures

    def _counts_against(self, upstream, name):
        if self._succeeds_elsewhere(upstream, name):
            return True
        record = self.by_job.get(name)
        failed = {} if record is None else record.failed_by_upstream
        jobs = self.by_upstream[upstream].failed_jobs
        return len(self._not_faulty(failed)) < max(len(jobs), JOBS_TO_QUARANTINE)

    def _succeeds_elsewhere(self, upstream, name):
        record = self.by_job.get(name)
        if record is None:
            return False
        return any(known != upstream for known in record.succeeded_by_upstream)

    def _not_faulty(self, upstreams):
        return {upstream for upstream in upstreams if upstream not in self.quarantined}


def judge(state, now_ms, task, upstream):
    """Return the commands that a reported failure of a task leads to."""
    ledger = state.ledger
    name = task.job or task.service
    ledger.note_failure(now_ms, upstream, name)
    proposals = []
    worker = state.machine.workers.by_upstream.get(upstream)
    is_new = worker is not None and not worker.is_quarantined
    if is_new and ledger.is_worker_faulty(upstream):
        proposals.extend(_quarantine(state, now_ms, upstream))
    if not task.job:
        return proposals
    job = state.machine.jobs.by_id.get(task.job)
    is_live = job is not None and job.state in ("pending", "running")
    if is_live and (ledger.is_job_faulty(name) or ledger.is_task_faulty(task)):
        proposals.extend(_fail_job(state, now_ms, task, name))
    return proposals


def _quarantine(state, now_ms, upstream):
    worker = state.ledger.by_upstream[upstream]
    if ("quarantine", upstream) in state.in_flight:
        return []
    worker.next_probe_ms = now_ms + worker.probe_ms
    reason = (
        f"{worker.failures} failures in a row of {len(worker.failed_jobs)} job(s) that "
        "do not fail elsewhere"
    )
    state.reasons.note(now_ms, [upstream], "quarantined: {}", reason)
    return [
        commands.QuarantineWorker(upstream=upstream, quarantined=True, reason=reason)
    ]


def _fail_job(state, now_ms, task, name):
    if ("fail", name) in state.in_flight:
        return []
    failed = set(state.ledger.job(name).failed_by_upstream) | set(task.failed_upstreams)
    places = ", ".join(sorted(failed)[:5])
    reason = f"failed on {len(failed)} workers ({places}): {task.reason or 'no reason'}"
    state.reasons.note(now_ms, [name, task.id], "job given up: {}", reason)
    return [commands.FailJob(job=name, reason=reason)]


def note_success(state, now_ms, task, upstream):
    """Note a success; return the command that lifts a quarantine, if one is due."""
    ledger = state.ledger
    ledger.note_success(now_ms, upstream, task.job or task.service)
    worker = state.machine.workers.by_upstream.get(upstream)
    if worker is None or not worker.is_quarantined:
        return []
    if ("quarantine", upstream) in state.in_flight:
        return []
    record = ledger.by_upstream[upstream]
    record.probe_ms = FIRST_PROBE_MS
    record.probe_task = ""
    state.reasons.note(now_ms, [upstream], "quarantine lifted: {} succeeded", task.id)
    return [
        commands.QuarantineWorker(
            upstream=upstream, quarantined=False, reason=f"probe {task.id} succeeded"
        )
    ]


def note_probe_failed(state, now_ms, upstream):
    """Wait twice as long before the next probe of a quarantined worker."""
    record = state.ledger.by_upstream[upstream]
    record.probe_task = ""
    record.probe_ms = min(record.probe_ms * 2, MAX_PROBE_MS)
    record.next_probe_ms = now_ms + record.probe_ms


def due_probes(state, now_ms):
    """Return the quarantined workers that may get a single task now."""
    return [
        upstream
        for upstream in sorted(state.ledger.quarantined)
        if not state.ids_by_upstream.get(upstream)
        and upstream not in state.free.planned_by_upstream
        and now_ms >= state.ledger.by_upstream[upstream].next_probe_ms
    ]
