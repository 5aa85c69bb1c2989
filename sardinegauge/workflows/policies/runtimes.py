"""Estimates of how long tasks really run, compared with what callers declare.

It is made for a load whose declared run times are off by up to 90 percent, or by a
factor of ten, and differ in that by queue, image and step. The ratio of actual to
declared run time is learned as a logarithm, since errors by the same factor in either
direction count alike. Tasks of one step have the same declared run time, so those that
have ended or progressed are the best evidence about the others. Only time at full speed
counts: a best-effort run that is throttled, or that gets fewer cores than declared,
teaches nothing about that time.
"""

import abc
import collections
import logging
import math
import weakref

from sardinegauge.workflows import store, views

# Declared run time of steps without one.
DEFAULT_ESTIMATE_MS = 1000
# Ratios beyond this, or below its inverse, are taken for it.
MAX_RATIO = 10.0
MAX_LOG_RATIO = math.log(MAX_RATIO)
# Number of steps whose evidence weighs as much as the assumption of the level above:
# that a queue's ratio is 1, and that an image's ratio is that of its queue.
PRIOR_STEPS = 2.0
# Steps after which older evidence fades, so that a row follows a change of the load.
MAX_STEPS = 20.0
# Variance of the logarithm between steps that is assumed before there is evidence, and
# of the tasks within one step.
PRIOR_VARIANCE = 0.5
TASK_VARIANCE = 0.05
# Bounds of the number of tasks that the estimate for a step's image counts as.
MIN_PRIOR_TASKS = 0.1
MAX_PRIOR_TASKS = 5.0
# A run counts as evidence from this progress on, in percent; it is reported coarsely.
MIN_ACTIVE_PROGRESS = 5.0
MIN_ENDED_PROGRESS = 30.0
# A best-effort run with less than this share of its declared cores is slowed down.
FULL_SPEED_SHARE = 0.9
# The end of a run is known this exactly, or to this share of its run time, or not used.
MAX_END_ERROR_MS = 1000
MAX_END_ERROR_SHARE = 0.2
# Limits of the ratios that are kept, and of those that are replicated.
MAX_KEPT_RATIOS = 2000
MAX_ROWS = 200
# A row is proposed again when the logarithm of its ratio has changed by this.
ROW_CHANGE = 0.1
# Ratios named in one log line.
MAX_LOGGED_RATIOS = 8
log = logging.getLogger(__name__)


class RunTimes(abc.ABC):
    """Estimates the run times of tasks at full speed."""

    @abc.abstractmethod
    def ratio(self, queue_name, occurrence, position):
        """Return the ratio of actual to declared run time of one step's tasks."""

    def task_ms(self, queue_name, occurrence, position):
        """Return the estimated run time of a task of one step at full speed, in ms."""
        step = occurrence.tasks_by_step[position][0].step
        declared_ms = step.estimate_ms or DEFAULT_ESTIMATE_MS
        return declared_ms * self.ratio(queue_name, occurrence, position)


class DeclaredRunTimes(RunTimes):
    """Takes the declared run times as they are."""

    def ratio(self, queue_name, occurrence, position):
        """Return 1."""
        return 1


class Ratio:
    """Mean and variance of the logarithm of a ratio over steps.

    `weight` is the number of steps that it rests on, at most `MAX_STEPS`.
    """

    __slots__ = ("mean", "variance", "weight")

    def __init__(self, mean=0.0, variance=0.0, weight=0.0):
        self.mean = mean
        self.variance = variance
        self.weight = weight

    def add(self, log_ratio, weight):
        """Add the ratio of a task that counts as `weight` steps.

        Examples
        --------
        >>> ratio = Ratio()
        >>> ratio.add(1.0, 1.0)
        >>> ratio.add(2.0, 1.0)
        >>> ratio.mean, ratio.variance, ratio.weight
        (1.5, 0.25, 2.0)
        """
        self.weight = min(self.weight + weight, MAX_STEPS)
        rate = weight / self.weight
        change = log_ratio - self.mean
        self.mean += rate * change
        self.variance = (1 - rate) * (self.variance + rate * change * change)

    def shrunk(self, mean, variance):
        """Return mean and variance, drawn towards those of the level above."""
        total = self.weight + PRIOR_STEPS
        return (
            (self.weight * self.mean + PRIOR_STEPS * mean) / total,
            (self.weight * self.variance + PRIOR_STEPS * variance) / total,
        )


class _StepEvidence:
    """What the runs of one step's tasks tell about the others.

    `active_by_run` holds the logarithm of the ratio and its weight by run key.
    """

    __slots__ = ("active_by_run", "ended_sum", "ended_weight")

    def __init__(self):
        self.ended_sum = 0.0
        self.ended_weight = 0.0
        self.active_by_run = {}

    def add_ended(self, log_ratio, weight):
        self.ended_sum += log_ratio * weight
        self.ended_weight += weight

    def mean(self, prior_mean, prior_variance):
        """Return the mean of the evidence and of the estimate for the image."""
        prior_weight = min(
            max(TASK_VARIANCE / max(prior_variance, 1e-6), MIN_PRIOR_TASKS),
            MAX_PRIOR_TASKS,
        )
        total = prior_weight * prior_mean + self.ended_sum
        weight = prior_weight + self.ended_weight
        for log_ratio, run_weight in self.active_by_run.values():
            total += log_ratio * run_weight
            weight += run_weight
        return total / weight


