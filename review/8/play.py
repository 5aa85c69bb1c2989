"""A minion is lost for good while it runs a task with a long checkpoint."""

import asyncio
import os
import pathlib
import sys
import time

import kit

FLEET = 10  # One minion of ten is lost, a share of 0.1.
CHECKPOINT_LENGTH = int(os.environ.get("LENGTH", "1200"))
JOB = "5c0e7a21d94b36f8"
STEP = {
    "count": 4,
    "cpu": 4000,
    "mem_mb": 1000,
    "estimate_ms": 8000,
    "checkpointing": True,
}
WATCH_S = 45.0


async def play(fleet, is_troubled):
    """Lose the minion at half of the work; the job has to be done all the same."""
    if not await fleet.begin():
        return kit.NOT_RUN
    if await fleet.submit(JOB, [STEP], f"8000:{CHECKPOINT_LENGTH}") != 200:
        return kit.NOT_RUN
    await asyncio.sleep(4)
    busy = [minion for minion in fleet.minions if minion.running]
    if not busy:
        return kit.NOT_RUN
    if is_troubled:
        await busy[0].crash()
    end_s = time.monotonic() + WATCH_S
    state = None
    while time.monotonic() < end_s:
        _, answer = await fleet.front("GET", JOB)
        state = answer.get("state") or state
        if state in ("completed", "failed"):
            break
        await asyncio.sleep(1)
    runs = [key for minion in fleet.minions for key in minion.running]
    fleet.record.add(f"state {state}, runs at work: {runs}")
    return kit.HELD if state == "completed" else kit.BROKEN


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(kit.run(play, folder, side_count=FLEET))
