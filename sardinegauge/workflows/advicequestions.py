"""Questions to the policy service: which agent asks, and what follows a failure.

The design is made for a service that some agents can't reach, and for one that is down.
A question without an answer goes to another agent, the one whose last failure is the
oldest. A failure that an agent reports says more about the service than about the
agent, so the step waits before it is asked about again.
"""

import logging

# An agent gives up a call this long after the time that the service takes to decide.
ANSWER_MARGIN_MS = 3000
# Another agent is asked this long after the time that the service takes to decide. The
# call of the first goes on, and its answer still counts.
OVERDUE_MARGIN_MS = 1000
# Both margins double with each failure of a step, up to this many times, for a service
# that takes longer than its terms say.
MAX_DOUBLINGS = 4
# Pause of a step after a failed call; it doubles with each failure up to the limit.
RETRY_MS = 300
MAX_RETRY_MS = 1000
# An agent that failed is chosen last for this long.
FAILURE_RETENTION_MS = 60_000

# How a question ended.
ANSWERED = "answered"
EXPIRED = "expired"
OVERDUE = "overdue"
FAILED = "failed"
ASKER_LOST = "asker_lost"

log = logging.getLogger(__name__)


class Question:
    """A question to the service.

    `asker` is the worker id of the agent that asks, whose call may take `limit_ms`.
    Tickets are valid for `valid_ms` unless the answer says otherwise.
    """

    __slots__ = (
        "asked_ms",
        "asker",
        "expires_ms",
        "limit_ms",
        "valid_ms",
        "workers",
    )

    def __init__(self, asker, workers, asked_ms, expires_ms, limit_ms, valid_ms):
        self.asker = asker
        self.workers = workers
        self.asked_ms = asked_ms
        self.expires_ms = expires_ms
        self.limit_ms = limit_ms
        self.valid_ms = valid_ms


class Ended:
    """A question that ended, and how: one of the constants of this module."""

    __slots__ = ("end", "lasted_ms", "step")

    def __init__(self, step, end, lasted_ms):
        self.step = step
        self.end = end
        self.lasted_ms = lasted_ms


class Attempts:
    """Questions about a step since its last answer.

    `asked` counts the questions, `failures` those without an answer that are the
    service's fault; `asker` and `reason` are those of the last one without an answer.
    The step isn't asked about before `retry_ms`.
    """

    __slots__ = ("asked", "asker", "failures", "reason", "retry_ms")

    def __init__(self):
        self.asked = 0
        self.failures = 0
        self.retry_ms = 0
        self.asker = ""
        self.reason = ""


