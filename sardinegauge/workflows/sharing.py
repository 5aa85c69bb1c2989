"""How much fillers disturb the tasks that serve beside them, and how to bound it.

The answer to a load in which the tail latencies of serving tasks swing within seconds
and each pair of images disturbs by another amount. A tail latency is turned into a
pressure, in which disturbances add up: 0 at rest, `TARGET_PRESSURE` at the target. The
pressure of a serving task is its own part, which drifts, plus a coefficient for each
filler beside it: a part of the filler's image, and one of the pair of images. All parts
are estimated together from each report, by a Kalman filter that leaves out the
covariances between parts.
"""

import math

# A serving task at rest answers this many times faster than its target demands.
REST_RATIO = 5.0
TARGET_PRESSURE = 1.0 - 1.0 / REST_RATIO
# Fillers are paced so that the expected pressure stays below this.
SAFE_PRESSURE = 0.70
# Fillers are placed so that it stays below this, since the own part drifts.
PLACING_PRESSURE = 0.62
# Beyond it the latency says little more than that the task is overloaded.
MAX_PRESSURE = 0.96
# The amount of a filler is 1 at this share of the worker's cores.
UNIT_SHARE = 0.1
OWN_PRESSURE = 0.45
OWN_VARIANCE = 0.05
# Drift of the own part as variance per second.
OWN_DRIFT = 0.004
FILLER_PRESSURE = 0.1
FILLER_VARIANCE = 0.015
LIGHT_PRESSURE = 0.05
FILLER_DRIFT = 0.0001
PAIR_VARIANCE = 0.004
PAIR_DRIFT = 0.0001
NOISE_VARIANCE = 0.0006
# Paces are whole multiples of this percentage.
PACE_STEP = 5
# Fillers with a smaller effect on the pressure do not give way.
MIN_EFFECT = 0.015
# Whatever the estimates say, all fillers beside a task that was over its target for so
# long slow down, and stand still after as long again.
OVER_MS = 900
# Latencies are rough, so a little below the target counts as over it.
OVER_SHARE = 0.95


def pressure_of(latency_ms, target_ms):
    """Return the pressure of a tail latency.

    Examples
    --------
    >>> round(pressure_of(50, 50), 2), pressure_of(5, 50)
    (0.8, 0.0)
    """
    if latency_ms <= 0:
        return 0.0
    return min(max(0.0, 1.0 - target_ms / REST_RATIO / latency_ms), MAX_PRESSURE)


class Estimate:
    """A mean with its variance."""

    __slots__ = ("mean", "updated_ms", "variance")

    def __init__(self, mean, variance, now_ms):
        self.mean = mean
        self.variance = variance
        self.updated_ms = now_ms

    def drift(self, per_s, limit, now_ms):
        """Let the variance grow for the time passed, up to a limit."""
        elapsed_s = max(now_ms - self.updated_ms, 0) / 1000
        self.updated_ms = now_ms
        self.variance = max(
            self.variance, min(self.variance + per_s * elapsed_s, limit)
        )


class Serving:
    """A serving task beside fillers: its image and the estimate of its own part.

    `over_since_ms` is since when its latency has been over the target, or None.
    """

    __slots__ = ("image", "over_since_ms", "own")

    def __init__(self, image, now_ms):
        self.image = image
        self.own = Estimate(OWN_PRESSURE, OWN_VARIANCE, now_ms)
        self.over_since_ms = None

    def note(self, latency_ms, target_ms, now_ms):
        """Note whether a latency is over the target."""
        if latency_ms < OVER_SHARE * target_ms:
            self.over_since_ms = None
        elif self.over_since_ms is None:
            self.over_since_ms = now_ms

    def over_ms(self, now_ms):
        """Return for how long the latency has been over the target."""
        return now_ms - self.over_since_ms if self.over_since_ms is not None else 0


class Filler:
    """A filler beside serving tasks.

    `amount` is what it would use at full pace, `measured` what it used lately. Of two
    fillers the one with the higher `rank` gives way first.
    """

    __slots__ = ("amount", "image", "key", "measured", "rank")

    def __init__(self, key, image, amount, measured, rank=()):
        self.key = key
        self.image = image
        self.amount = amount
        self.measured = measured
        self.rank = rank


