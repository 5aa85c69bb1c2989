"""A deployment with several agents, each beside a checked minion behind a proxy."""

import asyncio

from tornado import httpserver, web

from tests import platformkit
from tests.soak import proxy

SIDES = 2


class CheckedMinion(platformkit.Minion):
    """A minion that tells the checker what begins and ends on it."""

    def __init__(self, checker, *arguments):
        super().__init__(*arguments)
        self.checker = checker
        self.seen_end = 0

    def begin(self, key):
        super().begin(key)
        self.checker.on_start(self, key)

    def end(self, key, how):
        super().end(key, how)
        self.checker.on_end(self, key)

    def see(self, seen_end):
        for row in self.ended:
            if self.seen_end < row[0] <= seen_end and row[3] == "done":
                self.checker.done.add(row[1])
        self.seen_end = max(self.seen_end, seen_end)


class CheckedHandler(platformkit.MinionHandler):
    """A minion's calls, with starts and seen ends told to the checker."""

    async def post(self, call):
        if getattr(self.minion, "is_gone", False):
            self.request.connection.close()
            return
        await super().post(call)

    async def hold(self, body):
        self.minion.see(body["last_seen"])
        await super().hold(body)


class Fleet(platformkit.Platform):
    """A deployment with several agents, each beside a minion behind a proxy."""

    def __init__(self, path, checker):
        super().__init__(path)
        self.checker = checker
        network = self.side_ip.rpartition(".")[0]
        self.side_ips = [f"{network}.{21 + n}" for n in range(SIDES)]
        self.proxy_port = self.ports.take()
        self.minion_by_ip = {}
        self.proxy_by_ip = {}
        self.born = 1000
        self.beats = set()

    async def start_fleet(self):
        for ip in self.core_ips:
            self.start("core", ip)
        self.start("front", self.front_ip)
        for number, ip in enumerate(self.side_ips):
            self.start("side", ip)
            self.bear(ip, f"i-{number}")
            self.proxy_by_ip[ip] = proxy.Proxy(f"{ip}:{self.minion_port}")
            await self.proxy_by_ip[ip].start(f"{ip}:{self.proxy_port}")

    def bear(self, ip, worker_id):
        """Start a minion's process, which knows nothing of an earlier incarnation."""
        self.born += 100
        minion = CheckedMinion(
            self.checker, worker_id, f"{ip}:{self.proxy_port}", self.born
        )
        routes = [(r"/api/(.*)", CheckedHandler, {"minion": minion})]
        minion.server = httpserver.HTTPServer(
            web.Application(routes, log_function=lambda handler: None)
        )
        minion.server.listen(self.minion_port, ip)
        self.minion_by_ip[ip] = minion

    def crash(self, ip):
        minion = self.minion_by_ip.pop(ip)
        self.checker.on_crash(minion)
        minion.is_gone = True
        minion.running = {}
        minion.stop()
        self.proxy_by_ip[ip].reset()
        return minion

    async def beat_all(self):
        """Send heartbeats of all minions, and end what is over, until cancelled."""
        while True:
            for ip, minion in list(self.minion_by_ip.items()):
                minion.update()
                url = f"http://{ip}:{self.control_port}/api/instances/{minion.id}"
                beat = self.call("PUT", url, minion.heartbeat(), timeout_s=1)
                self.beats.add(asyncio.ensure_future(beat))
            await asyncio.sleep(0.2)
            self.beats = {beat for beat in self.beats if not beat.done()}

    def stop_fleet(self):
        for relay in self.proxy_by_ip.values():
            relay.stop()
        for minion in self.minion_by_ip.values():
            minion.stop()
        self.stop_all()
        self.client.close()
