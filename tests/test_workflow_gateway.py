"""Guards against wrong refusals, and against queues of an older version."""

import asyncio
import json
import zlib

from sardinegauge import clock, outcome
from sardinegauge.links import messages, stateclient
from sardinegauge.workflows import gateway, queues, steps

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", timeout_ms=1)


class FakeClient:
    """Returns the answers set by the test."""

    def __init__(self):
        self.polls = []
        self.proposed = []
        self.answer = outcome.Answered(outcome.Accepted(ids=["w"]))
        self.value = {}

    def update_members(self, members):
        pass

    async def poll(self, *versions, **transfer):
        if not self.polls:
            return outcome.Refused(reason="no leader")
        return outcome.Answered(self.polls.pop(0))

    async def propose_idempotent(self, command, timeout_s):
        self.proposed.append(command)
        return self.answer

    async def query(self, kind, arguments, timeout_s):
        return self.value


def reply(version, found=(), removed=(), is_full=False):
    plain = {
        "is_full": is_full,
        "queues": [queue.to_sparse_dict() for queue in found],
        "removed": list(removed),
    }
    data = zlib.compress(json.dumps(plain).encode())
    return messages.PollReply(confirmed=True, queues_version=version, queues=data)


def run(scenario):
    async def main():
        client = FakeClient()
        await scenario(client, gateway.Gateway(client))

    asyncio.run(main())


def test_no_queue_is_unknown_before_a_configuration_was_received():
    async def scenario(client, gate):
        assert isinstance(await gate.find("h", "/q/1"), outcome.Refused)
        client.polls = [reply(1, [QUEUE], is_full=True)]
        assert await gate.find("h", "/q/1") == (QUEUE, "1")

    run(scenario)


def test_unknown_queue_is_polled_for_before_it_is_refused():
    async def scenario(client, gate):
        other = QUEUE.replace(name="new", prefix="/new/")
        client.polls = [reply(1, [QUEUE], is_full=True), reply(2, [other])]
        assert await gate.poll()
        assert await gate.find("h", "/new/1") == (other, "1")
        client.polls = [messages.PollReply(confirmed=True, queues_version=2)]
        assert isinstance(await gate.find("h", "/none/1"), gateway.NoQueue)
        assert isinstance(await gate.find("h", "/none/1"), outcome.Refused)

    run(scenario)


def test_queues_never_revert_to_an_older_version():
    async def scenario(client, gate):
        client.polls = [
            reply(5, [QUEUE], is_full=True),
            reply(7, [], removed=["q"]),
            reply(5, [QUEUE], is_full=True),
        ]
        for _ in range(3):
            assert await gate.poll()
        assert gate.version == 7
        assert gate.router.find("h", "/q/1") is None

    run(scenario)


def advance(monkeypatch, seconds):
    """Advance the clock that also runs while the VM is suspended."""
    now_ms = clock.monotonic_ms() + int(1000 * seconds)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms)


def test_readiness_ends_without_confirmed_polls(monkeypatch):
    async def scenario(client, gate):
        assert not gate.is_ready()
        client.polls = [reply(1, [QUEUE], is_full=True)]
        await gate.poll()
        assert gate.is_ready()
        advance(monkeypatch, gateway.CONFIRMATION_TIMEOUT_S + 1)
        assert not gate.is_ready()

    run(scenario)


def test_outcomes_tell_whether_a_workflow_may_have_been_accepted():
    async def scenario(client, gate):
        fields = {"payload": "", "steps": [{}]}
        for answer in (
            outcome.Refused(reason="no leader"),
            outcome.Lost(reason="no answer"),
        ):
            client.answer = answer
            assert await gate.submit(QUEUE, "w", fields, 1) is answer
        client.answer = outcome.Answered(outcome.Impossible(reason="no such queue"))
        assert isinstance(await gate.submit(QUEUE, "w", fields, 1), gateway.NoQueue)
        assert isinstance(await gate.cancel("w", 1), gateway.NoWorkflow)

    run(scenario)


def test_queries_are_refused_without_a_leader_and_report_unknown_workflows():
    async def scenario(client, gate):
        client.value = outcome.Refused(reason="no leader")
        assert isinstance(await gate.workflow_state("w", 1), outcome.Refused)
        client.value = outcome.Answered({})
        assert isinstance(await gate.workflow_state("w", 1), gateway.NoWorkflow)
        client.value = outcome.Answered({"state": "running"})
        assert await gate.workflow_state("w", 1) == "running"
        client.value = outcome.Answered({"waiting": 3})
        assert await gate.waiting_count(QUEUE, 1) == 3

    run(scenario)


def test_repeated_proposal_is_refused_only_if_no_attempt_may_have_run(monkeypatch):
    """A 503 guarantees that the workflow never runs."""

    async def scenario(answers):
        client = stateclient.StateClient([], messages.Hello(role="entry"))
        monkeypatch.setattr(stateclient, "RETRY_DELAY_S", 0.001)

        async def propose(command, timeout_s):
            return answers.pop(0) if len(answers) > 1 else answers[0]

        monkeypatch.setattr(client, "propose", propose)
        return await client.propose_idempotent(None, 0.05)

    refused, lost = outcome.Refused(reason="r"), outcome.Lost(reason="l")
    ran = outcome.Answered("ran")
    assert isinstance(asyncio.run(scenario([refused])), outcome.Refused)
    assert asyncio.run(scenario([refused, lost, refused])) is lost
    assert asyncio.run(scenario([lost, refused, ran])) is ran


def bounded(client):
    """Return a gateway whose queues must be at most 3 s old."""
    return gateway.Gateway(client, propagation_bound_s=3.0)