class Sharing:
    """Estimates for all workers.

    `serving_by_worker` holds, by worker, the `Serving` of each run that serves there.
    """

    __slots__ = ("_amounts", "_fillers", "_pairs", "serving_by_worker")

    def __init__(self):
        self._fillers = {}
        self._pairs = {}
        self._amounts = {}
        self.serving_by_worker = {}

    def to_rows(self):
        """Return what was learned about images, for `load_rows` of another leader.

        Returns
        -------
        list of list
            Rows of serving image, empty for the part of all pairs, filler image, mean
            and variance.
        """
        rows = [["", image, *_rounded(part)] for image, part in self._fillers.items()]
        return rows + [[*key, *_rounded(part)] for key, part in self._pairs.items()]

    def load_rows(self, rows, now_ms):
        """Take over what an earlier leader learned; malformed rows are left out."""
        for row in rows:
            try:
                serving, filler, mean, variance = row
                part = Estimate(float(mean), float(variance), now_ms)
            except (TypeError, ValueError):
                continue
            if serving:
                self._pairs[serving, filler] = part
            else:
                self._fillers[filler] = part

    def coefficient(self, serving_image, filler_image):
        """Return by how much one unit of a filler raises a serving task's pressure."""
        filler = self._fillers.get(filler_image)
        total = filler.mean if filler is not None else FILLER_PRESSURE
        pair = self._pairs.get((serving_image, filler_image))
        if pair is not None:
            total += pair.mean
        return max(total, 0.0)

    def is_light(self, filler_image):
        """Tell whether fillers of an image are known to disturb little."""
        filler = self._fillers.get(filler_image)
        return filler is not None and filler.mean < LIGHT_PRESSURE

    def observe(self, worker, rows, fillers, now_ms):
        """Learn from one report.

        Parameters
        ----------
        worker : str
        rows : list of tuple
            Run key, image, latency in ms and target in ms of each serving task.
        fillers : list of Filler
            The fillers beside them, as they were when the latencies were measured.
        """
        known = self.serving_by_worker.get(worker, {})
        found = {}
        # The latencies cover the last half second, in which the mix may have changed.
        before = self._amounts.get(worker, {})
        amounts = _amount_by_image(fillers)
        self._amounts[worker] = amounts
        images = before.keys() | amounts.keys()
        mixed = {i: (before.get(i, 0.0) + amounts.get(i, 0.0)) / 2 for i in images}
        for key, image, latency_ms, target_ms in rows:
            serving = found[key] = known.get(key) or Serving(image, now_ms)
            serving.note(latency_ms, target_ms, now_ms)
            if latency_ms > 0:
                pressure = pressure_of(latency_ms, target_ms)
                self._learn(serving, pressure, mixed, now_ms)
        self.serving_by_worker[worker] = found

    def _learn(self, serving, pressure, amounts, now_ms):
        serving.own.drift(OWN_DRIFT, OWN_VARIANCE, now_ms)
        terms = [(serving.own, 1.0)]
        for image, amount in amounts.items():
            if amount > 0.0:
                terms.append((self._filler(image, now_ms), amount))
                terms.append((self._pair(serving.image, image, now_ms), amount))
        predicted = sum(part.mean * amount for part, amount in terms)
        if predicted > pressure >= MAX_PRESSURE:
            return  # The measure ends here, so the prediction may well be right.
        spread = NOISE_VARIANCE + sum(p.variance * a * a for p, a in terms)
        for part, amount in terms:
            gain = part.variance * amount / spread
            part.mean += gain * (pressure - predicted)
            part.variance *= max(1.0 - gain * amount, 1e-6)

    def _filler(self, image, now_ms):
        part = self._fillers.get(image)
        if part is None:
            part = Estimate(FILLER_PRESSURE, FILLER_VARIANCE, now_ms)
            self._fillers[image] = part
        part.drift(FILLER_DRIFT, FILLER_VARIANCE, now_ms)
        return part

    def _pair(self, serving_image, filler_image, now_ms):
        key = (serving_image, filler_image)
        pair = self._pairs.get(key)
        if pair is None:
            pair = self._pairs[key] = Estimate(0.0, PAIR_VARIANCE, now_ms)
        pair.drift(PAIR_DRIFT, PAIR_VARIANCE, now_ms)
        return pair

    def headroom(self, worker, fillers, image, amount):
        """Return the least room for pressure left if one more filler came.

        It is infinite without serving tasks, and negative where one would suffer.
        """
        least = math.inf
        for serving in self.serving_by_worker.get(worker, {}).values():
            pressure = serving.own.mean + sum(
                self.coefficient(serving.image, f.image) * f.amount for f in fillers
            )
            pressure += self.coefficient(serving.image, image) * amount
            least = min(least, PLACING_PRESSURE - pressure)
        return least

    def over_ms(self, worker, now_ms):
        """Return for how long a serving task of a worker has been over its target."""
        serving = self.serving_by_worker.get(worker, {}).values()
        return max((task.over_ms(now_ms) for task in serving), default=0)

    def paces(self, worker, fillers, now_ms):
        """Return the pace in percent of each filler by its key.

        Fillers give way by their rank, so that work which can still be in time keeps
        its speed; those that hardly disturb a suffering task keep theirs, unless it
        suffers on.
        """
        share = {filler.key: 1.0 for filler in fillers}
        serving = self.serving_by_worker.get(worker, {}).values()
        for task in sorted(serving, key=lambda item: -item.own.mean):
            effects = [
                (self.coefficient(task.image, f.image) * f.amount, f) for f in fillers
            ]
            excess = task.own.mean - SAFE_PRESSURE
            excess += sum(effect * share[f.key] for effect, f in effects)
            effects.sort(key=lambda pair: (pair[1].rank, pair[0]), reverse=True)
            for effect, filler in effects:
                if excess <= 0.0:
                    break
                if effect < MIN_EFFECT:
                    continue
                taken = min(share[filler.key] * effect, excess)
                share[filler.key] -= taken / effect
                excess -= taken
        over_ms = self.over_ms(worker, now_ms)
        limit = min(max(2.0 - over_ms / OVER_MS, 0.0), 1.0)
        return {
            key: int(100 * value * limit // PACE_STEP) * PACE_STEP
            for key, value in share.items()
        }


def _rounded(part):
    return round(part.mean, 4), round(part.variance, 6)


def _amount_by_image(fillers):
    amounts = {}
    for filler in fillers:
        amounts[filler.image] = amounts.get(filler.image, 0.0) + filler.measured
    return amounts


def amount_of(cpu_millis, capacity):
    """Return the amount of a use of cores on a worker with a capacity."""
    return cpu_millis / max(capacity.cpu_millis, 1) / UNIT_SHARE
