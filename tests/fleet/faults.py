"""``make faults SEED=n``: real processes under faults, with a checked history."""

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile

from sardinegauge import clock, history, historychecks
from tests.fleet import fleet as fleets
from tests.fleet import injector, workload

WORKER_CAPACITY = {"cores": 16, "memory_mb": 60_000, "tasks": 8}
SETTLE_LIMIT_S = 90.0
REASON_BY_EVENT = {
    "stop": "evicted",
    "expire": "lease",
    "finish": "finished",
    "fail": "failed",
}


def worker_records(path, worker, state_by_task):
    """Convert the events file of one stub upstream into history records."""
    events = [json.loads(line) for line in path.read_text().splitlines()]
    records = []
    checkpoint_by_run = {}
    load_by_run = {}
    for event in events:
        at_ms = event["at_ms"]
        run = (event.get("task"), event.get("epoch"))
        if event["event"] == "order":
            records.append(
                history.RequestExecuted(
                    at_ms=at_ms,
                    upstream=worker,
                    request=event["request_id"],
                    token=event["order"],
                    response=event["execution"],
                )
            )
        elif event["event"] == "checkpoint":
            checkpoint_by_run[run] = event["checkpoint"]
        elif event["event"] == "start":
            load_by_run[run] = (event["cores"], event["memory_mb"])
            records.append(
                history.TaskStarted(
                    at_ms=at_ms,
                    worker=worker,
                    task=event["task"],
                    epoch=event["epoch"],
                    checkpoint=event["checkpoint"],
                )
            )
            records.append(vm_load(at_ms, worker, load_by_run))
        elif event["event"] in REASON_BY_EVENT:
            load_by_run.pop(run, None)
            reason = REASON_BY_EVENT[event["event"]]
            if reason == "evicted" and state_by_task.get(run[0]) == "cancelled":
                reason = "cancelled"
            records.append(
                history.TaskStopped(
                    at_ms=at_ms,
                    worker=worker,
                    task=event["task"],
                    epoch=event["epoch"],
                    reason=reason,
                    checkpoint=checkpoint_by_run.get(run, ""),
                )
            )
            records.append(vm_load(at_ms, worker, load_by_run))
        elif event["event"] == "boot":
            load_by_run.clear()
    return records


def vm_load(at_ms, worker, load_by_run):
    """Return the load of a worker, summed over the tasks that run on it."""
    load = {
        "cores": sum(cores for cores, _ in load_by_run.values()),
        "memory_mb": sum(memory_mb for _, memory_mb in load_by_run.values()),
        "tasks": len(load_by_run),
    }
    return history.VmLoad(at_ms=at_ms, worker=worker, load=load, room=WORKER_CAPACITY)


async def run_fleet(folder, seed, duration_s, recorder):
    """Run the workload and inject faults on a fleet; return the injector."""
    fleet = fleets.Fleet(folder, has_relays=True)
    load = workload.Workload(fleet, recorder, seed)
    faults = injector.Injector(fleet, recorder, seed + 1)
    try:
        await fleet.start()
        load_task = asyncio.ensure_future(load.run())
        await faults.run(duration_s)
        load.is_stopping = True
        await load_task
        state_by_task, is_settled = await load.wait_for_jobs(SETTLE_LIMIT_S)
        recorder.add(history.HistoryEnded, state_by_task=state_by_task, is_settled=True)
        if not is_settled:
            print("jobs did not end:", collections.Counter(state_by_task.values()))
    finally:
        statuses = await fleet.stop()
        print("exit statuses:", collections.Counter(statuses.values()))
    for name in fleet.agent_names:
        path = fleet.events_file(name)
        recorder.records += worker_records(path, name, state_by_task)
    return faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=40.0)
    parser.add_argument("--folder", default="", help="Keep logs and history here.")
    options = parser.parse_args()
    workload.configure_client()
    with tempfile.TemporaryDirectory(prefix="sardinegauge-faults-") as temporary:
        folder = pathlib.Path(options.folder or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        recorder = workload.Recorder()
        started_ms = clock.monotonic_ms()
        faults = asyncio.run(
            run_fleet(folder, options.seed, options.duration, recorder)
        )
        with open(folder / "history.jsonl", "w", encoding="utf-8") as file:
            for item in sorted(recorder.records, key=lambda item: item.at_ms):
                history.write(file, item)
        recorded = historychecks.History(recorder.records)
        violations = historychecks.check(recorded)
    print("faults:", json.dumps(faults.count_by_kind))
    answers = collections.Counter(
        item.verdict for item in recorded.by_kind["RequestAnswered"]
    )
    print("verdicts:", json.dumps(answers))
    for violation in violations:
        at_s = (violation.at_ms - started_ms) / 1000
        print(f"{at_s:.1f} s guarantee {violation.guarantee}: {violation.text}")
    print(
        f"violations={len(violations)} requests={recorded.request_count} "
        f"tasks={recorded.task_count} faults={sum(faults.count_by_kind.values())}"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
