"""Tests that clients that don't behave end no process and lock out no ordinary caller.

Each test starts real processes with low limits in their settings, sends a crowd to one
of them, and checks that the process lives, stays under its memory and its descriptors,
and answers an ordinary request afterwards. A test checks no times, so it doesn't depend
on the machine's speed, and runs apart from other load.
"""

import asyncio
import json
import resource
import signal

import pytest

from tests import crowd, platformkit
from tests.fleet import fleet

pytestmark = pytest.mark.crowd

# The limits of the users' configuration.
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
MAX_BODY_BYTES = LIMITS["max_body_bytes"]
MEMORY_MB = 96
MAX_FDS = 512
# More connections than a front with so few descriptors can hold.
FEW_FDS = 256
CROWD_SIZE = 300
CORE_MEMORY_MB = 160
AMPLE_MEMORY_MB = 1000
# Crowds that come one after the other, each with ids of its own.
CORE_ROUNDS = 2
# As many as an ample front needs to hand on more than the cores have memory for.
AMPLE_CORE_ROUNDS = 6
# Patience of the ordinary caller, who repeats a refused request.
ANSWER_LIMIT_S = 60
HOST = platformkit.HOST


def job_path(number):
    return f"{platformkit.PREFIX}{number:016x}"


def job(**fields):
    step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}
    return json.dumps({"spec": "1", "steps": [step], **fields}).encode()


def padded_job(size):
    return job().ljust(size)


def run_scenario(
    tmp_path, scenario, core_memory_mb=0, max_fds=MAX_FDS, memory_mb=MEMORY_MB
):
    """Run a scenario on a deployment whose front, or cores, have low limits."""
    fields_by_role = {"front": {"limits": {"memory_mb": memory_mb, "max_fds": max_fds}}}
    if core_memory_mb:
        fields_by_role["core"] = {
            "limits": {"memory_mb": core_memory_mb, "max_fds": MAX_FDS}
        }

    async def run():
        running = platformkit.running(tmp_path, fields_by_role, LIMITS)
        async with running as platform:
            await scenario(platform)

    asyncio.run(run())


def front_process(platform):
    return platform.processes["front", platform.front_ip]


def front_crowd(platform, requests, pause_s=0.0):
    address = f"{platform.front_ip}:{platform.front_port}"
    return crowd.Crowd(address, requests, pause_s)


async def check_front(platform, max_fds=MAX_FDS):
    """Check what must hold for the front, which a crowd is connected to."""
    await check_process(front_process(platform), MEMORY_MB, max_fds)
    await platform.wait_until(lambda: is_served(platform), ANSWER_LIMIT_S)
    await check_process(front_process(platform), MEMORY_MB, max_fds)


async def check_process(process, memory_mb, max_fds=MAX_FDS):
    assert process.poll() is None
    assert crowd.peak_memory_mb(process.pid) <= memory_mb
    assert crowd.descriptor_count(process.pid) <= max_fds


async def is_served(platform):
    return await platform.submit("ordinary", 10, count=1) == 200


def check_crowd_at_front(tmp_path, request_of, pause_s=0.0):
    """Check the front while a crowd of `request_of(number)` holds its connections."""

    async def scenario(platform):
        requests = [request_of(number) for number in range(CROWD_SIZE)]
        async with front_crowd(platform, requests, pause_s) as held:
            await held.hold()
            await check_front(platform)
        await check_front(platform)

    run_scenario(tmp_path, scenario)


# Bytes held for requests that are not complete


def test_front_bounds_bodies_that_stop_one_byte_short(tmp_path):
    """The bodies of all connections together took more memory than the machine has."""
    body = b" " * (MAX_BODY_BYTES - 1)
    check_crowd_at_front(
        tmp_path,
        lambda number: crowd.announced(job_path(number), HOST, MAX_BODY_BYTES, body),
    )


