"""Checks what clients and minions observe against the guarantees of the platform."""

import time

# Latest start of a job's task after the cancel of the job was acknowledged.
CANCEL_LIMIT_S = 3.0
# Latest start in a failure domain after its drain was acknowledged: the bound for
# agents in touch, and the longest fault that keeps a process from acting.
DRAIN_LIMIT_S = 5.0 + 7.0


class Checker:
    """Collects observations of clients and minions, and the violations they show.

    The rules are: ``TWICE``, a task runs in two places or again after its end was
    acknowledged; ``REFUSED``, a task starts though every submission of its job was
    refused; ``UNASKED``, a task starts that no client submitted, or too long after
    its cancel; ``EVAC``, a task starts too long after the drain of its failure
    domain. The runner adds ``LOST`` and ``CONFIG`` at the end.
    """

    def __init__(self):
        self.violations = []
        self.holder_by_task = {}
        self.finished_tasks = set()
        self.accepted_jobs = set()
        self.refused_jobs = set()
        self.submitted_jobs = set()
        self.cancelled_s_by_job = {}
        self.drained_s_by_zone = {}
        self.start_count = 0

    def report(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def on_start(self, minion, key):
        self.start_count += 1
        task = key[0]
        job = task.partition(".")[0]
        holder = self.holder_by_task.get(task)
        if holder is not None:
            self.report("TWICE", f"{key} on {minion.id}, beside {holder}")
        if task in self.finished_tasks:
            self.report("TWICE", f"{key} on {minion.id} after its end was seen")
        if job in self.refused_jobs and job not in self.accepted_jobs:
            self.report("REFUSED", f"{key} though every attempt was refused")
        if job not in self.submitted_jobs:
            self.report("UNASKED", f"{key}")
        cancelled_s = self.cancelled_s_by_job.get(job)
        if cancelled_s and time.monotonic() - cancelled_s > CANCEL_LIMIT_S:
            self.report("UNASKED", f"{key} {CANCEL_LIMIT_S} s after its cancel")
        drained_s = self.drained_s_by_zone.get(minion.zone)
        if drained_s and time.monotonic() - drained_s > DRAIN_LIMIT_S:
            self.report("EVAC", f"{key} in the drained domain {minion.zone}")
        self.holder_by_task[task] = (minion.id, minion.born, key[1])

    def on_end(self, minion, key):
        if self.holder_by_task.get(key[0]) == (minion.id, minion.born, key[1]):
            del self.holder_by_task[key[0]]

    def on_crash(self, minion):
        for task, holder in list(self.holder_by_task.items()):
            if holder[:2] == (minion.id, minion.born):
                del self.holder_by_task[task]
