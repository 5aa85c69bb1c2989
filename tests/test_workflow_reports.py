"""Guards the leader against malformed, outdated and reordered reports of agents."""

import copy
import json

import hypothesis
import pytest
from hypothesis import strategies

from sardinegauge.links import messages
from sardinegauge.state import machine
from sardinegauge.workflows import schedulerevents, store, views
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit, test_replica

FIELDS = {
    "pool": "p",
    "failure_domain": "d",
    "rack": "r1",
    "labels": ["k", "r1"],
    "cpu_millis": 8000,
    "memory_mb": 8000.5,
    "accelerators": 0,
    "is_draining": False,
    "remaining_ms": 0,
    "cold_ms": 0,
    "is_fenced": True,
    "is_lapsed": False,
    "seen_end": 0,
    "runs": [["w.0.0.0", 1, views.ACTIVE, "", 50, 0.5, "", 100, 40]],
    "ends": [[1, "w.0.0.1", 1, store.DONE, ""]],
    "advice": [["w.0.0", ["a", "b"], [["a", "t"]], 500]],
    "advice_failures": [["w.0.0", 12.5, "status 429"]],
    "crash": {"worker": "a", "life": 1, "runs": [["w.0.0.2", 1, 12.5, 20]]},
}
# Values of every JSON type; none is valid in a place that holds another type.
VALUES = (None, True, -1, 1.5, "", "x", [], [1], {}, {"a": 1}, 10**400)


def encode(fields):
    return messages.WorkerReport(
        agent="agent-a", worker="a", life=1, body=json.dumps(fields).encode()
    )


def places(value, path=()):
    """Return the path of every value within plain data."""
    found = [path] if path else []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        children = ()
    for key, child in children:
        found += places(child, (*path, key))
    return found


def replaced(fields, path, value):
    changed = copy.deepcopy(fields)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


def test_valid_report_is_decoded():
    report = views.decode_report(encode(FIELDS))
    assert report.runs == FIELDS["runs"]
    assert (report.worker, report.life, report.memory_mb) == ("a", 1, 8000.5)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b'{"runs":',
        b'{"cpu_millis": NaN}',
        b'{"unknown": 1}',
        b'{"runs": [["w.0.0.0", 1]]}',
        b'{"runs": [["w.0.0.0", 1, "sleeping", "", 0, 0, "", 100, 0]]}',
        b'{"ends": [["1", "w", 1, "done", ""]]}',
        b'{"advice": [["w", [1], [], 5]]}',
        b'{"crash": {"worker": "a"}}',
        b'{"crash": {"worker": "a", "life": 1, "runs": [["w.0.0.0", 1, 5]]}}',
        b"\xff\xfe",
        b"[" * 100_000,
    ],
)
def test_malformed_report_is_refused_and_the_leader_goes_on(body):
    """A report that raised in the reducer ended one leader after the other."""
    group = test_replica.Group()
    group.state.modules.has_workflows = True
    group.state.modules.machine = machine
    group.state.machine = machine.Machine()
    group.become_leader()
    message = encode(FIELDS).replace(body=body)
    refused = group.send_request(message)
    assert not group.replies[refused].confirmed
    answered = group.send_request(encode(FIELDS))
    assert group.replies[answered].confirmed


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(data=strategies.data())
def test_report_with_any_part_replaced_is_refused_or_harmless(data):
    """Every part is either refused by the decoder or accepted by the reducer."""
    path = data.draw(strategies.sampled_from(places(FIELDS)))
    fields = replaced(FIELDS, path, data.draw(strategies.sampled_from(VALUES)))
    leader = leaderkit.Leader()
    leader.report()
    leader.settle()
    leader.submit(steps_module.Step(count=3, cpu_millis=100, image="i", target_ms=50))
    leader.settle()
    try:
        report = views.decode_report(encode(fields))
    except (ValueError, TypeError, RecursionError):
        return
    leader.dispatch(schedulerevents.ReportReceived, report=report)
    leader.settle()
    leader.tick(100)
    leader.orders()


def test_report_that_was_sent_earlier_is_ignored():
    """A report repeated over another link arrived after a newer one and undid it."""
    leader = leaderkit.Leader()
    leader.report(sent_ms=5000)
    leader.settle()
    leader.submit(steps_module.Step(cpu_millis=100))
    leader.settle()
    leader.report(sent_ms=5400, runs=[["w.0.0.0", 1, views.ACTIVE]])
    leader.now_ms += 1000
    leader.report(sent_ms=5200, is_fenced=False)
    view = leader.state.view_by_id["a"]
    assert view.is_fenced
    assert ("w.0.0.0", 1) in view.runs
    assert leader.state.now_ms - view.received_ms == 1000


def test_report_of_an_agent_whose_clock_began_anew_is_applied():
    leader = leaderkit.Leader()
    leader.report(sent_ms=500_000)
    leader.report(sent_ms=1_000, is_draining=True)
    assert leader.state.view_by_id["a"].is_draining
