"""Runs the reducers of a replica, agents and an entry in one loop in virtual time.

Each event that has effects is recorded as text with its effects, without the fields
that hold their defaults. The network delays each message by 5 ms and the disk delays
each write by 2 ms; the fake workers are tables of tasks that advance with time. Nothing
is random, so a session has the same text in every run, which serves as a golden file.
"""

import heapq
import itertools
import json

from sardinegauge import commands as log_commands
from sardinegauge import outcome, record
from sardinegauge.agents import agent, agentevents, hostedtask, requesttable, worker
from sardinegauge.agreement import (
    membership,
    raft,
    raftlog,
    raftmessages,
    raftstate,
    storage,
)
from sardinegauge.entries import entry, entryevents
from sardinegauge.links import httpmessages, messages
from sardinegauge.state import replica, replicaeffects, stateapp

NETWORK_DELAY_MS = 5
DISK_DELAY_MS = 2
TICK_INTERVAL_MS = 100
POLL_INTERVAL_MS = 500
ROOM = messages.Room(cores=4.0, memory_mb=4000, tasks=8, connections=64)


def format_record(item):
    """Return a record as text without the fields that hold their defaults."""
    if isinstance(item, list):
        return "[" + ", ".join(format_record(entry) for entry in item) + "]"
    if not isinstance(item, record.Record):
        return repr(item)
    fields = []
    for name in item.field_names():
        value = getattr(item, name)
        default = item._defaults.get(name, ...)
        default = default() if callable(default) else default
        if value != default:
            fields.append(f"{name}={format_record(value)}")
    return f"{type(item).__name__}({', '.join(fields)})"


class FakeWorker:
    """The platform's worker beside one agent, as a table of runs.

    A run is a list of the epoch, the start time moved back by the progress that the
    checkpoint holds, the duration (both in ms) and the phase.
    """

    def __init__(self):
        self.run_by_task = {}

    def start(self, now_ms, order):
        run_ms = int(json.loads(order.command)["run_s"] * 1000)
        done_ms = json.loads(order.checkpoint or "0")
        self.run_by_task[order.task] = [
            order.epoch,
            now_ms - done_ms,
            run_ms,
            "running",
        ]

    def statuses(self, now_ms):
        task_statuses = []
        for task, run in self.run_by_task.items():
            epoch, since_ms, run_ms, phase = run
            if phase == "running" and now_ms - since_ms >= run_ms:
                phase = run[3] = "finished"
            task_statuses.append(worker.TaskStatus(task=task, epoch=epoch, phase=phase))
        return task_statuses


