"""Compares scheduling policies on simulated workers; `fakeworkers` has its assumptions.

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
# Placement, preemption and size estimates by name of the policy. The baselines run
# without preemption: they score better than with eviction of the largest task.
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


class Simulation:
    """One seeded run of state machine and scheduler against simulated workers."""

    def __init__(self, deployment, policy, seed, duration_s):
        parameters = DEPLOYMENTS[deployment]
        self.random = random.Random(f"{deployment} {seed}")
        self.duration_ms = duration_s * 1000
        self.machine = machines.Machine()
        placement_class, preemption_class, sizes_class = POLICIES[policy]
        self.state = scheduler.State(
            self.machine, placement_class(), preemption_class(), sizes_class()
        )
        self.cluster = fakeworkers.Cluster(self.random.random(), parameters)
        self.parameters = parameters
        self.now_ms = 0
        self.requests = 0
        self.proposed = []
        self.arrivals = self._generate_arrivals()
        self.submitted_ms_by_job = {}
        self.urgent_waits_ms = []
        self.violations = 0
        self.longest_wait_ms = 0

    def _generate_arrivals(self):
        """Return random jobs as pairs of time in ms and fields, the latest first.

        The arrival rate loads the slots, or the cores that the services leave free, to
        60 %, whichever rate is lower. One job fails on every worker.
        """
        cluster, rng = self.cluster, self.random
        rate = 0.6 * cluster.batch_tasks_per_s()
        timed_jobs, at_s = [], 2.0
        while at_s < self.duration_ms / 1000.0:
            group = rng.choice(cluster.groups)
            count = rng.choice((1, 2, 4, 6))
            timed_jobs.append((at_s * 1000, self._job_fields(group, count)))
            at_s += rng.expovariate(rate / 3.25)
        for at_s in range(30, int(self.duration_ms / 1000), 15):
            job = self._job_fields(rng.choice(cluster.groups), rng.choice((1, 2)))
            timed_jobs.append(
                (at_s * 1000, {**job, "urgent": True, "run_time_s": 20.0})
            )
        failing_job = self._job_fields(cluster.groups[0], 3)
        timed_jobs.append(
            (240_000, {**failing_job, "group": "broken", "command": "fail"})
        )
        return sorted(timed_jobs, key=lambda pair: -pair[0])

    def _job_fields(self, group, count):
        declared = self.cluster.declared_by_group[group]
        return {
            "name": group,
            "tenant": "t" + group[-1],
            "group": group,
            "task_count": count,
            "command": "run",
            **declared,
        }

    def handle_event(self, event):
        """Pass an event to the scheduler and apply the effects."""
        for effect in scheduler.reduce(self.state, event):
            if isinstance(effect, scheduler.Propose):
                self.proposed.append(effect.command)
            else:
                self.cluster.enqueue_directive(self.now_ms, effect)

    def apply_operator_command(self, kind, **fields):
        """Apply an operator's command."""
        self.requests += 1
        request = {"operator": "ana", "request_id": f"r{self.requests}"}
        return self.commit(commands.REGISTRY.by_name[kind](**request, **fields))

    def commit(self, command):
        """Apply a command to the state machine and notify the scheduler."""
        command.at_ms = self.now_ms + 1_000_000
        index = self.machine.index + 1
        answer = machines.apply(self.machine, index, command)
        if isinstance(command, commands.AssignTasks):
            self._record_waits(answer.ids)
        self.handle_event(
            scheduler.CommandApplied(
                now_ms=self.now_ms, index=index, command=command, answer=answer
            )
        )
        return answer

    def _record_waits(self, task_ids):
        for task_id in task_ids:
            task = self.machine.tasks.by_id[task_id]
            waited_ms = self.now_ms + 1_000_000 - task.pending_since_ms
            if task.task_class == "batch":
                self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)

    def run(self):
        """Run the simulation to its end and return the measurements."""
        self.handle_event(scheduler.LeadershipGained(now_ms=0, term=1))
        self.apply_operator_command(
            "SetConfiguration",
            base_version=0,
            document={"weights": self.parameters["weights"]},
        )
        while self.now_ms < self.duration_ms:
            self.now_ms += TICK_MS
            self._step()
        return self._results()

    def _step(self):
        if self.now_ms == 3_000:
            for name, fields in self.cluster.services.items():
                self.apply_operator_command(
                    "DeclareService", name=name, tenant="ops", **fields
                )
        while self.arrivals and self.arrivals[-1][0] <= self.now_ms:
            _, fields = self.arrivals.pop()
            answer = self.apply_operator_command("SubmitJob", **fields)
            if answer.ids:
                self.submitted_ms_by_job[answer.ids[0]] = self.now_ms
        proposed, self.proposed = self.proposed, []
        for command in proposed:
            self.commit(command)
        self.cluster.step(self.now_ms, TICK_MS)
        for heartbeat in self.cluster.due_heartbeats(self.now_ms):
            self.handle_event(
                scheduler.HeartbeatReceived(now_ms=self.now_ms, heartbeat=heartbeat)
            )
        self.handle_event(scheduler.Tick(now_ms=self.now_ms))
        self.violations += self._count_violations()

    def _count_violations(self):
        violation_count = self.cluster.violations
        self.cluster.violations = 0
        for worker in self.machine.workers.by_upstream.values():
            names = messages.Room.field_names()
            pairs = [
                (getattr(worker.reserved, n), getattr(worker.room, n)) for n in names
            ]
            violation_count += any(reserved > room + 1e-9 for reserved, room in pairs)
        return violation_count

    def _results(self):
        cluster, by_id = self.cluster, self.machine.tasks.by_id
        # Jobs of the last four minutes have too little time to finish under any policy.
        due = [
            task
            for task in by_id.values()
            if task.task_class == "batch"
            and task.group != "broken"
            and self.submitted_ms_by_job[task.job] < self.duration_ms - 240_000
        ]
        finished = [task for task in due if task.state == "finished"]
        pending_waits_ms = [
            self.now_ms + 1_000_000 - task.pending_since_ms
            for task in by_id.values()
            if task.state == "pending" and task.task_class == "batch"
        ]
        for job_id, at_ms in self.submitted_ms_by_job.items():
            job = self.machine.jobs.by_id.get(job_id)
            if job and job.is_urgent:
                starts = [cluster.start_ms_by_task.get(id) for id in job.task_ids]
                ends = [self.now_ms if start is None else start for start in starts]
                self.urgent_waits_ms += [end - at_ms for end in ends]
        states = [job.state for job in self.machine.jobs.by_id.values()]
        return {
            "latencies": cluster.latencies,
            "urgent": self.urgent_waits_ms,
            "done": len(finished) / max(len(due), 1),
            "throughput": cluster.finished_core_s / (self.duration_ms / 1000.0),
            "evictions": sum(task.evictions for task in by_id.values()),
            "repeated": cluster.repeated_core_s,
            "violations": self.violations,
            "wait_s": max([self.longest_wait_ms, *pending_waits_ms]) / 1000.0,
            "failed": states.count("failed"),
            "overuse": cluster.overuse_s,
        }


