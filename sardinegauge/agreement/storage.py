"""The data folder of a replica: identity, hard state, log segments and snapshots."""

import contextlib
import fcntl
import json
import logging
import os
import secrets
import struct

from sardinegauge import errors, record
from sardinegauge.agreement import (
    atomicfile,
    membership,
    raftlog,
    raftmessages,
    raftstate,
    segments,
)

_IDENTITY = "identity"
_HARD_STATE = "hardstate"
_LOG = "log"
_SNAPSHOTS = "snapshots"
_LOCK = "lock"
# Exists while the files of an abandoned identity are moved to a folder of their own;
# holds the name of that folder.
_SET_ASIDE_MARKER = "set-aside"
# Exists while a new data folder is filled. Nothing in the folder has been acknowledged
# then, so it may be deleted.
_CREATION_MARKER = "creating"
# Written and deleted to check that the disk is writable and has free space.
_PROBE_FILE = "probe"
_PROBE_BYTES = 64 << 10
_ASIDE_PREFIX = "aside-"
_SNAPSHOT_SUFFIX = ".snapshot"
_SNAPSHOT_HEAD = struct.Struct("<QQ")  # Index and term of the last entry covered.

log = logging.getLogger(__name__)


class Stored(record.Record):
    """The state loaded from a data folder.

    `acknowledged` is the highest acknowledged index by member identity.
    """

    __slots__ = ("term", "vote", "log", "snapshot", "acknowledged")
    _defaults = {
        "term": 0,
        "vote": "",
        "log": raftlog.Log,
        "snapshot": raftstate.Snapshot,
        "acknowledged": dict,
    }


