"""The leader's reducer for workflows: reports and commands in, commands and orders out.

It reads the store and never changes it. What must survive the leader is proposed as a
command; the rest is soft state, which a new leader rebuilds from reports.
"""

import collections
import json
import logging

from sardinegauge import commands, record
from sardinegauge.workflows import health, planner, sharing, store, views

# How long a lease lasts from the moment the report was sent that asked for it.
LEASE_MS = 4500
# Clocks of two VMs may run at slightly different speeds.
LEASE_MARGIN_MS = 250
# An end is remembered this long, so that an older report makes no stray run of it.
RECENT_END_MS = 5000

log = logging.getLogger(__name__)


class LeadershipGained(record.Record):
    """This replica leads now, and its store holds all entries of earlier terms."""

    __slots__ = ("now_ms", "term", "wall_ms")


class ReportReceived(record.Record):
    """A `views.Report` arrived from an agent."""

    __slots__ = ("now_ms", "report")


class CommandApplied(record.Record):
    """The machine applied a command of the log and gave `answer`."""

    __slots__ = ("answer", "command", "index", "now_ms")


class Tick(record.Record):
    """Time passes; expected every 100 ms."""

    __slots__ = ("now_ms", "wall_ms")


class Propose(record.Record):
    """Effect: put a command into the log."""

    __slots__ = ("command",)


class Push(record.Record):
    """Effect: send a worker's orders now, as `orders` returns them."""

    __slots__ = ("life", "worker")


class RunEnded(record.Record):
    """Effect: count a run that ended, for the metrics."""

    __slots__ = ("how", "queue")


class WorkflowEnded(record.Record):
    """Effect: count a workflow that ended, for the metrics."""

    __slots__ = ("lasted_ms", "queue", "state")


class State:
    """Soft state of the leader.

    `planned` holds the worker by task id of runs that are on their way into the log,
    `stops` the reasons by task id and run number of runs that shall stop.
    """

    def __init__(self, machine):
        self.store = machine.workflows
        self.planner = planner.Planner()
        self.health = health.Health()
        self.sharing = sharing.Sharing()
        self.view_by_id = {}
        self.planned = {}
        self.stops = {}
        self.paces = {}
        self.failed_on = {}
        self.open_ids = set(self.store.open_ids)
        self.recent_ends = collections.OrderedDict()
        self.now_ms = 0
        self.wall_ms = 0
        self.wall_offset_ms = 0
        self.term = 0
        self.is_plan_due = False
        self.effects = []

    def registered_life(self, worker):
        """Return the life of a worker that the store knows, or 0."""
        found = self.store.worker_by_id.get(worker)
        return found.life if found is not None else 0

    def propose(self, command):
        """Add the effect that puts a command into the log."""
        self.effects.append(Propose(command=command))


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    state.health.now_ms = state.now_ms
    _BY_EVENT[type(event)](state, event)
    effects, state.effects = state.effects, []
    return effects


def _on_leadership_gained(state, event):
    state.term = event.term
    log.info(
        "scheduling_began term=%d workers=%d open_workflows=%d queues_version=%d",
        event.term,
        len(state.store.worker_by_id),
        len(state.store.open_ids),
        state.store.queue_set.version,
    )
    state.wall_offset_ms = event.wall_ms - event.now_ms
    for worker in state.store.worker_by_id.values():
        _make_view(state, worker.worker, worker.life, worker.agent)


def _make_view(state, worker, life, agent):
    lease_ms = LEASE_MS + LEASE_MARGIN_MS
    view = views.WorkerView(worker, life, agent, state.now_ms, lease_ms)
    state.view_by_id[worker] = view
    return view


# Reports.


def _on_report(state, event):
    report = event.report
    view = state.view_by_id.get(report.worker)
    if view is not None and report.life < view.life:
        return
    if view is None or report.life > view.life:
        view = _make_view(state, report.worker, report.life, report.agent)
    was_usable = view.may_start(state.now_ms)
    view.update(report, state.now_ms)
    if view.may_start(state.now_ms) != was_usable:
        log.info(
            "worker_use_changed worker=%s life=%d usable=%s fenced=%s draining=%s "
            "lapsed=%s",
            view.id,
            view.life,
            not was_usable,
            view.is_fenced,
            view.is_draining,
            view.is_lapsed,
        )
    _register(state, view)
    _release_former_lives(state, view)
    _record_ends(state, view, report)
    _forget_recent(state)
    _pace_fillers(state, view)
    state.is_plan_due = True


