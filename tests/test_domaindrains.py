"""Guards against drains of a failure domain that are lost, or differ by replica."""

import json

import pytest
from google.protobuf import json_format

from sardinegauge import calls, commands, outcome
from sardinegauge.cli import domains
from sardinegauge.state import domaindrains, domainqueries, machine, statemetrics
from sardinegauge.workflows import steps
from tests import driver, leaderkit, schedulerdriver, test_cli


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


def test_own_jobs_are_not_placed_in_a_drained_domain():
    fleet = schedulerdriver.Driver()
    fleet.register("w1", "w2", domain="a")
    fleet.apply_as_operator("DrainDomain", failure_domain="a")
    job = fleet.submit()
    fleet.tick(30)
    assert fleet.task(f"{job}.0").state == "pending"
    fleet.apply_as_operator("DrainDomain", failure_domain="a", undo=True)
    fleet.tick(30)
    assert fleet.task(f"{job}.0").upstream in ("w1", "w2")


def test_assignment_committed_after_the_drain_is_rejected():
    fleet = schedulerdriver.Driver()
    fleet.register("w1", domain="a")
    job = fleet.submit()
    fleet.tick(1, commit=False)
    fleet.commit(commands.SetDomainDrain(failure_domain="a"))
    fleet.commit_all()
    assert fleet.applied_of_type(commands.AssignTasks)
    assert fleet.task(f"{job}.0").state == "pending"


def test_own_task_that_has_not_started_is_withdrawn_and_a_running_one_stays():
    fleet = schedulerdriver.Driver()
    fleet.register("w1", domain="a")
    first, second = fleet.submit(), fleet.submit()
    fleet.tick(2)
    fleet.report_phase("running", f"{first}.0")
    fleet.apply_as_operator("DrainDomain", failure_domain="a")
    for _ in range(4):
        fleet.tick(10)
        fleet.register("w1", domain="a", phases={f"{first}.0": {"phase": "running"}})
    assert fleet.task(f"{first}.0").state == "running"
    assert fleet.task(f"{second}.0").state == "evicting"


def test_operators_see_workers_and_runs_of_each_domain():
    leader = leaderkit.Leader()
    leader.report("a", failure_domain="z1")
    leader.report("b", failure_domain="z2")
    leader.settle()
    leader.commit(
        commands.SetDomainDrain(failure_domain="z2", undo=False, operator="ana")
    )
    leader.commit(commands.SetDomainDrain(failure_domain="empty"))
    leader.submit(steps.Step(count=2))
    leader.settle()
    answer = domainqueries.answer(leader.machine, leader.state)
    found = [
        [row["name"], row["workers"], row["drained"], row["operator"], row["runs"]]
        for row in answer["domains"]
    ]
    assert found == [
        ["empty", 0, True, "", 0],
        ["z1", 1, False, "", 2],
        ["z2", 1, True, "ana", 0],
    ]
    json_format.ParseDict(answer, calls.BY_NAME["ListFailureDomains"].reply())


def test_metrics_show_drained_domains_only():
    leader = leaderkit.Leader()
    leader.report("a", failure_domain="z1")
    leader.settle()
    leader.submit(steps.Step(count=2))
    leader.settle()
    metrics = statemetrics.StateMetrics()
    leader.commit(commands.SetDomainDrain(failure_domain="z1"))
    metrics.update_drains(leader.machine, leader.state, leader.now_ms + 7000)
    page = metrics.page().decode()
    assert 'domain_drain_age_seconds{failure_domain="z1"} 7.0' in page
    assert 'domain_drain_runs{failure_domain="z1"} 2.0' in page
    assert "sardinegauge_drained_domains 1.0" in page
    leader.commit(commands.SetDomainDrain(failure_domain="z1", undo=True))
    metrics.update_drains(leader.machine, leader.state, leader.now_ms)
    assert 'failure_domain="z1"' not in metrics.page().decode()


def test_call_of_an_operator_becomes_a_command_with_its_request_id():
    call = calls.BY_NAME["DrainFailureDomain"]
    request = call.request(request_id="r1", failure_domain="z1", undo=True)
    command = call.to_command(request, "ana")
    expected = commands.DrainDomain(
        operator="ana", request_id="r1", failure_domain="z1", undo=True
    )
    assert command == expected


def test_command_line_drains_waits_and_restores(monkeypatch):
    rows = [{"name": "z1", "runs": 2}, {"name": "z2", "runs": 5}]
    entry = test_cli.FakeEntry(
        monkeypatch,
        (200, test_cli.ACCEPTED),
        (200, {"domains": rows}),
        # A new leader has not heard of the workers of the domain yet.
        (200, {"domains": [], "is_complete": False}),
        (200, {"domains": [{"name": "z1", "runs": 0}], "is_complete": True}),
        (200, test_cli.ACCEPTED),
        (200, {"domains": rows}),
    )
    monkeypatch.setattr(domains, "POLL_INTERVAL_S", 0)
    assert test_cli.run("domain", "drain", "z1", "--wait")[1] == 0
    assert test_cli.run("domain", "restore", "z1")[1] == 0
    assert "z2" in test_cli.run("domain", "list")[0]
    first, *_, last, _ = entry.requests
    assert (first["failure_domain"], first.get("undo", False)) == ("z1", False)
    assert (last["failure_domain"], last["undo"]) == ("z1", True)
