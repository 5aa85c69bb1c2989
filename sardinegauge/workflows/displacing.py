"""Displacement of runs by urgent tasks that fit on no worker.

It runs after each plan. A task that has found no room for `MIN_WAIT_MS` gets a worker
on which less urgent runs are stopped, and their room is kept for it. What to stop is
decided by `policies.displacement`, how much at most by `policies.displacementlimits`.
"""

import itertools
import logging

from sardinegauge.workflows import (
    decisions,
    displacementrecords,
    reservations,
    schedulerevents,
    stepcounts,
)
from sardinegauge.workflows.policies import displacement, displacementlimits

# A task that found no room waits this long before it displaces runs: room often becomes
# free by itself, and a displacement takes about 0.5 s in any case.
MIN_WAIT_MS = 500
# Least time between two decisions, which look at the runs of all workers.
DECISION_INTERVAL_MS = 200
# The same after a decision that found nothing to displace. With 1,140 runs on 57
# workers and 300 waiting tasks, it takes 25 ms of processor time.
EMPTY_DECISION_INTERVAL_MS = 500
# Waiting tasks of one step, and of all steps, that one decision looks at.
MAX_TASKS_PER_STEP = 20
MAX_TASKS = 200
# Reason to stop a displaced run, and its label in the metrics.
DISPLACED_REASON = "displaced"
EXPIRY_INTERVAL_MS = 5000
log = logging.getLogger(__name__)


class Displacing:
    """Soft state of displacements.

    `waiting_since_ms_by_task` holds since when a waiting task found no room.
    `checkpoints_by_worker` holds, by run key, the last reported checkpoint of each run
    on a worker and when it was first reported. `exceeded_since_ms_by_worker` holds
    since when a worker runs more than its capacity. `due_ms` is when the next decision
    is due.
    """

    __slots__ = (
        "checkpoints_by_worker",
        "due_ms",
        "exceeded_since_ms_by_worker",
        "expired_ms",
        "limits",
        "policy",
        "waiting_since_ms_by_task",
    )

    def __init__(self):
        self.policy = displacement.LeastLostWork()
        self.limits = displacementlimits.DisplacementLimits()
        self.waiting_since_ms_by_task = {}
        self.checkpoints_by_worker = {}
        self.exceeded_since_ms_by_worker = {}
        self.due_ms = 0
        self.expired_ms = 0

    def saved_ms(self, worker, key):
        """Return when the last checkpoint of a run was reported, None without one."""
        _, saved_ms = self.checkpoints_by_worker.get(worker, {}).get(key, ("", None))
        return saved_ms


def record_checkpoints(state, view):
    """Record when the checkpoints in a report were first reported."""
    former = state.displacing.checkpoints_by_worker.get(view.id, {})
    current = {}
    for key, reported in view.runs.items():
        if reported.checkpoint:
            known = former.get(key)
            if known is None or known[0] != reported.checkpoint:
                known = (reported.checkpoint, state.now_ms)
            current[key] = known
    state.displacing.checkpoints_by_worker[view.id] = current


def displace(state):
    """Stop less urgent runs for tasks that found no room in the plan before."""
    displacing = state.displacing
    if state.now_ms < displacing.due_ms:
        return
    displacing.due_ms = state.now_ms + DECISION_INTERVAL_MS
    _expire(state)
    waiting = _tasks_without_room(state)
    since_ms_by_task = displacing.waiting_since_ms_by_task
    displacing.waiting_since_ms_by_task = {
        task.id: since_ms_by_task.get(task.id, state.now_ms) for task in waiting
    }
    due = [
        task
        for task in waiting
        if state.now_ms - since_ms_by_task.get(task.id, state.now_ms) >= MIN_WAIT_MS
    ]
    if due and not _Decision(state, due).carry_out():
        displacing.due_ms = state.now_ms + EMPTY_DECISION_INTERVAL_MS


def stop_run(state, view, key, reason, for_task, lost_ms):
    """Stop a run, and log and count its displacement."""
    task_id, run_number = key
    workflow, _, _ = state.store.find_task(task_id)
    state.stop_reason_by_run[key] = reason
    state.push(view.id, view.incarnation)
    log.info(
        "run_displaced task=%s run=%d worker=%s for=%s lost_ms=%d reason=%s",
        task_id,
        run_number,
        view.id,
        for_task,
        lost_ms,
        reason,
    )
    state.effects.append(
        schedulerevents.RunDisplaced(queue=workflow.queue, reason=reason)
    )


def _expire(state):
    """Drop what is known about workers and workflows that are gone."""
    displacing = state.displacing
    if state.now_ms - displacing.expired_ms < EXPIRY_INTERVAL_MS:
        return
    displacing.expired_ms = state.now_ms
    open_ids = state.store.open_ids
    displacing.limits.expire(
        state.now_ms, lambda task_id: task_id.partition(".")[0] in open_ids
    )
    for by_worker in (
        displacing.checkpoints_by_worker,
        displacing.exceeded_since_ms_by_worker,
    ):
        for worker in by_worker.keys() - state.view_by_id.keys():
            del by_worker[worker]


def _tasks_without_room(state):
    """Return the tasks that the last plan did not assign, in its order.

    Gangs and suspected tasks are left out, as they wait for more than room.
    """
    found = []
    for _, occurrence, position in state.planner.waiting_steps:
        tasks = occurrence.tasks_by_step[position]
        if tasks[0].step.is_gang:
            continue
        waiting = (task for task in tasks if _is_waiting(state, task))
        found += itertools.islice(waiting, MAX_TASKS_PER_STEP)
        if len(found) >= MAX_TASKS:
            break
    return found


