"""Guards the leader against malformed commands: none may end its process.

An exception in the reducer of a replica ends its process, and a client repeats its
command at the next leader.
"""

import itertools

import pytest

from sardinegauge import commands, record
from sardinegauge.agreement import raft
from sardinegauge.links import messages
from sardinegauge.state import replica, stateapp
from sardinegauge.workflows import queues
from sardinegauge.workflows import steps as steps_module
from tests import test_replica

# Values of every JSON type; none is valid in every place.
VALUES = (None, True, -1, 1.5, "", "x", "a.b.c", [], ["x"], [[]], {}, {"a": 1}, 10**400)
QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", timeout_ms=9)


class Leader(test_replica.Group):
    """The leader of a group of one with the modules of production."""

    def __init__(self):
        super().__init__()
        self.state.modules = stateapp.default_modules()
        self.state.machine = self.state.modules.machine.Machine()
        self.become_leader()
        self.propose_command(
            commands.SetQueues(
                version=1, packed=queues.pack([QUEUE], [queues.Pool(name="p")])
            )
        )
        step = steps_module.Step(count=2).to_sparse_dict()
        self.propose_command(
            commands.SubmitWorkflow(id="w", queue="q", payload="", steps=[step])
        )
        self.propose_command(commands.RegisterLife(worker="a", life=1, agent="agent"))
        self.propose_command(commands.AssignRuns(rows=[["w.0.0.0", 1, "a", 1]]))

    def propose_command(self, command):
        token = self.send_request(
            messages.Propose(command=commands.REGISTRY.dumps(command))
        )
        self.persist()
        self.now_ms += 20
        self.dispatch(raft.Tick(now_ms=self.now_ms, jitter=0.5))
        self.dispatch(replica.SchedulerTick(now_ms=self.now_ms, wall_ms=9))
        self.persist()
        return token


class Fields(record.Record):
    """A command with any fields, which the registry writes like a real one."""

    __slots__ = ("kind", "values")

    def to_dict(self):
        return self.values


def tagged(kind, values):
    """Return a command of a kind with any values."""
    command = type(kind, (Fields,), {"__slots__": ()})
    return command(kind=kind, values=values)


def variants(command_class):
    """Return field values for a command: one of `VALUES` in each field, in turn."""
    names = [name for name in command_class.field_names() if name != "at_ms"]
    for value in VALUES:
        yield dict.fromkeys(names, value)
    for name, value in itertools.product(names, VALUES):
        yield {**dict.fromkeys(names, "x"), name: value}


@pytest.mark.parametrize("kind", sorted(commands.REGISTRY.by_name))
def test_leader_survives_malformed_commands(kind):
    leader = Leader()
    for values in variants(commands.REGISTRY.by_name[kind]):
        token = leader.propose_command(tagged(kind, values))
        assert token in leader.replies, values
    assert leader.state.is_leading


ROWS = (
    ("AssignRuns", "rows", ["w.0.0.1", 1, "a", 1], {}),
    ("RecordEnds", "rows", [1, "w.0.0.0", 1, "done", ""], {"worker": "a", "life": 1}),
    ("ReleaseLife", "checkpoints", ["w.0.0.0", 1, "c"], {"worker": "a", "life": 1}),
)


@pytest.mark.parametrize("kind, field, row, others", ROWS)
def test_leader_survives_malformed_rows(kind, field, row, others):
    leader = Leader()
    for position, value in itertools.product(range(len(row)), VALUES):
        changed = [*row]
        changed[position] = value
        for rows in ([changed], [row[:position]], [changed, row]):
            token = leader.propose_command(tagged(kind, {**others, field: rows}))
            assert token in leader.replies, rows
    assert leader.state.is_leading
