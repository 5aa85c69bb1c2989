"""Compares scheduling policies on a fake fleet; see `fakeworkers` for its assumptions.

Run as ``python -m benchmarks.policies --seeds 3``. Each row is one policy over the
same seeds: the same jobs, loads, interference, losses and faults. Percentiles are over
requests of all services and seeds after the warm-up; the other columns are means.
"""

import argparse
import concurrent.futures
import random

from benchmarks import fakeworkers
from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.scheduling import estimates, placement, preemption, scheduler
from sardinegauge.state import machine as machines

TICK_MS = 100
DEPLOYMENTS = {
    "karri": {
        "cores": 64,
        "memory_mb": 250_000,
        "weights": {"tail_latency": 2.0, "batch_throughput": 1.0, "evictions": 1.0},
        "size": (3.0, 9.0),
    },
    "irbid": {
        "cores": 16,
        "memory_mb": 60_000,
        "weights": {"tail_latency": 1.0, "batch_throughput": 2.0, "evictions": 3.0},
        "size": (0.75, 2.25),
    },
}
# Name: placement, preemption, sizes. The baselines do without preemption, which suits
# them better than the simple rule to evict the largest task.
POLICIES = {
    "random": (placement.RandomFit, preemption.NoPreemption, estimates.LearnedSizes),
    "least": (placement.LeastLoaded, preemption.NoPreemption, estimates.LearnedSizes),
    "best-fit": (placement.BestFit, preemption.NoPreemption, estimates.LearnedSizes),
    "least, evict largest": (
        placement.LeastLoaded,
        preemption.EvictLargest,
        estimates.LearnedSizes,
    ),
    "least, declared sizes": (
        placement.LeastLoaded,
        preemption.NoPreemption,
        estimates.DeclaredSizes,
    ),
    "chosen, no preemption": (
        placement.InterferenceAware,
        preemption.NoPreemption,
        estimates.LearnedSizes,
    ),
    "chosen": (
        placement.InterferenceAware,
        preemption.ThrottleFirst,
        estimates.LearnedSizes,
    ),
}


class Session:
    """One seeded run of the machine and the scheduler against fake workers."""

    def __init__(self, deployment, policy, seed, duration_s):
        shape = DEPLOYMENTS[deployment]
        self.random = random.Random(f"{deployment} {seed}")
        self.duration_ms = duration_s * 1000
        self.machine = machines.Machine()
        place, preempt, size = POLICIES[policy]
        self.state = scheduler.State(self.machine, place(), preempt(), size())
        self.world = fakeworkers.World(self.random.random(), shape)
        self.shape = shape
        self.now_ms = 0
        self.requests = 0
        self.proposed = []
        self.arrivals = self._make_arrivals()
        self.submitted_by_job = {}
        self.urgent_waits_ms = []
        self.violations = 0
        self.longest_wait_ms = 0

    def _make_arrivals(self):
        """Draw the jobs as pairs of time in ms and fields, with a bad job among them.

        The rate offers 60 % of the slots or of the cores that the services leave free,
        whichever is less.
        """
        world, draw = self.world, self.random
        rate = 0.6 * world.tasks_per_s()
        found, at_s = [], 2.0
        while at_s < self.duration_ms / 1000.0:
            group = draw.choice(world.groups)
            count = draw.choice((1, 2, 4, 6))
            found.append((at_s * 1000, self._job(group, count)))
            at_s += draw.expovariate(rate / 3.25)
        for at_s in range(30, int(self.duration_ms / 1000), 15):
            job = self._job(draw.choice(world.groups), draw.choice((1, 2)))
            found.append((at_s * 1000, {**job, "urgent": True, "run_time_s": 20.0}))
        bad = self._job(world.groups[0], 3)
        found.append((240_000, {**bad, "group": "broken", "command": "fail"}))
        return sorted(found, key=lambda pair: -pair[0])

    def _job(self, group, count):
        declared = self.world.declared_by_group[group]
        return {
            "name": group,
            "tenant": "t" + group[-1],
            "group": group,
            "task_count": count,
            "command": "run",
            **declared,
        }

    def feed(self, event):
        """Give an event to the scheduler and carry out its effects."""
        for effect in scheduler.reduce(self.state, event):
            if isinstance(effect, scheduler.Propose):
                self.proposed.append(effect.command)
            else:
                self.world.direct(self.now_ms, effect)

    def operate(self, kind, **fields):
        """Apply an operator's command."""
        self.requests += 1
        request = {"operator": "ana", "request_id": f"r{self.requests}"}
        return self.commit(commands.REGISTRY.by_name[kind](**request, **fields))

    def commit(self, command):
        """Apply a command to the machine and tell the scheduler."""
        command.at_ms = self.now_ms + 1_000_000
        index = self.machine.index + 1
        answer = machines.apply(self.machine, index, command)
        if isinstance(command, commands.AssignTasks):
            self._note_assigned(answer.ids)
        self.feed(
            scheduler.CommandApplied(
                now_ms=self.now_ms, index=index, command=command, answer=answer
            )
        )
        return answer

    def _note_assigned(self, task_ids):
        for task_id in task_ids:
            task = self.machine.tasks.by_id[task_id]
            waited_ms = self.now_ms + 1_000_000 - task.pending_since_ms
            if task.task_class == "batch":
                self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)

    def run(self):
        """Run the whole session and return its measurements."""
        self.feed(scheduler.LeadershipGained(now_ms=0, term=1))
        self.operate(
            "SetConfiguration",
            base_version=0,
            document={"weights": self.shape["weights"]},
        )
        while self.now_ms < self.duration_ms:
            self.now_ms += TICK_MS
            self._step()
        return self._results()

    def _step(self):
        if self.now_ms == 3_000:
            for name, fields in self.world.services.items():
                self.operate("DeclareService", name=name, tenant="ops", **fields)
        while self.arrivals and self.arrivals[-1][0] <= self.now_ms:
            _, fields = self.arrivals.pop()
            answer = self.operate("SubmitJob", **fields)
            if answer.ids:
                self.submitted_by_job[answer.ids[0]] = self.now_ms
        proposed, self.proposed = self.proposed, []
        for command in proposed:
            self.commit(command)
        self.world.step(self.now_ms, TICK_MS)
        for heartbeat in self.world.heartbeats(self.now_ms):
            self.feed(
                scheduler.HeartbeatReceived(now_ms=self.now_ms, heartbeat=heartbeat)
            )
        self.feed(scheduler.Tick(now_ms=self.now_ms))
        self.violations += self._count_violations()

    def _count_violations(self):
        found = self.world.violations
        self.world.violations = 0
        for worker in self.machine.workers.by_upstream.values():
            names = messages.Room.field_names()
            pairs = [
                (getattr(worker.reserved, n), getattr(worker.room, n)) for n in names
            ]
            found += any(reserved > room + 1e-9 for reserved, room in pairs)
        return found

    def _results(self):
        world, by_id = self.world, self.machine.tasks.by_id
        # Jobs of the last four minutes had no time to finish under any policy.
        due = [
            task
            for task in by_id.values()
            if task.task_class == "batch"
            and task.group != "broken"
            and self.submitted_by_job[task.job] < self.duration_ms - 240_000
        ]
        finished = [task for task in due if task.state == "finished"]
        waiting = [
            self.now_ms + 1_000_000 - task.pending_since_ms
            for task in by_id.values()
            if task.state == "pending" and task.task_class == "batch"
        ]
        for job_id, at_ms in self.submitted_by_job.items():
            job = self.machine.jobs.by_id.get(job_id)
            if job and job.is_urgent:
                starts = [world.started_ms.get(id) for id in job.task_ids]
                ends = [self.now_ms if start is None else start for start in starts]
                self.urgent_waits_ms += [end - at_ms for end in ends]
        states = [job.state for job in self.machine.jobs.by_id.values()]
        return {
            "latencies": world.latencies,
            "urgent": self.urgent_waits_ms,
            "done": len(finished) / max(len(due), 1),
            "throughput": world.finished_core_s / (self.duration_ms / 1000.0),
            "evictions": sum(task.evictions for task in by_id.values()),
            "repeated": world.repeated_core_s,
            "violations": self.violations,
            "wait_s": max([self.longest_wait_ms, *waiting]) / 1000.0,
            "failed": states.count("failed"),
            "overuse": world.overuse_s,
        }


