"""Measures the processor time of the leader's reducer by number of workers.

    python -m benchmarks.leadercost --workers 40 80 160
    python -m benchmarks.leadercost --workers 160 --profile

The reducer of the leader of five replicas runs in virtual time against simulated agents
and followers, without sockets or files: reports and submissions in, orders and log
entries out. The time includes the coding of all messages. The load grows with the
number of workers and is that of a large site: short interactive workflows, wide batches
of best-effort tasks, and latency-critical tasks beside them.
"""

import argparse
import cProfile
import heapq
import itertools
import json
import pstats
import random
import statistics
import time

from sardinegauge import commands
from sardinegauge.agreement import (
    membership,
    raft,
    raftlog,
    raftmessages,
    raftstate,
    storage,
)
from sardinegauge.links import codec, messages
from sardinegauge.state import replica, replicaeffects, stateapp
from sardinegauge.workflows import leaderexchange, queues, store, views
from sardinegauge.workflows import steps as steps_module

WARM_UP_MS = 6_000
MEASURED_MS = 10_000
TICK_MS = 20
SCHEDULER_TICK_MS = 100
REPORT_INTERVAL_MS = 400
PLAN_DELAY_MS = 3
START_DELAY_MS = 4
# Time from the sending of a message to a follower until its reply arrives.
FOLLOWER_DELAY_MS = 6
SYNC_DELAY_MS = 4
FOLLOWERS = ("b", "c", "d", "e")
# Arrivals per second for each worker.
QUICK_PER_S = 0.051
BATCH_PER_S = 0.0086
PERSISTENT_PER_S = 0.00054
WORKER_FIELDS = {
    "pool": "p",
    "cpu_millis": 64_000,
    "memory_mb": 250_000,
    "accelerators": 0,
    "is_draining": False,
    "remaining_ms": 0,
    "is_fenced": True,
    "is_lapsed": False,
}
PROFILE_ROWS = 35


class Agent:
    """A simulated agent, which runs tasks and reports them."""

    def __init__(self, number):
        self.worker = f"w{number}"
        self.rack = f"r{number // 16}"
        self.runs = {}
        self.ends = []
        self.end_number = 0
        self.seen_end = 0

    def report(self, now_ms):
        """Return the report of all runs and unacknowledged ends."""
        fields = {
            **WORKER_FIELDS,
            "failure_domain": "d",
            "rack": self.rack,
            "labels": [self.rack],
            "seen_end": self.seen_end,
            "runs": [
                [*key, views.ACTIVE, "", 50, load, "", cpu_cap, 1000]
                for key, (load, cpu_cap) in self.runs.items()
            ],
            "ends": self.ends,
            "advice": [],
        }
        return messages.WorkerReport(
            agent=f"agent-{self.worker}",
            worker=self.worker,
            life=1,
            sent_ms=now_ms,
            body=json.dumps(fields, separators=(",", ":")).encode(),
            is_lease_wanted=True,
        )

    def finish(self, key):
        """Record the end of a run."""
        if self.runs.pop(key, None) is not None:
            self.end_number += 1
            self.ends.append([self.end_number, *key, store.DONE, ""])

    def apply(self, body):
        """Apply orders, and return the keys and CPU caps of the runs to start."""
        if body["seen_end"] > self.seen_end:
            self.seen_end = body["seen_end"]
            self.ends = [end for end in self.ends if end[0] > self.seen_end]
        for task, run, percent in body["paces"]:
            if (task, run) in self.runs:
                load, _ = self.runs[task, run]
                self.runs[task, run] = (load, percent)
        ended = {(end[1], end[2]) for end in self.ends}
        return [
            ((start[0], start[1]), start[5])
            for start in body["starts"]
            if (start[0], start[1]) not in self.runs
            and (start[0], start[1]) not in ended
        ]


