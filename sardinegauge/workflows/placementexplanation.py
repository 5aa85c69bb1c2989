"""Explanation of where a task would start now, from the leader's soft state.

It uses the planner's candidates and scores and changes nothing. A task that waits
already has found no room in the last plan, so it would not be in the way.
"""

from sardinegauge.workflows import candidates, displacementrecords, displacing, steps
from sardinegauge.workflows import workflow as workflow_module

# Id of the workflow of the hypothetical task; ids of real ones hold no blank.
HYPOTHETICAL_ID = "next task"


def explain(state, arguments):
    """Return the worker that a task would start on, or what it would wait for.

    Parameters
    ----------
    state : schedulerstate.State or None
        None if this replica has not begun to schedule yet.
    arguments : dict
        ``queue``, and optionally ``cpu_millis``, ``memory_mb``, ``accelerators``,
        ``is_filler``, ``label``, ``image`` and ``target_ms`` of the task.

    Returns
    -------
    dict
        ``worker`` or ``waits_for``, and ``candidates``: dicts of ``worker``,
        ``ruled_out``, ``score`` and ``note``, the best first.

    Raises
    ------
    ValueError
        If the queue is unknown, or the leader has no state yet.
    """
    if state is None:
        raise ValueError("the leader has not begun to schedule yet")
    queue = state.store.queue_set.by_name.get(arguments["queue"])
    if queue is None:
        raise ValueError(f"no queue {arguments['queue']!r}")
    step = _step(arguments)
    usable = state.candidates.find_usable(state, state.now_ms)
    candidate_by_worker = {candidate.view.id: candidate for candidate in usable}
    rows = []
    fitting = []
    for view in state.view_by_id.values():
        candidate = candidate_by_worker.get(view.id)
        reason = _reason_against(state, queue, step, view, candidate)
        row = {"worker": view.id, "ruled_out": reason, "score": 0.0, "note": ""}
        if not reason:
            row["score"] = state.planner.placement.score(step, candidate, ())
            row["note"] = _note(state, queue, view)
            fitting.append(row)
        rows.append(row)
    # The planner, too, takes the first of equal scores.
    best = max(fitting, key=lambda row: row["score"], default=None)
    rows.sort(key=lambda row: (bool(row["ruled_out"]), -row["score"], row["worker"]))
    return {
        "worker": best["worker"] if best else "",
        "waits_for": "" if best else _wait(state, queue, step, usable),
        "candidates": rows,
    }


def _step(arguments):
    return steps.Step(
        cpu_millis=arguments.get("cpu_millis", 0),
        memory_mb=arguments.get("memory_mb", 0),
        accelerators=arguments.get("accelerators", 0),
        is_filler=arguments.get("is_filler", False),
        required_label=arguments.get("label", ""),
        image=arguments.get("image", ""),
        target_ms=arguments.get("target_ms", 0),
    )


def _reason_against(state, queue, step, view, candidate):
    """Return why a task can't start on a worker, empty if it can."""
    if view.pool != queue.pool:
        return f"pool {view.pool}"
    if step.required_label and step.required_label not in view.labels:
        return f"no label {step.required_label}"
    if candidate is None:
        return _reason_unusable(state, view)
    if len(state.store.runs_of(view.id, view.incarnation)) >= candidates.MAX_RUNS:
        return f"limit of {candidates.MAX_RUNS} runs"
    if candidate.reservation_count >= candidate.start_limit:
        return "suspected, since runs stood still or were slow there"
    if view.id in state.isolation.probe_by_worker:
        return "a suspected task runs alone there"
    if view.id in state.isolation.reservation_end_ms_by_worker:
        return "kept free for a suspected task"
    return _missing_room(candidate, step)


def _reason_unusable(state, view):
    if view.is_draining:
        return "draining"
    if view.failure_domain in state.domain_drains:
        return "in a drained failure domain"
    if not view.is_fresh(state.now_ms):
        return f"last report {state.now_ms - view.received_ms} ms ago"
    if not view.is_fresh(state.now_ms + view.lateness_ms):
        return f"last report came {view.lateness_ms} ms late"
    if view.is_lapsed:
        return "leases expired"
    if view.is_release_pending:
        return "its runs are being released"
    if not view.is_fenced:
        return "not fenced yet"
    if view.incarnation != state.registered_incarnation(view.id):
        return "not registered yet"
    return "not usable now"


def _missing_room(candidate, step):
    """Return which resources are short, as needed of free amounts."""
    needs = [
        (name, getattr(step, name), getattr(candidate.free, name))
        for name in candidate.free.field_names()
        if not (name == "cpu_millis" and step.is_filler)
    ]
    return ", ".join(
        f"{name} {needed:g} of {free:g} free"
        for name, needed, free in needs
        if needed > free
    )


def _note(state, queue, view):
    if state.health.is_backing_off(view.id):
        return "runs failed there lately, so it is chosen last"
    if queue.advice is not None:
        return "needs a ticket of the policy service"
    return ""


def _wait(state, queue, step, usable):
    """Return what a task that fits nowhere would wait for."""
    describer = displacementrecords.Describer(state)
    task = workflow_module.Task(HYPOTHETICAL_ID, step)
    claim = describer.claim(task, queue.priority)
    workers = [
        describer.worker(candidate.view, candidate.free, queue.priority + 1)
        for candidate in usable
        if candidate.view.pool == queue.pool
        and (not step.required_label or step.required_label in candidate.view.labels)
    ]
    limits = state.displacing.limits
    allowance = limits.allowance(state.now_ms)
    choice = state.displacing.policy.choose(claim, workers, allowance)
    if choice is None:
        return "room: no less urgent runs can be displaced for it now"
    if not choice.victims:
        return f"runs on {choice.worker} that are being stopped"
    tasks = ", ".join(victim.key[0] for victim in choice.victims)
    return (
        f"the displacement of {tasks} on {choice.worker}, if it finds no room for "
        f"{displacing.MIN_WAIT_MS} ms"
    )
