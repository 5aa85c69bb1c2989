"""Tests that balancing spreads load evenly and counts the load of other entries."""

import random

from sardinegauge.entries import balancer, upstreamtable


def _upstreams(count):
    upstreams = [upstreamtable.Upstream(f"u{number}") for number in range(count)]
    for upstream in upstreams:
        upstream.max_connections = 64
    return upstreams


def _highest_load(policy):
    """Return the peak number of requests at one of 10 upstreams with 200 in flight."""
    rng = random.Random(7)
    upstreams, in_flight, highest = _upstreams(10), [], 0
    for _ in range(5_000):
        if len(in_flight) >= 200:
            in_flight.pop(rng.randrange(len(in_flight))).own_in_flight -= 1
        chosen = policy.choose(upstreams, rng.getrandbits(64), 0)
        chosen.own_in_flight += 1
        in_flight.append(chosen)
        highest = max(highest, chosen.own_in_flight)
    return highest


def test_two_choices_spread_load_better_than_the_baselines():
    two = _highest_load(balancer.TwoChoices())
    assert two <= 25
    assert two < _highest_load(balancer.RandomChoice())
    assert two < _highest_load(balancer.RoundRobin())


def test_load_of_other_entries_counts_and_decays():
    busy, idle = _upstreams(2)
    busy.record_load(in_flight=40, now_ms=1_000)
    idle.own_in_flight = 1
    policy = balancer.TwoChoices()
    assert {policy.choose([busy, idle], seed, 1_000) for seed in range(50)} == {idle}
    later_ms = 1_000 + 20 * upstreamtable.LOAD_HALF_LIFE_MS
    assert policy.choose([busy, idle], 3, later_ms) is busy
