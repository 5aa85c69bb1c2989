"""Reducer of one replica, which combines agreement, state machine and scheduler.

`reduce` takes the state and one event, of `raft`, of `leaderexchange` or of this
module. It returns effects of `raftstate`, `replicaeffects` and the workflow modules,
which the application executes in order.
"""

import json
import logging

from sardinegauge import commands, outcome, record
from sardinegauge.agreement import membership, raft, raftstate, reads, snapshotting
from sardinegauge.links import httpmessages, messages
from sardinegauge.state import (
    directivedelivery,
    memorylimit,
    replicaeffects,
    replicasteps,
    requests,
)
from sardinegauge.workflows import leaderexchange, queuetransfer

# Limits of the entries applied per event, so that a long log does not delay heartbeats.
# A large entry, such as a set of 1,000 queues, takes as long as hundreds of small ones.
APPLY_BATCH = 256
APPLY_BATCH_BYTES = 32 << 10
SNAPSHOT_ENTRIES = 10_000
# Settled claims hold whole responses, so a log of fewer entries can be large.
SNAPSHOT_LOG_BYTES = 64 << 20
MAX_LOGGED_PROBLEM_LENGTH = 200

log = logging.getLogger(__name__)


class RequestReceived(record.Record):
    """A request arrived over a link; its `Reply` effect carries the same `token`."""

    __slots__ = ("message", "now_ms", "token", "wall_ms")


class SchedulerTick(record.Record):
    """Periodic event of the scheduler; expected every 100 ms.

    `resident_bytes` is the memory that the process uses, 0 if that is not known.
    """

    __slots__ = ("now_ms", "resident_bytes", "wall_ms")
    _defaults = {"resident_bytes": 0}


class ApplyCommitted(record.Record):
    """Continue to apply committed entries; answers the effect `ScheduleApply`."""

    __slots__ = ("now_ms",)


class StopRequested(record.Record):
    """Refuse further commands and transfer the leadership."""

    __slots__ = ("now_ms",)


class Modules(record.Record):
    """The modules that a replica uses, see section 16 of the design page."""

    __slots__ = ("machine", "queries", "directory", "scheduler", "has_workflows")
    _defaults = {"has_workflows": False}


class State:
    """State of one replica.

    Parameters
    ----------
    identity : str
        Identity of this replica.
    address : str
        Address at which other processes connect to this replica.
    stored : storage.Stored
        Contents of the data folder.
    modules : Modules
        The modules to use.
    now_ms : int
        Monotonic time of creation.
    target_voters : int
        See `raftstate.State`.
    replacement_ms : int
        See `raftstate.State`.
    memory_bytes : int
        Memory of the machine, 0 without a limit.
    """

    def __init__(
        self,
        identity,
        address,
        stored,
        modules,
        now_ms,
        target_voters=0,
        replacement_ms=raftstate.REPLACEMENT_MS,
        memory_bytes=0,
    ):
        self.address = address
        self.modules = modules
        self.raft = raftstate.State(
            identity, stored, now_ms, target_voters, replacement_ms
        )
        self.machine = modules.machine.Machine()
        self.memory = memorylimit.MemoryLimit(memory_bytes=memory_bytes)
        self.applied_index = stored.snapshot.index
        if stored.snapshot.blob:
            _, data = membership.unpack_snapshot(stored.snapshot.blob)
            self.machine = modules.machine.from_snapshot(json.loads(data))
        self.scheduler = None
        self.snapshotting = None
        self.now_ms = now_ms
        self.wall_ms = 0
        # Term of an election won whose scheduler has not started yet, else 0.
        self.pending_term = 0
        self.is_stopping = False
        self.is_apply_scheduled = False
        self.proposals_by_index = {}
        self.reads = reads.Reads()
        self.agents = directivedelivery.Agents()
        self.leader_exchange = leaderexchange.LeaderExchange()
        self.queue_encodings = queuetransfer.Encodings()
        self.effects = []

    @property
    def is_leading(self):
        """Tell whether this replica leads and its machine holds all earlier terms."""
        return self.scheduler is not None

    def emit(self, effect):
        """Add an effect to the result of the current event."""
        self.effects.append(effect)


