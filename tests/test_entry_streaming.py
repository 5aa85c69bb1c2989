"""Tests that bodies pass the entry in bounded memory, at the pace of their reader."""

import asyncio
import contextlib
import tracemalloc

from tornado import httpclient, simple_httpclient

from sardinegauge import errors
from sardinegauge.entries import requestattempt
from sardinegauge.links import httpmessages
from tests import entryfakes, entrykit


async def send_large_response(agent, exchange, head, body):
    """Answer with as many bytes as the body had, or with 32 MiB and no `BodyEnd`."""
    window, agent.sent, limit = 256 * 1024, 0, body or 32 << 20
    exchange.send(httpmessages.ResponseHead(status=200))
    with contextlib.suppress(errors.LinkClosedError, TimeoutError):
        while agent.sent < limit:
            while window < 64 * 1024:
                message = await exchange.receive(10)
                if isinstance(message, httpmessages.Abort):
                    return
                window += message.size
            data = bytes(min(limit - agent.sent, 64 * 1024))
            await exchange.send(httpmessages.BodyChunk(data=data))
            agent.sent += len(data)
            window -= len(data)
        if body:
            exchange.send(httpmessages.BodyEnd(length=body))


def test_large_bodies_stream_both_ways_in_bounded_memory():
    size = 48 << 20

    async def test(app):
        app.agents[0].stores_bodies = False

        async def produce(write):
            for _ in range(size // (1 << 20)):
                await write(bytes(1 << 20))

        received = 0

        def count(chunk):
            nonlocal received
            received += len(chunk)

        tracemalloc.start()
        client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_body_size=1 << 30
        )
        request = httpclient.HTTPRequest(
            app.base + "/shop",
            method="POST",
            body_producer=produce,
            streaming_callback=count,
            request_timeout=60,
            headers={"Content-Length": str(size), "Sardinegauge-Deadline-Ms": "60000"},
        )
        response = await client.fetch(request, raise_error=False)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return response.code, received, peak

    code, received, peak = entrykit.run(test, entrykit.agent(send_large_response))
    assert (code, received) == (200, size)
    assert peak < 12 << 20, f"{peak} bytes held for bodies of {size}"


def test_agent_without_credit_gets_no_more_than_the_window():
    async def test(app):
        app.agents[0].credit_ratio = 0
        _, writer = await asyncio.open_connection("127.0.0.1", app.port)
        head = "POST /shop HTTP/1.1\nHost: a\nContent-Length: 2000000\n\n"
        writer.write(entrykit.raw_request(head, bytes(2_000_000)))
        await entryfakes.wait_until(lambda: app.agents[0].received_bytes >= 192 * 1024)
        await asyncio.sleep(0.1)
        writer.close()
        return app.agents[0].received_bytes

    assert entrykit.run(test, entrykit.agent()) <= 256 * 1024


def test_caller_that_does_not_read_pauses_the_agent():
    async def test(app):
        (sender,) = app.agents
        _, writer = await asyncio.open_connection("127.0.0.1", app.port, limit=1024)
        writer.write(b"GET /shop HTTP/1.1\r\nHost: a\r\n\r\n")
        await entryfakes.wait_until(lambda: sender.received)
        before = -1
        while before != sender.sent or not sender.sent:
            before = sender.sent
            await asyncio.sleep(0.3)
        writer.close()
        await entryfakes.wait_until(lambda: not app.state.requests)
        return before

    # The window and the kernel's socket buffers limit the bytes in flight.
    assert entrykit.run(test, entrykit.agent(send_large_response)) < 16 << 20


def test_stalled_readers_and_agents_do_not_hold_a_request(monkeypatch):
    monkeypatch.setattr(requestattempt, "STALL_TIMEOUT_S", 0.5)

    async def pause(agent, exchange, head, body):
        exchange.send(httpmessages.ResponseHead(status=200))
        exchange.send(httpmessages.BodyChunk(data=b"begun"))
        agent.aborts.append(await exchange.receive(10))

    async def test(app):
        _, writer = await asyncio.open_connection("127.0.0.1", app.port, limit=1024)
        writer.write(b"GET /shop HTTP/1.1\r\nHost: a\r\n\r\n")
        await entryfakes.wait_until(lambda: app.agents[0].received)
        await entryfakes.wait_until(lambda: not app.state.requests, timeout_s=5)
        await entryfakes.wait_until(lambda: not app.agents[0].in_flight, timeout_s=5)
        writer.close()
        return app.state.upstreams.by_name["u1"].consecutive_failures

    assert entrykit.run(test, entrykit.agent(send_large_response)) == 0, (
        "a slow reader counted against the upstream"
    )
    assert entrykit.run(test, entrykit.agent(pause)) == 1
