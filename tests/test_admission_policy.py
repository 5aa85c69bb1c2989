"""Guards against refusals of work that could be served, and against second waves."""

import collections
import json

import hypothesis
import pytest
from hypothesis import strategies

from sardinegauge import commands
from sardinegauge.workflows import queues
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import admission, retryafter

QUEUE = queues.Queue(
    name="q", host="h", prefix="/", pool="p", stretch=2.0, objective_ms=500
)


def demand(queue=QUEUE, repeats=0, **fields):
    values = {"count": 10, "cpu_millis": 1000, "estimate_ms": 2000, **fields}
    step = steps_module.Step(**values).to_sparse_dict()
    command = commands.SubmitWorkflow(
        id="w", queue="q", payload="x", steps=[step], repeats=repeats
    )
    return admission.demand_of(queue, command)


def backlog(open_count=10, held=0, work=(), waiting=(), **fields):
    values = {"cores": 100, "memory_mb": 1000, "filler_cores": 200, **fields}
    pool = admission.PoolBacklog(
        work=[
            admission.Work(priority=priority, size_class=size, core_ms=amount, **more)
            for priority, size, amount, more in work
        ],
        waiting_returns=[list(row) for row in waiting],
        **values,
    )
    return admission.Backlog(
        open_count=open_count, held_bytes=held, pool_by_name={"p": pool}
    )


POLICY = admission.ByExpectedEnd()
# 100 cores take 200 s for it, and the workflow is worthless after 3 * 4.5 s.
LONG = (0, 1, 20_000_000, {})


def reason(found, wanted, is_returning=False):
    refusal = POLICY.decide(found, wanted, is_returning)
    return refusal.reason if refusal is not None else None


def test_work_that_is_worthless_at_its_expected_end_is_refused():
    full = backlog(work=[LONG])
    refusal = POLICY.decide(full, demand())
    assert refusal.reason == admission.EXPECTED_END
    assert (refusal.measured, refusal.limit) == (100_200, 13_500)
    assert refusal.wait_ms == pytest.approx(2 * (100_200 - 13_500))
    assert admission.AcceptAll().decide(full, demand()) is None


@pytest.mark.parametrize(
    "change",
    [
        {"work": [(1, 1, 20_000_000, {})]},
        {"work": [(0, 12, 20_000_000, {})]},
        {"work": [(0, 1, 20_000_000, {"is_filler": True})]},
        {"work": [(0, 1, 2_000_000, {})]},
        {"work": [LONG], "finished_cores": 1000},
        {"work": [LONG], "cores": 0},
        {"work": [LONG], "memory_mb": 0},
    ],
    ids=[
        "less urgent",
        "larger",
        "best-effort",
        "soon done",
        "fast in fact",
        "no worker seen",
        "no memory seen",
    ],
)
def test_work_that_may_end_in_time_is_accepted(change):
    """Each is a kind of backlog that does not delay the workflow until it is late."""
    assert reason(backlog(**change), demand()) is None


def test_memory_of_the_backlog_counts():
    rows = [(0, 1, 1, {"memory_mb_ms": 200_000_000})]
    assert reason(backlog(work=rows), demand()) == admission.EXPECTED_END


def test_persistent_and_scheduled_workflows_do_not_wait_for_the_backlog():
    full = backlog(work=[LONG])
    assert reason(full, demand(is_persistent=True)) is None
    assert reason(full, demand(repeats=3)) is None


def test_limits_leave_room_for_persistent_workflows():
    for count, filler, batch, persistent in (
        (2240, None, None, None),
        (2300, admission.OPEN_WORKFLOWS, None, None),
        (2800, admission.OPEN_WORKFLOWS, admission.OPEN_WORKFLOWS, None),
        (3000, *[admission.OPEN_WORKFLOWS] * 3),
    ):
        found = backlog(open_count=count)
        assert reason(found, demand(is_filler=True)) == filler, count
        assert reason(found, demand()) == batch, count
        assert reason(found, demand(is_persistent=True)) == persistent, count
    held = backlog(held=admission.MAX_HELD_BYTES - 9)
    assert reason(held, demand(is_persistent=True)) == admission.HELD_BYTES


def test_newcomers_leave_room_for_refused_callers_who_return():
    found = backlog(open_count=2600, waiting=[(0, 200), (2, 900)])
    assert reason(found, demand()) == admission.OPEN_WORKFLOWS
    assert reason(found, demand(), is_returning=True) is None
    # Callers of less urgent work wait for no room that this one could take.
    assert reason(backlog(open_count=2600, waiting=[(2, 900)]), demand()) is None
    # However many wait, newcomers get half of the limit.
    assert reason(backlog(open_count=1300, waiting=[(0, 9000)]), demand()) is None
    # Returning callers bring 60 times 20,000 core-ms, which is 0.5 * 12 s ahead.
    near = backlog(work=[(0, 1, 2_000_000, {})], waiting=[(0, 60)])
    assert reason(near, demand()) == admission.EXPECTED_END
    assert reason(near, demand(), is_returning=True) is None


