"""Checks of a history against the guarantees of the design page, section 2.

The records are those of `history`. They are distinguished by class name rather than by
class, since `history` also runs as a program and its classes then exist twice.
"""

import collections
import itertools

from sardinegauge import record

CONFIGURATION_LIMIT_MS = 6_000
"""Time within which every process acts on an accepted configuration."""
LEAVING_LIMIT_MS = 5_000
"""Time after which an upstream that is leaving gets no new work."""
FAULT_WINDOW_MS = 15_000
"""A fault at a worker at most this long before a stop may have kept the report of the
stop from the leader. Covers a lease, the leader's wait for its end, and the time to
restore links."""
ENDED_WITHOUT_RESUME = frozenset({"cancelled", "failed", "impossible"})


def kind(item):
    """Return the name of a record's class."""
    return type(item).__name__


class Violation(record.Record):
    """One violation of a guarantee, by its number in section 2 of the design page."""

    __slots__ = ("at_ms", "guarantee", "text")


class History:
    """The records of one history by class name, in chronological order."""

    def __init__(self, records):
        self.by_kind = collections.defaultdict(list)
        self.records = sorted(records, key=lambda item: item.at_ms)
        for item in self.records:
            self.by_kind[kind(item)].append(item)

    @property
    def request_count(self):
        """Number of requests that were sent."""
        return len(self.by_kind["RequestSent"])

    @property
    def task_count(self):
        """Number of tasks that were started at least once."""
        return len({item.task for item in self.by_kind["TaskStarted"]})


def check(history):
    """Return the violations of a history in chronological order."""
    found = []
    for rule in RULES:
        found += [Violation(at_ms=a, guarantee=g, text=t) for a, g, t in rule(history)]
    return sorted(found, key=lambda violation: violation.at_ms)


def check_load(history):
    """No VM has more work than its capacity."""
    for item in history.by_kind["VmLoad"]:
        for name, amount in item.load.items():
            if amount > item.room.get(name, 0):
                text = f"{item.worker} has {amount} {name} of {item.room.get(name, 0)}"
                yield item.at_ms, 1, text


def _runs(history):
    """Return the runs of each task as ``[start, end record or None]`` pairs."""
    runs_by_task = collections.defaultdict(list)
    open_run_by_placement = {}
    for item in history.records:
        if kind(item) == "TaskStarted":
            run = [item, None]
            runs_by_task[item.task].append(run)
            open_run_by_placement.setdefault((item.worker, item.task, item.epoch), run)
        elif kind(item) == "TaskStopped":
            run = open_run_by_placement.pop((item.worker, item.task, item.epoch), None)
            if run is not None:
                run[1] = item
        elif kind(item) == "WorkerDied":
            for placement in [p for p in open_run_by_placement if p[0] == item.worker]:
                open_run_by_placement.pop(placement)[1] = item
    return runs_by_task


def check_placements(history):
    """A task never runs on two workers at once, and its epochs increase."""
    for task, runs in _runs(history).items():
        for (first, end), (second, _) in itertools.pairwise(runs):
            if end is None or end.at_ms > second.at_ms:
                text = f"{task} started at {second.worker} while at {first.worker}"
                yield second.at_ms, 2, text
            if second.epoch <= first.epoch:
                text = f"{task} started under epoch {second.epoch} after {first.epoch}"
                yield second.at_ms, 2, text


def check_resumes(history):
    """Interrupted work resumes exactly once, evicted work from its checkpoint."""
    end = next(iter(history.by_kind["HistoryEnded"]), None)
    for task, runs in _runs(history).items():
        for (_, stop), following in zip(runs, [*runs[1:], None]):
            if stop is None or not _must_resume(stop):
                continue
            if following is not None:
                yield from _check_checkpoint(history, task, stop, following[0])
            elif end is not None and not _may_be_pending(end, task):
                state = end.state_by_task.get(task, "unknown")
                text = f"{task} stopped ({_reason(stop)}) and never resumed: {state}"
                yield stop.at_ms, 3, text


def _reason(stop):
    return stop.reason if kind(stop) == "TaskStopped" else "its worker died"


def _must_resume(stop):
    return _reason(stop) not in ("finished", "cancelled")


def _may_be_pending(end, task):
    state = end.state_by_task.get(task)
    if state in ENDED_WITHOUT_RESUME:
        return True
    return not end.is_settled and state is not None


def _check_checkpoint(history, task, stop, start):
    if _reason(stop) != "evicted" or start.checkpoint == stop.checkpoint:
        return
    if not stop.checkpoint or _has_fault(history, stop, start):
        return
    text = f"{task} resumed from {start.checkpoint!r} instead of {stop.checkpoint!r}"
    yield start.at_ms, 3, text


def _has_fault(history, stop, start):
    """Return whether a fault may have kept the report of a stop from the leader."""
    begin_ms = stop.at_ms - FAULT_WINDOW_MS
    faults = [(item.at_ms, item.target) for item in history.by_kind["FaultInjected"]]
    faults += [(item.at_ms, item.worker) for item in history.by_kind["WorkerDied"]]
    return any(
        target == stop.worker and begin_ms <= at_ms <= start.at_ms
        for at_ms, target in faults
    )


def check_finishes(history):
    """A task whose state is finished was finished by a worker."""
    finished = {
        item.task
        for item in history.by_kind["TaskStopped"]
        if item.reason == "finished"
    }
    for end in history.by_kind["HistoryEnded"]:
        for task, state in end.state_by_task.items():
            if state == "finished" and task not in finished:
                yield end.at_ms, 3, f"{task} is finished but no worker finished it"


