"""Runs a task that crashes its workers against all roles as real processes."""

import asyncio

from tests.soak import checker, deployment

POISON_JOB = "poison"
HEALTHY_JOBS = ("good1", "good2", "good3")
CRASH_DELAY_S = 0.01
DOWN_S = 1.0
# Starts that a task may get after it has crashed three workers are two.
MAX_STARTS = 5


class Fleet(deployment.Fleet):
    """A deployment in which a job's task crashes each minion that starts it."""

    def __init__(self, path):
        super().__init__(path, checker.Checker())
        self.checker.on_start = self._on_start
        self.checker.on_end = self.checker.on_crash = lambda *arguments: None
        self.poison_starts = 0

    def _on_start(self, minion, key):
        task, _ = key
        if task.startswith(POISON_JOB):
            self.poison_starts += 1
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_S, self._crash, minion)

    def _crash(self, minion):
        ip = next(ip for ip in self.minion_by_ip if self.minion_by_ip[ip] is minion)
        self.crash_minion(ip)
        worker_id = f"i-{self.last_born}"
        loop = asyncio.get_running_loop()
        loop.call_later(DOWN_S, self.start_checked_minion, ip, worker_id)


def test_task_that_crashes_its_workers_fails_and_the_others_complete(tmp_path):
    async def scenario():
        fleet = Fleet(tmp_path)
        heartbeats = None
        try:
            await fleet.start_fleet()
            heartbeats = asyncio.ensure_future(fleet.send_heartbeats())
            await fleet.wait_until_accepted(fleet.document(1))
            await fleet.wait_until_ready()
            for job in HEALTHY_JOBS:
                assert await fleet.submit(job, 1500, count=3) == 200
            assert await fleet.submit(POISON_JOB, 1000, count=1) == 200
            await fleet.wait_until(lambda: fleet.state_is(POISON_JOB, "failed"))
            for job in HEALTHY_JOBS:
                await fleet.wait_until(lambda job=job: fleet.state_is(job, "completed"))
            assert 2 <= fleet.poison_starts <= MAX_STARTS
        finally:
            if heartbeats is not None:
                heartbeats.cancel()
            fleet.stop_fleet()

    asyncio.run(scenario())
