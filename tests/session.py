"""A whole session of the reducers in virtual time: replica, agents, entry, in one loop.

Every event that had effects is written as lines of text, fields at their defaults left
out. The network delays each message by 5 ms and the disk a write by 2 ms; the worker is
a table of tasks that advance with time. Nothing is drawn at random, so the text of a
session is the same in every run and serves as a golden file.
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

HOP_MS = 5
DISK_MS = 2
TICK_MS = 100
POLL_MS = 500
ROOM = messages.Room(cores=4.0, memory_mb=4000, tasks=8, connections=64)


def show(item):
    """Return a record as text without the fields that hold their defaults."""
    if isinstance(item, list):
        return "[" + ", ".join(show(entry) for entry in item) + "]"
    if not isinstance(item, record.Record):
        return repr(item)
    fields = []
    for name in item.field_names():
        value = getattr(item, name)
        default = item._defaults.get(name, ...)
        default = default() if callable(default) else default
        if value != default:
            fields.append(f"{name}={show(value)}")
    return f"{type(item).__name__}({', '.join(fields)})"


class FakeWorker:
    """The platform's worker of one agent."""

    def __init__(self):
        self.runs = {}

    def start(self, now_ms, order):
        run_ms = int(json.loads(order.command)["run_s"] * 1000)
        done = json.loads(order.checkpoint or "0")
        self.runs[order.task] = [order.epoch, now_ms - done, run_ms, "running"]

    def statuses(self, now_ms):
        found = []
        for task, run in self.runs.items():
            epoch, since_ms, run_ms, phase = run
            if phase == "running" and now_ms - since_ms >= run_ms:
                phase = run[3] = "finished"
            found.append(worker.TaskStatus(task=task, epoch=epoch, phase=phase))
        return found


