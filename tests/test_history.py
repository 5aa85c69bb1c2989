"""Guards against a checker that does not detect the violation of a guarantee."""

import pathlib

import pytest

from sardinegauge import history, historychecks

HISTORIES = pathlib.Path(__file__).with_name("histories")
GUARANTEE_BY_FAULT = {
    "overcommitted_vm": 1,
    "two_leases": 2,
    "repeated_epoch": 2,
    "lost_eviction": 3,
    "resume_without_checkpoint": 3,
    "unfinished_finish": 3,
    "swapped_response": 4,
    "truncated_response": 4,
    "false_not_run": 5,
    "duplicated_order": 6,
    "late_work_for_leaving": 7,
    "interrupted_by_stop": 8,
    "stale_read": 9,
    "configuration_reverted": 9,
    "configuration_late": 9,
    "two_winners": 9,
    "changed_reply": 9,
}


def load(name):
    return historychecks.History(history.load(HISTORIES / f"{name}.jsonl"))


def test_clean_history_passes(capsys):
    assert history.main([str(HISTORIES / "clean.jsonl")]) == 0
    assert capsys.readouterr().out == "violations=0 requests=7 tasks=4\n"


@pytest.mark.parametrize(("fault", "guarantee"), GUARANTEE_BY_FAULT.items())
def test_faulty_history_is_rejected_for_its_fault_alone(fault, guarantee, capsys):
    found = historychecks.check(load(fault))
    assert {violation.guarantee for violation in found} == {guarantee}
    assert history.main([str(HISTORIES / f"{fault}.jsonl")]) == 1
    assert (
        capsys.readouterr()
        .out.splitlines()[-1]
        .startswith(f"violations={len(found)} requests=")
    )


def test_every_committed_history_is_tested():
    names = {path.stem for path in HISTORIES.glob("*.jsonl")}
    assert names == {"clean", *GUARANTEE_BY_FAULT}


def test_unreadable_line_is_named(tmp_path, capsys):
    path = tmp_path / "h.jsonl"
    path.write_text('{"kind":"WorkerDied","at_ms":1,"worker":"w1"}\n{"kind":"?"}\n')
    assert history.main([str(path)]) == 2
    assert "line 2: unknown kind" in capsys.readouterr().err
