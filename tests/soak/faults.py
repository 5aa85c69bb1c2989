"""Injects faults drawn from a seed, one after the other and overlapping."""

import asyncio
import collections
import shutil
import signal
import time

FAULT_PAUSE_RANGE_S = (0.3, 2.0)
DOWNTIME_RANGE_S = (0.2, 4.0)
SUSPENSION_RANGE_S = (0.5, 7.0)
DISTURBANCE_RANGE_S = (0.5, 5.0)


class FaultInjector:
    """Injects faults into a fleet.

    A process, minion or proxy has at most one fault at a time, besides unanswered
    starts. Every attribute whose name begins with ``fault_`` is a kind of fault; a seed
    draws from them in the order of their names, so it reproduces its faults only while
    this order stays.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.random = rng
        self.count_by_kind = collections.Counter()
        self.busy_targets = set()
        self.running_tasks = set()

    async def run(self, until_s):
        kinds = [getattr(self, name) for name in dir(self) if name.startswith("fault_")]
        while time.monotonic() < until_s:
            kind = self.random.choice(kinds)
            self.running_tasks.add(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_RANGE_S))
        await asyncio.gather(*self.running_tasks)

    async def _inject(self, kind, target, action, *arguments):
        """Run an action on a target, unless a fault already holds the target."""
        if target in self.busy_targets:
            return
        self.busy_targets.add(target)
        self.count_by_kind[kind] += 1
        try:
            await action(target, *arguments)
        finally:
            self.busy_targets.discard(target)

    def _choose_process(self, *roles):
        """Return the role and address of a process, of any role without `roles`."""
        candidates = [
            *(("core", ip) for ip in self.fleet.core_ips),
            ("front", self.fleet.front_ip),
            *(("side", ip) for ip in self.fleet.side_ips),
        ]
        return self.random.choice([c for c in candidates if not roles or c[0] in roles])

    async def _sleep(self, range_s):
        await asyncio.sleep(self.random.uniform(*range_s))

    async def fault_kill(self):
        await self._inject(
            "kill", self._choose_process(), self._restart, signal.SIGKILL
        )

    async def fault_stop(self):
        await self._inject(
            "stop", self._choose_process(), self._restart, signal.SIGTERM
        )

    async def _restart(self, target, signal_number):
        process = self.fleet.processes[target]
        process.send_signal(signal_number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await self._sleep(DOWNTIME_RANGE_S)
        self.fleet.start(*target, bootstrap=False)

    async def fault_pause(self):
        await self._inject("pause", self._choose_process(), self._suspend)

    async def _suspend(self, target):
        process = self.fleet.processes[target]
        process.send_signal(signal.SIGSTOP)
        await self._sleep(SUSPENSION_RANGE_S)
        process.send_signal(signal.SIGCONT)

    async def fault_kill_all_cores(self):
        targets = [("core", ip) for ip in self.fleet.core_ips]
        if self.random.random() < 0.7 or self.busy_targets & set(targets):
            return
        await asyncio.gather(
            *(
                self._inject("kill all", t, self._restart, signal.SIGKILL)
                for t in targets
            )
        )

    async def fault_lose_disk(self):
        # The deployment tolerates the loss of one disk, so no other fault holds a core
        # until the core that lost its disk is a voter again.
        if self.random.random() < 0.5 or any(t[0] == "core" for t in self.busy_targets):
            return
        targets = {("core", ip) for ip in self.fleet.core_ips}
        target = self._choose_process("core")
        self.busy_targets |= targets
        try:
            self.count_by_kind["lose disk"] += 1
            process = self.fleet.processes[target]
            process.kill()
            while process.poll() is None:
                await asyncio.sleep(0.05)
            shutil.rmtree(self.fleet.path / f"{target[1]}-data")
            self.fleet.start(*target, bootstrap=False)
            await self.fleet.until(lambda: self._has_rejoined(target[1]))
        finally:
            self.busy_targets -= targets

    async def _has_rejoined(self, ip):
        """Tell from a core's log whether its new identity belongs to three voters."""
        lines = (self.fleet.path / f"core-{ip}.log").read_text().splitlines()
        opened_line = max(
            n for n, line in enumerate(lines) if "'data_folder_opened'" in line
        )
        identity = lines[opened_line].partition("identity='")[2].partition("'")[0]
        changes = [line for line in lines[opened_line:] if "'members_changed'" in line]
        return bool(changes) and identity in changes[-1] and "voters=3" in changes[-1]

    async def fault_crash_minion(self):
        ip = self.random.choice(self.fleet.side_ips)
        await self._inject("crash minion", ("minion", ip), self._replace_minion)

    async def _replace_minion(self, target):
        _, ip = target
        minion = self.fleet.crash_minion(ip)
        await self._sleep(DOWNTIME_RANGE_S)
        is_same_id = self.random.random() < 0.5
        worker_id = minion.id if is_same_id else f"i-{self.random.getrandbits(32):08x}"
        self.fleet.start_checked_minion(ip, worker_id)

    async def fault_unanswered_start(self):
        minion = self.fleet.minion_by_ip.get(self.random.choice(self.fleet.side_ips))
        if minion is not None:
            self.count_by_kind["unanswered start"] += 1
            minion.unanswered_starts += 1

    async def fault_disturb_connections(self):
        ip = self.random.choice(self.fleet.side_ips)
        mode = self.random.choice(["slow", "silent", "there", "back", "reset"])
        await self._inject(mode, ("proxy", ip), self._disturb, mode)

    async def _disturb(self, target, mode):
        proxy = self.fleet.proxy_by_ip[target[1]]
        if mode == "reset":
            proxy.reset()
            return
        proxy.mode = mode
        await self._sleep(DISTURBANCE_RANGE_S)
        proxy.mode = ""