def test_front_bounds_bodies_that_come_piece_by_piece(tmp_path):
    """A body that grows slowly was held like one that comes at once."""
    body = b" " * (MAX_BODY_BYTES - 1)
    check_crowd_at_front(
        tmp_path,
        lambda number: [
            crowd.head(job_path(number), HOST, f"Content-Length: {MAX_BODY_BYTES}"),
            *crowd.pieces(body, 16_384),
        ],
        pause_s=0.05,
    )


def test_front_bounds_whole_bodies_of_legal_size(tmp_path):
    """Each body was held several times over until its job was accepted."""
    body = padded_job(MAX_BODY_BYTES)
    check_crowd_at_front(
        tmp_path,
        lambda number: crowd.announced(job_path(number), HOST, len(body), body),
    )


def test_front_bounds_large_chunks_that_are_not_ended(tmp_path):
    """A chunked body announces no length, and was held until its client left."""
    data = crowd.chunk(b" " * (MAX_BODY_BYTES - 1))
    check_crowd_at_front(
        tmp_path, lambda number: crowd.chunked(job_path(number), HOST, data)
    )


def test_front_refuses_a_chunk_over_the_limit(tmp_path):
    """The limit of the configuration was not read, so four times as much was held."""
    data = b"100000\r\n" + b" " * ((1 << 20) - 16)
    check_crowd_at_front(
        tmp_path, lambda number: crowd.chunked(job_path(number), HOST, data)
    )


def test_front_refuses_a_length_over_the_limit(tmp_path):
    """Guards against reading a body that was announced to be over the limit."""
    body = b" " * (2 << 20)
    check_crowd_at_front(
        tmp_path,
        lambda number: crowd.announced(job_path(number), HOST, 900_000_000, body),
    )


def test_front_refuses_chunks_that_grow_over_the_limit(tmp_path):
    """A body that announces nothing was read far beyond the limit."""
    data = [crowd.chunk(b" " * 65_536)] * 64
    check_crowd_at_front(
        tmp_path, lambda number: crowd.chunked(job_path(number), HOST, *data)
    )


# Processor time for each byte


