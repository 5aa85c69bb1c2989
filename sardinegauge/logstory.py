"""The story of one request, job, workflow or task, from saved logs of all processes."""

import re

# Events without the id that tell why things went as they did: changes of the leader,
# and what became of the workers on which runs of the id were.
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
    """One line of a log: its time, process and event, and the other pairs."""

    __slots__ = ("event", "fields", "process", "timestamp")

    def __init__(self, pairs):
        self.timestamp = pairs.pop("timestamp")
        self.process = pairs.pop("process", "")
        self.event = pairs.pop("event", "")
        pairs.pop("level", None)
        self.fields = pairs

    def mentions(self, id):
        """Tell whether a value is the id, one of its tasks, or a path that ends so."""
        return any(_is_about(value, id) for value in self.fields.values())


def _is_about(value, id):
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
    # Collectors put their own fields before the line.
    start = text.find("timestamp=")
    if start < 0:
        return None
    return Line({key: value.strip("'\"") for key, value in _PAIR.findall(text[start:])})


def tell(id, lines):
    """Return the story of an id as lines of text, the oldest first.

    Parameters
    ----------
    id : str
        A request, job, workflow, task or step.
    lines : iterable of str
        Lines of the logs of all processes, in any order.

    Returns
    -------
    list of str
        Empty if nothing mentions the id. Each begins with the seconds since the first
        mention; those that do not mention the id itself are marked with ``|``.
    """
    parsed = [line for line in map(parse, lines) if line is not None]
    # Timestamps are ISO 8601 in UTC, so text order is order of time.
    parsed.sort(key=lambda line: line.timestamp)
    about = [line for line in parsed if line.mentions(id)]
    if not about:
        return []
    workers = {line.fields["worker"] for line in about if "worker" in line.fields} | {
        line.fields["asker"] for line in about if "asker" in line.fields
    }
    first, last = about[0].timestamp, about[-1].timestamp
    chosen = [
        line
        for line in parsed
        if first <= line.timestamp <= last
        and (line.mentions(id) or _is_context(line, workers))
    ]
    return [_text(line, first, line.mentions(id)) for line in chosen]


def _is_context(line, workers):
    if line.event in CONTEXT_EVENTS:
        return True
    return line.event in WORKER_EVENTS and line.fields.get("worker") in workers


def _text(line, first, is_own):
    mark = " " if is_own else "|"
    pairs = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return (
        f"{seconds(line.timestamp) - seconds(first):8.3f} {mark} "
        f"{line.process:<18} {line.event:<24} {pairs}"
    ).rstrip()


def seconds(timestamp):
    """Return the seconds of an ISO 8601 time in UTC since the start of its month."""
    day, _, clock = timestamp.rstrip("Z").partition("T")
    hours, minutes, seconds = clock.split(":")
    days = int(day.rpartition("-")[2])
    return ((days * 24 + int(hours)) * 60 + int(minutes)) * 60 + float(seconds)
