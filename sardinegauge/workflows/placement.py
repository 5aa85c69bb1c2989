"""Placement policies, which choose the worker of a task.

`SeparatingPlacement` is made for a load in which best-effort tasks interfere with
latency-critical tasks: it separates images with high interference from latency-critical
tasks. `FirstFit` is the baseline.
"""

import abc
import math

from sardinegauge.workflows import interference

# Penalties and bonuses in a score, relative to a worker's share of free cores.
OTHER_RACK_PENALTY = 0.8
AVOIDED_PENALTY = 2.0
LATENCY_CRITICAL_COLOCATION_BONUS = 0.5
# Average share of its reserved cores that a latency-critical task uses.
LATENCY_CRITICAL_CORE_USE = 0.55
HEADROOM_WEIGHT = 4.0
# Headroom above this does not raise the score.
HEADROOM_LIMIT = 0.1
LOW_INTERFERENCE_PENALTY = 0.5
# Weight of the highest pressure that a best-effort task adds to a latency-critical one.
# Headroom passes, since loads swing; the interference of images stays.
EFFECT_WEIGHT = 8.0
IDLE_WEIGHT = 0.2

# Penalty of a worker that stays cold for `FULL_COLD_MS` or longer. In a score that is
# the share of idle cores, such a worker gets half the load of a warm one.
COLD_PENALTY = 0.5
FULL_COLD_MS = 10_000


def cold_penalty(cold_ms):
    """Return the penalty of a worker that stays cold for some time.

    It is made for restored failure domains, whose workers are all idle and cold and
    would get nearly all the work at once.

    Examples
    --------
    >>> cold_penalty(0), cold_penalty(5_000), cold_penalty(60_000)
    (0.0, 0.25, 0.5)
    """
    return COLD_PENALTY * min(cold_ms / FULL_COLD_MS, 1.0)


class Candidate:
    """A worker and its free resources in the current plan.

    `free` is a `views.Room`. `best_effort_millis` are the thousandths of a core that
    the `best_effort_tasks` on the worker would use, `used_millis` the average use of
    its other tasks, `latency_critical_count` the number of its latency-critical tasks.
    `planned_images` are the images of those that the current plan starts there.
    `interference` is the model of all workers. `reservation_count` counts the
    reservations of the current plan, for tasks that the worker does not run yet; at
    most `start_limit` are allowed.
    """

    __slots__ = (
        "best_effort_millis",
        "best_effort_tasks",
        "free",
        "penalty",
        "planned_images",
        "reservation_count",
        "latency_critical_count",
        "interference",
        "start_limit",
        "used_millis",
        "view",
    )

    def __init__(self, view, free, interference_model, penalty=0.0):
        self.view = view
        self.free = free
        self.interference = interference_model
        self.penalty = penalty
        self.best_effort_millis = 0
        self.used_millis = 0
        self.latency_critical_count = 0
        self.best_effort_tasks = []
        self.planned_images = []
        self.reservation_count = 0
        self.start_limit = math.inf

    def fits(self, step):
        """Return whether one more task of a step may start and fits."""
        return self.reservation_count < self.start_limit and self.free.fits(step)

    def reserve(self, step, key=None):
        """Reserve the resources of one more task of a step.

        `key` is that of its run, None for a task that is only planned.
        """
        self.reservation_count += 1
        self.free.reserve(step)
        if step.is_filler:
            amount = interference.usage_units(step.cpu_millis, self.view.capacity)
            self.best_effort_millis += step.cpu_millis
            self.best_effort_tasks.append(
                interference.BestEffortTask(key, step.image, amount, amount)
            )
        elif step.target_ms:
            self.latency_critical_count += 1
            self.used_millis += LATENCY_CRITICAL_CORE_USE * step.cpu_millis
            if key is None:
                self.planned_images.append(step.image)
        else:
            self.used_millis += step.cpu_millis

    @property
    def idle_millis(self):
        """Thousandths of a core that are unused on average."""
        capacity = self.view.capacity.cpu_millis
        return capacity - self.used_millis - self.best_effort_millis

    def max_effect(self, step):
        """Return the highest pressure that one more best-effort task would add."""
        amount = interference.usage_units(step.cpu_millis, self.view.capacity)
        return self.interference.max_effect(
            self.view.id, step.image, amount, self.planned_images
        )

    def headroom(self, step):
        """Return the headroom that is left with one more best-effort task."""
        amount = interference.usage_units(step.cpu_millis, self.view.capacity)
        return self.interference.headroom(
            self.view.id,
            self.best_effort_tasks,
            step.image,
            amount,
            self.planned_images,
        )


class PlacementPolicy(abc.ABC):
    """Scores the workers on which a task fits.

    The planner chooses the highest score, and the first of equal ones. A score may
    depend on the tasks that were placed on the candidate, but on no other candidate.
    """

    @abc.abstractmethod
    def score(self, step, candidate, avoided):
        """Return the score of a candidate for a task of the step; higher is better.

        `avoided` holds the ids of workers on which the task failed or from which it was
        moved away.
        """


class FirstFit(PlacementPolicy):
    """Prefers no worker, so that the first one that fits is chosen."""

    def score(self, step, candidate, avoided):
        """Return the same score for every candidate."""
        return 0.0


class SeparatingPlacement(PlacementPolicy):
    """Gives the highest score to the worker that suits the kind of task best.

    Latency-critical tasks are packed on few workers, so that the other workers can take
    best-effort tasks with high interference. Best-effort tasks with low interference
    are placed beside latency-critical tasks. All other tasks are placed where most
    cores are idle.
    """

    def score(self, step, candidate, avoided):
        """Return the score of a candidate for a task of the step; higher is better."""
        if step.target_ms:
            score = _latency_critical_score(step, candidate)
        elif step.is_filler:
            score = _best_effort_score(step, candidate)
        else:
            score = candidate.idle_millis / max(candidate.view.capacity.cpu_millis, 1)
        if step.preferred_rack and step.preferred_rack not in candidate.view.labels:
            score -= OTHER_RACK_PENALTY
        if candidate.view.id in avoided:
            score -= AVOIDED_PENALTY
        return score - candidate.penalty


def _latency_critical_score(step, candidate):
    capacity = max(candidate.view.capacity.cpu_millis, 1)
    left = (candidate.free.cpu_millis - step.cpu_millis) / capacity
    score = -left - candidate.best_effort_millis / capacity
    return score + (
        LATENCY_CRITICAL_COLOCATION_BONUS if candidate.latency_critical_count else 0.0
    )


def _best_effort_score(step, candidate):
    speed = min(candidate.idle_millis / max(step.cpu_millis, 1), 1.0)
    headroom = min(candidate.headroom(step), HEADROOM_LIMIT)
    score = speed + HEADROOM_WEIGHT * headroom
    score -= EFFECT_WEIGHT * candidate.max_effect(step)
    if (
        not candidate.latency_critical_count
        and candidate.interference.is_low_interference(step.image)
    ):
        # Workers without latency-critical tasks are left to best-effort tasks with high
        # interference.
        score -= LOW_INTERFERENCE_PENALTY
    return score + IDLE_WEIGHT * candidate.idle_millis / max(
        candidate.view.capacity.cpu_millis, 1
    )
