"""Questions to the policy service that an agent asks for the leader."""

from sardinegauge.workflows import hostevents

# Pause before a question without an answer is asked again.
RETRY_MS = 300


class HostedQuestion:
    """A question about a step; `tickets` are rows of worker and ticket, once known."""

    __slots__ = ("answered_ms", "is_open", "next_ms", "tickets", "valid_ms", "workers")

    def __init__(self, workers):
        self.workers = workers
        self.is_open = False
        self.next_ms = 0
        self.answered_ms = 0
        self.valid_ms = 0
        self.tickets = None


def take(state, rows):
    """Ask what the leader's orders list, and forget what they no longer do."""
    listed = dict(rows)
    for step in state.question_by_step.keys() - listed.keys():
        del state.question_by_step[step]
    for step, workers in listed.items():
        known = state.question_by_step.get(step)
        if known is None or known.workers != workers:
            state.question_by_step[step] = HostedQuestion(workers)
    retry(state)


def retry(state):
    """Ask the questions whose time has come."""
    for step, question in state.question_by_step.items():
        if question.is_open or question.tickets is not None:
            continue
        if state.now_ms >= question.next_ms:
            question.is_open = True
            state.effects.append(
                hostevents.AskAdvice(step=step, workers=question.workers)
            )


def on_advised(state, event):
    """Take an answer, or note that there was none."""
    question = state.question_by_step.get(event.step)
    if question is None or question.workers != event.workers:
        return
    question.is_open = False
    if event.tickets is None:
        question.next_ms = state.now_ms + RETRY_MS
        return
    question.tickets = event.tickets
    question.valid_ms = event.valid_ms
    question.answered_ms = state.now_ms
    state.report()


def rows(state):
    """Return the answers as rows of a `views.Report`."""
    return [
        [
            step,
            question.workers,
            question.tickets,
            question.valid_ms - (state.now_ms - question.answered_ms),
        ]
        for step, question in state.question_by_step.items()
        if question.tickets is not None
    ]
