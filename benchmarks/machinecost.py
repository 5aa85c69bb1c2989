"""Times the replicated state machine (``python -m benchmarks.machinecost``).

At the target size, 1,300 workers run 10,000 latency-critical and 11,000 batch tasks.
The figures are median, 99th percentile and maximum over single commands, in
microseconds of processor time: other load on the VM changes it less than elapsed time.
"""

import gc
import json
import statistics
import time

from sardinegauge import commands
from sardinegauge.state import directory, machine, queries
from tests import driver

WORKERS = 1_300
SAMPLES = 2_000
ROOM = {"cores": 64.0, "memory_mb": 250_000, "tasks": 20, "connections": 1_000}


def build():
    """Return a driver with every task placed and running."""
    d = driver.Driver()
    for number in range(WORKERS):
        d.register(f"w{number:04}", room=ROOM, rack=f"r{number // 40}")
    for number in range(100):
        d.declare(100, name=f"s{number}", tenant=f"t{number % 42}", connections=16)
    for number in range(1_100):
        d.submit(task_count=10, tenant=f"t{number % 42}", cores=1.3)
    for number, id in enumerate(list(d.machine.tasks.pending_by_id)):
        d.run(id, upstream=f"w{number % WORKERS:04}")
    return d


def time_call(call, *arguments):
    """Return the processor time of a call in microseconds."""
    begin_ns = time.thread_time_ns()
    call(*arguments)
    return (time.thread_time_ns() - begin_ns) / 1_000


def time_commands(d, label, builders):
    """Print a row of times of commands, each built just before it is applied."""
    times_us = []
    for build_command in builders:
        command = build_command()
        d.index += 1
        times_us.append(time_call(machine.apply, d.machine, d.index, command))
    times_us.sort()
    p99_us = times_us[int(len(times_us) * 0.99)]
    median_us = statistics.median(times_us)
    print(f"{label:34} {median_us:9.1f} {p99_us:9.1f} {times_us[-1]:9.1f} us")


def assignment(task):
    """Return the assignment of a task to the worker that its job number selects."""
    worker_fields = dict(
        upstream=f"w{int(task.id[4:-2]) % WORKERS:04}", incarnation="i1"
    )
    sizes = dict(cores=0.1, memory_mb=task.memory_mb)
    return commands.Assignment(
        task=task.id, epoch=task.epoch + 1, **worker_fields, **sizes
    )


def report(task, phase):
    """Return the command with an agent's report of one task's phase."""
    change = commands.TaskChange(task=task.id, epoch=task.epoch, phase=phase)
    worker_fields = dict(upstream=task.upstream, incarnation="i1")
    return commands.ReportTasks(changes=[change], **worker_fields)


def evict(task):
    """Return the command that evicts one task."""
    eviction = commands.Eviction(task=task.id, epoch=task.epoch)
    return commands.EvictTasks(evictions=[eviction])


def time_command_kinds(d):
    """Print the times of commands on one task and on many."""
    operator = dict(operator="ana", request_id="r")
    jobs = [
        lambda n=n: commands.SubmitJob(
            **driver.JOB, operator="ana", request_id=f"m{n}", at_ms=1
        )
        for n in range(SAMPLES)
    ]
    time_commands(d, "SubmitJob, 1 task", jobs)
    tasks = list(d.machine.tasks.by_id.values())
    new = tasks[-SAMPLES:]
    for label, builder in (
        (
            "AssignTasks, 1 task",
            lambda t: commands.AssignTasks(assignments=[assignment(t)]),
        ),
        ("ReportTasks running, 1 task", lambda t: report(t, "running")),
        ("EvictTasks, 1 task", evict),
        ("ReportTasks stopped, 1 task", lambda t: report(t, "stopped")),
    ):
        time_commands(
            d,
            label,
            [lambda t=t, builder=builder: builder(t) for t in new],
        )
    claim = dict(tenant="t1", digest="d", upstream="w1", incarnation="i1")
    keys = [lambda n=n: commands.MakeClaim(key=f"{n}", **claim) for n in range(SAMPLES)]
    time_commands(d, "MakeClaim", keys)
    sizes = {task.id: 1.4 for task in tasks[-SAMPLES - 1_000 : -SAMPLES]}
    resize = commands.ResizeTasks(cores_by_task=sizes)
    time_commands(d, "ResizeTasks, 1,000 tasks", [lambda: resize])
    incarnations = [dict(upstream=f"w{n:04}", incarnation="i1") for n in range(100)]
    losses = [lambda p=p: commands.WorkerLost(**p) for p in incarnations]
    time_commands(d, "WorkerLost, 16 tasks", losses)
    ids = list(d.machine.jobs.by_id)
    cancellation = commands.CancelJobs(jobs=ids, **operator)
    time_commands(d, f"CancelJobs, {len(ids)} jobs", [lambda: cancellation])


def time_reads(d):
    """Print the times of snapshots and large reads, with the size of the state."""
    gc.collect()
    snapshot = machine.to_snapshot(d.machine)
    text = json.dumps(snapshot, separators=(",", ":"))
    version = d.machine.workers.version
    size = f"{len(d.machine.tasks.by_id)} tasks, {len(text) / 1e6:.1f} MB"
    for label, call, *arguments in (
        ("to_snapshot", machine.to_snapshot, d.machine),
        ("json.dumps", json.dumps, snapshot),
        ("json.loads", json.loads, text),
        ("from_snapshot", machine.from_snapshot, snapshot),
        ("directory, nothing new", directory.changes, d.machine, version),
        ("directory, all", directory.changes, d.machine, 0),
        ("query upstreams", queries.answer, d.machine, "upstreams", {}),
        ("query jobs", queries.answer, d.machine, "jobs", {}),
        ("query services", queries.answer, d.machine, "services", {}),
    ):
        print(f"{label:34} {time_call(call, *arguments):9.1f} us ({size})")


def main():
    """Print the table."""
    d = build()
    print(f"{'':34} {'median':>9} {'p99':>9} {'max':>9}")
    time_reads(d)
    time_command_kinds(d)


if __name__ == "__main__":
    main()
