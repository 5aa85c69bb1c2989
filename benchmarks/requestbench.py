"""Latency and rate of requests through entry and agent, beside the direct way."""

import asyncio
import json
import os
import sys
import tempfile

from tests.fleet import fleet as fleets

REQUESTS_BY_CONCURRENCY = {1: 500, 64: 6000, 640: 6000}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def load(urls, requests, concurrency, *options):
    """Run the load tool in a process of its own and return its summary."""
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


async def measure_way(fleet, urls, label, *options, share=1.0):
    """Return one row for each concurrency of one way, with a share of the requests."""
    rows = []
    for concurrency, all_requests in REQUESTS_BY_CONCURRENCY.items():
        requests = int(all_requests * share)
        pids = fleets.process_ids(fleet)
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        summary = await load(urls, requests, concurrency, *options)
        spent = {name: cpu_seconds(pid) - before[name] for name, pid in pids.items()}
        entry_s = sum(spent[name] for name in fleet.entry_names)
        agent_s = sum(spent[name] for name in fleet.agent_names)
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
    """Return the rows of all ways on one deployment."""
    with tempfile.TemporaryDirectory(prefix="sardinegauge-bench-") as folder:
        fleet = fleets.Fleet(folder, entries=2, agents=3)
        try:
            await fleet.start()
            direct = [
                f"http://{fleet.http_by_name[f'{name}-upstream']}/ordering/echo"
                for name in fleet.agent_names
            ]
            through = [
                f"http://{fleet.http_by_name[name]}/ordering/echo"
                for name in fleet.entry_names
            ]
            post = ("--method", "POST", "--body", "one hide")
            rows = await measure_way(fleet, direct, "direct")
            rows += await measure_way(fleet, through, "entry and agent")
            rows += await measure_way(fleet, through, "unkeyed order", *post)
            rows += await measure_way(fleet, through, "keyed order", *post, "--keyed")
        finally:
            await fleet.stop()
    return rows


def main():
    for row in asyncio.run(measure()):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
