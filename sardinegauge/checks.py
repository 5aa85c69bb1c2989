"""Validation of command fields, with the path of each invalid field.

Commands reach the state machine through the log, so it cannot rely on every proposer
to have refused a malformed one. Each check is a function
``check(value, path, problems)`` that appends ``[path, reason]`` pairs to `problems`.
"""

import math

from sardinegauge import checkpoints, commands
from sardinegauge.links import httpmessages, messages

MAX_TEXT_LENGTH = 1_000
MAX_BODY_LENGTH = 1_000_000
MAX_REASON_LENGTH = 300
MAX_NUMBER = 1e9
MAX_INTEGER = 2**53
"""Largest integer that JSON readers in other languages represent exactly."""
MAX_TASKS_PER_JOB = 10_000
"""Bounds the time that the state machine needs for one command to about 0.1 s."""
MAX_ITEMS = 100_000
MAX_LEVELS = 20
MAX_INTEGER_BITS = 1_024
"""Far below the thousands of digits at which Python refuses to format an integer."""

_NAME_PUNCTUATION = frozenset("._-")


def text(limit=MAX_TEXT_LENGTH, is_empty_allowed=False):
    """Return a check for text that every encoder accepts."""

    def check(value, path, problems):
        if not isinstance(value, str):
            problems.append([path, "must be text"])
        elif not value and not is_empty_allowed:
            problems.append([path, "must not be empty"])
        elif len(value) > limit:
            problems.append([path, f"must have at most {limit} characters"])
        elif not value.isascii() and any("\ud800" <= c <= "\udfff" for c in value):
            problems.append([path, "must not hold surrogate code points"])

    return check


def number(minimum=0.0, maximum=MAX_NUMBER, is_minimum_allowed=True):
    """Return a check for a finite number in a range."""

    def check(value, path, problems):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            problems.append([path, "must be a number"])
        elif isinstance(value, float) and not math.isfinite(value):
            problems.append([path, "must be finite"])
        elif value < minimum or (value == minimum and not is_minimum_allowed):
            word = "at least" if is_minimum_allowed else "above"
            problems.append([path, f"must be {word} {minimum:g}"])
        elif value > maximum:
            problems.append([path, f"must be at most {maximum:g}"])

    return check


def integer(minimum=0, maximum=MAX_INTEGER):
    """Return a check for an integer in a range."""

    def check(value, path, problems):
        if isinstance(value, bool) or not isinstance(value, int):
            problems.append([path, "must be an integer"])
        elif value < minimum:
            problems.append([path, f"must be at least {minimum}"])
        elif value > maximum:
            problems.append([path, f"must be at most {maximum}"])

    return check


def truncate_reason(reason):
    """Truncate a reason for storage; agents may send text of any length."""
    return reason[:MAX_REASON_LENGTH]


def flag(value, path, problems):
    """Check for true or false."""
    if not isinstance(value, bool):
        problems.append([path, "must be true or false"])


def name(value, path, problems):
    """Check for a name that is one path segment of a URL."""
    problem_count = len(problems)
    text(100)(value, path, problems)
    if len(problems) > problem_count:
        return
    is_plain = value.isascii() and all(
        c.isalnum() or c in _NAME_PUNCTUATION for c in value
    )
    if not is_plain or not value[0].isalnum():
        reason = "must begin with a letter or digit and hold only those and . _ -"
        problems.append([path, reason])


def items(check_item, limit=MAX_ITEMS):
    """Return a check for a list of values."""

    def check(value, path, problems):
        if not isinstance(value, list):
            problems.append([path, "must be a list"])
            return
        if len(value) > limit:
            problems.append([path, f"must have at most {limit} entries"])
            return
        for position, element in enumerate(value):
            check_item(element, f"{path}[{position}]", problems)

    return check


