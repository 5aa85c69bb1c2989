"""Tests of the agent's reducer in virtual time."""

from sardinegauge import checkpoints
from sardinegauge.agents import agent, agentevents, hostedtask, requesttable, worker
from sardinegauge.links import httpmessages, messages
from tests import agentdriver
from tests.agentkit import order


def test_no_request_without_a_confirmation_of_the_last_5_s():
    """Guards against requests served under a configuration that may be outdated."""
    state = agentdriver.new_state()
    assert agentdriver.of_kind(requesttable.RefuseRequest, agentdriver.arrive(state, 1))
    agentdriver.reply(state, 900, 1)
    assert agentdriver.of_kind(
        requesttable.ForwardRequest, agentdriver.arrive(state, 2, now_ms=4999)
    )
    # The 5 s begin when the heartbeat is sent, not when its answer arrives.
    refused = agentdriver.of_kind(
        requesttable.RefuseRequest, agentdriver.arrive(state, 3, now_ms=5000)
    )
    assert refused[0].reason == "no confirmed configuration"


def test_configuration_never_reverts():
    """Guards against a late directive of a former leader with an older version."""
    state = agentdriver.ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    limits = b'{"services": {"shop": {"concurrency": 1, "queue": 0}}}'
    agentdriver.reply(state, 1001, 2, config_version=7, config=limits)
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    agentdriver.reply(state, 2001, 3, config_version=6, config=b"{}")
    assert state.config_version == 7
    agentdriver.arrive(state, 1, now_ms=2002)
    refused = agentdriver.of_kind(
        requesttable.RefuseRequest, agentdriver.arrive(state, 2, now_ms=2002)
    )
    assert refused[0].reason == "queue is full"


def test_waiting_request_is_refused_when_its_deadline_cannot_be_met():
    """Guards against requests that wait although another upstream could run them."""
    state = agentdriver.ready_state()
    for number in (1, 2):
        agentdriver.arrive(state, number)
    ended = agentevents.RequestEnded(
        now_ms=0, request=1, verdict="ran", duration_ms=400.0
    )
    agent.reduce(state, ended)
    agentdriver.arrive(state, 3)
    assert agentdriver.arrive(state, 4, deadline_ms=900) == []
    assert agentdriver.of_kind(
        requesttable.RefuseRequest, agentdriver.arrive(state, 5, deadline_ms=300)
    )
    effects = agent.reduce(state, agentevents.Tick(now_ms=501))
    assert [
        e.request for e in agentdriver.of_kind(requesttable.RefuseRequest, effects)
    ] == [4]


def test_a_task_is_not_stopped_by_a_table_older_than_its_start():
    """Guards against a reply that arrives after a newer push with a new task."""
    state = agentdriver.ready_state()
    sent = agentdriver.of_kind(
        agentevents.SendHeartbeat, agent.reduce(state, agentevents.Tick(now_ms=1000))
    )
    push = messages.Directive(confirmed=True, tasks=[order("a")])
    event = agentevents.DirectiveReceived(now_ms=1010, address="s1", directive=push)
    assert agentdriver.of_kind(hostedtask.Start, agent.reduce(state, event))
    effects = agentdriver.reply(state, 1020, sent[0].heartbeat.sequence)
    assert not agentdriver.of_kind(hostedtask.Stop, effects)


def test_an_ended_epoch_never_starts_again():
    """Guards against a late push of a deposed leader that starts an ended epoch."""
    state = agentdriver.ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    agentdriver.reply(state, 1001, 2, [order("a", epoch=3)])
    for kind, fields in (
        (agentevents.StartAnswered, {"is_taken": True, "reason": ""}),
        (agentevents.StopAnswered, {"phase": "finished"}),
    ):
        agent.reduce(state, kind(now_ms=1002, task="a", epoch=3, **fields))
    agent.reduce(state, agentevents.Tick(now_ms=2100))
    agentdriver.reply(state, 2101, state.sequence)
    assert not state.host.by_task
    agent.reduce(state, agentevents.Tick(now_ms=3200))
    effects = agentdriver.reply(state, 3201, state.sequence, [order("a", epoch=3)])
    assert not agentdriver.of_kind(hostedtask.Start, effects)


