"""Calls that make, settle, release and resolve claims, for the entry's application."""

import asyncio
import base64
import hashlib
import random

from sardinegauge import background, clock, commands, errors, outcome
from sardinegauge.entries import entryevents
from sardinegauge.links import httpmessages

# Short enough that a lost leader costs one try, not the whole deadline.
PROPOSE_LIMIT_S = 3.0
KEY_QUERY_LIMIT_S = 1.0
SETTLE_TRIES = 5
SETTLE_PAUSE_S = 0.5


def digest(caller):
    """Return the digest of a request's method, path and body as hexadecimal text."""
    head = caller.head
    summary = hashlib.sha256(f"{head.method} {head.path}\n".encode())
    summary.update(caller.body.contents())
    return summary.hexdigest()


class ClaimCalls:
    """Carries out the claim effects of the reducer.

    Parameters
    ----------
    client : stateclient.StateClient
        Takes the proposals.
    links : agentlinks.AgentLinks
        Links to the agents.
    handle : callable
        Takes the events that answer the effects.
    log : structlog logger
        The application's logger.
    """

    def __init__(self, client, links, handle, log):
        self.client = client
        self.links = links
        self._handle = handle
        self.log = log
        self._running = set()

    @property
    def is_busy(self):
        """Tell whether calls are under way, which a drain waits for."""
        return bool(self._running)

    def execute(self, effect):
        """Begin to carry out an effect."""
        task = background.spawn(_CALLS[type(effect)](self, effect))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _answer(self, cls, effect, **fields):
        self._handle(
            cls(
                now_ms=clock.monotonic_ms(),
                number=effect.number,
                seed=random.getrandbits(64),
                **fields,
            )
        )

    async def _make(self, effect):
        command = commands.MakeClaim(
            tenant=effect.tenant,
            key=effect.key,
            digest=effect.digest,
            upstream=effect.upstream,
            incarnation=effect.incarnation,
            entry=effect.token,
        )
        answer = await self.client.propose(command, PROPOSE_LIMIT_S)
        self._answer(entryevents.ClaimAnswered, effect, answer=answer)

    async def _release(self, effect):
        command = commands.ReleaseClaim(
            tenant=effect.tenant, key=effect.key, claim_index=effect.claim_index
        )
        if effect.is_awaited:
            answer = await self.client.propose(command, PROPOSE_LIMIT_S)
            self._answer(entryevents.ClaimReleased, effect, answer=answer)
        else:
            await self._propose_until_done(command)

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
        await self._propose_until_done(command)

    async def _propose_until_done(self, command):
        """Propose an idempotent command a bounded number of times.

        Where it fails, the claim stays open and a resend asks the agent.
        """
        for _ in range(SETTLE_TRIES):
            answer = await self.client.propose(command, PROPOSE_LIMIT_S)
            if isinstance(answer, outcome.Answered):
                return
            await asyncio.sleep(SETTLE_PAUSE_S * random.uniform(0.5, 1.0))
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
                reply = await exchange.receive(KEY_QUERY_LIMIT_S)
            finally:
                exchange.close()
        except (errors.LinkClosedError, TimeoutError):
            pass
        if not isinstance(reply, httpmessages.KeyReply):
            reply = None
        self._answer(entryevents.KeyAnswered, effect, reply=reply)


_CALLS = {
    entryevents.MakeClaim: ClaimCalls._make,
    entryevents.ReleaseClaim: ClaimCalls._release,
    entryevents.SettleClaim: ClaimCalls._settle,
    entryevents.QueryKey: ClaimCalls._query,
}
