"""Simulated workers for the comparison of policies, in one process and virtual time.

Assumptions of the simulation:

- 10 workers, 8 task slots each, 3 or 4 to a rack, over 3 failure domains. 4 services
  with 4 replicas each take 16 of the 80 slots; the latency of one request in ten is
  sampled. The load of a service is a sine with a period of 5 to 9 minutes and a random
  phase, and rises by half for 40 s every 4 minutes.
- Latency of a request: log-normal (sigma 0.35) around the service's base of 8 to 20 ms,
  times (1 + load / 2), times a slowdown: 1 + 3 * overuse where the used cores exceed
  the worker's, plus the interference of each batch group.
- Interference of a batch group on a service adds `a * s / (s + 0.3) * (0.4 + load)`
  with the group's share `s` of the worker's cores. It saturates, while the model of the
  scheduler is exponential. `a` is 4 to 9 for a third of all pairs of service and group
  and below 0.4 for the others.
- A group's true cores are 0.4 to 2.2 times the declared ones, its memory 0.5 to 1.3
  times, its run time 0.5 to 2 times; tasks of a group differ by up to 10 % from this.
  Usage swings by 30 % as a sine, and one task in five uses twice its cores for 10 s
  of each minute.
- Usage and latencies are reported 5 s late, the p99 with 15 % noise.
- A start takes 1.0 to 2.0 s, an eviction 0.5 to 1.5 s for its checkpoint. A restart
  from a checkpoint repeats 3 s of work. Tasks write a checkpoint every 30 s; when a
  worker is lost, so is the work since the last checkpoint.
- A throttle lowers a task's cores and its speed in proportion. An overused worker
  slows all its batch tasks down by the same factor.
- One worker dies after 400 s and returns as a new incarnation 90 s later; on another
  worker every start fails from 600 s to 800 s; one job fails on every worker.
"""

import math
import random

from sardinegauge.links import messages

REPORT_LAG_MS = 5_000
WARM_UP_MS = 300_000
CHECKPOINT_INTERVAL_MS = 30_000
REPEATED_WORK_S = 3.0
ROOM_FIELDS = ("cores", "memory_mb", "accelerators", "connections")


class FakeTask:
    """One task on a worker; `progress` is the completed share of its work."""

    def __init__(self, order, actual, now_ms, rng):
        self.order, self.rng = order, rng
        self.phase, self.since_ms = "starting", now_ms
        self.phase_end_ms = now_ms + rng.uniform(1000, 2000)
        self.true_cores, self.true_memory_mb, self.work_s = actual
        self.has_bursts = rng.random() < 0.2
        self.offset_s = rng.random() * 60
        self.progress = self.checkpointed_progress = float(order.checkpoint or 0.0)
        self.repeat_left_s = REPEATED_WORK_S if order.checkpoint else 0.0
        self.reason = ""
        self.cores = 0.0
        self.checkpoint = order.checkpoint
        self.checkpointed_ms = now_ms

    def demanded_cores(self, now_ms):
        """Return the cores that the task would use on a worker without overuse."""
        if self.phase not in ("running", "stopping"):
            return 0.0
        at_s = now_ms / 1000.0 + self.offset_s
        cores = self.true_cores * (1 + 0.3 * math.sin(at_s / 7.0))
        if self.has_bursts and at_s % 60 < 10:
            cores *= 2
        return cores * self.order.throttle


class FakeWorker:
    """One worker with its agent: applies directives and reports usage with a lag."""

    def __init__(self, number, parameters):
        self.upstream = f"10.0.0.{number}:80"
        self.incarnation = "i1"
        self.domain, self.rack = f"d{number % 3}", f"r{number // 3}"
        self.room = messages.Room(
            cores=float(parameters["cores"]),
            memory_mb=parameters["memory_mb"],
            tasks=8,
            connections=64,
        )
        self.tasks, self.history, self.sequence = {}, [], 0
        self.is_alive, self.has_failing_starts, self.has_changes = True, False, True

    def has_room_for(self, order):
        """Return whether a task fits beside all others, stopping ones included."""
        orders = [task.order for task in self.tasks.values()]
        if len(orders) >= self.room.tasks:
            return False
        return all(
            sum(getattr(o, name) for o in orders) + getattr(order, name)
            <= getattr(self.room, name) + 1e-9
            for name in ROOM_FIELDS
        )


