"""Measures durable commands, and the start of a replica from log or snapshot."""

import asyncio
import pathlib
import time

from benchmarks import leaderloss, load
from sardinegauge import commands, outcome
from sardinegauge.agreement import raftmessages, storage
from sardinegauge.links import messages, stateclient
from tests.fleet import fleet as fleets

COMMANDS_BY_CONCURRENCY = {1: 100, 64: 1500}
LOG_ENTRIES = 100_000
RECOVERY_TIMEOUT_S = 120.0
ENTRIES_PER_APPEND = 1000


def build_claim(number):
    """Return a command that claims a unique idempotency key."""
    return commands.MakeClaim(
        tenant="karri",
        key=f"key-{number}",
        digest="0" * 64,
        upstream="10.0.0.1:8080",
        incarnation="i1",
        entry="entry-1",
    )


async def propose_commands(client, count, concurrency, first_number):
    """Propose commands in a closed loop; return latencies and elapsed time, in s."""
    numbers = iter(range(first_number, first_number + count))
    latencies_s = []

    async def loop():
        for number in numbers:
            begin_s = time.perf_counter()
            answer = await client.propose(build_claim(number), 20.0)
            if not isinstance(answer, outcome.Answered):
                raise RuntimeError(f"command failed: {answer}")
            latencies_s.append(time.perf_counter() - begin_s)

    begin_s = time.perf_counter()
    await asyncio.gather(*(loop() for _ in range(concurrency)))
    return latencies_s, time.perf_counter() - begin_s


async def measure_commit(folder, module):
    """Return rate per s, and p50 and p99 in ms, by concurrency on three replicas.

    `module` is the module that the replicas run.
    """
    fleet = fleets.Fleet(folder, states=3, entries=0, agents=0)
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    figures_by_concurrency = {}
    try:
        for index, name in enumerate(fleet.state_names):
            await fleet.init_state(name, index)
            process = fleet.process_by_name[name]
            process.arguments = (module, *process.arguments[1:])
            await process.start()
        client.start()
        await leaderloss.find_leader(fleet)
        await propose_commands(client, 20, 1, 0)
        first_number = 1000
        for concurrency, count in COMMANDS_BY_CONCURRENCY.items():
            latencies_s, elapsed_s = await propose_commands(
                client, count, concurrency, first_number
            )
            first_number += count
            p50, p99 = (load.quantile(latencies_s, q) * 1000 for q in (0.5, 0.99))
            figures_by_concurrency[concurrency] = (count / elapsed_s, p50, p99)
    finally:
        client.stop()
        await fleet.stop()
    return figures_by_concurrency


def fill_log(path):
    """Append entries of claims to the log of a data folder; return the last index."""
    folder, stored = storage.open_folder(path, "state-1")
    try:
        first_index = stored.log.last_index + 1
        for start in range(0, LOG_ENTRIES, ENTRIES_PER_APPEND):
            entries = [
                raftmessages.LogEntry(
                    index=first_index + number,
                    term=stored.log.last_term,
                    kind="command",
                    body=commands.REGISTRY.dumps(build_claim(number)),
                )
                for number in range(start, start + ENTRIES_PER_APPEND)
            ]
            folder.append(entries)
        folder.sync()
    finally:
        folder.close()
    return first_index + LOG_ENTRIES - 1


async def measure_startup(fleet, name, index):
    """Start a replica; return the seconds until it leads and has applied an index.

    The second value is the index of its snapshot.
    """
    begin_s = time.monotonic()
    await fleet.process_by_name[name].start()
    while time.monotonic() - begin_s < RECOVERY_TIMEOUT_S:
        page = await leaderloss.fetch_health(fleet, name)
        if page.get("role") == "leader" and page["applied_index"] >= index:
            return time.monotonic() - begin_s, page["snapshot_index"]
        await asyncio.sleep(0.02)
    raise TimeoutError(f"replica did not recover within {RECOVERY_TIMEOUT_S} s")


async def measure_recovery(folder):
    """Return the table lines of a replica's start from a log and from a snapshot."""
    fleet = fleets.Fleet(folder, states=1, entries=0, agents=0)
    name = fleet.state_names[0]
    try:
        await fleet.init_state(name, 0)
        empty_s, _ = await measure_startup(fleet, name, 0)
        await fleet.process_by_name[name].terminate()
        index = await asyncio.to_thread(fill_log, str(fleet.data_folder(name)))
        log_s, _ = await measure_startup(fleet, name, index)
        # The replica wrote snapshots while it applied the log. The last one has to be
        # on disk before the replica stops.
        await asyncio.sleep(3.0)
        await fleet.process_by_name[name].terminate()
        snapshot_s, snapshot_index = await measure_startup(fleet, name, index)
        size = sum(
            path.stat().st_size
            for path in pathlib.Path(fleet.data_folder(name)).glob("snapshots/*")
        )
    finally:
        await fleet.stop()
    if snapshot_index < index - LOG_ENTRIES // 5:
        raise RuntimeError(
            f"the snapshot covers only index {snapshot_index} of {index}"
        )
    empty = f"{empty_s:.2f} s"
    left = index - snapshot_index
    return [
        (f"start until leading, log of {LOG_ENTRIES} entries", f"{log_s:.2f} s", empty),
        (
            f"start until leading, snapshot of {size / 1e6:.1f} MB, {left} entries",
            f"{snapshot_s:.2f} s",
            empty,
        ),
    ]


async def measure(folder):
    """Return the table lines of the state replicas."""
    folder = pathlib.Path(folder)
    unbatched = await measure_commit(folder / "single", "benchmarks.singlewrites")
    batched = await measure_commit(folder / "group", "sardinegauge.state.statecommand")
    lines = []
    for concurrency, values in batched.items():
        for text, unit, value, baseline in zip(
            ("rate", "p50", "p99"), ("/s", " ms", " ms"), values, unbatched[concurrency]
        ):
            label = f"durable commands, {concurrency} concurrent, {text}"
            lines.append((label, f"{value:.1f}{unit}", f"{baseline:.1f}{unit}"))
    lines.append(("(baseline: one fsync for each write, no group commit)",))
    lines += await measure_recovery(folder / "recovery")
    lines.append(("(baseline: start with an empty log)",))
    return lines
