"""Tests single Raft rules that the randomized runs rarely reach."""

from sardinegauge.agreement import membership, raft, raftmessages, raftstate
from tests import raftsim


def receive(simulator, node, message):
    """Deliver a message to a replica and return the messages that it sends at once."""
    simulator.in_transit.clear()
    event = raft.Received(now_ms=simulator.now_ms, message=message)
    simulator.process_event(node, event)
    return [sent for name, _, sent in simulator.in_transit if name == node.name]


def write_all(simulator, node):
    while node.writes:
        simulator.write(node, len(node.writes))


def entry(index, term, kind="command", body=b"x"):
    return raftmessages.LogEntry(index=index, term=term, kind=kind, body=body)


def append(term, prev, entries=(), **fields):
    """Return an append request of leader b; `prev` is a pair of index and term."""
    return raftmessages.AppendRequest(
        term=term,
        leader="b",
        prev_index=prev[0],
        prev_term=prev[1],
        entries=list(entries),
        **fields,
    )


def make_candidate(simulator, node):
    """Make a replica a candidate whose own vote is not durable yet.

    Returns the reply of a voter that grants its vote.
    """
    simulator.now_ms += 5000
    simulator.tick(node)
    term = node.state.term + 1
    reply = raftmessages.VoteReply(
        term=term, voter="b", granted=True, pre_vote=True, last_index=9
    )
    receive(simulator, node, reply)
    assert node.state.role == raftstate.CANDIDATE
    return reply.replace(pre_vote=False)


def make_leader(simulator, node):
    granted = make_candidate(simulator, node)
    receive(simulator, node, granted)
    write_all(simulator, node)
    assert node.state.role == raftstate.LEADER


def test_pre_vote_is_refused_while_a_leader_lives():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    receive(simulator, node, append(2, (1, 1)))
    write_all(simulator, node)
    request = raftmessages.VoteRequest(
        term=3, candidate="c", last_index=9, last_term=9, pre_vote=True
    )
    (reply,) = receive(simulator, node, request)
    assert not reply.granted
    simulator.now_ms += raftstate.ELECTION_MIN_MS
    (reply,) = receive(simulator, node, request)
    assert reply.granted and node.state.term == 2


def test_candidate_counts_its_own_vote_only_when_durable():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    granted = make_candidate(simulator, node)
    receive(simulator, node, granted)
    earlier = node.state.sequence - 1
    simulator.process_event(
        node, raft.Persisted(now_ms=simulator.now_ms, sequence=earlier)
    )
    assert node.state.role == raftstate.CANDIDATE
    write_all(simulator, node)
    assert node.state.role == raftstate.LEADER


def test_replica_with_an_outdated_folder_starts_no_election():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    node.state.acknowledged["a"] = 7
    simulator.now_ms += 5000
    simulator.tick(node)
    assert node.state.role == raftstate.FOLLOWER and simulator.in_transit == []


def test_entries_of_older_terms_commit_only_below_an_own_entry():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    receive(simulator, node, append(2, (1, 1), [entry(2, 2)]))
    write_all(simulator, node)
    make_leader(simulator, node)
    simulator.read(node)
    term = node.state.term
    reply = raftmessages.AppendReply(
        term=term, member="c", success=True, match_index=2, read_round=9
    )
    receive(simulator, node, reply)
    assert node.state.commit_index == 0
    # A new leader may not know the newest committed entry yet.
    assert simulator.reads_answered == 0
    receive(simulator, node, reply.replace(match_index=3))
    assert node.state.commit_index == 3
    assert simulator.reads_answered == 1


def test_heartbeat_acknowledges_only_what_is_durable():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    receive(simulator, node, append(2, (1, 1)))
    write_all(simulator, node)
    receive(simulator, node, append(2, (1, 1), [entry(2, 2), entry(3, 2)]))
    (reply,) = receive(simulator, node, append(2, (3, 2)))
    assert reply.success and reply.match_index == 1
    write_all(simulator, node)
    # A leader of a later term replaces entry 3; its heartbeat arrives before that write
    # is durable.
    receive(simulator, node, append(3, (2, 2)))
    write_all(simulator, node)
    receive(simulator, node, append(3, (2, 2), [entry(3, 3)]))
    (reply,) = receive(simulator, node, append(3, (3, 3)))
    assert reply.success and reply.match_index == 2


def test_repeated_rejection_starts_no_second_pipeline():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    receive(simulator, node, append(2, (1, 1), [entry(i, 2) for i in range(2, 9)]))
    write_all(simulator, node)
    make_leader(simulator, node)
    refusal = raftmessages.AppendReply(
        term=node.state.term,
        member="c",
        prev_index=8,
        conflict_index=2,
        last_index=1,
    )
    assert len(receive(simulator, node, refusal)) == 1
    assert receive(simulator, node, refusal) == []


