"""A route is added whose policy service takes more than two seconds to decide."""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import kit  # noqa: E402

LABELS = [["a", f"r1-{n}"] for n in range(1, 7)]
PREFIX = "/pufi791/"
# The pages set no limit to these. Without the trouble, the service takes 0.5 s.
EACH_MS = 50
DECIDE_MS = 200 if os.environ.get("TROUBLE") == "0" else 2000
VALID_MS = 5000
STEP = {"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000}


class TicketMinion(kit.Minion):
    """A minion that starts a task of an advised step only with a valid ticket."""

    def _start_run(self, body):
        step = body["task"].rpartition(".")[0]
        if json.loads(body["spec"]).get("advised"):
            ticket, until_s = tickets.get((step, self.id, self.lives), ("", 0))
            if body.get("ticket") != ticket or time.monotonic() > until_s:
                return 409, {"reason": "ticket"}
        return super()._start_run(body)


tickets = {}


class PolicyService:
    """The service at `advice`: all minions may run every step."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock_by_caller = {}
        self.waiting = 0

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        caller = writer.get_extra_info("peername")[0]
        try:
            while True:
                _, _, body = await kit.read_message(reader)
                status, answer = await self.answer(caller, json.loads(body))
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The caller has left, or the script ends.
            pass
        finally:
            writer.close()

    async def answer(self, caller, body):
        """Decide after `decide_ms` and `each_ms` for each worker, in turn."""
        if self.waiting >= 32:
            return 429, {}
        self.waiting += 1
        lock = self.lock_by_caller.setdefault(caller, asyncio.Lock())
        try:
            async with lock:
                seconds = (DECIDE_MS + EACH_MS * len(body["workers"])) / 1000
                await asyncio.sleep(seconds)
        finally:
            self.waiting -= 1
        good = []
        for minion in self.deployment.minions:
            if minion.id in body["workers"]:
                ticket = f"{body['step']}-{minion.id}-{time.monotonic()}"
                until_s = time.monotonic() + VALID_MS / 1000
                tickets[body["step"], minion.id, minion.lives] = (ticket, until_s)
                good.append([minion.id, ticket])
        text = f"advice on {body['step']} for {len(body['workers'])} in {seconds:.1f} s"
        self.deployment.record.add(text)
        return 200, {"good": good, "valid_ms": VALID_MS}


async def scenario(deployment, watcher, has_trouble):
    """Add the route, hand a job in, and wait until it has to run."""
    record = deployment.record
    service = PolicyService(deployment)
    server = await asyncio.start_server(
        service.serve, deployment.advice_ip, deployment.advice_port
    )
    await asyncio.sleep(2)
    body = deployment.configuration(3)
    added = {**body["routes"][0], "name": "r-73d3zji", "path_prefix": PREFIX}
    added["advice"] = {
        "decide_ms": DECIDE_MS,
        "each_ms": EACH_MS,
        "valid_ms": VALID_MS,
    }
    body["routes"].append(added)
    await deployment.put_config(3, 10, body)
    await asyncio.sleep(kit.BOUNDS["config_apply_ms"] / 1000)
    spec = {"work_ms": 1000, "advised": True}
    job = await deployment.submit(spec, [STEP], prefix=PREFIX)
    # The end of the traffic; the rule asks `finish_s` later, and for 3 s.
    await asyncio.sleep(kit.BOUNDS["finish_s"] + 3)
    _, state = await deployment.state_of(job, PREFIX)
    record.add(f"{len(watcher.starts)} starts")
    server.close()
    if not watcher.starts:
        return [f"the job is {state} after {kit.BOUNDS['finish_s'] + 3} s; no task ran"]
    return []


kit.play(FOLDER, LABELS, scenario, minion_class=TicketMinion)
