"""Model of the interference of batch groups with services, learned by load level.

The logarithm of a service's p99 on one worker is modelled as a base plus, for each
batch group on the worker, a coefficient times the square root of the share of the
worker's cores that the group uses. The square root reflects that the first tasks of a
group disturb shared caches and memory most, and further ones add less.

The coefficient of a service and a group at a load level is the sum of three parameters:
one of the group, one of the pair and one of the pair at the level. The base is the sum
of one parameter of the service and one of the service at the level. Each parameter is
a mean and a variance that start at a prior. A pair with few measurements is therefore
close to its group, and a new group to the general prior. With time, means return to
the prior and variances grow, so that old measurements lose their weight.
"""

import math

# Load levels are powers of two of the requests per second of one replica.
MAX_LEVEL = 12
# General prior of a coefficient: a group that uses all cores of a worker makes a p99
# 1.6 times as long.
PRIOR_EFFECT = 0.5
# Prior variances of the parameters, on the scale of the logarithm of the p99.
BASE_VARIANCE = 1.0
BASE_LEVEL_VARIANCE = 0.2
GROUP_VARIANCE = 1.0
PAIR_VARIANCE = 2.0
LEVEL_VARIANCE = 0.5
# A reported p99 varies by about 15 % under equal conditions.
NOISE_VARIANCE = 0.0225
# A p99 of few requests is uncertain. At this number of requests, the variance of the
# noise doubles.
NOISE_DOUBLING_REQUESTS = 100.0
# Time in which a mean without measurements returns halfway to its prior.
HALF_LIFE_MS = 6 * 3_600_000
# Time in which a variance grows by its prior variance.
VARIANCE_GROWTH_MS = 8 * 3_600_000
# Residuals are clipped to this many standard deviations, so that a single outlier does
# not distort the model.
MAX_DEVIATIONS = 3.0
MAX_PAIRS = 40_000
# Groups with a smaller share of the worker's cores are ignored by the training.
MIN_SHARE = 0.005
# Cap of the predicted logarithm of a slow-down. For slow-downs beyond it, only their
# order would matter.
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
    """Return the fraction of its full effect that a group has at a share of the cores.

    Examples
    --------
    >>> [pressure_of(share) for share in (0.0, 0.25, 1.0)]
    [0.0, 0.5, 1.0]
    """
    return math.sqrt(share) if share > 0.0 else 0.0


