"""Guards against tasks that are lost, or run twice, beside silent workers."""

import pytest

from tests import silencesim


@pytest.mark.parametrize("seed", range(8))
def test_lasting_tasks_run_again_soon_beside_silent_workers_and_frozen_agents(seed):
    """Guards against tasks that stay assigned to a worker that answers nothing."""
    world = silencesim.World(seed)
    world.run()
    assert world.violations == []
    assert world.pauses == []
    assert world.lost_worker.silent_until_ms > world.now_ms
    store = world.machine.workflows
    batch = [item for item in store.workflow_by_id.values() if item.id[0] == "w"]
    assert {item.state for item in batch} <= {"completed", "cancelled"}
