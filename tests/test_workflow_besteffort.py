"""Guards against best-effort tasks that interfere, stay paused or move needlessly."""

import pytest

from sardinegauge.workflows import (
    besteffort,
    interference,
    ordering,
    placement,
    schedulerevents,
    store,
    throttling,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

Step = steps_module.Step


Leader = leaderkit.Leader


def test_best_effort_task_with_high_interference_is_throttled():
    """Load pattern: one of two best-effort images slows a latency-critical task."""
    model = interference.InterferenceModel()
    now_ms = 0
    was_heavy_active = 0
    for round_number in range(200):
        now_ms += 250
        is_heavy_active = round_number // 8 % 2
        is_light_active = round_number // 16 % 2
        best_effort_tasks = [
            interference.BestEffortTask(
                ("heavy", 1), "heavy", 1.0, 1.0 * is_heavy_active
            ),
            interference.BestEffortTask(
                ("light", 1), "light", 1.0, 1.0 * is_light_active
            ),
        ]
        # A latency covers the time since the previous report.
        pressure = 0.5 + 0.25 * (was_heavy_active + is_heavy_active) / 2
        was_heavy_active = is_heavy_active
        latency_ms = 50 / interference.IDLE_LATENCY_RATIO / (1 - pressure)
        model.observe(
            "a", [(("s", 1), "web", latency_ms, 50)], best_effort_tasks, now_ms
        )
    assert model.coefficient("web", "heavy") > 0.15
    assert model.coefficient("web", "light") < 0.06
    assert model.is_low_interference("light") and not model.is_low_interference("heavy")
    best_effort_tasks = [
        interference.BestEffortTask(("heavy", n), "heavy", 1.0, 1.0) for n in range(2)
    ] + [interference.BestEffortTask(("light", 1), "light", 1.0, 1.0)]
    cpu_caps = throttling.cpu_caps(model, "a", best_effort_tasks, 0)
    assert cpu_caps["light", 1] >= 90
    assert min(cpu_caps["heavy", 0], cpu_caps["heavy", 1]) < 50
    assert model.headroom("a", [], "light", 1.0) > model.headroom("a", [], "heavy", 1.0)
    assert model.headroom("b", [], "heavy", 1.0) > 0


def test_best_effort_tasks_are_placed_away_from_latency_critical_tasks():
    """Load pattern: latency-critical tasks that fit on one of two workers.

    The best-effort tasks are submitted after them.
    """
    leader = Leader()
    leader.report("a")
    leader.report("b")
    leader.settle()
    latency_critical_step = Step(
        count=2, cpu_millis=3000, image="web", target_ms=50, is_persistent=True
    )
    leader.submit(latency_critical_step, id="serving")
    leader.settle()
    assert len(set(leader.placed().values())) == 1
    (host,) = set(leader.placed().values())
    runs = [
        [*key, views.ACTIVE, "", 100, 28, "", 100, 0]
        for key in leader.store.runs_of(host, 1)
    ]
    report = views.Report(
        agent=f"agent-{host}",
        worker=host,
        life=1,
        pool="p",
        cpu_millis=8000,
        memory_mb=8000,
        is_fenced=True,
        runs=runs,
    )
    for _ in range(4):
        leader.now_ms += 250
        leader.dispatch(schedulerevents.ReportReceived, report=report)
    leader.report("a" if host == "b" else "b")
    leader.submit(
        Step(count=2, cpu_millis=2000, image="sweep", is_filler=True), id="fill"
    )
    leader.settle()
    assert host not in {w for t, w in leader.placed().items() if t.startswith("fill")}


def test_best_effort_task_avoids_interference_at_the_trough_of_the_load():
    """Load pattern: two workers, of which the one with interference is idle now.

    Its headroom passes with the next rise of the load, and the task would be paused.
    """
    model = interference.InterferenceModel()
    rows = [["", "sweep", 0.1, 0.0], ["web", "sweep", 0.1, 0.0]]
    model.load_rows([*rows, ["db", "sweep", -0.1, 0.0]], 0)
    scores = {}
    for worker, image, latency_ms in (("a", "web", 13.0), ("b", "db", 24.0)):
        for number in range(10):
            row = ((f"w.0.{image}.0", 1), image, latency_ms, 50)
            model.observe(worker, [row], [], 300 * number)
        view = views.WorkerView(worker, 1, "agent", 0, 1000)
        view.capacity = views.Room(cpu_millis=64_000, memory_mb=250_000)
        candidate = placement.Candidate(view, view.capacity.replace(), model)
        candidate.reserve(Step(cpu_millis=13_000, image=image, target_ms=50))
        step = Step(cpu_millis=6400, image="sweep", is_filler=True)
        policy = placement.SeparatingPlacement()
        scores[worker] = policy.score(step, candidate, ())
    assert scores["b"] > scores["a"]


def test_first_fit_chooses_the_first_worker():
    scores = {placement.FirstFit().score(Step(), worker, ()) for worker in "ab"}
    assert len(scores) == 1


def test_late_work_is_slowed_down_before_work_in_time():
    """Load pattern: too many best-effort tasks on a worker, one of them late."""
    model = interference.InterferenceModel()
    model.observe("a", [(("s", 1), "web", 30.0, 50)], [], 0)
    best_effort_tasks = [
        interference.BestEffortTask((name, 1), "sweep", 2.0, 0.0, rank)
        for name, rank in (("in time", (2, 0, 50)), ("late", (2, 1, 10)))
    ]
    cpu_caps = throttling.cpu_caps(model, "a", best_effort_tasks, 0)
    assert cpu_caps["in time", 1] > cpu_caps["late", 1] == 0


def test_slow_best_effort_task_moves_where_it_runs_at_full_speed():
    """Load pattern: a slow best-effort task, and an idle worker."""
    leader = Leader()
    leader.report("a")
    leader.settle()
    leader.submit(
        Step(cpu_millis=4000, estimate_ms=9000, is_filler=True, is_checkpointing=True)
    )
    leader.settle()
    leader.report("b")
    leader.settle()
    leader.report("a", runs=[["w.0.0.0", 1, views.ACTIVE]])
    key = ("w.0.0.0", 1)
    leader.state.cpu_cap_by_run[key] = 10
    leader.state.slow_since_ms_by_run[key] = leader.now_ms
    leader.tick(100)
    assert leader.orders()["stops"] == []
    leader.now_ms += 2100
    leader.report("b")
    leader.state.cpu_cap_by_run[key] = 10
    leader.tick(0)
    assert leader.orders()["stops"] == [list(key)]
    # The former worker has the most idle cores now, but must not get the task back.
    leader.report("b", cpu_millis=7000)
    leader.report("a", ends=[[1, *key, store.STOPPED, "c"]])
    leader.settle()
    key = ("w.0.0.0", 2)
    ((_, host),) = leader.placed().items()
    assert host == "b"
    # A second move is refused, or the task would be stopped and restored repeatedly.
    leader.state.cpu_cap_by_run[key] = 10
    leader.state.slow_since_ms_by_run[key] = leader.now_ms - 9000
    leader.tick(0)
    assert leader.orders(host)["stops"] == []


def test_least_work_left_goes_first_among_work_in_time():
    """Load pattern: a burst of batch work, a part of which can't end in time."""
    leader = Leader()
    leader.report()
    leader.settle()
    order = ordering.ByRemainingWork()
    queue = leader.store.queue_set.by_name["q"].replace(stretch=3.0)
    keys = {}
    for name, count, estimate_ms in (
        ("small", 2, 1000),
        ("large", 9, 1000),
        ("hopeless", 1, 100),
    ):
        step = Step(count=count, cpu_millis=1000, estimate_ms=estimate_ms)
        leader.submit(step, id=name)
        item = leader.store.workflow_by_id[name]
        wall_ms = item.accepted_at_ms + 1000
        keys[name] = order.key(item, queue, item.occurrence(0), wall_ms)
    assert sorted(keys, key=keys.get) == ["small", "large", "hopeless"]


def make_slow_tasks(worker_count):
    """Return a leader with slow best-effort tasks, and `worker_count` more workers."""
    leader = Leader()
    leader.report("a", cpu_millis=16_000)
    leader.settle()
    for number in range(worker_count):
        leader.report(f"b{number}")
    leader.settle()
    step = Step(
        count=12,
        cpu_millis=4000,
        memory_mb=10,
        estimate_ms=9000,
        image="sweep",
        is_filler=True,
        is_checkpointing=True,
    )
    leader.submit(step)
    leader.settle()
    for number in range(worker_count):
        leader.report(f"b{number}", runs=running_on(leader, f"b{number}"))
    leader.report("a", cpu_millis=16_000, runs=running_on(leader, "a"))
    for key in leader.store.runs_of("a", 1):
        leader.state.cpu_cap_by_run[key] = 0
        leader.state.slow_since_ms_by_run[key] = leader.now_ms - 5000
    return leader


def running_on(leader, worker):
    return [[*key, views.ACTIVE] for key in leader.store.runs_of(worker, 1)]


def test_slow_tasks_stay_where_no_worker_has_idle_cores():
    """Load pattern: all workers are full of best-effort tasks.

    Tasks were moved to workers without latency-critical tasks, however full they were.
    """
    leader = make_slow_tasks(4)
    leader.tick(0)
    assert leader.state.stop_reason_by_run == {}


def test_many_slow_tasks_of_one_kind_are_looked_up_once(monkeypatch):
    """Load pattern: many slow tasks and no better worker.

    Each tick described the best-effort tasks of all workers for each slow task. With 53
    workers and 60 slow tasks it took longer than the interval between ticks.
    """
    leader = make_slow_tasks(4)
    looked_up = []
    is_suitable = besteffort._Destinations._is_suitable
    monkeypatch.setattr(
        besteffort._Destinations,
        "_is_suitable",
        lambda self, candidate, step: (
            looked_up.append(candidate.view.id),
            is_suitable(self, candidate, step),
        )[1],
    )
    leader.tick(0)
    assert len(leader.state.slow_since_ms_by_run) >= 2
    assert 0 < len(looked_up) <= 5


def test_concurrent_moves_do_not_share_idle_cores():
    """Load pattern: many slow tasks, and idle cores for one of them."""
    leader = make_slow_tasks(4)
    leader.report("c", cpu_millis=5000)
    leader.settle()
    leader.tick(0)
    assert len(leader.state.stop_reason_by_run) == 1


def make_slow_lasting_tasks(limit):
    """Return a leader with three slow lasting tasks at work, and idle workers.

    `limit` is how many tasks of the step may be unavailable.
    """
    leader = Leader()
    for worker in "abc":
        leader.report(worker)
    leader.settle()
    step = Step(
        count=3,
        cpu_millis=1000,
        memory_mb=10,
        is_filler=True,
        is_persistent=True,
        is_checkpointing=True,
        max_per_worker=1,
        max_unavailable=limit,
    )
    leader.submit(step)
    leader.settle()
    for worker in "defg":
        leader.report(worker)
    for worker in "abc":
        leader.report(worker, runs=running_on(leader, worker), progress=100)
        for key in leader.store.runs_of(worker, 1):
            leader.state.cpu_cap_by_run[key] = 0
            leader.state.slow_since_ms_by_run[key] = leader.now_ms - 5000
    return leader


@pytest.mark.parametrize(
    "limit, expected_count", [(-1, 3), (3, 3), (2, 2), (1, 1), (0, 0)]
)
def test_slow_lasting_tasks_move_within_max_unavailable(limit, expected_count):
    # Guards against moves in a burst that stop more tasks of a step at a time than it
    # allows.
    leader = make_slow_lasting_tasks(limit)
    leader.tick(0)
    assert len(leader.state.stop_reason_by_run) == expected_count
    leader.tick(100)
    assert len(leader.state.stop_reason_by_run) == expected_count


def test_slow_lasting_task_moves_once_the_one_before_is_at_work_again():
    # Guards against a second stop while the first task is starting elsewhere.
    leader = make_slow_lasting_tasks(1)
    leader.tick(0)
    ((task_id, run_number),) = leader.state.stop_reason_by_run
    first = leader.placed()[task_id]
    ends = [[1, task_id, run_number, store.STOPPED, "c"]]
    leader.report(first, ends=ends)
    leader.settle()
    second = leader.placed()[task_id]
    assert second != first
    leader.report(second, runs=running_on(leader, second), progress=50)
    leader.tick(100)
    assert leader.state.stop_reason_by_run == {}
    leader.report(second, runs=running_on(leader, second), progress=100)
    leader.tick(100)
    assert len(leader.state.stop_reason_by_run) == 1


def test_caps_are_removed_with_the_last_latency_critical_task():
    leader = Leader()
    leader.report()
    leader.settle()
    leader.submit(Step(cpu_millis=1000, is_filler=True, image="sweep"), id="fill")
    leader.settle()
    leader.report(runs=running_on(leader, "a"))
    key = ("fill.0.0.0", 1)
    leader.state.cpu_cap_by_run[key] = 20
    leader.state.slow_since_ms_by_run[key] = leader.now_ms
    leader.pushed.clear()
    leader.report(runs=running_on(leader, "a"))
    assert leader.pushed == ["a"]
    assert leader.state.cpu_cap_by_run.get(key, 100) == 100
    assert leader.state.slow_since_ms_by_run == {}
