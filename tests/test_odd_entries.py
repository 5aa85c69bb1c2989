"""Guards against entries and answers of other writers that stop or mislead a process.

Each one is malformed, nested very deeply, or has a number or a port out of range. It
must be refused where it is decoded, and must not keep valid ones from being processed.
"""

import asyncio
import json
import pathlib
import sys

import hypothesis
import pytest
from hypothesis import strategies

from sardinegauge.links import dialers, httpcall, messages
from sardinegauge.workflows import (
    hostedadvice,
    hostedreport,
    hostevents,
    hosting,
    hoststate,
    views,
    workerclient,
)
from tests import test_wireformat
from tests import test_workflow_reports as reports

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))

import nodesettings
import siderole
import wireformat

WALL_MS = test_wireformat.WALL_MS
BORN_MS = test_wireformat.HEARTBEAT["born"]
HEARTBEAT = {**test_wireformat.HEARTBEAT, "state": "ready", "clock_ms": 482113}
HOLD = workerclient.HoldCall(lease_until_ms=5, fence=1, seen_end=0, wait_ms=0)
HOLD_FIELDS = {
    "clock_ms": 9000,
    "born": BORN_MS,
    "running": [["w.0.0.0", 2, "c", 41, 12.5]],
    "ended": [[1, "w.0.0.1", 1, "done", ""]],
}
ADVICE = {"good": [["i-1", "t"]], "valid_ms": 3000}
DEEP = json.loads("[" * 900 + "]" * 900)
VALUES = (*reports.VALUES, 2**63, -(2**63), 2**54, 1e300, float("inf"), DEEP)
INVALID_ADDRESSES = (
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1",
    "",
    ":80",
    "a\x00b:80",
    "999.0.0.1:80",
    "a.example:80",
)


def altered(fields):
    """Return a strategy of the fields with one value replaced or removed."""
    paths = strategies.sampled_from(reports.places(fields))
    values = strategies.sampled_from(VALUES)
    return strategies.builds(
        lambda path, value: reports.replaced(fields, path, value), paths, values
    )


def decode_heartbeat(fields, worker="i-1"):
    return wireformat.decode_heartbeat(worker, json.dumps(fields), WALL_MS)


def announce(state, announcement):
    state_event = hostevents.WorkerAnnounced(
        now_ms=state.now_ms + 1500, announcement=announcement
    )
    return hosting.reduce(state, state_event)


def check_report(state):
    """Check that the leader accepts the agent's report."""
    message = messages.WorkerReport(
        agent=state.agent,
        worker=state.announcement.worker,
        life=state.incarnation,
        sent_ms=state.now_ms,
        body=json.dumps(hostedreport.report_fields(state)).encode(),
    )
    views.decode_report(message)


@hypothesis.given(altered(HEARTBEAT))
def test_any_heartbeat_is_refused_or_reported_and_the_next_one_holds(fields):
    state = hoststate.State("a")
    try:
        announcement = decode_heartbeat(fields)
    except wireformat.DecodeError:
        pass
    else:
        announce(state, announcement)
        check_report(state)
    for number in range(10):
        true = {**HEARTBEAT, "seq": HEARTBEAT["seq"] + number}
        announce(state, decode_heartbeat(true))
    assert state.incarnation == BORN_MS
    assert state.announcement.capacity == (16000, 100, 0)
    assert state.announcement.address == HEARTBEAT["address"]
    check_report(state)


@pytest.mark.parametrize(
    "change",
    [
        {"born": 2**63},
        {"born": WALL_MS + 30 * 24 * 3600 * 1000},
        {"born": -1},
        {"seq": 2**63},
        {"seq": -1},
        {"capacity": {"cpu": 2**60}},
        {"capacity": {"cpu": -1}},
        {"capacity": {"cpu": float("inf")}},
        {"capacity": {"cpu": float("nan")}},
        {"drain_remaining_ms": 1e300},
        {"labels": 3},
        {"labels": [DEEP]},
        *({"address": address} for address in INVALID_ADDRESSES),
    ],
)
def test_heartbeat_out_of_range_names_no_worker(change):
    with pytest.raises(wireformat.DecodeError):
        decode_heartbeat({**HEARTBEAT, **change})


