"""The recorded load of a fault run: callers, operators, jobs, configuration samples."""

import asyncio
import json
import random

from tornado import httpclient, simple_httpclient

from sardinegauge import clock, history
from tests.fleet import fleet as fleets

CALLER_COUNT = 8
CALL_PAUSE_S = 0.05
MAX_ATTEMPTS = 4
ATTEMPT_PAUSE_S = 0.5
OPERATOR_PAUSE_S = 0.8
JOB_PAUSE_S = 0.7
SAMPLE_PAUSE_S = 0.25
# Longest time from the rendering of a metrics page to the reading of its response.
MAX_PAGE_AGE_MS = 300
LARGE_BODY_BYTES = 300_000


class Recorder:
    """Collects the history in memory; the runner writes it to a file."""

    def __init__(self):
        self.records = []

    def add(self, cls, **fields):
        fields.setdefault("at_ms", clock.monotonic_ms())
        self.records.append(cls(**fields))


class Workload:
    """Callers, operators and jobs that use the fleet while faults are injected.

    Parameters
    ----------
    fleet : fleet.Fleet
        The running deployment.
    recorder : Recorder
        Receives the requests and answers of callers and operators.
    seed : int
        Seed of what is sent; the order also depends on the fleet's answers.
    """

    def __init__(self, fleet, recorder, seed):
        self.fleet = fleet
        self.recorder = recorder
        self.random = random.Random(seed)
        self.is_stopping = False
        self.jobs = []
        self.cancelled_jobs = set()
        self.numbers = iter(range(1, 10**9))
        self.starts_by_process = {}

    async def run(self):
        """Run until `is_stopping` is set."""
        await asyncio.gather(
            *(self._send_requests() for _ in range(CALLER_COUNT)),
            self._race_operators(),
            self._submit_jobs(),
            self._sample_configurations(),
        )

    # Callers

    async def _send_requests(self):
        while not self.is_stopping:
            await self.random.choice(
                (
                    self._send_get,
                    self._send_get,
                    self._send_large_get,
                    self._send_order,
                    self._send_keyed_order,
                )
            )()
            await asyncio.sleep(CALL_PAUSE_S)

    async def _send_get(self):
        token = f"get-{next(self.numbers)}"
        await self._send_attempt(token, f"order={token}", idempotent=True)

    async def _send_large_get(self):
        token = f"large-{next(self.numbers)}"
        query = f"order={token}&size={LARGE_BODY_BYTES}"
        await self._send_attempt(token, query, idempotent=True, size=LARGE_BODY_BYTES)

    async def _send_order(self):
        """Send an order without a key, again only while the verdict is ``not-run``."""
        token = f"order-{next(self.numbers)}"
        for _ in range(MAX_ATTEMPTS):
            verdict = await self._send_attempt(token, f"order={token}", method="POST")
            if verdict != "not-run":
                return
            await asyncio.sleep(ATTEMPT_PAUSE_S)

    async def _send_keyed_order(self):
        """Send an order with a key through any entry, sometimes again after it ran."""
        token = f"keyed-{next(self.numbers)}"
        for _ in range(MAX_ATTEMPTS):
            verdict = await self._send_attempt(
                token, f"order={token}", method="POST", key=token
            )
            if verdict == "ran" and self.random.random() < 0.8:
                return
            await asyncio.sleep(ATTEMPT_PAUSE_S)

    async def _send_attempt(
        self, token, query, method="GET", key="", idempotent=False, size=None
    ):
        """Send one attempt, record its answer and return the verdict."""
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
            # The body holds the requested path, which shows a body of another request
            # even when the headers are right.
            is_own_body = json.loads(reply.body)["path"].endswith(f"order={token}")
            execution = execution if is_own_body else f"swapped-{execution}"
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

    async def call_until_answered(self, operator, call, **fields):
        """Send an operator's call until an answer says that it ran; return the answer.

        Returns None after 12 attempts, or when the load stops.
        """
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
            if self.is_stopping:
                break
            await asyncio.sleep(ATTEMPT_PAUSE_S)
        return None

    async def _race_operators(self):
        """Make two operators set the configuration from the same base version."""
        while not self.is_stopping:
            sent_ms = clock.monotonic_ms()
            entry = self.random.choice(self.fleet.entry_names)
            status, current = await self.fleet.call(entry, "GetConfiguration")
            if status == 200:
                version = int(current["version"])
                self.recorder.add(
                    history.ConfigurationRead, sent_ms=sent_ms, version=version
                )
                await asyncio.gather(
                    *(
                        self._set_configuration(operator, version)
                        for operator in ("ada", "bob")
                    )
                )
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def _set_configuration(self, operator, version):
        number = next(self.numbers)
        document = {"tenants": {"karri": {"max_concurrent": 100 + number % 50}}}
        fields = {
            "request_id": f"{operator}-{number}",
            "base_version": version,
            "document": json.dumps(document),
        }
        reply = await self.call_until_answered(operator, "SetConfiguration", **fields)
        if reply is not None and self.random.random() < 0.3:
            await self.call_until_answered(operator, "SetConfiguration", **fields)

    # Jobs

    async def _submit_jobs(self):
        while not self.is_stopping:
            number = next(self.numbers)
            reply = await self.call_until_answered(
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
                chosen_jobs = self.random.sample(self.jobs, 4)
                self.cancelled_jobs.update(chosen_jobs)
                await self.call_until_answered(
                    "bob", "CancelJobs", request_id=f"cancel-{number}", jobs=chosen_jobs
                )
            await asyncio.sleep(JOB_PAUSE_S)

    async def wait_for_jobs(self, limit_s):
        """Wait until all jobs have ended; return the states by task, and whether so."""
        state_by_task = {}

        async def have_all_ended():
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
            await fleets.wait_for(have_all_ended, limit_s, "all jobs to end")
        except TimeoutError:
            return state_by_task, False
        return state_by_task, True

    # Samples of the configuration in force

    async def _sample_configurations(self):
        names = self.fleet.entry_names + self.fleet.agent_names
        while not self.is_stopping:
            await asyncio.gather(*(self._sample_configuration(name) for name in names))
            await asyncio.sleep(SAMPLE_PAUSE_S)

    async def _sample_configuration(self, name):
        process = self.fleet.process_by_name[name]
        child = process.child
        sent_ms = clock.monotonic_ms()
        is_entry = name in self.fleet.entry_names
        health_path = "/-/ready" if is_entry else "/-/health"
        # Versions only grow, so a metrics page that is rendered after the health check
        # shows at least the version that was in force at the health check.
        health = await self.fleet.fetch(name, health_path, request_timeout=1.0)
        page = await self.fleet.fetch(name, "/-/metrics", request_timeout=1.0)
        received_ms = clock.monotonic_ms()
        if page.code != 200 or health.code != 200 or process.child is not child:
            return
        version = fleets.configuration_version(page.body)
        if version is not None:
            self.recorder.add(
                history.ConfigurationSeen,
                at_ms=max(sent_ms, received_ms - MAX_PAGE_AGE_MS),
                process=f"{name}.{child.pid}",
                version=version,
            )


def configure_client():
    """Allow enough connections for all concurrent requests of the workload."""
    httpclient.AsyncHTTPClient.configure(None, max_clients=500)