class _RunWatch:
    """The full-speed time and progress of one active run.

    Times are in ms since the run became active, progress is in percent. `full_ms` and
    `full_progress` sum up the parts between two reports without a sign of throttling.
    """

    __slots__ = (
        "active_from_ms",
        "cpu_cap",
        "first_ms",
        "first_progress",
        "full_ms",
        "full_progress",
        "is_slowed",
        "occurrence",
        "progress",
        "queue_name",
        "step",
        "survived_ms",
        "task",
    )

    def __init__(self, queue_name, occurrence, task, reported, now_ms):
        self.queue_name = queue_name
        self.occurrence = occurrence
        self.task = task
        self.step = task.step
        self.active_from_ms = now_ms - reported.survived_ms
        # A run that was restored did not do all of its work itself.
        is_restored = bool(task.checkpoint)
        self.first_ms = reported.survived_ms if is_restored else 0
        self.first_progress = reported.progress if is_restored else 0
        self.survived_ms = self.first_ms
        self.progress = self.first_progress
        self.cpu_cap = reported.cpu_cap
        self.is_slowed = False
        self.full_ms = 0
        self.full_progress = 0.0

    def update(self, reported, now_ms):
        """Add the part of the run since the previous report."""
        # Reports take time on their way, so the earliest start is the best estimate.
        self.active_from_ms = min(self.active_from_ms, now_ms - reported.survived_ms)
        if reported.survived_ms > self.survived_ms:
            if self._is_at_full_speed(reported):
                self.full_ms += reported.survived_ms - self.survived_ms
                self.full_progress += max(reported.progress - self.progress, 0)
            else:
                self.is_slowed = True
            self.survived_ms = reported.survived_ms
            self.progress = reported.progress
        self.cpu_cap = reported.cpu_cap

    def _is_at_full_speed(self, reported):
        if min(self.cpu_cap, reported.cpu_cap) < 100:
            return False
        # Other tasks hold a reservation of their cores.
        if not self.step.is_filler:
            return True
        return reported.load >= FULL_SPEED_SHARE * self.step.cpu_millis

    def active_evidence(self):
        """Return the logarithm of the ratio and its weight, or None."""
        if self.full_progress < MIN_ACTIVE_PROGRESS:
            return None
        return self._evidence(self.full_ms, self.full_progress)

    def ended_evidence(self, now_ms, last_report_ms):
        """Return the same for the run when its end is first reported, or None."""
        if self.is_slowed:
            if self.full_progress < MIN_ENDED_PROGRESS:
                return None
            return self._evidence(self.full_ms, self.full_progress)
        lasted_ms = now_ms - self.active_from_ms
        error_ms = now_ms - last_report_ms
        if error_ms > max(MAX_END_ERROR_MS, MAX_END_ERROR_SHARE * lasted_ms):
            return None
        progress = 100 - self.first_progress
        if progress < MIN_ENDED_PROGRESS:
            return None
        return self._evidence(lasted_ms - self.first_ms, progress)

    def _evidence(self, full_ms, progress):
        weight = min(progress / 100, 1.0)
        declared_ms = self.step.estimate_ms or DEFAULT_ESTIMATE_MS
        ratio = max(full_ms, 1) / weight / declared_ms
        return _clamped(math.log(ratio)), weight


