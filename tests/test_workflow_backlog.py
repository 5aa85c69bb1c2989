"""Guards against summaries of the open work that cause wrong refusals."""

import json
import tracemalloc

import pytest

from sardinegauge import commands
from sardinegauge.agreement import raft
from sardinegauge.links import messages
from sardinegauge.state import replica
from sardinegauge.workflows import backlog
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import admission
from tests import leaderkit, test_malformed_commands

STEP = steps_module.Step(count=4, cpu_millis=2000, memory_mb=100, estimate_ms=1000)
BEST_EFFORT = STEP.replace(is_filler=True)
CRITICAL = STEP.replace(count=1, is_persistent=True, target_ms=10)


@pytest.fixture
def leader():
    found = leaderkit.Leader()
    found.report()
    found.settle()
    return found


def pool_of(leader, ms=backlog.INTERVAL_MS, **report):
    leader.report(**report)
    leader.tick(ms)
    return leader.state.backlog.current.pool_by_name["p"]


def test_open_work_is_summed_by_priority_size_and_kind(leader):
    leader.submit(STEP, id="a")
    leader.submit(STEP, STEP.replace(after=[0]), id="b")
    leader.submit(BEST_EFFORT, id="c", queue="low")
    names = admission.Work.field_names()
    rows = [[getattr(work, n) for n in names] for work in pool_of(leader).work]
    # 8,000 and 16,000 core-ms are in one class, since 4**7 is 16,384.
    assert rows == [[0, 7, False, 24_000, 1_200_000, 2], [2, 7, True, 8000, 400_000, 1]]
    current = leader.state.backlog.current
    steps = [[STEP], [STEP, STEP.replace(after=[0])], [BEST_EFFORT]]
    held = sum(admission.held_bytes(s, "x") for s in steps)
    assert (current.open_count, current.held_bytes) == (3, held)
    # Work that is worthless by now is not ahead of other work.
    assert [work.priority for work in pool_of(leader, ms=4000).work] == [0]


def test_capacity_counts_usable_workers_less_persistent_tasks(leader):
    leader.submit(CRITICAL, CRITICAL, id="lasting")
    leader.settle()
    pool = pool_of(leader)
    assert (pool.cores, pool.memory_mb, pool.filler_cores) == (4, 7800, 7.2)
    assert pool.work == []
    # A worker that is silent for a moment still counts, a draining one does not.
    assert pool_of(leader, ms=5000).cores == 4
    with pytest.raises(KeyError):
        pool_of(leader, is_draining=True)


def test_finished_work_and_workflows_show_as_rates(leader):
    leader.submit(STEP, id="a")
    pool_of(leader)
    leader.settle()
    ends = [[n + 1, f"a.0.0.{n}", 1, "done", ""] for n in range(4)]
    leader.commit(commands.RecordEnds(worker="a", life=1, rows=ends[:2]))
    assert pool_of(leader, 4500).finished_cores == pytest.approx(4000 / 4500)
    leader.commit(commands.RecordEnds(worker="a", life=1, rows=ends[2:]))
    # The work of a cancelled workflow did not end.
    leader.submit(STEP, id="b")
    pool_of(leader)
    leader.commit(commands.CancelWorkflow(id="b"))
    whole = pool_of(leader, ms=4500)
    assert whole.finished_cores == pytest.approx(8000 / 9500)
    assert whole.ended_per_s == pytest.approx(1 / 9.5)
    assert pool_of(leader, ms=10_000).ended_per_s == 0


def test_new_leader_and_stalled_leader_give_no_summary(leader):
    summary = leader.state.backlog.summary
    for _ in range(backlog.WARM_UP_MS // 100):
        leader.tick(100)
        assert summary(leader.now_ms) == b""
    leader.tick(100)
    assert admission.Backlog.from_json(summary(leader.now_ms)).open_count == 0
    assert summary(leader.now_ms + 2 * backlog.INTERVAL_MS + 100) == b""


def test_refused_callers_who_are_to_return_are_counted_by_priority(leader):
    for number, queue in enumerate(["q", "low", "low", "removed"]):
        refusal = commands.RefuseWorkflow(id=f"w{number}", queue=queue, retry_after_s=2)
        leader.commit(refusal)
    pool = pool_of(leader)
    assert pool.waiting_returns == [[0, 1], [2, 2]]
    assert [pool.count_waiting_returns(priority) for priority in (-1, 0, 2)] == [
        0,
        1,
        3,
    ]
    assert pool_of(leader, ms=7000).waiting_returns == []


def test_poll_reply_carries_summary_and_index_of_refusals():
    leader = test_malformed_commands.Leader()

    def poll():
        token = leader.send_request(messages.Poll(name="front"))
        leader.dispatch(raft.Tick(now_ms=leader.now_ms, jitter=0.5))
        leader.persist()
        return leader.replies[token]

    assert (poll().backlog, poll().refusal_index) == (b"", 0)
    for _ in range(25):
        leader.now_ms += 100
        leader.dispatch(raft.Tick(now_ms=leader.now_ms, jitter=0.5))
        leader.dispatch(replica.SchedulerTick(now_ms=leader.now_ms, wall_ms=9))
        leader.persist()
    assert admission.Backlog.from_json(poll().backlog).open_count == 1
    leader.propose_command(commands.RefuseWorkflow(id="x", queue="q", retry_after_s=1))
    assert poll().refusal_index == leader.state.applied_index


@pytest.mark.parametrize(
    "step_count, task_count, payload, label",
    [(2, 20, 200, 0), (1, 1, 0, 0), (10, 1, 0, 0), (1, 999, 9, 0), (100, 1, 0, 200)],
)
def test_estimate_of_held_bytes_is_what_a_replica_holds(
    leader, step_count, task_count, payload, label
):
    """With a lower estimate, the limit would not keep a replica within its memory."""
    steps = [
        STEP.replace(
            count=task_count,
            after=list(range(number if label else min(number, 1))),
            image="i" * label,
            preferred_rack="r" * label,
        )
        for number in range(step_count)
    ]
    plain = json.dumps([step.to_sparse_dict() for step in steps])
    del leader.state  # Only the machine is measured.
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(50):
        id = f"{number:016x}"
        leader.commit(
            commands.SubmitWorkflow(
                id=id, queue="q", payload="x" * payload, steps=json.loads(plain)
            )
        )
        leader.store.workflow_by_id[id].due_occurrences(1)
        rows = [[t.id, 1, "a", 1] for t in leader.store.workflow_by_id[id].tasks()]
        leader.commit(commands.AssignRuns(rows=json.loads(json.dumps(rows))))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    measured = (after - before) / 50
    assert leader.placed()
    estimate = admission.held_bytes(steps, "x" * payload)
    assert 0.85 * measured <= estimate <= 1.3 * measured
