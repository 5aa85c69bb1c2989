"""Runs the soak for a seed, checks the guarantees at the end and prints the result."""

import argparse
import asyncio
import functools
import pathlib
import random
import shutil
import tempfile
import time

from tests.soak import checker, clients, crowds, deployment, faults, operators

SETTLE_LIMIT_S = 60.0
# The bound in the settings of `platformkit`.
PROPAGATION_BOUND_S = 3.0


class SoakResult:
    """The checker of a finished soak, its faults by kind and its answers by status."""

    def __init__(self, observations, injector, load):
        self.checker = observations
        self.count_by_fault = injector.count_by_kind
        self.count_by_status = load.count_by_status


async def run_fleet(path, seed, seconds):
    """Run the soak with one seed in a folder and return its `SoakResult`."""
    rng = random.Random(seed)
    observations = checker.Checker()
    fleet = deployment.Fleet(pathlib.Path(path), observations)
    heartbeats = None
    try:
        await fleet.start_fleet()
        heartbeats = asyncio.ensure_future(fleet.send_heartbeats())
        await fleet.wait_until_accepted(fleet.document(1))
        await fleet.wait_until_ready()
        until_s = time.monotonic() + seconds
        load = clients.Clients(fleet, observations, random.Random(rng.random()))
        injector = faults.FaultInjector(fleet, random.Random(rng.random()))
        operator = operators.Operator(fleet, observations, random.Random(rng.random()))
        sender = crowds.CrowdSender(fleet, random.Random(rng.random()))
        await asyncio.gather(
            load.run(until_s),
            injector.run(until_s),
            operator.run(until_s),
            sender.run(until_s),
        )
        await _check_end(fleet, observations, load)
    finally:
        if heartbeats is not None:
            heartbeats.cancel()
        fleet.stop_fleet()
    return SoakResult(observations, injector, load)


async def _check_end(fleet, observations, load):
    """Check that accepted jobs end and the last accepted configuration is read back."""
    for job in sorted(observations.accepted_jobs):
        wanted = {"completed"}
        if job in observations.cancelled_s_by_job:
            wanted.add("cancelled")
        try:
            condition = functools.partial(_is_in_state, fleet, job, wanted)
            await fleet.wait_until(condition, SETTLE_LIMIT_S)
        except AssertionError:
            observations.report("LOST", f"{job} is not {' or '.join(sorted(wanted))}")
    expected = (200, load.document(load.config_version))
    if await fleet.config("GET") != expected:
        observations.report("CONFIG", f"version {load.config_version} is not read back")
    await _check_routes(fleet, observations, load)


async def _check_routes(fleet, observations, load):
    """Check that fronts serve the routes of the last configuration, and no others."""
    await asyncio.sleep(PROPAGATION_BOUND_S)
    by_version = load.idle_prefixes_by_version
    for version, prefixes in by_version.items():
        wanted = 200 if version == load.config_version else 404
        for prefix in prefixes[:1] + prefixes[-1:]:
            status, _ = await fleet.front("GET", prefix)
            if status not in (wanted, 503):
                observations.report(
                    "CONFIG", f"{prefix} of version {version} is answered {status}"
                )


async def _is_in_state(fleet, job, states):
    return (await fleet.front("GET", f"/q/{job}"))[1].get("state") in states


def run_seed(seed, seconds, folder=None):
    """Run the soak with one seed, print its result, and return the violations.

    Without `folder`, logs and data lie in a temporary folder, which is kept only when
    there are violations.
    """
    path = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    path.mkdir(parents=True, exist_ok=True)
    result = asyncio.run(run_fleet(path, seed, seconds))
    observations = result.checker
    print(
        f"seed={seed} violations={len(observations.violations)}"
        f" jobs={len(observations.accepted_jobs)}"
        f" starts={observations.start_count}"
        f" faults={sum(result.count_by_fault.values())}"
        f" {dict(result.count_by_fault)} statuses={dict(result.count_by_status)}",
        flush=True,
    )
    for violation in observations.violations:
        print(f"  {violation}", flush=True)
    if observations.violations:
        print(f"  logs: {path}", flush=True)
    elif folder is None:
        shutil.rmtree(path)
    return observations.violations


def main():
    """Run consecutive seeds one after the other; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = [seed for seed in seeds if run_seed(seed, arguments.seconds)]
    return 1 if failed else 0