class RunTimeModel(RunTimes):
    """Learns the ratio of actual to declared run time from reports.

    A ratio is kept for each queue and for each queue and image, the most recently
    updated ones last. The empty image stands for the queue.
    """

    __slots__ = (
        "_evidence_by_occurrence",
        "_ratio_by_kind",
        "_watches_by_view",
    )

    def __init__(self):
        self._ratio_by_kind = collections.OrderedDict()
        # Both end with their key: evidence by position of the step, and the time of the
        # last report with the watches by run key.
        self._evidence_by_occurrence = weakref.WeakKeyDictionary()
        self._watches_by_view = weakref.WeakKeyDictionary()

    def ratio(self, queue_name, occurrence, position):
        """Return the ratio of actual to declared run time of one step's tasks."""
        step = occurrence.tasks_by_step[position][0].step
        mean, variance = self._estimate(queue_name, step.image)
        evidence_by_position = self._evidence_by_occurrence.get(occurrence)
        if evidence_by_position and position in evidence_by_position:
            mean = evidence_by_position[position].mean(mean, variance)
        return math.exp(_clamped(mean))

    def _estimate(self, queue_name, image):
        """Return mean and variance of the logarithm of an image's ratio."""
        mean, variance = 0.0, PRIOR_VARIANCE
        for kind in ((queue_name, ""), (queue_name, image)):
            ratio = self._ratio_by_kind.get(kind)
            if ratio is not None:
                mean, variance = ratio.shrunk(mean, variance)
            if not image:
                break
        return mean, variance

    def observe_report(self, state_store, view, now_ms):
        """Learn from a report that was just applied to the view of its worker.

        Parameters
        ----------
        state_store : store.Store
        view : views.WorkerView
        now_ms : int
        """
        last_report_ms, previous = self._watches_by_view.get(view, (0, {}))
        current = {}
        for key, reported in view.runs.items():
            if reported.phase != views.ACTIVE or key in view.ended:
                continue
            if key in previous:
                watch = previous[key]
            else:
                watch = _watch_run(state_store, key, reported, now_ms)
            current[key] = watch
            if watch is not None:
                watch.update(reported, now_ms)
                evidence = watch.active_evidence()
                if evidence is not None:
                    self._step_evidence(watch).active_by_run[key] = evidence
        for key, watch in previous.items():
            if key not in current and watch is not None:
                self._step_evidence(watch).active_by_run.pop(key, None)
                if view.ended.get(key) == store.DONE:
                    self._learn_end(watch, watch.ended_evidence(now_ms, last_report_ms))
        self._watches_by_view[view] = (now_ms, current)

    def _learn_end(self, watch, evidence):
        if evidence is None:
            return
        log_ratio, weight = evidence
        self._step_evidence(watch).add_ended(log_ratio, weight)
        # All tasks of a step together are one sample, as they are declared together.
        step_weight = weight / watch.step.count
        for image in {"", watch.step.image}:
            kind = (watch.queue_name, image)
            ratio = self._ratio_by_kind.setdefault(kind, Ratio())
            ratio.add(log_ratio, step_weight)
            self._ratio_by_kind.move_to_end(kind)
        while len(self._ratio_by_kind) > MAX_KEPT_RATIOS:
            self._ratio_by_kind.popitem(last=False)

    def _step_evidence(self, watch):
        evidence_by_position = self._evidence_by_occurrence.setdefault(
            watch.occurrence, {}
        )
        return evidence_by_position.setdefault(watch.task.position, _StepEvidence())

    def on_ends_recorded(self, state_store, command):
        """Drop the evidence about steps that are done.

        Parameters
        ----------
        state_store : store.Store
        command : commands.RecordEnds
        """
        for _, task_id, _, _, _ in command.rows:
            _, occurrence, _ = state_store.find_task(task_id)
            if occurrence is not None and occurrence.is_complete:
                self._evidence_by_occurrence.pop(occurrence, None)

    def to_rows(self):
        """Return the newest ratios, for `load_rows` of another leader.

        Returns
        -------
        list of list
            Rows of queue, image, mean and variance of the logarithm, and weight.
        """
        newest = list(self._ratio_by_kind.items())[-MAX_ROWS:]
        return sorted(
            [
                *kind,
                round(ratio.mean, 3),
                round(ratio.variance, 3),
                round(ratio.weight, 2),
            ]
            for kind, ratio in newest
        )

    def load_rows(self, rows):
        """Load the ratios of an earlier leader; malformed rows are skipped."""
        for row in rows:
            try:
                queue_name, image, *numbers = row
                mean, variance, weight = (float(number) for number in numbers)
            except (TypeError, ValueError, OverflowError):
                continue
            if not isinstance(queue_name, str) or not isinstance(image, str):
                continue
            if not math.isfinite(mean + variance + weight):
                continue
            if variance < 0 or not 0 < weight <= MAX_STEPS:
                continue
            self._ratio_by_kind[queue_name, image] = Ratio(
                _clamped(mean), variance, weight
            )

    def changed_rows(self, known_rows):
        """Return the rows that differ much from rows that were kept before."""
        mean_by_kind = {(row[0], row[1]): row[2] for row in known_rows if _is_row(row)}
        return [
            row
            for row in self.to_rows()
            if (row[0], row[1]) not in mean_by_kind
            or abs(row[2] - mean_by_kind[row[0], row[1]]) >= ROW_CHANGE
        ]


def log_learned(rows):
    """Log the ratios that are proposed, those that rest on most steps first."""
    ranked = sorted(rows, key=lambda row: -row[4])[:MAX_LOGGED_RATIOS]
    log.info(
        "run_times_learned changed=%d ratios=%s",
        len(rows),
        ",".join(
            f"{queue_name}/{image}:{math.exp(mean):.2f}"
            for queue_name, image, mean, _, _ in ranked
        ),
    )


def _watch_run(state_store, key, reported, now_ms):
    """Return the watch of a run seen for the first time, None if it can't teach."""
    task_id, _ = key
    workflow, occurrence, task = state_store.find_task(task_id)
    if task is None or task.is_done or task.step.is_persistent:
        return None
    return _RunWatch(workflow.queue, occurrence, task, reported, now_ms)


def _is_row(row):
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(isinstance(name, str) for name in row[:2])
        and isinstance(row[2], (int, float))
    )


def _clamped(log_ratio):
    return min(max(log_ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
