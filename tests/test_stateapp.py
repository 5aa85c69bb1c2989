"""Guards against lost commands and groups that do not recover, with real links."""

import asyncio
import errno
import json
import shutil

from tornado import httpclient

from sardinegauge import commands, errors, outcome
from sardinegauge.agreement import storage
from sardinegauge.links import dialers, httpmessages, messages, stateclient
from sardinegauge.state import replica, stateapp
from tests import statefleet


def job(name, request_id=None):
    return commands.SubmitJob(
        operator="op",
        request_id=request_id or name,
        name=name,
        tenant="karri",
        cores=1.0,
        memory_mb=100,
    )


def run_fleet(path, scenario):
    async def run():
        fleet = statefleet.Fleet(path)
        try:
            await fleet.start_all()
            await scenario(fleet)
        finally:
            await fleet.stop_all()

    asyncio.run(run())


def test_three_replicas_elect_commit_and_answer(tmp_path):
    async def scenario(fleet):
        answer = await fleet.client.propose(job("sweep"), 10)
        assert answer == outcome.Answered(outcome.Accepted(ids=["job-1"]))
        read = await fleet.client.query("jobs", {}, 5)
        assert read.value["jobs"] == ["sweep"]
        polled = await fleet.client.poll(0, 0)
        assert polled.value.confirmed
        for app in fleet.apps.values():
            await statefleet.wait_until(
                lambda app=app: app.state.machine.jobs == ["sweep"]
            )

    run_fleet(tmp_path, scenario)


async def submit(fleet, first, last):
    """Submit jobs one by one, each again until it is answered, as operators do."""
    for number in range(first, last + 1):
        answer = None
        while not isinstance(answer, outcome.Answered):
            answer = await fleet.client.propose(job(f"job{number}"), 10)
            assert not isinstance(answer, outcome.Refused), answer


async def caught_up(fleet, names="abc"):
    """Wait until all replicas have applied the same commands, and return the jobs."""

    def is_equal():
        jobs = [fleet.apps[name].state.machine.jobs for name in names]
        return fleet.leader() and all(item == jobs[0] for item in jobs)

    await statefleet.wait_until(is_equal)
    return list(fleet.apps[names[0]].state.machine.jobs)


def test_commands_survive_the_leader_and_a_full_restart(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 5)
        first = fleet.leader()
        await fleet.stop(first)
        await submit(fleet, 6, 8)
        await fleet.start(first)
        expected = [f"job{number}" for number in range(1, 9)]
        assert await caught_up(fleet) == expected
        for name in "abc":
            await fleet.stop(name)
        for name in "abc":
            await fleet.start(name)
        assert await caught_up(fleet) == expected
        resent = await fleet.client.propose(job("job2"), 10)
        assert resent.value.ids == ["job-2"]

    run_fleet(tmp_path, scenario)


def test_lost_folder_is_repaired_twice_in_a_row(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 5)
        for lost in ("a", "b"):
            await fleet.stop(lost)
            fleet.delete_folder(lost)
            app = await fleet.start(lost)
            assert app.folder.identity != lost
            wanted = {app.folder.identity for app in fleet.apps.values()}
            await statefleet.wait_until(lambda wanted=wanted: fleet.voters() == wanted)
        assert fleet.voters().isdisjoint({"a", "b"})
        await fleet.stop("c")  # The two repaired replicas form a quorum.
        await submit(fleet, 6, 6)
        assert len(await caught_up(fleet, "ab")) == 6

    run_fleet(tmp_path, scenario)


def test_older_copy_of_a_folder_is_set_aside(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 2)
        name = next(n for n in "abc" if n != fleet.leader())
        await fleet.stop(name)
        shutil.copytree(fleet.folder(name), tmp_path / "copy")
        await fleet.start(name)
        await submit(fleet, 3, 9)
        await caught_up(fleet)
        leader = fleet.apps[fleet.leader()].state.raft
        await statefleet.wait_until(
            lambda: leader.acknowledged[name] == leader.commit_index
        )
        await fleet.stop(name)
        fleet.delete_folder(name)
        shutil.copytree(tmp_path / "copy", fleet.folder(name))
        app = await fleet.start(name)
        await statefleet.wait_until(lambda: app.folder.identity != name)
        await statefleet.wait_until(lambda: app.folder.identity in fleet.voters())
        await statefleet.wait_until(lambda: name not in fleet.voters())
        assert len(await caught_up(fleet)) == 9

    run_fleet(tmp_path, scenario)


