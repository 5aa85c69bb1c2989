"""Guards against replicas that lose commands or their group over real links."""

import asyncio

from sardinegauge import commands, outcome
from tests import statefleet


def job(name, request_id=None):
    return commands.SubmitJob(
        operator="op",
        request_id=request_id or name,
        name=name,
        tenant="karri",
        cores=1.0,
        memory_mb=100,
    )


def run_fleet(path, scenario):
    async def run():
        fleet = statefleet.Fleet(path)
        try:
            await fleet.start_all()
            await scenario(fleet)
        finally:
            await fleet.stop_all()

    asyncio.run(run())


def test_three_replicas_elect_commit_and_answer(tmp_path):
    async def scenario(fleet):
        answer = await fleet.client.propose(job("sweep"), 10)
        assert answer == outcome.Answered(outcome.Accepted(ids=["job-1"]))
        read = await fleet.client.query("jobs", {}, 5)
        assert read.value["jobs"] == ["sweep"]
        polled = await fleet.client.poll(0, 0)
        assert polled.value.confirmed
        for app in fleet.apps.values():
            await statefleet.until(lambda app=app: app.state.machine.jobs == ["sweep"])

    run_fleet(tmp_path, scenario)
