"""Guards against an order for each noise of a latency, and against caps that stick."""

import random

import pytest

from sardinegauge.workflows.policies import capchanges


def _ordered_caps(policy, computed_caps, interval_ms=250):
    """Return the caps in force after each computed one."""
    current, changed_ms, caps = 100, 0, []
    for number, computed in enumerate(computed_caps):
        now_ms = number * interval_ms
        chosen = policy.choose(current, computed, now_ms - changed_ms)
        if chosen != current:
            current, changed_ms = chosen, now_ms
        caps.append(current)
    return caps


def _changes(caps):
    return sum(a != b for a, b in zip([100, *caps], caps))


@pytest.mark.parametrize("seed", range(5))
def test_noise_of_latencies_causes_a_quarter_of_the_orders(seed):
    """Load pattern: demand that swings by half in 15 s, measured with noise."""
    rng = random.Random(seed)
    computed = []
    for number in range(240):
        swing = abs((number % 60) - 30)
        computed.append(
            max(5, min(100, 5 * round((30 + 2 * swing + rng.gauss(0, 6)) / 5)))
        )
    damped = _ordered_caps(capchanges.LargeChanges(), computed)
    every = _ordered_caps(capchanges.EveryChange(), computed)
    assert _changes(damped) <= _changes(every) / 4
    # The cap in force stays near the computed one, and is not lower on average, which
    # would slow down best-effort work.
    errors = [in_force - wanted for in_force, wanted in zip(damped, computed)]
    assert max(map(abs, errors)) < capchanges.MIN_CHANGE_PERCENT
    assert sum(errors) / len(errors) > -1


def test_a_cap_that_stays_possible_is_ordered_after_a_while():
    caps = _ordered_caps(capchanges.LargeChanges(), [80, 85] + 20 * [100])
    assert caps[:3] == [80, 80, 100]
    assert caps[-1] == 100


def test_a_pause_is_ordered_at_once():
    assert _ordered_caps(capchanges.LargeChanges(), [80, 5, 0]) == [80, 5, 0]
