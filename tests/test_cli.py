"""Guards against wrong exit statuses and resends that repeat a change."""

import json
import types

import pytest
from typer import testing

from sardinegauge import cli, errors
from sardinegauge.cli import client

ACCEPTED = {"verdict": "ran", "outcome": "accepted", "version": "4", "ids": ["job-1"]}


class FakeEntry:
    """Replaces the HTTP client and returns prepared statuses and bodies."""

    def __init__(self, monkeypatch, *answers):
        self.answers = list(answers)
        self.requests = []
        monkeypatch.setattr(client, "RETRY_DELAY_S", 0)
        monkeypatch.setattr(client.httpclient, "HTTPClient", lambda: self)

    def fetch(self, request, raise_error):
        self.requests.append(json.loads(request.body))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        code, body = answer
        return types.SimpleNamespace(
            code=code, body=json.dumps(body).encode(), reason=""
        )


def run(*arguments):
    """Return the output, or the error message, and the exit status of one command."""
    result = testing.CliRunner().invoke(cli.app, ["--entry", "a:1,b:2", *arguments])
    if isinstance(result.exception, errors.UserError):
        return str(result.exception), result.exception.exit_status
    return result.output, result.exit_code


def test_resend_after_a_lost_answer_keeps_the_request_id(monkeypatch):
    entry = FakeEntry(monkeypatch, OSError("reset"), (504, {}), (200, ACCEPTED))
    assert run("job", "submit", "sweep", "--tenant", "irbid") == ("job-1\n", 0)
    assert len({request["request_id"] for request in entry.requests}) == 1


@pytest.mark.parametrize(
    ("answers", "status"),
    [
        ([(503, {"reason": "no leader"})] * 4, client.NOT_RUN_STATUS),
        ([(504, {})] * 4, client.MAY_HAVE_RUN_STATUS),
        ([ConnectionRefusedError()] * 4, client.NOT_RUN_STATUS),
        ([OSError("reset")] * 4, client.MAY_HAVE_RUN_STATUS),
        (
            [(409, {"outcome": "conflict", "version": "8", "winner": "bob"})],
            client.CONFLICT_STATUS,
        ),
        ([(422, {"outcome": "impossible", "reason": "x"})], client.REFUSED_STATUS),
    ],
)
def test_exit_status_says_whether_a_change_may_have_run(monkeypatch, answers, status):
    FakeEntry(monkeypatch, *answers)
    assert run("job", "cancel", "job-1")[1] == status


def test_every_problem_of_a_refused_change_is_shown(monkeypatch):
    problems = [{"path": "cores", "reason": "missing"}, {"path": "name", "reason": "x"}]
    FakeEntry(monkeypatch, (400, {"outcome": "invalid", "problems": problems}))
    text, status = run("job", "submit", "sweep", "--tenant", "irbid")
    assert status == client.REFUSED_STATUS
    assert "cores: missing" in text
    assert "name: x" in text


def test_lists_are_tables_or_json(monkeypatch):
    reply = {"jobs": [{"id": "job-1", "state": "running"}]}
    FakeEntry(monkeypatch, (200, reply), (200, reply))
    assert run("job", "list")[0].splitlines()[1].startswith("job-1")
    assert json.loads(run("--json", "job", "list")[0]) == reply


def test_check_lists_the_errors_of_a_settings_file(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text('{"http_listn": "x"}')
    text, status = run("check", str(path), "--process", "entry")
    assert status == 2
    assert "http_listn: unknown key; did you mean http_listen?" in text


def test_workflow_is_submitted_from_a_file_and_shown(monkeypatch, tmp_path):
    file = tmp_path / "steps.json"
    file.write_text('{"steps": [{"count": 2}]}  // two tasks')
    entry = FakeEntry(
        monkeypatch,
        (200, ACCEPTED),
        (200, {"id": "w1", "state": "running", "runs": [{"task": "w1.0.0.0"}]}),
        (200, ACCEPTED),
    )
    assert run("workflow", "submit", "w1", "quotes", str(file)) == ("w1\n", 0)
    assert entry.requests[0]["queue"] == "quotes"
    output, status = run("workflow", "show", "w1")
    assert status == 0 and "w1.0.0.0" in output
    assert run("workflow", "cancel", "w1") == ("w1\n", 0)
    assert run("workflow", "submit", "w1", "quotes", str(tmp_path / "none"))[1] == 2


def test_queues_are_set_from_a_file_with_a_version(monkeypatch, tmp_path):
    file = tmp_path / "queues.json"
    file.write_text("{}")
    entry = FakeEntry(monkeypatch, (200, {**ACCEPTED, "version": "7"}))
    output, status = run("queue", "set", str(file), "--version", "7")
    assert (output, status) == ("version 7 is in force\n", 0)
    assert entry.requests[0]["version"] == 7
