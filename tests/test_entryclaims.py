"""Tests that a keyed request runs at most once across entries, agents and leaders.

The simulated cluster has two entries, two agents and the table of claims. Random
choices decide the order in which proposals, requests and queries arrive, which answers
are lost, which messages arrive after their sender timed out, and when agents restart.
"""

import base64

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge import outcome
from sardinegauge.entries import entryevents
from sardinegauge.links import httpmessages
from tests import test_entry
from tests.test_entry import MAY_HAVE_RUN, NOT_RUN, RAN

UPSTREAMS = ("u1", "u2")


class Cluster:
    """Entries, agents and claims.

    Effects that are not executed yet are in the `pending` list of each entry, and
    messages that arrive after their sender timed out in `delayed`.
    """

    def __init__(self):
        self.entries = [test_entry.Session(UPSTREAMS, retry_ratio=1) for _ in range(2)]
        self.incarnations = dict.fromkeys(UPSTREAMS, 1)
        self.keys_by_agent = {name: {} for name in UPSTREAMS}
        self.claims = {}
        self.index = 0
        self.next_number = 1
        self.runs = []
        self.delayed = []

    def incarnation(self, name):
        return f"{name}-{self.incarnations[name]}"

    # Callers

    def arrive(self, entry_index, seed, deadline_ms=10_000):
        number = self.next_number
        self.next_number += 1
        self.entries[entry_index].arrive(
            number, seed=seed, is_idempotent=False, key="k", deadline_ms=deadline_ms
        )

    # State process

    def apply_proposal(self, effect):
        self.index += 1
        claim = self.claims.get(effect.key)
        if isinstance(effect, entryevents.MakeClaim):
            is_new = claim is None
            if is_new:
                claim = self.claims[effect.key] = {
                    "claim_index": self.index,
                    "state": "open",
                    "upstream": effect.upstream,
                    "incarnation": effect.incarnation,
                    "entry": effect.token,
                }
            return outcome.Accepted(value={**claim, "is_new": is_new})
        if claim is None or claim["claim_index"] != effect.claim_index:
            return outcome.Impossible(reason="no such claim")
        if isinstance(effect, entryevents.SettleClaim):
            response = effect.response
            claim.update(
                state="settled",
                status=response.status,
                headers=[],
                body=base64.b64encode(response.body).decode(),
                is_body_kept=response.is_body_kept,
            )
        elif claim["state"] == "open":
            del self.claims[effect.key]
        return outcome.Accepted()

    def propose(self, session, effect, choice):
        """Lose, refuse or delay a proposal, or apply it with or without an answer."""
        if choice == 0:
            answer = outcome.Lost(reason="leader lost")
        elif choice == 1:
            answer = outcome.Refused(reason="no leader")
        elif choice == 2:
            self.delayed.append(lambda: self.apply_proposal(effect))
            answer = outcome.Lost(reason="leader lost")
        else:
            value = self.apply_proposal(effect)
            answer = outcome.Lost(reason="leader lost")
            if choice > 3:
                answer = outcome.Answered(value=value)
        if isinstance(effect, entryevents.MakeClaim):
            kind = entryevents.ClaimAnswered
        elif getattr(effect, "is_awaited", False):
            kind = entryevents.ClaimReleased
        else:
            return
        session.apply(kind, number=effect.number, answer=answer, seed=choice)

    # Agents

    def run_at_agent(self, send):
        """Deliver a request; return True if it ran and None if it was refused."""
        if send.incarnation != self.incarnation(send.upstream):
            return None
        keys = self.keys_by_agent[send.upstream]
        if send.claim_index in keys:
            return None
        keys[send.claim_index] = "finished"
        self.runs.append(send.number)
        return True

    def deliver(self, session, send, choice):
        """Deliver or refuse a request, or lose the link before or after delivery."""
        if choice == 0:
            session.fail(send, MAY_HAVE_RUN)
        elif choice == 1:
            session.fail(send, MAY_HAVE_RUN)
            self.delayed.append(lambda: self.run_at_agent(send))
        elif choice == 2:
            session.fail(send, NOT_RUN, is_refusal=True)
        elif self.run_at_agent(send) is None:
            session.fail(send, NOT_RUN, is_refusal=True)
        elif choice == 3:
            session.fail(send, MAY_HAVE_RUN)
        else:
            session.pending.remove(send)
            ids = {"number": send.number, "attempt": send.attempt}
            session.apply(
                entryevents.HeadReceived, status=200, in_flight=1, queued=0, **ids
            )
            response = httpmessages.KeyReply(
                state="finished", status=200, body=b"done", is_body_kept=True
            )
            session.apply(entryevents.AttemptFinished, response=response, **ids)

    def query(self, session, effect, choice):
        reply = None
        if choice and effect.incarnation == self.incarnation(effect.upstream):
            keys = self.keys_by_agent[effect.upstream]
            state = keys.setdefault(effect.claim_index, "fenced")
            if choice > 1:
                reply = httpmessages.KeyReply(
                    state=state, status=200, body=b"done", is_body_kept=True
                )
        session.apply(
            entryevents.KeyAnswered, number=effect.number, reply=reply, seed=choice
        )

    def restart(self, name):
        """Start a new incarnation, which has lost the keys of the previous one."""
        self.incarnations[name] += 1
        self.keys_by_agent[name] = {}
        for session in self.entries:
            upstream = session.state.upstreams.by_name[name]
            upstream.incarnation = self.incarnation(name)
            session.apply(
                entryevents.LinkOpened,
                upstream=name,
                incarnation=self.incarnation(name),
            )

    # Steps

    def step(self, choice):
        kind, value = choice % 8, choice // 8
        session = self.entries[value % 2]
        value //= 2
        if kind == 0 and self.next_number < 9:
            self.arrive(self.entries.index(session), value, 50 + value % 3_000)
        elif kind == 1:
            self.pass_time(session, value)
        elif kind == 2 and self.delayed:
            self.delayed.pop(value % len(self.delayed))()
        elif kind == 3 and value % 4 == 0:
            self.restart(UPSTREAMS[value // 4 % 2])
        else:
            self.advance(session, value)

    def pass_time(self, session, value):
        session.now_ms += value % 500
        session.poll()
        session.expire_timers(seed=value)
        if value % 5 == 0:
            for number in list(session.state.requests):
                session.apply(entryevents.DeadlinePassed, number=number)

    def advance(self, session, value):
        effects = [e for e in session.pending if type(e) in self._METHOD_BY_EFFECT]
        if not effects:
            return
        effect = effects[value % len(effects)]
        if not isinstance(effect, entryevents.Send):
            session.pending.remove(effect)
        self._METHOD_BY_EFFECT[type(effect)](self, session, effect, value // 8 % 12)

    _METHOD_BY_EFFECT = {
        entryevents.Send: deliver,
        entryevents.MakeClaim: propose,
        entryevents.ReleaseClaim: propose,
        entryevents.SettleClaim: propose,
        entryevents.QueryKey: query,
    }

    def check(self):
        assert len(self.runs) <= 1, "the order ran twice"
        for session in self.entries:
            for number, final in session.finals.items():
                if isinstance(final, entryevents.Answer) and final.verdict is NOT_RUN:
                    assert number not in self.runs, "a false not-run"


@settings(max_examples=1500, deadline=None)
@given(st.lists(st.integers(0, 1 << 24), min_size=10, max_size=150))
def test_keyed_order_runs_at_most_once_whatever_is_lost(choices):
    cluster = Cluster()
    cluster.arrive(0, 0)
    for choice in choices:
        cluster.step(choice)
        cluster.check()
    while cluster.delayed:
        cluster.delayed.pop()()
        cluster.check()


def _answer_claim(session, **value):
    """Answer the pending proposal of a claim."""
    effect = next(e for e in session.pending if isinstance(e, entryevents.MakeClaim))
    session.pending.remove(effect)
    session.apply(
        entryevents.ClaimAnswered,
        number=effect.number,
        answer=outcome.Answered(value=outcome.Accepted(value=value)),
        seed=1,
    )


OPEN = {
    "claim_index": 5,
    "state": "open",
    "upstream": "u1",
    "incarnation": "u1-1",
    "is_new": False,
}


def test_open_claim_of_a_lost_agent_is_answered_at_once_as_may_have_run():
    session = test_entry.Session()
    session.apply(entryevents.LinkClosed, upstream="u1")
    session.arrive(1, is_idempotent=False, key="k")
    _answer_claim(session, **OPEN)
    final = session.finals[1]
    assert (final.status, final.verdict) == (504, MAY_HAVE_RUN)
    assert not session.sends


def test_finished_key_is_replayed_and_settled():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    _answer_claim(session, **OPEN)
    reply = httpmessages.KeyReply(
        state="finished", status=201, body=b"done", is_body_kept=True
    )
    effects = session.apply(entryevents.KeyAnswered, number=1, reply=reply, seed=1)
    assert [type(e) for e in effects] == [entryevents.SettleClaim, entryevents.Replay]
    assert session.finals[1].response.body == b"done"


def test_claim_is_not_released_for_a_key_that_may_have_run():
    for state in ("unknown", "cut"):
        session = test_entry.Session()
        session.arrive(1, is_idempotent=False, key="k")
        _answer_claim(session, **OPEN)
        reply = httpmessages.KeyReply(state=state)
        session.apply(entryevents.KeyAnswered, number=1, reply=reply, seed=1)
        final = session.finals[1]
        assert (final.status, final.verdict) == (504, MAY_HAVE_RUN)


def test_claim_is_used_again_only_after_its_release_is_certain():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    _answer_claim(session, claim_index=5, is_new=True)
    session.fail(session.sends[0], NOT_RUN, is_refusal=True)
    lost = outcome.Lost(reason="leader lost")
    session.apply(entryevents.ClaimReleased, number=1, answer=lost, seed=1)
    assert not any(isinstance(e, entryevents.MakeClaim) for e in session.pending)
    session.expire_timers()
    released = [e for e in session.pending if isinstance(e, entryevents.ReleaseClaim)]
    assert [e.claim_index for e in released] == [5, 5]


def test_late_claim_for_another_upstream_is_queried_and_not_used():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    _answer_claim(session, claim_index=5, is_new=True)
    first = session.sends[0]
    session.fail(first, NOT_RUN, is_refusal=True)
    done = outcome.Answered(value=outcome.Accepted())
    session.apply(entryevents.ClaimReleased, number=1, answer=done, seed=1)
    delayed = dict(OPEN, upstream=first.upstream, incarnation=first.incarnation)
    _answer_claim(session, **delayed, entry="t1")
    assert session.sends == [first]
    asked = [e for e in session.pending if isinstance(e, entryevents.QueryKey)]
    assert [e.upstream for e in asked] == [first.upstream]


def test_body_that_is_not_kept_is_answered_as_ran():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    settled = dict(OPEN, state="settled", status=200, headers=[], body="")
    _answer_claim(session, **settled, is_body_kept=False)
    assert (session.finals[1].status, session.finals[1].verdict) == (409, RAN)


def test_same_key_with_another_request_is_refused():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    session.apply(
        entryevents.ClaimAnswered,
        number=1,
        answer=outcome.Answered(value=outcome.Conflict(version=1, operator="")),
        seed=1,
    )
    assert (session.finals[1].status, session.finals[1].verdict) == (422, NOT_RUN)


def test_claim_that_commits_after_the_deadline_is_released_and_not_sent():
    session = test_entry.Session()
    session.arrive(1, is_idempotent=False, key="k")
    session.apply(entryevents.DeadlinePassed, number=1)
    assert session.finals[1].verdict is NOT_RUN
    _answer_claim(session, claim_index=5, state="open", is_new=True)
    assert not session.sends
    released = [e for e in session.pending if isinstance(e, entryevents.ReleaseClaim)]
    assert [e.claim_index for e in released] == [5]
    assert not session.state.requests
