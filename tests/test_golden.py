"""Detects changes of behaviour that no other test checks, with a golden file.

The golden file holds all events that have effects, and the effects, of one session.
After an intended change run ``python -m tests.test_golden`` and review the difference
before committing it.
"""

import json
import pathlib

from sardinegauge import commands
from tests import session

GOLDEN = pathlib.Path(__file__).with_name("golden") / "session.txt"


def run_session():
    """Run a job that a drain evicts, a configuration race and a resent keyed order.

    Returns the session, the task of the job, and the upstream that runs the task
    before the drain evicts it.
    """
    played = session.Session()
    played.run_until(2500)
    fields = {"base_version": 0, "document": {"weights": {"evictions": 2.0}}}
    for operator in ("ada", "bob"):
        played.propose(
            commands.SetConfiguration(operator=operator, request_id="c", **fields)
        )
    job = commands.SubmitJob(
        operator="ada",
        request_id="j",
        name="sweep",
        tenant="irbid",
        cores=1.0,
        memory_mb=100,
        command=json.dumps({"run_s": 4}),
    )
    played.propose(job)
    played.run_until(4500)
    played.propose(job)
    (task,) = played.state.machine.tasks.by_id.values()
    first_upstream = task.upstream
    played.propose(
        commands.DrainUpstream(operator="ada", request_id="d", upstream=first_upstream)
    )
    played.run_until(6000)
    played.request(1)
    played.request(2, is_idempotent=False, key="k1", token="t")
    played.run_until(6500)
    played.request(3, is_idempotent=False, key="k1", token="t")
    played.run_until(12_000)
    return played, task, first_upstream


def test_session_is_as_committed():
    lines = run_session()[0].lines
    assert lines == GOLDEN.read_text().splitlines()


def test_session_upholds_guarantees():
    """A golden file that breaks a guarantee must not be accepted."""
    played, task, first_upstream = run_session()
    outcomes = [json.loads(reply.answer) for reply in played.command_replies]
    kinds = [answer["kind"] for answer in outcomes]
    assert kinds[:2] == ["Accepted", "Conflict"]
    assert outcomes[2]["ids"] == outcomes[3]["ids"]
    assert (task.state, task.evictions, task.epoch) == ("finished", 1, 2)
    assert task.upstream != first_upstream
    text = "\n".join(played.lines)
    assert text.count("Complete(number=") == 2
    assert text.count("Replay(number=3") == 1


if __name__ == "__main__":
    GOLDEN.parent.mkdir(exist_ok=True)
    GOLDEN.write_text("\n".join(run_session()[0].lines) + "\n")
