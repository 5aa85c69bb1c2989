"""Questions that an agent sends to the policy service on behalf of the leader."""

from sardinegauge.workflows import hostevents

# Pause before an unanswered question is sent again.
RETRY_MS = 300


class HostedQuestion:
    """A question about a step.

    `tickets` are the rows of worker and ticket of the answer, None until it arrives.
    `is_open` while a call to the service is under way.
    """

    __slots__ = (
        "answered_ms",
        "is_open",
        "next_ask_ms",
        "tickets",
        "valid_ms",
        "workers",
    )

    def __init__(self, workers):
        self.workers = workers
        self.is_open = False
        self.next_ask_ms = 0
        self.answered_ms = 0
        self.valid_ms = 0
        self.tickets = None


def update_questions(state, questions):
    """Send the questions in the leader's orders, and drop those no longer listed."""
    workers_by_step = dict(questions)
    for step in state.question_by_step.keys() - workers_by_step.keys():
        del state.question_by_step[step]
    for step, workers in workers_by_step.items():
        question = state.question_by_step.get(step)
        if question is None or question.workers != workers:
            state.question_by_step[step] = HostedQuestion(workers)
    send_due_questions(state)


def send_due_questions(state):
    """Send the unanswered questions that are due."""
    for step, question in state.question_by_step.items():
        if question.is_open or question.tickets is not None:
            continue
        if state.now_ms >= question.next_ask_ms:
            question.is_open = True
            state.effects.append(
                hostevents.AskAdvice(step=step, workers=question.workers)
            )


def on_advice_received(state, event):
    """Record the answer to a question, or schedule the question again."""
    question = state.question_by_step.get(event.step)
    if question is None or question.workers != event.workers:
        return
    question.is_open = False
    if event.tickets is None:
        question.next_ask_ms = state.now_ms + RETRY_MS
        return
    question.tickets = event.tickets
    question.valid_ms = event.valid_ms
    question.answered_ms = state.now_ms
    state.report()


def report_rows(state):
    """Return the answers as rows of a `views.Report`, with their remaining validity."""
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
