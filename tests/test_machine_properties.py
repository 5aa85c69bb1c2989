"""Compares the machine with a model under random commands.

Some of the commands are stale, repeated or malformed. The model records which epoch of
each task may run at which upstream, from the assignments, reports and losses that the
test sent. The machine must agree with the model after each command.
"""

import json
import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinegauge import commands, outcome
from sardinegauge.links import messages
from sardinegauge.state import machine
from tests import driver

SNAPSHOT_STEP = 8
STOPS = ("stopped", "finished", "failed", "refused")
PHASES = ("running", "starting", "running", "stopping", *STOPS)
mostly_true = st.sampled_from((True, True, True, False))
rarely_true = st.sampled_from((False, False, False, True))
upstreams = st.sampled_from(("w1", "w2", "w3"))
incarnations = st.sampled_from(("i1", "i2", "i3"))
cores = st.sampled_from((0.1, 0.3, 0.7, 1.0, 1.7, 5.0))
offsets = st.sampled_from((0, 0, 0, -1, 1))
claim_kinds = st.sampled_from(("MakeClaim", "SettleClaim", "ReleaseClaim"))
claim_steps = st.tuples(claim_kinds, offsets, st.sampled_from("dde"))
known_values = st.sampled_from(
    ("job-1", "job-2.0", "w1", "i1", "running", 10**400, "\ud800")
)
scalars = st.none() | st.booleans() | st.floats() | st.integers() | known_values
malformed_values = st.recursive(
    scalars | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
        | st.builds(commands.TaskChange, task=inner, epoch=inner, phase=inner)
        | st.builds(messages.Room, cores=inner, memory_mb=inner)
    ),
    max_leaves=4,
)


def snapshot_content(of):
    """Return a snapshot except for the index, which every command changes."""
    return {**json.loads(json.dumps(machine.to_snapshot(of))), "index": 0}


