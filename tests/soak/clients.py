"""Clients that submit, ask for and cancel jobs, and an operator beside them."""

import asyncio
import collections
import time

SUBMIT_PAUSE_S = (0.1, 0.6)


class Clients:
    """Submits, asks for and cancels jobs, and keeps what was answered."""

    def __init__(self, fleet, checker, rand):
        self.fleet = fleet
        self.checker = checker
        self.random = rand
        self.statuses = collections.Counter()
        self.version = 1
        self.tasks = set()

    async def run(self, until_s):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            job = f"{self.random.getrandbits(64):016x}"
            self.tasks.add(asyncio.ensure_future(self._job(job)))
            if number % 10 == 0:
                self.tasks.add(asyncio.ensure_future(self._configure()))
            await asyncio.sleep(self.random.uniform(*SUBMIT_PAUSE_S))
        await asyncio.gather(*self.tasks)

    async def _job(self, job):
        self.checker.offered.add(job)
        work_ms = self.random.randint(50, 3000)
        count = self.random.randint(1, 4)
        is_cancelled = self.random.random() < 0.15
        statuses = set()
        while True:
            status = await self.fleet.submit(job, work_ms, count=count)
            self.statuses[status] += 1
            statuses.add(status)
            if status == 200:
                self.checker.accepted.add(job)
                break
            if statuses <= {429, 503} and self.random.random() < 0.3:
                # Given up, and every attempt was told that the job never runs.
                self.checker.refused.add(job)
                return
            await asyncio.sleep(0.3)
        if is_cancelled:
            await asyncio.sleep(self.random.uniform(0, 1.5))
            while (await self.fleet.front("DELETE", f"/q/{job}"))[0] not in (200, 410):
                await asyncio.sleep(0.2)
            self.checker.cancelled_s[job] = time.monotonic()

    async def _configure(self):
        self.version += self.random.randint(1, 3)
        document = self.fleet.document(self.version)
        ip = self.random.choice(self.fleet.core_ips)
        while (await self.fleet.config("PUT", document, ip=ip))[0] != 200:
            ip = self.random.choice(self.fleet.core_ips)
            await asyncio.sleep(0.3)
