"""Runs the entry against fake agents, and sends requests to it."""

import asyncio

from tornado import simple_httpclient

from tests import entryfakes


async def fetch(app, path, **options):
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=1000
    )
    options = {"raise_error": False, "request_timeout": 20, **options}
    return await client.fetch(app.base + path, **options)


async def send_raw(app, data, timeout_s=10):
    """Send raw bytes; return all bytes until the entry closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", app.port)
    writer.write(data)
    async with asyncio.timeout(timeout_s):
        try:
            answer = await reader.read()
        except ConnectionResetError:
            answer = b"reset"
    writer.close()
    return answer


def run(test, *agents, state=None, **changes):
    """Run `test(app)` against an entry with agents; return its result."""

    async def main():
        fake = state or entryfakes.FakeState(agent() for agent in agents)
        async with entryfakes.running(fake, **changes) as app:
            app.agents = fake.agents
            app.fake = fake
            async with asyncio.timeout(40):
                return await test(app)

    return asyncio.run(main())


def agent(respond=None, name="u1", **options):
    return lambda: entryfakes.FakeAgent(name, respond, **options)


def verdict(response):
    return response.headers["Sardinegauge-Verdict"]


def raw_request(head, body=b""):
    return head.replace("\n", "\r\n").encode() + body
