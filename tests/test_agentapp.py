"""Guards the agent over real sockets: process, stub upstream and a fake leader."""

import asyncio
import json

from sardinegauge import messages
from tests import agentkit


def test_request_reaches_the_upstream_and_returns_whole(tmp_path):
    """Guards against swapped, cut or altered responses."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            final, head, data = await bench.ask(bench.head())
            assert isinstance(final, messages.BodyEnd), final
            assert (head.status, final.length) == (200, len(data))
            assert json.loads(data)["request_id"] == "r1"
            body = bytes(range(256)) * 4096
            echo = bench.head("/shop/x?echo=1", method="POST", has_body=True)
            final, head, data = await bench.ask(echo, body)
            assert (head.status, data == body) == (200, True)

    asyncio.run(run())


def test_task_starts_and_finishes(tmp_path):
    """Guards the way of a task from the directive to the worker and back."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.orders = [agentkit.order("t1", run_s=0.5)]
            leader.push()
            await agentkit.until(
                lambda: leader.phase("t1") == "finished", "the task to finish"
            )
            assert len(bench.recorded("start", task="t1")) == 1
            assert len(bench.recorded("finish", task="t1")) == 1
            leader.orders = []
            await agentkit.until(lambda: not leader.last.tasks, "the task to be gone")

    asyncio.run(run())
