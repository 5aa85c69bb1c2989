"""State of the Raft reducer, its effects, and the operations its modules share."""

import collections

from sardinegauge import record
from sardinegauge.agreement import membership

HEARTBEAT_MS = 100
ELECTION_MIN_MS = 600
ELECTION_SPREAD_MS = 600
# A leader that has no acknowledgement from a quorum for this long steps down.
CHECK_QUORUM_MS = 600
# Default of the silence after which a voter is replaced by a learner of another name.
REPLACEMENT_MS = 8000

FOLLOWER = "follower"
PRECANDIDATE = "precandidate"
CANDIDATE = "candidate"
LEADER = "leader"


class Effect(record.Record):
    """Base of the actions that the reducer requests from the application."""

    __slots__ = ()


class Send(Effect):
    """Send a message to the member with this identity.

    Delivery is best effort: without an open link the message is dropped.
    """

    __slots__ = ("member", "message")


class Persist(Effect):
    """Make hard state and entries durable, then report `sequence` as persisted.

    The hard state is `term` and `vote`. Stored entries from index `truncate_from` on
    are deleted first; 0 deletes none. `acknowledged` is the table of acknowledged
    indexes to store with the entries, or None if it is unchanged.
    """

    __slots__ = (
        "sequence",
        "term",
        "vote",
        "truncate_from",
        "entries",
        "acknowledged",
    )


class InstallSnapshot(Effect):
    """Replace the log and snapshot by a received snapshot, then report `sequence`.

    `term` is that of the last entry covered; `hard_term` and `vote` are hard state.
    """

    __slots__ = ("sequence", "index", "term", "blob", "hard_term", "vote")


class SaveSnapshot(Effect):
    """Store a snapshot taken by this replica, then compact the log to `compact_to`."""

    __slots__ = ("index", "term", "blob", "compact_to")


class RestoreStateMachine(Effect):
    """Restore the state machine from the data of an installed snapshot."""

    __slots__ = ("index", "data")


class ReadReady(Effect):
    """The read may be answered once the entry at `index` is applied."""

    __slots__ = ("read", "index")


class ReadFailed(Effect):
    """The read was not confirmed, since this replica is not the leader."""

    __slots__ = ("read",)


class LeadershipGained(Effect):
    """This replica is the leader, and the first entry of its term is committed."""

    __slots__ = ("term",)


class LeadershipLost(Effect):
    """This replica is no longer the leader, for the reason given."""

    __slots__ = ("reason",)


class MembersChanged(Effect):
    """The table of members in force has changed."""

    __slots__ = ()


class Rejoin(Effect):
    """Discard this identity and join the group again under a new one.

    The log is shorter than what this identity acknowledged, so the data folder is an
    older copy.
    """

    __slots__ = ("acknowledged_index",)


class Snapshot(record.Record):
    """The newest snapshot; `blob` is packed by `membership.pack_snapshot`."""

    __slots__ = ("index", "term", "blob")
    _defaults = {"index": 0, "term": 0, "blob": b""}


