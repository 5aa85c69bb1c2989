"""Guards against a report that attributes lost time to the wrong cause."""

import json

from benchmarks import worthreport


def line(second, event, **fields):
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return (
        f"timestamp='2026-12-04T10:00:{second:09.6f}Z' level='info' process='p' "
        f"event='{event}' {pairs}"
    )


LINES = [
    line(1, "workflow_accepted", id="w", queue="q"),
    line(1, "request_answered", method="POST", status=200),
    line(2, "run_assigned", task="w.0.0.0", run=1),
    line(2.5, "run_active", task="w.0.0.0", run=1),
    line(4, "run_end_recorded", task="w.0.0.0", run=1, how="stopped"),
    line(5, "run_assigned", task="w.0.0.0", run=2),
    line(5.5, "run_active", task="w.0.0.0", run=2),
    line(7.5, "run_end_recorded", task="w.0.0.0", run=2, how="done"),
    line(8, "run_assigned", task="w.0.1.0", run=1),
    line(8, "run_active", task="w.0.1.0", run=1),
    line(9, "run_end_recorded", task="w.0.1.0", run=1, how="done"),
    line(9.25, "workflow_ended", id="w", state="completed"),
]


def test_every_second_of_a_workflow_is_under_one_part():
    day = worthreport.Day(LINES)
    (workflow,) = day.workflow_by_id.values()
    parts = worthreport.breakdown(workflow)
    assert parts == {
        worthreport.CAPACITY_WAIT: 1.5,
        worthreport.DISPATCH: 0.5,
        worthreport.RETRIES: 3.0,
        worthreport.EXECUTION: 3.0,
        worthreport.COMPLETION_DELAY: 0.25,
    }
    assert sum(parts.values()) == workflow.ended_s - workflow.accepted_s


def test_text_of_a_day_counts_runs_and_answers():
    text = "\n".join(worthreport.format_day("d", worthreport.Day(LINES)))
    assert "submissions by status: 200 1" in text
    assert "done 2, stopped 1" in text


def test_journal_lists_broken_rules_and_the_newest_play(tmp_path):
    day = {"name": "d", "seed": 7, "slot": "quiet", "served": 0.9, "prices": []}
    for number, worth, rules in ((1, 0.5, {"TWICE": 1}), (2, 0.6, {})):
        entry = {"id": f"e{number}", "site": "s"}
        entry["days"] = [{**day, "G": worth, "rules": rules}]
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    text = "\n".join(worthreport.format_journal(worthreport.journal_rows(tmp_path)))
    assert "s d (e2): 0.900 0.600" in text
    assert "s d seed 7: TWICE 1" in text
