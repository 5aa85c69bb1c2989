"""Admission of workflows at a gateway, from the leader's summary of the open work.

`ByExpectedEnd` is made for callers who contend for too little capacity, and for bursts
of up to twenty times the usual load. It refuses only work that is worthless to its
caller when it ends, by an optimistic estimate, and work for which the replicas have no
memory. `AcceptAll` is the baseline.
"""

import abc
import json
import math

from sardinegauge import record
from sardinegauge.workflows import ordering
from sardinegauge.workflows import steps as steps_module

# Memory that a replica holds for an open workflow, its steps and its tasks with a run
# each, in bytes. Measured with tracemalloc; `tests/test_workflow_backlog.py` repeats
# the measurement.
WORKFLOW_BYTES = 1200
STEP_BYTES = 700
AFTER_BYTES = 8
TASK_BYTES = 500
# Limit of the bytes held for open workflows. A snapshot takes 1.3 times as much again
# while it is encoded: 147 MB in all, beside 55 MB of the process without workflows and
# up to 64 MB of log, of the 296 MB that the smallest replica has.
MAX_HELD_BYTES = 64 << 20
# Limit of open workflows. The leader's planner looks at each of them: a plan took 67 ms
# with 2,000 waiting workflows and 144 ms with 4,000, on a busy machine.
MAX_OPEN_WORKFLOWS = 3000
# Shares of both limits that best-effort workflows and other ones may fill. The rest is
# kept for persistent workflows, which are not refused for a backlog of batch work: they
# may fill the rest even if other gateways let the batch work exceed its share.
BEST_EFFORT_SHARE = 0.75
BATCH_SHARE = 0.9
# Workflows that hold more than this may fill a smaller share of the bytes, so that a
# few very large ones do not lock out the usual ones.
LARGE_HELD_BYTES = 256 << 10
LARGE_SHARE = 0.75
# Least share of the limits that newcomers may fill while refused callers return.
LEAST_NEWCOMER_SHARE = 0.5

# Declared run times are off by up to 90%. For the many tasks of a backlog, errors
# mostly cancel out; for the own tasks of a workflow, they may not.
OPTIMISTIC_BACKLOG_SHARE = 0.5
OPTIMISTIC_PATH_SHARE = 0.1

# Reasons of a refusal.
EXPECTED_END = "expected_end"
OPEN_WORKFLOWS = "open_workflows"
HELD_BYTES = "held_bytes"


class Work(record.Record):
    """Unfinished work of a pool of one priority, size class and kind.

    `size_class` is that of `size_class` of the remaining work of its workflows.
    Best-effort work (`is_filler`) reserves no cores, so other work never waits for it.
    """

    __slots__ = (
        "priority",
        "size_class",
        "is_filler",
        "core_ms",
        "memory_mb_ms",
        "count",
    )
    _defaults = {"is_filler": False, "core_ms": 0, "memory_mb_ms": 0, "count": 0}


class PoolBacklog(record.Record):
    """Capacity and open work of a pool.

    `cores` and `memory_mb` are those that tasks of batch work can reserve on usable
    workers. `filler_cores` is an optimistic estimate of the cores that best-effort work
    can get, `finished_cores` the declared core-ms that ended per ms lately,
    `ended_per_s` the workflows that ended. `waiting_returns` are rows of priority and
    number of the refused workflows whose callers are still expected to return.
    """

    __slots__ = (
        "cores",
        "memory_mb",
        "filler_cores",
        "finished_cores",
        "ended_per_s",
        "work",
        "waiting_returns",
    )
    _defaults = {
        "cores": 0.0,
        "memory_mb": 0,
        "filler_cores": 0.0,
        "finished_cores": 0.0,
        "ended_per_s": 0.0,
        "work": list,
        "waiting_returns": list,
    }
    _nested = {"work": Work}

    def count_waiting_returns(self, priority):
        """Return the number of refused workflows of a priority or more urgent ones."""
        return sum(count for level, count in self.waiting_returns if level <= priority)


class Backlog(record.Record):
    """Open work by pool, and what the replicas hold for it, `age_ms` ago.

    Persistent workflows are part of `open_count` and `held_bytes`, and counted apart.
    The replicas have memory for `max_held_bytes`.
    """

    __slots__ = (
        "age_ms",
        "open_count",
        "held_bytes",
        "persistent_count",
        "persistent_bytes",
        "max_held_bytes",
        "pool_by_name",
    )
    _defaults = {
        "age_ms": 0,
        "open_count": 0,
        "held_bytes": 0,
        "persistent_count": 0,
        "persistent_bytes": 0,
        "max_held_bytes": MAX_HELD_BYTES,
        "pool_by_name": dict,
    }

    def add_workflow(self, held_bytes, is_persistent):
        """Count an open workflow."""
        self.open_count += 1
        self.held_bytes += held_bytes
        if is_persistent:
            self.persistent_count += 1
            self.persistent_bytes += held_bytes

    def counts(self):
        """Return all fields but the pools, in their order."""
        return [getattr(self, name) for name in self.field_names()[:-1]]

    def to_json(self):
        """Return the backlog as JSON bytes."""
        pools = {
            name: pool.to_sparse_dict() | {"work": [_to_row(w) for w in pool.work]}
            for name, pool in self.pool_by_name.items()
        }
        plain = [*self.counts(), pools]
        return json.dumps(plain, separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, data):
        """Return the backlog of the result of `to_json`, or None if it is malformed.

        Examples
        --------
        >>> Backlog.from_json(Backlog(open_count=3).to_json()).open_count
        3
        >>> Backlog.from_json(b"[1]") is None
        True
        """
        try:
            *counts, pools = json.loads(data)
            names = cls.field_names()[:-1]
            if len(counts) == len(names) - 1:
                # A leader of an earlier release names no `max_held_bytes`.
                counts.append(MAX_HELD_BYTES)
            backlog = cls(**dict(zip(names, counts, strict=True)))
            backlog.pool_by_name = {name: _read_pool(pools[name]) for name in pools}
            _check_numbers(backlog)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
            return None
        return backlog


