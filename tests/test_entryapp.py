"""Guards the HTTP surface of the entry against lost, swapped and cut responses."""

import asyncio
import json

from tornado import httpclient

from tests import entryfakes


async def fetch(app, path, **options):
    client = httpclient.AsyncHTTPClient()
    return await client.fetch(app.base + path, raise_error=False, **options)


def test_request_reaches_the_agent_and_its_whole_response_returns():
    async def run():
        agent = entryfakes.FakeAgent()
        async with entryfakes.running(entryfakes.FakeState([agent])) as app:
            response = await fetch(
                app, "/shop/a?b=1", method="POST", body=b"x" * 200_000
            )
        return agent, response

    agent, response = asyncio.run(run())
    assert (response.code, response.body) == (200, b"/shop/a?b=1")
    assert response.headers["Sardinegauge-Verdict"] == "ran"
    head, body = agent.received[0]
    assert (head.service, head.incarnation, body) == ("shop", "i1", b"x" * 200_000)


def test_unserved_service_is_refused_at_once_as_not_run():
    async def run():
        async with entryfakes.running(entryfakes.FakeState()) as app:
            return await fetch(app, "/nothing")

    response = asyncio.run(run())
    assert response.code == 503
    assert response.headers["Retry-After"] == "1"
    assert json.loads(response.body)["verdict"] == "not-run"
