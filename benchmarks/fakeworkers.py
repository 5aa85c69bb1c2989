"""Fake workers for the comparison of policies, in one process and in virtual time.

Assumptions, so that a reader can judge the figures:

- 10 workers, 8 task slots each, 3 or 4 to a rack, over 3 failure domains. 4 services
  with 4 replicas each take 16 of the 80 slots; one request in ten of each second is
  drawn as a sample. Their load swings as a sine of 5 to 9 minutes, each service with
  another phase, and jumps by half for 40 s every 4 minutes.
- Latency of a request: log-normal (sigma 0.35) around the service's base of 8 to 20 ms,
  times (1 + load / 2), times the interference, times 1 + 3 * overuse where the used
  cores exceed the worker's.
- Interference of a batch group on a service adds `a * s / (s + 0.3) * (0.4 + load)`
  with the group's share `s` of the worker's cores: it saturates, while the scheduler's
  model is exponential. `a` is 4 to 9 for a third of all pairs and below 0.4 for the
  others.
- A group's true cores are 0.4 to 2.2 times the declared ones, its memory 0.5 to 1.3
  times, its run time 0.5 to 2 times, equal for all its tasks up to 10 %. Usage waves by
  30 % and every fifth task has bursts of twice its cores for 10 s in each minute.
- Usage and latencies are reported 5 s late, the p99 with 15 % noise.
- A start takes 1.0 to 2.0 s, an eviction 0.5 to 1.5 s for its checkpoint. A restart
  repeats 3 s of work. Tasks checkpoint every 30 s; a lost worker loses the work since.
- A throttle lowers a task's cores and its speed in proportion. Overused workers slow
  all batch tasks down alike.
- One worker dies after 400 s and returns as a new incarnation 90 s later; another one
  fails everything it starts from 600 s to 800 s; one job fails wherever it starts.
"""

import math
import random

from sardinegauge.links import messages

LAG_MS = 5_000
WARM_UP_MS = 300_000
PERIODIC_CHECKPOINT_MS = 30_000
RESTART_S = 3.0
ROOM_NAMES = ("cores", "memory_mb", "accelerators", "connections")


class FakeTask:
    """One task on a worker; `progress` is the share of its work that is done."""

    def __init__(self, order, truth, now_ms, draw):
        self.order, self.draw = order, draw
        self.phase, self.since_ms = "starting", now_ms
        self.phase_end_ms = now_ms + draw.uniform(1000, 2000)
        self.true_cores, self.true_memory_mb, self.work_s = truth
        self.has_bursts = draw.random() < 0.2
        self.offset = draw.random() * 60
        self.progress = self.saved = float(order.checkpoint or 0.0)
        self.repeats_s = RESTART_S if order.checkpoint else 0.0
        self.reason = ""
        self.cores = 0.0
        self.checkpoint = order.checkpoint
        self.saved_ms = now_ms

    def wanted_cores(self, now_ms):
        """Return the cores the task would use now."""
        if self.phase not in ("running", "stopping"):
            return 0.0
        at_s = now_ms / 1000.0 + self.offset
        cores = self.true_cores * (1 + 0.3 * math.sin(at_s / 7.0))
        if self.has_bursts and at_s % 60 < 10:
            cores *= 2
        return cores * self.order.throttle


class FakeWorker:
    """One worker with its agent: follows directives, reports with a lag."""

    def __init__(self, number, shape):
        self.upstream = f"10.0.0.{number}:80"
        self.incarnation = "i1"
        self.domain, self.rack = f"d{number % 3}", f"r{number // 3}"
        self.room = messages.Room(
            cores=float(shape["cores"]),
            memory_mb=shape["memory_mb"],
            tasks=8,
            connections=64,
        )
        self.tasks, self.history, self.sequence = {}, [], 0
        self.is_alive, self.fails_all, self.is_changed = True, False, True

    def can_hold(self, order):
        """Tell whether the agent has room for one more task, stopping ones included."""
        orders = [task.order for task in self.tasks.values()]
        if len(orders) >= self.room.tasks:
            return False
        return all(
            sum(getattr(o, name) for o in orders) + getattr(order, name)
            <= getattr(self.room, name) + 1e-9
            for name in ROOM_NAMES
        )


