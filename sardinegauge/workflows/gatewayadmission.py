"""Admission at a gateway: its copy of the leader's backlog, and the ids that it knows.

Without a recent copy, every workflow is accepted that is not very large. Times are in
seconds of the gateway's monotonic clock.
"""

import logging

from sardinegauge import record
from sardinegauge.workflows.policies import admission, retryafter

# An older copy decides nothing.
MAX_COPY_AGE_S = 2.0
# Limits of the remembered ids of workflows that were proposed.
MAX_PROPOSED = 20_000
PROPOSED_RETENTION_S = 120.0

log = logging.getLogger(__name__)


class Decision(record.Record):
    """A refusal with the time at which the caller is told to return."""

    __slots__ = ("reason", "retry_after_s", "is_newcomer")
    _defaults = {"is_newcomer": False}


class ProposedIds:
    """Ids of workflows that this gateway proposed and that may be in the log."""

    __slots__ = ("_proposed_at_by_id",)

    def __init__(self):
        self._proposed_at_by_id = {}

    def __contains__(self, workflow_id):
        return workflow_id in self._proposed_at_by_id

    def add(self, workflow_id, now_s):
        """Remember an id; the oldest ones are forgotten."""
        ids = self._proposed_at_by_id
        ids.pop(workflow_id, None)
        ids[workflow_id] = now_s
        while ids:
            oldest, at_s = next(iter(ids.items()))
            if len(ids) <= MAX_PROPOSED and now_s - at_s < PROPOSED_RETENTION_S:
                return
            del ids[oldest]

    def remove(self, workflow_id):
        """Forget an id that is certainly not in the log."""
        self._proposed_at_by_id.pop(workflow_id, None)


class AdmissionGate:
    """Decides on submissions by the newest copy of the leader's backlog.

    Parameters
    ----------
    metrics : flowmetrics.GatewayMetrics
    policy : admission.AdmissionPolicy, optional
    """

    def __init__(self, metrics, policy=None):
        self.policy = policy or admission.ByExpectedEnd()
        self.proposed = ProposedIds()
        self.returns = retryafter.ReturnQueue()
        self._metrics = metrics
        self._backlog = None
        self._copied_at_s = 0.0
        # Own decisions that the copy does not contain yet, with their time.
        self._accepted = []
        self._refused = []

    def update(self, data, started_at_s):
        """Take over the backlog of a poll reply; its age counts from the poll's start.

        A reply without a valid backlog leaves no copy: the leader may be new.
        """
        self._backlog = admission.Backlog.from_json(data) if data else None
        self._copied_at_s = started_at_s
        if self._backlog is None:
            return
        built_at_s = started_at_s - self._backlog.age_ms / 1000
        self._accepted = [row for row in self._accepted if row[0] >= built_at_s]
        self._refused = [row for row in self._refused if row[0] >= built_at_s]
        for _, demand in self._accepted:
            self._add_accepted(demand)
        for _, demand in self._refused:
            self._add_refused(demand)

    def copy_age_s(self, now_s):
        """Return the age of the copy, or None if there is none."""
        return now_s - self._copied_at_s if self._backlog is not None else None

    def lacks_copy(self, command, now_s):
        """Tell whether a submission is too large to be accepted without a copy.

        Without one, each gateway would accept as many as arrive, and a few hundred
        large workflows fill the memory of the replicas.
        """
        age_s = self.copy_age_s(now_s)
        if command.id in self.proposed or (
            age_s is not None and age_s <= MAX_COPY_AGE_S
        ):
            return False
        return admission.submitted_bytes(command) > admission.LARGE_HELD_BYTES

    def decide(self, queue, command, now_s):
        """Return the `Decision` to refuse a submission, or None to propose it."""
        age_s = self.copy_age_s(now_s)
        if age_s is not None:
            self._metrics.set_backlog_age(age_s)
        if age_s is None or age_s > MAX_COPY_AGE_S or command.id in self.proposed:
            return None
        demand = admission.demand_of(queue, command)
        if demand is None:
            return None
        is_returning = self.returns.is_returning(command.id, now_s)
        refusal = self.policy.decide(self._backlog, demand, is_returning)
        if refusal is None:
            self._accepted.append((now_s, demand))
            self._add_accepted(demand)
            return None
        return self._refuse(command.id, demand, refusal, is_returning, now_s)

    def _refuse(self, workflow_id, demand, refusal, is_returning, now_s):
        pool = self._backlog.pool_by_name.get(demand.pool) or admission.PoolBacklog()
        if is_returning:
            # A caller who returned as told goes before those who still wait, behind the
            # others who were refused just now.
            position = sum(
                other.pool == demand.pool and other.priority <= demand.priority
                for _, other in self._refused
            )
        else:
            position = pool.count_waiting_returns(demand.priority)
        worth_ms = (
            demand.worth_ms
            - admission.OPTIMISTIC_PATH_SHARE * demand.path_ms
            - 1000 * self.returns.waited_s(workflow_id, now_s)
        )
        seconds = retryafter.retry_after_s(workflow_id, refusal, worth_ms, position)
        self._refused.append((now_s, demand))
        self._add_refused(demand)
        log.info(
            "workflow_refusal_decided id=%s reason=%s retry_after_s=%d measured=%.0f "
            "limit=%.0f open=%d held_bytes=%d cores=%.0f filler_cores=%.0f "
            "finished_cores=%.1f position=%d returning=%s copy_age_ms=%d",
            workflow_id,
            refusal.reason,
            seconds,
            refusal.measured,
            refusal.limit,
            self._backlog.open_count,
            self._backlog.held_bytes,
            pool.cores,
            pool.filler_cores,
            pool.finished_cores,
            position,
            is_returning,
            1000 * (now_s - self._copied_at_s),
        )
        return Decision(
            reason=refusal.reason, retry_after_s=seconds, is_newcomer=not is_returning
        )

    def _add_accepted(self, demand):
        self._backlog.add_workflow(demand.held_bytes, demand.is_persistent)
        if demand.is_persistent or demand.is_scheduled:
            return
        work = admission.Work(
            priority=demand.priority,
            size_class=admission.size_class(demand.core_ms),
            is_filler=demand.is_filler,
            core_ms=demand.core_ms,
            count=1,
        )
        self._pool(demand).work.append(work)

    def _add_refused(self, demand):
        self._pool(demand).waiting_returns.append([demand.priority, 1])

    def _pool(self, demand):
        return self._backlog.pool_by_name.setdefault(
            demand.pool, admission.PoolBacklog()
        )

    def record_accepted(self, queue, workflow_id, now_s):
        """Remember a workflow that is in the log."""
        self.proposed.add(workflow_id, now_s)
        self.returns.remove(workflow_id)
        self._metrics.count_admission(queue.name, "accepted")

    def record_refused(self, queue, command, reason, now_s):
        """Remember the workflow of a committed `commands.RefuseWorkflow`."""
        self.proposed.remove(command.id)
        self.returns.add(command.id, now_s + command.retry_after_s, now_s)
        self._metrics.count_admission(queue.name, reason)
        self._metrics.observe_retry_after(queue.name, command.retry_after_s)

    def learn_return(self, workflow_id, waited_s, now_s):
        """Remember a caller whom another gateway told to return now."""
        self.returns.add(workflow_id, now_s, now_s, waited_s)
