"""What the scheduler knows of each worker from heartbeats: load and mix of work."""

import math

from sardinegauge.scheduling import interference

# Weight of the newest p99 in the smoothed one.
P99_WEIGHT = 0.4
# Measurements describe the mix of about this long ago.
LAG_MS = 6_000
# Requests in one report below which its p99 is not acted upon.
MIN_REQUESTS = 10
# Time between two samples of one worker for the model, and the measurements that it
# learns from per second over the whole fleet, drawn at random. The latter bounds the
# model's share of the leader's processor time.
OBSERVE_MS = 2_000
OBSERVATIONS_PER_S = 200
# With more services reported than this, a worker's loads are taken only when a sample
# is due. Steps against interference take longer than that anyway.
MANY_LOADS = 1_000
OBSERVE_LARGE_MS = 4_000
# Time for which a prediction of an unchanged mix is kept; usage changes all the same.
MIX_MS = 3_000
# Groups that count as usual, how often their order is made, and for how long a
# worker's mean harm by them is kept.
MAX_BUSIEST = 8
DEMANDS_EVERY = 50
OTHERS_MS = 5_000
# Above this share of used cores, tasks slow each other down.
CROWDED_SHARE = 0.95
# Predictions for a mix are kept until this share of the cores changed.
SAME_MIX = 0.03
# A mean rate over a few reports, since one report covers a second only.
RATE_WEIGHT = 0.4


