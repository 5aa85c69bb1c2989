"""Tests of the agent process over sockets, with a stub upstream and a fake leader."""

import asyncio
import json
import signal
import urllib.request

import pytest
from prometheus_client import parser

from sardinegauge.links import httpmessages
from tests import agentkit


def test_request_reaches_the_upstream_and_returns_whole(tmp_path):
    """Guards against mixed-up, truncated or altered responses."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            final, head, data = await harness.send_request(harness.head())
            assert isinstance(final, httpmessages.BodyEnd), final
            assert (head.status, final.length) == (200, len(data))
            assert json.loads(data)["request_id"] == "r1"
            body = bytes(range(256)) * 4096
            echo = harness.head("/shop/x?echo=1", method="POST", has_body=True)
            final, head, data = await harness.send_request(echo, body)
            assert (head.status, data == body) == (200, True)

    asyncio.run(run())


def test_task_starts_and_finishes(tmp_path):
    """Guards against a task that is not started, not reported or not removed."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.orders = [agentkit.order("t1", run_s=0.5)]
            leader.push()
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "finished", "the task to finish"
            )
            assert len(harness.get_events("start", task="t1")) == 1
            assert len(harness.get_events("finish", task="t1")) == 1
            leader.orders = []
            await agentkit.wait_until(
                lambda: not leader.last.tasks, "the task to be gone"
            )

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["size=100000&truncate=70000", "reset=1"])
def test_cut_response_is_never_whole(tmp_path, fault):
    """Guards against a truncated response that is forwarded as complete."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            final, _head, _data = await harness.send_request(
                harness.head(f"/shop/x?{fault}")
            )
            assert isinstance(final, httpmessages.Abort)
            assert final.verdict == "may-have-run"

    asyncio.run(run())


def test_cut_request_body_is_not_executed_as_whole(tmp_path):
    """Guards against an upstream that executes a truncated request body."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            head = harness.head("/shop/x?order=o1", method="POST", has_body=True)
            exchange = harness.dialer.link.open_exchange(head)
            final = await agentkit.run_exchange(
                exchange, head, b"half", is_length_correct=False
            )
            assert isinstance(final[0], httpmessages.Abort)
            assert harness.get_events("order") == []

    asyncio.run(run())


def test_claimed_request_runs_once_and_is_replayed(tmp_path):
    """Guards against duplicate orders when an entry repeats or queries a key."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            claimed = harness.head(
                "/shop/x?order=o1&delay_ms=300",
                method="POST",
                idempotent=False,
                key="k1",
                claim_index=7,
            )
            first = harness.dialer.link.open_exchange(claimed)
            await agentkit.wait_until(
                lambda: harness.get_events("order"), "the order to run"
            )
            again, _head, _data = await harness.send_request(claimed)
            assert (type(again), again.verdict) == (
                httpmessages.Abort,
                "may-have-run",
            )
            # The entry aborts; the request still completes and its response is stored.
            first.send(httpmessages.Abort(verdict="may-have-run"))
            query = httpmessages.KeyQuery(tenant="karri", key="k1", claim_index=7)
            reply = httpmessages.KeyReply(state="running")
            while reply.state == "running":
                reply = await harness.dialer.link.request(query, 5)
            assert (reply.state, reply.status) == ("finished", 200)
            final, head, data = await harness.send_request(claimed)
            assert (type(final), head.status) == (httpmessages.BodyEnd, 200)
            assert data == reply.body
            assert len(harness.get_events("order", order="o1")) == 1

    asyncio.run(run())


def test_upstream_that_refuses_connections_is_leaving(tmp_path):
    """Guards against a wrong verdict, and against new work for a dead upstream."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            stub = harness.processes[0]
            stub.kill()
            stub.wait()
            final, _head, _data = await harness.send_request(harness.head())
            assert final.verdict == "not-run"
            await agentkit.wait_until(lambda: harness.leader.last.draining, "leaving")
            final, _head, _data = await harness.send_request(harness.head())
            assert (type(final), final.draining) == (httpmessages.Refusal, True)

    asyncio.run(run())


