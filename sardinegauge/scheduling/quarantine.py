"""Distinguishes faulty workers, to be quarantined, from faulty jobs, to be failed.

Each failure of a task is evidence against both its worker and its job. A worker is
faulty when several jobs fail on it that succeed on other workers, or that failed on
fewer workers than the worker has failing jobs. A job is faulty when it fails on several
workers that are not quarantined and succeeds on none.
"""

import collections

from sardinegauge import commands

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
# Failures of a single job are enough against a worker only if the job succeeds on
# another worker.
FAILURES_OF_ONE_JOB = 3
WORKERS_TO_FAIL_JOB = 3
# A task that has run for this long counts as a success of its worker and its job.
SUCCESS_AFTER_MS = 10_000
MIN_PROBE_INTERVAL_MS = 20_000
MAX_PROBE_INTERVAL_MS = 600_000
EVIDENCE_MAX_AGE_MS = 1_800_000
MAX_JOB_RECORDS = 20_000


class WorkerRecord:
    """Failures on one worker since its last success: count, and last time by job."""

    __slots__ = (
        "failed_jobs",
        "failures",
        "next_probe_ms",
        "probe_interval_ms",
        "probe_task",
    )

    def __init__(self):
        self.failures = 0
        self.failed_jobs = {}
        self.probe_task = ""
        self.probe_interval_ms = MIN_PROBE_INTERVAL_MS
        self.next_probe_ms = 0


class JobRecord:
    """Workers on which a job failed or succeeded, each with the last time in ms."""

    __slots__ = ("failed_by_upstream", "succeeded_by_upstream")

    def __init__(self):
        self.failed_by_upstream = {}
        self.succeeded_by_upstream = {}


class OutcomeHistory:
    """Successes and failures by worker and by job or service."""

    __slots__ = ("by_job", "by_upstream", "quarantined")

    def __init__(self):
        self.by_upstream = collections.defaultdict(WorkerRecord)
        self.by_job = {}
        self.quarantined = set()

    def job_record(self, name):
        """Return the record of a job or service, a new one if it is unknown."""
        record = self.by_job.get(name)
        if record is None:
            if len(self.by_job) >= MAX_JOB_RECORDS:
                del self.by_job[next(iter(self.by_job))]
            record = self.by_job[name] = JobRecord()
        return record

    def record_success(self, now_ms, upstream, name):
        """Record that a task finished or ran for `SUCCESS_AFTER_MS`."""
        worker_record = self.by_upstream.get(upstream)
        if worker_record is not None:
            worker_record.failures = 0
            worker_record.failed_jobs.clear()
        job_record = self.job_record(name)
        job_record.succeeded_by_upstream[upstream] = now_ms
        job_record.failed_by_upstream.pop(upstream, None)

    def record_failure(self, now_ms, upstream, name):
        """Record the failure of a task, and drop evidence that is too old."""
        worker_record = self.by_upstream[upstream]
        for job, failed_ms in list(worker_record.failed_jobs.items()):
            if now_ms - failed_ms > EVIDENCE_MAX_AGE_MS:
                del worker_record.failed_jobs[job]
        worker_record.failures += 1
        worker_record.failed_jobs[name] = now_ms
        job_record = self.job_record(name)
        for time_by_upstream in (
            job_record.failed_by_upstream,
            job_record.succeeded_by_upstream,
        ):
            for recorded_upstream, at_ms in list(time_by_upstream.items()):
                if now_ms - at_ms > EVIDENCE_MAX_AGE_MS:
                    del time_by_upstream[recorded_upstream]
        job_record.failed_by_upstream[upstream] = now_ms

    def is_worker_faulty(self, upstream):
        """Tell whether the worker is the likely cause of the failures on it."""
        worker_record = self.by_upstream.get(upstream)
        if worker_record is None or worker_record.failures < FAILURES_TO_QUARANTINE:
            return False
        failed_jobs = worker_record.failed_jobs
        evidence = [
            name for name in failed_jobs if self._is_evidence_against(upstream, name)
        ]
        if len(evidence) >= JOBS_TO_QUARANTINE:
            return True
        return worker_record.failures >= FAILURES_OF_ONE_JOB and any(
            self._succeeds_elsewhere(upstream, name) for name in evidence
        )

    def is_job_faulty(self, name):
        """Tell whether the job is the likely cause of its failures."""
        record = self.by_job.get(name)
        if record is None or record.succeeded_by_upstream:
            return False
        return (
            len(self._not_quarantined(record.failed_by_upstream)) >= WORKERS_TO_FAIL_JOB
        )

    def is_task_faulty(self, task):
        """Tell whether a task failed on several workers that are not quarantined."""
        return len(self._not_quarantined(task.failed_upstreams)) >= WORKERS_TO_FAIL_JOB

    def recent_failures(self, upstream):
        """Return the failures on a worker since its last success."""
        worker_record = self.by_upstream.get(upstream)
        return 0 if worker_record is None else worker_record.failures

    def _is_evidence_against(self, upstream, name):
        if self._succeeds_elsewhere(upstream, name):
            return True
        record = self.by_job.get(name)
        failed_by_upstream = {} if record is None else record.failed_by_upstream
        failed_jobs = self.by_upstream[upstream].failed_jobs
        return len(self._not_quarantined(failed_by_upstream)) < max(
            len(failed_jobs), JOBS_TO_QUARANTINE
        )

    def _succeeds_elsewhere(self, upstream, name):
        record = self.by_job.get(name)
        if record is None:
            return False
        return any(
            succeeded_upstream != upstream
            for succeeded_upstream in record.succeeded_by_upstream
        )

    def _not_quarantined(self, upstreams):
        return {upstream for upstream in upstreams if upstream not in self.quarantined}