def fillers_of(state, view):
    """Return the `sharing.Filler` of each filler on a worker."""
    found = []
    for key, task in state.store.runs_of(view.id, view.life).items():
        reported = view.runs.get(key)
        if task.step.is_filler and key not in view.ended:
            found.append(_filler(view, key, task.step, reported))
    return found


def _filler(view, key, step, reported):
    """Return the `sharing.Filler` of a run, by its use of cores where that is known."""
    amount = sharing.amount_of(step.cpu_millis, view.capacity)
    measured = 0.0
    if reported is not None and reported.load > 0:
        measured = sharing.amount_of(reported.load, view.capacity)
        # At a low pace the use says little about the full pace.
        if reported.pace >= 50:
            amount = measured * 100 / reported.pace
    return sharing.Filler(key, step.image, amount, measured)


def _pace_fillers(state, view):
    """Learn from the latencies of a report, and pace the fillers accordingly."""
    rows = []
    for key, reported in view.runs.items():
        _, _, task = state.store.find_task(key[0])
        if task is not None and task.step.target_ms:
            if reported.phase == views.ACTIVE:
                step = task.step
                rows.append((key, step.image, reported.load, step.target_ms))
    fillers = fillers_of(state, view)
    active = [
        filler
        for filler in fillers
        if filler.key in view.runs and view.runs[filler.key].phase == views.ACTIVE
    ]
    state.sharing.observe(view.id, rows, active, state.now_ms)
    is_changed = False
    for key, pace in state.sharing.paces(view.id, fillers).items():
        is_changed = is_changed or state.paces.get(key, 100) != pace
        state.paces[key] = pace
    if is_changed:
        _push(state, view.id, view.life)


def _register(state, view):
    if state.registered_life(view.id) < view.life:
        state.propose(
            commands.RegisterLife(worker=view.id, life=view.life, agent=view.agent)
        )


def _release_former_lives(state, view):
    """Take back the runs of lives that are over.

    A former life of the same worker is over once the new one is fenced, since a delayed
    order of the former life could start a run in the new one until then. A worker of
    another id beside the same agent has ended as a process.
    """
    if not view.is_fenced or state.registered_life(view.id) != view.life:
        return
    for worker, life in list(state.store.runs_by_life):
        if worker == view.id and life < view.life:
            runs = state.store.runs_of(worker, life)
            # A delayed order may have started a run here before the fence.
            if not any(_is_there(view, key) for key in runs):
                _propose_release(state, worker, life)
    for other in list(state.view_by_id.values()):
        if other.agent == view.agent and other.id != view.id and other.life < view.life:
            _propose_release(state, other.id, other.life)
            del state.view_by_id[other.id]
    if view.is_lapsed:
        _propose_release(state, view.id, view.life)


def _is_there(view, key):
    reported = view.runs.get(key)
    return reported is not None and reported.phase != views.GONE


def _propose_release(state, worker, life):
    runs = state.store.runs_of(worker, life)
    if not runs:
        return
    view = state.view_by_id.get(worker)
    checkpoints = []
    if view is not None and view.life == life:
        if view.is_losing:
            return
        # No lease may be granted until the release is applied.
        view.is_losing = True
        checkpoints = [
            [task, run, reported.checkpoint]
            for (task, run), reported in view.runs.items()
            if reported.checkpoint
        ]
    log.info("life_released worker=%s life=%d runs=%d", worker, life, len(runs))
    state.propose(
        commands.ReleaseLife(worker=worker, life=life, checkpoints=checkpoints)
    )


def _record_ends(state, view, report):
    """Put ends into the log that are not there yet."""
    if state.registered_life(view.id) != view.life:
        return
    known = max(view.proposed_end, state.store.worker_by_id[view.id].seen_end)
    rows = [list(row) for row in report.ends if row[0] > known]
    if rows:
        view.proposed_end = rows[-1][0]
    for (task, run), reported in view.runs.items():
        key = (task, run)
        if reported.phase != views.GONE or key in view.proposed_gone:
            continue
        if key in state.store.runs_of(view.id, view.life):
            view.proposed_gone.add(key)
            rows.append([0, task, run, store.REFUSED, reported.checkpoint])
    if rows:
        command = commands.RecordEnds(worker=view.id, life=view.life, rows=rows)
        state.propose(command)


