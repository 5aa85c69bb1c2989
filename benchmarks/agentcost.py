"""What a running agent costs, and what agents cost the leader and a follower."""

import asyncio
import json
import sys
import time

from benchmarks import leaderloss, requestbench
from sardinegauge import commands, outcome
from sardinegauge.links import link, messages, stateclient
from tests.fleet import fleet as fleets

WARM_S = 30.0
WINDOW_S = 10.0
TASKS = 8
# Without docstrings and debug ranges an agent could need less memory.
SMALL_OPTIONS = ("-OO", "-X", "no_debug_ranges")
# Numbers of agents and of tasks on each.
SLOPE_CASES = ((0, 0), (10, 8), (50, 8), (150, 0), (150, 8), (150, 16))
# Entries within the budget of 24 VMs; each keeps a link to each agent.
ENTRY_LINKS = 15
SETTLE_S = 8.0
# The stand-in's process takes this long to start its links.
START_S = 2.0


async def submit(client, number, count):
    """Submit one job of small long tasks."""
    answer = await client.propose(
        commands.SubmitJob(
            operator="ana",
            request_id=f"measure-{number}",
            name="sweep",
            tenant="irbid",
            task_count=count,
            cores=0.1,
            memory_mb=100,
            run_time_s=600.0,
            command='{"run_s": 600}',
        ),
        10.0,
    )
    if not isinstance(answer, outcome.Answered) or not answer.value.ids:
        raise RuntimeError(f"a job was answered {answer}")


async def watch(fleet, names, window_s):
    """Return share of a core and resident MB by process over a window."""
    pids = fleets.process_ids(fleet)
    before = {name: requestbench.cpu_seconds(pids[name]) for name in names}
    begin = time.monotonic()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - begin
    return {
        name: (
            (requestbench.cpu_seconds(pids[name]) - before[name]) / elapsed_s,
            requestbench.resident_mb(pids[name]),
        )
        for name in names
    }


async def measure_agent(folder):
    """Return the lines of two agents, idle and with 8 tasks.

    The first runs as the launcher starts it, the second without docstrings.
    """
    fleet = fleets.Fleet(folder, entries=1, agents=2, has_relays=True)
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    lines = []
    dialers = []
    try:
        await fleet.start()
        client.start()
        second = fleet.process_by_name[fleet.agent_names[1]]
        await second.terminate()
        second.options = SMALL_OPTIONS
        await second.start()
        for tasks in (0, TASKS):
            if tasks:
                await submit(client, 0, tasks * 2)
            await asyncio.sleep(WARM_S)
            lines += await agent_lines(fleet, tasks)
        dialers = dial_as_entries(fleet)
        await asyncio.sleep(START_S)
        lines += await agent_lines(fleet, TASKS, f", {ENTRY_LINKS} more entries")
    finally:
        for dialer in dialers:
            dialer.stop()
        client.stop()
        await fleet.stop()
    return lines


class SilentHandler(link.Handler):
    """Keeps a link that carries nothing but pings."""

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        exchange.close()


def dial_as_entries(fleet):
    """Open the links that entries would keep to the agents; return the dialers."""
    dialers = [
        link.Dialer(
            fleet.advertise_by_name[agent],
            SilentHandler(),
            messages.Hello(
                role="entry", name=f"measure-{number}", protocol=link.PROTOCOL
            ),
        )
        for agent in fleet.agent_names
        for number in range(ENTRY_LINKS)
    ]
    for dialer in dialers:
        dialer.start()
    return dialers


async def agent_lines(fleet, tasks, load=""):
    """Return the lines of the agents with a number of tasks each."""
    running = await running_tasks(fleet)
    if running != tasks * 2:
        raise RuntimeError(f"{running} of {tasks * 2} tasks run")
    entries = [f"measure-{number}" for number in range(ENTRY_LINKS)]
    peers = {*fleet.state_names, *fleet.entry_names, *entries}
    names = fleet.agent_names
    before = {name: fleet.relayed_bytes(name, peers) for name in names}
    cost_by_name = await watch(fleet, names, WINDOW_S)
    lines = []
    for name, kind in zip(names, ("agent", f"agent, {' '.join(SMALL_OPTIONS)}")):
        share, memory_mb = cost_by_name[name]
        after = fleet.relayed_bytes(name, peers)
        sent, received = (
            (b - a) / WINDOW_S / 1000 for a, b in zip(before[name], after)
        )
        head = f"{kind}, {tasks} tasks{load}"
        traffic = f"control traffic ({sent:.2f} sent, {received:.2f} received)"
        lines += [
            (f"{head}, share of a core", f"{share * 100:.2f} %", "", "1.4 %"),
            (f"{head}, resident memory", f"{memory_mb:.1f} MiB", "", "32 MB"),
            (f"{head}, {traffic}", f"{sent + received:.2f} KB/s", "", "10 KB/s"),
        ]
    return lines


async def running_tasks(fleet):
    """Return the number of tasks that run, by the operators' call."""
    _, reply = await fleet.call("entry-1", "ListJobs")
    jobs = [job["id"] for job in reply.get("jobs", [])]
    count = 0
    for id in jobs:
        _, reply = await fleet.call("entry-1", "GetJob", id=id)
        tasks = reply.get("job", reply).get("tasks", [])
        count += sum(task["state"] == "running" for task in tasks)
    return count


async def measure_slopes(folder):
    """Return the lines of leader and follower by number of agents."""
    lines = []
    for count, tasks in SLOPE_CASES:
        lines += await slope_lines(f"{folder}/{count}-{tasks}", count, tasks)
    return lines


async def slope_lines(folder, count, tasks):
    """Return the lines of one number of agents, each with a number of tasks."""
    fleet = fleets.Fleet(folder, states=3, entries=0, agents=0)
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    try:
        for index, name in enumerate(fleet.state_names):
            await fleet.init_state(name, index)
            await fleet.process_by_name[name].start()
        client.start()
        leader = await leaderloss.find_leader(fleet)
        follower = next(name for name in fleet.state_names if name != leader)
        child = await start_agents(fleet, leader, count, tasks) if count else None
        await asyncio.sleep(START_S)
        if tasks:
            await asyncio.gather(*(submit(client, n, tasks) for n in range(count)))
        await asyncio.sleep(SETTLE_S if count else START_S)
        found = await watch(fleet, [leader, follower], WINDOW_S)
        seen = json.loads((await child.communicate())[0]) if child else {}
    finally:
        client.stop()
        await fleet.stop()
    lines = []
    head = f"{count} agents, {seen.get('tasks', 0)} tasks"
    for role, name in (("leader", leader), ("follower", follower)):
        share, memory_mb = found[name]
        lines.append((f"{role}, {head}, share of a core", f"{share * 100:.2f} %"))
        lines.append((f"{role}, {head}, resident memory", f"{memory_mb:.1f} MiB"))
    if seen:
        lines.append((f"{head}, seen by the agents: {json.dumps(seen)}",))
    return lines


async def start_agents(fleet, leader, count, tasks):
    """Start the stand-in of many agents for the time of one measurement."""
    submit_s = count * 0.02
    seconds = START_S + submit_s + SETTLE_S + WINDOW_S + 2.0
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.manyagents",
        "--state",
        fleet.advertise_by_name[leader],
        "--agents",
        str(count),
        "--slots",
        str(tasks),
        "--seconds",
        str(seconds),
        cwd=fleets.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
