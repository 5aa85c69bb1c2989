"""A core machine is replaced; once it counts, two others lose their disks."""

import asyncio
import os
import pathlib
import sys
import time

import kit

CATCHUP_S = 4.0
SUCCESSOR_S = 1.0  # The empty machine comes this long after the loss.
MARGIN_S = 0.5
DOWN_S = 0.9
RECOVERY_S = 12.0
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000}


async def replace_core(fleet):
    """Lose a core machine for good; an empty one takes its place at another address."""
    lost = fleet.core_ips[4]
    fleet.kill("core", lost)
    fleet.wipe_disk(lost)
    await asyncio.sleep(SUCCESSOR_S)
    successor = fleet.spare_core_ips[0]
    fleet.core_ips[4] = successor
    fleet.start("core", successor, is_first=False)
    await asyncio.sleep(CATCHUP_S + MARGIN_S)
    fleet.record.add("the successor has had its time; no machine counts as lost")


async def lose_disks(fleet):
    """Let two core machines lose power and their disks at once."""
    for ip in fleet.core_ips[:2]:
        fleet.kill("core", ip)
    for ip in fleet.core_ips[:2]:
        fleet.wipe_disk(ip)
    await asyncio.sleep(DOWN_S)
    for ip in fleet.core_ips[:2]:
        fleet.start("core", ip, is_first=False)


async def play(fleet, is_troubled):
    """Make the losses, and read back what was acknowledged."""
    if not await fleet.begin():
        return kit.NOT_RUN
    if await fleet.submit(JOB, [STEP], "1000") != 200:
        return kit.NOT_RUN
    if is_troubled and os.environ.get("REPLACE", "1") != "0":
        await replace_core(fleet)
    if not await fleet.apply(2):
        return kit.NOT_RUN
    if is_troubled:
        await lose_disks(fleet)
    await asyncio.sleep(RECOVERY_S)
    # All machines are back for `recovery_s`; what was acknowledged must be there.
    end_s = time.monotonic() + 30
    while time.monotonic() < end_s:
        config_status, config = await fleet.operator("GET")
        job_status, job = await fleet.front("GET", JOB)
        if config_status == 200 and job_status == 200:
            is_whole = config["version"] == 2 and job["state"] == "completed"
            return kit.HELD if is_whole else kit.BROKEN
        if job_status == 410:
            return kit.BROKEN
        await asyncio.sleep(1)
    return kit.BROKEN


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(kit.run(play, folder, side_count=3))
