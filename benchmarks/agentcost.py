"""Measures the usage of an agent, and of leader and follower by number of agents."""

import asyncio
import json
import sys
import time

from benchmarks import leaderloss, requestbench
from sardinegauge import commands, outcome
from sardinegauge.links import dialers, link, messages, stateclient
from tests.fleet import fleet as fleets

WARM_UP_S = 30.0
WINDOW_S = 10.0
TASKS_PER_AGENT = 8
# Interpreter options without docstrings and debug ranges, which may save memory.
REDUCED_MEMORY_OPTIONS = ("-OO", "-X", "no_debug_ranges")
# Pairs of a number of agents and the tasks on each.
SCALING_CASES = ((0, 0), (10, 8), (50, 8), (150, 0), (150, 8), (150, 16))
# Entries within the budget of 24 VMs; each entry keeps a link to every agent.
SIMULATED_ENTRIES = 15
SETTLE_S = 8.0
# Time until the simulated agents or entries have started their links.
LINK_STARTUP_S = 2.0


async def submit_job(client, number, count):
    """Submit a job of small tasks that run longer than the measurement."""
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
        raise RuntimeError(f"job submission failed: {answer}")


async def measure_usage(fleet, names, window_s):
    """Return the share of a core over a window, and resident MiB, by process."""
    pids = fleets.process_ids(fleet)
    before = {name: requestbench.cpu_seconds(pids[name]) for name in names}
    begin_s = time.monotonic()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - begin_s
    return {
        name: (
            (requestbench.cpu_seconds(pids[name]) - before[name]) / elapsed_s,
            requestbench.resident_mb(pids[name]),
        )
        for name in names
    }


async def measure_agent(folder):
    """Return the lines of two agents, idle and with 8 tasks each.

    The first runs with the options of the launcher, the second with
    `REDUCED_MEMORY_OPTIONS`.
    """
    fleet = fleets.Fleet(folder, entries=1, agents=2, has_relays=True)
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    lines = []
    dialers = []
    try:
        await fleet.start()
        client.start()
        reduced_agent = fleet.process_by_name[fleet.agent_names[1]]
        await reduced_agent.terminate()
        reduced_agent.options = REDUCED_MEMORY_OPTIONS
        await reduced_agent.start()
        for tasks in (0, TASKS_PER_AGENT):
            if tasks:
                await submit_job(client, 0, tasks * 2)
            await asyncio.sleep(WARM_UP_S)
            lines += await agent_lines(fleet, tasks)
        dialers = connect_simulated_entries(fleet)
        await asyncio.sleep(LINK_STARTUP_S)
        lines += await agent_lines(
            fleet, TASKS_PER_AGENT, f", {SIMULATED_ENTRIES} more entries"
        )
    finally:
        for dialer in dialers:
            dialer.stop()
        client.stop()
        await fleet.stop()
    return lines


class IdleHandler(link.Handler):
    """Ignores messages and closes exchanges, so that a link carries only pings."""

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        exchange.close()


def connect_simulated_entries(fleet):
    """Open the links that more entries would keep to the agents; return the dialers."""
    dialers = [
        dialers.Dialer(
            fleet.advertise_by_name[agent],
            IdleHandler(),
            messages.Hello(
                role="entry", name=f"measure-{number}", protocol=link.PROTOCOL
            ),
        )
        for agent in fleet.agent_names
        for number in range(SIMULATED_ENTRIES)
    ]
    for dialer in dialers:
        dialer.start()
    return dialers


async def agent_lines(fleet, tasks, load=""):
    """Return the lines of the agents, each with this number of tasks."""
    running = await count_running_tasks(fleet)
    if running != tasks * 2:
        raise RuntimeError(f"{running} tasks are running instead of {tasks * 2}")
    entries = [f"measure-{number}" for number in range(SIMULATED_ENTRIES)]
    peers = {*fleet.state_names, *fleet.entry_names, *entries}
    names = fleet.agent_names
    before = {name: fleet.relayed_bytes(name, peers) for name in names}
    usage_by_name = await measure_usage(fleet, names, WINDOW_S)
    lines = []
    for name, kind in zip(
        names, ("agent", f"agent, {' '.join(REDUCED_MEMORY_OPTIONS)}")
    ):
        share, memory_mb = usage_by_name[name]
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


async def count_running_tasks(fleet):
    """Return the number of running tasks that the operators' API reports."""
    _, reply = await fleet.call("entry-1", "ListJobs")
    job_ids = [job["id"] for job in reply.get("jobs", [])]
    count = 0
    for job_id in job_ids:
        _, reply = await fleet.call("entry-1", "GetJob", id=job_id)
        tasks = reply.get("job", reply).get("tasks", [])
        count += sum(task["state"] == "running" for task in tasks)
    return count


async def measure_scaling(folder):
    """Return the lines of leader and follower by number of agents."""
    lines = []
    for count, tasks in SCALING_CASES:
        lines += await scaling_lines(f"{folder}/{count}-{tasks}", count, tasks)
    return lines


async def scaling_lines(folder, count, tasks):
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
        child = (
            await start_simulated_agents(fleet, leader, count, tasks) if count else None
        )
        await asyncio.sleep(LINK_STARTUP_S)
        if tasks:
            await asyncio.gather(*(submit_job(client, n, tasks) for n in range(count)))
        await asyncio.sleep(SETTLE_S if count else LINK_STARTUP_S)
        replica_usage_by_name = await measure_usage(fleet, [leader, follower], WINDOW_S)
        agents_summary = json.loads((await child.communicate())[0]) if child else {}
    finally:
        client.stop()
        await fleet.stop()
    lines = []
    head = f"{count} agents, {agents_summary.get('tasks', 0)} tasks"
    for role, name in (("leader", leader), ("follower", follower)):
        share, memory_mb = replica_usage_by_name[name]
        lines.append((f"{role}, {head}, share of a core", f"{share * 100:.2f} %"))
        lines.append((f"{role}, {head}, resident memory", f"{memory_mb:.1f} MiB"))
    if agents_summary:
        lines.append((f"{head}, seen by the agents: {json.dumps(agents_summary)}",))
    return lines


async def start_simulated_agents(fleet, leader, count, tasks):
    """Start a process that simulates many agents for the time of one measurement."""
    submit_s = count * 0.02
    seconds = LINK_STARTUP_S + submit_s + SETTLE_S + WINDOW_S + 2.0
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
