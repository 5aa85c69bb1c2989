"""Queues and pools of workers, as one set with a version.

A set is replaced only by one with a higher version.
"""

import base64
import json
import operator
import zlib

from sardinegauge import checks, record
from sardinegauge.intake import limits as limits_module

MAX_QUEUES = 20_000
# Limit of the removed queues whose names are kept for polls. A poll since an earlier
# version gets the whole set.
MAX_REMOVED = 5_000
# Level of zlib.
COMPRESSION_LEVEL = 1


class Advice(record.Record):
    """Timing of a queue's policy service, in milliseconds.

    A decision takes `decide_ms` and `each_ms` for each worker; its tickets are valid
    for `valid_ms`.
    """

    __slots__ = ("decide_ms", "each_ms", "valid_ms")
    _defaults = {"decide_ms": 0.0, "each_ms": 0.0, "valid_ms": 0.0}


class Queue(record.Record):
    """One queue of workflows.

    A request belongs to the queue with its host and the longest matching path prefix.
    Queues with a lower `priority` number go first. Callers want a workflow to end
    within `stretch` times the length of its critical path plus `objective_ms`. `advice`
    is None unless a policy service decides which workers may run a step.
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

    With `is_capacity_enforced`, the workers themselves refuse runs that do not fit. The
    VMs of a spare pool are switched off.
    """

    __slots__ = ("name", "is_capacity_enforced", "is_spare")
    _defaults = {"is_capacity_enforced": False, "is_spare": False}


_field_values = operator.attrgetter(*Queue.field_names())


class QueueSet:
    """The current queues, and the last settings of removed ones.

    The settings of removed queues are kept in `known_by_name`, since their workflows
    still run to their end. `changed_by_name` and `removed_by_name` hold the version in
    which a queue last changed or was removed; polls since a version before
    `oldest_change` get the whole set. `fields_by_name` holds the packed fields of the
    current queues, if they are known. `limits` are the `limits.RequestLimits` of
    callers.
    """

    __slots__ = (
        "by_name",
        "changed_by_name",
        "fields_by_name",
        "known_by_name",
        "limits",
        "oldest_change",
        "pool_by_name",
        "removed_by_name",
        "source",
        "version",
    )

    def __init__(self):
        self.version = 0
        self.by_name = {}
        self.fields_by_name = {}
        self.known_by_name = {}
        self.pool_by_name = {}
        self.limits = limits_module.RequestLimits()
        self.source = ""
        self.changed_by_name = {}
        self.removed_by_name = {}
        self.oldest_change = 0

    def apply(self, version, packed, source):
        """Apply a packed set unless its version is not higher.

        Queues that are equal to current ones are neither built nor checked again, since
        most changes of a large set leave nearly all of its queues as they are.

        Returns
        -------
        list of [str, str]
            Problems of the set as pairs of path and reason; see `check`.
        """
        try:
            plain = json.loads(unpack_text(packed))
            queues = [self._build(fields) for fields in plain["queues"]]
            pools = [Pool.from_dict(fields) for fields in plain["pools"]]
            limits = limits_module.RequestLimits.from_dict(plain.get("limits", {}))
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            return [["queues", str(error)]]
        problems = check(version, queues, pools, self.by_name)
        problems += limits_module.check(limits)
        if not problems and self.replace(version, queues, pools, source):
            self.limits = limits
            self.fields_by_name = {fields["name"]: fields for fields in plain["queues"]}
        return problems

    def _build(self, fields):
        name = fields["name"]
        if isinstance(name, str) and self.fields_by_name.get(name) == fields:
            return self.by_name[name]
        return Queue.from_dict(fields)

    def replace(self, version, queues, pools, source):
        """Apply a new set; return False if its version is not higher."""
        if version <= self.version:
            return False
        by_name = {queue.name: queue for queue in queues}
        self._record_changes(version, by_name)
        self.version = version
        self.by_name = by_name
        self.known_by_name.update(self.by_name)
        self.pool_by_name = {pool.name: pool for pool in pools}
        self.source = source
        return True

    def _record_changes(self, version, by_name):
        for name, queue in by_name.items():
            previous = self.by_name.get(name)
            if previous is queue:
                continue
            if previous is None or _field_values(previous) != _field_values(queue):
                self.changed_by_name[name] = version
                self.removed_by_name.pop(name, None)
        for name in self.by_name.keys() - by_name.keys():
            del self.changed_by_name[name]
            self.removed_by_name[name] = version
        while len(self.removed_by_name) > MAX_REMOVED:
            oldest = next(iter(self.removed_by_name))
            self.oldest_change = self.removed_by_name.pop(oldest)

    def changes(self, since):
        """Return what changed after a version.

        Returns
        -------
        tuple of (bool, list of Queue, list of str)
            Whether the list is the whole set, the changed queues, and the names of the
            removed queues.
        """
        if since < self.oldest_change or not since:
            return True, list(self.by_name.values()), []
        changed = [
            self.by_name[name]
            for name, version in self.changed_by_name.items()
            if version > since
        ]
        removed = [
            name for name, version in self.removed_by_name.items() if version > since
        ]
        return False, changed, removed

    def to_snapshot(self):
        """Return the set as plain data, which later changes of the set leave alone."""
        return {
            "changed": dict(self.changed_by_name),
            "removed_at": dict(self.removed_by_name),
            "oldest_change": self.oldest_change,
            "version": self.version,
            "queues": [queue.to_dict() for queue in self.by_name.values()],
            "removed": [
                queue.to_dict()
                for name, queue in self.known_by_name.items()
                if name not in self.by_name
            ],
            "pools": [pool.to_dict() for pool in self.pool_by_name.values()],
            "limits": self.limits.to_sparse_dict(),
            "source": self.source,
        }

    @classmethod
    def from_snapshot(cls, data):
        """Rebuild the set from the result of `to_snapshot`."""
        queue_set = cls()
        queue_set.known_by_name = {
            fields["name"]: Queue.from_dict(fields) for fields in data["removed"]
        }
        queue_set.replace(
            data["version"],
            [Queue.from_dict(fields) for fields in data["queues"]],
            [Pool.from_dict(fields) for fields in data["pools"]],
            data["source"],
        )
        # Snapshots of earlier releases have no limits.
        plain_limits = data.get("limits", {})
        queue_set.limits = limits_module.RequestLimits.from_dict(plain_limits)
        queue_set.oldest_change = data["oldest_change"]
        queue_set._load_changes(data["changed"], data["removed_at"])
        return queue_set

    def _load_changes(self, changed_by_name, removed_by_name):
        """Load the tables of changes, without changes later than the set itself.

        Snapshots of earlier releases may hold such changes, and lack queues that were
        removed by them.
        """
        for name in self.by_name:
            version = changed_by_name.get(name, self.version)
            self.changed_by_name[name] = min(version, self.version)
        self.removed_by_name = {
            name: version
            for name, version in removed_by_name.items()
            if version <= self.version and name not in self.by_name
        }


