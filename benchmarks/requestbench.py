"""Measures requests through entry and agent, with direct requests as baseline."""

import asyncio
import json
import os
import sys
import tempfile

from tests.fleet import fleet as fleets

REQUESTS_BY_CONCURRENCY = {1: 500, 64: 6000, 640: 6000}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def run_load_tool(urls, requests, concurrency, *options):
    """Run the load tool in a separate process and return its summary."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.load",
        "--requests",
        str(requests),
        "--concurrency",
        str(concurrency),
        *options,
        *urls,
        cwd=fleets.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await child.communicate()
    return json.loads(out)


def cpu_seconds(process_id):
    """Return the processor time of a process, user and system, in seconds."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(process_id):
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{process_id}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


async def measure_route(fleet, urls, label, *options, share=1.0):
    """Return a row of figures for each concurrency of one route to the upstreams.

    `share` scales the numbers of requests.
    """
    rows = []
    for concurrency, full_requests in REQUESTS_BY_CONCURRENCY.items():
        requests = int(full_requests * share)
        pids = fleets.process_ids(fleet)
        before_s = {name: cpu_seconds(pid) for name, pid in pids.items()}
        summary = await run_load_tool(urls, requests, concurrency, *options)
        spent_s = {
            name: cpu_seconds(pid) - before_s[name] for name, pid in pids.items()
        }
        entry_s = sum(spent_s[name] for name in fleet.entry_names)
        agent_s = sum(spent_s[name] for name in fleet.agent_names)
        rows.append(
            {
                "way": label,
                "concurrent": concurrency,
                **summary,
                "entry_ms": round(entry_s * 1000 / requests, 3),
                "agent_ms": round(agent_s * 1000 / requests, 3),
            }
        )
    return rows


async def measure():
    """Return the rows of all routes, measured on one deployment."""
    with tempfile.TemporaryDirectory(prefix="sardinegauge-bench-") as folder:
        fleet = fleets.Fleet(folder, entries=2, agents=3)
        try:
            await fleet.start()
            direct_urls = [
                f"http://{fleet.http_by_name[f'{name}-upstream']}/ordering/echo"
                for name in fleet.agent_names
            ]
            routed_urls = [
                f"http://{fleet.http_by_name[name]}/ordering/echo"
                for name in fleet.entry_names
            ]
            post_options = ("--method", "POST", "--body", "one hide")
            rows = await measure_route(fleet, direct_urls, "direct")
            rows += await measure_route(fleet, routed_urls, "entry and agent")
            rows += await measure_route(
                fleet, routed_urls, "unkeyed order", *post_options
            )
            rows += await measure_route(
                fleet, routed_urls, "keyed order", *post_options, "--keyed"
            )
        finally:
            await fleet.stop()
    return rows


def main():
    for row in asyncio.run(measure()):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