class Progress:
    """The replication progress of one other member, as the leader knows it."""

    __slots__ = (
        "in_flight",
        "is_probing",
        "last_ack_ms",
        "match_index",
        "next_index",
        "read_round",
        "sent_ms",
        "snapshot_offset",
    )

    def __init__(self, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        # While the matching index is unknown, only one request is in flight: any
        # further ones would be rejected as well.
        self.is_probing = True
        self.in_flight = collections.deque()  # Last index of each unanswered request.
        self.last_ack_ms = now_ms
        self.sent_ms = now_ms
        self.read_round = 0
        self.snapshot_offset = None


Write = collections.namedtuple("Write", "sequence term last_index truncate_from")


class IncomingSnapshot:
    """A snapshot that is being received."""

    __slots__ = ("data", "index", "term")

    def __init__(self, index, term):
        self.index = index
        self.term = term
        self.data = bytearray()


class State:
    """The Raft state of one replica.

    Parameters
    ----------
    identity : str
        Identity of this replica.
    stored : Stored
        State loaded from the data folder, see `storage.Stored`.
    now_ms : int
        Monotonic time of creation in milliseconds.
    target_voters : int
        Number of voters that the leader maintains by promoting learners and removing
        failed members. With 0 it only replaces members whose data folder was lost,
        and operators make all other changes. An entry is committed only when more
        than half of this number of voters hold it, even while the group has fewer.
    replacement_ms : int
        With `target_voters`, a voter that has not replied for this long is replaced by
        a learner of another name.
    """

    __slots__ = (
        "acknowledged",
        "commit_index",
        "deferred_messages",
        "durable_index",
        "durable_sequence",
        "durable_term",
        "effects",
        "election_due_ms",
        "election_sequence",
        "has_committed_term_entry",
        "has_unsaved_acknowledged",
        "heartbeat_due_ms",
        "identity",
        "incoming_snapshot",
        "is_read_round_requested",
        "jitter",
        "last_read_round",
        "leader",
        "leader_contact_ms",
        "log",
        "members",
        "members_history",
        "now_ms",
        "pending_writes",
        "progress",
        "read_round_started_ms",
        "reads",
        "replacement_ms",
        "role",
        "sequence",
        "snapshot",
        "target_voters",
        "term",
        "term_start_index",
        "transfer_deadline_ms",
        "transfer_target",
        "vote",
        "votes",
    )

    def __init__(
        self, identity, stored, now_ms, target_voters=0, replacement_ms=REPLACEMENT_MS
    ):
        self.identity = identity
        self.target_voters = target_voters
        self.replacement_ms = replacement_ms
        self.term = stored.term
        self.vote = stored.vote
        self.log = stored.log
        self.snapshot = stored.snapshot
        self.acknowledged = dict(stored.acknowledged)
        # Entries that this replica acknowledged and knows to be committed are applied
        # before the first election. Otherwise a new leader is busy with its whole log.
        self.commit_index = max(
            self.snapshot.index,
            min(self.acknowledged.get(identity, 0), self.log.last_index),
        )
        self.role = FOLLOWER
        self.leader = ""
        self.leader_contact_ms = now_ms - ELECTION_MIN_MS
        self.now_ms = now_ms
        self.jitter = 0.5
        self.election_due_ms = now_ms + ELECTION_MIN_MS
        self.heartbeat_due_ms = 0
        self.election_sequence = 0
        self.votes = set()
        self.progress = {}
        self.reads = collections.deque()
        self.last_read_round = 0
        self.read_round_started_ms = 0
        self.is_read_round_requested = False
        self.term_start_index = 0
        self.has_committed_term_entry = False
        self.transfer_target = ""
        self.transfer_deadline_ms = 0
        self.incoming_snapshot = None
        self.sequence = 0
        self.durable_sequence = 0
        self.durable_index = self.log.last_index
        self.durable_term = self.term
        self.pending_writes = collections.deque()
        self.deferred_messages = collections.deque()
        self.has_unsaved_acknowledged = False
        self.effects = []
        # Pairs of log index and table of members. The newest table in the log is in
        # force, committed or not; truncating its entry restores the previous table.
        self.members_history = [(0, {})]
        self.members = {}
        self._load_members()

    def _load_members(self):
        if self.snapshot.blob:
            members, _ = membership.unpack_snapshot(self.snapshot.blob)
            self.members_history = [(self.snapshot.index, members)]
        for entry in self.log.entries:
            if entry.kind == "members" and entry.index > self.snapshot.index:
                self.members_history.append((entry.index, membership.loads(entry.body)))
        self.members = self.members_history[-1][1]

    @property
    def is_voter(self):
        """Whether this replica is a voter in its own table of members."""
        member = self.members.get(self.identity)
        return member is not None and member.is_voter

    @property
    def leader_address(self):
        """Address of the known leader, or empty."""
        member = self.members.get(self.leader)
        return member.address if member else ""

    def emit(self, effect):
        """Add an effect to the result of the current event."""
        self.effects.append(effect)

    def send(self, member, message):
        """Send at once; only for messages that do not depend on durable state."""
        self.emit(Send(member=member, message=message))

    def send_when_durable(self, member, message):
        """Send once all writes requested so far are durable."""
        if self.durable_sequence >= self.sequence:
            self.send(member, message)
        else:
            self.deferred_messages.append((self.sequence, member, message))

    def persist(self, entries=(), truncate_from=0):
        """Request a write of hard state and entries; see `Persist`."""
        self.sequence += 1
        table = None
        if self.has_unsaved_acknowledged or truncate_from:
            table = dict(self.acknowledged)
            self.has_unsaved_acknowledged = False
        self._record_write(truncate_from)
        self.emit(
            Persist(
                sequence=self.sequence,
                term=self.term,
                vote=self.vote,
                truncate_from=truncate_from,
                entries=list(entries),
                acknowledged=table,
            )
        )

    def install_snapshot(self, data):
        """Replace the stored log by `snapshot`, and the state machine by `data`."""
        self.sequence += 1
        self._record_write(self.snapshot.index + 1)
        self.emit(
            InstallSnapshot(
                sequence=self.sequence,
                index=self.snapshot.index,
                term=self.snapshot.term,
                blob=self.snapshot.blob,
                hard_term=self.term,
                vote=self.vote,
            )
        )
        self.emit(RestoreStateMachine(index=self.snapshot.index, data=data))

    def _record_write(self, truncate_from):
        write = Write(self.sequence, self.term, self.log.last_index, truncate_from)
        self.pending_writes.append(write)
        if truncate_from:
            self.durable_index = min(self.durable_index, truncate_from - 1)

    def mark_durable(self, sequence):
        """Record writes up to `sequence` as durable and send deferred messages."""
        self.durable_sequence = max(self.durable_sequence, sequence)
        while self.pending_writes and self.pending_writes[0].sequence <= sequence:
            write = self.pending_writes.popleft()
            self.durable_index = write.last_index
            self.durable_term = write.term
        # A truncation that is not durable yet deletes entries that these writes stored.
        for write in self.pending_writes:
            if write.truncate_from:
                self.durable_index = min(self.durable_index, write.truncate_from - 1)
        while self.deferred_messages and self.deferred_messages[0][0] <= sequence:
            _, member, message = self.deferred_messages.popleft()
            self.send(member, message)

    def set_members(self, index, members):
        """Put the table of members from the entry at `index` in force."""
        self.members_history.append((index, members))
        self.members = members
        self.emit(MembersChanged())

    def revert_members_from(self, index):
        """Restore the table of members in force before `index`, which is truncated."""
        if self.members_history[-1][0] < index:
            return
        while len(self.members_history) > 1 and self.members_history[-1][0] >= index:
            self.members_history.pop()
        self.members = self.members_history[-1][1]
        self.emit(MembersChanged())

    def members_at(self, index):
        """Return the table of members in force at an index."""
        for since, members in reversed(self.members_history):
            if since <= index:
                return members
        return {}

    def record_acknowledged(self, identity, index):
        """Raise the highest committed index that a member has acknowledged.

        The index never decreases, so a member whose log ends before it runs on an
        older copy of its data folder.
        """
        if index > self.acknowledged.get(identity, 0):
            self.acknowledged[identity] = index
            self.has_unsaved_acknowledged = True

    def reset_election_timer(self):
        """Set the next election timeout, randomized by `jitter`."""
        spread = int(ELECTION_SPREAD_MS * self.jitter)
        self.election_due_ms = self.now_ms + ELECTION_MIN_MS + spread

    def become_follower(self, term, leader=""):
        """Become a follower; a higher term clears the vote and is persisted."""
        if self.role == LEADER:
            is_deposed = term > self.term
            self._step_down("a higher term" if is_deposed else "no quorum in contact")
        self.role = FOLLOWER
        if term > self.term:
            self.term = term
            self.vote = ""
            self.leader = ""
            self.persist()
        if leader:
            self.leader = leader
        self.votes = set()

    def _step_down(self, reason):
        for read, _, _ in self.reads:
            self.emit(ReadFailed(read=read))
        self.reads.clear()
        self.progress = {}
        self.leader = ""
        self.has_committed_term_entry = False
        self.transfer_target = ""
        self.emit(LeadershipLost(reason=reason))
        self.reset_election_timer()
