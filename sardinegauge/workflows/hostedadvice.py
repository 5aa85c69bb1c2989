"""Questions that an agent sends to the policy service on behalf of the leader.

The service answers the calls of one caller in turn and finishes a call that its caller
has given up. An agent therefore has one call open at a time and waits for its end, also
if the leader no longer lists the question: the answer has taken the service's time.
"""

from sardinegauge.workflows import hostevents

# Pause before an unanswered question is sent again.
RETRY_MS = 300
# Time for which a failed call is reported. A leader of an earlier release refuses such
# reports, so they must not go on.
FAILURE_REPORT_MS = 1000
MAX_REASON_LENGTH = 200
# Limit of a call for a leader of an earlier release, which names none.
DEFAULT_LIMIT_MS = 2000


class HostedQuestion:
    """A question about a step, whose call may take `limit_ms`.

    Tickets are valid for `valid_ms` unless the answer says otherwise. `has_terms` is
    whether the leader names these times, as it then takes reports of failures.
    """

    __slots__ = (
        "has_terms",
        "limit_ms",
        "next_ask_ms",
        "step",
        "valid_ms",
        "workers",
    )

    def __init__(self, step, workers):
        self.step = step
        self.workers = workers
        self.has_terms = False
        self.limit_ms = DEFAULT_LIMIT_MS
        self.valid_ms = 0
        self.next_ask_ms = 0

    def covers(self, workers):
        """Return whether an answer to this question is one about all the workers."""
        return set(workers) <= set(self.workers)


class HostedAnswer:
    """An answer to a question, to report until the leader has received it.

    `tickets` are rows of worker and ticket, valid for `valid_ms` from `answered_ms`.
    """

    __slots__ = ("answered_ms", "question", "tickets", "valid_ms")

    def __init__(self, question, tickets, valid_ms, answered_ms):
        self.question = question
        self.tickets = tickets
        self.valid_ms = valid_ms
        self.answered_ms = answered_ms


class HostedFailure:
    """A failed call, to report until the leader has received it."""

    __slots__ = ("failed_ms", "reason", "step")

    def __init__(self, step, reason, failed_ms):
        self.step = step
        self.reason = reason
        self.failed_ms = failed_ms


def update_questions(state, questions, terms_by_step, report_sent_ms):
    """Apply the list of questions in the leader's orders.

    Parameters
    ----------
    state : hoststate.State
    questions : list
        Rows of step and workers.
    terms_by_step : dict
        Times in ms that a call may take and that tickets are valid, by step.
    report_sent_ms : int
        When the report that the orders answer was sent; 0 for pushed orders.
    """
    # Orders that answer a later report come from a leader that has the answers.
    state.advice_answers = [
        answer
        for answer in state.advice_answers
        if report_sent_ms <= answer.answered_ms
    ]
    state.advice_failures = [
        failure
        for failure in state.advice_failures
        if report_sent_ms <= failure.failed_ms
    ]
    known_by_step = state.question_by_step
    state.question_by_step = {}
    for step, workers in questions:
        if any(
            _covers(answer.question, step, workers) for answer in state.advice_answers
        ):
            continue
        question = known_by_step.get(step)
        if _covers(state.open_question, step, workers):
            question = state.open_question
        elif question is None or not question.covers(workers):
            question = HostedQuestion(step, workers)
        question.has_terms = step in terms_by_step
        question.limit_ms, question.valid_ms = terms_by_step.get(
            step, (DEFAULT_LIMIT_MS, 0)
        )
        state.question_by_step[step] = question
    send_due_questions(state)


def _covers(question, step, workers):
    return question is not None and question.step == step and question.covers(workers)


def send_due_questions(state):
    """Send the next question that is due, unless a call is under way."""
    if state.open_question is not None:
        return
    for question in state.question_by_step.values():
        if state.now_ms >= question.next_ask_ms:
            state.open_question = question
            state.effects.append(
                hostevents.AskAdvice(
                    step=question.step,
                    workers=question.workers,
                    limit_ms=question.limit_ms,
                )
            )
            return


def on_advice_received(state, event):
    """Record the answer to the open question, or schedule the question again."""
    question = state.open_question
    if question is None:
        return
    state.open_question = None
    if event.tickets is None:
        question.next_ask_ms = state.now_ms + RETRY_MS
        if question.has_terms:
            reason = event.reason[:MAX_REASON_LENGTH]
            failure = HostedFailure(question.step, reason, state.now_ms)
            state.advice_failures = [*_recent_failures(state), failure]
            state.report()
    else:
        valid_ms = event.valid_ms if event.valid_ms is not None else question.valid_ms
        answer = HostedAnswer(question, event.tickets, valid_ms, state.now_ms)
        state.advice_answers.append(answer)
        listed = state.question_by_step.get(question.step)
        if listed is not None and question.covers(listed.workers):
            del state.question_by_step[question.step]
        state.report()
    send_due_questions(state)


def report_rows(state):
    """Return the answers as rows of a `views.Report`, with their remaining validity."""
    return [
        [
            answer.question.step,
            answer.question.workers,
            answer.tickets,
            answer.valid_ms - (state.now_ms - answer.answered_ms),
        ]
        for answer in state.advice_answers
    ]


def _recent_failures(state):
    oldest_ms = state.now_ms - FAILURE_REPORT_MS
    return [
        failure for failure in state.advice_failures if failure.failed_ms >= oldest_ms
    ]


def failure_rows(state):
    """Return the failed calls as rows of a `views.Report`, with their age."""
    return [
        [failure.step, state.now_ms - failure.failed_ms, failure.reason]
        for failure in _recent_failures(state)
    ]
