"""Faults of all kinds, drawn from a seed, in series and overlapping."""

import asyncio
import collections
import shutil
import signal
import time

FAULT_PAUSE_S = (0.3, 2.0)
DOWN_S = (0.2, 4.0)
PAUSED_S = (0.5, 7.0)
HARMED_S = (0.5, 5.0)


class Faults:
    """Brings faults of all kinds, in series and overlapping."""

    def __init__(self, fleet, rand):
        self.fleet = fleet
        self.random = rand
        self.counts = collections.Counter()
        self.busy = set()
        self.tasks = set()

    async def run(self, until_s):
        kinds = [getattr(self, name) for name in dir(self) if name.startswith("fault_")]
        while time.monotonic() < until_s:
            kind = self.random.choice(kinds)
            self.tasks.add(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*self.tasks)

    async def _with(self, kind, target, action, *arguments):
        if target in self.busy:
            return
        self.busy.add(target)
        self.counts[kind] += 1
        try:
            await action(target, *arguments)
        finally:
            self.busy.discard(target)

    def _pick(self, *roles):
        chosen = [
            *(("core", ip) for ip in self.fleet.core_ips),
            ("front", self.fleet.front_ip),
            *(("side", ip) for ip in self.fleet.side_ips),
        ]
        return self.random.choice([c for c in chosen if not roles or c[0] in roles])

    async def _pause(self, bounds):
        await asyncio.sleep(self.random.uniform(*bounds))

    async def fault_kill(self):
        await self._with("kill", self._pick(), self._restart, signal.SIGKILL)

    async def fault_stop(self):
        await self._with("stop", self._pick(), self._restart, signal.SIGTERM)

    async def _restart(self, target, number):
        process = self.fleet.processes[target]
        process.send_signal(number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await self._pause(DOWN_S)
        self.fleet.start(*target, bootstrap=False)

    async def fault_pause(self):
        await self._with("pause", self._pick(), self._freeze)

    async def _freeze(self, target):
        process = self.fleet.processes[target]
        process.send_signal(signal.SIGSTOP)
        await self._pause(PAUSED_S)
        process.send_signal(signal.SIGCONT)

    async def fault_kill_all_cores(self):
        targets = [("core", ip) for ip in self.fleet.core_ips]
        if self.random.random() < 0.7 or self.busy & set(targets):
            return
        await asyncio.gather(
            *(self._with("kill all", t, self._restart, signal.SIGKILL) for t in targets)
        )

    async def fault_lose_disk(self):
        # One at a time: the deployment bears the loss of one.
        if self.random.random() < 0.5 or any(t[0] == "core" for t in self.busy):
            return
        targets = {("core", ip) for ip in self.fleet.core_ips}
        target = self._pick("core")
        self.busy |= targets
        try:
            self.counts["lose disk"] += 1
            process = self.fleet.processes[target]
            process.kill()
            while process.poll() is None:
                await asyncio.sleep(0.05)
            shutil.rmtree(self.fleet.path / f"{target[1]}-data")
            self.fleet.start(*target, bootstrap=False)
            await self.fleet.wait_until(lambda: self._is_joined(target[1]))
        finally:
            self.busy -= targets

    async def _is_joined(self, ip):
        lines = (self.fleet.path / f"core-{ip}.log").read_text().splitlines()
        begun = max(n for n, line in enumerate(lines) if "'data_folder_opened'" in line)
        own = lines[begun].partition("identity='")[2].partition("'")[0]
        changes = [line for line in lines[begun:] if "'members_changed'" in line]
        return bool(changes) and own in changes[-1] and "voters=3" in changes[-1]

    async def fault_crash_minion(self):
        ip = self.random.choice(self.fleet.side_ips)
        await self._with("crash minion", ("minion", ip), self._reborn)

    async def _reborn(self, target):
        _, ip = target
        minion = self.fleet.crash(ip)
        await self._pause(DOWN_S)
        is_same = self.random.random() < 0.5
        worker_id = minion.id if is_same else f"i-{self.random.getrandbits(32):08x}"
        self.fleet.bear(ip, worker_id)

    async def fault_unanswered_start(self):
        minion = self.fleet.minion_by_ip.get(self.random.choice(self.fleet.side_ips))
        if minion is not None:
            self.counts["unanswered start"] += 1
            minion.unanswered_starts += 1

    async def fault_harm_connections(self):
        ip = self.random.choice(self.fleet.side_ips)
        mode = self.random.choice(["slow", "silent", "there", "back", "reset"])
        await self._with(mode, ("proxy", ip), self._harm, mode)

    async def _harm(self, target, mode):
        proxy = self.fleet.proxy_by_ip[target[1]]
        if mode == "reset":
            proxy.reset()
            return
        proxy.mode = mode
        await self._pause(HARMED_S)
        proxy.mode = ""
