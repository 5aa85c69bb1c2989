"""Guards against starts without a ticket, and against questions that are serialized.

Load pattern: a burst of small steps while the service takes half a second for each
question.
"""

import json

import pytest

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.workflows import (
    adviceexplanation,
    advicequestions,
    advicetracker,
    queues,
    scheduler,
    schedulerevents,
    store,
    views,
)
from sardinegauge.workflows import steps as steps_module
from tests import leaderkit, test_replica

VALID_MS = 3000


class Leader(leaderkit.Leader):
    """A leader whose queue has a policy service."""

    def __init__(self, workers="abc"):
        super().__init__()
        self.set_advice(queues.Advice(decide_ms=480, each_ms=2, valid_ms=VALID_MS), 2)
        self.workers = workers
        for worker in workers:
            self.report(worker)
        self.settle()

    def set_advice(self, advice, version):
        """Put a configuration with these terms of the policy service in force."""
        queue = queues.Queue(
            name="q",
            host="h",
            prefix="/q/",
            pool="p",
            max_attempts=9,
            timeout_ms=1,
            advice=advice,
        )
        packed = queues.pack([queue], [queues.Pool(name="p")])
        self.commit(commands.SetQueues(version=version, packed=packed))

    def questions(self):
        """Return the questions by the worker whose agent asks."""
        found = {w: self.orders(w)["questions"] for w in self.workers}
        return {worker: rows for worker, rows in found.items() if rows}

    def answer(self, asker, allowed, valid_ms=VALID_MS, **fields):
        """Report an answer in which a ticket is named after its worker."""
        ((step, workers),) = self.questions()[asker]
        tickets = [[w, f"t-{w}"] for w in workers if w in allowed]
        self.report(asker, advice=[[step, workers, tickets, valid_ms]], **fields)
        self.settle()


@pytest.fixture
def leader():
    return Leader()


def test_task_starts_only_on_a_worker_with_a_ticket_and_carries_it(leader):
    leader.submit(steps_module.Step(count=2, cpu_millis=1000))
    leader.settle()
    assert leader.placed() == {}
    ((asker, ((step, workers),)),) = leader.questions().items()
    assert (step, sorted(workers)) == ("w.0.0", ["a", "b", "c"])
    leader.answer(asker, "b")
    assert set(leader.placed().values()) == {"b"}
    assert [start[4] for start in leader.orders("b")["starts"]] == ["t-b", "t-b"]
    assert leader.questions() == {}


def test_questions_of_a_burst_are_spread_over_agents(leader):
    for number in range(5):
        leader.submit(steps_module.Step(), id=f"w{number}")
    leader.settle()
    asked = leader.questions()
    assert sorted(asked) == ["a", "b", "c"]
    assert all(len(rows) == 1 for rows in asked.values())
    leader.answer("a", "a")
    assert len(leader.questions()) == 3


def test_ticket_is_renewed_only_for_workers_with_room_that_are_allowed(leader):
    leader.submit(steps_module.Step(count=9, cpu_millis=4000))
    leader.settle()
    ((asker, _),) = leader.questions().items()
    leader.answer(asker, "ab", VALID_MS)
    assert len(leader.placed()) == 4
    leader.now_ms += VALID_MS
    for worker in leader.workers:
        runs = [[*key, views.ACTIVE] for key in leader.store.runs_of(worker, 1)]
        if worker != "b":
            leader.report(worker, runs=runs)
    key = next(iter(leader.store.runs_of("b", 1)))
    others = [k for k in leader.store.runs_of("b", 1) if k != key]
    leader.report(
        "b",
        runs=[[*k, views.ACTIVE] for k in others],
        ends=[[1, *key, store.DONE, ""]],
    )
    leader.settle()
    ((asker, rows),) = leader.questions().items()
    assert rows == [["w.0.0", ["b"]]]


def test_question_without_an_answer_goes_to_another_agent(leader):
    leader.submit(steps_module.Step())
    leader.settle()
    ((first, _),) = leader.questions().items()
    leader.now_ms += 10_000
    for worker in leader.workers:
        if worker != first:
            leader.report(worker)
    leader.settle()
    ((second, _),) = leader.questions().items()
    assert second != first


