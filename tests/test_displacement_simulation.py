"""Simulation of displacements: full workers, urgent tasks, lost and shrunk workers.

It uses the model of leader, agents and workers of `test_workflow_simulation`, with
memory, checkpoints and progress. Best-effort tasks fill the memory of all workers, then
urgent tasks arrive, a worker with latency-critical tasks is lost, and the memory of
another one shrinks for a while.
"""

import heapq

import pytest

from sardinegauge import commands
from sardinegauge.workflows import queues, schedulerevents, workerclient
from sardinegauge.workflows import steps as steps_module
from sardinegauge.workflows.policies import displacement, displacementlimits
from tests import workersim, workflowsim

MEMORY_MB = 16_000
SHRUNK_MEMORY_MB = 9000
WORKER_COUNT = 6
# A start may rely on a capacity that shrank within the time of contact and one
# announcement.
SHRINK_SLACK_MS = 4500
FILL_MS = 15_000
CHECKPOINT_MS = 1500
URGENT_MS = 6000
LOSS_MS = 14_000
SHRINK_MS = 24_000
GROW_MS = 32_000
END_MS = 45_000
# Most tasks of the latency-critical step that stops may make unavailable.
MAX_UNAVAILABLE = 1


class Worker(workersim.Worker):
    """A worker with memory whose tasks save a checkpoint every `CHECKPOINT_MS`."""

    def begin(self):
        super().begin()
        self.memory_mb = MEMORY_MB
        self.begun_ms_by_run = {}

    def StartCall(self, request):
        known = set(self.running)
        answer = super().StartCall(request)
        for key in self.running.keys() - known:
            done_ms = int(request.checkpoint or 0)
            self.begun_ms_by_run[key] = self.world.now_ms - done_ms
            self.running[key] -= done_ms
        return answer

    def saved_ms(self, key):
        """Return how much of a run's work its last checkpoint holds."""
        if "fill" not in key[0]:
            return 0
        done_ms = self.world.now_ms - self.begun_ms_by_run[key]
        return done_ms // CHECKPOINT_MS * CHECKPOINT_MS

    def end(self, key, how):
        saved_ms = self.saved_ms(key)
        super().end(key, how)
        if how != "done" and saved_ms:
            self.ended[-1][-1] = str(saved_ms)
        if how == "stopped":
            done_ms = self.world.now_ms - self.begun_ms_by_run[key]
            self.world.lost_ms += done_ms - saved_ms

    def HoldCall(self, request):
        answer = super().HoldCall(request)
        for row in answer.running:
            key = (row[0], row[1])
            saved_ms = self.saved_ms(key)
            row[2] = str(saved_ms) if saved_ms else ""
            if "fill" in row[0]:
                done_ms = self.world.now_ms - self.begun_ms_by_run[key]
                row[3] = min(100 * done_ms // FILL_MS, 99)
        return answer


class Agent(workersim.Agent):
    """An agent that announces the memory of its worker."""

    def dispatch(self, event):
        announcement = getattr(event, "announcement", None)
        if isinstance(announcement, workerclient.Announcement):
            announcement.memory_mb = self.worker.memory_mb
        super().dispatch(event)


class World(workflowsim.World):
    """Simulation with two queues in which no fault but the scripted ones occurs."""

    is_faulty = False

    def __init__(self, seed, policy):
        self.policy = policy
        self.started_ms = {}
        self.displaced = []
        self.lost_ms = 0
        self.shrunk_ms = {}
        super().__init__(seed, worker_count=0)
        self.workers = [Worker(self, number) for number in range(WORKER_COUNT)]
        self.agents = [Agent(self, worker) for worker in self.workers]
        urgent = queues.Queue(
            name="q", host="", prefix="", pool="p", max_attempts=99, timeout_ms=1
        )
        low = urgent.replace(name="low", prefix="/low/", priority=2)
        packed = queues.pack([urgent, low], [queues.Pool(name="p")])
        self.apply(commands.SetQueues(version=2, packed=packed))

    def elect_leader(self):
        super().elect_leader()
        self.leader.displacing.policy = self.policy

    def apply_effects(self, leader, effects):
        super().apply_effects(leader, effects)
        for effect in effects:
            if isinstance(effect, schedulerevents.RunDisplaced):
                self.displaced.append((self.now_ms, effect.reason))

    def submit_tasks(self, name, queue, payload, count, **fields):
        step = steps_module.Step(count=count, **fields).to_sparse_dict()
        command = commands.SubmitWorkflow(
            id=name, queue=queue, payload=str(payload), steps=[step]
        )
        self.commit(self.leader, command)

    def script(self):
        """Schedule the load, the loss of a worker and the shrunk memory."""
        self.schedule(
            1500,
            lambda: self.submit_tasks(
                "serving",
                "q",
                10**9,
                6,
                cpu_millis=2000,
                memory_mb=4000,
                is_persistent=True,
                target_ms=10,
                max_per_worker=2,
                max_unavailable=MAX_UNAVAILABLE,
            ),
        )
        for number in range(6):
            self.schedule(2500 + 200 * number, lambda n=number: self.fill(n))
        for number in range(8):
            self.schedule(
                URGENT_MS + 700 * number,
                lambda n=number: self.submit_tasks(
                    f"urgent{n}", "q", 1700, 2, cpu_millis=1200, memory_mb=2400
                ),
            )
        self.schedule(LOSS_MS, self.lose_worker)
        self.schedule(SHRINK_MS, self.shrink_worker)

    def fill(self, number):
        self.submit_tasks(
            f"fill{number}",
            "low",
            FILL_MS,
            8,
            cpu_millis=4000,
            memory_mb=2600 + 400 * number,
            estimate_ms=FILL_MS,
            is_filler=True,
            is_checkpointing=True,
        )

    def serving_workers(self):
        return [
            worker
            for worker in self.workers
            if any("serving" in task for task, _ in worker.running)
        ]

    def lose_worker(self):
        worker = (self.serving_workers() or self.workers)[0]
        self.lost_ids = {task for task, _ in worker.running if "serving" in task}
        for task in self.lost_ids:
            del self.started_ms[task]
        worker.crash()

    def shrink_worker(self):
        worker = (self.serving_workers() or self.workers)[-1]
        self.shrunk_ms[worker.id] = self.now_ms
        worker.memory_mb = SHRUNK_MEMORY_MB
        self.schedule(
            GROW_MS - SHRINK_MS, lambda: setattr(worker, "memory_mb", MEMORY_MB)
        )

    def on_started(self, worker, key):
        self.started_ms[key[0]] = self.now_ms

    def check_start(self, worker, key):
        super().check_start(worker, key)
        if not self.is_check_enabled:
            return
        used = sum(self.step_of(task).memory_mb for task, _ in [key, *worker.running])
        is_recent = self.now_ms - self.shrunk_ms.get(worker.id, -1e9) < SHRINK_SLACK_MS
        if used > (MEMORY_MB if is_recent else worker.memory_mb):
            self.violations.append(f"{self.now_ms}: {worker.id} has {used} MB in use")

    def step_of(self, task_id):
        return self.machine.workflows.find_task(task_id)[2].step

    def check_bounds(self):
        """Check the running leader's stops against the limits of displacements."""
        stops = self.leader.stop_reason_by_run
        stopped = {task for task, _ in stops if "serving" in task}
        running = {task for worker in self.workers for task, _ in worker.running}
        members = {f"serving.0.0.{index}" for index in range(6)}
        missing = members - running
        if stopped and len(stopped | missing) > MAX_UNAVAILABLE:
            self.violations.append(f"{self.now_ms}: {sorted(stopped)} are stopped")
        for task_id, count in self.leader.displacing.limits.count_by_task.items():
            if count > 2:
                self.violations.append(f"{task_id} was displaced {count} times")
        for task_id, reason in stops.items():
            if reason == "displaced" and "fill" not in task_id[0]:
                self.violations.append(f"{task_id} was displaced")

    def run(self):
        self.repeat(50, self.tick)
        self.repeat(100, self.check_bounds)
        for agent in self.agents:
            self.repeat(100, agent.tick)
            self.repeat(1000, agent.announce)
        self.script()
        while self.now_ms < self.start_ms + END_MS:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()

    def waits_ms(self):
        """Return the times until the start of urgent tasks, and of the lost ones."""
        end_ms = self.start_ms + END_MS
        urgent = [
            self.started_ms.get(f"urgent{number}.0.0.{index}", end_ms)
            - (self.start_ms + URGENT_MS + 700 * number)
            for number in range(8)
            for index in range(2)
        ]
        lost = [
            self.started_ms.get(task, end_ms) - (self.start_ms + LOSS_MS)
            for task in self.lost_ids
        ]
        return sorted(urgent), sorted(lost)


def play(seed, policy):
    world = World(seed, policy)
    world.run()
    assert world.violations == []
    urgent, lost = world.waits_ms()
    done = sum(
        task.is_done
        for number in range(6)
        for task in world.machine.workflows.workflow_by_id[f"fill{number}"].tasks()
    )
    print(
        f"{type(policy).__name__} seed={seed} urgent_ms={urgent[8]}/{urgent[-1]} "
        f"lost_ms={lost} displaced={len(world.displaced)} "
        f"discarded_ms={world.lost_ms} best_effort_done={done}"
    )
    return world, urgent, lost


class FaultyWorld(World):
    """The same with crashes, new leaders, cuts and lost answers at random."""

    @property
    def is_faulty(self):
        return self.now_ms < self.start_ms + 35_000

    def script(self):
        super().script()
        self.schedule(1000, self.fault)


@pytest.mark.parametrize("seed", range(4))
def test_urgent_tasks_start_soon_on_full_workers(seed):
    """Load pattern: best-effort tasks hold all memory, and a worker is lost."""
    world, urgent, lost = play(seed, displacement.LeastLostWork())
    assert urgent[-1] < 2000
    # The agent notices the crash at once; a silent worker's leases must end before.
    assert lost[-1] < 2000
    assert world.lost_ms < len(world.displaced) * CHECKPOINT_MS + CHECKPOINT_MS
    assert {reason for _, reason in world.displaced} == {"displaced", "overcommitted"}
    for begin_ms, _ in world.displaced:
        recent = [ms for ms, _ in world.displaced if 0 <= ms - begin_ms < 1000]
        assert len(recent) <= displacementlimits.MAX_PER_SECOND


def test_urgent_tasks_wait_for_best_effort_tasks_without_displacement():
    world, urgent, _ = play(0, displacement.NoDisplacement())
    assert world.displaced == []
    assert urgent[-1] > 5000


@pytest.mark.parametrize("seed", range(6))
def test_displacements_break_no_rule_under_faults(seed):
    world = FaultyWorld(seed, displacement.LeastLostWork())
    world.run()
    assert world.violations == []
    assert world.displaced