def reduce(state, event):
    """Apply one event and return the list of effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    if isinstance(event, raft.Event):
        replicasteps.step_raft(state, event)
    else:
        _BY_EVENT[type(event)](state, event)
    _apply_committed(state)
    effects, state.effects = state.effects, []
    return effects


def _on_request(state, event):
    state.wall_ms = event.wall_ms
    handler = _BY_MESSAGE.get(type(event.message))
    if handler is None:
        reason = f"unexpected message {type(event.message).__name__}"
        refusal = httpmessages.Abort(
            verdict=outcome.Verdict.NOT_RUN.value, reason=reason
        )
        state.emit(replicaeffects.Reply(token=event.token, message=refusal))
        return
    handler(state, event.token, event.message)


def _on_scheduler_tick(state, event):
    state.wall_ms = event.wall_ms
    state.memory.resident_bytes = event.resident_bytes
    if state.is_leading:
        directivedelivery.step_scheduler(
            state, state.modules.scheduler.Tick(now_ms=state.now_ms)
        )
        leaderexchange.tick(state)
        state.memory.held_bytes = leaderexchange.held_bytes(state)
    directivedelivery.expire(state)


def _on_apply_committed(state, event):
    """Let `reduce` apply committed entries, as it does after every event."""
    state.is_apply_scheduled = False


def _on_stop_requested(state, event):
    state.is_stopping = True
    replicasteps.step_raft(state, raft.TransferRequested(now_ms=state.now_ms))


# Committed entries.


def _apply_committed(state):
    raft_log = state.raft.log
    last_index = min(state.raft.commit_index, state.applied_index + APPLY_BATCH)
    left_bytes = APPLY_BATCH_BYTES
    while state.applied_index < last_index and left_bytes > 0:
        entry = raft_log.entry(state.applied_index + 1)
        state.applied_index += 1
        left_bytes -= len(entry.body)
        _apply(state, entry)
    _start_scheduler(state)
    _answer_reads(state)
    _advance_snapshot(state)
    # In a group of one member, the steps above may have committed more entries.
    is_behind = state.applied_index < state.raft.commit_index
    if is_behind and not state.is_apply_scheduled:
        state.is_apply_scheduled = True
        state.emit(replicaeffects.ScheduleApply())


def _apply(state, entry):
    proposal = state.proposals_by_index.pop(entry.index, None)
    if entry.kind == "members":
        if proposal is not None:
            requests.reply_ran(state, proposal.token, outcome.Accepted(), entry.index)
        return
    if entry.kind != "command":
        return
    command = proposal.command if proposal else commands.REGISTRY.loads(entry.body)
    assigned_tasks = _assigned_tasks(state, command)
    answer = _apply_command(state, entry.index, command)
    if proposal is not None:
        requests.reply_ran(state, proposal.token, answer, entry.index)
    if isinstance(answer, outcome.Invalid):
        # The command changed nothing, and its fields may be of any type.
        if proposal is not None and proposal.token is None:
            _on_own_command_refused(state, entry.index, command, answer)
        return
    _emit_wait_times(state, command, assigned_tasks)
    if isinstance(command, commands.WorkerLost):
        directivedelivery.on_loss_applied(state, command.upstream)
    if state.is_leading:
        directivedelivery.step_scheduler(
            state,
            state.modules.scheduler.CommandApplied(
                now_ms=state.now_ms, index=entry.index, command=command, answer=answer
            ),
        )
        leaderexchange.on_command_applied(state, entry.index, command, answer)


def _on_own_command_refused(state, index, command, answer):
    """Log a refusal, which only a fault of the system causes, and report it back."""
    kind = type(command).__name__
    log.error(
        "command_refused index=%d kind=%s problems=%d first=%.*s",
        index,
        kind,
        len(answer.problems),
        MAX_LOGGED_PROBLEM_LENGTH,
        answer.problems[:1],
    )
    state.emit(replicaeffects.CommandRefused(kind=kind))
    if state.is_leading:
        leaderexchange.on_command_refused(state, command)


def _assigned_tasks(state, command):
    """Return the assigned tasks of a report, which may set them to running."""
    if not state.is_leading or not isinstance(command, commands.ReportTasks):
        return []
    by_id = state.machine.tasks.by_id
    try:
        reported_tasks = [by_id.get(change.task) for change in command.changes]
    except (TypeError, AttributeError):
        return []  # The machine is going to refuse the command.
    return [
        task for task in reported_tasks if task is not None and task.state == "assigned"
    ]


def _emit_wait_times(state, command, assigned_tasks):
    for task in assigned_tasks:
        if task.state == "running":
            state.emit(
                replicaeffects.TaskWaited(
                    tenant=task.tenant,
                    task_class=task.task_class,
                    wait_ms=max(0, command.at_ms - task.pending_since_ms),
                )
            )


def _apply_command(state, index, command):
    """Apply a command and answer an exception with `Invalid`.

    All replicas apply the same command, so an exception would stop every one of them.
    """
    try:
        return state.modules.machine.apply(state.machine, index, command)
    except MemoryError:
        raise  # It depends on this VM; other replicas may have applied the command.
    except Exception as error:
        log.exception("command_failed index=%d kind=%s", index, type(command).__name__)
        return outcome.Invalid(problems=[["", f"{type(error).__name__}: {error}"]])


def _advance_snapshot(state):
    if state.snapshotting is not None:
        event = snapshotting.step(state)
        if event is not None:
            replicasteps.step_raft(state, event)
        return
    new_entries = state.applied_index - state.raft.snapshot.index
    is_large = state.raft.log.size_bytes >= SNAPSHOT_LOG_BYTES
    if new_entries >= SNAPSHOT_ENTRIES or (is_large and new_entries):
        snapshotting.start(state)


def _answer_reads(state):
    """Answer the confirmed reads whose read index has been applied."""
    if not state.reads.confirmed:
        return
    confirmed_reads, state.reads.confirmed = state.reads.confirmed, []
    for read in confirmed_reads:
        if read.index > state.applied_index or not state.is_leading:
            state.reads.confirmed.append(read)
        else:
            _READ_HANDLERS[type(read.message)](state, read)


# Effects of the agreement reducer.


def _on_restore_state_machine(state, effect):
    state.snapshotting = None
    state.machine = state.modules.machine.from_snapshot(json.loads(effect.data))
    state.applied_index = effect.index


def _on_leadership_gained(state, effect):
    log.info(
        "leadership_gained term=%d unapplied=%d",
        effect.term,
        state.raft.term_start_index - state.applied_index,
    )
    state.pending_term = effect.term


def _start_scheduler(state):
    """Start the scheduler once the machine holds all entries of earlier terms."""
    if not state.pending_term or state.applied_index < state.raft.term_start_index:
        return
    state.scheduler = state.modules.scheduler.State(state.machine)
    event = state.modules.scheduler.LeadershipGained(
        now_ms=state.now_ms, term=state.pending_term
    )
    term, state.pending_term = state.pending_term, 0
    directivedelivery.step_scheduler(state, event)
    if state.modules.has_workflows:
        leaderexchange.start(state, term)


def _on_leadership_lost(state, effect):
    log.info("leadership_lost term=%d reason=%r", state.raft.term, effect.reason)
    state.pending_term = 0
    if state.scheduler is not None:
        lost = state.modules.scheduler.LeadershipLost(now_ms=state.now_ms)
        directivedelivery.step_scheduler(state, lost)
        state.scheduler = None
    directivedelivery.on_leadership_lost(state)
    leaderexchange.stop(state)
    requests.on_leadership_lost(state)


def _on_read_ready(state, effect):
    reads.on_read_ready(state, effect.read, effect.index)


def _on_read_failed(state, effect):
    reads.on_read_failed(state, effect.read)


_BY_EVENT = {
    RequestReceived: _on_request,
    SchedulerTick: _on_scheduler_tick,
    ApplyCommitted: _on_apply_committed,
    StopRequested: _on_stop_requested,
    **leaderexchange.EVENTS,
}

_BY_MESSAGE = {
    messages.Propose: requests.on_propose,
    messages.Query: reads.ask_read,
    messages.Poll: reads.ask_read,
    messages.Heartbeat: directivedelivery.on_heartbeat,
    messages.JoinRequest: requests.on_join,
    messages.WorkerReport: leaderexchange.on_report,
}

_READ_HANDLERS = {
    messages.Query: requests.answer_query,
    messages.Poll: requests.answer_poll,
    messages.Heartbeat: directivedelivery.on_read_ready,
    directivedelivery.PushRound: directivedelivery.on_push_ready,
    messages.WorkerReport: leaderexchange.on_read_ready,
}

replicasteps.raft_handlers.update(
    {
        raftstate.RestoreStateMachine: _on_restore_state_machine,
        raftstate.LeadershipGained: _on_leadership_gained,
        raftstate.LeadershipLost: _on_leadership_lost,
        raftstate.ReadReady: _on_read_ready,
        raftstate.ReadFailed: _on_read_failed,
    }
)
