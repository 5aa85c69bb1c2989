"""On which worker a task runs.

`Sorted` answers a load in which fillers disturb tasks that serve: it keeps the two
apart where they disturb each other much. `FirstFit` is the baseline.
"""

import abc

from sardinegauge.workflows import sharing

# Weights of a worker's share of free room and of what speaks against it.
FAR_PENALTY = 0.8
AVOIDED_PENALTY = 2.0
SERVING_TOGETHER = 0.5
# A serving task uses about this share of its cores.
SERVING_USE = 0.55
HEADROOM_WEIGHT = 4.0
# More headroom than this makes no worker better.
HEADROOM_LIMIT = 0.1
LIGHT_PENALTY = 0.5
IDLE_WEIGHT = 0.2


class Candidate:
    """A worker with the room that is left in the present plan.

    `free` is a `views.Room` of what is left. `filler_millis` are the cores that
    `fillers` there would use, `used_millis` those that the other tasks use on average,
    `serving` the number of tasks that serve. `sharing` tells how fillers disturb them.
    """

    __slots__ = (
        "filler_millis",
        "fillers",
        "free",
        "penalty",
        "serving",
        "sharing",
        "used_millis",
        "view",
    )

    def __init__(self, view, free, sharing_model, penalty=0.0):
        self.view = view
        self.free = free
        self.sharing = sharing_model
        self.penalty = penalty
        self.filler_millis = 0
        self.used_millis = 0
        self.serving = 0
        self.fillers = []

    def take(self, step, key=None):
        """Count one more task of a step."""
        self.free.take(step)
        if step.is_filler:
            amount = sharing.usage_units(step.cpu_millis, self.view.capacity)
            self.filler_millis += step.cpu_millis
            self.fillers.append(sharing.Filler(key, step.image, amount, amount))
        elif step.target_ms:
            self.serving += 1
            self.used_millis += SERVING_USE * step.cpu_millis
        else:
            self.used_millis += step.cpu_millis

    @property
    def idle_millis(self):
        """Cores that nothing uses on average."""
        capacity = self.view.capacity.cpu_millis
        return capacity - self.used_millis - self.filler_millis

    def headroom(self, step):
        """Return how far the serving tasks stay from harm with one more filler."""
        amount = sharing.usage_units(step.cpu_millis, self.view.capacity)
        return self.sharing.headroom(self.view.id, self.fillers, step.image, amount)


class Placing(abc.ABC):
    """Chooses among workers that all fit."""

    def score(self, step, candidate, avoided):
        """Return how well a task of the step would run on the candidate."""
        return 0.0

    @abc.abstractmethod
    def choose(self, step, task, candidates, avoided):
        """Return one of the candidates; there is at least one.

        `avoided` holds the ids of workers on which the task failed, or which it left.
        """


class FirstFit(Placing):
    """The first worker that fits."""

    def choose(self, step, task, candidates, avoided):
        """Return the first candidate."""
        return candidates[0]


class Sorted(Placing):
    """Chooses by the kind of task.

    Tasks that serve are packed on few workers, so that others stay free of them, and
    fillers that disturb much go to those. Fillers that disturb little go beside tasks
    that serve. Other tasks go where most cores are idle.
    """

    def choose(self, step, task, candidates, avoided):
        """Return the candidate with the highest score."""
        return max(candidates, key=lambda c: self.score(step, c, avoided))

    def score(self, step, candidate, avoided):
        """Return how well a task of the step would run on the candidate."""
        if step.target_ms:
            score = _serving_score(step, candidate)
        elif step.is_filler:
            score = _filler_score(step, candidate)
        else:
            score = candidate.idle_millis / max(candidate.view.capacity.cpu_millis, 1)
        if step.preferred_rack and step.preferred_rack not in candidate.view.labels:
            score -= FAR_PENALTY
        if candidate.view.id in avoided:
            score -= AVOIDED_PENALTY
        return score - candidate.penalty


def _serving_score(step, candidate):
    capacity = max(candidate.view.capacity.cpu_millis, 1)
    left = (candidate.free.cpu_millis - step.cpu_millis) / capacity
    score = -left - candidate.filler_millis / capacity
    return score + (SERVING_TOGETHER if candidate.serving else 0.0)


def _filler_score(step, candidate):
    speed = min(candidate.idle_millis / max(step.cpu_millis, 1), 1.0)
    headroom = min(candidate.headroom(step), HEADROOM_LIMIT)
    score = speed + HEADROOM_WEIGHT * headroom
    if not candidate.serving and candidate.sharing.is_low_interference(step.image):
        # Others need the place more.
        score -= LIGHT_PENALTY
    return score + IDLE_WEIGHT * candidate.idle_millis / max(
        candidate.view.capacity.cpu_millis, 1
    )
