"""Guards against directives that start the same epoch of a task a second time."""

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.scheduling import softstate
from sardinegauge.state import directives, machine

ROOM = messages.Room(cores=8, memory_mb=8000, accelerators=0, tasks=8, connections=64)


def _register(current, index, incarnation, previous_may_run=False):
    command = commands.RegisterWorker(
        upstream="w1",
        incarnation=incarnation,
        address="127.0.0.1:1",
        failure_domain="north",
        rack="r1",
        room=ROOM,
        previous_may_run=previous_may_run,
    )
    machine.apply(current, index, command)


def test_restarted_agent_is_not_told_to_run_tasks_of_its_predecessor():
    current = machine.Machine()
    _register(current, 1, "w1-a")
    job = commands.SubmitJob(
        operator="ada",
        request_id="r1",
        name="sweep",
        tenant="irbid",
        cores=1.0,
        memory_mb=100,
    )
    (job_id,) = machine.apply(current, 2, job).ids
    (task_id,) = current.jobs.by_id[job_id].task_ids
    assignment = commands.Assignment(
        task=task_id,
        epoch=1,
        upstream="w1",
        incarnation="w1-a",
        cores=1.0,
        memory_mb=100,
    )
    machine.apply(current, 3, commands.AssignTasks(assignments=[assignment]))
    state = softstate.State(current)
    assert [order.task for order in directives.build(state, "w1").tasks] == [task_id]
    _register(current, 4, "w1-b", previous_may_run=True)
    directives.invalidate(state, "w1")
    assert current.workers.by_upstream["w1"].task_ids
    assert directives.build(state, "w1").tasks == []