def pack(queues, pools, limits=None):
    """Return queues, pools and limits of callers as compressed text for the log.

    Examples
    --------
    >>> packed = pack([Queue(name="q", host="", prefix="/", pool="p")], [])
    >>> unpack(packed)[0][0].prefix
    '/'
    """
    plain = {
        "queues": [queue.to_sparse_dict() for queue in queues],
        "pools": [pool.to_sparse_dict() for pool in pools],
    }
    if limits is not None:
        plain["limits"] = limits.to_sparse_dict()
    return pack_text(json.dumps(plain, separators=(",", ":")).encode())


def unpack(packed):
    """Return lists of `Queue` and `Pool` from the result of `pack`.

    Raises
    ------
    ValueError, TypeError, KeyError, AttributeError
        If the text is malformed.
    """
    plain = json.loads(unpack_text(packed))
    return (
        [Queue.from_dict(fields) for fields in plain["queues"]],
        [Pool.from_dict(fields) for fields in plain["pools"]],
    )


def pack_text(data):
    """Return bytes as compressed base64 text, which JSON can hold."""
    return base64.b64encode(zlib.compress(data, COMPRESSION_LEVEL)).decode()


def unpack_text(packed):
    """Return the bytes from the result of `pack_text`; ValueError if it is damaged."""
    try:
        return zlib.decompress(base64.b64decode(packed))
    except zlib.error as error:
        raise ValueError(str(error)) from error


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

    __slots__ = ("_queue_by_route", "_lengths")

    def __init__(self, queues):
        self._queue_by_route = {(queue.host, queue.prefix): queue for queue in queues}
        lengths = {len(queue.prefix) for queue in queues}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, host, path):
        """Return the queue and the path after its prefix, or None."""
        for length in self._lengths:
            queue = self._queue_by_route.get((host, path[:length]))
            if queue is not None and len(path) >= length:
                return queue, path[length:]
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


def check(version, queues, pools, checked_by_name=None):
    """Return the problems of a set as pairs of path and reason; see `checks`.

    Parameters
    ----------
    version : int
        At least 1.
    queues : list of Queue
    pools : list of Pool
    checked_by_name : dict of str to Queue, optional
        Queues whose fields were checked before.
    """
    checked_by_name = checked_by_name or {}
    problems = []
    checks.integer(1)(version, "version", problems)
    if len(queues) > MAX_QUEUES:
        problems.append(["queues", f"must have at most {MAX_QUEUES} entries"])
        return problems
    names = {pool.name for pool in pools}
    if len(names) < len(pools):
        problems.append(["services", "two have the same name"])
    routes = set()
    names_seen = set()
    for number, queue in enumerate(queues):
        path = f"queues[{number}]"
        # The name of a queue that was not checked yet may be of any type.
        is_checked = isinstance(queue.name, str) and (
            checked_by_name.get(queue.name) is queue
        )
        if not is_checked:
            _check_queue(queue, path, problems)
        if queue.pool not in names:
            problems.append([f"{path}.pool", "names no pool"])
        if queue.name in names_seen:
            problems.append([f"{path}.name", "is used twice"])
        if (queue.host, queue.prefix) in routes:
            problems.append([path, "shares host and prefix with another queue"])
        names_seen.add(queue.name)
        routes.add((queue.host, queue.prefix))
    return problems


def _check_queue(queue, path, problems):
    for name, check_value in _QUEUE_CHECKS.items():
        check_value(getattr(queue, name), f"{path}.{name}", problems)
