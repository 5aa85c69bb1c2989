"""The log on disk: segment files of checksummed records.

A segment is named by the index of its first entry and begins with a magic number. A
record is length, CRC32, term, index, kind and body; the CRC covers all of it but
itself. Records of the kind ``acknowledged`` hold the table of acknowledged indexes and
take no index of their own. Neither does a ``synced`` record, which begins the writes
after each sync: everything before it is durable, so damage there is no torn tail.
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
# A record found behind damage must have an index near the expected one to count.
_PLAUSIBLE_GAP = 1 << 20

_MAGIC = b"SGLOG002"
_HEAD = struct.Struct("<IIQQB")
_CHECKED = struct.Struct("<IQQB")
_KINDS = ("command", "members", "noop", "acknowledged", "synced")
_NUMBER_BY_KIND = {kind: number for number, kind in enumerate(_KINDS)}
_SUFFIX = ".log"

log = logging.getLogger(__name__)


def _crc(length, term, index, kind, body):
    return zlib.crc32(body, zlib.crc32(_CHECKED.pack(length, term, index, kind)))


def pack(term, index, kind, body):
    """Return the bytes of one record; `kind` is a name such as ``"command"``."""
    number = _NUMBER_BY_KIND[kind]
    crc = _crc(len(body), term, index, number, body)
    return _HEAD.pack(len(body), crc, term, index, number) + body


def _unpack(data, offset):
    """Return term, index, kind, body and end of a whole record, or None."""
    start = offset + _HEAD.size
    if start > len(data):
        return None
    length, crc, term, index, number = _HEAD.unpack_from(data, offset)
    if length > MAX_BODY_BYTES or start + length > len(data):
        return None
    if number >= len(_KINDS):
        return None
    body = data[start : start + length]
    if _crc(length, term, index, number, body) != crc:
        return None
    return term, index, _KINDS[number], body, start + length


def _is_synced_after(data, offset, expected):
    """Tell whether a sync was noted anywhere behind a damaged record.

    Without one the damage is in the writes after the last sync, of which a loss of
    power may keep later ones and lose earlier ones.
    """
    for start in range(offset + 1, len(data) - _HEAD.size + 1):
        length, _, _, index, number = _HEAD.unpack_from(data, start)
        if (
            number == _NUMBER_BY_KIND["synced"]
            and not length
            and expected - 1 <= index <= expected + _PLAUSIBLE_GAP
            and _unpack(data, start) is not None
        ):
            return True
    return False


class Segment:
    """One file; `offsets` holds where each of its entries begins."""

    __slots__ = ("first_index", "offsets", "path", "size")

    def __init__(self, path, first_index, size):
        self.path = path
        self.first_index = first_index
        self.size = size
        self.offsets = array.array("Q")

    @property
    def last_index(self):
        """Index of the last entry; one less than the first when it has none."""
        return self.first_index + len(self.offsets) - 1


class SegmentLog:
    """All segments of one folder. Its methods block; a single thread may call them.

    Parameters
    ----------
    folder : str
        Existing folder of the segments.
    """

    def __init__(self, folder):
        self.folder = folder
        self.segments = []
        self.acknowledged = {}
        self._number = None
        self._is_dirty = False

    def load(self):
        """Read all segments and return their entries in order; change no file.

        A torn last record of the last segment is left out.

        Raises
        ------
        DataFolderError
            If anything else is damaged.
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

    def open_last(self):
        """Open the last segment for writing, make it durable, cut off a torn tail.

        A process that was killed may have left writes that no sync has covered.
        """
        last = self.segments[-1]
        self._open(last)
        os.fsync(self._number)
        if os.fstat(self._number).st_size > last.size:
            log.warning("torn_tail_cut file=%s offset=%d", last.path, last.size)
            self._cut(last, last.size)

    def _load_segment(self, name, is_last):
        path = os.path.join(self.folder, name)
        with open(path, "rb") as file:
            data = file.read()
        stem = name[: -len(_SUFFIX)]
        if not stem.isdigit():
            raise errors.DataFolderError(path, 0, "the file name is no index")
        segment = Segment(path, int(stem), len(_MAGIC))
        if self.segments and segment.first_index != self.segments[-1].last_index + 1:
            expected = self.segments[-1].last_index + 1
            raise errors.DataFolderError(path, 0, f"index {expected} is missing")
        self.segments.append(segment)
        if data[: len(_MAGIC)] != _MAGIC:
            raise errors.DataFolderError(path, 0, "unknown file format")
        return self._parse(segment, data, is_last)

    def _parse(self, segment, data, is_last):
        entries = []
        offset = len(_MAGIC)
        while offset < len(data):
            found = _unpack(data, offset)
            expected = segment.last_index + 1
            if found is None:
                if not is_last or _is_synced_after(data, offset, expected):
                    raise errors.DataFolderError(
                        segment.path, offset, f"damaged record, index {expected}"
                    )
                break
            term, index, kind, body, end = found
            if kind == "acknowledged":
                self.acknowledged = json.loads(body)
            elif kind == "synced":
                pass
            elif index != expected:
                raise errors.DataFolderError(
                    segment.path, offset, f"index {index} instead of {expected}"
                )
            else:
                entries.append(
                    raftmessages.LogEntry(index=index, term=term, kind=kind, body=body)
                )
                segment.offsets.append(offset)
            offset = end
        segment.size = offset
        return entries

    def _open(self, segment):
        self.close()
        self._number = os.open(segment.path, os.O_RDWR)
        os.lseek(self._number, 0, os.SEEK_END)

    def close(self):
        """Close the open segment. Safe to repeat."""
        if self._number is not None:
            os.close(self._number)
            self._number = None

    def start(self, first_index):
        """Begin a new last segment, durably."""
        if self._number is not None:
            os.fsync(self._number)
        path = os.path.join(self.folder, f"{first_index:020d}{_SUFFIX}")
        # The name appears only with the magic number in place, so a crash leaves
        # no segment without one.
        temporary = path + atomicfile.TEMPORARY_SUFFIX
        number = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        atomicfile.write_all(number, _MAGIC)
        os.fsync(number)
        os.rename(temporary, path)
        atomicfile.sync_folder(self.folder)
        self.close()
        self._number = number
        self.segments.append(Segment(path, first_index, len(_MAGIC)))
        if self.acknowledged:
            self._write_table()

    def append(self, entries, acknowledged=None):
        """Write entries after the last one; durable only after `sync`."""
        if not self._is_dirty:
            self._write_mark()
        if acknowledged is not None:
            self.acknowledged = acknowledged
            self._write_table()
        start = 0
        while start < len(entries):
            segment = self.segments[-1]
            if segment.size >= SEGMENT_BYTES:
                self.start(segment.last_index + 1)
                segment = self.segments[-1]
            start = self._append_some(segment, entries, start)

    def _append_some(self, segment, entries, start):
        parts = []
        for entry in entries[start:]:
            data = pack(entry.term, entry.index, entry.kind, entry.body)
            segment.offsets.append(segment.size)
            segment.size += len(data)
            parts.append(data)
            if segment.size >= SEGMENT_BYTES:
                break
        self._is_dirty = True
        atomicfile.write_all(self._number, b"".join(parts))
        return start + len(parts)

    def _write_table(self):
        body = json.dumps(self.acknowledged).encode()
        self._write_extra("acknowledged", body)

    def _write_mark(self):
        self._write_extra("synced", b"")

    def _write_extra(self, kind, body):
        """Write a record that has no index of its own."""
        segment = self.segments[-1]
        data = pack(0, segment.last_index, kind, body)
        segment.size += len(data)
        self._is_dirty = True
        atomicfile.write_all(self._number, data)

    def sync(self):
        """Make everything appended durable."""
        if self._is_dirty:
            os.fsync(self._number)
            self._is_dirty = False

    def truncate_from(self, index):
        """Drop the entry at `index` and all later ones, durably."""
        # Later files go first, so a crash leaves a log without a gap.
        while len(self.segments) > 1 and self.segments[-1].first_index >= index:
            os.unlink(self.segments.pop().path)
            atomicfile.sync_folder(self.folder)
            self._open(self.segments[-1])
        segment = self.segments[-1]
        if index > segment.last_index:
            return
        position = index - segment.first_index
        offset = segment.offsets[position]
        del segment.offsets[position:]
        self._cut(segment, offset)

    def _cut(self, segment, offset):
        os.ftruncate(self._number, offset)
        os.lseek(self._number, offset, os.SEEK_SET)
        os.fsync(self._number)
        segment.size = offset

    def compact_to(self, index):
        """Delete the segments whose entries all lie at or below `index`."""
        is_changed = False
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            os.unlink(self.segments.pop(0).path)
            is_changed = True
        if is_changed:
            atomicfile.sync_folder(self.folder)

    def reset(self, first_index):
        """Delete all segments and begin one at `first_index`, durably."""
        self.close()
        while self.segments:
            os.unlink(self.segments.pop().path)
        atomicfile.sync_folder(self.folder)
        self.start(first_index)
