"""Tests of all roles as processes on a simulation of the users' platform."""

import asyncio
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import pytest

from tests import platformkit

ROOT = platformkit.ROOT
# Names of the platform's protocol, which only the adapter may use.
PLATFORM_WORDS = re.compile(
    r"run-start|run_start|last_seen|\buntil_ms\b|cold_remaining|heartbeat_url|"
    r"latency_slo_ms|may_miss|data_rack|\bminions?\b|max_per_server|fleetbench"
)


def run_scenario(tmp_path, scenario):
    async def run():
        async with platformkit.running(tmp_path) as platform:
            await scenario(platform)

    asyncio.run(run())


def test_adapter_does_not_hide_the_standard_module_platform():
    code = "import platform; platform.system(); import sardinegauge.record"
    for folder in (".", "platform"):
        subprocess.run(
            [
                sys.executable,
                "-c",
                f"import sys; sys.path.insert(0, {folder!r}); {code}",
            ],
            cwd=ROOT,
            check=True,
            timeout=30,
        )
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_product_uses_no_words_of_the_platform():
    found = [
        f"{path.name}: {match.group()}"
        for path in pathlib.Path(ROOT / "sardinegauge").rglob("*.py")
        for match in PLATFORM_WORDS.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_usage_and_missing_settings_are_told(tmp_path):
    for arguments, status in (([], 2), (["nonsense"], 2), (["front"], 2)):
        ended = subprocess.run(
            [sys.executable, "platform", *arguments],
            cwd=ROOT,
            env={"PATH": ""},
            capture_output=True,
            timeout=30,
        )
        assert ended.returncode == status, ended.stderr
        assert ended.stderr


def test_jobs_are_accepted_run_shown_and_cancelled(tmp_path):
    async def scenario(platform):
        assert await platform.submit("a1", 200) == 200
        assert await platform.submit("a1", 200) == 200
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        assert sorted(platform.minion.starts) == [("a1.0.0.0", 1), ("a1.0.0.1", 1)]
        assert await platform.submit("b2", 60_000, persistent=True) == 200
        await platform.wait_until(lambda: len(platform.minion.running) == 2)
        assert (await platform.front("DELETE", "/q/b2"))[0] == 200
        await platform.wait_until(lambda: not platform.minion.running)
        assert await platform.state_is("b2", "cancelled")
        assert (await platform.front("GET", "/q/"))[1] == {"waiting": 0}
        assert (await platform.front("GET", "/q/none"))[0] == 410
        assert (await platform.front("GET", "/none/a1"))[0] == 404
        assert (await platform.front("POST", "/q/c3", {"steps": 5}))[0] == 400
        for ip in (platform.front_ip, platform.side_ip, platform.core_ips[0]):
            assert b"sardinegauge_" in await platform.metrics(ip)

    run_scenario(tmp_path, scenario)


def test_unanswered_start_and_lost_lease_make_no_second_run(tmp_path):
    async def scenario(platform):
        platform.minion.unanswered_starts = 1
        assert await platform.submit("a1", 1500, count=1) == 200
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        assert platform.minion.starts == [("a1.0.0.0", 1)]

    run_scenario(tmp_path, scenario)


def test_queue_with_advice_starts_tasks_with_a_ticket(tmp_path):
    # Guards against starts without a ticket: each was refused and then repeated within
    # milliseconds.
    async def scenario(platform):
        document = platform.document(2)
        advice = {"decide_ms": 50, "each_ms": 1, "valid_ms": 3000}
        document["routes"][0]["advice"] = advice
        await platform.wait_until_accepted(document)
        platform.refused_advice_count = 1
        assert await platform.submit("a1", 200) == 200
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        assert len(platform.minion.starts) == 2
        assert platform.advice_requests == 2 * [("a1.0.0", ["i-1"])]

    run_scenario(tmp_path, scenario)


def test_tasks_of_a_queue_with_slow_advice_start(tmp_path):
    # Guards against calls that are given up before the time that the queue's advice
    # takes by its configuration: no task of such a queue ever started.
    async def scenario(platform):
        document = platform.document(2)
        advice = {"decide_ms": 2600, "each_ms": 100, "valid_ms": 5000}
        document["routes"][0]["advice"] = advice
        platform.advice_s = 2.7
        await platform.wait_until_accepted(document)
        assert await platform.submit("a1", 200) == 200
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        assert platform.advice_requests == [("a1.0.0", ["i-1"])]

    run_scenario(tmp_path, scenario)


def test_agent_that_the_policy_service_does_not_answer_holds_up_no_task(tmp_path):
    # Guards against asking only the one agent that gets no answer: with others idle, no
    # task of the queue ever started.
    async def scenario(platform):
        await platform.start_silent_service()
        silent = f"{platform.side_ip}:{platform.silent_port}"
        platform.kill("side", platform.side_ip)
        platform.start("side", platform.side_ip, advice=silent)
        assert await platform.submit("a1", 100) == 200
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        platform.start_second_side()
        # Its agent reports to the leader once the minion has seen a fence.
        await platform.wait_until(lambda: platform.second_minion.fence)
        document = platform.document(2)
        advice = {"decide_ms": 50, "each_ms": 1, "valid_ms": 3000}
        document["routes"][0]["advice"] = advice
        await platform.wait_until_accepted(document)
        for job in ("b1", "b2", "b3"):
            assert await platform.submit(job, 100) == 200
            await platform.wait_until(
                lambda job=job: platform.state_is(job, "completed")
            )

    run_scenario(tmp_path, scenario)


def test_configuration_is_kept_read_back_and_in_force(tmp_path):
    async def scenario(platform):
        second = platform.document(5, "/q/", "/new/")
        await platform.wait_until_accepted(second)
        await platform.wait_until(lambda: platform.front("GET", "/new/"))
        assert (await platform.front("GET", "/new/"))[1] == {"waiting": 0}
        for ip in platform.core_ips:
            assert (await platform.config("GET", ip=ip)) == (200, second)
        assert (await platform.config("PUT", platform.document(4)))[0] == 200
        assert (await platform.config("GET"))[1] == second
        bad = platform.document(9)
        bad["routes"][0]["service"] = "unknown"
        assert (await platform.config("PUT", bad))[0] == 400
        bad = platform.document(9)
        bad["routes"][0]["timeout_ms"] = 0
        assert (await platform.config("PUT", bad))[0] == 400
        assert (await platform.config("GET"))[1] == second

    run_scenario(tmp_path, scenario)


def test_state_survives_the_loss_of_any_process(tmp_path):
    async def scenario(platform):
        assert await platform.submit("a1", 4000, count=2) == 200
        await platform.wait_until(lambda: len(platform.minion.running) == 2)
        for ip in platform.core_ips:
            platform.kill("core", ip)
        for ip in platform.core_ips:
            platform.start("core", ip, bootstrap=False)
        platform.kill("side", platform.side_ip)
        platform.start("side", platform.side_ip)
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        runs = [key for key, *_ in platform.minion.starts]
        assert set(runs) == {"a1.0.0.0", "a1.0.0.1"}
        assert (await platform.config("GET"))[1] == platform.document(1)

    run_scenario(tmp_path, scenario)


def test_stopping_core_answers_an_open_call_of_the_operator(tmp_path):
    """A stopped core cancelled open calls, which then got an error page."""

    async def scenario(platform):
        # The call waits for the leader, which is frozen, so the follower itself has
        # nothing to finish.
        leader = next(
            ip
            for ip in platform.core_ips
            if "leadership_gained" in (tmp_path / f"core-{ip}.log").read_text()
        )
        follower, other = (ip for ip in platform.core_ips if ip != leader)
        for ip in (leader, other):
            platform.processes["core", ip].send_signal(signal.SIGSTOP)
        call = asyncio.create_task(
            platform.config("PUT", platform.document(2), ip=follower)
        )
        await asyncio.sleep(0.2)
        platform.processes["core", follower].send_signal(signal.SIGTERM)
        status, body = await call
        assert status == 503
        assert "error" in body

    run_scenario(tmp_path, scenario)


def test_drain_of_a_zone_is_acknowledged_at_any_core_and_survives_a_restart(tmp_path):
    """An acknowledged order must hold, though every core lost its memory."""

    async def scenario(platform):
        for ip in platform.core_ips:
            await platform.wait_until(lambda ip=ip: is_acknowledged(platform, "z", ip))
        for zone in ("z%2F%C3%A9", "z", "z"):
            for ip in platform.core_ips:
                begun_s = time.monotonic()
                assert await platform.evacuation("POST", zone, ip) == (200, {})
                assert time.monotonic() - begun_s < 1
        for ip in platform.core_ips:
            platform.kill("core", ip)
        for ip in platform.core_ips:
            platform.start("core", ip, bootstrap=False)
        await platform.wait_until(lambda: is_acknowledged(platform, "none"))
        logs = [(tmp_path / f"core-{ip}.log").read_text() for ip in platform.core_ips]
        assert any("zone='z/é'" in text for text in logs)
        for name in ("z%2F%C3%A9", "z", "z"):
            assert (await platform.evacuation("DELETE", name))[0] == 200
        assert (await platform.evacuation("POST", "x" * 2000))[0] == 400

    async def is_acknowledged(platform, zone, ip=""):
        return (await platform.evacuation("DELETE", zone, ip))[0] == 200

    run_scenario(tmp_path, scenario)


def test_nothing_starts_in_a_drained_zone_until_it_is_restored(tmp_path):
    async def scenario(platform):
        assert await platform.submit("a1", 3000) == 200
        await platform.wait_until(lambda: len(platform.minion.running) == 2)
        assert (await platform.evacuation("POST", "z"))[0] == 200
        assert await platform.submit("b2", 200) == 200
        # What runs without a checkpoint ends where it is.
        await platform.wait_until(lambda: platform.state_is("a1", "completed"))
        await asyncio.sleep(1)
        assert len(platform.minion.starts) == 2
        assert (await platform.evacuation("DELETE", "z"))[0] == 200
        await platform.wait_until(lambda: platform.state_is("b2", "completed"))

    run_scenario(tmp_path, scenario)


def test_drain_of_a_zone_without_a_majority_is_not_acknowledged(tmp_path):
    async def scenario(platform):
        for ip in platform.core_ips[1:]:
            platform.processes["core", ip].send_signal(signal.SIGSTOP)
        status, body = await platform.evacuation("POST", "z")
        assert status == 503
        assert "error" in body

    run_scenario(tmp_path, scenario)


def test_lost_disk_is_replaced_without_an_operator(tmp_path):
    async def scenario(platform):
        ip = platform.core_ips[0]
        platform.kill("core", ip)
        for file in (tmp_path / f"{ip}-data").rglob("*"):
            if file.is_file():
                file.unlink()
        platform.start("core", ip, bootstrap=False)
        await platform.wait_until_accepted(platform.document(2))
        # With the new voter, the group keeps its majority when another voter is lost.
        await platform.wait_until(lambda: is_promoted(tmp_path, ip))
        platform.kill("core", platform.core_ips[1])
        await platform.wait_until(lambda: is_read(platform, ip))

    def is_promoted(path, ip):
        lines = (path / f"core-{ip}.log").read_text().splitlines()
        changes = [line for line in lines if "'members_changed'" in line]
        if not changes:
            return False
        identities = changes[-1].partition("identities='")[2].rstrip("'").split(",")
        # The identity of a seed is its address; later members have a random suffix.
        return ip not in identities and "voters=3" in changes[-1]

    async def is_read(platform, ip):
        return (await platform.config("GET", ip=ip)) == (200, platform.document(2))

    run_scenario(tmp_path, scenario)


def test_front_submits_no_job_of_a_caller_who_has_left(tmp_path):
    """Guards against jobs that a suspended front submits long after their deadline."""

    async def scenario(platform):
        body = b'{"spec": "100", "steps": [{"count": 1, "cpu": 1, "estimate_ms": 1}]}'
        path = f"{platformkit.PREFIX}5c0e7a21d94b36f8"
        head = f"POST {path} HTTP/1.1\r\nHost: {platformkit.HOST}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        front = platform.processes["front", platform.front_ip]
        front.send_signal(signal.SIGSTOP)
        with socket.create_connection((platform.front_ip, platform.front_port)) as sent:
            sent.sendall(head.encode() + body)
        front.send_signal(signal.SIGCONT)
        for _ in range(10):
            assert (await platform.front("GET", path))[0] == 410
            await asyncio.sleep(0.05)

    run_scenario(tmp_path, scenario)


def test_front_finishes_requests_on_open_connections_when_stopped(tmp_path):
    async def scenario(platform):
        assert await platform.submit("a1", 100) == 200
        process = platform.processes["front", platform.front_ip]
        process.send_signal(signal.SIGTERM)
        answered = 0
        while process.poll() is None:
            status, _ = await platform.front("GET", "/q/a1")
            if status:
                assert status == 200
                answered += 1
            await asyncio.sleep(0.1)
        assert answered > 3
        assert process.returncode == 0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("name", ["front", "side", "core"])
def test_deploy_file_names_every_role(name):
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    assert f'run = "python3 platform {name}"' in text


def test_a_cancelled_call_is_answered_as_json():
    """The end of a drain cancels open calls; callers read every answer as JSON."""
    code = """
import asyncio, json, types
from tornado import httpclient, httpserver, web
import corerole

class Client:
    async def propose_idempotent(self, command, timeout_s):
        raise asyncio.CancelledError

async def main():
    app = types.SimpleNamespace(client=Client(), open_call_count=0)
    routes = [(r"/api/evacuation/([^/]+)", corerole.EvacuationHandler, {"app": app})]
    server = httpserver.HTTPServer(web.Application(routes))
    server.listen(0, "127.0.0.1")
    port = next(iter(server._sockets.values())).getsockname()[1]
    answer = await httpclient.AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{port}/api/evacuation/z", method="POST", body="",
        raise_error=False,
    )
    print(answer.code, json.loads(answer.body))

asyncio.run(main())
"""
    path = os.pathsep.join([str(platformkit.ROOT), str(platformkit.ROOT / "platform")])
    result = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.stdout.startswith("500 {'error'"), result.stderr
