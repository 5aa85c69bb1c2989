"""The leader's state as the plain records of `policies.displacement`."""

from sardinegauge.workflows import ordering, views
from sardinegauge.workflows.policies import displacement

# The observed speed of a run tells more than its declared run time from this progress
# and this time on.
MIN_OBSERVED_PROGRESS = 5
MIN_OBSERVED_MS = 500


class Describer:
    """Describes runs; for one decision, as it keeps the priorities and sort keys."""

    __slots__ = ("_priority_by_workflow", "_rank_by_occurrence", "_state", "_wall_ms")

    def __init__(self, state):
        self._state = state
        self._wall_ms = state.now_ms + state.wall_offset_ms
        self._priority_by_workflow = {}
        self._rank_by_occurrence = {}

    def priority(self, task):
        """Return the priority of the queue of a task."""
        workflow_id = task.id.partition(".")[0]
        priority = self._priority_by_workflow.get(workflow_id)
        if priority is None:
            workflow = self._state.store.workflow_by_id[workflow_id]
            priority = self._state.store.queue_of(workflow).priority
            self._priority_by_workflow[workflow_id] = priority
        return priority

    def claim(self, task, priority=None):
        """Return a waiting task as a `displacement.Claim`.

        The priority is that of its queue unless it is given.

        No task displaces a persistent one, so it can't be part of a cycle: one that
        left an overcommitted worker still counts as not displaced.
        """
        step = task.step
        displaced_count = 0 if step.is_persistent else self._displaced_count(task)
        return displacement.Claim(
            task=task.id,
            priority=self.priority(task) if priority is None else priority,
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
            is_filler=step.is_filler,
            displaced_count=displaced_count,
        )

    def worker(self, view, free, min_priority):
        """Return a worker as a `displacement.Worker`.

        Of its runs, it holds those that are leaving, and those of queues with at least
        the priority number `min_priority`.
        """
        runs = []
        for key, task in self._state.store.runs_of(view.id, view.incarnation).items():
            if key in view.ended:
                continue
            leaves = is_leaving(self._state, view, key, task)
            if leaves or self.priority(task) >= min_priority:
                runs.append(self._run(view, key, task, leaves))
        return displacement.Worker(id=view.id, free=free.replace(), runs=runs)

    def _run(self, view, key, task, leaves):
        step = task.step
        reported = view.runs.get(key)
        return displacement.Run(
            key=key,
            priority=self.priority(task),
            rank=self._rank(task),
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
            is_filler=step.is_filler,
            is_persistent=step.is_persistent,
            is_latency_critical=bool(step.target_ms),
            is_gang=step.is_gang,
            is_checkpointing=step.is_checkpointing,
            is_leaving=leaves,
            progress=reported.progress if reported is not None else 0,
            rest_ms=_expected_rest_ms(self._state, key, task, reported),
            lost_ms=_lost_ms(self._state, view, key, task, reported),
            displaced_count=self._displaced_count(task),
        )

    def _displaced_count(self, task):
        return self._state.displacing.limits.count_by_task.get(task.id, 0)

    def _rank(self, task):
        occurrence_id = task.id.rsplit(".", 2)[0]
        rank = self._rank_by_occurrence.get(occurrence_id)
        if rank is None:
            workflow, occurrence, _ = self._state.store.find_task(task.id)
            rank = self._rank_by_occurrence[occurrence_id] = (
                self._state.planner.ordering.key(
                    workflow,
                    self._state.store.queue_of(workflow),
                    occurrence,
                    self._wall_ms,
                )
            )
        return rank


def is_leaving(state, view, key, task):
    """Return whether a run is being stopped, so that its room becomes free soon."""
    if key in state.stop_reason_by_run or task.is_done:
        return True
    reported = view.runs.get(key)
    if reported is not None and reported.phase in (views.STOPPING, views.GONE):
        return True
    return not state.store.workflow_by_id[task.id.partition(".")[0]].is_open


def _expected_rest_ms(state, key, task, reported):
    """Return the expected time to the end of a run.

    It follows from the run's own speed once that is known. A run that began from a
    checkpoint shows no speed, as its progress at the start is not reported.
    """
    if task.step.is_persistent:
        return float("inf")
    declared_ms = task.step.estimate_ms or ordering.DEFAULT_ESTIMATE_MS
    if reported is None:
        return declared_ms
    left = max(100 - reported.progress, 0)
    is_observed = (
        not task.checkpoint
        and reported.progress >= MIN_OBSERVED_PROGRESS
        and reported.survived_ms >= MIN_OBSERVED_MS
    )
    if is_observed:
        return reported.survived_ms * left / reported.progress
    cpu_cap = max(state.cpu_cap_by_run.get(key, 100), 1)
    return declared_ms * left / cpu_cap


def _lost_ms(state, view, key, task, reported):
    """Return how much of a run's work a stop would discard, at most.

    The end of a stopped run may bring a newer checkpoint than the last reported one.
    """
    if reported is None or reported.phase == views.ORDERED:
        return 0
    active_ms = reported.survived_ms + state.now_ms - view.received_ms
    if not task.step.is_checkpointing:
        return active_ms
    saved_ms = state.displacing.saved_ms(view.id, key)
    return active_ms if saved_ms is None else min(state.now_ms - saved_ms, active_ms)
