"""Policies that find stuck and slow runs, and the workers that cause them.

They are made for workers that go bad for some seconds while they still answer: all runs
there or a share of them stand still, or everything takes several times as long. A step
ends with its slowest task, so that one stuck task of 20 makes its workflow late.

A task that has several times the work of its peers takes as long on any worker. Hence a
run is slow only by evidence about its worker: the run itself was faster before, or
others are slow there as well and none was as fast as its peers since the run began.
"""

import abc
import statistics

from sardinegauge import record
from sardinegauge.workflows.policies import progress

STUCK = "stuck"
SLOW = "straggler"
# Reason of a persistent run that does not begin or resume its work.
IDLE = "idle"

# Least stall of a stuck run at full use of its cores; reports come every 400 ms.
MIN_STALL_MS = 1000
# The same for a run that would have made `MIN_CLEAR_PROGRESS`, or on a worker where at
# least `MIN_STALLED_RUNS` runs stand still and none progresses.
MIN_CLEAR_STALL_MS = 700
MIN_STALLED_RUNS = 3
# Least progress in percent that a stuck run would have made at its lowest credible
# rate. Progress is reported in whole percent.
MIN_EXPECTED_PROGRESS = 3
# The same for a short stall, and for a run of which only the declared time is known.
MIN_CLEAR_PROGRESS = 10
# Bounds of the factor by which a run may be slower than its peers, than itself before,
# and than declared. A few percent of the tasks have 7 times the work of their peers.
PEER_FACTOR = 10
OWN_FACTOR = 3
DECLARED_FACTOR = 10
# Least number of peers on other workers for a comparison.
MIN_PEERS = 2
# A run with at most this share of its peers' rate counts as slow.
SLOW_SHARE = 0.4
# A run with at least this share of its peers' rate shows that its worker is not slow.
NORMAL_SHARE = 0.6
# Least progress in percent that peers make in the window of a slow run.
MIN_PEER_PROGRESS = 8
# A best-effort run without progress for this long on a suspected worker is not starved.
SUSPECTED_STILL_MS = 1500
# A persistent run below 100 percent without progress for this long is idle.
MIN_IDLE_MS = 3000


class Verdict(record.Record):
    """A run that is stuck, slow or idle.

    `rate` is its own rate and `peer_rate` the median of its peers, in percent per ms,
    0 if unknown. `stalled_ms` is how long it has made no progress. `has_moving_peers`
    tells whether peers progress on other workers.
    """

    __slots__ = (
        "has_moving_peers",
        "info",
        "peer_rate",
        "progress",
        "rate",
        "reason",
        "stalled_ms",
        "worked_ms",
    )


class Judgement:
    """The `verdicts` on runs, and the reasons of the unhealthy workers by worker."""

    __slots__ = ("reason_by_worker", "verdicts")

    def __init__(self):
        self.verdicts = []
        self.reason_by_worker = {}


class StragglerPolicy(abc.ABC):
    """Judges the runs by their tracked progress."""

    @abc.abstractmethod
    def judge(self, tracker, suspected_ids, now_ms):
        """Return a `Judgement`.

        Parameters
        ----------
        tracker : progress.Tracker
        suspected_ids : set of str
            Workers that are suspected already, on which less evidence is required.
        now_ms : int
        """


class NoRestarts(StragglerPolicy):
    """Finds nothing, so that every run stays where it is."""

    def judge(self, tracker, suspected_ids, now_ms):
        """Return an empty judgement."""
        return Judgement()