def _is_waiting(state, task):
    return (
        not task.is_done
        and not task.runs
        and not task.crashes
        and task.id not in state.worker_by_planned_task
        and task.id not in state.reservation_by_task
    )


class _Decision:
    """One decision about the tasks that have found no room for long enough."""

    __slots__ = (
        "_candidates",
        "_counts_by_step",
        "_describer",
        "_min_priority",
        "_record_by_worker",
        "_state",
        "_tasks",
    )

    def __init__(self, state, tasks):
        self._state = state
        self._tasks = tasks
        self._describer = displacementrecords.Describer(state)
        self._candidates = [
            candidate
            for candidate in state.candidates.find_usable(state, state.now_ms)
            if not state.isolation.is_isolated(candidate.view.id)
            and not state.health.is_backing_off(candidate.view.id)
        ]
        # Only less urgent runs than the most urgent waiting task can be displaced.
        self._min_priority = 1 + min(map(self._describer.priority, tasks))
        self._record_by_worker = {}
        self._counts_by_step = {}

    def carry_out(self):
        """Choose and stop runs for each task, as far as the limits allow.

        Returns
        -------
        bool
            Whether room was found for any task.
        """
        state = self._state
        unsatisfiable = _UnsatisfiableClaims()
        has_found_room = False
        for task in self._tasks:
            allowance = state.displacing.limits.allowance(state.now_ms)
            if allowance <= 0:
                break
            claim = self._describer.claim(task)
            workflow, occurrence, _ = state.store.find_task(task.id)
            queue = state.store.queue_of(workflow)
            if unsatisfiable.covers(queue, task, claim):
                continue
            views = self._find_views(task, queue, occurrence)
            records = [self._record_by_worker[view.id] for view in views]
            choice = state.displacing.policy.choose(claim, records, allowance)
            if choice is not None:
                has_found_room = True
                self._carry_out(task, claim, choice)
            elif not claim.displaced_count:
                unsatisfiable.add(queue, task, claim)
        return has_found_room

    def _carry_out(self, task, claim, choice):
        state = self._state
        view = state.view_by_id[choice.worker]
        record = self._record_by_worker[choice.worker]
        reservations.add(state, task, view, decisions.DISPLACEMENT)
        self._counts_by_step[task.id.rpartition(".")[0]].add(choice.worker)
        record.free.reserve(claim)
        for victim in choice.victims:
            stop_run(state, view, victim.key, DISPLACED_REASON, task.id, victim.lost_ms)
            victim.is_leaving = True
        if choice.victims:
            ids = [victim.key[0] for victim in choice.victims]
            state.displacing.limits.record(choice.worker, ids, state.now_ms)
            self._leave_only_leaving(record)

    def _find_views(self, task, queue, occurrence):
        """Return the views of the workers on which a task may start."""
        counts = self._find_counts(task, occurrence)
        label = task.step.required_label
        found = []
        for candidate in self._candidates:
            view = candidate.view
            if view.pool != queue.pool or (label and label not in view.labels):
                continue
            if not counts.allows(view.id):
                continue
            if self._is_refused(task, queue, view):
                continue
            self._describe(candidate)
            found.append(view)
        return found

    def _find_counts(self, task, occurrence):
        """Return the counts of a task's step, made once in a decision."""
        step_id = task.id.rpartition(".")[0]
        if step_id not in self._counts_by_step:
            members = occurrence.tasks_by_step[task.position]
            counts = stepcounts.StepCounts(self._state, members)
            self._counts_by_step[step_id] = counts
        return self._counts_by_step[step_id]

    def _describe(self, candidate):
        view = candidate.view
        if view.id in self._record_by_worker:
            return
        record = self._describer.worker(view, candidate.free, self._min_priority)
        self._record_by_worker[view.id] = record
        if self._state.displacing.limits.is_paused(view.id, self._state.now_ms):
            self._leave_only_leaving(record)

    def _leave_only_leaving(self, record):
        """Let nothing but the room of leaving runs be used during a pause."""
        record.runs = [run for run in record.runs if run.is_leaving]

    def _is_refused(self, task, queue, view):
        state = self._state
        if state.now_ms < state.refused_until_ms.get((task.id, view.id), 0):
            return True
        if view.id in state.failed_workers_by_task.get(task.id, ()):
            return True
        if queue.advice is None:
            return False
        step = task.id.rpartition(".")[0]
        return not state.advice_tracker.ticket(
            step, view.id, view.incarnation, state.now_ms
        )


class _UnsatisfiableClaims:
    """The claims for which one decision found no runs to stop.

    A larger or less urgent claim finds none either, which bounds the work in an
    overload with many waiting tasks.
    """

    __slots__ = ("_claims_by_group", "_steps")

    def __init__(self):
        self._claims_by_group = {}
        self._steps = set()

    def add(self, queue, task, claim):
        """Add a claim; one of limited choice stands for its own step only."""
        self._steps.add(task.id.rpartition(".")[0])
        if queue.advice is None and not task.step.max_per_worker and not task.failures:
            group = (queue.pool, task.step.required_label)
            self._claims_by_group.setdefault(group, []).append(claim)

    def covers(self, queue, task, claim):
        """Return whether a claim is known to find no runs to stop."""
        if task.id.rpartition(".")[0] in self._steps:
            return True
        group = (queue.pool, task.step.required_label)
        return any(
            claim.priority >= other.priority
            and claim.memory_mb >= other.memory_mb
            and claim.accelerators >= other.accelerators
            and (
                other.is_filler
                or (not claim.is_filler and claim.cpu_millis >= other.cpu_millis)
            )
            for other in self._claims_by_group.get(group, ())
        )
