"""Measures the scheduler and the state machine at the target size, in virtual time.

Run as ``python -m benchmarks.scale``. Each size runs in a process of its own: the
workers are filled and then run in a steady state, in which as many batch tasks finish
as start and 5 % of the jobs are urgent. Workers send a heartbeat a second with all
their tasks and the loads of their services; commands are applied 20 ms after their
proposal. Times are those of `scheduler.reduce` and `machine.apply` alone: encoding,
links, log writes and replication come on top. Times include pauses of the garbage
collector, and the memory includes the records of the state machine.
"""

import argparse
import collections
import concurrent.futures
import gc
import random
import time

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.scheduling import scheduler
from sardinegauge.state import machine as machines

WORKERS, RUNNING, SERVICES, TENANTS, STARTS_PER_S = 1300, 21_000, 10_000, 42, 210
COMMIT_MS = 20
REPLICAS = 25
JOB_TASKS = 10
STEP_MS = 100


class Simulation:
    """A state machine, its scheduler and simulated workers that generate their load."""

    def __init__(self, share):
        self.rng = random.Random(7)
        self.worker_count = int(WORKERS * share)
        self.starts_per_s = STARTS_PER_S * share
        self.service_count = int(SERVICES * share) // REPLICAS
        self.batch_tasks = int((RUNNING - SERVICES) * share)
        self.machine = machines.Machine()
        self.state = scheduler.State(self.machine)
        self.now_ms = 0
        self.proposals = collections.deque()
        self.reports_by_worker = [{} for _ in range(self.worker_count)]
        self.running = []
        self.spent_ns_by_kind = collections.Counter()
        self.count_by_kind = collections.Counter()
        self.bytes_by_kind = collections.Counter()
        self.urgent_since_ms, self.urgent_waits_ms = {}, []
        self.slowest_step_ms = 0.0
        self.requests = self.started_tasks = 0
        accelerators = int(1600 * share)
        self.rooms = [
            messages.Room(
                cores=64.0,
                memory_mb=250_000,
                accelerators=8 if number * 8 < accelerators else 0,
                tasks=24,
                connections=640,
            )
            for number in range(self.worker_count)
        ]

    def handle_event(self, event, kind):
        """Pass an event to the scheduler, add up the time and queue the proposals."""
        begin_ns = time.perf_counter_ns()
        effects = scheduler.reduce(self.state, event)
        self.spent_ns_by_kind[kind] += time.perf_counter_ns() - begin_ns
        self.count_by_kind[kind] += 1
        for effect in effects:
            if isinstance(effect, scheduler.Propose):
                self.proposals.append((self.now_ms + COMMIT_MS, effect.command))

    def commit(self, command):
        """Apply a command; add up the time and the bytes of its log entry."""
        command.at_ms = 1_000_000 + self.now_ms
        kind = type(command).__name__
        self.bytes_by_kind[kind] += len(commands.REGISTRY.dumps(command))
        begin_ns = time.perf_counter_ns()
        index = self.machine.index + 1
        answer = machines.apply(self.machine, index, command)
        self.spent_ns_by_kind[f"apply {kind}"] += time.perf_counter_ns() - begin_ns
        self.count_by_kind[f"apply {kind}"] += 1
        event = scheduler.CommandApplied(
            now_ms=self.now_ms, index=index, command=command, answer=answer
        )
        self.handle_event(event, f"applied {kind}")
        if kind == "AssignTasks":
            for id in answer.ids:
                self._record_start(self.machine.tasks.by_id[id])
        elif kind == "EvictTasks":
            for id in answer.ids:
                number = int(self.machine.tasks.by_id[id].upstream[1:])
                self.reports_by_worker[number][id].phase = "stopped"
        return answer

    def _record_start(self, task):
        number = int(task.upstream[1:])
        self.started_tasks += 1
        self.reports_by_worker[number][task.id] = messages.TaskReport(
            task=task.id, epoch=task.epoch, phase="running"
        )
        if not task.service:
            self.running.append((number, task.id))
        if task.id in self.urgent_since_ms:
            waited_ms = self.now_ms - self.urgent_since_ms.pop(task.id)
            self.urgent_waits_ms.append(waited_ms)

    def apply_operator_command(self, cls, **fields):
        """Apply an operator's command."""
        self.requests += 1
        return self.commit(
            cls(operator="ana", request_id=f"r{self.requests}", **fields)
        )

    def submit_job(self, count, is_urgent=False):
        """Submit a job of equal tasks of a random tenant and group."""
        tenant = self.rng.randrange(TENANTS)
        needs_accelerator = self.rng.random() < 0.05
        answer = self.apply_operator_command(
            commands.SubmitJob,
            name=f"g{tenant}.{self.rng.randrange(4)}",
            tenant=f"t{tenant}",
            task_count=count,
            cores=self.rng.choice((0.5, 1.0, 2.0)),
            memory_mb=self.rng.choice((500, 1000, 2000)),
            accelerators=int(needs_accelerator),
            run_time_s=50.0,
            urgent=is_urgent,
        )
        if is_urgent:
            for id in self.machine.jobs.by_id[answer.ids[0]].task_ids:
                self.urgent_since_ms[id] = self.now_ms

    def send_heartbeat(self, number):
        """Send one worker's heartbeat with usage and loads."""
        reports = self.reports_by_worker[number]
        by_id = self.machine.tasks.by_id
        loads = []
        for id, report in list(reports.items()):
            task = by_id.get(id)
            has_left = task is None or task.upstream != f"w{number}"
            if has_left or task.epoch != report.epoch:
                del reports[id]
                continue
            report.cores = task.declared_cores * self.rng.uniform(0.6, 0.9)
            report.memory_mb = int(task.declared_memory_mb * 0.8)
            report.progress = 0.5
            if task.service:
                p99_ms = self.rng.lognormvariate(3.0, 0.15)
                loads.append(
                    messages.ServiceLoad(
                        service=task.service, requests=200, p50_ms=8.0, p99_ms=p99_ms
                    )
                )
        heartbeat = messages.Heartbeat(
            upstream=f"w{number}",
            incarnation="i",
            address=f"a{number}",
            failure_domain=f"d{number % 9}",
            rack=f"r{number // 10}",
            room=self.rooms[number],
            sequence=self.now_ms,
            tasks=list(reports.values()),
            loads=loads,
        )
        event = scheduler.HeartbeatReceived(now_ms=self.now_ms, heartbeat=heartbeat)
        self.handle_event(event, "heartbeat")

    def step(self):
        """Simulate 100 ms: due commits, heartbeats of every tenth worker, one tick."""
        end_ms = self.now_ms + STEP_MS
        before_ns = sum(self.spent_ns_by_kind.values())
        self._commit_until(end_ms)
        self.now_ms = end_ms
        heartbeat_phase = end_ms // STEP_MS % 10
        for number in range(heartbeat_phase, self.worker_count, 10):
            self.send_heartbeat(number)
        self.handle_event(scheduler.Tick(now_ms=end_ms), "tick")
        spent_ms = (sum(self.spent_ns_by_kind.values()) - before_ns) / 1e6
        self.slowest_step_ms = max(self.slowest_step_ms, spent_ms)

    def _commit_until(self, end_ms):
        while self.proposals and self.proposals[0][0] <= end_ms:
            due_ms, command = self.proposals.popleft()
            self.now_ms = max(self.now_ms, due_ms)
            self.commit(command)

    def configure(self, starts_per_s):
        """Set the quotas of all tenants and the maximum rate of starts."""
        quota = {"cores": self.worker_count * 64 / TENANTS, "memory_mb": 8_000_000}
        self.apply_operator_command(
            commands.SetConfiguration,
            base_version=self.machine.configuration.version,
            document={
                "tenants": {f"t{number}": quota for number in range(TENANTS)},
                "policy": {"starts_per_s": starts_per_s},
            },
        )

    def fill(self):
        """Register all workers and start the services and batch tasks of this size."""
        self.handle_event(scheduler.LeadershipGained(now_ms=0, term=1), "gain")
        self.configure(10_000.0)
        for _ in range(11):
            self.step()
        for number in range(self.service_count):
            self.apply_operator_command(
                commands.DeclareService,
                name=f"s{number}",
                tenant=f"t{number % TENANTS}",
                replicas=REPLICAS,
                cores=2.0,
                memory_mb=4000,
                connections=16,
            )
        for _ in range(self.batch_tasks // JOB_TASKS):
            self.submit_job(JOB_TASKS)
        while len(self.state.pending) and self.now_ms < 120_000:
            self.step()
        self.configure(float(self.starts_per_s))

    def run_steady_state(self, seconds):
        """Run in a steady state: finish and submit as many tasks as start."""
        due_tasks = 0.0
        for _ in range(seconds * 10):
            due_tasks += self.starts_per_s / 10
            while due_tasks >= 1:
                due_tasks -= 1
                position = self.rng.randrange(len(self.running))
                picked = self.running.pop()
                if position < len(self.running):
                    picked, self.running[position] = (
                        self.running[position],
                        picked,
                    )
                number, id = picked
                if id in self.reports_by_worker[number]:
                    self.reports_by_worker[number][id].phase = "finished"
                    if self.rng.random() < 1 / JOB_TASKS:
                        # Operators submit at any time within the step.
                        offset_ms = self.rng.randrange(STEP_MS)
                        self._commit_until(self.now_ms + 1)
                        start_ms, self.now_ms = self.now_ms, self.now_ms + offset_ms
                        self.submit_job(JOB_TASKS, is_urgent=self.rng.random() < 0.05)
                        self.now_ms = start_ms
            self.step()


def resident_mb():
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def measure(share, seconds):
    """Run one size and return its figures by name."""
    initial_mb = resident_mb()
    simulation = Simulation(share)
    simulation.fill()
    simulation.run_steady_state(5)
    for counter in (
        simulation.spent_ns_by_kind,
        simulation.count_by_kind,
        simulation.bytes_by_kind,
    ):
        counter.clear()
    simulation.slowest_step_ms, simulation.started_tasks = 0.0, 0
    simulation.urgent_waits_ms.clear()
    simulation.run_steady_state(seconds)
    gc.collect()
    spent_ns, count = simulation.spent_ns_by_kind, simulation.count_by_kind
    waits = sorted(simulation.urgent_waits_ms) or [0]
    events = sum(count.values())
    log_entries = sum(value for key, value in count.items() if key.startswith("apply "))
    placing_ns = spent_ns["tick"] + sum(
        spent_ns[f"{kind} AssignTasks"] for kind in ("apply", "applied")
    )
    return {
        "workers": simulation.worker_count,
        "running": sum(len(reports) for reports in simulation.reports_by_worker),
        "starts/s": simulation.started_tasks / seconds,
        "us/decision": placing_ns / 1e3 / max(simulation.started_tasks, 1),
        "us/heartbeat": spent_ns["heartbeat"] / 1e3 / count["heartbeat"],
        "us/event": sum(spent_ns.values()) / 1e3 / events,
        "core share": sum(spent_ns.values()) / 1e9 / seconds,
        "slowest 100ms": simulation.slowest_step_ms,
        "RSS MB": resident_mb() - initial_mb,
        "B/log entry": sum(simulation.bytes_by_kind.values()) / log_entries,
        "log KB/s": sum(simulation.bytes_by_kind.values()) / 1e3 / seconds,
        "urgent p99 ms": waits[int(0.99 * len(waits))],
        "urgent n": len(simulation.urgent_waits_ms),
        "by kind": {
            key: round(value / 1e9 / seconds, 4)
            for key, value in spent_ns.most_common(9)
        },
    }


def main():
    """Measure all sizes one after the other and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--shares", default="0.25,0.5,1.0")
    options = parser.parse_args()
    shares = [float(share) for share in options.shares.split(",")]
    with concurrent.futures.ProcessPoolExecutor(1, max_tasks_per_child=1) as pool:
        pending_results = [
            pool.submit(measure, share, options.seconds) for share in shares
        ]
        results = [future.result() for future in pending_results]
    for name in results[0]:
        if name != "by kind":
            print(f"{name:14}", *(f"{result[name]:12.2f}" for result in results))
    print("share of a core by kind, largest size:", results[-1]["by kind"])


if __name__ == "__main__":
    main()
