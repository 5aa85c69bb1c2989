"""Guards against urgent tasks that wait for less urgent work, and against its waste."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import (
    displacing,
    reservations,
    schedulerevents,
    steps,
    store,
    views,
)
from sardinegauge.workflows.policies import displacement
from tests import leaderkit

BEST_EFFORT = steps.Step(
    count=2,
    cpu_millis=7000,
    memory_mb=4000,
    estimate_ms=9000,
    is_filler=True,
    is_checkpointing=True,
)
URGENT = steps.Step(cpu_millis=1000, memory_mb=3000, estimate_ms=1000)


class Leader(leaderkit.Leader):
    """A leader with workers that report the runs which the store has for them."""

    def __init__(self, workers="a"):
        self.workers = workers
        self.ends_by_worker = {}
        self.displaced = []
        super().__init__()
        self.report_all()
        self.settle()

    def apply_effects(self, effects):
        super().apply_effects(effects)
        self.displaced += [
            (effect.queue, effect.reason)
            for effect in effects
            if isinstance(effect, schedulerevents.RunDisplaced)
        ]

    def report_all(self, ended=(), **fields):
        for worker in self.workers:
            ends = self.ends_by_worker.setdefault(worker, [])
            runs = []
            for key in self.store.runs_of(worker, 1):
                if key in ended:
                    row = [len(ends) + 1, *key, store.STOPPED, "saved"]
                    ends.append(row)
                elif key not in {(row[1], row[2]) for row in ends}:
                    runs.append([*key, views.ACTIVE])
            self.report(worker, runs=runs, ends=ends, **fields)

    def go_on(self, ms, **fields):
        """Let time pass with reports and plans, and without ends."""
        for _ in range(ms // 100):
            self.tick(100)
            self.report_all(**fields)
            self.settle()

    def stops(self):
        return [
            tuple(row)
            for worker in self.workers
            for row in self.orders(worker)["stops"]
        ]


@pytest.fixture
def leader():
    """Return a leader whose only worker is full of best-effort tasks."""
    leader = Leader()
    leader.submit(BEST_EFFORT, id="fill", queue="low")
    leader.settle()
    leader.go_on(600)
    return leader


def test_urgent_task_starts_in_the_room_of_a_displaced_run(leader):
    leader.submit(URGENT)
    leader.go_on(400)
    assert leader.stops() == []
    leader.go_on(500)
    (stopped,) = leader.stops()
    assert leader.displaced == [("low", displacing.DISPLACED_REASON)]
    leader.go_on(300)
    assert leader.stops() == [stopped], "its room is enough"
    assert "w.0.0.0" not in leader.placed(), "a stopping run still takes its room"
    leader.report_all(ended=[stopped])
    leader.settle()
    assert leader.placed()["w.0.0.0"] == "a"
    assert stopped[0] not in leader.placed()


def test_baseline_lets_the_urgent_task_wait(leader):
    leader.state.displacing.policy = displacement.NoDisplacement()
    leader.submit(URGENT)
    leader.go_on(3000)
    assert leader.stops() == [] and leader.displaced == []


def test_room_of_a_displaced_run_is_kept_from_other_tasks(leader):
    """Load pattern: two runs must end, and smaller tasks wait for any room."""
    leader.submit(URGENT.replace(memory_mb=6000))
    leader.go_on(900)
    first, second = leader.stops()
    small = BEST_EFFORT.replace(count=3, memory_mb=500)
    leader.submit(small, id="small", queue="low")
    leader.report_all(ended=[first])
    leader.settle()
    assert not {task for task in leader.placed() if task.startswith("small")}
    leader.report_all(ended=[second])
    leader.settle()
    assert leader.placed()["w.0.0.0"] == "a"
    assert "small.0.0.0" in leader.placed(), "the rest of the room is free"


def test_reserved_room_is_given_up_after_a_while_or_with_the_workflow(leader):
    leader.submit(URGENT.replace(memory_mb=6000))
    leader.go_on(900)
    first, _ = leader.stops()
    leader.report_all(ended=[first])
    leader.submit(BEST_EFFORT.replace(count=1), id="small", queue="low")
    leader.settle()
    assert "small.0.0.0" not in leader.placed()
    reservation = leader.state.reservation_by_task["w.0.0.0"]
    assert reservation.end_ms - leader.now_ms <= reservations.RESERVATION_MS
    leader.commit(commands.CancelWorkflow(id="w"))
    leader.settle()
    assert "small.0.0.0" in leader.placed()


def test_reserved_room_is_given_up_with_its_worker(leader):
    leader.submit(URGENT)
    leader.go_on(900)
    assert leader.state.reservation_by_task
    leader.report("a", incarnation=2)
    leader.settle()
    assert leader.state.reservation_by_task == {}


def test_latency_critical_task_that_lost_its_worker_finds_room():
    """Load pattern: best-effort tasks hold the memory of all other workers."""
    leader = Leader("ab")
    serving = URGENT.replace(is_persistent=True, target_ms=10, max_per_worker=1)
    leader.submit(serving.replace(memory_mb=4000), id="s")
    leader.settle()
    lost = leader.placed()["s.0.0.0"]
    leader.submit(BEST_EFFORT.replace(count=3), id="fill", queue="low")
    leader.go_on(600)
    leader.workers = leader.workers.replace(lost, "")
    leader.go_on(8000)
    assert leader.displaced, "the lost worker is released, the other one is full"
    leader.report_all(ended=leader.stops())
    leader.settle()
    assert leader.placed()["s.0.0.0"] == leader.workers


def test_displacements_a_second_and_on_a_worker_are_limited():
    leader = Leader("abcd")
    leader.submit(BEST_EFFORT.replace(count=8), id="fill", queue="low")
    leader.settle()
    leader.go_on(600)
    limits = leader.state.displacing.limits
    limits.max_per_second, limits.pause_ms = 2, 3000
    leader.submit(URGENT.replace(count=8, memory_mb=4000))
    leader.go_on(900)
    assert len(leader.stops()) == 2
    leader.go_on(2000)
    for worker in leader.workers:
        assert len(leader.orders(worker)["stops"]) == 1, "a worker is in its pause"
    leader.go_on(1300)
    assert len(leader.stops()) == 6


def test_least_work_since_the_last_checkpoint_is_lost(leader):
    keys = list(leader.store.runs_of("a", 1))

    def report(*checkpoints):
        report = leaderkit.report_of(
            "a", [[*key, views.ACTIVE] for key in keys], survived_ms=9000
        )
        for row, checkpoint in zip(report.runs, checkpoints):
            row[3] = checkpoint
        leader.dispatch(schedulerevents.ReportReceived, report=report)
        leader.settle()

    leader.submit(URGENT)
    for number in range(9):
        leader.tick(100)
        report("old", f"new {number}")
    assert leader.stops() == [keys[1]]


def test_new_leader_decides_anew(leader):
    leader.submit(URGENT)
    leader.go_on(900)
    (stopped,) = leader.stops()
    leader.start_term(2)
    leader.report_all(ended=[stopped])
    leader.settle()
    assert leader.placed()["w.0.0.0"] == "a"
