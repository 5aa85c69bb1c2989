"""Simulation of tasks that crash each worker on which they start.

It uses the model of leader, agents and workers of `test_workflow_simulation`.
"""

import collections

import pytest

from sardinegauge.workflows import workflow
from tests import workflowsim

WORKER_COUNT = 8
# Time from the start of a poison task to the crash, and from there to the restart.
CRASH_DELAY_MS = 10
DOWN_MS = 3000
# A task that crashed three workers may be started at most two more times.
MAX_STARTS = 5
LEADER_CHANGES_MS = (4000, 7000, 9500, 15_000)


class World(workflowsim.World):
    """Simulation in which the first task of some workflows crashes its workers."""

    is_faulty = False

    def __init__(self, seed, poison_ids, lost_leaders_ms=(), is_silent=False):
        self.poison_ids = poison_ids
        self.is_silent = is_silent
        self.starts_by_task = collections.Counter()
        self.crash_count = 0
        super().__init__(seed, WORKER_COUNT)
        for at_ms in lost_leaders_ms:
            self.schedule(at_ms, self.elect_leader)

    def on_started(self, worker, key):
        task, _ = key
        self.starts_by_task[task] += 1
        if task in {f"{workflow_id}.0.0.0" for workflow_id in self.poison_ids}:
            self.schedule(CRASH_DELAY_MS, lambda: self.crash(worker))

    def crash(self, worker):
        if worker.is_up:
            self.crash_count += 1
            worker.crash()
            self.schedule(DOWN_MS, worker.restart)

    def call(self, agent, state, effect):
        if self.is_silent and not agent.worker.is_up:
            self.schedule(
                workflowsim.CALL_TIMEOUT_MS,
                lambda: self.unanswered(agent, state, effect, False),
            )
        else:
            super().call(agent, state, effect)

    def state_of(self, workflow_id):
        return self.machine.workflows.workflow_by_id[workflow_id].state


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost_leaders_ms", [(), LEADER_CHANGES_MS])
@pytest.mark.parametrize("poison_ids", [{"w2"}, {"w1", "w2", "w3", "w5"}])
def test_task_that_crashes_its_workers_is_given_up_and_no_other_one(
    seed, poison_ids, lost_leaders_ms
):
    world = World(seed, poison_ids, lost_leaders_ms)
    world.run()
    check(world, poison_ids)


@pytest.mark.parametrize("seed", range(6))
def test_task_whose_crashes_close_no_connection_is_given_up_as_well(seed):
    """An agent learns of such a crash from the next incarnation only."""
    world = World(seed, {"w1", "w2"}, is_silent=True)
    world.run()
    check(world, {"w1", "w2"})


def check(world, poison_ids):
    assert world.violations == []
    for workflow_id in poison_ids:
        assert world.starts_by_task[f"{workflow_id}.0.0.0"] <= MAX_STARTS
        assert world.state_of(workflow_id) == workflow.FAILED
    others = world.machine.workflows.workflow_by_id.keys() - poison_ids
    assert {world.state_of(workflow_id) for workflow_id in others} == {"completed"}
