"""The replicated log on disk: segment files of checksummed records.

A segment file is named by the index of its first entry and begins with a magic number.
A record consists of length, CRC32, term, index, kind and body; the CRC covers all other
fields. Records of the kinds ``acknowledged`` and ``synced`` are not log entries and
have no index of their own. An ``acknowledged`` record holds the table of acknowledged
indexes. A ``synced`` record is a marker written before the first write after each sync:
all bytes before it are durable, so damage before it cannot be a torn write.
"""

import array
import json
import logging
import os
import struct
import zlib

from sardinegauge import errors
from sardinegauge.agreement import atomicfile, raftmessages

SEGMENT_BYTES = 8 << 20
MAX_BODY_BYTES = 1 << 20
# Largest distance of the index in a sync marker after damage from the expected index,
# so that bytes that only look like a marker are not taken for one.
_MAX_INDEX_GAP = 1 << 20

_MAGIC = b"SGLOG002"
_RECORD_HEADER = struct.Struct("<IIQQB")
_CHECKSUMMED_FIELDS = struct.Struct("<IQQB")
_KINDS = ("command", "members", "noop", "acknowledged", "synced")
_CODE_BY_KIND = {kind: code for code, kind in enumerate(_KINDS)}
_SUFFIX = ".log"

log = logging.getLogger(__name__)


def _crc(length, term, index, code, body):
    return zlib.crc32(
        body, zlib.crc32(_CHECKSUMMED_FIELDS.pack(length, term, index, code))
    )


def pack(term, index, kind, body):
    """Encode one record; `kind` is a name such as ``"command"``."""
    code = _CODE_BY_KIND[kind]
    crc = _crc(len(body), term, index, code, body)
    return _RECORD_HEADER.pack(len(body), crc, term, index, code) + body


def _unpack(data, offset):
    """Decode the record at `offset`.

    Returns term, index, kind, body and the offset of its end, or None if the record is
    incomplete or damaged.
    """
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    length, crc, term, index, code = _RECORD_HEADER.unpack_from(data, offset)
    if length > MAX_BODY_BYTES or start + length > len(data):
        return None
    if code >= len(_KINDS):
        return None
    body = data[start : start + length]
    if _crc(length, term, index, code, body) != crc:
        return None
    return term, index, _KINDS[code], body, start + length


def _has_sync_marker_after(data, offset, expected):
    """Tell whether a sync marker follows the damaged record at `offset`.

    If none does, the damage lies in the writes after the last sync. After a power
    failure, later ones of these may be on disk while earlier ones are lost.
    """
    for start in range(offset + 1, len(data) - _RECORD_HEADER.size + 1):
        length, _, _, index, code = _RECORD_HEADER.unpack_from(data, start)
        if (
            code == _CODE_BY_KIND["synced"]
            and not length
            and expected - 1 <= index <= expected + _MAX_INDEX_GAP
            and _unpack(data, start) is not None
        ):
            return True
    return False


class Segment:
    """One segment file; `offsets` holds the byte offset of each of its entries."""

    __slots__ = ("first_index", "offsets", "path", "size")

    def __init__(self, path, first_index, size):
        self.path = path
        self.first_index = first_index
        self.size = size
        self.offsets = array.array("Q")

    @property
    def last_index(self):
        """Index of the last entry, or ``first_index - 1`` if the segment is empty."""
        return self.first_index + len(self.offsets) - 1


