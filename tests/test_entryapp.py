"""Tests that the entry's HTTP side loses, swaps and truncates no responses."""

import asyncio
import json
import random
from types import SimpleNamespace

import pytest

from sardinegauge import errors
from sardinegauge.entries import entryhttp, requestdispatcher
from sardinegauge.links import httpmessages
from tests import entryfakes, entrykit


def test_request_reaches_the_agent_and_its_whole_response_returns():
    async def test(app):
        response = await entrykit.fetch(
            app,
            "/shop/a?b=1",
            method="POST",
            body=b"x" * 200_000,
            headers={"Connection": "X-Hop", "X-Hop": "1", "X-End": "2"},
        )
        return response, *app.agents[0].received[0]

    response, head, body = entrykit.run(test, entrykit.agent())
    assert (response.code, response.body) == (200, b"/shop/a?b=1")
    assert entrykit.verdict(response) == "ran"
    assert (head.service, head.incarnation, body) == ("shop", "i1", b"x" * 200_000)
    names = {header.name for header in head.headers}
    assert "X-End" in names and not names & {"X-Hop", "Connection"}


def test_unserved_service_is_refused_at_once_as_not_run():
    response = entrykit.run(lambda app: entrykit.fetch(app, "/nothing"))
    assert (response.code, response.headers["Retry-After"]) == (503, "1")
    assert json.loads(response.body)["verdict"] == "not-run"


def test_unconfirmed_entry_takes_no_request_and_is_not_ready():
    state = entryfakes.FakeState()
    state.is_confirmed = False

    async def test(app):
        paths = ("/shop/a", "/-/ready", "/-/health")
        return [(await entrykit.fetch(app, path)).code for path in paths]

    assert entrykit.run(test, state=state) == [503, 503, 200]


def test_each_of_many_callers_gets_its_own_response():
    async def slow(agent, exchange, head, body):
        await asyncio.sleep(random.uniform(0, 0.05))
        entryfakes.send_response(exchange, head.path.encode() + body)

    async def test(app):
        async def one(number):
            response = await entrykit.fetch(
                app, f"/shop/{number}", method="POST", body=b"#%d" % number
            )
            if response.body == b"/shop/%d#%d" % (number, number):
                return None
            return number, response.code, response.reason, response.body

        return await asyncio.gather(*(one(number) for number in range(300)))

    results = entrykit.run(test, entrykit.agent(slow), entrykit.agent(slow, "u2"))
    assert [result for result in results if result] == []


def test_pipelined_requests_are_answered_in_their_order():
    async def slow_first(agent, exchange, head, body):
        await asyncio.sleep(0.05 if head.path.endswith("1") else 0)
        entryfakes.send_response(exchange, head.path.encode())

    requests = b"GET /shop/1 HTTP/1.1\r\nHost: a\r\n\r\n"
    requests += b"GET /shop/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = entrykit.run(
        lambda app: entrykit.send_raw(app, requests), entrykit.agent(slow_first)
    )
    assert 0 < answer.index(b"/shop/1") < answer.index(b"/shop/2")


MALFORMED = [
    ("GET shop HTTP/1.1\nHost: a\n\n", b"400"),
    ("nonsense\n\n", b"400"),
    ("GET /shop HTTP/1.1\nHost: a\nbad header\n\n", b"400"),
    ("GET / HTTP/1.1\nHost: a\n\n", b"404"),
    ("GET /%2e%2e/x HTTP/1.1\nHost: a\n\n", b"404"),
    ("TRACE /shop HTTP/1.1\nHost: a\n\n", b"405"),
    ("CONNECT shop:80 HTTP/1.1\nHost: a\n\n", b"405"),
    ("GET /shop HTTP/1.1\nHost: a\nSardinegauge-Deadline-Ms: 0\n\n", b"400"),
    ("GET /shop HTTP/1.1\nHost: a\nSardinegauge-Deadline-Ms: soon\n\n", b"400"),
    ("GET /shop HTTP/1.1\nHost: a\nSardinegauge-Tenant: a b\n\n", b"400"),
    ("GET /shop HTTP/1.1\nHost: a\nSardinegauge-Idempotent: maybe\n\n", b"400"),
    ("POST /shop HTTP/1.1\nHost: a\nIdempotency-Key: \n\n", b"400"),
    ("POST /shop HTTP/1.1\nHost: a\nContent-Length: -1\n\n", b"400"),
    ("POST /shop HTTP/1.1\nHost: a\nContent-Length: 9999999999\n\n", b"413"),
    (
        "POST /shop HTTP/1.1\nHost: a\nContent-Length: 3\n"
        "Transfer-Encoding: chunked\n\n0\n\n",
        b"400",
    ),
    ("POST /shop HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\nzz\n", b"400"),
    ("GET /shop/" + "a" * 9_000 + " HTTP/1.1\nHost: a\n\n", b"414"),
    ("GET /shop HTTP/1.1\nHost: a\nX: " + "a" * 20_000 + "\n\n", b"431"),
]


