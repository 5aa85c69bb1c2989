"""Three core machines are replaced, the third once the others' successors count."""

import asyncio
import os
import pathlib
import sys
import time

import kit

CATCHUP_S = 4.0
SUCCESSOR_S = 1.0  # The empty machine comes this long after the loss.
MARGIN_S = float(os.environ.get("MARGIN_S", "0.5"))
RECOVERY_S = 12.0
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000}


async def replace_cores(fleet, positions):
    """Lose core machines for good; empty ones come at other addresses."""
    lost = [fleet.core_ips[position] for position in positions]
    for ip in lost:
        fleet.kill("core", ip)
        fleet.wipe_disk(ip)
    await asyncio.sleep(SUCCESSOR_S)
    for position in positions:
        fleet.core_ips[position] = fleet.spare_core_ips.pop()
        fleet.start("core", fleet.core_ips[position], is_first=False)
    await asyncio.sleep(CATCHUP_S + MARGIN_S)
    fleet.record.add("the successors have had their time; no machine counts as lost")


async def play(fleet, is_troubled):
    """Make the losses, and read back what was acknowledged."""
    if not await fleet.begin():
        return kit.NOT_RUN
    if await fleet.submit(JOB, [STEP], "1000") != 200:
        return kit.NOT_RUN
    if not await fleet.apply(2):
        return kit.NOT_RUN
    if is_troubled:
        await replace_cores(fleet, [3, 4])
        await replace_cores(fleet, [2])
    await asyncio.sleep(RECOVERY_S)
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