def test_new_leader_asks_before_it_orders_a_start_that_was_assigned(leader):
    leader.submit(steps_module.Step())
    leader.settle()
    ((asker, _),) = leader.questions().items()
    leader.answer(asker, "b")
    leader.start_term(term=2)
    for worker in leader.workers:
        leader.report(worker)
    assert leader.orders("b")["starts"] == []
    leader.tick(100)
    leader.settle()
    ((asker, rows),) = leader.questions().items()
    assert rows == [["w.0.0", ["b"]]]
    leader.answer(asker, "b")
    assert leader.orders("b")["starts"][0][4] == "t-b"


def test_requests_for_assigned_runs_and_waiting_tasks_are_merged():
    # Requests of the plan must not replace those of runs that are assigned but not
    # ordered yet.
    tracker = advicetracker.AdviceTracker()
    advice = queues.Advice(decide_ms=480)
    tracker.request_tickets("w.0.0", [("b", 1, True)], advice, 0)
    tracker.request_tickets("w.0.0", [("a", 1, True), ("b", 1, True)], advice, 0)
    tracker.questions.assign(["c"], 0)
    assert tracker.questions.rows_for("c") == [["w.0.0", ["b", "a"]]]


def test_assigned_run_is_stopped_if_the_service_refuses_its_worker(leader):
    leader.submit(steps_module.Step())
    leader.settle()
    ((asker, _),) = leader.questions().items()
    leader.answer(asker, "b")
    leader.start_term(term=2)
    for worker in leader.workers:
        leader.report(worker)
    leader.tick(100)
    leader.settle()
    ((asker, _),) = leader.questions().items()
    leader.answer(asker, "")
    leader.tick(100)
    assert leader.orders("b")["stops"] == [["w.0.0.0", 1]]


def test_refused_start_does_not_repeat_at_once_on_the_same_worker(leader):
    # Without a backoff, a refusal is followed by the next start within milliseconds,
    # and the loop takes up the processes' whole time.
    leader.submit(steps_module.Step())
    leader.settle()
    ((asker, _),) = leader.questions().items()
    leader.answer(asker, "b")
    row = next(iter(leader.store.runs_of("b", 1)))
    report = [*row, views.GONE, "", 0, 0, "room", 100]
    fields = dict(pool="p", labels=["k", "r1"], is_fenced=True, runs=[report])
    leader.dispatch(
        schedulerevents.ReportReceived,
        report=views.Report(
            agent="agent-b", worker="b", life=1, cpu_millis=8000, memory_mb=9, **fields
        ),
    )
    leader.settle()
    assert leader.placed() == {}
    leader.now_ms += 600
    leader.report("b")
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "b"}


def test_agent_may_ask_for_as_long_as_the_queue_says(leader):
    # Guards against calls that are given up before the service can have answered.
    leader.submit(steps_module.Step())
    leader.settle()
    ((asker, _),) = leader.questions().items()
    limit_ms, valid_ms = leader.orders(asker)["question_terms"]["w.0.0"]
    assert limit_ms >= 480 + 3 * 2
    assert valid_ms == VALID_MS
    advice = queues.Advice(decide_ms=7000, each_ms=100, valid_ms=VALID_MS)
    leader.set_advice(advice, version=3)
    leader.answer(asker, "")
    leader.submit(steps_module.Step(), id="x")
    leader.settle()
    ((asker, _),) = leader.questions().items()
    limit_ms, _ = leader.orders(asker)["question_terms"]["x.0.0"]
    assert limit_ms >= 7000 + 3 * 100


def report_all(leader, but=()):
    """Let all agents report, which doesn't mean that they answered."""
    for worker in leader.workers:
        if worker not in but:
            leader.report(worker)
    leader.settle()


def only_asker(leader):
    ((asker, _),) = leader.questions().items()
    return asker


def pass_over(leader, asker, within_ms):
    """Let time pass until another agent than `asker` is asked."""
    end_ms = leader.now_ms + within_ms
    while leader.now_ms < end_ms:
        leader.now_ms += 100
        report_all(leader)
        if only_asker(leader) != asker:
            return
    raise AssertionError(f"only {asker} was asked in {within_ms} ms")


