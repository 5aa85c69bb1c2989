"""Simulator of Raft replicas in virtual time, with faults of network and disk.

The simulator executes every effect of the reducer. Messages in transit may be
reordered, duplicated or dropped. Writes wait in a queue of their replica; a crash loses
those at the end of the queue.
"""

import json
import random

from sardinegauge.agreement import (
    joining,
    membership,
    raft,
    raftlog,
    raftstate,
    storage,
)

NAMES = ("a", "b", "c")


class Disk:
    """Simulated data folder of a replica."""

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
    """One replica.

    An isolated replica neither sends nor receives messages; a frozen one processes no
    events at all.
    """

    def __init__(self, name, disk, **limits):
        self.name = name
        self.limits = limits
        self.identity = name
        self.disk = disk
        self.is_isolated = False
        self.is_frozen = False
        self.writes = []
        self.state = None
        self.applied = []

    def start(self, now_ms):
        self.writes = []
        stored = self.disk.stored()
        self.state = raftstate.State(self.identity, stored, now_ms, **self.limits)
        self.applied = []
        if self.state.snapshot.blob:
            _, data = membership.unpack_snapshot(self.state.snapshot.blob)
            self.applied = json.loads(data)


class Simulator:
    """Replicas and their messages in transit, with checks after every event.

    `limits` are passed on to the `raftstate.State` of each replica.

    No two leaders share a term, no two replicas commit different entries at an index,
    and no read is answered at an index below the commits that preceded it.
    """

    def __init__(self, seed=0, names=NAMES, **limits):
        self.limits = limits
        self.random = random.Random(seed)
        self.now_ms = 0
        self.in_transit = []
        self.leader_by_term = {}
        self.committed = {}
        self.min_index_by_read = {}
        self.reads_answered = 0
        self.next_number = 0
        self.rejoins = 0
        members = {
            name: membership.Member(identity=name, name=name, address=name)
            for name in names
        }
        self.nodes = {name: Node(name, Disk(members), **limits) for name in names}
        for node in self.nodes.values():
            node.start(0)

    # Processing of one event.

    def process_event(self, node, event):
        if node.is_frozen:
            return
        for effect in raft.reduce(node.state, event):
            self._execute(node, effect)
        self._apply_committed(node)
        self._check(node)

    def _execute(self, node, effect):
        if isinstance(effect, raftstate.Send):
            if not node.is_isolated:
                self.in_transit.append((node.name, effect.member, effect.message))
        elif isinstance(
            effect,
            (raftstate.Persist, raftstate.InstallSnapshot, raftstate.SaveSnapshot),
        ):
            node.writes.append(effect)
        elif isinstance(effect, raftstate.RestoreStateMachine):
            node.applied = json.loads(effect.data)
            assert len(node.applied) == effect.index
            for index, item in enumerate(node.applied, 1):
                assert self.committed.setdefault(index, item) == item
        elif isinstance(effect, raftstate.ReadReady):
            min_index = self.min_index_by_read.pop(effect.read)
            assert effect.index >= min_index, "stale read"
            self.reads_answered += 1
        elif isinstance(effect, raftstate.Rejoin):
            self.rejoins += 1
            self.lose_folder(node)

    def _apply_committed(self, node):
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
                base = max(one.base_index, other.base_index)
                while last > base and one.term_at(last) != other.term_at(last):
                    last -= 1
                for index in range(base + 1, last + 1):
                    assert one.entry(index) == other.entry(index)

    def tick(self, node):
        jitter = self.random.random()
        self.process_event(node, raft.Tick(now_ms=self.now_ms, jitter=jitter))

    def deliver(self, position, keep=False):
        _, identity, message = self.in_transit[position]
        if not keep:
            self.in_transit[position] = self.in_transit[-1]
            self.in_transit.pop()
        for node in self.nodes.values():
            if node.identity == identity and not node.is_isolated:
                self.process_event(
                    node, raft.Received(now_ms=self.now_ms, message=message)
                )

    def write(self, node, count):
        if node.is_frozen:
            return
        done, node.writes = node.writes[:count], node.writes[count:]
        sequence = max((node.disk.write(effect) for effect in done), default=0)
        if sequence:
            event = raft.Persisted(now_ms=self.now_ms, sequence=sequence)
            self.process_event(node, event)

    def crash(self, node):
        for effect in node.writes[: self.random.randint(0, len(node.writes))]:
            node.disk.write(effect)
        node.is_frozen = False
        node.start(self.now_ms)

    def lose_folder(self, node):
        self.next_number += 1
        node.identity = f"{node.name}-{self.next_number}"
        node.disk = Disk()
        node.start(self.now_ms)

    def add(self, name):
        """Add a replica with an empty folder, which requests to join."""
        node = self.nodes[name] = Node(name, Disk(), **self.limits)
        node.start(self.now_ms)

    def propose(self, node):
        self.next_number += 1
        body = str(self.next_number).encode()
        self.process_event(node, raft.Proposed(now_ms=self.now_ms, bodies=[body]))
        return body.decode()

    def read(self, node):
        self.next_number += 1
        self.min_index_by_read[self.next_number] = max(self.committed, default=0)
        self.process_event(
            node, raft.ReadRequested(now_ms=self.now_ms, read=self.next_number)
        )

    def take_snapshot(self, node):
        data = json.dumps(node.applied).encode()
        self.process_event(
            node,
            raft.SnapshotTaken(now_ms=self.now_ms, index=len(node.applied), data=data),
        )

    def join_non_members(self):
        """Deliver the join requests of replicas that need membership.

        Each goes to every leader that is not isolated.
        """
        for node in self.nodes.values():
            is_silent = node.is_isolated or node.is_frozen
            if is_silent or not joining.is_needed(node.state, node.name):
                continue
            member = membership.Member(
                identity=node.identity, name=node.name, address=node.name
            )
            for leader in self.leaders():
                if not leader.is_isolated:
                    event = raft.JoinRequested(now_ms=self.now_ms, member=member)
                    self.process_event(leader, event)

    def leaders(self):
        return [n for n in self.nodes.values() if n.state.role == raftstate.LEADER]

    # Runs.

    def step(self, faults):
        """Execute one random action.

        `faults` holds probabilities by name, per delivered message for ``drop`` and
        ``duplicate`` and per step for all others.
        """
        self.now_ms += self.random.choice((0, 0, 1, 3, 10))
        node = self.random.choice(list(self.nodes.values()))
        choice = self.random.random()
        if self.random.random() < faults["crash"]:
            self.crash(node)
        elif self.random.random() < faults["lose"]:
            self.lose_folder(node)
        elif self.random.random() < faults["isolate"]:
            node.is_isolated = not node.is_isolated
        elif self.random.random() < faults["freeze"]:
            node.is_frozen = not node.is_frozen
        elif choice < 0.5 and self.in_transit:
            self._step_network(faults)
        elif choice < 0.7:
            self.write(node, self.random.randint(1, 5))
        elif choice < 0.85:
            self.tick(node)
        elif choice < 0.93:
            for leader in self.leaders():
                self.propose(leader)
        elif choice < 0.97:
            self.read(node)
        elif choice < 0.98:
            self.take_snapshot(node)
        elif choice < 0.99:
            self.join_non_members()
        else:
            event = raft.TransferRequested(now_ms=self.now_ms)
            self.process_event(node, event)

    def _step_network(self, faults):
        position = self.random.randrange(len(self.in_transit))
        # Links are streams, so most messages arrive in order.
        if self.random.random() < 0.7:
            position = 0
        if self.random.random() < faults["drop"]:
            self.in_transit.pop(position)
            return
        self.deliver(position, keep=self.random.random() < faults["duplicate"])

    def run_without_faults(self, duration_ms):
        """End all isolation and freezes, then run for a time without faults."""
        for node in self.nodes.values():
            node.is_isolated = False
            node.is_frozen = False
        self.run(duration_ms)

    def run(self, duration_ms):
        """Run for a time; isolated and frozen replicas stay so."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 20
            for node in self.nodes.values():
                self.tick(node)
            self.join_non_members()
            for _ in range(3):
                in_transit, self.in_transit = self.in_transit, []
                for item in in_transit:
                    self.in_transit.append(item)
                    self.deliver(len(self.in_transit) - 1)
                for node in self.nodes.values():
                    if not node.is_frozen:
                        self.write(node, len(node.writes))
