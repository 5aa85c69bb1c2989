"""Moves of runs out of drained failure domains.

A run is stopped only once room for it is reserved in another domain. The reservation
lasts until the run has ended and its task is assigned there. A new leader knows no
reservations of its predecessor: the stopped tasks wait and are planned like others.
"""

import logging

from sardinegauge.workflows import (
    availability,
    besteffort,
    draining,
    stepcounts,
    views,
)
from sardinegauge.workflows.policies import drainmoves

# Least time between two choices of runs to move; longer if none could be moved.
INTERVAL_MS = 250
IDLE_INTERVAL_MS = 1000
# A new leader stops nothing for this long, so that the stops that its predecessor
# ordered show in the reports and count as unavailable members.
SETTLING_MS = 3000
# A reservation ends after this time, and a move no longer counts as under way.
RESERVATION_MS = 10_000
log = logging.getLogger(__name__)


class Move:
    """Runs that are being moved, with the reserved worker of each task."""

    __slots__ = ("begun_ms", "is_assigned", "keys", "target_by_task")

    def __init__(self, keys, target_by_task, begun_ms):
        self.keys = keys
        self.target_by_task = target_by_task
        self.begun_ms = begun_ms
        self.is_assigned = False


class DrainMoves:
    """Soft state of the moves that are under way."""

    __slots__ = ("begun_ms", "moves", "next_ms", "policy")

    def __init__(self, policy=None):
        self.policy = policy or drainmoves.MoveLongRuns()
        self.begun_ms = 0
        self.next_ms = 0
        self.moves = []

    def reserved_workers(self):
        """Return the reserved worker of each task that is not assigned yet."""
        return {
            task_id: worker
            for move in self.moves
            if not move.is_assigned
            for task_id, worker in move.target_by_task.items()
        }


def begin(state):
    """Start the time in which a new leader moves nothing."""
    state.drain_moves.begun_ms = state.now_ms


def tick(state):
    """Stop the next runs that leave their domain, within the limits of the policy."""
    drain_moves = state.drain_moves
    if drain_moves.moves:
        drain_moves.moves = [m for m in drain_moves.moves if _is_under_way(state, m)]
    if not state.domain_drains.by_domain or state.now_ms < max(
        drain_moves.begun_ms + SETTLING_MS, drain_moves.next_ms
    ):
        return
    moving_count = sum(len(move.keys) for move in drain_moves.moves)
    if moving_count >= drainmoves.MAX_CONCURRENT_MOVES:
        return
    drain_moves.next_ms = state.now_ms + IDLE_INTERVAL_MS
    units = [unit for unit in find_units(state) if drain_moves.policy.is_movable(unit)]
    if not units:
        return
    rooms = _Rooms(state)
    for unit in drain_moves.policy.choose(units, moving_count, rooms.reserve):
        drain_moves.next_ms = state.now_ms + INTERVAL_MS
        _stop(state, unit, rooms.move_by_unit[unit.keys[0]])


def _is_under_way(state, move):
    if state.now_ms - move.begun_ms >= RESERVATION_MS:
        return False
    return not all(_has_arrived(state, key) for key in move.keys)


def _has_arrived(state, key):
    """Return whether a moved task is active in a later run, or will have none."""
    task_id, run_number = key
    workflow, _, task = state.store.find_task(task_id)
    if task is None or task.is_done or not workflow.is_open:
        return True
    return any(
        run.number > run_number and _reported_phase(state, task, run) == views.ACTIVE
        for run in task.runs
    )


def _reported_phase(state, task, run):
    reported = availability.find_reported(state, task, run)
    return reported.phase if reported is not None else ""


def find_units(state):
    """Return the units with an active run in a drained domain, each once."""
    unit_by_id = {}
    rank_and_away_by_step = {}
    for view in draining.drained_views(state):
        for key, task in state.store.runs_of(view.id, view.incarnation).items():
            step = task.step
            if not (step.is_persistent or step.is_checkpointing):
                continue
            _, run_number = key
            step_id = task.id.rpartition(".")[0]
            unit_id = (step_id, run_number) if step.is_gang else key
            if unit_id not in unit_by_id:
                unit_by_id[unit_id] = _build_unit(
                    state, key, task, step_id, rank_and_away_by_step
                )
    return [unit for unit in unit_by_id.values() if unit is not None]


