"""Tests of the agent's reducer in virtual time, against a model of the worker."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge.agents import agent, agentevents, hostedtask, requesttable, worker
from sardinegauge.links import httpmessages, messages
from tests.agentkit import order

LEASE_MS = 10_000
ROOM = messages.Room(cores=4, memory_mb=1000, tasks=2, connections=2)


def new_state(has_worker=False, queue=2):
    identity = agentevents.Identity(
        upstream="u1", incarnation="u1-1", address="127.0.0.1:1", room=ROOM
    )
    return agent.State(identity, ["s1", "s2"], 0, has_worker, queue)


def of_kind(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


def reply(state, now_ms, sequence, orders=(), address="s1", **fields):
    defaults = {"confirmed": True, "lease_ms": LEASE_MS, "tasks": list(orders)}
    directive = messages.Directive(sequence=sequence, **{**defaults, **fields})
    event = agentevents.DirectiveReceived(
        now_ms=now_ms, address=address, directive=directive
    )
    return agent.reduce(state, event)


def ready_state(now_ms=0):
    """Return a state whose first heartbeat, sent at `now_ms`, was confirmed."""
    state = new_state()
    agent.reduce(state, agentevents.Tick(now_ms=now_ms))
    reply(state, now_ms, 1)
    return state


def arrive(state, number, now_ms=0, deadline_ms=1000, **fields):
    head = httpmessages.RequestHead(
        service="shop", incarnation="u1-1", deadline_ms=deadline_ms, **fields
    )
    return agent.reduce(
        state, agentevents.RequestArrived(now_ms=now_ms, request=number, head=head)
    )


class AgentModel:
    """Model of leader, network and worker around one reducer.

    Worker calls are queued in `calls` and executed in any order. A stop of an unknown
    epoch is recorded, as `worker.HttpWorker.stop` requires.
    """

    def __init__(self):
        self.state = new_state()
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
        assert cores <= ROOM.cores, "room exceeded"
        assert len(names) <= ROOM.tasks, "slots exceeded"

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
            until_ms = sent_ms + LEASE_MS
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        directive = messages.Directive(
            confirmed=True,
            sequence=sequence,
            lease_ms=LEASE_MS,
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
        self.state = ready_state()
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
        assert len(self.in_flight) <= ROOM.connections, "connections exceeded"

    def finish(self, number):
        assert number not in self.answered, "two final answers"
        self.answered[number] = True

    def arrive(self, pick, number):
        key = ("karri", "ab"[pick % 2], 1 + pick % 3)
        self.open[self.next_number] = key
        self.next_number += 1
        tenant, name, index = key
        self.check_effects(
            arrive(
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


def test_no_request_without_a_confirmation_of_the_last_5_s():
    """Guards against requests served under a configuration that may be outdated."""
    state = new_state()
    assert of_kind(requesttable.RefuseRequest, arrive(state, 1))
    reply(state, 900, 1)
    assert of_kind(requesttable.ForwardRequest, arrive(state, 2, now_ms=4999))
    # The 5 s begin when the heartbeat is sent, not when its answer arrives.
    refused = of_kind(requesttable.RefuseRequest, arrive(state, 3, now_ms=5000))
    assert refused[0].reason == "no confirmed configuration"


def test_configuration_never_reverts():
    """Guards against a late directive of a former leader with an older version."""
    state = ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    limits = b'{"services": {"shop": {"concurrency": 1, "queue": 0}}}'
    reply(state, 1001, 2, config_version=7, config=limits)
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    reply(state, 2001, 3, config_version=6, config=b"{}")
    assert state.config_version == 7
    arrive(state, 1, now_ms=2002)
    refused = of_kind(requesttable.RefuseRequest, arrive(state, 2, now_ms=2002))
    assert refused[0].reason == "queue is full"


def test_waiting_request_is_refused_when_its_deadline_cannot_be_met():
    """Guards against requests that wait although another upstream could run them."""
    state = ready_state()
    for number in (1, 2):
        arrive(state, number)
    ended = agentevents.RequestEnded(
        now_ms=0, request=1, verdict="ran", duration_ms=400.0
    )
    agent.reduce(state, ended)
    arrive(state, 3)
    assert arrive(state, 4, deadline_ms=900) == []
    assert of_kind(requesttable.RefuseRequest, arrive(state, 5, deadline_ms=300))
    effects = agent.reduce(state, agentevents.Tick(now_ms=501))
    assert [e.request for e in of_kind(requesttable.RefuseRequest, effects)] == [4]


def test_a_task_is_not_stopped_by_a_table_older_than_its_start():
    """Guards against a reply that arrives after a newer push with a new task."""
    state = ready_state()
    sent = of_kind(
        agentevents.SendHeartbeat, agent.reduce(state, agentevents.Tick(now_ms=1000))
    )
    push = messages.Directive(confirmed=True, tasks=[order("a")])
    event = agentevents.DirectiveReceived(now_ms=1010, address="s1", directive=push)
    assert of_kind(hostedtask.Start, agent.reduce(state, event))
    effects = reply(state, 1020, sent[0].heartbeat.sequence)
    assert not of_kind(hostedtask.Stop, effects)


def test_an_ended_epoch_never_starts_again():
    """Guards against a late push of a deposed leader that starts an ended epoch."""
    state = ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    reply(state, 1001, 2, [order("a", epoch=3)])
    for kind, fields in (
        (agentevents.StartAnswered, {"is_taken": True, "reason": ""}),
        (agentevents.StopAnswered, {"phase": "finished"}),
    ):
        agent.reduce(state, kind(now_ms=1002, task="a", epoch=3, **fields))
    agent.reduce(state, agentevents.Tick(now_ms=2100))
    reply(state, 2101, state.sequence)
    assert not state.host.by_task
    agent.reduce(state, agentevents.Tick(now_ms=3200))
    effects = reply(state, 3201, state.sequence, [order("a", epoch=3)])
    assert not of_kind(hostedtask.Start, effects)


def test_drain_ends_only_when_the_leader_knows_the_last_stop():
    """Guards against an eviction that the leader only learns of when the lease ends."""
    state = ready_state()
    reply(state, 1, 0, [order("a")])
    taken = {"task": "a", "epoch": 1, "is_taken": True, "reason": ""}
    agent.reduce(state, agentevents.StartAnswered(now_ms=2, **taken))
    agent.reduce(state, agentevents.DrainRequested(now_ms=10, evict_at_ms=60_000))
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    reply(state, 2001, state.sequence, [order("a", action="evict")])
    saved = {"task": "a", "epoch": 1, "checkpoint": "c"}
    agent.reduce(state, agentevents.CheckpointAnswered(now_ms=2002, **saved))
    stopped = agentevents.StopAnswered(now_ms=2010, task="a", epoch=1, phase="stopped")
    assert not of_kind(agentevents.Drained, agent.reduce(state, stopped))
    effects = agent.reduce(state, agentevents.Tick(now_ms=2100))
    assert of_kind(agentevents.SendHeartbeat, effects)
    assert not of_kind(agentevents.Drained, effects)
    assert of_kind(agentevents.Drained, reply(state, 2150, state.sequence))


def test_a_lost_throttle_is_repeated():
    """Guards against a throttled task that keeps its cores after one failed call."""
    state = ready_state()
    reply(state, 1, 0, [order("a")])
    taken = {"task": "a", "epoch": 1, "is_taken": True, "reason": ""}
    agent.reduce(state, agentevents.StartAnswered(now_ms=2, **taken))
    slow = [order("a", throttle=0.5)]
    assert of_kind(hostedtask.Throttle, reply(state, 3, 0, slow))
    assert not of_kind(hostedtask.Throttle, reply(state, 4, 0, slow))
    failed = agentevents.WorkerCallFailed(now_ms=5, task="a", epoch=1)
    agent.reduce(state, failed)
    effects = of_kind(hostedtask.Throttle, reply(state, 6, 0, slow))
    assert [effect.share for effect in effects] == [0.5]


def test_nothing_is_announced_while_an_earlier_agents_tasks_run():
    """Guards against a restart after which the leader places a running task again."""
    state = new_state(has_worker=True)
    effects = agent.reduce(state, agentevents.Tick(now_ms=10))
    assert of_kind(agentevents.PollWorker, effects) and not of_kind(
        agentevents.SendHeartbeat, effects
    )
    left = [worker.TaskStatus(task="a", epoch=1, phase="running")]
    seen = agentevents.WorkerPolled(now_ms=20, requested_at_ms=10, statuses=left)
    effects = agent.reduce(state, seen)
    assert of_kind(hostedtask.Stop, effects) and not of_kind(
        agentevents.SendHeartbeat, effects
    )
    seen = agentevents.WorkerPolled(now_ms=40, requested_at_ms=30, statuses=[])
    assert of_kind(agentevents.SendHeartbeat, agent.reduce(state, seen))


def test_older_replies_and_pushes_of_others_are_ignored():
    """Guards against orders that are older than those already applied."""
    state = ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    reply(state, 2001, 3)
    assert not of_kind(hostedtask.Start, reply(state, 2002, 2, [order("a")]))
    assert not of_kind(
        hostedtask.Start, reply(state, 2003, 0, [order("a")], address="s2")
    )
    assert of_kind(hostedtask.Start, reply(state, 2004, 0, [order("a")]))


def test_another_incarnation_neither_runs_nor_answers_for_a_key():
    """Guards against a restarted agent that reports not-run for unknown keys."""
    state = ready_state()
    head = httpmessages.RequestHead(incarnation="u1-0", deadline_ms=1000)
    event = agentevents.RequestArrived(now_ms=0, request=1, head=head)
    assert of_kind(requesttable.RefuseRequest, agent.reduce(state, event))
    query = httpmessages.KeyQuery(
        key="a", claim_index=1, fence=True, incarnation="u1-0"
    )
    effects = agent.reduce(
        state, agentevents.KeyQueried(now_ms=0, query=1, message=query)
    )
    assert effects[0].reply.state == "cut"


def test_heartbeats_follow_the_leader():
    """Guards against an agent that stays with a follower or an unresponsive leader."""
    state = new_state()
    first = of_kind(
        agentevents.SendHeartbeat, agent.reduce(state, agentevents.Tick(now_ms=0))
    )
    assert first[0].address == "s1"
    effects = reply(state, 60, 1, confirmed=False, leader="s9")
    assert [e.address for e in of_kind(agentevents.SendHeartbeat, effects)] == ["s9"]
    failed = agentevents.HeartbeatFailed(now_ms=200, address="s9", sequence=2)
    effects = agent.reduce(state, failed)
    assert [e.address for e in of_kind(agentevents.SendHeartbeat, effects)] == ["s1"]


def vanished_phases(started_ms_by_task, vanished_ms, left=()):
    """Return the phases of tasks that the worker does not list any more."""
    state = ready_state()
    for task, started_ms in started_ms_by_task.items():
        reply(state, started_ms, 0, [order(task)])
        taken = {"task": task, "epoch": 1, "is_taken": True, "reason": ""}
        agent.reduce(state, agentevents.StartAnswered(now_ms=started_ms, **taken))
    listed = [
        worker.TaskStatus(task=task, epoch=1, phase="running")
        for task in started_ms_by_task
    ]
    statuses = [status for status in listed if status.task in left]
    for now_ms, found in ((vanished_ms - 1, listed), (vanished_ms, statuses)):
        polled = agentevents.WorkerPolled(
            now_ms=now_ms, requested_at_ms=now_ms, statuses=found
        )
        agent.reduce(state, polled)
    return {task: hosted.phase for task, hosted in state.host.by_task.items()}


def test_task_that_may_have_crashed_its_worker_counts_as_failed():
    """Guards against a task that crashes one worker after another without limit."""
    phases = vanished_phases({"a": 1000, "b": 7000}, 7500)
    assert phases == {"a": "stopped", "b": "failed"}


def test_tasks_lost_long_after_their_start_or_one_by_one_do_not_fail():
    phases = vanished_phases({"a": 1000, "b": 1500}, 9000)
    assert phases == {"a": "stopped", "b": "stopped"}
    phases = vanished_phases({"a": 1000, "b": 1500}, 2000, left=["a"])
    assert phases == {"a": "running", "b": "stopped"}