class SegmentLog:
    """The segments of one folder.

    The methods block on disk I/O and are not thread-safe.

    Parameters
    ----------
    folder : str
        Existing folder of the segments.
    """

    def __init__(self, folder):
        self.folder = folder
        self.segments = []
        self.acknowledged = {}
        self._descriptor = None
        self._is_dirty = False

    def load(self):
        """Read all segments and return their entries in order; no file is changed.

        Damage in the last segment after the last sync is a torn tail: the records from
        there on are left out.

        Raises
        ------
        DataFolderError
            If any other part is damaged or missing.
        """
        if not os.path.isdir(self.folder):
            raise errors.DataFolderError(self.folder, 0, "the folder is missing")
        names = sorted(n for n in os.listdir(self.folder) if n.endswith(_SUFFIX))
        if not names:
            raise errors.DataFolderError(self.folder, 0, "no log segment")
        entries = []
        for name in names:
            entries += self._load_segment(name, is_last=name == names[-1])
        return entries

    def open_last_segment(self):
        """Open the last segment for writing, sync it and truncate a torn tail.

        The sync is needed since a process that was killed may have left records that
        were written but not synced.
        """
        last = self.segments[-1]
        self._open_segment(last)
        os.fsync(self._descriptor)
        if os.fstat(self._descriptor).st_size > last.size:
            log.warning("torn_tail_cut file=%s offset=%d", last.path, last.size)
            self._truncate_file(last, last.size)

    def _load_segment(self, name, is_last):
        path = os.path.join(self.folder, name)
        with open(path, "rb") as file:
            data = file.read()
        stem = name[: -len(_SUFFIX)]
        if not stem.isdigit():
            raise errors.DataFolderError(path, 0, "the file name is not an entry index")
        segment = Segment(path, int(stem), len(_MAGIC))
        if self.segments and segment.first_index != self.segments[-1].last_index + 1:
            expected = self.segments[-1].last_index + 1
            raise errors.DataFolderError(path, 0, f"log entry {expected} is missing")
        self.segments.append(segment)
        if data[: len(_MAGIC)] != _MAGIC:
            raise errors.DataFolderError(path, 0, "unknown file format")
        return self._parse(segment, data, is_last)

    def _parse(self, segment, data, is_last):
        entries = []
        offset = len(_MAGIC)
        while offset < len(data):
            unpacked = _unpack(data, offset)
            expected = segment.last_index + 1
            if unpacked is None:
                if not is_last or _has_sync_marker_after(data, offset, expected):
                    raise errors.DataFolderError(
                        segment.path,
                        offset,
                        f"damaged record, expected entry {expected}",
                    )
                break
            term, index, kind, body, end = unpacked
            if kind == "acknowledged":
                self.acknowledged = json.loads(body)
            elif kind == "synced":
                pass
            elif index != expected:
                raise errors.DataFolderError(
                    segment.path, offset, f"found entry {index}, expected {expected}"
                )
            else:
                entries.append(
                    raftmessages.LogEntry(index=index, term=term, kind=kind, body=body)
                )
                segment.offsets.append(offset)
            offset = end
        segment.size = offset
        return entries

    def _open_segment(self, segment):
        self.close()
        self._descriptor = os.open(segment.path, os.O_RDWR)
        os.lseek(self._descriptor, 0, os.SEEK_END)

    def close(self):
        """Close the open segment. Safe to repeat."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def start_segment(self, first_index):
        """Create a new last segment durably and open it for writing."""
        if self._descriptor is not None:
            os.fsync(self._descriptor)
        path = os.path.join(self.folder, f"{first_index:020d}{_SUFFIX}")
        # The file is renamed once it holds the magic number, so that a crash cannot
        # leave a segment without one.
        temporary = path + atomicfile.TEMPORARY_SUFFIX
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        atomicfile.write_all(descriptor, _MAGIC)
        os.fsync(descriptor)
        os.rename(temporary, path)
        atomicfile.sync_folder(self.folder)
        self.close()
        self._descriptor = descriptor
        self.segments.append(Segment(path, first_index, len(_MAGIC)))
        if self.acknowledged:
            self._write_acknowledged()

    def append(self, entries, acknowledged=None):
        """Write entries after the last one; they are durable only after `sync`.

        `acknowledged` replaces the stored table of acknowledged indexes, unless None.
        """
        if not self._is_dirty:
            self._write_sync_marker()
        if acknowledged is not None:
            self.acknowledged = acknowledged
            self._write_acknowledged()
        start = 0
        while start < len(entries):
            segment = self.segments[-1]
            if segment.size >= SEGMENT_BYTES:
                self.start_segment(segment.last_index + 1)
                segment = self.segments[-1]
            start = self._append_to_segment(segment, entries, start)

    def _append_to_segment(self, segment, entries, start):
        parts = []
        for entry in entries[start:]:
            data = pack(entry.term, entry.index, entry.kind, entry.body)
            segment.offsets.append(segment.size)
            segment.size += len(data)
            parts.append(data)
            if segment.size >= SEGMENT_BYTES:
                break
        self._is_dirty = True
        atomicfile.write_all(self._descriptor, b"".join(parts))
        return start + len(parts)

    def _write_acknowledged(self):
        body = json.dumps(self.acknowledged).encode()
        self._write_unindexed("acknowledged", body)

    def _write_sync_marker(self):
        self._write_unindexed("synced", b"")

    def _write_unindexed(self, kind, body):
        """Write a record that is not a log entry; it carries the last entry's index."""
        segment = self.segments[-1]
        data = pack(0, segment.last_index, kind, body)
        segment.size += len(data)
        self._is_dirty = True
        atomicfile.write_all(self._descriptor, data)

    def sync(self):
        """Make everything appended durable."""
        if self._is_dirty:
            os.fsync(self._descriptor)
            self._is_dirty = False

    def truncate_from(self, index):
        """Drop the entry at `index` and all later ones, durably."""
        # Later files are deleted first, so that a crash leaves no gap in the log.
        while len(self.segments) > 1 and self.segments[-1].first_index >= index:
            os.unlink(self.segments.pop().path)
            atomicfile.sync_folder(self.folder)
            self._open_segment(self.segments[-1])
        segment = self.segments[-1]
        if index > segment.last_index:
            return
        position = index - segment.first_index
        offset = segment.offsets[position]
        del segment.offsets[position:]
        self._truncate_file(segment, offset)

    def _truncate_file(self, segment, offset):
        os.ftruncate(self._descriptor, offset)
        os.lseek(self._descriptor, offset, os.SEEK_SET)
        os.fsync(self._descriptor)
        segment.size = offset

    def compact_to(self, index):
        """Delete the segments whose entries all have an index of at most `index`.

        The last segment is always retained.
        """
        is_changed = False
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            os.unlink(self.segments.pop(0).path)
            is_changed = True
        if is_changed:
            atomicfile.sync_folder(self.folder)

    def reset(self, first_index):
        """Delete all segments and create one at `first_index`, durably."""
        self.close()
        while self.segments:
            os.unlink(self.segments.pop().path)
        atomicfile.sync_folder(self.folder)
        self.start_segment(first_index)
