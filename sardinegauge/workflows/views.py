"""The leader's view of each worker from its agent's reports; soft state."""

import collections
import json

from sardinegauge import record

# Phases of a run in a report.
ORDERED = "ordered"  # The start is not confirmed, so the run may begin at any time.
ACTIVE = "active"
STOPPING = "stopping"
GONE = "gone"  # The run is not active and can never start.

# Reason of a run that is gone because its worker crashed.
CRASHED = "crashed"

PHASES = frozenset({ORDERED, ACTIVE, STOPPING, GONE})

# A worker with an older report gets no new runs.
MAX_REPORT_AGE_MS = 1500
# An agent repeats a report over another link within this time. A report that was sent
# earlier by more than this comes from an agent whose clock began anew.
MAX_REORDERING_MS = 10_000
# Reports whose delays are compared. A delay is known only relative to that of other
# reports, since clocks differ. With a report every 400 ms, a delay that lasts for 3 s
# is taken for a change of the agent's clock, as after a suspension of its VM.
DELAY_WINDOW = 8
# Reported CPU caps of a run: full speed, and one that the agent does not know.
FULL_CPU_CAP = 100
UNKNOWN_CPU_CAP = -1


class Room(record.Record):
    """Free or total resources: thousandths of a core, memory in MB, accelerators."""

    __slots__ = ("cpu_millis", "memory_mb", "accelerators")
    _defaults = {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0}

    def reserve(self, step):
        """Reserve the resources of one task of a step.

        A best-effort task reserves no cores.
        """
        if not step.is_filler:
            self.cpu_millis -= step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.accelerators -= step.accelerators

    def release(self, step):
        """Give back the resources of one task of a step."""
        if not step.is_filler:
            self.cpu_millis += step.cpu_millis
        self.memory_mb += step.memory_mb
        self.accelerators += step.accelerators

    def union(self, other):
        """Return the larger amount of each resource of two rooms."""
        return Room(
            **{
                name: max(getattr(self, name), getattr(other, name))
                for name in self.field_names()
            }
        )

    def is_less_than(self, other):
        """Return whether any amount is below that of another room."""
        return any(
            getattr(self, name) < getattr(other, name) for name in self.field_names()
        )

    def fits(self, step):
        """Return whether one task of a step fits."""
        return (
            (step.is_filler or step.cpu_millis <= self.cpu_millis)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )


class ReportedRun:
    """A run in a report.

    `progress` is the finished share of the work in percent, 100 for an active
    persistent task. `load` is the tail latency in ms of a latency-critical task, for
    others the thousandths of a core in use. `cpu_cap` is the last confirmed CPU
    cap, in percent of the full speed, or `UNKNOWN_CPU_CAP`. `survived_ms` is the time
    from when the run became active to the last answer of its worker.
    """

    __slots__ = (
        "checkpoint",
        "cpu_cap",
        "load",
        "phase",
        "progress",
        "reason",
        "survived_ms",
    )

    def __init__(
        self, phase, checkpoint, progress, load, reason, cpu_cap=100, survived_ms=0
    ):
        self.phase = phase
        self.checkpoint = checkpoint
        self.progress = progress
        self.load = load
        self.reason = reason
        self.cpu_cap = cpu_cap
        self.survived_ms = survived_ms


class Crash(record.Record):
    """A crash of an earlier or the current incarnation of an agent's worker.

    `runs` are rows of task, run, and the times in ms from when the run became active to
    the last answer of the worker, and to the first call without one.
    """

    __slots__ = ("worker", "life", "runs")


class Report(record.Record):
    """A decoded `messages.WorkerReport`.

    `runs` are rows of task, run, phase, checkpoint, progress, load, reason, CPU cap and
    the time that the worker has survived the run; `ends` rows of number, task, run, how
    and checkpoint; `advice` rows of step, the workers asked about, rows of worker and
    ticket, and the tickets' validity in ms; `advice_failures` rows of step, time in ms
    since the call failed, and reason, which agents of earlier releases omit.
    `is_lapsed` is True if every lease of this incarnation has expired, or the
    incarnation has ended. `sent_ms` is when the report was sent, on the agent's clock.
    `cold_ms` is the time for which the worker is still cold; older agents omit it.
    `crash` is the last `Crash` that the leader has not acknowledged, or None.
    """

    __slots__ = (
        "agent",
        "worker",
        "life",
        "sent_ms",
        "pool",
        "failure_domain",
        "rack",
        "labels",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "is_draining",
        "remaining_ms",
        "cold_ms",
        "is_fenced",
        "is_lapsed",
        "seen_end",
        "runs",
        "ends",
        "advice",
        "advice_failures",
        "crash",
    )
    _defaults = {
        "sent_ms": 0,
        "pool": "",
        "failure_domain": "",
        "rack": "",
        "labels": list,
        "cpu_millis": 0,
        "memory_mb": 0,
        "accelerators": 0,
        "is_draining": False,
        "remaining_ms": 0,
        "cold_ms": 0,
        "is_fenced": False,
        "is_lapsed": False,
        "seen_end": 0,
        "runs": list,
        "ends": list,
        "advice": list,
        "advice_failures": list,
        "crash": None,
    }


