"""Rows of commands that the leader makes of reports and of what it has learned.

The log refuses a command as a whole, so one invalid row would take all others with it.
Rows are therefore held against the checks of the log before they are proposed.
"""

import logging

from sardinegauge import checks
from sardinegauge.workflows import store

# Task and run in place of those of an end that the log can't hold. No task has the id,
# and its number must still be acknowledged.
UNKNOWN_TASK = "-"
UNKNOWN_RUN = 0
# Limit of the logged part of an invalid row.
MAX_LOGGED_LENGTH = 200
log = logging.getLogger(__name__)


def valid_rows(check, rows, kind):
    """Return the rows that a check of `checks` accepts, and log the others.

    Examples
    --------
    >>> valid_rows(checks.RUN_ROW, [["w.0.0.0", 1], ["w.0.0.0", -1]], "run")
    [['w.0.0.0', 1]]
    """
    found = []
    for row in rows:
        if checks.is_valid(check, row):
            found.append(row)
        else:
            _log_invalid(kind, row)
    return found


def valid_end(row):
    """Return the row of an end with valid parts in place of the invalid ones.

    A run whose end is invalid has ended all the same. Without its checkpoint, its task
    resumes from the one before.
    """
    if checks.is_valid(checks.END_ROW, row):
        return row
    _log_invalid("end", row)
    number, task_id, run_number, how, checkpoint = row
    if not checks.is_valid(checks.RUN_ROW, [task_id, run_number]):
        task_id, run_number = UNKNOWN_TASK, UNKNOWN_RUN
    if not checks.is_valid(checks.TEXT, how):
        how = store.LOST
    if not checks.is_valid(checks.CHECKPOINT, checkpoint):
        checkpoint = ""
    return [number, task_id, run_number, how, checkpoint]


def has_long_checkpoints(rows):
    """Return whether a row ends with a checkpoint that is long for a command."""
    return any(checks.is_long_checkpoint(row[-1]) for row in rows)


def _log_invalid(kind, row):
    log.error("row_invalid kind=%s row=%.*r", kind, MAX_LOGGED_LENGTH, row)
