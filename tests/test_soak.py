"""Runs the soak for a few seconds with fixed seeds, and tests its checker."""

import time

import pytest

from tests.soak import checker, deployment, runs

# Seeds that showed a fault, with the seconds of the run.
REGRESSIONS = [
    # After a minion crashed, the minion that replaced it under another id was never
    # used.
    (1, 8.0),
    # Runs of a minion process that ended before its successor was fenced were never
    # reclaimed.
    (104, 10.0),
]


@pytest.mark.parametrize(("seed", "seconds"), REGRESSIONS)
def test_guarantees_hold_under_injected_faults(tmp_path, seed, seconds):
    assert runs.run_seed(seed, seconds, tmp_path) == []


def test_checker_reports_doubled_refused_and_unsubmitted_starts():
    observations = checker.Checker()
    observations.submitted_jobs = {"a", "r"}
    observations.refused_jobs = {"r"}
    minion = deployment.CheckedMinion(observations, "i-1", "h:1", 1)
    other = deployment.CheckedMinion(observations, "i-2", "h:2", 1)
    minion.record_start(("a.0.0.0", 1))
    other.record_start(("a.0.0.0", 2))
    other.record_start(("r.0.0.0", 1))
    other.record_start(("x.0.0.0", 1))
    observations.submitted_jobs.add("d")
    observations.drained_s_by_zone["z"] = time.monotonic() - 2 * checker.DRAIN_LIMIT_S
    minion.record_start(("d.0.0.0", 1))
    rules = [violation.partition(":")[0] for violation in observations.violations]
    assert rules == ["TWICE", "REFUSED", "UNASKED", "EVAC"]
