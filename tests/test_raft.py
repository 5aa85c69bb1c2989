"""Tests Raft safety and liveness under message loss, crashes and lost data folders."""

import hypothesis
import pytest
from hypothesis import strategies

from sardinegauge.agreement import membership, raft, raftstate, replication
from tests import raftsim

NO_FAULTS = {
    "drop": 0.0,
    "duplicate": 0.0,
    "crash": 0.0,
    "isolate": 0.0,
    "freeze": 0.0,
    "lose": 0.0,
}


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    """Lower the limits, so that short logs need snapshots, chunks and batches."""
    monkeypatch.setattr(raft, "TRAILING_ENTRIES", 3)
    monkeypatch.setattr(replication, "MAX_BATCH_ENTRIES", 3)
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 200)


def make_group():
    """Return a simulator with a leader, and that leader."""
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (leader,) = simulator.leaders()
    return simulator, leader


def others(simulator, node):
    return [other for other in simulator.nodes.values() if other is not node]


@hypothesis.settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    drop=strategies.sampled_from([0.0, 0.05, 0.3]),
    duplicate=strategies.sampled_from([0.0, 0.1]),
    crash=strategies.sampled_from([0.0, 0.002, 0.01]),
    isolate=strategies.sampled_from([0.0, 0.002, 0.01]),
    freeze=strategies.sampled_from([0.0, 0.002]),
    lose=strategies.sampled_from([0.0, 0.0005]),
)
def test_nothing_committed_is_lost_under_faults(seed, **faults):
    simulator = raftsim.Simulator(seed)
    for number in range(4000):
        simulator.step(faults)
        if number % 500 == 0:
            simulator.check_log_matching()
    simulator.check_log_matching()
    simulator.run_without_faults(8000)
    if faults["lose"]:
        # If a second data folder is lost before the first member is replaced, no quorum
        # remains, and the group cannot make progress.
        return
    (leader,) = simulator.leaders()
    body = simulator.propose(leader)
    answered = simulator.reads_answered
    simulator.read(leader)
    simulator.run_without_faults(1000)
    assert simulator.reads_answered > answered
    for node in simulator.nodes.values():
        assert node.applied[-1][2] == body
        assert len(node.applied) == len(simulator.committed)


def test_isolated_leader_steps_down_and_answers_no_read():
    simulator, old = make_group()
    old.is_isolated = True
    simulator.read(old)
    simulator.run(500)
    assert old.state.role == raftstate.LEADER
    simulator.run(200)
    assert old.state.role == raftstate.FOLLOWER
    simulator.run(2000)
    (new,) = simulator.leaders()
    simulator.propose(new)
    answered = simulator.reads_answered
    simulator.read(old)
    simulator.run_without_faults(2000)
    assert simulator.reads_answered == answered
    assert old.state.term == new.state.term
    assert old.applied == new.applied


def test_frozen_leader_answers_no_stale_read():
    simulator, old = make_group()
    simulator.read(old)
    simulator.run(100)
    answered = simulator.reads_answered
    assert answered
    old.is_frozen = True
    simulator.run(2500)
    (new,) = [n for n in simulator.leaders() if n is not old]
    simulator.propose(new)
    simulator.run(200)
    old.is_frozen = False
    # The read arrives before the resumed leader receives any message.
    simulator.read(old)
    simulator.run(500)
    assert simulator.reads_answered == answered
    assert old.state.role == raftstate.FOLLOWER


def test_returning_replica_does_not_disturb_the_leader():
    simulator, leader = make_group()
    term = leader.state.term
    isolated = others(simulator, leader)[0]
    isolated.is_isolated = True
    simulator.run(10_000)
    assert isolated.state.term == term
    simulator.run_without_faults(2000)
    assert simulator.leaders() == [leader]
    assert leader.state.term == term


def test_vote_counts_only_after_it_is_durable():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    request = raft.raftmessages.VoteRequest(
        term=2, candidate="b", last_index=9, last_term=1
    )
    simulator.process_event(node, raft.Received(now_ms=0, message=request))
    assert simulator.in_transit == []
    simulator.write(node, len(node.writes))
    assert simulator.in_transit[0][2].granted
    simulator.crash(node)
    rival = request.replace(candidate="c")
    simulator.process_event(node, raft.Received(now_ms=0, message=rival))
    assert not simulator.in_transit[1][2].granted


def test_entries_are_acknowledged_only_when_durable():
    simulator, leader = make_group()
    follower = others(simulator, leader)[0]
    simulator.propose(leader)
    for position in range(len(simulator.in_transit) - 1, -1, -1):
        simulator.deliver(position)
    last = leader.state.log.last_index
    replies = [
        message.match_index
        for name, _, message in simulator.in_transit
        if name == follower.name and isinstance(message, raft.raftmessages.AppendReply)
    ]
    assert all(index < last for index in replies)
    assert leader.state.commit_index < last