def count_questions(leader, reply):
    """Return the number of questions in 10 s; `reply` is called for each of them."""
    count = 0
    for _ in range(100):
        for asker in leader.questions():
            count += 1
            reply(asker)
        leader.now_ms += 100
        report_all(leader)
    return count


def test_agent_without_an_answer_is_asked_last(leader):
    # Guards against a step that waits for good for the one agent that can't reach the
    # service, while the others are idle.
    leader.submit(steps_module.Step())
    leader.settle()
    silent = only_asker(leader)
    # Tasks whose turn has come must not all stand still for 3 s.
    pass_over(leader, silent, within_ms=2900)
    leader.answer(only_asker(leader), "b")
    for number in range(3):
        leader.submit(steps_module.Step(), id=f"x{number}")
        leader.settle()
        assert only_asker(leader) != silent
        leader.answer(only_asker(leader), "b")


def test_all_agents_have_a_turn_before_one_is_asked_again(leader):
    # Guards against questions that go to and fro between two agents of many.
    leader.submit(steps_module.Step())
    leader.settle()
    asked = [only_asker(leader)]
    for _ in range(1000):
        leader.now_ms += 100
        report_all(leader)
        asker = only_asker(leader)
        if asker != asked[-1]:
            asked.append(asker)
    assert sorted(asked[:3]) == ["a", "b", "c"]
    assert asked[:3] == asked[3:6]


def test_question_of_an_agent_that_is_gone_goes_to_another_one(leader):
    # Guards against a question that waits for an agent that was killed until it is
    # overdue, which takes longer the slower the service is.
    leader.set_advice(queues.Advice(decide_ms=9000, valid_ms=VALID_MS), version=3)
    leader.submit(steps_module.Step())
    leader.settle()
    lost = only_asker(leader)
    leader.now_ms += views.MAX_REPORT_AGE_MS + 1
    report_all(leader, but=lost)
    assert only_asker(leader) != lost


def test_failure_that_an_agent_reports_ends_its_question_after_a_pause(leader):
    # Guards against a step that waits until a question is overdue that has failed.
    leader.submit(steps_module.Step())
    leader.settle()
    first = only_asker(leader)
    leader.now_ms += 20
    leader.report(first, advice_failures=[["w.0.0", 5, "status 429"]])
    leader.settle()
    assert leader.questions() == {}
    leader.now_ms += advicequestions.RETRY_MS
    report_all(leader)
    second = only_asker(leader)
    assert second != first
    # The same failure may arrive once more; it is not one of the new question.
    leader.report(first, advice_failures=[["w.0.0", 330, "status 429"]])
    leader.settle()
    assert only_asker(leader) == second


def test_service_that_is_down_is_asked_about_a_step_once_a_second_at_most(leader):
    # Guards against a storm: each failure is followed by a question to the next agent.
    leader.submit(steps_module.Step())
    leader.settle()
    failures = [["w.0.0", 0, "connection refused"]]
    count = count_questions(
        leader, lambda asker: leader.report(asker, advice_failures=failures)
    )
    assert 8 <= count <= 12


def test_answer_of_an_agent_that_was_given_up_counts(leader):
    # Guards against answers that are thrown away though the service has worked on them.
    leader.submit(steps_module.Step(count=2, cpu_millis=1000))
    leader.settle()
    first = only_asker(leader)
    (question,) = leader.questions()[first]
    pass_over(leader, first, within_ms=10_000)
    step, workers = question
    leader.report(first, advice=[[step, workers, [["b", "t-b"]], VALID_MS]])
    leader.settle()
    assert leader.questions() == {}
    assert [start[4] for start in leader.orders("b")["starts"]] == ["t-b", "t-b"]
    # A ticket that ends earlier, from an answer that was overtaken, replaces none.
    leader.report("c", advice=[[step, workers, [["b", "old"]], VALID_MS - 500]])
    assert [start[4] for start in leader.orders("b")["starts"]] == ["t-b", "t-b"]


