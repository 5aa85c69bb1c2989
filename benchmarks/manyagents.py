"""Simulates many agents in one process, with real links to the leader.

Run as ``python -m benchmarks.manyagents --state ip:port --agents 50``. Each agent has
its own link to the leader, sends one heartbeat a second and reports every task that a
directive orders as running, with usage. One JSON line is printed at the end.
"""

import argparse
import asyncio
import json
import random

from sardinegauge import clock, outcome
from sardinegauge.links import messages, stateclient

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.9
# An agent reports changes at once, but waits this long between two heartbeats.
MIN_CHANGE_INTERVAL_S = 0.1
WORKERS_PER_RACK = 10


class SimulatedAgent:
    """The task table and the heartbeats of one agent."""

    def __init__(self, number, addresses, room):
        self.name = f"10.9.{number // 250}.{number % 250}:8080"
        self.number = number
        self.room = room
        hello = messages.Hello(role="agent", name=self.name, identity="i1")
        self.client = stateclient.StateClient(addresses, hello, self._apply_directive)
        self.report_by_task = {}
        self.sequence = 0
        self.answered_heartbeats = 0
        self._changed = asyncio.Event()

    def _apply_directive(self, directive):
        """Apply the complete task table of a reply or of a pushed directive."""
        if not isinstance(directive, messages.Directive):
            return
        new_report_by_task = {}
        for order in directive.tasks:
            report = self.report_by_task.get(order.task)
            if report is None or report.epoch != order.epoch:
                report = messages.TaskReport(
                    task=order.task, epoch=order.epoch, phase="running", throttle=1.0
                )
                self._changed.set()
            if order.action in ("stop", "evict", "checkpoint"):
                report.phase = "stopped"
            report.cores = order.cores * random.uniform(0.6, 0.9)
            report.memory_mb = int(order.memory_mb * 0.8)
            new_report_by_task[order.task] = report
        self.report_by_task = new_report_by_task

    def _build_heartbeat(self):
        self.sequence += 1
        return messages.Heartbeat(
            upstream=self.name,
            incarnation="i1",
            address=self.name,
            failure_domain=f"d{self.number % 9}",
            rack=f"r{self.number // WORKERS_PER_RACK}",
            services=["ordering"],
            room=self.room,
            sequence=self.sequence,
            tasks=list(self.report_by_task.values()),
            loads=[
                messages.ServiceLoad(
                    service="ordering", requests=200, p50_ms=8.0, p99_ms=20.0
                )
            ],
        )

    async def run(self, end_s):
        """Send heartbeats until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        self.client.start()
        await asyncio.sleep(random.random() * HEARTBEAT_INTERVAL_S)
        while loop.time() < end_s:
            begin_s = loop.time()
            self._changed.clear()
            answer = await self.client.heartbeat(
                self._build_heartbeat(), HEARTBEAT_TIMEOUT_S
            )
            if isinstance(answer, outcome.Answered):
                self.answered_heartbeats += 1
                self._apply_directive(answer.value)
            await self._wait_for_change(begin_s + HEARTBEAT_INTERVAL_S)

    async def _wait_for_change(self, due_s):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(MIN_CHANGE_INTERVAL_S)
        try:
            async with asyncio.timeout(max(due_s - loop.time(), 0.0)):
                await self._changed.wait()
        except TimeoutError:
            pass

    def link_bytes(self):
        """Return the bytes sent and received on the agent's links."""
        links = [d.link for d in self.client._dialers_by_address.values() if d.link]
        return [
            sum(link.bytes_sent for link in links),
            sum(link.bytes_received for link in links),
        ]


async def run(options):
    """Run all agents for the given time; return numbers of tasks and rates."""
    room = messages.Room(
        cores=16.0, memory_mb=60_000, tasks=options.slots, connections=64
    )
    addresses = options.state.split(",")
    agents = [
        SimulatedAgent(number, addresses, room) for number in range(options.agents)
    ]
    begin_ms = clock.monotonic_ms()
    end_s = asyncio.get_running_loop().time() + options.seconds
    await asyncio.gather(*(agent.run(end_s) for agent in agents))
    elapsed_s = (clock.monotonic_ms() - begin_ms) / 1000
    sent, received = (sum(pair) for pair in zip(*(a.link_bytes() for a in agents)))
    return {
        "agents": len(agents),
        "tasks": sum(len(agent.report_by_task) for agent in agents),
        "heartbeats_per_s": round(
            sum(a.answered_heartbeats for a in agents) / elapsed_s, 1
        ),
        "sent_b_per_s": round(sent / elapsed_s / len(agents)),
        "received_b_per_s": round(received / elapsed_s / len(agents)),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--state", required=True, help="Leader's address.")
    parser.add_argument("--agents", type=int, default=10)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=20.0)
    print(json.dumps(asyncio.run(run(parser.parse_args()))))


if __name__ == "__main__":
    main()
