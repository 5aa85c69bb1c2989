"""Measures the scheduler and the machine at the target's size, in virtual time.

Run as ``python -m benchmarks.scale``. Each size runs in a process of its own: the
fleet is filled, then runs in balance, with as many batch tasks finishing as starting,
5 % of them urgent. Workers send a heartbeat a second with all their tasks and the loads
of their services; commands are applied 20 ms after they were proposed. Times are those
of `scheduler.reduce` and `machine.apply` alone, so encoding, links, the log's files and
agreement come on top. Pauses of the garbage collector count in the times, and the
machine's records in the memory.
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
SAMPLE_MS = 100


class Fleet:
    """A machine, its scheduler and just enough of workers to keep them busy."""

    def __init__(self, share):
        self.draw = random.Random(7)
        self.workers = int(WORKERS * share)
        self.starts_per_s = STARTS_PER_S * share
        self.services = int(SERVICES * share) // REPLICAS
        self.batch = int((RUNNING - SERVICES) * share)
        self.machine = machines.Machine()
        self.state = scheduler.State(self.machine)
        self.now_ms = 0
        self.queue = collections.deque()
        self.reports = [{} for _ in range(self.workers)]
        self.running = []
        self.spent_by_kind = collections.Counter()
        self.count_by_kind = collections.Counter()
        self.bytes_by_kind = collections.Counter()
        self.urgent_since_ms, self.urgent_waits_ms = {}, []
        self.slowest_step_ms = 0.0
        self.requests = self.started = 0
        accelerators = int(1600 * share)
        self.rooms = [
            messages.Room(
                cores=64.0,
                memory_mb=250_000,
                accelerators=8 if number * 8 < accelerators else 0,
                tasks=24,
                connections=640,
            )
            for number in range(self.workers)
        ]

    def feed(self, event, kind):
        """Give an event to the scheduler and count the time."""
        begin = time.perf_counter_ns()
        effects = scheduler.reduce(self.state, event)
        self.spent_by_kind[kind] += time.perf_counter_ns() - begin
        self.count_by_kind[kind] += 1
        for effect in effects:
            if isinstance(effect, scheduler.Propose):
                self.queue.append((self.now_ms + COMMIT_MS, effect.command))

    def commit(self, command):
        """Apply a command and count the time and the bytes of its log entry."""
        command.at_ms = 1_000_000 + self.now_ms
        kind = type(command).__name__
        self.bytes_by_kind[kind] += len(commands.REGISTRY.dumps(command))
        begin = time.perf_counter_ns()
        index = self.machine.index + 1
        answer = machines.apply(self.machine, index, command)
        self.spent_by_kind[f"apply {kind}"] += time.perf_counter_ns() - begin
        self.count_by_kind[f"apply {kind}"] += 1
        event = scheduler.CommandApplied(
            now_ms=self.now_ms, index=index, command=command, answer=answer
        )
        self.feed(event, f"applied {kind}")
        if kind == "AssignTasks":
            for id in answer.ids:
                self._start(self.machine.tasks.by_id[id])
        elif kind == "EvictTasks":
            for id in answer.ids:
                number = int(self.machine.tasks.by_id[id].upstream[1:])
                self.reports[number][id].phase = "stopped"
        return answer

    def _start(self, task):
        number = int(task.upstream[1:])
        self.started += 1
        self.reports[number][task.id] = messages.TaskReport(
            task=task.id, epoch=task.epoch, phase="running"
        )
        if not task.service:
            self.running.append((number, task.id))
        if task.id in self.urgent_since_ms:
            waited_ms = self.now_ms - self.urgent_since_ms.pop(task.id)
            self.urgent_waits_ms.append(waited_ms)

    def operate(self, cls, **fields):
        """Apply an operator's command."""
        self.requests += 1
        return self.commit(
            cls(operator="ana", request_id=f"r{self.requests}", **fields)
        )

    def submit(self, count, urgent=False):
        """Submit a job of equal tasks of a random tenant and group."""
        tenant = self.draw.randrange(TENANTS)
        needs_accelerator = self.draw.random() < 0.05
        answer = self.operate(
            commands.SubmitJob,
            name=f"g{tenant}.{self.draw.randrange(4)}",
            tenant=f"t{tenant}",
            task_count=count,
            cores=self.draw.choice((0.5, 1.0, 2.0)),
            memory_mb=self.draw.choice((500, 1000, 2000)),
            accelerators=int(needs_accelerator),
            run_time_s=50.0,
            urgent=urgent,
        )
        if urgent:
            for id in self.machine.jobs.by_id[answer.ids[0]].task_ids:
                self.urgent_since_ms[id] = self.now_ms

    def beat(self, number):
        """Send one worker's heartbeat with usage and loads."""
        reports = self.reports[number]
        by_id = self.machine.tasks.by_id
        loads = []
        for id, report in list(reports.items()):
            task = by_id.get(id)
            is_gone = task is None or task.upstream != f"w{number}"
            if is_gone or task.epoch != report.epoch:
                del reports[id]
                continue
            report.cores = task.declared_cores * self.draw.uniform(0.6, 0.9)
            report.memory_mb = int(task.declared_memory_mb * 0.8)
            report.progress = 0.5
            if task.service:
                p99_ms = self.draw.lognormvariate(3.0, 0.15)
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
        self.feed(event, "heartbeat")

    def step(self):
        """Run 100 ms: commits as they come due, heartbeats, one tick."""
        end_ms = self.now_ms + SAMPLE_MS
        before_ns = sum(self.spent_by_kind.values())
        self._commit_until(end_ms)
        self.now_ms = end_ms
        turn = end_ms // SAMPLE_MS % 10
        for number in range(turn, self.workers, 10):
            self.beat(number)
        self.feed(scheduler.Tick(now_ms=end_ms), "tick")
        spent_ms = (sum(self.spent_by_kind.values()) - before_ns) / 1e6
        self.slowest_step_ms = max(self.slowest_step_ms, spent_ms)

    def _commit_until(self, end_ms):
        while self.queue and self.queue[0][0] <= end_ms:
            due_ms, command = self.queue.popleft()
            self.now_ms = max(self.now_ms, due_ms)
            self.commit(command)

    def configure(self, starts_per_s):
        """Set quotas of all tenants and the rate of starts."""
        quota = {"cores": self.workers * 64 / TENANTS, "memory_mb": 8_000_000}
        self.operate(
            commands.SetConfiguration,
            base_version=self.machine.configuration.version,
            document={
                "tenants": {f"t{number}": quota for number in range(TENANTS)},
                "policy": {"starts_per_s": starts_per_s},
            },
        )

    def fill(self):
        """Register all workers and start the tasks that shall run."""
        self.feed(scheduler.LeadershipGained(now_ms=0, term=1), "gain")
        self.configure(10_000.0)
        for _ in range(11):
            self.step()
        for number in range(self.services):
            self.operate(
                commands.DeclareService,
                name=f"s{number}",
                tenant=f"t{number % TENANTS}",
                replicas=REPLICAS,
                cores=2.0,
                memory_mb=4000,
                connections=16,
            )
        for _ in range(self.batch // JOB_TASKS):
            self.submit(JOB_TASKS)
        while len(self.state.pending) and self.now_ms < 120_000:
            self.step()
        self.configure(float(self.starts_per_s))

    def balance(self, seconds):
        """Run in balance: finish and submit as many tasks as start."""
        due = 0.0
        for _ in range(seconds * 10):
            due += self.starts_per_s / 10
            while due >= 1:
                due -= 1
                position = self.draw.randrange(len(self.running))
                last = self.running.pop()
                if position < len(self.running):
                    last, self.running[position] = self.running[position], last
                number, id = last
                if id in self.reports[number]:
                    self.reports[number][id].phase = "finished"
                    if self.draw.random() < 1 / JOB_TASKS:
                        # Operators submit at any time within the step.
                        offset_ms = self.draw.randrange(SAMPLE_MS)
                        self._commit_until(self.now_ms + 1)
                        start_ms, self.now_ms = self.now_ms, self.now_ms + offset_ms
                        self.submit(JOB_TASKS, urgent=self.draw.random() < 0.05)
                        self.now_ms = start_ms
            self.step()


def resident_mb():
    """Return this process's resident memory in MB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def measure(share, seconds):
    """Run one size and return its figures by name."""
    bare_mb = resident_mb()
    fleet = Fleet(share)
    fleet.fill()
    fleet.balance(5)
    for counter in (fleet.spent_by_kind, fleet.count_by_kind, fleet.bytes_by_kind):
        counter.clear()
    fleet.slowest_step_ms, fleet.started = 0.0, 0
    fleet.urgent_waits_ms.clear()
    fleet.balance(seconds)
    gc.collect()
    spent, count = fleet.spent_by_kind, fleet.count_by_kind
    waits = sorted(fleet.urgent_waits_ms) or [0]
    events = sum(count.values())
    logged = sum(value for key, value in count.items() if key.startswith("apply "))
    placing = spent["tick"] + sum(
        spent[f"{kind} AssignTasks"] for kind in ("apply", "applied")
    )
    return {
        "workers": fleet.workers,
        "running": sum(len(reports) for reports in fleet.reports),
        "starts/s": fleet.started / seconds,
        "us/decision": placing / 1e3 / max(fleet.started, 1),
        "us/heartbeat": spent["heartbeat"] / 1e3 / count["heartbeat"],
        "us/event": sum(spent.values()) / 1e3 / events,
        "core share": sum(spent.values()) / 1e9 / seconds,
        "slowest 100ms": fleet.slowest_step_ms,
        "RSS MB": resident_mb() - bare_mb,
        "B/log entry": sum(fleet.bytes_by_kind.values()) / logged,
        "log KB/s": sum(fleet.bytes_by_kind.values()) / 1e3 / seconds,
        "urgent p99 ms": waits[int(0.99 * len(waits))],
        "urgent n": len(fleet.urgent_waits_ms),
        "by kind": {
            key: round(value / 1e9 / seconds, 4) for key, value in spent.most_common(9)
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
        found = [pool.submit(measure, share, options.seconds) for share in shares]
        results = [future.result() for future in found]
    for name in results[0]:
        if name != "by kind":
            print(f"{name:14}", *(f"{result[name]:12.2f}" for result in results))
    print("share of a core by kind, largest size:", results[-1]["by kind"])


if __name__ == "__main__":
    main()
