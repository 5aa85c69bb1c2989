"""Guards the agent over real sockets: process, stub upstream and a fake leader."""

import asyncio
import json
import signal
import urllib.request

import pytest
from prometheus_client import parser

from sardinegauge.links import httpmessages
from tests import agentkit


def test_request_reaches_the_upstream_and_returns_whole(tmp_path):
    """Guards against swapped, cut or altered responses."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            final, head, data = await bench.ask(bench.head())
            assert isinstance(final, httpmessages.BodyEnd), final
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


@pytest.mark.parametrize("fault", ["size=100000&truncate=70000", "reset=1"])
def test_cut_response_is_never_whole(tmp_path, fault):
    """Guards against a truncated response that is forwarded as complete."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            final, _head, _data = await bench.ask(bench.head(f"/shop/x?{fault}"))
            assert isinstance(final, httpmessages.Abort)
            assert final.verdict == "may-have-run"

    asyncio.run(run())


def test_cut_request_body_is_not_executed_as_whole(tmp_path):
    """Guards against an upstream that takes half a body for the whole."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            head = bench.head("/shop/x?order=o1", method="POST", has_body=True)
            exchange = bench.dialer.link.open_exchange(head)
            final = await agentkit.converse(exchange, head, b"half", is_whole=False)
            assert isinstance(final[0], httpmessages.Abort)
            assert bench.recorded("order") == []

    asyncio.run(run())


def test_claimed_request_runs_once_and_is_replayed(tmp_path):
    """Guards against doubled orders when an entry resends or asks for a key."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            claimed = bench.head(
                "/shop/x?order=o1&delay_ms=300",
                method="POST",
                idempotent=False,
                key="k1",
                claim_index=7,
            )
            first = bench.dialer.link.open_exchange(claimed)
            await agentkit.until(lambda: bench.recorded("order"), "the order to run")
            again, _head, _data = await bench.ask(claimed)
            assert (type(again), again.verdict) == (
                httpmessages.Abort,
                "may-have-run",
            )
            # The entry leaves; its request still ends and its response is kept.
            first.send(httpmessages.Abort(verdict="may-have-run"))
            query = httpmessages.KeyQuery(tenant="karri", key="k1", claim_index=7)
            reply = httpmessages.KeyReply(state="running")
            while reply.state == "running":
                reply = await bench.dialer.link.request(query, 5)
            assert (reply.state, reply.status) == ("finished", 200)
            final, head, data = await bench.ask(claimed)
            assert (type(final), head.status) == (httpmessages.BodyEnd, 200)
            assert data == reply.body
            assert len(bench.recorded("order", order="o1")) == 1

    asyncio.run(run())


def test_upstream_that_refuses_connections_is_leaving(tmp_path):
    """Guards against a false verdict, and new work for a dead upstream."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            stub = bench.processes[0]
            stub.kill()
            stub.wait()
            final, _head, _data = await bench.ask(bench.head())
            assert final.verdict == "not-run"
            await agentkit.until(lambda: bench.leader.last.draining, "leaving")
            final, _head, _data = await bench.ask(bench.head())
            assert (type(final), final.draining) == (httpmessages.Refusal, True)

    asyncio.run(run())


def test_leaving_by_settings_and_back(tmp_path):
    """Guards against a reload that is ignored or cannot be undone."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            for leaving in (True, False):
                bench.settings["leaving"] = leaving
                bench.settings_path.write_text(json.dumps(bench.settings))
                bench.agent.send_signal(signal.SIGHUP)
                await agentkit.until(
                    lambda wanted=leaving: bench.leader.last.draining == wanted,
                    "the change",
                )

    asyncio.run(run())


