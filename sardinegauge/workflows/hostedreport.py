"""An agent's report of its worker and the worker's runs, as fields of a message."""

from sardinegauge.workflows import hostedadvice, hostedcrash


def report_fields(state):
    """Return the fields of a `views.Report`, empty before the first announcement."""
    announcement = state.announcement
    if announcement is None:
        return {}
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
        "runs": [
            [
                *key,
                run.phase,
                run.saved_checkpoint,
                run.progress,
                run.load,
                run.reason,
                run.cpu_cap,
                hostedcrash.survived_ms(state, run),
            ]
            for key, run in state.runs.items()
        ],
        "ends": [state.ends[number] for number in sorted(state.ends)],
        "advice": hostedadvice.report_rows(state),
    }
    if announcement.cold_ms > 0:
        # Leaders of earlier releases refuse a report with this field.
        fields["cold_ms"] = announcement.cold_ms
    crash = hostedcrash.report_field(state)
    if crash is not None:
        fields["crash"] = crash
    return fields
