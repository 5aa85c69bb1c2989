"""A client cancels a job whose submission lies at a frozen front; the job runs later.

The cancel is acknowledged with 410, and nothing keeps the submission out afterwards.
"""

import asyncio
import pathlib
import secrets
import signal
import time

from review.common import standins

SIDE_COUNT = 4
FRONT_COUNT = 3  # As at the site; one of them freezes.
FREEZE_S = 3.5  # At most 3.5 s at the site.
DEADLINE_S = 3.0
CANCEL_MS = standins.BOUNDS["cancel_ms"]
WORK_MS = 4000
WATCH_S = 20.0


async def run(deployment):
    """Submit a job to a front that freezes, and cancel it at another front."""
    record = deployment.record
    await deployment.begin(standins.document(1))
    job = secrets.token_hex(8)
    acked_s = []

    def on_start(minion, key):
        if acked_s and time.monotonic() - acked_s[0] > CANCEL_MS / 1000:
            late_s = time.monotonic() - acked_s[0]
            record.broke(
                "UNASKED",
                f"{key[0]} run {key[1]} was started {late_s:.2f} s after the cancel of "
                "its job was acknowledged",
            )

    deployment.on_start = on_start
    step = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": WORK_MS}
    body = {"spec": f"works {WORK_MS}", "steps": [step, {**step, "after": [0]}]}
    begun_s = time.monotonic()
    if standins.has_trouble():
        deployment.kill(deployment.front_ips[0], signal.SIGSTOP)
    await deployment.front("POST", f"/a/{job}", body, number=0, timeout_s=DEADLINE_S)
    while True:
        status, _ = await deployment.front("DELETE", f"/a/{job}", number=1)
        if status in (200, 410):
            break
        await asyncio.sleep(0.1)
    acked_s.append(time.monotonic())
    if standins.has_trouble():
        if acked_s[0] - begun_s > FREEZE_S:
            raise standins.Unable("the cancel took too long")
        await asyncio.sleep(FREEZE_S - (time.monotonic() - begun_s))
        deployment.kill(deployment.front_ips[0], signal.SIGCONT)
    await asyncio.sleep(WATCH_S)
    await deployment.front("GET", f"/a/{job}", number=1)


standins.main(
    run,
    pathlib.Path(__file__).parent,
    side_count=SIDE_COUNT,
    front_count=FRONT_COUNT,
)