def test_answer_to_a_question_of_the_former_leader_counts(leader):
    # Guards against a second question about a step after a change of leader.
    leader.submit(steps_module.Step())
    leader.settle()
    asker = only_asker(leader)
    ((step, workers),) = leader.questions()[asker]
    leader.start_term(term=2)
    for worker in leader.workers:
        leader.report(worker)
    leader.report(asker, advice=[[step, workers, [["b", "t-b"]], VALID_MS]])
    leader.settle()
    assert leader.placed() == {"w.0.0.0": "b"}
    assert leader.questions() == {}


def test_answer_about_an_unknown_or_ended_workflow_is_not_kept(leader):
    # Guards against tickets that no end of a workflow drops.
    leader.submit(steps_module.Step())
    leader.settle()
    leader.commit(commands.CancelWorkflow(id="w"))
    leader.settle()
    for step in ("w.0.0", "none.0.0", "none", ""):
        leader.report("a", advice=[[step, ["a"], [["a", "t"]], VALID_MS]])
        leader.report("a", advice_failures=[[step, 0, "status 429"]])
    tracker = leader.state.advice_tracker
    assert [tracker.steps_of(name) for name in ("w", "none", "")] == [[], [], []]


def test_service_that_is_slower_than_its_terms_gets_more_time(leader):
    # Guards against a step that never starts since each call is given up too early.
    leader.submit(steps_module.Step())
    leader.settle()
    limits_ms = []
    for _ in range(200):
        leader.now_ms += 100
        report_all(leader)
        terms_by_step = leader.orders(only_asker(leader))["question_terms"]
        limits_ms.append(terms_by_step["w.0.0"][0])
    assert max(limits_ms) > 10_000


def test_ticket_that_is_valid_for_less_than_the_usual_margin_is_used(leader):
    # Guards against a queue whose tickets are all taken for ended when they arrive.
    leader.set_advice(queues.Advice(decide_ms=480, valid_ms=250), version=3)
    leader.submit(steps_module.Step())
    leader.settle()
    leader.answer(only_asker(leader), "b", valid_ms=245)
    assert leader.placed() == {"w.0.0.0": "b"}
    assert [start[4] for start in leader.orders("b")["starts"]] == ["t-b"]
    leader.tick(245)
    assert leader.orders("b")["starts"] == []


def test_tickets_that_end_before_they_arrive_make_no_storm_of_questions(leader):
    leader.set_advice(queues.Advice(decide_ms=480, valid_ms=0), version=3)
    leader.submit(steps_module.Step())
    leader.settle()
    count = count_questions(leader, lambda asker: leader.answer(asker, "b", valid_ms=0))
    assert 8 <= count <= 12
    assert leader.placed() == {}


def test_late_answer_without_valid_tickets_ends_no_question_of_another_agent(leader):
    # Guards against a step that pauses though an answer in time is on its way.
    leader.submit(steps_module.Step())
    leader.settle()
    first = only_asker(leader)
    ((step, workers),) = leader.questions()[first]
    pass_over(leader, first, within_ms=10_000)
    second = only_asker(leader)
    leader.report(first, advice=[[step, workers, [["b", "t-b"]], -500]])
    leader.settle()
    assert only_asker(leader) == second


def test_step_without_an_answer_is_asked_about_by_new_terms(leader):
    # Guards against a step that keeps the time of the terms it was first asked with.
    leader.submit(steps_module.Step())
    leader.settle()
    first = only_asker(leader)
    advice = queues.Advice(decide_ms=20_000, each_ms=100, valid_ms=VALID_MS)
    leader.set_advice(advice, version=3)
    pass_over(leader, first, within_ms=2900)
    limit_ms, _ = leader.orders(only_asker(leader))["question_terms"]["w.0.0"]
    assert limit_ms >= 20_000 + 3 * 100


