"""Guards against messages that grow with their content until a link closes for them."""

import asyncio
import json

import pytest

from sardinegauge import checkpoints, commands
from sardinegauge.links import codec, link, messages
from sardinegauge.workflows import (
    candidates,
    commandsize,
    hostedreport,
    keptestimates,
    orders,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit, test_link, test_workflow_hosting

STEP = steps_module.Step(count=30, cpu_millis=10, memory_mb=1, estimate_ms=1000)
LONG_CHECKPOINT = "c" * checkpoints.MAX_LENGTH


def frame_bytes(message):
    return len(codec.encode(codec.Frame(correlation=1, message=message)))


def submit_jobs(leader, payload, count=10):
    for number in range(count):
        command = commands.SubmitWorkflow(
            id=f"w{number}", queue="q", payload=payload, steps=[STEP.to_sparse_dict()]
        )
        leader.commit(command)
    leader.settle()


@pytest.fixture
def leader():
    found = leaderkit.Leader()
    found.report()
    found.settle()
    return found


@pytest.mark.parametrize("payload", ["x" * 4000, "ش" * 2000, "x" * 16_384])
def test_starts_beyond_one_message_follow_in_the_next_ones(leader, payload):
    """Guards against a worker that gets no orders once its starts exceed a message."""
    submit_jobs(leader, payload)
    started = {}
    for _ in range(60):
        encoded = orders.encode(leader.state, "a", 1)
        message = messages.WorkerOrders(worker="a", life=1, body=encoded.data)
        assert frame_bytes(message) < link.MAX_FRAME_BYTES
        rows = json.loads(encoded.data)["starts"]
        assert bool(encoded.left_out) == (len(rows) + len(started) < 300)
        assert rows and all(row[2] == payload for row in rows)
        started.update({(row[0], row[1]): None for row in rows})
        leader.report(runs=[[*key, views.ORDERED] for key in started])
        if len(started) == 300:
            break
    assert len(started) == 300


def test_stops_are_ordered_before_starts_that_fill_the_message(leader):
    """Guards against a cancelled task that runs on, as its stop was left out."""
    submit_jobs(leader, "x" * 4000)
    key = ["w9.0.0.29", 1]
    leader.report(runs=[[*key, views.ACTIVE]])
    leader.commit(commands.CancelWorkflow(id="w9"))
    found = leader.orders()
    assert key in found["stops"]
    assert found["starts"]


def test_small_orders_leave_nothing_out(leader):
    submit_jobs(leader, "x", count=2)
    encoded = orders.encode(leader.state, "a", 1)
    assert encoded.left_out == 0
    assert len(json.loads(encoded.data)["starts"]) == 60


def test_worker_gets_no_more_runs_than_one_report_holds(leader):
    """Guards against reports that the leader refuses for their size."""
    leader.report(cpu_millis=10**6, memory_mb=10**6)
    submit_jobs(leader, "x", count=candidates.MAX_RUNS // STEP.count + 3)
    assert len(leader.store.runs_of("a", 1)) == candidates.MAX_RUNS


def agent_with_runs(count, checkpoint):
    agent = test_workflow_hosting.Agent()
    running = [[f"{'j' * 60}.0.0.{n}", 1, checkpoint, 50, 0] for n in range(count)]
    for _ in range(2):
        agent.tick()
        agent.answer_holds(running=running)
    return agent


def report_of(agent):
    fields = hostedreport.report_fields(agent.state)
    message = messages.WorkerReport(
        agent="vm-1",
        worker="i-1",
        life=1,
        sequence=1,
        sent_ms=agent.now_ms,
        body=json.dumps(fields, separators=(",", ":")).encode(),
        is_lease_wanted=True,
    )
    assert frame_bytes(message) < link.MAX_FRAME_BYTES
    return views.decode_report(message)


def test_checkpoints_that_exceed_a_report_are_reported_in_turn():
    """Guards against reports that are refused, and against checkpoints never sent."""
    agent = agent_with_runs(candidates.MAX_RUNS, LONG_CHECKPOINT)
    view = views.WorkerView("i-1", 1, "vm-1", 0, 0)
    for _ in range(3 * candidates.MAX_RUNS):
        agent.tick(1)
        view.update(report_of(agent), agent.now_ms)
        assert len(view.runs) == candidates.MAX_RUNS
        if all(run.checkpoint for run in view.runs.values()):
            break
    assert {run.checkpoint for run in view.runs.values()} == {LONG_CHECKPOINT}


def test_ends_that_exceed_a_report_follow_once_the_others_are_recorded():
    """Guards against ends that never reach the leader."""
    agent = agent_with_runs(0, "")
    ends = [
        [n + 1, f"w.0.0.{n}", 1, "stopped", '"' * checkpoints.MAX_LENGTH]
        for n in range(40)
    ]
    agent.tick()
    agent.answer_holds(ended=ends)
    recorded = []
    for _ in range(40):
        found = report_of(agent).ends
        assert found and agent.state.unreported_count == 40 - len(recorded) - len(found)
        recorded += found
        agent.order(seen_end=recorded[-1][0])
        if len(recorded) == 40:
            break
    assert recorded == ends


def test_checkpoint_that_fits_no_message_is_replaced_by_the_one_before(caplog):
    """Guards against a worker whose agent is cut off by its own reports."""
    agent = agent_with_runs(1, "good")
    key = next(iter(agent.state.runs))
    agent.tick()
    agent.answer_holds(running=[[*key, "x" * 2_000_000, 60, 0]])
    assert agent.state.runs[key].saved_checkpoint == "good"
    agent.tick()
    agent.answer_holds(ended=[[1, *key, "stopped", "x" * 2_000_000]])
    assert report_of(agent).ends == [[1, *key, "stopped", "good"]]
    assert "checkpoint_not_used" in caplog.text


def test_commands_made_of_reports_fit_an_entry_of_the_log(leader):
    """Guards against an entry that no replica takes, which would block the log."""
    submit_jobs(leader, "x")
    keys = [list(key) for key in leader.store.runs_of("a", 1)]
    rows = [
        [n + 1, *key, "stopped", LONG_CHECKPOINT] for n, key in enumerate(keys[:100])
    ]
    leader.report(ends=rows, runs=[[*key, views.ACTIVE] for key in keys[100:]])
    found = [c for c in leader.proposed if isinstance(c, commands.RecordEnds)]
    assert [row for command in found for row in command.rows] == rows
    for reported in leader.state.view_by_id["a"].runs.values():
        reported.checkpoint = LONG_CHECKPOINT
    leader.now_ms += 60_000
    leader.tick(0)
    (release,) = [c for c in leader.proposed if isinstance(c, commands.ReleaseLife)]
    assert release.checkpoints
    for command in [*found, release]:
        assert len(commands.REGISTRY.dumps(command)) < 2 * commandsize.MAX_ROWS_BYTES


def test_estimates_of_many_images_fit_an_entry_of_the_log(leader, monkeypatch):
    """Guards against a log that is blocked once many images have met."""
    rows = [
        [f"image-{n}", f"image-{m}", 0.5, 0.25] for n in range(150) for m in range(150)
    ]
    model = type(leader.state.interference)
    monkeypatch.setattr(model, "to_rows", lambda self: rows)
    leader.state.now_ms += 10_000
    keptestimates.propose(leader.state)
    (effect,) = leader.state.effects
    assert 0 < len(effect.command.rows) < len(rows)
    assert len(commands.REGISTRY.dumps(effect.command)) < 2 * commandsize.MAX_ROWS_BYTES


def test_frame_over_the_limit_costs_only_its_own_request(caplog):
    """Guards against a link that is closed over and over for one large message."""

    async def run():
        server, dialer = await test_link._connected_pair()
        large = messages.Query(kind="x" * (link.MAX_FRAME_BYTES + 1))
        first = dialer.link
        with pytest.raises(TimeoutError):
            await first.request(large, 0.2)
        reply = await first.request(messages.Query(kind="small"), 5)
        assert dialer.link is first and first.frames_not_sent == 1
        dialer.stop()
        server.close_links()
        return reply.reason

    assert asyncio.run(run()) == "small"
    assert "frame_not_sent" in caplog.text
