"""Random commands, stale, repeated and malformed ones among them, against a model.

The model holds which epoch of each task may run at which upstream, from what the test
itself assigned, reported and lost. The machine must agree with it after each command.
"""

import json
import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinegauge import commands, machine, messages, outcome
from tests import driver

UPSTREAMS = ("w1", "w2", "w3")
STOPS = ("stopped", "finished", "failed", "refused")
small = st.integers(0, 3)
upstreams = st.sampled_from(UPSTREAMS)
incarnations = st.sampled_from(("i1", "i2", "i3"))
cores = st.sampled_from((0.1, 0.3, 1.0, 1.7, 5.0))
junk = st.recursive(
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers()
    | st.text(max_size=3)
    | st.sampled_from(("job-1", "job-2.0", "w1", "i1", "running", 10**400, "\ud800")),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
        | st.builds(commands.TaskChange, task=inner, epoch=inner, phase=inner)
        | st.builds(commands.Eviction, task=inner, epoch=inner)
        | st.builds(messages.Room, cores=inner, memory_mb=inner)
    ),
    max_leaves=4,
)


class RandomCommands(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.driver = driver.Driver()
        self.machine = self.driver.machine
        self.twin = machine.Machine()
        self.history = []
        self.live_by_task = {}
        self.epoch_by_task = {}
        self.ended_by_id = {}

    def do(self, kind, **fields):
        """Apply a command here and to the twin, which must answer the same."""
        answer = self.driver.do(kind, **fields)
        index, command = self.driver.index, self.driver.last
        self.history.append((index, command))
        assert machine.apply(self.twin, index, command) == answer
        return answer

    def task_id(self, data):
        ids = sorted(self.machine.tasks.by_id)
        return data.draw(st.sampled_from(ids)) if ids else "job-0.0"

    @stateful.initialize()
    def start(self):
        for upstream in UPSTREAMS[:2]:
            self.register(upstream, "i1", False, False)

    @stateful.rule(
        upstream=upstreams,
        incarnation=incarnations,
        draining=st.booleans(),
        may_run=st.booleans(),
    )
    def register(self, upstream, incarnation, draining, may_run):
        before = self.machine.workers.by_upstream.get(upstream)
        before = before and before.incarnation
        room = messages.Room(**driver.ROOM)
        answer = self.do(
            "RegisterWorker",
            upstream=upstream,
            incarnation=incarnation,
            room=room,
            address="",
            failure_domain="a",
            rack="a1",
            draining=draining,
            previous_may_run=may_run,
        )
        is_replaced = before not in (None, incarnation)
        if isinstance(answer, outcome.Accepted) and is_replaced and not may_run:
            self.end_live(upstream, None)

    def end_live(self, upstream, incarnation):
        for id, (_, at, by) in list(self.live_by_task.items()):
            if at == upstream and incarnation in (None, by):
                del self.live_by_task[id]

    @stateful.rule(upstream=upstreams, incarnation=incarnations)
    def lose(self, upstream, incarnation):
        worker = self.machine.workers.by_upstream.get(upstream)
        is_newest = worker is not None and worker.incarnation == incarnation
        if is_newest and worker.is_lost:
            is_newest = False
        self.do("WorkerLost", upstream=upstream, incarnation=incarnation)
        if worker is not None:
            self.end_live(upstream, None if is_newest else incarnation)

    @stateful.rule(
        count=st.integers(1, 4), size=cores, urgent=st.booleans(), gang=st.booleans()
    )
    def submit(self, count, size, urgent, gang):
        self.do(
            "SubmitJob",
            name="sweep",
            tenant="irbid",
            task_count=count,
            cores=size,
            memory_mb=100,
            urgent=urgent,
            gang=gang,
        )

    @stateful.rule(name=st.sampled_from(("shelf", "quote")), replicas=small, size=cores)
    def declare(self, name, replicas, size):
        self.do(
            "DeclareService",
            name=name,
            tenant="karri",
            replicas=replicas,
            cores=size,
            memory_mb=10,
        )

    @stateful.rule(data=st.data(), count=st.integers(1, 6), size=cores)
    def assign(self, data, count, size):
        chosen = []
        for _ in range(count):
            id = self.task_id(data)
            known = self.machine.tasks.by_id.get(id)
            stale = data.draw(st.sampled_from((0, 0, 0, 0, 1, -1)))
            upstream = data.draw(upstreams)
            worker = self.machine.workers.by_upstream.get(upstream)
            assignment = commands.Assignment(
                task=id,
                epoch=max(0, (known.epoch if known else 0) + 1 + stale),
                upstream=upstream,
                incarnation=worker.incarnation if worker and not stale else "i1",
                cores=size,
                memory_mb=data.draw(st.sampled_from((10, 2000))),
                accelerators=data.draw(st.sampled_from((0, 0, 1))),
            )
            chosen.append(assignment)
        allowed = {
            upstream
            for upstream, worker in self.machine.workers.by_upstream.items()
            if not (worker.is_lost or worker.is_draining)
        }
        answer = self.do("AssignTasks", assignments=chosen)
        for id in answer.ids:
            task = self.machine.tasks.by_id[id]
            assert id not in self.live_by_task, "assigned while it may still run"
            assert task.upstream in allowed
            assert task.epoch > self.epoch_by_task[id]
            self.live_by_task[id] = (task.epoch, task.upstream, task.incarnation)
            worker = self.machine.workers.by_upstream[task.upstream]
            assert not worker.is_quarantined or len(worker.task_ids) == 1
        self.check_gangs(answer.ids)

    def check_gangs(self, ids):
        for id in ids:
            job = self.machine.jobs.by_id.get(self.machine.tasks.by_id[id].job)
            if job is not None and job.is_gang:
                states = [self.machine.tasks.by_id[i].state for i in job.task_ids]
                assert "pending" not in states

    @stateful.rule(data=st.data(), stale=st.sampled_from((0, 0, 0, -1, 1)))
    def evict(self, data, stale):
        id = self.task_id(data)
        epoch = max(0, self.epoch_by_task.get(id, 0) + stale)
        self.do("EvictTasks", evictions=[commands.Eviction(task=id, epoch=epoch)])

    @stateful.rule(
        data=st.data(),
        phase=st.sampled_from(("starting", "running", "running", "stopping", *STOPS)),
        stale=st.sampled_from((0, 0, 0, 0, -1, 1)),
        is_elsewhere=st.sampled_from((False, False, False, True)),
    )
    def report(self, data, phase, stale, is_elsewhere):
        id = self.task_id(data)
        live = self.live_by_task.get(id, (self.epoch_by_task.get(id, 0), "w1", "i1"))
        epoch, upstream, incarnation = live
        if is_elsewhere:
            upstream, incarnation = data.draw(upstreams), data.draw(incarnations)
        worker = self.machine.workers.by_upstream.get(upstream)
        accepted_from = {live[2], worker.incarnation if worker else None}
        is_current = id in self.live_by_task and upstream == live[1]
        is_current = is_current and not stale and incarnation in accepted_from
        before = self.machine.tasks.by_id.get(id)
        was_evicting = before is not None and before.state == "evicting"
        change = commands.TaskChange(
            task=id, epoch=max(0, epoch + stale), phase=phase, checkpoint="c" + phase
        )
        snapshot = self.driver.snapshot()
        self.do(
            "ReportTasks", upstream=upstream, incarnation=incarnation, changes=[change]
        )
        if not is_current:
            before, after = json.loads(snapshot), json.loads(self.driver.snapshot())
            assert {**before, "index": 0} == {**after, "index": 0}
        elif phase in STOPS:
            del self.live_by_task[id]
            if was_evicting and phase == "stopped":
                assert self.machine.tasks.by_id[id].state == "pending"
                assert self.machine.tasks.by_id[id].checkpoint == "cstopped"

    @stateful.rule(data=st.data(), size=cores, memory_mb=st.integers(0, 5000))
    def resize(self, data, size, memory_mb):
        ids = [self.task_id(data) for _ in range(2)]
        self.do(
            "ResizeTasks",
            cores_by_task=dict.fromkeys(ids, size),
            memory_mb_by_task={ids[0]: memory_mb},
        )

    @stateful.rule(upstream=upstreams, draining=st.booleans())
    def drain(self, upstream, draining):
        self.do("DrainUpstream", upstream=upstream, draining=draining)

    @stateful.rule(upstream=upstreams, quarantined=st.booleans())
    def quarantine(self, upstream, quarantined):
        self.do("QuarantineWorker", upstream=upstream, quarantined=quarantined)

    @stateful.rule(data=st.data(), is_failed=st.booleans())
    def end_job(self, data, is_failed):
        job = self.task_id(data).partition(".")[0]
        if is_failed:
            self.do("FailJob", job=job, reason="fails everywhere")
        else:
            self.do("CancelJobs", jobs=[job, job, "job-0"])

    @stateful.rule(
        kind=st.sampled_from(("MakeClaim", "SettleClaim", "ReleaseClaim")),
        key=small,
        offset=small,
        digest=st.sampled_from("de"),
    )
    def claim(self, kind, key, offset, digest):
        fields = {"tenant": "karri", "key": f"k{key}"}
        claim = self.machine.claims.by_key.get(("karri", f"k{key}"))
        index = (claim.claim_index if claim else 0) + offset // 3
        state = claim and claim.state
        if kind == "MakeClaim":
            fields |= {"digest": digest, "upstream": "w1", "incarnation": "i1"}
        elif kind == "SettleClaim":
            fields |= {"claim_index": index, "status": 200 + offset}
        else:
            fields |= {"claim_index": index}
        answer = self.do(kind, **fields)
        after = self.machine.claims.by_key.get(("karri", f"k{key}"))
        if state == "settled":
            assert after == claim, "a settled claim changed"
        elif state == "open" and after is None:
            assert kind == "ReleaseClaim" and index == claim.claim_index
        if kind == "MakeClaim" and claim is not None:
            is_same = claim.digest == digest
            assert isinstance(answer, outcome.Accepted if is_same else outcome.Conflict)

    @stateful.rule(age=st.integers(0, 100))
    def expire(self, age):
        self.do("ExpireClaims", before_ms=max(0, self.driver.index - age))

    @stateful.rule(
        data=st.data(), kind=st.sampled_from(sorted(commands.REGISTRY.by_name))
    )
    def send_malformed(self, data, kind):
        cls = commands.REGISTRY.by_name[kind]
        fields = {name: data.draw(junk, label=name) for name in cls.field_names()}
        before = machine.to_snapshot(self.machine)
        answer = self.do(kind, **fields)
        if isinstance(answer, outcome.Invalid):
            after = machine.to_snapshot(self.machine)
            for part in set(before) - {"index", "replies"}:
                assert before[part] == after[part]

    @stateful.rule(data=st.data())
    def resend(self, data):
        sent = [c for _, c in self.history if isinstance(c, commands.OperatorCommand)]
        if sent:
            command = data.draw(st.sampled_from(sent)).replace(at_ms=10**6)
            before = machine.to_snapshot(self.machine)
            fields = command.to_dict()
            if "document" not in fields and isinstance(command.request_id, str):
                self.do(type(command).__name__, **fields)
                after = machine.to_snapshot(self.machine)
                is_stored = any(
                    row[1] == command.request_id for row in before["replies"]["rows"]
                )
                assert not is_stored or {**before, "index": 0} == {**after, "index": 0}

    @stateful.rule()
    def restore_twin(self):
        text = json.dumps(machine.to_snapshot(self.twin))
        self.twin = machine.from_snapshot(json.loads(text))
        assert json.dumps(machine.to_snapshot(self.twin)) == text

    @stateful.invariant()
    def places_match_the_model(self):
        placed = {
            id: (task.epoch, task.upstream, task.incarnation)
            for id, task in self.machine.tasks.by_id.items()
            if task.upstream
        }
        assert placed == self.live_by_task
        held = [id for w in self.workers() for id in w.task_ids]
        assert sorted(held) == sorted(placed)
        for worker in self.workers():
            assert (
                worker.task_ids is self.machine.tasks.ids_by_upstream[worker.upstream]
            )
            assert all(placed[id][1] == worker.upstream for id in worker.task_ids)

    def workers(self):
        return self.machine.workers.by_upstream.values()

    @stateful.invariant()
    def room_is_never_exceeded(self):
        for worker in self.workers():
            held = [self.machine.tasks.by_id[id] for id in worker.task_ids]
            assert worker.reserved == messages.Room(
                cores=math.fsum(task.cores for task in held),
                memory_mb=sum(task.memory_mb for task in held),
                accelerators=sum(task.accelerators for task in held),
                connections=sum(task.connections for task in held),
                tasks=len(held),
            )
            for name in messages.Room.field_names():
                assert getattr(worker.reserved, name) <= getattr(worker.room, name)

    @stateful.invariant()
    def states_and_indexes_agree(self):
        pending_by_tenant = {}
        for id, task in self.machine.tasks.by_id.items():
            assert task.epoch >= self.epoch_by_task.get(id, 0)
            self.epoch_by_task[id] = task.epoch
            is_pending = task.state == "pending"
            assert is_pending == (id in self.machine.tasks.pending_by_id)
            if is_pending:
                assert not task.upstream
                pending_by_tenant.setdefault(task.tenant, []).append(id)
            elif not task.has_ended:
                assert task.upstream
            if task.has_ended:
                assert self.ended_by_id.setdefault(id, task.state) == task.state
        for tenant, usage in self.machine.tasks.usage_by_tenant.items():
            assert usage.pending == len(pending_by_tenant.pop(tenant, ()))
        assert not pending_by_tenant
        for job in self.machine.jobs.by_id.values():
            states = [self.machine.tasks.by_id[id].state for id in job.task_ids]
            assert job.finished_count == states.count("finished")
            assert job.has_ended == all(s in machine.tasks.ENDED_STATES for s in states)
            if job.has_ended:
                assert self.ended_by_id.setdefault(job.id, job.state) == job.state

    def teardown(self):
        expected = self.driver.snapshot()
        assert json.dumps(machine.to_snapshot(self.twin)) == expected
        again = machine.Machine()
        for index, command in self.history:
            machine.apply(again, index, command)
        assert json.dumps(machine.to_snapshot(again)) == expected


RandomCommands.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestRandomCommands = RandomCommands.TestCase
