"""A worker goes down and up by turns; a job that could be done is shown as failed.

Only the end `failed` counts as an attempt, and none of the job's runs ended so.
"""

import asyncio
import pathlib
import secrets
import time

from review.common import standins

SIDE_COUNT = 11  # One worker in eleven flaps: a share of 0.09, at most 0.1.
FLAP_S = 6.3  # At most 7 s on the pages.
PERIOD_S = 0.82  # The pages use 0.82 s to 1.89 s.
JOB_COUNT = 3
WATCH_S = 30.0


async def run(deployment):
    """Let the only worker of one kind flap while jobs for it are open."""
    record = deployment.record
    await deployment.begin(standins.document(1), {10: {"labels": ["b", "r1-3"]}})
    minion = deployment.minions[10]
    step = {
        "count": 1,
        "cpu": 500,
        "mem_mb": 64,
        "estimate_ms": 3000,
        "required_label": "b",
    }
    body = {"spec": "works 3000", "steps": [step]}
    jobs = [secrets.token_hex(8) for _ in range(JOB_COUNT)]
    for job in jobs:
        while (await deployment.front("POST", f"/a/{job}", body))[0] != 200:
            await asyncio.sleep(0.2)
    await asyncio.sleep(0.2)
    if standins.has_trouble():
        record.write(f"{minion.id} goes down and up every {PERIOD_S} s")
        until_s = time.monotonic() + FLAP_S
        while time.monotonic() < until_s:
            await minion.crash()
            await asyncio.sleep(PERIOD_S / 2)
            await minion.restart()
            await asyncio.sleep(PERIOD_S / 2)
        record.write(f"{minion.id} stays up")
    begun_s = time.monotonic()
    state_by_job = {}
    while time.monotonic() - begun_s < WATCH_S and len(state_by_job) < JOB_COUNT:
        await asyncio.sleep(1)
        for job in jobs:
            _, fields = await deployment.front("GET", f"/a/{job}")
            if fields.get("state") in ("completed", "failed", "cancelled"):
                state_by_job[job] = fields["state"]
    failed_ends = [how for _, _, _, how in deployment.ends if how == "failed"]
    for job in jobs:
        state = state_by_job.get(job, "open")
        record.write(f"job {job} is {state}")
        if state in ("failed", "cancelled"):
            record.broke(
                "LOST",
                f"job {job} is shown as {state}; of its four attempts "
                f"{len(failed_ends)} ended `failed`, and nobody cancelled it",
            )


standins.main(run, pathlib.Path(__file__).parent, side_count=SIDE_COUNT)
