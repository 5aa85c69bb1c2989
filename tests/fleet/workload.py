"""The load of a fault run: callers, racing operators, jobs and samples, recorded."""

import asyncio
import json
import random

from tornado import httpclient, simple_httpclient

from sardinegauge import clock, history
from tests.fleet import fleet as fleets

CALLERS = 8
CALL_PAUSE_S = 0.05
RESENDS = 4
RESEND_PAUSE_S = 0.5
OPERATOR_PAUSE_S = 0.8
JOB_PAUSE_S = 0.7
SAMPLE_PAUSE_S = 0.25
# A page may have been made this long before its answer was read.
SAMPLE_SLACK_MS = 300
LARGE_BODY_BYTES = 300_000


class Recorder:
    """Collects the history in memory; the runner writes it to a file."""

    def __init__(self):
        self.records = []

    def add(self, cls, **fields):
        fields.setdefault("at_ms", clock.monotonic_ms())
        self.records.append(cls(**fields))


class Workload:
    """Everything that uses the fleet while faults are brought on it.

    Parameters
    ----------
    fleet : fleet.Fleet
        The running deployment.
    recorder : Recorder
        Gets what callers and operators see.
    seed : int
        Decides what is sent; the order also depends on the fleet's answers.
    """

    def __init__(self, fleet, recorder, seed):
        self.fleet = fleet
        self.recorder = recorder
        self.random = random.Random(seed)
        self.is_over = False
        self.jobs = []
        self.cancelled = set()
        self.numbers = iter(range(1, 10**9))
        self.starts_by_process = {}

    async def run(self):
        """Run until `is_over` is set."""
        await asyncio.gather(
            *(self._call_in_loop() for _ in range(CALLERS)),
            self._race_in_loop(),
            self._submit_in_loop(),
            self._sample_in_loop(),
        )

    # Callers

    async def _call_in_loop(self):
        while not self.is_over:
            await self.random.choice(
                (self._get, self._get, self._get_large, self._order, self._keyed_order)
            )()
            await asyncio.sleep(CALL_PAUSE_S)

    async def _get(self):
        token = f"get-{next(self.numbers)}"
        await self._attempt(token, f"order={token}", idempotent=True)

    async def _get_large(self):
        token = f"large-{next(self.numbers)}"
        query = f"order={token}&size={LARGE_BODY_BYTES}"
        await self._attempt(token, query, idempotent=True, size=LARGE_BODY_BYTES)

    async def _order(self):
        """Send a keyless order once; repeat it only while it surely did not run."""
        token = f"order-{next(self.numbers)}"
        for _ in range(RESENDS):
            verdict = await self._attempt(token, f"order={token}", method="POST")
            if verdict != "not-run":
                return
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _keyed_order(self):
        """Send an order under a key until its answer is known, by any entry."""
        token = f"keyed-{next(self.numbers)}"
        for _ in range(RESENDS):
            verdict = await self._attempt(
                token, f"order={token}", method="POST", key=token
            )
            if verdict == "ran" and self.random.random() < 0.8:
                return
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _attempt(
        self, token, query, method="GET", key="", idempotent=False, size=None
    ):
        """Send one attempt and record what came of it; return the verdict."""
        request = f"q{next(self.numbers)}"
        entry = self.random.choice(self.fleet.entry_names)
        headers = {
            "Sardinegauge-Request-Id": request,
            "Sardinegauge-Tenant": "karri",
            "Sardinegauge-Deadline-Ms": "5000",
        }
        if key:
            headers["Idempotency-Key"] = key
        self.recorder.add(
            history.RequestSent,
            request=request,
            token=token,
            idempotent=idempotent,
            key=key,
        )
        sent_ms = clock.monotonic_ms()
        reply = await self.fleet.fetch(
            entry,
            f"/ordering/order?{query}",
            method=method,
            body=b"one hide" if method == "POST" else None,
            headers=headers,
            request_timeout=15.0,
        )
        if reply.code == 599:
            if isinstance(reply.error, simple_httpclient.HTTPStreamClosedError):
                self.recorder.add(
                    history.RequestInterrupted,
                    request=request,
                    process=entry,
                    sent_ms=sent_ms,
                )
            return "unknown"
        verdict = reply.headers.get("Sardinegauge-Verdict", "unknown")
        execution = reply.headers.get("Stub-Execution", "")
        is_complete = size is None or len(reply.body) == size
        if execution and size is None:
            # The body names the path, so a swapped body shows even under own headers.
            is_own = json.loads(reply.body)["path"].endswith(f"order={token}")
            execution = execution if is_own else f"swapped-{execution}"
        self.recorder.add(
            history.RequestAnswered,
            request=request,
            verdict=verdict,
            status=reply.code,
            response=execution,
            is_complete=is_complete,
        )
        return verdict

    # Operators

    async def change(self, operator, call, **fields):
        """Carry out a changing call, resending it until an answer arrives."""
        token = {"ada": "token-ada", "bob": "token-bob"}[operator]
        for _ in range(12):
            entry = self.random.choice(self.fleet.entry_names)
            _, reply = await self.fleet.call(entry, call, token=token, **fields)
            if reply.get("verdict") == "ran":
                self.recorder.add(
                    history.OperatorAnswered,
                    operator=operator,
                    request_id=fields["request_id"],
                    call=call,
                    outcome=reply["outcome"],
                    version=int(reply["version"]),
                    ids=reply["ids"],
                )
                return reply
            if self.is_over:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return None

    async def _race_in_loop(self):
        """Let two operators change the configuration from the same version."""
        while not self.is_over:
            sent_ms = clock.monotonic_ms()
            entry = self.random.choice(self.fleet.entry_names)
            status, current = await self.fleet.call(entry, "GetConfiguration")
            if status == 200:
                version = int(current["version"])
                self.recorder.add(
                    history.ConfigurationRead, sent_ms=sent_ms, version=version
                )
                await asyncio.gather(
                    *(self._set(operator, version) for operator in ("ada", "bob"))
                )
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def _set(self, operator, version):
        number = next(self.numbers)
        document = {"tenants": {"karri": {"max_concurrent": 100 + number % 50}}}
        fields = {
            "request_id": f"{operator}-{number}",
            "base_version": version,
            "document": json.dumps(document),
        }
        reply = await self.change(operator, "SetConfiguration", **fields)
        if reply is not None and self.random.random() < 0.3:
            await self.change(operator, "SetConfiguration", **fields)

    # Jobs

    async def _submit_in_loop(self):
        while not self.is_over:
            number = next(self.numbers)
            reply = await self.change(
                "ada",
                "SubmitJob",
                request_id=f"job-{number}",
                name=f"sweep-{number}",
                tenant="irbid",
                task_count=self.random.choice((1, 1, 2, 3)),
                cores=self.random.choice((1.0, 2.0, 4.0)),
                memory_mb=1024,
                urgent=self.random.random() < 0.2,
                command=json.dumps({"run_s": self.random.choice((1, 2, 4))}),
            )
            if reply is not None and reply["outcome"] == "accepted":
                self.jobs += reply["ids"]
            if len(self.jobs) > 6 and self.random.random() < 0.15:
                burst = self.random.sample(self.jobs, 4)
                self.cancelled.update(burst)
                await self.change(
                    "bob", "CancelJobs", request_id=f"cancel-{number}", jobs=burst
                )
            await asyncio.sleep(JOB_PAUSE_S)

    async def wait_for_jobs(self, limit_s):
        """Wait until every job has ended; return states by task and whether all did."""
        state_by_task = {}

        async def all_ended():
            state_by_task.clear()
            ended = True
            for job in self.jobs:
                status, reply = await self.fleet.call("entry-1", "GetJob", id=job)
                if status != 200:
                    return False
                ended = ended and reply["state"] not in ("pending", "running")
                for task in reply["tasks"]:
                    state_by_task[task["id"]] = task["state"]
            return ended

        try:
            await fleets.wait_for(all_ended, limit_s, "all jobs to end")
        except TimeoutError:
            return state_by_task, False
        return state_by_task, True

    # Samples of the configuration in force

    async def _sample_in_loop(self):
        names = self.fleet.entry_names + self.fleet.agent_names
        while not self.is_over:
            await asyncio.gather(*(self._sample(name) for name in names))
            await asyncio.sleep(SAMPLE_PAUSE_S)

    async def _sample(self, name):
        process = self.fleet.process_by_name[name]
        child = process.child
        sent_ms = clock.monotonic_ms()
        is_entry = name in self.fleet.entry_names
        ready = "/-/ready" if is_entry else "/-/health"
        # A version only grows, so a page made after the health answer shows at least
        # the version that was in force then.
        health = await self.fleet.fetch(name, ready, request_timeout=1.0)
        page = await self.fleet.fetch(name, "/-/metrics", request_timeout=1.0)
        got_ms = clock.monotonic_ms()
        if page.code != 200 or health.code != 200 or process.child is not child:
            return
        version = fleets.configuration_version(page.body)
        if version is not None:
            self.recorder.add(
                history.ConfigurationSeen,
                at_ms=max(sent_ms, got_ms - SAMPLE_SLACK_MS),
                process=f"{name}.{child.pid}",
                version=version,
            )


def configure_client():
    """Let all loops of the workload have a connection of their own."""
    httpclient.AsyncHTTPClient.configure(None, max_clients=500)
