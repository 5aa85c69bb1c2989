"""Guards against changes of behaviour that no single test looks at.

The golden file holds every event and effect of a session. After a wanted change run
``python -m tests.test_golden`` and review the difference before committing it.
"""

import json
import pathlib

from sardinegauge import commands
from tests import session

GOLDEN = pathlib.Path(__file__).with_name("golden") / "session.txt"


def play():
    """Run a job that is evicted by a drain, a configuration race and two orders."""
    play = session.Session()
    play.run(2500)
    fields = {"base_version": 0, "document": {"weights": {"evictions": 2.0}}}
    for operator in ("ada", "bob"):
        play.propose(
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
    play.propose(job)
    play.run(4500)
    play.propose(job)
    (task,) = play.state.machine.tasks.by_id.values()
    first = task.upstream
    play.propose(commands.DrainUpstream(operator="ada", request_id="d", upstream=first))
    play.run(6000)
    play.request(1)
    play.request(2, is_idempotent=False, key="k1", token="t")
    play.run(6500)
    play.request(3, is_idempotent=False, key="k1", token="t")
    play.run(12_000)
    return play, task, first


def test_session_is_as_committed():
    lines = play()[0].lines
    assert lines == GOLDEN.read_text().splitlines()


def test_session_keeps_its_promises():
    """The golden file must not be accepted with a broken promise in it."""
    played, task, first = play()
    outcomes = [json.loads(reply.answer) for reply in played.answers]
    kinds = [answer["kind"] for answer in outcomes]
    assert kinds[:2] == ["Accepted", "Conflict"]
    assert outcomes[2]["ids"] == outcomes[3]["ids"]
    assert (task.state, task.evictions, task.epoch) == ("finished", 1, 2)
    assert task.upstream != first
    text = "\n".join(played.lines)
    assert text.count("FinishResponse(number=") == 2
    assert text.count("Replay(number=3") == 1


if __name__ == "__main__":
    GOLDEN.parent.mkdir(exist_ok=True)
    GOLDEN.write_text("\n".join(play()[0].lines) + "\n")
