"""Measures the time to a new leader after one is killed, frozen or partitioned."""

import asyncio
import json
import signal
import time

from tests.fleet import fleet as fleets

TRIALS = 3
TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.01
REQUEST_INTERVAL_S = 0.01
SETTLE_S = 2.0


async def fetch_health(fleet, name):
    """Return the health page of a replica as a dict, empty without a valid answer."""
    reply = await fleet.fetch(name, "/health", request_timeout=0.5, connect_timeout=0.5)
    try:
        return json.loads(reply.body or b"{}")
    except ValueError:
        return {}


async def find_leader(fleet):
    """Return the name of the replica that leads in the highest term."""
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        page_by_name = {
            name: await fetch_health(fleet, name) for name in fleet.state_names
        }
        leading = [
            n for n, page in page_by_name.items() if page.get("role") == "leader"
        ]
        if leading:
            return max(leading, key=lambda name: page_by_name[name]["term"])
        await asyncio.sleep(0.1)
    raise TimeoutError("no replica reported itself as leader in time")


class LoadGenerator:
    """Sends interactive requests through the entries until stopped."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.is_stopped = False
        self.count_by_code = {}
        self.slowest_s = 0.0

    async def run(self, entry):
        while not self.is_stopped:
            begin_s = time.monotonic()
            reply = await self.fleet.fetch(entry, "/ordering/echo")
            self.count_by_code[reply.code] = self.count_by_code.get(reply.code, 0) + 1
            self.slowest_s = max(self.slowest_s, time.monotonic() - begin_s)
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def wait_for_leader(fleet, old_leader, begin_s):
    """Return the seconds from `begin_s` until another replica leads."""
    others = [name for name in fleet.state_names if name != old_leader]
    while time.monotonic() - begin_s < TIMEOUT_S:
        pages = await asyncio.gather(*(fetch_health(fleet, name) for name in others))
        if any(page.get("role") == "leader" for page in pages):
            return time.monotonic() - begin_s
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError("no other replica became leader in time")


async def wait_for_read(fleet, begin_s):
    """Return the seconds from `begin_s` until an operator's read is answered."""
    while time.monotonic() - begin_s < TIMEOUT_S:
        code, _ = await fleet.call("entry-1", "GetConfiguration")
        if code == 200:
            return time.monotonic() - begin_s
    raise TimeoutError("no operator's read was answered in time")


async def inject_fault(fleet, fault):
    """Inject one fault into the leader; return both wait times in s and the load."""
    old_leader = await find_leader(fleet)
    process = fleet.process_by_name[old_leader]
    load = LoadGenerator(fleet)
    requesters = [asyncio.ensure_future(load.run(name)) for name in fleet.entry_names]
    await asyncio.sleep(0.5)
    begin_s = time.monotonic()
    if fault == "kill":
        await process.kill()
    elif fault == "freeze":
        process.signal(signal.SIGSTOP)
    else:
        fleet.cuts.cut("*", old_leader)
        fleet.cuts.cut(old_leader, "*")
    try:
        times_s = await asyncio.gather(
            wait_for_leader(fleet, old_leader, begin_s), wait_for_read(fleet, begin_s)
        )
        await asyncio.sleep(0.5)
    finally:
        load.is_stopped = True
        await asyncio.gather(*requesters)
        fleet.cuts.heal()
        process.signal(signal.SIGCONT)
    if fault == "kill":
        await fleet.restart(old_leader)
    await asyncio.sleep(SETTLE_S)
    return times_s, load


async def measure(folder):
    """Return the table lines of all faults."""
    fleet = fleets.Fleet(folder, entries=2, agents=3, has_relays=True)
    lines = []
    try:
        await fleet.start()
        for fault in ("kill", "freeze", "cut"):
            trials = [await inject_fault(fleet, fault) for _ in range(TRIALS)]
            lines += fault_lines(fault, trials)
    finally:
        await fleet.stop()
    return lines


def fault_lines(fault, trials):
    """Return the table lines of one fault."""
    head = f"leader lost by {fault}, {len(trials)} runs"
    lines = []
    for position, quantity, target in (
        (0, "new leader after", "< 2 s"),
        (1, "operator's read answered after", ""),
    ):
        sorted_s = sorted(times_s[position] for times_s, _ in trials)
        text = " ".join(f"{seconds:.2f}" for seconds in sorted_s)
        lines.append((f"{head}, {quantity}", f"{text} s", "", target))
    request_count = sum(sum(load.count_by_code.values()) for _, load in trials)
    succeeded = sum(load.count_by_code.get(200, 0) for _, load in trials)
    lines.append(
        (
            f"{head}, failed of {request_count} requests",
            f"{request_count - succeeded}",
            "",
            "0",
        )
    )
    slowest_ms = max(load.slowest_s for _, load in trials) * 1000
    lines.append((f"{head}, slowest request", f"{slowest_ms:.0f} ms"))
    return lines