class DataFolder:
    """An open data folder, locked against other processes.

    All methods block until their writes are durable, except `append`, whose writes are
    durable after `sync`.

    Parameters
    ----------
    path : str
        The folder; it is created if missing.
    """

    def __init__(self, path):
        self.path = path
        self.identity = ""
        self.segments = segments.SegmentLog(os.path.join(path, _LOG))
        self._hard_state = None
        os.makedirs(path, exist_ok=True)
        self._lock = os.open(os.path.join(path, _LOCK), os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise errors.UserError(f"{path}: in use by another process") from error

    def _path_of(self, name):
        return os.path.join(self.path, name)

    @property
    def is_empty(self):
        """Whether the folder holds no state of a replica."""
        if os.path.exists(self._path_of(_IDENTITY)):
            return False
        for name in (_LOG, _SNAPSHOTS):
            folder = self._path_of(name)
            if os.path.isdir(folder) and any(
                not item.endswith(atomicfile.TEMPORARY_SUFFIX)
                for item in os.listdir(folder)
            ):
                return False
        return True

    def create(self, identity, members=None):
        """Initialize an empty folder with a new identity.

        Parameters
        ----------
        identity : str
            Identity of the replica.
        members : dict or None
            The `membership.Member` by identity of a new group, or None for a replica
            that joins an existing group.

        Raises
        ------
        UserError
            If the folder already holds a replica's state.
        """
        if not self.is_empty:
            raise errors.UserError(f"{self.path}: already holds the state of a replica")
        for name in (_LOG, _SNAPSHOTS):
            os.makedirs(self._path_of(name), exist_ok=True)
        atomicfile.write(self._path_of(_CREATION_MARKER), b"")
        self.save_hard_state(1 if members else 0, "")
        self.segments.start_segment(1)
        if members:
            # Every initial member writes the same first entry in term 1, which has no
            # election, so the entry counts as committed.
            body = membership.dumps(members)
            entry = raftmessages.LogEntry(index=1, term=1, kind="members", body=body)
            self.append([entry])
        self.sync()
        self.identity = identity
        atomicfile.write(
            self._path_of(_IDENTITY), json.dumps({"identity": identity}).encode()
        )
        os.unlink(self._path_of(_CREATION_MARKER))
        atomicfile.sync_folder(self.path)

    def remove_unfinished_creation(self):
        """Delete the files of a creation that was interrupted by a crash."""
        if not os.path.exists(self._path_of(_CREATION_MARKER)):
            return
        for name in (_IDENTITY, _HARD_STATE):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path_of(name))
        for item in os.listdir(self._path_of(_LOG)):
            os.unlink(os.path.join(self._path_of(_LOG), item))
        atomicfile.sync_folder(self._path_of(_LOG))
        os.unlink(self._path_of(_CREATION_MARKER))
        atomicfile.sync_folder(self.path)

    def load(self):
        """Read and verify all files and return the state as `Stored`.

        Raises
        ------
        DataFolderError
            If a file is damaged or missing. No file has been changed then.
        """
        self.identity = json.loads(atomicfile.read(self._path_of(_IDENTITY)))[
            "identity"
        ]
        hard_state = json.loads(atomicfile.read(self._path_of(_HARD_STATE)))
        self._hard_state = (hard_state["term"], hard_state["vote"])
        snapshot = self._load_snapshot()
        entries = self.segments.load()
        retained_log = self._reconcile_log(snapshot, entries)
        self.segments.open_last_segment()
        self._remove_temporary()
        return Stored(
            term=hard_state["term"],
            vote=hard_state["vote"],
            log=retained_log,
            snapshot=snapshot,
            acknowledged=dict(self.segments.acknowledged),
        )

    def _load_snapshot(self):
        names = self._snapshot_names()
        if not names:
            return raftstate.Snapshot()
        path = os.path.join(self._path_of(_SNAPSHOTS), names[-1])
        body = atomicfile.read(path)
        index, term = _SNAPSHOT_HEAD.unpack_from(body)
        return raftstate.Snapshot(
            index=index, term=term, blob=body[_SNAPSHOT_HEAD.size :]
        )

    def _snapshot_names(self):
        folder = self._path_of(_SNAPSHOTS)
        if not os.path.isdir(folder):
            raise errors.DataFolderError(folder, 0, "the folder is missing")
        return sorted(n for n in os.listdir(folder) if n.endswith(_SNAPSHOT_SUFFIX))

    def _reconcile_log(self, snapshot, entries):
        """Return the log in memory that matches the snapshot.

        Stored entries that an installed snapshot replaces are deleted.
        """
        first_index = self.segments.segments[0].first_index
        last_index = first_index + len(entries) - 1
        if first_index > snapshot.index + 1:
            raise errors.DataFolderError(
                self.segments.segments[0].path,
                0,
                f"log entry {snapshot.index + 1} is missing",
            )
        if not snapshot.index:
            return raftlog.Log(entries=entries)
        position = snapshot.index - first_index
        if position == -1:
            return raftlog.Log(snapshot.index, snapshot.term, entries)
        if last_index < snapshot.index or entries[position].term != snapshot.term:
            # A crash interrupted `install_snapshot` before the log was reset.
            log.warning("log_before_snapshot_dropped index=%d", snapshot.index)
            self.segments.reset(snapshot.index + 1)
            return raftlog.Log(snapshot.index, snapshot.term)
        if first_index == 1:
            return raftlog.Log(entries=entries)
        # The first stored entry becomes the base, as its term is needed to match the
        # entry after it.
        return raftlog.Log(first_index, entries[0].term, entries[1:])

    def _remove_temporary(self):
        for folder in (self.path, self._path_of(_LOG), self._path_of(_SNAPSHOTS)):
            for name in os.listdir(folder):
                if name.endswith(atomicfile.TEMPORARY_SUFFIX):
                    os.unlink(os.path.join(folder, name))

    def save_hard_state(self, term, vote):
        """Make term and vote durable, unless they are unchanged."""
        if (term, vote) == self._hard_state:
            return
        body = json.dumps({"term": term, "vote": vote}).encode()
        atomicfile.write(self._path_of(_HARD_STATE), body)
        self._hard_state = (term, vote)

    def append(self, entries, truncate_from=0, acknowledged=None):
        """Write entries, after deleting stored ones from index `truncate_from` on.

        With 0 no stored entry is deleted. `acknowledged` is the table of acknowledged
        indexes to store, or None if it is unchanged.
        """
        if truncate_from:
            self.segments.truncate_from(truncate_from)
        self.segments.append(entries, acknowledged)

    def sync(self):
        """Make everything appended durable."""
        self.segments.sync()

    def save_snapshot(self, index, term, blob):
        """Store a snapshot durably, then delete older snapshots."""
        folder = self._path_of(_SNAPSHOTS)
        name = f"{index:020d}{_SNAPSHOT_SUFFIX}"
        atomicfile.write(
            os.path.join(folder, name), _SNAPSHOT_HEAD.pack(index, term) + blob
        )
        for other in self._snapshot_names():
            if other < name:
                os.unlink(os.path.join(folder, other))

    def install_snapshot(self, index, term, blob):
        """Replace the whole log by a received snapshot, durably."""
        self.save_snapshot(index, term, blob)
        self.segments.reset(index + 1)

    def set_aside(self):
        """Move all files of the current identity into a new subfolder.

        No state is deleted. After a crash, `open_folder` completes the move.
        """
        self.segments.close()
        marker = self._path_of(_SET_ASIDE_MARKER)
        if not os.path.exists(marker):
            target = f"{_ASIDE_PREFIX}{self.identity}-{secrets.token_hex(4)}"
            atomicfile.write(marker, target.encode())
        target = self._path_of(atomicfile.read(marker).decode())
        os.makedirs(target, exist_ok=True)
        for name in (_LOG, _SNAPSHOTS, _IDENTITY, _HARD_STATE):
            if os.path.exists(self._path_of(name)):
                os.rename(self._path_of(name), os.path.join(target, name))
        atomicfile.sync_folder(target)
        atomicfile.sync_folder(self.path)
        os.unlink(marker)
        atomicfile.sync_folder(self.path)

    def close(self):
        """Close all files and release the lock. Safe to repeat."""
        self.segments.close()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


