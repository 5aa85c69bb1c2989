"""Metrics of the state process."""

from sardinegauge import metrics
from sardinegauge.agreement import raftstate

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
        self._suspected = gauge(
            "workflow_suspected_workers",
            "Workers in backoff or on probation since runs stood still there.",
        )

    def count_workflow(self, queue, state, lasted_ms):
        """Record the duration of a workflow that ended."""
        self._workflows.labels(queue, state).observe(lasted_ms / 1000)

    def count_run(self, queue, how):
        """Count a run that ended."""
        self._runs.labels(queue, how).inc()

    def count_crash(self, pool, run_count):
        """Count a crash of a worker that ended `run_count` runs."""
        self._crashes.labels(pool).inc()
        self._lost_runs.labels(pool).inc(run_count)

    def count_restart(self, queue, reason):
        """Count a run that is stopped to start on another worker."""
        self._restarts.labels(queue, reason).inc()

    def set_suspected_workers(self, count):
        """Set the number of suspected workers."""
        self._suspected.set(count)

    def count_wait(self, tenant, task_class, wait_ms):
        """Record how long a task that now runs had waited."""
        self._waits.labels(tenant, task_class).observe(wait_ms / 1000)

    def update(self, state, writer):
        """Set the gauges from a replica's state and its writer."""
        agreement = state.raft
        self._is_leader.set(agreement.role == raftstate.LEADER)
        if agreement.role != raftstate.LEADER:
            self._suspected.set(0)
        self._term.set(agreement.term)
        self._last.set(agreement.log.last_index)
        self._commit.set(agreement.commit_index)
        self._applied.set(state.applied_index)
        self._snapshot.set(agreement.snapshot.index)
        voters = sum(member.is_voter for member in agreement.members.values())
        self._members.labels("voter").set(voters)
        self._members.labels("learner").set(len(agreement.members) - voters)
        self._syncs.set(writer.syncs)
        self._writes.set(writer.writes)

    def page(self):
        """Return the metrics page as bytes."""
        return self._metrics.page()
