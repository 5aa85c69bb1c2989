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
# Present while files of an abandoned identity are moved away.
_ASIDE_MARK = "set-aside"
# Present while a new folder is being filled: nothing in it was acknowledged yet.
_CREATION_MARK = "creating"
# A file that is written to see whether the disk has room.
_PROBE = "probe"
_PROBE_BYTES = 64 << 10
_ASIDE_PREFIX = "aside-"
_SNAPSHOT_SUFFIX = ".snapshot"
_SNAPSHOT_HEAD = struct.Struct("<QQ")  # Index and term of the last entry covered.

log = logging.getLogger(__name__)


class Stored(record.Record):
    """What a data folder held at start; `acknowledged` is indexes by identity."""

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

    All methods block until the disk has the bytes, but for `append`, which `sync`
    completes.

    Parameters
    ----------
    path : str
        The folder; it is created if missing.
    """

    def __init__(self, path):
        self.path = path
        self.identity = ""
        self.segments = segments.SegmentLog(os.path.join(path, _LOG))
        self._hard = None
        os.makedirs(path, exist_ok=True)
        self._lock = os.open(os.path.join(path, _LOCK), os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise errors.UserError(f"{path}: in use by another process") from error

    def _file(self, name):
        return os.path.join(self.path, name)

    @property
    def is_empty(self):
        """Tell whether the folder holds no state of a replica."""
        if os.path.exists(self._file(_IDENTITY)):
            return False
        for name in (_LOG, _SNAPSHOTS):
            folder = self._file(name)
            if os.path.isdir(folder) and any(
                not item.endswith(atomicfile.TEMPORARY_SUFFIX)
                for item in os.listdir(folder)
            ):
                return False
        return True

    def create(self, identity, members=None):
        """Fill an empty folder; `members` are those of a new group, or None to join.

        Raises
        ------
        UserError
            If the folder already holds a replica's state.
        """
        if not self.is_empty:
            raise errors.UserError(f"{self.path}: holds the state of a replica already")
        for name in (_LOG, _SNAPSHOTS):
            os.makedirs(self._file(name), exist_ok=True)
        atomicfile.write(self._file(_CREATION_MARK), b"")
        self.save_hard(1 if members else 0, "")
        self.segments.start_segment(1)
        if members:
            # Every initial member writes the same first entry of term 1, in which
            # no election takes place, so it counts as committed.
            body = membership.dumps(members)
            entry = raftmessages.LogEntry(index=1, term=1, kind="members", body=body)
            self.append([entry])
        self.sync()
        self.identity = identity
        atomicfile.write(
            self._file(_IDENTITY), json.dumps({"identity": identity}).encode()
        )
        os.unlink(self._file(_CREATION_MARK))
        atomicfile.sync_folder(self.path)

    def clear_unfinished(self):
        """Remove what a creation left that a crash interrupted."""
        if not os.path.exists(self._file(_CREATION_MARK)):
            return
        for name in (_IDENTITY, _HARD_STATE):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._file(name))
        for item in os.listdir(self._file(_LOG)):
            os.unlink(os.path.join(self._file(_LOG), item))
        atomicfile.sync_folder(self._file(_LOG))
        os.unlink(self._file(_CREATION_MARK))
        atomicfile.sync_folder(self.path)

    def load(self):
        """Read and check everything; return it as `Stored`.

        Raises
        ------
        DataFolderError
            If a file is damaged or missing; nothing has been overwritten then.
        """
        self.identity = json.loads(atomicfile.read(self._file(_IDENTITY)))["identity"]
        hard = json.loads(atomicfile.read(self._file(_HARD_STATE)))
        self._hard = (hard["term"], hard["vote"])
        snapshot = self._load_snapshot()
        entries = self.segments.load()
        log_part = self._join(snapshot, entries)
        self.segments.open_last_segment()
        self._remove_temporary()
        return Stored(
            term=hard["term"],
            vote=hard["vote"],
            log=log_part,
            snapshot=snapshot,
            acknowledged=dict(self.segments.acknowledged),
        )

    def _load_snapshot(self):
        names = self._snapshot_names()
        if not names:
            return raftstate.Snapshot()
        path = os.path.join(self._file(_SNAPSHOTS), names[-1])
        body = atomicfile.read(path)
        index, term = _SNAPSHOT_HEAD.unpack_from(body)
        return raftstate.Snapshot(
            index=index, term=term, blob=body[_SNAPSHOT_HEAD.size :]
        )

    def _snapshot_names(self):
        folder = self._file(_SNAPSHOTS)
        if not os.path.isdir(folder):
            raise errors.DataFolderError(folder, 0, "the folder is missing")
        return sorted(n for n in os.listdir(folder) if n.endswith(_SNAPSHOT_SUFFIX))

    def _join(self, snapshot, entries):
        """Return the part of the log that counts beside the snapshot."""
        first_index = self.segments.segments[0].first_index
        last_index = first_index + len(entries) - 1
        if first_index > snapshot.index + 1:
            raise errors.DataFolderError(
                self.segments.segments[0].path,
                0,
                f"index {snapshot.index + 1} is missing",
            )
        if not snapshot.index:
            return raftlog.Log(entries=entries)
        position = snapshot.index - first_index
        if position == -1:
            return raftlog.Log(snapshot.index, snapshot.term, entries)
        if last_index < snapshot.index or entries[position].term != snapshot.term:
            # A crash came between the installed snapshot and the log's removal.
            log.warning("log_before_snapshot_dropped index=%d", snapshot.index)
            self.segments.reset(snapshot.index + 1)
            return raftlog.Log(snapshot.index, snapshot.term)
        if first_index == 1:
            return raftlog.Log(entries=entries)
        # The first entry gives the term that log matching needs at the base.
        return raftlog.Log(first_index, entries[0].term, entries[1:])

    def _remove_temporary(self):
        for folder in (self.path, self._file(_LOG), self._file(_SNAPSHOTS)):
            for name in os.listdir(folder):
                if name.endswith(atomicfile.TEMPORARY_SUFFIX):
                    os.unlink(os.path.join(folder, name))

    def save_hard(self, term, vote):
        """Make term and vote durable, unless they are already."""
        if (term, vote) == self._hard:
            return
        body = json.dumps({"term": term, "vote": vote}).encode()
        atomicfile.write(self._file(_HARD_STATE), body)
        self._hard = (term, vote)

    def append(self, entries, truncate_from=0, acknowledged=None):
        """Write entries, after dropping stored ones from `truncate_from` if given."""
        if truncate_from:
            self.segments.truncate_from(truncate_from)
        self.segments.append(entries, acknowledged)

    def sync(self):
        """Make everything appended durable."""
        self.segments.sync()

    def save_snapshot(self, index, term, blob):
        """Store a snapshot durably, then delete older ones."""
        folder = self._file(_SNAPSHOTS)
        name = f"{index:020d}{_SNAPSHOT_SUFFIX}"
        atomicfile.write(
            os.path.join(folder, name), _SNAPSHOT_HEAD.pack(index, term) + blob
        )
        for other in self._snapshot_names():
            if other < name:
                os.unlink(os.path.join(folder, other))

    def install_snapshot(self, index, term, blob):
        """Store a received snapshot in place of the whole log, durably."""
        self.save_snapshot(index, term, blob)
        self.segments.reset(index + 1)

    def set_aside(self):
        """Move the state of the identity into a folder of its own.

        Nothing is deleted. The move is finished by `open_folder` after a crash.
        """
        self.segments.close()
        mark = self._file(_ASIDE_MARK)
        if not os.path.exists(mark):
            target = f"{_ASIDE_PREFIX}{self.identity}-{secrets.token_hex(4)}"
            atomicfile.write(mark, target.encode())
        target = self._file(atomicfile.read(mark).decode())
        os.makedirs(target, exist_ok=True)
        for name in (_LOG, _SNAPSHOTS, _IDENTITY, _HARD_STATE):
            if os.path.exists(self._file(name)):
                os.rename(self._file(name), os.path.join(target, name))
        atomicfile.sync_folder(target)
        atomicfile.sync_folder(self.path)
        os.unlink(mark)
        atomicfile.sync_folder(self.path)

    def close(self):
        """Close all files and release the lock. Safe to repeat."""
        self.segments.close()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


def open_folder(path, name):
    """Open the data folder of a replica; an empty one gets a new identity.

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
        if os.path.exists(os.path.join(path, _ASIDE_MARK)):
            folder.set_aside()
        folder.clear_unfinished()
        if folder.is_empty:
            folder.create(f"{name}-{secrets.token_hex(4)}")
            folder.segments.close()
            folder.segments.segments.clear()
        return folder, folder.load()
    except Exception:
        folder.close()
        raise


def check_writable(path):
    """Raise the error of the system if a small file can't be written durably."""
    atomicfile.write(os.path.join(path, _PROBE), bytes(_PROBE_BYTES))
    os.unlink(os.path.join(path, _PROBE))


def is_folder_empty(path):
    """Tell whether a data folder is missing or holds no finished state."""
    folder = DataFolder(path)
    try:
        folder.clear_unfinished()
        return folder.is_empty
    finally:
        folder.close()


def init_folder(path, name, address_by_name):
    """Create the data folder of one initial member; its identity is its name."""
    members = {
        member: membership.Member(identity=member, name=member, address=address)
        for member, address in sorted(address_by_name.items())
    }
    folder = DataFolder(path)
    try:
        folder.clear_unfinished()
        folder.create(name, members)
    finally:
        folder.close()
