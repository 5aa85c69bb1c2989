"""Guards against workflows that are lost, duplicated or shown in a wrong state."""

import json

import pytest

from sardinegauge import commands, outcome
from sardinegauge.state import machine
from sardinegauge.workflows import queues, steps, store, workflow

QUEUE = queues.Queue(
    name="q", host="h", prefix="/q/", pool="p", max_attempts=2, timeout_ms=3000
)
POOL = queues.Pool(name="p")


class Log:
    """A state machine to which the test applies commands with rising indexes."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0
        self.set_queues(1)

    @property
    def store(self):
        return self.machine.workflows

    def apply(self, command):
        self.index += 1
        command.at_ms = self.index
        return machine.apply(self.machine, self.index, command)

    def set_queues(self, version, *found, source=""):
        return self.apply(
            commands.SetQueues(
                version=version,
                packed=queues.pack(found or (QUEUE,), [POOL]),
                source=source,
            )
        )

    def submit(self, *found, id="w", queue="q", **fields):
        plain = [step.to_sparse_dict() for step in found or (steps.Step(count=2),)]
        command = commands.SubmitWorkflow(
            id=id, queue=queue, payload="x", steps=plain, **fields
        )
        return self.apply(command)

    def register(self, worker="a", incarnation=1):
        return self.apply(
            commands.RegisterLife(worker=worker, life=incarnation, agent="agent")
        )

    def assign(self, *rows):
        return self.apply(commands.AssignRuns(rows=[list(row) for row in rows])).ids

    def end(self, *rows, worker="a", incarnation=1):
        return self.apply(
            commands.RecordEnds(
                worker=worker, life=incarnation, rows=[list(row) for row in rows]
            )
        )

    def state(self, id="w"):
        return self.store.workflow_by_id[id].state


@pytest.fixture
def log():
    log = Log()
    log.register()
    return log


def test_resent_submission_is_the_same_workflow(log):
    log.submit()
    log.assign(["w.0.0.0", 1, "a", 1])
    assert isinstance(log.submit(), outcome.Accepted)
    assert log.store.find_task("w.0.0.0")[2].last_run == 1


def test_unknown_queue_and_malformed_steps_are_refused(log):
    assert isinstance(log.submit(queue="r"), outcome.Impossible)
    assert isinstance(log.submit(steps.Step(count=0)), outcome.Invalid)
    assert isinstance(log.submit(steps.Step(after=[0])), outcome.Invalid)
    assert not log.store.workflow_by_id


def test_lower_or_equal_version_of_queues_changes_nothing(log):
    other = QUEUE.replace(name="other")
    assert log.set_queues(1, other, source="b").version == 1
    assert list(log.store.queue_set.by_name) == ["q"]
    assert log.set_queues(5, other, source="c").version == 5
    assert log.store.queue_set.source == "c"
    assert log.set_queues(4).version == 5
    assert list(log.store.queue_set.by_name) == ["other"]


@pytest.mark.parametrize(
    "found",
    [
        (QUEUE.replace(pool="nowhere"),),
        (QUEUE, QUEUE.replace(name="r")),
        (QUEUE.replace(timeout_ms=0),),
        (QUEUE, QUEUE.replace(prefix="/r/")),
    ],
)
def test_invalid_queues_are_refused_at_any_version(log, found):
    for version in (1, 2):
        assert isinstance(log.set_queues(version, *found), outcome.Invalid)
    assert log.store.queue_set.version == 1


def test_workflow_of_a_removed_queue_runs_to_its_end(log):
    log.submit(steps.Step())
    log.set_queues(2, QUEUE.replace(name="other", prefix="/o/"))
    assert isinstance(log.submit(id="v"), outcome.Impossible)
    assert log.assign(["w.0.0.0", 1, "a", 1]) == ["w.0.0.0"]
    log.end([1, "w.0.0.0", 1, "done", ""])
    assert log.state() == workflow.COMPLETED


def test_task_has_one_run_at_a_time_with_rising_numbers(log):
    log.submit()
    assert log.assign(["w.0.0.0", 1, "a", 1]) == ["w.0.0.0"]
    assert log.assign(["w.0.0.0", 2, "a", 1]) == []
    log.end([1, "w.0.0.0", 1, "lapsed", "c1"])
    assert log.assign(["w.0.0.0", 1, "a", 1]) == []
    assert log.assign(["w.0.0.0", 2, "a", 1]) == ["w.0.0.0"]
    assert log.store.find_task("w.0.0.0")[2].checkpoint == "c1"


def test_speculative_copies_may_run_together_and_the_first_end_counts(log):
    log.submit(steps.Step(is_speculative=True))
    log.register("b")
    log.assign(["w.0.0.0", 1, "a", 1], ["w.0.0.0", 2, "b", 1])
    log.end([1, "w.0.0.0", 2, "done", ""], worker="b")
    assert log.state() == workflow.COMPLETED
    assert len(log.store.find_task("w.0.0.0")[2].runs) == 1


def test_run_is_not_assigned_to_a_former_incarnation(log):
    log.submit()
    log.register(incarnation=2)
    assert log.assign(["w.0.0.0", 1, "a", 1]) == []
    assert log.assign(["w.0.0.0", 1, "a", 2]) == ["w.0.0.0"]


def test_end_counts_once_and_late_done_counts_after_release(log):
    log.submit(steps.Step())
    log.assign(["w.0.0.0", 1, "a", 1])
    log.apply(
        commands.ReleaseLife(worker="a", life=1, checkpoints=[["w.0.0.0", 1, "saved"]])
    )
    task = log.store.find_task("w.0.0.0")[2]
    assert (task.runs, task.checkpoint) == ([], "saved")
    log.end([1, "w.0.0.0", 1, "failed", ""])
    log.end([1, "w.0.0.0", 1, "failed", ""])
    assert task.failures == 1
    log.end([2, "w.0.0.0", 1, "done", ""])
    assert log.state() == workflow.COMPLETED


def test_workflow_fails_after_its_attempts_and_keeps_its_runs_until_they_end(log):
    log.submit()
    log.assign(["w.0.0.1", 1, "a", 1])
    for run in (1, 2):
        assert log.state() in workflow.OPEN_STATES
        log.assign(["w.0.0.0", run, "a", 1])
        log.end([run, "w.0.0.0", run, "failed", ""])
    assert log.state() == workflow.FAILED
    assert log.assign(["w.0.0.0", 3, "a", 1]) == []
    assert list(log.store.runs_of("a", 1)) == [("w.0.0.1", 1)]
    log.end([3, "w.0.0.1", 1, "stopped", ""])
    assert not log.store.runs_by_incarnation


def test_gang_counts_one_failure_a_run_and_ends_with_its_first_member(log):
    log.submit(steps.Step(count=2, is_gang=True))
    members = ("w.0.0.0", "w.0.0.1")
    log.assign(*([member, 1, "a", 1] for member in members))
    log.end(
        [1, members[0], 1, "failed", ""],
        [2, members[1], 1, "failed", "c"],
    )
    assert log.state() == workflow.RUNNING
    assert {log.store.find_task(m)[2].checkpoint for m in members} == {"c"}
    log.assign(*([member, 2, "a", 1] for member in members))
    log.end([3, members[1], 2, "done", ""])
    assert log.state() == workflow.COMPLETED


def test_persistent_tasks_run_again_until_cancelled(log):
    log.submit(steps.Step(is_persistent=True))
    for run in range(1, 6):
        assert log.assign(["w.0.0.0", run, "a", 1])
        log.end([run, "w.0.0.0", run, "done" if run % 2 else "failed", ""])
    assert log.state() == workflow.RUNNING
    log.apply(commands.CancelWorkflow(id="w"))
    assert log.state() == workflow.CANCELLED
    assert log.assign(["w.0.0.0", 6, "a", 1]) == []


def test_cancelled_and_ended_workflows_keep_their_state(log):
    log.submit(steps.Step())
    log.assign(["w.0.0.0", 1, "a", 1])
    log.end([1, "w.0.0.0", 1, "done", ""])
    assert isinstance(log.apply(commands.CancelWorkflow(id="w")), outcome.Accepted)
    assert log.state() == workflow.COMPLETED
    unknown = log.apply(commands.CancelWorkflow(id="v"))
    assert isinstance(unknown, outcome.Impossible)


def test_steps_open_in_order_and_occurrences_when_due(log):
    log.submit(
        steps.Step(),
        steps.Step(after=[0]),
        repeats=2,
        first_at_ms=1000,
        interval_ms=500,
    )
    item = log.store.workflow_by_id["w"]
    assert item.due_occurrences(999) == []
    (first,) = item.due_occurrences(1000)
    assert first.is_step_ready(0) and not first.is_step_ready(1)
    log.assign(["w.0.0.0", 1, "a", 1])
    log.end([1, "w.0.0.0", 1, "done", ""])
    assert first.is_step_ready(1)
    log.assign(["w.0.1.0", 1, "a", 1], ["w.1.0.0", 1, "a", 1])
    log.end([2, "w.0.1.0", 1, "done", ""], [3, "w.1.0.0", 1, "done", ""])
    assert log.state() == workflow.RUNNING
    log.assign(["w.1.1.0", 1, "a", 1])
    log.end([4, "w.1.1.0", 1, "done", ""])
    assert log.state() == workflow.COMPLETED


def test_malformed_commands_of_a_leader_change_nothing(log):
    for command in (
        commands.AssignRuns(rows=[["w.0.0.0", 1, "a"]]),
        commands.RecordEnds(worker="a", life=1, rows=[[1, "w", "x", "done", ""]]),
        commands.ReleaseLife(worker="a", life=-1),
        commands.RegisterLife(worker="", life=1, agent="x"),
    ):
        assert isinstance(log.apply(command), outcome.Invalid)
    log.end([1, "no such task", 1, "done", ""], [2, "w.9.9.9", 1, "done", ""])
    assert log.store.worker_by_id["a"].seen_end == 2


def test_snapshot_holds_everything(log):
    log.submit(steps.Step(count=2, is_gang=True), steps.Step(after=[0]), repeats=2)
    log.submit(id="v")
    log.assign(["w.0.0.0", 1, "a", 1], ["w.0.0.1", 1, "a", 1], ["v.0.0.1", 1, "a", 1])
    log.end([1, "w.0.0.0", 1, "failed", "c"])
    log.apply(commands.CancelWorkflow(id="v"))
    log.set_queues(2, QUEUE.replace(name="other", prefix="/o/"), source="text")
    plain = machine.to_snapshot(log.machine)
    restored = machine.from_snapshot(json.loads(json.dumps(plain)))
    assert machine.to_snapshot(restored) == plain
    assert (
        restored.workflows.runs_by_incarnation.keys()
        == log.store.runs_by_incarnation.keys()
    )
    assert list(restored.workflows.open_ids) == ["w"]


def test_ended_workflows_are_dropped_after_the_retention(log, monkeypatch):
    log.submit(steps.Step())
    log.apply(commands.CancelWorkflow(id="w"))
    log.index += 10**9
    log.submit(id="v")
    assert list(log.store.workflow_by_id) == ["v"]


@pytest.mark.parametrize("bad", ["text", 5, None, ["a"], {"count": "many"}, {"x": 1}])
def test_malformed_steps_and_queues_are_invalid(log, bad):
    command = commands.SubmitWorkflow(id="v", queue="q", payload="", steps=[bad])
    assert isinstance(log.apply(command), outcome.Invalid)
    plain = json.dumps({"queues": [bad], "pools": []}).encode()
    command = commands.SetQueues(version=9, packed=queues.pack_text(plain))
    assert isinstance(log.apply(command), outcome.Invalid)
    assert log.store.queue_set.version == 1


def test_changes_since_any_version_lead_to_the_current_queues(log):
    """Load pattern: rapid changes of a large set over a link with low bandwidth."""
    rows = {1: {"q": QUEUE}}
    for version in range(2, 40):
        found = dict(rows[version - 1])
        name = f"q{version % 7}"
        if version % 3:
            found[name] = QUEUE.replace(
                name=name, prefix=f"/{name}/", timeout_ms=version
            )
        else:
            found.pop(name, None)
        log.set_queues(version, *found.values())
        rows[version] = found
    queue_set = log.store.queue_set
    for since, found in rows.items():
        is_full, changed, removed = queue_set.changes(since)
        assert not is_full and len(changed) < 8
        for queue_name in removed:
            found.pop(queue_name, None)
        found.update({queue.name: queue for queue in changed})
        assert found == queue_set.by_name
    assert queue_set.changes(0)[0]


def test_longest_prefix_of_the_host_finds_the_queue():
    router = queues.Router(
        [
            QUEUE,
            QUEUE.replace(name="long", prefix="/q/long/"),
            QUEUE.replace(name="any", host="other", prefix=""),
        ]
    )
    assert router.find("h", "/q/long/7")[0].name == "long"
    assert router.find("h", "/q/lon") == (QUEUE, "lon")
    assert router.find("h", "/") is None
    assert router.find("other", "/x")[1] == "/x"


def test_incarnation_that_is_registered_twice_keeps_its_ends(log):
    log.submit()
    log.assign(["w.0.0.0", 1, "a", 1])
    log.end([1, "w.0.0.0", 1, "failed", ""])
    log.register()
    log.end([1, "w.0.0.0", 1, "failed", ""])
    assert log.store.find_task("w.0.0.0")[2].failures == 1


def test_replaced_worker_is_dropped_after_the_retention(log, monkeypatch):
    # Otherwise the state and its snapshots grow with each worker that is replaced.
    monkeypatch.setattr(store, "RETENTION_MS", 3)
    log.submit()
    log.register("a", 1)
    log.assign(["w.0.0.0", 1, "a", 1])
    log.register("b", 2)
    log.index += 10
    log.submit(id="w2")
    assert sorted(log.store.worker_by_id) == ["a", "b"]
    log.end([1, "w.0.0.0", 1, "stopped", ""])
    log.submit(id="w3")
    assert sorted(log.store.worker_by_id) == ["b"]


def test_change_of_a_large_set_checks_only_what_changed(log, monkeypatch):
    """Each change of 1,000 queues took as long as the whole set, on every replica."""
    found = [
        QUEUE.replace(name=f"q{number}", prefix=f"/q{number}/") for number in range(200)
    ]
    log.set_queues(11, *found)
    checked = []
    check_queue = queues._check_queue
    monkeypatch.setattr(
        queues,
        "_check_queue",
        lambda queue, path, problems: (
            checked.append(queue.name),
            check_queue(queue, path, problems),
        ),
    )
    found[7] = found[7].replace(objective_ms=9)
    log.set_queues(12, *found)
    assert checked == ["q7"]
    assert log.store.queue_set.by_name["q7"].objective_ms == 9
    answer = log.set_queues(13, *found[:5], found[5].replace(timeout_ms=0))
    assert isinstance(answer, outcome.Invalid)
    assert log.store.queue_set.version == 12
    snapshot = json.loads(json.dumps(machine.to_snapshot(log.machine)))
    log.machine = machine.from_snapshot(snapshot)
    log.set_queues(14, *found[:5])
    assert list(log.store.queue_set.by_name) == [f"q{number}" for number in range(5)]


def test_row_of_a_former_incarnation_creates_no_occurrence():
    """Failure: replayed and live replicas had different snapshots."""
    log = Log()
    log.register()
    log.submit()
    log.assign(["w.0.0.0", 1, "a", 99])
    assert not log.machine.workflows.workflow_by_id["w"].occurrences
