"""Placement policies: which of the workers with room gets a task."""

import abc


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

    def choose(self, state, task, demand, candidates):
        """Return the best candidate, or None when all are refused."""
        best, best_score = None, None
        for free in candidates:
            score = self.score(state, task, demand, free)
            if score is None:
                continue
            if best is None or (score, free.upstream) < (best_score, best.upstream):
                best, best_score = free, score
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
