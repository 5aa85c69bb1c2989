"""Moves work away from draining workers, a little at a time."""

from sardinegauge.scheduling import preemption

# Tasks that start to leave one draining worker per second.
MOVES_PER_S = 2
# Tasks that start to leave all draining workers per second, so that many drains at
# once do not empty the services together.
MOVES_PER_S_FLEET = 20


def move(state, now_ms):
    """Return an `EvictTasks` for each draining worker that still holds tasks.

    A service loses at most one replica at a time: no replica leaves while another one
    waits for a place or is on its way.
    """
    proposals, budget = [], MOVES_PER_S_FLEET
    moving = set()
    for upstream in sorted(state.draining):
        chosen = []
        for task_id in sorted(state.ids_by_upstream.get(upstream, ())):
            if len(chosen) >= min(MOVES_PER_S, budget):
                break
            task = state.machine.tasks.by_id[task_id]
            if task.state not in ("assigned", "running"):
                continue
            if ("evict", task.id, task.epoch) in state.in_flight:
                continue
            if task.service:
                if task.service in moving or not _is_complete(state, task.service):
                    continue
                moving.add(task.service)
            chosen.append(task)
        if chosen:
            budget -= len(chosen)
            reason = f"{upstream} is draining"
            proposals.append(preemption.evict(state, now_ms, chosen, reason))
    return proposals


def _is_complete(state, name):
    service = state.machine.services.by_name.get(name)
    if service is None:
        return True
    by_id = state.machine.tasks.by_id
    return all(
        by_id[id].state == "running" or by_id[id].has_ended for id in service.task_ids
    ) and not any(
        ("evict", id, by_id[id].epoch) in state.in_flight for id in service.task_ids
    )
