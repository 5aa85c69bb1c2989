"""What a running agent costs, and what agents cost the leader and a follower."""

import asyncio
import json
import sys
import time

from sardinegauge import commands, messages, outcome, stateclient
from tests.fleet import fleet as fleets
from tests.fleet import leaderloss, requestbench

WARM_S = 30.0
WINDOW_S = 10.0
TASKS = 8
AGENT_COUNTS = (0, 10, 50, 150)
SETTLE_S = 12.0
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
    """Return the lines of one agent, idle and with 8 tasks."""
    fleet = fleets.Fleet(folder, entries=1, agents=1, has_relays=True)
    agent = fleet.agent_names[0]
    hello = messages.Hello(role="entry", name="measure")
    client = stateclient.StateClient(fleet.state_addresses, hello)
    lines = []
    try:
        await fleet.start()
        client.start()
        for tasks in (0, TASKS):
            if tasks:
                await submit(client, 0, tasks)
            await asyncio.sleep(WARM_S)
            lines += await agent_lines(fleet, agent, tasks)
    finally:
        client.stop()
        await fleet.stop()
    return lines


async def agent_lines(fleet, agent, tasks):
    """Return the lines of the agent with a number of tasks."""
    running = await running_tasks(fleet)
    if running != tasks:
        raise RuntimeError(f"{running} of {tasks} tasks run")
    peers = set(fleet.state_names)
    before = fleet.relayed_bytes(agent, peers)
    share, memory_mb = (await watch(fleet, [agent], WINDOW_S))[agent]
    after = fleet.relayed_bytes(agent, peers)
    sent, received = ((b - a) / WINDOW_S / 1000 for a, b in zip(before, after))
    head = f"agent with {tasks} tasks"
    return [
        (f"{head}, share of a core", f"{share * 100:.2f} %", "", "1.4 %"),
        (f"{head}, resident memory", f"{memory_mb:.1f} MB", "", "32 MB"),
        (
            f"{head}, control traffic (sent {sent:.2f}, received {received:.2f})",
            f"{sent + received:.2f} KB/s",
            "",
            "10 KB/s",
        ),
    ]


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
    for count in AGENT_COUNTS:
        lines += await slope_lines(f"{folder}/{count}", count)
    return lines


async def slope_lines(folder, count):
    """Return the lines of one number of agents, each with 8 tasks."""
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
        child = await start_agents(fleet, leader, count) if count else None
        await asyncio.sleep(START_S)
        for number in range(count):
            await submit(client, number, TASKS)
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
        lines.append((f"{role}, {head}, resident memory", f"{memory_mb:.1f} MB"))
    if seen:
        lines.append((f"{head}, seen by the agents: {json.dumps(seen)}",))
    return lines


async def start_agents(fleet, leader, count):
    """Start the stand-in of many agents for the time of one measurement."""
    submit_s = count * 0.05
    seconds = START_S + submit_s + SETTLE_S + WINDOW_S + 3.0
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.fleet.manyagents",
        "--state",
        fleet.advertise_by_name[leader],
        "--agents",
        str(count),
        "--seconds",
        str(seconds),
        cwd=fleets.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
