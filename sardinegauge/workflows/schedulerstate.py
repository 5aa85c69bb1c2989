"""Soft state of the leader for workflows."""

import collections

from sardinegauge import commands
from sardinegauge.workflows import (
    advicetracker,
    backlog,
    candidates,
    crashes,
    decisions,
    displacing,
    draining,
    drainmoves,
    health,
    interference,
    isolation,
    lastingtasks,
    ordering,
    outlooks,
    planner,
    recovery,
    schedulerevents,
    throttletimes,
    waitingcount,
)
from sardinegauge.workflows.policies import (
    coreshares,
    runtimes,
    urgency,
)


class State:
    """Soft state of the leader.

    A run key is a pair of task id and run number. `worker_by_planned_task` holds the
    workers of assignments that are proposed but not applied yet, by task id, and
    `decision_by_planned_task` which of `decisions` chose each of them.
    `workers_by_agent` holds the ids of all workers seen beside an agent in this term.
    `stop_reason_by_run` holds the runs to stop, and `cpu_cap_by_run` the CPU caps of
    best-effort tasks in percent; `core_sharing` decides how the left-over cores are
    shared on workers in `short_until_ms_by_worker`, and `urgency` which tasks are
    throttled first.
    `throttle_times` is what CPU caps have cost each run so far,
    `throttling_logged_ms` when the throttling was last logged.
    `slow_since_ms_by_run` is the time from which on a best-effort task has been slow,
    `moved_from_by_task` the worker that a best-effort task was moved away from. A task
    is not assigned before `refused_until_ms` to a worker that refused it, by task id
    and worker.
    `end_ms_by_recent_run` is when the end of a run was recorded, by task, run, worker
    and incarnation.
    `proposed_crash_by_agent` and `crash_by_agent` hold the incarnation of the last
    proposed and recorded crash of a worker by its agent. `queues_version` is the
    version of the queues up to which starts were withdrawn.
    """

    def __init__(self, machine):
        self.store = machine.workflows
        self.domain_drains = machine.domain_drains
        self.draining = draining.Draining()
        self.drain_moves = drainmoves.DrainMoves()
        self.run_times = runtimes.RunTimeModel()
        self.planner = planner.Planner(ordering.ByWorthPerWork(self.run_times))
        self.candidates = candidates.CandidateIndex()
        self.health = health.Health()
        self.interference = interference.InterferenceModel()
        self.estimates_proposed_ms = 0
        self.advice_tracker = advicetracker.AdviceTracker()
        self.view_by_id = {}
        self.workers_by_agent = {}
        self.worker_by_planned_task = {}
        self.decision_by_planned_task = {}
        self.stop_reason_by_run = {}
        self.cpu_cap_by_run = {}
        self.core_sharing = coreshares.InOrder()
        self.short_until_ms_by_worker = {}
        self.urgency = urgency.ByCriticalTask()
        self.step_times = outlooks.StepTimes()
        self.slow_since_ms_by_run = {}
        self.throttle_times = throttletimes.ThrottleTimes()
        self.throttling_logged_ms = 0
        self.lasting_account = lastingtasks.Account()
        self.moved_from_by_task = {}
        self.failed_workers_by_task = {}
        self.refused_until_ms = {}
        self.displacing = displacing.Displacing()
        self.reservation_by_task = {}
        self.open_ids = set(self.store.open_ids)
        self.end_ms_by_recent_run = collections.OrderedDict()
        self.now_ms = 0
        self.proposed_crash_by_agent = {}
        self.crash_by_agent = {}
        self.crashes = crashes.Crashes()
        self.isolation = isolation.Isolation()
        self.recovery = recovery.Recovery()
        self.begun_workflows = waitingcount.BegunWorkflows()
        self.backlog = backlog.BacklogTracker()
        self.wall_ms = 0
        self.wall_offset_ms = 0
        self.term = 0
        self.queues_version = machine.workflows.queue_set.version
        self.is_plan_due = False
        self.effects = []

    def registered_incarnation(self, worker):
        """Return the registered incarnation of a worker, 0 if there is none."""
        registered = self.store.worker_by_id.get(worker)
        return registered.life if registered is not None else 0

    def record_planned(self, task_id, worker, decision):
        """Record an assignment that is proposed or about to be."""
        self.worker_by_planned_task[task_id] = worker
        self.decision_by_planned_task[task_id] = decision

    def drop_planned(self, task_id):
        """Drop an assignment that was applied; return which decision it was."""
        self.worker_by_planned_task.pop(task_id, None)
        return self.decision_by_planned_task.pop(task_id, decisions.UNKNOWN)

    def propose(self, command):
        """Emit the effect that proposes a command."""
        self.effects.append(schedulerevents.Propose(command=command))

    def propose_assignments(self, rows):
        """Propose assignments that were decided on the queues in force."""
        version = self.store.queue_set.version
        self.propose(commands.AssignRuns(rows=rows, queues_version=version))

    def push(self, worker, incarnation):
        """Emit the effect that sends a worker's orders now."""
        self.effects.append(
            schedulerevents.Push(worker=worker, incarnation=incarnation)
        )
