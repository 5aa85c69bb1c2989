"""Guards the promises under faults from outside, for a short time with a fixed seed."""

import pytest

from tests.soak import checker, deployment, runs

# Seeds that failed once, with the seconds they were played.
REGRESSIONS = [
    # A worker of another id was never used after its predecessor had crashed.
    (1, 8.0),
    # Runs of an incarnation that ended before the next one was fenced were never
    # released.
    (104, 10.0),
]


@pytest.mark.parametrize(("seed", "seconds"), REGRESSIONS)
def test_promises_hold_under_faults_from_outside(tmp_path, seed, seconds):
    assert runs.run(seed, seconds, tmp_path) == []


def test_checker_sees_doubled_refused_and_unasked_starts():
    seen = checker.Checker()
    seen.offered = {"a", "r"}
    seen.refused = {"r"}
    minion = deployment.CheckedMinion(seen, "i-1", "h:1", 1)
    other = deployment.CheckedMinion(seen, "i-2", "h:2", 1)
    minion.begin(("a.0.0.0", 1))
    other.begin(("a.0.0.0", 2))
    other.begin(("r.0.0.0", 1))
    other.begin(("x.0.0.0", 1))
    rules = [violation.partition(":")[0] for violation in seen.violations]
    assert rules == ["TWICE", "REFUSED", "UNASKED"]