class Parameter:
    """One parameter of the model: mean and variance, with their priors."""

    __slots__ = ("mean", "prior_mean", "prior_variance", "updated_ms", "variance")

    def __init__(self, mean, variance, now_ms):
        self.mean = self.prior_mean = mean
        self.variance = self.prior_variance = variance
        self.updated_ms = now_ms

    def decay(self, now_ms):
        """Move mean and variance towards the prior for the time since the last call."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        self.updated_ms = now_ms
        retained = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self.mean = self.prior_mean + (self.mean - self.prior_mean) * retained
        grown_variance = (
            self.variance + self.prior_variance * elapsed_ms / VARIANCE_GROWTH_MS
        )
        self.variance = min(self.prior_variance, grown_variance)


class LevelParameters:
    """A parameter common to all load levels, and one more for each level."""

    __slots__ = ("by_level", "common")

    def __init__(self, common):
        self.common = common
        self.by_level = {}


class Group:
    """Parameters of one batch group: for all services and for each service."""

    __slots__ = ("pair_by_service", "common")

    def __init__(self, common):
        self.common = common
        self.pair_by_service = {}

    def effect(self, service, level):
        """Return the coefficient for a service at a load level; never negative."""
        total = self.common.mean
        pair = self.pair_by_service.get(service)
        if pair is not None:
            total += pair.common.mean
            level_term = pair.by_level.get(level)
            if level_term is not None:
                total += level_term.mean
        return total if total > 0.0 else 0.0


class Model:
    """Parameters of all services and batch groups.

    Services and groups are hashable keys. `latest_level_by_service` has the load level
    reported last by any replica of a service, for replicas without a report.
    """

    __slots__ = (
        "base_by_service",
        "group_by_key",
        "pair_count",
        "latest_level_by_service",
    )

    def __init__(self):
        self.base_by_service = {}
        self.group_by_key = {}
        self.pair_count = 0
        self.latest_level_by_service = {}

    def base(self, service, level):
        """Return the logarithm of the p99 in ms without batch work, None if unknown."""
        base = self.base_by_service.get(service)
        if base is None:
            return None
        level_term = base.by_level.get(level)
        return base.common.mean + (0.0 if level_term is None else level_term.mean)

    def effect(self, service, group, level):
        """Return the coefficient of a service and a group at a level; never negative.

        It is the logarithm of the slow-down of the service's p99 if the group used all
        cores of the worker. For a smaller share it is multiplied by `pressure_of` it.
        """
        parameters = self.group_by_key.get(group)
        return PRIOR_EFFECT if parameters is None else parameters.effect(service, level)

    def excess(self, service, level, share_by_group):
        """Return the predicted logarithm of the slow-down under a mix of groups."""
        total = 0.0
        for group, share in share_by_group.items():
            total += self.effect(service, group, level) * pressure_of(share)
        return min(total, MAX_EXCESS)

    def observe(
        self, now_ms, service, level, p99_ms, requests, share_by_group, drift=0.0
    ):
        """Update the model from one p99 of a service, measured beside a mix of groups.

        Parameters
        ----------
        p99_ms : float
            Measured p99 in milliseconds, over `requests` requests.
        share_by_group : dict
            Share of the worker's cores that each group used during the measurement.
        drift : float
            Change of the mix during the measurement, as a sum of shares. It lowers the
            weight of the measurement, which may belong to either mix.
        """
        self.latest_level_by_service[service] = level
        log_p99 = math.log(max(p99_ms, 1e-3))
        terms = self._terms(now_ms, service, level, log_p99, share_by_group)
        noise = (
            NOISE_VARIANCE * (1.0 + NOISE_DOUBLING_REQUESTS / max(requests, 1)) + drift
        )
        predicted, variance = 0.0, noise
        for parameter, pressure in terms:
            parameter.decay(now_ms)
            predicted += parameter.mean * pressure
            variance += parameter.variance * pressure * pressure
        max_residual = MAX_DEVIATIONS * math.sqrt(variance)
        residual = max(-max_residual, min(max_residual, log_p99 - predicted))
        for parameter, pressure in terms:
            gain = parameter.variance * pressure / variance
            parameter.mean += gain * residual
            parameter.variance *= 1.0 - gain * pressure
        if self.pair_count > MAX_PAIRS:
            self._drop_oldest()

    def _terms(self, now_ms, service, level, log_p99, share_by_group):
        """Return the parameters that a measurement depends on, each with its factor."""
        base = self.base_by_service.get(service)
        if base is None:
            base = LevelParameters(Parameter(log_p99, BASE_VARIANCE, now_ms))
            self.base_by_service[service] = base
        terms = [(base.common, 1.0)]
        terms.append((_level_parameter(base, level, BASE_LEVEL_VARIANCE, now_ms), 1.0))
        for group_key, share in share_by_group.items():
            if share < MIN_SHARE:
                continue
            pressure = pressure_of(share)
            group = self.group_by_key.get(group_key)
            if group is None:
                group = Group(Parameter(PRIOR_EFFECT, GROUP_VARIANCE, now_ms))
                self.group_by_key[group_key] = group
            pair = group.pair_by_service.get(service)
            if pair is None:
                pair = LevelParameters(Parameter(0.0, PAIR_VARIANCE, now_ms))
                group.pair_by_service[service] = pair
                self.pair_count += 1
            terms.append((group.common, pressure))
            terms.append((pair.common, pressure))
            level_term = _level_parameter(pair, level, LEVEL_VARIANCE, now_ms)
            terms.append((level_term, pressure))
        return terms

    def _drop_oldest(self):
        """Remove the groups whose last measurement is the oldest, with their pairs."""
        oldest_first = sorted(
            self.group_by_key, key=lambda key: self.group_by_key[key].common.updated_ms
        )
        for key in oldest_first:
            if self.pair_count <= MAX_PAIRS * 0.9:
                return
            self.pair_count -= len(self.group_by_key.pop(key).pair_by_service)


def _level_parameter(level_parameters, level, variance, now_ms):
    parameter = level_parameters.by_level.get(level)
    if parameter is None:
        parameter = level_parameters.by_level[level] = Parameter(0.0, variance, now_ms)
    return parameter
