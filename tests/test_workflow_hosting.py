"""Guards against runs that outlive their lease, start twice or vanish unnoticed."""

import pytest

from sardinegauge.links import messages
from sardinegauge.workflows import (
    hostevents,
    hosting,
    hoststate,
    views,
    workerport,
)

KEY = ("w.0.0.0", 1)


class Agent:
    """Drives the reducer with a worker whose answers the test gives."""

    def __init__(self):
        self.state = hoststate.State("vm-1")
        self.now_ms = 100_000
        self.sequence = 0
        self.calls = []
        self.reports = 0
        self.announce()
        self.answer_holds()

    def feed(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        for effect in hosting.reduce(self.state, event):
            if isinstance(effect, hostevents.SendReport):
                self.reports += 1
            else:
                self.calls.append(effect)

    def announce(self, life=1, sequence=1, worker="i-1", **fields):
        announcement = workerport.Announcement(
            worker=worker,
            life=life,
            address="10.0.0.1:80",
            pool="p",
            sequence=sequence,
            **fields,
        )
        self.feed(hostevents.Announced, announcement=announcement)

    def take(self, kind):
        found = [call for call in self.calls if isinstance(call.request, kind)]
        self.calls = [call for call in self.calls if call not in found]
        return found

    def answer(self, call, **fields):
        answer = workerport.Answer(clock_ms=self.now_ms - 50_000, **fields)
        self.feed(hostevents.Answered, call=call, answer=answer)

    def answer_holds(self, running=(), ended=()):
        for call in self.take(workerport.HoldCall):
            self.answer(
                call,
                life=self.state.life,
                running=[list(row) for row in running],
                ended=[list(row) for row in ended],
            )

    def order(self, starts=(), stops=(), seen_end=0, grant_ms=4500, **fields):
        self.sequence += 1
        body = {
            "seen_end": seen_end,
            "starts": [list(row) for row in starts],
            "stops": [list(key) for key in stops],
            "forget": [],
            "paces": [],
            "is_watched": False,
            **fields,
        }
        message = messages.WorkerOrders(
            confirmed=True,
            worker="i-1",
            life=self.state.life,
            term=1,
            sequence=self.sequence,
            sent_ms=self.now_ms,
            grant_ms=grant_ms,
        )
        self.feed(hostevents.OrdersReceived, message=message, body=body)

    def start(self):
        self.order(starts=[[*KEY, "payload", ""]])
        (call,) = self.take(workerport.StartCall)
        return call

    def tick(self, ms=100):
        self.now_ms += ms
        self.feed(hostevents.Tick)

    def phase(self, key=KEY):
        run = self.state.runs.get(key)
        return run.phase if run is not None else None


@pytest.fixture
def agent():
    return Agent()


def test_start_carries_a_lease_that_ends_with_the_grant_on_a_slow_clock(agent):
    call = agent.start()
    left_ms = call.request.lease_until_ms - (agent.now_ms - 50_000)
    assert 4000 < left_ms <= 4500 * 0.98
    assert call.request.fence == 1
    agent.answer(call)
    assert agent.phase() == views.ACTIVE


def test_nothing_starts_without_a_grant_or_before_the_fence(agent):
    agent.order(starts=[[*KEY, "payload", ""]], grant_ms=0)
    assert agent.take(workerport.StartCall) == []
    agent.order()
    agent.tick()
    assert len(agent.take(workerport.StartCall)) == 1
    agent.announce(life=2)
    agent.order(starts=[[*KEY, "payload", ""]])
    assert agent.take(workerport.StartCall) == []


def test_unanswered_start_is_repeated_and_one_listed_run_is_enough(agent):
    call = agent.start()
    agent.feed(hostevents.Unanswered, call=call, is_down=False)
    agent.tick()
    (again,) = agent.take(workerport.StartCall)
    assert again.request.run == 1
    agent.answer_holds(running=[[*KEY, "", 5, 0]])
    assert agent.phase() == views.ACTIVE


def test_refused_start_without_doubt_is_gone_at_once(agent):
    call = agent.start()
    agent.answer(call, kind=workerport.REFUSED, reason=workerport.BY_ROOM)
    assert agent.phase() == views.GONE


def test_refused_start_after_an_unanswered_one_is_stopped_first(agent):
    """The unanswered order may be carried out after the refusal."""
    call = agent.start()
    agent.feed(hostevents.Unanswered, call=call, is_down=False)
    agent.tick()
    (again,) = agent.take(workerport.StartCall)
    agent.answer(again, kind=workerport.REFUSED, reason=workerport.BY_ROOM)
    assert agent.phase() == views.STOPPING
    (stop,) = agent.take(workerport.StopCall)
    agent.take(workerport.HoldCall)
    agent.answer(stop)
    agent.tick()
    agent.answer_holds()
    assert agent.phase() == views.GONE


def test_stop_is_confirmed_by_a_list_that_was_asked_for_after_it(agent):
    agent.answer(agent.start())
    early = agent.take(workerport.HoldCall)
    agent.order(stops=[KEY])
    (stop,) = agent.take(workerport.StopCall)
    agent.now_ms += 5
    agent.answer(stop)
    late = agent.take(workerport.HoldCall)
    for call in early:
        agent.answer(call, life=1, running=[], ended=[])
    assert agent.phase() == views.STOPPING
    for call in late:
        agent.answer(call, life=1, running=[[*KEY, "", 5, 0]], ended=[])
    assert agent.phase() == views.STOPPING
    agent.now_ms += 5
    agent.tick()
    agent.answer_holds(ended=[[1, *KEY, "stopped", "saved"]])
    assert agent.phase() is None
    assert hosting.report_fields(agent.state)["ends"] == [[1, *KEY, "stopped", "saved"]]


def test_ends_are_listed_until_the_leader_has_taken_note(agent):
    agent.answer(agent.start())
    agent.tick()
    agent.answer_holds(ended=[[1, *KEY, "done", ""]])
    assert agent.state.ends
    assert all(c.request.seen_end == 0 for c in agent.take(workerport.HoldCall))
    agent.order(seen_end=1)
    assert not agent.state.ends
    assert agent.take(workerport.HoldCall)[-1].request.seen_end == 1
    agent.order(starts=[[*KEY, "payload", ""]], seen_end=1)


def test_outdated_orders_are_ignored(agent):
    agent.order()
    agent.sequence = 0
    agent.order(starts=[[*KEY, "payload", ""]])
    assert agent.take(workerport.StartCall) == []


def test_lease_is_renewed_only_within_the_grant(agent):
    agent.answer(agent.start())
    for _ in range(60):
        agent.tick()
        holds = agent.take(workerport.HoldCall)
        for call in holds:
            assert call.request.lease_until_ms <= agent.state.grant_until_ms - 50_000
            agent.answer(call, life=1, running=[[*KEY, "", 5, 0]], ended=[])
    assert holds[-1].request.lease_until_ms == 0


def test_silent_worker_lapses_only_after_its_last_lease(agent):
    agent.answer(agent.start())
    begun_ms = agent.now_ms
    while not agent.state.is_lapsed:
        agent.tick()
        for call in agent.take(workerport.HoldCall):
            agent.feed(hostevents.Unanswered, call=call, is_down=False)
        assert agent.now_ms < begun_ms + 10_000
    assert agent.now_ms > begun_ms + 4500
    # A grant from before must not renew the leases of runs that are given up.
    assert agent.state.lease_until_ms() == 0
    agent.order(grant_ms=4500)
    assert agent.state.lease_until_ms() == 0


def test_crashed_worker_gives_up_its_runs_at_once(agent):
    agent.answer(agent.start())
    for _ in range(3):
        agent.tick()
        for call in agent.take(workerport.HoldCall):
            agent.feed(hostevents.Unanswered, call=call, is_down=True)
    assert agent.phase() == views.GONE
    assert not hosting.report_fields(agent.state)["is_fenced"]


def test_crash_leaves_an_unanswered_start_in_doubt(agent):
    """A next life of the worker may still carry out the order."""
    call = agent.start()
    agent.feed(hostevents.Unanswered, call=call, is_down=False)
    for _ in range(5):
        agent.tick()
        for kind in (workerport.HoldCall, workerport.StartCall):
            for call in agent.take(kind):
                agent.feed(hostevents.Unanswered, call=call, is_down=True)
    assert agent.phase() == views.ORDERED
    agent.tick(hosting.LATE_ORDER_MS)
    assert agent.phase() == views.GONE


def test_new_life_begins_fenced_anew_and_late_announcements_are_ignored(agent):
    agent.answer(agent.start())
    agent.announce(life=2, sequence=1)
    assert agent.state.runs == {}
    (hold,) = agent.take(workerport.HoldCall)[-1:]
    assert hold.request.fence == 2 and not agent.state.is_fenced
    agent.answer(hold, life=2, running=[], ended=[])
    assert agent.state.is_fenced
    agent.announce(life=1, sequence=9)
    assert agent.state.life == 2


def test_worker_of_another_id_counts_though_its_life_was_seen_before(agent):
    """Its refusals name its life; the agent took it for a life of the former worker.

    The announcement then brought nothing new, and the worker was never used.
    """
    agent.tick()
    (hold,) = agent.take(workerport.HoldCall)[-1:]
    agent.answer(hold, kind=workerport.OTHER_LIFE, life=2)
    assert (agent.state.life, agent.state.is_down) == (1, True)
    agent.announce(life=2, worker="i-2")
    agent.answer_holds()
    assert agent.state.announcement.worker == "i-2"
    assert agent.state.is_fenced and not agent.state.is_down


def test_same_worker_in_a_next_life_is_taken_from_its_answers(agent):
    agent.tick()
    (hold,) = agent.take(workerport.HoldCall)[-1:]
    agent.answer(hold, life=2, running=[], ended=[])
    assert agent.state.life == 2
    # Its announcement, with another sequence of numbers, still counts.
    agent.announce(life=2, sequence=1, is_draining=True)
    assert agent.state.is_draining


def test_late_run_in_a_new_life_is_reported(agent):
    """An order of the former life was carried out before the new fence."""
    agent.announce(life=2, sequence=1)
    agent.answer_holds(running=[[*KEY, "", 1, 0]])
    rows = hosting.report_fields(agent.state)["runs"]
    assert [row[:3] for row in rows] == [[*KEY, views.ACTIVE]]


def test_draining_worker_starts_nothing_more(agent):
    """A former agent may have started the run, so it is stopped before it is gone."""
    agent.announce(sequence=2, is_draining=True)
    agent.order(starts=[[*KEY, "payload", ""]])
    assert agent.take(workerport.StartCall) == []
    assert agent.phase() == views.STOPPING
    (stop,) = agent.take(workerport.StopCall)
    agent.answer(stop)
    agent.tick()
    agent.answer_holds()
    assert agent.phase() == views.GONE


def test_run_is_logged_as_active_also_where_the_list_comes_first(agent, caplog):
    # The story of a task then lacked its start.
    caplog.set_level("INFO")
    call = agent.start()
    agent.tick(700)
    agent.answer_holds(running=[[*KEY, "", 1, 0]])
    agent.answer(call)
    lines = [r.message for r in caplog.records if r.message.startswith("run_active")]
    assert len(lines) == 1
    assert "seen_in=list" in lines[0]


def test_list_of_the_same_millisecond_does_not_make_a_run_vanish(agent):
    call = agent.start()
    agent.tick(0)
    holds = agent.take(workerport.HoldCall)
    agent.answer(call)
    for hold in holds:
        agent.answer(hold, life=1, running=[], ended=[])
    assert agent.phase() == views.ACTIVE


def test_pace_is_ordered_until_it_is_confirmed(agent):
    agent.answer(agent.start())
    agent.order(paces=[[*KEY, 30]])
    (call,) = agent.take(workerport.PaceCall)
    agent.feed(hostevents.Unanswered, call=call, is_down=False)
    agent.now_ms += 200
    agent.order(paces=[[*KEY, 30]])
    (call,) = agent.take(workerport.PaceCall)
    agent.answer(call)
    assert hosting.report_fields(agent.state)["runs"][0][-1] == 30


def test_run_begins_at_the_pace_of_its_order(agent):
    """Load pattern: a filler comes to a worker whose serving tasks have no room."""
    agent.order(starts=[[*KEY, "payload", "", "", 20]])
    (call,) = agent.take(workerport.StartCall)
    agent.answer(call)
    (pace,) = agent.take(workerport.PaceCall)
    assert pace.request.percent == 20
