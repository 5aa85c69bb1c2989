"""Adjusts the reservations of running tasks to their reported usage."""

from sardinegauge import commands
from sardinegauge.scheduling import estimates, preemption, views

OUTGREW = "outgrew its reservation and its worker"


def propose_resizes(state, now_ms, limit):
    """Return commands that adjust reservations on up to `limit` workers.

    A task that needs more than is free on its worker is evicted once. After that, it
    keeps its reservation, since another eviction for its size would change nothing.
    """
    cores_by_task, memory_mb_by_task, evicted = {}, {}, []
    for upstream in state.pop_due_resizes(limit):
        free = state.capacity.by_upstream.get(upstream)
        if free is None:
            continue
        cores_left, memory_left_mb = free.cores, free.memory_mb
        for task_id in sorted(state.task_ids_by_upstream.get(upstream, ())):
            task, run = (
                state.machine.tasks.by_id[task_id],
                state.run_by_task.get(task_id),
            )
            if run is None or task.state != "running":
                continue
            if ("resize", task_id) in state.in_flight:
                continue
            throttle = state.throttle_by_task.get(task_id, 1.0)
            target = estimates.target_reservation(run, task, now_ms, throttle)
            if target is None:
                continue
            cores, memory_mb = target
            more_cores = max(0.0, cores - task.cores)
            more_memory_mb = max(0, memory_mb - task.memory_mb)
            run.resized_ms = now_ms
            if more_cores <= cores_left and more_memory_mb <= memory_left_mb:
                cores_left -= more_cores
                memory_left_mb -= more_memory_mb
                cores_by_task[task_id] = cores
                memory_mb_by_task[task_id] = memory_mb
            elif more_memory_mb <= memory_left_mb and not _is_crowded(state, upstream):
                # Unused cores are shared, so the task is not slowed down by its
                # small reservation.
                continue
            elif _may_evict(state, now_ms, task):
                used_cores = estimates.round_cores(run.typical_cores())
                state.sizes.floor_by_task[task_id] = (used_cores, memory_mb)
                state.rate_limits.evictions.consume()
                evicted.append(task)
            else:
                state.reasons.record_decision(
                    now_ms, [task_id], "uses more than reserved; no room to grow"
                )
    proposals = []
    if cores_by_task:
        proposals.append(
            commands.ResizeTasks(
                cores_by_task=cores_by_task, memory_mb_by_task=memory_mb_by_task
            )
        )
    if evicted:
        proposals.append(preemption.evict(state, now_ms, evicted, OUTGREW))
    return proposals


def _is_crowded(state, upstream):
    """Tell whether a worker is so loaded that a task must be evicted for its cores."""
    view = state.views.get(upstream)
    # If evictions weigh more than latency, no task is evicted for cores alone.
    if view is None or state.weights.evictions > state.weights.tail_latency:
        return False
    views.refresh_mix(state, view)
    return view.used_share > views.CROWDED_SHARE


def _may_evict(state, now_ms, task):
    if task.task_class != "batch" or ("evict", task.id, task.epoch) in state.in_flight:
        return False
    if (
        task.id in state.sizes.floor_by_task
        or task.evictions >= preemption.MAX_EVICTIONS
    ):
        return False
    return state.rate_limits.evictions.available() > 0
