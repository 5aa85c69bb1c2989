"""Guards against wrong leases, early releases, overfilled workers and stray runs."""

import json

import pytest

from sardinegauge import commands
from sardinegauge.state import machine
from sardinegauge.workflows import (
    lives,
    ordering,
    orders,
    placing,
    queues,
    scheduler,
    schedulerevents,
    schedulerstate,
    sharing,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module

Step = steps_module.Step


class Leader:
    """A leader whose commands are applied when the test says so."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0
        self.now_ms = 1_000_000
        self.waiting = []
        self.pushed = []
        queue = queues.Queue(
            name="q", host="h", prefix="/q/", pool="p", max_attempts=9, timeout_ms=1
        )
        other = queue.replace(name="low", prefix="/low/", priority=2)
        self.commit(
            commands.SetQueues(
                version=1,
                packed=queues.pack([queue, other], [queues.Pool(name="p")]),
            )
        )
        self.lead()

    @property
    def store(self):
        return self.machine.workflows

    def lead(self, term=1):
        self.state = schedulerstate.State(self.machine)
        self.feed(schedulerevents.LeadershipGained, wall_ms=self.now_ms, term=term)

    def feed(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        self.take(scheduler.reduce(self.state, event))

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                self.waiting.append(effect.command)
            elif isinstance(effect, schedulerevents.Push):
                self.pushed.append(effect.worker)

    def commit(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        answer = machine.apply(self.machine, self.index, command)
        if hasattr(self, "state"):
            self.feed(
                schedulerevents.CommandApplied,
                index=self.index,
                command=command,
                answer=answer,
            )
        return answer

    def run(self):
        """Commit and plan until nothing more follows."""
        for _ in range(20):
            self.take(scheduler.plan(self.state, self.now_ms))
            if not self.waiting:
                return
            found, self.waiting = self.waiting, []
            for command in found:
                self.commit(command)

    def report(self, worker="a", life=1, runs=(), ends=(), **fields):
        values = {
            "agent": f"agent-{worker}",
            "pool": "p",
            "rack": "r1",
            "labels": ["k", "r1"],
            "cpu_millis": 8000,
            "memory_mb": 8000,
            "accelerators": 0,
            "is_fenced": True,
            **fields,
        }
        report = views.Report(
            worker=worker,
            life=life,
            runs=[[*row, "", 0, 0, "", 100] for row in runs],
            ends=[list(row) for row in ends],
            **values,
        )
        self.feed(schedulerevents.ReportReceived, report=report)

    def submit(self, *found, id="w", queue="q", **fields):
        plain = [step.to_sparse_dict() for step in found]
        command = commands.SubmitWorkflow(
            id=id, queue=queue, payload="x", steps=plain, **fields
        )
        return self.commit(command)

    def orders(self, worker="a", life=1):
        return json.loads(orders.encode(self.state, worker, life))

    def placed(self):
        """Return the worker of each running task by its id."""
        return {
            task.id: run.worker
            for item in self.store.workflow_by_id.values()
            for task in item.tasks()
            for run in task.runs
        }

    def tick(self, ms):
        self.now_ms += ms
        self.feed(schedulerevents.Tick, wall_ms=self.now_ms)


@pytest.fixture
def leader():
    leader = Leader()
    leader.report()
    leader.run()
    return leader


def test_task_is_ordered_once_its_assignment_is_committed(leader):
    leader.submit(Step(cpu_millis=1000))
    leader.take(scheduler.plan(leader.state, leader.now_ms))
    assert leader.orders()["starts"] == []
    leader.run()
    assert leader.orders()["starts"] == [["w.0.0.0", 1, "x", "", "", 100]]
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["starts"] == []


def test_worker_is_never_filled_beyond_its_capacity(leader):
    leader.submit(Step(count=20, cpu_millis=3000, memory_mb=100))
    leader.run()
    assert len(leader.placed()) == 2
    runs = [[*key, views.ACTIVE] for key in leader.store.runs_of("a", 1)]
    # What is being stopped and what the store does not know still counts.
    leader.report(runs=[[*runs[0][:2], views.STOPPING], runs[1]])
    leader.run()
    assert len(leader.placed()) == 2
    leader.report(runs=[runs[1]], ends=[[1, *runs[0][:2], store.STOPPED, ""]])
    leader.run()
    assert len(leader.placed()) == 2


def test_filler_counts_memory_but_no_cores(leader):
    leader.submit(Step(count=5, cpu_millis=9000, memory_mb=3000, is_filler=True))
    leader.run()
    assert len(leader.placed()) == 2


def test_ends_are_committed_before_they_are_seen(leader):
    leader.submit(Step())
    leader.run()
    leader.report(ends=[[1, "w.0.0.0", 1, store.DONE, ""]])
    assert leader.orders()["seen_end"] == 0
    leader.run()
    assert leader.orders()["seen_end"] == 1
    assert leader.store.workflow_by_id["w"].state == "completed"


def test_life_is_released_only_after_the_last_lease_that_was_granted(leader):
    leader.submit(Step())
    leader.run()
    lives.note_grant(leader.state, "a", leader.now_ms)
    leader.tick(lives.LEASE_MS)
    assert leader.waiting == []
    leader.tick(lives.LEASE_MARGIN_MS + 10)
    (release,) = leader.waiting
    assert isinstance(release, commands.ReleaseLife)
    assert not lives.may_grant(leader.state, "a", 1)
    leader.run()
    assert lives.may_grant(leader.state, "a", 1)
    assert leader.placed() == {}


def test_runs_of_all_lives_are_taken_back_when_another_worker_is_beside_the_agent():
    """A worker that came back under its id and was replaced before it was fenced.

    Its view went away with its second life, and the runs of the first one stayed.
    """
    leader = Leader()
    leader.report("a", life=1, agent="vm")
    leader.run()
    leader.submit(Step())
    leader.run()
    leader.report("a", life=2, agent="vm", is_fenced=False)
    leader.run()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report("b", life=3, agent="vm")
    leader.run()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_runs_of_a_former_life_are_taken_back_though_the_next_one_is_lost_unfenced():
    leader = Leader()
    leader.report("a", life=1)
    leader.run()
    leader.submit(Step())
    leader.run()
    leader.report("a", life=2, is_fenced=False)
    leader.run()
    leader.tick(lives.LEASE_MS + lives.LEASE_MARGIN_MS + 10)
    leader.run()
    # A delayed order may still run there.
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.tick(lives.LATE_RUN_MS)
    leader.run()
    assert leader.placed() == {}


def test_new_leader_waits_for_leases_of_the_one_before(leader):
    leader.submit(Step())
    leader.run()
    leader.now_ms += 60_000
    leader.lead(term=2)
    leader.tick(lives.LEASE_MS)
    assert leader.waiting == []
    leader.tick(lives.LEASE_MARGIN_MS + 10)
    assert [type(command) for command in leader.waiting] == [commands.ReleaseLife]


def test_former_life_is_released_when_the_new_one_is_fenced_and_clean(leader):
    leader.submit(Step())
    leader.run()
    leader.report(life=2, is_fenced=False)
    leader.run()
    assert leader.placed() == {"w.0.0.0": "a"}
    leader.report(life=2, runs=[["w.0.0.0", 1, views.ACTIVE]])
    assert [type(command) for command in leader.waiting] == []
    assert leader.orders(life=2)["stops"] == [["w.0.0.0", 1]]
    leader.report(life=2)
    leader.run()
    (task,) = leader.store.runs_of("a", 2).values()
    assert task.last_run == 2


def test_worker_of_another_id_beside_the_same_agent_replaces_the_former(leader):
    leader.submit(Step())
    leader.run()
    leader.report("b", life=5, agent="agent-a")
    leader.run()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_run_that_never_started_is_taken_back_and_placed_anew(leader):
    leader.submit(Step())
    leader.run()
    leader.report(runs=[["w.0.0.0", 1, views.GONE]])
    leader.run()
    task = leader.store.find_task("w.0.0.0")[2]
    assert task.last_run == 2
    assert leader.orders()["forget"] == [["w.0.0.0", 1]]


def test_stray_and_cancelled_runs_are_stopped(leader):
    leader.submit(Step())
    leader.run()
    leader.report(runs=[["w.0.0.0", 1, views.ACTIVE], ["v.0.0.0", 1, views.ACTIVE]])
    assert leader.orders()["stops"] == [["v.0.0.0", 1]]
    leader.pushed.clear()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.pushed == ["a"]
    assert ["w.0.0.0", 1] in leader.orders()["stops"]


def test_cancelled_run_that_the_agent_does_not_know_is_stopped_as_well(leader):
    leader.submit(Step())
    leader.run()
    leader.commit(commands.CancelWorkflow(id="w"))
    assert leader.orders() | {"is_watched": 0} == {
        "seen_end": 0,
        "starts": [],
        "stops": [["w.0.0.0", 1]],
        "forget": [],
        "paces": [],
        "questions": [],
        "is_watched": 0,
    }


def test_gang_starts_whole_with_one_number_or_not_at_all(leader):
    leader.submit(Step(count=3, cpu_millis=4000, is_gang=True))
    leader.run()
    assert leader.placed() == {}
    leader.report("b")
    leader.run()
    assert len(leader.placed()) == 3
    numbers = {leader.store.find_task(t)[2].last_run for t in leader.placed()}
    assert numbers == {1}


def test_label_limit_and_pool_bind_the_placement(leader):
    leader.report("b", labels=["other", "r2"])
    leader.report("c", pool="elsewhere")
    leader.run()
    leader.submit(Step(count=4, required_label="k", max_per_worker=2))
    leader.run()
    assert list(leader.placed().values()) == ["a", "a"]


def test_draining_silent_and_unfenced_workers_get_nothing(leader):
    leader.report(is_draining=True)
    leader.report("b", is_fenced=False)
    leader.report("c")
    leader.run()
    leader.now_ms += views.FRESH_MS + 1
    leader.submit(Step())
    leader.run()
    assert leader.placed() == {}


def test_failed_task_goes_to_another_worker(leader):
    leader.report("b")
    leader.run()
    leader.submit(Step())
    leader.run()
    first = leader.placed()["w.0.0.0"]
    leader.report(first, ends=[[1, "w.0.0.0", 1, store.FAILED, ""]])
    leader.run()
    assert leader.placed()["w.0.0.0"] != first


def test_burst_of_low_priority_leaves_urgent_work_first(leader):
    """Load pattern: a burst of batch work fills all workers, then urgent work comes."""
    leader.submit(Step(count=30, cpu_millis=4000), id="batch", queue="low")
    leader.submit(Step(count=2, cpu_millis=4000), id="urgent")
    leader.run()
    assert set(leader.placed()) == {"urgent.0.0.0", "urgent.0.0.1"}


def test_work_that_is_too_late_lets_the_rest_of_a_burst_go_first():
    """Load pattern: after an outage old work is hopeless and new work is not."""
    order = ordering.ByDeadline()
    queue = queues.Queue(name="q", host="", prefix="", pool="p", objective_ms=1000)

    class Item:
        steps = (Step(estimate_ms=1000),)
        accepted_at_ms = 0
        repeats = 0

        def due_at_ms(self, number):
            return 0

    class Occurrence:
        number = 0

    old, new = Item(), Item()
    new.accepted_at_ms = 9_000
    keys = [order.key(item, queue, Occurrence, 9_500) for item in (old, new)]
    assert keys[1] < keys[0]
    baseline = ordering.ByArrival()
    keys = [baseline.key(item, queue, Occurrence, 9_500) for item in (old, new)]
    assert keys[0] < keys[1]


def test_learned_disturbance_paces_the_filler_that_causes_it():
    """Load pattern: one image of fillers disturbs a serving task, another doesn't."""
    model = sharing.Sharing()
    now_ms = 0
    was_heavy = 0
    for round_number in range(200):
        now_ms += 250
        is_heavy = round_number // 8 % 2
        is_light = round_number // 16 % 2
        fillers = [
            sharing.Filler(("heavy", 1), "heavy", 1.0, 1.0 * is_heavy),
            sharing.Filler(("light", 1), "light", 1.0, 1.0 * is_light),
        ]
        # A latency covers the time since the report before.
        pressure = 0.5 + 0.25 * (was_heavy + is_heavy) / 2
        was_heavy = is_heavy
        latency_ms = 50 / sharing.REST_RATIO / (1 - pressure)
        model.observe("a", [(("s", 1), "web", latency_ms, 50)], fillers, now_ms)
    assert model.coefficient("web", "heavy") > 0.15
    assert model.coefficient("web", "light") < 0.06
    assert model.is_light("light") and not model.is_light("heavy")
    fillers = [sharing.Filler(("heavy", n), "heavy", 1.0, 1.0) for n in range(2)] + [
        sharing.Filler(("light", 1), "light", 1.0, 1.0)
    ]
    paces = model.paces("a", fillers, 0)
    assert paces["light", 1] >= 90
    assert min(paces["heavy", 0], paces["heavy", 1]) < 50
    assert model.headroom("a", [], "light", 1.0) > model.headroom("a", [], "heavy", 1.0)
    assert model.headroom("b", [], "heavy", 1.0) > 0


def test_fillers_keep_away_from_tasks_that_serve():
    """Load pattern: serving tasks that fit on one of two workers, then fillers."""
    leader = Leader()
    leader.report("a")
    leader.report("b")
    leader.run()
    serving = Step(
        count=2, cpu_millis=3000, image="web", target_ms=50, is_persistent=True
    )
    leader.submit(serving, id="serving")
    leader.run()
    assert len(set(leader.placed().values())) == 1
    (host,) = set(leader.placed().values())
    runs = [
        [*key, views.ACTIVE, "", 100, 28, "", 100]
        for key in leader.store.runs_of(host, 1)
    ]
    report = views.Report(
        agent=f"agent-{host}",
        worker=host,
        life=1,
        pool="p",
        cpu_millis=8000,
        memory_mb=8000,
        is_fenced=True,
        runs=runs,
    )
    for _ in range(4):
        leader.now_ms += 250
        leader.feed(schedulerevents.ReportReceived, report=report)
    leader.report("a" if host == "b" else "b")
    leader.submit(
        Step(count=2, cpu_millis=2000, image="sweep", is_filler=True), id="fill"
    )
    leader.run()
    assert host not in {w for t, w in leader.placed().items() if t.startswith("fill")}


def test_baseline_of_placement_takes_the_first_worker():
    assert placing.FirstFit().choose(Step(), None, ["a", "b"], ()) == "a"


def test_work_that_is_too_late_gives_way_before_work_in_time():
    """Load pattern: more fillers than the serving tasks bear, some of them hopeless."""
    model = sharing.Sharing()
    model.observe("a", [(("s", 1), "web", 30.0, 50)], [], 0)
    fillers = [
        sharing.Filler((name, 1), "sweep", 2.0, 0.0, rank)
        for name, rank in (("in time", (2, 0, 50)), ("late", (2, 1, 10)))
    ]
    paces = model.paces("a", fillers, 0)
    assert paces["in time", 1] > paces["late", 1] == 0


def test_slow_filler_moves_where_it_runs_at_full_pace():
    """Load pattern: a filler beside serving tasks at their limit, a free worker."""
    leader = Leader()
    leader.report("a")
    leader.run()
    leader.submit(
        Step(cpu_millis=4000, estimate_ms=9000, is_filler=True, is_checkpointing=True)
    )
    leader.run()
    leader.report("b")
    leader.report("a", runs=[["w.0.0.0", 1, views.ACTIVE]])
    key = ("w.0.0.0", 1)
    leader.state.paces[key] = 10
    leader.state.slow_since_ms[key] = leader.now_ms
    leader.tick(100)
    assert leader.orders()["stops"] == []
    leader.now_ms += 2100
    leader.report("b")
    leader.state.paces[key] = 10
    leader.tick(0)
    assert leader.orders()["stops"] == [list(key)]
    # The worker that it left has the most idle cores again, and got it back.
    leader.report("b", cpu_millis=7000)
    leader.report("a", ends=[[1, *key, store.STOPPED, "c"]])
    leader.run()
    key = ("w.0.0.0", 2)
    ((_, host),) = leader.placed().items()
    assert host == "b"
    # It moves once, or it would be stopped and restored over and over.
    leader.state.paces[key] = 10
    leader.state.slow_since_ms[key] = leader.now_ms - 9000
    leader.tick(0)
    assert leader.orders(host)["stops"] == []


def test_least_work_left_goes_first_among_work_in_time():
    """Load pattern: a burst of batch work of which only a part can end in time."""
    leader = Leader()
    leader.report()
    leader.run()
    order = ordering.ByRest()
    queue = leader.store.queue_set.by_name["q"].replace(stretch=3.0)
    keys = {}
    for name, count, estimate_ms in (
        ("small", 2, 1000),
        ("large", 9, 1000),
        ("hopeless", 1, 100),
    ):
        step = Step(count=count, cpu_millis=1000, estimate_ms=estimate_ms)
        leader.submit(step, id=name)
        item = leader.store.workflow_by_id[name]
        wall_ms = item.accepted_at_ms + 1000
        keys[name] = order.key(item, queue, item.occurrence(0), wall_ms)
    assert sorted(keys, key=keys.get) == ["small", "large", "hopeless"]