class ByProgress(StragglerPolicy):
    """Compares a run with its peers, with its own earlier rate, and as declared."""

    def judge(self, tracker, suspected_ids, now_ms):
        """Return the judgement on all runs with recent samples."""
        judgement = Judgement()
        tracks_by_worker = {}
        ready_by_kind = {}
        idle = []
        for track in tracker.track_by_run.values():
            if not track.is_current(now_ms):
                continue
            info = track.info
            if info.is_persistent:
                if track.progress >= 100:
                    ready_by_kind.setdefault(info.kind, set()).add(info.worker)
                elif track.stalled_ms >= MIN_IDLE_MS:
                    idle.append(track)
            elif info.kind in tracker.moving_kinds:
                tracks_by_worker.setdefault(info.worker, []).append(track)
        peers = Peers(tracker, tracks_by_worker)
        peers.update_normal_times(tracker, tracks_by_worker, now_ms)
        for worker, tracks in tracks_by_worker.items():
            found = _WorkerFindings(
                peers,
                tracks,
                worker in suspected_ids,
                tracker.normal_ms_by_worker.get(worker, 0),
            )
            judgement.verdicts += found.verdicts()
            reason = found.unhealthy_reason()
            if reason:
                judgement.reason_by_worker[worker] = reason
        for track in idle:
            # Without a peer at work elsewhere, the kind may never reach 100 percent.
            if ready_by_kind.get(track.info.kind, set()) - {track.info.worker}:
                judgement.verdicts.append(_verdict(track, IDLE, 0.0, True))
        return judgement


class Peers:
    """Rates of the tasks of each step."""

    def __init__(self, tracker, tracks_by_worker):
        self._rates_by_step = {}
        self._median_by_step = {}
        self._median_by_place = {}
        for tracks in tracks_by_worker.values():
            for track in tracks:
                rate = track.rate()
                if rate is not None:
                    self._add(track.info.step_id, track.info.worker, rate)
        for step_id in list(self._rates_by_step):
            for worker, rate, _ in tracker.done_rates_by_step.get(step_id, ()):
                self._add(step_id, worker, rate)

    def _add(self, step_id, worker, rate):
        self._rates_by_step.setdefault(step_id, []).append((worker, rate))

    def update_normal_times(self, tracker, tracks_by_worker, now_ms):
        """Record the workers with a run that is about as fast as its peers."""
        normal_ms_by_worker = tracker.normal_ms_by_worker
        window_ms = now_ms - progress.RECENT_WINDOW_MS / 2
        for step_id, rows in tracker.done_rates_by_step.items():
            for worker, rate, at_ms in rows:
                shown_ms = at_ms - progress.MIN_RATE_MS
                if shown_ms > normal_ms_by_worker.get(worker, 0) and (
                    rate >= NORMAL_SHARE * self.step_rate(step_id) > 0
                ):
                    normal_ms_by_worker[worker] = shown_ms
        for worker, tracks in tracks_by_worker.items():
            if any(map(self._is_normal, tracks)):
                last_ms = normal_ms_by_worker.get(worker, 0)
                normal_ms_by_worker[worker] = max(last_ms, window_ms)

    def _is_normal(self, track):
        rate = track.recent_rate() or track.rate()
        if track.stalled_ms or not rate:
            return False
        return rate >= NORMAL_SHARE * self.rate_elsewhere(track.info) > 0

    def step_rate(self, step_id):
        """Return the median rate of a step, 0 if there is none."""
        if step_id not in self._median_by_step:
            rates = [rate for _, rate in self._rates_by_step.get(step_id, ())]
            self._median_by_step[step_id] = statistics.median(rates) if rates else 0.0
        return self._median_by_step[step_id]

    def rate_elsewhere(self, info):
        """Return the median rate of a run's peers on other workers, 0 for too few."""
        place = (info.step_id, info.worker)
        if place not in self._median_by_place:
            rates = [
                rate
                for worker, rate in self._rates_by_step.get(info.step_id, ())
                if worker != info.worker
            ]
            is_known = len(rates) >= MIN_PEERS
            self._median_by_place[place] = statistics.median(rates) if is_known else 0.0
        return self._median_by_place[place]


