"""Guards against refusals of work that could be served, and against second waves."""

import collections

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
POLICY = admission.ByExpectedEnd()
# 100 cores take 200 s for it, and the workflow is worthless after 3 * 4.5 s.
LONG = (0, 1, False, 20_000_000, 0, 1)
# With 60 returning callers of 20,000 core-ms each, 16 s are ahead.
NEAR = (0, 1, False, 2_000_000, 0, 1)


def demand(queue=QUEUE, repeats=0, **fields):
    values = {"count": 10, "cpu_millis": 1000, "estimate_ms": 2000, **fields}
    step = steps_module.Step(**values).to_sparse_dict()
    command = commands.SubmitWorkflow(
        id="w", queue="q", payload="x", steps=[step], repeats=repeats
    )
    return admission.demand_of(queue, command)


def backlog(open_count=10, held=0, work=(), waiting=(), **fields):
    names = admission.Work.field_names()
    pool = admission.PoolBacklog(
        work=[admission.Work(**dict(zip(names, row))) for row in work],
        waiting_returns=[list(row) for row in waiting],
        **{"cores": 100, "memory_mb": 1000, "filler_cores": 200, **fields},
    )
    return admission.Backlog(
        open_count=open_count, held_bytes=held, pool_by_name={"p": pool}
    )


def reason(found, wanted, is_returning=False):
    refusal = POLICY.decide(found, wanted, is_returning)
    return refusal.reason if refusal is not None else None


def test_work_that_is_worthless_at_its_expected_end_is_refused():
    full = backlog(work=[LONG])
    refusal = POLICY.decide(full, demand())
    assert refusal.reason == admission.EXPECTED_END
    assert (refusal.measured, refusal.limit) == (100_200, 13_500)
    assert refusal.wait_ms == pytest.approx(2 * (100_200 - 13_500))
    in_memory = backlog(work=[(0, 1, False, 1, 200_000_000, 1)])
    assert reason(in_memory, demand()) == admission.EXPECTED_END
    assert reason(full, demand(is_persistent=True)) is None
    assert reason(full, demand(repeats=3)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"work": [(1, *LONG[1:])]},  # less urgent
        {"work": [(0, 12, *LONG[2:])]},  # larger
        {"work": [(0, 1, True, *LONG[3:])]},  # best-effort
        {"work": [NEAR]},  # soon done
        {"work": [LONG], "finished_cores": 1000},  # run times declared too long
        {"work": [LONG], "cores": 0},  # no worker seen
        {"work": [LONG], "memory_mb": 0},
    ],
)
def test_work_that_may_end_in_time_is_accepted(change):
    assert reason(backlog(**change), demand()) is None


def test_limits_leave_room_for_persistent_workflows():
    full = admission.OPEN_WORKFLOWS
    for count, *expected in (
        (2240, None, None, None),
        (2300, full, None, None),
        (2800, full, full, None),
        (4000, full, full, None),
    ):
        kinds = demand(is_filler=True), demand(), demand(is_persistent=True)
        found = backlog(open_count=count)
        assert [reason(found, kind) for kind in kinds] == expected, count
    # They have a tenth of the limits for themselves.
    found.persistent_count = 300
    assert reason(found, demand(is_persistent=True)) == full
    held = backlog(held=2 * admission.MAX_HELD_BYTES)
    assert reason(held, demand(is_persistent=True)) is None
    held.persistent_bytes = 0.1 * admission.MAX_HELD_BYTES - 9
    assert reason(held, demand(is_persistent=True)) == admission.HELD_BYTES


@pytest.mark.parametrize(
    "found, newcomer",
    [
        (backlog(open_count=2600, waiting=[(0, 200)]), admission.OPEN_WORKFLOWS),
        (backlog(open_count=2600, waiting=[(2, 900)]), None),  # less urgent
        (backlog(open_count=1300, waiting=[(0, 9000)]), None),  # half is theirs
        (backlog(work=[NEAR], waiting=[(0, 60)]), admission.EXPECTED_END),
    ],
)
def test_newcomers_leave_room_for_refused_callers_who_return(found, newcomer):
    assert reason(found, demand()) == newcomer
    assert reason(found, demand(), is_returning=True) is None


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    fields=strategies.fixed_dictionaries(
        {
            "count": strategies.integers(1, 10_000),
            "cpu_millis": strategies.integers(0, 1_000_000),
            "estimate_ms": strategies.integers(0, 10**9),
            "is_filler": strategies.booleans(),
        }
    ),
    stretch=strategies.floats(0, 10),
    cores=strategies.floats(0, 1e6),
    waiting=strategies.integers(0, 10_000),
)
def test_nothing_is_refused_without_a_backlog(fields, stretch, cores, waiting):
    wanted = demand(QUEUE.replace(stretch=stretch, objective_ms=0), **fields)
    empty = backlog(0, cores=cores, filler_cores=cores, waiting=[(0, waiting)])
    assert reason(empty, wanted) is None
    assert reason(admission.Backlog(), wanted) is None


def test_summary_is_read_back_and_malformed_ones_are_ignored():
    found = backlog(work=[LONG], waiting=[(0, 3)], held=5)
    assert admission.Backlog.from_json(found.to_json()) == found
    pools = [
        "{}",
        '{"work":[[1]]}',
        '{"work":[],"cores":NaN}',
        '{"work":[],"x":1}',
        "3",
    ]
    pools += ['{"work":[],"cores":"x"}', '{"work":[],"waiting_returns":[1]}']
    for text in ("", "null", "{}", "[1,2,3,4,5,6]", "[" * 100_000):
        assert admission.Backlog.from_json(text) is None, text[:60]
    for pool in pools:
        assert admission.Backlog.from_json(f'[0,1,2,3,4,{{"p":{pool}}}]') is None, pool


def seconds(worth_ms, wait_ms=3000, rate_per_s=20, count=600):
    refusal = admission.Refusal(
        reason="r", wait_ms=wait_ms, rate_per_s=rate_per_s, measured=2, limit=1
    )
    return collections.Counter(
        retryafter.retry_after_s(f"w{i}", refusal, worth_ms, i) for i in range(count)
    )


def test_refused_callers_return_at_the_rate_of_the_capacity():
    """A burst of 600 refused within a second must not come back as one."""
    counts = seconds(60_000)
    assert min(counts) == 3
    assert max(counts.values()) <= 21
    # More than the capacity takes in time: spread over all of it, not at its end.
    counts = seconds(10_000)
    assert max(counts) == 10
    assert max(counts.values()) <= 20 + 1.5 * (600 - 140) / 8
    for worth_ms in (-5, 0, 100, 1000, 7900):
        found = seconds(worth_ms, wait_ms=9000, count=50)
        assert 1 <= min(found) <= max(found) <= max(worth_ms // 1000, 1)


def test_return_queue_is_bounded_in_number_and_time():
    waiting = retryafter.ReturnQueue(max_remembered=3)
    for number in range(5):
        waiting.add(f"w{number}", due_s=10, now_s=1)
    assert len(waiting) == 3
    times = (5, 9.6, 15, 15.1)
    returning = [waiting.is_returning("w4", now_s) for now_s in times]
    assert returning == [False, True, True, False]
    waiting.add("w4", due_s=30, now_s=12)
    assert waiting.waited_s("w4", 20) == 19
    waiting.add("x", due_s=99, now_s=60)
    assert len(waiting) == 1
