"""Guards against tasks that stay over their latency target beside best-effort tasks."""

import pytest

from sardinegauge.workflows import interference, schedulerevents, views
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

TARGET_MS = 50
REPORT_MS = 300
HARM_MS = 4000


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
    assert set(model.cpu_caps("a", best_effort_tasks, now_ms).values()) == {100}
    while any(model.cpu_caps("a", best_effort_tasks, now_ms).values()):
        assert now_ms - begun_ms < HARM_MS - REPORT_MS
        now_ms += REPORT_MS
        model.observe(
            "a", [(("s", 1), "web", 55.0, TARGET_MS)], best_effort_tasks, now_ms
        )
    assert now_ms - begun_ms < HARM_MS / 2 + REPORT_MS
    model.observe(
        "a", [(("s", 1), "web", 20.0, TARGET_MS)], best_effort_tasks, now_ms + 300
    )
    assert any(model.cpu_caps("a", best_effort_tasks, now_ms + 300).values())


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
    assert model.cpu_caps("a", best_effort_tasks, 40 * REPORT_MS) == {("f", 1): 100}


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