class Cluster:
    """All workers, with the actual usage of groups and latency of services."""

    def __init__(self, seed, parameters):
        rng = self.random = random.Random(seed)
        self.workers = [FakeWorker(number, parameters) for number in range(10)]
        self.by_upstream = {worker.upstream: worker for worker in self.workers}
        self.services, self.latency_model_by_service = {}, {}
        low, high = parameters["size"]
        for number in range(4):
            name = f"shop{number}"
            cores = round(rng.uniform(low, high), 1)
            self.services[name] = {
                "replicas": 4,
                "cores": cores,
                "memory_mb": 4000,
                "connections": 16,
                "command": "serve",
            }
            model = (rng.uniform(8, 20), rng.uniform(300, 540), rng.random() * 6.3)
            self.latency_model_by_service[name] = model
        self.batch_slots = 8 * len(self.workers) - 16
        self.groups = [f"group{number}" for number in range(6)]
        self.ratios_by_group, self.declared_by_group = {}, {}
        for group in self.groups:
            self.ratios_by_group[group] = (
                math.exp(rng.uniform(math.log(0.4), math.log(2.2))),
                rng.uniform(0.5, 1.3),
                math.exp(rng.uniform(math.log(0.5), math.log(2.0))),
            )
            self.declared_by_group[group] = {
                "cores": round(rng.uniform(low, high), 1),
                "memory_mb": int(parameters["memory_mb"] * rng.uniform(0.02, 0.1)),
                "run_time_s": round(rng.uniform(60, 180), 0),
            }
        pairs = [(name, group) for name in self.services for group in self.groups]
        self.interference_by_pair = {
            pair: rng.uniform(4, 9) if rng.random() < 1 / 3 else rng.uniform(0, 0.4)
            for pair in pairs
        }
        self.latencies, self.start_ms_by_task = [], {}
        self.finished_core_s = self.repeated_core_s = self.overuse_s = 0.0
        self.violations = 0
        self.directives = []

    def batch_tasks_per_s(self):
        """Return the rate of batch tasks that fits beside the services."""
        run_s, core_s = 0.0, 0.0
        for group, declared in self.declared_by_group.items():
            cores_ratio, _, time_ratio = self.ratios_by_group[group]
            run_s += declared["run_time_s"] * time_ratio / len(self.groups)
            cores = declared["cores"] * cores_ratio
            core_s += cores * declared["run_time_s"] * time_ratio / len(self.groups)
        all_cores = sum(worker.room.cores for worker in self.workers)
        reserved = sum(4 * fields["cores"] for fields in self.services.values())
        return min(self.batch_slots / run_s, (all_cores - reserved) / core_s)

    def enqueue_directive(self, now_ms, effect):
        """Queue a directive for delivery at the next step."""
        self.directives.append(effect)

    def _apply_directive(self, now_ms, effect):
        worker = self.by_upstream[effect.upstream]
        if not worker.is_alive or worker.incarnation != effect.incarnation:
            return
        orders = {(o.task, o.epoch): o for o in effect.directive.tasks}
        for key, task in list(worker.tasks.items()):
            order = orders.get(key)
            if order is None:
                del worker.tasks[key]
                continue
            task.order = order
            if order.action != "run" and task.phase in ("starting", "running"):
                is_evicted = order.action == "evict"
                task.phase, task.since_ms = "stopping", now_ms
                delay_ms = self.random.uniform(500, 1500) if is_evicted else 200
                task.phase_end_ms = now_ms + delay_ms
        for key, order in orders.items():
            if key in worker.tasks or order.action != "run":
                continue
            if not worker.has_room_for(order):
                self.violations += 1
            worker.tasks[key] = FakeTask(
                order, self._actual_usage(order), now_ms, self.random
            )

    def _actual_usage(self, order):
        if order.task_class == "latency_critical":
            return order.cores * 0.7, order.memory_mb * 0.8, math.inf
        # An order doesn't name its group; the last digit of the tenant is the group's.
        group = f"group{order.tenant[-1]}"
        declared, ratios = self.declared_by_group[group], self.ratios_by_group[group]
        variation = self.random.uniform(0.9, 1.1)
        run_s = 20.0 if order.task_class == "urgent" else declared["run_time_s"]
        return (
            declared["cores"] * ratios[0] * variation,
            int(declared["memory_mb"] * ratios[1] * variation),
            run_s * ratios[2] * variation,
        )

    def step(self, now_ms, step_ms):
        """Deliver the queued directives and advance all workers by one step."""
        directives, self.directives = self.directives, []
        for effect in directives:
            self._apply_directive(now_ms, effect)
        dying, failing = self.workers[2], self.workers[5]
        if now_ms == 400_000:
            self._kill_worker(dying)
        if now_ms == 490_000:
            dying.is_alive, dying.incarnation = True, "i2"
        failing.has_failing_starts = 600_000 <= now_ms < 800_000
        for worker in self.workers:
            if worker.is_alive:
                self._step_worker(worker, now_ms, step_ms / 1000.0)

    def _kill_worker(self, worker):
        worker.is_alive = False
        for task in worker.tasks.values():
            if task.work_s < math.inf and task.phase in ("running", "stopping"):
                lost = (task.progress - task.checkpointed_progress) * task.work_s
                self.repeated_core_s += lost * task.true_cores
        worker.tasks, worker.history = {}, []

    def _step_worker(self, worker, now_ms, step_s):
        demanded = 0.0
        for task in worker.tasks.values():
            task.cores = task.demanded_cores(now_ms)
            demanded += task.cores
        overuse = max(0.0, demanded / worker.room.cores - 1.0)
        self.overuse_s += step_s if overuse > 0 else 0.0
        for task in worker.tasks.values():
            self._step_task(worker, task, now_ms, step_s / (1.0 + overuse))
        if now_ms % 1000 == 0:
            self._serve_requests(worker, now_ms, overuse)

    def _step_task(self, worker, task, now_ms, speed_s):
        if task.phase == "starting" and now_ms >= task.phase_end_ms:
            is_failing = worker.has_failing_starts or task.order.command == "fail"
            task.phase = "failed" if is_failing else "running"
            task.reason = "exit status 1" if is_failing else ""
            worker.has_changes = True
            if not is_failing:
                self.start_ms_by_task.setdefault(task.order.task, now_ms)
        elif task.phase == "stopping" and now_ms >= task.phase_end_ms:
            task.phase, worker.has_changes = "stopped", True
            task.checkpoint = f"{task.progress:.4f}"
        elif task.phase == "running" and task.work_s < math.inf:
            speed_s *= task.order.throttle
            if task.repeat_left_s > 0:
                task.repeat_left_s -= speed_s
                self.repeated_core_s += speed_s * task.true_cores
                return
            task.progress += speed_s / task.work_s
            if now_ms - task.checkpointed_ms >= CHECKPOINT_INTERVAL_MS:
                task.checkpointed_progress, task.checkpointed_ms = task.progress, now_ms
                task.checkpoint = f"{task.progress:.4f}"
            if task.progress >= 1.0:
                task.phase, worker.has_changes = "finished", True
                self.finished_core_s += task.work_s * task.true_cores

    def _serve_requests(self, worker, now_ms, overuse):
        """Serve one second of requests; record loads and usage for later reports."""
        shares, loads, usage = {}, [], {}
        for task in worker.tasks.values():
            usage[task.order.task] = (task.cores, int(task.true_memory_mb))
            if task.work_s < math.inf and task.phase in ("running", "stopping"):
                group = f"group{task.order.tenant[-1]}"
                share = task.cores / worker.room.cores
                shares[group] = shares.get(group, 0.0) + share
        for task in worker.tasks.values():
            if task.order.task_class == "latency_critical" and task.phase == "running":
                loads.append(
                    self._sample_service_load(task.order.job, now_ms, shares, overuse)
                )
        worker.history.append((now_ms, loads, usage))
        while (
            len(worker.history) > 1 and worker.history[1][0] <= now_ms - REPORT_LAG_MS
        ):
            worker.history.pop(0)

    def _sample_service_load(self, service, now_ms, shares, overuse):
        rng = self.random
        base_ms, period_s, phase = self.latency_model_by_service[service]
        at_s = now_ms / 1000.0
        load = 0.5 + 0.35 * math.sin(at_s * 6.283 / period_s + phase)
        load *= 1.5 if at_s % 240 < 40 else 1.0
        slowdown = 1.0 + 3.0 * overuse
        for group, share in shares.items():
            effect = self.interference_by_pair[service, group]
            slowdown += effect * share / (share + 0.3) * (0.4 + load)
        median_ms = base_ms * (1.0 + load / 2.0) * slowdown
        requests = int(200 * load)
        if now_ms >= WARM_UP_MS:
            self.latencies += [
                median_ms * rng.lognormvariate(0.0, 0.35) for _ in range(requests // 10)
            ]
        return messages.ServiceLoad(
            service=service,
            requests=requests,
            p50_ms=median_ms,
            p99_ms=median_ms * 2.26 * rng.lognormvariate(0.0, 0.15),
        )

    def due_heartbeats(self, now_ms):
        """Return the heartbeats due: one a second, and at once after a change."""
        heartbeats = []
        for number, worker in enumerate(self.workers):
            is_due = now_ms % 1000 == 100 * number % 1000 or worker.has_changes
            if worker.is_alive and is_due:
                worker.has_changes = False
                heartbeats.append(self._build_heartbeat(worker))
        return heartbeats

    def _build_heartbeat(self, worker):
        worker.sequence += 1
        _, loads, usage = worker.history[0] if worker.history else (0, [], {})
        reports = []
        for task in worker.tasks.values():
            cores, memory_mb = usage.get(task.order.task, (0.0, 0))
            reports.append(
                messages.TaskReport(
                    task=task.order.task,
                    epoch=task.order.epoch,
                    phase=task.phase,
                    reason=task.reason,
                    checkpoint=task.checkpoint,
                    cores=cores,
                    memory_mb=memory_mb,
                    progress=min(1.0, task.progress),
                    throttle=task.order.throttle,
                )
            )
        return messages.Heartbeat(
            upstream=worker.upstream,
            incarnation=worker.incarnation,
            address="127.0.0.1:1",
            failure_domain=worker.domain,
            rack=worker.rack,
            room=worker.room,
            sequence=worker.sequence,
            tasks=reports,
            loads=loads,
        )
