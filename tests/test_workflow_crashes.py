"""Guards against tasks that crash one worker after another."""

import pytest

from sardinegauge import commands
from sardinegauge.state import machine
from sardinegauge.workflows import crashes, schedulerevents, steps, store, views
from tests import leaderkit

SMALL = steps.Step(cpu_millis=100)
WORKERS = "abcdef"


class Fleet:
    """A leader with workers that report what they run, and crash on demand."""

    def __init__(self):
        self.leader = leaderkit.Leader()
        self.life_by_worker = dict.fromkeys(WORKERS, 1)
        self.begun_ms_by_run = {}
        self.is_answering = True
        self.pass_time(1000)

    def report_all(self):
        for worker, life in self.life_by_worker.items():
            runs = self.leader.store.runs_of(worker, life)
            report = leaderkit.report_of(
                worker, [[*key, views.ACTIVE] for key in runs], life
            )
            for row in report.runs:
                row[-1] = self.survived_ms((row[0], row[1]))
            self.leader.dispatch(schedulerevents.ReportReceived, report=report)
        self.leader.settle()

    def survived_ms(self, key):
        now_ms = self.leader.now_ms
        begun_ms = self.begun_ms_by_run.setdefault(key, now_ms)
        return now_ms - begun_ms if self.is_answering else 0

    def pass_time(self, ms):
        for _ in range(ms // 100):
            self.leader.tick(100)
            self.report_all()

    def runs_on(self, worker):
        return list(self.leader.store.runs_of(worker, self.life_by_worker[worker]))

    def crash(self, worker, survived_ms_by_task=None, noticed_after_ms=10):
        """Let a worker crash and return; its runs are younger than a window."""
        survived_ms_by_task = survived_ms_by_task or {}
        life = self.life_by_worker[worker]
        found = [
            [task, run, survived_ms, survived_ms + noticed_after_ms]
            for task, run in self.runs_on(worker)
            for survived_ms in [survived_ms_by_task.get(task, 0)]
        ]
        self.life_by_worker[worker] = life + 1
        crash = views.Crash(worker=worker, life=life, runs=found)
        self.leader.report(worker, life + 1, crash=crash)
        self.leader.settle()

    def task(self, task_id):
        return self.leader.store.find_task(task_id)[2]

    def state_of(self, workflow_id="w"):
        return self.leader.store.workflow_by_id[workflow_id].state


@pytest.fixture
def fleet():
    return Fleet()


def rows(*found):
    return [[task, 1, survived_ms, survived_ms + 10] for task, survived_ms in found]


def findings(*found):
    return [row[2] for row in crashes.classify(store.Store(), rows(*found))]


def test_only_the_youngest_runs_are_suspected():
    assert findings(("w.0.0.0", 5), ("v.0.0.0", 400)) == ["sole-suspect", "survived"]
    assert findings(("w.0.0.0", 5), ("v.0.0.0", 40)) == ["suspect", "suspect"]
    assert findings(("w.0.0.0", 900), ("v.0.0.0", 800)) == ["survived", "survived"]


def test_crash_that_is_noticed_late_names_no_cause():
    classified = crashes.classify(store.Store(), [["w.0.0.0", 1, 0, 900]])
    assert [row[2] for row in classified] == ["suspect"]


def test_window_of_a_suspicion_grows_with_the_lost_runs_of_a_task(fleet):
    """A task that crashes its workers after a second is suspected in the end."""
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    fleet.task("w.0.0.0").lost_runs = 1
    classified = crashes.classify(fleet.leader.store, rows(("w.0.0.0", 900)))
    assert [row[2] for row in classified] == ["suspect"]


def test_members_of_a_gang_on_one_worker_are_one_suspect(fleet):
    fleet.leader.submit(steps.Step(count=3, cpu_millis=100, is_gang=True))
    fleet.leader.settle()
    classified = crashes.classify(
        fleet.leader.store, rows(("w.0.0.0", 3), ("w.0.0.1", 4), ("w.0.0.2", 5))
    )
    assert {row[2] for row in classified} == {"sole-suspect"}


def test_gang_is_given_up_after_two_crashes_of_its_workers(fleet):
    fleet.leader.submit(steps.Step(count=2, cpu_millis=100, is_gang=True))
    for _ in range(2):
        assert fleet.state_of() in ("pending", "running")
        fleet.pass_time(500)
        (worker, *_) = fleet.leader.placed().values()
        fleet.crash(worker)
        fleet.leader.commit(
            commands.RecordEnds(
                worker="f",
                life=1,
                rows=[
                    [0, task, run, store.BROKEN, ""] for task, run in fleet.runs_on("f")
                ],
            )
        )
    fleet.pass_time(400)
    assert fleet.state_of() == "failed"


def test_task_is_given_up_at_the_second_crash_in_which_it_is_the_only_suspect(fleet):
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    fleet.crash(fleet.leader.placed()["w.0.0.0"])
    assert fleet.state_of() == "running"
    fleet.pass_time(100)
    fleet.crash(fleet.leader.placed()["w.0.0.0"])
    for _ in range(4):
        assert fleet.leader.placed() == {}
        fleet.pass_time(100)
    assert fleet.state_of() == "failed"
    workflow = fleet.leader.store.workflow_by_id["w"]
    assert workflow.reason == "task w.0.0.0 crashed 2 workers"
    assert not fleet.leader.store.suspected_ids


def test_task_that_a_worker_survived_is_not_given_up_in_a_storm_of_crashes(fleet):
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    for _ in range(8):
        fleet.pass_time(500)
        worker = fleet.leader.placed()["w.0.0.0"]
        fleet.crash(worker, {"w.0.0.0": 3000})
    assert fleet.state_of() == "running"
    assert fleet.task("w.0.0.0").lost_runs == 8


def test_first_crash_of_a_task_counts_for_nothing_if_many_workers_crash_at_once(fleet):
    fleet.leader.submit(steps.Step(count=24, cpu_millis=100))
    fleet.leader.settle()
    for worker in "abc":
        fleet.crash(worker)
    fleet.leader.settle()
    assert not fleet.leader.store.suspected_ids
    assert fleet.state_of() == "running"


def test_task_that_crashes_its_worker_again_during_a_storm_is_given_up(fleet):
    """Several such tasks crash as many workers at once as a storm does."""
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    starts = 0
    while fleet.state_of() == "running":
        starts += 1
        worker = fleet.leader.placed()["w.0.0.0"]
        for other in [other for other in WORKERS if other != worker][:2]:
            fleet.crash(other)
        fleet.crash(worker)
        for _ in range(8):
            if not fleet.leader.placed():
                fleet.pass_time(100)
    assert starts == 5


def test_suspect_starts_alone_and_frees_its_worker_once_it_is_survived(fleet):
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    fleet.crash(fleet.leader.placed()["w.0.0.0"])
    fleet.pass_time(100)
    worker = fleet.leader.placed()["w.0.0.0"]
    fleet.leader.submit(steps.Step(count=60, cpu_millis=100), id="v")
    fleet.leader.settle()
    assert {task for task, _ in fleet.runs_on(worker)} == {"w.0.0.0"}
    fleet.pass_time(600)
    assert not fleet.leader.store.suspected_ids
    fleet.leader.submit(steps.Step(count=60, cpu_millis=100), id="u")
    fleet.leader.settle()
    assert len(fleet.runs_on(worker)) > 1


def test_suspect_on_a_worker_that_does_not_answer_stays_suspected(fleet):
    """A worker that crashed silently was taken to have survived the suspect."""
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    fleet.crash(fleet.leader.placed()["w.0.0.0"])
    fleet.is_answering = False
    fleet.pass_time(1200)
    assert fleet.leader.store.suspected_ids == {"w.0.0.0"}


def test_suspects_put_only_a_share_of_the_workers_at_risk(fleet):
    fleet.leader.submit(steps.Step(count=4, cpu_millis=5000))
    fleet.leader.settle()
    placed = fleet.leader.placed()
    for task_id in placed:
        fleet.task(task_id).crashes = 1
        fleet.leader.store.suspected_ids.add(task_id)
    for worker in set(placed.values()):
        fleet.crash(worker)
    for _ in range(10):
        assert len(fleet.leader.state.isolation.probe_by_worker) <= len(WORKERS) / 3
        fleet.pass_time(100)


def test_new_leader_and_restored_snapshot_know_the_crashes_of_a_task(fleet):
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    fleet.crash(fleet.leader.placed()["w.0.0.0"])
    restored = machine.Machine()
    restored.workflows.load_snapshot(fleet.leader.store.to_snapshot())
    task = restored.workflows.find_task("w.0.0.0")[2]
    assert (task.crashes, task.lost_runs, task.last_lost_run) == (1, 1, 1)
    assert restored.workflows.suspected_ids == {"w.0.0.0"}
    fleet.leader.settle()
    worker = fleet.leader.placed()["w.0.0.0"]
    fleet.leader.start_term(2)
    assert list(fleet.leader.state.isolation.probe_by_worker) == [worker]


def test_crash_that_two_leaders_record_counts_once(fleet):
    fleet.leader.submit(SMALL)
    fleet.leader.settle()
    command = commands.RecordCrash(
        worker="a", life=1, agent="agent-a", rows=[["w.0.0.0", 1, "sole-suspect"]]
    )
    for _ in range(2):
        fleet.leader.commit(command)
    assert fleet.task("w.0.0.0").crashes == 1
    assert fleet.state_of() == "running"


def test_crash_is_logged_and_counted_once_with_its_youngest_runs(caplog):
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    caplog.set_level("WARNING")
    effects = []
    leader.apply_effects = effects.extend
    found = views.Crash(
        worker="a", life=1, runs=[["w.0.0.0", 3, 900, 912], ["w.0.0.1", 1, 0, 12]]
    )
    for _ in range(2):
        leader.report("a", crash=found)
    (message,) = [record.getMessage() for record in caplog.records]
    assert "worker=a life=1 pool=p runs=2" in message
    assert message.endswith("youngest=w.0.0.1/1/0-12ms,w.0.0.0/3/900-912ms")
    counted = [
        effect
        for effect in effects
        if isinstance(effect, schedulerevents.WorkerCrashed)
    ]
    assert [(effect.pool, effect.run_count) for effect in counted] == [("p", 2)]
    assert leader.orders()["crash_seen"] == 0
    (command,) = [effect.command for effect in effects if hasattr(effect, "command")]
    leader.commit(command)
    assert leader.orders()["crash_seen"] == 1


def test_run_lost_in_a_crash_is_told_from_one_that_never_started():
    leader = leaderkit.Leader()
    leader.report("a")
    leader.settle()
    leader.submit(steps.Step(count=2, cpu_millis=100))
    leader.settle()
    runs = [["w.0.0.0", 1, views.GONE], ["w.0.0.1", 1, views.GONE]]
    report = leaderkit.report_of("a", runs)
    report.runs[0][6] = views.CRASHED
    report.runs[1][6] = "room"
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    (command,) = leader.proposed
    assert [row[3] for row in command.rows] == ["lost", "refused"]
