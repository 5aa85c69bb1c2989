"""Progress of active runs as reports show it; soft state of the leader.

It is made for workers that go bad while they still answer: what counts is how far a run
came in the time for which its worker has answered, not how long a report took. The time
between two samples is therefore the growth of `survived_ms`; a sample without growth
shows nothing, and after a gap the tracking of a run begins anew.
"""

import collections

# A run whose worker did not answer for longer than this is tracked anew.
MAX_GAP_MS = 1500
# A run without a sample for this long gets no verdict.
MAX_SAMPLE_AGE_MS = 1000
# With a smaller share of its cores, a run is throttled or starved, and never stuck.
MIN_USABLE_SHARE = 0.2
# Span of the samples from which the recent rate is computed.
RECENT_WINDOW_MS = 800
# A run without load adds samples without time at work, so their number is bounded.
MAX_POINTS = 16
# Least time at work from which a rate is computed.
MIN_RATE_MS = 400
# Least progress in percent from which an earlier rate is computed.
MIN_EARLIER_PROGRESS = 5
# Rates of a step are kept this long after its last tracked run was done.
DONE_MEMORY_MS = 10_000
# The sets of kinds begin anew at this size, since callers choose the images.
MAX_KINDS = 10_000
# Work of a run that ended between two reports, which are sent every 400 ms.
UNSEEN_MS = 200


class RunInfo:
    """What does not change about a run.

    `step_id` names the step of one occurrence, whose tasks are peers. `kind` is a pair
    of queue and image. `estimate_ms` is the declared run time, `demand_millis` the
    declared cores in thousandths.
    """

    __slots__ = (
        "demand_millis",
        "estimate_ms",
        "is_best_effort",
        "is_checkpointing",
        "is_persistent",
        "key",
        "kind",
        "step_id",
        "worker",
        "workflow_id",
    )

    def __init__(self, key, step, worker, queue):
        task_id, _ = key
        self.key = key
        self.step_id = task_id.rpartition(".")[0]
        self.workflow_id = task_id.partition(".")[0]
        self.worker = worker
        self.kind = (queue, step.image)
        self.estimate_ms = step.estimate_ms
        self.demand_millis = step.cpu_millis
        self.is_best_effort = step.is_filler
        self.is_checkpointing = step.is_checkpointing
        self.is_persistent = step.is_persistent


class Track:
    """The tracked progress of one run.

    `began_ms` is when the tracking began. `worked_ms` is the time at work, weighted
    with the share of the demanded cores in use, `stalled_ms` the time without progress,
    weighted with the share that the run could use, and `still_ms` the unweighted time
    without progress. `peak_rate` is the highest rate before the recent window.
    """

    __slots__ = (
        "began_ms",
        "first_progress",
        "info",
        "peak_rate",
        "progress",
        "sampled_ms",
        "stalled_ms",
        "still_ms",
        "survived_ms",
        "usable_share",
        "used_share",
        "worked_ms",
        "_points",
    )

    def __init__(self, info):
        self.info = info
        self.sampled_ms = 0
        self._begin(0, -1, 0.0, 0.0, 0)

    def _begin(self, progress, survived_ms, used_share, usable_share, now_ms):
        self.began_ms = now_ms
        self.first_progress = self.progress = progress
        self.survived_ms = survived_ms
        self.used_share = used_share
        self.usable_share = usable_share
        self.worked_ms = 0.0
        self.stalled_ms = 0.0
        self.still_ms = 0
        self.peak_rate = 0.0
        self._points = collections.deque([(0.0, progress)])

    def add_sample(self, reported, idle_millis, now_ms):
        """Add what a report says about the run; return whether its progress moved.

        Parameters
        ----------
        reported : views.ReportedRun
        idle_millis : float
            Thousandths of a core that are known to be idle on the worker.
        now_ms : int
        """
        used, usable = _shares(self.info, reported, idle_millis)
        passed_ms = reported.survived_ms - self.survived_ms
        if passed_ms == 0:
            return False
        self.sampled_ms = now_ms
        # Workers are not trusted to keep to the range.
        reached = min(max(reported.progress, 0), 100)
        is_restored = reached < self.progress
        is_gap = self.survived_ms < 0 or not 0 < passed_ms <= MAX_GAP_MS
        if is_restored or is_gap:
            survived_ms = reported.survived_ms
            self._begin(reached, survived_ms, used, usable, now_ms)
            return False
        self.worked_ms += passed_ms * (used + self.used_share) / 2
        # The share may have changed at any time between the samples.
        lower_share = min(usable, self.usable_share)
        is_moving = reached > self.progress
        if is_moving:
            self.still_ms = 0
        else:
            self.still_ms += passed_ms
        if is_moving or lower_share < MIN_USABLE_SHARE:
            self.stalled_ms = 0.0
        else:
            self.stalled_ms += passed_ms * lower_share
        self.progress = reached
        self.survived_ms = reported.survived_ms
        self.used_share, self.usable_share = used, usable
        self._points.append((self.worked_ms, self.progress))
        while (
            len(self._points) > 2
            and self.worked_ms - self._points[1][0] >= RECENT_WINDOW_MS
        ):
            self._points.popleft()
        if len(self._points) > MAX_POINTS:
            del self._points[-2]
        self.peak_rate = max(self.peak_rate, self._earlier_rate())
        return is_moving

    def is_current(self, now_ms):
        """Return whether the last sample is recent enough for a verdict."""
        return now_ms - self.sampled_ms <= MAX_SAMPLE_AGE_MS

    def rate(self):
        """Return the progress in percent per ms at work, or None if it is unknown."""
        if self.worked_ms < MIN_RATE_MS:
            return None
        return (self.progress - self.first_progress) / self.worked_ms

    def moving_rate(self):
        """Return the rate without the current stall, or None if it is unknown."""
        gained = self.progress - self.first_progress
        moving_ms = self.worked_ms - self.stalled_ms
        if gained < MIN_EARLIER_PROGRESS or moving_ms < MIN_RATE_MS:
            return None
        return gained / moving_ms

    def recent_rate(self):
        """Return the rate within the recent window, or None if that is too short."""
        begin_ms, begin_progress = self._points[0]
        span_ms = self.worked_ms - begin_ms
        if span_ms < RECENT_WINDOW_MS:
            return None
        return (self.progress - begin_progress) / span_ms

    def _earlier_rate(self):
        """Return the rate before the recent window, 0 if it is unknown."""
        earlier_ms, progress = self._points[0]
        gained = progress - self.first_progress
        if gained < MIN_EARLIER_PROGRESS or earlier_ms < MIN_RATE_MS:
            return 0.0
        return gained / earlier_ms


