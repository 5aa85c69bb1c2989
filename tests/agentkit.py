"""Helpers for tests of the agent: stub upstream, agent process and fake leader."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

from tornado import netutil

from sardinegauge.links import dialers, httpmessages, link, messages
from tests.fleet import ports

ROOT = pathlib.Path(__file__).parent.parent
# Long enough that a test does not fail only because the machine is busy.
WAIT_S = 60


async def wait_until(condition, description, wait_s=WAIT_S):
    end = time.monotonic() + wait_s
    while not condition():
        assert time.monotonic() < end, f"waited {wait_s} s for {description}"
        await asyncio.sleep(0.01)


class FakeLeader(link.Handler):
    """Answers heartbeats with orders; can be set to be silent or a follower."""

    def __init__(self):
        self.heartbeats = []
        self.orders = []
        self.config_version = 1
        self.config = b"{}"
        self.leader = ""
        self.confirmed = True
        self.is_muted = False
        self.lease_ms = 10_000
        self.agent_link = None
        self.server = link.LinkServer(self, messages.Hello(role="state", name="s1"))
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    @property
    def last(self):
        return self.heartbeats[-1] if self.heartbeats else messages.Heartbeat()

    def phase(self, task):
        found = [r.phase for r in self.last.tasks if r.task == task]
        return found[0] if found else ""

    def report(self, task):
        return next(r for r in self.last.tasks if r.task == task)

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        if isinstance(message, messages.Heartbeat) and not self.is_muted:
            self.agent_link = exchange.link
            if self.confirmed:
                self.heartbeats.append(message)
            exchange.send(self.directive(message.sequence))
        exchange.close()

    def directive(self, sequence):
        return messages.Directive(
            confirmed=self.confirmed,
            leader=self.leader,
            sequence=sequence,
            lease_ms=self.lease_ms,
            config_version=self.config_version,
            config=self.config,
            tasks=self.orders,
        )

    def push(self):
        self.agent_link.send(self.directive(0))


class IgnoringHandler(link.Handler):
    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        exchange.close()


class AgentHarness:
    """Runs one stub upstream, one fake leader and one agent process."""

    def __init__(self, folder, **extra):
        self.folder = folder
        self.extra = extra
        self.processes = []
        self.leader = FakeLeader()
        self.dialer = None
        self.pool = ports.PortPool()

    def spawn(self, *command, stdout=None):
        process = subprocess.Popen(
            [sys.executable, "-m", *command], cwd=ROOT, stdout=stdout
        )
        self.processes.append(process)
        return process

    def start_stub(self, *options):
        self.events = self.folder / "events.jsonl"
        stub = self.spawn(
            "tests.fleet.upstream",
            "--events",
            str(self.events),
            *options,
            stdout=subprocess.PIPE,
        )
        ports = dict(p.split("=") for p in stub.stdout.readline().decode().split())
        self.upstream, self.worker = ports["upstream"], ports["worker"]
        return stub

    def start_agent(self, name="u1"):
        self.listen = self.pool.address()
        self.status_address = self.pool.address()
        self.settings = {
            "name": name,
            "listen": self.listen,
            "metrics_listen": self.status_address,
            "state": [self.leader.address],
            "upstream": self.upstream,
            "worker": self.worker,
            "services": ["shop"],
            "cores": 8,
            "memory_mb": 8000,
            "drain_limit_s": 10,
            **self.extra,
        }
        self.settings_path = self.folder / "agent.json"
        self.settings_path.write_text(json.dumps(self.settings))
        self.agent = self.spawn(
            "sardinegauge.agents.agentapp", "--settings", str(self.settings_path)
        )
        return self.agent

    async def __aenter__(self):
        try:
            return await self._start()
        except BaseException:
            # `__aexit__` is not called if `__aenter__` fails.
            await self.__aexit__()
            raise

    async def _start(self):
        self.start_stub()
        self.start_agent()
        await wait_until(lambda: self.leader.heartbeats, "a heartbeat")
        await self.connect()
        # The agent may not have read the answer to its first heartbeat yet.
        end = time.monotonic() + WAIT_S
        while not await asyncio.to_thread(self._is_healthy):
            assert time.monotonic() < end, f"waited {WAIT_S} s for a healthy agent"
            await asyncio.sleep(0.01)
        return self

    def _is_healthy(self):
        try:
            with urllib.request.urlopen(
                f"http://{self.status_address}/-/health", timeout=5
            ):
                return True
        except OSError:
            return False

    async def connect(self):
        hello = messages.Hello(role="entry", name="e1")
        self.dialer = dialers.Dialer(self.listen, IgnoringHandler(), hello)
        self.dialer.start()
        await wait_until(lambda: self.dialer.is_open, "a link to the agent")

    async def __aexit__(self, *_details):
        if self.dialer is not None:
            self.dialer.stop()
        self.leader.server.close_links()
        self.pool.close()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def get_events(self, event, **fields):
        """Return the stub's events of a kind with the given fields, oldest first."""
        lines = self.events.read_text().splitlines() if self.events.exists() else []
        items = [json.loads(line) for line in lines]
        return [
            item
            for item in items
            if item["event"] == event
            and all(item.get(name) == value for name, value in fields.items())
        ]

    def head(self, path="/shop/x", **fields):
        defaults = {
            "request_id": "r1",
            "tenant": "karri",
            "service": "shop",
            "method": "GET",
            "path": path,
            "deadline_ms": 5000,
            "idempotent": True,
            "incarnation": self.leader.last.incarnation,
            "headers": [
                httpmessages.Header(name="Sardinegauge-Request-Id", value="r1")
            ],
        }
        return httpmessages.RequestHead(**{**defaults, **fields})

    async def send_request(self, head, body=b""):
        """Send one request; return the final message, the head and the body."""
        exchange = self.dialer.link.open_exchange(head)
        try:
            return await run_exchange(exchange, head, body)
        finally:
            exchange.close()


async def run_exchange(exchange, head, body=b"", is_length_correct=True):
    """Send the body and read to the final message, with credit in both directions."""
    window = 256 * 1024
    sent = 0
    response, data = None, bytearray()
    is_sent = not head.has_body
    while True:
        while not is_sent and window > 0 and sent < len(body):
            chunk = body[sent : sent + min(window, 64 * 1024)]
            exchange.send(httpmessages.BodyChunk(data=chunk))
            sent += len(chunk)
            window -= len(chunk)
        if not is_sent and sent == len(body):
            exchange.send(
                httpmessages.BodyEnd(length=sent if is_length_correct else sent + 1)
            )
            is_sent = True
        message = await exchange.receive(WAIT_S)
        if isinstance(message, httpmessages.Credit):
            window += message.size
        elif isinstance(message, httpmessages.ResponseHead):
            response = message
        elif isinstance(message, httpmessages.BodyChunk):
            data += message.data
            exchange.send(httpmessages.Credit(size=len(message.data)))
        else:
            return message, response, bytes(data)


def order(task, epoch=1, action="run", run_s=0.0, **fields):
    command = fields.pop("command", {})
    return messages.TaskOrder(
        task=task,
        epoch=epoch,
        action=action,
        tenant="karri",
        job="j1",
        task_class="batch",
        cores=fields.pop("cores", 1.0),
        memory_mb=fields.pop("memory_mb", 100),
        command=json.dumps({"run_s": run_s, **command}),
        **fields,
    )


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def processor_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