class _WorkerFindings:
    """The stuck and slow runs among the tracks of one worker."""

    def __init__(self, peers, tracks, is_suspected, normal_ms):
        self._peers = peers
        self._normal_ms = normal_ms
        self._is_suspected = is_suspected
        # The end of a run at 100 percent is on its way.
        self._judged = [
            track
            for track in tracks
            if track.usable_share >= progress.MIN_USABLE_SHARE and track.progress < 100
        ]
        min_stall_ms = MIN_STALL_MS
        if is_suspected or self._is_standing_still():
            min_stall_ms = MIN_CLEAR_STALL_MS
        self._stuck = [t for t in self._judged if self._is_stuck(t, min_stall_ms)]
        # Elsewhere a best-effort run without load is taken to be starved.
        self._starved = []
        if is_suspected:
            self._starved = [
                track
                for track in tracks
                if track.info.is_best_effort
                and track.progress < 100
                and track.still_ms >= SUSPECTED_STILL_MS
                and track not in self._stuck
            ]
        self._slow = [t for t in self._judged if t.stalled_ms == 0 and self._is_slow(t)]

    def _is_standing_still(self):
        stalled = [t for t in self._judged if self._is_stuck(t, MIN_CLEAR_STALL_MS)]
        return (
            len(stalled) == len(self._judged)
            and len(stalled) >= MIN_STALLED_RUNS
            and _count_workflows(stalled) > 1
        )

    def _is_stuck(self, track, min_stall_ms):
        if track.stalled_ms < MIN_CLEAR_STALL_MS:
            return False
        own_rate = track.moving_rate()
        peer_rate = self._peers.rate_elsewhere(track.info)
        if own_rate or peer_rate:
            lowest_rate = max((own_rate or 0) / OWN_FACTOR, peer_rate / PEER_FACTOR)
            expected = track.stalled_ms * lowest_rate
            is_long = track.stalled_ms >= min_stall_ms
            return expected >= (
                MIN_EXPECTED_PROGRESS if is_long else MIN_CLEAR_PROGRESS
            )
        if not track.info.estimate_ms or track.stalled_ms < min_stall_ms:
            return False
        lowest_rate = 100 / track.info.estimate_ms / DECLARED_FACTOR
        return track.stalled_ms * lowest_rate >= MIN_CLEAR_PROGRESS

    def _is_slow(self, track):
        rate = track.recent_rate()
        if not rate or rate > SLOW_SHARE * self._peers.step_rate(track.info.step_id):
            return False
        peer_rate = self._peers.rate_elsewhere(track.info)
        return (
            rate <= SLOW_SHARE * peer_rate
            and peer_rate * progress.RECENT_WINDOW_MS >= MIN_PEER_PROGRESS
        )

    def _is_slowing_down(self, track):
        """Return whether a slow run was faster before."""
        return track.recent_rate() <= SLOW_SHARE * track.peak_rate

    def _is_worker_slow(self):
        rated = [t for t in self._judged if t.recent_rate() is not None]
        evidence = [t for t in self._slow if self._is_evidence(t)]
        return len(evidence) > 1 and 2 * len(evidence) >= len(rated)

    def _is_evidence(self, track):
        """Return whether a slow run shows that its worker is slow, not its own work."""
        return track.began_ms > self._normal_ms or self._is_slowing_down(track)

    def unhealthy_reason(self):
        """Return why the worker is unhealthy, or an empty text."""
        if self._stuck:
            is_all = len(self._stuck) == len(self._judged)
            is_only = len(self._stuck) == 1 and self._has_moving_peers(self._stuck[0])
            if _count_workflows(self._stuck) > 1 or (is_all and is_only):
                return STUCK
        if self._is_worker_slow():
            return SLOW
        if len(self._slow) == len(self._judged) == 1:
            return SLOW if self._is_slowing_down(self._slow[0]) else ""
        return ""

    def _has_moving_peers(self, track):
        return self._peers.rate_elsewhere(track.info) > 0

    def verdicts(self):
        """Return the verdicts on the runs of the worker."""
        is_worker_slow = self._is_suspected or self._is_worker_slow()
        slow = [
            track
            for track in self._slow
            if self._is_slowing_down(track)
            or (is_worker_slow and self._is_evidence(track))
        ]
        return [
            _verdict(
                track,
                reason,
                self._peers.rate_elsewhere(track.info),
                self._has_moving_peers(track),
            )
            for reason, tracks in ((STUCK, self._stuck + self._starved), (SLOW, slow))
            for track in tracks
        ]


def _verdict(track, reason, peer_rate, has_moving_peers):
    rate = track.recent_rate() if reason == SLOW else track.moving_rate()
    return Verdict(
        info=track.info,
        reason=reason,
        progress=track.progress,
        rate=rate or 0.0,
        peer_rate=peer_rate,
        stalled_ms=track.still_ms,
        worked_ms=track.worked_ms,
        has_moving_peers=has_moving_peers,
    )


def _count_workflows(tracks):
    return len({track.info.workflow_id for track in tracks})