def open_folder(path, name):
    """Open the data folder of a replica and give an empty folder a new identity.

    Returns
    -------
    tuple of DataFolder and Stored

    Raises
    ------
    DataFolderError
        If the folder is damaged.
    UserError
        If another process uses the folder.
    """
    folder = DataFolder(path)
    try:
        if os.path.exists(os.path.join(path, _SET_ASIDE_MARKER)):
            folder.set_aside()
        folder.remove_unfinished_creation()
        if folder.is_empty:
            folder.create(f"{name}-{secrets.token_hex(4)}")
            folder.segments.close()
            folder.segments.segments.clear()
        return folder, folder.load()
    except Exception:
        folder.close()
        raise


def check_writable(path):
    """Check that a small file can be written durably to a data folder.

    Raises
    ------
    OSError
        If the file cannot be written or synced.
    """
    atomicfile.write(os.path.join(path, _PROBE_FILE), bytes(_PROBE_BYTES))
    os.unlink(os.path.join(path, _PROBE_FILE))


def is_folder_empty(path):
    """Tell whether a data folder is missing or holds no state of a replica.

    An interrupted creation is deleted first. A missing folder is created.
    """
    folder = DataFolder(path)
    try:
        folder.remove_unfinished_creation()
        return folder.is_empty
    finally:
        folder.close()


def init_folder(path, name, address_by_name):
    """Create the data folder of an initial member, whose identity is its name.

    `address_by_name` holds the addresses of all initial members.
    """
    members = {
        member: membership.Member(identity=member, name=member, address=address)
        for member, address in sorted(address_by_name.items())
    }
    folder = DataFolder(path)
    try:
        folder.remove_unfinished_creation()
        folder.create(name, members)
    finally:
        folder.close()
