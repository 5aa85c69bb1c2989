"""Learned interference between services and batch groups, per load.

The logarithm of a service's p99 on one worker is modelled as a base plus, for each
batch group there, a coefficient times the square root of the share of the worker's
cores that the group uses: the first tasks of a group disturb shared caches and memory
most, and more of the same add less. Base and coefficients are sums of parts: the
coefficient of one pair at one load is that of the group, plus what is special to the
pair, plus what is special to the load. Each part starts at a prior with a variance, so
a pair that was hardly seen shrinks towards its group, and a new group towards the
general prior. Variances grow again with time and means return to the prior, so old
findings decay.
"""

import math

# Load levels are powers of two of the requests per second of one replica.
MAX_LEVEL = 12
# General prior: a group that uses the whole worker makes a p99 1.6 times as long.
PRIOR_EFFECT = 0.5
# Variances of the parts before any measurement, of the logarithm of the p99.
BASE_VARIANCE = 1.0
BASE_LEVEL_VARIANCE = 0.2
GROUP_VARIANCE = 1.0
PAIR_VARIANCE = 2.0
LEVEL_VARIANCE = 0.5
# A reported p99 scatters by about 15 % when all else is equal.
NOISE_VARIANCE = 0.0225
# A p99 of few requests is uncertain; at this number of requests the noise doubles.
FEW_REQUESTS = 100.0
# Time after which a mean without measurements is halfway back to its prior.
HALF_LIFE_MS = 6 * 3_600_000
# Time in which a variance grows by its whole prior.
FORGET_MS = 8 * 3_600_000
# Residuals beyond this many standard deviations are cut, so that one wave of noise
# does not overturn what was learned.
MAX_DEVIATIONS = 3.0
MAX_PAIRS = 40_000
# Smaller shares of a worker's cores teach nothing.
MIN_SHARE = 0.005
# The largest predicted logarithm; beyond it only the order matters.
MAX_EXCESS = 3.0


def level_of(rate_per_s):
    """Return the load level of a replica with this rate of requests per second.

    Examples
    --------
    >>> [level_of(rate) for rate in (0, 1, 30, 70)]
    [0, 1, 5, 6]
    """
    return min(MAX_LEVEL, round(math.log2(1.0 + max(0.0, rate_per_s))))


def pressure_of(share):
    """Return how much of a group's full effect it has at a share of the cores.

    Examples
    --------
    >>> [pressure_of(share) for share in (0.0, 0.25, 1.0)]
    [0.0, 0.5, 1.0]
    """
    return math.sqrt(share) if share > 0.0 else 0.0