def test_drain_ends_only_when_the_leader_knows_the_last_stop():
    """Guards against an eviction that the leader only learns of when the lease ends."""
    state = agentdriver.ready_state()
    agentdriver.reply(state, 1, 0, [order("a")])
    taken = {"task": "a", "epoch": 1, "is_taken": True, "reason": ""}
    agent.reduce(state, agentevents.StartAnswered(now_ms=2, **taken))
    agent.reduce(state, agentevents.DrainRequested(now_ms=10, evict_at_ms=60_000))
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    agentdriver.reply(state, 2001, state.sequence, [order("a", action="evict")])
    saved = {"task": "a", "epoch": 1, "checkpoint": "c"}
    agent.reduce(state, agentevents.CheckpointAnswered(now_ms=2002, **saved))
    stopped = agentevents.StopAnswered(now_ms=2010, task="a", epoch=1, phase="stopped")
    assert not agentdriver.of_kind(agentevents.Drained, agent.reduce(state, stopped))
    effects = agent.reduce(state, agentevents.Tick(now_ms=2100))
    assert agentdriver.of_kind(agentevents.SendHeartbeat, effects)
    assert not agentdriver.of_kind(agentevents.Drained, effects)
    assert agentdriver.of_kind(
        agentevents.Drained, agentdriver.reply(state, 2150, state.sequence)
    )


def test_checkpoint_that_the_log_cannot_hold_is_left_out():
    """Guards against an eviction whose report the log refuses for its checkpoint."""
    state = agentdriver.ready_state()
    agentdriver.reply(state, 1, 0, [order("a")])
    taken = {"task": "a", "epoch": 1, "is_taken": True, "reason": ""}
    agent.reduce(state, agentevents.StartAnswered(now_ms=2, **taken))
    agentdriver.reply(state, 3, 0, [order("a", action="evict")])
    saved = {"task": "a", "epoch": 1, "checkpoint": "c" * (checkpoints.MAX_LENGTH + 1)}
    effects = agent.reduce(state, agentevents.CheckpointAnswered(now_ms=4, **saved))
    assert agentdriver.of_kind(hostedtask.Stop, effects)
    assert state.host.by_task["a"].checkpoint == ""


def test_a_lost_throttle_is_repeated():
    """Guards against a throttled task that keeps its cores after one failed call."""
    state = agentdriver.ready_state()
    agentdriver.reply(state, 1, 0, [order("a")])
    taken = {"task": "a", "epoch": 1, "is_taken": True, "reason": ""}
    agent.reduce(state, agentevents.StartAnswered(now_ms=2, **taken))
    slow = [order("a", throttle=0.5)]
    assert agentdriver.of_kind(
        hostedtask.Throttle, agentdriver.reply(state, 3, 0, slow)
    )
    assert not agentdriver.of_kind(
        hostedtask.Throttle, agentdriver.reply(state, 4, 0, slow)
    )
    failed = agentevents.WorkerCallFailed(now_ms=5, task="a", epoch=1)
    agent.reduce(state, failed)
    effects = agentdriver.of_kind(
        hostedtask.Throttle, agentdriver.reply(state, 6, 0, slow)
    )
    assert [effect.share for effect in effects] == [0.5]


def test_nothing_is_announced_while_an_earlier_agents_tasks_run():
    """Guards against a restart after which the leader places a running task again."""
    state = agentdriver.new_state(has_worker=True)
    effects = agent.reduce(state, agentevents.Tick(now_ms=10))
    assert agentdriver.of_kind(
        agentevents.PollWorker, effects
    ) and not agentdriver.of_kind(agentevents.SendHeartbeat, effects)
    left = [worker.TaskStatus(task="a", epoch=1, phase="running")]
    seen = agentevents.WorkerPolled(now_ms=20, requested_at_ms=10, statuses=left)
    effects = agent.reduce(state, seen)
    assert agentdriver.of_kind(hostedtask.Stop, effects) and not agentdriver.of_kind(
        agentevents.SendHeartbeat, effects
    )
    seen = agentevents.WorkerPolled(now_ms=40, requested_at_ms=30, statuses=[])
    assert agentdriver.of_kind(agentevents.SendHeartbeat, agent.reduce(state, seen))


