"""Guards against tasks that stay over their latency target beside best-effort tasks."""

import math

import pytest

from sardinegauge.workflows import (
    interference,
    loadtrack,
    schedulerevents,
    throttling,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

TARGET_MS = 50
REPORT_MS = 300
HARM_MS = 4000
SWING_MS = 14_000


@pytest.mark.parametrize(("count", "usage"), [(4, 0.1), (8, 0.02), (20, 0.02)])
def test_best_effort_tasks_pause_beside_a_task_over_its_target(count, usage):
    """Load pattern: a task over its latency target beside small best-effort tasks.

    With eight or twenty, the effect of each best-effort task is below `MIN_EFFECT`, so
    without the limit on the time over target all of them would keep their full speed.
    """
    model = interference.InterferenceModel()
    best_effort_tasks = [
        interference.BestEffortTask(("f", n), "calm", usage, usage)
        for n in range(count)
    ]
    for number in range(40):
        model.observe(
            "a", [(("s", 1), "web", 15.0, TARGET_MS)], best_effort_tasks, 300 * number
        )
    now_ms = begun_ms = 40 * REPORT_MS
    assert set(throttling.cpu_caps(model, "a", best_effort_tasks, now_ms).values()) == {
        100
    }
    while any(throttling.cpu_caps(model, "a", best_effort_tasks, now_ms).values()):
        assert now_ms - begun_ms < HARM_MS - REPORT_MS
        now_ms += REPORT_MS
        model.observe(
            "a", [(("s", 1), "web", 55.0, TARGET_MS)], best_effort_tasks, now_ms
        )
    assert now_ms - begun_ms < HARM_MS / 2 + REPORT_MS
    model.observe(
        "a", [(("s", 1), "web", 20.0, TARGET_MS)], best_effort_tasks, now_ms + 300
    )
    assert any(
        throttling.cpu_caps(model, "a", best_effort_tasks, now_ms + 300).values()
    )


def test_short_excess_does_not_override_the_estimates():
    model = interference.InterferenceModel()
    best_effort_tasks = [interference.BestEffortTask(("f", 1), "calm", 0.1, 0.1)]
    for number in range(40):
        latency_ms = 52.0 if number % 10 == 0 else 15.0
        model.observe(
            "a",
            [(("s", 1), "web", latency_ms, TARGET_MS)],
            best_effort_tasks,
            300 * number,
        )
    assert throttling.cpu_caps(model, "a", best_effort_tasks, 40 * REPORT_MS) == {
        ("f", 1): 100
    }


def observe_swinging_step(model, interference_by_worker, seconds=20):
    """Let a step of four tasks report while best-effort tasks come and go.

    Load pattern: the load of the step swings, and a best-effort task is active on each
    worker for the rising half of each period.
    """
    for number in range(int(1000 * seconds / REPORT_MS)):
        now_ms = REPORT_MS * number
        angle = 2 * math.pi * now_ms / SWING_MS
        load = 0.45 + 0.2 * math.sin(angle)
        for position, worker in enumerate("abcd"):
            is_active = worker in interference_by_worker and math.cos(angle) > 0
            pressure = load
            tasks = []
            if is_active:
                pressure += interference_by_worker[worker]
                tasks = [interference.BestEffortTask(("f", 1), "sweep", 1.0, 1.0)]
            latency_ms = TARGET_MS / interference.IDLE_LATENCY_RATIO / (1 - pressure)
            row = ((f"w.0.0.{position}", 1), "web", latency_ms, TARGET_MS)
            model.observe(worker, [row], tasks, now_ms + 10 * position)


def test_rising_load_is_not_taken_for_interference():
    model = interference.InterferenceModel()
    observe_swinging_step(model, {"a": 0.0, "b": 0.0})
    assert model.coefficient("web", "sweep") < 0.03


def test_interference_is_not_taken_for_a_rising_load():
    model = interference.InterferenceModel()
    observe_swinging_step(model, {"a": 0.2, "b": 0.2})
    # A latency covers the time before the task became active, too.
    assert 0.12 < model.coefficient("web", "sweep") < 0.25


def test_load_is_forecast_with_its_trend():
    """Without the trend, caps follow a rising load late, and a falling one too."""
    errors, errors_without = [], []
    for seconds in range(20, 34):
        model = interference.InterferenceModel()
        observe_swinging_step(model, {}, seconds)
        (task,) = model.latency_critical_tasks_by_worker["a"].values()
        at_ms = task.deviation.updated_ms + interference.FORECAST_MS
        load = 0.45 + 0.2 * math.sin(2 * math.pi * at_ms / SWING_MS)
        errors.append(task.expected_load(at_ms) - load)
        errors_without.append(task.load_track.level - load)
    assert math.hypot(*errors) < 0.6 * math.hypot(*errors_without)


def test_limit_leaves_room_for_the_error_of_the_forecast():
    """Load pattern: two workers with the same load, one with much more interference.

    With one margin for all, tasks beside much interference are often over their
    target, and those beside little hold it back needlessly.
    """
    model = interference.InterferenceModel()
    rows = [["", "light", 0.01, 0.0], ["", "heavy", 0.25, 0.0]]
    model.load_rows(rows, 0)
    load_by_image = {}
    for image in ("light", "heavy"):
        # Without usage, the reports leave the coefficients as they are.
        idle = [interference.BestEffortTask((image, 1), image, 2.0, 0.0)]
        for number in range(20):
            row = ((f"w.0.0.{image}", 1), "web", 20.0, TARGET_MS)
            model.observe(image, [row], idle, REPORT_MS * number)
        now_ms = 20 * REPORT_MS
        (task,) = model.latency_critical_tasks_by_worker[image].values()
        load = task.expected_load(now_ms + interference.FORECAST_MS)
        (cap,) = throttling.cpu_caps(model, image, idle, now_ms).values()
        effect = 2.0 * model.coefficient("web", image) * cap / 100
        load_by_image[image] = (load + effect, cap)
    assert load_by_image["light"][1] == 100
    pressure, cap = load_by_image["heavy"]
    assert 0 < cap < 100
    assert pressure < interference.TARGET_PRESSURE - 2 * throttling.LOAD_ERROR


def test_load_track_begins_anew_after_a_silence():
    """A trend from before a power loss says nothing about the load after it."""
    track = loadtrack.LoadTrack(now_ms=0)
    for now_ms in range(0, 4000, 50):
        track.advance(now_ms)
        error = 0.2 + 0.1 * now_ms / 1000 - track.level
        track.correct(error, track.level_variance + 0.001)
    track.advance(60_000)
    assert (track.level, track.trend_per_s) == (loadtrack.INITIAL_LEVEL, 0.0)


def test_new_leader_loads_the_estimates():
    """Load pattern: the leader changes while tasks of both kinds share a worker."""
    leader = leaderkit.Leader()
    leader.report()
    leader.submit(
        steps_module.Step(image="web", target_ms=TARGET_MS, is_persistent=True)
    )
    leader.submit(steps_module.Step(image="sweep", is_filler=True), id="f")
    leader.settle()
    for number in range(20):
        leader.now_ms += REPORT_MS
        latency_ms = 12 if number % 2 else 30
        cores = 0 if number % 2 else 1500
        rows = [
            ["w.0.0.0", 1, views.ACTIVE, "", 100, latency_ms, "", 100, 0],
            ["f.0.0.0", 1, views.ACTIVE, "", 50, cores, "", 100, 0],
        ]
        report = views.Report(
            agent="agent-a",
            worker="a",
            life=1,
            pool="p",
            cpu_millis=8000,
            memory_mb=8000,
            is_fenced=True,
            runs=rows,
        )
        leader.dispatch(schedulerevents.ReportReceived, report=report)
        leader.tick(0)
        leader.settle()
    learned = leader.state.interference.coefficient("web", "sweep")
    assert abs(learned - interference.BEST_EFFORT_PRESSURE) > 0.01
    leader.start_term(term=2)
    known = leader.state.interference.coefficient("web", "sweep")
    assert abs(known - learned) < 0.02


def test_throttling_is_logged_and_time_over_target_counted(caplog):
    """Guards against a shortage that neither logs nor metrics show."""
    caplog.set_level("INFO")
    leader = leaderkit.Leader()
    counted = []
    apply_effects = leader.apply_effects

    def record_effects(effects):
        counted.extend(
            effect
            for effect in effects
            if isinstance(effect, schedulerevents.OverTargetEnded)
        )
        apply_effects(effects)

    leader.apply_effects = record_effects
    leader.report()
    leader.submit(
        steps_module.Step(image="web", target_ms=TARGET_MS, is_persistent=True)
    )
    leader.settle()
    for latency_ms in (20, 60, 60, 20):
        leader.now_ms += REPORT_MS
        row = ["w.0.0.0", 1, views.ACTIVE, "", 100, latency_ms, "", 100, 0]
        report = leaderkit.report_of("a", [])
        report.runs = [row]
        leader.dispatch(schedulerevents.ReportReceived, report=report)
    leader.tick(1000)
    assert [(effect.queue, effect.lasted_ms) for effect in counted] == [
        ("q", 2 * REPORT_MS)
    ]
    (line,) = [r.message for r in caplog.records if "throttling" in r.message]
    assert "samples=4 over=2" in line


def test_malformed_estimates_are_skipped():
    model = interference.InterferenceModel()
    model.load_rows([["", "a"], 5, ["", "b", "x", 1], ["", "c", 0.3, 0.01]], 0)
    assert model.coefficient("web", "c") == 0.3
    assert model.coefficient("web", "b") == interference.BEST_EFFORT_PRESSURE
