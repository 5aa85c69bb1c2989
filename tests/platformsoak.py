"""``make soak SEED=n``: the platform's roles as real processes under faults.

    python -m tests.platformsoak [--seed N] [--seconds S] [--seeds COUNT]

Faults come from outside: signals stop, pause, kill and restart processes, disks are
emptied, minions crash and come back under their id, and a loopback proxy between each
agent and its minion delays, resets, silences or cuts connections one way. The promises
are checked from what clients and minions see.
"""

import argparse
import asyncio
import collections
import functools
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

from tornado import httpserver, web

from tests import platformkit

SIDES = 2
FAULT_PAUSE_S = (0.3, 2.0)
DOWN_S = (0.2, 4.0)
PAUSED_S = (0.5, 7.0)
HARMED_S = (0.5, 5.0)
SUBMIT_PAUSE_S = (0.1, 0.6)
SETTLE_LIMIT_S = 60.0
# After its acknowledgement no start may follow a cancel by more.
CANCEL_LIMIT_S = 3.0
DELAY_S = 0.4


class Checker:
    """What clients and minions have seen, and which promises that breaks."""

    def __init__(self):
        self.violations = []
        self.running = {}
        self.done = set()
        self.accepted = set()
        self.refused = set()
        self.offered = set()
        self.cancelled_s = {}
        self.starts = 0

    def report(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def on_start(self, minion, key):
        self.starts += 1
        task = key[0]
        job = task.partition(".")[0]
        holder = self.running.get(task)
        if holder is not None:
            self.report("TWICE", f"{key} on {minion.id}, beside {holder}")
        if task in self.done:
            self.report("TWICE", f"{key} on {minion.id} after its end was seen")
        if job in self.refused and job not in self.accepted:
            self.report("REFUSED", f"{key} though every attempt was refused")
        if job not in self.offered:
            self.report("UNASKED", f"{key}")
        cancelled_s = self.cancelled_s.get(job)
        if cancelled_s and time.monotonic() - cancelled_s > CANCEL_LIMIT_S:
            self.report("UNASKED", f"{key} {CANCEL_LIMIT_S} s after its cancel")
        self.running[task] = (minion.id, minion.born, key[1])

    def on_end(self, minion, key):
        if self.running.get(key[0]) == (minion.id, minion.born, key[1]):
            del self.running[key[0]]

    def on_crash(self, minion):
        for task, holder in list(self.running.items()):
            if holder[:2] == (minion.id, minion.born):
                del self.running[task]


class CheckedMinion(platformkit.Minion):
    """A minion that tells the checker what begins and ends on it."""

    def __init__(self, checker, *arguments):
        super().__init__(*arguments)
        self.checker = checker
        self.seen_end = 0

    def begin(self, key):
        super().begin(key)
        self.checker.on_start(self, key)

    def end(self, key, how):
        super().end(key, how)
        self.checker.on_end(self, key)

    def see(self, seen_end):
        for row in self.ended:
            if self.seen_end < row[0] <= seen_end and row[3] == "done":
                self.checker.done.add(row[1])
        self.seen_end = max(self.seen_end, seen_end)


class Proxy:
    """Relays bytes to a minion; `mode` says what becomes of them."""

    def __init__(self, target):
        self.host, self.port = target.split(":")
        self.mode = ""
        self.server = None
        self.writers = set()

    async def start(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, "there")),
            asyncio.ensure_future(self._pump(far_reader, writer, "back")),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            for pump in pumps:
                pump.cancel()
            for open_writer in (writer, far_writer):
                open_writer.close()
                self.writers.discard(open_writer)

    async def _pump(self, reader, writer, way):
        is_silent = False
        try:
            while data := await reader.read(65536):
                # Later bytes would corrupt the stream after some were dropped.
                is_silent = is_silent or self.mode in ("silent", way)
                if self.mode == "slow":
                    await asyncio.sleep(DELAY_S)
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return


class Fleet(platformkit.Platform):
    """A deployment with several agents, each beside a minion behind a proxy."""

    def __init__(self, path, checker):
        super().__init__(path)
        self.checker = checker
        network = self.side_ip.rpartition(".")[0]
        self.side_ips = [f"{network}.{21 + n}" for n in range(SIDES)]
        self.proxy_port = self.ports.take()
        self.minion_by_ip = {}
        self.proxy_by_ip = {}
        self.born = 1000
        self.beats = set()

    async def start_fleet(self):
        for ip in self.core_ips:
            self.start("core", ip)
        self.start("front", self.front_ip)
        for number, ip in enumerate(self.side_ips):
            self.start("side", ip)
            self.bear(ip, f"i-{number}")
            self.proxy_by_ip[ip] = Proxy(f"{ip}:{self.minion_port}")
            await self.proxy_by_ip[ip].start(f"{ip}:{self.proxy_port}")

    def bear(self, ip, worker_id):
        """Start a minion's process, which knows nothing of an earlier life."""
        self.born += 100
        minion = CheckedMinion(
            self.checker, worker_id, f"{ip}:{self.proxy_port}", self.born
        )
        routes = [(r"/api/(.*)", CheckedHandler, {"minion": minion})]
        minion.server = httpserver.HTTPServer(
            web.Application(routes, log_function=lambda handler: None)
        )
        minion.server.listen(self.minion_port, ip)
        self.minion_by_ip[ip] = minion

    def crash(self, ip):
        minion = self.minion_by_ip.pop(ip)
        self.checker.on_crash(minion)
        minion.is_gone = True
        minion.running = {}
        minion.stop()
        self.proxy_by_ip[ip].reset()
        return minion

    async def beat_all(self):
        """Send heartbeats of all minions, and end what is over, until cancelled."""
        while True:
            for ip, minion in list(self.minion_by_ip.items()):
                minion.update()
                url = f"http://{ip}:{self.control_port}/api/instances/{minion.id}"
                beat = self.call("PUT", url, minion.heartbeat(), timeout_s=1)
                self.beats.add(asyncio.ensure_future(beat))
            await asyncio.sleep(0.2)
            self.beats = {beat for beat in self.beats if not beat.done()}

    def stop_fleet(self):
        for proxy in self.proxy_by_ip.values():
            proxy.stop()
        for minion in self.minion_by_ip.values():
            minion.stop()
        self.stop_all()
        self.client.close()