class Simulation:
    """A leader of a group of one and its agents in virtual time."""

    def __init__(self, worker_count, seed):
        self.random = random.Random(seed)
        self.now_ms = 5_000
        self.sequence = itertools.count(1)
        self.due = []
        self.agents = {}
        self.agent_by_token = {}
        self.busy_s = 0.0
        self.starts = 0
        self.waits_ms = []
        self.submitted_ms_by_id = {}
        self.reports = 0
        self.pushes = 0
        self.appended = 0
        members = {
            name: membership.Member(identity=name, name=name, address=f"{name}:1")
            for name in ("a", *FOLLOWERS)
        }
        entry = raftmessages.LogEntry(
            index=1, term=1, kind="members", body=membership.dumps(members)
        )
        stored = storage.Stored(term=1, log=raftlog.Log(entries=[entry]))
        self.state = replica.State(
            "a", "a:1", stored, stateapp.default_modules(), now_ms=0
        )
        self.dispatch(raft.Tick(now_ms=self.now_ms, jitter=0.0))
        self.at(10 * TICK_MS, self._propose, _queues())
        for number in range(worker_count):
            agent = Agent(number)
            self.agents[agent.worker] = agent
            offset_ms = self.random.randrange(REPORT_INTERVAL_MS)
            self.at(offset_ms, self._report_periodically, agent)
        self.at(TICK_MS, self._tick)
        self.at(SCHEDULER_TICK_MS, self._scheduler_tick)
        for rate, submit in (
            (QUICK_PER_S, self._submit_quick),
            (BATCH_PER_S, self._submit_batch),
            (PERSISTENT_PER_S, self._submit_persistent),
        ):
            self._arrive(rate * worker_count, submit, is_first=True)

    def at(self, delay_ms, action, *arguments):
        """Call an action after a delay."""
        due = (self.now_ms + delay_ms, next(self.sequence), action, arguments)
        heapq.heappush(self.due, due)

    def run(self, duration_ms):
        """Run for a time; return the processor seconds of the reducer."""
        end_ms = self.now_ms + duration_ms
        self.busy_s = 0.0
        self.starts = self.reports = self.pushes = self.appended = 0
        self.waits_ms = []
        while self.due and self.due[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.due)
            action(*arguments)
        self.now_ms = end_ms
        return self.busy_s

    def dispatch(self, event):
        """Pass an event to the reducer and execute its effects."""
        began_s = time.process_time()
        effects = replica.reduce(self.state, event)
        for effect in effects:
            if hasattr(effect, "message"):
                codec.encode(codec.Frame(message=effect.message))
        self.busy_s += time.process_time() - began_s
        for effect in effects:
            if isinstance(effect, raftstate.Persist):
                self.at(SYNC_DELAY_MS, self._persisted, effect.sequence)
            elif isinstance(effect, raftstate.Send):
                self.at(FOLLOWER_DELAY_MS, self._follow, effect)
            elif isinstance(effect, replicaeffects.Reply):
                agent = self.agent_by_token.pop(effect.token, None)
                if agent is not None:
                    self._apply(agent, effect.message)
            elif isinstance(effect, replicaeffects.Push):
                self.pushes += 1
                self._apply(self.agents[effect.upstream], effect.message)
            elif isinstance(effect, leaderexchange.SchedulePlanning):
                self.at(PLAN_DELAY_MS, self._plan)

    def receive(self, message, event_class, **fields):
        """Decode a message from its bytes and pass it to the reducer."""
        data = codec.encode(codec.Frame(message=message))
        began_s = time.process_time()
        decoded = codec.decode(data).message
        self.busy_s += time.process_time() - began_s
        self.dispatch(event_class(now_ms=self.now_ms, message=decoded, **fields))

    def _persisted(self, sequence):
        self.dispatch(raft.Persisted(now_ms=self.now_ms, sequence=sequence))

    def _follow(self, effect):
        """Answer a message to a follower, which grants every vote."""
        request = effect.message
        if isinstance(request, raftmessages.VoteRequest):
            reply = raftmessages.VoteReply(
                term=request.term,
                voter=effect.member,
                granted=True,
                pre_vote=request.pre_vote,
                last_index=request.last_index,
            )
        else:
            self.appended += 1
            reply = raftmessages.AppendReply(
                term=request.term,
                member=effect.member,
                success=True,
                match_index=request.prev_index + len(request.entries),
                read_round=request.read_round,
                prev_index=request.prev_index,
            )
        self.receive(reply, raft.Received)

    def _apply(self, agent, message):
        if not message.body:
            return
        for key, cpu_cap in agent.apply(json.loads(message.body)):
            self.at(START_DELAY_MS, self._start, agent, key, cpu_cap)

    def _start(self, agent, key, cpu_cap):
        _, _, task = self.state.machine.workflows.find_task(key[0])
        if task is None or key in agent.runs:
            return
        self.starts += 1
        workflow_id = key[0].partition(".")[0]
        submitted_ms = self.submitted_ms_by_id.pop(workflow_id, None)
        if submitted_ms is not None:
            self.waits_ms.append(self.now_ms - submitted_ms)
        load = 30 if task.step.target_ms else task.step.cpu_millis
        agent.runs[key] = (load, cpu_cap)
        if not task.step.is_persistent:
            lasts_ms = int(task.step.estimate_ms * self.random.uniform(0.6, 1.4))
            self.at(lasts_ms, self._end, agent, key)
        self._report(agent)

    def _end(self, agent, key):
        agent.finish(key)
        self._report(agent)

    def _report(self, agent):
        self.reports += 1
        for key, (load, cpu_cap) in agent.runs.items():
            if load < 100:  # A latency; see `_start`.
                agent.runs[key] = (self.random.randint(15, 49), cpu_cap)
        self._request(agent.report(self.now_ms), agent)

    def _report_periodically(self, agent):
        self._report(agent)
        self.at(REPORT_INTERVAL_MS, self._report_periodically, agent)

    def _request(self, message, agent=None):
        token = next(self.sequence)
        if agent is not None:
            self.agent_by_token[token] = agent
        self.receive(message, replica.RequestReceived, wall_ms=self.now_ms, token=token)

    def _propose(self, command):
        self._request(messages.Propose(command=commands.REGISTRY.dumps(command)))

    def _plan(self):
        self.dispatch(leaderexchange.PlanningDue(now_ms=self.now_ms))

    def _tick(self):
        self.dispatch(raft.Tick(now_ms=self.now_ms, jitter=self.random.random()))
        self.at(TICK_MS, self._tick)

    def _scheduler_tick(self):
        self.dispatch(replica.SchedulerTick(now_ms=self.now_ms, wall_ms=self.now_ms))
        self.at(SCHEDULER_TICK_MS, self._scheduler_tick)

    def _arrive(self, per_s, submit, is_first=False):
        if not is_first:
            submit()
        self.at(int(self.random.expovariate(per_s) * 1000), self._arrive, per_s, submit)

    def _submit(self, queue, steps):
        workflow_id = f"{queue}{next(self.sequence)}"
        self.submitted_ms_by_id[workflow_id] = self.now_ms
        self._propose(
            commands.SubmitWorkflow(
                id=workflow_id,
                queue=queue,
                payload="x" * 64,
                steps=[step.to_sparse_dict() for step in steps],
            )
        )

    def _submit_quick(self):
        step = steps_module.Step(
            count=self.random.randint(1, 17),
            cpu_millis=3_800,
            memory_mb=500,
            estimate_ms=640,
            image="quick",
        )
        steps = [step, step.replace(after=[0])]
        self._submit("quick", steps[: self.random.choice((1, 2, 2))])

    def _submit_batch(self):
        step = steps_module.Step(
            count=self.random.randint(10, 68),
            cpu_millis=7_000,
            memory_mb=2_000,
            estimate_ms=2_700,
            image=f"batch-{self.random.randrange(4)}",
            is_filler=True,
            is_checkpointing=True,
        )
        self._submit("batch", [step, step.replace(after=[0])])

    def _submit_persistent(self):
        step = steps_module.Step(
            count=24,
            cpu_millis=4_000,
            memory_mb=1_000,
            image=f"serving-{self.random.randrange(3)}",
            target_ms=50,
            is_persistent=True,
        )
        self._submit("lasting", [step])


