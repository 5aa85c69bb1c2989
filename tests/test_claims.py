"""Guards against a request that runs twice, and a resend that gets another answer."""

from sardinegauge import outcome
from sardinegauge.state import audit, claims, queries
from tests import driver

KEY = {"tenant": "karri", "key": "k1"}


def make(d, digest="d1", upstream="w1"):
    return d.apply(
        "MakeClaim", **KEY, digest=digest, upstream=upstream, incarnation="i1"
    )


def settle(d, index, **fields):
    return d.apply("SettleClaim", **KEY, claim_index=index, **{"status": 201, **fields})


def test_resend_gets_the_claim_and_then_its_answer():
    d = driver.Driver()
    first = make(d)
    assert (first.value["is_new"], first.value["state"]) == (True, "open")
    again = make(d, upstream="w2")
    assert (again.value["is_new"], again.value["upstream"]) == (False, "w1")
    index = first.value["claim_index"]
    assert again.value["claim_index"] == index
    assert isinstance(make(d, digest="d2"), outcome.Conflict)
    assert settle(d, index, body="b25l").value["is_new"]
    assert not settle(d, index, status=500, body="dHdv").value["is_new"]
    replayed = make(d)
    assert (replayed.value["status"], replayed.value["body"]) == (201, "b25l")
    assert queries.answer(d.machine, "claim", KEY)["state"] == "settled"
    assert isinstance(
        d.apply("ReleaseClaim", **KEY, claim_index=index), outcome.Impossible
    )


def test_claim_is_released_only_by_its_own_index():
    d = driver.Driver()
    old = make(d).value["claim_index"]
    d.apply("ReleaseClaim", **KEY, claim_index=old)
    new = make(d).value["claim_index"]
    assert new > old
    assert isinstance(
        d.apply("ReleaseClaim", **KEY, claim_index=old), outcome.Impossible
    )
    assert isinstance(settle(d, old), outcome.Impossible)
    assert queries.answer(d.machine, "claim", KEY)["claim_index"] == new


def test_bodies_are_bounded_in_sum(monkeypatch):
    monkeypatch.setattr(claims, "MAX_BODY_LENGTH", 3)
    d = driver.Driver()
    value = settle(d, make(d).value["claim_index"], body="b25l").value
    assert (value["state"], value["is_body_kept"], value["body"]) == (
        "settled",
        False,
        "",
    )


def test_claims_and_replies_expire_by_age():
    d = driver.Driver()
    d.submit()
    make(d)
    assert d.apply("ExpireClaims", before_ms=1).value == {"claims": 0, "replies": 1}
    assert d.apply("ExpireClaims", before_ms=2).value == {"claims": 1, "replies": 0}
    assert make(d).value["is_new"]


def test_resent_command_gets_its_first_answer_whatever_it_was():
    d = driver.Driver()
    ask = {"operator": "ana", "request_id": "q1"}
    sent = {
        "accepted": ("SetConfiguration", {"base_version": 0, "document": {}}),
        "conflict": ("SetConfiguration", {"base_version": 0, "document": {}}),
        "invalid": ("SetConfiguration", {"base_version": 1, "document": {"x": 1}}),
    }
    answers = {}
    for id, (kind, fields) in sent.items():
        answers[id] = d.apply(kind, operator="ana", request_id=id, **fields)
    assert answers["accepted"] == outcome.Accepted(version=1)
    assert (answers["conflict"].version, answers["conflict"].operator) == (1, "ana")
    assert answers["invalid"].problems == [["document.x", "unknown key"]]
    d.configure(1, document={"policy": {}})
    for id, (kind, fields) in sent.items():
        assert d.apply(kind, operator="ana", request_id=id, **fields) == answers[id]
    assert d.machine.configuration.version == 2
    assert d.apply("CancelJobs", **ask, jobs=[]) == d.apply(
        "CancelJobs", **ask, jobs=[]
    )
    other = d.apply("CancelJobs", **ask, jobs=["job-1"])
    assert other.problems == [["request_id", "was used for another call"]]
    bob = d.apply("CancelJobs", operator="bob", request_id="q1", jobs=["job-1"])
    assert bob.value["unknown"] == ["job-1"]


def test_audit_lists_accepted_changes_newest_first_and_is_bounded():
    d = driver.Driver()
    d.configure(0, document={})
    d.configure(0, document={})
    job = d.submit()
    records = queries.answer(d.machine, "audit", {"limit": 5})["records"]
    assert [
        (r["operator"], r["call"], r["subject"], r["outcome"]) for r in records
    ] == [
        ("ana", "SubmitJob", job, "accepted"),
        ("ana", "SetConfiguration", "version 1", "accepted"),
    ]
    assert d.machine.audit.records.maxlen == audit.MAX_RECORDS
