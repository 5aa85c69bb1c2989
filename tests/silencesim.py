"""Simulation of workflows with silent workers, frozen agents and lasting tasks.

Beside the faults of `workflowsim`, workers leave calls unanswered for seconds or for
good, and agents are frozen: what reaches them waits, and calls that were about to be
sent go out when they wake. Lasting tasks must run again soon after each end.
"""

from sardinegauge import commands
from sardinegauge.workflows import steps as steps_module
from tests import workersim, workflowsim

FAULTS_END_MS = 60_000
END_MS = 110_000
# A lasting task may be without a run for this long while no fault occurs: its leases
# end, the leader notices, and it starts elsewhere.
MAX_PAUSE_MS = 9000
# Faults before a pause that may still explain it.
FAULT_MEMORY_MS = 7000
ENDLESS_MS = 10_000_000
# Longest lease that a worker takes.
MAX_LEASE_MS = 6000


class Worker(workersim.Worker):
    """A worker that may be silent until a time, and shortens leases that are too long.

    Without the limit, a call to its former life, whose clock was ahead, would give it a
    lease without an end.
    """

    silent_until_ms = 0

    def execute_call(self, request):
        answer = super().execute_call(request)
        self.until_ms = min(self.until_ms, self.clock_ms + MAX_LEASE_MS)
        return answer

    @property
    def is_silent(self):
        return self.world.now_ms < self.silent_until_ms


class Agent(workersim.Agent):
    """An agent that may be frozen until a time."""

    thaws_at_ms = 0

    @property
    def is_frozen(self):
        return self.world.now_ms < self.thaws_at_ms

    def wait_for_thaw(self, action):
        """Run an action now, or when the agent wakes."""
        if not self.is_frozen:
            action()
            return
        self.world.schedule(self.thaws_at_ms - self.world.now_ms, action)

    def dispatch(self, event):
        def run():
            event.now_ms = self.world.now_ms
            super(Agent, self).dispatch(event)

        if self.is_frozen:
            self.wait_for_thaw(run)
        else:
            super().dispatch(event)

    def tick(self):
        if not self.is_frozen:
            super().tick()

    def report(self):
        self.wait_for_thaw(super().report)

    def receive_orders(self, state, message):
        self.wait_for_thaw(lambda: super(Agent, self).receive_orders(state, message))


class World(workflowsim.World):
    """The world of `workflowsim` with further faults and lasting tasks."""

    def __init__(self, seed, worker_count=5, lasting_count=4, **limits):
        super().__init__(seed, worker_count)
        self.max_freeze_ms = limits.get("max_freeze_ms", 3500)
        self.max_silence_ms = limits.get("max_silence_ms", 6500)
        self.max_way_ms = limits.get("max_way_ms", 3)
        self.workers = [Worker(self, number) for number in range(worker_count)]
        self.agents = [Agent(self, worker) for worker in self.workers]
        self.lost_worker = None
        self.lasting_count = lasting_count
        self.paused_since_ms = {}
        self.fault_ms = self.now_ms
        self.pauses = []

    @property
    def is_faulty(self):
        return self.now_ms < self.start_ms + FAULTS_END_MS

    def fault(self):
        if not self.is_faulty:
            return
        if self.random.random() < 0.5:
            super().fault()
            return
        self.schedule(self.random.randint(300, 2500), self.fault)
        agent = self.random.choice(self.agents)
        if self.random.random() < 0.5:
            duration_ms = self.random.randint(200, self.max_freeze_ms)
            agent.thaws_at_ms = max(agent.thaws_at_ms, self.now_ms + duration_ms)
        else:
            duration_ms = self.random.randint(200, self.max_silence_ms)
            until_ms = self.now_ms + duration_ms
            agent.worker.silent_until_ms = max(agent.worker.silent_until_ms, until_ms)
        self.fault_ms = max(self.fault_ms, self.now_ms + duration_ms)

    def lose_worker(self):
        """Let a worker be silent for good; its heartbeats end, too."""
        self.lost_worker = self.random.choice(self.workers)
        self.lost_worker.silent_until_ms = self.now_ms + ENDLESS_MS

    def call(self, agent, state, effect):
        # A frozen agent sends a call when it wakes, even if the call is late by then.
        agent.wait_for_thaw(lambda: self._call(agent, state, effect))

    def _call(self, agent, state, effect):
        if agent.worker.is_silent:
            self.schedule(
                workflowsim.CALL_TIMEOUT_MS,
                lambda: self.unanswered(agent, state, effect, False),
            )
        else:
            super().call(agent, state, effect)

    def submit_lasting(self, number):
        step = steps_module.Step(
            count=2, cpu_millis=1000, estimate_ms=1000, is_persistent=True
        )
        self.commit(
            self.leader,
            commands.SubmitWorkflow(
                id=f"lasting{number}",
                queue="q",
                payload=str(ENDLESS_MS),
                steps=[step.to_sparse_dict()],
            ),
        )

    def check_lasting(self):
        """Record the lasting tasks that have been without a run for too long."""
        running = set()
        for worker in self.workers:
            worker.update()
            if worker.is_up:
                running.update(task for task, _ in worker.running)
        for workflow in self.machine.workflows.workflow_by_id.values():
            if not workflow.is_open or not workflow.id.startswith("lasting"):
                continue
            for task in workflow.tasks():
                if task.id in running:
                    self.paused_since_ms.pop(task.id, None)
                    continue
                since_ms = self.paused_since_ms.setdefault(task.id, self.now_ms)
                calm_since_ms = max(since_ms, self.fault_ms + FAULT_MEMORY_MS)
                if self.now_ms - calm_since_ms > MAX_PAUSE_MS:
                    self.pauses.append(
                        f"{self.now_ms - self.start_ms}: {task.id} without a run for "
                        f"{self.now_ms - since_ms} ms, assigned to {task.runs}"
                    )
                    self.paused_since_ms[task.id] = self.now_ms

    def run(self):
        self.repeat(200, self.check_lasting)
        for number in range(self.lasting_count):
            self.schedule(number * 900 + 600, lambda n=number: self.submit_lasting(n))
        self.schedule(FAULTS_END_MS + 500, self.lose_worker)
        super().run()
