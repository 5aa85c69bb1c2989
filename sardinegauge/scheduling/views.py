"""Load of services and mix of batch groups on each worker, from heartbeats."""

import math

from sardinegauge.scheduling import interference

# Weight of the newest report in the exponential moving average of the p99.
P99_WEIGHT = 0.4
# Time constant of the lag by which measured latencies follow the mix of groups.
MEASUREMENT_LAG_MS = 6_000
# A report with fewer requests has no meaningful p99.
MIN_REQUESTS = 10
# Time between two samples of one worker for the interference model, and the number of
# samples per second over the whole fleet, drawn at random. The number bounds the
# processor time that the leader spends on the model.
SAMPLE_INTERVAL_MS = 2_000
MODEL_SAMPLES_PER_S = 200
# Above this number of service loads in the fleet, a worker's loads are updated only
# when a sample is due. Preemption steps take longer than the sample interval anyway.
LARGE_FLEET_LOADS = 1_000
SAMPLE_INTERVAL_LARGE_MS = 4_000
# Time after which a mix is recomputed even if no task started or ended, since the
# usage of running tasks changes.
MIX_MAX_AGE_MS = 3_000
# Number of groups that count as the busiest, placements between two rankings of them,
# and the time for which the mean slow-down by them on a worker is cached.
MAX_BUSIEST_GROUPS = 8
PLACEMENTS_PER_RANKING = 50
BUSIEST_MAX_AGE_MS = 5_000
# Above this share of used cores, tasks of a worker slow each other down.
CROWDED_SHARE = 0.95
# Predicted slow-downs are cached until the mix has changed by this share of the cores.
MIX_TOLERANCE = 0.03
# Weight of the newest report in the moving average of the request rate. One report
# covers only a second.
RATE_WEIGHT = 0.4


class Load:
    """Load and latency of one service on one worker, from its latest reports."""

    __slots__ = (
        "excess",
        "latest_excess",
        "level",
        "p99_ms",
        "rate_per_s",
        "reported_ms",
        "requests",
    )

    def __init__(self):
        self.rate_per_s = 0.0
        self.p99_ms = 0.0
        self.level = 0
        self.requests = 0
        # Moving average of the logarithm of the measured p99 over its base.
        self.excess = 0.0
        # Logarithm of the p99 over its base in the newest report alone.
        self.latest_excess = 0.0
        self.reported_ms = None


class WorkerView:
    """Load and mix of batch groups of one worker.

    `share_by_group` is the share of the worker's cores that each batch group uses now.
    `lagged_by_group` is that share some seconds ago, to which the latencies reported
    now belong.
    """

    __slots__ = (
        "lag_updated_ms",
        "heartbeat_ms",
        "is_stale",
        "lagged_by_group",
        "load_by_service",
        "mix_updated_ms",
        "observed_ms",
        "busiest_slowdown",
        "busiest_updated_ms",
        "share_by_group",
        "slowdown_by_service",
        "slowdown_shares",
        "upstream",
        "used_share",
    )

    def __init__(self, upstream):
        self.upstream = upstream
        self.load_by_service = {}
        self.share_by_group = {}
        self.lagged_by_group = {}
        # Predicted slow-down of each service under the mix in `slowdown_shares`.
        self.slowdown_by_service = {}
        self.slowdown_shares = {}
        self.busiest_slowdown = 0.0
        self.busiest_updated_ms = None
        self.used_share = 0.0
        self.is_stale = True
        self.mix_updated_ms = 0
        self.observed_ms = 0
        self.heartbeat_ms = None
        self.lag_updated_ms = None