class World:
    """All fake workers with the truth about services and groups."""

    def __init__(self, seed, shape):
        draw = self.random = random.Random(seed)
        self.workers = [FakeWorker(number, shape) for number in range(10)]
        self.by_upstream = {worker.upstream: worker for worker in self.workers}
        self.services, self.truth_by_service = {}, {}
        low, high = shape["size"]
        for number in range(4):
            name = f"shop{number}"
            cores = round(draw.uniform(low, high), 1)
            self.services[name] = {
                "replicas": 4,
                "cores": cores,
                "memory_mb": 4000,
                "connections": 16,
                "command": "serve",
            }
            truth = (draw.uniform(8, 20), draw.uniform(300, 540), draw.random() * 6.3)
            self.truth_by_service[name] = truth
        self.batch_slots = 8 * len(self.workers) - 16
        self.groups = [f"group{number}" for number in range(6)]
        self.ratios_by_group, self.declared_by_group = {}, {}
        for group in self.groups:
            self.ratios_by_group[group] = (
                math.exp(draw.uniform(math.log(0.4), math.log(2.2))),
                draw.uniform(0.5, 1.3),
                math.exp(draw.uniform(math.log(0.5), math.log(2.0))),
            )
            self.declared_by_group[group] = {
                "cores": round(draw.uniform(low, high), 1),
                "memory_mb": int(shape["memory_mb"] * draw.uniform(0.02, 0.1)),
                "run_time_s": round(draw.uniform(60, 180), 0),
            }
        pairs = [(name, group) for name in self.services for group in self.groups]
        self.effect_by_pair = {
            pair: draw.uniform(4, 9) if draw.random() < 1 / 3 else draw.uniform(0, 0.4)
            for pair in pairs
        }
        self.latencies, self.started_ms = [], {}
        self.finished_core_s = self.repeated_core_s = self.overuse_s = 0.0
        self.violations = 0
        self.directives = []

    def tasks_per_s(self):
        """Return how many batch tasks per second fit beside the services."""
        run_s, core_s = 0.0, 0.0
        for group, declared in self.declared_by_group.items():
            cores_ratio, _, time_ratio = self.ratios_by_group[group]
            run_s += declared["run_time_s"] * time_ratio / len(self.groups)
            cores = declared["cores"] * cores_ratio
            core_s += cores * declared["run_time_s"] * time_ratio / len(self.groups)
        all_cores = sum(worker.room.cores for worker in self.workers)
        reserved = sum(4 * fields["cores"] for fields in self.services.values())
        return min(self.batch_slots / run_s, (all_cores - reserved) / core_s)

    def direct(self, now_ms, effect):
        """Take a directive; it arrives with the next step."""
        self.directives.append(effect)

    def _follow(self, now_ms, effect):
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
            if not worker.can_hold(order):
                self.violations += 1
            worker.tasks[key] = FakeTask(order, self._truth(order), now_ms, self.random)

    def _truth(self, order):
        if order.task_class == "latency_critical":
            return order.cores * 0.7, order.memory_mb * 0.8, math.inf
        # The job id tells nothing of the group, but the name of the tenant does.
        group = f"group{order.tenant[-1]}"
        declared, ratios = self.declared_by_group[group], self.ratios_by_group[group]
        vary = self.random.uniform(0.9, 1.1)
        run_s = 20.0 if order.task_class == "urgent" else declared["run_time_s"]
        return (
            declared["cores"] * ratios[0] * vary,
            int(declared["memory_mb"] * ratios[1] * vary),
            run_s * ratios[2] * vary,
        )

    def step(self, now_ms, step_ms):
        """Let the workers run for one step."""
        directives, self.directives = self.directives, []
        for effect in directives:
            self._follow(now_ms, effect)
        dying, failing = self.workers[2], self.workers[5]
        if now_ms == 400_000:
            self._lose(dying)
        if now_ms == 490_000:
            dying.is_alive, dying.incarnation = True, "i2"
        failing.fails_all = 600_000 <= now_ms < 800_000
        for worker in self.workers:
            if worker.is_alive:
                self._step_worker(worker, now_ms, step_ms / 1000.0)

    def _lose(self, worker):
        worker.is_alive = False
        for task in worker.tasks.values():
            if task.work_s < math.inf and task.phase in ("running", "stopping"):
                lost = (task.progress - task.saved) * task.work_s
                self.repeated_core_s += lost * task.true_cores
        worker.tasks, worker.history = {}, []

    def _step_worker(self, worker, now_ms, step_s):
        wanted = 0.0
        for task in worker.tasks.values():
            task.cores = task.wanted_cores(now_ms)
            wanted += task.cores
        overuse = max(0.0, wanted / worker.room.cores - 1.0)
        self.overuse_s += step_s if overuse > 0 else 0.0
        for task in worker.tasks.values():
            self._step_task(worker, task, now_ms, step_s / (1.0 + overuse))
        if now_ms % 1000 == 0:
            self._serve(worker, now_ms, overuse)

    def _step_task(self, worker, task, now_ms, speed_s):
        if task.phase == "starting" and now_ms >= task.phase_end_ms:
            is_bad = worker.fails_all or task.order.command == "fail"
            task.phase = "failed" if is_bad else "running"
            task.reason = "exit status 1" if is_bad else ""
            worker.is_changed = True
            if not is_bad:
                self.started_ms.setdefault(task.order.task, now_ms)
        elif task.phase == "stopping" and now_ms >= task.phase_end_ms:
            task.phase, worker.is_changed = "stopped", True
            task.checkpoint = f"{task.progress:.4f}"
        elif task.phase == "running" and task.work_s < math.inf:
            speed_s *= task.order.throttle
            if task.repeats_s > 0:
                task.repeats_s -= speed_s
                self.repeated_core_s += speed_s * task.true_cores
                return
            task.progress += speed_s / task.work_s
            if now_ms - task.saved_ms >= PERIODIC_CHECKPOINT_MS:
                task.saved, task.saved_ms = task.progress, now_ms
                task.checkpoint = f"{task.progress:.4f}"
            if task.progress >= 1.0:
                task.phase, worker.is_changed = "finished", True
                self.finished_core_s += task.work_s * task.true_cores

    def _serve(self, worker, now_ms, overuse):
        """Serve one second of requests and note what will be reported of it."""
        shares, loads, usage = {}, [], {}
        for task in worker.tasks.values():
            usage[task.order.task] = (task.cores, int(task.true_memory_mb))
            if task.work_s < math.inf and task.phase in ("running", "stopping"):
                group = f"group{task.order.tenant[-1]}"
                share = task.cores / worker.room.cores
                shares[group] = shares.get(group, 0.0) + share
        for task in worker.tasks.values():
            if task.order.task_class == "latency_critical" and task.phase == "running":
                loads.append(self._serve_one(task.order.job, now_ms, shares, overuse))
        worker.history.append((now_ms, loads, usage))
        while len(worker.history) > 1 and worker.history[1][0] <= now_ms - LAG_MS:
            worker.history.pop(0)

    def _serve_one(self, service, now_ms, shares, overuse):
        draw = self.random
        base_ms, period_s, phase = self.truth_by_service[service]
        at_s = now_ms / 1000.0
        load = 0.5 + 0.35 * math.sin(at_s * 6.283 / period_s + phase)
        load *= 1.5 if at_s % 240 < 40 else 1.0
        slow = 1.0 + 3.0 * overuse
        for group, share in shares.items():
            effect = self.effect_by_pair[service, group]
            slow += effect * share / (share + 0.3) * (0.4 + load)
        middle = base_ms * (1.0 + load / 2.0) * slow
        requests = int(200 * load)
        if now_ms >= WARM_UP_MS:
            self.latencies += [
                middle * draw.lognormvariate(0.0, 0.35) for _ in range(requests // 10)
            ]
        return messages.ServiceLoad(
            service=service,
            requests=requests,
            p50_ms=middle,
            p99_ms=middle * 2.26 * draw.lognormvariate(0.0, 0.15),
        )

    def heartbeats(self, now_ms):
        """Return the heartbeats that are due: every second and at once on a change."""
        found = []
        for number, worker in enumerate(self.workers):
            is_due = now_ms % 1000 == 100 * number % 1000 or worker.is_changed
            if worker.is_alive and is_due:
                worker.is_changed = False
                found.append(self._heartbeat(worker))
        return found

    def _heartbeat(self, worker):
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
