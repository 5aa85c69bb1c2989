"""Tasks stand still on one minion for some seconds; later it gets no more tasks.

The jobs that last have as many tasks as there are minions, and at most one task of each
job may run on each.
"""

import asyncio
import pathlib
import sys
import time

import kit

FLEET = 10  # One minion of ten is hit, a share of 0.1.
HUNG_S = 5.5
CALM_S = 4.0
WATCH_S = 25.0
BATCH_STEP = {"count": 30, "cpu": 1000, "mem_mb": 100, "estimate_ms": 4000}
WATCH_STEP = {
    "count": FLEET,
    "cpu": 2000,
    "mem_mb": 1000,
    "estimate_ms": 2500,
    "persistent": True,
    "max_per_server": 1,
}
WATCHES = ("5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa")


async def play(fleet, is_troubled):
    """Let a batch job meet the hung minion; hand in the jobs that last afterwards."""
    if not await fleet.begin():
        return kit.NOT_RUN
    batch = asyncio.ensure_future(
        fleet.submit("00000000000000b1", [BATCH_STEP], "4000")
    )
    await asyncio.sleep(1.5)
    fleet.minions[0].is_hung = is_troubled
    fleet.record.add(f"tasks on i-0 stand still: {is_troubled}")
    await asyncio.sleep(HUNG_S)
    fleet.minions[0].is_hung = False
    fleet.record.add("i-0 is well")
    if await batch != 200:
        return kit.NOT_RUN
    await asyncio.sleep(CALM_S)
    for job in WATCHES:
        if await fleet.submit(job, [WATCH_STEP], "0") != 200:
            return kit.NOT_RUN
        await asyncio.sleep(1)
    end_s = time.monotonic() + WATCH_S
    while time.monotonic() < end_s:
        await asyncio.sleep(1)
        missing = find_missing(fleet)
        if not missing:
            return kit.HELD
        fleet.record.add(f"tasks that don't run: {missing}")
    fleet.record.add(f"runs on i-0: {list(fleet.minions[0].running)}")
    return kit.BROKEN


def find_missing(fleet):
    """Return the tasks of the jobs that last that are not at work."""
    at_work = {task for minion in fleet.minions for task, _ in minion.running}
    wanted = {f"{job}.0.0.{n}" for job in WATCHES for n in range(FLEET)}
    return sorted(wanted - at_work)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(kit.run(play, folder, side_count=FLEET))
