"""Takes callers' requests about workflows: finds the queue, asks the leader.

A request that certainly changed nothing ends as `outcome.Refused`, one whose outcome is
unknown as `outcome.Lost`. Queues are those of the last confirmed poll; a request for a
queue that is not there polls again before it is refused.
"""

import asyncio
import json
import logging
import zlib

from sardinegauge import commands, outcome, record
from sardinegauge.workflows import flowmetrics, queues

POLL_INTERVAL_S = 0.4
# A node without a confirmed poll for this long says that it can't take requests.
EVIDENCE_S = 3.0
# How long a request waits for a leader, which usually is elected within this time.
LEADER_WAIT_S = 1.6
QUERY_WAIT_S = 1.2
RETRY_AFTER_S = 1

log = logging.getLogger(__name__)


class NoQueue(record.Record):
    """Outcome: no such queue."""

    __slots__ = ()


class NoWorkflow(record.Record):
    """Outcome: no such workflow in this queue."""

    __slots__ = ()


class Gateway:
    """Answers callers about workflows.

    Parameters
    ----------
    client : stateclient.StateClient
    """

    def __init__(self, client):
        self.client = client
        self.version = 0
        self.router = queues.Router([])
        self._by_name = {}
        self.confirmed_s = None
        self.metrics = flowmetrics.GatewayMetrics()
        self._poll_lock = asyncio.Lock()

    @property
    def has_queues(self):
        """Tell whether any set of queues is in force here."""
        return self.version > 0

    def is_ready(self, now_s):
        """Tell whether requests can be taken now."""
        if not self.has_queues or self.confirmed_s is None:
            return False
        return now_s - self.confirmed_s < EVIDENCE_S

    def confirmed_ms_ago(self):
        """Return the age of the last confirmed poll in ms, -1 if there was none."""
        if self.confirmed_s is None:
            return -1
        return int(1000 * (asyncio.get_running_loop().time() - self.confirmed_s))

    async def poll(self):
        """Fetch the newest queues; tell whether a leader confirmed them."""
        begun_s = asyncio.get_running_loop().time()
        async with self._poll_lock:
            if self.confirmed_s is not None and self.confirmed_s >= begun_s:
                return True
            begun_s = asyncio.get_running_loop().time()
            answer = await self.client.poll(0, 1 << 60, self.version)
            if not isinstance(answer, outcome.Answered):
                return False
            self._take(answer.value, begun_s)
            return True

    def _take(self, reply, begun_s):
        self.client.learn(reply.replicas)
        self.confirmed_s = begun_s
        if reply.queues_version > self.version:
            self._apply(json.loads(zlib.decompress(reply.queues)))
            self.version = reply.queues_version
            self.metrics.set_version(self.version)
            log.info(
                "queues_in_force version=%d queues=%d", self.version, len(self._by_name)
            )

    def _apply(self, changes):
        if changes["is_full"]:
            self._by_name = {}
        for name in changes["removed"]:
            self._by_name.pop(name, None)
        for item in changes["queues"]:
            queue = queues.Queue.from_dict(item)
            self._by_name[queue.name] = queue
        self.router = queues.Router(self._by_name.values())

    async def find(self, host, path):
        """Return queue and rest of the path, `NoQueue`, or `outcome.Refused`."""
        found = self.router.find(host, path)
        if found is not None:
            return found
        if not await self.poll() or not self.has_queues:
            return outcome.Refused(reason="no configuration")
        return self.router.find(host, path) or NoQueue()

    async def submit(self, queue, workflow_id, fields, timeout_s):
        """Hand in a workflow.

        Parameters
        ----------
        queue : queues.Queue
        workflow_id : str
        fields : dict
            Further fields of `commands.SubmitWorkflow`.
        timeout_s : float
            How long the caller waits, in seconds.

        Returns
        -------
        outcome.Accepted, outcome.Invalid, NoQueue, outcome.Refused or outcome.Lost
        """
        command = commands.SubmitWorkflow(id=workflow_id, queue=queue.name, **fields)
        return await self._propose(command, timeout_s)

    async def cancel(self, workflow_id, timeout_s):
        """Cancel a workflow; the outcomes are those of `submit` and `NoWorkflow`."""
        answer = await self._propose(commands.CancelWorkflow(id=workflow_id), timeout_s)
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

    async def state_of(self, workflow_id, timeout_s):
        """Return a workflow's state, `NoWorkflow` or `outcome.Refused`."""
        answer = await self._query("workflow", {"id": workflow_id}, timeout_s)
        if isinstance(answer, dict):
            return answer.get("state") or NoWorkflow()
        return answer

    async def waiting(self, queue, timeout_s):
        """Return how many workflows of a queue wait, or `outcome.Refused`."""
        answer = await self._query("waiting", {"queue": queue.name}, timeout_s)
        if isinstance(answer, dict):
            return answer["waiting"]
        return answer

    async def _query(self, kind, arguments, timeout_s):
        limit_s = min(timeout_s, QUERY_WAIT_S)
        answer = await self.client.query(kind, arguments, limit_s)
        if not isinstance(answer, outcome.Answered):
            return answer
        if isinstance(answer.value, outcome.Invalid):
            return outcome.Refused(reason=str(answer.value.problems))
        return answer.value