class RandomCommands(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.driver = driver.Driver()
        self.machine = self.driver.machine
        self.replica = machine.Machine()
        self.sent = []
        # Snapshots and their text when they were taken. A snapshot is encoded in steps,
        # so later commands must not change it.
        self.kept_snapshots = []
        self.live_by_task = {}
        self.epoch_by_task = {}
        self.ended_by_id = {}

    def do(self, kind, **fields):
        """Apply a command to machine and replica, which must answer the same."""
        answer = self.driver.apply(kind, **fields)
        self.sent.append((self.driver.index, self.driver.last))
        assert machine.apply(self.replica, *self.sent[-1]) == answer
        if len(self.sent) % SNAPSHOT_STEP == 0:
            snapshot = machine.to_snapshot(self.machine)
            self.kept_snapshots.append((snapshot, json.dumps(snapshot)))
        return answer

    def workers(self):
        return self.machine.workers.by_upstream

    def draw_task(self, data, preferred=()):
        """Draw a task id, three times of four a preferred one if there are any."""
        ids = sorted(self.machine.tasks.by_id)
        if preferred and data.draw(mostly_true):
            ids = sorted(preferred)
        return data.draw(st.sampled_from(ids)) if ids else "job-0.0"

    @stateful.initialize()
    def start(self):
        for upstream in ("w1", "w2"):
            self.register(upstream, "i1", True, False, False)
        self.submit(3, 0.3, False, False)
        self.submit(2, 1.0, False, True)
        self.declare("quote", 1, 0.3)
        # Every example starts with running tasks, which most rules need.
        self.assign_pending("w1", 0.7, 3)
        self.assign_pending("w2", 0.1, 2)
        self.start_all()

    @stateful.rule(
        upstream=upstreams,
        incarnation=incarnations,
        is_same=st.booleans(),
        draining=rarely_true,
        may_run=st.booleans(),
    )
    def register(self, upstream, incarnation, is_same, draining, may_run):
        worker = self.workers().get(upstream)
        before = worker.incarnation if worker else None
        if is_same and before:
            incarnation = before
        place = driver.announcement(upstream=upstream, incarnation=incarnation)
        flags = dict(draining=draining, previous_may_run=may_run)
        answer = self.do("RegisterWorker", **place, **flags)
        is_replaced = before not in (None, incarnation)
        if isinstance(answer, outcome.Accepted) and is_replaced and not may_run:
            self.end_live(upstream, None)

    def end_live(self, upstream, incarnation):
        for id, (_, at, by) in list(self.live_by_task.items()):
            if at == upstream and incarnation in (None, by):
                del self.live_by_task[id]

    @stateful.precondition(lambda self: len(self.live_by_task) > 1)
    @stateful.rule(upstream=upstreams, incarnation=incarnations, is_same=st.booleans())
    def lose(self, upstream, incarnation, is_same):
        worker = self.workers().get(upstream)
        if is_same and worker is not None:
            incarnation = worker.incarnation
        is_newest = worker is not None and worker.incarnation == incarnation
        self.do("WorkerLost", upstream=upstream, incarnation=incarnation)
        self.end_live(upstream, None if is_newest else incarnation)

    @stateful.rule(
        count=st.integers(1, 4), size=cores, urgent=st.booleans(), gang=st.booleans()
    )
    def submit(self, count, size, urgent, gang):
        sizes = dict(task_count=count, cores=size, urgent=urgent, gang=gang)
        self.do("SubmitJob", **{**driver.JOB, **sizes})

    @stateful.rule(
        name=st.sampled_from(("shelf", "quote")), replicas=st.integers(0, 3), size=cores
    )
    def declare(self, name, replicas, size):
        sizes = dict(name=name, replicas=replicas, cores=size)
        self.do("DeclareService", **{**driver.SERVICE, **sizes})

    @stateful.rule(upstream=upstreams, size=cores, count=st.integers(1, 6))
    def assign_pending(self, upstream, size, count):
        worker = self.workers().get(upstream)
        place = (upstream, worker.incarnation if worker else "i1")
        pending = sorted(self.machine.tasks.pending_by_id)[:count]
        self.assign([self.assignment(id, 0, *place, size) for id in pending])

    @stateful.rule(
        data=st.data(), upstream=upstreams, incarnation=incarnations, size=cores
    )
    def assign_any(self, data, upstream, incarnation, size):
        offset = data.draw(offsets)
        tables = (self.live_by_task, self.machine.tasks.pending_by_id)
        ids = [self.draw_task(data, tables[bool(offset)]) for _ in range(3)]
        place = (offset, upstream, incarnation, size)
        self.assign([self.assignment(id, *place) for id in ids])

    def assignment(self, id, offset, upstream, incarnation, size):
        return commands.Assignment(
            task=id,
            epoch=max(0, self.epoch_by_task.get(id, 0) + 1 + offset),
            upstream=upstream,
            incarnation=incarnation,
            cores=size,
            memory_mb=round(size * 1000),
            accelerators=int(size == 0.3),
        )

    def assign(self, chosen):
        allowed = {
            (upstream, worker.incarnation)
            for upstream, worker in self.workers().items()
            if not (worker.is_lost or worker.is_draining)
        }
        for id in self.do("AssignTasks", assignments=chosen).ids:
            task = self.machine.tasks.by_id[id]
            assert id not in self.live_by_task, "assigned while it may still run"
            assert (task.upstream, task.incarnation) in allowed
            assert task.incarnation == chosen[0].incarnation
            assert task.epoch == self.epoch_by_task.get(id, 0) + 1
            self.live_by_task[id] = (task.epoch, task.upstream, task.incarnation)
            worker = self.workers()[task.upstream]
            assert not worker.is_quarantined or len(worker.task_ids) == 1
            job = self.machine.jobs.by_id.get(task.job)
            if job is not None and job.is_gang:
                assert not {*job.task_ids} & {*self.machine.tasks.pending_by_id}

    def start_all(self):
        for id, (epoch, upstream, incarnation) in self.live_by_task.items():
            change = commands.TaskChange(task=id, epoch=epoch, phase="running")
            place = dict(upstream=upstream, incarnation=incarnation)
            self.do("ReportTasks", **place, changes=[change])

    @stateful.precondition(lambda self: self.live_by_task)
    @stateful.rule(data=st.data(), offset=offsets)
    def evict(self, data, offset):
        chosen = []
        for _ in range(3):
            id = self.draw_task(data, self.live_by_task)
            epoch = max(0, self.epoch_by_task.get(id, 0) + offset)
            chosen.append(commands.Eviction(task=id, epoch=epoch))
        self.do("EvictTasks", evictions=chosen)

    @stateful.precondition(lambda self: self.live_by_task)
    @stateful.rule(data=st.data(), count=st.integers(1, 5))
    def report(self, data, count):
        for _ in range(count):
            self.report_one(
                data, data.draw(st.sampled_from(PHASES)), data.draw(rarely_true)
            )

    def report_one(self, data, phase, is_elsewhere):
        id = self.draw_task(data, self.live_by_task)
        live = self.live_by_task.get(id, (self.epoch_by_task.get(id, 0), "w1", "i1"))
        epoch, upstream, incarnation = live
        offset = data.draw(offsets)
        if is_elsewhere:
            upstream, incarnation = data.draw(upstreams), data.draw(incarnations)
        worker = self.workers().get(upstream)
        reporters = {live[2], worker.incarnation if worker else None}
        is_current = id in self.live_by_task and upstream == live[1]
        is_current = is_current and not offset and incarnation in reporters
        task = self.machine.tasks.by_id.get(id)
        was_evicting = task is not None and task.state == "evicting"
        if was_evicting and data.draw(mostly_true):
            phase = "stopped"
        change = commands.TaskChange(
            task=id, epoch=max(0, epoch + offset), phase=phase, checkpoint=f"c{epoch}"
        )
        before = snapshot_content(self.machine)
        place = dict(upstream=upstream, incarnation=incarnation)
        self.do("ReportTasks", **place, changes=[change])
        if not is_current:
            assert snapshot_content(self.machine) == before, (
                "a late report changed something"
            )
        elif phase in STOPS:
            del self.live_by_task[id]
            if was_evicting and phase == "stopped":
                assert (task.state, task.checkpoint) == ("pending", f"c{epoch}")

    @stateful.precondition(lambda self: self.live_by_task)
    @stateful.rule(data=st.data(), size=cores, memory_mb=st.integers(0, 5000))
    def resize(self, data, size, memory_mb):
        ids = [self.draw_task(data, self.live_by_task) for _ in range(2)]
        sizes = dict.fromkeys(ids, size)
        memory = {ids[0]: memory_mb}
        self.do("ResizeTasks", cores_by_task=sizes, memory_mb_by_task=memory)

    @stateful.rule(upstream=upstreams, is_on=rarely_true, is_drain=st.booleans())
    def mark(self, upstream, is_on, is_drain):
        if is_drain:
            self.do("DrainUpstream", upstream=upstream, draining=is_on)
        else:
            self.do("QuarantineWorker", upstream=upstream, quarantined=is_on)

    @stateful.precondition(lambda self: len(self.machine.jobs.by_id) > 1)
    @stateful.rule(data=st.data(), is_failed=st.booleans())
    def end_job(self, data, is_failed):
        job = self.draw_task(data).partition(".")[0]
        if is_failed:
            self.do("FailJob", job=job, reason="fails everywhere")
        else:
            self.do("CancelJobs", jobs=[job, job, "job-0"])

    @stateful.rule(steps=st.lists(claim_steps, min_size=1))
    def use_claim(self, steps):
        for step in steps:
            self.claim(*step)

    def claim(self, kind, offset, digest):
        fields = {"tenant": "karri", "key": "k1"}
        before = self.machine.claims.by_key.get(("karri", "k1"))
        index = max(0, (before.claim_index if before else 0) + offset)
        if before is not None:
            before = before.replace()
        if kind == "MakeClaim":
            fields |= {"digest": digest, "upstream": "w1", "incarnation": "i1"}
        else:
            fields |= {"claim_index": index}
        if kind == "SettleClaim":
            fields |= {"status": self.driver.index % 1000}
        answer = self.do(kind, **fields)
        after = self.machine.claims.by_key.get(("karri", "k1"))
        if kind == "MakeClaim":
            is_other = before is not None and before.digest != digest
            assert isinstance(answer, outcome.Conflict) == is_other
        if before is not None and after != before:
            assert before.state == "open", "a settled claim changed"
            assert kind != "MakeClaim" and index == before.claim_index

    @stateful.rule(age=st.integers(0, 100))
    def expire(self, age):
        self.do("ExpireClaims", before_ms=max(0, self.driver.index - age))

    @stateful.rule(
        data=st.data(), kind=st.sampled_from(sorted(commands.REGISTRY.by_name))
    )
    def send_malformed(self, data, kind):
        cls = commands.REGISTRY.by_name[kind]
        fields = {
            name: data.draw(malformed_values, label=name) for name in cls.field_names()
        }
        before = snapshot_content(self.machine)
        if isinstance(self.do(kind, **fields), outcome.Invalid):
            after = snapshot_content(self.machine)
            assert {**after, "replies": 0} == {**before, "replies": 0}

    @stateful.rule(data=st.data())
    def resend(self, data):
        requests = self.machine.replies.by_request
        kept = [c for _, c in self.sent if getattr(c, "request_id", None) is not None]
        kept = [c for c in kept if (str(c.operator), str(c.request_id)) in requests]
        if kept:
            command = data.draw(st.sampled_from(kept))
            before = snapshot_content(self.machine)
            self.do(type(command).__name__, **command.to_dict())
            assert snapshot_content(self.machine) == before

    @stateful.rule()
    def restore_twin(self):
        data = json.loads(json.dumps(machine.to_snapshot(self.replica)))
        self.replica = machine.from_snapshot(data)
        assert machine.to_snapshot(self.replica) == data

    @stateful.invariant()
    def places_match_the_model(self):
        placed = {
            id: (task.epoch, task.upstream, task.incarnation)
            for id, task in self.machine.tasks.by_id.items()
            if task.upstream
        }
        assert placed == self.live_by_task
        ids_by_upstream = {name: w.task_ids for name, w in self.workers().items()}
        assert self.machine.tasks.ids_by_upstream == ids_by_upstream
        for upstream, ids in ids_by_upstream.items():
            assert ids == {id for id, place in placed.items() if place[1] == upstream}

    @stateful.invariant()
    def room_is_never_exceeded(self):
        for worker in self.workers().values():
            held = [self.machine.tasks.by_id[id] for id in worker.task_ids]
            expected = {"tasks": len(held)}
            for name in ("cores", "memory_mb", "accelerators", "connections"):
                expected[name] = math.fsum(getattr(task, name) for task in held)
            assert worker.reserved.to_dict() == expected
            for name, amount in expected.items():
                assert amount <= getattr(worker.room, name)

    @stateful.invariant()
    def states_and_indexes_agree(self):
        by_id = self.machine.tasks.by_id
        for id, task in by_id.items():
            assert task.epoch >= self.epoch_by_task.get(id, 0)
            self.epoch_by_task[id] = task.epoch
            assert (task.state == "pending") <= (not task.upstream)
            assert bool(task.upstream) or task.has_ended or task.state == "pending"
        pending = {id for id, task in by_id.items() if task.state == "pending"}
        assert {*self.machine.tasks.pending_by_id} == pending
        usages = self.machine.tasks.usage_by_tenant.values()
        assert sum(usage.pending for usage in usages) == len(pending)
        for job in self.machine.jobs.by_id.values():
            states = [by_id[id].state for id in job.task_ids]
            assert job.finished_count == states.count("finished")
            assert job.has_ended == all(s in machine.tasks.ENDED_STATES for s in states)
        for item in (*by_id.values(), *self.machine.jobs.by_id.values()):
            if item.has_ended or item.id in self.ended_by_id:
                assert self.ended_by_id.setdefault(item.id, item.state) == item.state

    def teardown(self):
        for snapshot, text in self.kept_snapshots:
            assert json.dumps(snapshot) == text
        again = machine.Machine()
        for index, command in self.sent:
            machine.apply(again, index, command)
        assert (
            snapshot_content(again)
            == snapshot_content(self.replica)
            == snapshot_content(self.machine)
        )


# On a busy VM, slow examples are no sign of a fault in the machine, so deadline and
# health check of time are off.
RandomCommands.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
TestRandomCommands = RandomCommands.TestCase
