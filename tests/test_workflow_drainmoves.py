"""Guards what runs in a drained domain against lost work and too many stops at once."""

import math

import pytest

from sardinegauge import commands
from sardinegauge.workflows import drainmoves, schedulerevents, steps, views
from sardinegauge.workflows.policies import drainmoves as policy
from tests import leaderkit

SERVING = steps.Step(cpu_millis=1000, is_persistent=True, target_ms=50, image="web")
LONG = steps.Step(cpu_millis=1000, estimate_ms=60_000, is_checkpointing=True)


class Fleet(leaderkit.Leader):
    """A leader with simulated agents that start and stop what they are told."""

    def __init__(self, **domain_by_worker):
        super().__init__()
        self.domain_by_worker = domain_by_worker
        self.cores = 8
        self.active = {worker: {} for worker in domain_by_worker}
        self.ends = {worker: [] for worker in domain_by_worker}
        self.stopped = []
        self.first_progress = 100
        self.progress_by_task = {}
        self.most_away = 0
        self.watched = None
        self.play(1)

    def add(self, worker, domain):
        self.domain_by_worker[worker] = domain
        self.active[worker], self.ends[worker] = {}, []

    def play(self, count):
        """Let agents execute their orders and report, every 100 ms."""
        for _ in range(count):
            for worker in self.domain_by_worker:
                self.execute(worker)
            for worker in self.domain_by_worker:
                self.send_report(worker)
            self.settle()
            self.tick(100)
            if self.watched:
                self.most_away = max(self.most_away, self.count_away())

    def execute(self, worker):
        orders = self.orders(worker)
        for task, run, *_ in orders["starts"]:
            self.active[worker][task, run] = self.now_ms
        for key in map(tuple, orders["stops"]):
            if self.active[worker].pop(key, None) is not None:
                number = len(self.ends[worker]) + 1
                self.ends[worker].append([number, *key, "stopped", "saved"])
                self.stopped.append(key[0])

    def send_report(self, worker):
        domain = self.domain_by_worker[worker]
        report = leaderkit.report_of(
            worker,
            (),
            ends=self.ends[worker],
            failure_domain=domain,
            cpu_millis=1000 * self.cores,
            **self.report_fields(worker),
        )
        report.runs = [
            [*key, views.ACTIVE, "", self.progress(key), 0, "", 100, self.now_ms - ms]
            for key, ms in self.active[worker].items()
        ]
        self.dispatch(schedulerevents.ReportReceived, report=report)

    def report_fields(self, worker):
        """Return further fields of a report; for fleets with more faults."""
        return {}

    def progress(self, key):
        return self.progress_by_task.get(key[0], self.first_progress)

    def count_away(self):
        """Return how many tasks of the watched workflow run nowhere."""
        active = {key[0] for runs in self.active.values() for key in runs}
        tasks = self.store.workflow_by_id[self.watched].tasks()
        return sum(task.id not in active for task in tasks)

    def drain(self, domain="z1", undo=False):
        self.commit(commands.SetDomainDrain(failure_domain=domain, undo=undo))

    def fill(self, *found, **fields):
        """Submit to z1 alone, before the other domains have any room."""
        self.drain("z2")
        self.submit(*found, **fields)
        self.play(2)
        self.drain("z2", undo=True)
        # A leader settles before it moves anything.
        self.play(31)

    def workers_of(self, id="w"):
        tasks = self.placed().items()
        return {worker for task, worker in tasks if task.startswith(f"{id}.")}


@pytest.mark.parametrize("max_unavailable, limit", [(1, 1), (2, 2), (-1, 3), (0, 0)])
def test_persistent_tasks_leave_within_max_unavailable(max_unavailable, limit):
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=6, max_unavailable=max_unavailable))
    assert fleet.workers_of() == {"a"}
    fleet.watched = "w"
    fleet.drain()
    fleet.play(100)
    assert fleet.most_away == limit
    assert fleet.workers_of() == ({"b"} if limit else {"a"})
    assert len(fleet.stopped) == (6 if limit else 0)


@pytest.mark.parametrize("cause", ["not ready", "being stopped", "without a run"])
def test_member_that_is_away_for_another_cause_counts(cause):
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=4, max_unavailable=1))
    key = ("w.0.0.3", 1)
    if cause == "not ready":
        fleet.progress_by_task[key[0]] = 50
    elif cause == "being stopped":
        fleet.state.stop_reason_by_run[key] = "test"
        fleet.execute = lambda worker: None
    else:
        del fleet.active["a"][key]
        fleet.ends["a"].append([1, *key, "lapsed", ""])
        fleet.state.planner.plan = lambda *arguments: []
    fleet.drain()
    fleet.play(40)
    assert fleet.state.stop_reason_by_run.keys() <= {key}
    assert fleet.stopped == []


def test_new_member_counts_until_it_is_ready():
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=4, max_unavailable=1))
    fleet.progress_by_task = {f"w.0.0.{index}": 100 for index in range(4)}
    fleet.drain()
    fleet.play(3)
    (moved,) = fleet.stopped
    fleet.progress_by_task[moved] = 30
    fleet.play(200)
    assert fleet.stopped == [moved]
    fleet.progress_by_task[moved] = 100
    fleet.play(60)
    assert len(fleet.stopped) == 4


def test_only_long_checkpointing_batch_runs_leave():
    fleet = Fleet(a="z1", b="z2")
    fleet.first_progress = 0
    fleet.fill(
        LONG, LONG.replace(is_checkpointing=False), LONG.replace(estimate_ms=900)
    )
    fleet.drain()
    fleet.play(60)
    assert fleet.stopped == ["w.0.0.0"]
    assert fleet.placed()["w.0.0.0"] == "b"
    assert fleet.store.find_task("w.0.0.0")[2].checkpoint == "saved"


