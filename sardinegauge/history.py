"""Recorded histories of a fleet under faults, and a checker of its guarantees.

A history is a file of JSON lines. Each line is one record with its class name under
``kind`` and the fields of the class below, for example::

    {"kind":"RequestSent","at_ms":12,"request":"q1","token":"o1","idempotent":false}

`write` makes such a line. The lines may come in any order: the checker sorts them by
`at_ms`, which every writer takes from `clock.monotonic_ms` on the same VM. Each
process records its own actions, never what another process reported to it:

- The caller writes `RequestSent` before it sends and `RequestAnswered` for each answer;
  a request without an answer has no second record. `request` is unique for each
  attempt and is sent as ``Sardinegauge-Request-Id``. `token` names the content: a
  resend under the same idempotency key repeats it, everything else gets a new one.
- The stub upstream writes `RequestExecuted` when it begins to execute, with the request
  id and token it received and a digest of the response it will send, which differs for
  each execution.
- The stub worker writes `TaskStarted`, `TaskStopped` and, after each change, `VmLoad`.
  The runner writes `WorkerDied` for a VM that it killed, before anything else starts.
- The operator's client writes `OperatorAnswered` and `ConfigurationRead`, and each
  process that acts on a configuration is sampled as `ConfigurationSeen`.
- The runner writes `UpstreamLeaving`, `UpstreamReturned`, `FaultInjected` (its `target`
  is the worker's name for a fault at a worker, its agent or its links), and at the end
  one `HistoryEnded` with the state of every task as reported by the fleet. A retired
  task of a service, which the fleet no longer lists, is written as ``cancelled``.

The command ``python -m sardinegauge.history FILE`` prints each violation and ends with
one line ``violations=N requests=N tasks=N``. The exit status is 0 without violations, 1
with some, 2 if the file can't be read.
"""

import sys

from sardinegauge import historychecks, record


class HistoryRecord(record.Record):
    """Base of all records; `at_ms` is the time of the event."""

    __slots__ = ("at_ms",)


class RequestSent(HistoryRecord):
    """A caller sends one attempt of a request."""

    __slots__ = ("request", "token", "idempotent", "key")
    _defaults = {"idempotent": False, "key": ""}


class RequestAnswered(HistoryRecord):
    """A caller received an answer.

    `response` is the digest of the received body, or empty if the body is not an
    upstream's. `is_complete` is false if the connection closed before the body ended.
    """

    __slots__ = ("request", "verdict", "status", "response", "is_complete")
    _defaults = {"status": 0, "response": "", "is_complete": True}


class RequestInterrupted(HistoryRecord):
    """The connection to an entry closed before the answer was complete."""

    __slots__ = ("request", "process", "sent_ms")


class PlannedStop(HistoryRecord):
    """A process was asked to stop at `at_ms` and exited by itself at `ended_ms`."""

    __slots__ = ("process", "ended_ms")


class StopFailed(HistoryRecord):
    """A process that was asked to stop did not exit by itself."""

    __slots__ = ("process",)


class RequestExecuted(HistoryRecord):
    """A stub upstream executes a request; `response` is the digest of its answer."""

    __slots__ = ("upstream", "request", "token", "response")


class TaskStarted(HistoryRecord):
    """A stub worker starts a task under an epoch; `checkpoint` may be empty."""

    __slots__ = ("worker", "task", "epoch", "checkpoint")
    _defaults = {"checkpoint": ""}


class TaskStopped(HistoryRecord):
    """A task no longer runs at a stub worker.

    `reason` is ``finished``, ``failed``, ``evicted`` (with its checkpoint),
    ``cancelled`` or ``lease``.
    """

    __slots__ = ("worker", "task", "epoch", "reason", "checkpoint")
    _defaults = {"checkpoint": ""}


class WorkerDied(HistoryRecord):
    """A VM failed; none of its tasks runs from then on."""

    __slots__ = ("worker",)


class VmLoad(HistoryRecord):
    """The allocated resources and the capacity (`room`) of a worker after a change.

    `load` and `room` are objects with any of `cores`, `memory_mb`, `accelerators` and
    `tasks`.
    """

    __slots__ = ("worker", "load", "room")


class UpstreamLeaving(HistoryRecord):
    """An upstream was asked to leave."""

    __slots__ = ("upstream",)


class UpstreamReturned(HistoryRecord):
    """An upstream that was leaving serves again."""

    __slots__ = ("upstream",)


class OperatorAnswered(HistoryRecord):
    """An operator got the answer to a change; resends repeat the request id."""

    __slots__ = ("operator", "request_id", "call", "outcome", "version", "ids")
    _defaults = {"version": 0, "ids": list}


class ConfigurationRead(HistoryRecord):
    """An operator read the configuration's version with a call sent at `sent_ms`."""

    __slots__ = ("sent_ms", "version")


class ConfigurationSeen(HistoryRecord):
    """A process acts on this version of the configuration."""

    __slots__ = ("process", "version")


class FaultInjected(HistoryRecord):
    """An injected fault, which may justify a resume from an older checkpoint."""

    __slots__ = ("fault", "target")


class HistoryEnded(HistoryRecord):
    """End of the history: the state of each task, and whether the fleet had settled."""

    __slots__ = ("state_by_task", "is_settled")
    _defaults = {"is_settled": True}


REGISTRY = record.Registry.of_module(globals(), HistoryRecord)


def write(file, item):
    """Write one record as a line of a text file."""
    file.write(REGISTRY.dumps(item).decode() + "\n")


def load(path):
    """Read the records of a history.

    Raises
    ------
    ValueError
        If a line is not a valid record; the message contains the line number.
    """
    records = []
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, start=1):
            try:
                records.append(REGISTRY.loads(line))
            except (TypeError, ValueError) as error:
                raise ValueError(f"line {number}: {error}") from error
    return records


def main(arguments):
    """Check the history of a file; return the exit status."""
    if len(arguments) != 1:
        print("usage: python -m sardinegauge.history FILE", file=sys.stderr)
        return 2
    try:
        history = historychecks.History(load(arguments[0]))
    except (OSError, ValueError) as error:
        print(f"{arguments[0]}: {error}", file=sys.stderr)
        return 2
    violations = historychecks.check(history)
    for violation in violations:
        print(f"{violation.at_ms} guarantee {violation.guarantee}: {violation.text}")
    counts = f"requests={history.request_count} tasks={history.task_count}"
    print(f"violations={len(violations)} {counts}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
