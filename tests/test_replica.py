"""Guards a replica's leases, commands in doubt and snapshots, in virtual time."""

import json

from sardinegauge import commands
from sardinegauge.agreement import (
    membership,
    raft,
    raftlog,
    raftmessages,
    raftstate,
    storage,
)
from sardinegauge.links import messages
from sardinegauge.state import replica, replicaeffects
from tests import statefleet


class Group:
    """Replica a of a group, alone by default; writes are durable only on `persist`."""

    def __init__(self, names="a", command_count=0):
        members = {
            name: membership.Member(identity=name, name=name, address=f"127.0.0.1:{i}")
            for i, name in enumerate(names, 1)
        }
        member = members["a"]
        body = membership.dumps(members)
        entries = [raftmessages.LogEntry(index=1, term=1, kind="members", body=body)]
        for index in range(2, 2 + command_count):
            command = b'{"kind":"ExpireClaims","before_ms":1}'
            entries.append(
                raftmessages.LogEntry(index=index, term=1, kind="command", body=command)
            )
        stored = storage.Stored(term=1, log=raftlog.Log(entries=entries))
        self.state = replica.State(
            "a", member.address, stored, statefleet.modules(), now_ms=0
        )
        self.now_ms = 5000
        self.sequence = 0
        self.token = 0
        self.replies = {}
        self.pushes = []
        self.sent = []

    def dispatch(self, event):
        for effect in replica.reduce(self.state, event):
            if isinstance(effect, raftstate.Persist):
                self.sequence = effect.sequence
            elif isinstance(effect, replicaeffects.Reply):
                self.replies[effect.token] = effect.message
            elif isinstance(effect, raftstate.Send):
                self.sent.append(effect)
            elif isinstance(effect, replicaeffects.Push):
                self.pushes.append(effect.message)

    def persist(self):
        """Report writes as durable until none is pending."""
        done = -1
        while done != self.sequence:
            done = self.sequence
            self.dispatch(raft.Persisted(now_ms=self.now_ms, sequence=done))

    def become_leader(self):
        self.dispatch(raft.Tick(now_ms=self.now_ms, jitter=0.0))
        self.persist()
        assert self.state.is_leading

    def become_leader_of_three(self):
        """Win an election by the vote of b, and return b's reply to the first entry."""
        self.dispatch(raft.Tick(now_ms=self.now_ms, jitter=0.0))
        for is_pre_vote in (True, False):
            vote = raftmessages.VoteReply(
                term=2, voter="b", granted=True, pre_vote=is_pre_vote, last_index=1
            )
            self.dispatch(raft.Received(now_ms=self.now_ms, message=vote))
            self.persist()
        reply = raftmessages.AppendReply(
            term=2, member="b", success=True, match_index=2
        )
        self.dispatch(raft.Received(now_ms=self.now_ms, message=reply))
        assert self.state.is_leading
        return reply

    def send_request(self, message):
        self.token += 1
        self.dispatch(
            replica.RequestReceived(
                now_ms=self.now_ms, wall_ms=9, token=self.token, message=message
            )
        )
        return self.token

    def heartbeat(self, incarnation="i1", sequence=1):
        return self.send_request(
            messages.Heartbeat(upstream="u", incarnation=incarnation, sequence=sequence)
        )

    def propose(self, command):
        """Let the scheduler propose a command."""
        self.state.scheduler.proposals.append(command)
        self.dispatch(replica.SchedulerTick(now_ms=self.now_ms, wall_ms=9))


def test_no_lease_is_renewed_while_the_loss_of_its_worker_is_logged():
    group = Group()
    group.become_leader()
    assert group.replies[group.heartbeat()].lease_ms == 10_000
    group.propose(commands.WorkerLost(upstream="u", incarnation="i1"))
    token = group.heartbeat(sequence=2)
    assert token not in group.replies
    group.now_ms += 1000
    group.dispatch(replica.SchedulerTick(now_ms=group.now_ms, wall_ms=9))
    assert (group.replies[token].confirmed, group.replies[token].lease_ms) == (False, 0)
    group.persist()
    assert group.replies[group.heartbeat(sequence=3)].lease_ms == 10_000


