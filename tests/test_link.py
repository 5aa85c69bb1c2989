"""Guards against misrouted replies, links to silent peers, and endless exchanges."""

import asyncio

import pytest
from tornado import netutil, tcpclient

from sardinegauge import background, errors
from sardinegauge.links import dialers, link, messages


class Echo(link.Handler):
    """Replies to queries: those of kind "slow" after 50 ms, "never" not at all."""

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        background.spawn(self._answer(exchange, message))

    async def _answer(self, exchange, message):
        if message.kind == "slow":
            await asyncio.sleep(0.05)
        if message.kind != "never":
            exchange.send(messages.QueryReply(reason=message.kind))
        exchange.close()


async def _connected_pair():
    server = link.LinkServer(Echo(), messages.Hello(role="state", name="server"))
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    dialer = dialers.Dialer(
        address, Echo(), messages.Hello(role="entry", name="client")
    )
    dialer.start()
    while not dialer.is_open:
        await asyncio.sleep(0.005)
    return server, dialer


def test_replies_out_of_order_reach_their_own_request():
    async def run():
        server, dialer = await _connected_pair()
        slow = dialer.link.request(messages.Query(kind="slow"), 5)
        quick = dialer.link.request(messages.Query(kind="quick"), 5)
        replies = await asyncio.gather(slow, quick)
        dialer.stop()
        server.close_links()
        return [reply.reason for reply in replies]

    assert asyncio.run(run()) == ["slow", "quick"]


def test_closing_a_link_fails_its_open_exchanges():
    async def run():
        server, dialer = await _connected_pair()
        waiting = asyncio.ensure_future(
            dialer.link.request(messages.Query(kind="never"), 5)
        )
        await asyncio.sleep(0.02)
        server.close_links()
        with pytest.raises(errors.LinkClosedError):
            await waiting
        dialer.stop()

    asyncio.run(run())


@pytest.mark.parametrize("ping_s", [0.05, 30.0])
def test_only_a_silent_link_is_closed(monkeypatch, ping_s):
    """A link without input is closed, and one that receives pings stays open."""
    monkeypatch.setattr(link, "SILENCE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(link, "PING_INTERVAL_S", ping_s)

    async def run():
        server, dialer = await _connected_pair()
        first = dialer.link
        await asyncio.sleep(0.8)
        is_open = first.is_open
        dialer.stop()
        server.close_links()
        return is_open

    assert asyncio.run(run()) == (ping_s < 1)


def test_cancelled_receive_ends_when_a_message_arrives_at_once():
    async def run(steps):
        server, dialer = await _connected_pair()
        exchange = dialer.link.open_exchange(messages.Query(kind="never"))
        waiting = asyncio.ensure_future(exchange.receive(5))
        await asyncio.sleep(0.01)
        exchange.deliver(messages.QueryReply())
        for _ in range(steps):
            await asyncio.sleep(0)
        if waiting.cancel():
            with pytest.raises(asyncio.CancelledError):
                await waiting
        dialer.stop()
        server.close_links()

    for steps in range(4):
        asyncio.run(run(steps))


def test_silent_peer_is_closed_after_the_limit():
    async def run():
        silent = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(10), "127.0.0.1", 0
        )
        host, port = silent.sockets[0].getsockname()
        stream = await tcpclient.TCPClient().connect(host, port)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await link.Link(stream, Echo(), messages.Hello(role="entry")).run()
        silent.close()
        return loop.time() - started_s

    assert 1.9 < asyncio.run(run()) < 4
