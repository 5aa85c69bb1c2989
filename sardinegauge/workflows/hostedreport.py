"""An agent's report of its worker and the worker's runs, as fields of a message.

A report has a limit of size, as the leader closes the link for a message that is too
large. Ends that are left out follow in the next report, once the leader has recorded
the others. Checkpoints that are left out follow in turn.
"""

import json
import logging

from sardinegauge.workflows import hostedadvice, hostedcrash

# Limits of the parts whose size depends on what workers list. With the rows of as many
# runs as the leader places on a worker, a report fits a message of 1 MiB.
MAX_ENDS_BYTES = 128 << 10
MAX_CHECKPOINTS_BYTES = 128 << 10
# Size of an end beside its checkpoint: two numbers, a task id, how, and punctuation.
END_BYTES = 200

log = logging.getLogger(__name__)


def report_fields(state):
    """Return the fields of a `views.Report`, empty before the first announcement."""
    announcement = state.announcement
    if announcement is None:
        return {}
    ends = _bounded_ends(state)
    run_rows = _run_rows(state)
    if state.unreported_count:
        log.info(
            "report_cut worker=%s left_out=%d",
            announcement.worker,
            state.unreported_count,
        )
    fields = {
        "pool": announcement.pool,
        "failure_domain": announcement.failure_domain,
        "rack": announcement.rack,
        "labels": announcement.labels,
        "cpu_millis": announcement.cpu_millis,
        "memory_mb": announcement.memory_mb,
        "accelerators": announcement.accelerators,
        "is_draining": state.is_draining,
        "remaining_ms": announcement.remaining_ms,
        "is_fenced": state.is_fenced and state.is_responsive,
        "is_lapsed": state.is_lapsed,
        "seen_end": state.seen_end,
        "runs": run_rows,
        "ends": ends,
        "advice": hostedadvice.report_rows(state),
    }
    if announcement.cold_ms > 0:
        # Leaders of earlier releases refuse a report with this field.
        fields["cold_ms"] = announcement.cold_ms
    advice_failures = hostedadvice.failure_rows(state)
    if advice_failures:
        fields["advice_failures"] = advice_failures
    crash = hostedcrash.report_field(state)
    if crash is not None:
        fields["crash"] = crash
    return fields


def _bounded_ends(state):
    """Return the ends with the lowest numbers, as many as fit."""
    ends = []
    size = 0
    for number in sorted(state.ends):
        end = state.ends[number]
        size += END_BYTES + len(json.dumps(end[-1]))
        if ends and size > MAX_ENDS_BYTES:
            break
        ends.append(end)
    state.unreported_count = len(state.ends) - len(ends)
    return ends


def _run_rows(state):
    left_out_keys = _choose_checkpoints(state)
    state.unreported_count += len(left_out_keys)
    return [
        [
            *key,
            run.phase,
            "" if key in left_out_keys else run.saved_checkpoint,
            run.progress,
            run.load,
            run.reason,
            run.cpu_cap,
            hostedcrash.survived_ms(state, run),
        ]
        for key, run in state.runs.items()
    ]


def _choose_checkpoints(state):
    """Choose the checkpoints to report, and return the runs whose ones don't fit.

    Those that were not reported for longest go first.
    """
    sizes = {
        key: len(json.dumps(run.saved_checkpoint))
        for key, run in state.runs.items()
        if run.saved_checkpoint
    }
    if sum(sizes.values()) <= MAX_CHECKPOINTS_BYTES:
        return frozenset()
    left_out_keys = set()
    size = 0
    for key in sorted(sizes, key=lambda key: state.runs[key].checkpoint_reported_event):
        size += sizes[key]
        if size > MAX_CHECKPOINTS_BYTES:
            left_out_keys.add(key)
        else:
            state.runs[key].checkpoint_reported_event = state.event_number
    return left_out_keys
