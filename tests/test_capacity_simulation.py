"""Simulation of workers whose capacity shrinks and grows while they run.

It uses the model of leader, agents and workers of `test_workflow_simulation`, with its
faults.
"""

import pytest

from tests import workersim, workflowsim

# A start may rely on a capacity that shrank within the time of contact and one
# announcement.
SHRINK_SLACK_MS = 4500
CAPACITIES_MILLIS = (2000, 4000, 6000, 8000)


class World(workflowsim.World):
    """Simulation in which capacities change at random."""

    def __init__(self, seed):
        self.changes_by_worker = {}
        super().__init__(seed)
        self.schedule(2000, self.change_capacity)

    def change_capacity(self):
        worker = self.random.choice(self.workers)
        former = self.changes_by_worker.setdefault(worker.id, [])
        former.append((self.now_ms, worker.capacity_millis))
        is_over = not self.is_faulty
        worker.capacity_millis = (
            workersim.CAPACITY_MILLIS
            if is_over
            else self.random.choice(CAPACITIES_MILLIS)
        )
        self.schedule(self.random.randint(300, 3000), self.change_capacity)

    def allowed_millis(self, worker):
        recent = [
            capacity
            for changed_ms, capacity in self.changes_by_worker.get(worker.id, [])
            if self.now_ms - changed_ms <= SHRINK_SLACK_MS
        ]
        return max([worker.capacity_millis, *recent])


@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_a_capacity_that_shrank(seed):
    world = World(seed)
    world.run()
    assert world.violations == []
    states = {item.state for item in world.machine.workflows.workflow_by_id.values()}
    assert states <= {"completed", "cancelled"}
