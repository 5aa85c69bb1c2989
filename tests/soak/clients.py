"""Clients that submit and cancel jobs, and an operator that sets the configuration."""

import asyncio
import collections
import time

from tests import platformkit

SUBMIT_PAUSE_RANGE_S = (0.1, 0.6)
# Numbers of routes without work in a configuration.
IDLE_ROUTE_COUNTS = (0, 5, 600)


class Clients:
    """Submits and cancels jobs, sets the configuration, and records the answers."""

    def __init__(self, fleet, checker, rng):
        self.fleet = fleet
        self.checker = checker
        self.random = rng
        self.count_by_status = collections.Counter()
        self.config_version = 1
        self.idle_prefixes_by_version = {1: []}
        self.client_tasks = set()

    async def run(self, until_s):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            job = f"{self.random.getrandbits(64):016x}"
            self.client_tasks.add(asyncio.ensure_future(self._submit_job(job)))
            if number % 10 == 0:
                self.client_tasks.add(asyncio.ensure_future(self._put_configuration()))
            await asyncio.sleep(self.random.uniform(*SUBMIT_PAUSE_RANGE_S))
        await asyncio.gather(*self.client_tasks)

    async def _submit_job(self, job):
        self.checker.submitted_jobs.add(job)
        work_ms = self.random.randint(50, 3000)
        count = self.random.randint(1, 4)
        is_cancelled = self.random.random() < 0.15
        seen_statuses = set()
        while True:
            status = await self.fleet.submit(job, work_ms, count=count)
            self.count_by_status[status] += 1
            seen_statuses.add(status)
            if status == 200:
                self.checker.accepted_jobs.add(job)
                break
            if seen_statuses <= {429, 503} and self.random.random() < 0.3:
                # The client gives up. 429 and 503 promise that the attempt does not run
                # the job, and no attempt got another answer, so no task may start.
                self.checker.refused_jobs.add(job)
                return
            await asyncio.sleep(0.3)
        if is_cancelled:
            await asyncio.sleep(self.random.uniform(0, 1.5))
            while (await self.fleet.front("DELETE", f"/q/{job}"))[0] not in (200, 410):
                await asyncio.sleep(0.2)
            self.checker.cancelled_s_by_job[job] = time.monotonic()

    async def _put_configuration(self):
        self.config_version += self.random.randint(1, 3)
        prefixes = [
            f"/idle-{self.random.getrandbits(32):x}/"
            for _ in range(self.random.choice(IDLE_ROUTE_COUNTS))
        ]
        self.idle_prefixes_by_version[self.config_version] = prefixes
        document = self.document(self.config_version)
        ip = self.random.choice(self.fleet.core_ips)
        while (await self.fleet.config("PUT", document, ip=ip))[0] != 200:
            ip = self.random.choice(self.fleet.core_ips)
            await asyncio.sleep(0.3)

    def document(self, version):
        """Return the configuration that was sent under a version."""
        idle_prefixes = self.idle_prefixes_by_version[version]
        return self.fleet.document(version, platformkit.PREFIX, *idle_prefixes)