def test_dropped_queue_is_not_served_when_polls_fail_for_longer_than_the_bound(
    monkeypatch,
):
    """Other calls may pass while polls fail, so a known queue is no proof."""

    async def scenario(client, _gate):
        gate = bounded(client)
        client.polls = [reply(1, [QUEUE], is_full=True)]
        assert await gate.find("h", "/q/1") == (QUEUE, "1")
        assert await gate.find("h", "/q/1") == (QUEUE, "1")
        advance(monkeypatch, 2.9)
        assert isinstance(await gate.find("h", "/q/1"), outcome.Refused)
        client.polls = [reply(2, [], removed=["q"])]
        assert isinstance(await gate.find("h", "/q/1"), gateway.NoQueue)

    run(scenario)


def test_outdated_queues_are_confirmed_before_a_call_is_answered(monkeypatch):
    """A process that was suspended acted on the queues of before."""

    async def scenario(client, _gate):
        gate = bounded(client)
        client.polls = [reply(1, [QUEUE], is_full=True)]
        assert await gate.poll()
        advance(monkeypatch, 10)
        changed = QUEUE.replace(priority=2)
        client.polls = [reply(2, [changed])]
        assert await gate.find("h", "/q/1") == (changed, "1")
        assert await gate.find("h", "/q/1") == (changed, "1")

    run(scenario)


def test_without_a_bound_known_queues_are_served_while_polls_fail(monkeypatch):
    async def scenario(client, gate):
        client.polls = [reply(1, [QUEUE], is_full=True)]
        assert await gate.poll()
        advance(monkeypatch, 10)
        assert await gate.find("h", "/q/1") == (QUEUE, "1")

    run(scenario)


def test_unconfirmed_submission_is_not_refused_after_a_proposal(monkeypatch):
    """A 503 guarantees that the workflow never runs, but the proposal may have."""

    async def scenario(client, _gate):
        gate = bounded(client)
        client.polls = [reply(1, [QUEUE], is_full=True)]
        queue, _ = await gate.find("h", "/q/1")
        client.answer = outcome.Lost(reason="no answer")
        await gate.submit(queue, "1", {"payload": "", "steps": [{}]}, 1)
        advance(monkeypatch, 2.9)
        assert isinstance(await gate.find("h", "/q/1"), outcome.Lost)
        assert isinstance(await gate.find("h", "/q/2"), outcome.Refused)

    run(scenario)


class SlowClient(FakeClient):
    """Answers each poll after a while, and counts them."""

    def __init__(self):
        super().__init__()
        self.poll_count = 0

    async def poll(self, *versions, **transfer):
        self.poll_count += 1
        await asyncio.sleep(0.05)
        return await super().poll(*versions, **transfer)


def test_calls_that_wait_for_a_poll_share_the_next_one():
    """One failed poll of a second for each of them made calls miss their deadlines."""

    async def scenario():
        client = SlowClient()
        gate = gateway.Gateway(client)
        running = asyncio.ensure_future(gate.poll())
        await asyncio.sleep(0.01)
        answers = await asyncio.gather(*(gate.find("h", "/q/1") for _ in range(20)))
        assert all(isinstance(answer, outcome.Refused) for answer in answers)
        assert not await running
        assert client.poll_count == 2

    asyncio.run(scenario())


def test_call_does_not_wait_for_a_poll_beyond_its_deadline():
    async def scenario():
        gate = gateway.Gateway(SlowClient())
        started_s = asyncio.get_running_loop().time()
        assert isinstance(await gate.find("h", "/q/1", 0.01), outcome.Refused)
        assert asyncio.get_running_loop().time() - started_s < 0.04
        # The poll goes on for later calls.
        assert not await gate.poll()

    asyncio.run(scenario())


def test_count_of_a_removed_queue_is_not_answered_by_an_older_set():
    async def scenario(client, gate):
        client.value = outcome.Answered({"waiting": 0, "is_known": False})
        assert isinstance(await gate.waiting_count(QUEUE, 1), gateway.NoQueue)

    run(scenario)


def test_invalid_submission_is_not_proposed():
    """The log of every replica took in whatever a client sent."""

    async def scenario(client, gate):
        client.polls = [reply(1, [QUEUE], is_full=True)]
        await gate.poll()
        for fields in (
            {"steps": []},
            {"steps": [{}] * (steps.MAX_STEPS + 1)},
            {"steps": [{"count": 0}]},
            {"steps": [{}], "payload": "x" * (steps.MAX_PAYLOAD_BYTES + 1)},
            {"steps": [{"after": [0]}]},
            {"steps": [5]},
        ):
            answer = await gate.submit(QUEUE, "w", {"payload": "", **fields}, 1)
            assert isinstance(answer, outcome.Invalid), fields
        assert client.proposed == []

    run(scenario)


def test_very_large_workflow_is_not_proposed_without_a_copy_of_the_backlog():
    """Without one, each gateway accepted as many as came while the leader was busy."""

    async def scenario(client, gate):
        client.polls = [reply(1, [QUEUE], is_full=True)]
        await gate.poll()
        client.answer = outcome.Answered(outcome.Accepted(ids=["w"]))
        large = {"payload": "", "steps": [{"count": 1000}]}
        answer = await gate.submit(QUEUE, "w", large, 1)
        assert isinstance(answer, outcome.Refused)
        assert client.proposed == []
        small = {"payload": "", "steps": [{"count": 100}]}
        assert isinstance(await gate.submit(QUEUE, "w", small, 1), outcome.Accepted)

    run(scenario)