STEPS = {
    "count": strategies.integers(1, 10_000),
    "cpu_millis": strategies.integers(0, 1_000_000),
    "estimate_ms": strategies.integers(0, 10**9),
    "is_filler": strategies.booleans(),
    "is_persistent": strategies.booleans(),
}


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    fields=strategies.fixed_dictionaries(STEPS),
    stretch=strategies.floats(0, 10),
    objective_ms=strategies.floats(0, 1e6),
    cores=strategies.floats(0, 1e6),
    priority=strategies.integers(-1000, 1000),
    waiting=strategies.integers(0, 10_000),
)
def test_nothing_is_refused_without_a_backlog(
    fields, stretch, objective_ms, cores, priority, waiting
):
    queue = QUEUE.replace(stretch=stretch, objective_ms=objective_ms, priority=priority)
    empty = backlog(
        open_count=0, cores=cores, filler_cores=cores, waiting=[(priority, waiting)]
    )
    assert reason(empty, demand(queue, **fields)) is None
    assert reason(admission.Backlog(), demand(queue, **fields)) is None


def test_invalid_workflow_is_left_to_the_machine():
    """It must be answered as invalid, not as refused."""
    assert demand(count=0) is None
    assert demand(count=10**9) is None
    assert demand(after=["x"]) is None


def test_summary_is_read_back_and_malformed_ones_are_ignored():
    found = backlog(work=[LONG], waiting=[(0, 3)], held=5)
    assert admission.Backlog.from_json(found.to_json()) == found
    for data in (
        b"",
        b"null",
        b"{}",
        b"[1,2,3]",
        b'[1,2,{"p":{}}]',
        b'[1,2,{"p":{"work":[[1]]}}]',
        b'[1,2,{"p":{"work":[],"cores":"x"}}]',
        b'[1,2,{"p":{"work":[],"cores":NaN}}]',
        b'[1,2,{"p":{"work":[],"unknown":1}}]',
        b'[1,2,{"p":{"work":[],"waiting_returns":[1]}}]',
        b"[" * 100_000,
        json.dumps([1, 2, {"p": 3}]).encode(),
    ):
        assert admission.Backlog.from_json(data) is None, data[:60]


def refusal(wait_ms, rate_per_s):
    return admission.Refusal(
        reason="r", wait_ms=wait_ms, rate_per_s=rate_per_s, measured=2, limit=1
    )


def test_retry_after_is_whole_positive_and_within_the_worth_of_the_work():
    seconds = retryafter.retry_after_s
    assert seconds("w", refusal(0, 10), 60_000, 0) == 1
    assert seconds("w", refusal(2500, 10), 60_000, 0) == 3
    assert seconds("w", refusal(2500, 10), 60_000, 100) == 13
    for worth_ms in (-5, 0, 100, 1000, 7900):
        for position in (0, 10, 1000):
            found = seconds("w", refusal(9000, 3), worth_ms, position)
            assert 1 <= found <= max(worth_ms // 1000, 1)


def test_refused_callers_return_at_the_rate_of_the_capacity():
    """A burst of 600 refused within a second must not come back as one."""
    counts = collections.Counter(
        retryafter.retry_after_s(f"w{i}", refusal(3000, 20), 60_000, i)
        for i in range(600)
    )
    assert min(counts) == 3
    assert max(counts.values()) <= 21
    # More than the capacity takes in time: spread over all of it, not at its end.
    counts = collections.Counter(
        retryafter.retry_after_s(f"w{i}", refusal(3000, 20), 10_000, i)
        for i in range(600)
    )
    assert max(counts) == 10
    assert max(counts.values()) <= 20 + 1.5 * (600 - 140) / 8


def test_return_queue_is_bounded_in_number_and_time():
    waiting = retryafter.ReturnQueue(max_remembered=3)
    for number in range(5):
        waiting.add(f"w{number}", due_s=10, now_s=1)
    assert len(waiting) == 3
    assert not waiting.is_returning("w4", 5)
    assert waiting.is_returning("w4", 9.6)
    assert waiting.is_returning("w4", 15)
    assert not waiting.is_returning("w4", 15.1)
    waiting.add("w4", due_s=30, now_s=12)
    assert waiting.waited_s("w4", 20) == 19
    waiting.add("x", due_s=99, now_s=60)
    assert len(waiting) == 1