# Largest magnitude of a number in a report; larger integers overflow as floats.
MAX_NUMBER = 2**53

_NUMBER = (int, float)
_FIELD_TYPES = {
    "pool": str,
    "failure_domain": str,
    "rack": str,
    "labels": list,
    "cpu_millis": _NUMBER,
    "memory_mb": _NUMBER,
    "accelerators": _NUMBER,
    "is_draining": bool,
    "remaining_ms": _NUMBER,
    "cold_ms": _NUMBER,
    "is_fenced": bool,
    "is_lapsed": bool,
    "seen_end": int,
    "runs": list,
    "ends": list,
    "advice": list,
    "advice_failures": list,
}
_RUN_TYPES = (str, int, str, str, _NUMBER, _NUMBER, str, _NUMBER, _NUMBER)
_END_TYPES = (int, str, int, str, str)
_ADVICE_TYPES = (str, list, list, _NUMBER)
_ADVICE_FAILURE_TYPES = (str, _NUMBER, str)
_CRASH_RUN_TYPES = (str, int, _NUMBER, _NUMBER)


def decode_report(message):
    """Return the `Report` in a `messages.WorkerReport`.

    Every part is checked: an exception in the leader's reducer ends the process, and
    the agent would send the same report to the next leader.

    Raises
    ------
    ValueError, TypeError
        If a part is missing or malformed.
    """
    fields = json.loads(message.body, parse_constant=_refuse_constant)
    report = Report(
        agent=message.agent,
        worker=message.worker,
        life=message.life,
        sent_ms=message.sent_ms,
        **fields,
    )
    for name, types in _FIELD_TYPES.items():
        value = getattr(report, name)
        if not isinstance(value, types) or _is_out_of_range(value):
            raise ValueError(f"{name} has the wrong type or size")
    _check_texts("labels", report.labels)
    _check_rows("runs", report.runs, _RUN_TYPES)
    _check_rows("ends", report.ends, _END_TYPES)
    _check_rows("advice", report.advice, _ADVICE_TYPES)
    _check_rows("advice_failures", report.advice_failures, _ADVICE_FAILURE_TYPES)
    report.crash = _decode_crash(report.crash)
    for row in report.runs:
        if row[2] not in PHASES:
            raise ValueError(f"unknown phase {row[2]!r}")
    for _, workers, tickets, _ in report.advice:
        _check_texts("advice", workers)
        _check_rows("advice", tickets, (str, str))
    return report


def _decode_crash(fields):
    if fields is None:
        return None
    if not isinstance(fields, dict):
        raise ValueError("crash has the wrong type")
    crash = Crash(**fields)
    if not isinstance(crash.worker, str) or not isinstance(crash.runs, list):
        raise ValueError("a part of crash has the wrong type")
    if not isinstance(crash.life, int) or _is_out_of_range(crash.life):
        raise ValueError("life of crash has the wrong type or size")
    _check_rows("crash", crash.runs, _CRASH_RUN_TYPES)
    return crash


def _refuse_constant(text):
    raise ValueError(f"{text} is no finite number")


def _check_texts(name, values):
    if not all(isinstance(value, str) for value in values):
        raise ValueError(f"{name} must hold only text")


def _check_rows(name, rows, types):
    for row in rows:
        if not isinstance(row, list) or len(row) != len(types):
            raise ValueError(f"a row of {name} has the wrong length")
        if not all(map(isinstance, row, types)) or any(map(_is_out_of_range, row)):
            raise ValueError(f"a row of {name} has a part of the wrong type or size")


def _is_out_of_range(value):
    return isinstance(value, _NUMBER) and abs(value) > MAX_NUMBER