def test_front_ends_bodies_in_tiny_chunks(tmp_path):
    """Reading two bytes a chunk kept the front busy long after the clients had left."""
    data = crowd.chunk(b"  ") * (MAX_BODY_BYTES // 2 - 4)

    async def scenario(platform):
        requests = [
            crowd.chunked(job_path(number), HOST, data) for number in range(CROWD_SIZE)
        ]
        async with front_crowd(platform, requests) as held:
            await held.hold()
            await platform.wait_until(lambda: not held.open_count, ANSWER_LIMIT_S)
            await check_front(platform)

    run_scenario(tmp_path, scenario)


def test_front_bounds_small_chunks_without_end(tmp_path):
    """Small chunks cost more memory and time than the bytes that they carry."""
    data = [crowd.chunk(b" " * 16) * 512] * 64
    check_crowd_at_front(
        tmp_path, lambda number: crowd.chunked(job_path(number), HOST, *data)
    )


# What a body turns into


def test_front_refuses_a_job_of_too_many_steps_before_it_is_built(tmp_path):
    """A body of empty steps was built in full before its number was looked at."""
    body = json.dumps({"spec": "", "steps": [{}] * 87_000}, separators=(",", ":"))
    body = body.encode().ljust(MAX_BODY_BYTES)
    check_crowd_at_front(
        tmp_path,
        lambda number: crowd.announced(job_path(number), HOST, len(body), body),
    )


def test_front_builds_no_table_of_the_fields_of_a_form(tmp_path):
    """A form became a table of its fields, many times as large as its body."""
    body = b"a=1&" * (MAX_BODY_BYTES // 4)
    kind = "Content-Type: application/x-www-form-urlencoded"
    length = f"Content-Length: {len(body)}"
    check_crowd_at_front(
        tmp_path,
        lambda number: [crowd.head(job_path(number), HOST, kind, length), body],
    )


def legal_large_job():
    """Return a legal job of about 210 KB: 190 steps with long labels."""
    label = {
        "required_label": "l" * 200,
        "data_rack": "r" * 200,
        "image": "i" * 200,
    }
    steps = [
        {
            "count": 1,
            "cpu": 1,
            "mem_mb": 1,
            "estimate_ms": 60_000,
            "after": list(range(number)),
            **label,
        }
        for number in range(190)
    ]
    return json.dumps({"spec": "60000", "steps": steps}).encode()


def test_front_bounds_large_legal_jobs(tmp_path):
    """Decoded jobs were held while each of them waited for the leader."""
    body = legal_large_job()
    assert 200_000 < len(body) <= MAX_BODY_BYTES
    check_crowd_at_front(
        tmp_path,
        lambda number: crowd.announced(job_path(number), HOST, len(body), body),
    )


# What an accepted job leaves behind


def test_cores_keep_no_more_large_jobs_than_they_have_memory_for(tmp_path):
    """Labels weren't counted, so accepted jobs outgrew the memory of the cores."""

    async def scenario(platform):
        await fill_cores(platform, CORE_ROUNDS)
        await check_front(platform)

    run_scenario(tmp_path, scenario, core_memory_mb=CORE_MEMORY_MB)


def test_cores_bound_what_they_keep_beside_a_front_with_much_memory(tmp_path):
    """A front that takes in more must not make the cores keep more than they can."""

    async def scenario(platform):
        await fill_cores(platform, AMPLE_CORE_ROUNDS)
        await platform.wait_until(lambda: is_served(platform), ANSWER_LIMIT_S)

    run_scenario(
        tmp_path, scenario, core_memory_mb=CORE_MEMORY_MB, memory_mb=AMPLE_MEMORY_MB
    )


async def fill_cores(platform, rounds):
    """Send crowds of large jobs, each under an id of its own, and check the cores."""
    body = legal_large_job()
    for turn in range(rounds):
        numbers = range(turn * CROWD_SIZE, (turn + 1) * CROWD_SIZE)
        requests = [
            crowd.announced(job_path(number), HOST, len(body), body)
            for number in numbers
        ]
        async with front_crowd(platform, requests) as held:
            await held.hold()
    for ip in platform.core_ips:
        await check_process(platform.processes["core", ip], CORE_MEMORY_MB)


# Connections and descriptors


def test_front_serves_beside_connections_whose_heads_never_end(tmp_path):
    """Such connections took every descriptor and kept it for an hour."""
    unfinished = [f"GET {job_path(0)} HTTP/1.1\r\nHost: {HOST}\r\n".encode()]
    check_crowd_of_connections(tmp_path, unfinished)


def test_front_serves_beside_idle_connections(tmp_path):
    """Idle connections took every descriptor and kept it for an hour."""
    check_crowd_of_connections(tmp_path, [])


def check_crowd_of_connections(tmp_path, parts):
    """Check the front beside more connections than it has descriptors for."""

    async def scenario(platform):
        process = front_process(platform)
        descriptors = (FEW_FDS, FEW_FDS)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, descriptors)
        async with front_crowd(platform, [parts] * CROWD_SIZE) as held:
            await held.hold()
            await check_front(platform, FEW_FDS)
        await check_front(platform, FEW_FDS)

    run_scenario(tmp_path, scenario, max_fds=FEW_FDS)


def test_front_bounds_responses_that_nobody_reads(tmp_path):
    """Guards against responses that pile up for a client that sends and never reads."""
    request = f"GET {job_path(0)} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()

    async def scenario(platform):
        writers = []
        for _ in range(CROWD_SIZE):
            _, writer = await asyncio.open_connection(
                platform.front_ip, platform.front_port, limit=1
            )
            writer.transport.pause_reading()
            writer.write(request * 500)
            writers.append(writer)
        await asyncio.sleep(crowd.HOLD_S)
        await check_front(platform)
        for writer in writers:
            writer.transport.abort()
        await check_front(platform)

    run_scenario(tmp_path, scenario)


# Life cycle


def test_front_stops_beside_stalled_bodies(tmp_path):
    """Guards against a drain that waits for bodies whose clients send nothing more."""
    body = b" " * 16_383

    async def scenario(platform):
        request = crowd.announced(job_path(0), HOST, 16_384, body)
        async with front_crowd(platform, [request] * CROWD_SIZE) as held:
            await held.hold()
            ip = platform.front_ip
            stopping = asyncio.to_thread(platform.kill, "front", ip, signal.SIGTERM)
            assert await stopping == 0

    run_scenario(tmp_path, scenario)


def test_limits_of_a_new_configuration_hold_without_a_restart(tmp_path):
    """The limits of the configuration were dropped when it was decoded."""

    async def scenario(platform):
        body = padded_job(4_096)
        request = crowd.announced(job_path(0), HOST, len(body), body)
        platform.limits = {**LIMITS, "max_body_bytes": 1_024}
        await platform.wait_until_accepted(platform.document(2))
        await platform.wait_until(lambda: is_refused(platform, request))
        assert await is_served(platform)
        platform.limits = LIMITS
        await platform.wait_until_accepted(platform.document(3))
        await platform.wait_until(lambda: is_taken(platform, request))

    async def status(platform, request):
        async with front_crowd(platform, [request]) as sent:
            await platform.wait_until(lambda: not sent.open_count)
            return sent.members[0].answer.split(b" ")[1]

    async def is_refused(platform, request):
        return await status(platform, request) == b"413"

    async def is_taken(platform, request):
        return await status(platform, request) == b"200"

    run_scenario(tmp_path, scenario)


# The entry


def check_crowd_at_entry(tmp_path, parts, must_end=False):
    """Check the entry while a crowd holds its connections.

    With `must_end`, the entry must answer or close each of them by itself.
    """
    started = fleet.Fleet(
        tmp_path,
        states=1,
        entries=1,
        agents=1,
        entry_settings={"process_memory_mb": MEMORY_MB},
    )

    async def check_entry():
        name = started.entry_names[0]
        child = started.process_by_name[name].child
        await started.wait_ready(name, ANSWER_LIMIT_S)
        assert child.returncode is None
        assert crowd.peak_memory_mb(child.pid) <= MEMORY_MB
        assert crowd.descriptor_count(child.pid) <= MAX_FDS

    async def is_over(held):
        return not held.open_count

    async def run():
        try:
            await started.start()
            address = started.http_by_name[started.entry_names[0]]
            async with crowd.Crowd(address, [parts] * CROWD_SIZE) as held:
                await held.hold()
                if must_end:
                    await fleet.wait_for(
                        lambda: is_over(held), ANSWER_LIMIT_S, "the crowd's end"
                    )
                await check_entry()
            await check_entry()
        finally:
            await started.stop()

    asyncio.run(run())


def test_entry_bounds_bodies_that_stop_one_byte_short(tmp_path):
    """Each body was buffered up to 256 KiB, whatever the others held."""
    body = b" " * (MAX_BODY_BYTES - 1)
    parts = crowd.announced("/ordering/order", "shop", MAX_BODY_BYTES, body)
    check_crowd_at_entry(tmp_path, parts)


def test_entry_bounds_chunks_that_are_not_ended(tmp_path):
    """Streamed bodies held their buffers and their upstream until their client left."""
    data = b"100000\r\n" + b" " * ((1 << 20) - 16)
    parts = crowd.chunked("/ordering/order", "shop", data)
    check_crowd_at_entry(tmp_path, parts)


def test_entry_ends_bodies_in_tiny_chunks(tmp_path):
    """Guards against an entry that reads tiny chunks long after its answer."""
    data = crowd.chunk(b"  ") * (MAX_BODY_BYTES // 2 - 4)
    parts = crowd.chunked("/ordering/order", "shop", data)
    check_crowd_at_entry(tmp_path, parts, must_end=True)
