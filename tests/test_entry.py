"""Tests of the entry's reducer in virtual time: verdicts, retries, limits."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge import outcome
from sardinegauge.entries import entry, entryevents, retrybudget
from sardinegauge.links import messages

NOT_RUN = outcome.Verdict.NOT_RUN
MAY_HAVE_RUN = outcome.Verdict.MAY_HAVE_RUN
RAN = outcome.Verdict.RAN
FINAL = (
    entryevents.Answer,
    entryevents.Replay,
    entryevents.FinishResponse,
    entryevents.AbortResponse,
    entryevents.DiscardCaller,
)


class Session:
    """One reducer in virtual time.

    `pending` lists the effects that are not answered yet, `sends` all attempts, and
    `finals` the final effect of each request.
    """

    def __init__(self, upstreams=("u1", "u2"), document=None, **limits):
        options = {"max_concurrent": 100, "max_per_tenant": 50, "retry_ratio": 0.1}
        self.state = entry.State(**{**options, **limits})
        self.now_ms = 1_000_000
        self.finals = {}
        self.sends = []
        self.pending = []
        self.retries_at_ms = []
        self.verdicts = {}
        self.poll(upstreams, document)
        for name in upstreams:
            self.apply(entryevents.LinkOpened, upstream=name, incarnation=f"{name}-1")

    def poll(self, upstreams=None, document=None, version=1, **changes):
        entries = [
            messages.Upstream(
                upstream=name,
                incarnation=f"{name}-1",
                address="127.0.0.1:1",
                services=["shop"],
                connections=64,
            )
            for name in upstreams or ()
        ]
        fields = {
            "confirmed": True,
            "config_version": version,
            "config": json.dumps(document or {}).encode(),
            "directory_version": version,
            "is_full_directory": upstreams is not None,
            "directory": entries,
        }
        reply = messages.PollReply(**{**fields, **changes})
        self.apply(entryevents.PollAnswered, sent_ms=self.now_ms, reply=reply)

    def apply(self, kind, **fields):
        effects = entry.reduce(self.state, kind(now_ms=self.now_ms, **fields))
        for effect in effects:
            if isinstance(effect, FINAL):
                assert effect.number not in self.finals, "a second final answer"
                self.finals[effect.number] = effect
            elif isinstance(effect, entryevents.Send):
                self.sends.append(effect)
                self.pending.append(effect)
                if effect.attempt > 1:
                    self.retries_at_ms.append(self.now_ms)
            elif isinstance(effect, entryevents.Cancel):
                self.pending = [
                    e
                    for e in self.pending
                    if not isinstance(e, entryevents.Send) or e.number != effect.number
                ]
            else:
                self.pending.append(effect)
        return effects

    def arrive(self, number, deadline_ms=10_000, seed=0, has_body=False, **fields):
        options = {"tenant": "karri", "service": "shop", "token": f"t{number}"}
        call = entryevents.Call(
            deadline_ms=self.now_ms + deadline_ms, **{**options, **fields}
        )
        self.apply(entryevents.RequestArrived, number=number, call=call)
        if not has_body and number not in self.finals:
            self.apply(entryevents.BodyReady, number=number, digest="d", seed=seed)

    def fail(self, send, verdict, **fields):
        if send in self.pending:
            self.pending.remove(send)
        self.verdicts[send.number, send.attempt] = verdict
        fields = {"reason": "test", "seed": 7, "verdict": verdict, **fields}
        ids = {"number": send.number, "attempt": send.attempt}
        self.apply(entryevents.AttemptFailed, **ids, **fields)

    def expire_timers(self, seed=3):
        """Let all pending timers expire."""
        waits = [e for e in self.pending if isinstance(e, entryevents.StartTimer)]
        for effect in waits:
            self.pending.remove(effect)
            ids = {"number": effect.number, "token": effect.token}
            self.apply(entryevents.TimerExpired, seed=seed, **ids)

    def respond(self, send, status=200):
        if send in self.pending:
            self.pending.remove(send)
        ids = {"number": send.number, "attempt": send.attempt}
        self.apply(
            entryevents.HeadReceived, status=status, in_flight=1, queued=0, **ids
        )
        self.apply(entryevents.AttemptFinished, **ids)


def test_unsafe_request_is_retried_after_not_run_but_not_after_a_loss():
    session = Session()
    session.arrive(1, is_idempotent=False)
    session.fail(session.sends[0], NOT_RUN, is_refusal=True)
    session.expire_timers()
    first, second = session.sends
    assert first.upstream != second.upstream
    session.fail(second, MAY_HAVE_RUN)
    final = session.finals[1]
    assert (final.status, final.verdict) == (504, MAY_HAVE_RUN)


def test_request_that_crashes_its_upstreams_takes_down_at_most_two():
    session = Session()
    session.state.retry_budget.try_spend = lambda now_ms: True
    session.arrive(1)
    while 1 not in session.finals:
        session.fail(session.sends[-1], MAY_HAVE_RUN)
        session.expire_timers()
    assert len(session.sends) == 2
    assert session.finals[1].verdict is MAY_HAVE_RUN


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run():
    session = Session()
    session.arrive(1)
    session.fail(session.sends[0], MAY_HAVE_RUN)
    session.expire_timers()
    session.state.retry_budget.try_spend = lambda now_ms: False
    session.fail(session.sends[1], NOT_RUN, is_refusal=True)
    assert session.finals[1].verdict is MAY_HAVE_RUN


def test_end_of_an_earlier_attempt_does_not_complete_a_later_one():
    session = Session()
    session.arrive(1)
    session.fail(session.sends[0], MAY_HAVE_RUN)
    session.expire_timers()
    session.apply(
        entryevents.HeadReceived, number=1, attempt=2, status=200, in_flight=1, queued=0
    )
    session.apply(entryevents.AttemptFinished, number=1, attempt=1)
    assert not session.finals


def test_streaming_body_is_not_sent_twice():
    session = Session()
    session.arrive(1)
    session.fail(session.sends[0], NOT_RUN, is_body_consumed=True)
    final = session.finals[1]
    assert (final.status, final.verdict) == (503, NOT_RUN)
    assert final.retry_after_ms > 0


def test_without_confirmation_requests_are_refused_after_five_seconds():
    session = Session()
    session.now_ms += 4_999
    session.arrive(1)
    assert len(session.sends) == 1
    session.now_ms += 1
    session.arrive(2)
    final = session.finals[2]
    assert (final.status, final.verdict) == (503, NOT_RUN)
    # A reply confirms the configuration from the time at which the poll was sent.
    delayed = messages.PollReply(confirmed=True, config_version=1, directory_version=1)
    session.apply(
        entryevents.PollAnswered, sent_ms=session.now_ms - 5_000, reply=delayed
    )
    session.arrive(3)
    assert session.finals[3].status == 503


def test_configuration_never_reverts_and_an_older_reply_confirms_nothing():
    session = Session(document={"tenants": {"karri": {"max_concurrent": 1}}})
    session.poll(document={"tenants": {"karri": {"max_concurrent": 2}}}, version=7)
    confirmed_ms = session.state.confirmed_until_ms
    session.now_ms += 1_000
    session.poll(document={"tenants": {}}, version=6)
    session.poll(document={"tenants": {}}, version=6, directory_version=7)
    session.poll(document={"tenants": {}}, version=7, directory_version=6)
    assert session.state.config_version == 7
    assert session.state.configuration["tenants"]["karri"]["max_concurrent"] == 2
    assert session.state.confirmed_until_ms == confirmed_ms


def test_upstream_that_refuses_as_draining_gets_no_more_requests():
    session = Session()
    session.arrive(1)
    leaving = session.sends[0].upstream
    session.fail(session.sends[0], NOT_RUN, is_refusal=True, is_draining=True)
    for number in range(2, 12):
        session.arrive(number, seed=number * 7919)
    assert leaving not in {send.upstream for send in session.sends[1:]}


def test_ejection_expires_and_never_excludes_more_than_half():
    session = Session()
    for number in range(1, 40):
        session.arrive(number, seed=number * 7919, is_idempotent=False)
        if session.sends[-1].upstream == "u1":
            session.fail(session.sends[-1], MAY_HAVE_RUN)
        else:
            session.respond(session.sends[-1])
    table = session.state.upstreams
    assert [u.name for u in table.candidates("shop", session.now_ms)] == ["u2"]
    assert len(table.candidates("shop", session.now_ms + 5_000)) == 2
    table.by_name["u2"].ejected_until_ms = session.now_ms + 1
    assert len(table.candidates("shop", session.now_ms)) == 2


def test_tenant_over_its_concurrency_waits_in_a_bounded_queue():
    document = {"tenants": {"karri": {"max_concurrent": 2}}}
    session = Session(document=document)
    for number in range(1, 6):
        session.arrive(number)
    assert len(session.sends) == 2
    assert session.finals[5].status == 429
    session.arrive(6, tenant="irbid")
    assert session.sends[-1].number == 6
    session.respond(session.sends[0])
    session.expire_timers()
    assert session.sends[-1].number == 3
    assert session.finals[4].status == 429, "waited too long in the queue"


def test_tenant_rate_limit_is_enforced_and_refills():
    document = {"tenants": {"karri": {"requests_per_s": 10}}}
    session = Session(document=document)
    for number in range(1, 31):
        session.arrive(number)
    assert len(session.sends) == 10
    assert {f.status for f in session.finals.values()} == {429}
    session.now_ms += 500
    for number in range(31, 61):
        session.arrive(number)
    assert len(session.sends) == 15


def test_deadline_verdict_depends_on_what_may_have_run():
    session = Session()
    session.arrive(1, deadline_ms=50)
    session.arrive(2, deadline_ms=50, has_body=True)
    session.arrive(3, deadline_ms=50)
    session.fail(session.sends[-1], NOT_RUN)
    session.now_ms += 50
    for number in (1, 2, 3):
        session.apply(entryevents.DeadlinePassed, number=number)
    answers = [(session.finals[n].status, session.finals[n].verdict) for n in (1, 2, 3)]
    assert answers == [(504, MAY_HAVE_RUN), (408, NOT_RUN), (503, NOT_RUN)]


def test_disconnected_caller_cancels_only_idempotent_attempts():
    session = Session()
    session.arrive(1)
    effects = session.apply(entryevents.CallerDisconnected, number=1)
    assert entryevents.Cancel in {type(e) for e in effects}
    session.arrive(2, is_idempotent=False)
    effects = session.apply(entryevents.CallerDisconnected, number=2)
    assert entryevents.Cancel not in {type(e) for e in effects}
    session.respond(session.sends[-1])
    assert not session.state.requests


def _step(session, choice, number):
    """Execute one random step; return the next unused request number."""
    kind, value = choice % 8, choice // 8
    sends = [e for e in session.pending if isinstance(e, entryevents.Send)]
    if kind <= 1:
        session.arrive(
            number,
            seed=value * 7919,
            is_idempotent=value % 2 == 0,
            deadline_ms=10 + value % 500,
        )
        return number + 1
    if kind == 2:
        session.now_ms += value % 300
        if session.now_ms >= session.state.confirmed_until_ms - 1_000:
            session.poll()
    elif kind == 3:
        session.expire_timers(seed=value)
    elif kind == 4 and number > 1:
        session.apply(entryevents.CallerDisconnected, number=1 + value % (number - 1))
    elif kind == 5 and number > 1:
        session.apply(entryevents.DeadlinePassed, number=1 + value % (number - 1))
    elif sends:
        send = sends[value % len(sends)]
        if kind == 6:
            session.respond(send, status=(200, 500)[value % 2])
        else:
            verdict = (NOT_RUN, NOT_RUN, MAY_HAVE_RUN, RAN)[value % 4]
            session.fail(send, verdict, is_refusal=value % 3 == 0)
    return number


@settings(max_examples=300, deadline=None)
@given(st.lists(st.integers(0, 1 << 20), max_size=120))
def test_every_request_ends_once_and_unsafe_ones_are_not_repeated(choices):
    session = Session(retry_ratio=0.1)
    session.state.retry_budget.min_retries = 1
    number = 1
    idempotent = {}
    for choice in choices:
        previous = number
        number = _step(session, choice, number)
        if number > previous:
            idempotent[previous] = (choice // 8) % 2 == 0
    for left in list(session.state.requests):
        session.apply(entryevents.DeadlinePassed, number=left)
    for send in [e for e in session.pending if isinstance(e, entryevents.Send)]:
        session.respond(send)
    assert set(session.finals) == set(range(1, number))
    assert not session.state.requests
    assert session.state.limits.total_requests == 0
    assert {u.own_in_flight for u in session.state.upstreams.by_name.values()} == {0}
    for send in session.sends:
        if send.attempt > 1 and not idempotent[send.number]:
            before = [session.verdicts[send.number, n] for n in range(1, send.attempt)]
            assert set(before) == {NOT_RUN}
    # After one window of the budget, earlier retries no longer count against it.
    if session.now_ms - 1_000_000 < retrybudget.WINDOW_MS - retrybudget.SLOT_MS:
        assert len(session.retries_at_ms) <= 1 + 0.1 * (number - 1) + 1e-9


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 3)), max_size=300))
def test_retries_of_any_window_stay_within_the_budget(steps):
    budget = retrybudget.RetryBudget(ratio=0.1, min_retries=2)
    now_ms, log = 0, []
    for gap_ms, kind in steps:
        now_ms += gap_ms
        if kind == 0:
            budget.count_request(now_ms)
            log.append((now_ms, 1, 0))
        elif budget.try_spend(now_ms):
            log.append((now_ms, 0, 1))
            first = now_ms - retrybudget.WINDOW_MS + retrybudget.SLOT_MS
            recent = [entry for entry in log if entry[0] >= first]
            longer = [e for e in log if e[0] > now_ms - retrybudget.WINDOW_MS]
            retries = sum(entry[2] for entry in recent)
            assert retries <= 2 + 0.1 * sum(entry[1] for entry in longer)
