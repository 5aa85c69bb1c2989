"""Guards against a leader that falls behind and never catches up with its reports."""

import asyncio
import time

from sardinegauge.links import messages
from sardinegauge.state import reportqueue


def report(worker, sequence, **fields):
    return messages.WorkerReport(worker=worker, life=1, sequence=sequence, **fields)


class Leader:
    """Takes as long for a report as a busy leader does."""

    def __init__(self, report_s=0.0):
        self.report_s = report_s
        self.processed = []
        self.replaced = []
        self.intake = reportqueue.Intake(self.process, self.replaced.append)

    def process(self, token, message):
        end_s = time.perf_counter() + self.report_s
        while time.perf_counter() < end_s:
            pass
        self.processed.append((message.worker, message.sequence))

    async def wait_until_idle(self):
        while self.intake._is_scheduled:
            await asyncio.sleep(0)


def test_repeated_reports_of_a_worker_are_processed_once():
    """Load pattern: agents repeat their reports, since the leader is late."""

    async def scenario():
        leader = Leader()
        for sequence in range(1, 6):
            for worker in "abc":
                leader.intake.put((worker, sequence), report(worker, sequence))
        await leader.wait_until_idle()
        assert leader.processed == [("a", 5), ("b", 5), ("c", 5)]
        assert len(leader.replaced) == 12

    asyncio.run(scenario())


def test_other_messages_pass_between_reports():
    """Load pattern: more reports than the leader can process.

    The answers of the followers waited behind them, and the leader was deposed.
    """

    async def scenario():
        leader = Leader(report_s=0.002)
        for number in range(200):
            leader.intake.put(number, report(f"w{number}", 1))
        passed = []
        while leader.intake._is_scheduled:
            await asyncio.sleep(0)
            passed.append(len(leader.processed))
        steps = [after - before for before, after in zip([0, *passed], passed)]
        assert len(leader.processed) == 200
        assert max(steps) <= 1 + reportqueue.SLICE_S / leader.report_s

    asyncio.run(scenario())


def test_request_for_a_lease_is_not_replaced_by_a_report_without_one():
    async def scenario():
        leader = Leader()
        leader.intake.put(1, report("a", 1, is_lease_wanted=True))
        leader.intake.put(2, report("a", 2))
        await leader.wait_until_idle()
        assert leader.processed == [("a", 1), ("a", 2)]

    asyncio.run(scenario())


def test_older_report_that_arrives_later_is_not_processed():
    """It would undo the newer one, which came over another link."""

    async def scenario():
        leader = Leader()
        leader.intake.put(2, report("a", 2))
        leader.intake.put(1, report("a", 1))
        await leader.wait_until_idle()
        assert leader.processed == [("a", 2)]
        assert leader.replaced == [1]

    asyncio.run(scenario())
