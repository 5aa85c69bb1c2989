"""Guards the planner's indexes, which are updated by each change, against a rebuild."""

import random

import pytest

from sardinegauge import commands
from sardinegauge.state import machine
from sardinegauge.workflows import candidates, placement, planner, store, views
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

WORKERS = ("a", "b", "c")
STEP_COUNT = 150


class RandomLoad:
    """A leader under random submissions, reports, ends, cancels and releases."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.leader = leaderkit.Leader()
        self.incarnations = dict.fromkeys(WORKERS, 1)
        self.ends = dict.fromkeys(WORKERS, 0)
        self.count = 0
        for worker in WORKERS:
            self.report(worker)
        self.leader.settle()

    def report(self, worker, **fields):
        incarnation = self.incarnations[worker]
        runs = [
            [*key, self.random.choice(sorted(views.PHASES - {views.GONE}))]
            for key in self.leader.store.runs_of(worker, incarnation)
            if self.random.random() < 0.8
        ]
        ends = []
        if runs and self.random.random() < 0.5:
            task, run, _ = runs.pop()
            self.ends[worker] += 1
            how = self.random.choice((store.DONE, store.FAILED, store.STOPPED))
            ends = [[self.ends[worker], task, run, how, ""]]
        self.leader.report(
            worker, incarnation=incarnation, runs=runs, ends=ends, **fields
        )

    def submit(self):
        self.count += 1
        first = steps_module.Step(
            count=self.random.randint(1, 5),
            cpu_millis=self.random.choice((500, 2000)),
            memory_mb=self.random.choice((100, 1500)),
            is_filler=self.random.random() < 0.3,
            is_gang=self.random.random() < 0.2,
            max_per_worker=self.random.choice((0, 0, 1)),
        )
        second = first.replace(after=[0], is_gang=False)
        self.leader.submit(first, second, id=f"w{self.count}")

    def cancel(self):
        open_ids = list(self.leader.store.open_ids)
        if open_ids:
            chosen = self.random.choice(open_ids)
            self.leader.commit(commands.CancelWorkflow(id=chosen))

    def restart_worker(self):
        worker = self.random.choice(WORKERS)
        self.incarnations[worker] += 1
        self.ends[worker] = 0
        self.report(worker)

    def step(self):
        action = self.random.random()
        if action < 0.25:
            self.submit()
        elif action < 0.8:
            self.report(self.random.choice(WORKERS))
        elif action < 0.85:
            self.cancel()
        elif action < 0.9:
            self.restart_worker()
        else:
            self.leader.tick(self.random.choice((50, 400)))
        if self.random.random() < 0.7:
            self.leader.settle()


def describe(candidate):
    return (
        candidate.view.id,
        candidate.free,
        candidate.used_millis,
        candidate.best_effort_millis,
        candidate.latency_critical_count,
        [task.key for task in candidate.best_effort_tasks],
    )


@pytest.mark.parametrize("seed", range(20))
def test_indexes_equal_a_rebuild_after_each_change(seed):
    load = RandomLoad(seed)
    state = load.leader.state
    for _ in range(STEP_COUNT):
        load.step()
        kept = state.candidates.find_usable(state, state.now_ms)
        rebuilt = candidates.CandidateIndex().find_usable(state, state.now_ms)
        assert list(map(describe, kept)) == list(map(describe, rebuilt))
        for workflow in load.leader.store.workflow_by_id.values():
            for occurrence in workflow.occurrences.values():
                assert occurrence.waiting_by_step == [
                    sum(not task.is_done and not task.runs for task in tasks)
                    for tasks in occurrence.tasks_by_step
                ]
    restored = machine.from_snapshot(machine.to_snapshot(load.leader.machine))
    for workflow in restored.workflows.workflow_by_id.values():
        original = load.leader.store.workflow_by_id[workflow.id]
        for number, occurrence in workflow.occurrences.items():
            waiting = original.occurrences[number].waiting_by_step
            assert occurrence.waiting_by_step == waiting
    for worker in WORKERS:
        for incarnation in range(1, load.incarnations[worker] + 1):
            has_runs = bool(restored.workflows.runs_of(worker, incarnation))
            found = restored.workflows.incarnations_with_runs(worker)
            assert (incarnation in found) == has_runs


class CountingPlacement(placement.SeparatingPlacement):
    """Counts the scores that a plan needs."""

    def __init__(self):
        self.count = 0

    def score(self, step, candidate, avoided):
        self.count += 1
        return super().score(step, candidate, avoided)


def make_leader(worker_count):
    leader = leaderkit.Leader()
    for number in range(worker_count):
        leader.report(f"w{number}")
    leader.settle()
    leader.state.planner.placement = CountingPlacement()
    return leader


def test_wide_step_scores_each_worker_about_once():
    """Each task of a wide step scored all workers: 6,000 scores for one batch."""
    leader = make_leader(50)
    leader.submit(steps_module.Step(count=40, cpu_millis=1000, memory_mb=10))
    leader.settle()
    assert len(leader.placed()) == 40
    assert leader.state.planner.placement.count <= 50 + 40


def test_plan_without_waiting_tasks_looks_at_no_worker(monkeypatch):
    """Each report led to a plan that built the candidates of all workers."""
    leader = make_leader(5)
    leader.submit(steps_module.Step(cpu_millis=1000))
    leader.settle()

    def fail(*arguments):
        raise AssertionError("a worker was looked at")

    monkeypatch.setattr(candidates.CandidateIndex, "find_usable", fail)
    leader.settle()


def test_overload_tries_each_size_once_per_plan(monkeypatch):
    """Load pattern: many waiting steps of one size and no room for any of them."""
    leader = make_leader(10)
    leader.submit(steps_module.Step(count=80, cpu_millis=1000), id="full")
    leader.settle()
    for number in range(30):
        step = steps_module.Step(count=4, cpu_millis=1000 + 10 * number)
        leader.submit(step, id=f"waits{number}")
    ranked = []
    best = planner._Ranking.best
    monkeypatch.setattr(
        planner._Ranking, "best", lambda self: (ranked.append(self), best(self))[1]
    )
    leader.settle()
    assert len({id(ranking) for ranking in ranked}) == 1


def test_smaller_task_is_placed_though_a_larger_one_fits_nowhere():
    leader = make_leader(1)
    leader.submit(steps_module.Step(cpu_millis=9000, memory_mb=10), id="large")
    leader.submit(steps_module.Step(cpu_millis=100, memory_mb=20), id="small")
    leader.settle()
    assert list(leader.placed()) == ["small.0.0.0"]


def test_refusal_of_one_task_does_not_keep_others_of_its_size_waiting():
    leader = make_leader(1)
    leader.state.refused_until_ms["first.0.0.0", "w0"] = leader.now_ms + 500
    leader.submit(steps_module.Step(cpu_millis=100), id="first")
    leader.submit(steps_module.Step(cpu_millis=100), id="second")
    leader.settle()
    assert list(leader.placed()) == ["second.0.0.0"]
