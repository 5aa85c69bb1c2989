"""Policies that choose the worker of a task among those with enough capacity."""

import abc

from sardinegauge.scheduling import estimates, views

# A job's task goes back to a worker where it failed only when nothing else has room.
FAILED_HERE = 5.0
# Failures of anything since the last success make a worker less attractive, so that
# one that fails at once does not draw all pending tasks.
FAILURE = 0.5
# Workers with accelerators are left to tasks that need them.
ACCELERATOR = 0.5
# Weight of the share of used cores, beside slow-downs in multiples of a p99.
BALANCE = 0.25
# Weight of the harm that other groups would do on a worker: it is taken by work that
# does none there, and the workers that suit the others stay free.
OTHERS = 0.4
# Used cores beyond this share of a worker cost this much more, since waves of usage
# would exceed its cores.
FULL_SHARE = 0.8
CROWDED = 8.0
# A batch task waits when its best place slows services down by this much at weights of
# 1; it goes there all the same once it has waited for `MAX_DEFER_MS`.
DEFER_HARM = 0.4


class PlacementPolicy(abc.ABC):
    """Chooses one worker for a task among those that have room for it."""

    @abc.abstractmethod
    def score(self, state, task, demand, free):
        """Return the cost of placing the task on this worker; the lowest wins.

        Parameters
        ----------
        state : scheduler.State
            Read only.
        task : tasks.Task
            The pending task.
        demand : capacity.Demand
            What will be reserved for it.
        free : capacity.Free
            The room left on the worker before this task.
        """

    def penalty(self, state, task, free):
        """Return the cost of past failures and of blocking accelerators."""
        cost = FAILURE * state.outcomes.recent_failures(free.upstream)
        if free.upstream in task.failed_upstreams:
            cost += FAILED_HERE
        if free.accelerators > 0 and not task.accelerators:
            cost += ACCELERATOR
        return cost

    def is_worth_waiting(self, state, task, score):
        """Tell whether the task should rather wait than take the best place."""
        return False

    def choose(self, state, task, demand, candidates, may_wait=False):
        """Return the best candidate, or None to let the task wait."""
        best, best_score = None, None
        for free in candidates:
            score = self.score(state, task, demand, free)
            score += self.penalty(state, task, free)
            if best is None or (score, free.upstream) < (best_score, best.upstream):
                best, best_score = free, score
        if may_wait and best and self.is_worth_waiting(state, task, best_score):
            return None
        return best


class RandomFit(PlacementPolicy):
    """Baseline: any worker with room, at random."""

    def score(self, state, task, demand, free):
        """Return a random cost."""
        return state.random.random()


class LeastLoaded(PlacementPolicy):
    """Baseline: the worker with the largest share of free cores."""

    def score(self, state, task, demand, free):
        """Return the share of the worker's cores that would be reserved."""
        return 1.0 - (free.cores - demand.cores) / max(free.room_cores, 1e-9)


class BestFit(PlacementPolicy):
    """Baseline: the worker whose room the task fills most closely."""

    def score(self, state, task, demand, free):
        """Return the larger of the shares of cores and memory left over."""
        cores = (free.cores - demand.cores) / max(free.room_cores, 1e-9)
        memory = (free.memory_mb - demand.memory_mb) / max(free.room_memory_mb, 1)
        return max(cores, memory)


class InterferenceAware(PlacementPolicy):
    """Least harm to services by what was learned of their interference, then load.

    For a batch task the harm is what it adds to the p99 of the worker's services; for
    a service's replica it is what the batch work there does to the replica.
    """

    def score(self, state, task, demand, free):
        """Return the weighted harm plus a share for the load."""
        room_cores = max(free.room_cores, 1e-9)
        load = 1.0 - (free.cores - demand.cores) / room_cores
        view = state.views.get(free.upstream)
        if view is None:
            return BALANCE * load
        if task.service:
            harm = views.replica_slowdown(state, view, task.service)
        else:
            group = estimates.group_of(task)
            harm = views.added_slowdown(state, view, group, demand.cores / room_cores)
            harm -= OTHERS * views.busiest_groups_slowdown(state, view)
            used = view.used_share + demand.cores / room_cores
            load += CROWDED * max(0.0, used - FULL_SHARE)
        return state.weights.tail_latency * harm + BALANCE * load

    def is_worth_waiting(self, state, task, score):
        """Let batch work wait where its harm outweighs its throughput."""
        if task.task_class != "batch":
            return False
        return score - BALANCE > DEFER_HARM * state.weights.batch_throughput


def filter_by_spread(state, task, candidates):
    """Keep the candidates that spread a service best, as far as its replicas allow.

    Failure domains come first, then racks, then workers: the loss of a domain takes
    more replicas than the loss of a rack.
    """
    counts = state.spread_by_service.get(task.service)
    if not counts or not candidates:
        return candidates
    for place in ("failure_domain", "rack", "upstream"):
        table = counts[place]
        fewest = min(table.get(getattr(free, place), 0) for free in candidates)
        candidates = [
            free for free in candidates if table.get(getattr(free, place), 0) == fewest
        ]
    return candidates
