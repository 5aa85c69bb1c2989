"""Orders for a worker: what its agent's last report lacks compared with the store."""

import json

from sardinegauge.workflows import draining, views


def encode(state, worker, incarnation):
    """Return the orders for a worker as JSON bytes.

    The orders hold starts as rows of task, run, payload, checkpoint, ticket and CPU
    cap; ordered starts that stay in force, in `still_ordered`, as rows of task and run;
    stops, and runs for the agent to forget, as rows of task and run; CPU caps, in
    `paces`, as rows of task, run and percent; questions to the policy service as rows
    of step and workers; the number of the last recorded end; and the incarnation of the
    last recorded crash. A worker is watched while it runs both latency-critical and
    best-effort tasks.
    """
    view = state.view_by_id.get(worker)
    body = {
        "seen_end": 0,
        "starts": [],
        "still_ordered": [],
        "stops": [],
        "forget": [],
        "paces": [],
        "is_watched": False,
        "questions": state.advice_tracker.questions_for(worker),
        "crash_seen": 0,
    }
    if (
        view is None
        or view.incarnation != incarnation
        or state.registered_incarnation(worker) != incarnation
    ):
        return json.dumps(body).encode()
    body["crash_seen"] = state.crash_by_agent.get(view.agent, 0)
    body["seen_end"] = state.store.worker_by_id[worker].seen_end
    runs = state.store.runs_of(worker, incarnation)
    body["is_watched"] = any(task.step.target_ms for task in runs.values()) and any(
        task.step.is_filler for task in runs.values()
    )
    for key, task in runs.items():
        workflow, _, _ = state.store.find_task(task.id)
        reported = view.runs.get(key)
        if not workflow.is_open or task.is_done or key in state.stop_reason_by_run:
            if reported is None or reported.phase in (views.ORDERED, views.ACTIVE):
                body["stops"].append(list(key))
        elif (
            reported is None and key not in view.ended and _may_start_runs(state, view)
        ):
            ticket = ""
            if state.store.queue_of(workflow).advice is not None:
                step = task.id.rpartition(".")[0]
                ticket = state.advice_tracker.ticket(
                    step, worker, incarnation, state.now_ms
                )
                if not ticket:
                    continue
            cpu_cap = state.cpu_cap_by_run.get(key, 100)
            start = [*key, workflow.payload, task.checkpoint, ticket, cpu_cap]
            body["starts"].append(start)
        elif draining.may_repeat_start(state, view, key):
            body["still_ordered"].append(list(key))
        elif reported is not None and reported.phase == views.ACTIVE:
            cpu_cap = state.cpu_cap_by_run.get(key, 100)
            if cpu_cap != reported.cpu_cap:
                body["paces"].append([*key, cpu_cap])
    for key, reported in view.runs.items():
        if key in runs or key in state.end_ms_by_recent_run:
            if reported.phase == views.GONE and key not in runs:
                body["forget"].append(list(key))
        elif reported.phase == views.GONE:
            body["forget"].append(list(key))
        elif reported.phase != views.STOPPING:
            body["stops"].append(list(key))
    return json.dumps(body, separators=(",", ":")).encode()


def _may_start_runs(state, view):
    """Return whether starts may be ordered.

    Before its worker is fenced, a restarted agent does not know the active runs.
    """
    return (
        view.is_fenced
        and not view.is_release_pending
        and not draining.is_drained(state, view)
    )
