"""Guards against changes of queues that reach gateways late or damaged."""

import asyncio
import json
import random
import zlib

from sardinegauge import commands, settings
from sardinegauge.agreement import storage
from sardinegauge.intake import limits
from sardinegauge.links import messages, stateclient
from sardinegauge.state import stateapp
from sardinegauge.workflows import gateway, queues, queuetransfer
from tests import statefleet
from tests.fleet import relay

POOL = queues.Pool(name="p")
# A link of 2 Mbit/s, and the bound of the users' deployments.
THIN_LINK_BYTES_PER_S = 250_000
PROPAGATION_BOUND_S = 3.0


def build_queues(count, seed=1):
    """Return queues with random names, which compress badly."""
    names = random.Random(seed)
    return [
        queues.Queue(
            name=f"q{number}-{names.getrandbits(40):x}",
            host=f"{names.getrandbits(32):x}.example",
            prefix=f"/{names.getrandbits(40):x}/",
            pool="p",
            timeout_ms=1000,
        )
        for number in range(count)
    ]


def build_queue_set(version, found):
    queue_set = queues.QueueSet()
    assert queue_set.replace(version, found, [POOL], "")
    return queue_set


class Deployment:
    """One replica of the state, and gateways behind thin links."""

    def __init__(self, path):
        listen, advertised = statefleet.free_addresses(2)
        self.config = settings.check(
            {
                "name": "a",
                "listen": listen,
                "advertise": advertised,
                "data_dir": str(path / "a"),
                "peers": [advertised],
            },
            stateapp.KNOWN_SETTINGS,
            "test",
        )
        storage.init_folder(self.config.data_dir, "a", {"a": advertised})
        self.app = stateapp.StateApplication(self.config, stateapp.default_modules())
        self.relay = relay.Relay(
            "a", listen, relay.Cuts(), bytes_per_s=THIN_LINK_BYTES_PER_S
        )
        self.gateways = []

    async def start(self, gateway_count):
        await self.app.on_start()
        await self.relay.start(self.config.advertise)
        for number in range(gateway_count):
            hello = messages.Hello(role="entry", name=f"gateway-{number}")
            client = stateclient.StateClient([self.config.advertise], hello)
            client.start()
            self.gateways.append(gateway.Gateway(client))
        await statefleet.wait_until(lambda: self.app.state.is_leading)

    async def stop(self):
        for gate in self.gateways:
            gate.client.stop()
        await self.relay.stop()
        for timer in self.app._timers:
            timer.cancel()
        await self.app.on_stop()

    async def put(self, version, found):
        command = commands.SetQueues(
            version=version, packed=queues.pack(found, [POOL]), source=""
        )
        answer = await self.gateways[0].client.propose_idempotent(command, 5.0)
        assert answer.value.version == version

    async def poll_until(self, version, limit_s):
        """Poll as the roles do; return the gateways that have the version in time."""

        async def run(gate):
            while gate.version < version:
                await gate.poll()
                await asyncio.sleep(gateway.POLL_INTERVAL_S)

        tasks = [asyncio.ensure_future(run(gate)) for gate in self.gateways]
        await asyncio.wait(tasks, timeout=limit_s)
        for task in tasks:
            task.cancel()
        return [gate for gate in self.gateways if gate.version >= version]


def test_large_set_reaches_gateways_over_thin_links_within_the_bound(tmp_path):
    """The whole set takes longer than one attempt of a poll."""

    async def scenario():
        deployment = Deployment(tmp_path)
        await deployment.start(3)
        try:
            await deployment.put(1, build_queues(10))
            assert len(await deployment.poll_until(1, PROPAGATION_BOUND_S)) == 3
            await deployment.put(2, build_queues(8_000))
            assert len(await deployment.poll_until(2, PROPAGATION_BOUND_S)) == 3
        finally:
            await deployment.stop()

    asyncio.run(scenario())


class Leader:
    """Answers polls from a queue set, as the leader does."""

    def __init__(self, queue_set):
        self.queue_set = queue_set
        self.encodings = queuetransfer.Encodings()
        self.encoded = 0

    def poll(self, version, download):
        poll = messages.Poll(queues_version=version, **download.poll_fields())
        return self.answer(poll)

    def answer(self, poll):
        reply = messages.PollReply(confirmed=True)
        if self.encodings.fill(reply, poll, self.queue_set):
            self.encoded += 1
        return reply


def names_in(data):
    plain = json.loads(zlib.decompress(data))
    return {fields["name"] for fields in plain["queues"]}


def fetch(leader, version, download):
    """Fetch part after part; return the bytes and the version that they lead to."""
    for _ in range(1000):
        reply = leader.poll(version, download)
        data = download.add(reply)
        if data is not None:
            return data, reply.queues_target
    raise AssertionError("the transfer does not end")


def test_leader_encodes_a_change_once_for_all_gateways():
    """The encoding of 1,000 queues for each of 35 gateways stalls a leader."""
    leader = Leader(build_queue_set(1, build_queues(5_000)))
    for _ in range(35):
        data, _ = fetch(leader, 0, queuetransfer.Download())
    assert len(names_in(data)) == 5_000
    assert leader.encoded == 1