class WorkerView:
    """One incarnation of a worker according to its newest report.

    `grant_until_ms` is the latest time, on the leader's clock, at which a lease of the
    worker can end. `proposed_end` is the highest end number that was proposed,
    `proposed_gone_runs` the keys of runs proposed as refused. No lease is granted
    while `is_release_pending`. `ended` holds how runs ended by run key, for ends that
    the agent still reports. `update_count` is the number of reports applied.
    `lateness_ms` is how much later the newest report arrived than the fastest one of
    the last `DELAY_WINDOW`. `largest_capacity` holds the largest reported amount of
    each resource, and `has_shrunk` whether one is smaller now.
    """

    __slots__ = (
        "__weakref__",
        "agent",
        "capacity",
        "cold_ms",
        "ended",
        "failure_domain",
        "grant_until_ms",
        "has_shrunk",
        "id",
        "is_draining",
        "is_fenced",
        "is_lapsed",
        "is_release_pending",
        "labels",
        "lateness_ms",
        "largest_capacity",
        "incarnation",
        "pool",
        "proposed_end",
        "proposed_gone_runs",
        "rack",
        "received_ms",
        "remaining_ms",
        "runs",
        "sent_ms",
        "update_count",
        "_offsets_ms",
    )

    def __init__(self, worker, incarnation, agent, now_ms, lease_ms):
        self.id = worker
        self.incarnation = incarnation
        self.agent = agent
        self.pool = ""
        self.failure_domain = ""
        self.rack = ""
        self.labels = frozenset()
        self.capacity = Room()
        self.largest_capacity = Room()
        self.has_shrunk = False
        self.is_draining = False
        self.is_fenced = False
        self.is_lapsed = False
        self.is_release_pending = False
        self.remaining_ms = 0
        self.cold_ms = 0
        self.received_ms = 0
        self.sent_ms = 0
        self.lateness_ms = 0
        self._offsets_ms = collections.deque(maxlen=DELAY_WINDOW)
        self.update_count = 0
        # An earlier leader may have granted a lease just before the change of leader.
        self.grant_until_ms = now_ms + lease_ms
        self.proposed_end = 0
        self.proposed_gone_runs = set()
        self.runs = {}
        self.ended = {}

    def is_outdated(self, report):
        """Return whether a report was sent before the newest one of this incarnation.

        An agent without an answer repeats its report over another link, so reports may
        arrive in another order than they were sent.
        """
        return 0 < self.sent_ms - report.sent_ms <= MAX_REORDERING_MS

    def update(self, report, now_ms):
        """Apply a newer report of this incarnation."""
        self.update_count += 1
        self._measure_lateness(report, now_ms)
        self.agent = report.agent
        self.sent_ms = report.sent_ms
        self.pool = report.pool
        self.failure_domain = report.failure_domain
        self.rack = report.rack
        self.labels = frozenset(report.labels)
        self.capacity = Room(
            cpu_millis=report.cpu_millis,
            memory_mb=report.memory_mb,
            accelerators=report.accelerators,
        )
        self.largest_capacity = self.largest_capacity.union(self.capacity)
        self.has_shrunk = self.capacity.is_less_than(self.largest_capacity)
        # A drain is never undone within an incarnation.
        self.is_draining = self.is_draining or report.is_draining
        self.is_fenced = report.is_fenced
        self.is_lapsed = report.is_lapsed
        self.remaining_ms = report.remaining_ms
        self.cold_ms = report.cold_ms
        self.received_ms = now_ms
        self.runs = self._decode_runs(report)
        self.ended = {(row[1], row[2]): row[3] for row in report.ends}

    def _decode_runs(self, report):
        runs = {(row[0], row[1]): ReportedRun(*row[2:]) for row in report.runs}
        for key, run in runs.items():
            # A report that would be too large leaves out checkpoints.
            if not run.checkpoint and key in self.runs:
                run.checkpoint = self.runs[key].checkpoint
        return runs

    def _measure_lateness(self, report, now_ms):
        """Measure how much later than others a report arrived, from its sending time.

        An old capacity that arrives late must not count as a recent one.
        """
        if not report.sent_ms:
            return
        if report.sent_ms < self.sent_ms:
            # The agent's clock began anew; see `is_outdated`.
            self._offsets_ms.clear()
        offset_ms = now_ms - report.sent_ms
        self._offsets_ms.append(offset_ms)
        self.lateness_ms = offset_ms - min(self._offsets_ms)

    def is_fresh(self, now_ms):
        """Return whether the last report is recent."""
        return now_ms - self.received_ms <= MAX_REPORT_AGE_MS

    def cold_left_ms(self, now_ms):
        """Return the time for which the worker is still cold."""
        return max(self.cold_ms - (now_ms - self.received_ms), 0)

    def may_start(self, now_ms):
        """Return whether the worker may start new runs."""
        return (
            self.is_fenced
            and not self.is_draining
            and not self.is_lapsed
            and not self.is_release_pending
            and self.is_fresh(now_ms + self.lateness_ms)
        )
