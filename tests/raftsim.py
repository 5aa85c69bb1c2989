"""Replicas of the agreement reducer in virtual time, with a hostile network.

Every effect is executed by this simulator: messages wait in one bag and arrive in any
order, twice or never; writes wait in a queue of their replica and are lost in a crash.
"""

import json
import random

from sardinegauge.agreement import membership, raft, raftlog, raftstate, storage

NAMES = ("a", "b", "c")


class Disk:
    """What a replica's data folder would hold."""

    def __init__(self, members=None):
        self.term = 0
        self.vote = ""
        self.log = raftlog.Log()
        self.snapshot = raftstate.Snapshot()
        self.acknowledged = {}
        if members:
            body = membership.dumps(members)
            entry = raft.raftmessages.LogEntry(
                index=1, term=1, kind="members", body=body
            )
            self.term = 1
            self.log.append([entry])

    def write(self, effect):
        if isinstance(effect, raftstate.SaveSnapshot):
            self.snapshot = raftstate.Snapshot(
                index=effect.index, term=effect.term, blob=effect.blob
            )
            self.log.compact_to(effect.compact_to)
            return 0
        if isinstance(effect, raftstate.InstallSnapshot):
            self.term, self.vote = effect.hard_term, effect.vote
            self.snapshot = raftstate.Snapshot(
                index=effect.index, term=effect.term, blob=effect.blob
            )
            self.log.reset(effect.index, effect.term)
            return effect.sequence
        self.term, self.vote = effect.term, effect.vote
        if effect.truncate_from:
            self.log.truncate_from(effect.truncate_from)
        if effect.entries:
            assert effect.entries[0].index == self.log.last_index + 1
        self.log.append(effect.entries)
        if effect.acknowledged is not None:
            self.acknowledged = dict(effect.acknowledged)
        return effect.sequence

    def copy(self):
        other = Disk()
        other.term, other.vote = self.term, self.vote
        other.log = raftlog.Log(
            self.log.base_index, self.log.base_term, self.log.entries
        )
        other.snapshot = self.snapshot
        other.acknowledged = dict(self.acknowledged)
        return other

    def stored(self):
        copy = self.copy()
        return storage.Stored(
            term=copy.term,
            vote=copy.vote,
            log=copy.log,
            snapshot=copy.snapshot,
            acknowledged=copy.acknowledged,
        )


class Node:
    """One replica; `isolated` ones neither send nor receive."""

    def __init__(self, name, disk):
        self.name = name
        self.identity = name
        self.disk = disk
        self.is_isolated = False
        self.is_frozen = False
        self.writes = []
        self.state = None
        self.applied = []

    def boot(self, now_ms):
        self.writes = []
        self.state = raftstate.State(self.identity, self.disk.stored(), now_ms)
        self.applied = []
        if self.state.snapshot.blob:
            _, data = membership.unpack_snapshot(self.state.snapshot.blob)
            self.applied = json.loads(data)


