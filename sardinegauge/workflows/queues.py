"""Queues and pools of workers, as one set with a version; the highest version wins."""

from sardinegauge import checks, record

MAX_QUEUES = 20_000


class Advice(record.Record):
    """What a queue's placement policy costs to ask, all in milliseconds."""

    __slots__ = ("decide_ms", "each_ms", "valid_ms")
    _defaults = {"decide_ms": 0.0, "each_ms": 0.0, "valid_ms": 0.0}


class Queue(record.Record):
    """One queue of workflows.

    A caller's request belongs to the queue with its host and the longest matching
    prefix. A lower `priority` number goes first. `stretch` times the longest chain of
    work plus `objective_ms` is the time in which callers want a workflow to end.
    `advice` is None unless a policy service decides which workers may run a step.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "pool",
        "priority",
        "max_attempts",
        "stretch",
        "objective_ms",
        "timeout_ms",
        "advice",
    )
    _defaults = {
        "priority": 0,
        "max_attempts": 1,
        "stretch": 1.0,
        "objective_ms": 0,
        "timeout_ms": 0,
        "advice": None,
    }
    _nested = {"advice": Advice}


class Pool(record.Record):
    """Workers of one service.

    `is_capacity_enforced` says whether the workers themselves refuse what does not
    fit. The VMs of a spare pool are switched off.
    """

    __slots__ = ("name", "is_capacity_enforced", "is_spare")
    _defaults = {"is_capacity_enforced": False, "is_spare": False}


class QueueSet:
    """All queues in force, and the last known settings of those removed since.

    Workflows of a removed queue still run to their end, so its settings stay.
    """

    __slots__ = ("by_name", "known_by_name", "pool_by_name", "source", "version")

    def __init__(self):
        self.version = 0
        self.by_name = {}
        self.known_by_name = {}
        self.pool_by_name = {}
        self.source = ""

    def replace(self, version, queues, pools, source):
        """Put a new set in force; return False if its version is not higher."""
        if version <= self.version:
            return False
        self.version = version
        self.by_name = {queue.name: queue for queue in queues}
        self.known_by_name.update(self.by_name)
        self.pool_by_name = {pool.name: pool for pool in pools}
        self.source = source
        return True

    def to_snapshot(self):
        """Return the set as plain data."""
        return {
            "version": self.version,
            "queues": [queue.to_dict() for queue in self.by_name.values()],
            "removed": [
                queue.to_dict()
                for name, queue in self.known_by_name.items()
                if name not in self.by_name
            ],
            "pools": [pool.to_dict() for pool in self.pool_by_name.values()],
            "source": self.source,
        }

    @classmethod
    def from_snapshot(cls, data):
        """Rebuild the set from the result of `to_snapshot`."""
        queue_set = cls()
        queue_set.known_by_name = {
            item["name"]: Queue.from_dict(item) for item in data["removed"]
        }
        queue_set.replace(
            data["version"],
            [Queue.from_dict(item) for item in data["queues"]],
            [Pool.from_dict(item) for item in data["pools"]],
            data["source"],
        )
        return queue_set


class Router:
    """Finds the queue of a request by host and path prefix.

    Examples
    --------
    >>> router = Router([Queue(name="q", host="a.example", prefix="/x/", pool="p")])
    >>> router.find("a.example", "/x/17")[1]
    '17'
    >>> router.find("b.example", "/x/17") is None
    True
    """

    __slots__ = ("_by_host",)

    def __init__(self, queues):
        self._by_host = {}
        for queue in queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for found in self._by_host.values():
            found.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host, path):
        """Return the queue and the rest of the path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue, path[len(queue.prefix) :]
        return None


_QUEUE_CHECKS = {
    "name": checks.text(200),
    "host": checks.text(500, is_empty_allowed=True),
    "prefix": checks.text(2_000, is_empty_allowed=True),
    "pool": checks.text(200),
    "priority": checks.integer(-1_000, 1_000),
    "max_attempts": checks.integer(1, 1_000_000),
    "stretch": checks.number(0),
    "objective_ms": checks.number(0),
    "timeout_ms": checks.number(0, is_minimum_allowed=False),
}


def check(version, queues, pools):
    """Return the problems of a set as pairs of path and reason; see `checks`.

    Parameters
    ----------
    version : int
        At least 1.
    queues : list of Queue
    pools : list of Pool
    """
    problems = []
    checks.integer(1)(version, "version", problems)
    if len(queues) > MAX_QUEUES:
        problems.append(["queues", f"must have at most {MAX_QUEUES} entries"])
        return problems
    names = {pool.name for pool in pools}
    if len(names) < len(pools):
        problems.append(["services", "two have the same name"])
    places = set()
    seen = set()
    for number, queue in enumerate(queues):
        path = f"queues[{number}]"
        _check_queue(queue, path, problems)
        if queue.pool not in names:
            problems.append([f"{path}.pool", "names no pool"])
        if queue.name in seen:
            problems.append([f"{path}.name", "is used twice"])
        if (queue.host, queue.prefix) in places:
            problems.append([path, "shares host and prefix with another queue"])
        seen.add(queue.name)
        places.add((queue.host, queue.prefix))
    return problems


def _check_queue(queue, path, problems):
    for name, check_value in _QUEUE_CHECKS.items():
        check_value(getattr(queue, name), f"{path}.{name}", problems)