def test_drain_finishes_requests_in_flight(tmp_path):
    """Guards against a planned stop that interrupts a request."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            slow = asyncio.ensure_future(
                bench.ask(bench.head("/shop/x?delay_ms=3000&order=o1"))
            )
            await agentkit.until(lambda: bench.recorded("order"), "the request")
            bench.agent.send_signal(signal.SIGTERM)
            await agentkit.until(lambda: bench.leader.last.draining, "the drain")
            final, _head, _data = await bench.ask(bench.head())
            assert (final.verdict, final.draining) == ("not-run", True)
            final, head, _data = await slow
            assert (type(final), head.status) == (httpmessages.BodyEnd, 200)
            assert await asyncio.to_thread(bench.agent.wait, 10) == 0

    asyncio.run(run())


def test_drain_waits_for_evictions_and_tells_their_end(tmp_path):
    """Guards against a planned stop that loses a task or its checkpoint."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.orders = [agentkit.order("t1", run_s=60)]
            await agentkit.until(lambda: leader.phase("t1") == "running", "the task")
            bench.agent.send_signal(signal.SIGTERM)
            await agentkit.until(lambda: leader.last.draining, "the drain")
            # The leader takes longer than the agent lingers after its drain began.
            count = len(leader.heartbeats)
            await agentkit.until(lambda: len(leader.heartbeats) > count + 2, "3 s")
            assert bench.agent.poll() is None
            leader.orders = [agentkit.order("t1", action="evict")]
            assert await asyncio.to_thread(bench.agent.wait, 10) == 0
            assert leader.phase("t1") == "stopped"
            assert json.loads(leader.report("t1").checkpoint)["epoch"] == 1
            assert len(bench.recorded("stop", task="t1")) == 1

    asyncio.run(run())


def test_drained_agent_refuses_until_entries_know(tmp_path):
    """Guards against a link that closes on a request sent to an idle leaver."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            bench.agent.send_signal(signal.SIGTERM)
            await agentkit.until(lambda: bench.leader.last.draining, "the drain")
            await asyncio.sleep(0.7)  # An entry's poll of 500 ms, and some.
            final, _head, _data = await bench.ask(bench.head())
            assert (type(final), final.verdict) == (httpmessages.Refusal, "not-run")
            assert await asyncio.to_thread(bench.agent.wait, 10) == 0

    asyncio.run(run())


def test_lease_end_stops_tasks_while_the_leader_is_silent(tmp_path):
    """Guards against a task that outlives its lease when the agent is cut off."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.lease_ms = 2000
            leader.orders = [agentkit.order("t1")]
            await agentkit.until(lambda: leader.phase("t1") == "running", "the task")
            leader.is_muted = True
            await agentkit.until(
                lambda: bench.recorded("stop") or bench.recorded("expire"), "the end"
            )
            leader.is_muted = False
            await agentkit.until(lambda: leader.phase("t1") == "stopped", "the report")
            assert len(bench.recorded("start")) == 1

    asyncio.run(run())


def test_frozen_agent_does_nothing_under_its_old_lease(tmp_path):
    """Guards against a resumed process that acts on what it read before."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.lease_ms = 1500
            leader.orders = [agentkit.order("t1")]
            await agentkit.until(lambda: leader.phase("t1") == "running", "the task")
            bench.agent.send_signal(signal.SIGSTOP)
            # The agent finds this push when it resumes, after its lease.
            leader.orders = [agentkit.order("t1", epoch=2), agentkit.order("t2")]
            leader.push()
            await agentkit.until(lambda: bench.recorded("expire"), "the expiry")
            leader.orders = []
            bench.agent.send_signal(signal.SIGCONT)
            await agentkit.until(lambda: not leader.last.tasks, "the end of the task")
            assert len(bench.recorded("start")) == 1
            assert bench.recorded("late_start") == []

    asyncio.run(run())


def test_restarted_agent_stops_tasks_of_the_earlier_one(tmp_path):
    """Guards against an announcement while an unknown task still runs."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.orders = [agentkit.order("t1")]
            await agentkit.until(lambda: leader.phase("t1") == "running", "the task")
            bench.agent.kill()
            bench.agent.wait()
            old = leader.last.incarnation
            leader.orders = []
            bench.start_agent()
            await agentkit.until(lambda: leader.last.incarnation != old, "the new one")
            assert len(bench.recorded("stop", task="t1")) == 1

    asyncio.run(run())