def _executions(history, name):
    by_name = collections.defaultdict(list)
    for item in history.by_kind["RequestExecuted"]:
        by_name[getattr(item, name)].append(item)
    return by_name


def check_responses(history):
    """Every caller gets the complete response to its own request."""
    sent_by_request = {item.request: item for item in history.by_kind["RequestSent"]}
    executions_by_token = _executions(history, "token")
    for item in history.by_kind["RequestAnswered"]:
        sent = sent_by_request.get(item.request)
        if sent is None:
            yield item.at_ms, 4, f"{item.request} was answered but never sent"
            continue
        executions = executions_by_token[sent.token]
        if item.verdict == "ran" and not executions:
            yield item.at_ms, 4, f"{item.request} is said to have run but did not"
        elif item.response and item.is_complete:
            if item.response not in {execution.response for execution in executions}:
                text = (
                    f"{item.request} got {item.response!r}, which is not its response"
                )
                yield item.at_ms, 4, text


def check_refusals(history):
    """A request that was refused as "not run" did not run before or after that."""
    executions_by_request = _executions(history, "request")
    for item in history.by_kind["RequestAnswered"]:
        if item.verdict == "not-run":
            for execution in executions_by_request[item.request]:
                text = f"{item.request} was refused as not run, but ran at "
                yield execution.at_ms, 5, text + execution.upstream


def check_executions(history):
    """A non-idempotent request runs at most once, and only sent requests run."""
    sent = history.by_kind["RequestSent"]
    token_by_request = {item.request: item.token for item in sent}
    run_once_tokens = {item.token for item in sent if not item.idempotent}
    for token, executions in _executions(history, "token").items():
        if token in run_once_tokens:
            for again in executions[1:]:
                text = f"{token} ran at {executions[0].upstream} and {again.upstream}"
                yield again.at_ms, 6, text
        for item in executions:
            if token_by_request.get(item.request) != token:
                yield item.at_ms, 6, f"{item.request} ran {token}, which it did not ask"


def check_leaving(history):
    """An upstream gets no new work `LEAVING_LIMIT_MS` after it began to leave."""
    leaving = {}
    for item in history.records:
        if kind(item) == "UpstreamLeaving":
            leaving.setdefault(item.upstream, item.at_ms)
        elif kind(item) == "UpstreamReturned":
            leaving.pop(item.upstream, None)
        elif kind(item) == "RequestExecuted" and item.upstream in leaving:
            late_ms = item.at_ms - leaving[item.upstream]
            if late_ms > LEAVING_LIMIT_MS:
                text = f"{item.request} came to {item.upstream} {late_ms} ms after"
                yield item.at_ms, 7, text + " it began to leave"


def check_stops(history):
    """A stopped process exits by itself and interrupts no request in flight."""
    for item in history.by_kind["StopFailed"]:
        yield item.at_ms, 8, f"{item.process} did not end by itself"
    for stop in history.by_kind["PlannedStop"]:
        for item in history.by_kind["RequestInterrupted"]:
            is_within = stop.at_ms <= item.at_ms <= stop.ended_ms
            if item.process == stop.process and is_within:
                text = f"{item.request} was interrupted by the stop of {stop.process}"
                yield item.at_ms, 8, text


def check_configuration(history):
    """An accepted configuration takes effect in time and is never reverted."""
    accepted = [
        item
        for item in history.by_kind["OperatorAnswered"]
        if item.call == "SetConfiguration" and item.outcome == "accepted"
    ]
    highest = {}
    for item in history.by_kind["ConfigurationSeen"]:
        before = highest.get(item.process, 0)
        if item.version < before:
            text = f"{item.process} went from version {before} to {item.version}"
            yield item.at_ms, 9, text
        highest[item.process] = max(before, item.version)
        expected = _newest(accepted, item.at_ms - CONFIGURATION_LIMIT_MS)
        if item.version < expected:
            text = (
                f"{item.process} acts on version {item.version} instead of {expected}"
            )
            yield item.at_ms, 9, text
    for item in history.by_kind["ConfigurationRead"]:
        expected = _newest(accepted, item.sent_ms)
        if item.version < expected:
            yield (
                item.at_ms,
                9,
                f"version {item.version} was read instead of {expected}",
            )


def _newest(accepted, before_ms):
    """Return the newest version that was accepted before `before_ms`, or 0."""
    return max((a.version for a in accepted if a.at_ms < before_ms), default=0)


def check_operators(history):
    """One of two changes with the same base wins; a resend gets the first answer."""
    winner_by_version = {}
    first_by_request = {}
    for item in history.by_kind["OperatorAnswered"]:
        request = (item.operator, item.request_id)
        if item.call == "SetConfiguration" and item.outcome == "accepted":
            winner = winner_by_version.setdefault(item.version, request)
            if winner != request:
                text = f"version {item.version} was given to {winner} and {request}"
                yield item.at_ms, 9, text
        answer = (item.call, item.outcome, item.version, item.ids)
        first = first_by_request.setdefault(request, answer)
        if first != answer:
            yield item.at_ms, 9, f"{request} was answered {first} and then {answer}"


RULES = (
    check_load,
    check_placements,
    check_resumes,
    check_finishes,
    check_responses,
    check_refusals,
    check_executions,
    check_leaving,
    check_stops,
    check_configuration,
    check_operators,
)
