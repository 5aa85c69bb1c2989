"""Resident memory of this process, as the kernel counts it."""

import os

PATH = "/proc/self/statm"


def resident_bytes():
    """Return the resident memory in bytes, 0 if the kernel doesn't tell.

    Examples
    --------
    >>> resident_bytes() >= 0
    True
    """
    try:
        with open(PATH, encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
