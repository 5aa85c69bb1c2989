"""The checks of a history, one for each guarantee of the design page, section 2.

The records are those of `history`, told apart by the names of their classes: that
module also runs as a program, and then its classes exist twice.
"""

import collections
import itertools

from sardinegauge import record

IN_FORCE_LIMIT_MS = 6_000
"""An accepted configuration is in force everywhere within this time."""
LEAVING_LIMIT_MS = 5_000
"""A leaving upstream gets no new work after this time."""
FAULT_SHADOW_MS = 15_000
"""A fault at a worker this long before a stop may have cut its report: a lease and the
leader's wait for its end, with some time to repair links."""
ENDED_WITHOUT_RESUME = frozenset({"cancelled", "failed", "impossible"})


def kind(item):
    """Return the name of a record's class."""
    return type(item).__name__


class Violation(record.Record):
    """One broken guarantee of section 2, by its number there."""

    __slots__ = ("at_ms", "guarantee", "text")


class History:
    """The records of one history by kind, each list in the order of time."""

    def __init__(self, records):
        self.by_kind = collections.defaultdict(list)
        self.records = sorted(records, key=lambda item: item.at_ms)
        for item in self.records:
            self.by_kind[kind(item)].append(item)

    @property
    def request_count(self):
        """Return how many requests were sent."""
        return len(self.by_kind["RequestSent"])

    @property
    def task_count(self):
        """Return how many tasks were started at least once."""
        return len({item.task for item in self.by_kind["TaskStarted"]})


def check(history):
    """Return the violations of a history in the order of time."""
    found = []
    for rule in RULES:
        found += [Violation(at_ms=a, guarantee=g, text=t) for a, g, t in rule(history)]
    return sorted(found, key=lambda violation: violation.at_ms)


def check_load(history):
    """No VM has more work than capacity."""
    for item in history.by_kind["VmLoad"]:
        for name, amount in item.load.items():
            if amount > item.room.get(name, 0):
                text = f"{item.worker} has {amount} {name} of {item.room.get(name, 0)}"
                yield item.at_ms, 1, text


def _runs(history):
    """Return the runs of each task as ``[start, end record or None]`` pairs."""
    runs_by_task = collections.defaultdict(list)
    open_by_place = {}
    for item in history.records:
        if kind(item) == "TaskStarted":
            run = [item, None]
            runs_by_task[item.task].append(run)
            open_by_place.setdefault((item.worker, item.task, item.epoch), run)
        elif kind(item) == "TaskStopped":
            run = open_by_place.pop((item.worker, item.task, item.epoch), None)
            if run is not None:
                run[1] = item
        elif kind(item) == "WorkerDied":
            for place in [p for p in open_by_place if p[0] == item.worker]:
                open_by_place.pop(place)[1] = item
    return runs_by_task


def check_places(history):
    """A task never runs in two places at once, and its epochs grow."""
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
            elif end is not None and not _may_wait(end, task):
                state = end.state_by_task.get(task, "unknown")
                text = f"{task} stopped ({_reason(stop)}) and never resumed: {state}"
                yield stop.at_ms, 3, text


def _reason(stop):
    return stop.reason if kind(stop) == "TaskStopped" else "its worker died"


def _must_resume(stop):
    return _reason(stop) not in ("finished", "cancelled")


def _may_wait(end, task):
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
    """Tell whether a fault may have kept the leader from learning of a stop."""
    begin_ms = stop.at_ms - FAULT_SHADOW_MS
    faults = [(item.at_ms, item.target) for item in history.by_kind["FaultInjected"]]
    faults += [(item.at_ms, item.worker) for item in history.by_kind["WorkerDied"]]
    return any(
        target == stop.worker and begin_ms <= at_ms <= start.at_ms
        for at_ms, target in faults
    )


def check_finishes(history):
    """A task that the fleet calls finished did finish."""
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
    """A refusal that reports "not run" is accurate, then and later."""
    executions_by_request = _executions(history, "request")
    for item in history.by_kind["RequestAnswered"]:
        if item.verdict == "not-run":
            for execution in executions_by_request[item.request]:
                text = f"{item.request} was refused as not run, but ran at "
                yield execution.at_ms, 5, text + execution.upstream


def check_executions(history):
    """A non-idempotent request runs at most once, and none runs unasked."""
    sent = history.by_kind["RequestSent"]
    token_by_request = {item.request: item.token for item in sent}
    once = {item.token for item in sent if not item.idempotent}
    for token, executions in _executions(history, "token").items():
        if token in once:
            for again in executions[1:]:
                text = f"{token} ran at {executions[0].upstream} and {again.upstream}"
                yield again.at_ms, 6, text
        for item in executions:
            if token_by_request.get(item.request) != token:
                yield item.at_ms, 6, f"{item.request} ran {token}, which it did not ask"


def check_leaving(history):
    """An upstream that is leaving gets no new work after a few seconds."""
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
    """A planned stop ends by itself and interrupts no request in flight."""
    for item in history.by_kind["StopFailed"]:
        yield item.at_ms, 8, f"{item.process} did not end by itself"
    for stop in history.by_kind["PlannedStop"]:
        for item in history.by_kind["RequestInterrupted"]:
            is_within = stop.at_ms <= item.at_ms <= stop.ended_ms
            if item.process == stop.process and is_within:
                text = f"{item.request} was interrupted by the stop of {stop.process}"
                yield item.at_ms, 8, text


def check_configuration(history):
    """An accepted configuration is in force within seconds and never reverts."""
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
        due = _newest(accepted, item.at_ms - IN_FORCE_LIMIT_MS)
        if item.version < due:
            text = f"{item.process} acts on version {item.version} instead of {due}"
            yield item.at_ms, 9, text
    for item in history.by_kind["ConfigurationRead"]:
        due = _newest(accepted, item.sent_ms)
        if item.version < due:
            yield item.at_ms, 9, f"version {item.version} was read instead of {due}"


def _newest(accepted, before_ms):
    """Return the newest version accepted before a time."""
    return max((a.version for a in accepted if a.at_ms < before_ms), default=0)


def check_operators(history):
    """Of two changes with one base one wins, and a resend gets the first answer."""
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
    check_places,
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
