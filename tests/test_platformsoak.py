"""Guards the promises under faults from outside, for a short time with a fixed seed."""

from tests import platformsoak

# Every seed that ever failed stays here, with a line on its cause.
SEED = 1
SECONDS = 8.0


def test_promises_hold_under_faults_from_outside(tmp_path):
    assert platformsoak.run(SEED, SECONDS, tmp_path) == []


def test_checker_sees_doubled_refused_and_unasked_starts():
    checker = platformsoak.Checker()
    checker.offered = {"a", "r"}
    checker.refused = {"r"}
    minion = platformsoak.CheckedMinion(checker, "i-1", "h:1", 1)
    other = platformsoak.CheckedMinion(checker, "i-2", "h:2", 1)
    minion.begin(("a.0.0.0", 1))
    other.begin(("a.0.0.0", 2))
    other.begin(("r.0.0.0", 1))
    other.begin(("x.0.0.0", 1))
    rules = [violation.partition(":")[0] for violation in checker.violations]
    assert rules == ["TWICE", "REFUSED", "UNASKED"]