class Session:
    """One replica, some agents with their workers, and one entry."""

    def __init__(self, agents=("worker-1", "worker-2")):
        self.lines = []
        self.now_ms = 0
        self.queue = []
        self.order = itertools.count()
        self.tokens = itertools.count(1)
        self.reply_by_token = {}
        self.answers = []
        self.request_by_number = {}
        member = membership.Member(identity="s1", name="s1", address="s1:1")
        body = membership.dumps({"s1": member})
        first = raftmessages.LogEntry(index=1, term=1, kind="members", body=body)
        stored = storage.Stored(term=1, log=raftlog.Log(entries=[first]))
        modules = stateapp.default_modules()
        self.state = replica.State("s1", "s1:1", stored, modules, 0)
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
        self.at(TICK_MS, self._tick)
        self.at(POLL_MS, self._poll)

    def at(self, delay_ms, action, *arguments):
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self.queue, (due_ms, next(self.order), action, arguments))

    def run(self, until_ms):
        while self.queue and self.queue[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now_ms = until_ms

    def write(self, role, event, effects):
        if not effects:
            return
        self.lines.append(f"{self.now_ms:6d} {role} < {show(event)}")
        self.lines += [f"       {role} > {show(effect)}" for effect in effects]

    def _tick(self):
        self.to_replica(raft.Tick(now_ms=self.now_ms, jitter=0.5))
        self.to_replica(replica.SchedulerTick(now_ms=self.now_ms, wall_ms=self.now_ms))
        for name in self.agents:
            self.to_agent(name, agentevents.Tick(now_ms=self.now_ms))
        self.at(TICK_MS, self._tick)

    def _poll(self):
        poll = messages.Poll(
            name="e1",
            config_version=self.entry.config_version,
            directory_version=self.entry.upstreams.version,
        )
        self.ask(poll, self._poll_answered, self.now_ms)
        self.at(POLL_MS, self._poll)

    def _poll_answered(self, reply, sent_ms):
        self.to_entry(entryevents.PollAnswered, reply=reply, sent_ms=sent_ms)

    # The replica

    def ask(self, message, on_reply, *arguments):
        token = next(self.tokens)
        self.reply_by_token[token] = (on_reply, arguments)
        event = replica.RequestReceived(
            now_ms=self.now_ms, wall_ms=self.now_ms, token=token, message=message
        )
        self.at(HOP_MS, self.to_replica, event)

    def propose(self, command, on_reply=None):
        body = log_commands.REGISTRY.dumps(command)
        message = messages.Propose(command=body, deadline_ms=5000)
        self.ask(message, on_reply or self.answers.append)

    def to_replica(self, event):
        event.now_ms = self.now_ms
        effects = replica.reduce(self.state, event)
        self.write("state", event, effects)
        for effect in effects:
            if isinstance(effect, raftstate.Persist):
                done = raft.Persisted(now_ms=0, sequence=effect.sequence)
                self.at(DISK_MS, self.to_replica, done)
            elif isinstance(effect, replicaeffects.Reply):
                on_reply, arguments = self.reply_by_token.pop(effect.token)
                self.at(HOP_MS, on_reply, effect.message, *arguments)
            elif isinstance(effect, replicaeffects.Push):
                self.at(HOP_MS, self.directive, effect.message, effect.upstream)
            elif isinstance(effect, replicaeffects.ScheduleApply):
                self.at(0, self.to_replica, replica.ApplyCommitted(now_ms=0))

    # The agents

    def directive(self, message, name):
        self.to_agent(
            name,
            agentevents.DirectiveReceived(now_ms=0, address="s1:1", directive=message),
        )

    def to_agent(self, name, event):
        event.now_ms = self.now_ms
        effects = agent.reduce(self.agents[name], event)
        self.write(name, event, effects)
        for effect in effects:
            self._carry_out(name, effect)

    def _carry_out(self, name, effect):
        work = self.workers[name]
        now_ms = self.now_ms
        event = None
        if isinstance(effect, agentevents.SendHeartbeat):
            self.ask(effect.heartbeat, self.directive, name)
        elif isinstance(effect, agentevents.PollWorker):
            event = agentevents.WorkerPolled(
                now_ms=0, requested_at_ms=now_ms, statuses=work.statuses(now_ms)
            )
        elif isinstance(effect, hostedtask.Start):
            work.start(now_ms, effect.order)
            event = agentevents.StartAnswered(
                now_ms=0,
                task=effect.order.task,
                epoch=effect.order.epoch,
                is_taken=True,
                reason="",
            )
        elif isinstance(effect, hostedtask.Checkpoint):
            saved = json.dumps(now_ms - work.runs[effect.task][1])
            event = agentevents.CheckpointAnswered(
                now_ms=0, task=effect.task, epoch=effect.epoch, checkpoint=saved
            )
        elif isinstance(effect, hostedtask.Stop):
            run = work.runs.pop(effect.task, [0, 0, 0, "stopped"])
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
            self.at(HOP_MS, self._answered, effect.request)
        if event is not None:
            self.at(HOP_MS, self.to_agent, name, event)

    # The entry

    def request(self, number, **call):
        fields = {"tenant": "karri", "service": "ordering", "deadline_ms": 5000, **call}
        self.to_entry(
            entryevents.RequestArrived, number=number, call=entryevents.Call(**fields)
        )
        self.to_entry(entryevents.BodyReady, number=number, digest="d", seed=number)

    def to_entry(self, kind, **fields):
        event = kind(now_ms=self.now_ms, **fields)
        effects = entry.reduce(self.entry, event)
        self.write("entry", event, effects)
        for effect in effects:
            if isinstance(effect, entryevents.Dial):
                name = effect.upstream
                self.at(HOP_MS, self._linked, name)
            elif isinstance(effect, entryevents.Send):
                self.request_by_number[effect.number] = effect
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
                self.at(HOP_MS, self.to_agent, effect.upstream, arrived)
            elif isinstance(effect, entryevents.MakeClaim):
                names = ("tenant", "key", "digest", "upstream", "incarnation")
                fields = {name: getattr(effect, name) for name in names}
                command = log_commands.MakeClaim(entry=effect.token, **fields)
                self.propose(
                    command, lambda reply, n=effect.number: self._claimed(n, reply)
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

    def _linked(self, name):
        incarnation = self.agents[name].identity.incarnation
        self.to_entry(entryevents.LinkOpened, upstream=name, incarnation=incarnation)

    def _claimed(self, number, reply):
        answer = outcome.Answered(value=outcome.from_plain(json.loads(reply.answer)))
        self.to_entry(
            entryevents.ClaimAnswered, number=number, answer=answer, seed=number
        )

    def _answered(self, number):
        sent = self.request_by_number[number]
        attempt = sent.attempt
        self.to_entry(
            entryevents.HeadReceived,
            number=number,
            attempt=attempt,
            status=200,
            in_flight=0,
            queued=0,
        )
        kept = httpmessages.KeyReply(
            state="finished", status=200, body=b"done", is_body_kept=True
        )
        response = kept if sent.claim_index else None
        self.to_entry(
            entryevents.AttemptFinished,
            number=number,
            attempt=attempt,
            response=response,
        )
