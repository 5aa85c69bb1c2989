"""Guards the limit of a step on a worker under drains, displacements and losses."""

import random

import pytest

from sardinegauge import commands
from sardinegauge.workflows import decisions, schedulerevents, steps
from tests import test_workflow_drainmoves

DOMAIN_BY_WORKER = {f"{domain}-{n}": domain for domain in ("z1", "z2") for n in "12"}
ROUNDS = 300
MOVES_AND_LAPSES = ("lapse",)
ALL_FAULTS = ("lapse",) * 10 + ("lose", "return", "shrink", "grow", "fill")
# Share of the rounds in which a worker carries out no orders.
LATE_SHARE = 0.8
LIMITED = steps.Step(
    count=3,
    cpu_millis=2000,
    memory_mb=2000,
    is_persistent=True,
    target_ms=50,
    max_per_worker=1,
)
BEST_EFFORT = steps.Step(
    count=4,
    cpu_millis=2000,
    memory_mb=1500,
    estimate_ms=60_000,
    is_filler=True,
    is_checkpointing=True,
)


class Fleet(test_workflow_drainmoves.Fleet):
    """A fleet with faults drawn from a seed, which checks each start."""

    def __init__(self, seed, faults):
        self.faults = faults
        self.random = random.Random(seed)
        self.silent = set()
        self.memory_mb_by_worker = dict.fromkeys(DOMAIN_BY_WORKER, 8000)
        self.violations = []
        self.refused = []
        self.decisions = set()
        super().__init__(**DOMAIN_BY_WORKER)

    def apply_effects(self, effects):
        super().apply_effects(effects)
        for effect in effects:
            if isinstance(effect, schedulerevents.RowsDecided):
                self.decisions.add(effect.decision)
                if effect.result == decisions.LIMIT:
                    self.refused.append(effect.decision)

    def execute(self, worker):
        is_late = self.random.random() < LATE_SHARE
        if worker in self.silent or is_late:
            return
        former = set(self.active[worker])
        super().execute(worker)
        for key in self.active[worker].keys() - former:
            self.check_start(worker, key, former)

    def check_start(self, worker, key, former):
        task, _ = key
        step_id = task.rpartition(".")[0]
        _, _, found = self.store.find_task(task)
        present = former | self.active[worker].keys()
        count = sum(other.rpartition(".")[0] == step_id for other, _ in present)
        if 0 < found.step.max_per_worker < count:
            self.violations.append(f"{self.now_ms}: {task} on {worker} beside {former}")

    def send_report(self, worker):
        if worker not in self.silent:
            super().send_report(worker)

    def report_fields(self, worker):
        return {"memory_mb": self.memory_mb_by_worker[worker]}

    def fault(self):
        worker = self.random.choice(list(DOMAIN_BY_WORKER))
        kind = self.random.choice(self.faults)
        if kind == "lapse" and self.active[worker] and worker not in self.silent:
            self.end_lease(worker, self.random.choice(list(self.active[worker])))
        elif kind == "lose" and not self.silent:
            self.silent.add(worker)
        elif kind == "return":
            self.silent.clear()
        elif kind in ("shrink", "grow"):
            self.memory_mb_by_worker[worker] = 4000 if kind == "shrink" else 8000
        elif kind == "fill":
            self.submit(BEST_EFFORT, id=f"f{self.now_ms}", queue="low")

    def end_lease(self, worker, key):
        del self.active[worker][key]
        number = len(self.ends[worker]) + 1
        self.ends[worker].append([number, *key, "lapsed", ""])

    def run(self):
        for number in range(ROUNDS):
            if number % 40 == 0:
                self.submit(LIMITED, id=f"w{number}")
            if number % 40 == 39 and number > 80:
                self.commit(commands.CancelWorkflow(id=f"w{number - 119}"))
            domain = self.random.choice(("z1", "z2"))
            if number % 60 == 40 and not self.state.domain_drains.by_domain:
                self.drain(domain)
            elif number % 60 == 20:
                self.drain("z1", undo=True)
                self.drain("z2", undo=True)
            if self.random.random() < 0.7:
                self.fault()
            self.play(1)


@pytest.mark.parametrize("faults", [MOVES_AND_LAPSES, ALL_FAULTS])
@pytest.mark.parametrize("seed", range(8))
def test_no_worker_is_started_beyond_the_limit_of_a_step(seed, faults):
    """Failure: two modules promised one worker to two tasks of a step."""
    fleet = Fleet(seed, faults)
    fleet.run()
    assert fleet.violations == []
    # The log refuses what a decision got wrong, which must not hide it.
    assert fleet.refused == []
