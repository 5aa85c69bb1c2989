"""Test fixture of gateways before one leader, in virtual time and without a network."""

import asyncio

from sardinegauge import commands, outcome
from sardinegauge.links import messages
from sardinegauge.workflows import gateway
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit

STEP = steps_module.Step(count=4, cpu_millis=2000, memory_mb=1, estimate_ms=1000)


class Client:
    """A state client whose proposals the leader applies, unless the test holds them.

    `held` are proposals without an answer that may still reach the leader; commands of
    the classes in `failure_by_kind` get that outcome instead.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.proposed = []
        self.held = []
        self.is_holding = False
        self.failure_by_kind = {}

    def update_members(self, members):
        pass

    async def poll(self, *versions, **transfer):
        return outcome.Answered(self.cluster.poll_reply())

    async def propose_idempotent(self, command, timeout_s):
        if timeout_s <= 0:
            return outcome.Refused(reason="no leader in time")
        self.proposed.append(type(command))
        # The command takes the way of the wire, so that its form is tested, too.
        command = commands.REGISTRY.loads(commands.REGISTRY.dumps(command))
        failure = self.failure_by_kind.get(type(command))
        if self.is_holding:
            self.held.append(command)
            return outcome.Lost(reason="no answer")
        if failure is not None:
            return failure
        return outcome.Answered(self.cluster.leader.commit(command))

    def deliver(self):
        """Let the held proposals reach the leader; return its answers."""
        found, self.held = self.held, []
        return [self.cluster.leader.commit(command) for command in found]


class Cluster:
    """A leader with one worker, and gateways that poll when the test says so."""

    def __init__(self, gateway_count=1, policy=None, **worker):
        self.loop = asyncio.new_event_loop()
        self.loop.time = lambda: self.leader.now_ms / 1000
        self.leader = leaderkit.Leader()
        self.worker = worker
        self.report()
        self.leader.settle()
        self.clients = [Client(self) for _ in range(gateway_count)]
        self.gateways = [gateway.Gateway(client, policy) for client in self.clients]
        self.summary = None

    def report(self):
        self.leader.report(**{"cpu_millis": 8000, "memory_mb": 10**6, **self.worker})

    def advance(self, ms):
        """Let time pass at the leader, with reports of its worker."""
        for _ in range(ms // 100):
            self.report()
            self.leader.tick(100)

    def poll_reply(self):
        tracker = self.leader.state.backlog
        refusals = self.leader.store.refusals.by_id
        data = tracker.summary(self.leader.now_ms)
        return messages.PollReply(
            confirmed=True,
            backlog=data if self.summary is None else self.summary,
            refusal_index=self.leader.index if refusals else 0,
        )

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def poll(self):
        self.leader.now_ms += 1  # A poll within the same instant is not repeated.
        for gate in self.gateways:
            self.run(gate.poll())

    def submit(self, id, at=0, queue="q", step=STEP, seen_index=None, **fields):
        plain = {"payload": "", "steps": [step.to_sparse_dict()], **fields}
        gate = self.gateways[at]
        found = self.leader.store.queue_set.by_name[queue]
        return self.run(gate.submit(found, id, plain, 1, seen_index))

    def fill(self, count=60):
        """Accept work for 8 cores that takes `count` s, and let the gateways know.

        A further workflow of this kind is worthless after 3 s.
        """
        for number in range(count):
            self.leader.submit(STEP, id=f"full{number}")
        self.advance(2600)
        self.poll()

    @property
    def open_ids(self):
        return self.leader.store.open_ids