def refresh_mix(state, view):
    """Recompute the mix of batch groups of a worker if it may have changed."""
    if not view.is_stale and state.now_ms - view.mix_updated_ms < MIX_MAX_AGE_MS:
        return
    view.is_stale = False
    view.mix_updated_ms = state.now_ms
    free = state.capacity.by_upstream.get(view.upstream)
    total_cores = max(free.total_cores, 1e-9) if free else 1.0
    share_by_group, used_share = {}, 0.0
    for task_id in state.task_ids_by_upstream.get(view.upstream, ()):
        run = state.run_by_task.get(task_id)
        if run is None:
            continue
        share = run.current_cores / total_cores
        used_share += share
        if run.is_batch:
            share_by_group[run.group] = share_by_group.get(run.group, 0.0) + share
    view.share_by_group = share_by_group
    if _mix_distance(share_by_group, view.slowdown_shares) > MIX_TOLERANCE:
        view.slowdown_by_service.clear()
        view.slowdown_shares = share_by_group
    view.used_share = used_share


def _mix_distance(shares, others):
    """Return the sum of the absolute differences of the shares of two mixes."""
    total = sum(abs(share - others.get(group, 0.0)) for group, share in shares.items())
    return total + sum(share for group, share in others.items() if group not in shares)


def update_loads(state, now_ms, view, heartbeat):
    """Update the service loads of a worker from its heartbeat.

    A random part of the loads trains the interference model, and workers with a slow
    service are marked for review by the preemption policy.
    """
    elapsed_ms = now_ms - (view.heartbeat_ms or now_ms - 1000)
    view.heartbeat_ms = now_ms
    since_lag_update_ms = now_ms - (view.lag_updated_ms or now_ms - 1000)
    if not heartbeat.loads:
        state.load_count -= len(view.load_by_service)
        view.load_by_service.clear()
        return
    is_large = state.load_count > LARGE_FLEET_LOADS
    sample_interval_ms = SAMPLE_INTERVAL_LARGE_MS if is_large else SAMPLE_INTERVAL_MS
    is_due = now_ms - view.observed_ms >= sample_interval_ms
    if is_large and not is_due:
        return
    refresh_mix(state, view)
    drift = _update_lagged_mix(view, since_lag_update_ms)
    view.lag_updated_ms = now_ms
    if is_due:
        view.observed_ms = now_ms
    chance = (
        MODEL_SAMPLES_PER_S * sample_interval_ms / 1000.0 / max(1, state.load_count)
    )
    reported_services = set()
    for report in heartbeat.loads:
        reported_services.add(report.service)
        load = view.load_by_service.get(report.service)
        if load is None:
            load = view.load_by_service[report.service] = Load()
            state.load_count += 1
        may_learn = is_due and (chance >= 1.0 or state.random.random() < chance)
        _update_load(state, now_ms, view, load, report, elapsed_ms, drift, may_learn)
    for service in [
        name for name in view.load_by_service if name not in reported_services
    ]:
        del view.load_by_service[service]
        state.load_count -= 1


def _update_load(state, now_ms, view, load, report, elapsed_ms, drift, may_learn):
    rate = report.requests * 1000.0 / max(elapsed_ms, 200)
    if load.reported_ms is None:
        load.rate_per_s = rate
    load.rate_per_s += RATE_WEIGHT * (rate - load.rate_per_s)
    load.reported_ms = now_ms
    load.requests = report.requests
    level = interference.level_of(load.rate_per_s)
    if level != load.level:
        view.slowdown_by_service.pop(report.service, None)
    load.level = level
    if report.requests < MIN_REQUESTS or report.p99_ms <= 0.0:
        load.excess *= 1.0 - P99_WEIGHT
        load.latest_excess = 0.0
        return
    load.p99_ms = report.p99_ms
    model = state.model
    if may_learn:
        model.observe(
            now_ms,
            report.service,
            load.level,
            report.p99_ms,
            report.requests,
            view.lagged_by_group,
            drift,
        )
    base = model.base(report.service, load.level)
    if base is None:
        return
    excess = math.log(max(report.p99_ms, 1e-3)) - base
    load.excess += P99_WEIGHT * (excess - load.excess)
    load.latest_excess = excess
    if load.excess > state.preemption.SLOW_THRESHOLD:
        state.mark_for_review(view.upstream, now_ms)


