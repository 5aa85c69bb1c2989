"""Tests of decoding: messages of the platform are read in full or refused."""

import json
import pathlib
import sys

import pytest

from sardinegauge.workflows import queues, steps, workerclient

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))

import nodesettings
import wireformat

WALL_MS = 1_700_000_500_000
ROUTE = {
    "name": "r1",
    "host": "a.example",
    "path_prefix": "/x/",
    "type": "unsafe",
    "timeout_ms": 3000,
    "latency_slo_ms": 250,
    "priority": 2,
    "service": "svc",
    "attempts": 4,
    "stretch": 1.5,
    "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 900},
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "svc", "enforces_capacity": True}],
    "limits": {"max_body_bytes": 1},
}


def test_configuration_keeps_its_text_and_names_each_field():
    body = json.dumps(CONFIGURATION).encode()
    version, (queue,), (pool,), limits, source = wireformat.decode_configuration(body)
    assert (version, queue.pool, queue.max_attempts) == (7, "svc", 4)
    assert (queue.objective_ms, queue.advice.valid_ms) == (250, 900)
    assert pool.is_capacity_enforced
    assert limits.to_sparse_dict() == {"max_body_bytes": 1}
    assert queues.unpack_text(source) == body


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": True},
        {"routes": {}},
        {"routes": ["r"]},
        {"routes": [{**ROUTE, "service": None}]},
        {"routes": [{**ROUTE, "timeout_ms": "3"}]},
        {"routes": [{**ROUTE, "advice": 5}]},
        {"services": None},
        {"services": [{"enforces_capacity": True}]},
        {"limits": 3},
        {"limits": {"max_body_bytes": "1"}},
        {"limits": {"idle_timeout_ms": -1}},
    ],
)
def test_configuration_that_cannot_be_read_in_full_is_refused(change):
    with pytest.raises(wireformat.DecodeError):
        wireformat.decode_configuration(json.dumps({**CONFIGURATION, **change}))


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_bodies_that_are_no_object_are_refused(body):
    for decode in (wireformat.decode_configuration, wireformat.decode_job):
        with pytest.raises(wireformat.DecodeError):
            decode(body)
    with pytest.raises(wireformat.DecodeError):
        wireformat.decode_heartbeat("i-1", body, WALL_MS)


def test_job_keeps_every_field_of_its_steps():
    step = {
        "count": 3,
        "cpu": 500,
        "mem_mb": 256,
        "gpu": 1,
        "estimate_ms": 900,
        "after": [0],
        "checkpointing": True,
        "gang": True,
        "rack_sensitive": True,
        "required_label": "a",
        "data_rack": "r1-3",
        "max_per_server": 2,
        "speculative": True,
        "persistent": True,
        "image": "img",
        "target_ms": 50,
        "fills": True,
        "may_miss": 0,
    }
    body = {
        "spec": "s",
        "steps": [{"count": 1}, step],
        "repeats": 2,
        "first_ms": 1000,
        "interval_ms": 50,
    }
    fields = wireformat.decode_job(json.dumps(body))
    found = steps.Step.from_dict(fields.pop("steps")[1])
    assert (
        found.to_dict()
        == steps.Step(
            count=3,
            cpu_millis=500,
            memory_mb=256,
            accelerators=1,
            estimate_ms=900,
            after=[0],
            is_checkpointing=True,
            is_gang=True,
            is_rack_sensitive=True,
            required_label="a",
            preferred_rack="r1-3",
            max_per_worker=2,
            is_speculative=True,
            is_persistent=True,
            image="img",
            target_ms=50,
            is_filler=True,
            max_unavailable=0,
        ).to_dict()
    )
    assert fields == {
        "payload": "s",
        "repeats": 2,
        "first_at_ms": 1000,
        "interval_ms": 50,
    }


HEARTBEAT = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "draining",
    "capacity": {"cpu": 16000, "mem_mb": 100, "gpu": 0},
    "labels": ["a", "r1-3"],
    "drain_remaining_ms": 1500,
    "cold_remaining_ms": 7000,
    "seq": 4,
    "born": 1700000000000,
}


