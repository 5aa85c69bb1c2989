"""Model of the interference of best-effort with latency-critical tasks on a worker.

It is made for a load in which the tail latencies of latency-critical tasks change
within seconds and the interference differs for each pair of images. A tail latency is
converted into a pressure, which is additive over best-effort tasks: 0 for an idle task,
`TARGET_PRESSURE` at the latency target. The pressure of a latency-critical task is the
load of its step, a deviation of its own that fades, and for each best-effort task its
usage times a coefficient: the sum of a term of the best-effort task's image and a term
of the pair of images. All terms are estimated together from each report by a Kalman
filter that neglects the covariances between them. A load that is estimated for each
task alone can't be told from the interference on its worker.
"""

import math
import weakref

from sardinegauge.workflows import forecaststats, latencycritical, loadtrack

# Latency target divided by the tail latency of an idle latency-critical task.
IDLE_LATENCY_RATIO = 5.0
TARGET_PRESSURE = 1.0 - 1.0 / IDLE_LATENCY_RATIO
# Limit of the expected pressure for placing one more best-effort task, below the limit
# for throttling since the load swings.
PLACEMENT_PRESSURE = 0.62
# Above this pressure a latency only shows that the task is overloaded.
MAX_PRESSURE = 0.96
# Share of a worker's cores that is one unit of usage.
USAGE_UNIT_SHARE = 0.1
# Initial means and variances of the terms of a coefficient. A drift is the growth of a
# term's variance per second, up to its initial variance.
BEST_EFFORT_PRESSURE = 0.1
BEST_EFFORT_VARIANCE = 0.012
# Images of best-effort tasks whose term is lower count as having low interference.
LOW_INTERFERENCE_PRESSURE = 0.05
BEST_EFFORT_DRIFT_PER_S = 0.0001
PAIR_VARIANCE = 0.012
PAIR_DRIFT_PER_S = 0.0003
# Time from the middle of the span that a latency covers until a CPU cap that it causes
# has been in effect for half of the time to the next report.
FORECAST_MS = 550
# Variance of a measured pressure.
NOISE_VARIANCE = 0.0006


def pressure_of(latency_ms, target_ms):
    """Return the pressure of a tail latency.

    Examples
    --------
    >>> round(pressure_of(50, 50), 2), pressure_of(5, 50)
    (0.8, 0.0)
    """
    if latency_ms <= 0:
        return 0.0
    return min(
        max(0.0, 1.0 - target_ms / IDLE_LATENCY_RATIO / latency_ms), MAX_PRESSURE
    )


class BestEffortTask:
    """A best-effort task beside latency-critical tasks.

    `demand` is its estimated usage without a CPU cap, `usage` its last measured usage,
    both in units of `USAGE_UNIT_SHARE`. Best-effort tasks with a higher `rank` are
    throttled first.
    """

    __slots__ = ("demand", "image", "key", "usage", "rank")

    def __init__(self, key, image, demand, usage, rank=()):
        self.key = key
        self.image = image
        self.demand = demand
        self.usage = usage
        self.rank = rank


