"""Properties of the agent's reducer, against models of the worker and of requests."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge.agents import agent, agentevents, hostedtask, requesttable, worker
from sardinegauge.links import httpmessages, messages
from tests import agentdriver
from tests.agentkit import order


class AgentModel:
    """Model of leader, network and worker around one reducer.

    Worker calls are queued in `calls` and executed in any order. A stop of an unknown
    epoch is recorded, as `worker.HttpWorker.stop` requires.
    """

    def __init__(self):
        self.state = agentdriver.new_state()
        self.now_ms = 0
        self.reduced_ms = 0
        self.lease_until_ms = 0
        self.calls = []
        self.sent = []
        self.orders = {}
        self.running = {}
        self.stopped = set()
        self.started = set()
        self.cores_by_key = {}

    def reduce(self, kind, **fields):
        event = kind(now_ms=self.now_ms, **fields)
        self.reduced_ms = self.now_ms
        for effect in agent.reduce(self.state, event):
            if isinstance(effect, agentevents.SendHeartbeat):
                self.sent.append((self.now_ms, effect.heartbeat.sequence))
            elif isinstance(effect, (hostedtask.Start, hostedtask.Stop)):
                self.calls.append(effect)
            elif isinstance(effect, hostedtask.Checkpoint):
                self.calls.append(effect)

    def step(self, name, number, pick):
        getattr(self, name)(number, pick)
        assert self.state.lease_until_ms <= self.lease_until_ms, "lease too long"
        if self.now_ms >= self.lease_until_ms and self.now_ms == self.reduced_ms:
            phases = {hosted.phase for hosted in self.state.host.by_task.values()}
            assert not phases & {"starting", "running"}, "lease end did not stop"
        for key, until_ms in list(self.running.items()):
            if self.now_ms >= until_ms:
                del self.running[key]  # The worker checks the lease itself.
            else:
                assert self.now_ms < self.lease_until_ms, "runs past its lease"
        names = [task for task, _ in self.running]
        assert len(set(names)) == len(names), "two epochs at once"
        cores = sum(self.cores_by_key[key] for key in self.running)
        assert cores <= agentdriver.ROOM.cores, "room exceeded"
        assert len(names) <= agentdriver.ROOM.tasks, "slots exceeded"

    def wait(self, number, pick):
        self.now_ms += number * 97
        self.reduce(agentevents.Tick)

    def freeze(self, number, pick):
        self.now_ms += number * 997

    def assign(self, number, pick):
        task = "abc"[pick % 3]
        old = self.orders.get(task)
        epoch = old.epoch + 1 if old else 1
        self.orders[task] = order(task, epoch, cores=1.0 + number % 3)
        self.push(0, 0)

    def remove(self, number, pick):
        task = "abc"[pick % 3]
        if task in self.orders:
            action = ("evict", "stop")[number % 2]
            self.orders[task] = self.orders[task].replace(action=action)

    def answer(self, number, pick):
        if not self.sent:
            self.wait(11, 0)
        sent_ms, sequence = self.sent.pop(pick % len(self.sent))
        if sequence > self.state.applied_sequence:
            until_ms = sent_ms + agentdriver.LEASE_MS
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        directive = messages.Directive(
            confirmed=True,
            sequence=sequence,
            lease_ms=agentdriver.LEASE_MS,
            tasks=list(self.orders.values()),
        )
        self.reduce(agentevents.DirectiveReceived, address="s1", directive=directive)

    def push(self, number, pick):
        directive = messages.Directive(confirmed=True, tasks=list(self.orders.values()))
        self.reduce(agentevents.DirectiveReceived, address="s1", directive=directive)

    def call(self, number, pick):
        """Execute one queued call; its answer is lost if `number` is above 8."""
        if not self.calls:
            return
        call = self.calls.pop(pick % len(self.calls))
        if isinstance(call, hostedtask.Start):
            key = (call.order.task, call.order.epoch)
            if self.now_ms >= call.lease_until_ms or key in self.stopped:
                return
            if key not in self.started:
                self.started.add(key)
                self.cores_by_key[key] = call.order.cores
                self.running[key] = call.lease_until_ms
            event, fields = agentevents.StartAnswered, {"is_taken": True, "reason": ""}
        else:
            key = (call.task, call.epoch)
            if isinstance(call, hostedtask.Stop):
                self.running.pop(key, None)
                self.stopped.add(key)
                event, fields = agentevents.StopAnswered, {"phase": "stopped"}
            else:
                event, fields = agentevents.CheckpointAnswered, {"checkpoint": "c"}
        if number > 8:
            event, fields = agentevents.WorkerCallFailed, {}
        self.reduce(event, task=key[0], epoch=key[1], **fields)

    def look(self, number, pick):
        statuses = [
            worker.TaskStatus(task=task, epoch=epoch, phase="running")
            for task, epoch in self.running
        ]
        self.reduce(
            agentevents.WorkerPolled, requested_at_ms=self.now_ms, statuses=statuses
        )


STEPS = st.tuples(
    st.sampled_from(
        "wait freeze assign assign remove answer push call call call look".split()
    ),
    st.integers(0, 12),
    st.integers(0, 5),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, min_size=20, max_size=60))
def test_lease_epochs_and_room_hold_in_any_order(steps):
    """Guards against tasks past their lease, concurrent epochs and overcommitment."""
    model = AgentModel()
    for step in (("wait", 1, 0), ("answer", 0, 0), *steps):
        model.step(*step)


class RequestModel:
    """Model of random requests, key queries and ends of requests at one reducer."""

    def __init__(self):
        self.state = agentdriver.ready_state()
        self.now_ms = 0
        self.next_number = 1
        self.open = {}
        self.in_flight = []
        self.answered = {}
        self.ran = set()
        self.fenced = set()

    def check_effects(self, effects):
        for effect in effects:
            if isinstance(effect, requesttable.ForwardRequest):
                key = self.open[effect.request]
                assert key not in self.ran, "a key ran twice"
                assert key not in self.fenced, "a fenced key ran"
                self.in_flight.append(effect.request)
            elif isinstance(
                effect, (requesttable.RefuseRequest, requesttable.ReplayRequest)
            ):
                self.finish(effect.request)
            elif isinstance(effect, requesttable.AnswerKeyQuery):
                if effect.reply.state == "fenced":
                    self.fenced.add(self.queried)
                if effect.reply.state == "unknown":
                    assert self.queried not in self.ran, "a key that ran is unknown"
        limit = agentdriver.ROOM.connections
        assert len(self.in_flight) <= limit, "connections exceeded"

    def finish(self, number):
        assert number not in self.answered, "two final answers"
        self.answered[number] = True

    def arrive(self, pick, number):
        key = ("karri", "ab"[pick % 2], 1 + pick % 3)
        self.open[self.next_number] = key
        self.next_number += 1
        tenant, name, index = key
        self.check_effects(
            agentdriver.arrive(
                self.state,
                self.next_number - 1,
                self.now_ms,
                number * 100,
                tenant=tenant,
                key=name,
                claim_index=index,
            )
        )

    def end(self, pick, number):
        if not self.in_flight:
            return
        request = self.in_flight.pop(pick % len(self.in_flight))
        verdict = ("not-run", "may-have-run", "ran")[number % 3]
        if verdict != "not-run":
            self.ran.add(self.open[request])
        self.finish(request)
        event = agentevents.RequestEnded(
            now_ms=self.now_ms, request=request, verdict=verdict, body=b"x"
        )
        self.check_effects(agent.reduce(self.state, event))

    def query(self, pick, number):
        self.queried = ("karri", "ab"[pick % 2], 1 + pick % 3)
        tenant, name, index = self.queried
        message = httpmessages.KeyQuery(
            tenant=tenant, key=name, claim_index=index, fence=number % 2 == 0
        )
        event = agentevents.KeyQueried(now_ms=self.now_ms, query=1, message=message)
        self.check_effects(agent.reduce(self.state, event))

    def wait(self, pick, number):
        self.now_ms += number * 60
        self.check_effects(
            agent.reduce(self.state, agentevents.Tick(now_ms=self.now_ms))
        )

    def gone(self, pick, number):
        event = agentevents.RequestAbandoned(now_ms=self.now_ms, request=1 + pick)
        self.check_effects(agent.reduce(self.state, event))


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("arrive arrive arrive end end query wait gone".split()),
            st.integers(0, 5),
            st.integers(0, 12),
        ),
        max_size=40,
    )
)
def test_a_key_runs_once_and_each_request_has_one_answer(steps):
    """Guards against repeated keys, false not-run, and lost or duplicate answers."""
    model = RequestModel()
    for name, pick, number in steps:
        getattr(model, name)(pick, number)
    while model.in_flight:
        model.end(0, 2)
    agent.reduce(model.state, agentevents.Tick(now_ms=model.now_ms + 10_000))
    late = agent.reduce(model.state, agentevents.Tick(now_ms=model.now_ms + 10_001))
    model.check_effects(late)
    assert not model.state.requests.by_request
    assert not model.state.admission.waiting