def test_sequence_far_ahead_keeps_later_heartbeats_out_only_for_a_while():
    """The false heartbeat has a valid sequence, so only time can tell it."""
    state = hoststate.State("a")
    announce(state, decode_heartbeat({**HEARTBEAT, "seq": 4}))
    announce(state, decode_heartbeat({**HEARTBEAT, "seq": 2**40, "service": "other"}))
    for number in range(5, 15):
        announce(state, decode_heartbeat({**HEARTBEAT, "seq": number}))
    assert state.announcement.pool == HEARTBEAT["service"]


@hypothesis.given(altered(HOLD_FIELDS))
def test_any_answer_of_a_worker_is_unanswered_or_processed(fields):
    state = hoststate.State("a")
    announce(state, decode_heartbeat(HEARTBEAT))
    call = hostevents.Call(
        announcement=state.announcement,
        request=HOLD,
        incarnation=state.incarnation,
        sent_ms=state.now_ms,
        event_number=state.event_number,
    )
    now_ms = state.now_ms + 5
    try:
        answer = wireformat.decode_answer(HOLD, 200, fields, WALL_MS)
    except wireformat.DecodeError:
        event = hostevents.CallUnanswered(now_ms=now_ms, call=call, is_down=False)
    else:
        event = hostevents.CallAnswered(now_ms=now_ms, call=call, answer=answer)
    hosting.reduce(state, event)
    assert state.incarnation == BORN_MS
    check_report(state)


@hypothesis.given(altered(ADVICE))
def test_any_answer_of_the_policy_service_is_refused_or_reported(fields):
    try:
        advice = wireformat.decode_advice(fields)
    except wireformat.DecodeError:
        return
    state = hoststate.State("a")
    announce(state, decode_heartbeat(HEARTBEAT))
    hostedadvice.update_questions(state, [["w.0.0", ["i-1"]]], {}, 0)
    received = hostevents.AdviceReceived(
        now_ms=state.now_ms,
        step="w.0.0",
        workers=["i-1"],
        tickets=advice.tickets,
        valid_ms=advice.valid_ms,
    )
    hosting.reduce(state, received)
    check_report(state)


@hypothesis.given(altered(test_wireformat.CONFIGURATION))
def test_any_configuration_is_refused_or_decoded(fields):
    body = json.dumps(fields)
    try:
        wireformat.decode_configuration(body.encode())
    except wireformat.DecodeError:
        pass


SETTINGS = {
    "node": "core-a-1",
    "ip": "10.1.0.2",
    "internal_port_range": [7000, 7009],
    "seeds": ["10.1.0.3:8166"],
    "listen": {"control": "10.1.0.2:8080"},
    "bootstrap": True,
    "fault_tolerance": {"machines": 2},
    "bounds": {"config_apply_ms": 2500, "grace_s": 6},
}


@hypothesis.given(altered(SETTINGS))
def test_any_settings_file_is_decoded_or_refused_as_a_user_error(fields):
    """A running process reads the file again and keeps what it has on such an error."""
    try:
        nodesettings.decode_text(json.dumps(fields), "settings.json")
    except nodesettings.errors.SettingsError:
        pass


@pytest.mark.parametrize("text", ["[" * 100_000, '{"node": ' + "[" * 100_000, "5"])
def test_settings_file_that_is_no_object_is_refused_as_a_user_error(text):
    with pytest.raises(nodesettings.errors.SettingsError):
        nodesettings.decode_text(text, "settings.json")


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
def test_call_to_an_invalid_address_is_unanswered(address):
    announcement = workerclient.Announcement(
        worker="i-1", incarnation=BORN_MS, address=address, pool="p"
    )

    async def call():
        await siderole.MinionClient().call(announcement, HOLD, 0.3)

    with pytest.raises(workerclient.NoAnswerError):
        asyncio.run(call())
    with pytest.raises(OSError):
        asyncio.run(dialers.connect(address, 0.3))


def test_deeply_nested_answer_counts_as_no_answer():
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = b"[" * 100_000
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        writer.close()

    async def call():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = httpcall.Pool(f"127.0.0.1:{port}", 1)
        try:
            await httpcall.call_json(pool, "GET", "/", None, 1.0)
        finally:
            server.close()

    with pytest.raises(ValueError):
        asyncio.run(call())
