"""Checksummed files that are replaced atomically, and durable folder changes."""

import os
import struct
import zlib

from sardinegauge import errors

_HEADER = struct.Struct("<8sQI")  # Magic, length of the body, CRC32 of the body.
_MAGIC = b"SGFILE01"
TEMPORARY_SUFFIX = ".tmp"


def sync_folder(path):
    """Make the creations, renames and deletions in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor, data):
    """Write all bytes to a file descriptor, as one `os.write` may write fewer."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write(path, body):
    """Replace a file atomically and durably.

    The content is written to a temporary file, synced and renamed, and then the folder
    is synced, so that a crash leaves either the old or the new file.
    """
    temporary = path + TEMPORARY_SUFFIX
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        write_all(descriptor, _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)))
        write_all(descriptor, body)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    sync_folder(os.path.dirname(path))


def read(path):
    """Return the body of a file written by `write`.

    Raises
    ------
    DataFolderError
        If the file is missing or damaged.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError as error:
        raise errors.DataFolderError(path, 0, "the file is missing") from error
    if len(data) < _HEADER.size:
        raise errors.DataFolderError(path, len(data), "the file header is truncated")
    magic, length, crc = _HEADER.unpack_from(data)
    if magic != _MAGIC:
        raise errors.DataFolderError(path, 0, "unknown file format")
    body = data[_HEADER.size :]
    if len(body) != length:
        raise errors.DataFolderError(
            path,
            min(len(data), _HEADER.size + length),
            f"the body is {len(body)} bytes long, not {length}",
        )
    if zlib.crc32(body) != crc:
        raise errors.DataFolderError(
            path, _HEADER.size, "checksum mismatch in the body"
        )
    return body
