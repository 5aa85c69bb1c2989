"""Metrics of the state process."""

import math

from sardinegauge import metrics
from sardinegauge.agreement import raftstate
from sardinegauge.state import domainqueries, replicaeffects
from sardinegauge.workflows import schedulerevents

CONTENT_TYPE = metrics.CONTENT_TYPE


class StateMetrics:
    """Metrics of one replica; gauges are updated from its state at each tick."""

    def __init__(self):
        self._metrics = metrics.Metrics()
        gauge = self._metrics.gauge
        self._is_leader = gauge("state_is_leader", "1 while this replica leads.")
        self._term = gauge("state_term", "Current term.")
        self._last = gauge("state_last_index", "Last index of the log.")
        self._commit = gauge("state_commit_index", "Committed index.")
        self._applied = gauge("state_applied_index", "Applied index.")
        self._snapshot = gauge("state_snapshot_index", "Index of the last snapshot.")
        self._members = gauge("state_members", "Members of the group.", ("kind",))
        self._syncs = gauge("state_log_syncs", "Log syncs since the start.")
        self._writes = gauge("state_log_writes", "Log writes since the start.")

        self._event_seconds = self._metrics.counter(
            "state_event_seconds", "Time spent on events by kind.", ("event",)
        )

        self._replaced_reports = self._metrics.counter(
            "state_replaced_reports",
            "Reports of agents that a later one replaced before they were processed.",
        )

        self._cancellations = gauge(
            "workflow_cancelled_ids", "Cancelled ids that no workflow had."
        )

        self._drains = gauge("drained_domains", "Drained failure domains.")
        self._drain_ages = gauge(
            "domain_drain_age_seconds",
            "Time since a failure domain was drained.",
            ("failure_domain",),
        )
        self._drain_runs = gauge(
            "domain_drain_runs",
            "Runs and tasks left in a drained failure domain, at the leader.",
            ("failure_domain",),
        )

        self._waits = self._metrics.histogram(
            "task_wait_seconds",
            "Time of tasks from submission or eviction until they run.",
            ("tenant", "class"),
        )

        self._workflows = self._metrics.histogram(
            "workflow_seconds",
            "Time of workflows from acceptance to their end.",
            ("queue", "state"),
        )
        self._runs = self._metrics.counter(
            "workflow_runs", "Runs of tasks by how they ended.", ("queue", "how")
        )
        self._throttled = self._metrics.histogram(
            "workflow_throttled_seconds",
            "Time that runs of best-effort tasks lost to their CPU caps.",
            ("queue",),
        )
        self._over_target = self._metrics.histogram(
            "workflow_over_target_seconds",
            "Time that latency-critical tasks were over their target without a break.",
            ("queue",),
        )
        self._lasting = self._metrics.counter(
            "workflow_lasting_task_seconds",
            "Time of lasting tasks by what they were doing.",
            ("queue", "state"),
        )
        self._displaced = self._metrics.counter(
            "workflow_displaced_runs",
            "Runs that were stopped for urgent tasks or on overcommitted workers.",
            ("queue", "reason"),
        )
        self._decided = self._metrics.counter(
            "workflow_decided_starts",
            "Starts by the decision that chose the worker, and what the log did.",
            ("decision", "result"),
        )
        self._crashes = self._metrics.counter(
            "workflow_worker_crashes", "Crashes of workers.", ("pool",)
        )
        self._lost_runs = self._metrics.counter(
            "workflow_lost_runs",
            "Runs that ended with a crash of their worker.",
            ("pool",),
        )
        self._restarts = self._metrics.counter(
            "workflow_restarts",
            "Runs that were stopped to start on another worker.",
            ("queue", "reason"),
        )
        self._questions = self._metrics.histogram(
            "workflow_advice_seconds",
            "Time of questions to the policy service by how they ended.",
            ("queue", "end"),
        )
        self._suspected = gauge(
            "workflow_suspected_workers",
            "Workers in backoff or on probation since runs stood still there.",
        )

        self._refused_commands = self._metrics.counter(
            "refused_commands",
            "Commands of the leader itself that the state machine refused as invalid.",
            ["kind"],
        )
        self._cut_orders = self._metrics.counter(
            "workflow_cut_orders",
            "Orders that left out rows for their size, which go with the next ones.",
        )
        self._queues_encoded = self._metrics.counter(
            "queues_encoded", "Times that changes of the queues were encoded for polls."
        )
        self._queues_encoded_bytes = self._metrics.counter(
            "queues_encoded_bytes", "Compressed size of the encoded changes of queues."
        )

        self._run_time_ratio = gauge(
            "workflow_run_time_ratio",
            "Learned ratio of actual to declared run time; no image: the whole queue.",
            ("queue", "image"),
        )

    def record(self, effect):
        """Update the metrics for an effect of a type in `RECORDED_EFFECTS`."""
        _RECORD_BY_EFFECT[type(effect)](self, effect)

    def _set_run_time_ratios(self, effect):
        for queue, image, log_ratio, _, _ in effect.rows:
            self._run_time_ratio.labels(queue, image).set(math.exp(log_ratio))

    def _count_workflow(self, effect):
        duration = self._workflows.labels(effect.queue, effect.state)
        duration.observe(effect.lasted_ms / 1000)

    def _count_run(self, effect):
        self._runs.labels(effect.queue, effect.how).inc()
        if effect.throttled_ms:
            self._throttled.labels(effect.queue).observe(effect.throttled_ms / 1000)

    def _count_over_target(self, effect):
        self._over_target.labels(effect.queue).observe(effect.lasted_ms / 1000)

    def _count_lasting(self, effect):
        for name, count in effect.count_by_state.items():
            seconds = count * effect.lasted_ms / 1000
            self._lasting.labels(effect.queue, name).inc(seconds)

    def _count_displacement(self, effect):
        self._displaced.labels(effect.queue, effect.reason).inc()

    def _count_decided_rows(self, effect):
        self._decided.labels(effect.decision, effect.result).inc(effect.count)

    def _count_crash(self, effect):
        self._crashes.labels(effect.pool).inc()
        self._lost_runs.labels(effect.pool).inc(effect.run_count)

    def _count_restart(self, effect):
        self._restarts.labels(effect.queue, effect.reason).inc()

    def _count_encoding(self, effect):
        self._queues_encoded.inc()
        self._queues_encoded_bytes.inc(effect.byte_count)

    def _count_question(self, effect):
        question = self._questions.labels(effect.queue, effect.end)
        question.observe(effect.lasted_ms / 1000)

    def _count_refused_command(self, effect):
        self._refused_commands.labels(effect.kind).inc()

    def _count_cut_orders(self, effect):
        self._cut_orders.inc()

    def _set_suspected_workers(self, effect):
        self._suspected.set(effect.count)

    def _count_wait(self, effect):
        wait = self._waits.labels(effect.tenant, effect.task_class)
        wait.observe(effect.wait_ms / 1000)

    def count_replaced_report(self):
        """Count a report that was not processed, since a later one came."""
        self._replaced_reports.inc()

    def add_event_times(self, period):
        """Count the time of events in an `eventtimes.Period`."""
        for kind in period.kinds:
            self._event_seconds.labels(kind.kind).inc(kind.seconds)

    def update(self, state, writer):
        """Set the gauges from a replica's state and its writer."""
        agreement = state.raft
        self._is_leader.set(agreement.role == raftstate.LEADER)
        if agreement.role != raftstate.LEADER:
            self._suspected.set(0)
            self._run_time_ratio.clear()
        self._term.set(agreement.term)
        self._last.set(agreement.log.last_index)
        self._commit.set(agreement.commit_index)
        self._applied.set(state.applied_index)
        self._snapshot.set(agreement.snapshot.index)
        voters = sum(member.is_voter for member in agreement.members.values())
        self._members.labels("voter").set(voters)
        self._members.labels("learner").set(len(agreement.members) - voters)
        self._cancellations.set(len(state.machine.workflows.cancellations.at_ms_by_id))
        self._syncs.set(writer.syncs)
        self._writes.set(writer.writes)
        self.update_drains(
            state.machine, state.leader_exchange.scheduler, state.wall_ms
        )

    def update_drains(self, machine, scheduler, wall_ms):
        """Set the gauges of drained domains; `scheduler` is None unless leading."""
        drain_by_domain = machine.domain_drains.by_domain
        self._drains.set(len(drain_by_domain))
        # Restored domains must not stay on the page.
        self._drain_ages.clear()
        self._drain_runs.clear()
        if not drain_by_domain:
            return
        count_by_domain = domainqueries.count_runs(machine, scheduler)
        for domain, drain in drain_by_domain.items():
            age_ms = max(wall_ms - drain.since_ms, 0)
            self._drain_ages.labels(domain).set(age_ms / 1000)
            if scheduler is not None:
                self._drain_runs.labels(domain).set(count_by_domain[domain])

    def page(self):
        """Return the metrics page as bytes."""
        return self._metrics.page()