def fields(cls, checks):
    """Return a check for a record of class `cls`, given one check per field."""
    checks = list(checks.items())

    def check(value, path, problems):
        if not isinstance(value, cls):
            problems.append([path, "must be an object"])
            return
        for field, check_field in checks:
            check_field(getattr(value, field), f"{path}.{field}", problems)

    return check


def table(check_value, limit=MAX_ITEMS):
    """Return a check for an object with text keys and checked values."""

    def check(value, path, problems):
        if not isinstance(value, dict):
            problems.append([path, "must be an object"])
            return
        if len(value) > limit:
            problems.append([path, f"must have at most {limit} entries"])
            return
        for key, element in value.items():
            text()(key, path, problems)
            check_value(element, f"{path}.{key}", problems)

    return check


def plain(value, path, problems, levels=MAX_LEVELS):
    """Check for JSON-like data of at most `MAX_LEVELS` levels, whatever its meaning.

    Deeper data would exceed the interpreter's recursion limit in a later step, and a
    replica that fails while it applies the log cannot continue.
    """
    if isinstance(value, (dict, list)):
        if not levels:
            problems.append([path, f"must have at most {MAX_LEVELS} levels"])
            return
        pairs = value.items() if isinstance(value, dict) else enumerate(value)
        for key, element in pairs:
            if isinstance(value, dict) and not isinstance(key, str):
                problems.append([path, "must have text keys"])
            plain(element, f"{path}.{key}", problems, levels - 1)
    elif value is not None and not isinstance(value, (str, int, float)):
        problems.append([path, "must be plain data"])
    elif isinstance(value, int) and value.bit_length() > MAX_INTEGER_BITS:
        problems.append([path, "must be a smaller number"])


def row(*column_checks):
    """Return a check for a list with one value per column."""

    def check(value, path, problems):
        if not isinstance(value, list) or len(value) != len(column_checks):
            problems.append([path, f"must be a list of {len(column_checks)} values"])
            return
        for number, check_value in enumerate(column_checks):
            check_value(value[number], f"{path}[{number}]", problems)

    return check


TEXT = text()
SHORT_TEXT = text(100)
COMMAND_TEXT = text(10_000, is_empty_allowed=True)
OPTIONAL_TEXT = text(is_empty_allowed=True)
COUNT = integer()
SIZE = number()
# A learned effect may be negative.
ESTIMATE = number(-MAX_NUMBER)
LONG_TEXT = text(MAX_BODY_LENGTH, is_empty_allowed=True)
CHECKPOINT = text(checkpoints.MAX_LENGTH, is_empty_allowed=True)
INCARNATION_ROW = row(TEXT, COUNT)
RUN_ROW = row(TEXT, COUNT)
ESTIMATE_ROW = row(OPTIONAL_TEXT, OPTIONAL_TEXT, ESTIMATE, ESTIMATE)
RUN_TIME_ROW = row(OPTIONAL_TEXT, OPTIONAL_TEXT, ESTIMATE, ESTIMATE, ESTIMATE)
CRASH_ROW = row(TEXT, COUNT, TEXT)
END_ROW = row(COUNT, TEXT, COUNT, TEXT, CHECKPOINT)
CHECKPOINT_ROW = row(TEXT, COUNT, CHECKPOINT)

_ROOM = fields(
    messages.Room,
    {
        "cores": SIZE,
        "memory_mb": COUNT,
        "accelerators": COUNT,
        "tasks": COUNT,
        "connections": COUNT,
    },
)
_ASSIGNMENT = fields(
    commands.Assignment,
    {
        "task": TEXT,
        "epoch": COUNT,
        "upstream": TEXT,
        "incarnation": TEXT,
        "cores": SIZE,
        "memory_mb": COUNT,
        "accelerators": COUNT,
        "connections": COUNT,
        "reason": LONG_TEXT,
    },
)
_EVICTION = fields(
    commands.Eviction, {"task": TEXT, "epoch": COUNT, "reason": LONG_TEXT}
)


