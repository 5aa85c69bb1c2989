"""Runs the scheduler against the real state machine in virtual time."""

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.scheduling import scheduler
from sardinegauge.state import machine as machines

WALL_MS = 1_000_000


class Driver:
    """Commits proposals at once or collects them in `proposed`; simulates workers."""

    def __init__(self, **policies):
        self.machine = machines.Machine()
        self.state = scheduler.State(self.machine, **policies)
        self.now_ms = 0
        self.proposed, self.sent_directives, self.applied = [], [], []
        self.requests = 0
        self.dispatch(scheduler.LeadershipGained(now_ms=0, term=1))

    def dispatch(self, event):
        for effect in scheduler.reduce(self.state, event):
            if isinstance(effect, scheduler.Propose):
                self.proposed.append(effect.command)
            else:
                self.sent_directives.append(effect)

    def commit(self, command):
        command.at_ms = WALL_MS + self.now_ms
        index = self.machine.index + 1
        answer = machines.apply(self.machine, index, command)
        self.applied.append(command)
        self.dispatch(
            scheduler.CommandApplied(
                now_ms=self.now_ms, index=index, command=command, answer=answer
            )
        )
        return answer

    def commit_all(self):
        while self.proposed:
            self.commit(self.proposed.pop(0))

    def apply_as_operator(self, kind, **fields):
        self.requests += 1
        cls = commands.REGISTRY.by_name[kind]
        return self.commit(
            cls(operator="ana", request_id=f"r{self.requests}", **fields)
        )

    def submit(self, **fields):
        job = {"name": "sweep", "tenant": "irbid", "cores": 1.0, "memory_mb": 100}
        return self.apply_as_operator("SubmitJob", **{**job, **fields}).ids[0]

    def send_heartbeat(
        self, upstream="w1", incarnation="i1", domain="a", phases=None, **fields
    ):
        """Send a heartbeat; `phases` maps task ids to the fields of their reports."""
        reports = []
        for id, report in (phases or {}).items():
            epoch = self.machine.tasks.by_id[id].epoch
            reports.append(
                messages.TaskReport(**{"task": id, "epoch": epoch, **report})
            )
        room = {"cores": 4.0, "memory_mb": 4000, "tasks": 8, "connections": 64}
        heartbeat = messages.Heartbeat(
            upstream=upstream,
            incarnation=incarnation,
            address="127.0.0.1:1",
            failure_domain=domain,
            rack=domain + "1",
            room=messages.Room(**{**room, **fields.pop("room", {})}),
            tasks=reports,
            **fields,
        )
        self.dispatch(
            scheduler.HeartbeatReceived(now_ms=self.now_ms, heartbeat=heartbeat)
        )

    def register(self, *upstreams, **fields):
        for upstream in upstreams:
            self.send_heartbeat(upstream, **fields)
        self.commit_all()

    def tick(self, times=1, commit=True):
        for _ in range(times):
            self.now_ms += 100
            self.dispatch(scheduler.Tick(now_ms=self.now_ms))
            if commit:
                self.commit_all()

    def report_phase(self, phase, *ids, **fields):
        """Report a phase of placed tasks from their workers and commit proposals."""
        for id in ids:
            task = self.machine.tasks.by_id[id]
            report = {id: {"phase": phase, **fields}}
            self.send_heartbeat(task.upstream, task.incarnation, phases=report)
        self.commit_all()

    def task(self, id):
        return self.machine.tasks.by_id[id]

    def applied_of_type(self, cls):
        return [command for command in self.applied if isinstance(command, cls)]