def test_heartbeat_before_the_first_entry_of_the_term_renews_nothing():
    group = Group()
    group.dispatch(raft.Tick(now_ms=group.now_ms, jitter=0.0))
    assert not group.replies[group.heartbeat()].confirmed


def test_table_of_another_incarnation_is_never_sent():
    group = Group()
    group.become_leader()
    group.heartbeat(incarnation="old")
    group.heartbeat(incarnation="new")
    scheduler = group.state.scheduler
    scheduler.incarnations["u"] = "old"
    group.pushes.clear()
    group.propose(commands.ExpireClaims(before_ms=0))
    group.persist()
    assert group.pushes == []


def test_open_heartbeat_gets_an_answer_when_a_newer_one_arrives():
    group = Group()
    group.become_leader()
    group.propose(commands.WorkerLost(upstream="u", incarnation="i1"))
    first = group.heartbeat(sequence=1)
    group.heartbeat(sequence=2)
    assert not group.replies[first].confirmed
    assert group.replies[first].sequence == 1


def test_commands_are_stamped_with_the_leaders_wall_clock():
    group = Group()
    group.become_leader()
    group.send_request(
        messages.Propose(command=b'{"kind":"ExpireClaims","before_ms":1}')
    )
    body = group.state.raft.log.entries[-1].body
    assert commands.REGISTRY.loads(body).at_ms == 9


def test_waiting_commands_are_in_doubt_after_the_leadership_is_lost():
    group = Group()
    group.become_leader()
    body = b'{"kind":"ExpireClaims","before_ms":1}'
    token = group.send_request(messages.Propose(command=body))
    request = raftmessages.VoteRequest(term=9, candidate="b", last_index=9, last_term=8)
    group.dispatch(raft.Received(now_ms=group.now_ms, message=request))
    assert group.replies[token].verdict == "may-have-run"
    late = group.send_request(messages.Propose(command=body))
    assert group.replies[late].verdict == "not-run"


def test_no_lease_is_renewed_before_a_quorum_confirmed_the_round():
    group = Group("abc")
    reply = group.become_leader_of_three()
    token = group.heartbeat()
    group.dispatch(raft.Received(now_ms=group.now_ms, message=reply))  # An older round.
    assert token not in group.replies
    sent_round = group.sent[-1].message.read_round
    reply = reply.replace(read_round=sent_round)
    group.dispatch(raft.Received(now_ms=group.now_ms, message=reply))
    assert group.replies[token].confirmed


def test_scheduler_starts_only_with_a_current_machine(monkeypatch):
    monkeypatch.setattr(replica, "APPLY_BATCH", 1)
    group = Group(command_count=20)
    group.dispatch(raft.Tick(now_ms=group.now_ms, jitter=0.0))
    group.persist()
    while not group.state.is_leading:
        assert group.state.applied_index < 22
        group.dispatch(replica.ApplyCommitted(now_ms=group.now_ms))
    assert group.state.machine.index == 21


def test_snapshot_in_steps_holds_the_machine_of_its_index(monkeypatch):
    monkeypatch.setattr(replica, "SNAPSHOT_ENTRIES", 4)
    group = Group()
    group.become_leader()
    for name in "defg":
        job = (
            b'{"kind":"SubmitJob","operator":"o","request_id":"%b","name":"%b",'
            b'"tenant":"t","cores":1,"memory_mb":1}'
        )
        group.send_request(
            messages.Propose(command=job % (name.encode(), name.encode()))
        )
        group.persist()
    while group.state.snapshotting:  # Commands were applied since its start.
        group.dispatch(replica.ApplyCommitted(now_ms=group.now_ms))
    snapshot = group.state.raft.snapshot
    assert 0 < snapshot.index < group.state.applied_index
    _, data = membership.unpack_snapshot(snapshot.blob)
    restored = statefleet.from_snapshot(json.loads(data))
    assert restored.jobs == group.state.machine.jobs[: len(restored.jobs)]
    assert restored.index == snapshot.index


