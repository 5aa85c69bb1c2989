"""Trace of one request, job, workflow or task from saved logs of all processes."""

import re

# Events that do not mention the id but can explain its course: changes of the leader
# and, below, events of the workers that had runs of the id.
CONTEXT_EVENTS = frozenset(
    {"scheduling_began", "scheduling_ended", "members_changed", "reducer_failed"}
)
WORKER_EVENTS = frozenset(
    {
        "life_released",
        "worker_announced",
        "worker_down",
        "worker_lapsed",
        "worker_left",
        "worker_use_changed",
    }
)
_PAIR = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")


class Line:
    """One parsed log line: timestamp, process, event and the remaining pairs."""

    __slots__ = ("event", "fields", "process", "timestamp")

    def __init__(self, pairs):
        self.timestamp = pairs.pop("timestamp")
        self.process = pairs.pop("process", "")
        self.event = pairs.pop("event", "")
        pairs.pop("level", None)
        self.fields = pairs

    def mentions(self, id):
        """Return whether a value is the id, a task of it, or a path that ends in it."""
        return any(_refers_to(value, id) for value in self.fields.values())


def _refers_to(value, id):
    return value == id or value.startswith(f"{id}.") or value.endswith(f"/{id}")


def parse(text):
    """Return the `Line` of one line of text, or None if it is no log line.

    Examples
    --------
    >>> line = parse("timestamp='2026-01-01T00:00:00Z' event='stopped' process='a'")
    >>> line.event, line.process
    ('stopped', 'a')
    >>> parse("anything else") is None
    True
    """
    # Log collectors prepend fields of their own.
    start = text.find("timestamp=")
    if start < 0:
        return None
    return Line({key: value.strip("'\"") for key, value in _PAIR.findall(text[start:])})


def tell(id, lines):
    """Return the trace of an id as lines of text, the oldest first.

    Parameters
    ----------
    id : str
        A request, job, workflow, task or step.
    lines : iterable of str
        Lines of the logs of all processes, in any order.

    Returns
    -------
    list of str
        Empty if no line mentions the id. Each line begins with the seconds since the
        first mention. Lines that do not mention the id itself are marked with ``|``.
    """
    parsed = [line for line in map(parse, lines) if line is not None]
    # Timestamps are ISO 8601 in UTC, so their text order is chronological.
    parsed.sort(key=lambda line: line.timestamp)
    matching = [line for line in parsed if line.mentions(id)]
    if not matching:
        return []
    workers = {
        line.fields["worker"] for line in matching if "worker" in line.fields
    } | {line.fields["asker"] for line in matching if "asker" in line.fields}
    first, last = matching[0].timestamp, matching[-1].timestamp
    selected = [
        line
        for line in parsed
        if first <= line.timestamp <= last
        and (line.mentions(id) or _is_context(line, workers))
    ]
    return [_format_line(line, first, line.mentions(id)) for line in selected]


def _is_context(line, workers):
    if line.event in CONTEXT_EVENTS:
        return True
    return line.event in WORKER_EVENTS and line.fields.get("worker") in workers


def _format_line(line, first, is_match):
    marker = " " if is_match else "|"
    pairs = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return (
        f"{seconds(line.timestamp) - seconds(first):8.3f} {marker} "
        f"{line.process:<18} {line.event:<24} {pairs}"
    ).rstrip()


def seconds(timestamp):
    """Return the seconds from the start of its month to an ISO 8601 time in UTC."""
    day, _, time_of_day = timestamp.rstrip("Z").partition("T")
    hours, minutes, seconds = time_of_day.split(":")
    days = int(day.rpartition("-")[2])
    return ((days * 24 + int(hours)) * 60 + int(minutes)) * 60 + float(seconds)