def _shares(info, reported, idle_millis):
    """Return the shares of the demanded cores that a run uses and could use.

    A best-effort run gets only left-over cores. With little load it is starved, unless
    its worker has idle cores.
    """
    cpu_cap = min(max(reported.cpu_cap / 100, 0.0), 1.0)
    if not info.is_best_effort:
        return cpu_cap, cpu_cap
    demand = max(info.demand_millis, 1)
    load = max(reported.load, 0)
    used = min(load / demand, cpu_cap)
    usable = min((load + max(idle_millis, 0)) / demand, cpu_cap)
    return used, usable


def _add_kind(kinds, kind):
    if len(kinds) >= MAX_KINDS:
        kinds.clear()
    kinds.add(kind)


class Tracker:
    """The tracks of all active runs.

    `done_rates_by_step` holds rows of worker, rate and time of the runs that are done,
    by step id. `normal_ms_by_worker` is when a run was last seen there that is about as
    fast as its peers. `moving_kinds` are the kinds of which a run was seen to progress:
    others may report no progress at all, and get no verdict. `loaded_kinds` are those
    of which a run reported load; without it, idle cores show nothing.
    """

    __slots__ = (
        "done_rates_by_step",
        "loaded_kinds",
        "moving_kinds",
        "normal_ms_by_worker",
        "track_by_run",
        "_keys_by_worker",
        "_reported_ms_by_worker",
    )

    def __init__(self):
        self.track_by_run = {}
        self.done_rates_by_step = {}
        self.moving_kinds = set()
        self.loaded_kinds = set()
        self.normal_ms_by_worker = {}
        self._keys_by_worker = {}
        self._reported_ms_by_worker = {}

    def begin_report(self, worker, active_keys, now_ms):
        """Drop the tracks that a report of a worker ends.

        These are the runs that are not active any more, and all after a gap.
        """
        last_ms = self._reported_ms_by_worker.get(worker, now_ms)
        is_gap = now_ms - last_ms > MAX_GAP_MS
        self._reported_ms_by_worker[worker] = now_ms
        former_keys = self._keys_by_worker.get(worker, set())
        for key in former_keys if is_gap else former_keys - active_keys:
            self.track_by_run.pop(key, None)
        self._keys_by_worker[worker] = active_keys

    def add_sample(self, info, reported, idle_millis, now_ms):
        """Add what a report says about an active run."""
        track = self.track_by_run.get(info.key)
        if track is None:
            track = self.track_by_run[info.key] = Track(info)
        if reported.load > 0:
            _add_kind(self.loaded_kinds, info.kind)
        known_idle_millis = idle_millis if info.kind in self.loaded_kinds else 0
        if track.add_sample(reported, known_idle_millis, now_ms):
            _add_kind(self.moving_kinds, info.kind)

    def record_done(self, track, now_ms):
        """Record the rate of a run that is done."""
        info = track.info
        gained = 100 - track.first_progress
        worked_ms = track.worked_ms + UNSEEN_MS
        if worked_ms >= MIN_RATE_MS and gained > 0:
            rates = self.done_rates_by_step.setdefault(info.step_id, [])
            rates.append((info.worker, gained / worked_ms, now_ms))

    def drop_workers(self, known_ids):
        """Drop what is tracked of workers that are gone."""
        for worker in self._keys_by_worker.keys() - known_ids:
            for key in self._keys_by_worker.pop(worker):
                self.track_by_run.pop(key, None)
            self._reported_ms_by_worker.pop(worker, None)
            self.normal_ms_by_worker.pop(worker, None)

    def drop_steps(self, now_ms):
        """Drop the rates of steps without a tracked run for `DONE_MEMORY_MS`."""
        active_ids = {track.info.step_id for track in self.track_by_run.values()}
        for step_id in self.done_rates_by_step.keys() - active_ids:
            _, _, last_ms = self.done_rates_by_step[step_id][-1]
            if now_ms - last_ms > DONE_MEMORY_MS:
                del self.done_rates_by_step[step_id]
