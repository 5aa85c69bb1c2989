"""Crowds of clients that don't behave, drawn from a seed, beside injected faults."""

import asyncio
import time

from tests import crowd, platformkit

PAUSE_RANGE_S = (1.0, 4.0)
HOLD_RANGE_S = (0.5, 3.0)
SIZE_RANGE = (20, 80)
BODY_BYTES = 200_000
# Nobody submits this job: none of the bodies is a whole one that can be decoded.
PATH = f"{platformkit.PREFIX}crowd"


class CrowdSender:
    """Sends one crowd after the other to the front, so that they meet its restarts."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.random = rng
        self.sent_count = 0

    async def run(self, until_s):
        while time.monotonic() < until_s:
            await self._sleep(PAUSE_RANGE_S)
            address = f"{self.fleet.front_ip}:{self.fleet.front_port}"
            parts = self._draw_parts()
            size = self.random.randint(*SIZE_RANGE)
            async with crowd.Crowd(address, [parts] * size):
                await self._sleep(HOLD_RANGE_S)
            self.sent_count += 1

    async def _sleep(self, range_s):
        await asyncio.sleep(self.random.uniform(*range_s))

    def _draw_parts(self):
        """Return the parts of a request that no job comes from."""
        host = platformkit.HOST
        body = b" " * BODY_BYTES
        return self.random.choice(
            [
                crowd.announced(PATH, host, BODY_BYTES + 1, body),
                crowd.announced(PATH, host, BODY_BYTES, body),
                crowd.announced(PATH, host, 900_000_000, body),
                crowd.chunked(PATH, host, crowd.chunk(body)),
                crowd.chunked(PATH, host, crowd.chunk(b"  ") * 20_000),
                [crowd.head(PATH, host)[:-2]],
                [],
            ]
        )
