"""The leader's summary of the open work, which gateways admit workflows by.

It is soft state, built anew every `INTERVAL_MS`; a new leader gives none until it has
heard of the workers for `WARM_UP_MS`.
"""

import collections

from sardinegauge.workflows import ordering
from sardinegauge.workflows import workflow as workflow_module
from sardinegauge.workflows.policies import admission

INTERVAL_MS = 500
# Workers report every 400 ms.
WARM_UP_MS = 2000
# Time over which the rate of finished work is measured.
RATE_WINDOW_MS = 10_000
# A worker without a report for longer counts for no capacity. It is longer than for
# starts, since a capacity that is too low would cause wrong refusals.
MAX_REPORT_AGE_MS = 10_000
# Least share of their cores that latency-critical tasks use; best-effort work gets at
# most the rest. They use 45% on average, swinging by half.
MIN_LATENCY_CRITICAL_USE = 0.2


class _Tracked:
    """Parts of an open workflow's contribution that don't change."""

    __slots__ = (
        "is_batch",
        "left_core_ms",
        "static_bytes",
        "step_costs",
        "task_bytes",
        "worth_ms",
    )

    def __init__(self, workflow, queue):
        steps = workflow.steps
        self.is_batch = not workflow.is_persistent
        self.step_costs = [
            (
                admission.core_ms(step),
                step.memory_mb * (step.estimate_ms or ordering.DEFAULT_ESTIMATE_MS),
                step.is_filler,
            )
            for step in steps
        ]
        self.static_bytes = admission.held_bytes(steps, workflow.payload, 0)
        self.task_bytes = admission.TASK_BYTES * sum(step.count for step in steps)
        span_ms = queue.stretch * ordering.critical_path_ms(steps) + queue.objective_ms
        self.worth_ms = ordering.EXPIRY_SPANS * span_ms
        self.left_core_ms = 0


class BacklogTracker:
    """Builds the summary from the store and the views of the workers.

    `current` is the newest `admission.Backlog`.
    """

    __slots__ = (
        "_built_at_ms",
        "_finished",
        "_finished_by_pool",
        "_started_at_ms",
        "_tracked_by_id",
        "current",
    )

    def __init__(self):
        self.current = None
        self._started_at_ms = None
        self._built_at_ms = 0
        self._tracked_by_id = {}
        # Rows of time, and core-ms and workflows that ended in an interval by pool.
        self._finished = collections.deque()
        self._finished_by_pool = {}

    def tick(self, state):
        """Build the summary if it is due."""
        if self._started_at_ms is None:
            self._started_at_ms = state.now_ms
        if state.now_ms - self._built_at_ms < INTERVAL_MS:
            return
        self._built_at_ms = state.now_ms
        self._finished_by_pool = {}
        self.current = self._build(state)

    def summary(self, now_ms, max_held_bytes=admission.MAX_HELD_BYTES):
        """Return the JSON for a poll reply, empty if there is none that is recent."""
        if self._started_at_ms is None or now_ms - self._started_at_ms < WARM_UP_MS:
            return b""
        if now_ms - self._built_at_ms > 2 * INTERVAL_MS:
            return b""
        self.current.age_ms = now_ms - self._built_at_ms
        self.current.max_held_bytes = max_held_bytes
        return self.current.to_json()

    def _build(self, state):
        wall_ms = state.now_ms + state.wall_offset_ms
        store = state.store
        backlog = admission.Backlog()
        work_by_key_by_pool = collections.defaultdict(dict)
        reserved_by_pool = collections.defaultdict(lambda: [0, 0])
        self._drop_ended(store)
        for workflow_id in store.open_ids:
            workflow = store.workflow_by_id[workflow_id]
            queue = store.queue_of(workflow)
            tracked = self._tracked_by_id.get(workflow_id)
            if tracked is None:
                tracked = _Tracked(workflow, queue)
                self._tracked_by_id[workflow_id] = tracked
            occurrence_count = max(len(workflow.occurrences), 1)
            held_bytes = tracked.static_bytes + tracked.task_bytes * occurrence_count
            backlog.add_workflow(held_bytes, not tracked.is_batch)
            if tracked.is_batch:
                work_by_key = work_by_key_by_pool[queue.pool]
                self._add_work(work_by_key, workflow, queue, tracked, wall_ms)
            else:
                _add_reserved(reserved_by_pool[queue.pool], workflow)
        pools = _measure_capacity(state, reserved_by_pool)
        for name, work_by_key in work_by_key_by_pool.items():
            pools[name].work = list(work_by_key.values())
        self._add_rates(pools, state.now_ms)
        _add_waiting_returns(pools, store, wall_ms)
        backlog.pool_by_name = dict(pools)
        return backlog

    def _drop_ended(self, store):
        """Count the work of workflows that ended, and forget them."""
        for workflow_id in self._tracked_by_id.keys() - store.open_ids.keys():
            tracked = self._tracked_by_id.pop(workflow_id)
            workflow = store.workflow_by_id.get(workflow_id)
            if workflow is None or workflow.state != workflow_module.COMPLETED:
                continue
            pool = store.queue_of(workflow).pool
            self._count_finished(pool, tracked.left_core_ms, 1)

    def _count_finished(self, pool, core_ms, workflow_count):
        finished = self._finished_by_pool.setdefault(pool, [0, 0])
        finished[0] += core_ms
        finished[1] += workflow_count

    def _add_work(self, work_by_key, workflow, queue, tracked, wall_ms):
        """Add the remaining work of a workflow, and count what ended of it."""
        left = _left_work(workflow, tracked)
        left_core_ms = left[False][0] + left[True][0]
        if left_core_ms < tracked.left_core_ms:
            ended_core_ms = tracked.left_core_ms - left_core_ms
            self._count_finished(queue.pool, ended_core_ms, 0)
        tracked.left_core_ms = left_core_ms
        is_worthless = wall_ms > workflow.accepted_at_ms + tracked.worth_ms
        if is_worthless and not workflow.repeats:
            return  # It goes after all work that can still end in time.
        size_class = admission.size_class(left_core_ms)
        for is_filler, (core_ms, memory_mb_ms, has_work) in left.items():
            if not has_work:
                continue
            key = (queue.priority, size_class, is_filler)
            work = work_by_key.get(key)
            if work is None:
                work = admission.Work(
                    priority=queue.priority, size_class=size_class, is_filler=is_filler
                )
                work_by_key[key] = work
            work.core_ms += core_ms
            work.memory_mb_ms += memory_mb_ms
            work.count += 1

    def _add_rates(self, pools, now_ms):
        self._finished.append((now_ms, self._finished_by_pool))
        while self._finished[0][0] <= now_ms - RATE_WINDOW_MS:
            self._finished.popleft()
        window_ms = min(RATE_WINDOW_MS, max(now_ms - self._started_at_ms, INTERVAL_MS))
        for _, finished_by_pool in self._finished:
            for name, (core_ms, workflow_count) in finished_by_pool.items():
                pools[name].finished_cores += core_ms / window_ms
                pools[name].ended_per_s += 1000 * workflow_count / window_ms