def test_far_behind_replica_gets_a_snapshot_and_keeps_it(tmp_path, monkeypatch):
    monkeypatch.setattr("sardinegauge.agreement.raft.TRAILING_ENTRIES", 5)
    monkeypatch.setattr("sardinegauge.state.replica.SNAPSHOT_ENTRIES", 20)
    monkeypatch.setattr("sardinegauge.agreement.replication.SNAPSHOT_CHUNK_BYTES", 500)

    async def scenario(fleet):
        await submit(fleet, 1, 3)
        name = next(n for n in "abc" if n != fleet.leader())
        await fleet.stop(name)
        await submit(fleet, 4, 80)
        app = await fleet.start(name)
        assert len(await caught_up(fleet)) == 80
        assert app.state.raft.snapshot.index > 20
        await fleet.stop(name)
        app = await fleet.start(name)
        assert app.state.applied_index > 20
        assert len(await caught_up(fleet)) == 80

    run_fleet(tmp_path, scenario)


def test_graceful_stop_hands_over_and_interrupts_no_request(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 1)
        name = fleet.leader()
        app = fleet.apps[name]
        loop = asyncio.get_running_loop()
        started = loop.time()
        drain = asyncio.ensure_future(app.on_drain())
        await statefleet.wait_until(lambda: fleet.leader() not in (None, name))
        assert loop.time() - started < 0.5  # Below the shortest election timeout.
        number = 1
        while not drain.done():
            number += 1
            answer = await fleet.client.propose(job(f"job{number}"), 10)
            assert isinstance(answer, outcome.Answered), answer
        await fleet.stop(name)
        answer = await fleet.client.propose(job("last"), 10)
        assert isinstance(answer, outcome.Answered), answer

    run_fleet(tmp_path, scenario)


MALFORMED = [
    b"",
    b"\xff\xfe",
    b"[]",
    b"null",
    b'{"kind":"Nothing"}',
    b'{"kind":"SubmitJob"}',
    b'{"kind":"SubmitJob","name":[],"bogus":1}',
    b'{"kind":"ChangeMember"}',
    b'{"kind":"ChangeMember","identity":"zz","action":"remove"}',
    b'{"kind":"ChangeMember","identity":"a","action":"explode"}',
    b"[" * 100_000,
    b'{"kind":"CancelJobs","jobs":"' + b"x" * (600 << 10) + b'"}',
]


def test_malformed_requests_are_answered_and_harm_nothing(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 1)
        leader = fleet.client._dialers_by_address[fleet.address_by_name[fleet.leader()]]
        for body in MALFORMED:
            reply = await leader.link.request(messages.Propose(command=body), 5)
            answer = outcome.from_plain(json.loads(reply.answer))
            assert isinstance(answer, outcome.Invalid), body[:40]
        answer = await fleet.client.propose(job("explode"), 5)
        assert isinstance(answer.value, outcome.Invalid)
        for kind, arguments in (("nothing", b"{}"), ("explain", b"["), ("jobs", b"1")):
            query = messages.Query(kind=kind, arguments=arguments)
            reply = await leader.link.request(query, 5)
            assert reply.verdict == "ran" and (reply.answer or reply.reason)
        reply = await leader.link.request(httpmessages.KeyQuery(), 5)
        assert isinstance(reply, httpmessages.Abort)
        await submit(fleet, 2, 2)
        assert await caught_up(fleet) == ["job1", "job2"]

    run_fleet(tmp_path, scenario)


