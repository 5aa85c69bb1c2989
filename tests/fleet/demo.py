"""``make demo``: shows each main function of the system once on a local fleet."""

import asyncio
import collections
import json
import sys
import tempfile
import time

from tests.fleet import fleet as fleets

DEMO_LIMIT_S = 60.0
REQUEST_COUNT = 200
# Long enough that no request fails because the machine is busy.
LONG_TIMEOUTS = {
    "connect_timeout": 20.0,
    "request_timeout": 25.0,
    "headers": {"Sardinegauge-Deadline-Ms": "25000"},
}


class DemoFailedError(Exception):
    """A step of the demo did not have the expected result."""


def expect(condition, failure):
    if not condition:
        raise DemoFailedError(failure)


def report(text):
    print(f"[{time.monotonic() - _started_s:5.1f} s] {text}", flush=True)


_started_s = time.monotonic()


async def measure(coroutine):
    """Return the result of a coroutine and its duration in seconds."""
    started = time.monotonic()
    return await coroutine, time.monotonic() - started


async def serve_requests(fleet):
    async def send(number):
        entry = fleet.entry_names[number % len(fleet.entry_names)]
        path = f"/ordering/echo?id=request-{number}"
        reply = await fleet.fetch(entry, path, **LONG_TIMEOUTS)
        has_id = f"request-{number}".encode() in (reply.body or b"")
        return "swapped" if reply.code == 200 and not has_id else reply.code

    results = await asyncio.gather(*(measure(send(n)) for n in range(REQUEST_COUNT)))
    sorted_s = sorted(seconds for _, seconds in results)
    statuses = collections.Counter(status for status, _ in results)
    expect(statuses == {200: REQUEST_COUNT}, f"requests by status: {dict(statuses)}")
    report(
        f"{REQUEST_COUNT} concurrent requests answered, p50 "
        f"{sorted_s[len(sorted_s) // 2] * 1000:.0f} ms, "
        f"slowest {sorted_s[-1] * 1000:.0f} ms"
    )


async def serve_keyed_order(fleet):
    replies = []
    for entry in fleet.entry_names:
        replies.append(
            await fleet.fetch(
                entry,
                "/ordering/echo?order=order-1",
                method="POST",
                body=b"one hide",
                headers={"Idempotency-Key": "order-1", "Sardinegauge-Tenant": "karri"},
            )
        )
    expect(all(r.code == 200 for r in replies), f"order: {[r.code for r in replies]}")
    expect(len({r.body for r in replies}) == 1, "the resent order got another answer")
    report("an order sent through both entries ran once; both got the same answer")


async def job_state(fleet, job):
    status, reply = await fleet.call("entry-1", "GetJob", id=job)
    return reply if status == 200 else {"state": "unknown", "tasks": []}


async def run_and_evict_job(fleet):
    status, reply = await fleet.call(
        "entry-1",
        "SubmitJob",
        request_id="demo-job",
        name="sweep",
        tenant="irbid",
        task_count=2,
        cores=1.0,
        memory_mb=256,
        command=json.dumps({"run_s": 6}),
    )
    expect(status == 200, f"SubmitJob: {reply}")
    job = reply["ids"][0]
    first_task = None

    async def is_running():
        nonlocal first_task
        job_reply = await job_state(fleet, job)
        states = [task["state"] for task in job_reply["tasks"]]
        first_task = job_reply["tasks"][0] if job_reply["tasks"] else None
        return states == ["running", "running"]

    await fleets.wait_for(is_running, 15, "both tasks to run")
    report(f"job {job} runs two tasks, one on {first_task['upstream']}")
    status, reply = await fleet.call(
        "entry-2",
        "DrainUpstream",
        request_id="demo-drain",
        upstream=first_task["upstream"],
    )
    expect(status == 200, f"DrainUpstream: {reply}")

    async def is_finished():
        return (await job_state(fleet, job))["state"] == "finished"

    await fleets.wait_for(is_finished, 25, "the job to finish")
    tasks = (await job_state(fleet, job))["tasks"]
    evictions = sum(task["evictions"] for task in tasks)
    expect(evictions >= 1, "draining evicted no task")
    report(f"draining {first_task['upstream']} evicted {evictions}; the job finished")
    status, reply = await fleet.call("entry-1", "Explain", id=tasks[0]["id"])
    expect(status == 200, f"Explain: {reply}")
    for line in reply.get("lines", [])[-3:]:
        print(f"           explain: {line}")


async def configuration_versions(fleet):
    versions = {}
    for name in fleet.entry_names + fleet.agent_names:
        page = await fleet.fetch(name, "/-/metrics", request_timeout=2.0)
        versions[name] = fleets.configuration_version(page.body or b"")
    return versions


async def apply_configuration(fleet):
    document = {"tenants": {"karri": {"cores": 32}, "irbid": {"cores": 32}}}
    _, current = await fleet.call("entry-1", "GetConfiguration")
    status, reply = await fleet.call(
        "entry-1",
        "SetConfiguration",
        request_id="demo-config",
        base_version=current["version"],
        document=json.dumps(document),
    )
    expect(status == 200, f"SetConfiguration: {reply}")
    version = int(reply["version"])
    accepted = time.monotonic()

    async def is_in_force():
        versions = await configuration_versions(fleet)
        return all(v is not None and v >= version for v in versions.values())

    await fleets.wait_for(is_in_force, 6, f"version {version} everywhere")
    elapsed = time.monotonic() - accepted
    report(f"configuration {version} in force in all processes after {elapsed:.1f} s")
    status, reply = await fleet.call(
        "entry-2",
        "SetConfiguration",
        token="token-bob",
        request_id="demo-race",
        base_version=current["version"],
        document="{}",
    )
    expect(status == 409, f"the second operator got {status}, not a conflict")
    report(f"a second operator with the old version got a conflict ({reply['winner']})")


async def lose_leader(fleet):
    async def leader():
        _, reply = await fleet.call("entry-1", "ListMembers")
        members = reply.get("members", [])
        return next((m["name"] for m in members if m["role"] == "leader"), None)

    name = await leader()
    expect(name is not None, "ListMembers shows no leader")
    await fleet.process_by_name[name].kill()
    killed = time.monotonic()
    failed = 0
    while time.monotonic() - killed < 3:
        reply = await fleet.fetch("entry-1", "/ordering/echo?id=x", **LONG_TIMEOUTS)
        failed += reply.code != 200
        await asyncio.sleep(0.02)
    expect(failed == 0, f"{failed} requests failed while the leader was gone")
    expect(await leader() not in (None, name), "no new leader after 3 s")
    await fleet.restart(name)
    report(f"leader {name} was killed: no request failed, a new leader serves")


async def run_demo():
    with tempfile.TemporaryDirectory(prefix="sardinegauge-demo-") as folder:
        fleet = fleets.Fleet(folder)
        try:
            await fleet.start()
            report(f"{len(fleet.process_by_name)} processes started and ready")
            await serve_requests(fleet)
            await serve_keyed_order(fleet)
            await run_and_evict_job(fleet)
            await apply_configuration(fleet)
            await lose_leader(fleet)
        finally:
            statuses = await fleet.stop()
        expect(set(statuses.values()) <= {0}, f"a stop was not graceful: {statuses}")
        report("all processes stopped gracefully")


def main():
    try:
        asyncio.run(asyncio.wait_for(run_demo(), DEMO_LIMIT_S))
    except (DemoFailedError, TimeoutError) as error:
        print(f"demo failed: {error or 'over the time limit'}", file=sys.stderr)
        return 1
    print("demo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