def test_large_entries_cause_a_snapshot_and_are_dropped(monkeypatch):
    monkeypatch.setattr(replica, "SNAPSHOT_LOG_BYTES", 10_000)
    monkeypatch.setattr(raft, "TRAILING_BYTES", 3000)
    group = Group()
    group.become_leader()
    for number in range(30):
        command = (
            b'{"kind":"CancelJobs","operator":"o","request_id":"%d","jobs":["%s"]}'
        )
        body = command % (number, b"j" * 1000)
        group.send_request(messages.Propose(command=body))
        group.persist()
    log = group.state.raft.log
    assert group.state.raft.snapshot.index > 20
    assert log.size_bytes == sum(len(entry.body) for entry in log.entries) < 13_000


def test_commands_are_refused_while_a_slow_disk_holds_too_many(monkeypatch):
    monkeypatch.setattr("sardinegauge.state.requests.MAX_UNCOMMITTED", 5)
    group = Group("abc")
    reply = group.become_leader_of_three()
    body = b'{"kind":"ExpireClaims","before_ms":1}'
    tokens = []
    for number in range(6):
        tokens.append(group.send_request(messages.Propose(command=body)))
        # A quorum of other members has each entry before the leader's disk does.
        for member in "bc":
            acknowledged = reply.replace(member=member, match_index=3 + number)
            group.dispatch(raft.Received(now_ms=group.now_ms, message=acknowledged))
    verdicts = [group.replies[token].verdict for token in tokens]
    assert verdicts == ["ran"] * 5 + ["not-run"]
    group.persist()
    assert group.send_request(messages.Propose(command=body)) not in group.replies


def test_large_entries_are_applied_in_small_parts():
    """The leader applied many sets of queues at once, and was deposed meanwhile."""
    group = Group(command_count=40)
    log = group.state.raft.log
    for entry in log.entries[1:]:
        entry.body = entry.body.replace(b"}", b" " * 12_000 + b"}")
    group.dispatch(raft.Tick(now_ms=group.now_ms, jitter=0.0))
    parts = 0
    group.persist()
    applied_index = group.state.applied_index
    assert applied_index <= 8
    while not group.state.is_leading:
        group.dispatch(replica.ApplyCommitted(now_ms=group.now_ms))
        assert group.state.applied_index - applied_index <= 4
        applied_index = group.state.applied_index
        parts += 1
    assert parts >= 10


def test_only_one_event_at_a_time_continues_to_apply():
    """Each event that left entries behind scheduled one more, up to hundreds."""
    group = Group(command_count=20)
    scheduled = 0
    group.state.raft.commit_index = 21
    for entry in group.state.raft.log.entries:
        entry.body += b" " * replica.APPLY_BATCH_BYTES
    group.now_ms = 0
    for _ in range(5):
        effects = replica.reduce(
            group.state, replica.SchedulerTick(now_ms=0, wall_ms=9)
        )
        scheduled += sum(isinstance(e, replicaeffects.ScheduleApply) for e in effects)
    assert scheduled == 1


def test_replica_that_stops_appends_nothing_more():
    """Commands of the scheduler kept a busy leader from handing over."""
    group = Group("abc")
    group.become_leader_of_three()
    group.dispatch(replica.StopRequested(now_ms=group.now_ms))
    last_index = group.state.raft.log.last_index
    group.propose(commands.ExpireClaims(before_ms=0))
    token = group.send_request(
        messages.Propose(command=b'{"kind":"ExpireClaims","before_ms":1}')
    )
    assert group.replies[token].verdict == "not-run"
    assert group.state.raft.log.last_index == last_index