def test_follower_names_the_leader_with_not_run(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 1)
        await caught_up(fleet)
        leader = fleet.address_by_name[fleet.leader()]
        name = next(n for n in "abc" if n != fleet.leader())
        address = fleet.address_by_name[name]
        handler = stateclient.StateClient([], messages.Hello(role="entry"))
        follower = dialers.Dialer(address, handler, messages.Hello(role="entry"))
        follower.start()
        await statefleet.wait_until(lambda: follower.is_open)
        for request in (
            messages.Propose(command=b"{}"),
            messages.Query(kind="jobs"),
        ):
            reply = await follower.link.request(request, 5)
            assert (reply.verdict, reply.leader) == ("not-run", leader)
        for request in (messages.Poll(), messages.Heartbeat(upstream="u")):
            reply = await follower.link.request(request, 5)
            assert (reply.confirmed, reply.leader) == (False, leader)
        follower.stop()

    run_fleet(tmp_path, scenario)


def test_heartbeats_renew_leases_and_pushes_do_not(tmp_path):
    async def scenario(fleet):
        document = {"weights": {"evictions": 2.0}}
        change = commands.SetConfiguration(
            operator="op", request_id="c1", base_version=0, document=document
        )
        assert (await fleet.client.propose(change, 10)).value.version == 1
        await submit(fleet, 1, 1)
        pushes = []
        fleet.client.on_push = pushes.append
        heartbeat = messages.Heartbeat(upstream="u", incarnation="i1", sequence=7)
        directive = (await fleet.client.heartbeat(heartbeat, 5)).value
        assert (directive.sequence, directive.lease_ms) == (7, 10_000)
        assert [order.task for order in directive.tasks] == ["job1"]
        assert json.loads(directive.config) == document
        heartbeat = heartbeat.replace(sequence=8, config_version=1)
        directive = (await fleet.client.heartbeat(heartbeat, 5)).value
        assert (directive.config_version, directive.config) == (1, b"")
        pushes.clear()
        await submit(fleet, 2, 2)
        await statefleet.wait_until(lambda: pushes)
        assert (pushes[-1].sequence, pushes[-1].lease_ms) == (0, 0)
        assert [order.task for order in pushes[-1].tasks] == ["job1", "job2"]

    run_fleet(tmp_path, scenario)


def test_replica_without_quorum_confirms_nothing(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 1)
        name = fleet.leader()
        for other in "abc":
            if other != name:
                await fleet.stop(other)
        polled = await fleet.client.poll(0, 0)
        assert isinstance(polled, outcome.Refused)
        refused = await fleet.client.query("jobs", {}, 1)
        assert isinstance(refused, outcome.Refused)
        answer = await fleet.client.propose(job("late"), 1.5)
        assert isinstance(answer, (outcome.Lost, outcome.Refused))

    run_fleet(tmp_path, scenario)


def test_learner_with_a_new_name_is_promoted_by_an_operator(tmp_path):
    async def scenario(fleet):
        await submit(fleet, 1, 3)
        (fleet.address_by_name["d"],) = statefleet.free_addresses(1)
        app = await fleet.start("d")
        assert len(await caught_up(fleet, "abcd")) == 3
        identity = app.folder.identity
        assert identity not in fleet.voters()
        change = {"kind": "ChangeMember", "identity": identity, "action": "promote"}
        answer = await fleet.client.propose(change, 5)
        assert answer.value == outcome.Accepted()
        assert identity in fleet.voters()
        name = next(n for n in "abc" if n != fleet.leader())
        change = {"kind": "ChangeMember", "identity": name, "action": "remove"}
        assert (await fleet.client.propose(change, 5)).value == outcome.Accepted()
        members = await fleet.client.query("members", {}, 5)
        listed = {member["identity"] for member in members.value["members"]}
        assert listed == {"a", "b", "c", identity} - {name}

    run_fleet(tmp_path, scenario)


def test_damaged_folder_stops_the_process_with_its_own_status(tmp_path, capsys):
    fleet = statefleet.Fleet(tmp_path)
    storage.init_folder(fleet.folder("a"), "a", fleet.address_by_name)
    with open(fleet.folder("a") + "/hardstate", "ab") as file:
        file.write(b"x")
    app = statefleet.stateapp.StateApplication(fleet.config("a"), statefleet.modules())
    assert app.run() == errors.DataFolderError.exit_status
    assert "hardstate: offset" in capsys.readouterr().err


