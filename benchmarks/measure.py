"""``make measure``: the measurements behind the docs, as one table.

Each line has a measurement, its value, the baseline of the same run and the target of
docs/design.md where there is one. ``--parts`` chooses among the parts. The load
average of the machine is printed beside each part, since other work changes figures.
"""

import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

from benchmarks import agentcost, leaderloss, requestbench, statecost
from tests.fleet import fleet as fleets

CHANGES = 30
CHANGE_POLL_S = 0.02
# Changes come at random phases of the polls and heartbeats.
CHANGE_PAUSE_S = 1.0
# Shares of the requests of requestbench that keep all parts under 10 minutes.
WAY_SHARE = 1 / 2
ORDER_SHARE = 1 / 4
OPEN_LOOP_S = 8
POLICY_OPTIONS = ("--seeds", "1", "--seconds", "600", "--jobs", "3")
FLOW_OPTIONS = ("--seeds", "3")
SCALE_OPTIONS = ("--seconds", "5", "--shares", "0.25,1.0")


def way_urls(fleet):
    """Return the URLs of the direct way and of the way through the entries."""
    direct = [fleet.http_by_name[f"{name}-upstream"] for name in fleet.agent_names]
    through = [fleet.http_by_name[name] for name in fleet.entry_names]
    return [[f"http://{a}/ordering/echo" for a in part] for part in (direct, through)]


async def measure_requests(folder):
    """Latency and processor time through entry and agent, beside the direct way."""
    fleet = fleets.Fleet(folder, entries=2, agents=3)
    post = ("--method", "POST", "--body", "one hide")
    try:
        await fleet.start()
        direct, through = way_urls(fleet)
        measure_way = requestbench.measure_way
        rows_by_way = {
            "direct": await measure_way(fleet, direct, "direct", share=WAY_SHARE),
            "through": await measure_way(fleet, through, "through", share=WAY_SHARE),
            "order": await measure_way(
                fleet, through, "order", *post, share=ORDER_SHARE
            ),
            "keyed": await measure_way(
                fleet, through, "keyed", *post, "--keyed", share=ORDER_SHARE
            ),
        }
        pids = fleets.process_ids(fleet)
        memory_mb = {
            name: requestbench.resident_mb(pids[name])
            for name in fleet.entry_names + fleet.agent_names
        }
        half_per_s = max(row["per_s"] for row in rows_by_way["through"]) / 2
        options = ("--rate", str(half_per_s))
        requests = int(half_per_s * OPEN_LOOP_S)
        half = [
            await requestbench.load(urls, requests, 1, *options)
            for urls in (direct, through)
        ]
    finally:
        await fleet.stop()
    lines = []
    for baseline, name, text in (
        ("direct", "through", "request through entry and agent"),
        ("order", "keyed", "keyed order beside unkeyed"),
    ):
        for base, row in zip(rows_by_way[baseline], rows_by_way[name]):
            lines += request_lines(text, base, row)
    added_ms = half[1]["p99"] - half[0]["p99"]
    at = f"open loop, {half_per_s:.0f}/s"
    lines.append(
        (f"added p99 at half of saturation, {at}", f"{added_ms:.1f} ms", "", "< 3 ms")
    )
    for name in ("p50", "p99", "p999"):
        values = [f"{summary[name]} ms" for summary in reversed(half)]
        lines.append((f"{name} at half of saturation, {at}", *values, ""))
    for names, role in ((fleet.entry_names, "entry"), (fleet.agent_names, "agent")):
        most = max(memory_mb[name] for name in names)
        lines.append(
            (f"most resident memory of an {role}, all ways", f"{most:.1f} MiB")
        )
    return lines


def request_lines(text, base, row):
    """Return the lines of one way at one concurrency, beside its baseline."""
    head = f"{text}, {row['concurrent']} concurrent"
    failed = sum(n for status, n in row["by_status"].items() if status != "200")
    lines = [
        (f"{head}, {name}", f"{row[name]} ms", f"{base[name]} ms", "")
        for name in ("p50", "p99", "p999")
    ]
    lines.append((f"{head}, rate", f"{row['per_s']}/s", f"{base['per_s']}/s", ""))
    lines.append((f"{head}, failed", str(failed), "", ""))
    for role in ("entry", "agent"):
        cost = f"{row[f'{role}_ms']} ms"
        lines.append((f"{head}, processor time of the {role} per request", cost))
    return lines