def _forget_recent(state):
    limit_ms = state.now_ms - RECENT_END_MS
    while state.recent_ends:
        key, at_ms = next(iter(state.recent_ends.items()))
        if at_ms > limit_ms:
            return
        del state.recent_ends[key]


# Commands.


def _on_command_applied(state, event):
    handler = _BY_COMMAND.get(type(event.command))
    if handler is not None:
        handler(state, event)
        state.is_plan_due = True


def _on_assigned(state, event):
    workers = {}
    taken = set(event.answer.ids)
    for task, run, worker, life in event.command.rows:
        state.planned.pop(task, None)
        workers[worker] = life
        view = state.view_by_id.get(worker)
        log.info(
            "run_assigned task=%s run=%d worker=%s life=%d report_age_ms=%d taken=%s",
            task,
            run,
            worker,
            life,
            state.now_ms - view.received_ms if view is not None else -1,
            task in taken,
        )
    for worker, life in workers.items():
        _push(state, worker, life)


def _push(state, worker, life):
    state.effects.append(Push(worker=worker, life=life))


def _on_ends_recorded(state, event):
    command = event.command
    for number, task, run, how, _ in command.rows:
        log.info(
            "run_end_recorded task=%s run=%d worker=%s number=%d how=%s",
            task,
            run,
            command.worker,
            number,
            how,
        )
        state.recent_ends[task, run] = state.now_ms
        _count_end(state, task, how)
        state.stops.pop((task, run), None)
        state.paces.pop((task, run), None)
        if number:
            _note_health(state, command.worker, task, how)
    _push(state, command.worker, command.life)


def _count_end(state, task, how):
    item, _, _ = state.store.find_task(task)
    if item is None:
        return
    state.effects.append(RunEnded(queue=item.queue, how=how))
    if not item.is_open and item.id in state.open_ids:
        _note_workflow_ended(state, item)


def _note_workflow_ended(state, item):
    state.open_ids.discard(item.id)
    lasted_ms = item.ended_at_ms - item.accepted_at_ms
    log.info(
        "workflow_ended id=%s queue=%s state=%s lasted_ms=%d reason=%r",
        item.id,
        item.queue,
        item.state,
        lasted_ms,
        item.reason,
    )
    state.effects.append(
        WorkflowEnded(queue=item.queue, state=item.state, lasted_ms=lasted_ms)
    )


def _note_health(state, worker, task, how):
    if how == store.DONE:
        state.health.note_success(worker)
        state.failed_on.pop(task, None)
    elif how == store.FAILED:
        failed_on = state.failed_on.setdefault(task, set())
        failed_on.add(worker)
        # A task that failed on several workers tells nothing of the last one.
        if len(failed_on) == 1:
            state.health.note_failure(worker, state.now_ms)


def _on_released(state, event):
    view = state.view_by_id.get(event.command.worker)
    if view is not None and view.life == event.command.life:
        view.is_losing = False


def _on_ended(state, event):
    """Push the stops that follow from the end of a workflow."""
    item = state.store.workflow_by_id.get(event.command.id)
    if item is None:
        return
    if item.id in state.open_ids and not item.is_open:
        _note_workflow_ended(state, item)
    workers = {(run.worker, run.life) for task in item.tasks() for run in task.runs}
    for worker, life in sorted(workers):
        _push(state, worker, life)


def _on_registered(state, event):
    view = state.view_by_id.get(event.command.worker)
    if view is not None and view.life == event.command.life:
        _release_former_lives(state, view)
    _push(state, event.command.worker, event.command.life)


def _on_submitted(state, event):
    item = state.store.workflow_by_id.get(event.command.id)
    if item is not None and item.is_open and item.id not in state.open_ids:
        state.open_ids.add(item.id)
        log.info(
            "workflow_accepted id=%s queue=%s steps=%d tasks=%d repeats=%d",
            item.id,
            item.queue,
            len(item.steps),
            sum(step.count for step in item.steps),
            item.repeats,
        )


