"""Directives: for each agent, the complete list of orders for its tasks."""

from sardinegauge.links import messages

# Action that a directive orders for a task placed at its worker, by the task's state. A
# placed task in any other state is ordered to stop.
ACTION_BY_STATE = {"assigned": "run", "running": "run", "evicting": "evict"}


def build(state, upstream, sequence=0):
    """Return the directive for one upstream; `sequence` 0 marks a push.

    The list of orders is cached until `invalidate` is called for the upstream, since
    most heartbeats are answered with an unchanged list. Callers must not change it.
    """
    orders = state.orders_by_upstream.get(upstream)
    if orders is None:
        orders = _orders(state, upstream)
        state.orders_by_upstream[upstream] = orders
    return messages.Directive(sequence=sequence, tasks=orders)


def build_empty(sequence, reason):
    """Return a directive without tasks for an agent that is not registered."""
    return messages.Directive(sequence=sequence, reason=reason)


def invalidate(state, upstream):
    """Remove the cached orders of an upstream after a change of its tasks."""
    state.orders_by_upstream.pop(upstream, None)


def _orders(state, upstream):
    worker = state.machine.workers.by_upstream.get(upstream)
    if worker is None or worker.is_lost:
        return []
    by_id = state.machine.tasks.by_id
    held = [by_id[task_id] for task_id in sorted(worker.task_ids) if task_id in by_id]
    # Tasks of an earlier incarnation keep their reservations until its lease has ended,
    # but the agent of the new incarnation has no record of them and would start the
    # same epoch a second time.
    return [
        _order(state, task) for task in held if task.incarnation == worker.incarnation
    ]


def _order(state, task):
    """Return the order of one task, reusing the previous record if it is unchanged."""
    action = ACTION_BY_STATE.get(task.state, "stop")
    throttle = state.throttle_by_task.get(task.id, 1.0)
    known = state.order_by_task.get(task.id)
    if (
        known is not None
        and known.epoch == task.epoch
        and known.action == action
        and known.cores == task.cores
        and known.memory_mb == task.memory_mb
        and known.throttle == throttle
        and known.checkpoint == task.checkpoint
    ):
        return known
    order = messages.TaskOrder(
        task=task.id,
        epoch=task.epoch,
        action=action,
        tenant=task.tenant,
        job=task.job or task.service,
        task_class=task.task_class,
        cores=task.cores,
        memory_mb=task.memory_mb,
        accelerators=task.accelerators,
        connections=task.connections,
        command=task.command,
        checkpoint=task.checkpoint,
        throttle=throttle,
    )
    state.order_by_task[task.id] = order
    return order