def _to_row(work):
    return [getattr(work, name) for name in Work.field_names()]


def _read_pool(fields):
    names = Work.field_names()
    rows = [dict(zip(names, row, strict=True)) for row in fields["work"]]
    return PoolBacklog.from_dict({**fields, "work": rows})


def _check_numbers(backlog):
    """Raise ValueError or TypeError if a value is not a finite number."""
    values = backlog.counts()
    for pool in backlog.pool_by_name.values():
        values += [
            getattr(pool, name)
            for name in pool.field_names()
            if name not in PoolBacklog._nested and name != "waiting_returns"
        ]
        values += [value for work in pool.work for value in _to_row(work)]
        for priority, count in pool.waiting_returns:
            values += [priority, count]
    if not all(math.isfinite(value) for value in values):
        raise ValueError("a number is not finite")


class Demand(record.Record):
    """What a workflow asks for; times in ms.

    `path_ms` is its critical path, `span_ms` the time in which its caller wants it to
    end. It waits behind best-effort work if a step `is_filler`.
    """

    __slots__ = (
        "pool",
        "priority",
        "path_ms",
        "span_ms",
        "core_ms",
        "held_bytes",
        "is_filler",
        "is_persistent",
        "is_scheduled",
    )
    _defaults = {"is_filler": False, "is_persistent": False, "is_scheduled": False}

    @property
    def worth_ms(self):
        """Return the time after which the workflow is worthless."""
        return ordering.EXPIRY_SPANS * self.span_ms


def demand_of(queue, command):
    """Return the demand of a `commands.SubmitWorkflow`, or None if that is invalid."""
    try:
        steps = [steps_module.Step.from_dict(fields) for fields in command.steps]
        if steps_module.check(command.replace(steps=steps)):
            return None
    except (TypeError, ValueError, AttributeError):
        return None
    path_ms = ordering.critical_path_ms(steps)
    return Demand(
        pool=queue.pool,
        priority=queue.priority,
        path_ms=path_ms,
        span_ms=queue.stretch * path_ms + queue.objective_ms,
        core_ms=sum(step.count * core_ms(step) for step in steps),
        held_bytes=held_bytes(steps, command.payload),
        is_filler=any(step.is_filler for step in steps),
        is_persistent=any(step.is_persistent for step in steps),
        is_scheduled=command.repeats > 0,
    )


def core_ms(step):
    """Return the declared work of one task of a step, in cores times ms."""
    return step.cpu_millis / 1000 * (step.estimate_ms or ordering.DEFAULT_ESTIMATE_MS)


def held_bytes(steps, payload, occurrence_count=1):
    """Return the estimated memory that a replica holds for an open workflow."""
    task_count = sum(step.count for step in steps) * occurrence_count
    return (
        WORKFLOW_BYTES
        + sum(STEP_BYTES + _text_bytes(step) for step in steps)
        + TASK_BYTES * task_count
        + len(payload)
    )


def _text_bytes(step):
    """Return the memory of the parts of a step whose size its caller chooses."""
    names = (step.required_label, step.preferred_rack, step.image)
    return sum(len(name) for name in names) + AFTER_BYTES * len(step.after)


def submitted_bytes(command):
    """Return `held_bytes` of a `commands.SubmitWorkflow`, 0 if that is invalid."""
    try:
        steps = [steps_module.Step.from_dict(fields) for fields in command.steps]
        return held_bytes(steps, command.payload)
    except (TypeError, ValueError, AttributeError):
        return 0


def size_class(work_core_ms):
    """Return the class of an amount of work, each four times as large as the last.

    Examples
    --------
    >>> [size_class(work) for work in (0, 1, 3, 4, 16)]
    [0, 1, 1, 2, 3]
    """
    return 1 + int(math.log(work_core_ms, 4)) if work_core_ms >= 1 else 0


class Refusal(record.Record):
    """Why a workflow is refused, and when one like it could be accepted.

    `wait_ms` is the time until then, `rate_per_s` the number of workflows like it that
    can be accepted per second from then on. `measured` exceeds `limit`: expected end
    and end of worth in ms, numbers of workflows, or bytes.
    """

    __slots__ = ("reason", "wait_ms", "rate_per_s", "measured", "limit")