def test_older_replies_and_pushes_of_others_are_ignored():
    """Guards against orders that are older than those already applied."""
    state = agentdriver.ready_state()
    agent.reduce(state, agentevents.Tick(now_ms=1000))
    agent.reduce(state, agentevents.Tick(now_ms=2000))
    agentdriver.reply(state, 2001, 3)
    assert not agentdriver.of_kind(
        hostedtask.Start, agentdriver.reply(state, 2002, 2, [order("a")])
    )
    assert not agentdriver.of_kind(
        hostedtask.Start, agentdriver.reply(state, 2003, 0, [order("a")], address="s2")
    )
    assert agentdriver.of_kind(
        hostedtask.Start, agentdriver.reply(state, 2004, 0, [order("a")])
    )


def test_another_incarnation_neither_runs_nor_answers_for_a_key():
    """Guards against a restarted agent that reports not-run for unknown keys."""
    state = agentdriver.ready_state()
    head = httpmessages.RequestHead(incarnation="u1-0", deadline_ms=1000)
    event = agentevents.RequestArrived(now_ms=0, request=1, head=head)
    assert agentdriver.of_kind(requesttable.RefuseRequest, agent.reduce(state, event))
    query = httpmessages.KeyQuery(
        key="a", claim_index=1, fence=True, incarnation="u1-0"
    )
    effects = agent.reduce(
        state, agentevents.KeyQueried(now_ms=0, query=1, message=query)
    )
    assert effects[0].reply.state == "cut"


def test_heartbeats_follow_the_leader():
    """Guards against an agent that stays with a follower or an unresponsive leader."""
    state = agentdriver.new_state()
    first = agentdriver.of_kind(
        agentevents.SendHeartbeat, agent.reduce(state, agentevents.Tick(now_ms=0))
    )
    assert first[0].address == "s1"
    effects = agentdriver.reply(state, 60, 1, confirmed=False, leader="s9")
    assert [
        e.address for e in agentdriver.of_kind(agentevents.SendHeartbeat, effects)
    ] == ["s9"]
    failed = agentevents.HeartbeatFailed(now_ms=200, address="s9", sequence=2)
    effects = agent.reduce(state, failed)
    assert [
        e.address for e in agentdriver.of_kind(agentevents.SendHeartbeat, effects)
    ] == ["s1"]


def vanished_phases(started_ms_by_task, vanished_ms, left=()):
    """Return the phases of tasks that the worker does not list any more."""
    state = agentdriver.ready_state()
    for task, started_ms in started_ms_by_task.items():
        agentdriver.reply(state, started_ms, 0, [order(task)])
        taken = {"task": task, "epoch": 1, "is_taken": True, "reason": ""}
        agent.reduce(state, agentevents.StartAnswered(now_ms=started_ms, **taken))
    listed = [
        worker.TaskStatus(task=task, epoch=1, phase="running")
        for task in started_ms_by_task
    ]
    statuses = [status for status in listed if status.task in left]
    for now_ms, found in ((vanished_ms - 1, listed), (vanished_ms, statuses)):
        polled = agentevents.WorkerPolled(
            now_ms=now_ms, requested_at_ms=now_ms, statuses=found
        )
        agent.reduce(state, polled)
    return {task: hosted.phase for task, hosted in state.host.by_task.items()}


def test_task_that_may_have_crashed_its_worker_counts_as_failed():
    """Guards against a task that crashes one worker after another without limit."""
    phases = vanished_phases({"a": 1000, "b": 7000}, 7500)
    assert phases == {"a": "stopped", "b": "failed"}


def test_tasks_lost_long_after_their_start_or_one_by_one_do_not_fail():
    phases = vanished_phases({"a": 1000, "b": 1500}, 9000)
    assert phases == {"a": "stopped", "b": "stopped"}
    phases = vanished_phases({"a": 1000, "b": 1500}, 2000, left=["a"])
    assert phases == {"a": "running", "b": "stopped"}