def percentile(values, fraction):
    """Return the value below which this fraction of the values lies."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def run_simulation(arguments):
    """Run one simulation, in a process of the pool."""
    return Simulation(*arguments).run()


def main():
    """Simulate every policy in both deployments and print one table."""
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
        result_by_key = dict(zip(keys, pool.map(run_simulation, keys)))
    print(
        f"{'deployment':10} {'policy':23} {'p50ms':>6} {'p99ms':>7} {'p99.9':>7} "
        f"{'done%':>6} {'work/s':>7} {'evict':>6} {'repeat':>7} {'urg50':>6} "
        f"{'urg99':>6} {'wait_s':>6} {'failed':>6} {'overuse':>7} {'viol':>5}"
    )
    for deployment in DEPLOYMENTS:
        for name in names:
            results = [
                result_by_key[deployment, name, seed, options.seconds]
                for seed in range(options.seeds)
            ]
            print(format_row(deployment, name, results))


def format_row(deployment, name, results):
    """Return one line of the table."""
    latencies = [value for result in results for value in result["latencies"]]
    urgent = [value for result in results for value in result["urgent"]]

    def mean(key):
        return sum(result[key] for result in results) / len(results)

    return (
        f"{deployment:10} {name:23} {percentile(latencies, 0.5):6.1f} "
        f"{percentile(latencies, 0.99):7.1f} {percentile(latencies, 0.999):7.1f} "
        f"{100 * mean('done'):6.1f} {mean('throughput'):7.2f} {mean('evictions'):6.1f} "
        f"{mean('repeated'):7.0f} {percentile(urgent, 0.5) / 1000:6.2f} "
        f"{percentile(urgent, 0.99) / 1000:6.2f} "
        f"{max(result['wait_s'] for result in results):6.0f} {mean('failed'):6.1f} "
        f"{mean('overuse'):7.0f} "
        f"{sum(result['violations'] for result in results):5d}"
    )


if __name__ == "__main__":
    main()
