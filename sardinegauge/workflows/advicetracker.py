"""Decisions of a policy service on the workers that may run a step.

The design is made for a load of many small steps. The service takes half a second for
each question and answers one question of a caller at a time, so the agents ask on
behalf of the leader, and many steps are decided in parallel. A decision about a worker
is final, but its ticket is valid for a few seconds only; tickets are renewed for
workers with free resources.
"""

import logging

# Limit of the workers in one question, since the service takes time for each of them.
MAX_WORKERS_PER_QUESTION = 30
# Remaining validity that a ticket needs when a start is planned or ordered, so that it
# is still valid when the call reaches the worker.
TICKET_MARGIN_MS = 300
# A call is given up this long after the time that the service takes to decide.
ANSWER_MARGIN_MS = 3000

log = logging.getLogger(__name__)


class Ticket:
    """A decision on a worker; the `text` is empty if it may not run the step."""

    __slots__ = ("text", "expires_ms")

    def __init__(self, text, expires_ms):
        self.text = text
        self.expires_ms = expires_ms


class Question:
    """A question to the service.

    `asker` is the worker id of the agent that asks, whose call may take `limit_ms`.
    """

    __slots__ = ("asker", "expires_ms", "limit_ms", "workers")

    def __init__(self, asker, workers, expires_ms, limit_ms):
        self.asker = asker
        self.workers = workers
        self.expires_ms = expires_ms
        self.limit_ms = limit_ms


class AdviceTracker:
    """The leader's record of the service's decisions; soft state.

    Steps are named ``workflow.occurrence.step``. `question_by_step` holds the questions
    of agents, `pending_by_step` the workers and the advice settings of the questions to
    assign to agents next, in that order.
    """

    __slots__ = ("_tickets_by_workflow", "question_by_step", "pending_by_step")

    def __init__(self):
        self._tickets_by_workflow = {}
        self.question_by_step = {}
        self.pending_by_step = {}

    def _tickets_of_step(self, step):
        tickets_by_step = self._tickets_by_workflow.setdefault(step.split(".")[0], {})
        return tickets_by_step.setdefault(step, {})

    def ticket(self, step, worker, incarnation, now_ms):
        """Return the text of a ticket that is valid long enough, or an empty one."""
        ticket = self._tickets_of_step(step).get((worker, incarnation))
        if ticket is None or now_ms + TICKET_MARGIN_MS > ticket.expires_ms:
            return ""
        return ticket.text

    def is_refused(self, step, worker, incarnation):
        """Return whether the service refused the worker for the step."""
        ticket = self._tickets_of_step(step).get((worker, incarnation))
        return ticket is not None and not ticket.text

    def request_tickets(self, step, candidates, advice, now_ms):
        """Request the tickets that are missing to place tasks of a step.

        Parameters
        ----------
        step : str
        candidates : list of (str, int, bool)
            Worker, incarnation, and whether it has room for a task, the best first.
        advice : queues.Advice
        now_ms : int
        """
        if step in self.question_by_step:
            return
        tickets = self._tickets_of_step(step)
        # Keep the pending requests for runs that are assigned but not ordered yet.
        missing, _ = self.pending_by_step.get(step, ([], advice))
        for worker, incarnation, has_room in candidates:
            if worker in missing:
                continue
            ticket = tickets.get((worker, incarnation))
            is_valid = (
                ticket is not None and now_ms + TICKET_MARGIN_MS < ticket.expires_ms
            )
            if ticket is None or (ticket.text and has_room and not is_valid):
                missing.append(worker)
        if missing:
            del missing[MAX_WORKERS_PER_QUESTION:]
            self.pending_by_step[step] = (missing, advice)

    def expire_questions(self, now_ms):
        """Drop the questions whose agent reported no answer in time."""
        for step, question in list(self.question_by_step.items()):
            if now_ms > question.expires_ms:
                log.warning("advice_missing step=%s asker=%s", step, question.asker)
                del self.question_by_step[step]

    def assign_questions(self, askers, now_ms):
        """Assign pending questions to agents without one, and return their workers.

        Requests that find no idle agent are dropped; the next plan repeats them.

        Parameters
        ----------
        askers : list of str
            Workers whose agents may ask.
        now_ms : int
        """
        busy_askers = {question.asker for question in self.question_by_step.values()}
        idle_askers = [worker for worker in askers if worker not in busy_askers]
        chosen = idle_askers[: len(self.pending_by_step)]
        for worker, (step, pending) in zip(chosen, list(self.pending_by_step.items())):
            workers, advice = pending
            cost_ms = advice.decide_ms + advice.each_ms * len(workers)
            limit_ms = cost_ms + ANSWER_MARGIN_MS
            expires_ms = now_ms + limit_ms
            question = Question(worker, workers, expires_ms, limit_ms)
            self.question_by_step[step] = question
            log.info(
                "advice_asked step=%s workers=%d asker=%s", step, len(workers), worker
            )
        self.pending_by_step.clear()
        return chosen

    def questions_for(self, asker):
        """Return rows of step and workers of the questions assigned to an agent."""
        return [
            [step, question.workers]
            for step, question in self.question_by_step.items()
            if question.asker == asker
        ]

    def limits_for(self, asker):
        """Return how long an agent's calls may take, in ms by step.

        The agent counts from when it calls, since the service answers the calls of a
        caller in turn and goes on with one that its caller has given up.
        """
        return {
            step: question.limit_ms
            for step, question in self.question_by_step.items()
            if question.asker == asker
        }

    def record_answer(self, step, incarnation_by_worker, tickets, expires_ms):
        """Record the answer to a question.

        Parameters
        ----------
        step : str
        incarnation_by_worker : dict
            Incarnations of the workers in the question, by worker.
        tickets : dict
            Texts of the tickets by worker, for the workers that may run the step.
        expires_ms : int
            Time at which the tickets expire.
        """
        self.question_by_step.pop(step, None)
        tickets_by_incarnation = self._tickets_of_step(step)
        for worker, incarnation in incarnation_by_worker.items():
            tickets_by_incarnation[worker, incarnation] = Ticket(
                tickets.get(worker, ""), expires_ms
            )
        log.info(
            "advice_received step=%s workers=%d allowed=%d",
            step,
            len(incarnation_by_worker),
            len(tickets),
        )

    def drop_ticket(self, step, worker, incarnation):
        """Drop a ticket that a worker refused."""
        tickets_by_step = self._tickets_by_workflow.get(step.split(".")[0], {})
        tickets_by_step.get(step, {}).pop((worker, incarnation), None)

    def drop_workflow(self, workflow):
        """Drop all decisions and questions about an ended workflow."""
        for step in self._tickets_by_workflow.pop(workflow, {}):
            self.question_by_step.pop(step, None)
            self.pending_by_step.pop(step, None)
