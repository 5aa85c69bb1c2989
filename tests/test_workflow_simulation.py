"""Guards against duplicate, lost and overcommitted runs under random faults."""

import pytest

from tests import workflowsim


@pytest.mark.parametrize("seed", range(24))
def test_guarantees_hold_under_faults_and_all_work_ends(seed):
    world = workflowsim.World(seed)
    world.run()
    assert world.violations == []
    store = world.machine.workflows
    assert {item.state for item in store.workflow_by_id.values()} <= {
        "completed",
        "cancelled",
    }
    assert len(store.workflow_by_id) == 12
    assert store.runs_by_incarnation == {}
