"""Guards the limit of a step's tasks on a worker, which several modules keep."""

import pytest

from sardinegauge import commands
from sardinegauge.workflows import (
    decisions,
    displacing,
    drainmoves,
    overcommit,
    queues,
    reservations,
    scheduler,
    schedulerevents,
    steps,
    views,
)
from tests import leaderkit, test_workflow_drainmoves, test_workflow_store

LIMITED = steps.Step(
    count=2,
    cpu_millis=1000,
    memory_mb=1000,
    is_persistent=True,
    target_ms=50,
    max_per_worker=1,
    required_label="k",
)
FIRST, SECOND = "w.0.0.0", "w.0.0.1"
DOMAIN_BY_WORKER = {"a": "z1", "b": "z2", "c": "z1"}


class Leader(leaderkit.Leader):
    """A leader of which only worker b is outside the drained domain."""

    def __init__(self):
        self.counted = []
        self.strays = []
        self.memory_mb_by_worker = {}
        self.labels = ["k"]
        super().__init__()
        self.report_all()
        self.settle()
        self.commit(commands.SetDomainDrain(failure_domain="z1", undo=False))
        self.submit(LIMITED)

    def apply_effects(self, effects):
        super().apply_effects(effects)
        self.counted += [
            (effect.decision, effect.result, effect.count)
            for effect in effects
            if isinstance(effect, schedulerevents.RowsDecided)
        ]

    def report_all(self):
        for worker, domain in DOMAIN_BY_WORKER.items():
            runs = [[*key, views.ACTIVE] for key in self.store.runs_of(worker, 1)]
            runs += self.strays if worker == "b" else []
            memory_mb = self.memory_mb_by_worker.get(worker, 8000)
            self.report(
                worker,
                runs=runs,
                failure_domain=domain,
                memory_mb=memory_mb,
                labels=self.labels,
            )

    def wait(self, ms):
        self.now_ms += ms
        self.report_all()
        self.state.now_ms = self.now_ms

    def assign(self, task, worker):
        self.commit(commands.AssignRuns(rows=[[task, 1, worker, 1]]))
        self.report_all()

    def set_pool(self, pool):
        queue = self.store.queue_set.by_name["q"].replace(pool=pool)
        pools = [queues.Pool(name=name) for name in ("p", "p2")]
        packed = queues.pack([queue], pools)
        self.commit(commands.SetQueues(version=self.index, packed=packed))

    def reduce(self, function, *arguments):
        self.state.effects = []
        function(self.state, *arguments)


def promise_nothing(leader):
    leader.assign(FIRST, "c")


def promise_run(leader):
    leader.assign(FIRST, "b")


def promise_planned_start(leader):
    leader.assign(FIRST, "c")
    leader.state.record_planned(FIRST, "b", decisions.PLAN)


def promise_move(leader):
    leader.assign(FIRST, "c")
    move = drainmoves.Move([(FIRST, 1)], {FIRST: "b"}, leader.now_ms)
    leader.state.drain_moves.moves.append(move)


def promise_displacement(leader):
    leader.assign(FIRST, "c")
    _, _, task = leader.store.find_task(FIRST)
    view = leader.state.view_by_id["b"]
    reservations.add(leader.state, task, view, decisions.DISPLACEMENT)


def promise_stray(leader):
    leader.assign(FIRST, "c")
    add_stray(leader)


def add_stray(leader):
    leader.strays = [[FIRST, 7, views.ACTIVE]]
    leader.report_all()


def decide_plan(leader):
    leader.state.effects = []
    rows = leader.state.planner.plan(leader.state, leader.now_ms, leader.now_ms)
    return [SECOND, 1, "b", 1] in rows


def decide_isolation(leader):
    _, _, task = leader.store.find_task(SECOND)
    task.crashes = 1
    leader.store.suspected_ids.add(SECOND)
    leader.wait(500)
    return decide_plan(leader)


def decide_displacement(leader):
    decide_plan(leader)
    for _ in range(2):
        leader.wait(displacing.MIN_WAIT_MS)
        leader.reduce(displacing.displace)
    return SECOND in leader.state.reservation_by_task


def decide_relief(leader):
    leader.assign(SECOND, "a")
    leader.memory_mb_by_worker["a"] = 100
    for _ in range(2):
        leader.wait(overcommit.MIN_EXCESS_MS)
    return SECOND in leader.state.reservation_by_task


def decide_move(leader):
    leader.assign(SECOND, "a")
    leader.state.stop_reason_by_run[FIRST, 1] = "test"
    leader.state.drain_moves.begun_ms = -drainmoves.SETTLING_MS
    leader.reduce(drainmoves.tick)
    return SECOND in leader.state.drain_moves.reserved_workers()


PROMISES = (
    promise_run,
    promise_planned_start,
    promise_move,
    promise_displacement,
    promise_stray,
)


@pytest.mark.parametrize(
    "decide",
    [decide_plan, decide_isolation, decide_displacement, decide_relief, decide_move],
)
@pytest.mark.parametrize("promise", [promise_nothing, *PROMISES])
def test_worker_promised_to_a_task_is_full_for_every_decision(promise, decide):
    """Failure: a decision left out what another module had promised to the step."""
    leader = Leader()
    promise(leader)
    assert decide(leader) == (promise is promise_nothing)


