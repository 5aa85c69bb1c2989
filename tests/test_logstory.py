"""Guards against traces with missing, unrelated or unordered lines."""

from typer import testing

from sardinegauge import cli, logstory
from tests import test_cli

FRONT = [
    "timestamp='2026-12-04T10:00:00.100000Z' level='info' process='front-1' "
    "event='request_answered' method='POST' path='/q/w1' status=200 reason='' ms=4",
    "timestamp='2026-12-04T10:00:09.500000Z' level='info' process='front-1' "
    "event='request_answered' method='GET' path='/q/w10' status=200 reason=''",
]
CORE = [
    "a line of something else",
    " 3.2 core-1 timestamp='2026-12-04T10:00:05.000000Z' level='info' "
    "process='core-1' event='run_end_recorded' task=w1.0.0.0 run=1 worker=i-1 how=done",
    "timestamp='2026-12-04T10:00:00.090000Z' level='info' process='core-1' "
    "event='workflow_accepted' id=w1 queue=q steps=1",
    "timestamp='2026-12-04T10:00:00.095000Z' level='info' process='core-1' "
    "event='run_assigned' task=w1.0.0.0 run=1 worker=i-1",
    "timestamp='2026-12-04T10:00:01.000000Z' level='info' process='core-1' "
    "event='life_released' worker=i-1 life=7 runs=1",
    "timestamp='2026-12-04T10:00:01.500000Z' level='info' process='core-1' "
    "event='life_released' worker=i-2 life=7 runs=1",
    "timestamp='2026-12-04T10:00:02.000000Z' level='info' process='core-2' "
    "event='scheduling_began' term=4",
    "timestamp='2026-12-04T10:00:09.000000Z' level='info' process='core-2' "
    "event='scheduling_ended' term=4",
]


def events(id):
    return [line.split()[2] for line in logstory.tell(id, [*FRONT, *CORE])]


def test_trace_is_ordered_and_has_the_events_of_its_workers():
    lines = logstory.tell("w1", [*FRONT, *CORE])
    assert [line.split()[0] for line in lines] == [
        "0.000",
        "0.005",
        "0.010",
        "0.910",
        "1.910",
        "4.910",
    ]
    assert "life_released" in lines[3]
    assert "| core-2" in lines[4]
    assert not any("i-2" in line or "w10" in line for line in lines)


def test_trace_of_a_task_leaves_out_other_tasks():
    assert logstory.tell("w1.0.0.1", CORE) == []
    assert len(logstory.tell("w1.0.0.0", CORE)) == 4


def test_command_reads_saved_logs(tmp_path):
    path = tmp_path / "core.log"
    path.write_text("\n".join(CORE))
    result = testing.CliRunner().invoke(cli.app, ["explain", "w1", "--logs", str(path)])
    assert result.exit_code == 0
    assert "workflow_accepted" in result.output


def test_command_reports_that_no_line_mentions_the_id(tmp_path):
    path = tmp_path / "core.log"
    path.write_text("\n".join(CORE))
    output, status = test_cli.run("explain", "w9", "--logs", str(path))
    assert (output, status) == ("no line of these logs mentions 'w9'", 1)
    output, status = test_cli.run("explain", "w9", "--logs", str(tmp_path / "none"))
    assert status == 1