def test_lost_folder_gets_a_new_identity_and_replaces_the_old_one():
    simulator, leader = make_group()
    lost, last = others(simulator, leader)
    for _ in range(30):
        simulator.propose(leader)
    simulator.run(500)
    simulator.lose_folder(lost)
    simulator.run(4000)
    identities = {lost.identity, last.identity, leader.identity}
    assert set(leader.state.members) == identities
    assert all(member.is_voter for member in leader.state.members.values())
    # The second data folder is lost right after the first member was replaced.
    simulator.lose_folder(last)
    simulator.run(4000)
    assert set(leader.state.members) == {
        lost.identity,
        last.identity,
        leader.identity,
    }
    assert len(lost.applied) == len(last.applied) == len(simulator.committed)


def test_learner_with_a_new_name_is_promoted_only_by_the_operator():
    simulator, leader = make_group()
    node = raftsim.Node("d", raftsim.Disk())
    node.start(simulator.now_ms)
    simulator.nodes["d"] = node
    simulator.run(3000)
    assert not leader.state.members["d"].is_voter
    assert node.applied == leader.applied
    assert raft.change_problem(leader.state, "promote", "d") == ""
    event = raft.MemberChangeRequested(
        now_ms=simulator.now_ms, identity="d", action="promote"
    )
    simulator.process_event(leader, event)
    assert raft.is_change_pending(leader.state)
    simulator.run(500)
    assert leader.state.members["d"].is_voter


def test_older_copy_of_a_folder_does_not_vote_and_rejoins():
    simulator, leader = make_group()
    stale, behind = others(simulator, leader)
    copy = stale.disk.copy()
    behind.is_isolated = True
    for _ in range(5):
        simulator.propose(leader)
    simulator.run(500)
    committed = leader.state.commit_index
    # The third replica receives the acknowledged indexes, but not the entries.
    simulator.in_transit.clear()
    behind.is_isolated = False
    table = [
        raft.raftmessages.MemberIndex(member=member, index=index)
        for member, index in leader.state.acknowledged.items()
    ]
    message = raft.raftmessages.AppendRequest(
        term=leader.state.term,
        leader=leader.identity,
        prev_index=committed,
        prev_term=leader.state.term,
        acknowledged=table,
    )
    event = raft.Received(now_ms=simulator.now_ms, message=message)
    simulator.process_event(behind, event)
    simulator.write(behind, len(behind.writes))
    simulator.crash(behind)
    simulator.in_transit.clear()
    leader.is_isolated = True
    stale.disk = copy
    stale.start(simulator.now_ms)
    simulator.run(5000)
    assert not [n for n in simulator.leaders() if n is not leader]
    simulator.run_without_faults(6000)
    assert simulator.rejoins == 1
    assert stale.identity != stale.name
    assert len(stale.applied) == len(simulator.committed) > committed


def test_replica_far_behind_catches_up_from_a_snapshot():
    simulator, leader = make_group()
    behind = others(simulator, leader)[0]
    behind.is_isolated = True
    for _ in range(50):
        simulator.propose(leader)
    simulator.run(500)
    members = {**leader.state.members}
    members["d"] = membership.Member(
        identity="d", name="d", address="d", is_voter=False
    )
    event = raft.JoinRequested(now_ms=simulator.now_ms, member=members["d"])
    simulator.process_event(leader, event)
    simulator.run(100)
    simulator.take_snapshot(leader)
    simulator.propose(leader)
    assert leader.state.log.base_index > behind.state.log.last_index
    simulator.run_without_faults(1000)
    assert behind.state.snapshot.index == leader.state.snapshot.index
    assert behind.state.members == members
    assert behind.applied == leader.applied
    simulator.crash(behind)
    simulator.run_without_faults(1000)
    assert behind.applied == leader.applied


def test_leadership_transfer_needs_no_election_timeout():
    simulator, leader = make_group()
    simulator.propose(leader)
    simulator.process_event(leader, raft.TransferRequested(now_ms=simulator.now_ms))
    simulator.run(100)
    (new,) = simulator.leaders()
    assert new is not leader


def test_quorum_counts_voters_only():
    table = {
        name: membership.Member(identity=name, name=name, address="", is_voter=voter)
        for name, voter in zip("abcde", (True, True, True, False, False))
    }
    assert not membership.is_quorum(table, {"a", "d", "e"})
    assert membership.quorum_value(table, {"a": 5, "d": 5, "e": 5}) == 0