def process_failure(state, now_ms, task, upstream):
    """Record a failure of a task and return the resulting commands.

    They quarantine the worker or fail the job, if either is now found faulty.
    """
    outcomes = state.outcomes
    name = task.job or task.service
    outcomes.record_failure(now_ms, upstream, name)
    proposals = []
    worker = state.machine.workers.by_upstream.get(upstream)
    may_quarantine = worker is not None and not worker.is_quarantined
    if may_quarantine and outcomes.is_worker_faulty(upstream):
        proposals.extend(_quarantine(state, now_ms, upstream))
    if not task.job:
        return proposals
    job = state.machine.jobs.by_id.get(task.job)
    is_live = job is not None and job.state in ("pending", "running")
    if is_live and (outcomes.is_job_faulty(name) or outcomes.is_task_faulty(task)):
        proposals.extend(_fail_job(state, now_ms, task, name))
    return proposals


def _quarantine(state, now_ms, upstream):
    worker_record = state.outcomes.by_upstream[upstream]
    if ("quarantine", upstream) in state.in_flight:
        return []
    worker_record.next_probe_ms = now_ms + worker_record.probe_interval_ms
    reason = (
        f"{worker_record.failures} failures in a row of "
        f"{len(worker_record.failed_jobs)} job(s) that do not fail elsewhere"
    )
    state.reasons.record_decision(now_ms, [upstream], "quarantined: {}", reason)
    return [
        commands.QuarantineWorker(upstream=upstream, quarantined=True, reason=reason)
    ]


def _fail_job(state, now_ms, task, name):
    if ("fail", name) in state.in_flight:
        return []
    failed_upstreams = set(state.outcomes.job_record(name).failed_by_upstream) | set(
        task.failed_upstreams
    )
    places = ", ".join(sorted(failed_upstreams)[:5])
    reason = (
        f"failed on {len(failed_upstreams)} workers ({places}): "
        f"{task.reason or 'no reason'}"
    )
    state.reasons.record_decision(now_ms, [name, task.id], "job failed: {}", reason)
    return [commands.FailJob(job=name, reason=reason)]


def record_success(state, now_ms, task, upstream):
    """Record a success; return the command that lifts the quarantine of the worker."""
    outcomes = state.outcomes
    outcomes.record_success(now_ms, upstream, task.job or task.service)
    worker = state.machine.workers.by_upstream.get(upstream)
    if worker is None or not worker.is_quarantined:
        return []
    if ("quarantine", upstream) in state.in_flight:
        return []
    worker_record = outcomes.by_upstream[upstream]
    worker_record.probe_interval_ms = MIN_PROBE_INTERVAL_MS
    worker_record.probe_task = ""
    state.reasons.record_decision(
        now_ms, [upstream], "quarantine lifted: {} succeeded", task.id
    )
    return [
        commands.QuarantineWorker(
            upstream=upstream, quarantined=False, reason=f"probe {task.id} succeeded"
        )
    ]


def record_failed_probe(state, now_ms, upstream):
    """Double the time to the next probe of a quarantined worker."""
    worker_record = state.outcomes.by_upstream[upstream]
    worker_record.probe_task = ""
    worker_record.probe_interval_ms = min(
        worker_record.probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS
    )
    worker_record.next_probe_ms = now_ms + worker_record.probe_interval_ms


def due_probes(state, now_ms):
    """Return the idle quarantined workers that may get a single batch task now."""
    return [
        upstream
        for upstream in sorted(state.outcomes.quarantined)
        if not state.task_ids_by_upstream.get(upstream)
        and upstream not in state.capacity.planned_by_upstream
        and now_ms >= state.outcomes.by_upstream[upstream].next_probe_ms
    ]
