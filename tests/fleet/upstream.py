"""Stub of an upstream's HTTP server and of the platform's worker API.

Run as ``python -m tests.fleet.upstream --events FILE``. The process prints one line
``upstream=ip:port worker=ip:port`` when both servers listen. Each start, stop,
checkpoint, finish, failure, lease expiry and executed order is appended to the events
file as a JSON line with a CLOCK_BOOTTIME timestamp (`at_ms`); tests compare the fleet's
answers with this record.

Query parameters of the upstream: `delay_ms`, `status`, `echo` (return the body),
`size` (bytes of the response), `truncate` (close after this many bytes of `size`),
`reset` (close without a response), `order` (id to count as executed).
`GET /-/orders` returns the count of each order id.
"""

import argparse
import asyncio
import hashlib
import json
import signal
import time

from tornado import httpserver, netutil, web

# A task reports no usage for this long after its start.
USAGE_LAG_S = 2.0
UPDATE_INTERVAL_S = 0.02
CHUNK_BYTES = 1 << 16


def boot_ms():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Recorder:
    """Appends events to the events file and counts executed orders."""

    def __init__(self, path, name):
        self.file = open(path, "a", buffering=1) if path else None
        self.name = name
        self.count_by_order = {}
        self.executions = 0
        self.started_ms = boot_ms()

    def write(self, event, **fields):
        if self.file is not None:
            fields = {"at_ms": boot_ms(), "event": event, "worker": self.name, **fields}
            self.file.write(json.dumps(fields) + "\n")

    def record_execution(self, order, request_id):
        """Record an execution and return its id, unique among all upstreams."""
        self.count_by_order[order] = self.count_by_order.get(order, 0) + 1
        self.executions += 1
        execution = f"{self.name}-{self.started_ms}-{self.executions}"
        self.write("order", order=order, request_id=request_id, execution=execution)
        return execution


