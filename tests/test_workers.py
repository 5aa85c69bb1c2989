"""Guards against tasks of a lost agent that never run again or run twice, and against a
directory that misses a change."""

from sardinegauge import outcome
from sardinegauge.state import directory, workers
from tests import driver


def test_loss_makes_tasks_pending_under_a_higher_epoch():
    d = driver.Driver()
    d.register()
    job = d.submit(task_count=3)
    first, second, third = d.job(job).task_ids
    for id in (second, first, third):
        d.run(id)
    d.apply("CancelJobs", jobs=["job-0"])
    d.evict(third)
    lost = d.lose()
    assert lost.ids == [first, second, third]
    assert {d.task(id).state for id in lost.ids} == {"pending"}
    assert {d.task(id).epoch for id in lost.ids} == {2}
    assert d.lose().ids == []
    assert d.report(first, "finished", epoch=1).value["late"] == [first]


def test_new_incarnation_frees_the_tasks_of_the_old_one():
    d = driver.Driver()
    d.register()
    id = d.submit() + ".0"
    d.run(id)
    answer = d.register(incarnation="i2")
    assert answer.value == {"freed": [id], "held": []}
    assert (d.task(id).state, d.task(id).epoch) == ("pending", 2)
    assert isinstance(d.register(incarnation="i1"), outcome.Impossible)


def test_tasks_that_may_still_run_keep_their_reservation():
    d = driver.Driver()
    d.register()
    first, second = d.job(d.submit(task_count=2)).task_ids
    d.run(first)
    d.run(second)
    answer = d.register(incarnation="i2", previous_may_run=True)
    assert answer.value == {"freed": [], "held": [first, second]}
    waiting = d.submit() + ".0"
    skipped = d.assign(waiting, incarnation="i2", cores=3.0).value["skipped"]
    assert skipped == {waiting: "no room: cores"}
    assert d.assign(waiting, incarnation="i2").ids == [waiting]
    d.report(first, "stopped", incarnation="i2")
    assert d.task(first).state == "pending"
    assert d.lose().ids == [second]
    assert d.task(waiting).state == "assigned"
    assert not d.worker().is_lost


def test_operators_drain_outlives_a_restart_of_the_agent():
    d = driver.Driver()
    d.register()
    d.drain()
    d.register(incarnation="i2")
    assert d.worker().is_draining
    d.drain(draining=False)
    assert not d.worker().is_draining
    answer = d.drain("w9")
    assert answer.problems == [["upstream", "no such upstream"]]


def test_worker_with_reduced_capacity_accepts_no_growth():
    d = driver.Driver()
    d.register()
    id = d.submit() + ".0"
    d.assign(id, cores=2.0)
    d.register(room={"cores": 1.0})
    assert d.worker().reserved.cores == 2.0
    answer = d.apply("ResizeTasks", cores_by_task={id: 3.0})
    assert answer.value["excess"] == {id: {"cores": 1.0, "memory_mb": 0}}


def test_directory_lists_what_changed():
    d = driver.Driver()
    assert directory.changes(d.machine, 0) == (0, True, [])
    d.register("w1", services=["shelf"])
    d.register("w2")
    version, is_full, listed = directory.changes(d.machine, 0)
    assert is_full
    assert [item.upstream for item in listed] == ["w2", "w1"]
    assert directory.changes(d.machine, version) == (version, False, [])
    d.register("w1", services=["shelf"])
    assert directory.changes(d.machine, version)[2] == [], "nothing has changed"
    d.drain()
    version, is_full, (changed,) = directory.changes(d.machine, version)
    assert (is_full, changed.upstream, changed.draining) == (False, "w1", True)
    d.lose("w2")
    changed = directory.changes(d.machine, version)[2]
    assert [(item.upstream, item.removed) for item in changed] == [("w2", True)]
    assert [item.upstream for item in directory.changes(d.machine, 0)[2]] == ["w1"]
    assert directory.changes(d.machine, 10**6)[1], "a version above the current one"


def test_upstream_serves_a_service_only_while_its_task_runs():
    d = driver.Driver()
    d.register()
    d.declare(1)
    (id,) = d.machine.services.by_name["quote"].task_ids
    seen = []
    version = 0
    for step in (
        lambda: d.assign(id),
        lambda: d.report(id, "running"),
        lambda: d.evict(id),
        lambda: d.report(id, "stopped"),
        lambda: d.run(id),
        lambda: d.lose(),
    ):
        step()
        version, _, changed = directory.changes(d.machine, version)
        seen.append([(item.services, item.removed) for item in changed])
    assert seen == [
        [([], False)],
        [(["quote"], False)],
        [([], False)],
        [([], False)],
        [(["quote"], False)],
        [([], True)],
    ]


def test_forgotten_workers_force_a_full_directory(monkeypatch):
    monkeypatch.setattr(workers, "MAX_LOST_WORKERS", 1)
    d = driver.Driver()
    d.register("w1")
    d.register("w2")
    d.register("w3")
    version = directory.changes(d.machine, 0)[0]
    for upstream in ("w1", "w2"):
        d.lose(upstream)
    assert sorted(d.machine.workers.by_upstream) == ["w2", "w3"]
    _, is_full, listed = directory.changes(d.machine, version)
    assert is_full
    assert [item.upstream for item in listed] == ["w3"]