class InterferenceModel:
    """The interference model of all workers.

    `latency_critical_tasks_by_worker` holds, by worker, a dict of the
    `LatencyCriticalTask` by run key. `stats` are a `forecaststats.ForecastStats` of the
    reports since the last `take_stats`.
    """

    __slots__ = (
        "_load_track_by_step",
        "_usage_by_worker",
        "_estimate_by_best_effort_image",
        "_estimate_by_image_pair",
        "latency_critical_tasks_by_worker",
        "stats",
    )

    def __init__(self):
        self.stats = forecaststats.ForecastStats()
        self._estimate_by_best_effort_image = {}
        self._estimate_by_image_pair = {}
        # The tracks live as long as a task of their step.
        self._load_track_by_step = weakref.WeakValueDictionary()
        self._usage_by_worker = {}
        self.latency_critical_tasks_by_worker = {}

    def to_rows(self):
        """Return the estimates about images, for `load_rows` of another leader.

        Returns
        -------
        list of list
            Rows of latency-critical image, best-effort image, mean and variance. The
            latency-critical image is empty for the term of the best-effort image alone.
        """
        rows = [
            ["", image, *_rounded(estimate)]
            for image, estimate in self._estimate_by_best_effort_image.items()
        ]
        return rows + [
            [*key, *_rounded(estimate)]
            for key, estimate in self._estimate_by_image_pair.items()
        ]

    def load_rows(self, rows, now_ms):
        """Load the estimates of an earlier leader; malformed rows are skipped."""
        for row in rows:
            try:
                latency_critical_image, best_effort_image, mean, variance = row
                estimate = latencycritical.Estimate(
                    float(mean), float(variance), now_ms
                )
            except (TypeError, ValueError):
                continue
            if latency_critical_image:
                self._estimate_by_image_pair[
                    latency_critical_image, best_effort_image
                ] = estimate
            else:
                self._estimate_by_best_effort_image[best_effort_image] = estimate

    def coefficient(self, latency_critical_image, best_effort_image):
        """Return the pressure that one unit of a best-effort task's usage adds."""
        estimate = self._estimate_by_best_effort_image.get(best_effort_image)
        total = estimate.mean if estimate is not None else BEST_EFFORT_PRESSURE
        pair = self._estimate_by_image_pair.get(
            (latency_critical_image, best_effort_image)
        )
        if pair is not None:
            total += pair.mean
        return max(total, 0.0)

    def effect(self, latency_critical_task, best_effort_image):
        """Return the pressure that one unit of usage adds to a task.

        Nothing is assumed for an image that was never observed beside a task that is
        not active yet.
        """
        coefficient = self._coefficient_of(latency_critical_task)
        return coefficient(latency_critical_task.image, best_effort_image)

    def _coefficient_of(self, latency_critical_task):
        if latency_critical_task.is_active:
            return self.coefficient
        return self._learned_coefficient

    def _learned_coefficient(self, latency_critical_image, best_effort_image):
        if best_effort_image not in self._estimate_by_best_effort_image:
            return 0.0
        return self.coefficient(latency_critical_image, best_effort_image)

    def is_low_interference(self, best_effort_image):
        """Return whether an image is known to have low interference."""
        estimate = self._estimate_by_best_effort_image.get(best_effort_image)
        return estimate is not None and estimate.mean < LOW_INTERFERENCE_PRESSURE

    def take_stats(self):
        """Return the statistics so far, and begin new ones."""
        stats, self.stats = self.stats, forecaststats.ForecastStats()
        return stats

    def observe(self, worker, rows, best_effort_tasks, now_ms):
        """Update the estimates from one report of a worker.

        Parameters
        ----------
        worker : str
        rows : list of tuple
            Run key, image, latency in ms and target in ms of each latency-critical
            task.
        best_effort_tasks : list of BestEffortTask
            The best-effort tasks on the worker while the latencies were measured.

        Returns
        -------
        dict
            For how long each task was over its target that is not any more, in ms by
            run key.
        """
        over_ms_by_key = {}
        previous_by_key = self.latency_critical_tasks_by_worker.get(worker, {})
        current_by_key = {}
        # Latencies cover the last half second, during which the usage may have changed.
        usage_by_image = _usage_by_image(best_effort_tasks)
        previous_usage_by_image = self._usage_by_worker.get(worker, usage_by_image)
        self._usage_by_worker[worker] = usage_by_image
        # In the order of a dict, so that a replay corrects the terms in the same order.
        images = {**previous_usage_by_image, **usage_by_image}
        mean_usage_by_image = {
            image: (
                previous_usage_by_image.get(image, 0.0) + usage_by_image.get(image, 0.0)
            )
            / 2
            for image in images
        }
        for key, image, latency_ms, target_ms in rows:
            latency_critical_task = previous_by_key.get(key)
            if latency_critical_task is None or not latency_critical_task.is_active:
                # The estimates begin with the first latency.
                load_track = self._load_track(key, now_ms)
                latency_critical_task = latencycritical.LatencyCriticalTask(
                    image, load_track, now_ms
                )
            latency_critical_task.is_active = True
            current_by_key[key] = latency_critical_task
            over_ms = latency_critical_task.record_latency(
                latency_ms, target_ms, now_ms
            )
            if over_ms:
                over_ms_by_key[key] = over_ms
            if latency_ms > 0:
                pressure = pressure_of(latency_ms, target_ms)
                error = self._update_estimates(
                    latency_critical_task, pressure, mean_usage_by_image, now_ms
                )
                self.stats.add_latency(error, latency_ms > target_ms)
        self.latency_critical_tasks_by_worker[worker] = current_by_key
        return over_ms_by_key

    def expect(self, worker, image_by_key, now_ms):
        """Add the latency-critical runs of a worker that are being started.

        They count with the load of their step and the interference learned so far.
        Otherwise best-effort tasks would start at full speed beside them, and slow down
        only after their first latencies.
        """
        task_by_key = self.latency_critical_tasks_by_worker.setdefault(worker, {})
        for key, image in image_by_key.items():
            if key not in task_by_key:
                load_track = self._load_track_by_step.get(_step_of(key))
                load_track = load_track or loadtrack.LoadTrack(now_ms)
                task_by_key[key] = latencycritical.LatencyCriticalTask(
                    image, load_track, now_ms
                )

    def latency_critical_tasks(self, worker):
        """Return the `LatencyCriticalTask` of each latency-critical run of a worker."""
        return self.latency_critical_tasks_by_worker.get(worker, {}).values()

    def drop_worker(self, worker):
        """Drop the state of a worker that runs no latency-critical task."""
        self.latency_critical_tasks_by_worker.pop(worker, None)
        self._usage_by_worker.pop(worker, None)

    def _load_track(self, run_key, now_ms):
        step = _step_of(run_key)
        load_track = self._load_track_by_step.get(step)
        if load_track is None:
            load_track = self._load_track_by_step[step] = loadtrack.LoadTrack(now_ms)
        return load_track

    def _update_estimates(
        self, latency_critical_task, pressure, usage_by_image, now_ms
    ):
        """Correct all terms by a measured pressure; return the forecast's error."""
        latency_critical_task.advance(now_ms)
        load_track = latency_critical_task.load_track
        terms = [(latency_critical_task.deviation, 1.0)]
        for image, usage in usage_by_image.items():
            if usage > 0.0:
                terms.append((self._best_effort_estimate(image, now_ms), usage))
                terms.append(
                    (
                        self._pair_estimate(latency_critical_task.image, image, now_ms),
                        usage,
                    )
                )
        predicted = load_track.level
        predicted += sum(estimate.mean * usage for estimate, usage in terms)
        error = pressure - predicted
        if predicted > pressure >= MAX_PRESSURE:
            return 0.0  # The measured pressure is capped; the forecast may be right.
        innovation_variance = NOISE_VARIANCE + load_track.level_variance
        innovation_variance += sum(
            estimate.variance * usage * usage for estimate, usage in terms
        )
        load_track.correct(error, innovation_variance)
        for estimate, usage in terms:
            gain = estimate.variance * usage / innovation_variance
            estimate.mean += gain * error
            estimate.variance *= max(1.0 - gain * usage, 1e-6)
        return error

    def _best_effort_estimate(self, image, now_ms):
        estimate = self._estimate_by_best_effort_image.get(image)
        if estimate is None:
            estimate = latencycritical.Estimate(
                BEST_EFFORT_PRESSURE, BEST_EFFORT_VARIANCE, now_ms
            )
            self._estimate_by_best_effort_image[image] = estimate
        estimate.grow_variance(BEST_EFFORT_DRIFT_PER_S, BEST_EFFORT_VARIANCE, now_ms)
        return estimate

    def _pair_estimate(self, latency_critical_image, best_effort_image, now_ms):
        key = (latency_critical_image, best_effort_image)
        estimate = self._estimate_by_image_pair.get(key)
        if estimate is None:
            estimate = self._estimate_by_image_pair[key] = latencycritical.Estimate(
                0.0, PAIR_VARIANCE, now_ms
            )
        estimate.grow_variance(PAIR_DRIFT_PER_S, PAIR_VARIANCE, now_ms)
        return estimate

    def headroom(self, worker, best_effort_tasks, image, demand, planned_images=()):
        """Return the pressure left with one more best-effort task.

        It is the least distance to `PLACEMENT_PRESSURE` over the worker's
        latency-critical tasks: infinite without any, negative if the pressure of one
        would exceed the limit. `planned_images` are the images of those that the
        current plan starts there.
        """
        loads = [
            (
                task.image,
                task.expected_load(task.deviation.updated_ms + FORECAST_MS),
                self._coefficient_of(task),
            )
            for task in self.latency_critical_tasks(worker)
        ]
        loads += [
            (planned_image, loadtrack.INITIAL_LEVEL, self._learned_coefficient)
            for planned_image in planned_images
        ]
        min_headroom = math.inf
        for latency_critical_image, pressure, coefficient in loads:
            pressure += sum(
                coefficient(latency_critical_image, best_effort_task.image)
                * best_effort_task.demand
                for best_effort_task in best_effort_tasks
            )
            pressure += coefficient(latency_critical_image, image) * demand
            min_headroom = min(min_headroom, PLACEMENT_PRESSURE - pressure)
        return min_headroom

    def max_effect(self, worker, image, demand, planned_images=()):
        """Return the highest pressure that one more best-effort task adds to a task."""
        tasks = self.latency_critical_tasks(worker)
        active_images = {task.image for task in tasks if task.is_active}
        starting_images = {task.image for task in tasks if not task.is_active}
        starting_images.update(planned_images)
        coefficients = [self.coefficient(other, image) for other in active_images]
        coefficients += [
            self._learned_coefficient(other, image) for other in starting_images
        ]
        return demand * max(coefficients, default=0.0)

    def over_target_ms(self, worker, now_ms):
        """Return the longest time that a task has been over its latency target."""
        return max(
            (
                task.over_target_ms(now_ms)
                for task in self.latency_critical_tasks(worker)
            ),
            default=0,
        )


def _step_of(run_key):
    """Return the id of the step of a run."""
    task_id, _ = run_key
    return task_id.rpartition(".")[0]


def _rounded(estimate):
    return round(estimate.mean, 4), round(estimate.variance, 6)


def _usage_by_image(best_effort_tasks):
    usage_by_image = {}
    for best_effort_task in best_effort_tasks:
        usage_by_image[best_effort_task.image] = (
            usage_by_image.get(best_effort_task.image, 0.0) + best_effort_task.usage
        )
    return usage_by_image


def usage_units(cpu_millis, capacity):
    """Return a use of cores in units of `USAGE_UNIT_SHARE` of a worker's capacity."""
    return cpu_millis / max(capacity.cpu_millis, 1) / USAGE_UNIT_SHARE