def test_malformed_input_gets_a_clear_status_and_no_stack_trace():
    async def test(app):
        answers = []
        for head, _ in MALFORMED:
            data = entrykit.raw_request(head).replace(
                b"Host: a", b"Host: a\r\nConnection: close"
            )
            answers.append(await entrykit.send_raw(app, data))
        return answers, list(app.agents[0].heads)

    answers, heads = entrykit.run(test, entrykit.agent())
    for (head, status), answer in zip(MALFORMED, answers, strict=True):
        assert answer.startswith(b"HTTP/1.1 " + status), (head[:60], answer[:200])
        assert b"Traceback" not in answer
    assert not heads


def test_slow_sender_is_timed_out(monkeypatch):
    monkeypatch.setattr(requestdispatcher, "BODY_STALL_TIMEOUT_S", 0.2)
    head = "POST /shop HTTP/1.1\nHost: a\nContent-Length: 9\nConnection: close\n\nabc"
    answer = entrykit.run(
        lambda app: entrykit.send_raw(app, entrykit.raw_request(head)), entrykit.agent()
    )
    assert answer.startswith(b"HTTP/1.1 408"), answer
    assert b"not-run" in answer


def test_slow_head_is_timed_out(monkeypatch):
    monkeypatch.setattr(entryhttp, "HEADER_TIMEOUT_S", 0.2)
    assert (
        entrykit.run(
            lambda app: entrykit.send_raw(app, b"GET /shop HTTP/1.1\r\nHo"),
            entrykit.agent(),
        )
        == b""
    )


def test_early_answer_precedes_the_body_end_and_keeps_the_connection():
    bad = "POST /shop HTTP/1.1\nHost: a\nSardinegauge-Tenant: /\nContent-Length: 9\n\n"

    async def test(app):
        reader, writer = await asyncio.open_connection("127.0.0.1", app.port)
        writer.write(entrykit.raw_request(bad, b"abc"))
        async with asyncio.timeout(0.9):
            early = await reader.readuntil(b"}\n")
        writer.write(
            b"defghi" + entrykit.raw_request("GET /shop/2 HTTP/1.1\nHost: a\n\n")
        )
        later = await reader.readuntil(b"/shop/2")
        writer.write(entrykit.raw_request(bad, b"abc"))
        stalled = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return early, later, stalled

    early, later, stalled = entrykit.run(test, entrykit.agent())
    assert early.startswith(b"HTTP/1.1 400") and b"HTTP/1.1 200" in later
    assert b"HTTP/1.1 400" in stalled, "the connection was not closed"


def test_truncated_request_body_is_not_delivered_as_complete():
    async def test(app):
        _, writer = await asyncio.open_connection("127.0.0.1", app.port)
        head = "POST /shop HTTP/1.1\nHost: a\nContent-Length: 900000\n\n"
        writer.write(entrykit.raw_request(head, b"x" * 500_000))
        await entryfakes.wait_until(lambda: app.agents[0].heads)
        writer.close()
        await entryfakes.wait_until(lambda: app.agents[0].aborts)
        await entryfakes.wait_until(lambda: not app.state.requests)
        return app.agents[0].received

    assert entrykit.run(test, entrykit.agent()) == []


