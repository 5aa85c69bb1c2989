"""Decisions of a policy service on the workers that may run a step.

The design is made for a load of many small steps. The service takes half a second for
each question and answers one question of a caller at a time, so the agents ask on
behalf of the leader, and many steps are decided in parallel. A decision about a worker
is final, but its ticket is valid for a few seconds only; tickets are renewed for
workers with free resources.
"""

import logging

from sardinegauge import record
from sardinegauge.workflows import advicequestions

# Limit of the workers in one question, since the service takes time for each of them.
MAX_WORKERS_PER_QUESTION = 30
# The same for large gangs, which need all their tickets at the same time: the most that
# a service takes.
MAX_WORKERS_PER_GANG_QUESTION = 100
# Remaining validity that a ticket needs when a start is planned or ordered, so that it
# is still valid when the call reaches the worker; at most half of its whole validity,
# since a shorter one would otherwise never be used.
TICKET_MARGIN_MS = 300

log = logging.getLogger(__name__)


class Ticket:
    """A decision on a worker; the `text` is empty if it may not run the step.

    The worker takes it until `expires_ms`; it is used until `usable_until_ms`.
    """

    __slots__ = ("text", "expires_ms", "usable_until_ms")

    def __init__(self, text, expires_ms, now_ms):
        self.text = text
        self.expires_ms = expires_ms
        margin_ms = min(TICKET_MARGIN_MS, max(expires_ms - now_ms, 0) / 2)
        self.usable_until_ms = expires_ms - margin_ms


class DecisionCounts(record.Record):
    """Workers by what the service decided; `usable` have a ticket for a start now."""

    __slots__ = ("allowed", "refused", "usable")


class AdviceTracker:
    """The leader's record of the service's decisions; soft state.

    Steps are named ``workflow.occurrence.step``. `questions` are the
    `advicequestions.Questions` to the service.
    """

    __slots__ = ("_tickets_by_workflow", "questions")

    def __init__(self):
        self._tickets_by_workflow = {}
        self.questions = advicequestions.Questions()

    def _tickets_of_step(self, step):
        tickets_by_step = self._tickets_by_workflow.setdefault(step.split(".")[0], {})
        return tickets_by_step.setdefault(step, {})

    def ticket(self, step, worker, incarnation, now_ms):
        """Return the text of a ticket that is valid long enough, or an empty one."""
        ticket = self._tickets_of_step(step).get((worker, incarnation))
        if ticket is None or now_ms >= ticket.usable_until_ms:
            return ""
        return ticket.text

    def is_refused(self, step, worker, incarnation):
        """Return whether the service refused the worker for the step."""
        ticket = self._tickets_of_step(step).get((worker, incarnation))
        return ticket is not None and not ticket.text

    def request_tickets(self, step, candidates, advice, now_ms, gang_size=0):
        """Request the tickets that are missing to place tasks of a step.

        A question about a gang also renews the tickets that would end before its
        answer.

        Parameters
        ----------
        step : str
        candidates : list of (str, int, bool)
            Worker, incarnation, and whether it has room for a task, the best first.
        advice : queues.Advice
        now_ms : int
        gang_size : int
            Number of tasks that have to start together, 0 for a step without gangs.
        """
        if not self.questions.may_request(step, now_ms):
            return
        # Keep the pending requests for runs that are assigned but not ordered yet.
        pending_by_step = self.questions.pending_by_step
        missing, _ = pending_by_step.get(step, ([], advice))
        missing += self._missing(step, candidates, missing, now_ms)
        if not missing:
            return
        limit = MAX_WORKERS_PER_QUESTION
        if gang_size:
            limit = min(max(gang_size, limit), MAX_WORKERS_PER_GANG_QUESTION)
            count = min(len(candidates), limit)
            answer_ms = now_ms + advice.decide_ms + advice.each_ms * count
            missing += self._missing(step, candidates, missing, answer_ms)
        pending_by_step[step] = (missing[:limit], advice)

    def _missing(self, step, candidates, known, at_ms):
        """Return the candidates without a ticket for a start at a time."""
        tickets = self._tickets_of_step(step)
        found = []
        for worker, incarnation, has_room in candidates:
            if worker in known:
                continue
            ticket = tickets.get((worker, incarnation))
            is_usable = ticket is not None and at_ms < ticket.usable_until_ms
            if ticket is None or (ticket.text and has_room and not is_usable):
                found.append(worker)
        return found

    def record_answer(self, step, incarnation_by_worker, tickets, expires_ms, now_ms):
        """Record an answer, also one that comes after its question was dropped.

        A ticket that ends before the known one is not taken, since the answers of two
        agents may overtake each other.

        Parameters
        ----------
        step : str
        incarnation_by_worker : dict
            Incarnations of the workers in the question, by worker.
        tickets : dict
            Texts of the tickets by worker, for the workers that may run the step.
        expires_ms : int
            Time at which the tickets expire.
        now_ms : int
        """
        tickets_by_incarnation = self._tickets_of_step(step)
        for worker, incarnation in incarnation_by_worker.items():
            known = tickets_by_incarnation.get((worker, incarnation))
            text = tickets.get(worker, "")
            if known is None or not text or known.expires_ms < expires_ms:
                key = (worker, incarnation)
                tickets_by_incarnation[key] = Ticket(text, expires_ms, now_ms)
        log.info(
            "advice_received step=%s workers=%d allowed=%d",
            step,
            len(incarnation_by_worker),
            len(tickets),
        )

    def steps_of(self, workflow):
        """Return the steps of a workflow that the service was to be asked about."""
        return list(self._tickets_by_workflow.get(workflow, {}))

    def count_decisions(self, step, now_ms):
        """Return the `DecisionCounts` of a step."""
        tickets = self._tickets_of_step(step).values()
        return DecisionCounts(
            allowed=sum(bool(ticket.text) for ticket in tickets),
            usable=sum(
                bool(ticket.text) and now_ms < ticket.usable_until_ms
                for ticket in tickets
            ),
            refused=sum(not ticket.text for ticket in tickets),
        )

    def drop_ticket(self, step, worker, incarnation):
        """Drop a ticket that a worker refused."""
        tickets_by_step = self._tickets_by_workflow.get(step.split(".")[0], {})
        tickets_by_step.get(step, {}).pop((worker, incarnation), None)

    def drop_workflow(self, workflow):
        """Drop all decisions and questions about an ended workflow."""
        for step in self._tickets_by_workflow.pop(workflow, {}):
            self.questions.drop_step(step)
