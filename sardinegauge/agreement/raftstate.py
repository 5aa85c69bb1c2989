"""State of the agreement reducer, its effects, and the steps all its parts share."""

import collections

from sardinegauge import record
from sardinegauge.agreement import membership

HEARTBEAT_MS = 100
ELECTION_MIN_MS = 600
ELECTION_SPREAD_MS = 600
# A leader that no quorum acknowledged for this long steps down.
CHECK_QUORUM_MS = 600

FOLLOWER = "follower"
PRECANDIDATE = "precandidate"
CANDIDATE = "candidate"
LEADER = "leader"


class Effect(record.Record):
    """Base of what the reducer asks the application to do."""

    __slots__ = ()


class Send(Effect):
    """Send a message to the member with this identity, or drop it."""

    __slots__ = ("member", "message")


class Persist(Effect):
    """Make hard state and entries durable, then report `sequence` as persisted.

    `truncate_from` is the index from which stored entries are dropped first, 0 for
    none. `acknowledged` is the table to store with them, or None if unchanged.
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
    """Replace log and snapshot by a received one, then report `sequence`."""

    __slots__ = ("sequence", "index", "term", "blob", "hard_term", "vote")


class SaveSnapshot(Effect):
    """Store an own snapshot, then drop stored entries up to `compact_to`."""

    __slots__ = ("index", "term", "blob", "compact_to")


class RestoreMachine(Effect):
    """Replace the machine by the one of an installed snapshot."""

    __slots__ = ("index", "data")


class ReadReady(Effect):
    """The read may be answered once the entry at `index` is applied."""

    __slots__ = ("read", "index")


class ReadFailed(Effect):
    """The read cannot be answered here."""

    __slots__ = ("read",)


class LeadershipGained(Effect):
    """This replica leads, and the first entry of its term is committed."""

    __slots__ = ("term",)


class LeadershipLost(Effect):
    """This replica no longer leads."""

    __slots__ = ()


class MembersChanged(Effect):
    """The newest table of members of the log has changed."""

    __slots__ = ()


class Rejoin(Effect):
    """The data folder is older than what it acknowledged: take a new identity."""

    __slots__ = ("acknowledged_index",)


class Snapshot(record.Record):
    """The newest snapshot; `blob` is made by `membership.pack_snapshot`."""

    __slots__ = ("index", "term", "blob")
    _defaults = {"index": 0, "term": 0, "blob": b""}


class Progress:
    """What a leader knows of one other member."""

    __slots__ = (
        "ack_ms",
        "in_flight",
        "is_probing",
        "match_index",
        "next_index",
        "read_round",
        "sent_ms",
        "snapshot_offset",
    )

    def __init__(self, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        # Until a request succeeded, only one is in flight, since all would fail.
        self.is_probing = True
        self.in_flight = collections.deque()  # Last index of each unanswered request.
        self.ack_ms = now_ms
        self.sent_ms = now_ms
        self.read_round = 0
        self.snapshot_offset = None


Write = collections.namedtuple("Write", "sequence term last_index truncate_from")


class Incoming:
    """A snapshot that is being received."""

    __slots__ = ("data", "index", "term")

    def __init__(self, index, term):
        self.index = index
        self.term = term
        self.data = bytearray()


class State:
    """The agreement state of one replica.

    Parameters
    ----------
    identity : str
        Own identity.
    stored : Stored
        What the data folder held, see `storage.Stored`.
    now_ms : int
        Time of creation.
    target_voters : int
        How many voters the group keeps by itself, 0 to leave members to operators.
        An entry is committed only when more than half of that many hold it, even
        while the group is smaller.
    """

    __slots__ = (
        "acknowledged",
        "commit_index",
        "durable_index",
        "durable_sequence",
        "durable_term",
        "effects",
        "election_due_ms",
        "election_sequence",
        "has_new_acknowledged",
        "heartbeat_due_ms",
        "identity",
        "incoming",
        "is_gained",
        "is_round_wanted",
        "jitter",
        "leader",
        "leader_contact_ms",
        "log",
        "members",
        "members_history",
        "now_ms",
        "pending_writes",
        "progress",
        "reads",
        "role",
        "round",
        "round_ms",
        "sequence",
        "snapshot",
        "target_voters",
        "term",
        "term_start_index",
        "transfer_due_ms",
        "transfer_to",
        "unsent",
        "vote",
        "votes",
    )

    def __init__(self, identity, stored, now_ms, target_voters=0):
        self.identity = identity
        self.target_voters = target_voters
        self.term = stored.term
        self.vote = stored.vote
        self.log = stored.log
        self.snapshot = stored.snapshot
        self.acknowledged = dict(stored.acknowledged)
        self.commit_index = self.snapshot.index
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
        self.round = 0
        self.round_ms = 0
        self.is_round_wanted = False
        self.term_start_index = 0
        self.is_gained = False
        self.transfer_to = ""
        self.transfer_due_ms = 0
        self.incoming = None
        self.sequence = 0
        self.durable_sequence = 0
        self.durable_index = self.log.last_index
        self.durable_term = self.term
        self.pending_writes = collections.deque()
        self.unsent = collections.deque()
        self.has_new_acknowledged = False
        self.effects = []
        # Pairs of index and table: the table in force is the newest of the log,
        # committed or not, and a truncation brings back the one before.
        self.members_history = [(0, {})]
        self.members = {}
        self._read_members()

    def _read_members(self):
        if self.snapshot.blob:
            members, _ = membership.unpack_snapshot(self.snapshot.blob)
            self.members_history = [(self.snapshot.index, members)]
        for entry in self.log.entries:
            if entry.kind == "members" and entry.index > self.snapshot.index:
                self.members_history.append((entry.index, membership.loads(entry.body)))
        self.members = self.members_history[-1][1]

    @property
    def is_voter(self):
        """Tell whether this replica counts in quorums, as far as it knows."""
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
        """Send at once; for messages that promise nothing about durable state."""
        self.emit(Send(member=member, message=message))

    def send_durable(self, member, message):
        """Send once everything written so far is durable."""
        if self.durable_sequence >= self.sequence:
            self.send(member, message)
        else:
            self.unsent.append((self.sequence, member, message))

    def persist(self, entries=(), truncate_from=0):
        """Write hard state and entries; see `Persist`."""
        self.sequence += 1
        table = None
        if self.has_new_acknowledged or truncate_from:
            table = dict(self.acknowledged)
            self.has_new_acknowledged = False
        self._note_write(truncate_from)
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

    def install(self, data):
        """Write the new snapshot in place of the log; `data` is the machine's."""
        self.sequence += 1
        self._note_write(self.snapshot.index + 1)
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
        self.emit(RestoreMachine(index=self.snapshot.index, data=data))

    def _note_write(self, truncate_from):
        write = Write(self.sequence, self.term, self.log.last_index, truncate_from)
        self.pending_writes.append(write)
        if truncate_from:
            self.durable_index = min(self.durable_index, truncate_from - 1)

    def note_persisted(self, sequence):
        """Release what waited for writes up to `sequence`."""
        self.durable_sequence = max(self.durable_sequence, sequence)
        while self.pending_writes and self.pending_writes[0].sequence <= sequence:
            write = self.pending_writes.popleft()
            self.durable_index = write.last_index
            self.durable_term = write.term
        # A later truncation that is still being written takes entries back.
        for write in self.pending_writes:
            if write.truncate_from:
                self.durable_index = min(self.durable_index, write.truncate_from - 1)
        while self.unsent and self.unsent[0][0] <= sequence:
            _, member, message = self.unsent.popleft()
            self.send(member, message)

    def note_members(self, index, members):
        """Put a new table of members in force."""
        self.members_history.append((index, members))
        self.members = members
        self.emit(MembersChanged())

    def forget_members_from(self, index):
        """Bring back the table in force before a truncation."""
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

    def raise_acknowledged(self, identity, index):
        """Note what a member acknowledged; the table only grows."""
        if index > self.acknowledged.get(identity, 0):
            self.acknowledged[identity] = index
            self.has_new_acknowledged = True

    def reset_election_timer(self):
        """Wait a fresh random time before the next election."""
        spread = int(ELECTION_SPREAD_MS * self.jitter)
        self.election_due_ms = self.now_ms + ELECTION_MIN_MS + spread

    def become_follower(self, term, leader=""):
        """Follow; a higher term is persisted without a vote."""
        if self.role == LEADER:
            self._drop_leadership()
        self.role = FOLLOWER
        if term > self.term:
            self.term = term
            self.vote = ""
            self.leader = ""
            self.persist()
        if leader:
            self.leader = leader
        self.votes = set()

    def _drop_leadership(self):
        for read, _, _ in self.reads:
            self.emit(ReadFailed(read=read))
        self.reads.clear()
        self.progress = {}
        self.leader = ""
        self.is_gained = False
        self.transfer_to = ""
        self.emit(LeadershipLost())
        self.reset_election_timer()
