"""Which workers may run a step, where a policy service decides.

It answers a load of many small steps while each question takes the service half a
second and one caller gets one answer at a time: the agents ask, so that many steps are
decided side by side. What an answer says of a worker holds for good, but the ticket
that it brings only for some seconds; it is renewed for workers that have room.
"""

import logging

# Workers named in one question; each of them costs time.
MAX_ASKED = 30
# A ticket must last this long when a start is planned, to be valid at the worker.
TICKET_MARGIN_MS = 300
# An agent that brought no answer after this and the time to decide isn't waited for.
PATIENCE_MS = 3000

log = logging.getLogger(__name__)


class Ticket:
    """Leave for a worker to run a step; an empty `text` says that it may not."""

    __slots__ = ("text", "expires_ms")

    def __init__(self, text, expires_ms):
        self.text = text
        self.expires_ms = expires_ms


class Question:
    """A question that an agent asks; `asker` is the id of the worker beside it."""

    __slots__ = ("asker", "expires_ms", "workers")

    def __init__(self, asker, workers, expires_ms):
        self.asker = asker
        self.workers = workers
        self.expires_ms = expires_ms


class Advising:
    """What the leader knows of the service's decisions; soft state.

    Steps are named ``workflow.occurrence.step``. `question_by_step` holds what is being
    asked, `wanted_by_step` what shall be asked next, in that order.
    """

    __slots__ = ("_tickets_by_workflow", "question_by_step", "wanted_by_step")

    def __init__(self):
        self._tickets_by_workflow = {}
        self.question_by_step = {}
        self.wanted_by_step = {}

    def _tickets(self, step):
        by_step = self._tickets_by_workflow.setdefault(step.split(".")[0], {})
        return by_step.setdefault(step, {})

    def ticket(self, step, worker, life, now_ms):
        """Return the text of a ticket that is valid long enough, or an empty one."""
        found = self._tickets(step).get((worker, life))
        if found is None or now_ms + TICKET_MARGIN_MS > found.expires_ms:
            return ""
        return found.text

    def is_refused(self, step, worker, life):
        """Tell whether a worker may not run the step."""
        found = self._tickets(step).get((worker, life))
        return found is not None and not found.text

    def want(self, step, candidates, advice, now_ms):
        """Ask for what is missing to place tasks of a step.

        Parameters
        ----------
        step : str
        candidates : list of (str, int, bool)
            Worker, life, and whether it has room for a task, the best first.
        advice : queues.Advice
        now_ms : int
        """
        if step in self.question_by_step:
            return
        tickets = self._tickets(step)
        # Runs that were assigned but not ordered yet may wait for tickets as well.
        missing, _ = self.wanted_by_step.get(step, ([], advice))
        for worker, life, has_room in candidates:
            if worker in missing:
                continue
            found = tickets.get((worker, life))
            is_valid = (
                found is not None and now_ms + TICKET_MARGIN_MS < found.expires_ms
            )
            if found is None or (found.text and has_room and not is_valid):
                missing.append(worker)
        if missing:
            del missing[MAX_ASKED:]
            self.wanted_by_step[step] = (missing, advice)

    def expire(self, now_ms):
        """Give up questions whose agent brought no answer in time."""
        for step, question in list(self.question_by_step.items()):
            if now_ms > question.expires_ms:
                log.warning("advice_missing step=%s asker=%s", step, question.asker)
                del self.question_by_step[step]

    def take_wanted(self, askers, now_ms):
        """Turn wants into questions for agents that ask nothing; return the askers.

        Parameters
        ----------
        askers : list of str
            Workers whose agents can ask.
        now_ms : int
        """
        busy = {question.asker for question in self.question_by_step.values()}
        idle = [worker for worker in askers if worker not in busy]
        taken = idle[: len(self.wanted_by_step)]
        for worker, (step, wanted) in zip(taken, list(self.wanted_by_step.items())):
            workers, advice = wanted
            cost_ms = advice.decide_ms + advice.each_ms * len(workers)
            expires_ms = now_ms + cost_ms + PATIENCE_MS
            self.question_by_step[step] = Question(worker, workers, expires_ms)
            log.info(
                "advice_asked step=%s workers=%d asker=%s", step, len(workers), worker
            )
        self.wanted_by_step.clear()
        return taken

    def questions_of(self, asker):
        """Return rows of step and workers that an agent shall ask."""
        return [
            [step, question.workers]
            for step, question in self.question_by_step.items()
            if question.asker == asker
        ]

    def note_answer(self, step, life_by_worker, tickets, expires_ms):
        """Take an answer.

        Parameters
        ----------
        step : str
        life_by_worker : dict
            The workers that were named, with their lives.
        tickets : dict
            Text of the ticket by worker, of those that may run the step.
        expires_ms : int
            When the tickets run out.
        """
        self.question_by_step.pop(step, None)
        known = self._tickets(step)
        for worker, life in life_by_worker.items():
            known[worker, life] = Ticket(tickets.get(worker, ""), expires_ms)
        log.info(
            "advice_received step=%s workers=%d allowed=%d",
            step,
            len(life_by_worker),
            len(tickets),
        )

    def forget_ticket(self, step, worker, life):
        """Drop a ticket that a worker refused."""
        by_step = self._tickets_by_workflow.get(step.split(".")[0], {})
        by_step.get(step, {}).pop((worker, life), None)

    def forget(self, workflow):
        """Drop everything about an ended workflow."""
        for step in self._tickets_by_workflow.pop(workflow, {}):
            self.question_by_step.pop(step, None)
            self.wanted_by_step.pop(step, None)
