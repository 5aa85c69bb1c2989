"""Tests keyed requests over sockets: replays, lost entries, agents and leaders."""

import asyncio

from sardinegauge import outcome
from sardinegauge.links import httpmessages
from tests import entryfakes
from tests.entrykit import agent, fetch, run, verdict

KEY = {"Idempotency-Key": "order-7", "Sardinegauge-Tenant": "karri"}


def order(app, body=b"two hides", **options):
    return fetch(app, "/shop/order", method="POST", body=body, headers=KEY, **options)


async def answer_run_number(agent, exchange, head, body):
    """Answer with the number of this run, counted from 1."""
    headers = [httpmessages.Header(name="X-Order", value="7")]
    entryfakes.send_response(exchange, b"%d" % len(agent.received), 201, headers)


def open_claim(state, incarnation="i1"):
    """Store the open claim of an entry that no longer runs."""
    state.claims["karri", "order-7"] = {
        "digest": None,
        "claim_index": 9,
        "state": "open",
        "upstream": "u1",
        "incarnation": incarnation,
        "entry": "another entry",
    }


def test_resend_to_another_entry_gets_the_first_response():
    async def test(app):
        first = await order(app)
        await entryfakes.wait_until(lambda: not app.requests.is_busy)
        async with entryfakes.running(app.fake) as other:
            again = await order(other)
            changed = await order(other, body=b"three hides")
        return first, again, changed, app.agents[0].received

    first, again, changed, received = run(test, agent(answer_run_number))
    for response in (first, again):
        assert (response.code, response.body) == (201, b"1")
        assert (response.headers["X-Order"], verdict(response)) == ("7", "ran")
    assert (changed.code, verdict(changed)) == (422, "not-run")
    assert len(received) == 1


def test_proposals_lost_with_the_leader_cause_no_second_run():
    failures = [outcome.Refused(reason="no leader"), outcome.Lost(reason="gone")]

    async def test(app):
        app.fake.failures = failures
        app.fake.lost_answers = 1
        response = await order(app)
        await entryfakes.wait_until(lambda: not app.requests.is_busy)
        return response, app.agents[0].received, app.fake.claims

    response, received, claims = run(test, agent(answer_run_number))
    assert (response.code, len(received)) == (201, 1)
    assert claims["karri", "order-7"]["state"] == "settled"


def resend_after(*replies, incarnation="i1"):
    """Resend an order whose first entry no longer runs.

    `replies` are the agent's answers to the key queries, in order.
    """

    async def test(app):
        open_claim(app.fake, incarnation)
        app.agents[0].key_replies = list(replies)
        response = await order(app, request_timeout=5)
        await entryfakes.wait_until(lambda: not app.requests.is_busy)
        return response, app.agents[0].received, app.fake.claims["karri", "order-7"]

    return run(test, agent(answer_run_number))


def test_key_that_a_lost_entry_never_sent_is_fenced_and_runs_once():
    response, received, claim = resend_after(httpmessages.KeyReply(state="fenced"))
    assert (response.code, len(received)) == (201, 1)
    assert claim["claim_index"] != 9 and claim["state"] == "settled"
    assert received[0][0].claim_index == claim["claim_index"]


def test_running_key_is_waited_for_and_its_response_returned():
    finished = httpmessages.KeyReply(
        state="finished", status=201, body=b"first", is_body_kept=True
    )
    running = httpmessages.KeyReply(state="running")
    response, received, claim = resend_after(running, running, finished)
    assert (response.code, response.body, received) == (201, b"first", [])
    assert claim["state"] == "settled"


def test_restarted_agent_leaves_an_open_claim_may_have_run_at_once():
    response, received, _ = resend_after(incarnation="i0")
    assert (response.code, verdict(response), received) == (504, "may-have-run", [])
    assert response.request_time < 1


def test_body_of_a_keyed_request_is_limited():
    async def test(app):
        response = await order(app, body=bytes(300_000))
        return response, app.fake.proposed

    response, proposed = run(test, agent())
    assert (response.code, verdict(response), proposed) == (413, "not-run", [])


def test_drain_waits_until_the_response_is_in_its_claim():
    async def test(app):
        state, release = app.fake, asyncio.Event()
        propose = state.propose

        async def slow_propose(command, timeout_s):
            if type(command).__name__ == "SettleClaim":
                await release.wait()
            return await propose(command, timeout_s)

        state.propose = slow_propose
        assert (await order(app)).code == 201
        drain = asyncio.ensure_future(app.on_drain())
        await asyncio.sleep(0.1)
        is_early = drain.done()
        release.set()
        await drain
        return is_early, state.claims["karri", "order-7"]["state"]

    assert run(test, agent(answer_run_number)) == (False, "settled")