class Part:
    """One term of the model: mean and variance, with their prior."""

    __slots__ = ("mean", "prior_mean", "prior_variance", "updated_ms", "variance")

    def __init__(self, mean, variance, now_ms):
        self.mean = self.prior_mean = mean
        self.variance = self.prior_variance = variance
        self.updated_ms = now_ms

    def decay(self, now_ms):
        """Move mean and variance back towards the prior for the time passed."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        self.updated_ms = now_ms
        kept = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self.mean = self.prior_mean + (self.mean - self.prior_mean) * kept
        grown = self.variance + self.prior_variance * elapsed_ms / FORGET_MS
        self.variance = min(self.prior_variance, grown)


class Pair:
    """A part and what is special to each load level of it."""

    __slots__ = ("by_level", "part")

    def __init__(self, part):
        self.part = part
        self.by_level = {}


class Group:
    """The part of one batch group and its pairs with services."""

    __slots__ = ("pair_by_service", "part")

    def __init__(self, part):
        self.part = part
        self.pair_by_service = {}

    def effect(self, service, level):
        """Return the coefficient on a service at a load; never negative."""
        total = self.part.mean
        pair = self.pair_by_service.get(service)
        if pair is not None:
            total += pair.part.mean
            special = pair.by_level.get(level)
            if special is not None:
                total += special.mean
        return total if total > 0.0 else 0.0


class Model:
    """What was learned of all services and batch groups.

    Services and groups are hashable keys. `usual_level_by_service` holds the newest
    load level of each service, for replicas that have not reported yet.
    """

    __slots__ = (
        "base_by_service",
        "group_by_key",
        "pair_count",
        "usual_level_by_service",
    )

    def __init__(self):
        self.base_by_service = {}
        self.group_by_key = {}
        self.pair_count = 0
        self.usual_level_by_service = {}

    def base(self, service, level):
        """Return the logarithm of the p99 in ms without batch work, or None."""
        base = self.base_by_service.get(service)
        if base is None:
            return None
        special = base.by_level.get(level)
        return base.part.mean + (0.0 if special is None else special.mean)

    def effect(self, service, group, level):
        """Return the coefficient of a pair at a load; never negative.

        It is the logarithm of the slow-down of the service's p99 if the group used
        all cores of the worker; at a share, it counts times `pressure_of` the share.
        """
        found = self.group_by_key.get(group)
        return PRIOR_EFFECT if found is None else found.effect(service, level)

    def excess(self, service, level, share_by_group):
        """Return the predicted logarithm of the slow-down under a mix of groups."""
        total = 0.0
        for group, share in share_by_group.items():
            total += self.effect(service, group, level) * pressure_of(share)
        return min(total, MAX_EXCESS)

    def observe(
        self, now_ms, service, level, p99_ms, requests, share_by_group, drift=0.0
    ):
        """Learn from one measured p99 of a service beside a mix of groups.

        Parameters
        ----------
        p99_ms : float
            Measured p99 in milliseconds, over `requests` requests.
        share_by_group : dict
            Share of the worker's cores that each group used in the time measured.
        drift : float
            How much the mix changed meanwhile, as a sum of shares; the measurement
            counts less, since it may belong to either mix.
        """
        self.usual_level_by_service[service] = level
        value = math.log(max(p99_ms, 1e-3))
        terms = self._terms(now_ms, service, level, value, share_by_group)
        noise = NOISE_VARIANCE * (1.0 + FEW_REQUESTS / max(requests, 1)) + drift
        predicted, spread = 0.0, noise
        for part, pressure in terms:
            part.decay(now_ms)
            predicted += part.mean * pressure
            spread += part.variance * pressure * pressure
        limit = MAX_DEVIATIONS * math.sqrt(spread)
        residual = max(-limit, min(limit, value - predicted))
        for part, pressure in terms:
            gain = part.variance * pressure / spread
            part.mean += gain * residual
            part.variance *= 1.0 - gain * pressure
        if self.pair_count > MAX_PAIRS:
            self._drop_oldest()

    def _terms(self, now_ms, service, level, value, share_by_group):
        """Return the parts that a measurement depends on, with their factors."""
        base = self.base_by_service.get(service)
        if base is None:
            base = Pair(Part(value, BASE_VARIANCE, now_ms))
            self.base_by_service[service] = base
        terms = [(base.part, 1.0)]
        terms.append((_special(base, level, BASE_LEVEL_VARIANCE, now_ms), 1.0))
        for key, share in share_by_group.items():
            if share < MIN_SHARE:
                continue
            pressure = pressure_of(share)
            group = self.group_by_key.get(key)
            if group is None:
                group = Group(Part(PRIOR_EFFECT, GROUP_VARIANCE, now_ms))
                self.group_by_key[key] = group
            pair = group.pair_by_service.get(service)
            if pair is None:
                pair = Pair(Part(0.0, PAIR_VARIANCE, now_ms))
                group.pair_by_service[service] = pair
                self.pair_count += 1
            terms.append((group.part, pressure))
            terms.append((pair.part, pressure))
            special = _special(pair, level, LEVEL_VARIANCE, now_ms)
            terms.append((special, pressure))
        return terms

    def _drop_oldest(self):
        """Forget the groups without measurements for longest, with their pairs."""
        order = sorted(
            self.group_by_key, key=lambda key: self.group_by_key[key].part.updated_ms
        )
        for key in order:
            if self.pair_count <= MAX_PAIRS * 0.9:
                return
            self.pair_count -= len(self.group_by_key.pop(key).pair_by_service)


def _special(pair, level, variance, now_ms):
    part = pair.by_level.get(level)
    if part is None:
        part = pair.by_level[level] = Part(0.0, variance, now_ms)
    return part