def test_explanation_names_who_asked_how_often_and_why_no_answer_came(leader):
    # Guards against a job that waits for the policy service without a word.
    leader.submit(steps_module.Step())
    leader.settle()
    first = only_asker(leader)
    leader.report(first, advice_failures=[["w.0.0", 0, "status 429"]])
    leader.now_ms += advicequestions.RETRY_MS
    report_all(leader)
    second = only_asker(leader)
    text = "\n".join(adviceexplanation.lines(leader.state, "w"))
    assert f"{second} asks for 0 ms about 3 workers, question 2" in text
    assert f"last without an answer was {first}, status 429" in text
    for id in ("w.0.0", "w.0.0.0"):
        assert "\n".join(adviceexplanation.lines(leader.state, id)) == text
    leader.answer(second, "b")
    (line,) = adviceexplanation.lines(leader.state, "w")
    assert "allows 1 workers, 1 with a ticket that can be used, and refuses 2" in line
    assert adviceexplanation.lines(leader.state, "w.0.1") == []
    assert adviceexplanation.lines(leader.state, "unknown") == []
    assert adviceexplanation.lines(None, "w") == []


def test_operator_reads_what_a_workflow_waits_for(leader):
    # Guards against the answer of the scheduler of jobs, which knows no workflow.
    group = test_replica.Group()
    group.become_leader()
    group.state.leader_exchange.scheduler = leader.state
    leader.submit(steps_module.Step())
    leader.settle()
    query = messages.Query(kind="explain", arguments=b'{"id": "w"}')
    token = group.send_request(query)
    lines = json.loads(group.replies[token].answer)["lines"]
    assert any("waits for the policy service" in line for line in lines)


def test_questions_are_counted_by_how_they_ended(leader):
    # Guards against failing questions that no metric shows.
    leader.submit(steps_module.Step())
    leader.settle()
    first = only_asker(leader)
    leader.now_ms += 40
    report = leaderkit.report_of(first, [], advice_failures=[["w.0.0", 0, "x"]])
    event = schedulerevents.ReportReceived(now_ms=leader.now_ms, report=report)
    (counted,) = [
        effect
        for effect in scheduler.reduce(leader.state, event)
        if isinstance(effect, schedulerevents.QuestionEnded)
    ]
    assert (counted.queue, counted.end, counted.lasted_ms) == ("q", "failed", 40)


def serve(leader, rounds):
    """Let all agents report every 50 ms, and answer when the service has decided.

    All workers may run all steps; returns the questions' numbers of workers.
    """
    asked_ms_by_question = {}
    sizes = []
    advice = leader.store.queue_set.by_name["q"].advice
    for _ in range(rounds):
        leader.now_ms += 50
        for asker, ((_, workers),) in leader.questions().items():
            question = (asker, tuple(workers))
            asked_ms = asked_ms_by_question.setdefault(question, leader.now_ms)
            cost_ms = advice.decide_ms + advice.each_ms * len(workers)
            if leader.now_ms - asked_ms >= cost_ms:
                del asked_ms_by_question[question]
                sizes.append(len(workers))
                leader.answer(asker, workers, advice.valid_ms)
        report_all(leader)
    return sizes


@pytest.fixture
def gang():
    return steps_module.Step(count=3, cpu_millis=5000, is_gang=True)


def test_gang_gets_tickets_that_are_valid_at_the_same_time(gang):
    # Guards against renewals in turn: while the tickets of some workers are renewed,
    # those of the others end, so that the gang never starts.
    leader = Leader("ab")
    advice = queues.Advice(decide_ms=800, each_ms=10, valid_ms=1000)
    leader.set_advice(advice, version=3)
    leader.submit(gang)
    leader.settle()
    serve(leader, rounds=18)
    leader.workers = "abc"
    leader.report("c")
    leader.settle()
    serve(leader, rounds=80)
    assert sorted(leader.placed().values()) == ["a", "b", "c"]


def test_wide_gang_is_asked_about_in_one_question(gang):
    # Guards against two questions one after the other, whose tickets are not valid at
    # the same time.
    leader = Leader([f"m{number:02}" for number in range(40)])
    advice = queues.Advice(decide_ms=1000, each_ms=50, valid_ms=2000)
    leader.set_advice(advice, version=3)
    leader.submit(gang.replace(count=40))
    leader.settle()
    assert serve(leader, rounds=70) == [40]
    assert len(leader.placed()) == 40
