"""Guards against a group that loses its quorum to replaced machines."""

import pathlib
import random
import sys

import pytest

from tests import raftsim

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))

import corerole
import nodesettings

# As in a deployment that has to bear two losses at a time. A machine counts as lost
# until its successor has had `CATCHUP_MS`.
TARGET_VOTERS = 5
MAX_LOSSES = 2
SUCCESSOR_MS = 1000
CATCHUP_MS = 4000
MAX_PAUSE_MS = 7000
KINDS_OF_PAUSE = ("frozen", "isolated")


def make_group(seed=0, replacement_ms=CATCHUP_MS // 2):
    names = [f"n{number}" for number in range(TARGET_VOTERS)]
    limits = {"target_voters": TARGET_VOTERS, "replacement_ms": replacement_ms}
    simulator = raftsim.Simulator(seed, names, **limits)
    simulator.run(3000)
    return simulator


def lose(simulator, names):
    """Lose machines for good; empty ones with other names come a second later."""
    for name in names:
        del simulator.nodes[name]
    simulator.run(SUCCESSOR_MS)
    for name in names:
        simulator.add(f"{name}+")


def check_progress(simulator):
    """Check that the group has a leader, loses nothing and commits."""
    leaders = simulator.leaders()
    assert leaders, "no leader"
    leader = max(leaders, key=lambda node: node.state.term)
    before = len(simulator.committed)
    body = simulator.propose(leader)
    simulator.run(500)
    assert len(simulator.committed) > before
    assert any(item[2] == body for item in simulator.committed.values())


@pytest.mark.parametrize("has_lost_leader", [False, True])
def test_two_replaced_machines_at_a_time_never_cost_the_quorum(has_lost_leader):
    """Guards against a lost machine that stays a voter after its successor counts."""
    simulator = make_group()
    for _ in range(3):
        (leader,) = simulator.leaders()
        others = [name for name in simulator.nodes if name != leader.name]
        lost = [leader.name, others[0]] if has_lost_leader else others[:2]
        lose(simulator, lost)
        simulator.run(CATCHUP_MS)
        assert set(simulator.nodes) == {
            member.name
            for member in simulator.leaders()[0].state.members.values()
            if member.is_voter
        }
    check_progress(simulator)


def play_losses(seed):
    """Lose, freeze and cut off as many machines at a time as a deployment must bear."""
    draw = random.Random(seed)
    simulator = make_group(seed)
    for _ in range(6):
        names = draw.sample(sorted(simulator.nodes), MAX_LOSSES)
        kind = draw.choice(("lost", "frozen", "isolated", "emptied", "mixed"))
        paused = []
        if kind in ("frozen", "isolated"):
            paused, names = names, []
        elif kind == "mixed":
            paused, names = names[:1], names[1:]
        for name in paused:
            setattr(simulator.nodes[name], f"is_{draw.choice(KINDS_OF_PAUSE)}", True)
        if kind == "emptied":
            for name in names:
                simulator.lose_folder(simulator.nodes[name])
        else:
            lose(simulator, names)
        simulator.run(draw.randint(300, MAX_PAUSE_MS) if paused else 0)
        for name in paused:
            simulator.nodes[name].is_frozen = False
            simulator.nodes[name].is_isolated = False
        simulator.run(CATCHUP_MS)
    return simulator


@pytest.mark.parametrize("seed", range(6))
def test_losses_within_the_limit_never_cost_the_quorum(seed):
    """Guards against changes of members that count on machines that are lost."""
    check_progress(play_losses(seed))


@pytest.mark.parametrize(
    "catchup_s, replacement_s", [(4, 2.0), (10, 5.0), (0.5, 1.0), (None, 8.0)]
)
def test_voter_is_replaced_before_its_successor_counts(catchup_s, replacement_s):
    """Guards against a limit of the product that the deployment's bound contradicts."""
    bounds = {} if catchup_s is None else {"catchup_s": catchup_s}
    fields = {"node": "c", "ip": "10.1.0.2", "internal_port_range": [7000, 7009]}
    node = nodesettings.decode({**fields, "bounds": bounds})
    node.data_dir = "data"
    assert corerole.replica_settings(node).replacement_s == replacement_s