def test_run_that_ends_soon_by_its_progress_stays():
    """Declared run times are off by up to a factor of ten."""
    fleet = Fleet(a="z1", b="z2")
    fleet.first_progress = 80
    fleet.fill(LONG)
    fleet.drain()
    fleet.play(40)
    assert fleet.stopped == []


def test_nothing_is_stopped_before_another_domain_has_room():
    fleet = Fleet(a="z1")
    fleet.submit(SERVING.replace(count=2, cpu_millis=3000))
    fleet.play(40)
    fleet.drain()
    fleet.play(40)
    assert fleet.stopped == []
    fleet.add("b", "z1")
    fleet.play(20)
    assert fleet.stopped == []
    fleet.add("c", "z2")
    fleet.play(60)
    assert fleet.workers_of() == {"c"}


def test_reserved_room_is_not_given_to_other_work():
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(cpu_millis=8000, max_unavailable=1))
    fleet.drain()
    fleet.tick(100)
    assert list(fleet.state.stop_reason_by_run) == [("w.0.0.0", 1)]
    # The work is accepted while the run ends, and comes first in the plan.
    fleet.submit(steps.Step(cpu_millis=8000, estimate_ms=1), id="v")
    fleet.play(3)
    assert fleet.placed() == {"w.0.0.0": "b"}


def test_most_urgent_queue_leaves_first():
    fleet = Fleet(a="z1", b="z2")
    fleet.drain("z2")
    big = LONG.replace(cpu_millis=4000)
    fleet.submit(big, id="l", queue="low")
    fleet.submit(big, id="u")
    fleet.first_progress = 0
    fleet.play(2)
    fleet.drain("z2", undo=True)
    fleet.cores = 8
    fleet.submit(steps.Step(cpu_millis=4000, estimate_ms=1), id="other")
    fleet.play(31)
    assert fleet.placed()["other.0.0.0"] == "b"
    fleet.drain()
    fleet.play(30)
    assert fleet.stopped == ["u.0.0.0"]


def test_moves_are_limited():
    fleet = Fleet(a="z1", b="z2", c="z2")
    fleet.first_progress = 0
    fleet.fill(LONG.replace(count=8))
    fleet.drain()
    fleet.play(1)
    assert len(fleet.state.stop_reason_by_run) == policy.MAX_CONCURRENT_MOVES
    fleet.play(30)
    assert len(fleet.stopped) == 8


def test_gang_moves_as_a_whole_or_not_at_all():
    fleet = Fleet(a="z1", b="z2")
    fleet.first_progress = 0
    gang = LONG.replace(count=4, is_gang=True)
    fleet.fill(gang.replace(cpu_millis=2000))
    fleet.submit(steps.Step(cpu_millis=2000, estimate_ms=1), id="v")
    fleet.play(2)
    assert fleet.placed()["v.0.0.0"] == "b"
    fleet.drain()
    fleet.play(40)
    assert fleet.stopped == []
    assert fleet.state.drain_moves.moves == []
    fleet.commit(commands.CancelWorkflow(id="v"))
    fleet.play(20)
    assert set(fleet.stopped) == {"v.0.0.0", *(task.id for task in tasks_of(fleet))}
    numbers = {run.number for task in tasks_of(fleet) for run in task.runs}
    assert (fleet.workers_of(), numbers) == ({"b"}, {2})


def tasks_of(fleet):
    return list(fleet.store.workflow_by_id["w"].tasks())


@pytest.mark.parametrize("lost_after", [0, 1, 2, 3])
def test_leader_lost_during_a_move_stops_no_further_member(lost_after):
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=4, max_unavailable=1))
    fleet.watched = "w"
    fleet.drain()
    fleet.play(lost_after)
    fleet.start_term(2)
    fleet.play(31)
    fleet.start_term(3)
    fleet.play(100)
    assert fleet.most_away == 1
    assert fleet.workers_of() == {"b"}


def test_task_that_was_stopped_before_a_restore_starts_again():
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=4, max_unavailable=1))
    fleet.drain()
    fleet.tick(100)
    fleet.drain(undo=True)
    fleet.play(20)
    assert len(fleet.stopped) == 1
    assert len(fleet.placed()) == 4
    assert fleet.state.drain_moves.moves == []


def test_reservation_of_a_worker_that_is_lost_is_dropped():
    fleet = Fleet(a="z1", b="z2", c="z2")
    fleet.fill(SERVING.replace(max_unavailable=1))
    fleet.drain()
    fleet.tick(100)
    (target,) = fleet.state.drain_moves.reserved_workers().values()
    del fleet.domain_by_worker[target]
    fleet.now_ms += 2000
    fleet.play(5)
    assert fleet.workers_of() == {"b", "c"} - {target}


def test_baseline_keeps_all_runs():
    fleet = Fleet(a="z1", b="z2")
    fleet.fill(SERVING.replace(count=4))
    fleet.state.drain_moves = drainmoves.DrainMoves(policy.KeepRuns())
    fleet.drain()
    fleet.play(40)
    assert fleet.stopped == []


def test_gang_larger_than_the_limit_moves_alone():
    fields = dict(is_checkpointing=False, max_unavailable=-1, away_count=0)
    units = [
        policy.Unit(
            keys=[(f"{name}{index}", 1) for index in range(size)],
            step_id=name,
            rank=(rank,),
            left_ms=math.inf,
            is_persistent=True,
            **fields,
        )
        for name, size, rank in (("g", 9, 1), ("s", 1, 0))
    ]
    choose = policy.MoveLongRuns().choose
    assert [unit.step_id for unit in choose(units, 0, lambda unit: True)] == ["s"]
    assert [unit.step_id for unit in choose(units[:1], 0, lambda unit: True)] == ["g"]
