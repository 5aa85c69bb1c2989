"""Simulation of agents that restart beside workers that answer late and refuse.

Agents restart one by one, again and again. Beside that, workers leave many starts
unanswered and execute them seconds later, and refuse others as unhealthy.
"""

from sardinegauge.workflows import workerclient
from tests import workersim, workflowsim

FAULTS_END_MS = 60_000
RESTART_GAP_MS = 700
# Time without an agent's process in a restart.
MAX_DOWN_MS = 1000
UNHEALTHY_MS = 6500
SUBMIT_GAP_MS = 2000
LATE_SHARE = 0.5
UNHEALTHY_SHARE = 0.4


class Worker(workersim.Worker):
    """A worker that may refuse starts until a time, as an unhealthy one does."""

    unhealthy_until_ms = 0

    def execute_call(self, request):
        is_start = isinstance(request, workerclient.StartCall)
        if is_start and self.world.now_ms < self.unhealthy_until_ms:
            if self.world.random.random() < UNHEALTHY_SHARE:
                return self.answer(workerclient.REFUSED, workerclient.UNHEALTHY)
        return super().execute_call(request)


class Agent(workersim.Agent):
    """An agent that may be without a process until a time."""

    starts_at_ms = 0

    @property
    def is_stopped(self):
        return self.world.now_ms < self.starts_at_ms

    def dispatch(self, event):
        if not self.is_stopped:
            super().dispatch(event)

    def report(self):
        if not self.is_stopped:
            super().report()


class World(workflowsim.World):
    """The world of `workflowsim` with agents in a rolling restart.

    Beside each restart, a worker crashes with the probability `crash_share` and comes
    back under its id.
    """

    def __init__(self, seed, worker_count=5, crash_share=0.0):
        super().__init__(seed, worker_count)
        self.crash_share = crash_share
        self.workers = [Worker(self, number) for number in range(worker_count)]
        self.agents = [Agent(self, worker) for worker in self.workers]
        self.next_agent = 0

    @property
    def is_faulty(self):
        return self.now_ms < self.start_ms + FAULTS_END_MS

    def fault(self):
        """Restart the next agent, and let a worker be unhealthy for some seconds."""
        if not self.is_faulty:
            return
        self.schedule(RESTART_GAP_MS, self.fault)
        agent = self.agents[self.next_agent]
        self.next_agent = (self.next_agent + 1) % len(self.agents)
        agent.restart()
        agent.starts_at_ms = self.now_ms + self.random.randint(100, MAX_DOWN_MS)
        worker = self.random.choice(self.workers)
        worker.unhealthy_until_ms = self.now_ms + UNHEALTHY_MS
        if self.crash_share and self.random.random() < self.crash_share:
            self.crash(self.random.choice(self.workers))

    def crash(self, worker):
        if worker.is_up:
            worker.crash()
            self.schedule(self.random.randint(50, 3000), worker.restart)

    def call(self, agent, state, effect):
        is_start = isinstance(effect.request, workerclient.StartCall)
        if is_start and self.is_faulty and self.random.random() < LATE_SHARE:
            self.schedule(
                self.random.randint(2000, 12_000),
                lambda: self.execute_delayed_call(agent.worker, effect),
            )
            self.schedule(
                workflowsim.CALL_TIMEOUT_MS,
                lambda: self.unanswered(agent, state, effect, False),
            )
        else:
            super().call(agent, state, effect)

    def run(self):
        for number in range(12, FAULTS_END_MS // SUBMIT_GAP_MS):
            delay_ms = number * SUBMIT_GAP_MS
            self.schedule(delay_ms, lambda n=number: self.submit(n))
        super().run()
