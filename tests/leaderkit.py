"""Test fixture of a leader whose proposed commands are applied by the test."""

import json

from sardinegauge import commands, outcome
from sardinegauge.state import machine
from sardinegauge.workflows import (
    orders,
    queues,
    scheduler,
    schedulerevents,
    schedulerstate,
    views,
)


class Leader:
    """A leader's scheduler and state machine, driven by a test without a network."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0
        self.now_ms = 1_000_000
        self.proposed = []
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
        self.start_term()

    @property
    def store(self):
        return self.machine.workflows

    def start_term(self, term=1):
        self.state = schedulerstate.State(self.machine)
        self.dispatch(schedulerevents.LeadershipGained, wall_ms=self.now_ms, term=term)

    def dispatch(self, event_class, **fields):
        event = event_class(now_ms=self.now_ms, **fields)
        self.apply_effects(scheduler.reduce(self.state, event))

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                self.proposed.append(effect.command)
            elif isinstance(effect, schedulerevents.Push):
                self.pushed.append(effect.worker)

    def commit(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        answer = machine.apply(self.machine, self.index, command)
        if not hasattr(self, "state"):
            return answer
        if isinstance(answer, outcome.Invalid):
            self.dispatch(schedulerevents.CommandRefused, command=command)
        else:
            self.dispatch(
                schedulerevents.CommandApplied,
                index=self.index,
                command=command,
                answer=answer,
            )
        return answer

    def settle(self):
        """Plan and commit proposals until none follows."""
        for _ in range(20):
            self.apply_effects(scheduler.plan(self.state, self.now_ms))
            if not self.proposed:
                return
            found, self.proposed = self.proposed, []
            for command in found:
                self.commit(command)

    def report(self, worker="a", incarnation=1, runs=(), ends=(), **fields):
        report = report_of(worker, runs, incarnation, ends, **fields)
        self.dispatch(schedulerevents.ReportReceived, report=report)

    def submit(self, *found, id="w", queue="q", **fields):
        plain = [step.to_sparse_dict() for step in found]
        command = commands.SubmitWorkflow(
            id=id, queue=queue, payload="x", steps=plain, **fields
        )
        return self.commit(command)

    def orders(self, worker="a", incarnation=1):
        return json.loads(orders.encode(self.state, worker, incarnation).data)

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
        self.dispatch(schedulerevents.Tick, wall_ms=self.now_ms)


def report_of(
    worker, runs, incarnation=1, ends=(), survived_ms=0, progress=0, **fields
):
    """Return the report of a worker; `runs` are rows of task, run and phase."""
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
    return views.Report(
        worker=worker,
        life=incarnation,
        runs=[[*row, "", progress, 0, "", 100, survived_ms] for row in runs],
        ends=[list(row) for row in ends],
        **values,
    )
