"""Measures how lasting tasks fare after all machines lose power at once.

    python -m benchmarks.powerloss --seeds 8 --workers 50

The load is that of `interferenceload`. All workers lose their runs in one moment and
register again one after the other, while a new leader takes over that knows only the
log. Latency-critical tasks need a moment to start, and all work waits for the same
plans.
"""

import argparse
import multiprocessing
import statistics

from benchmarks import emulatedworkers, interferenceload
from sardinegauge.workflows import schedulerevents, schedulerstate

# Time of the loss, after the start of the best-effort load.
LOSS_MS = 16_000
ELECTION_MS = 1_000
# Workers register within this time after the election.
REGISTRATION_MS = 1_500
# Time from the order until a latency-critical task serves its users.
START_MS = 600
MEASURED_MS = 12_000


class PowerLoss(interferenceload.Simulation):
    """A leader and workers that lose power once.

    `recovery_meter` counts from the loss on, `missing_ms` is the time for which
    latency-critical tasks were not active in those seconds.
    """

    is_leader_up = True

    def __init__(self, seed, worker_count=50):
        super().__init__(seed, worker_count)
        self.lost_ms = self.now_ms + interferenceload.LEAD_MS + LOSS_MS
        self.recovery_meter = emulatedworkers.Meter()
        self.missing_ms = 0
        self.active_before = 0
        self.starting = set()
        self.schedule(self.lost_ms - self.now_ms, self.lose_power)

    def lose_power(self):
        self.active_before = self.count_critical()
        self.is_leader_up = False
        self.starting.clear()
        for worker in self.workers:
            worker.restart()
            delay_ms = ELECTION_MS + int(self.random.uniform(0, REGISTRATION_MS))
            self.schedule(delay_ms, lambda found=worker: self.register(found))
        self.schedule(ELECTION_MS, self.elect)

    def elect(self):
        self.is_leader_up = True
        self.state = schedulerstate.State(self.machine)
        self.handle(schedulerevents.LeadershipGained, wall_ms=self.now_ms, term=2)

    def handle(self, event_class, **fields):
        if self.is_leader_up:
            super().handle(event_class, **fields)

    def commit(self, command):
        # Without a leader, callers send their submissions again later.
        if self.is_leader_up:
            super().commit(command)
        elif hasattr(command, "steps"):
            self.schedule(ELECTION_MS, lambda: self.commit(command))

    def start(self, worker, key, checkpoint, cpu_cap):
        is_critical = key[0].partition(".")[0] in self.critical_by_workflow
        if not is_critical or self.now_ms < self.lost_ms:
            super().start(worker, key, checkpoint, cpu_cap)
        elif key not in self.starting:
            self.starting.add(key)
            incarnation = worker.incarnation
            self.schedule(
                START_MS, lambda: self.begin(worker, incarnation, key, checkpoint)
            )

    def begin(self, worker, incarnation, key, checkpoint):
        if worker.incarnation == incarnation:
            super().start(worker, key, checkpoint, 100)

    def advance(self, worker):
        if not 0 <= self.now_ms - self.lost_ms < MEASURED_MS:
            super().advance(worker)
            return
        if worker is self.workers[0]:
            missing = self.active_before - self.count_critical()
            self.missing_ms += emulatedworkers.STEP_MS * max(missing, 0)
        if worker.advance(self.images, self.noise, self.recovery_meter, self.now_ms):
            self.report(worker)

    def count_critical(self):
        return sum(len(worker.critical_by_key) for worker in self.workers)


def play(case):
    """Return the numbers of a seed: worth, seconds missing and over target."""
    simulation = PowerLoss(*case)
    outcome = simulation.run_load()
    return (
        outcome.worth,
        simulation.missing_ms / 1000,
        simulation.recovery_meter.over_ms / 1000,
        simulation.active_before,
    )


def main():
    """Print the numbers of each seed and their means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--workers", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    print("  seed   worth  missing s  over target s  tasks")
    cases = [(seed, arguments.workers) for seed in range(arguments.seeds)]
    with multiprocessing.Pool(arguments.jobs) as pool:
        rows = pool.map(play, cases, 1)
    for (seed, _), row in zip(cases, rows):
        print(f"{seed:6d}  {row[0]:6.3f}  {row[1]:9.1f}  {row[2]:13.1f}  {row[3]:5d}")
    means = [statistics.fmean(column) for column in zip(*rows)]
    print(
        f"  mean  {means[0]:6.3f}  {means[1]:9.1f}  {means[2]:13.1f}  {means[3]:5.0f}"
    )


if __name__ == "__main__":
    main()