def change_pool(leader):
    leader.set_pool("p2")


def change_labels(leader):
    leader.labels = []
    leader.report_all()


def change_nothing(leader):
    """Leave the reservation valid."""


CHANGES = (
    (change_nothing, ""),
    (change_pool, decisions.POOL),
    (change_labels, decisions.LABEL),
    (add_stray, decisions.LIMIT),
)


@pytest.mark.parametrize("change, reason", CHANGES)
@pytest.mark.parametrize("promise", [promise_move, promise_displacement])
def test_reservation_that_no_longer_holds_is_dropped(promise, change, reason, caplog):
    """Failure: pool, label and limit were checked only when room was reserved."""
    caplog.set_level("INFO")
    leader = Leader()
    promise(leader)
    change(leader)
    ends = [[1, FIRST, 1, "stopped", ""]]
    leader.commit(commands.RecordEnds(worker="c", life=1, rows=ends))
    leader.report_all()
    leader.settle()
    assert leader.placed() == ({} if reason else {FIRST: "b"})
    assert ("reservation_dropped" in caplog.text) == bool(reason)
    assert f"reason={reason}" in caplog.text or not reason


@pytest.mark.parametrize("is_gang, expected", [(False, ["v.0.0.0"]), (True, [])])
def test_log_refuses_a_row_beyond_the_limit(is_gang, expected):
    """Failure: two decisions that did not know of each other were both applied."""
    log = test_workflow_store.Log()
    log.register()
    log.submit(LIMITED.replace(is_gang=is_gang), id="v")
    rows = [["v.0.0.0", 1, "a", 1], ["v.0.0.1", 1, "a", 1]]
    answer = log.apply(commands.AssignRuns(rows=rows, queues_version=1))
    assert answer.ids == expected
    refused = {row[0] for row in rows} - set(expected)
    reasons = dict.fromkeys(refused, decisions.LIMIT)
    assert answer.value == {"reason_by_task": reasons}


def test_rows_of_earlier_releases_are_applied_as_before():
    """Failure: a log replayed differently than it was applied."""
    log = test_workflow_store.Log()
    log.register()
    log.submit(LIMITED.replace(is_gang=True))
    log.set_queues(2, test_workflow_store.QUEUE.replace(priority=3))
    plain = {"kind": "AssignRuns", "at_ms": 3}
    plain["rows"] = [[FIRST, 1, "a", 1], [SECOND, 1, "a", 1]]
    answer = log.apply(commands.REGISTRY.from_tagged(plain))
    assert answer.ids == [FIRST, SECOND]


def test_start_decided_before_its_queue_changed_is_decided_again():
    """Failure: the run started in the former service of its queue."""
    leader = Leader()
    leader.apply_effects(scheduler.plan(leader.state, leader.now_ms))
    (decided,) = leader.proposed
    leader.proposed = []
    leader.set_pool("p2")
    leader.commit(decided)
    leader.settle()
    assert leader.counted == [("plan", "queue_changed", 1)]
    assert leader.placed() == {}
    assert leader.proposed == []
    leader.set_pool("p")
    leader.settle()
    assert leader.placed() == {FIRST: "b"}


def test_move_whose_start_the_log_refused_is_dropped():
    """Failure: it kept room and counted as under way until it expired."""
    leader = Leader()
    promise_move(leader)
    ends = [[1, FIRST, 1, "stopped", ""]]
    leader.commit(commands.RecordEnds(worker="c", life=1, rows=ends))
    leader.report_all()
    leader.apply_effects(scheduler.plan(leader.state, leader.now_ms))
    (decided,) = leader.proposed
    leader.proposed = []
    leader.assign(SECOND, "b")
    leader.commit(decided)
    leader.settle()
    assert leader.counted[-1] == ("move", "limit", 1)
    assert leader.state.drain_moves.moves == []
    assert leader.placed() == {SECOND: "b"}


def test_task_that_fails_during_a_move_of_its_step_does_not_start_at_its_target():
    """Failure: the plan started it there, and then the move the other one."""
    fleet = test_workflow_drainmoves.Fleet(a1="z1", a2="z1", b="z2")
    fleet.fill(LIMITED)
    fleet.drain()
    fleet.tick(100)
    ((moved, _),) = fleet.state.stop_reason_by_run
    worker_by_task = fleet.placed()
    (failed,) = worker_by_task.keys() - {moved}
    worker = worker_by_task[failed]
    del fleet.active[worker][failed, 1]
    fleet.ends[worker].append([1, failed, 1, "failed", ""])
    fleet.send_report(worker)
    fleet.settle()
    fleet.play(5)
    assert fleet.placed() == {moved: "b"}


def test_log_and_metrics_tell_which_decision_chose_a_worker(caplog):
    """Failure: the start beyond a limit could not be traced to a module."""
    caplog.set_level("INFO")
    leader = Leader()
    leader.settle()
    assert leader.counted == [("plan", "assigned", 1)]
    assert "by=plan result=assigned" in caplog.text
