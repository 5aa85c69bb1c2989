"""Guards against scheduled workflows that stop all service once many times are due."""

from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows import store, views, workflow
from tests import leaderkit

STEP = steps_module.Step(cpu_millis=1000)


def submit_overdue(leader, *found, repeats=43_200):
    """Submit a workflow all of whose times have passed."""
    leader.submit(
        *found,
        repeats=repeats,
        first_at_ms=1,
        interval_ms=(leader.now_ms - 2) // repeats,
    )
    return leader.store.workflow_by_id["w"]


def test_plan_looks_at_a_bounded_part_of_the_due_occurrences():
    """Guards against a plan that creates and walks over all tasks of a half day."""
    leader = leaderkit.Leader()
    leader.report()
    leader.settle()
    overdue = submit_overdue(leader, STEP)
    leader.settle()
    assert len(leader.placed()) == 8
    assert len(overdue.occurrences) <= workflow.MAX_DUE_TASKS + len(leader.placed())


def test_wide_occurrences_count_with_all_their_tasks():
    """Guards against a bound of occurrences that lets through millions of tasks."""
    leader = leaderkit.Leader()
    overdue = submit_overdue(leader, STEP.replace(count=400), STEP.replace(after=[0]))
    leader.settle()
    assert len(overdue.occurrences) == 3


def test_later_occurrences_follow_until_all_are_done():
    """Guards against occurrences beyond the bound that never start."""
    leader = leaderkit.Leader()
    repeats = workflow.MAX_DUE_TASKS + 50
    overdue = submit_overdue(leader, STEP.replace(cpu_millis=20), repeats=repeats)
    number = 0
    while overdue.is_open:
        leader.report()
        leader.settle()
        keys = list(leader.store.runs_of("a", 1))
        assert keys
        rows = [[number + n, *key, store.DONE, ""] for n, key in enumerate(keys, 1)]
        number += len(keys)
        leader.report(ends=rows)
        leader.settle()
    assert overdue.state == workflow.COMPLETED


def test_occurrences_at_work_do_not_hold_up_later_ones():
    """Guards against a bound that leaves workers idle beside long occurrences."""
    leader = leaderkit.Leader()
    leader.report(cpu_millis=4_000_000)
    leader.settle()
    submit_overdue(leader, STEP, repeats=2 * workflow.MAX_DUE_TASKS)
    for _ in range(3):
        runs = [[*key, views.ACTIVE] for key in leader.store.runs_of("a", 1)]
        leader.report(cpu_millis=4_000_000, runs=runs)
        leader.settle()
    assert len(leader.placed()) > workflow.MAX_DUE_TASKS