def _task_change(checkpoint):
    return fields(
        commands.TaskChange,
        {
            # An invalid change must not cause the other changes of its report to be
            # refused, so any text is valid here and the handler ignores unknown values.
            "task": LONG_TEXT,
            "epoch": COUNT,
            "phase": LONG_TEXT,
            "reason": LONG_TEXT,
            "checkpoint": checkpoint,
        },
    )


_HEADER = fields(
    httpmessages.Header,
    {"name": TEXT, "value": LONG_TEXT},
)
_OPERATOR = {"operator": TEXT, "request_id": TEXT}
_UPSTREAM = {"upstream": TEXT, "incarnation": TEXT}
_CLAIM = {"tenant": TEXT, "key": TEXT}
_SIZES = {"cores": SIZE, "memory_mb": COUNT, "accelerators": COUNT}

_WORKER_INCARNATION = {"worker": TEXT, "life": COUNT}
_CHECKS_BY_COMMAND = {
    commands.SetConfiguration: {
        **_OPERATOR,
        "base_version": COUNT,
        "document": plain,
    },
    commands.SubmitJob: {
        **_OPERATOR,
        **_SIZES,
        # A caller that omits the size sends 0, and tasks without a size would fill
        # every task slot.
        "cores": number(is_minimum_allowed=False),
        "name": SHORT_TEXT,
        "tenant": SHORT_TEXT,
        "task_count": integer(1, MAX_TASKS_PER_JOB),
        "run_time_s": number(is_minimum_allowed=False),
        "urgent": flag,
        "gang": flag,
        "command": COMMAND_TEXT,
        "group": OPTIONAL_TEXT,
    },
    commands.DeclareService: {
        **_OPERATOR,
        **_SIZES,
        "name": name,
        "tenant": SHORT_TEXT,
        "replicas": integer(0, MAX_TASKS_PER_JOB),
        "connections": COUNT,
        "command": COMMAND_TEXT,
    },
    commands.CancelJobs: {**_OPERATOR, "jobs": items(TEXT)},
    commands.DrainUpstream: {**_OPERATOR, "draining": flag, "upstream": TEXT},
    commands.DrainDomain: {**_OPERATOR, "failure_domain": TEXT, "undo": flag},
    commands.RegisterWorker: {
        **_UPSTREAM,
        "address": OPTIONAL_TEXT,
        "failure_domain": OPTIONAL_TEXT,
        "rack": OPTIONAL_TEXT,
        "services": items(TEXT),
        "room": _ROOM,
        "draining": flag,
        "previous_may_run": flag,
    },
    commands.WorkerLost: _UPSTREAM,
    commands.AssignTasks: {"assignments": items(_ASSIGNMENT)},
    commands.EvictTasks: {"evictions": items(_EVICTION)},
    commands.ReportTasks: {
        **_UPSTREAM,
        "has_long_checkpoints": flag,
        "changes": items(_task_change(OPTIONAL_TEXT)),
    },
    commands.ResizeTasks: {
        "cores_by_task": table(SIZE),
        "memory_mb_by_task": table(COUNT),
    },
    commands.QuarantineWorker: {
        "upstream": TEXT,
        "quarantined": flag,
        "reason": LONG_TEXT,
    },
    commands.FailJob: {"job": TEXT, "reason": LONG_TEXT, "impossible": flag},
    commands.MakeClaim: {
        **_CLAIM,
        **_UPSTREAM,
        "digest": OPTIONAL_TEXT,
        "entry": OPTIONAL_TEXT,
    },
    commands.SettleClaim: {
        **_CLAIM,
        "claim_index": COUNT,
        "status": integer(0, 999),
        "headers": items(_HEADER),
        "body": LONG_TEXT,
        "is_body_kept": flag,
    },
    commands.ReleaseClaim: {**_CLAIM, "claim_index": COUNT},
    commands.ExpireClaims: {"before_ms": COUNT},
    commands.SetQueues: {
        "version": integer(1),
        "packed": text(MAX_BODY_LENGTH),
        "source": text(MAX_BODY_LENGTH, is_empty_allowed=True),
    },
    # The steps are checked by `workflows.steps`.
    commands.SubmitWorkflow: {
        "id": TEXT,
        "queue": TEXT,
        "steps": items(plain),
        "seen_index": COUNT,
    },
    commands.RefuseWorkflow: {
        "id": TEXT,
        "queue": TEXT,
        "retry_after_s": COUNT,
        "is_newcomer": flag,
        "seen_index": COUNT,
    },
    commands.CancelWorkflow: {"id": TEXT, "is_binding": flag},
    commands.SetDomainDrain: {
        "failure_domain": TEXT,
        "undo": flag,
        "operator": OPTIONAL_TEXT,
    },
    commands.KeepEstimates: {
        "rows": items(ESTIMATE_ROW),
        "run_times": items(RUN_TIME_ROW),
    },
    commands.RecordCrash: {
        **_WORKER_INCARNATION,
        "agent": TEXT,
        "rows": items(CRASH_ROW),
    },
    commands.GiveUpTask: {"task": TEXT},
    commands.ClearSuspects: {"tasks": items(TEXT)},
    commands.RegisterLife: {**_WORKER_INCARNATION, "agent": TEXT},
    commands.AssignRuns: {
        "rows": items(row(TEXT, COUNT, TEXT, COUNT)),
        "queues_version": COUNT,
    },
    commands.RecordEnds: {
        **_WORKER_INCARNATION,
        "has_long_checkpoints": flag,
        "rows": items(row(COUNT, TEXT, COUNT, TEXT, OPTIONAL_TEXT)),
    },
    commands.ReleaseLife: {
        **_WORKER_INCARNATION,
        "has_long_checkpoints": flag,
        "checkpoints": items(row(TEXT, COUNT, OPTIONAL_TEXT)),
    },
}
_LONG_CHECKPOINT_CHECKS = {
    commands.ReportTasks: {"changes": items(_task_change(CHECKPOINT))},
    commands.RecordEnds: {"rows": items(END_ROW)},
    commands.ReleaseLife: {"checkpoints": items(CHECKPOINT_ROW)},
}
_CHECKS = {
    cls: [("at_ms", COUNT), *checks_by_field.items()]
    for cls, checks_by_field in _CHECKS_BY_COMMAND.items()
}
_CHECKS_WITH_LONG_CHECKPOINTS = {
    cls: list({**dict(_CHECKS[cls]), **checks_by_field}.items())
    for cls, checks_by_field in _LONG_CHECKPOINT_CHECKS.items()
}


def is_valid(check, value):
    """Return whether a check finds no problem with a value.

    Examples
    --------
    >>> is_valid(RUN_ROW, ["w.0.0.0", 1]), is_valid(RUN_ROW, ["", 1])
    (True, False)
    """
    problems = []
    check(value, "", problems)
    return not problems


def is_long_checkpoint(checkpoint):
    """Return whether a command needs `has_long_checkpoints` for a checkpoint."""
    return len(checkpoint) > MAX_TEXT_LENGTH


def problems_of(command):
    """Return the invalid fields of a command as ``[path, reason]`` pairs.

    Examples
    --------
    >>> problems_of(commands.WorkerLost(upstream="", incarnation=3))
    [['upstream', 'must not be empty'], ['incarnation', 'must be text']]
    """
    problems = []
    if type(command) not in _CHECKS:
        # The registry also contains the base classes of commands.
        return [["kind", f"{type(command).__name__} is not a command"]]
    field_checks = _CHECKS[type(command)]
    if getattr(command, "has_long_checkpoints", False) is True:
        field_checks = _CHECKS_WITH_LONG_CHECKPOINTS[type(command)]
    for field, check in field_checks:
        check(getattr(command, field), field, problems)
    return problems
