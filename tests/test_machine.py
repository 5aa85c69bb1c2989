"""Guards against jobs that are lost before their end, and replicas that differ."""

import hashlib
import json
import os
import subprocess
import sys

from sardinegauge.state import machine, queries
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
    d.run(d.submit(command="sweep --cellar 3") + ".0")
    d.apply(
        "MakeClaim", tenant="t", key="k", digest="d", upstream="w1", incarnation="i1"
    )
    d.configure(0, document={"weights": {"evictions": 2}})
    text = d.snapshot()
    rebuilt = machine.from_snapshot(json.loads(text))
    assert json.dumps(machine.to_snapshot(rebuilt)) == text
    assert rebuilt.workers.by_upstream["w1"] == d.worker()
    assert rebuilt.tasks.by_id == d.machine.tasks.by_id
    assert text.count("sweep --cellar 3") == 1


def digest_after_losses():
    """Return a digest of all answers and the snapshot after losses of three workers.

    Releasing the tasks of a lost worker iterates over a set.
    """
    d = driver.Driver()
    answers = []
    for upstream in ("w1", "w2", "w3"):
        d.register(upstream)
        for id in d.job(d.submit(task_count=4)).task_ids:
            d.run(id, upstream=upstream)
        answers.append(d.lose(upstream))
        answers.append(list(d.machine.tasks.pending_by_id))
    return hashlib.sha256(f"{answers}{d.snapshot()}".encode()).hexdigest()


def test_result_is_independent_of_hash_order():
    program = "from tests import test_machine as t; print(t.digest_after_losses())"
    digests = set()
    for seed in ("1", "2", "3"):
        environment = {**os.environ, "PYTHONHASHSEED": seed}
        run = subprocess.run(
            [sys.executable, "-c", program],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        digests.add(run.stdout)
    assert len(digests) == 1