class AdmissionPolicy(abc.ABC):
    """Decides whether a workflow is accepted."""

    @abc.abstractmethod
    def decide(self, backlog, demand, is_returning=False):
        """Return the `Refusal` of a workflow, or None to accept it.

        `is_returning` says that its caller was refused before and returns as told.
        """


class AcceptAll(AdmissionPolicy):
    """Accepts every workflow."""

    def decide(self, backlog, demand, is_returning=False):
        """Return None."""
        return None


class ByExpectedEnd(AdmissionPolicy):
    """Refuses what is worthless at its expected end, and what exceeds a limit.

    Parameters
    ----------
    max_open : int
        Limit of open workflows.
    max_held_bytes : int
        Limit of the bytes held for them in a replica.
    """

    def __init__(self, max_open=MAX_OPEN_WORKFLOWS, max_held_bytes=MAX_HELD_BYTES):
        self.max_open = max_open
        self.max_held_bytes = max_held_bytes

    def decide(self, backlog, demand, is_returning=False):
        """Check the limits, then the expected end."""
        pool = backlog.pool_by_name.get(demand.pool) or PoolBacklog()
        waiting = 0 if is_returning else pool.count_waiting_returns(demand.priority)
        refusal = self._check_limits(backlog, demand, waiting)
        if refusal is not None or demand.is_persistent or demand.is_scheduled:
            return refusal
        return _check_end(pool, demand, waiting)

    def _check_limits(self, backlog, demand, waiting):
        max_held_bytes = min(self.max_held_bytes, backlog.max_held_bytes)
        if demand.held_bytes > LARGE_HELD_BYTES:
            max_held_bytes *= LARGE_SHARE
        is_alone = not backlog.open_count
        if is_alone and demand.held_bytes <= max_held_bytes:
            return None
        ended_per_s = sum(p.ended_per_s for p in backlog.pool_by_name.values())
        for reason, held, persistent, own, maximum in (
            (
                OPEN_WORKFLOWS,
                backlog.open_count,
                backlog.persistent_count,
                1,
                self.max_open,
            ),
            (
                HELD_BYTES,
                backlog.held_bytes,
                backlog.persistent_bytes,
                demand.held_bytes,
                max_held_bytes,
            ),
        ):
            if demand.is_persistent:
                limit = max(maximum, held + (1 - BATCH_SHARE) * maximum - persistent)
            else:
                limit = maximum * (
                    BEST_EFFORT_SHARE if demand.is_filler else BATCH_SHARE
                )
                limit = max(limit - waiting * own, LEAST_NEWCOMER_SHARE * limit)
            if held + own <= limit:
                continue
            rate_per_s = max(ended_per_s, 1.0)
            mean_held = held / max(backlog.open_count, 1)
            excess_count = (held + own - limit) / max(own, mean_held)
            return Refusal(
                reason=reason,
                wait_ms=1000 * excess_count / rate_per_s,
                rate_per_s=rate_per_s,
                measured=held + own,
                limit=limit,
            )
        return None


def _check_end(pool, demand, waiting):
    """Refuse a workflow that the work ahead of it delays until it is worthless."""
    cores = pool.filler_cores if demand.is_filler else pool.cores
    # Without a usable worker, nothing is known: workers may be about to join.
    if cores <= 0 or pool.memory_mb <= 0:
        return None
    ahead_core_ms, ahead_memory_mb_ms = _work_ahead(pool, demand)
    if ahead_core_ms <= 0 and ahead_memory_mb_ms <= 0:
        return None
    # The callers who return are expected to bring work like that of this one.
    ahead_core_ms += waiting * demand.core_ms
    # Run times declared too long show as work that ends faster than the cores allow.
    scale = max(pool.finished_cores / cores, 1.0)
    wait_ms = max(ahead_core_ms / cores, ahead_memory_mb_ms / pool.memory_mb) / scale
    end_ms = OPTIMISTIC_BACKLOG_SHARE * wait_ms + OPTIMISTIC_PATH_SHARE * demand.path_ms
    if end_ms <= demand.worth_ms:
        return None
    return Refusal(
        reason=EXPECTED_END,
        wait_ms=(end_ms - demand.worth_ms) / OPTIMISTIC_BACKLOG_SHARE,
        rate_per_s=1000 * cores * scale / max(demand.core_ms, 1.0),
        measured=end_ms,
        limit=demand.worth_ms,
    )


def _work_ahead(pool, demand):
    """Return the core-ms and MB-ms of the work that goes before a workflow.

    Of its own priority, the least remaining work goes first; see `ordering`.
    """
    own_class = size_class(demand.core_ms)
    ahead_core_ms = ahead_memory_mb_ms = 0
    for work in pool.work:
        if work.is_filler and not demand.is_filler:
            continue
        if (work.priority, work.size_class) <= (demand.priority, own_class):
            ahead_core_ms += work.core_ms
            ahead_memory_mb_ms += work.memory_mb_ms
    return ahead_core_ms, ahead_memory_mb_ms
