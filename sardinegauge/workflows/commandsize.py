"""Limit of the size of commands that the leader makes of reports.

An entry of the log travels in one message, and replicas close the link for a message of
over 1 MiB, so a larger command could never be committed.
"""

import json

MAX_ROWS_BYTES = 256 << 10


def split_rows(rows):
    """Return the rows in lists of at most `MAX_ROWS_BYTES` of JSON, or of one row.

    Examples
    --------
    >>> split_rows([[1, "a"], [2, "b"]])
    [[[1, 'a'], [2, 'b']]]
    >>> [len(part) for part in split_rows(["x" * 100_000] * 5)]
    [2, 2, 1]
    """
    parts = []
    size = 0
    for row in rows:
        row_bytes = len(json.dumps(row)) + 1
        if not parts or size + row_bytes > MAX_ROWS_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += row_bytes
    return parts
