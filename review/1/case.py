"""A worker is down for 4.5 s; the jobs that came meanwhile are never started on it.

The orders for all waiting tasks make one message that the agent refuses for its size.
"""

import asyncio
import pathlib
import secrets
import time

from review.common import standins

SIDE_COUNT = 11  # One worker in eleven crashes: a share of 0.09, at most 0.15.
DOWN_S = 4.5
JOB_COUNT = 10
TASKS_PER_JOB = 30  # At most 36 at the site.
SPEC_BYTES = 4000
WORK_MS = 1000
FINISH_S = standins.BOUNDS["finish_s"] + 3.0
WATCH_S = 40.0


async def run(deployment):
    """Submit jobs for the only worker of one kind while it is down."""
    record = deployment.record
    await deployment.begin(standins.document(1), {10: {"labels": ["b", "r1-3"]}})
    minion = deployment.minions[10]
    step = {
        "count": TASKS_PER_JOB,
        "cpu": 50,
        "mem_mb": 64,
        "estimate_ms": WORK_MS,
        "required_label": "b",
    }
    spec = f"works {WORK_MS} "
    body = {"spec": spec + "x" * (SPEC_BYTES - len(spec)), "steps": [step]}
    jobs = [secrets.token_hex(8) for _ in range(JOB_COUNT)]
    begun_s = time.monotonic()
    if standins.has_trouble():
        await minion.crash()
    for job in jobs:
        while (await deployment.front("POST", f"/a/{job}", body))[0] != 200:
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.35)
    traffic_end_s = time.monotonic()
    if standins.has_trouble():
        await asyncio.sleep(DOWN_S - (time.monotonic() - begun_s))
        await minion.restart()
    while time.monotonic() - traffic_end_s < WATCH_S:
        await asyncio.sleep(1)
        if len(deployment.ends) >= JOB_COUNT * TASKS_PER_JOB:
            break
    await asyncio.sleep(1)
    for job in jobs:
        _, fields = await deployment.front("GET", f"/a/{job}")
        ended = sum(key[0].startswith(job) for _, _, key, how in deployment.ends)
        if fields.get("state") != "completed":
            record.broke(
                "LOST",
                f"job {job} is {fields.get('state')} with {ended} ended and "
                f"{sum(key[0].startswith(job) for key in minion.running)} running "
                f"tasks {WATCH_S} s after the end of the traffic (limit {FINISH_S} s); "
                f"{minion.id} is ready and runs {len(minion.running)} tasks",
            )


standins.main(run, pathlib.Path(__file__).parent, side_count=SIDE_COUNT)