def test_leaving_by_settings_and_back(tmp_path):
    """Guards against a reload of `leaving` that is ignored or can't be reverted."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            for leaving in (True, False):
                harness.settings["leaving"] = leaving
                harness.settings_path.write_text(json.dumps(harness.settings))
                harness.agent.send_signal(signal.SIGHUP)
                await agentkit.wait_until(
                    lambda wanted=leaving: harness.leader.last.draining == wanted,
                    "the change",
                )

    asyncio.run(run())


def test_drain_finishes_requests_in_flight(tmp_path):
    """Guards against a planned stop that interrupts a request."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            slow = asyncio.ensure_future(
                harness.send_request(harness.head("/shop/x?delay_ms=3000&order=o1"))
            )
            await agentkit.wait_until(
                lambda: harness.get_events("order"), "the request"
            )
            harness.agent.send_signal(signal.SIGTERM)
            await agentkit.wait_until(lambda: harness.leader.last.draining, "the drain")
            final, _head, _data = await harness.send_request(harness.head())
            assert (final.verdict, final.draining) == ("not-run", True)
            final, head, _data = await slow
            assert (type(final), head.status) == (httpmessages.BodyEnd, 200)
            assert await asyncio.to_thread(harness.agent.wait, 10) == 0

    asyncio.run(run())


def test_drain_waits_for_evictions_and_tells_their_end(tmp_path):
    """Guards against a planned stop that loses a task or its checkpoint."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.orders = [agentkit.order("t1", run_s=60)]
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "running", "the task"
            )
            harness.agent.send_signal(signal.SIGTERM)
            await agentkit.wait_until(lambda: leader.last.draining, "the drain")
            # The leader orders the eviction only after DRAIN_LINGER_MS have passed.
            count = len(leader.heartbeats)
            await agentkit.wait_until(lambda: len(leader.heartbeats) > count + 2, "3 s")
            assert harness.agent.poll() is None
            leader.orders = [agentkit.order("t1", action="evict")]
            assert await asyncio.to_thread(harness.agent.wait, 10) == 0
            assert leader.phase("t1") == "stopped"
            assert json.loads(leader.report("t1").checkpoint)["epoch"] == 1
            assert len(harness.get_events("stop", task="t1")) == 1

    asyncio.run(run())


def test_drained_agent_refuses_until_entries_know(tmp_path):
    """Guards against a link that closes before entries know of the drain."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            harness.agent.send_signal(signal.SIGTERM)
            await agentkit.wait_until(lambda: harness.leader.last.draining, "the drain")
            # Longer than the poll interval of entries, 500 ms.
            await asyncio.sleep(0.7)
            final, _head, _data = await harness.send_request(harness.head())
            assert (type(final), final.verdict) == (httpmessages.Refusal, "not-run")
            assert await asyncio.to_thread(harness.agent.wait, 10) == 0

    asyncio.run(run())


def test_lease_end_stops_tasks_while_the_leader_is_silent(tmp_path):
    """Guards against a task that outlives its lease when no leader answers."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.lease_ms = 2000
            leader.orders = [agentkit.order("t1")]
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "running", "the task"
            )
            leader.is_muted = True
            await agentkit.wait_until(
                lambda: harness.get_events("stop") or harness.get_events("expire"),
                "the end",
            )
            leader.is_muted = False
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "stopped", "the report"
            )
            assert len(harness.get_events("start")) == 1

    asyncio.run(run())


def test_frozen_agent_does_nothing_under_its_old_lease(tmp_path):
    """Guards against a resumed process that executes orders after its lease ended."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.lease_ms = 1500
            leader.orders = [agentkit.order("t1")]
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "running", "the task"
            )
            harness.agent.send_signal(signal.SIGSTOP)
            # The agent reads this push when it resumes, after the end of its lease.
            leader.orders = [agentkit.order("t1", epoch=2), agentkit.order("t2")]
            leader.push()
            await agentkit.wait_until(
                lambda: harness.get_events("expire"), "the expiry"
            )
            leader.orders = []
            harness.agent.send_signal(signal.SIGCONT)
            await agentkit.wait_until(
                lambda: not leader.last.tasks, "the end of the task"
            )
            assert len(harness.get_events("start")) == 1
            assert harness.get_events("late_start") == []

    asyncio.run(run())


