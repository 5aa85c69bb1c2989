"""Guards against starts in a drained failure domain."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge import commands
from sardinegauge.workflows import (
    crashrecord,
    hostedreport,
    hostedruns,
    hostevents,
    hoststate,
    steps,
    views,
    workerclient,
)
from tests import leaderkit, test_workflow_hosting

DOMAIN_BY_WORKER = {"a": "z1", "b": "z2", "c": "z3"}
STEP = steps.Step(count=4, cpu_millis=2000, estimate_ms=1000)


class Leader(leaderkit.Leader):
    """A leader with one worker in each of three failure domains."""

    def report(self, worker="a", **fields):
        domain = DOMAIN_BY_WORKER[worker]
        super().report(worker, failure_domain=domain, **fields)

    def report_all(self, phase=views.ACTIVE):
        """Report the assigned runs of all workers, but for those that are stopped."""
        for worker in DOMAIN_BY_WORKER:
            if worker in self.state.view_by_id:
                self.report(worker, runs=self.runs(worker, phase))

    def runs(self, worker, phase):
        stopped = self.state.stop_reason_by_run
        return [
            [*key, phase] for key in self.store.runs_of(worker, 1) if key not in stopped
        ]

    def drain(self, domain="z1", undo=False):
        self.commit(commands.SetDomainDrain(failure_domain=domain, undo=undo))

    def wait(self, ms, phase=views.ACTIVE):
        """Let time pass with reports of all workers."""
        for _ in range(0, ms, 100):
            self.tick(100)
            self.report_all(phase)

    def starts(self, worker="a"):
        return [row[:2] for row in self.orders(worker)["starts"]]


def make_leader(*workers):
    leader = Leader()
    for worker in workers:
        leader.report(worker)
    leader.settle()
    return leader


@pytest.fixture
def leader():
    return make_leader("a", "b")


def test_nothing_is_placed_in_a_drained_domain_until_it_is_restored(leader):
    leader.drain()
    leader.drain()
    leader.submit(STEP.replace(count=8))
    leader.settle()
    assert set(leader.placed().values()) == {"b"}
    leader.drain(undo=True)
    leader.settle()
    assert len(leader.placed()) == 8
    leader.drain()
    leader.submit(STEP, id="v")
    leader.settle()
    assert len(leader.placed()) == 8


def test_new_leader_keeps_to_the_drains_of_earlier_ones(leader):
    leader.drain()
    leader.start_term(2)
    leader.report("a")
    leader.report("b")
    leader.submit(STEP.replace(count=8))
    leader.settle()
    assert set(leader.placed().values()) == {"b"}


def test_work_waits_while_all_domains_are_drained(leader):
    for domain in ("z1", "z2", "unknown"):
        leader.drain(domain)
    leader.submit(STEP)
    leader.settle()
    assert leader.placed() == {}
    leader.drain("z2", undo=True)
    leader.settle()
    assert set(leader.placed().values()) == {"b"}


def test_gang_starts_nowhere_rather_than_partly_in_a_drained_domain(leader):
    leader.drain()
    leader.submit(STEP.replace(count=6, is_gang=True))
    leader.settle()
    assert leader.placed() == {}


def test_suspected_task_is_not_isolated_in_a_drained_domain():
    leader = make_leader("a")
    leader.submit(STEP.replace(count=1))
    leader.settle()
    row = ["w.0.0.0", 1, crashrecord.SUSPECT]
    leader.commit(commands.RecordCrash(worker="a", life=1, agent="agent-a", rows=[row]))
    leader.commit(commands.ReleaseLife(worker="a", life=1))
    assert leader.store.suspected_ids
    leader.drain()
    leader.wait(2000)
    leader.settle()
    assert leader.placed() == {}


def test_start_on_the_way_is_withdrawn_and_takes_place_elsewhere():
    leader = make_leader("a")
    leader.submit(STEP)
    leader.settle()
    assert len(leader.starts()) == 4
    leader.drain()
    # Not even a report that lacks the runs brings their orders again.
    assert leader.starts() == []
    leader.report("a")
    assert leader.starts() == []
    leader.tick(900)
    leader.report("a", runs=[["w.0.0.0", 1, views.ORDERED]])
    leader.tick(100)
    assert len(leader.orders()["stops"]) == 4
    assert leader.orders()["still_ordered"] == []
    leader.report("b")
    gone = [[f"w.0.0.{index}", 1, views.GONE] for index in range(4)]
    leader.report("a", runs=gone)
    leader.settle()
    assert set(leader.placed().values()) == {"b"}


def test_start_confirmed_just_after_the_drain_is_not_discarded():
    """Up to a quarter of the short runs are unconfirmed at any time."""
    leader = make_leader("a")
    leader.submit(STEP)
    leader.settle()
    leader.report("a", runs=leader.runs("a", views.ORDERED))
    leader.drain()
    leader.tick(400)
    leader.wait(3000, views.ACTIVE)
    assert leader.orders()["stops"] == []


def test_silent_agent_loses_no_run_that_has_started():
    leader = make_leader("a")
    leader.submit(STEP)
    leader.settle()
    leader.drain()
    for _ in range(30):
        leader.tick(100)
    assert leader.orders()["stops"] == []
    leader.report("a", runs=[["w.0.0.0", 1, views.ACTIVE]])
    leader.tick(100)
    assert sorted(leader.orders()["stops"]) == [[f"w.0.0.{n}", 1] for n in (1, 2, 3)]


def test_assignment_committed_after_the_drain_is_never_ordered():
    leader = make_leader("a")
    leader.submit(STEP)
    leader.commit(commands.SetDomainDrain(failure_domain="z2"))
    leader.commit(
        commands.SetDomainDrain(failure_domain="z1", undo=False, operator="ana")
    )
    leader.commit(commands.AssignRuns(rows=[["w.0.0.0", 1, "a", 1]]))
    assert leader.starts() == []
    leader.wait(1000, views.ORDERED)
    assert leader.orders()["stops"] == [["w.0.0.0", 1]]


def test_start_withdrawn_by_a_leader_that_was_lost_is_withdrawn_by_the_next():
    leader = make_leader("a")
    leader.submit(STEP)
    leader.settle()
    leader.drain()
    leader.start_term(2)
    for _ in range(10):
        leader.tick(100)
        leader.report("a", runs=leader.runs("a", views.ORDERED)[:2])
        assert leader.starts() == []
    assert len(leader.orders()["stops"]) == 4


def test_gang_is_withdrawn_as_a_whole(leader):
    leader.submit(STEP.replace(count=8, is_gang=True))
    leader.settle()
    leader.report("b", runs=leader.runs("b", views.ACTIVE))
    leader.drain()
    leader.tick(900)
    leader.report("a")
    leader.tick(100)
    assert len(leader.orders("a")["stops"]) == len(leader.orders("b")["stops"]) == 4


def test_agent_that_has_not_heard_of_the_drain_calls_no_start_after_three_seconds():
    agent = test_workflow_hosting.Agent()
    agent.order(starts=[[*test_workflow_hosting.KEY, "payload", ""]])
    called_ms = []
    for _ in range(60):
        for call in agent.take_calls(workerclient.StartCall):
            called_ms.append(agent.now_ms)
            agent.dispatch(hostevents.CallUnanswered, call=call, is_down=False)
        agent.answer_holds()
        agent.tick()
    assert max(called_ms) - min(called_ms) <= hoststate.START_ORDER_MS
    assert agent.phase_of() == views.STOPPING


def test_refused_start_that_expires_is_gone_at_once():
    agent = test_workflow_hosting.Agent()
    call = agent.start()
    agent.answer(call, kind=workerclient.REFUSED, reason=workerclient.LEASE_EXPIRED)
    run = agent.state.runs[test_workflow_hosting.KEY]
    agent.now_ms += hoststate.START_ORDER_MS
    agent.tick(1)
    assert agent.take_calls(workerclient.StartCall) == []
    assert (run.phase, run.reason) == (views.GONE, hostedruns.ORDER_EXPIRED)


@pytest.mark.parametrize(
    "order",
    [
        {"still_ordered": [list(test_workflow_hosting.KEY)]},
        {"starts": [[*test_workflow_hosting.KEY, "payload", ""]], "still_ordered": []},
        # A leader of an earlier release names no starts that stay in force.
        {},
    ],
)
def test_start_that_the_leader_repeats_does_not_expire(order):
    agent = test_workflow_hosting.Agent()
    agent.start()
    agent.take_calls(workerclient.StartCall)
    for _ in range(50):
        agent.tick()
        agent.answer_holds()
        agent.order(**order)
    assert agent.phase_of() == views.ORDERED


def test_pushed_order_that_arrives_late_starts_nothing():
    """A push waits in a cut-off link, and is delivered before the newer orders."""
    agent = test_workflow_hosting.Agent()
    agent.order()
    for _ in range(31):
        agent.tick()
        agent.answer_holds()
    agent.order(
        starts=[[*test_workflow_hosting.KEY, "payload", ""]],
        still_ordered=[],
        sent_ms=0,
    )
    agent.tick()
    assert agent.take_calls(workerclient.StartCall) == []
    assert agent.phase_of() == views.GONE


def test_leader_leaves_starts_in_force_outside_drained_domains(leader):
    leader.submit(STEP.replace(count=8))
    leader.settle()
    leader.drain()
    leader.report_all(views.ORDERED)
    assert leader.orders("a")["still_ordered"] == []
    assert len(leader.orders("b")["still_ordered"]) == 4


def test_restored_workers_get_work_in_proportion_to_their_warmth(leader):
    """Idle and cold workers got nearly all work after a restore."""
    leader.report("b", cold_ms=30_000)
    leader.submit(STEP.replace(cpu_millis=1000))
    leader.settle()
    assert set(leader.placed().values()) == {"a"}
    leader.submit(STEP.replace(count=8, cpu_millis=1000), id="v")
    leader.settle()
    placed = list(leader.placed().values())
    assert placed.count("a") > placed.count("b") > 0
    # The worker has warmed up meanwhile.
    view = leader.state.view_by_id["b"]
    assert view.cold_left_ms(leader.now_ms + 29_000) == 1000
    assert view.cold_left_ms(leader.now_ms + 31_000) == 0


def test_only_a_cold_worker_is_reported_with_a_field_that_older_leaders_refuse():
    agent = test_workflow_hosting.Agent()
    assert "cold_ms" not in hostedreport.report_fields(agent.state)
    agent.announce(sequence=2, cold_ms=700)
    assert hostedreport.report_fields(agent.state)["cold_ms"] == 700


MOVES = st.one_of(
    st.tuples(st.sampled_from(("drain", "restore")), st.sampled_from(("z1", "z2"))),
    st.tuples(st.just("submit"), st.booleans()),
    st.tuples(st.sampled_from(("active", "ordered", "ends")), st.none()),
    st.tuples(st.just("term"), st.none()),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(MOVES, min_size=5, max_size=25))
def test_no_sequence_of_drains_orders_a_start_in_a_drained_domain(moves):
    leader = make_leader("a", "b", "c")
    number = 0
    term = 1
    end_number = dict.fromkeys(DOMAIN_BY_WORKER, 0)
    for kind, argument in moves:
        if kind in ("drain", "restore"):
            leader.drain(argument, undo=kind == "restore")
        elif kind == "submit":
            number += 1
            step = STEP.replace(count=3, is_gang=argument, is_checkpointing=True)
            leader.submit(step, id=f"w{number}")
        elif kind == "term":
            term += 1
            leader.start_term(term)
        elif kind == "ends":
            for worker in DOMAIN_BY_WORKER:
                ends = []
                for key in list(leader.store.runs_of(worker, 1)):
                    end_number[worker] += 1
                    ends.append([end_number[worker], *key, "stopped", "c"])
                leader.report(worker, ends=ends)
        else:
            leader.report_all(kind)
        placed = leader.placed()
        leader.tick(300)
        leader.settle()
        for task, worker in leader.placed().items():
            if task not in placed:
                assert DOMAIN_BY_WORKER[worker] not in leader.machine.domain_drains
        for worker, domain in DOMAIN_BY_WORKER.items():
            if domain in leader.machine.domain_drains:
                orders = leader.orders(worker)
                assert orders["starts"] == orders["still_ordered"] == []
