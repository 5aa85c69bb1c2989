"""Injects faults drawn from a seed into a fleet."""

import asyncio
import random
import signal

from sardinegauge import clock, history
from tests.fleet import fleet as fleets

FAULT_PAUSE_RANGE_S = (1.0, 3.0)
FREEZE_RANGE_S = (0.5, 8.0)
# The upper bound exceeds the 6 s within which a configuration must be in force.
CUT_RANGE_S = (1.0, 12.0)
DOWNTIME_RANGE_S = (0.2, 4.0)
REPAIR_LIMIT_S = 30.0


class Injector:
    """Injects faults into a fleet, often two and at most two at the same time.

    At most one replica's data folder is lost at a time, and the next one only after
    the replica is repaired: the loss of a majority of the folders loses accepted state
    by definition.
    """

    def __init__(self, fleet, recorder, seed):
        self.fleet = fleet
        self.recorder = recorder
        self.random = random.Random(seed)
        self.is_over = False
        self.count_by_kind = {}
        self._busy_names = set()
        self._has_folder_loss = False

    async def run(self, duration_s):
        """Inject faults for `duration_s`, wait for their ends and remove all cuts."""
        end = asyncio.get_running_loop().time() + duration_s
        fault_tasks = set()
        while asyncio.get_running_loop().time() < end:
            fault = self.random.choice(self._faults())
            fault_tasks.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_RANGE_S))
            while len([task for task in fault_tasks if not task.done()]) >= 2:
                await asyncio.sleep(0.1)
        for result in await asyncio.gather(*fault_tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result
        self.fleet.cuts.heal()

    def _faults(self):
        return (
            self.kill_state,
            self.freeze_state,
            self.cut_state,
            self.lose_folder_twice,
            self.kill_entry,
            self.stop_entry,
            self.freeze_entry,
            self.cut_entry,
            self.kill_agent,
            self.kill_worker,
            self.freeze_agent,
            self.cut_agent,
            self.stop_agent,
            self.stop_state,
        )

    def _record(self, fault, target):
        self.count_by_kind[fault] = self.count_by_kind.get(fault, 0) + 1
        self.recorder.add(history.FaultInjected, fault=fault, target=target)

    def _choose_free(self, names):
        free = [name for name in names if name not in self._busy_names]
        return self.random.choice(free) if free else None

    async def _inject(self, names, fault, action):
        """Run an action on a process that no other fault holds at the moment."""
        name = self._choose_free(names)
        if name is None:
            return
        self._busy_names.add(name)
        try:
            self._record(fault, name)
            await action(name)
        finally:
            self._busy_names.discard(name)

    async def _sleep(self, range_s):
        await asyncio.sleep(self.random.uniform(*range_s))

    # Actions

    async def _kill(self, name):
        await self.fleet.process_by_name[name].kill()
        await self._sleep(DOWNTIME_RANGE_S)
        await self.fleet.restart(name)

    async def _freeze(self, name):
        process = self.fleet.process_by_name[name]
        process.signal(signal.SIGSTOP)
        await self._sleep(FREEZE_RANGE_S)
        process.signal(signal.SIGCONT)

    async def _cut(self, name):
        peers = self.random.choice((["*"], self.fleet.state_names))
        directions = self.random.choice(("in", "out", "both"))
        cuts = []
        for peer in peers:
            if directions in ("in", "both"):
                cuts.append((peer, name))
            if directions in ("out", "both"):
                cuts.append((name, peer))
        for cut in cuts:
            self.fleet.cuts.cut(*cut)
        await self._sleep(CUT_RANGE_S)
        for cut in cuts:
            self.fleet.cuts.restore(*cut)

    async def _stop(self, name):
        process = self.fleet.process_by_name[name]
        asked_ms = clock.monotonic_ms()
        status = await process.terminate()
        if status is not None:
            self.recorder.add(
                history.PlannedStop,
                at_ms=asked_ms,
                process=name,
                ended_ms=clock.monotonic_ms(),
            )
        else:
            self.recorder.add(history.StopFailed, process=name)
        await self._sleep(DOWNTIME_RANGE_S)
        await self.fleet.restart(name)

    # Faults

    async def kill_state(self):
        await self._inject(self.fleet.state_names, "kill-state", self._kill)

    async def freeze_state(self):
        await self._inject(self.fleet.state_names, "freeze-state", self._freeze)

    async def cut_state(self):
        await self._inject(self.fleet.state_names, "cut-state", self._cut)

    async def stop_state(self):
        await self._inject(self.fleet.state_names, "stop-state", self._stop)

    async def kill_entry(self):
        await self._inject(self.fleet.entry_names, "kill-entry", self._kill)

    async def freeze_entry(self):
        await self._inject(self.fleet.entry_names, "freeze-entry", self._freeze)

    async def cut_entry(self):
        await self._inject(self.fleet.entry_names, "cut-entry", self._cut)

    async def stop_entry(self):
        await self._inject(self.fleet.entry_names, "stop-entry", self._stop)

    async def kill_agent(self):
        await self._inject(self.fleet.agent_names, "kill-agent", self._kill)

    async def freeze_agent(self):
        await self._inject(self.fleet.agent_names, "freeze-agent", self._freeze)

    async def cut_agent(self):
        await self._inject(self.fleet.agent_names, "cut-agent", self._cut)

    async def stop_agent(self):
        async def stop(name):
            self.recorder.add(history.UpstreamLeaving, upstream=name)
            await self._stop(name)
            self.recorder.add(history.UpstreamReturned, upstream=name)

        await self._inject(self.fleet.agent_names, "stop-agent", stop)

    async def kill_worker(self):
        """Kill all processes of a VM: the agent and the upstream with its tasks."""

        async def kill(name):
            upstream = self.fleet.process_by_name[f"{name}-upstream"]
            await asyncio.gather(
                self.fleet.process_by_name[name].kill(), upstream.kill()
            )
            self.recorder.add(history.WorkerDied, worker=name)
            await self._sleep(DOWNTIME_RANGE_S)
            await upstream.start()
            await self.fleet.restart(name)

        await self._inject(self.fleet.agent_names, "kill-worker", kill)

    async def lose_folder_twice(self):
        """Remove a replica's data folder, and another one right after its repair."""
        if self._has_folder_loss:
            return
        self._has_folder_loss = True
        try:
            for _ in range(2):
                await self._inject(
                    self.fleet.state_names, "lose-folder", self._lose_folder
                )
        finally:
            self._has_folder_loss = False

    async def _lose_folder(self, name):
        old_identities = await self._roles_by_identity(name)
        await self.fleet.process_by_name[name].kill()
        self.fleet.remove_data_folder(name)
        await self._sleep(DOWNTIME_RANGE_S)
        await self.fleet.restart(name)

        async def is_repaired():
            roles = await self._roles_by_identity(name)
            new = [
                role
                for identity, role in roles.items()
                if identity not in old_identities
            ]
            return len(roles) == 1 and new not in ([], ["learner"])

        await fleets.wait_for(is_repaired, REPAIR_LIMIT_S, f"{name} to be repaired")

    async def _roles_by_identity(self, name):
        """Return the role of each member with a replica's name, by identity."""
        role_by_identity = {}

        async def is_listed():
            for entry in self.fleet.entry_names:
                _, reply = await self.fleet.call(entry, "ListMembers")
                members = [m for m in reply.get("members", []) if m["name"] == name]
                role_by_identity.update({m["identity"]: m["role"] for m in members})
                if members:
                    return True
            return False

        await fleets.wait_for(is_listed, REPAIR_LIMIT_S, f"{name} to be listed")
        return role_by_identity
