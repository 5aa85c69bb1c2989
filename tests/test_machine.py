"""Guards against a machine that loses work between submission and finish."""

import json

from sardinegauge import machine, queries
from tests import driver


def test_job_runs_from_submission_to_finish():
    d = driver.Driver()
    d.register()
    job = d.submit(task_count=2)
    first, second = d.job(job).task_ids
    for id in (first, second):
        d.run(id)
    assert d.job(job).state == "running"
    assert d.worker().reserved.cores == 2.0
    d.report(first, "finished")
    assert d.job(job).state == "running"
    d.report(second, "finished")
    assert d.job(job).state == "finished"
    assert d.worker().reserved.cores == 0.0
    shown = queries.answer(d.machine, "job", {"id": job})
    assert (shown["state"], shown["finished"]) == ("finished", 2)


def test_snapshot_round_trip_through_json():
    d = driver.Driver()
    d.register()
    d.run(d.submit() + ".0")
    d.do("MakeClaim", tenant="t", key="k", digest="d", upstream="w1", incarnation="i1")
    d.do("SetConfiguration", base_version=0, document={"weights": {"evictions": 2}})
    text = d.snapshot()
    rebuilt = machine.from_snapshot(json.loads(text))
    assert json.dumps(machine.to_snapshot(rebuilt)) == text
    assert rebuilt.workers.by_upstream["w1"] == d.worker()
