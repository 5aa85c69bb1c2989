"""Prints the figures that the documentation cites as one table (``make measure``).

Each line has a measurement, its value, the baseline of the same run and the target of
docs/design.md where there is one. ``--parts`` selects parts. The load average of the
machine is printed with each part, since other processes change the figures.
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

CONFIGURATION_CHANGES = 30
CHANGE_POLL_INTERVAL_S = 0.02
# A random delay up to this spreads the changes over the phases of polls and heartbeats.
MAX_CHANGE_DELAY_S = 1.0
# Shares of the requests of requestbench, so that all parts end within 10 minutes.
ROUTE_SHARE = 1 / 2
ORDER_SHARE = 1 / 4
OPEN_LOOP_S = 8
POLICY_OPTIONS = ("--seeds", "1", "--seconds", "600", "--jobs", "3")
FLOW_OPTIONS = ("--seeds", "3")
SCALE_OPTIONS = ("--seconds", "5", "--shares", "0.25,1.0")


def route_urls(fleet):
    """Return the URLs of the upstreams themselves and those through the entries."""
    direct_urls = [fleet.http_by_name[f"{name}-upstream"] for name in fleet.agent_names]
    routed_urls = [fleet.http_by_name[name] for name in fleet.entry_names]
    return [
        [f"http://{a}/ordering/echo" for a in part]
        for part in (direct_urls, routed_urls)
    ]


async def measure_requests(folder):
    """Return lines on requests through entry and agent, beside direct requests."""
    fleet = fleets.Fleet(folder, entries=2, agents=3)
    post_options = ("--method", "POST", "--body", "one hide")
    try:
        await fleet.start()
        direct_urls, routed_urls = route_urls(fleet)
        measure_route = requestbench.measure_route
        rows_by_route = {
            "direct": await measure_route(
                fleet, direct_urls, "direct", share=ROUTE_SHARE
            ),
            "through": await measure_route(
                fleet, routed_urls, "through", share=ROUTE_SHARE
            ),
            "order": await measure_route(
                fleet, routed_urls, "order", *post_options, share=ORDER_SHARE
            ),
            "keyed": await measure_route(
                fleet, routed_urls, "keyed", *post_options, "--keyed", share=ORDER_SHARE
            ),
        }
        pids = fleets.process_ids(fleet)
        memory_mb = {
            name: requestbench.resident_mb(pids[name])
            for name in fleet.entry_names + fleet.agent_names
        }
        half_per_s = max(row["per_s"] for row in rows_by_route["through"]) / 2
        options = ("--rate", str(half_per_s))
        requests = int(half_per_s * OPEN_LOOP_S)
        summaries = [
            await requestbench.run_load_tool(urls, requests, 1, *options)
            for urls in (direct_urls, routed_urls)
        ]
    finally:
        await fleet.stop()
    lines = []
    for baseline, name, text in (
        ("direct", "through", "request through entry and agent"),
        ("order", "keyed", "keyed order beside unkeyed"),
    ):
        for base, row in zip(rows_by_route[baseline], rows_by_route[name]):
            lines += request_lines(text, base, row)
    added_ms = summaries[1]["p99"] - summaries[0]["p99"]
    at = f"open loop, {half_per_s:.0f}/s"
    lines.append(
        (f"added p99 at half of saturation, {at}", f"{added_ms:.1f} ms", "", "< 3 ms")
    )
    for name in ("p50", "p99", "p999"):
        values = [f"{summary[name]} ms" for summary in reversed(summaries)]
        lines.append((f"{name} at half of saturation, {at}", *values, ""))
    for names, role in ((fleet.entry_names, "entry"), (fleet.agent_names, "agent")):
        largest_mb = max(memory_mb[name] for name in names)
        lines.append(
            (f"most resident memory of an {role}, all ways", f"{largest_mb:.1f} MiB")
        )
    return lines


def request_lines(text, base, row):
    """Return the lines of one route at one concurrency, beside its baseline."""
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
    """Return lines on the time from accepting a change until all processes use it."""
    fleet = fleets.Fleet(folder, entries=2, agents=4)
    durations_s = []
    try:
        await fleet.start()
        _, current = await fleet.call("entry-1", "GetConfiguration")
        version = current["version"]
        for number in range(CONFIGURATION_CHANGES):
            await asyncio.sleep(random.random() * MAX_CHANGE_DELAY_S)
            status, reply = await fleet.call(
                fleet.entry_names[number % 2],
                "SetConfiguration",
                request_id=f"measure-{number}",
                base_version=version,
                document=f'{{"tenants": {{"karri": {{"cores": {number + 1}}}}}}}',
            )
            if status != 200:
                raise RuntimeError(
                    f"configuration change {number} failed with {status}: {reply}"
                )
            accepted_s = time.monotonic()
            version = reply["version"]
            await wait_until_in_force(fleet, int(version))
            durations_s.append(time.monotonic() - accepted_s)
    finally:
        await fleet.stop()
    durations_s.sort()
    text = f"configuration in force everywhere, {len(durations_s)} changes"
    return [
        (f"{text}, median", f"{durations_s[len(durations_s) // 2]:.2f} s", "", ""),
        (f"{text}, p90", f"{durations_s[int(len(durations_s) * 0.9)]:.2f} s", "", ""),
        (f"{text}, slowest", f"{durations_s[-1]:.2f} s", "", "< 6 s"),
    ]


async def wait_until_in_force(fleet, version, limit_s=30.0):
    """Wait until the metrics of all entries and agents show at least this version."""
    pending_names = set(fleet.entry_names + fleet.agent_names)
    end_s = time.monotonic() + limit_s
    while pending_names:
        if time.monotonic() > end_s:
            raise TimeoutError(
                f"configuration version {version} is not in force in {pending_names}"
            )
        for name in list(pending_names):
            page = await fleet.fetch(name, "/-/metrics", request_timeout=2.0)
            shown = fleets.configuration_version(page.body or b"")
            if shown is not None and shown >= version:
                pending_names.discard(name)
        await asyncio.sleep(CHANGE_POLL_INTERVAL_S)


async def run_module(module, *options):
    """Run a benchmark module and return the lines that it prints."""
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *options, cwd=fleets.ROOT, stdout=-1
    )
    out, _ = await child.communicate()
    if child.returncode != 0:
        raise RuntimeError(f"{module} ended with status {child.returncode}")
    return [(line,) for line in out.decode().splitlines()]


async def measure_policies(folder):
    """Return the table of scheduling policies on simulated workers."""
    return await run_module("benchmarks.policies", *POLICY_OPTIONS)


async def measure_workflows(folder):
    """Return the table of ordering and placement policies of workflows."""
    return await run_module("benchmarks.flowpolicies", *FLOW_OPTIONS)


async def measure_scale(folder):
    """Return the table of scheduler and state machine at the target size."""
    return await run_module("benchmarks.scale", *SCALE_OPTIONS)


PARTS = {
    "agent": agentcost.measure_agent,
    "requests": measure_requests,
    "slopes": agentcost.measure_scaling,
    "configuration": measure_configuration,
    "leader": leaderloss.measure,
    "state": statecost.measure,
    "policies": measure_policies,
    "workflows": measure_workflows,
    "scale": measure_scale,
}


def print_part(name, lines, loads_before, elapsed_s):
    """Print the lines of one part under the load averages before and after it."""
    load = f"{loads_before[0]:.1f} before, {os.getloadavg()[0]:.1f} after"
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
        load, begin_s = os.getloadavg(), time.monotonic()
        with tempfile.TemporaryDirectory(prefix="sardinegauge-measure-") as folder:
            try:
                lines = asyncio.run(PARTS[name](folder))
            except (RuntimeError, TimeoutError) as error:
                failed += 1
                lines = [(f"FAILED: {error}",)]
        print_part(name, lines, load, time.monotonic() - begin_s)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