class Session:
    """One replica, one entry, and agents with their workers, in virtual time."""

    def __init__(self, agents=("worker-1", "worker-2")):
        self.lines = []
        self.now_ms = 0
        self.scheduled = []
        self.tie_breakers = itertools.count()
        self.tokens = itertools.count(1)
        self.callback_by_token = {}
        self.command_replies = []
        self.sent_by_number = {}
        member = membership.Member(identity="s1", name="s1", address="s1:1")
        body = membership.dumps({"s1": member})
        first_entry = raftmessages.LogEntry(index=1, term=1, kind="members", body=body)
        stored = storage.Stored(term=1, log=raftlog.Log(entries=[first_entry]))
        parts = stateapp.default_parts()
        self.state = replica.State("s1", "s1:1", stored, parts, 0)
        self.agents = {}
        self.workers = {}
        for name in agents:
            identity = agentevents.Identity(
                upstream=name,
                incarnation=f"{name}-a",
                address=f"{name}:1",
                failure_domain="north",
                rack="r1",
                services=["ordering"],
                room=ROOM,
            )
            self.agents[name] = agent.State(identity, ["s1:1"], 0, True, 4)
            self.workers[name] = FakeWorker()
        self.entry = entry.State(100, 50, 0.1)
        self.schedule(TICK_INTERVAL_MS, self._tick)
        self.schedule(POLL_INTERVAL_MS, self._poll)

    def schedule(self, delay_ms, action, *arguments):
        due_ms = self.now_ms + delay_ms
        heapq.heappush(
            self.scheduled, (due_ms, next(self.tie_breakers), action, arguments)
        )

    def run_until(self, end_ms):
        while self.scheduled and self.scheduled[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.scheduled)
            action(*arguments)
        self.now_ms = end_ms

    def record_effects(self, role, event, effects):
        if not effects:
            return
        self.lines.append(f"{self.now_ms:6d} {role} < {format_record(event)}")
        self.lines += [f"       {role} > {format_record(effect)}" for effect in effects]

    def _tick(self):
        self.dispatch_to_replica(raft.Tick(now_ms=self.now_ms, jitter=0.5))
        self.dispatch_to_replica(
            replica.SchedulerTick(now_ms=self.now_ms, wall_ms=self.now_ms)
        )
        for name in self.agents:
            self.dispatch_to_agent(name, agentevents.Tick(now_ms=self.now_ms))
        self.schedule(TICK_INTERVAL_MS, self._tick)

    def _poll(self):
        poll = messages.Poll(
            name="e1",
            config_version=self.entry.config_version,
            directory_version=self.entry.upstreams.version,
        )
        self.call_replica(poll, self._report_poll, self.now_ms)
        self.schedule(POLL_INTERVAL_MS, self._poll)

    def _report_poll(self, reply, sent_ms):
        self.dispatch_to_entry(entryevents.PollAnswered, reply=reply, sent_ms=sent_ms)

    # The replica

    def call_replica(self, message, on_reply, *arguments):
        token = next(self.tokens)
        self.callback_by_token[token] = (on_reply, arguments)
        event = replica.Asked(
            now_ms=self.now_ms, wall_ms=self.now_ms, token=token, message=message
        )
        self.schedule(NETWORK_DELAY_MS, self.dispatch_to_replica, event)

    def propose(self, command, on_reply=None):
        body = log_commands.REGISTRY.dumps(command)
        message = messages.Propose(command=body, deadline_ms=5000)
        self.call_replica(message, on_reply or self.command_replies.append)

    def dispatch_to_replica(self, event):
        event.now_ms = self.now_ms
        effects = replica.reduce(self.state, event)
        self.record_effects("state", event, effects)
        for effect in effects:
            if isinstance(effect, raftstate.Persist):
                done = raft.Persisted(now_ms=0, sequence=effect.sequence)
                self.schedule(DISK_DELAY_MS, self.dispatch_to_replica, done)
            elif isinstance(effect, replicaeffects.Reply):
                on_reply, arguments = self.callback_by_token.pop(effect.token)
                self.schedule(NETWORK_DELAY_MS, on_reply, effect.message, *arguments)
            elif isinstance(effect, replicaeffects.Push):
                self.schedule(
                    NETWORK_DELAY_MS,
                    self.deliver_directive,
                    effect.message,
                    effect.upstream,
                )
            elif isinstance(effect, replicaeffects.ApplyMore):
                self.schedule(0, self.dispatch_to_replica, replica.ApplyNext(now_ms=0))

    # The agents

    def deliver_directive(self, message, name):
        self.dispatch_to_agent(
            name,
            agentevents.DirectiveReceived(now_ms=0, address="s1:1", directive=message),
        )

    def dispatch_to_agent(self, name, event):
        event.now_ms = self.now_ms
        effects = agent.reduce(self.agents[name], event)
        self.record_effects(name, event, effects)
        for effect in effects:
            self._execute(name, effect)

    def _execute(self, name, effect):
        fake_worker = self.workers[name]
        now_ms = self.now_ms
        event = None
        if isinstance(effect, agentevents.SendHeartbeat):
            self.call_replica(effect.heartbeat, self.deliver_directive, name)
        elif isinstance(effect, agentevents.AskTasks):
            event = agentevents.WorkerSeen(
                now_ms=0, asked_ms=now_ms, statuses=fake_worker.statuses(now_ms)
            )
        elif isinstance(effect, hostedtask.Start):
            fake_worker.start(now_ms, effect.order)
            event = agentevents.StartAnswered(
                now_ms=0,
                task=effect.order.task,
                epoch=effect.order.epoch,
                is_taken=True,
                reason="",
            )
        elif isinstance(effect, hostedtask.Checkpoint):
            saved = json.dumps(now_ms - fake_worker.run_by_task[effect.task][1])
            event = agentevents.CheckpointAnswered(
                now_ms=0, task=effect.task, epoch=effect.epoch, checkpoint=saved
            )
        elif isinstance(effect, hostedtask.Stop):
            run = fake_worker.run_by_task.pop(effect.task, [0, 0, 0, "stopped"])
            phase = "stopped" if run[3] == "running" else run[3]
            event = agentevents.StopAnswered(
                now_ms=0, task=effect.task, epoch=effect.epoch, phase=phase
            )
        elif isinstance(effect, requesttable.ForwardRequest):
            event = agentevents.RequestEnded(
                now_ms=0,
                request=effect.request,
                verdict="ran",
                status=200,
                body=b"done",
            )
            self.schedule(NETWORK_DELAY_MS, self._report_response, effect.request)
        if event is not None:
            self.schedule(NETWORK_DELAY_MS, self.dispatch_to_agent, name, event)

    # The entry

    def request(self, number, **call):
        fields = {"tenant": "karri", "service": "ordering", "deadline_ms": 5000, **call}
        self.dispatch_to_entry(
            entryevents.Arrived, number=number, call=entryevents.Call(**fields)
        )
        self.dispatch_to_entry(
            entryevents.BodyReady, number=number, digest="d", seed=number
        )

    def dispatch_to_entry(self, kind, **fields):
        event = kind(now_ms=self.now_ms, **fields)
        effects = entry.reduce(self.entry, event)
        self.record_effects("entry", event, effects)
        for effect in effects:
            if isinstance(effect, entryevents.Dial):
                name = effect.upstream
                self.schedule(NETWORK_DELAY_MS, self._report_link, name)
            elif isinstance(effect, entryevents.Send):
                self.sent_by_number[effect.number] = effect
                head = httpmessages.RequestHead(
                    tenant="karri",
                    service="ordering",
                    deadline_ms=effect.deadline_ms,
                    incarnation=effect.incarnation,
                    key="k1" if effect.claim_index else "",
                    claim_index=effect.claim_index,
                )
                arrived = agentevents.RequestArrived(
                    now_ms=0, request=effect.number, head=head
                )
                self.schedule(
                    NETWORK_DELAY_MS, self.dispatch_to_agent, effect.upstream, arrived
                )
            elif isinstance(effect, entryevents.MakeClaim):
                names = ("tenant", "key", "digest", "upstream", "incarnation")
                fields = {name: getattr(effect, name) for name in names}
                command = log_commands.MakeClaim(entry=effect.token, **fields)
                self.propose(
                    command, lambda reply, n=effect.number: self._report_claim(n, reply)
                )
            elif isinstance(effect, entryevents.SettleClaim):
                self.propose(
                    log_commands.SettleClaim(
                        tenant=effect.tenant,
                        key=effect.key,
                        claim_index=effect.claim_index,
                        status=effect.response.status,
                        body="ZG9uZQ==",
                    )
                )

    def _report_link(self, name):
        incarnation = self.agents[name].identity.incarnation
        self.dispatch_to_entry(
            entryevents.LinkOpened, upstream=name, incarnation=incarnation
        )

    def _report_claim(self, number, reply):
        answer = outcome.Answered(value=outcome.from_plain(json.loads(reply.answer)))
        self.dispatch_to_entry(
            entryevents.ClaimAnswered, number=number, answer=answer, seed=number
        )

    def _report_response(self, number):
        sent = self.sent_by_number[number]
        attempt = sent.attempt
        self.dispatch_to_entry(
            entryevents.HeadReceived,
            number=number,
            attempt=attempt,
            status=200,
            in_flight=0,
            queued=0,
        )
        key_reply = httpmessages.KeyReply(
            state="finished", status=200, body=b"done", is_body_kept=True
        )
        response = key_reply if sent.claim_index else None
        self.dispatch_to_entry(
            entryevents.AttemptFinished,
            number=number,
            attempt=attempt,
            response=response,
        )
