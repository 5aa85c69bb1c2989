"""Simulation of the users' platform: settings files, a minion, an operator, a client.

The simulation implements the parts of the platform's published protocol that the tests
need. The roles run as real processes, each on a loopback address of its own.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import signal
import subprocess
import sys
import time

from tornado import httpclient, httpserver, web

from tests.fleet import ports

ROOT = pathlib.Path(__file__).resolve().parents[1]
SERVICE = "svc"
HOST = "shop.example"
PREFIX = "/q/"
START_LIMIT_S = 30
MAX_CALLS = 500
log = logging.getLogger(__name__)


class Minion:
    """Simulates a minion: a task is done after the number of ms in its `spec`."""

    def __init__(self, worker_id, address, born):
        self.id = worker_id
        self.address = address
        self.born = born
        self.state = "ready"
        self.sequence = 0
        self.fence = 0
        self.running = {}
        self.ended = []
        self.blocked = {}
        self.until_ms = 0
        self.starts = []
        self.unanswered_starts = 0
        # A start of a step in this table is refused without the ticket of the step.
        self.ticket_by_step = {}
        self.server = None

    @property
    def clock_ms(self):
        return int(time.monotonic() * 1000) % 10**9

    def listen(self):
        routes = [(r"/api/(.*)", MinionHandler, {"minion": self})]
        self.server = httpserver.HTTPServer(web.Application(routes, log_function=str))
        host, port = self.address.split(":")
        self.server.listen(int(port), host)

    def stop(self):
        self.server.stop()

    def update(self):
        """End the runs that are done or whose lease has expired."""
        now_ms = self.clock_ms
        for key, (end_ms, _) in list(self.running.items()):
            if now_ms >= min(end_ms, self.until_ms):
                self.end(key, "done" if now_ms >= end_ms else "lapsed")

    def record_start(self, key):
        """Record a start; the soak test overrides this method for its checks."""
        self.starts.append(key)

    def end(self, key, how):
        del self.running[key]
        self.ended.append([len(self.ended) + 1, *key, how, ""])
        self.blocked[key[0]] = max(self.blocked.get(key[0], 0), key[1])

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": self.clock_ms,
            "seq": self.sequence,
            "born": self.born,
        }


class MinionHandler(web.RequestHandler):
    """Serves the HTTP API of a minion."""

    def initialize(self, minion):
        self.minion = minion

    async def post(self, call):
        minion = self.minion
        body = json.loads(self.request.body)
        expected = self.request.headers.get("X-Sardinegauge-Expect-Instance")
        if expected not in (None, minion.id):
            self.answer(421, {})
            return
        if body["fence"] < minion.fence:
            self.answer(409, {"reason": "fence"})
            return
        minion.fence = body["fence"]
        minion.update()
        await getattr(self, call.replace("-", "_"))(body)

    def answer(self, status, body):
        self.set_status(status)
        minion = self.minion
        self.finish({"clock_ms": minion.clock_ms, "born": minion.born, **body})

    async def run_start(self, body):
        minion = self.minion
        key = (body["task"], body["run"])
        minion.until_ms = max(minion.until_ms, body["until_ms"])
        wanted = minion.ticket_by_step.get(body["task"].rpartition(".")[0])
        if wanted and body.get("ticket") != wanted:
            self.answer(409, {"reason": "ticket"})
        elif key in minion.running:
            self.answer(200, {})
        elif body["run"] <= minion.blocked.get(body["task"], 0):
            self.answer(409, {"reason": "old"})
        else:
            minion.record_start(key)
            work_ms = int(body["spec"])
            minion.running[key] = (minion.clock_ms + work_ms, body["spec"])
            if minion.unanswered_starts:
                minion.unanswered_starts -= 1
                await asyncio.sleep(3)
            self.answer(200, {})

    async def run_stop(self, body):
        key = (body["task"], body["run"])
        if key in self.minion.running:
            self.minion.end(key, "stopped")
        else:
            task, run = key
            blocked = self.minion.blocked
            blocked[task] = max(blocked.get(task, 0), run)
        self.answer(200, {})

    async def pace(self, body):
        self.answer(200, {})

    async def hold(self, body):
        minion = self.minion
        minion.until_ms = max(minion.until_ms, body.get("until_ms", 0))
        seen = body["last_seen"]
        limit_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while time.monotonic() < limit_s and len(minion.ended) <= seen:
            await asyncio.sleep(0.02)
            minion.update()
        self.answer(
            200,
            {
                "running": [[*key, "", 50, 0] for key in minion.running],
                "ended": [row for row in minion.ended if row[0] > seen],
            },
        )


class AdviseHandler(web.RequestHandler):
    """Simulates the policy service; all minions may run every step."""

    def initialize(self, platform):
        self.platform = platform

    async def post(self):
        body = json.loads(self.request.body)
        self.platform.advice_requests.append((body["step"], body["workers"]))
        await asyncio.sleep(self.platform.advice_s)
        if self.platform.refused_advice_count:
            self.platform.refused_advice_count -= 1
            self.set_status(429)
            self.finish({})
            return
        ticket = f"t-{len(self.platform.advice_requests)}"
        for minion in self.platform.minions():
            minion.ticket_by_step[body["step"]] = ticket
        good = [[worker, ticket] for worker in body["workers"]]
        self.finish({"good": good, "valid_ms": 3000})


class Platform:
    """A small deployment: three state processes, a front, an agent and its minion."""

    def __init__(self, path, fields_by_role=None, limits=None):
        self.path = path
        # Fields of the settings files and of the configuration that a test sets itself.
        self.fields_by_role = fields_by_role or {}
        self.limits = limits or {}
        self.processes = {}
        self.ports = ports.PortPool()
        self.control_port = self.ports.reserve()
        self.front_port = self.ports.reserve()
        self.ready_port = self.ports.reserve()
        self.link_port = self.ports.reserve()
        self.minion_port = self.ports.reserve()
        # Each deployment has its own loopback addresses, since the metrics port of the
        # roles is fixed.
        number = self.ports.reserve()
        network = f"127.{10 + number // 250 % 200}.{number % 250}"
        self.core_ips = [f"{network}.{n}" for n in (1, 2, 3)]
        self.front_ip = f"{network}.11"
        self.side_ip = f"{network}.21"
        # Side and minion that a test starts by `start_second_side`.
        self.second_side_ip = f"{network}.22"
        self.second_minion = None
        self.advice_port = self.ports.reserve()
        self.advice_server = None
        # A listener that takes calls of the policy service and never answers.
        self.silent_port = self.ports.reserve()
        self.silent_server = None
        self.advice_requests = []
        self.refused_advice_count = 0
        # Time that the policy service takes to answer, in seconds.
        self.advice_s = 0.05
        self.version = 0
        self.minion = None
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS
        )

    def settings(self, role, ip, **fields):
        data_dir = self.path / f"{ip}-data"
        if role == "core":
            data_dir.mkdir(exist_ok=True)
        return {
            "node": f"{role}-{ip}",
            "ip": ip,
            "zone": "z",
            "listen": {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            },
            "internal_port_range": [self.link_port, self.link_port + 9],
            "seeds": [f"{ip}:{self.control_port}" for ip in self.core_ips],
            "bootstrap": True,
            "data_dir": str(data_dir) if role == "core" else None,
            "advice": f"{self.side_ip}:{self.advice_port}",
            "bounds": {"grace_s": 3, "config_apply_ms": 3000},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            **fields,
        }

    def start(self, role, ip, **fields):
        path = self.path / f"{role}-{ip}.json"
        fields = {**self.fields_by_role.get(role, {}), **fields}
        path.write_text(json.dumps(self.settings(role, ip, **fields)))
        environment = {
            **os.environ,
            "SARDINEGAUGE_SETTINGS": str(path),
            "PYTHONUNBUFFERED": "1",
        }
        with open(self.path / f"{role}-{ip}.log", "ab") as output:
            self.processes[role, ip] = subprocess.Popen(
                [sys.executable, "platform", role],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def start_all(self):
        for ip in self.core_ips:
            self.start("core", ip)
        self.start("front", self.front_ip)
        self.start("side", self.side_ip)
        self.start_minion("i-1", 1000)
        routes = [(r"/api/advise", AdviseHandler, {"platform": self})]
        self.advice_server = httpserver.HTTPServer(web.Application(routes))
        self.advice_server.listen(self.advice_port, self.side_ip)

    def start_minion(self, worker_id, born):
        self.minion = Minion(worker_id, f"{self.side_ip}:{self.minion_port}", born)
        self.minion.listen()

    def start_second_side(self):
        """Start another side with a minion, both like the first ones."""
        ip = self.second_side_ip
        self.start("side", ip)
        self.second_minion = Minion("i-2", f"{ip}:{self.minion_port}", 1000)
        self.second_minion.listen()

    def minions(self):
        return [m for m in (self.minion, self.second_minion) if m is not None]

    async def start_silent_service(self):
        """Start a policy service that takes connections and never answers."""
        self.silent_server = await asyncio.start_server(
            lambda reader, writer: None, self.side_ip, self.silent_port
        )

    def kill(self, role, ip, number=signal.SIGKILL):
        process = self.processes.pop((role, ip))
        process.send_signal(number)
        return process.wait(timeout=10)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
        for minion in self.minions():
            minion.stop()
        if self.advice_server is not None:
            self.advice_server.stop()
        if self.silent_server is not None:
            self.silent_server.close()
        self.ports.close()

    async def call(self, method, url, body=None, host=None, timeout_s=4):
        """Make a call and return its status and body; 0 if there was no answer."""
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=json.dumps(body) if body is not None else None,
            headers={"Host": host} if host else {},
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPClientError) as error:
            log.warning("call_unanswered method=%s url=%s error=%r", method, url, error)
            return 0, {}
        if response.code == 599:
            log.warning(
                "call_unanswered method=%s url=%s error=%r", method, url, response.error
            )
            return 0, {}
        return response.code, json.loads(response.body or b"{}")

    async def metrics(self, ip):
        response = await self.client.fetch(f"http://{ip}:9464/metrics")
        return response.body

    async def front(self, method, path, body=None):
        url = f"http://{self.front_ip}:{self.front_port}{path}"
        return await self.call(method, url, body, host=HOST)

    async def config(self, method, body=None, ip=""):
        url = f"http://{ip or self.core_ips[0]}:{self.control_port}/api/config"
        return await self.call(method, url, body)

    async def evacuation(self, method, zone, ip=""):
        address = f"{ip or self.core_ips[0]}:{self.control_port}"
        return await self.call(method, f"http://{address}/api/evacuation/{zone}")

    def document(self, version, *prefixes):
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r{number}",
                    "host": HOST,
                    "path_prefix": prefix,
                    "type": "unsafe",
                    "timeout_ms": 3000,
                    "latency_slo_ms": 250,
                    "priority": 0,
                    "service": SERVICE,
                    "attempts": 3,
                    "stretch": 1.5,
                }
                for number, prefix in enumerate(prefixes or (PREFIX,))
            ],
            "services": [{"name": SERVICE, "enforces_capacity": False}],
            "limits": self.limits,
        }

    async def beat(self):
        """Send heartbeats until cancelled."""
        while True:
            for minion in self.minions():
                ip = minion.address.split(":")[0]
                url = f"http://{ip}:{self.control_port}/api/instances/{minion.id}"
                await self.call("PUT", url, minion.heartbeat(), timeout_s=1)
            await asyncio.sleep(0.2)

    async def wait_until(self, condition, limit_s=START_LIMIT_S):
        """Wait for a condition; a coroutine function or a plain one."""
        deadline = time.monotonic() + limit_s
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            if time.monotonic() > deadline:
                raise AssertionError(f"not within {limit_s} s: {condition}")
            await asyncio.sleep(0.05)

    async def wait_until_accepted(self, document):
        await self.wait_until(lambda: self._is_accepted(document))

    async def wait_until_ready(self):
        """Wait for the front, which clients are not sent to before, and the cores."""
        await self.wait_until(self._is_ready)
        for ip in self.core_ips:
            await self.wait_until(lambda ip=ip: self._is_serving(ip))

    async def _is_serving(self, ip):
        return (await self.config("GET", ip=ip))[0] != 0

    async def _is_ready(self):
        url = f"http://{self.front_ip}:{self.ready_port}/api/readiness"
        return (await self.call("GET", url))[0] == 200

    async def _is_accepted(self, document):
        return (await self.config("PUT", document))[0] == 200

    async def submit(self, job_id, work_ms, count=2, **fields):
        step = {"count": count, "cpu": 1000, "mem_mb": 10, "estimate_ms": work_ms}
        body = {"spec": str(work_ms), "steps": [{**step, **fields}]}
        return (await self.front("POST", PREFIX + job_id, body))[0]

    async def state_is(self, job_id, state):
        return (await self.front("GET", PREFIX + job_id))[1].get("state") == state


@contextlib.asynccontextmanager
async def running(path, fields_by_role=None, limits=None):
    """Run a deployment with its first configuration in force."""
    platform = Platform(path, fields_by_role, limits)
    beats = None
    try:
        platform.start_all()
        beats = asyncio.ensure_future(platform.beat())
        await platform.wait_until_accepted(platform.document(1))
        await platform.wait_until_ready()
        yield platform
    finally:
        if beats is not None:
            beats.cancel()
        platform.stop_all()
        platform.client.close()
