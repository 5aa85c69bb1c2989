"""Gateway for callers' requests about workflows to the leader.

A request that certainly changed nothing ends as `outcome.Refused`, one with an unknown
outcome as `outcome.Lost`. Queues are looked up in the result of the last confirmed
poll; before a request for an unknown queue is refused, the gateway polls again.
"""

import asyncio
import json
import logging
import zlib

from sardinegauge import background, clock, commands, outcome, record
from sardinegauge.intake import limits
from sardinegauge.workflows import (
    cancellations,
    flowmetrics,
    gatewayadmission,
    queues,
    queuetransfer,
    steps,
)
from sardinegauge.workflows.policies import admission

POLL_INTERVAL_S = 0.4
# Longest time of one poll, which fetches part after part of a large set.
MAX_POLL_S = 2.0
# A node without a confirmed poll for this long reports that it is not ready.
CONFIRMATION_TIMEOUT_S = 3.0
# Longest wait of a request for a leader, which is usually elected within this time.
LEADER_WAIT_S = 1.6
QUERY_WAIT_S = 1.2
# A caller is told to return after this long if nothing is known of the capacity.
RETRY_AFTER_S = 1
# Share of the propagation bound for which a gateway answers without a new confirmation.
# The rest leaves time for the way of a request and for a clock that runs slow.
STALENESS_SHARE = 0.8
# A caller is told so many of the problems of a submission.
MAX_PROBLEMS = 10
REFUSED_BEFORE = "refused_before"
BACKLOG_UNKNOWN = "the backlog is not known"
CANCELLED = "cancelled"

log = logging.getLogger(__name__)


class NoQueue(record.Record):
    """Outcome: the queue does not exist."""

    __slots__ = ()


class NoWorkflow(record.Record):
    """Outcome: the workflow does not exist."""

    __slots__ = ()