def _ignore(state, event):
    """Do nothing by itself: the plan takes up what the command changed."""


# Time.


def _on_tick(state, event):
    state.wall_ms = event.wall_ms
    state.wall_offset_ms = event.wall_ms - event.now_ms
    for view in list(state.view_by_id.values()):
        is_over = state.now_ms > view.grant_until_ms
        if is_over and not view.is_fresh(state.now_ms):
            _propose_release(state, view.id, view.life)
    state.is_plan_due = True


def plan(state, now_ms):
    """Propose the assignments that are possible now; return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, now_ms)
    state.is_plan_due = False
    wall_ms = state.now_ms + state.wall_offset_ms
    rows = state.planner.plan(state, state.now_ms, wall_ms)
    for task, _, worker, _ in rows:
        state.planned[task] = worker
    if rows:
        state.propose(commands.AssignRuns(rows=rows))
    effects, state.effects = state.effects, []
    return effects


# Orders.


def may_grant(state, worker, life):
    """Tell whether a lease may be granted to this life of a worker."""
    view = state.view_by_id.get(worker)
    return view is not None and view.life == life and not view.is_losing


def note_grant(state, worker, now_ms):
    """Note that a lease was granted that ends at the latest `LEASE_MS` from now."""
    view = state.view_by_id[worker]
    view.grant_until_ms = max(view.grant_until_ms, now_ms + LEASE_MS + LEASE_MARGIN_MS)


def orders(state, worker, life):
    """Return the orders for a worker as JSON bytes.

    They hold what the newest report lacks: starts as rows of task, run, payload and
    checkpoint, stops and forgotten runs as rows of task and run, paces as rows of task,
    run and percent, and the number of the last end taken note of. A worker is watched
    while tasks that serve share it with fillers.
    """
    view = state.view_by_id.get(worker)
    body = {
        "seen_end": 0,
        "starts": [],
        "stops": [],
        "forget": [],
        "paces": [],
        "is_watched": False,
    }
    if view is None or view.life != life or state.registered_life(worker) != life:
        return json.dumps(body).encode()
    body["seen_end"] = state.store.worker_by_id[worker].seen_end
    runs = state.store.runs_of(worker, life)
    body["is_watched"] = any(task.step.target_ms for task in runs.values()) and any(
        task.step.is_filler for task in runs.values()
    )
    for key, task in runs.items():
        item, _, _ = state.store.find_task(task.id)
        reported = view.runs.get(key)
        if not item.is_open or task.is_done or key in state.stops:
            if reported is None or reported.phase in (views.ORDERED, views.ACTIVE):
                body["stops"].append(list(key))
        elif reported is None and key not in view.ended and _may_order(view):
            body["starts"].append([*key, item.payload, task.checkpoint])
        elif reported is not None and reported.phase == views.ACTIVE:
            pace = state.paces.get(key, 100)
            if pace != reported.pace:
                body["paces"].append([*key, pace])
    for key, reported in view.runs.items():
        if key in runs or key in state.recent_ends:
            if reported.phase == views.GONE and key not in runs:
                body["forget"].append(list(key))
        elif reported.phase == views.GONE:
            body["forget"].append(list(key))
        elif reported.phase != views.STOPPING:
            body["stops"].append(list(key))
    return json.dumps(body, separators=(",", ":")).encode()


def _may_order(view):
    """Tell whether starts make sense: a new agent does not know yet what runs."""
    return view.is_fenced and not view.is_losing


_BY_EVENT = {
    LeadershipGained: _on_leadership_gained,
    ReportReceived: _on_report,
    CommandApplied: _on_command_applied,
    Tick: _on_tick,
}

_BY_COMMAND = {
    commands.AssignRuns: _on_assigned,
    commands.RecordEnds: _on_ends_recorded,
    commands.ReleaseLife: _on_released,
    commands.RegisterLife: _on_registered,
    commands.CancelWorkflow: _on_ended,
    commands.FailWorkflow: _on_ended,
    commands.SubmitWorkflow: _on_submitted,
    commands.SetQueues: _ignore,
}