class UpstreamHandler(web.RequestHandler):
    """Answers any path as the query parameters of the request select."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")

    async def answer(self, *_args):
        request_id = self.request.headers.get("Sardinegauge-Request-Id", "")
        order = self.get_query_argument("order", "")
        if order:
            execution = self.application.recorder.record_execution(order, request_id)
            self.set_header("Stub-Execution", execution)
        delay_ms = float(self.get_query_argument("delay_ms", "0"))
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        if self.get_query_argument("reset", ""):
            self.request.connection.stream.close()
            return
        self.set_status(int(self.get_query_argument("status", "200")))
        self.set_header("Sardinegauge-Request-Id", request_id)
        size = int(self.get_query_argument("size", "-1"))
        if size >= 0:
            await self.send_sized_body(size)
        elif self.get_query_argument("echo", ""):
            self.set_header("Content-Type", "application/octet-stream")
            self.finish(self.request.body)
        else:
            body = self.request.body
            digest = hashlib.sha256(body).hexdigest()
            answer = {"request_id": request_id, "method": self.request.method}
            answer |= {"path": self.request.uri, "length": len(body), "sha256": digest}
            self.finish(answer)

    async def send_sized_body(self, size):
        """Send `size` bytes, or close after `truncate` of them."""
        self.set_header("Content-Length", str(size))
        truncated_bytes = int(self.get_query_argument("truncate", "-1"))
        end = size if truncated_bytes < 0 else truncated_bytes
        for start in range(0, end, CHUNK_BYTES):
            self.write(b"x" * min(CHUNK_BYTES, end - start))
            await self.flush()
        if truncated_bytes >= 0:
            await self.flush()
            self.request.connection.stream.close()
        else:
            self.finish()

    get = head = post = put = delete = patch = options = answer


class OrdersHandler(web.RequestHandler):
    def get(self):
        self.finish(self.application.recorder.count_by_order)


class RunningTask:
    """One task, whose progress grows with time at the rate of its throttle."""

    def __init__(self, body):
        self.task = body["task"]
        self.epoch = body["epoch"]
        command = json.loads(body.get("command") or "{}")
        self.run_s = float(command.get("run_s", 0))  # 0 runs until stopped
        self.is_failing = bool(command.get("fail", False))
        self.checkpoint_s = float(command.get("checkpoint_s", 0))
        self.stop_s = float(command.get("stop_s", 0))
        self.cores = float(command.get("cores", body.get("cores", 1.0)))
        self.memory_mb = int(command.get("memory_mb", body.get("memory_mb", 0)))
        self.throttle = float(body.get("throttle", 1.0))
        saved = json.loads(body.get("checkpoint") or "{}")
        self.progress = float(saved.get("progress", 0.0))
        self.phase = "running"
        self.reason = ""
        self.started_ms = self.updated_ms = boot_ms()
        self.lease_until_ms = 0

    def extend_lease(self, body):
        sent_ms = body.get("sent_ms") or boot_ms()
        self.lease_until_ms = max(self.lease_until_ms, sent_ms + body["lease_ms"])

    def update(self, now_ms):
        if self.run_s:
            share = (now_ms - self.updated_ms) / 1000 * self.throttle / self.run_s
            self.progress = min(1.0, self.progress + share)
        self.updated_ms = now_ms

    def to_status(self):
        is_lagging = boot_ms() - self.started_ms < USAGE_LAG_S * 1000
        has_usage = self.phase == "running" and not is_lagging
        return {
            "task": self.task,
            "epoch": self.epoch,
            "phase": self.phase,
            "reason": self.reason,
            "cores": self.cores * self.throttle if has_usage else 0.0,
            "memory_mb": self.memory_mb if has_usage else 0,
            "progress": round(self.progress, 4),
        }


class Worker:
    """The tasks of the worker API by id, with the highest stopped epoch of each."""

    def __init__(self, recorder):
        self.recorder = recorder
        self.by_task = {}
        self.stopped_epoch_by_task = {}

    def end(self, task, phase, event, reason=""):
        if task.phase == "running":
            task.phase = phase
            task.reason = reason
            self.recorder.write(
                event, task=task.task, epoch=task.epoch, progress=task.progress
            )

    def update(self):
        now_ms = boot_ms()
        for task in list(self.by_task.values()):
            if task.phase != "running":
                continue
            if now_ms >= task.lease_until_ms:
                self.end(task, "stopped", "expire", "lease expired")
                continue
            task.update(now_ms)
            if task.run_s and task.progress >= 1.0:
                if task.is_failing:
                    self.end(task, "failed", "fail", "command failed")
                else:
                    self.end(task, "finished", "finish")

    async def run(self):
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self.update()


class WorkerHandler(web.RequestHandler):
    """``POST /worker/<call>`` and ``GET /worker/tasks``."""

    def refuse(self, status, reason):
        self.set_status(status)
        self.finish({"reason": reason})

    def get(self, call):
        worker = self.application.worker
        worker.update()
        self.finish({"tasks": [task.to_status() for task in worker.by_task.values()]})

    async def post(self, call):
        body = json.loads(self.request.body)
        worker = self.application.worker
        worker.update()
        if call == "start":
            self.start(worker, body)
        elif call == "renew":
            for item in body["tasks"]:
                task = worker.by_task.get(item["task"])
                if task and task.epoch == item["epoch"] and task.phase == "running":
                    task.extend_lease(body)
            self.finish({})
        else:
            task = worker.by_task.get(body["task"])
            if call == "stop":
                worker.stopped_epoch_by_task[body["task"]] = body["epoch"]
            if task is None:
                self.refuse(404, "unknown task")
            elif task.epoch != body["epoch"]:
                self.refuse(409, f"epoch {task.epoch} is current")
            else:
                await getattr(self, call)(worker, task, body)

    def start(self, worker, body):
        existing = worker.by_task.get(body["task"])
        age_ms = boot_ms() - body.get("sent_ms", boot_ms())
        if body["lease_ms"] <= age_ms:
            worker.recorder.write("late_start", task=body["task"], epoch=body["epoch"])
            self.refuse(409, "the lease has expired")
        elif existing is not None and body["epoch"] == existing.epoch:
            self.finish({"phase": existing.phase})
        elif existing is not None and body["epoch"] < existing.epoch:
            self.refuse(409, f"epoch {existing.epoch} is current")
        elif body["epoch"] <= worker.stopped_epoch_by_task.get(body["task"], 0):
            self.refuse(409, "the epoch was stopped")
        elif existing is not None and existing.phase == "running":
            self.refuse(409, f"epoch {existing.epoch} still runs")
        else:
            task = RunningTask(body)
            task.extend_lease(body)
            worker.by_task[task.task] = task
            names = ("task", "epoch", "checkpoint", "cores", "memory_mb")
            fields = {name: body.get(name, "") for name in names}
            worker.recorder.write("start", **fields)
            self.finish({"phase": "running"})

    async def checkpoint(self, worker, task, body):
        await asyncio.sleep(task.checkpoint_s)
        task.update(boot_ms())
        saved = json.dumps({"progress": round(task.progress, 4), "epoch": task.epoch})
        fields = {"task": task.task, "epoch": task.epoch, "checkpoint": saved}
        worker.recorder.write("checkpoint", **fields)
        self.finish({"checkpoint": saved})

    async def throttle(self, worker, task, body):
        task.throttle = float(body["share"])
        self.finish({})

    async def stop(self, worker, task, body):
        if task.phase != "running":
            # Stopping an ended task also removes it from the worker's table.
            worker.by_task.pop(task.task, None)
            self.finish({"phase": task.phase})
            return
        await asyncio.sleep(task.stop_s)
        worker.end(task, "stopped", "stop")
        self.finish({"phase": task.phase})


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--worker-port", type=int, default=0)
    parser.add_argument("--events", default="")
    parser.add_argument("--name", default="")
    options = parser.parse_args()
    recorder = Recorder(options.events, options.name)
    recorder.write("boot")
    upstream = web.Application(
        [(r"/-/orders", OrdersHandler), (r"/.*", UpstreamHandler)]
    )
    platform = web.Application([(r"/worker/(\w+)", WorkerHandler)])
    upstream.recorder = platform.recorder = recorder
    platform.worker = Worker(recorder)
    ports = []
    for application, port in (
        (upstream, options.port),
        (platform, options.worker_port),
    ):
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        httpserver.HTTPServer(application, max_body_size=1 << 30).add_sockets(sockets)
        ports.append(sockets[0].getsockname()[1])
    print(f"upstream=127.0.0.1:{ports[0]} worker=127.0.0.1:{ports[1]}", flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    update_task = asyncio.ensure_future(platform.worker.run())
    await stopped.wait()
    update_task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