class Questions:
    """The open questions and those to assign to agents next, in that order.

    Steps are named ``workflow.occurrence.step``. `pending_by_step` holds workers and
    the `queues.Advice` of the questions to assign.
    """

    __slots__ = (
        "_failed_ms_by_asker",
        "attempts_by_step",
        "by_step",
        "pending_by_step",
    )

    def __init__(self):
        self.by_step = {}
        self.pending_by_step = {}
        self.attempts_by_step = {}
        self._failed_ms_by_asker = {}

    def may_request(self, step, now_ms):
        """Return whether a question about a step may be requested."""
        if step in self.by_step:
            return False
        attempts = self.attempts_by_step.get(step)
        return attempts is None or now_ms >= attempts.retry_ms

    def assign(self, askers, now_ms):
        """Assign pending questions to agents without one, and return their workers.

        Requests that find no idle agent are dropped; the next plan repeats them.

        Parameters
        ----------
        askers : list of str
            Workers whose agents may ask.
        now_ms : int
        """
        busy_askers = {question.asker for question in self.by_step.values()}
        idle_askers = [worker for worker in askers if worker not in busy_askers]
        idle_askers.sort(key=lambda worker: self._failed_ms_by_asker.get(worker, 0))
        chosen = idle_askers[: len(self.pending_by_step)]
        for worker, (step, pending) in zip(chosen, list(self.pending_by_step.items())):
            self._ask(worker, step, *pending, now_ms)
        self.pending_by_step.clear()
        return chosen

    def _ask(self, asker, step, workers, advice, now_ms):
        attempts = self.attempts_by_step.setdefault(step, Attempts())
        attempts.asked += 1
        doubled = 2 ** min(attempts.failures, MAX_DOUBLINGS)
        cost_ms = advice.decide_ms + advice.each_ms * len(workers)
        self.by_step[step] = Question(
            asker,
            workers,
            now_ms,
            now_ms + cost_ms + OVERDUE_MARGIN_MS * doubled,
            cost_ms + ANSWER_MARGIN_MS * doubled,
            advice.valid_ms,
        )
        log.info(
            "advice_asked step=%s workers=%d asker=%s attempt=%d",
            step,
            len(workers),
            asker,
            attempts.asked,
        )

    def rows_for(self, asker):
        """Return rows of step and workers of the questions assigned to an agent."""
        return [
            [step, question.workers]
            for step, question in self.by_step.items()
            if question.asker == asker
        ]

    def terms_for(self, asker):
        """Return the terms of the questions assigned to an agent, by step.

        They are how long its call may take and how long tickets are valid, in ms. The
        agent counts from when it calls, since the service answers the calls of a caller
        in turn and goes on with one that its caller has given up.
        """
        return {
            step: [question.limit_ms, question.valid_ms]
            for step, question in self.by_step.items()
            if question.asker == asker
        }

    def end_unanswered(self, askers, now_ms):
        """End the questions that are overdue or whose agent is gone; return them.

        Parameters
        ----------
        askers : set of str
            Workers whose agents may ask.
        now_ms : int
        """
        ended = []
        for step, question in list(self.by_step.items()):
            if now_ms > question.expires_ms:
                self.attempts_by_step[step].failures += 1
                ended.append(self._end(step, OVERDUE, "no answer in time", now_ms))
            elif question.asker not in askers:
                ended.append(self._end(step, ASKER_LOST, "its agent is gone", now_ms))
        return ended

    def end_failed(self, asker, step, failed_ms, reason, now_ms):
        """End the question whose call has failed at its agent, and return it.

        Returns None if the failure is that of an earlier question.
        """
        question = self.by_step.get(step)
        if question is None or question.asker != asker or failed_ms < question.asked_ms:
            return None
        self._pause(step, now_ms)
        return self._end(step, FAILED, reason, now_ms)

    def end_expired(self, asker, step, now_ms):
        """End the question whose tickets have ended on arrival, and return it.

        Returns None if another agent asks by now, whose tickets may be in time.
        """
        question = self.by_step.get(step)
        if question is None or question.asker != asker:
            return None
        self._pause(step, now_ms)
        return self._end(step, EXPIRED, "the tickets ended before they came", now_ms)

    def _pause(self, step, now_ms):
        """Count a failure of the service, and let the step wait."""
        attempts = self.attempts_by_step[step]
        doubled = 2 ** min(attempts.failures, MAX_DOUBLINGS)
        attempts.failures += 1
        attempts.retry_ms = now_ms + min(RETRY_MS * doubled, MAX_RETRY_MS)

    def _end(self, step, end, reason, now_ms):
        question = self.by_step.pop(step)
        attempts = self.attempts_by_step[step]
        attempts.asker = question.asker
        attempts.reason = reason
        oldest_ms = now_ms - FAILURE_RETENTION_MS
        self._failed_ms_by_asker = {
            worker: failed_ms
            for worker, failed_ms in self._failed_ms_by_asker.items()
            if failed_ms > oldest_ms
        }
        self._failed_ms_by_asker[question.asker] = now_ms
        log.warning(
            "advice_missing step=%s asker=%s end=%s attempt=%d reason=%r",
            step,
            question.asker,
            end,
            attempts.asked,
            reason,
        )
        return Ended(step, end, now_ms - question.asked_ms)

    def end_answered(self, asker, step, workers, now_ms):
        """Record an answer; return the question that it settles, None without one."""
        self._failed_ms_by_asker.pop(asker, None)
        question = self.by_step.get(step)
        if question is not None and not set(question.workers) <= set(workers):
            return None
        self.attempts_by_step.pop(step, None)
        if question is None:
            return None
        del self.by_step[step]
        return Ended(step, ANSWERED, now_ms - question.asked_ms)

    def drop_step(self, step):
        """Drop what is kept about a step of an ended workflow."""
        self.by_step.pop(step, None)
        self.pending_by_step.pop(step, None)
        self.attempts_by_step.pop(step, None)
