"""Plays of the soak: one seed with its checks at the end, and the command line."""

import argparse
import asyncio
import functools
import pathlib
import random
import shutil
import tempfile
import time

from tests.soak import checker, clients, deployment, faults

SETTLE_LIMIT_S = 60.0


class Played:
    """What one play showed: the checker, faults by kind, answers by status."""

    def __init__(self, seen, injected, callers):
        self.checker = seen
        self.faults = injected.counts
        self.statuses = callers.statuses


async def play(path, seed, seconds):
    """Play one seed in a folder and return what it showed, as `Played`."""
    rand = random.Random(seed)
    seen = checker.Checker()
    fleet = deployment.Fleet(pathlib.Path(path), seen)
    beats = None
    try:
        await fleet.start_fleet()
        beats = asyncio.ensure_future(fleet.beat_all())
        await fleet.wait_until_accepted(fleet.document(1))
        until_s = time.monotonic() + seconds
        callers = clients.Clients(fleet, seen, random.Random(rand.random()))
        injected = faults.Faults(fleet, random.Random(rand.random()))
        await asyncio.gather(callers.run(until_s), injected.run(until_s))
        await _check_end(fleet, seen, callers)
    finally:
        if beats is not None:
            beats.cancel()
        fleet.stop_fleet()
    return Played(seen, injected, callers)


async def _check_end(fleet, seen, callers):
    """Check that all that was accepted ends and the newest configuration is read."""
    for job in sorted(seen.accepted):
        wanted = {"completed"}
        if job in seen.cancelled_s:
            wanted.add("cancelled")
        try:
            condition = functools.partial(_is_in, fleet, job, wanted)
            await fleet.wait_until(condition, SETTLE_LIMIT_S)
        except AssertionError:
            seen.report("LOST", f"{job} is not {' or '.join(sorted(wanted))}")
    expected = (200, fleet.document(callers.version))
    if await fleet.config("GET") != expected:
        seen.report("CONFIG", f"version {callers.version} is not read back")


async def _is_in(fleet, job, states):
    return (await fleet.front("GET", f"/q/{job}"))[1].get("state") in states


def run(seed, seconds, keep=None):
    """Play one seed in a folder of its own; print a line; return the violations."""
    path = pathlib.Path(keep or tempfile.mkdtemp(prefix="soak-"))
    path.mkdir(parents=True, exist_ok=True)
    played = asyncio.run(play(path, seed, seconds))
    seen = played.checker
    print(
        f"seed={seed} violations={len(seen.violations)} jobs={len(seen.accepted)}"
        f" starts={seen.starts} faults={sum(played.faults.values())}"
        f" {dict(played.faults)} statuses={dict(played.statuses)}",
        flush=True,
    )
    for violation in seen.violations:
        print(f"  {violation}", flush=True)
    if seen.violations:
        print(f"  logs: {path}", flush=True)
    elif keep is None:
        shutil.rmtree(path)
    return seen.violations


def main():
    """Play seeds one after the other; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = [seed for seed in seeds if run(seed, arguments.seconds)]
    return 1 if failed else 0
