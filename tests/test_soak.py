"""Guards the promises under faults from outside, for a short time with a fixed seed."""

from tests.soak import checker, deployment, runs

# Every seed that ever failed stays here, with a line on its cause.
SEED = 1
SECONDS = 8.0


def test_promises_hold_under_faults_from_outside(tmp_path):
    assert runs.run(SEED, SECONDS, tmp_path) == []


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