def test_pages(tmp_path):
    """Guards against a metrics page that the usual parser cannot read."""

    def fetch(url):
        with urllib.request.urlopen(url, timeout=5) as response:
            return response.read().decode()

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            await bench.ask(bench.head())
            base = f"http://{bench.pages}/-/"
            assert await asyncio.to_thread(fetch, base + "health") == "ok\n"
            page = await asyncio.to_thread(fetch, base + "metrics")
            families = {f.name: f for f in parser.text_string_to_metric_families(page)}
            family = families["sardinegauge_agent_request_seconds"]
            counts = [s for s in family.samples if s.name.endswith("_count")]
            assert counts[0].labels == {"tenant": "karri", "class": "idempotent"}
            assert counts[0].value == 1

    asyncio.run(run())


def test_evicted_task_resumes_from_its_checkpoint(tmp_path):
    """Guards against a resume that loses or repeats the work done."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            leader = bench.leader
            leader.orders = [agentkit.order("t1", run_s=1.5, throttle=0.5)]
            await agentkit.until(lambda: leader.phase("t1") == "running", "the task")
            await agentkit.until(
                lambda: leader.report("t1").progress > 0.2, "some progress"
            )
            leader.orders = [agentkit.order("t1", run_s=1.5, action="evict")]
            leader.push()
            await agentkit.until(lambda: leader.phase("t1") == "stopped", "the stop")
            saved = leader.report("t1").checkpoint
            leader.orders = [agentkit.order("t1", epoch=2, run_s=1.5, checkpoint=saved)]
            leader.push()
            await agentkit.until(lambda: leader.phase("t1") == "finished", "the end")
            starts = bench.recorded("start", task="t1")
            assert [s["epoch"] for s in starts] == [1, 2]
            assert starts[1]["checkpoint"] == saved
            assert json.loads(saved)["progress"] > 0.2

    asyncio.run(run())


def test_slow_entry_holds_the_response_back(tmp_path):
    """Guards against unbounded buffers: without credit only the window is sent."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            head = bench.head("/shop/x?size=3000000")
            exchange = bench.dialer.link.open_exchange(head)
            assert isinstance(await exchange.receive(5), httpmessages.ResponseHead)
            size = 0
            with pytest.raises(TimeoutError):
                while True:
                    size += len((await exchange.receive(0.5)).data)
            assert 192 * 1024 < size <= 256 * 1024
            exchange.send(httpmessages.Credit(size=3_000_000))
            while True:
                message = await exchange.receive(5)
                if isinstance(message, httpmessages.BodyEnd):
                    break
                size += len(message.data)
            assert size == message.length == 3_000_000

    asyncio.run(run())


def test_response_that_began_in_time_may_end_after_its_deadline(tmp_path):
    """Guards against a large response that is cut because its reader is slow."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            head = bench.head("/shop/x?size=600000", deadline_ms=1500)
            exchange = bench.dialer.link.open_exchange(head)
            assert isinstance(await exchange.receive(5), httpmessages.ResponseHead)
            await asyncio.sleep(2)
            exchange.send(httpmessages.Credit(size=600_000))
            size = 0
            while isinstance(
                message := await exchange.receive(5), httpmessages.BodyChunk
            ):
                size += len(message.data)
            assert isinstance(message, httpmessages.BodyEnd)
            assert size == message.length == 600_000

    asyncio.run(run())


def test_deadline_is_answered_in_time(tmp_path):
    """Guards against a caller that waits for an upstream beyond its deadline."""

    async def run():
        async with agentkit.Bench(tmp_path) as bench:
            started = asyncio.get_running_loop().time()
            head = bench.head("/shop/x?delay_ms=5000", deadline_ms=300)
            final, _head, _data = await bench.ask(head)
            assert final.verdict == "may-have-run"
            assert asyncio.get_running_loop().time() - started < 2.5

    asyncio.run(run())