def test_truncated_response_closes_the_connection_unfinished():
    async def short(agent, exchange, head, body):
        headers = []
        if "sized" in head.path:
            headers = [httpmessages.Header(name="Content-Length", value="10")]
        entryfakes.send_response(exchange, b"12345", headers=headers, length=10)

    async def cut(agent, exchange, head, body):
        exchange.send(httpmessages.ResponseHead(status=200))
        exchange.send(httpmessages.BodyChunk(data=b"12345"))
        await asyncio.sleep(0.05)
        agent.server.close_links()

    async def test(app):
        answers = []
        for version in ("1.0", "1.1"):
            for path in ("sized", "chunked"):
                head = f"GET /shop/{path} HTTP/{version}\nHost: a\n"
                answers.append(
                    await entrykit.send_raw(
                        app, entrykit.raw_request(head + "Connection: close\n\n")
                    )
                )
        return answers

    for answer in entrykit.run(test, entrykit.agent(short)) + entrykit.run(
        test, entrykit.agent(cut)
    ):
        is_unfinished = answer == b"reset" or not answer.endswith(b"\r\n0\r\n\r\n")
        assert is_unfinished and b"1234567890" not in answer
        # A response delimited by the end of the connection needs a reset to show that
        # it was truncated.
        if b"Content-Length" not in answer and b"chunked" not in answer:
            assert answer == b"reset", answer


def test_malformed_response_is_answered_as_ran_without_a_stack_trace():
    async def bad(agent, exchange, head, body):
        headers = [httpmessages.Header(name="X", value="a\r\nSet-Cookie: b")]
        entryfakes.send_response(exchange, b"", headers=headers)

    response = entrykit.run(
        lambda app: entrykit.fetch(app, "/shop"), entrykit.agent(bad)
    )
    assert (response.code, entrykit.verdict(response)) == (502, "ran")
    assert b"Traceback" not in response.body


def test_head_and_empty_responses_keep_their_framing():
    async def respond(agent, exchange, head, body):
        status = 204 if head.path.endswith("empty") else 200
        headers = [httpmessages.Header(name="Content-Length", value="5")]
        entryfakes.send_response(
            exchange, b"", status, headers if status == 200 else ()
        )

    requests = b"HEAD /shop HTTP/1.1\r\nHost: a\r\n\r\n"
    requests += b"GET /shop/empty HTTP/1.1\r\nHost: a\r\n\r\n"
    requests += b"HEAD /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = entrykit.run(
        lambda app: entrykit.send_raw(app, requests), entrykit.agent(respond)
    )
    heads = answer.split(b"\r\n\r\n")
    assert [head[:12] for head in heads] == [
        b"HTTP/1.1 200",
        b"HTTP/1.1 204",
        b"HTTP/1.1 503",
        b"",
    ]


def test_refused_request_moves_to_another_upstream():
    async def test(app):
        codes = [
            (await entrykit.fetch(app, "/shop", method="POST", body=b"x")).code
            for _ in range(10)
        ]
        return codes, [len(agent.received) for agent in app.agents]

    codes, counts = entrykit.run(
        test,
        entrykit.agent(entryfakes.refuse(draining=True)),
        entrykit.agent(name="u2"),
    )
    assert codes == [200] * 10
    assert counts[0] <= 1 and counts[1] == 10


def test_only_idempotent_requests_are_retried_after_a_lost_response():
    lost = []

    async def lose_first(agent, exchange, head, body):
        if head.method not in lost:
            lost.append(head.method)
            await entryfakes.abort("may-have-run")(agent, exchange, head, body)
        else:
            await entryfakes.answer_ok(agent, exchange, head, body)

    async def test(app):
        order = await entrykit.fetch(app, "/shop", method="POST", body=b"x")
        lookup = await entrykit.fetch(app, "/shop")
        heads = [head.method for agent in app.agents for head in agent.heads]
        return order, lookup, sorted(heads)

    order, lookup, heads = entrykit.run(
        test, entrykit.agent(lose_first), entrykit.agent(lose_first, "u2")
    )
    assert (order.code, entrykit.verdict(order)) == (504, "may-have-run")
    assert "Retry-After" not in order.headers
    assert lookup.code == 200
    assert heads == ["GET", "GET", "POST"]