def _left_work(workflow, tracked):
    """Return core-ms, MB-ms and whether tasks are left, of other and best-effort work.

    A workflow that was not planned yet has no occurrence.
    """
    left = {False: [0, 0, False], True: [0, 0, False]}
    remaining = [
        occurrence.remaining_by_step
        for number, occurrence in workflow.occurrences.items()
        if number not in workflow.completed_occurrences
    ]
    if not workflow.occurrences and not workflow.repeats:
        remaining = [[step.count for step in workflow.steps]]
    for remaining_by_step in remaining:
        for count, (core_ms, memory_mb_ms, is_filler) in zip(
            remaining_by_step, tracked.step_costs
        ):
            if count:
                sums = left[is_filler]
                sums[0] += count * core_ms
                sums[1] += count * memory_mb_ms
                sums[2] = True
    return left


def _add_reserved(reserved, workflow):
    """Add the cores and MB that the running tasks of a persistent workflow reserve."""
    for occurrence in workflow.occurrences.values():
        for step, left, waiting in zip(
            workflow.steps, occurrence.remaining_by_step, occurrence.waiting_by_step
        ):
            running = left - waiting
            if not step.is_filler:
                reserved[0] += running * step.cpu_millis / 1000
            reserved[1] += running * step.memory_mb


def _measure_capacity(state, reserved_by_pool):
    """Return a `PoolBacklog` with the capacity of each pool by name."""
    total_by_pool = collections.defaultdict(lambda: [0, 0])
    for view in state.view_by_id.values():
        is_heard = 0 < view.received_ms and (
            state.now_ms - view.received_ms <= MAX_REPORT_AGE_MS
        )
        if is_heard and not view.is_draining:
            total = total_by_pool[view.pool]
            total[0] += view.capacity.cpu_millis / 1000
            total[1] += view.capacity.memory_mb
    pools = collections.defaultdict(admission.PoolBacklog)
    for name, (cores, memory_mb) in total_by_pool.items():
        reserved_cores, reserved_mb = reserved_by_pool[name]
        pools[name] = admission.PoolBacklog(
            cores=max(cores - reserved_cores, 0),
            memory_mb=max(memory_mb - reserved_mb, 0),
            filler_cores=max(cores - MIN_LATENCY_CRITICAL_USE * reserved_cores, 0),
        )
    return pools


def _add_waiting_returns(pools, store, wall_ms):
    for queue_name, count in store.refusals.waiting_by_queue(wall_ms).items():
        queue = store.queue_set.known_by_name.get(queue_name)
        if queue is not None:
            pools[queue.pool].waiting_returns.append([queue.priority, count])
