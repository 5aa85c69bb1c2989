"""Text of `sardinegauge explain` about steps that a policy service decides on."""


def lines(state, id):
    """Return lines on what the leader knows of a workflow's steps from the service.

    Parameters
    ----------
    state : schedulerstate.State or None
        None if this replica has not begun to schedule yet.
    id : str
        Of a workflow, or of one of its steps or tasks.

    Returns
    -------
    list of str
        Empty unless a policy service was asked about the workflow since the leader
        began.
    """
    if state is None:
        return []
    tracker = state.advice_tracker
    workflow = state.store.workflow_by_id.get(id.split(".")[0])
    if workflow is None or not workflow.is_open:
        return []
    found = []
    for step in tracker.steps_of(workflow.id):
        if f"{step}.".startswith(f"{id}.") or f"{id}.".startswith(f"{step}."):
            found += _step_lines(state, step)
    return found


def _step_lines(state, step):
    tracker = state.advice_tracker
    counts = tracker.count_decisions(step, state.now_ms)
    found = [
        f"step {step}: the policy service allows {counts.allowed} workers, "
        f"{counts.usable} with a ticket that can be used, and refuses {counts.refused}"
    ]
    attempts = tracker.questions.attempts_by_step.get(step)
    if attempts is None:
        return found
    question = tracker.questions.by_step.get(step)
    if question is not None:
        found.append(
            f"step {step} waits for the policy service: {question.asker} asks for "
            f"{state.now_ms - question.asked_ms} ms about {len(question.workers)} "
            f"workers, question {attempts.asked} without an answer so far"
        )
    elif attempts.retry_ms > state.now_ms:
        found.append(
            f"step {step} is asked about again in {attempts.retry_ms - state.now_ms} ms"
        )
    if attempts.asker:
        found.append(
            f"step {step}: last without an answer was {attempts.asker}, "
            f"{attempts.reason}"
        )
    return found