def _queues():
    queue = queues.Queue(
        name="quick",
        host="h",
        prefix="/quick/",
        pool="p",
        stretch=1.5,
        objective_ms=300,
        max_attempts=2,
        timeout_ms=3000,
    )
    batch = queue.replace(name="batch", prefix="/batch/", priority=2, stretch=2.0)
    lasting = queue.replace(name="lasting", prefix="/lasting/")
    packed = queues.pack([queue, batch, lasting], [queues.Pool(name="p")])
    return commands.SetQueues(version=1, packed=packed)


def measure(worker_count, seed=1):
    """Return the simulation after the measured period and its processor seconds."""
    simulation = Simulation(worker_count, seed)
    simulation.run(WARM_UP_MS)
    busy_s = simulation.run(MEASURED_MS)
    return simulation, busy_s


def _print_row(worker_count, simulation, busy_s):
    seconds = MEASURED_MS / 1000
    median_ms = statistics.median(simulation.waits_ms)
    p95_ms = statistics.quantiles(simulation.waits_ms, n=20)[-1]
    starts_per_s = simulation.starts / seconds
    reports_per_s = simulation.reports / seconds
    pushes_per_s = simulation.pushes / seconds
    print(
        f"{worker_count:>7} {busy_s / seconds:>7.3f} {starts_per_s:>9.1f}"
        f" {reports_per_s:>10.1f} {pushes_per_s:>9.1f}"
        f" {simulation.appended / seconds:>10.1f}"
        f" {median_ms:>9.0f} {p95_ms:>8.0f}"
    )


def main():
    """Print one row for each number of workers, or the profile of one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[40, 80, 160])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    print(
        "workers   cores  starts/s  reports/s  pushes/s  appends/s  median ms  p95 ms"
    )
    for worker_count in arguments.workers:
        profile = cProfile.Profile()
        if arguments.profile:
            profile.enable()
        simulation, busy_s = measure(worker_count, arguments.seed)
        profile.disable()
        _print_row(worker_count, simulation, busy_s)
        if arguments.profile:
            pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_ROWS)


if __name__ == "__main__":
    main()
