"""Small files that are replaced as a whole, with a checksum, and folder syncs."""

import os
import struct
import zlib

from sardinegauge import errors

_HEAD = struct.Struct("<8sQI")  # Magic, length of the body, CRC32 of the body.
_MAGIC = b"SGFILE01"
TEMPORARY_SUFFIX = ".tmp"


def sync_folder(path):
    """Make creations, renames and deletions in a folder durable."""
    number = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def write_all(number, data):
    """Write all bytes to a file descriptor."""
    view = memoryview(data)
    while view:
        view = view[os.write(number, view) :]


def write(path, body):
    """Replace a file durably: new file, fsync, rename, fsync of the folder."""
    temporary = path + TEMPORARY_SUFFIX
    number = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        write_all(number, _HEAD.pack(_MAGIC, len(body), zlib.crc32(body)))
        write_all(number, body)
        os.fsync(number)
    finally:
        os.close(number)
    os.rename(temporary, path)
    sync_folder(os.path.dirname(path))


def read(path):
    """Return the body of a file made by `write`.

    Raises
    ------
    DataFolderError
        If the file is missing or any byte of it is damaged.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError as error:
        raise errors.DataFolderError(path, 0, "the file is missing") from error
    if len(data) < _HEAD.size:
        raise errors.DataFolderError(path, len(data), "the header is cut")
    magic, length, crc = _HEAD.unpack_from(data)
    if magic != _MAGIC:
        raise errors.DataFolderError(path, 0, "unknown file format")
    body = data[_HEAD.size :]
    if len(body) != length:
        raise errors.DataFolderError(
            path, min(len(data), _HEAD.size + length), f"the body is not {length} bytes"
        )
    if zlib.crc32(body) != crc:
        raise errors.DataFolderError(path, _HEAD.size, "wrong checksum of the body")
    return body
