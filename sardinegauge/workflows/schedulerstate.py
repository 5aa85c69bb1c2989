"""Soft state of the leader for workflows."""

import collections

from sardinegauge.workflows import (
    advising,
    health,
    planner,
    schedulerevents,
    sharing,
)


class State:
    """Soft state of the leader.

    `planned` holds the worker by task id of runs that are on their way into the log,
    `stops` the reasons by task id and run number of runs that shall stop.
    `moved_from` holds the worker by task id that a filler was moved away from,
    `refused_until_ms` tells by task id and worker until when a worker that refused a
    task isn't offered it again.
    """

    def __init__(self, machine):
        self.store = machine.workflows
        self.planner = planner.Planner()
        self.health = health.Health()
        self.sharing = sharing.Sharing()
        self.kept_ms = 0
        self.advising = advising.Advising()
        self.view_by_id = {}
        self.planned = {}
        self.stops = {}
        self.paces = {}
        self.slow_since_ms = {}
        self.moved_from = {}
        self.failed_on = {}
        self.refused_until_ms = {}
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
        self.effects.append(schedulerevents.Propose(command=command))

    def push(self, worker, life):
        """Add the effect that sends a worker's orders now."""
        self.effects.append(schedulerevents.Push(worker=worker, life=life))
