"""Simulation of leader, agents and workers in virtual time under random faults.

The real reducers of the leader and the agents run against a model of workers that
crash, answer late, lose answers, and restart under the same id. Each start is checked
against all runs active at that moment: no task runs twice, none starts after its end,
and no worker is overcommitted.
"""

import heapq
import itertools
import random

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.state import machine
from sardinegauge.workflows import (
    hostevents,
    incarnations,
    orders,
    queues,
    scheduler,
    schedulerevents,
    schedulerstate,
)
from sardinegauge.workflows import steps as steps_module
from tests import workersim

FAULTS_END_MS = 40_000
END_MS = 110_000
CALL_TIMEOUT_MS = 300
# Starts are still allowed for this long after an end that arrives after its lease.
START_SLACK_MS = 1000


def reserved_millis(step):
    """Return the cores that a task reserves; best-effort tasks reserve none."""
    return 0 if step.is_filler else step.cpu_millis


class World:
    """Simulation with virtual time, a leader, and faults drawn from a seed."""

    def __init__(self, seed, worker_count=4):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        self.start_ms = self.now_ms
        self.events = []
        self.numbers = itertools.count(1)
        self.machine = machine.Machine()
        self.index = 0
        self.term = 0
        self.order_sequence = 0
        self.commit_ms = 0
        self.is_check_enabled = True
        # Longest way of a call to a worker, and of its answer.
        self.max_way_ms = 3
        self.done_since_ms = {}
        self.violations = []
        self.workers = [workersim.Worker(self, n) for n in range(worker_count)]
        self.agents = [workersim.Agent(self, worker) for worker in self.workers]
        queue = queues.Queue(
            name="q", host="", prefix="", pool="p", max_attempts=99, timeout_ms=1
        )
        packed = queues.pack([queue], [queues.Pool(name="p")])
        self.apply(commands.SetQueues(version=1, packed=packed))
        self.elect_leader()

    def next(self):
        return next(self.numbers)

    def schedule(self, delay_ms, action):
        entry = (self.now_ms + delay_ms, self.next(), action)
        heapq.heappush(self.events, entry)

    # The leader.

    def elect_leader(self):
        self.term += 1
        self.order_sequence = 0
        self.leader = schedulerstate.State(self.machine)
        self.dispatch(
            schedulerevents.LeadershipGained(
                now_ms=self.now_ms, wall_ms=self.now_ms, term=self.term
            )
        )

    def dispatch(self, event):
        self.apply_effects(self.leader, scheduler.reduce(self.leader, event))

    def apply_effects(self, leader, effects):
        for effect in effects:
            if isinstance(effect, schedulerevents.Propose):
                # The log keeps the order of proposals.
                due_ms = self.now_ms + self.random.randint(5, 40)
                self.commit_ms = max(due_ms, self.commit_ms)
                self.schedule(
                    self.commit_ms - self.now_ms,
                    lambda c=effect.command: self.commit(leader, c),
                )
            elif isinstance(effect, schedulerevents.Push):
                self.push(leader, effect.worker, effect.incarnation)

    def commit(self, leader, command):
        # Proposals of a deposed leader that were not committed before are lost.
        if leader is not self.leader:
            return
        answer = self.apply(command)
        self.dispatch(
            schedulerevents.CommandApplied(
                now_ms=self.now_ms, index=self.index, command=command, answer=answer
            )
        )

    def apply(self, command):
        self.index += 1
        command.at_ms = self.now_ms
        if isinstance(command, commands.RecordEnds):
            self.record_done(command)
        return machine.apply(self.machine, self.index, command)

    def record_done(self, command):
        """Record from when on a start of a finished task is a violation.

        If the run was released already because its leases expired, a start of the next
        run may be on the way when its end is committed.
        """
        for _, task, run, how, _ in command.rows:
            _, _, found = self.machine.workflows.find_task(task)
            if how == "done" and found is not None and not found.is_done:
                is_held = found.find_run(run, command.worker, command.life) is not None
                slack_ms = 0 if is_held else START_SLACK_MS
                self.done_since_ms[task] = self.now_ms + slack_ms

    def orders(self, leader, worker, incarnation, sent_ms=0, grant_ms=0):
        self.order_sequence += 1
        return messages.WorkerOrders(
            confirmed=True,
            worker=worker,
            life=incarnation,
            term=leader.term,
            sequence=self.order_sequence,
            sent_ms=sent_ms,
            grant_ms=grant_ms,
            body=orders.encode(leader, worker, incarnation).data,
        )

    def push(self, leader, worker, incarnation):
        message = self.orders(leader, worker, incarnation)
        for agent in self.agents:
            if agent.worker.id == worker:
                state = agent.state
                self.schedule(
                    self.random.randint(1, 10),
                    lambda a=agent, s=state: a.receive_orders(s, message),
                )

    def on_report(self, agent, state, report, sent_ms, is_lease_wanted):
        leader = self.leader
        event = schedulerevents.ReportReceived(now_ms=self.now_ms, report=report)
        self.dispatch(event)

        def reply():
            if leader is not self.leader:
                return
            grant_ms = 0
            if is_lease_wanted and incarnations.may_grant_lease(
                leader, report.worker, report.life
            ):
                incarnations.record_grant(leader, report.worker, self.now_ms)
                grant_ms = incarnations.LEASE_MS
            message = self.orders(leader, report.worker, report.life, sent_ms, grant_ms)
            self.schedule(
                self.random.randint(1, 10), lambda: agent.receive_orders(state, message)
            )

        self.schedule(self.random.randint(1, 100), reply)

    # Calls of agents to workers.

    def call(self, agent, state, effect):
        worker = agent.worker
        draw = self.random.random() if self.is_faulty else 1.0
        if not worker.is_up:
            self.schedule(1, lambda: self.unanswered(agent, state, effect, True))
        elif draw < 0.05:
            self.schedule(
                self.random.randint(2000, 12_000),
                lambda: self.execute_delayed_call(worker, effect),
            )
            self.schedule(
                CALL_TIMEOUT_MS, lambda: self.unanswered(agent, state, effect, False)
            )
        else:
            self.schedule(
                self.random.randint(0, self.max_way_ms),
                lambda: self.execute_call(agent, state, effect, draw < 0.08),
            )

    def execute_delayed_call(self, worker, effect):
        """Execute a delayed call in the worker's current incarnation.

        A start call that reaches the next incarnation before its fence can't be
        prevented, so it is not checked itself; later starts beside it are.
        """
        if worker.is_up:
            self.is_check_enabled = worker.incarnation == effect.incarnation
            worker.execute_call(effect.request)
            self.is_check_enabled = True

    def execute_call(self, agent, state, effect, is_answer_lost):
        worker = agent.worker
        if not worker.is_up:
            self.unanswered(agent, state, effect, True)
            return
        answer = worker.execute_call(effect.request)
        if is_answer_lost:
            self.schedule(
                CALL_TIMEOUT_MS, lambda: self.unanswered(agent, state, effect, False)
            )
            return

        def deliver():
            if state is agent.state:
                agent.dispatch(
                    hostevents.CallAnswered(
                        now_ms=self.now_ms, call=effect, answer=answer
                    )
                )

        self.schedule(self.random.randint(0, self.max_way_ms), deliver)

    def unanswered(self, agent, state, effect, is_down):
        if state is agent.state:
            agent.dispatch(
                hostevents.CallUnanswered(
                    now_ms=self.now_ms, call=effect, is_down=is_down
                )
            )

    # Faults and checks.

    @property
    def is_faulty(self):
        return self.now_ms < self.start_ms + FAULTS_END_MS

    def fault(self):
        if not self.is_faulty:
            return
        self.schedule(self.random.randint(300, 2500), self.fault)
        agent = self.random.choice(self.agents)
        kind = self.random.choice(
            ("crash", "restart agent", "cut", "new leader", "cancel")
        )
        if kind == "crash" and agent.worker.is_up:
            agent.worker.crash()
            self.schedule(self.random.randint(50, 3000), agent.worker.restart)
        elif kind == "restart agent":
            agent.restart()
        elif kind == "cut" and not agent.is_partitioned:
            agent.is_partitioned = True
            self.schedule(
                self.random.randint(500, 9000),
                lambda: setattr(agent, "is_partitioned", False),
            )
        elif kind == "new leader":
            self.elect_leader()
        elif kind == "cancel":
            found = list(self.machine.workflows.open_ids)
            if found and self.random.random() < 0.3:
                command = commands.CancelWorkflow(id=self.random.choice(found))
                self.commit(self.leader, command)

    def check_start(self, worker, key):
        if not self.is_check_enabled:
            return
        task, run = key
        for other in self.workers:
            if not other.is_up:
                continue
            other.update()
            for running, number in other.running:
                if running == task:
                    self.violations.append(
                        f"{self.now_ms - self.start_ms}: {task} run {run} on "
                        f"{worker.id} beside run {number} on {other.id}"
                    )
        _, _, found = self.machine.workflows.find_task(task)
        if self.now_ms > self.done_since_ms.get(task, float("inf")):
            self.violations.append(f"{self.now_ms}: {task} run {run} after its end")
        used = reserved_millis(found.step) if found is not None else 0
        for running, _ in worker.running:
            _, _, other = self.machine.workflows.find_task(running)
            used += reserved_millis(other.step)
        if used > self.allowed_millis(worker):
            self.violations.append(f"{self.now_ms}: {worker.id} has {used} of room")

    def allowed_millis(self, worker):
        """Return the capacity that a start must keep to."""
        return worker.capacity_millis

    def on_started(self, worker, key):
        """Notice that a worker began a run; for simulations with other faults."""

    def submit(self, number):
        step = steps_module.Step(
            count=self.random.randint(1, 4),
            cpu_millis=self.random.choice((1000, 2000, 3000)),
            estimate_ms=1000,
        )
        command = commands.SubmitWorkflow(
            id=f"w{number}",
            queue="q",
            payload=str(self.random.randint(200, 6000)),
            steps=[step.to_sparse_dict(), {**step.to_sparse_dict(), "after": [0]}],
        )
        self.commit(self.leader, command)

    def repeat(self, interval_ms, action):
        def again():
            action()
            self.schedule(interval_ms, again)

        self.schedule(self.random.randint(0, interval_ms), again)

    def tick(self):
        event = schedulerevents.Tick(now_ms=self.now_ms, wall_ms=self.now_ms)
        self.dispatch(event)
        self.apply_effects(self.leader, scheduler.plan(self.leader, self.now_ms))

    def run(self):
        self.repeat(50, self.tick)
        for agent in self.agents:
            self.repeat(100, agent.tick)
            self.repeat(1000, agent.announce)
        for number in range(12):
            self.schedule(number * 2500 + 500, lambda n=number: self.submit(n))
        self.schedule(1000, self.fault)
        while self.now_ms < self.start_ms + END_MS:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