def percentile(values, share):
    """Return the value below which this share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def run_one(arguments):
    """Run one session in a worker process."""
    return Session(*arguments).run()


def main():
    """Run every policy in both deployments and print one table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=1200)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    names = [name for name in POLICIES if not options.only or name in options.only]
    keys = [
        (deployment, name, seed, options.seconds)
        for deployment in DEPLOYMENTS
        for name in names
        for seed in range(options.seeds)
    ]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        result_by_key = dict(zip(keys, pool.map(run_one, keys)))
    print(
        f"{'deployment':10} {'policy':23} {'p50ms':>6} {'p99ms':>7} {'p99.9':>7} "
        f"{'done%':>6} {'work/s':>7} {'evict':>6} {'repeat':>7} {'urg50':>6} "
        f"{'urg99':>6} {'wait_s':>6} {'failed':>6} {'overuse':>7} {'viol':>5}"
    )
    for deployment in DEPLOYMENTS:
        for name in names:
            found = [
                result_by_key[deployment, name, seed, options.seconds]
                for seed in range(options.seeds)
            ]
            print(row(deployment, name, found))


def row(deployment, name, found):
    """Return one line of the table."""
    latencies = [value for result in found for value in result["latencies"]]
    urgent = [value for result in found for value in result["urgent"]]

    def mean(key):
        return sum(result[key] for result in found) / len(found)

    return (
        f"{deployment:10} {name:23} {percentile(latencies, 0.5):6.1f} "
        f"{percentile(latencies, 0.99):7.1f} {percentile(latencies, 0.999):7.1f} "
        f"{100 * mean('done'):6.1f} {mean('throughput'):7.2f} {mean('evictions'):6.1f} "
        f"{mean('repeated'):7.0f} {percentile(urgent, 0.5) / 1000:6.2f} "
        f"{percentile(urgent, 0.99) / 1000:6.2f} "
        f"{max(result['wait_s'] for result in found):6.0f} {mean('failed'):6.1f} "
        f"{mean('overuse'):7.0f} "
        f"{sum(result['violations'] for result in found):5d}"
    )


if __name__ == "__main__":
    main()
