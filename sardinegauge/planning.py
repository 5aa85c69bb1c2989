"""One planning round: pending tasks in order of class, within room and pace."""

from sardinegauge import capacity, commands, pending

# Units tried per round; the rest of a long queue waits for the next round.
UNITS_PER_ROUND = 256
# One command stays far below the frame limit of 1 MiB.
ASSIGNMENTS_PER_COMMAND = 64


def plan(state, now_ms, budget):
    """Return `AssignTasks` commands with at most `budget` assignments."""
    assignments = []
    units_left = UNITS_PER_ROUND
    for task_class in pending.CLASSES:
        for unit in state.pending.ready(task_class, now_ms):
            if len(assignments) >= budget or units_left <= 0:
                break
            units_left -= 1
            _place_unit(state, now_ms, unit, budget, assignments)
    return batches(assignments)


def batches(assignments):
    """Split assignments into commands of bounded size."""
    step = ASSIGNMENTS_PER_COMMAND
    return [
        commands.AssignTasks(assignments=assignments[start : start + step])
        for start in range(0, len(assignments), step)
    ]


def _place_unit(state, now_ms, unit, budget, assignments):
    for task_id in list(unit.task_ids):
        if len(assignments) >= budget:
            return
        task = state.machine.tasks.by_id[task_id]
        assignment = place(state, task)
        if assignment is None:
            unit.not_before_ms = now_ms + pending.BACKOFF_MS
            return
        assignments.append(assignment)


def demand_of(state, task):
    """Return what to reserve for a task that is about to start."""
    return capacity.Demand(
        cores=task.declared_cores,
        memory_mb=task.declared_memory_mb,
        accelerators=task.accelerators,
        connections=task.connections,
    )


def place(state, task):
    """Choose a worker and count the task there; None when there is no room."""
    demand = demand_of(state, task)
    candidates = state.free.candidates(demand, state.random, task_id=task.id)
    best = state.policy.choose(state, task, demand, candidates)
    if best is None:
        return None
    worker = state.machine.workers.by_upstream[best.upstream]
    assignment = commands.Assignment(
        task=task.id,
        epoch=task.epoch + 1,
        upstream=best.upstream,
        incarnation=worker.incarnation,
        cores=demand.cores,
        memory_mb=demand.memory_mb,
        accelerators=demand.accelerators,
        connections=demand.connections,
    )
    state.pending.remove(task.id)
    state.free.plan(task.id, assignment)
    return assignment
