"""Guards against a configuration that is accepted with errors or applied in part."""

import pytest

from sardinegauge import checks, commands, outcome
from sardinegauge.state import configuration, machine
from tests import driver

VALID = {
    "tenants": {"karri": {"cores": 8.5, "memory_mb": 100, "max_concurrent": 4}},
    "services": {"quote": {"concurrency": 16, "queue": 8}},
    "weights": {"tail_latency": 2, "batch_throughput": 1, "evictions": 0.5},
    "policy": {"evictions_per_minute": 6, "throttle_steps": [0.5, 0.2]},
}


def test_valid_documents():
    assert configuration.check({}) == []
    assert configuration.check(VALID) == []


def test_every_problem_is_listed_with_its_path():
    document = {
        "tenants": {"karri": {"cores": "8", "memmory_mb": 1}, "irbid": 3},
        "services": {"-": {"queue": 1.5}},
        "weights": [],
        "policy": {"throttle_steps": [0.5, 0], "starts_per_s": float("nan")},
        "weight": {},
    }
    assert configuration.check(document) == [
        ("tenants.karri.cores", "must be a number"),
        ("tenants.karri.memmory_mb", "unknown key; did you mean memory_mb?"),
        ("tenants.irbid", "must be an object"),
        (
            "services.-",
            "must begin with a letter or digit and hold only those and . _ -",
        ),
        ("services.-.queue", "must be an integer"),
        ("weights", "must be an object"),
        ("policy.throttle_steps[1]", "must be above 0"),
        ("policy.starts_per_s", "must be finite"),
        ("weight", "unknown key; did you mean weights?"),
    ]


@pytest.mark.parametrize("document", [None, [], 3, "{}"])
def test_document_must_be_an_object(document):
    d = driver.Driver()
    answer = d.configure(0, document=document)
    assert answer.problems == [["document", "must be an object"]]
    assert d.machine.configuration.version == 0


def test_second_change_of_one_base_version_names_the_first():
    d = driver.Driver()
    ask = {"base_version": 0, "document": VALID}
    first = d.apply("SetConfiguration", operator="ana", request_id="a", **ask)
    second = d.apply("SetConfiguration", operator="bob", request_id="b", **ask)
    assert first == outcome.Accepted(version=1)
    assert isinstance(second, outcome.Conflict)
    assert (second.version, second.operator) == (1, "ana")


def test_deep_documents_are_refused_before_any_recursion():
    deep = []
    for _ in range(5_000):
        deep = [deep]
    answer = driver.Driver().apply("SetConfiguration", base_version=0, document=deep)
    (problem,) = answer.problems
    assert problem[1] == f"must have at most {checks.MAX_LEVELS} levels"


def test_every_bad_field_of_a_job_is_listed():
    sizes = dict(
        cores=0, memory_mb=1.5, task_count=0, run_time_s=float("inf"), urgent=1
    )
    d = driver.Driver()
    answer = d.apply("SubmitJob", **{**driver.JOB, **sizes}, command=None)
    assert [path for path, _ in answer.problems] == [
        *("cores", "memory_mb", "task_count", "run_time_s", "urgent", "command")
    ]
    assert d.machine.jobs.by_id == {}


def test_base_class_of_commands_is_rejected():
    # The registry loads the base class by its name, so it can occur in the log, where
    # it must not end a replica.
    command = commands.REGISTRY.from_tagged(
        {"kind": "OperatorCommand", "operator": "ana", "request_id": "r"}
    )
    answer = machine.apply(machine.Machine(), 1, command)
    assert answer.problems == [["kind", "OperatorCommand is not a command"]]
