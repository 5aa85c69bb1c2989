"""Models of a worker and of its agent for simulations in virtual time."""

import json

from sardinegauge.links import messages
from sardinegauge.workflows import (
    hostedreport,
    hostevents,
    hosting,
    hoststate,
    views,
    workerclient,
)

CAPACITY_MILLIS = 8000


class Worker:
    """Model of a worker with the leases, fences and run numbers of the protocol."""

    def __init__(self, world, number):
        self.world = world
        self.id = f"i-{number}"
        self.agent = f"vm-{number}"
        self.incarnation = 1000 + number
        self.is_up = True
        self.capacity_millis = CAPACITY_MILLIS
        self.begin()

    def begin(self):
        self.started_ms = self.world.now_ms
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.ended = []
        self.blocked = {}

    @property
    def clock_ms(self):
        # Two percent slow, and reset with each incarnation.
        return 100 + int((self.world.now_ms - self.started_ms) * 0.98)

    def update(self):
        for key, end_ms in list(self.running.items()):
            if self.world.now_ms >= end_ms:
                self.end(key, "done")
            elif self.clock_ms >= self.until_ms:
                self.end(key, "lapsed")

    def end(self, key, how):
        del self.running[key]
        self.ended.append([len(self.ended) + 1, *key, how, ""])
        task, run = key
        self.blocked[task] = max(self.blocked.get(task, 0), run)

    def crash(self):
        self.is_up = False
        self.running = {}

    def restart(self):
        self.incarnation += 100
        self.is_up = True
        self.begin()

    def execute_call(self, request):
        """Carry out a call and return its answer."""
        self.update()
        if request.fence < self.fence:
            return self.answer(workerclient.REFUSED, workerclient.STALE_FENCE)
        self.fence = request.fence
        return getattr(self, type(request).__name__)(request)

    def answer(self, kind=workerclient.DONE, reason="", **fields):
        return workerclient.Answer(
            kind=kind, reason=reason, clock_ms=self.clock_ms, **fields
        )

    def StartCall(self, request):
        key = (request.task, request.run)
        if key in self.running:
            return self.answer()
        if request.run <= self.blocked.get(request.task, 0):
            return self.answer(workerclient.REFUSED, workerclient.STALE_RUN)
        if request.lease_until_ms <= self.clock_ms:
            return self.answer(workerclient.REFUSED, workerclient.LEASE_EXPIRED)
        self.until_ms = max(self.until_ms, request.lease_until_ms)
        self.world.check_start(self, key)
        self.running[key] = self.world.now_ms + int(request.payload)
        self.world.on_started(self, key)
        return self.answer()

    def StopCall(self, request):
        key = (request.task, request.run)
        if key in self.running:
            self.end(key, "stopped")
        else:
            known = self.blocked.get(request.task, 0)
            self.blocked[request.task] = max(known, request.run)
        return self.answer()

    def HoldCall(self, request):
        self.until_ms = max(self.until_ms, request.lease_until_ms)
        return self.answer(
            incarnation=self.incarnation,
            running=[[*key, "", 50, 0] for key in self.running],
            ended=[row for row in self.ended if row[0] > request.seen_end],
        )

    def PaceCall(self, request):
        return self.answer()


class Agent:
    """An agent whose effects the simulation executes."""

    def __init__(self, world, worker):
        self.world = world
        self.worker = worker
        self.is_partitioned = False
        self.restart()

    def restart(self):
        self.state = hoststate.State(self.worker.agent, self.world.now_ms)
        self.sequence = 0

    def dispatch(self, event):
        state = self.state
        for effect in hosting.reduce(state, event):
            if isinstance(effect, hostevents.SendReport):
                self.world.schedule(1, self.report)
            else:
                self.world.call(self, state, effect)

    def tick(self):
        self.dispatch(hostevents.Tick(now_ms=self.world.now_ms))

    def announce(self):
        worker = self.worker
        if not worker.is_up:
            return
        self.sequence += 1
        announcement = workerclient.Announcement(
            worker=worker.id,
            incarnation=worker.incarnation,
            address="a",
            pool="p",
            cpu_millis=worker.capacity_millis,
            memory_mb=1000,
            sequence=self.world.next(),
        )
        self.dispatch(
            hostevents.WorkerAnnounced(
                now_ms=self.world.now_ms, announcement=announcement
            )
        )

    def report(self):
        if self.is_partitioned or not self.state.announcement:
            return
        fields = hostedreport.report_fields(self.state)
        report = views.decode_report(
            messages.WorkerReport(
                agent=self.state.agent,
                worker=self.state.announcement.worker,
                life=self.state.incarnation,
                sent_ms=self.world.now_ms,
                body=json.dumps(fields).encode(),
            )
        )
        state, sent_ms = self.state, self.world.now_ms
        is_wanted = state.is_lease_wanted
        self.world.schedule(
            self.world.random.randint(1, 30),
            lambda: self.world.on_report(self, state, report, sent_ms, is_wanted),
        )

    def receive_orders(self, state, message):
        if self.is_partitioned or state is not self.state:
            return
        body = json.loads(message.body)
        self.dispatch(
            hostevents.OrdersReceived(
                now_ms=self.world.now_ms, message=message, body=body
            )
        )