def test_restarted_agent_stops_tasks_of_the_earlier_one(tmp_path):
    """Guards against heartbeats while the worker runs tasks of an earlier agent."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.orders = [agentkit.order("t1")]
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "running", "the task"
            )
            harness.agent.kill()
            harness.agent.wait()
            old = leader.last.incarnation
            leader.orders = []
            harness.start_agent()
            await agentkit.wait_until(
                lambda: leader.last.incarnation != old, "the new one"
            )
            assert len(harness.get_events("stop", task="t1")) == 1

    asyncio.run(run())


def test_pages(tmp_path):
    """Guards against a metrics page that the Prometheus parser can't read."""

    def fetch(url):
        with urllib.request.urlopen(url, timeout=5) as response:
            return response.read().decode()

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            await harness.send_request(harness.head())
            base = f"http://{harness.status_address}/-/"
            assert await asyncio.to_thread(fetch, base + "health") == "ok\n"
            page = await asyncio.to_thread(fetch, base + "metrics")
            families = {f.name: f for f in parser.text_string_to_metric_families(page)}
            family = families["sardinegauge_agent_request_seconds"]
            counts = [s for s in family.samples if s.name.endswith("_count")]
            assert counts[0].labels == {"tenant": "karri", "class": "idempotent"}
            assert counts[0].value == 1

    asyncio.run(run())


def test_evicted_task_resumes_from_its_checkpoint(tmp_path):
    """Guards against a resumed task that loses or repeats work."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            leader = harness.leader
            leader.orders = [agentkit.order("t1", run_s=1.5, throttle=0.5)]
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "running", "the task"
            )
            await agentkit.wait_until(
                lambda: leader.report("t1").progress > 0.2, "some progress"
            )
            leader.orders = [agentkit.order("t1", run_s=1.5, action="evict")]
            leader.push()
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "stopped", "the stop"
            )
            saved = leader.report("t1").checkpoint
            leader.orders = [agentkit.order("t1", epoch=2, run_s=1.5, checkpoint=saved)]
            leader.push()
            await agentkit.wait_until(
                lambda: leader.phase("t1") == "finished", "the end"
            )
            starts = harness.get_events("start", task="t1")
            assert [s["epoch"] for s in starts] == [1, 2]
            assert starts[1]["checkpoint"] == saved
            assert json.loads(saved)["progress"] > 0.2

    asyncio.run(run())


def test_slow_entry_holds_the_response_back(tmp_path):
    """Guards against unbounded buffers: without credit only the window is sent."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            head = harness.head("/shop/x?size=3000000")
            exchange = harness.dialer.link.open_exchange(head)
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
    """Guards against a large response that is aborted because its reader is slow."""

    async def run():
        async with agentkit.AgentHarness(tmp_path) as harness:
            head = harness.head("/shop/x?size=600000", deadline_ms=1500)
            exchange = harness.dialer.link.open_exchange(head)
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
        async with agentkit.AgentHarness(tmp_path) as harness:
            started = asyncio.get_running_loop().time()
            head = harness.head("/shop/x?delay_ms=5000", deadline_ms=300)
            final, _head, _data = await harness.send_request(head)
            assert final.verdict == "may-have-run"
            assert asyncio.get_running_loop().time() - started < 2.5

    asyncio.run(run())
