"""On which worker a task runs.

`Spread` answers the usual load, in which there is room for all: it keeps workers evenly
loaded, so that fillers find idle cores everywhere, and avoids slow and failing ones.
`FirstFit` is the baseline.
"""

import abc

from sardinegauge.workflows import sharing

# Weights of a worker's share of free room and of what speaks against it.
FAR_PENALTY = 0.8
FAILED_HERE_PENALTY = 2.0
FILLER_NEAR_SERVING_PENALTY = 0.5
HEADROOM_WEIGHT = 4.0
# More headroom than this makes no worker better.
HEADROOM_LIMIT = 0.15


class Candidate:
    """A worker with the room that is left in the present plan.

    `free` is a `views.Room` of what is left. `filler_millis` are the cores that
    `fillers` there would use. `sharing` tells how they disturb tasks that serve.
    """

    __slots__ = ("filler_millis", "fillers", "free", "penalty", "sharing", "view")

    def __init__(self, view, free, sharing_model, penalty=0.0):
        self.view = view
        self.free = free
        self.sharing = sharing_model
        self.penalty = penalty
        self.filler_millis = 0
        self.fillers = []

    def take(self, step, key=None):
        """Count one more task of a step."""
        self.free.take(step)
        if step.is_filler:
            amount = sharing.amount_of(step, self.view.capacity)
            self.filler_millis += step.cpu_millis
            self.fillers.append(sharing.Filler(key, step.image, amount, 100))

    def headroom(self, step):
        """Return how far the serving tasks stay from harm with one more filler."""
        amount = sharing.amount_of(step, self.view.capacity)
        return self.sharing.headroom(self.view.id, self.fillers, step.image, amount)


class Placing(abc.ABC):
    """Chooses among workers that all fit."""

    @abc.abstractmethod
    def choose(self, step, task, candidates, failed_on):
        """Return one of the candidates; there is at least one.

        `failed_on` holds the ids of workers on which the task failed before.
        """


class FirstFit(Placing):
    """The first worker that fits."""

    def choose(self, step, task, candidates, failed_on):
        """Return the first candidate."""
        return candidates[0]


class Spread(Placing):
    """The worker with the largest share of free room, corrected by what is known."""

    def choose(self, step, task, candidates, failed_on):
        """Return the candidate with the highest score."""
        return max(candidates, key=lambda c: self.score(step, c, failed_on))

    def score(self, step, candidate, failed_on):
        """Return how well a task of the step would run on the candidate."""
        capacity = candidate.view.capacity
        idle_millis = candidate.free.cpu_millis - candidate.filler_millis
        score = idle_millis / max(capacity.cpu_millis, 1)
        if not step.is_filler:
            score = candidate.free.cpu_millis / max(capacity.cpu_millis, 1)
        score += 0.1 * candidate.free.memory_mb / max(capacity.memory_mb, 1)
        if step.preferred_rack and step.preferred_rack not in candidate.view.labels:
            score -= FAR_PENALTY
        if candidate.view.id in failed_on:
            score -= FAILED_HERE_PENALTY
        if step.is_filler:
            score += HEADROOM_WEIGHT * min(candidate.headroom(step), HEADROOM_LIMIT)
        elif step.target_ms:
            share = candidate.filler_millis / max(capacity.cpu_millis, 1)
            score -= FILLER_NEAR_SERVING_PENALTY * share
        return score - candidate.penalty
