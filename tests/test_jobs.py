"""Guards against jobs and services that lose tasks or are active after their end."""

from sardinegauge import outcome
from sardinegauge.state import jobs, queries
from tests import driver


def test_job_without_any_worker_that_fits_is_impossible():
    d = driver.Driver()
    assert isinstance(d.submit(accelerators=9), str), "no worker is known yet"
    d.register()
    sizes = {"name": "sweep", "tenant": "t", "cores": 1.0, "memory_mb": 1}
    for wanted in ({"cores": 4.1}, {"memory_mb": 4001}, {"accelerators": 2}):
        answer = d.apply("SubmitJob", **{**sizes, **wanted})
        assert isinstance(answer, outcome.Impossible)
    d.lose()
    assert d.apply("SubmitJob", **sizes).ids, "a lost worker may return"


def test_cancel_is_final_and_names_every_id():
    d = driver.Driver()
    d.register()
    first, second = d.submit(), d.submit(task_count=2)
    d.run(f"{first}.0")
    d.report(f"{first}.0", "finished")
    d.run(f"{second}.0")
    answer = d.apply("CancelJobs", jobs=[first, second, "job-999", second])
    assert answer.ids == [second]
    assert answer.value == {"unknown": ["job-999"], "ended": [first]}
    d.report(f"{second}.0", "finished")
    d.apply("FailJob", job=second, reason="late")
    assert {d.task(id).state for id in d.job(second).task_ids} == {"cancelled"}
    assert d.job(second).state == "cancelled"
    assert d.worker().reserved.tasks == 0


def test_failed_job_keeps_the_reason():
    d = driver.Driver()
    job = d.submit(task_count=2)
    d.apply("FailJob", job=job, reason="failed on 3 workers", impossible=True)
    shown = queries.answer(d.machine, "job", {"id": job})
    assert (shown["state"], shown["reason"]) == ("impossible", "failed on 3 workers")
    assert d.machine.tasks.pending_by_id == {}


def test_ended_jobs_are_forgotten_oldest_first_but_not_while_stopping(monkeypatch):
    monkeypatch.setattr(jobs, "MAX_ENDED_JOBS", 1)
    d = driver.Driver()
    d.register()
    ids = [d.submit() for _ in range(3)]
    d.run(f"{ids[0]}.0")
    for job in ids:
        d.apply("CancelJobs", jobs=[job])
    assert list(d.machine.jobs.by_id) == [ids[0]]
    assert list(d.machine.tasks.by_id) == [f"{ids[0]}.0"]


def test_service_creates_and_retires_its_tasks():
    d = driver.Driver()
    d.register()
    d.declare(3)
    service = d.machine.services.by_name["quote"]
    first, second, third = service.task_ids
    assert d.task(first).task_class == "latency_critical"
    d.run(first)
    d.run(second)
    d.declare(1, cores=2.0)
    assert third not in d.machine.tasks.by_id
    assert d.task(second).state == "cancelled"
    assert (d.task(first).state, d.task(first).cores) == ("running", 1.0)
    d.report(second, "stopped")
    assert service.task_ids == [first]
    d.report(first, "finished")
    assert (d.task(first).state, d.task(first).failures) == ("pending", 1)
    assert d.task(first).cores == 2.0, "a new start uses the new sizes"
    d.declare(0)
    assert d.machine.services.by_name == {}
    assert d.machine.tasks.by_id == {}


def test_service_belongs_to_one_tenant():
    d = driver.Driver()
    d.declare(1)
    answer = d.declare(2, tenant="other")
    assert answer.problems == [["tenant", "the service belongs to tenant karri"]]


def test_tenants_show_quota_and_usage():
    d = driver.Driver()
    d.register()
    document = {"tenants": {"karri": {"cores": 8}}}
    d.configure(0, document=document)
    job = d.submit(task_count=2)
    d.run(f"{job}.0")
    shown = queries.answer(d.machine, "tenants", {})["tenants"]
    assert [tuple(row.values()) for row in shown] == [
        ("irbid", 0.0, 1.0, 1, 1),
        ("karri", 8, 0.0, 0, 0),
    ]