def test_health_and_metrics_pages(tmp_path):
    async def scenario(fleet):
        (address,) = statefleet.free_addresses(1)
        await fleet.stop("a")
        fleet.metrics_by_name = {"a": address}
        await fleet.start("a")
        await submit(fleet, 1, 1)
        client = httpclient.AsyncHTTPClient()
        await statefleet.wait_until(lambda: fleet.apps["a"].state.raft.leader)
        page = await client.fetch(f"http://{address}/health")
        assert json.loads(page.body)["role"] in ("leader", "follower")
        page = await client.fetch(f"http://{address}/metrics")
        assert b"sardinegauge_state_commit_index" in page.body

    run_fleet(tmp_path, scenario)


def test_failed_reducer_ends_the_process_and_writes_nothing_more(
    tmp_path, monkeypatch, capsys
):
    fleet = statefleet.Fleet(tmp_path, "a")
    storage.init_folder(fleet.folder("a"), "a", fleet.address_by_name)
    app = statefleet.stateapp.StateApplication(fleet.config("a"), statefleet.modules())
    reduce = replica.reduce
    events = []

    def fail(state, event):
        events.append(event)
        if len(events) == 5:
            raise ZeroDivisionError("a fault")
        return reduce(state, event)

    monkeypatch.setattr(replica, "reduce", fail)
    assert app.run() == 1
    assert len(events) == 5
    assert "a fault" in capsys.readouterr().err


def test_failing_scheduler_stops_no_command(tmp_path, monkeypatch):
    def fail(state, event):
        raise ZeroDivisionError("a fault")

    async def scenario(fleet):
        await submit(fleet, 1, 3)
        assert len(await caught_up(fleet)) == 3

    monkeypatch.setattr(statefleet.FakeScheduler, "reduce", fail)
    run_fleet(tmp_path, scenario)


def test_replica_with_a_full_disk_waits_for_room_and_catches_up(tmp_path, monkeypatch):
    """A replica must not exit because of a full disk, since it would restart and exit
    again and again."""

    async def scenario(fleet):
        await submit(fleet, 1, 1)
        await caught_up(fleet)
        name = next(n for n in "abc" if n != fleet.leader())
        app = fleet.apps[name]
        is_full = True
        append = storage.DataFolder.append

        def append_if_room(folder, *arguments):
            if is_full and folder is app.folder:
                raise OSError(errno.ENOSPC, "No space left on device")
            append(folder, *arguments)

        def check_room(path):
            if is_full:
                raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(storage.DataFolder, "append", append_if_room)
        monkeypatch.setattr(storage, "check_writable", check_room)
        identity = app.folder.identity
        await submit(fleet, 2, 4)
        await statefleet.wait_until(lambda: app._is_suspended)
        await submit(fleet, 5, 6)
        is_full = False
        await caught_up(fleet)
        assert app.folder.identity == identity
        assert not app._is_suspended

    run_fleet(tmp_path, scenario)


def test_replica_that_lost_its_folder_joins_though_its_peers_do_not_lead(tmp_path):
    """The configured peers may be outdated, so a new replica finds the leader by the
    answers of followers."""

    async def scenario(fleet):
        await submit(fleet, 1, 3)
        await caught_up(fleet)
        lost, follower = (n for n in "abc" if n != fleet.leader())
        await fleet.stop(lost)
        fleet.delete_folder(lost)
        config = fleet.config(lost)
        config.peers = [fleet.address_by_name[follower]]
        # At a new address, no member has a link to the replica.
        config.listen = statefleet.free_addresses(1)[0]
        app = stateapp.StateApplication(config, statefleet.modules())
        fleet.apps[lost] = app
        await app.on_start()
        identity = app.state.raft.identity
        leader = fleet.apps[fleet.leader()]
        await statefleet.wait_until(lambda: identity in leader.state.raft.members)

    run_fleet(tmp_path, scenario)
