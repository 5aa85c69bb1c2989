"""A worker leaves calls unanswered for 3.6 s while the jobs on it are cancelled.

Its agent sends starts of the cancelled jobs for seconds after the cancels.
"""

import asyncio
import pathlib
import secrets
import time

from review.common import standins

SIDE_COUNT = 11  # One worker in eleven hangs: a share of 0.09.
HANG_S = 3.6  # At most 5.5 s at the site.
JOB_COUNT = 4
TASKS_PER_JOB = 30  # At most 36 at the site.
CANCEL_AFTER_S = 0.15
CANCEL_MS = standins.BOUNDS["cancel_ms"]
WATCH_S = 12.0


async def run(deployment):
    """Submit and cancel jobs for the only worker of one kind, which hangs meanwhile."""
    record = deployment.record
    await deployment.begin(standins.document(1), {10: {"labels": ["b", "r1-3"]}})
    minion = deployment.minions[10]
    acked_s_by_job = {}

    def on_start(started_on, key):
        job = key[0].partition(".")[0]
        acked_s = acked_s_by_job.get(job)
        if acked_s is not None and time.monotonic() - acked_s > CANCEL_MS / 1000:
            late_s = time.monotonic() - acked_s
            record.broke(
                "UNASKED",
                f"{key[0]} run {key[1]} was started {late_s:.2f} s after the cancel of "
                "its job was acknowledged",
            )

    deployment.on_start = on_start
    if standins.has_trouble():
        minion.mode = "silent"
        record.write(f"{minion.id} leaves all calls unanswered")
    begun_s = time.monotonic()
    step = {
        "count": TASKS_PER_JOB,
        "cpu": 100,
        "mem_mb": 64,
        "estimate_ms": 20000,
        "required_label": "b",
    }
    body = {"spec": "works 20000", "steps": [step]}

    async def submit_and_cancel():
        job = secrets.token_hex(8)
        while (await deployment.front("POST", f"/a/{job}", body))[0] != 200:
            await asyncio.sleep(0.2)
        await asyncio.sleep(CANCEL_AFTER_S)
        while True:
            status, _ = await deployment.front("DELETE", f"/a/{job}")
            if status in (200, 410):
                break
            await asyncio.sleep(0.2)
        acked_s_by_job[job] = time.monotonic()

    await asyncio.gather(*[submit_and_cancel() for _ in range(JOB_COUNT)])
    if time.monotonic() - begun_s > 1.5:
        raise standins.Unable("the jobs were not accepted and cancelled in time")
    await asyncio.sleep(HANG_S - (time.monotonic() - begun_s))
    minion.mode = ""
    record.write(f"{minion.id} answers calls")
    await asyncio.sleep(WATCH_S)


standins.main(run, pathlib.Path(__file__).parent, side_count=SIDE_COUNT)