def _build_unit(state, key, task, step_id, rank_and_away_by_step):
    """Return the unit of a run, or None if it can't be stopped now.

    The rank and the number of members that are away are computed once for each step.
    """
    workflow, occurrence, _ = state.store.find_task(task.id)
    _, run_number = key
    members = occurrence.tasks_by_step[task.position]
    moved = members if task.step.is_gang else [task]
    left_ms = 0
    for member in moved:
        # A run that is not known to be active is withdrawn or about to end.
        if len(member.runs) != 1 or (member.id, run_number) in state.stop_reason_by_run:
            return None
        run = member.runs[0]
        reported = availability.find_reported(state, member, run)
        if (
            run.number != run_number
            or reported is None
            or reported.phase != views.ACTIVE
        ):
            return None
        member_left_ms = drainmoves.expected_left_ms(
            member.step,
            reported.progress,
            reported.survived_ms,
            bool(member.checkpoint),
        )
        left_ms = max(left_ms, member_left_ms)
    if not workflow.is_open:
        return None
    if step_id not in rank_and_away_by_step:
        rank = _rank(state, workflow, occurrence)
        rank_and_away_by_step[step_id] = (
            rank,
            availability.count_unavailable(state, members),
        )
    rank, away_count = rank_and_away_by_step[step_id]
    return drainmoves.Unit(
        keys=[(member.id, run_number) for member in moved],
        step_id=step_id,
        rank=rank,
        left_ms=left_ms,
        is_persistent=task.step.is_persistent,
        is_checkpointing=task.step.is_checkpointing,
        max_unavailable=task.step.max_unavailable,
        away_count=away_count,
    )


def _rank(state, workflow, occurrence):
    """Return the planner's sort key of an occurrence."""
    wall_ms = state.now_ms + state.wall_offset_ms
    queue = state.store.queue_of(workflow)
    return state.planner.ordering.key(workflow, queue, occurrence, wall_ms)


def _stop(state, unit, move):
    for task_id, run_number in unit.keys:
        _, _, task = state.store.find_task(task_id)
        run = task.runs[0]
        state.stop_reason_by_run[task_id, run_number] = draining.DRAINED_REASON
        state.push(run.worker, run.incarnation)
        log.info(
            "run_moved task=%s run=%d worker=%s domain=%r to=%s left_ms=%.0f away=%d",
            task_id,
            run_number,
            run.worker,
            state.view_by_id[run.worker].failure_domain,
            move.target_by_task[task_id],
            min(unit.left_ms, besteffort.MAX_LOGGED_GAIN_MS),
            unit.away_count,
        )


class _Rooms:
    """Room in the domains that are not drained.

    Each kind of task that finds no room is looked up once, as many runs of few kinds
    leave a domain together.
    """

    __slots__ = ("_candidates", "_full_kinds", "_state", "move_by_unit")

    def __init__(self, state):
        self._state = state
        self._candidates = state.candidates.find_usable(state, state.now_ms)
        self._full_kinds = set()
        self.move_by_unit = {}

    def reserve(self, unit):
        """Reserve room for all members of a unit; return whether there is any."""
        state = self._state
        workflow, occurrence, task = state.store.find_task(unit.keys[0][0])
        kind = _kind_of(unit, task.step, state.store.queue_of(workflow).pool)
        if kind in self._full_kinds:
            return False
        members = occurrence.tasks_by_step[task.position]
        moved_ids = {task_id for task_id, _ in unit.keys}
        counts = stepcounts.StepCounts(state, members, moved_ids)
        pool = state.store.queue_of(workflow).pool
        target_by_task = {}
        for task_id, _ in unit.keys:
            target = self._choose(pool, task_id, task.step, counts)
            if target is None:
                self._full_kinds.add(kind)
                # The room of the members before is given back.
                self._candidates = state.candidates.find_usable(state, state.now_ms)
                return False
            target.reserve(task.step)
            counts.add(target.view.id)
            target_by_task[task_id] = target.view.id
        move = Move(unit.keys, target_by_task, state.now_ms)
        self.move_by_unit[unit.keys[0]] = move
        state.drain_moves.moves.append(move)
        return True

    def _choose(self, pool, task_id, step, counts):
        state = self._state
        avoided = state.failed_workers_by_task.get(task_id, ())
        suitable = [
            candidate
            for candidate in self._candidates
            if candidate.view.pool == pool
            and counts.allows(candidate.view.id)
            and _is_suitable(state, candidate, step)
        ]
        if not suitable:
            return None
        score = state.planner.placement.score
        return max(suitable, key=lambda c: score(step, c, avoided))


def _kind_of(unit, step, pool):
    """Return what units have in common that find room on the same workers."""
    return (
        pool,
        step.required_label,
        step.image,
        step.is_filler,
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        len(unit.keys),
        unit.step_id if step.max_per_worker else "",
    )


def _is_suitable(state, candidate, step):
    """Return whether a task would run at full speed beside what runs on a worker."""
    view = candidate.view
    label = step.required_label
    return (
        candidate.free.fits(step)
        and (not label or label in view.labels)
        and not state.health.is_backing_off(view.id)
        and not state.isolation.is_isolated(view.id)
        and (
            not step.is_filler
            or (
                candidate.idle_millis >= step.cpu_millis
                and candidate.headroom(step) > besteffort.MIN_MOVE_HEADROOM
            )
        )
    )
