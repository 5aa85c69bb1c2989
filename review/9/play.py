"""A minion goes down and up by turns, which runs one task of a job that lasts.

The job has as many tasks as there are minions, and at most one of them may run on each,
so the task has no other place.
"""

import asyncio
import pathlib
import sys
import time

import kit

FLEET = 10  # One minion of ten flaps, a share of 0.1.
PERIOD_S = 1.4
FLAPPING_S = 6.5
# It comes more than once, until the rule is broken.
FLAPS = 3
BETWEEN_S = 4.0
JOB = "5c0e7a21d94b36f8"
STEP = {
    "count": FLEET,
    "cpu": 3200,
    "mem_mb": 6400,
    "estimate_ms": 2500,
    "persistent": True,
    "max_per_server": 1,
}


async def flap(minion):
    """Let a minion go down and up by turns; it is up in the end."""
    end_s = time.monotonic() + FLAPPING_S
    while time.monotonic() + PERIOD_S / 2 <= end_s:
        await minion.crash()
        await asyncio.sleep(PERIOD_S / 2)
        minion.start()
        await asyncio.sleep(PERIOD_S / 2)


async def play(fleet, is_troubled):
    """Let one minion flap while the job runs on all, and read the job's state."""
    if not await fleet.begin():
        return kit.NOT_RUN
    if await fleet.submit(JOB, [STEP], "0") != 200:
        return kit.NOT_RUN
    await asyncio.sleep(6)
    if not all(minion.running for minion in fleet.minions):
        return kit.NOT_RUN
    for _ in range(FLAPS):
        if is_troubled:
            await flap(fleet.minions[0])
        else:
            await asyncio.sleep(FLAPPING_S)
        # The minion is well from here on, and nobody has cancelled the job.
        await asyncio.sleep(BETWEEN_S)
        status, answer = await fleet.front("GET", JOB)
        found = (status, answer.get("state"))
        if found in ((200, "failed"), (200, "cancelled"), (410, None)):
            return kit.BROKEN
    end_s = time.monotonic() + 15
    while time.monotonic() < end_s:
        if all(minion.running for minion in fleet.minions):
            fleet.record.add("all tasks run at the end")
            return kit.HELD
        await asyncio.sleep(1)
    fleet.record.add("not all tasks run at the end")
    return kit.BROKEN


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(kit.run(play, folder, side_count=FLEET))
