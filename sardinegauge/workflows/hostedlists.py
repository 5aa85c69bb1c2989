"""The lists of active and ended runs that a worker returns to an agent's hold."""

import logging

from sardinegauge import checkpoints
from sardinegauge.workflows import hostedruns, hoststate, views

# Limit of the worker for the ends in one answer. A full list may lack further ends, so
# a run that is missing from it is not taken to be gone.
MAX_LISTED_ENDS = 500
log = logging.getLogger(__name__)


def record_ends(state, ended):
    """Record the listed ends that are not known yet, and report them."""
    for end in ended:
        number, task_id, run_number, how, checkpoint = end
        if number <= state.seen_end or number in state.ends:
            continue
        key = (task_id, run_number)
        checkpoint = _usable_checkpoint(state, key, checkpoint)
        state.ends[number] = [number, task_id, run_number, how, checkpoint]
        log.info(
            "run_ended task=%s run=%d number=%d how=%s",
            task_id,
            run_number,
            number,
            how,
        )
        state.runs.pop(key, None)
        state.report()


def _usable_checkpoint(state, key, checkpoint):
    """Return a listed checkpoint, or the one before if the log can't hold it."""
    if checkpoints.is_storable(checkpoint):
        return checkpoint
    log.warning(
        "checkpoint_not_used task=%s run=%d length=%d limit=%d",
        *key,
        len(checkpoint),
        checkpoints.MAX_LENGTH,
    )
    run = state.runs.get(key)
    return run.saved_checkpoint if run is not None else ""


def update_runs(state, call, answer):
    """Update the runs from the list of a hold.

    A run that is missing from it is gone only if the list was requested after the last
    answer about the run: calls on different connections overtake each other.
    """
    listed_keys = set()
    ended_keys = {
        (task_id, run_number) for _, task_id, run_number, _, _ in state.ends.values()
    }
    for task_id, run_number, checkpoint, progress, load in answer.running:
        key = (task_id, run_number)
        listed_keys.add(key)
        if key in ended_keys:
            continue
        run = state.runs.get(key)
        if run is None:
            run = state.runs[key] = hoststate.HostedRun(views.ORDERED)
            # A former process of the agent may have set it.
            run.cpu_cap = views.UNKNOWN_CPU_CAP
        if run.phase in (views.ORDERED, views.GONE):
            hostedruns.mark_active(state, key, run, "list")
        run.last_answer_event = state.event_number
        run.saved_checkpoint = _usable_checkpoint(state, key, checkpoint)
        run.progress = progress
        run.load = load
    if len(answer.ended) >= MAX_LISTED_ENDS:
        return
    for key, run in list(state.runs.items()):
        if key in listed_keys or call.event_number < run.last_answer_event:
            continue
        is_started = run.phase == views.ACTIVE
        if is_started or (run.phase == views.STOPPING and run.is_stop_answered):
            run.reason = run.reason or "not running"
            run.phase = views.GONE
            state.report()
