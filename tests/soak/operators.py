"""An operator that drains and restores failure domains, and workers that shrink."""

import asyncio
import time

PAUSE_RANGE_S = (0.5, 3.0)
DRAIN_RANGE_S = (0.2, 6.0)
SHRINK_RANGE_S = (1.0, 4.0)
# Share of its capacity that a shrunk minion keeps.
SHRINK_SHARES = (0.25, 0.5, 0.75)
# Share of the drains that last until the end of the run.
LONG_DRAIN_SHARE = 0.2


class Operator:
    """Sends the orders one after the other, each until it is acknowledged.

    It draws from a generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, fleet, checker, rng):
        self.fleet = fleet
        self.checker = checker
        self.random = rng

    async def run(self, until_s):
        while time.monotonic() < until_s:
            await asyncio.sleep(self.random.uniform(*PAUSE_RANGE_S))
            if self.random.random() < 0.5:
                await self._shrink()
            else:
                await self._drain(until_s)

    async def _shrink(self):
        ip = self.random.choice(self.fleet.side_ips)
        minion = self.fleet.minion_by_ip.get(ip)
        if minion is not None:
            minion.capacity_share = self.random.choice(SHRINK_SHARES)
            await asyncio.sleep(self.random.uniform(*SHRINK_RANGE_S))
            minion.capacity_share = 1.0

    async def _drain(self, until_s):
        zone = self.random.choice(self.fleet.zones)
        await self._order("POST", zone)
        self.checker.drained_s_by_zone[zone] = time.monotonic()
        seconds = self.random.uniform(*DRAIN_RANGE_S)
        if self.random.random() < LONG_DRAIN_SHARE:
            seconds = max(seconds, until_s - time.monotonic())
        await asyncio.sleep(seconds)
        del self.checker.drained_s_by_zone[zone]
        await self._order("DELETE", zone)

    async def _order(self, method, zone):
        while True:
            ip = self.random.choice(self.fleet.core_ips)
            status, _ = await self.fleet.evacuation(method, zone, ip=ip)
            if status == 200:
                return
            await asyncio.sleep(0.3)
