"""Guards against lasting tasks that wait behind other work after their worker is lost.

Few workers are usable at first, and the lasting workflow was accepted long ago.
"""

from sardinegauge import commands
from sardinegauge.workflows import queues, views
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

Step = steps_module.Step

LASTING = Step(
    count=4, cpu_millis=2000, estimate_ms=500, target_ms=50, is_persistent=True
)
BATCH = Step(count=4, cpu_millis=2000, estimate_ms=1000)
LONG_AFTER_MS = 60_000


def running_on(leader, worker):
    return [[*key, views.ACTIVE] for key in leader.store.runs_of(worker, 1)]


def configure(leader):
    """Give both queues the same priority, and a time in which work should end."""
    queue = queues.Queue(
        name="q",
        host="h",
        prefix="/q/",
        pool="p",
        timeout_ms=1,
        stretch=2.0,
        objective_ms=1000,
        max_attempts=9,
    )
    packed = queues.pack([queue], [queues.Pool(name="p")])
    leader.commit(commands.SetQueues(version=2, packed=packed))


def test_lost_task_of_a_wide_lasting_workflow_starts_before_later_batches():
    leader = leaderkit.Leader()
    configure(leader)
    for worker in "ab":
        leader.report(worker)
    leader.settle()
    leader.submit(LASTING.replace(count=6), id="lasting")
    leader.settle()
    count_by_worker = {name: len(leader.store.runs_of(name, 1)) for name in "ab"}
    assert sorted(count_by_worker.values()) == [2, 4]
    lost, kept = sorted("ab", key=count_by_worker.get)
    leader.now_ms += LONG_AFTER_MS
    leader.report(kept, runs=running_on(leader, kept))
    # The other worker restarts, and has room for two tasks after a while.
    for _ in range(2):
        leader.report(lost, incarnation=2, cpu_millis=0)
        leader.settle()
    assert len(leader.placed()) == 4
    leader.submit(BATCH.replace(count=2), id="batch")
    leader.report(lost, incarnation=2, cpu_millis=4000)
    leader.settle()
    assert all(task.startswith("lasting") for task in leader.placed())
    assert len(leader.placed()) == 6


def test_old_lasting_workflow_starts_before_later_batches_after_a_loss():
    leader = leaderkit.Leader()
    configure(leader)
    leader.report("a")
    leader.settle()
    leader.submit(LASTING, id="lasting")
    leader.settle()
    assert len(leader.placed()) == 4
    leader.tick(LONG_AFTER_MS)
    # All power is lost; one worker is back, and callers have sent new work.
    leader.start_term(term=2)
    for number in range(3):
        leader.submit(BATCH, id=f"batch{number}")
    leader.report("a", incarnation=2)
    leader.settle()
    leader.report("a", incarnation=2)
    leader.settle()
    found = sorted(leader.placed())
    assert found == [f"lasting.0.0.{number}" for number in range(4)]
