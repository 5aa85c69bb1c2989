"""Rate and latency of durable commands, and recovery from a log and a snapshot."""

import asyncio
import pathlib
import time

from benchmarks import leaderloss, load
from sardinegauge import commands, outcome
from sardinegauge.agreement import raftmessages, storage
from sardinegauge.links import messages, stateclient
from tests.fleet import fleet as fleets

COMMANDS_BY_CONCURRENCY = {1: 100, 64: 1500}
ENTRIES = 100_000
RECOVERY_LIMIT_S = 120.0
ENTRIES_PER_APPEND = 1000


def claim(number):
    """Return a command that stores a request key of its own."""
    return commands.MakeClaim(
        tenant="karri",
        key=f"key-{number}",
        digest="0" * 64,
        upstream="10.0.0.1:8080",
        incarnation="i1",
        entry="entry-1",
    )


async def propose_all(client, count, concurrency, first):
    """Propose commands in a closed loop; return the latencies and the time taken."""
    numbers = iter(range(first, first + count))
    latencies = []

    async def loop():
        for number in numbers:
            begin = time.perf_counter()
            answer = await client.propose(claim(number), 20.0)
            if not isinstance(answer, outcome.Answered):
                raise RuntimeError(f"a command was answered {answer}")
            latencies.append(time.perf_counter() - begin)

    begin = time.perf_counter()
    await asyncio.gather(*(loop() for _ in range(concurrency)))
    return latencies, time.perf_counter() - begin


async def measure_commit(folder, module):
    """Return rate, p50 and p99 in ms by concurrency on three replicas."""
    fleet = fleets.Fleet(folder, states=3, entries=0, agents=0)
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    found = {}
    try:
        for index, name in enumerate(fleet.state_names):
            await fleet.init_state(name, index)
            process = fleet.process_by_name[name]
            process.arguments = (module, *process.arguments[1:])
            await process.start()
        client.start()
        await leaderloss.find_leader(fleet)
        await propose_all(client, 20, 1, 0)
        first = 1000
        for concurrency, count in COMMANDS_BY_CONCURRENCY.items():
            latencies, taken_s = await propose_all(client, count, concurrency, first)
            first += count
            p50, p99 = (load.quantile(latencies, q) * 1000 for q in (0.5, 0.99))
            found[concurrency] = (count / taken_s, p50, p99)
    finally:
        client.stop()
        await fleet.stop()
    return found


def fill_log(path):
    """Append the entries of claims to the log of a new data folder."""
    folder, stored = storage.open_folder(path, "state-1")
    try:
        first = stored.log.last_index + 1
        for start in range(0, ENTRIES, ENTRIES_PER_APPEND):
            entries = [
                raftmessages.LogEntry(
                    index=first + number,
                    term=stored.log.last_term,
                    kind="command",
                    body=commands.REGISTRY.dumps(claim(number)),
                )
                for number in range(start, start + ENTRIES_PER_APPEND)
            ]
            folder.append(entries)
        folder.sync()
    finally:
        folder.close()
    return first + ENTRIES - 1


async def time_start(fleet, name, index):
    """Start a replica; return the seconds until it leads and applied an index."""
    begin = time.monotonic()
    await fleet.process_by_name[name].start()
    while time.monotonic() - begin < RECOVERY_LIMIT_S:
        page = await leaderloss.status(fleet, name)
        if page.get("role") == "leader" and page["applied_index"] >= index:
            return time.monotonic() - begin, page["snapshot_index"]
        await asyncio.sleep(0.02)
    raise TimeoutError(f"no recovery within {RECOVERY_LIMIT_S} s")


async def measure_recovery(folder):
    """Return the lines of a replica's start from a log and from a snapshot."""
    fleet = fleets.Fleet(folder, states=1, entries=0, agents=0)
    name = fleet.state_names[0]
    try:
        await fleet.init_state(name, 0)
        empty_s, _ = await time_start(fleet, name, 0)
        await fleet.process_by_name[name].terminate()
        index = await asyncio.to_thread(fill_log, str(fleet.data_folder(name)))
        log_s, _ = await time_start(fleet, name, index)
        # Applying wrote snapshots; the last one must be on the disk before the stop.
        await asyncio.sleep(3.0)
        await fleet.process_by_name[name].terminate()
        snapshot_s, snapshot_index = await time_start(fleet, name, index)
        size = sum(
            path.stat().st_size
            for path in pathlib.Path(fleet.data_folder(name)).glob("snapshots/*")
        )
    finally:
        await fleet.stop()
    if snapshot_index < index - ENTRIES // 5:
        raise RuntimeError(f"the snapshot covers only {snapshot_index} of {index}")
    empty = f"{empty_s:.2f} s"
    left = index - snapshot_index
    return [
        (f"start until leading, log of {ENTRIES} entries", f"{log_s:.2f} s", empty),
        (
            f"start until leading, snapshot of {size / 1e6:.1f} MB, {left} entries",
            f"{snapshot_s:.2f} s",
            empty,
        ),
    ]


async def measure(folder):
    """Return all lines of the state."""
    folder = pathlib.Path(folder)
    alone = await measure_commit(folder / "single", "benchmarks.singlewrites")
    group = await measure_commit(folder / "group", "sardinegauge.state.stateapp")
    lines = []
    for concurrency, values in group.items():
        for text, unit, value, baseline in zip(
            ("rate", "p50", "p99"), ("/s", " ms", " ms"), values, alone[concurrency]
        ):
            what = f"durable commands, {concurrency} concurrent, {text}"
            lines.append((what, f"{value:.1f}{unit}", f"{baseline:.1f}{unit}"))
    lines.append(("(baseline: one fsync for each write, no group commit)",))
    lines += await measure_recovery(folder / "recovery")
    lines.append(("(baseline: start with an empty log)",))
    return lines