_RECORD_BY_EFFECT = {
    replicaeffects.CommandRefused: StateMetrics._count_refused_command,
    replicaeffects.OrdersCut: StateMetrics._count_cut_orders,
    replicaeffects.QueuesEncoded: StateMetrics._count_encoding,
    replicaeffects.TaskWaited: StateMetrics._count_wait,
    schedulerevents.RunDisplaced: StateMetrics._count_displacement,
    schedulerevents.LastingTasksCounted: StateMetrics._count_lasting,
    schedulerevents.OverTargetEnded: StateMetrics._count_over_target,
    schedulerevents.QuestionEnded: StateMetrics._count_question,
    schedulerevents.RunEnded: StateMetrics._count_run,
    schedulerevents.RowsDecided: StateMetrics._count_decided_rows,
    schedulerevents.RunRestarted: StateMetrics._count_restart,
    schedulerevents.RunTimesLearned: StateMetrics._set_run_time_ratios,
    schedulerevents.SuspectedWorkersCounted: StateMetrics._set_suspected_workers,
    schedulerevents.WorkerCrashed: StateMetrics._count_crash,
    schedulerevents.WorkflowEnded: StateMetrics._count_workflow,
}

RECORDED_EFFECTS = frozenset(_RECORD_BY_EFFECT)