def test_heartbeat_tells_incarnation_rack_and_draining():
    found = wireformat.decode_heartbeat("i-1", json.dumps(HEARTBEAT), WALL_MS)
    assert (found.incarnation, found.rack, found.is_draining) == (
        1700000000000,
        "r1-3",
        True,
    )
    assert (found.cpu_millis, found.remaining_ms) == (16000, 1500)
    assert found.cold_ms == 7000


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"born": None},
        {"seq": "4"},
        {"capacity": 3},
        {"address": 1},
    ],
)
def test_heartbeat_of_another_writer_names_no_worker(change):
    with pytest.raises(wireformat.DecodeError):
        body = json.dumps({**HEARTBEAT, **change})
        wireformat.decode_heartbeat("i-1", body, WALL_MS)


def test_answers_of_a_minion_are_told_apart():
    hold = workerclient.HoldCall(lease_until_ms=5, fence=1, seen_end=0, wait_ms=0)
    fields = {
        "clock_ms": 9,
        "born": 3,
        "running": [["t", 2, None, 41]],
        "ended": [[1, "u", 1, "done", ""]],
    }
    answer = wireformat.decode_answer(hold, 200, fields, WALL_MS)
    assert answer.running == [["t", 2, "", 41, 0]]
    assert answer.ended == [[1, "u", 1, "done", ""]]
    assert (answer.incarnation, answer.clock_ms) == (3, 9)
    for status, kind, reason in (
        (421, workerclient.WRONG_INCARNATION, ""),
        (409, workerclient.REFUSED, "room"),
        (429, workerclient.REFUSED, workerclient.UNHEALTHY),
        (503, workerclient.REFUSED, workerclient.UNHEALTHY),
        (400, workerclient.REFUSED, workerclient.MALFORMED),
    ):
        answer = wireformat.decode_answer(hold, status, {"reason": "room"}, WALL_MS)
        assert (answer.kind, answer.reason) == (kind, reason)
    with pytest.raises(wireformat.DecodeError):
        wireformat.decode_answer(hold, 200, [], WALL_MS)


def test_settings_name_what_a_role_needs_and_ignore_the_rest():
    node = nodesettings.decode(
        {
            "node": "core-a-1",
            "ip": "10.1.0.2",
            "internal_port_range": [7000, 7009],
            "seeds": ["10.1.0.3:8166"],
            "bootstrap": True,
            "fault_tolerance": {"machines": 2},
            "bounds": {"config_apply_ms": 2500},
            "anything": "else",
        }
    )
    assert node.propagation_bound_s == 2.5
    assert node.link_address == "10.1.0.2:7000"
    assert (node.replicas, node.seed_ips) == (["10.1.0.3:7000"], ["10.1.0.3"])
    assert (node.max_losses, node.is_first_start) == (2, True)


def test_advice_is_decoded_or_refused_as_a_whole():
    body = {"good": [["i-1", "t"]], "valid_ms": 3000}
    advice = wireformat.decode_advice(body)
    assert (advice.tickets, advice.valid_ms) == ([["i-1", "t"]], 3000)
    numbered = wireformat.decode_advice({"good": [["i-1", 7]]})
    assert numbered.valid_ms is None
    assert numbered.tickets == [["i-1", "7"]]
    for broken in ([], {}, {"good": [["i-1"]]}, {"good": "x"}):
        with pytest.raises(wireformat.DecodeError):
            wireformat.decode_advice(broken)


@pytest.mark.parametrize("header", ["nan", "inf", "-inf", "1e400", "", "x", "5"])
def test_deadline_of_a_client_is_a_number_that_timers_take(header):
    deadline_ms = wireformat.decode_deadline_ms(header)
    assert deadline_ms <= wireformat.MAX_DEADLINE_MS


def test_descriptors_leave_out_those_that_the_platform_keeps():
    """A front that counted them as its own ran out of descriptors."""
    fields = {"node": "n", "ip": "10.0.0.1", "internal_port_range": [1, 2]}
    limited = {**fields, "limits": {"memory_mb": 300, "max_fds": 4100}}
    found = nodesettings.decode(limited)
    assert (found.memory_mb, found.max_descriptors) == (300, 3900)
    found = nodesettings.decode(fields)
    assert (found.memory_mb, found.max_descriptors) == (0, 0)
