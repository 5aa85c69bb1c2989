"""Whether a worker may take the tasks of a step at all, whatever room it has."""

from sardinegauge.workflows import decisions


def reason_against(state, workflow, step, view):
    """Return why tasks of a step may not be on a worker, or "" if they may.

    The pool of a queue changes with the configuration, and the pool and the labels of a
    worker with its reports, so what held for a decision may not hold later.
    """
    if view.pool != state.store.queue_of(workflow).pool:
        return decisions.POOL
    if step.required_label and step.required_label not in view.labels:
        return decisions.LABEL
    return ""
