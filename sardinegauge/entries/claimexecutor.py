"""Execution of the reducer's claim effects: proposals and key queries."""

import asyncio
import base64
import hashlib
import random

from sardinegauge import background, clock, commands, errors, outcome
from sardinegauge.entries import entryevents
from sardinegauge.links import httpmessages

# Short enough that a proposal lost with its leader leaves time for another one before
# the deadline of the request.
PROPOSE_TIMEOUT_S = 3.0
KEY_QUERY_TIMEOUT_S = 1.0
MAX_SETTLE_ATTEMPTS = 5
MAX_SETTLE_RETRY_DELAY_S = 0.5


def request_digest(caller):
    """Return the SHA-256 of a request's method, path and body in hexadecimal."""
    head = caller.head
    hasher = hashlib.sha256(f"{head.method} {head.path}\n".encode())
    hasher.update(caller.body.contents())
    return hasher.hexdigest()


class ClaimExecutor:
    """Executes the claim effects of the reducer.

    Parameters
    ----------
    client : stateclient.StateClient
        Carries the proposals to the leader.
    links : agentlinks.AgentLinks
        Links to the agents.
    handle : callable
        Called with the events that answer the effects.
    log : structlog logger
        The application's logger.
    """

    def __init__(self, client, links, handle, log):
        self.client = client
        self.links = links
        self._handle = handle
        self.log = log
        self._tasks = set()

    @property
    def is_busy(self):
        """Tell whether calls are in progress, for which a drain waits."""
        return bool(self._tasks)

    def execute(self, effect):
        """Start to execute an effect."""
        task = background.spawn(_METHOD_BY_EFFECT[type(effect)](self, effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _emit(self, event_class, effect, **fields):
        self._handle(
            event_class(
                now_ms=clock.monotonic_ms(),
                number=effect.number,
                seed=random.getrandbits(64),
                **fields,
            )
        )

    async def _create(self, effect):
        command = commands.MakeClaim(
            tenant=effect.tenant,
            key=effect.key,
            digest=effect.digest,
            upstream=effect.upstream,
            incarnation=effect.incarnation,
            entry=effect.token,
        )
        answer = await self.client.propose(command, PROPOSE_TIMEOUT_S)
        self._emit(entryevents.ClaimAnswered, effect, answer=answer)

    async def _release(self, effect):
        command = commands.ReleaseClaim(
            tenant=effect.tenant, key=effect.key, claim_index=effect.claim_index
        )
        if effect.is_awaited:
            answer = await self.client.propose(command, PROPOSE_TIMEOUT_S)
            self._emit(entryevents.ClaimReleased, effect, answer=answer)
        else:
            await self._propose_with_retries(command)

    async def _settle(self, effect):
        response = effect.response
        command = commands.SettleClaim(
            tenant=effect.tenant,
            key=effect.key,
            claim_index=effect.claim_index,
            status=response.status,
            headers=response.headers,
            body=base64.b64encode(response.body).decode(),
            is_body_kept=response.is_body_kept,
        )
        await self._propose_with_retries(command)

    async def _propose_with_retries(self, command):
        """Propose an idempotent command up to `MAX_SETTLE_ATTEMPTS` times.

        If all proposals fail, the claim stays open, and a resend of the request
        resolves it by asking the agent.
        """
        for _ in range(MAX_SETTLE_ATTEMPTS):
            answer = await self.client.propose(command, PROPOSE_TIMEOUT_S)
            if isinstance(answer, outcome.Answered):
                return
            await asyncio.sleep(MAX_SETTLE_RETRY_DELAY_S * random.uniform(0.5, 1.0))
        self.log.warning("claim_left_open", command=type(command).__name__)

    async def _query(self, effect):
        query = httpmessages.KeyQuery(
            tenant=effect.tenant,
            key=effect.key,
            claim_index=effect.claim_index,
            fence=True,
            incarnation=effect.incarnation,
        )
        reply = None
        try:
            exchange, _ = self.links.open_exchange(
                effect.upstream, effect.incarnation, query
            )
            try:
                reply = await exchange.receive(KEY_QUERY_TIMEOUT_S)
            finally:
                exchange.close()
        except (errors.LinkClosedError, TimeoutError):
            pass
        if not isinstance(reply, httpmessages.KeyReply):
            reply = None
        self._emit(entryevents.KeyAnswered, effect, reply=reply)


_METHOD_BY_EFFECT = {
    entryevents.MakeClaim: ClaimExecutor._create,
    entryevents.ReleaseClaim: ClaimExecutor._release,
    entryevents.SettleClaim: ClaimExecutor._settle,
    entryevents.QueryKey: ClaimExecutor._query,
}
