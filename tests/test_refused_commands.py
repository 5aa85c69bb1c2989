"""Guards against commands of the system itself that the log refuses.

A refused command changes nothing. If its proposer isn't told, what it should have
recorded is lost, with all other rows of the command.
"""

import json
import logging

import hypothesis
import pytest
from hypothesis import strategies

from sardinegauge import checkpoints, checks, commands
from sardinegauge.links import messages
from sardinegauge.state import replica, replicaeffects
from sardinegauge.workflows import (
    commandrows,
    hostedreport,
    leaderexchange,
    schedulerevents,
    steps,
    views,
)
from tests import (
    leaderkit,
    schedulerdriver,
    test_malformed_commands,
    test_wireformat,
    test_workflow_hosting,
)

KEYS = [("w.0.0.0", 1), ("w.0.0.1", 1)]
LENGTHS = (1001, checkpoints.MAX_LENGTH)
LONG = "c" * checkpoints.MAX_LENGTH
SURROGATE = "\ud800"
TEXTS = strategies.sampled_from(
    ["", "w.0.0.0", "w.0.0.1", "done", "c" * 1001, LONG, LONG + "c", SURROGATE, "x"]
)
INTEGERS = strategies.sampled_from(
    [-1, 0, 1, 2, 3, 2**53, 2**53 + 1, 2**63, 10**400]
) | strategies.integers(-5, 5)


class Leader(leaderkit.Leader):
    """A leader whose worker runs two tasks of a workflow."""

    def __init__(self):
        super().__init__()
        self.report()
        step = steps.Step(count=2, cpu_millis=1000, is_checkpointing=True)
        self.submit(step)
        self.settle()
        assert {run.number for run in self.runs()} == {1}

    def runs(self):
        return [
            run for task in self.store.workflow_by_id["w"].tasks() for run in task.runs
        ]

    def report_runs(self, *rows, **fields):
        """Report rows of task, run, phase, checkpoint and reason."""
        runs = [
            [task, run, phase, checkpoint, 50, 0, reason, 100, 500]
            for task, run, phase, checkpoint, reason in rows
        ]
        report = leaderkit.report_of("a", (), **fields).replace(runs=runs)
        self.dispatch(schedulerevents.ReportReceived, report=report)


@pytest.mark.parametrize("length", LENGTHS)
def test_task_of_a_crashed_worker_resumes_from_a_long_checkpoint(length):
    """Guards against a task that never starts again after its worker was lost."""
    leader = Leader()
    leader.report("b")
    checkpoint = "c" * length
    leader.report_runs(*((*key, views.ACTIVE, checkpoint, "") for key in KEYS))
    leader.report_runs(
        *((*key, views.GONE, checkpoint, views.CRASHED) for key in KEYS),
        is_fenced=False,
    )
    leader.settle()
    assert set(leader.placed().values()) == {"b"}
    starts = leader.orders("b")["starts"]
    assert [start[3] for start in starts] == [checkpoint, checkpoint]


@pytest.mark.parametrize("length", LENGTHS)
def test_release_keeps_long_checkpoints(length):
    """Guards against a silent worker that gets nothing more, with its tasks lost."""
    leader = Leader()
    checkpoint = "c" * length
    leader.report_runs(*((*key, views.ACTIVE, checkpoint, "") for key in KEYS))
    leader.tick(20_000)
    leader.settle()
    assert leader.runs() == []
    assert not leader.state.view_by_id["a"].is_release_pending
    tasks = leader.store.workflow_by_id["w"].tasks()
    assert [task.checkpoint for task in tasks] == [checkpoint, checkpoint]


@pytest.mark.parametrize(
    "how, checkpoint",
    [("done", LONG + "c"), ("done", SURROGATE), ("", ""), (SURROGATE, ""), (LONG, "")],
)
def test_invalid_end_takes_no_other_with_it(how, checkpoint):
    """Guards against ends that are lost beside one that the log can't hold."""
    leader = Leader()
    leader.report("a", ends=[[1, *KEYS[0], how, checkpoint], [2, *KEYS[1], "done", ""]])
    for command in leader.proposed:
        assert checks.problems_of(command) == []
    leader.settle()
    assert {run.number for run in leader.runs()} <= {2}
    assert leader.store.worker_by_id["a"].seen_end == 2