def _update_lagged_mix(view, elapsed_ms):
    """Move the lagged mix towards the current one and return their distance."""
    weight = 1.0 - math.exp(-elapsed_ms / MEASUREMENT_LAG_MS)
    lagged, current = view.lagged_by_group, view.share_by_group
    drift = 0.0
    for group in [*lagged, *(group for group in current if group not in lagged)]:
        lagged_share, current_share = lagged.get(group, 0.0), current.get(group, 0.0)
        drift += abs(current_share - lagged_share)
        moved_share = lagged_share + weight * (current_share - lagged_share)
        if moved_share < 0.003 and current_share == 0.0:
            lagged.pop(group, None)
        else:
            lagged[group] = moved_share
    return drift


def added_slowdown(state, view, group, share):
    """Return the slow-down that more work of a group adds to a worker's services.

    The result is the sum over the services on the worker, in multiples of their base
    p99. `share` is the share of the worker's cores that the additional work uses.
    """
    if not view.load_by_service:
        return 0.0
    refresh_mix(state, view)
    present_share = view.share_by_group.get(group, 0.0)
    pressure_of = interference.pressure_of
    added_pressure = pressure_of(present_share + share) - pressure_of(present_share)
    model, total = state.model, 0.0
    group_parameters = model.group_by_key.get(group)
    for service, load in view.load_by_service.items():
        if group_parameters is None:
            effect = interference.PRIOR_EFFECT
        else:
            effect = group_parameters.effect(service, load.level)
        if effect <= 0.0:
            continue
        slowdown = view.slowdown_by_service.get(service)
        if slowdown is None:
            excess = model.excess(service, load.level, view.share_by_group)
            slowdown = view.slowdown_by_service[service] = math.exp(excess)
        total += slowdown * math.expm1(
            min(effect * added_pressure, interference.MAX_EXCESS)
        )
    return total


def busiest_groups_slowdown(state, view):
    """Return the mean slow-down by one more task of the busiest groups on a worker.

    Where the value is high, the worker suits a group that causes no slow-down there:
    other workers then remain free for the busiest groups.
    """
    if not view.load_by_service:
        return 0.0
    if (
        view.busiest_updated_ms is None
        or state.now_ms - view.busiest_updated_ms >= BUSIEST_MAX_AGE_MS
    ):
        view.busiest_updated_ms = state.now_ms
        total = weights = 0.0
        for group, (weight, share) in state.placement_stats.busiest():
            total += weight * added_slowdown(state, view, group, share)
            weights += weight
        view.busiest_slowdown = total / weights if weights else 0.0
    return view.busiest_slowdown


class PlacementStats:
    """Recent placements of each batch group.

    `table` maps a group to a decaying count of its placements and to the mean share of
    a worker's cores that one of its tasks takes.
    """

    __slots__ = ("busiest_groups", "placement_count", "table")

    def __init__(self):
        self.table = {}
        self.placement_count = 0
        self.busiest_groups = []

    def record_placement(self, group, share):
        """Count a placement; at intervals, decay the counts and rank the groups."""
        weight, mean = self.table.get(group, (0.0, share))
        self.table[group] = (weight + 1.0, mean + (share - mean) * 0.2)
        self.placement_count += 1
        if (
            self.placement_count % PLACEMENTS_PER_RANKING == 0
            or len(self.busiest_groups) < MAX_BUSIEST_GROUPS
        ):
            self._rank()

    def busiest(self):
        """Return the busiest groups, each with its decayed count and mean share."""
        return [(group, self.table[group]) for group in self.busiest_groups]

    def _rank(self):
        if self.placement_count % PLACEMENTS_PER_RANKING == 0:
            decayed_table = {
                group: (weight * 0.7, share)
                for group, (weight, share) in self.table.items()
            }
            self.table = {
                group: (weight, share)
                for group, (weight, share) in decayed_table.items()
                if weight > 0.01
            }
        ordered = sorted(self.table, key=lambda group: -self.table[group][0])
        self.busiest_groups = ordered[:MAX_BUSIEST_GROUPS]


def replica_slowdown(state, view, service):
    """Return the slow-down that a worker's batch tasks cause to a new replica there."""
    refresh_mix(state, view)
    level = state.model.latest_level_by_service.get(service, 0)
    return math.expm1(state.model.excess(service, level, view.share_by_group))