def test_agent_lost_under_a_request_is_answered_long_before_the_deadline():
    async def vanish(agent, exchange, head, body):
        agent.server.close_links()

    async def test(app):
        return await entrykit.fetch(
            app, "/shop", method="POST", body=b"x", request_timeout=3
        )

    response = entrykit.run(test, entrykit.agent(vanish))
    assert (response.code, entrykit.verdict(response)) == (504, "may-have-run")


def test_deadline_is_answered_at_once_and_aborts_the_attempt():
    async def never(agent, exchange, head, body):
        agent.aborts.append(await exchange.receive(10))

    async def test(app):
        headers = {"Sardinegauge-Deadline-Ms": "100"}
        response = await entrykit.fetch(
            app, "/shop", headers=headers, request_timeout=3
        )
        await entryfakes.wait_until(lambda: app.agents[0].aborts)
        return response, app.agents[0].aborts[0]

    response, abort = entrykit.run(test, entrykit.agent(never))
    assert (response.code, entrykit.verdict(response)) == (504, "may-have-run")
    assert isinstance(abort, httpmessages.Abort)


def test_request_over_the_concurrency_limit_is_refused_at_once():
    release = asyncio.Event()

    async def hold(agent, exchange, head, body):
        await release.wait()
        entryfakes.send_response(exchange, b"held")

    async def test(app):
        held = [asyncio.ensure_future(entrykit.fetch(app, "/shop")) for _ in range(3)]
        await entryfakes.wait_until(lambda: len(app.agents[0].received) == 3)
        refused = await entrykit.fetch(app, "/shop", request_timeout=3)
        release.set()
        return [r.code for r in await asyncio.gather(*held)], refused

    codes, refused = entrykit.run(test, entrykit.agent(hold), max_concurrent=3)
    assert codes == [200] * 3
    assert (refused.code, entrykit.verdict(refused)) == (503, "not-run")


def test_drain_finishes_requests_in_flight_and_refuses_new_ones():
    release = asyncio.Event()

    async def hold(agent, exchange, head, body):
        await release.wait()
        entryfakes.send_response(exchange, b"whole" * 200_000)

    async def test(app):
        held = [asyncio.ensure_future(entrykit.fetch(app, "/shop")) for _ in range(8)]
        await entryfakes.wait_until(lambda: len(app.agents[0].received) == 8)
        reader, writer = await asyncio.open_connection("127.0.0.1", app.port)
        drain = asyncio.ensure_future(app.on_drain())
        await entryfakes.wait_until(lambda: app.state.is_draining)
        writer.write(b"GET /shop HTTP/1.1\r\nHost: a\r\n\r\n")
        refused = await reader.readuntil(b"\r\n\r\n")
        assert not drain.done()
        release.set()
        await drain
        await app.on_stop()
        writer.close()
        return [(r.code, len(r.body)) for r in await asyncio.gather(*held)], refused

    answers, refused = entrykit.run(test, entrykit.agent(hold))
    assert answers == [(200, 1_000_000)] * 8
    assert refused.startswith(b"HTTP/1.1 503") and b"not-run" in refused


def test_drain_waits_until_buffered_responses_are_sent():
    async def test(app):
        app.router = SimpleNamespace(is_flushing=True)
        drain = asyncio.ensure_future(app.on_drain())
        await asyncio.sleep(0.1)
        is_early = drain.done()
        app.router.is_flushing = False
        await drain
        return is_early

    assert entrykit.run(test, entrykit.agent()) is False