def test_parts_are_small_and_a_lost_one_is_fetched_again():
    leader = Leader(build_queue_set(1, build_queues(5_000)))
    download = queuetransfer.Download()
    replies = []
    while True:
        lost = leader.poll(0, download)
        reply = leader.poll(0, download)
        assert lost.queues_offset == reply.queues_offset
        replies.append(reply)
        if (data := download.add(reply)) is not None:
            break
    assert len(replies) > 1
    assert max(len(reply.queues) for reply in replies) <= queuetransfer.PART_BYTES
    assert len(names_in(data)) == 5_000


def test_late_part_is_not_added_twice():
    leader = Leader(build_queue_set(1, build_queues(5_000)))
    download = queuetransfer.Download()
    first = leader.poll(0, download)
    assert download.add(first) is None
    assert download.add(first) is None
    data, _ = fetch(leader, 0, download)
    assert len(names_in(data)) == 5_000


def test_series_of_new_versions_does_not_restart_a_transfer():
    """A set that takes several parts would never arrive while versions follow fast."""
    found = build_queues(5_000)
    leader = Leader(build_queue_set(1, found))
    download = queuetransfer.Download()
    for version in range(2, 100):
        data = download.add(leader.poll(0, download))
        if data is not None:
            break
        found = [*found, *build_queues(1, seed=version)]
        leader.queue_set.replace(version, found, [POOL], "")
    assert version < 20
    assert len(names_in(data)) == 5_000
    data, target = fetch(leader, 1, download)
    assert target == leader.queue_set.version
    assert len(names_in(data)) == len(found) - 5_000


def test_transfer_goes_on_at_another_leader_with_the_same_changes():
    found = build_queues(5_000)
    download = queuetransfer.Download()
    reply = Leader(build_queue_set(1, found)).poll(0, download)
    download.add(reply)
    successor = Leader(build_queue_set(1, found))
    reply = successor.poll(0, download)
    assert reply.queues_offset == queuetransfer.PART_BYTES
    data, _ = fetch(successor, 0, download)
    assert len(names_in(data)) == 5_000


def test_transfer_begins_anew_at_a_leader_with_other_bytes():
    """Parts of two encodings of one version must not be joined."""
    found = build_queues(5_000)
    download = queuetransfer.Download()
    download.add(Leader(build_queue_set(1, found)).poll(0, download))
    successor = Leader(build_queue_set(1, found[::-1]))
    data, _ = fetch(successor, 0, download)
    assert len(names_in(data)) == 5_000


def test_damaged_changes_are_fetched_again():
    leader = Leader(build_queue_set(1, build_queues(10)))
    download = queuetransfer.Download()
    reply = leader.poll(0, download)
    reply.queues = bytes(len(reply.queues))
    assert download.add(reply) is None
    data, _ = fetch(leader, 0, download)
    assert len(names_in(data)) == 10


def test_kept_encodings_are_bounded():
    leader = Leader(build_queue_set(1, build_queues(10)))
    for version in range(2, 100):
        leader.queue_set.replace(version, build_queues(10, seed=version), [POOL], "")
        fetch(leader, version - 1, queuetransfer.Download())
    assert len(leader.encodings._by_versions) == queuetransfer.MAX_ENCODINGS


def test_processes_of_an_earlier_release_take_the_whole_set_in_one_part():
    leader = Leader(build_queue_set(3, build_queues(5_000)))
    reply = leader.answer(messages.Poll(queues_version=0))
    assert len(names_in(reply.queues)) == 5_000
    older_reply = messages.PollReply(
        confirmed=True, queues_version=3, queues=reply.queues
    )
    download = queuetransfer.Download()
    assert download.add(older_reply) == reply.queues
    assert older_reply.queues_target == 3


def test_limits_of_callers_reach_gateways_and_survive_a_restart():
    """The limits of a configuration were dropped, so that no front kept them."""
    wanted = limits.RequestLimits(max_body_bytes=262_144, idle_timeout_ms=15_000)
    queue_set = queues.QueueSet()
    packed = queues.pack([], [POOL], wanted)
    assert queue_set.apply(1, packed, "") == []
    restored = queues.QueueSet.from_snapshot(queue_set.to_snapshot())
    for each in (queue_set, restored):
        changes = json.loads(zlib.decompress(queuetransfer.encode(each, 0)))
        found = limits.RequestLimits.from_dict(changes["limits"])
        assert found.to_dict() == wanted.to_dict()
    # A configuration of an earlier release names none.
    assert queue_set.apply(2, queues.pack([], [POOL]), "") == []
    assert queue_set.limits.to_sparse_dict() == {}


def test_limits_that_are_no_numbers_are_refused():
    broken = limits.RequestLimits(max_body_bytes=-1)
    assert queues.QueueSet().apply(1, queues.pack([], [POOL], broken), "") != []
