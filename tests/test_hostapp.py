"""Guards against agents that send a slow leader more reports instead of fewer."""

import asyncio

from sardinegauge import outcome
from sardinegauge.links import messages
from sardinegauge.workflows import hostapp, hostevents, workerclient


class SlowClient:
    """Answers reports when the test says so, after a repeated attempt each."""

    def __init__(self):
        self.built = []
        self.answered = asyncio.Event()

    async def report(self, build_report, timeout_s):
        self.built.append(build_report())
        await self.answered.wait()
        self.built.append(build_report())
        return outcome.Refused(reason="no answer in time")


async def wait_for_report_delay():
    await asyncio.sleep(4 * hostapp.REPORT_DELAY_S)


def test_changes_share_a_report_while_the_leader_is_slow():
    """Each change sent a report of its own, repeated up to four times."""

    async def scenario():
        app = hostapp.HostApplication("vm-1", [], worker_client=None)
        app.client = client = SlowClient()
        for _ in range(10):
            app._schedule_report()
            await wait_for_report_delay()
        assert len(client.built) == hostapp.MAX_REPORTS_IN_FLIGHT
        client.answered.set()
        await wait_for_report_delay()
        # Each of the two was repeated once; the other changes share the third report.
        assert len(client.built) == 2 * (hostapp.MAX_REPORTS_IN_FLIGHT + 1)

    asyncio.run(scenario())


def test_repeated_attempt_reports_the_current_state():
    """An attempt with an earlier state is of no use to the leader."""

    async def scenario():
        app = hostapp.HostApplication("vm-1", [], worker_client=None)
        app.client = client = SlowClient()
        app._schedule_report()
        await wait_for_report_delay()
        client.answered.set()
        await wait_for_report_delay()
        first, second = client.built
        assert isinstance(second, messages.WorkerReport)
        assert second.sequence > first.sequence

    asyncio.run(scenario())


class FailingWorkerClient:
    """Fails as no client should."""

    async def call(self, announcement, request, timeout_s):
        raise RuntimeError("an error that no client declares")


def test_call_that_fails_unexpectedly_counts_as_unanswered():
    """Guards against a call that never ends, whose slot would be lost for good."""

    async def scenario():
        app = hostapp.HostApplication("vm-1", [], worker_client=FailingWorkerClient())
        events = []
        app._dispatch = events.append
        request = workerclient.StopCall(task="w.0.0.0", run=1, fence=1)
        call = hostevents.Call(
            announcement=None, incarnation=1, request=request, sent_ms=0, event_number=1
        )
        await app._call(call)
        (event,) = events
        assert isinstance(event, hostevents.CallUnanswered) and not event.is_down

    asyncio.run(scenario())