class Simulator:
    """Three replicas, a bag of messages, and the checks after every event."""

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.bag = []
        self.leader_by_term = {}
        self.committed = {}
        self.floor_by_read = {}
        self.reads_answered = 0
        self.next_number = 0
        self.rejoins = 0
        members = {
            name: membership.Member(identity=name, name=name, address=name)
            for name in NAMES
        }
        self.nodes = {name: Node(name, Disk(members)) for name in NAMES}
        for node in self.nodes.values():
            node.boot(0)

    # Steps.

    def feed(self, node, event):
        if node.is_frozen:
            return
        for effect in raft.reduce(node.state, event):
            self._execute(node, effect)
        self._apply(node)
        self._check(node)

    def _execute(self, node, effect):
        if isinstance(effect, raftstate.Send):
            if not node.is_isolated:
                self.bag.append((node.name, effect.member, effect.message))
        elif isinstance(
            effect,
            (raftstate.Persist, raftstate.InstallSnapshot, raftstate.SaveSnapshot),
        ):
            node.writes.append(effect)
        elif isinstance(effect, raftstate.RestoreMachine):
            node.applied = json.loads(effect.data)
            assert len(node.applied) == effect.index
            for index, item in enumerate(node.applied, 1):
                assert self.committed.setdefault(index, item) == item
        elif isinstance(effect, raftstate.ReadReady):
            floor = self.floor_by_read.pop(effect.read)
            assert effect.index >= floor, "stale read"
            self.reads_answered += 1
        elif isinstance(effect, raftstate.Rejoin):
            self.rejoins += 1
            self.lose_folder(node)

    def _apply(self, node):
        while len(node.applied) < node.state.commit_index:
            index = len(node.applied) + 1
            entry = node.state.log.entry(index)
            item = [entry.term, entry.kind, entry.body.decode()]
            first = self.committed.setdefault(index, item)
            assert first == item, f"two committed entries at {index}"
            node.applied.append(item)

    def _check(self, node):
        state = node.state
        if state.role == raftstate.LEADER:
            first = self.leader_by_term.setdefault(state.term, state.identity)
            assert first == state.identity, f"two leaders in term {state.term}"

    def check_log_matching(self):
        logs = [node.state.log for node in self.nodes.values()]
        for one in logs:
            for other in logs:
                last = min(one.last_index, other.last_index)
                floor = max(one.base_index, other.base_index)
                while last > floor and one.term_at(last) != other.term_at(last):
                    last -= 1
                for index in range(floor + 1, last + 1):
                    assert one.entry(index) == other.entry(index)

    def tick(self, node):
        jitter = self.random.random()
        self.feed(node, raft.Tick(now_ms=self.now_ms, jitter=jitter))

    def deliver(self, position, keep=False):
        _, identity, message = self.bag[position]
        if not keep:
            self.bag[position] = self.bag[-1]
            self.bag.pop()
        for node in self.nodes.values():
            if node.identity == identity and not node.is_isolated:
                self.feed(node, raft.Received(now_ms=self.now_ms, message=message))

    def write(self, node, count):
        if node.is_frozen:
            return
        done, node.writes = node.writes[:count], node.writes[count:]
        sequence = max((node.disk.write(effect) for effect in done), default=0)
        if sequence:
            event = raft.Persisted(now_ms=self.now_ms, sequence=sequence)
            self.feed(node, event)

    def crash(self, node):
        for effect in node.writes[: self.random.randint(0, len(node.writes))]:
            node.disk.write(effect)
        node.is_frozen = False
        node.boot(self.now_ms)

    def lose_folder(self, node):
        self.next_number += 1
        node.identity = f"{node.name}-{self.next_number}"
        node.disk = Disk()
        node.boot(self.now_ms)

    def propose(self, node):
        self.next_number += 1
        body = str(self.next_number).encode()
        self.feed(node, raft.Appended(now_ms=self.now_ms, bodies=[body]))
        return body.decode()

    def read(self, node):
        self.next_number += 1
        self.floor_by_read[self.next_number] = max(self.committed, default=0)
        self.feed(node, raft.ReadRequested(now_ms=self.now_ms, read=self.next_number))

    def take_snapshot(self, node):
        data = json.dumps(node.applied).encode()
        self.feed(
            node,
            raft.SnapshotTaken(now_ms=self.now_ms, index=len(node.applied), data=data),
        )

    def join_missing(self):
        """Send the join requests of replicas that are no members."""
        for node in self.nodes.values():
            if node.identity in node.state.members or node.is_isolated:
                continue
            member = membership.Member(
                identity=node.identity, name=node.name, address=node.name
            )
            for leader in self.leaders():
                if not leader.is_isolated:
                    event = raft.JoinAsked(now_ms=self.now_ms, member=member)
                    self.feed(leader, event)

    def leaders(self):
        return [n for n in self.nodes.values() if n.state.role == raftstate.LEADER]

    # Runs.

    def step(self, faults):
        """Do one random thing; `faults` is rates by name, in events per step."""
        self.now_ms += self.random.choice((0, 0, 1, 3, 10))
        node = self.random.choice(list(self.nodes.values()))
        kind = self.random.random()
        if self.random.random() < faults["crash"]:
            self.crash(node)
        elif self.random.random() < faults["lose"]:
            self.lose_folder(node)
        elif self.random.random() < faults["isolate"]:
            node.is_isolated = not node.is_isolated
        elif self.random.random() < faults["freeze"]:
            node.is_frozen = not node.is_frozen
        elif kind < 0.5 and self.bag:
            self._step_network(faults)
        elif kind < 0.7:
            self.write(node, self.random.randint(1, 5))
        elif kind < 0.85:
            self.tick(node)
        elif kind < 0.93:
            for leader in self.leaders():
                self.propose(leader)
        elif kind < 0.97:
            self.read(node)
        elif kind < 0.98:
            self.take_snapshot(node)
        elif kind < 0.99:
            self.join_missing()
        else:
            event = raft.TransferAsked(now_ms=self.now_ms)
            self.feed(node, event)

    def _step_network(self, faults):
        position = self.random.randrange(len(self.bag))
        # A network of streams mostly keeps the order.
        if self.random.random() < 0.7:
            position = 0
        if self.random.random() < faults["drop"]:
            self.bag.pop(position)
            return
        self.deliver(position, keep=self.random.random() < faults["duplicate"])

    def run_calm(self, duration_ms):
        """Let time pass without faults."""
        for node in self.nodes.values():
            node.is_isolated = False
            node.is_frozen = False
        self.run(duration_ms)

    def run(self, duration_ms):
        """Let time pass; isolated and frozen replicas stay so."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 20
            for node in self.nodes.values():
                self.tick(node)
            self.join_missing()
            for _ in range(3):
                bag, self.bag = self.bag, []
                for item in bag:
                    self.bag.append(item)
                    self.deliver(len(self.bag) - 1)
                for node in self.nodes.values():
                    if not node.is_frozen:
                        self.write(node, len(node.writes))