def test_logs_of_earlier_releases_replay_as_before():
    """Guards against replicas that differ after an upgrade, by snapshots and logs."""
    fields = dict(worker="a", life=1)
    for length, is_valid in ((1000, True), (1001, False)):
        row = [1, "w.0.0.0", 1, "done", "c" * length]
        for command in (
            commands.RecordEnds(**fields, rows=[row]),
            commands.ReleaseLife(**fields, checkpoints=[[*row[1:3], row[-1]]]),
        ):
            assert (checks.problems_of(command) == []) == is_valid
            assert "has_long_checkpoints" not in command.to_dict()
            long_command = command.replace(has_long_checkpoints=True)
            assert checks.problems_of(long_command) == []
            copy = commands.REGISTRY.loads(commands.REGISTRY.dumps(long_command))
            assert copy.has_long_checkpoints


@hypothesis.given(strategies.text() | TEXTS)
def test_agents_and_the_log_agree_on_checkpoints(text):
    """Guards against bounds of two modules that part again."""
    assert checkpoints.is_storable(text) == checks.is_valid(checks.CHECKPOINT, text)


@pytest.fixture
def without_logs():
    """Drop log lines, as pytest-xdist can't send texts with lone surrogates."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def report_rows(*columns):
    return strategies.lists(strategies.tuples(*columns).map(list), max_size=4)


@hypothesis.settings(
    max_examples=300,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    ends=report_rows(INTEGERS, TEXTS, INTEGERS, TEXTS, TEXTS),
    runs=report_rows(
        TEXTS,
        INTEGERS,
        strategies.sampled_from(sorted(views.PHASES)),
        TEXTS,
        INTEGERS,
        INTEGERS,
        TEXTS | strategies.just(views.CRASHED),
        INTEGERS,
        INTEGERS,
    ),
    crash=report_rows(TEXTS, INTEGERS, INTEGERS, INTEGERS),
    worker=TEXTS | strategies.just("a"),
    life=INTEGERS,
)
def test_whatever_a_report_may_hold_makes_valid_commands(
    without_logs, ends, runs, crash, worker, life
):
    """Guards against bounds of reports that are wider than those of the log."""
    leader = Leader()
    fields = {
        **{"pool": "p", "cpu_millis": 8000, "memory_mb": 8000, "is_fenced": True},
        **{"ends": ends, "runs": runs},
        "crash": {"worker": worker, "life": life, "runs": crash},
    }
    for number in range(2):
        message = messages.WorkerReport(
            agent="agent-a",
            worker="a",
            life=1,
            sent_ms=number,
            body=json.dumps(fields).encode(),
        )
        try:
            report = views.decode_report(message)
        except (ValueError, TypeError):
            return
        leader.dispatch(schedulerevents.ReportReceived, report=report)
        leader.tick(20_000 * number)
        for command in leader.proposed:
            assert checks.problems_of(command) == []


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    running=report_rows(TEXTS, INTEGERS, TEXTS, INTEGERS, INTEGERS),
    ended=report_rows(INTEGERS, TEXTS, INTEGERS, TEXTS, TEXTS),
)
def test_whatever_a_worker_lists_makes_valid_commands(without_logs, running, ended):
    """Guards against bounds of the platform's adapter that are wider than the log's."""
    agent = test_workflow_hosting.Agent()
    agent.tick()
    (call,) = agent.take_calls(test_workflow_hosting.workerclient.HoldCall)
    fields = {"clock_ms": 5, "running": running, "ended": ended}
    decode = test_wireformat.wireformat.decode_answer
    try:
        answer = decode(call.request, 200, json.loads(json.dumps(fields)), 0)
    except test_wireformat.wireformat.DecodeError:
        return
    agent.dispatch(
        test_workflow_hosting.hostevents.CallAnswered, call=call, answer=answer
    )
    message = messages.WorkerReport(
        agent="agent-a",
        worker="a",
        life=1,
        body=json.dumps(hostedreport.report_fields(agent.state)).encode(),
    )
    leader = Leader()
    report = views.decode_report(message)
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    leader.tick(20_000)
    for command in leader.proposed:
        assert checks.problems_of(command) == []


# The checks of rows are switched off below, as if a bound had parted from the log's.


@pytest.fixture
def unchecked_leader(monkeypatch):
    monkeypatch.setattr(commandrows, "valid_end", list)
    monkeypatch.setattr(commandrows, "valid_rows", lambda check, rows, kind: list(rows))
    return Leader()


@pytest.mark.parametrize("has_later_end", [False, True])
def test_refused_ends_are_proposed_row_by_row(unchecked_leader, has_later_end):
    """Guards against good ends that wait for good for a refused command."""
    leader = unchecked_leader
    ends = [[1, *KEYS[0], "", ""], [2, *KEYS[1], "done", ""]]
    leader.report("a", ends=ends)
    if has_later_end:
        leader.report("a", ends=[*ends, [3, "stray.0.0.0", 1, "done", ""]])
    leader.settle()
    (first, second) = leader.store.workflow_by_id["w"].tasks()
    assert second.is_done
    # The end that the log can't hold is lost, but keeps nothing else waiting.
    assert [run.number for run in first.runs] == [1]


def test_refused_release_is_repeated_without_checkpoints(unchecked_leader):
    """Guards against a worker that gets nothing more after a refused release."""
    leader = unchecked_leader
    checkpoint = LONG + "c"
    leader.report_runs(*((*key, views.ACTIVE, checkpoint, "") for key in KEYS))
    leader.tick(20_000)
    leader.settle()
    assert leader.runs() == []
    assert not leader.state.view_by_id["a"].is_release_pending


def test_refused_crash_is_recorded_without_its_runs(unchecked_leader):
    """Guards against a crash that its agent reports again for good."""
    leader = unchecked_leader
    crash = views.Crash(worker="a", life=1, runs=[["", -1, 0, 0]])
    leader.report("a", incarnation=2, crash=crash)
    leader.settle()
    assert leader.state.crash_by_agent == {"agent-a": 1}


def test_refused_assignments_are_planned_again():
    """Guards against tasks that count as assigned for good."""
    leader = Leader()
    command = commands.AssignRuns(rows=[["w.0.0.0", 2, "", 1]])
    leader.state.record_planned("w.0.0.0", "a", "plan")
    leader.commit(command)
    assert leader.state.worker_by_planned_task == {}
    assert leader.state.is_plan_due


def test_refused_command_of_the_leader_is_logged_counted_and_told(monkeypatch, caplog):
    """Guards against refusals that nobody notices."""
    group = test_malformed_commands.Leader()
    told = []
    monkeypatch.setattr(
        leaderexchange, "on_command_refused", lambda _, command: told.append(command)
    )
    command = commands.RecordEnds(worker="a", life=1, rows=[[1, "", 1, "done", ""]])
    replica.replicasteps.append_command(group.state, command, None)
    effects = replica.reduce(
        group.state, replica.raft.Persisted(now_ms=group.now_ms, sequence=10**6)
    )
    counted = [e for e in effects if isinstance(e, replicaeffects.CommandRefused)]
    assert [effect.kind for effect in counted] == ["RecordEnds"]
    assert told == [command]
    assert "command_refused" in caplog.text and "rows[0][1]" in caplog.text


def test_long_checkpoint_of_a_job_takes_no_other_report_with_it():
    """Guards against tasks whose phases are never recorded beside one checkpoint."""
    driver = schedulerdriver.Driver()
    driver.send_heartbeat(phases={})
    driver.commit_all()
    job = driver.submit(task_count=2, cores=1.0)
    for _ in range(5):
        driver.dispatch(schedulerdriver.scheduler.Tick(now_ms=driver.now_ms))
        driver.commit_all()
        driver.now_ms += 1000
        driver.send_heartbeat(phases={})
        driver.commit_all()
    ids = [f"{job}.0", f"{job}.1"]
    assert {driver.task(id).state for id in ids} == {"assigned"}
    long = {"phase": "running", "checkpoint": LONG}
    endless = {"phase": "running", "checkpoint": LONG + "c"}
    driver.send_heartbeat(phases=dict(zip(ids, (long, endless))))
    driver.commit_all()
    assert [driver.task(id).state for id in ids] == ["running", "running"]
    driver.send_heartbeat(phases=dict(zip(ids, (long, endless))))
    driver.commit_all()
    assert [driver.task(id).checkpoint for id in ids] == [LONG, ""]