def test_upstream_removed_from_the_directory_finishes_its_requests():
    release = asyncio.Event()

    async def hold(agent, exchange, head, body):
        await release.wait()
        entryfakes.send_response(exchange, b"held")

    async def test(app):
        (leaving,) = app.agents
        held = asyncio.ensure_future(entrykit.fetch(app, "/shop"))
        await entryfakes.wait_until(lambda: leaving.received)
        app.fake.publish([])
        await entryfakes.wait_until(lambda: not app.state.upstreams.by_name)
        refused = await entrykit.fetch(app, "/shop")
        release.set()
        response = await held
        await entryfakes.wait_until(lambda: not leaving.server.links)
        return refused.code, response.code, response.body

    assert entrykit.run(test, entrykit.agent(hold)) == (503, 200, b"held")


def test_connections_are_limited_and_released(monkeypatch):
    monkeypatch.setattr(entryhttp, "MAX_CONNECTIONS", 2)

    async def test(app):
        held = [await asyncio.open_connection("127.0.0.1", app.port) for _ in range(2)]
        await entryfakes.wait_until(lambda: app.server.connection_count == 2)
        refused = await entrykit.send_raw(app, b"")
        held[0][1].close()
        await entryfakes.wait_until(lambda: app.server.connection_count == 1)
        answered = await entrykit.fetch(app, "/shop")
        held[1][1].close()
        return refused, answered.code

    refused, code = entrykit.run(test, entrykit.agent())
    assert refused.startswith(b"HTTP/1.1 503") and code == 200


def test_message_for_another_incarnation_is_not_sent():
    async def test(app):
        query = httpmessages.KeyQuery(tenant="karri", key="k", fence=True)
        with pytest.raises(errors.LinkClosedError):
            app.requests.links.open_exchange("u1", "i0", query)
        app.requests.links.open_exchange("u1", "i1", query)
        await entryfakes.wait_until(lambda: app.agents[0].key_queries)
        return len(app.agents[0].key_queries)

    assert entrykit.run(test, entrykit.agent()) == 1


def test_metrics_page_names_tenants_of_the_configuration_only():
    state = entryfakes.FakeState(document={"tenants": {"karri": {}}})

    async def test(app):
        for tenant in ("karri", "unheard-of"):
            await entrykit.fetch(app, "/shop", headers={"Sardinegauge-Tenant": tenant})
        return (await entrykit.fetch(app, "/-/metrics")).body.decode()

    page = entrykit.run(test, state=state)
    assert 'sardinegauge_request_seconds_count{class="idempotent",tenant="karri"}' in (
        page
    )
    assert "unheard-of" not in page


def test_streamed_body_leaves_nothing_reserved():
    """A share that is not released would shrink the room of all later callers."""

    async def test(app):
        body = b"x" * 600_000
        response = await entrykit.fetch(app, "/shop", method="POST", body=body)
        held = "POST /shop HTTP/1.1\nHost: a\nContent-Length: 9\n\nabc"
        _, writer = await asyncio.open_connection("127.0.0.1", app.port)
        writer.write(entrykit.raw_request(held))
        await entryfakes.wait_until(lambda: len(app.intake.budget))
        writer.close()
        await entryfakes.wait_until(lambda: not app.intake.budget.reserved_bytes)
        return response.code

    assert entrykit.run(test, entrykit.agent()) == 200


def test_body_of_a_caller_who_left_counts_until_its_attempt_ends():
    release = asyncio.Event()

    async def hold(agent, exchange, head, body):
        await release.wait()
        entryfakes.send_response(exchange, b"held")

    async def test(app):
        held = "POST /shop HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc"
        _, writer = await asyncio.open_connection("127.0.0.1", app.port)
        writer.write(entrykit.raw_request(held))
        await entryfakes.wait_until(lambda: app.agents[0].received)
        assert len(app.intake.budget) == 1
        writer.close()
        await entryfakes.wait_until(lambda: not app.server.connection_count)
        await asyncio.sleep(0.05)
        kept = len(app.intake.budget)
        release.set()
        await entryfakes.wait_until(lambda: not app.intake.budget.reserved_bytes)
        return kept

    assert entrykit.run(test, entrykit.agent(hold)) == 1
