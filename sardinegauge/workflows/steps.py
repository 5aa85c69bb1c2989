"""Steps of a workflow as declared by the caller, and their validation."""

from sardinegauge import checks, record

MAX_STEPS = 200
MAX_TASKS_PER_STEP = 10_000
MAX_REPEATS = 100_000
MAX_PAYLOAD_BYTES = 16_384


class Step(record.Record):
    """A set of identical tasks.

    Sizes are for each task: thousandths of a core, memory in MB, accelerators. `after`
    lists the indexes of the earlier steps whose tasks must all be done first. The
    members of a gang start together and end together. A rack-sensitive step is slower
    if it spans racks, and any step is slower outside its `preferred_rack`. At most
    `max_per_worker` tasks of one occurrence run on a worker (0: no limit). Copies of a
    speculative task may run at the same time. Persistent tasks run until the workflow
    is cancelled; the system's own actions may stop at most `max_unavailable` of them at
    once (-1: no limit). A persistent task with a `target_ms` is a latency-critical
    task, whose tail latency it bounds. A best-effort task uses the cores that other
    tasks leave idle. Tasks of one `image` behave alike.
    """

    __slots__ = (
        "count",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "estimate_ms",
        "after",
        "is_checkpointing",
        "is_gang",
        "is_rack_sensitive",
        "required_label",
        "preferred_rack",
        "max_per_worker",
        "is_speculative",
        "is_persistent",
        "image",
        "target_ms",
        "is_filler",
        "max_unavailable",
    )
    _defaults = {
        "count": 1,
        "cpu_millis": 0,
        "memory_mb": 0,
        "accelerators": 0,
        "estimate_ms": 0,
        "after": list,
        "is_checkpointing": False,
        "is_gang": False,
        "is_rack_sensitive": False,
        "required_label": "",
        "preferred_rack": "",
        "max_per_worker": 0,
        "is_speculative": False,
        "is_persistent": False,
        "image": "",
        "target_ms": 0,
        "is_filler": False,
        "max_unavailable": -1,
    }

    @property
    def gang_size(self):
        """Number of tasks that have to start together, 0 without a gang."""
        return self.count if self.is_gang else 0


_STEP_CHECKS = {
    "count": checks.integer(1, MAX_TASKS_PER_STEP),
    "cpu_millis": checks.number(0),
    "memory_mb": checks.number(0),
    "accelerators": checks.number(0),
    "estimate_ms": checks.number(0),
    "after": checks.items(checks.integer(0, MAX_STEPS)),
    "is_checkpointing": checks.flag,
    "is_gang": checks.flag,
    "is_rack_sensitive": checks.flag,
    "required_label": checks.text(200, is_empty_allowed=True),
    "preferred_rack": checks.text(200, is_empty_allowed=True),
    "max_per_worker": checks.integer(0),
    "is_speculative": checks.flag,
    "is_persistent": checks.flag,
    "image": checks.text(200, is_empty_allowed=True),
    "target_ms": checks.number(0),
    "is_filler": checks.flag,
    "max_unavailable": checks.integer(-1),
}


def problems_of(command):
    """Return the problems of a `commands.SubmitWorkflow` with steps as plain data."""
    if not command.steps or len(command.steps) > MAX_STEPS:
        return [["steps", f"must have 1 to {MAX_STEPS} entries"]]
    try:
        built = [Step.from_dict(fields) for fields in command.steps]
        return check(command.replace(steps=built))
    except (TypeError, ValueError, AttributeError) as error:
        return [["steps", str(error)]]


def check(command):
    """Return the problems of a `commands.SubmitWorkflow` with `Step` records."""
    problems = []
    checks.name(command.id, "id", problems)
    if isinstance(command.id, str) and "." in command.id:
        problems.append(["id", "must hold no dot"])
    checks.text(200)(command.queue, "queue", problems)
    checks.text(MAX_PAYLOAD_BYTES, is_empty_allowed=True)(
        command.payload, "payload", problems
    )
    checks.integer(0, MAX_REPEATS)(command.repeats, "repeats", problems)
    checks.number(0, 1e15)(command.first_at_ms, "first_at_ms", problems)
    checks.number(0, 1e15)(command.interval_ms, "interval_ms", problems)
    if not command.steps or len(command.steps) > MAX_STEPS:
        problems.append(["steps", f"must have 1 to {MAX_STEPS} entries"])
    for number, step in enumerate(command.steps):
        path = f"steps[{number}]"
        for name, check_value in _STEP_CHECKS.items():
            check_value(getattr(step, name), f"{path}.{name}", problems)
        if not problems and any(earlier >= number for earlier in step.after):
            problems.append([f"{path}.after", "must name earlier steps"])
    return problems
