"""Guards against runs that an agent's restart doubles or loses."""

import pytest

from tests import restartsim


@pytest.mark.parametrize("seed", range(8))
def test_no_task_runs_twice_beside_restarting_agents_and_late_starts(seed):
    """Guards against a late start of a former process beside a refused one."""
    world = restartsim.World(seed)
    world.run()
    assert world.violations == []
    store = world.machine.workflows
    assert {item.state for item in store.workflow_by_id.values()} == {"completed"}


@pytest.mark.parametrize("seed", range(6, 10))
def test_run_of_a_former_life_is_stopped_before_its_task_starts_again(seed):
    """Guards against a late start of an ended run that is taken for an old report."""
    world = restartsim.World(seed, crash_share=0.35)
    world.run()
    assert world.violations == []
    store = world.machine.workflows
    # A task that is lost in several crashes is given up as their cause.
    assert {item.state for item in store.workflow_by_id.values()} <= {
        "completed",
        "failed",
    }
