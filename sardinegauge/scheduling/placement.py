"""Policies that choose the worker of a task among those with enough capacity."""

import abc

from sardinegauge.scheduling import estimates, views

# Cost of a worker where the task has failed, so high that the task returns there only
# if it fits on no other worker.
FAILED_HERE_COST = 5.0
# Cost of each failure of any task on the worker since its last success. Without it, a
# worker where tasks fail at once always has free capacity and attracts all pending
# tasks.
COST_PER_FAILURE = 0.5
# Cost of using a worker with accelerators for a task that needs none.
ACCELERATOR_COST = 0.5
# Weight of the share of reserved cores relative to slow-downs, which are in multiples
# of a p99.
LOAD_WEIGHT = 0.25
# Weight, as a bonus, of the slow-down that the busiest groups would cause on a worker.
# Work that causes none there should use such workers, so that the workers that suit the
# busiest groups remain free.
BUSIEST_GROUPS_WEIGHT = 0.4
# Used cores beyond this share of a worker have an additional cost, since fluctuations
# of the usage would exceed the cores of the worker.
HIGH_USE_SHARE = 0.8
HIGH_USE_COST = 8.0
# A batch task waits if it would slow down services by more than this even on its best
# worker, at weights of 1. It is placed all the same after `planning.MAX_DEFER_MS`.
DEFER_SLOWDOWN = 0.4


class PlacementPolicy(abc.ABC):
    """Chooses one worker for a task among those where it fits."""

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
        free : capacity.FreeCapacity
            The free capacity of the worker before this task.
        """

    def penalty(self, state, task, free):
        """Return the cost of past failures and of using a worker with accelerators."""
        cost = COST_PER_FAILURE * state.outcomes.recent_failures(free.upstream)
        if free.upstream in task.failed_upstreams:
            cost += FAILED_HERE_COST
        if free.accelerators > 0 and not task.accelerators:
            cost += ACCELERATOR_COST
        return cost

    def is_worth_waiting(self, state, task, score):
        """Tell whether the task should wait instead of using the best worker."""
        return False

    def choose(self, state, task, demand, candidates, may_wait=False):
        """Return the best candidate, or None if none exists or the task must wait."""
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
    """Baseline: a random worker on which the task fits."""

    def score(self, state, task, demand, free):
        """Return a random cost."""
        return state.random.random()


class LeastLoaded(PlacementPolicy):
    """Baseline: the worker with the largest share of free cores."""

    def score(self, state, task, demand, free):
        """Return the share of the worker's cores that would be reserved."""
        return 1.0 - (free.cores - demand.cores) / max(free.total_cores, 1e-9)


class BestFit(PlacementPolicy):
    """Baseline: the worker with the least capacity left over after the task."""

    def score(self, state, task, demand, free):
        """Return the larger of the shares of cores and memory left over."""
        cores_share = (free.cores - demand.cores) / max(free.total_cores, 1e-9)
        memory_share = (free.memory_mb - demand.memory_mb) / max(
            free.total_memory_mb, 1
        )
        return max(cores_share, memory_share)


class InterferenceAware(PlacementPolicy):
    """Prefers workers with the least slow-down of services, then with the least load.

    The slow-down is predicted by the interference model. A batch task slows down the
    services of the worker; a service's replica is slowed down by the worker's batch
    tasks.
    """

    def score(self, state, task, demand, free):
        """Return the weighted slow-down plus the weighted load."""
        total_cores = max(free.total_cores, 1e-9)
        load = 1.0 - (free.cores - demand.cores) / total_cores
        view = state.views.get(free.upstream)
        if view is None:
            return LOAD_WEIGHT * load
        if task.service:
            slowdown = views.replica_slowdown(state, view, task.service)
        else:
            group = estimates.group_of(task)
            slowdown = views.added_slowdown(
                state, view, group, demand.cores / total_cores
            )
            slowdown -= BUSIEST_GROUPS_WEIGHT * views.busiest_groups_slowdown(
                state, view
            )
            used_share = view.used_share + demand.cores / total_cores
            load += HIGH_USE_COST * max(0.0, used_share - HIGH_USE_SHARE)
        return state.weights.tail_latency * slowdown + LOAD_WEIGHT * load

    def is_worth_waiting(self, state, task, score):
        """Tell whether the slow-down by a batch task outweighs its throughput."""
        if task.task_class != "batch":
            return False
        return score - LOAD_WEIGHT > DEFER_SLOWDOWN * state.weights.batch_throughput


def filter_by_spread(state, task, candidates):
    """Return the candidates that spread the replicas of the task's service best.

    They are in the failure domains with the fewest replicas; among these, in the racks
    and then on the workers with the fewest. Failure domains come first, since the loss
    of one removes more replicas than the loss of a rack.
    """
    counts = state.replica_counts_by_service.get(task.service)
    if not counts or not candidates:
        return candidates
    for place in ("failure_domain", "rack", "upstream"):
        replica_counts = counts[place]
        fewest = min(replica_counts.get(getattr(free, place), 0) for free in candidates)
        candidates = [
            free
            for free in candidates
            if replica_counts.get(getattr(free, place), 0) == fewest
        ]
    return candidates
