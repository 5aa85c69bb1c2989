"""Gradual eviction from draining workers, and withdrawal from drained domains."""

from sardinegauge.scheduling import preemption

# Evictions from one draining worker per second.
EVICTIONS_PER_WORKER_PER_S = 2
# Evictions from all draining workers per second, so that many simultaneous drains do
# not stop the replicas of many services at once.
EVICTIONS_PER_S = 20
# Time for an agent to report the start of a task that was assigned before its failure
# domain was drained: agents send a heartbeat every second.
START_REPORT_MS = 2_000


def evict_from_draining(state, now_ms):
    """Return the `EvictTasks` commands for draining workers that still have tasks.

    A service loses at most one replica at a time: none is evicted while another one is
    pending, starting or being evicted.
    """
    proposals, budget = [], EVICTIONS_PER_S
    evicted_services = set()
    for upstream in sorted(state.draining):
        tasks_to_evict = []
        for task_id in sorted(state.task_ids_by_upstream.get(upstream, ())):
            if len(tasks_to_evict) >= min(EVICTIONS_PER_WORKER_PER_S, budget):
                break
            task = state.machine.tasks.by_id[task_id]
            if task.state not in ("assigned", "running"):
                continue
            if ("evict", task.id, task.epoch) in state.in_flight:
                continue
            if task.service:
                if task.service in evicted_services or not _is_fully_running(
                    state, task.service
                ):
                    continue
                evicted_services.add(task.service)
            tasks_to_evict.append(task)
        if tasks_to_evict:
            budget -= len(tasks_to_evict)
            reason = f"{upstream} is draining"
            proposals.append(preemption.evict(state, now_ms, tasks_to_evict, reason))
    return proposals


def _is_fully_running(state, service_name):
    service = state.machine.services.by_name.get(service_name)
    if service is None:
        return True
    by_id = state.machine.tasks.by_id
    return all(
        by_id[id].state == "running" or by_id[id].has_ended for id in service.task_ids
    ) and not any(
        ("evict", id, by_id[id].epoch) in state.in_flight for id in service.task_ids
    )


def upstreams_of(state, failure_domain):
    """Return the workers in a failure domain."""
    return [
        worker.upstream
        for worker in state.machine.workers.by_upstream.values()
        if worker.failure_domain == failure_domain
    ]


def withdraw_from_drained_domains(state, now_ms):
    """Return the `EvictTasks` commands for tasks in drained domains that don't start.

    What runs there goes on, and ends there or is moved with its worker's own drain.
    """
    proposals = []
    for domain in state.machine.domain_drains.by_domain:
        for upstream in upstreams_of(state, domain):
            withdrawn = [
                task
                for task in map(
                    state.machine.tasks.by_id.get,
                    sorted(state.task_ids_by_upstream.get(upstream, ())),
                )
                if task.state == "assigned"
                and state.age_ms(task.changed_at_ms) >= START_REPORT_MS
                and ("evict", task.id, task.epoch) not in state.in_flight
            ]
            if withdrawn:
                reason = f"{domain} is drained"
                proposals.append(preemption.evict(state, now_ms, withdrawn, reason))
    return proposals