def test_truncated_membership_change_is_reverted():
    simulator = raftsim.Simulator()
    node = simulator.nodes["a"]
    before = dict(node.state.members)
    added = {
        **before,
        "d": membership.Member(identity="d", name="d", address="d", is_voter=False),
    }
    change = entry(2, 2, "members", membership.dumps(added))
    receive(simulator, node, append(2, (1, 1), [change]))
    assert node.state.members == added
    receive(simulator, node, append(3, (1, 1), [entry(2, 3)]))
    assert node.state.members == before


def test_member_that_answers_is_not_replaced_by_another_of_its_name():
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (leader,) = simulator.leaders()
    name = next(n for n in raftsim.NAMES if n != leader.name)
    node = raftsim.Node(name, raftsim.Disk())
    node.identity = "c2"
    node.start(simulator.now_ms)
    simulator.nodes["c2"] = node
    member = membership.Member(identity="c2", name=name, address=name)
    event = raft.JoinRequested(now_ms=simulator.now_ms, member=member)
    simulator.process_event(leader, event)
    simulator.run(2000)
    assert node.applied == leader.applied
    assert leader.state.members["c2"] == member.replace(is_voter=False)
    assert leader.state.members[name].is_voter


def test_learner_without_any_entries_is_not_promoted():
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (leader,) = simulator.leaders()
    lost = next(n for n in simulator.nodes.values() if n is not leader)
    simulator.lose_folder(lost)
    lost.is_isolated = True
    simulator.run(1000)
    member = membership.Member(
        identity=lost.identity, name=lost.name, address=lost.name
    )
    event = raft.JoinRequested(now_ms=simulator.now_ms, member=member)
    simulator.process_event(leader, event)
    simulator.run(1000)
    assert not leader.state.members[lost.identity].is_voter


def make_group_with_acknowledged_entries():
    """Return a simulator whose replicas know that 20 entries are acknowledged."""
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (leader,) = simulator.leaders()
    for _ in range(20):
        simulator.propose(leader)
    simulator.run(500)
    # The table of acknowledged indexes is stored with the next entry.
    simulator.propose(leader)
    simulator.run(500)
    return simulator, leader


def test_restarted_replica_applies_what_it_acknowledged_before_any_election():
    """New leaders applied the whole log after their election and were deposed."""
    simulator, _ = make_group_with_acknowledged_entries()
    for node in simulator.nodes.values():
        acknowledged = node.disk.acknowledged[node.identity]
        assert acknowledged >= 20
        node.start(simulator.now_ms)
        assert node.state.commit_index == acknowledged


def test_outdated_folder_commits_nothing_beyond_its_log():
    simulator, leader = make_group_with_acknowledged_entries()
    leader.disk.log.truncate_from(10)
    leader.start(simulator.now_ms)
    assert leader.state.commit_index == 9


def test_busy_leader_hands_over_at_once():
    """Entries appended during a transfer made its target lose the election.

    The group then had no leader until an election timeout, or the old leader stayed.
    """
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (old,) = simulator.leaders()
    simulator.propose(old)
    began_ms = simulator.now_ms
    while old.state.role == raftstate.LEADER:
        assert simulator.now_ms - began_ms < 200
        event = raft.TransferRequested(now_ms=simulator.now_ms)
        simulator.process_event(old, event)
        last_index = old.state.log.last_index
        simulator.propose(old)
        assert old.state.log.last_index == last_index
        # Messages take 10 ms and writes 20 ms, so a new entry is always in flight.
        in_transit, simulator.in_transit = simulator.in_transit, []
        for item in in_transit:
            simulator.in_transit.append(item)
            simulator.deliver(len(simulator.in_transit) - 1)
        simulator.now_ms += 10
        for node in simulator.nodes.values():
            simulator.write(node, 1)
    simulator.run(200)
    (new,) = simulator.leaders()
    assert new is not old
    assert new.state.term == old.state.term


def test_transfer_keeps_its_target_while_that_is_live():
    simulator = raftsim.Simulator()
    simulator.run(3000)
    (old,) = simulator.leaders()
    event = raft.TransferRequested(now_ms=simulator.now_ms)
    raft.reduce(old.state, event)
    target = old.state.transfer_target
    other = next(
        name for name in old.state.progress if name not in (target, old.identity)
    )
    old.state.progress[other].match_index += 1
    raft.reduce(old.state, event)
    assert old.state.transfer_target == target