class Gateway:
    """Executes callers' requests about workflows.

    Parameters
    ----------
    client : stateclient.StateClient
    policy : admission.AdmissionPolicy, optional
    propagation_bound_s : float, optional
        Time after which an acknowledged change of the queues must be in force, in
        seconds. Before it is exceeded, the gateway polls before it answers, and refuses
        calls while no leader confirms its queues. By default, there is no bound.

    `seen_index` is a log index that is known to be applied, as far as refusals are
    recorded. `limits` are the limits of callers in the last confirmed configuration.
    """

    def __init__(self, client, policy=None, propagation_bound_s=None):
        self.client = client
        self.propagation_bound_s = propagation_bound_s
        self.version = 0
        self.router = queues.Router([])
        self.limits = limits.RequestLimits()
        self._queue_by_name = {}
        self._confirmed_at_ms = None
        self.metrics = flowmetrics.GatewayMetrics()
        client.on_attempt = self.metrics.count_attempt
        self.admission = gatewayadmission.AdmissionGate(self.metrics, policy)
        self.seen_index = 0
        self._poll_lock = asyncio.Lock()
        self._next_poll = None
        self._download = queuetransfer.Download()

    @property
    def has_queues(self):
        """Whether this node has received a set of queues."""
        return self.version > 0

    def is_ready(self):
        """Return whether requests can be accepted now."""
        if not self.has_queues or self._confirmed_at_ms is None:
            return False
        return self.confirmed_ms_ago() < 1000 * CONFIRMATION_TIMEOUT_S

    def confirmed_ms_ago(self):
        """Return the age of the last confirmed poll in ms, -1 if there was none."""
        if self._confirmed_at_ms is None:
            return -1
        return clock.monotonic_ms() - self._confirmed_at_ms

    def is_outdated(self):
        """Return whether the queues may lack a change that must be in force by now."""
        if self.propagation_bound_s is None:
            return False
        limit_ms = 1000 * STALENESS_SHARE * self.propagation_bound_s
        return not 0 <= self.confirmed_ms_ago() <= limit_ms

    async def poll(self):
        """Fetch the newest queues; return whether a leader confirmed them.

        Callers that wait for a poll in progress share the next one, so that none waits
        for more than two polls.
        """
        if self._next_poll is None:
            self._next_poll = background.spawn(self._poll_next())
        return await asyncio.shield(self._next_poll)

    async def _poll_next(self):
        async with self._poll_lock:
            # A later caller needs a poll that begins after its call.
            self._next_poll = None
            started_at_s = asyncio.get_running_loop().time()
            is_confirmed = await self._fetch_queues(started_at_s + MAX_POLL_S)
            seconds = asyncio.get_running_loop().time() - started_at_s
            self.metrics.observe_poll(is_confirmed, seconds)
            return is_confirmed

    async def _fetch_queues(self, deadline_s):
        """Fetch parts of changes until the newest version is in force."""
        while (started_at_s := asyncio.get_running_loop().time()) < deadline_s:
            started_at_ms = clock.monotonic_ms()
            answer = await self.client.poll(
                0, 1 << 60, self.version, **self._download.poll_fields()
            )
            if not isinstance(answer, outcome.Answered):
                self._log_unconfirmed(answer.reason)
                return False
            self._apply_reply(answer.value, started_at_s)
            if self.version >= answer.value.queues_version:
                self._confirmed_at_ms = started_at_ms
                return True
        self._log_unconfirmed("the changes are incomplete")
        return False

    def _log_unconfirmed(self, reason):
        log.info(
            "poll_unconfirmed version=%d target=%d confirmed_ms_ago=%d reason=%r",
            self.version,
            self._download.target,
            self.confirmed_ms_ago(),
            reason,
        )

    def _apply_reply(self, reply, started_at_s):
        self.client.update_members(reply.replicas)
        self.admission.update(reply.backlog, started_at_s)
        self.seen_index = reply.refusal_index and max(
            self.seen_index, reply.refusal_index
        )
        if reply.queues_version <= self.version:
            return
        data = self._download.add(reply)
        if data is None or reply.queues_target <= self.version:
            return
        self._apply_changes(json.loads(zlib.decompress(data)))
        self.version = reply.queues_target
        self.metrics.set_version(self.version)
        log.info(
            "queues_in_force version=%d queues=%d bytes=%d",
            self.version,
            len(self._queue_by_name),
            len(data),
        )

    def _apply_changes(self, changes):
        if changes["is_full"]:
            self._queue_by_name = {}
        for name in changes["removed"]:
            self._queue_by_name.pop(name, None)
        for fields in changes["queues"]:
            queue = queues.Queue.from_dict(fields)
            self._queue_by_name[queue.name] = queue
        self.router = queues.Router(self._queue_by_name.values())
        # Leaders of an earlier release send no limits.
        self.limits = limits.RequestLimits.from_dict(changes.get("limits", {}))

    async def find(self, host, path, timeout_s=LEADER_WAIT_S):
        """Return the queue of a request and the remaining path.

        Returns
        -------
        tuple of (queues.Queue, str)
        NoQueue
            A leader confirmed that no queue has this host and path.
        outcome.Refused
            No leader confirmed the queues within `timeout_s` seconds.
        outcome.Lost
            The same, but this gateway proposed a workflow with this id before.
        """
        found = self.router.find(host, path)
        if found is None or self.is_outdated():
            if not await self._confirm_queues(timeout_s):
                return self._refuse_unconfirmed(found)
            found = self.router.find(host, path)
        self.metrics.observe_queues_age(self.confirmed_ms_ago() / 1000)
        return found or NoQueue()

    async def _confirm_queues(self, timeout_s):
        try:
            async with asyncio.timeout(min(timeout_s, LEADER_WAIT_S)):
                return await self.poll() and self.has_queues
        except TimeoutError:
            return False

    def _refuse_unconfirmed(self, found):
        reason = "the queues in force are not known"
        if found is not None and found[1] in self.admission.proposed:
            return outcome.Lost(reason=f"{reason}; proposed before")
        return outcome.Refused(reason=reason)

    async def submit(self, queue, workflow_id, fields, timeout_s, seen_index=None):
        """Submit a workflow, or refuse it by the backlog before it is proposed.

        Parameters
        ----------
        queue : queues.Queue
        workflow_id : str
        fields : dict
            Further fields of `commands.SubmitWorkflow`.
        timeout_s : float
            Longest wait of the caller, in seconds.
        seen_index : int, optional
            `seen_index` of when the call arrived; by default that of now.

        Returns
        -------
        outcome.Accepted, outcome.Invalid, NoQueue, outcome.Refused or outcome.Lost
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        command = commands.SubmitWorkflow(
            id=workflow_id,
            queue=queue.name,
            seen_index=self.seen_index if seen_index is None else seen_index,
            **fields,
        )
        problems = steps.problems_of(command)
        if problems:
            # The log would take in the whole command before it is refused.
            return outcome.Invalid(problems=problems[:MAX_PROBLEMS])
        if self.admission.lacks_copy(command, loop.time()):
            return outcome.Refused(
                reason=BACKLOG_UNKNOWN, retry_after_ms=1000 * RETRY_AFTER_S
            )
        decision = self.admission.decide(queue, command, loop.time())
        if decision is not None:
            answer = await self._refuse(queue, command, decision, deadline_s)
            if answer is not None:
                return answer
        return await self._submit(queue, command, deadline_s)

    async def _submit(self, queue, command, deadline_s):
        """Propose a submission that was not refused."""
        loop = asyncio.get_running_loop()
        proposed = self.admission.proposed
        may_be_known = command.id in proposed
        proposed.add(command.id, loop.time())
        answer = await self._propose(command, deadline_s - loop.time())
        if isinstance(answer, outcome.Accepted):
            self.admission.record_accepted(queue, command.id, loop.time())
        elif (
            isinstance(answer, outcome.Conflict)
            and answer.reason == cancellations.CANCELLED_BEFORE
        ):
            proposed.remove(command.id)
            return self._refuse_cancelled(queue, command.id)
        elif isinstance(answer, outcome.Conflict):
            # The recorded refusal may be older than a proposal that is still on its way
            # from another gateway; a new one blocks that, too.
            decision = gatewayadmission.Decision(
                reason=REFUSED_BEFORE, retry_after_s=RETRY_AFTER_S
            )
            answer = await self._refuse(queue, command, decision, deadline_s)
            if isinstance(answer, outcome.Refused) and command.id in proposed:
                return outcome.Lost(reason=answer.reason)
        elif isinstance(answer, outcome.Refused) and may_be_known:
            return outcome.Lost(reason=f"{answer.reason}; proposed before")
        elif not isinstance(answer, outcome.Lost) and not may_be_known:
            proposed.remove(command.id)
        return answer

    def _refuse_cancelled(self, queue, workflow_id):
        """Refuse a workflow that its caller has cancelled; no attempt can run it."""
        log.info("cancelled_workflow_refused id=%s queue=%s", workflow_id, queue.name)
        self.metrics.count_admission(queue.name, CANCELLED)
        return outcome.Refused(
            reason=cancellations.CANCELLED_BEFORE, retry_after_ms=1000 * RETRY_AFTER_S
        )

    async def _refuse(self, queue, submission, decision, deadline_s):
        """Record a refusal in the log; return the answer, or None to accept instead.

        A proposal of the same id may still be on its way from another gateway. Once the
        refusal is recorded, that proposal has no effect.
        """
        loop = asyncio.get_running_loop()
        command = commands.RefuseWorkflow(
            id=submission.id,
            queue=queue.name,
            retry_after_s=decision.retry_after_s,
            is_newcomer=decision.is_newcomer,
            seen_index=submission.seen_index,
        )
        answer = await self._propose(command, deadline_s - loop.time())
        if isinstance(answer, outcome.Accepted) and answer.ids:
            self.admission.record_accepted(queue, command.id, loop.time())
            return answer
        if isinstance(answer, outcome.Accepted) and "waited_ms" in answer.value:
            waited_s = answer.value["waited_ms"] / 1000
            self.admission.learn_return(command.id, waited_s, loop.time())
            decision = self.admission.decide(queue, submission, loop.time())
            if decision is None:
                return None
            return await self._refuse(queue, submission, decision, deadline_s)
        if isinstance(answer, outcome.Accepted):
            return self._record_refusal(queue, command, decision, answer.version)
        if isinstance(answer, (outcome.Refused, outcome.Lost)):
            return answer
        # The refusal can't be recorded. Without the record, "not accepted" could be
        # untrue; nothing is claimed if accepting would exceed a limit.
        if decision.reason == admission.EXPECTED_END:
            return None
        return outcome.Lost(reason=f"{decision.reason}; the refusal was not recorded")

    def _record_refusal(self, queue, command, decision, index):
        now_s = asyncio.get_running_loop().time()
        self.seen_index = max(self.seen_index, index)
        self.admission.record_refused(queue, command, decision.reason, now_s)
        log.info(
            "workflow_refused id=%s queue=%s reason=%s retry_after_s=%d index=%d",
            command.id,
            queue.name,
            decision.reason,
            command.retry_after_s,
            index,
        )
        return outcome.Refused(
            reason=decision.reason, retry_after_ms=1000 * command.retry_after_s
        )

    async def cancel(self, workflow_id, timeout_s):
        """Cancel a workflow; the outcomes are those of `submit` and `NoWorkflow`."""
        command = commands.CancelWorkflow(id=workflow_id, is_binding=True)
        answer = await self._propose(command, timeout_s)
        if isinstance(answer, outcome.Conflict):
            self.metrics.count_unrecorded_cancel()
            return outcome.Refused(reason=answer.reason)
        return NoWorkflow() if isinstance(answer, NoQueue) else answer

    async def _propose(self, command, timeout_s):
        limit_s = min(timeout_s, LEADER_WAIT_S)
        answer = await self.client.propose_idempotent(command, limit_s)
        if not isinstance(answer, outcome.Answered):
            log.info(
                "proposal_failed kind=%s id=%s outcome=%s reason=%r",
                type(command).__name__,
                command.id,
                type(answer).__name__,
                answer.reason,
            )
            return answer
        if isinstance(answer.value, outcome.Impossible):
            return NoQueue()
        return answer.value

    async def workflow_state(self, workflow_id, timeout_s):
        """Return a workflow's state, `NoWorkflow` or `outcome.Refused`."""
        answer = await self._query("workflow", {"id": workflow_id}, timeout_s)
        if isinstance(answer, dict):
            return answer.get("state") or NoWorkflow()
        return answer

    async def waiting_count(self, queue, timeout_s):
        """Return the number of waiting workflows, `NoQueue` or `outcome.Refused`."""
        answer = await self._query("waiting", {"queue": queue.name}, timeout_s)
        if not isinstance(answer, dict):
            return answer
        return answer["waiting"] if answer.get("is_known", True) else NoQueue()

    async def _query(self, kind, arguments, timeout_s):
        limit_s = min(timeout_s, QUERY_WAIT_S)
        answer = await self.client.query(kind, arguments, limit_s)
        if not isinstance(answer, outcome.Answered):
            return answer
        if isinstance(answer.value, outcome.Invalid):
            return outcome.Refused(reason=str(answer.value.problems))
        return answer.value
