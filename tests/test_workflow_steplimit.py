"""Guards the limit of a step's tasks on a worker, which several modules keep."""

from sardinegauge.workflows import schedulerevents, steps
from tests import leaderkit


def test_log_and_metrics_tell_which_decision_chose_a_worker(caplog):
    """Failure: the start beyond a limit could not be traced to a module."""
    caplog.set_level("INFO")
    leader = leaderkit.Leader()
    counted = []
    apply_effects = leader.apply_effects

    def record_effects(effects):
        counted.extend(
            (effect.decision, effect.result, effect.count)
            for effect in effects
            if isinstance(effect, schedulerevents.RowsDecided)
        )
        apply_effects(effects)

    leader.apply_effects = record_effects
    leader.report()
    leader.submit(steps.Step(count=2, cpu_millis=1000))
    leader.settle()
    assert counted == [("plan", "assigned", 2)]
    assert "by=plan result=assigned" in caplog.text
