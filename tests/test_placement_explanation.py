"""Guards the explanation of a placement: it must say what the planner then does."""

import random
import types

import pytest
from google.protobuf import json_format

from sardinegauge import calls
from sardinegauge.state import requests
from sardinegauge.workflows import placementexplanation, steps, views
from tests import leaderkit, test_workflow_displacing

REASON_BY_WORKER = {
    "draining": {"is_draining": True},
    "other": {"pool": "x"},
    "unlabelled": {"labels": []},
    "small": {"memory_mb": 900},
    "unfenced": {"is_fenced": False},
}


def explain(leader, **arguments):
    values = {"queue": "q", "cpu_millis": 1000, "memory_mb": 1000, **arguments}
    return placementexplanation.explain(leader.state, values)


def test_operators_call_passes_every_field_on():
    leader = leaderkit.Leader()
    leader.report("a", accelerators=2)
    leader.settle()
    call = calls.BY_NAME["ExplainPlacement"]
    request = call.request(queue="q", accelerators=3, best_effort=True, label="k")
    state = types.SimpleNamespace(
        leader_exchange=types.SimpleNamespace(scheduler=leader.state)
    )
    value = requests._query(state, call.query_kind, call.to_arguments(request))
    reply = json_format.ParseDict(call.to_reply(value), call.reply())
    assert reply.candidates[0].ruled_out == "accelerators 3 of 2 free"
    state.leader_exchange.scheduler = None
    with pytest.raises(ValueError):
        requests._query(state, call.query_kind, call.to_arguments(request))


@pytest.mark.parametrize("seed", range(8))
def test_planner_does_what_was_explained(seed):
    chooser = random.Random(seed)
    leader = leaderkit.Leader()
    for worker in "abcde":
        leader.report(worker, memory_mb=chooser.choice((2000, 4000, 8000)))
    leader.settle()
    for number in range(30):
        arguments = {
            "cpu_millis": chooser.choice((500, 1500, 3000)),
            "memory_mb": chooser.choice((300, 900, 2000)),
            "is_filler": chooser.random() < 0.4,
            "target_ms": chooser.choice((0, 0, 50)),
            "image": chooser.choice(("", "web", "sweep")),
        }
        found = explain(leader, **arguments)
        leader.submit(steps.Step(**arguments), id=f"w{number}")
        leader.settle()
        assert leader.placed().get(f"w{number}.0.0.0", "") == found["worker"]
        assert bool(found["waits_for"]) != bool(found["worker"])


def test_each_worker_that_is_ruled_out_has_its_reason():
    leader = leaderkit.Leader()
    leader.report("late")
    leader.settle()
    leader.now_ms += views.MAX_REPORT_AGE_MS + 1
    for worker, fields in REASON_BY_WORKER.items():
        leader.report(worker, **fields)
    leader.settle()
    found = explain(leader, label="k")
    reason_by_worker = {row["worker"]: row["ruled_out"] for row in found["candidates"]}
    assert reason_by_worker == {
        "draining": "draining",
        "other": "pool x",
        "unlabelled": "no label k",
        "small": "memory_mb 1000 of 900 free",
        "unfenced": "not fenced yet",
        "late": "last report 1501 ms ago",
    }
    assert found["waits_for"].startswith("room")


def test_task_that_would_wait_is_told_what_for():
    leader = test_workflow_displacing.Leader()
    leader.submit(test_workflow_displacing.BEST_EFFORT, id="fill", queue="low")
    leader.settle()
    leader.go_on(600)
    found = explain(leader, memory_mb=3000)
    assert found["worker"] == ""
    leader.submit(steps.Step(cpu_millis=1000, memory_mb=3000))
    leader.go_on(900)
    ((task, _),) = leader.stops()
    assert f"the displacement of {task} on a" in found["waits_for"]
    with pytest.raises(ValueError):
        explain(leader, queue="none")
