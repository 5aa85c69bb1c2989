"""Guards the choice of runs that are stopped for more urgent tasks or lost capacity."""

import random

import pytest

from sardinegauge.workflows import views
from sardinegauge.workflows.policies import displacement

POLICY = displacement.LeastLostWork()


def run(name, **fields):
    values = {
        "priority": 2,
        "cpu_millis": 7000,
        "memory_mb": 13_000,
        "is_filler": True,
        "is_checkpointing": True,
        "rest_ms": 9000,
        "lost_ms": 500,
        **fields,
    }
    return displacement.Run(key=(name, 1), **values)


def worker(*runs, name="a", **free):
    return displacement.Worker(id=name, free=views.Room(**free), runs=list(runs))


def claim(**fields):
    values = {"priority": 0, "cpu_millis": 1000, "memory_mb": 10_000, **fields}
    return displacement.Claim(task="urgent", **values)


def chosen(claim, *workers, max_victims=9):
    choice = POLICY.choose(claim, workers, max_victims)
    if choice is None:
        return None
    return choice.worker, [victim.key[0] for victim in choice.victims]


def excess(*runs, **free):
    return [found.key[0] for found in POLICY.choose_excess(worker(*runs, **free), 9)]


def test_victim_with_the_least_lost_work_is_chosen_among_all_workers():
    first = worker(run("x", lost_ms=4000), cpu_millis=9000)
    second = worker(
        run("y", lost_ms=2000), run("z", lost_ms=300), name="b", cpu_millis=9000
    )
    assert chosen(claim(), first, second) == ("b", ["z"])


@pytest.mark.parametrize(
    "fields",
    [
        {"priority": 0, "rank": (0, 2, 9e9)},
        {"is_persistent": True},
        {"is_gang": True},
        {"rest_ms": 800},
        {"progress": 97},
        {"is_checkpointing": False, "lost_ms": 3000},
        {"displaced_count": 2},
        {"memory_mb": 9000},
    ],
)
def test_run_is_not_displaced(fields):
    assert chosen(claim(), worker(run("x", **fields), cpu_millis=9000)) is None
    assert chosen(claim(), worker(run("x"), cpu_millis=9000), max_victims=0) is None
    young = run("x", is_checkpointing=False, lost_ms=400)
    assert chosen(claim(), worker(young, cpu_millis=9000)) == ("a", ["x"])


def test_best_effort_run_gives_no_cores_back():
    """Its cores are not reserved, so its stop would not make the task fit."""
    assert chosen(claim(), worker(run("x"), cpu_millis=500)) is None
    batch = run("x", is_filler=False)
    assert chosen(claim(), worker(batch, cpu_millis=500)) == ("a", ["x"])


def test_as_few_runs_as_possible_are_displaced():
    small = [run(name, memory_mb=4000, lost_ms=0) for name in "xyz"]
    large = run("large", memory_mb=10_000, lost_ms=1000)
    assert chosen(claim(), worker(*small, large, cpu_millis=9000)) == ("a", ["large"])


def test_room_of_leaving_runs_is_awaited_before_another_run_is_displaced():
    leaving = run("x", is_leaving=True)
    found = chosen(claim(), worker(leaving, run("y"), cpu_millis=9000))
    assert found == ("a", [])


def test_least_urgent_run_is_displaced_first():
    runs = [run("x", priority=1, lost_ms=0), run("y", priority=2, lost_ms=5000)]
    assert chosen(claim(), worker(*runs, cpu_millis=9000)) == ("a", ["y"])


def test_displaced_task_displaces_nothing():
    found = chosen(claim(displaced_count=1), worker(run("x"), cpu_millis=9000))
    assert found is None


def test_baseline_stops_nothing():
    policy = displacement.NoDisplacement()
    full = worker(run("x"), memory_mb=-5, cpu_millis=9000)
    assert policy.choose(claim(), [full], 9) is None
    assert policy.choose_excess(full, 9) == []


def test_best_effort_runs_leave_a_worker_short_of_memory_first():
    batch = run("batch", is_filler=False, lost_ms=0)
    serving = run("serving", priority=0, is_persistent=True, may_move=True)
    runs = [serving, batch, run("x"), run("y", lost_ms=100)]
    assert excess(*runs, memory_mb=-12_000) == ["y"]
    assert excess(*runs, memory_mb=-20_000) == ["y", "x"]
    assert excess(*runs, memory_mb=-36_000) == ["y", "x", "batch"]
    assert excess(*runs, memory_mb=-50_000) == ["y", "x", "batch", "serving"]


def test_too_few_cores_hurt_only_beside_latency_critical_tasks():
    batch = run("batch", is_filler=False)
    serving = run("s", is_persistent=True, is_latency_critical=True, may_move=True)
    assert excess(batch, cpu_millis=-500) == []
    assert excess(batch, serving, cpu_millis=-500) == ["batch"]
    slow = run("slow", is_filler=False, is_checkpointing=False, lost_ms=9000)
    ending = run("ending", is_filler=False, rest_ms=200)
    assert excess(slow, ending, cpu_millis=-500) == []


def test_runs_that_leave_already_count_for_a_worker_that_has_shrunk():
    assert excess(run("x", is_leaving=True), run("y"), memory_mb=-9000) == []


def random_run(chooser, name):
    def is_seldom():
        return chooser.random() < 0.15

    return run(
        name,
        priority=chooser.choice((1, 2, 2)),
        cpu_millis=chooser.randint(0, 9000),
        memory_mb=chooser.randint(1000, 26_000),
        is_filler=chooser.random() < 0.6,
        is_persistent=is_seldom(),
        is_gang=is_seldom(),
        is_leaving=chooser.random() < 0.05,
        is_checkpointing=not is_seldom(),
        lost_ms=chooser.randint(0, 3000),
        rest_ms=chooser.choice((800, 3000, 9000)),
        progress=chooser.choice((0, 30, 60, 97)),
        displaced_count=chooser.choice((0, 0, 1, 2)),
    )


@pytest.mark.parametrize("seed", range(200))
def test_victims_are_allowed_needed_and_enough(seed):
    """Guards against work that is thrown away without a start that follows."""
    chooser = random.Random(seed)
    wanted = claim(
        priority=1,
        memory_mb=chooser.randint(1, 40_000),
        is_filler=chooser.random() < 0.5,
    )
    worker_by_id = {
        name: worker(
            *[random_run(chooser, f"{name}{number}") for number in range(7)],
            name=name,
            cpu_millis=9000,
        )
        for name in "ab"
    }
    choice = POLICY.choose(wanted, worker_by_id.values(), 3)
    if choice is None:
        return
    assert len(choice.victims) <= 3
    for victim in choice.victims:
        assert victim.priority > wanted.priority
        assert not victim.is_persistent and not victim.is_gang
        assert not victim.is_leaving and victim.displaced_count < 2
        assert victim.rest_ms >= displacement.MIN_REST_MS
        assert victim.progress < displacement.ENDING_PROGRESS
        assert victim.is_checkpointing or victim.lost_ms <= displacement.MAX_LOST_MS
    room = worker_by_id[choice.worker].expected_room()
    for victim in choice.victims:
        room.release(victim)
    assert room.fits(wanted)
    for victim in choice.victims:
        room.reserve(victim)
        assert not room.fits(wanted), "a victim is superfluous"
        room.release(victim)