class CheckedHandler(platformkit.MinionHandler):
    """A minion's calls, with starts and seen ends told to the checker."""

    async def post(self, call):
        if getattr(self.minion, "is_gone", False):
            self.request.connection.close()
            return
        await super().post(call)

    async def hold(self, body):
        self.minion.see(body["last_seen"])
        await super().hold(body)


class Clients:
    """Submits, asks for and cancels jobs, and keeps what was answered."""

    def __init__(self, fleet, checker, rand):
        self.fleet = fleet
        self.checker = checker
        self.random = rand
        self.statuses = collections.Counter()
        self.version = 1
        self.tasks = set()

    async def run(self, until_s):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            job = f"{self.random.getrandbits(64):016x}"
            self.tasks.add(asyncio.ensure_future(self._job(job)))
            if number % 10 == 0:
                self.tasks.add(asyncio.ensure_future(self._configure()))
            await asyncio.sleep(self.random.uniform(*SUBMIT_PAUSE_S))
        await asyncio.gather(*self.tasks)

    async def _job(self, job):
        self.checker.offered.add(job)
        work_ms = self.random.randint(50, 3000)
        count = self.random.randint(1, 4)
        is_cancelled = self.random.random() < 0.15
        statuses = set()
        while True:
            status = await self.fleet.submit(job, work_ms, count=count)
            self.statuses[status] += 1
            statuses.add(status)
            if status == 200:
                self.checker.accepted.add(job)
                break
            if statuses <= {429, 503} and self.random.random() < 0.3:
                # Given up, and every attempt was told that the job never runs.
                self.checker.refused.add(job)
                return
            await asyncio.sleep(0.3)
        if is_cancelled:
            await asyncio.sleep(self.random.uniform(0, 1.5))
            while (await self.fleet.front("DELETE", f"/q/{job}"))[0] not in (200, 410):
                await asyncio.sleep(0.2)
            self.checker.cancelled_s[job] = time.monotonic()

    async def _configure(self):
        self.version += self.random.randint(1, 3)
        document = self.fleet.document(self.version)
        ip = self.random.choice(self.fleet.core_ips)
        while (await self.fleet.config("PUT", document, ip=ip))[0] != 200:
            ip = self.random.choice(self.fleet.core_ips)
            await asyncio.sleep(0.3)


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
            await self.fleet.until(lambda: self._is_joined(target[1]))
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


async def play(path, seed, seconds):
    """Play one seed; return the checker, the faults by kind and the answers."""
    rand = random.Random(seed)
    checker = Checker()
    fleet = Fleet(pathlib.Path(path), checker)
    beats = None
    try:
        await fleet.start_fleet()
        beats = asyncio.ensure_future(fleet.beat_all())
        await fleet.accepted(fleet.document(1))
        until_s = time.monotonic() + seconds
        clients = Clients(fleet, checker, random.Random(rand.random()))
        faults = Faults(fleet, random.Random(rand.random()))
        await asyncio.gather(clients.run(until_s), faults.run(until_s))
        await _check_end(fleet, checker, clients)
    finally:
        if beats is not None:
            beats.cancel()
        fleet.stop_fleet()
    return checker, faults.counts, clients.statuses


async def _check_end(fleet, checker, clients):
    """Check that all that was accepted ends and the newest configuration is read."""
    for job in sorted(checker.accepted):
        wanted = {"completed"}
        if job in checker.cancelled_s:
            wanted.add("cancelled")
        try:
            condition = functools.partial(_is_in, fleet, job, wanted)
            await fleet.until(condition, SETTLE_LIMIT_S)
        except AssertionError:
            checker.report("LOST", f"{job} is not {' or '.join(sorted(wanted))}")
    expected = (200, fleet.document(clients.version))
    if await fleet.config("GET") != expected:
        checker.report("CONFIG", f"version {clients.version} is not read back")


async def _is_in(fleet, job, states):
    return (await fleet.front("GET", f"/q/{job}"))[1].get("state") in states


def run(seed, seconds, keep=None):
    """Play one seed in a folder of its own; print a line; return the violations."""
    path = pathlib.Path(keep or tempfile.mkdtemp(prefix="soak-"))
    path.mkdir(parents=True, exist_ok=True)
    checker, counts, statuses = asyncio.run(play(path, seed, seconds))
    print(
        f"seed={seed} violations={len(checker.violations)} jobs={len(checker.accepted)}"
        f" starts={checker.starts} faults={sum(counts.values())} {dict(counts)}"
        f" statuses={dict(statuses)}",
        flush=True,
    )
    for violation in checker.violations:
        print(f"  {violation}", flush=True)
    if checker.violations:
        print(f"  logs: {path}", flush=True)
    elif keep is None:
        shutil.rmtree(path)
    return checker.violations


def main():
    """Play seeds one after the other; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = [seed for seed in seeds if run(seed, arguments.seconds)]
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
