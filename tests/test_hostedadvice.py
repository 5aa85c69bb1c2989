"""Guards against calls to the policy service that are given up early or repeated.

Load pattern: a service that answers the calls of a caller in turn, if at all.
"""

from sardinegauge.workflows import hostedadvice, hostevents, hosting, hoststate

VALID_MS = 3000


class Agent:
    """An agent's state that receives questions and answers of the policy service."""

    def __init__(self):
        self.state = hoststate.State("agent")
        self.now_ms = 1000

    def receive_questions(self, rows, terms_by_step=None, sent_ms=0):
        """Apply orders; `sent_ms` is that of the report that they answer, if any."""
        self.state.now_ms = self.now_ms
        self.state.effects = []
        hostedadvice.update_questions(self.state, rows, terms_by_step or {}, sent_ms)
        return self.take_asked()

    def take_asked(self):
        effects, self.state.effects = self.state.effects, []
        return [
            (e.step, e.workers) for e in effects if isinstance(e, hostevents.AskAdvice)
        ]

    def advised(self, step, workers, tickets=None, reason="", valid_ms=VALID_MS):
        event = hostevents.AdviceReceived(
            now_ms=self.now_ms,
            step=step,
            workers=workers,
            tickets=tickets,
            valid_ms=valid_ms,
            reason=reason,
        )
        effects = hosting.reduce(self.state, event)
        return [
            (e.step, e.workers) for e in effects if isinstance(e, hostevents.AskAdvice)
        ]

    def reported(self):
        return hostedadvice.report_rows(self.state)


def test_agent_asks_once_and_reports_the_remaining_validity():
    agent = Agent()
    assert agent.receive_questions([["w.0.0", ["a"]]]) == [("w.0.0", ["a"])]
    assert agent.receive_questions([["w.0.0", ["a"]]]) == []
    agent.advised("w.0.0", ["a"], [["a", "t"]])
    agent.state.now_ms += 500
    assert agent.reported() == [["w.0.0", ["a"], [["a", "t"]], 2500]]
    agent.receive_questions([], sent_ms=agent.state.now_ms)
    assert agent.reported() == []


def test_agent_asks_again_after_a_pause_when_there_was_no_answer():
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a"]]])
    agent.advised("w.0.0", ["a"])
    assert agent.receive_questions([["w.0.0", ["a"]]]) == []
    agent.now_ms += hostedadvice.RETRY_MS
    assert agent.receive_questions([["w.0.0", ["a"]]]) == [("w.0.0", ["a"])]


def test_call_may_take_the_time_that_the_leader_names():
    # Guards against a limit of the agent's own, shorter than the service takes.
    agent = Agent()
    state = agent.state
    hostedadvice.update_questions(state, [["w.0.0", ["a"]]], {"w.0.0": [8100, 5]}, 0)
    assert [effect.limit_ms for effect in state.effects] == [8100]


def test_agent_has_one_call_open_and_reports_its_late_answer():
    # Guards against calls that wait behind one that was given up, since the service
    # answers the calls of a caller in turn, and against answers that are thrown away.
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a", "b"]]])
    assert agent.receive_questions([["x.0.0", ["a"]]]) == []
    agent.now_ms += 900
    asked = agent.advised("w.0.0", ["a", "b"], [["b", "t"]])
    assert asked == [("x.0.0", ["a"])]
    assert agent.reported() == [["w.0.0", ["a", "b"], [["b", "t"]], VALID_MS]]
    agent.receive_questions([["x.0.0", ["a"]]], sent_ms=agent.now_ms - 5)
    assert len(agent.reported()) == 1
    agent.receive_questions([["x.0.0", ["a"]]], sent_ms=agent.now_ms + 5)
    assert agent.reported() == []


def test_question_of_a_new_leader_waits_for_the_open_call_about_the_same_workers():
    # Guards against a second call about a step whose answer is on its way, as a new
    # leader lists the workers in another order.
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a", "b"]]])
    agent.receive_questions([])
    assert agent.receive_questions([["w.0.0", ["b", "a"]]]) == []
    assert agent.advised("w.0.0", ["a", "b"], [["b", "t"]]) == []
    assert agent.receive_questions([["w.0.0", ["b", "a"]]]) == []
    # It is asked again once a leader that has the answer still lists it.
    asked = agent.receive_questions([["w.0.0", ["b"]]], sent_ms=agent.now_ms + 5)
    assert asked == [("w.0.0", ["b"])]


def test_agent_reports_a_failed_call_to_a_leader_that_takes_it():
    # Guards against reports that a leader of an earlier release refuses.
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a"]]])
    agent.advised("w.0.0", ["a"], reason="status 429")
    assert hostedadvice.failure_rows(agent.state) == []
    agent.now_ms += hostedadvice.RETRY_MS
    agent.receive_questions([["w.0.0", ["a"]]], {"w.0.0": [3500, 5]})
    agent.now_ms += 40
    agent.advised("w.0.0", ["a"], reason="status 429")
    agent.state.now_ms += 7
    assert hostedadvice.failure_rows(agent.state) == [["w.0.0", 7, "status 429"]]
    agent.state.now_ms += hostedadvice.FAILURE_REPORT_MS
    assert hostedadvice.failure_rows(agent.state) == []
    agent.receive_questions([], sent_ms=agent.state.now_ms)
    assert agent.state.advice_failures == []


def test_answer_without_a_validity_takes_that_of_the_queue():
    # Guards against tickets that count as ended at once: the service need not name a
    # time that the queue's terms name already.
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a"]]], {"w.0.0": [3500, 800]})
    agent.advised("w.0.0", ["a"], [["a", "t"]], valid_ms=None)
    assert agent.reported() == [["w.0.0", ["a"], [["a", "t"]], 800]]


def test_failed_calls_do_not_pile_up_while_no_leader_is_heard():
    # Guards against memory that grows while neither the service nor a leader answers.
    agent = Agent()
    agent.receive_questions([["w.0.0", ["a"]]], {"w.0.0": [3500, 5]})
    for _ in range(100):
        agent.advised("w.0.0", ["a"], reason="status 429")
        agent.now_ms += hostedadvice.RETRY_MS
        hosting.reduce(agent.state, hostevents.Tick(now_ms=agent.now_ms))
    assert 1 <= len(agent.state.advice_failures) <= 5
