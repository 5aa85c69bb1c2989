"""A deployment with several agents, each with a checked minion behind a proxy."""

import asyncio

from tornado import httpserver, web

from tests import platformkit
from tests.soak import proxy

AGENT_COUNT = 2


class CheckedMinion(platformkit.Minion):
    """A minion that reports the starts and ends of its runs to the checker."""

    def __init__(self, checker, *arguments):
        super().__init__(*arguments)
        self.checker = checker
        self.acknowledged_sequence = 0
        self.zone = "z"
        self.capacity_share = 1.0

    def heartbeat(self):
        fields = super().heartbeat()
        capacity = {
            name: int(amount * self.capacity_share)
            for name, amount in fields["capacity"].items()
        }
        return {**fields, "zone": self.zone, "capacity": capacity}

    def record_start(self, key):
        super().record_start(key)
        self.checker.on_start(self, key)

    def end(self, key, how):
        super().end(key, how)
        self.checker.on_end(self, key)

    def acknowledge(self, last_sequence):
        """Record that the agent has read the ended runs up to a sequence number."""
        for row in self.ended:
            if (
                self.acknowledged_sequence < row[0] <= last_sequence
                and row[3] == "done"
            ):
                self.checker.finished_tasks.add(row[1])
        self.acknowledged_sequence = max(self.acknowledged_sequence, last_sequence)


class CheckedHandler(platformkit.MinionHandler):
    """A minion's API that reports acknowledged ends and closes after a crash."""

    async def post(self, call):
        if getattr(self.minion, "is_crashed", False):
            self.request.connection.close()
            return
        await super().post(call)

    async def hold(self, body):
        self.minion.acknowledge(body["last_seen"])
        await super().hold(body)


class Fleet(platformkit.Platform):
    """A deployment with several agents, each with a minion behind a proxy."""

    def __init__(self, path, checker):
        super().__init__(path)
        self.checker = checker
        network = self.side_ip.rpartition(".")[0]
        self.side_ips = [f"{network}.{21 + n}" for n in range(AGENT_COUNT)]
        self.zones = [f"z{n}" for n in range(AGENT_COUNT)]
        self.proxy_port = self.ports.reserve()
        self.minion_by_ip = {}
        self.proxy_by_ip = {}
        self.last_born = 1000
        self.heartbeat_tasks = set()

    async def start_fleet(self):
        for ip in self.core_ips:
            self.start("core", ip)
        self.start("front", self.front_ip)
        for number, ip in enumerate(self.side_ips):
            self.start("side", ip)
            self.start_checked_minion(ip, f"i-{number}")
            self.proxy_by_ip[ip] = proxy.Proxy(f"{ip}:{self.minion_port}")
            await self.proxy_by_ip[ip].start(f"{ip}:{self.proxy_port}")

    def start_checked_minion(self, ip, worker_id):
        """Start a minion as a new process, without the state of its predecessor."""
        self.last_born += 100
        minion = CheckedMinion(
            self.checker, worker_id, f"{ip}:{self.proxy_port}", self.last_born
        )
        minion.zone = self.zones[self.side_ips.index(ip)]
        routes = [(r"/api/(.*)", CheckedHandler, {"minion": minion})]
        minion.server = httpserver.HTTPServer(
            web.Application(routes, log_function=lambda handler: None)
        )
        minion.server.listen(self.minion_port, ip)
        self.minion_by_ip[ip] = minion

    def crash_minion(self, ip):
        """Drop a minion with its runs and connections, and return it."""
        minion = self.minion_by_ip.pop(ip)
        self.checker.on_crash(minion)
        minion.is_crashed = True
        minion.running = {}
        minion.stop()
        self.proxy_by_ip[ip].reset()
        return minion

    async def send_heartbeats(self):
        """Update all minions and send their heartbeats every 0.2 s until cancelled."""
        while True:
            for ip, minion in list(self.minion_by_ip.items()):
                minion.update()
                url = f"http://{ip}:{self.control_port}/api/instances/{minion.id}"
                heartbeat_call = self.call("PUT", url, minion.heartbeat(), timeout_s=1)
                self.heartbeat_tasks.add(asyncio.ensure_future(heartbeat_call))
            await asyncio.sleep(0.2)
            self.heartbeat_tasks = {t for t in self.heartbeat_tasks if not t.done()}

    def stop_fleet(self):
        for minion_proxy in self.proxy_by_ip.values():
            minion_proxy.stop()
        for minion in self.minion_by_ip.values():
            minion.stop()
        self.stop_all()
        self.client.close()
