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
        return len({start.task for start in self.by_kind["TaskStarted"]})


def check(history):
    """Return the violations of a history in chronological order."""
    violations = []
    for rule in RULES:
        violations += [
            Violation(at_ms=at_ms, guarantee=guarantee, text=text)
            for at_ms, guarantee, text in rule(history)
        ]
    return sorted(violations, key=lambda violation: violation.at_ms)


def check_load(history):
    """No VM has more work than its capacity."""
    for vm_load in history.by_kind["VmLoad"]:
        for name, amount in vm_load.load.items():
            if amount > vm_load.room.get(name, 0):
                text = (
                    f"{vm_load.worker} has {amount} {name} of "
                    f"{vm_load.room.get(name, 0)}"
                )
                yield vm_load.at_ms, 1, text


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
            for placement in list(open_run_by_placement):
                worker, _, _ = placement
                if worker == item.worker:
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
                next_start, _ = following
                yield from _check_checkpoint(history, task, stop, next_start)
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
    faults = [(fault.at_ms, fault.target) for fault in history.by_kind["FaultInjected"]]
    faults += [(fault.at_ms, fault.worker) for fault in history.by_kind["WorkerDied"]]
    return any(
        target == stop.worker and begin_ms <= at_ms <= start.at_ms
        for at_ms, target in faults
    )


def check_finishes(history):
    """A task whose state is finished was finished by a worker."""
    finished = {
        stop.task
        for stop in history.by_kind["TaskStopped"]
        if stop.reason == "finished"
    }
    for end in history.by_kind["HistoryEnded"]:
        for task, state in end.state_by_task.items():
            if state == "finished" and task not in finished:
                yield end.at_ms, 3, f"{task} is finished but no worker finished it"


def _executions(history, field):
    executions_by_value = collections.defaultdict(list)
    for execution in history.by_kind["RequestExecuted"]:
        executions_by_value[getattr(execution, field)].append(execution)
    return executions_by_value


def check_responses(history):
    """Every caller gets the complete response to its own request."""
    sent_by_request = {sent.request: sent for sent in history.by_kind["RequestSent"]}
    executions_by_token = _executions(history, "token")
    for answer in history.by_kind["RequestAnswered"]:
        sent = sent_by_request.get(answer.request)
        if sent is None:
            yield answer.at_ms, 4, f"{answer.request} was answered but never sent"
            continue
        executions = executions_by_token[sent.token]
        if answer.verdict == "ran" and not executions:
            yield answer.at_ms, 4, f"{answer.request} is said to have run but did not"
        elif answer.response and answer.is_complete:
            if answer.response not in {execution.response for execution in executions}:
                text = (
                    f"{answer.request} got {answer.response!r}, "
                    "which is not its response"
                )
                yield answer.at_ms, 4, text


def check_refusals(history):
    """A request that was refused as "not run" did not run before or after that."""
    executions_by_request = _executions(history, "request")
    for answer in history.by_kind["RequestAnswered"]:
        if answer.verdict == "not-run":
            for execution in executions_by_request[answer.request]:
                text = f"{answer.request} was refused as not run, but ran at "
                yield execution.at_ms, 5, text + execution.upstream


def check_executions(history):
    """A non-idempotent request runs at most once, and only sent requests run."""
    requests = history.by_kind["RequestSent"]
    token_by_request = {request.request: request.token for request in requests}
    run_once_tokens = {request.token for request in requests if not request.idempotent}
    for token, executions in _executions(history, "token").items():
        if token in run_once_tokens:
            for again in executions[1:]:
                text = f"{token} ran at {executions[0].upstream} and {again.upstream}"
                yield again.at_ms, 6, text
        for execution in executions:
            if token_by_request.get(execution.request) != token:
                yield (
                    execution.at_ms,
                    6,
                    f"{execution.request} ran {token}, which it did not ask",
                )


def check_leaving(history):
    """An upstream gets no new work `LEAVING_LIMIT_MS` after it began to leave."""
    leaving_ms_by_upstream = {}
    for item in history.records:
        if kind(item) == "UpstreamLeaving":
            leaving_ms_by_upstream.setdefault(item.upstream, item.at_ms)
        elif kind(item) == "UpstreamReturned":
            leaving_ms_by_upstream.pop(item.upstream, None)
        elif (
            kind(item) == "RequestExecuted" and item.upstream in leaving_ms_by_upstream
        ):
            late_ms = item.at_ms - leaving_ms_by_upstream[item.upstream]
            if late_ms > LEAVING_LIMIT_MS:
                text = f"{item.request} came to {item.upstream} {late_ms} ms after"
                yield item.at_ms, 7, text + " it began to leave"


def check_stops(history):
    """A stopped process exits by itself and interrupts no request in flight."""
    for failure in history.by_kind["StopFailed"]:
        yield failure.at_ms, 8, f"{failure.process} did not end by itself"
    for stop in history.by_kind["PlannedStop"]:
        for interrupted in history.by_kind["RequestInterrupted"]:
            is_within = stop.at_ms <= interrupted.at_ms <= stop.ended_ms
            if interrupted.process == stop.process and is_within:
                text = (
                    f"{interrupted.request} was interrupted by the stop of "
                    f"{stop.process}"
                )
                yield interrupted.at_ms, 8, text


def check_configuration(history):
    """An accepted configuration takes effect in time and is never reverted."""
    accepted = [
        answer
        for answer in history.by_kind["OperatorAnswered"]
        if answer.call == "SetConfiguration" and answer.outcome == "accepted"
    ]
    highest = {}
    for seen in history.by_kind["ConfigurationSeen"]:
        previous_version = highest.get(seen.process, 0)
        if seen.version < previous_version:
            text = (
                f"{seen.process} went from version {previous_version} to {seen.version}"
            )
            yield seen.at_ms, 9, text
        highest[seen.process] = max(previous_version, seen.version)
        expected = _newest(accepted, seen.at_ms - CONFIGURATION_LIMIT_MS)
        if seen.version < expected:
            text = (
                f"{seen.process} acts on version {seen.version} instead of {expected}"
            )
            yield seen.at_ms, 9, text
    for read in history.by_kind["ConfigurationRead"]:
        expected = _newest(accepted, read.sent_ms)
        if read.version < expected:
            yield (
                read.at_ms,
                9,
                f"version {read.version} was read instead of {expected}",
            )


def _newest(accepted, before_ms):
    """Return the newest version that was accepted before `before_ms`, or 0."""
    return max(
        (answer.version for answer in accepted if answer.at_ms < before_ms), default=0
    )


def check_operators(history):
    """One of two changes with the same base wins; a resend gets the first answer."""
    winner_by_version = {}
    first_by_request = {}
    for reply in history.by_kind["OperatorAnswered"]:
        request = (reply.operator, reply.request_id)
        if reply.call == "SetConfiguration" and reply.outcome == "accepted":
            winner = winner_by_version.setdefault(reply.version, request)
            if winner != request:
                text = f"version {reply.version} was given to {winner} and {request}"
                yield reply.at_ms, 9, text
        answer = (reply.call, reply.outcome, reply.version, reply.ids)
        first_answer = first_by_request.setdefault(request, answer)
        if first_answer != answer:
            yield (
                reply.at_ms,
                9,
                f"{request} was answered {first_answer} and then {answer}",
            )


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
