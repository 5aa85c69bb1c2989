"""Guards against drains of a failure domain that are lost, or differ by replica."""

import json

import pytest

from sardinegauge import outcome
from sardinegauge.state import domaindrains, machine
from tests import driver


@pytest.fixture
def d():
    return driver.Driver()


def drains(d):
    return [drain.to_dict() for drain in d.machine.domain_drains.by_domain.values()]


def test_repeated_drain_is_accepted_and_keeps_its_first_time(d):
    for _ in range(2):
        answer = d.apply("SetDomainDrain", failure_domain="z 1", operator="platform")
        assert answer == outcome.Accepted(ids=["z 1"])
    first = {"failure_domain": "z 1", "since_ms": 0, "operator": "platform"}
    assert drains(d) == [first]


def test_last_of_drain_restore_and_drain_wins(d):
    for undo, count in ((False, 1), (True, 0), (False, 1), (True, 0), (True, 0)):
        answer = d.apply("SetDomainDrain", failure_domain="z", undo=undo)
        assert isinstance(answer, outcome.Accepted)
        assert len(drains(d)) == count


def test_two_operators_are_served_in_the_order_of_the_log(d):
    d.apply("DrainDomain", failure_domain="z", operator="ana", request_id="r1")
    d.apply("SetDomainDrain", failure_domain="z", undo=True)
    d.apply("DrainDomain", failure_domain="z", operator="ben", request_id="r1")
    assert [drain["operator"] for drain in drains(d)] == ["ben"]
    # The resend of an earlier request must not undo what followed it.
    d.apply("SetDomainDrain", failure_domain="z", undo=True)
    d.apply("DrainDomain", failure_domain="z", operator="ana", request_id="r1")
    assert drains(d) == []
    assert [record.operator for record in d.machine.audit.records] == ["ana", "ben"]


def test_drained_domains_survive_a_snapshot(d):
    d.apply("DrainDomain", failure_domain="b")
    d.apply("SetDomainDrain", failure_domain="a")
    text = d.snapshot()
    rebuilt = machine.from_snapshot(json.loads(text))
    assert json.dumps(machine.to_snapshot(rebuilt)) == text
    assert list(rebuilt.domain_drains.by_domain) == ["b", "a"]


def test_snapshot_of_an_earlier_release_has_no_drained_domain(d):
    data = json.loads(d.snapshot())
    del data["domain_drains"]
    assert machine.from_snapshot(data).domain_drains.by_domain == {}


@pytest.mark.parametrize("domain", ["", None, 5, "x" * 1001, "\ud800"])
def test_malformed_domain_changes_nothing(d, domain):
    for undo in (False, True, "yes"):
        answer = d.apply("SetDomainDrain", failure_domain=domain, undo=undo)
        assert isinstance(answer, outcome.Invalid)
    assert drains(d) == []


def test_set_of_drained_domains_is_bounded(d):
    for number in range(domaindrains.MAX_DRAINS):
        d.apply("SetDomainDrain", failure_domain=f"z{number}")
    assert isinstance(d.apply("SetDomainDrain", failure_domain="z"), outcome.Invalid)
    repeated = d.apply("SetDomainDrain", failure_domain="z0")
    assert isinstance(repeated, outcome.Accepted)
