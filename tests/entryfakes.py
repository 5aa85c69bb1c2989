"""Fake agents and a fake state process for tests of the entry."""

import asyncio
import contextlib
import json

from tornado import netutil

from sardinegauge import background, commands, errors, outcome, settings
from sardinegauge.entries import entryapp
from sardinegauge.links import httpmessages, link, messages


class FakeAgent(link.Handler):
    """An agent with one upstream; `respond(agent, exchange, head, body)` answers.

    `received` lists (head, body) of every request whose body arrived completely. If
    `stores_bodies` is false, body is the number of bytes instead of their content.
    """

    def __init__(self, name="u1", respond=None, services=("shop",), incarnation="i1"):
        self.name = name
        self.incarnation = incarnation
        self.services = list(services)
        self.respond = respond or answer_ok
        self.received = []
        self.heads = []
        self.aborts = []
        self.key_replies = []
        self.key_queries = []
        self.stores_bodies = True
        self.in_flight = 0
        self.credit_ratio = 1  # Bytes of credit granted for each byte received.
        self.received_bytes = 0
        hello = messages.Hello(role="agent", name=name, identity=incarnation)
        self.server = link.LinkServer(self, hello)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def directory_entry(self, **changes):
        return messages.Upstream(
            upstream=self.name,
            incarnation=self.incarnation,
            address=self.address,
            services=self.services,
            connections=64,
        ).replace(**changes)

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        background.spawn(self._serve(exchange, message))

    async def _serve(self, exchange, message):
        with contextlib.suppress(errors.LinkClosedError):
            await self._answer(exchange, message)

    async def _answer(self, exchange, message):
        try:
            if isinstance(message, httpmessages.KeyQuery):
                self.key_queries.append(message)
                if self.key_replies:
                    exchange.send(self.key_replies.pop(0))
                return
            self.heads.append(message)
            self.in_flight += 1
            try:
                await self._serve_request(exchange, message)
            finally:
                self.in_flight -= 1
        finally:
            exchange.close()

    async def _serve_request(self, exchange, head):
        body = None
        if head.has_body:
            body = await self._receive_body(exchange)
            if body is None:
                return
        self.received.append((head, body))
        await self.respond(self, exchange, head, body)

    async def _receive_body(self, exchange):
        parts, length = [], 0
        while True:
            message = await exchange.receive(10)
            if isinstance(message, httpmessages.Abort):
                self.aborts.append(message)
                return None
            if isinstance(message, httpmessages.BodyEnd):
                assert message.length == length
                return b"".join(parts) if self.stores_bodies else length
            length += len(message.data)
            if self.stores_bodies:
                parts.append(message.data)
            self.received_bytes += len(message.data)
            if self.credit_ratio:
                exchange.send(
                    httpmessages.Credit(size=len(message.data) * self.credit_ratio)
                )

    def stop(self):
        self.server.close_links()


async def answer_ok(agent, exchange, head, body):
    """Answer with the path, so that a test detects a swapped response."""
    send_response(exchange, head.path.encode(), in_flight=agent.in_flight)


def send_response(exchange, body, status=200, headers=(), in_flight=1, length=None):
    exchange.send(
        httpmessages.ResponseHead(
            status=status, headers=list(headers), in_flight=in_flight
        )
    )
    if body:
        exchange.send(httpmessages.BodyChunk(data=body))
    exchange.send(httpmessages.BodyEnd(length=len(body) if length is None else length))


def refuse(draining=False):
    async def respond(agent, exchange, head, body):
        exchange.send(
            httpmessages.Refusal(verdict="not-run", reason="full", draining=draining)
        )

    return respond


def abort(verdict):
    async def respond(agent, exchange, head, body):
        exchange.send(httpmessages.Abort(verdict=verdict, reason="upstream failed"))

    return respond


class FakeState:
    """A state process in memory that several entries may share.

    `failures` lists the outcomes of the next proposals, which are not applied.
    `lost_answers` is the number of proposals after them that are applied but whose
    answer is lost.
    """

    def __init__(self, agents=(), document=None):
        self.agents = list(agents)
        self.document = document or {}
        self.config_version = 1
        self.directory_version = 1
        self.is_confirmed = True
        self.claims = {}
        self.proposed = []
        self.failures = []
        self.lost_answers = 0
        self.index = 100

    def start(self):
        pass

    def stop(self):
        pass

    def publish(self, agents):
        self.agents = list(agents)
        self.directory_version += 1

    async def poll(self, config_version, directory_version):
        await asyncio.sleep(0)
        is_new = directory_version < self.directory_version
        reply = messages.PollReply(
            confirmed=self.is_confirmed,
            config_version=self.config_version,
            config=json.dumps(self.document).encode(),
            directory_version=self.directory_version,
            is_full_directory=is_new,
            directory=[a.directory_entry() for a in self.agents] if is_new else [],
        )
        return outcome.Answered(value=reply)

    async def propose(self, command, timeout_s):
        await asyncio.sleep(0.001)
        self.proposed.append(command)
        if self.failures:
            return self.failures.pop(0)
        answer = outcome.Answered(value=self._apply(command))
        if self.lost_answers:
            self.lost_answers -= 1
            return outcome.Lost(reason="leader lost")
        return answer

    def _apply(self, command):
        key = (command.tenant, command.key)
        self.index += 1
        claim = self.claims.get(key)
        if isinstance(command, commands.MakeClaim):
            if claim is None:
                self.claims[key] = dict(
                    command.to_dict(), claim_index=self.index, state="open"
                )
                return outcome.Accepted(value={"claim_index": self.index})
            if claim["digest"] not in (None, command.digest):
                return outcome.Conflict(version=0, operator="")
            return outcome.Accepted(value={"claim": dict(claim)})
        if claim is None or claim["claim_index"] != command.claim_index:
            return outcome.Conflict(version=0, operator="")
        if isinstance(command, commands.SettleClaim):
            claim.update(command.to_dict(), state="settled")
        elif claim["state"] == "open":
            del self.claims[key]
        return outcome.Accepted()


def config(**changes):
    data = {
        "name": "e1",
        "state": [],
        "http_listen": "127.0.0.1:1",
        "drain_notice_s": 0,
        **changes,
    }
    return settings.check(data, entryapp.KNOWN_SETTINGS, "test")


async def wait_until(condition, timeout_s=10):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(state, **changes):
    """Run an entry, wait until its upstreams are linked, and yield it.

    The entry's `base` is the URL of its HTTP server.
    """
    values = config(**changes)
    values.http_listen = "127.0.0.1:0"
    app = entryapp.EntryApplication(values, state)
    await app.on_start()
    port = next(iter(app.server._sockets.values())).getsockname()[1]
    app.base = f"http://127.0.0.1:{port}"
    app.port = port
    try:
        names = {agent.name for agent in state.agents}
        by_name = app.state.upstreams.by_name
        await wait_until(
            lambda: (
                not state.is_confirmed
                or names == {n for n, u in by_name.items() if u.linked_incarnation}
            )
        )
        yield app
    finally:
        for timer in app._timers:
            timer.cancel()
        await app.on_stop()
        for agent in state.agents:
            agent.stop()
