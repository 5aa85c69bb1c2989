"""Measures the time from a restart of all replicas to a lasting leader.

    python -m benchmarks.grouprestart --seeds 20

Five replicas hold a log of workflows and of large sets of queues, as after a day with
many changes of the configuration. They start within half a second of each other, and
the time counts from the last start until a leader has applied the whole log and still
leads `LASTING_S` later.
"""

import argparse
import asyncio
import json
import os
import random
import statistics
import tempfile
import time
import urllib.error
import urllib.request

from sardinegauge import commands
from sardinegauge.agreement import membership, raftmessages, storage
from sardinegauge.workflows import queues
from sardinegauge.workflows import steps as steps_module
from tests import statefleet
from tests.fleet import fleet as fleets

NAMES = "abcde"
ENTRY_COUNT = 2_100
QUEUE_SET_COUNT = 55
QUEUE_COUNT = 1_000
START_SPREAD_S = 0.5
LASTING_S = 1.5
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


def make_entries():
    """Return the log entries, spread sets of queues among workflows."""
    found = [
        queues.Queue(
            name=f"q{number}",
            host=f"h{number}.example",
            prefix=f"/p{number}/",
            pool="p",
            timeout_ms=3000,
        )
        for number in range(QUEUE_COUNT)
    ]
    step = steps_module.Step(count=20, cpu_millis=1000, memory_mb=100)
    spacing = ENTRY_COUNT // QUEUE_SET_COUNT
    entries = []
    for index in range(2, ENTRY_COUNT + 2):
        if index % spacing == 2:
            version = index // spacing + 1
            found[version] = found[version].replace(objective_ms=version)
            packed = queues.pack(found, [queues.Pool(name="p")])
            command = commands.SetQueues(version=version, packed=packed)
        else:
            command = commands.SubmitWorkflow(
                id=f"w{index}", queue="q0", payload="", steps=[step.to_sparse_dict()]
            )
        command.at_ms = index
        body = commands.REGISTRY.dumps(command)
        entries.append(
            raftmessages.LogEntry(index=index, term=1, kind="command", body=body)
        )
    return entries


def write_folder(path, name, members, entries):
    """Create a data folder whose replica has acknowledged all entries."""
    folder = storage.DataFolder(path)
    folder.create(name, members)
    last_index = entries[-1].index
    folder.append(entries, 0, dict.fromkeys(members, last_index))
    folder.sync()
    folder.close()


def fetch_status(address):
    """Return the health page of a replica as a dict, empty without an answer."""
    try:
        with urllib.request.urlopen(f"http://{address}/health", timeout=0.5) as reply:
            return json.load(reply)
    except urllib.error.HTTPError as error:
        return json.load(error)
    except OSError:
        return {}


async def wait_for_lasting_leader(addresses, began_s):
    """Return the seconds from `began_s` until a leader leads for good."""
    loop = asyncio.get_running_loop()
    since_s, leading_term = 0.0, 0
    while time.monotonic() - began_s < TIMEOUT_S:
        pages = await asyncio.gather(
            *(loop.run_in_executor(None, fetch_status, item) for item in addresses)
        )
        terms = [
            page["term"]
            for page in pages
            if page.get("role") == "leader"
            and page["applied_index"] >= page["commit_index"] > ENTRY_COUNT
        ]
        now_s = time.monotonic()
        if not terms or max(terms) != leading_term:
            since_s, leading_term = now_s, max(terms, default=0)
        elif now_s - since_s >= LASTING_S:
            return since_s - began_s, leading_term
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError("no lasting leader in time")


async def measure(path, seed, entries):
    """Return the seconds to a lasting leader, and its term."""
    rng = random.Random(seed)
    addresses = statefleet.free_addresses(2 * len(NAMES))
    links, pages = addresses[: len(NAMES)], addresses[len(NAMES) :]
    members = {
        name: membership.Member(identity=name, name=name, address=address)
        for name, address in zip(NAMES, links)
    }
    processes = []
    for name, link, page in zip(NAMES, links, pages):
        data_dir = os.path.join(path, name)
        write_folder(data_dir, name, members, entries)
        settings_path = os.path.join(path, f"{name}.json")
        values = {
            "name": name,
            "listen": link,
            "metrics_listen": page,
            "data_dir": data_dir,
            "peers": links,
        }
        with open(settings_path, "w", encoding="utf-8") as file:
            json.dump(values, file)
        arguments = [fleets.STATE_MODULE, "--settings", settings_path]
        log_path = os.path.join(path, f"{name}.log")
        processes.append(fleets.Process(name, arguments, log_path))
    try:
        for process in rng.sample(processes, len(processes)):
            await process.start()
            await asyncio.sleep(rng.uniform(0, START_SPREAD_S / len(processes)))
        return await wait_for_lasting_leader(pages, time.monotonic())
    finally:
        for process in processes:
            await process.kill()


def main():
    """Print the time of each seed, and their median and maximum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    arguments = parser.parse_args()
    entries = make_entries()
    times_s = []
    terms = []
    for seed in range(arguments.seeds):
        with tempfile.TemporaryDirectory() as path:
            seconds, term = asyncio.run(measure(path, seed, entries))
        times_s.append(seconds)
        terms.append(term)
    print("seconds to a lasting leader:", *(f"{s:.2f}" for s in sorted(times_s)))
    print("terms of the leaders:", *sorted(terms))
    print(f"median {statistics.median(times_s):.2f} s, most {max(times_s):.2f} s")


if __name__ == "__main__":
    main()