class Load:
    """Load and latency of one service on one worker, as last reported."""

    __slots__ = (
        "excess",
        "latest",
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
        # Smoothed logarithm of the measured p99 over its base.
        self.excess = 0.0
        # The same of the newest report alone.
        self.latest = 0.0
        self.reported_ms = None


class WorkerView:
    """Soft state of one worker.

    `share_by_group` is the share of the worker's cores that each batch group uses now;
    `lagged_by_group` is the same some seconds ago, which measurements belong to.
    """

    __slots__ = (
        "followed_ms",
        "heartbeat_ms",
        "is_stale",
        "lagged_by_group",
        "load_by_service",
        "mixed_ms",
        "observed_ms",
        "others_harm",
        "others_ms",
        "share_by_group",
        "slow_by_service",
        "slow_shares",
        "upstream",
        "used_share",
    )

    def __init__(self, upstream):
        self.upstream = upstream
        self.load_by_service = {}
        self.share_by_group = {}
        self.lagged_by_group = {}
        # Predicted slow-down of each service under the mix `slow_shares`.
        self.slow_by_service = {}
        self.slow_shares = {}
        self.others_harm = 0.0
        self.others_ms = None
        self.used_share = 0.0
        self.is_stale = True
        self.mixed_ms = 0
        self.observed_ms = 0
        self.heartbeat_ms = None
        self.followed_ms = None


def refresh_mix(state, view):
    """Recompute a worker's mix of batch groups if it may have changed."""
    if not view.is_stale and state.now_ms - view.mixed_ms < MIX_MS:
        return
    view.is_stale = False
    view.mixed_ms = state.now_ms
    free = state.free.by_upstream.get(view.upstream)
    cores = max(free.room_cores, 1e-9) if free else 1.0
    shares, used = {}, 0.0
    for task_id in state.ids_by_upstream.get(view.upstream, ()):
        run = state.run_by_task.get(task_id)
        if run is None:
            continue
        share = run.cores_now / cores
        used += share
        if run.is_batch:
            shares[run.group] = shares.get(run.group, 0.0) + share
    view.share_by_group = shares
    if _distance(shares, view.slow_shares) > SAME_MIX:
        view.slow_by_service.clear()
        view.slow_shares = shares
    view.used_share = used


def _distance(shares, others):
    """Return the sum of the differences of two mixes."""
    total = sum(abs(share - others.get(group, 0.0)) for group, share in shares.items())
    return total + sum(share for group, share in others.items() if group not in shares)


def take_loads(state, now_ms, view, heartbeat):
    """Take the service loads of a heartbeat; learn from them and watch hot workers."""
    elapsed_ms = now_ms - (view.heartbeat_ms or now_ms - 1000)
    view.heartbeat_ms = now_ms
    since_mix_ms = now_ms - (view.followed_ms or now_ms - 1000)
    if not heartbeat.loads:
        state.load_count -= len(view.load_by_service)
        view.load_by_service.clear()
        return
    is_large = state.load_count > MANY_LOADS
    observe_ms = OBSERVE_LARGE_MS if is_large else OBSERVE_MS
    is_due = now_ms - view.observed_ms >= observe_ms
    if is_large and not is_due:
        return
    refresh_mix(state, view)
    drift = _follow_mix(view, since_mix_ms)
    view.followed_ms = now_ms
    if is_due:
        view.observed_ms = now_ms
    chance = OBSERVATIONS_PER_S * observe_ms / 1000.0 / max(1, state.load_count)
    known = set()
    for report in heartbeat.loads:
        known.add(report.service)
        load = view.load_by_service.get(report.service)
        if load is None:
            load = view.load_by_service[report.service] = Load()
            state.load_count += 1
        may_learn = is_due and (chance >= 1.0 or state.random.random() < chance)
        _take_load(state, now_ms, view, load, report, elapsed_ms, drift, may_learn)
    for service in [name for name in view.load_by_service if name not in known]:
        del view.load_by_service[service]
        state.load_count -= 1


def _take_load(state, now_ms, view, load, report, elapsed_ms, drift, may_learn):
    rate = report.requests * 1000.0 / max(elapsed_ms, 200)
    if load.reported_ms is None:
        load.rate_per_s = rate
    load.rate_per_s += RATE_WEIGHT * (rate - load.rate_per_s)
    load.reported_ms = now_ms
    load.requests = report.requests
    level = interference.level_of(load.rate_per_s)
    if level != load.level:
        view.slow_by_service.pop(report.service, None)
    load.level = level
    if report.requests < MIN_REQUESTS or report.p99_ms <= 0.0:
        load.excess *= 1.0 - P99_WEIGHT
        load.latest = 0.0
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
    load.latest = excess
    if load.excess > state.preemption.SLOW_THRESHOLD:
        state.watch(view.upstream, now_ms)


def _follow_mix(view, elapsed_ms):
    """Move the lagged mix towards the current one; return how far apart they are."""
    weight = 1.0 - math.exp(-elapsed_ms / LAG_MS)
    lagged, current = view.lagged_by_group, view.share_by_group
    drift = 0.0
    for group in [*lagged, *(group for group in current if group not in lagged)]:
        old, new = lagged.get(group, 0.0), current.get(group, 0.0)
        drift += abs(new - old)
        moved = old + weight * (new - old)
        if moved < 0.003 and new == 0.0:
            lagged.pop(group, None)
        else:
            lagged[group] = moved
    return drift


def harm(state, view, group, share):
    """Return the slow-down that more work of a group adds to a worker's services.

    The result is a sum over the services there, in multiples of their base p99.
    """
    if not view.load_by_service:
        return 0.0
    refresh_mix(state, view)
    before = view.share_by_group.get(group, 0.0)
    pressure_of = interference.pressure_of
    added = pressure_of(before + share) - pressure_of(before)
    model, total = state.model, 0.0
    known = model.group_by_key.get(group)
    for service, load in view.load_by_service.items():
        if known is None:
            effect = interference.PRIOR_EFFECT
        else:
            effect = known.effect(service, load.level)
        if effect <= 0.0:
            continue
        now = view.slow_by_service.get(service)
        if now is None:
            excess = model.excess(service, load.level, view.share_by_group)
            now = view.slow_by_service[service] = math.exp(excess)
        total += now * math.expm1(min(effect * added, interference.MAX_EXCESS))
    return total


def harm_of_others(state, view):
    """Return the mean harm that a usual task of the busiest groups would do here.

    A worker where this is high suits a group that does no harm there, since it keeps
    other workers free for the groups that do.
    """
    if not view.load_by_service:
        return 0.0
    if view.others_ms is None or state.now_ms - view.others_ms >= OTHERS_MS:
        view.others_ms = state.now_ms
        total = weights = 0.0
        for group, (weight, share) in state.demands.busiest():
            total += weight * harm(state, view, group, share)
            weights += weight
        view.others_harm = total / weights if weights else 0.0
    return view.others_harm


class Demands:
    """Batch groups by how much was placed of them lately.

    `table` holds for each group a decayed number of its placements and the mean share
    of a worker that one of its tasks takes.
    """

    __slots__ = ("busiest_groups", "counted", "table")

    def __init__(self):
        self.table = {}
        self.counted = 0
        self.busiest_groups = []

    def note(self, group, share):
        """Count a placement; every so often old counts fade and the order is made."""
        weight, mean = self.table.get(group, (0.0, share))
        self.table[group] = (weight + 1.0, mean + (share - mean) * 0.2)
        self.counted += 1
        if self.counted % DEMANDS_EVERY == 0 or len(self.busiest_groups) < MAX_BUSIEST:
            self._sort()

    def busiest(self):
        """Return the busiest groups with their weight and share."""
        return [(group, self.table[group]) for group in self.busiest_groups]

    def _sort(self):
        if self.counted % DEMANDS_EVERY == 0:
            faded = {key: (w * 0.7, share) for key, (w, share) in self.table.items()}
            self.table = {key: pair for key, pair in faded.items() if pair[0] > 0.01}
        ordered = sorted(self.table, key=lambda key: -self.table[key][0])
        self.busiest_groups = ordered[:MAX_BUSIEST]


def harm_to_service(state, view, service):
    """Return the slow-down of a service's new replica beside a worker's batch work."""
    refresh_mix(state, view)
    level = state.model.usual_level_by_service.get(service, 0)
    return math.expm1(state.model.excess(service, level, view.share_by_group))
