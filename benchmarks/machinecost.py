"""Times the machine at the target size; run as ``python -m benchmarks.machinecost``.

1,300 workers hold 10,000 latency-critical and 11,000 batch tasks. Each figure is the
median, 99th percentile and maximum over single commands, in microseconds of processor
time, which other load on the VM changes less than elapsed time.
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


def timed(call, *arguments):
    """Return the processor time of a call in microseconds."""
    begin = time.thread_time_ns()
    call(*arguments)
    return (time.thread_time_ns() - begin) / 1_000


def measure(d, what, steps):
    """Print a row for commands, each made by a step just before it is applied."""
    ordered = []
    for step in steps:
        command = step()
        d.index += 1
        ordered.append(timed(machine.apply, d.machine, d.index, command))
    ordered.sort()
    p99 = ordered[int(len(ordered) * 0.99)]
    middle = statistics.median(ordered)
    print(f"{what:34} {middle:9.1f} {p99:9.1f} {ordered[-1]:9.1f} us")


def assignment(task):
    """Return the assignment of a task to where the samples run."""
    place = dict(upstream=f"w{int(task.id[4:-2]) % WORKERS:04}", incarnation="i1")
    sizes = dict(cores=0.1, memory_mb=task.memory_mb)
    return commands.Assignment(task=task.id, epoch=task.epoch + 1, **place, **sizes)


def report(task, phase):
    """Return the report of one task's phase by its agent."""
    change = commands.TaskChange(task=task.id, epoch=task.epoch, phase=phase)
    place = dict(upstream=task.upstream, incarnation="i1")
    return commands.ReportTasks(changes=[change], **place)


def evict(task):
    """Return the eviction of one task."""
    eviction = commands.Eviction(task=task.id, epoch=task.epoch)
    return commands.EvictTasks(evictions=[eviction])


def measure_commands(d):
    """Print the times of single commands and of large ones."""
    operator = dict(operator="ana", request_id="r")
    jobs = [
        lambda n=n: commands.SubmitJob(
            **driver.JOB, operator="ana", request_id=f"m{n}", at_ms=1
        )
        for n in range(SAMPLES)
    ]
    measure(d, "SubmitJob, 1 task", jobs)
    tasks = list(d.machine.tasks.by_id.values())
    new = tasks[-SAMPLES:]
    for what, make in (
        (
            "AssignTasks, 1 task",
            lambda t: commands.AssignTasks(assignments=[assignment(t)]),
        ),
        ("ReportTasks running, 1 task", lambda t: report(t, "running")),
        ("EvictTasks, 1 task", evict),
        ("ReportTasks stopped, 1 task", lambda t: report(t, "stopped")),
    ):
        measure(d, what, [lambda t=t, make=make: make(t) for t in new])
    claim = dict(tenant="t1", digest="d", upstream="w1", incarnation="i1")
    keys = [lambda n=n: commands.MakeClaim(key=f"{n}", **claim) for n in range(SAMPLES)]
    measure(d, "MakeClaim", keys)
    sizes = {task.id: 1.4 for task in tasks[-SAMPLES - 1_000 : -SAMPLES]}
    resize = commands.ResizeTasks(cores_by_task=sizes)
    measure(d, "ResizeTasks, 1,000 tasks", [lambda: resize])
    places = [dict(upstream=f"w{n:04}", incarnation="i1") for n in range(100)]
    losses = [lambda p=p: commands.WorkerLost(**p) for p in places]
    measure(d, "WorkerLost, 16 tasks", losses)
    ids = list(d.machine.jobs.by_id)
    burst = commands.CancelJobs(jobs=ids, **operator)
    measure(d, f"CancelJobs, {len(ids)} jobs", [lambda: burst])


def measure_reads(d):
    """Print the times and sizes of the snapshot and of large reads."""
    gc.collect()
    plain = machine.to_snapshot(d.machine)
    text = json.dumps(plain, separators=(",", ":"))
    version = d.machine.workers.version
    size = f"{len(d.machine.tasks.by_id)} tasks, {len(text) / 1e6:.1f} MB"
    for what, call, *arguments in (
        ("to_snapshot", machine.to_snapshot, d.machine),
        ("json.dumps", json.dumps, plain),
        ("json.loads", json.loads, text),
        ("from_snapshot", machine.from_snapshot, plain),
        ("directory, nothing new", directory.changes, d.machine, version),
        ("directory, all", directory.changes, d.machine, 0),
        ("query upstreams", queries.answer, d.machine, "upstreams", {}),
        ("query jobs", queries.answer, d.machine, "jobs", {}),
        ("query services", queries.answer, d.machine, "services", {}),
    ):
        print(f"{what:34} {timed(call, *arguments):9.1f} us ({size})")


def main():
    """Print the table."""
    d = build()
    print(f"{'':34} {'median':>9} {'p99':>9} {'max':>9}")
    measure_reads(d)
    measure_commands(d)


if __name__ == "__main__":
    main()
