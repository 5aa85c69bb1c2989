"""Guards against tasks that run twice, resume twice or exceed a worker's capacity."""

from sardinegauge import commands
from tests import driver


def running_task(d, **fields):
    d.register()
    id = d.submit(**fields) + ".0"
    d.run(id)
    return id


def test_skipped_assignments_name_their_reason():
    d = driver.Driver()
    d.register()
    for upstream in ("w2", "w3", "w4"):
        d.register(upstream)
    d.drain("w2")
    d.lose("w3")
    id = d.submit() + ".0"

    def reason(**fields):
        answer = d.assign(id, **fields)
        assert answer.ids == []
        return answer.value["skipped"][id]

    assert reason(epoch=2) == "epoch must be 1"
    assert reason(upstream="w9") == "no such upstream"
    assert reason(incarnation="i2") == "incarnation is i1"
    assert reason(upstream="w2") == "worker is draining"
    assert reason(upstream="w3") == "worker is lost"
    assert reason(cores=4.5) == "no room: cores"
    assert reason(memory_mb=4001) == "no room: memory_mb"
    assert reason(accelerators=2) == "no room: accelerators"
    assert reason(connections=65) == "no room: connections"
    assert d.assign(id).ids == [id]
    assert reason(upstream="w4", epoch=2) == "task is assigned"


def test_reserved_cores_add_up_exactly():
    # 0.1 + 0.2 + 0.3 is above 0.6 in floats, and its sum depends on the order.
    d = driver.Driver()
    d.register(room={"cores": 0.6})
    for cores in (0.1, 0.2, 0.3):
        assert d.assign(d.submit(cores=0.1) + ".0", cores=cores).ids
    assert d.worker().reserved.cores == 0.6


def test_quarantined_worker_holds_one_probe():
    d = driver.Driver()
    d.register()
    d.apply("QuarantineWorker", upstream="w1")
    job = d.submit(task_count=2)
    assert d.assign(f"{job}.0", f"{job}.1").ids == [f"{job}.0"]


def test_cancelled_task_keeps_its_reservation_until_it_stops():
    d = driver.Driver()
    id = running_task(d)
    d.assign(d.submit() + ".0", cores=3.0)
    d.apply("CancelJobs", jobs=[d.task(id).job])
    waiting = d.submit() + ".0"
    assert d.assign(waiting).value["skipped"] == {waiting: "no room: cores"}
    d.report(id, "stopped")
    assert d.task(id).state == "cancelled"
    assert d.assign(waiting).ids == [waiting]


def test_evicted_task_resumes_once_with_its_checkpoint():
    d = driver.Driver()
    id = running_task(d)
    assert d.evict(id).ids == [id]
    assert d.task(id).state == "evicting"
    assert d.worker().task_ids == {id}
    assert d.assign(id).value["skipped"] == {id: "task is evicting"}
    d.report(id, "stopped", checkpoint="c7")
    assert (d.task(id).state, d.task(id).checkpoint) == ("pending", "c7")
    assert d.report(id, "stopped", checkpoint="c6").value["late"] == [id]
    d.assign(id)
    assert d.report(id, "stopped", epoch=1, checkpoint="c6").value["late"] == [id]
    task = d.task(id)
    assert (task.state, task.epoch, task.evictions) == ("assigned", 2, 1)
    assert task.checkpoint == "c7"


def test_only_the_upstream_of_a_task_reports_it():
    d = driver.Driver()
    id = running_task(d)
    d.register("w2")
    for place in ({"upstream": "w2"}, {"incarnation": "i0"}, {"upstream": "w9"}):
        assert d.report(id, "stopped", **place).value["late"] == [id]
    assert d.task(id).state == "running"


def test_task_that_finishes_while_evicting_does_not_resume():
    d = driver.Driver()
    id = running_task(d)
    d.evict(id)
    d.report(id, "finished")
    assert (d.task(id).state, d.task(id).evictions) == ("finished", 0)


def test_failures_name_their_upstreams():
    d = driver.Driver()
    id = running_task(d)
    d.report(id, "failed", reason="exit status 3")
    task = d.task(id)
    assert (task.state, task.failures, task.failed_upstreams) == ("pending", 1, ["w1"])
    assert task.reason == "exit status 3"


def test_gang_starts_as_a_whole():
    d = driver.Driver()
    d.register()
    job = d.submit(task_count=3, gang=True, cores=1.5)
    ids = d.job(job).task_ids
    answer = d.assign(*ids, cores=1.5)
    assert answer.ids == []
    assert answer.value["skipped"][ids[0]] == "gang is not complete"
    assert [d.task(id).epoch for id in ids] == [0, 0, 0]
    assert d.worker().reserved.cores == 0.0
    assert d.assign(*ids, cores=1.0).ids == ids
    d.report(ids[0], "failed")
    assert d.assign(ids[0]).ids == [ids[0]]


def test_resize_stops_at_the_capacity_and_lists_the_excess():
    d = driver.Driver()
    d.register()
    job = d.submit(task_count=3)
    first, second, third = d.job(job).task_ids
    d.assign(first, second, cores=2.0, memory_mb=1000)
    answer = d.apply(
        "ResizeTasks",
        cores_by_task={second: 3.5, first: 1.0, third: 1.0},
        memory_mb_by_task={second: 5000},
    )
    assert answer.ids == [second, first]
    assert answer.value["excess"] == {second: {"cores": 0.5, "memory_mb": 2000}}
    assert answer.value["skipped"] == {third: "task is pending"}
    assert (d.task(second).cores, d.task(second).memory_mb) == (3.0, 3000)


def test_unknown_change_does_not_discard_a_report():
    # An agent repeats its report until it is accepted, so it would repeat a refused
    # report for ever.
    d = driver.Driver()
    id = running_task(d)
    unknown = commands.TaskChange(task="", epoch=0, phase="resting", reason="x" * 5000)
    stop = commands.TaskChange(task=id, epoch=1, phase="stopped", reason="y" * 5000)
    answer = d.apply(
        "ReportTasks", upstream="w1", incarnation="i1", changes=[unknown, stop]
    )
    assert (answer.ids, answer.value["late"]) == ([id], [""])
    assert len(d.task(id).reason) == 300
