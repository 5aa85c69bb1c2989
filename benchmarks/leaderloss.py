"""Time without a leader after a kill, a freeze and a silent cut of the leader."""

import asyncio
import json
import signal
import time

from tests.fleet import fleet as fleets

RUNS = 3
LIMIT_S = 15.0
POLL_S = 0.01
LOAD_PAUSE_S = 0.01
SETTLE_S = 2.0


async def status(fleet, name):
    """Return the health page of a replica as a dict, empty without an answer."""
    reply = await fleet.fetch(name, "/health", request_timeout=0.5, connect_timeout=0.5)
    try:
        return json.loads(reply.body or b"{}")
    except ValueError:
        return {}


async def find_leader(fleet):
    """Return the name of the replica that leads in the highest term."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        pages = {name: await status(fleet, name) for name in fleet.state_names}
        leading = [n for n, page in pages.items() if page.get("role") == "leader"]
        if leading:
            return max(leading, key=lambda name: pages[name]["term"])
        await asyncio.sleep(0.1)
    raise TimeoutError("no replica leads")


class Load:
    """Sends interactive requests through both entries until stopped."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.is_over = False
        self.count_by_code = {}
        self.slowest_s = 0.0

    async def run(self, entry):
        while not self.is_over:
            begin = time.monotonic()
            reply = await self.fleet.fetch(entry, "/ordering/echo")
            self.count_by_code[reply.code] = self.count_by_code.get(reply.code, 0) + 1
            self.slowest_s = max(self.slowest_s, time.monotonic() - begin)
            await asyncio.sleep(LOAD_PAUSE_S)


async def wait_new_leader(fleet, old, begin):
    """Return the seconds from `begin` until another replica leads."""
    others = [name for name in fleet.state_names if name != old]
    while time.monotonic() - begin < LIMIT_S:
        pages = await asyncio.gather(*(status(fleet, name) for name in others))
        if any(page.get("role") == "leader" for page in pages):
            return time.monotonic() - begin
        await asyncio.sleep(POLL_S)
    raise TimeoutError("no new leader")


async def wait_read(fleet, begin):
    """Return the seconds from `begin` until an operator's read is answered."""
    while time.monotonic() - begin < LIMIT_S:
        code, _ = await fleet.call("entry-1", "GetConfiguration")
        if code == 200:
            return time.monotonic() - begin
    raise TimeoutError("no operator's read was answered")


async def lose(fleet, fault):
    """Bring one fault on the leader; return both times and the load's counts."""
    old = await find_leader(fleet)
    process = fleet.process_by_name[old]
    load = Load(fleet)
    users = [asyncio.ensure_future(load.run(name)) for name in fleet.entry_names]
    await asyncio.sleep(0.5)
    begin = time.monotonic()
    if fault == "kill":
        await process.kill()
    elif fault == "freeze":
        process.signal(signal.SIGSTOP)
    else:
        fleet.cuts.cut("*", old)
        fleet.cuts.cut(old, "*")
    try:
        times = await asyncio.gather(
            wait_new_leader(fleet, old, begin), wait_read(fleet, begin)
        )
        await asyncio.sleep(0.5)
    finally:
        load.is_over = True
        await asyncio.gather(*users)
        fleet.cuts.heal()
        process.signal(signal.SIGCONT)
    if fault == "kill":
        await fleet.restart(old)
    await asyncio.sleep(SETTLE_S)
    return times, load


async def measure(folder):
    """Return the lines of all faults."""
    fleet = fleets.Fleet(folder, entries=2, agents=3, has_relays=True)
    lines = []
    try:
        await fleet.start()
        for fault in ("kill", "freeze", "cut"):
            found = [await lose(fleet, fault) for _ in range(RUNS)]
            lines += fault_lines(fault, found)
    finally:
        await fleet.stop()
    return lines


def fault_lines(fault, found):
    """Return the lines of one fault."""
    head = f"leader lost by {fault}, {len(found)} runs"
    lines = []
    for position, what, target in (
        (0, "new leader after", "< 2 s"),
        (1, "operator's read answered after", ""),
    ):
        times = sorted(times[position] for times, _ in found)
        text = " ".join(f"{seconds:.2f}" for seconds in times)
        lines.append((f"{head}, {what}", f"{text} s", "", target))
    count = sum(sum(load.count_by_code.values()) for _, load in found)
    good = sum(load.count_by_code.get(200, 0) for _, load in found)
    lines.append((f"{head}, failed of {count} requests", f"{count - good}", "", "0"))
    slowest_ms = max(load.slowest_s for _, load in found) * 1000
    lines.append((f"{head}, slowest request", f"{slowest_ms:.0f} ms"))
    return lines