async def measure_configuration(folder):
    """Time from a change's acceptance until it is in force in every process."""
    fleet = fleets.Fleet(folder, entries=2, agents=4)
    elapsed = []
    try:
        await fleet.start()
        _, current = await fleet.call("entry-1", "GetConfiguration")
        version = current["version"]
        for number in range(CHANGES):
            await asyncio.sleep(random.random() * CHANGE_PAUSE_S)
            status, reply = await fleet.call(
                fleet.entry_names[number % 2],
                "SetConfiguration",
                request_id=f"measure-{number}",
                base_version=version,
                document=f'{{"tenants": {{"karri": {{"cores": {number + 1}}}}}}}',
            )
            if status != 200:
                raise RuntimeError(f"change {number} was answered {status}: {reply}")
            accepted = time.monotonic()
            version = reply["version"]
            await wait_in_force(fleet, int(version))
            elapsed.append(time.monotonic() - accepted)
    finally:
        await fleet.stop()
    elapsed.sort()
    text = f"configuration in force everywhere, {len(elapsed)} changes"
    return [
        (f"{text}, median", f"{elapsed[len(elapsed) // 2]:.2f} s", "", ""),
        (f"{text}, p90", f"{elapsed[int(len(elapsed) * 0.9)]:.2f} s", "", ""),
        (f"{text}, slowest", f"{elapsed[-1]:.2f} s", "", "< 6 s"),
    ]


async def wait_in_force(fleet, version, limit_s=30.0):
    """Wait until the metrics pages of all entries and agents show a version."""
    waiting = set(fleet.entry_names + fleet.agent_names)
    end = time.monotonic() + limit_s
    while waiting:
        if time.monotonic() > end:
            raise TimeoutError(f"version {version} is not in force in {waiting}")
        for name in list(waiting):
            page = await fleet.fetch(name, "/-/metrics", request_timeout=2.0)
            shown = fleets.configuration_version(page.body or b"")
            if shown is not None and shown >= version:
                waiting.discard(name)
        await asyncio.sleep(CHANGE_POLL_S)


async def run_module(module, *options):
    """Run a measuring module and return its printed lines."""
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *options, cwd=fleets.ROOT, stdout=-1
    )
    out, _ = await child.communicate()
    if child.returncode != 0:
        raise RuntimeError(f"{module} ended with status {child.returncode}")
    return [(line,) for line in out.decode().splitlines()]


async def measure_policies(folder):
    """Policies on a fake fleet, with its own table."""
    return await run_module("benchmarks.policies", *POLICY_OPTIONS)


async def measure_workflows(folder):
    """Orderings and placings of workflows in virtual time, with their own table."""
    return await run_module("benchmarks.flowpolicies", *FLOW_OPTIONS)


async def measure_scale(folder):
    """Scheduler and machine at the target's size, with its own table."""
    return await run_module("benchmarks.scale", *SCALE_OPTIONS)


PARTS = {
    "agent": agentcost.measure_agent,
    "requests": measure_requests,
    "slopes": agentcost.measure_slopes,
    "configuration": measure_configuration,
    "leader": leaderloss.measure,
    "state": statecost.measure,
    "policies": measure_policies,
    "workflows": measure_workflows,
    "scale": measure_scale,
}


def print_part(name, lines, load_before, elapsed_s):
    """Print the lines of one part under its load averages."""
    load = f"{load_before[0]:.1f} before, {os.getloadavg()[0]:.1f} after"
    print(f"\n{name} (load average {load}, {elapsed_s:.0f} s)")
    for line in lines:
        if len(line) == 1:
            print(line[0])
            continue
        text, value, baseline, target = (*line, "", "")[:4]
        print(f"{text:74} {value:>14} {baseline:>14} {target:>10}".rstrip())
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", default=",".join(PARTS))
    names = parser.parse_args().parts.split(",")
    if unknown := set(names) - PARTS.keys():
        parser.error(f"unknown parts {sorted(unknown)}, known are {list(PARTS)}")
    print(f"{'measurement':74} {'value':>14} {'baseline':>14} {'target':>10}")
    failed = 0
    for name in names:
        load, begin = os.getloadavg(), time.monotonic()
        with tempfile.TemporaryDirectory(prefix="sardinegauge-measure-") as folder:
            try:
                lines = asyncio.run(PARTS[name](folder))
            except (RuntimeError, TimeoutError) as error:
                failed += 1
                lines = [(f"FAILED: {error}",)]
        print_part(name, lines, load, time.monotonic() - begin)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
