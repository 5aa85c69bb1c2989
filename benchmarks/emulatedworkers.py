"""Workers whose best-effort tasks interfere with latency-critical tasks, emulated.

The load of a latency-critical task swings, with a phase for each workflow, and rises
for a moment now and then. Its pressure is its load plus, for each best-effort task on
its worker, the used cores times a coefficient of the pair of images. Images are
sensitive to one shared resource, and most best-effort images use one of them heavily,
so that most pairs hardly interfere.
"""

import math
import statistics

from sardinegauge.workflows import interference, store, views

STEP_MS = 50
# A latency covers this time.
LATENCY_WINDOW_MS = 500
MAX_PRESSURE = 0.98
TARGET_MS = 50
CRITICAL_MILLIS = 13_000
# Mean load of latency-critical tasks with its swing, and its peaks.
MEAN_LOAD = 0.45
SWING = 0.5
SWING_MS = 14_000
PEAK_PER_S = 0.07
PEAK_LOAD = 0.12
PEAK_MS = 1500
NOISE = 0.01
CRITICAL_IMAGES = 7
BEST_EFFORT_IMAGES = 18
RESOURCES = 3
HEAVY_SHARE = 0.6
HEAVY_COEFFICIENT = (0.12, 0.38)
LIGHT_COEFFICIENT = (0.0, 0.03)
# Coefficients change by this share within seconds.
COEFFICIENT_SWING = 0.3
COEFFICIENT_SWING_MS = 4_000
# Share of its declared cores that a best-effort task uses.
USED_SHARE = (0.7, 1.0)


class Images:
    """The images and how much their pairs interfere, drawn at random.

    `critical` are pairs of latency-critical image and the resource to which it is
    sensitive, `best_effort` the best-effort images.
    """

    __slots__ = ("_mean_by_pair", "best_effort", "critical", "used_share_by_image")

    def __init__(self, rng):
        self.critical = [
            (f"c{number}", rng.randrange(RESOURCES))
            for number in range(CRITICAL_IMAGES)
        ]
        self.best_effort = [f"b{number}" for number in range(BEST_EFFORT_IMAGES)]
        # Pairs of the mean coefficient and the phase of its changes.
        self._mean_by_pair = {}
        for image in self.best_effort:
            is_heavy = rng.random() < HEAVY_SHARE
            pressed = rng.randrange(RESOURCES)
            for critical, resource in self.critical:
                limits = LIGHT_COEFFICIENT
                if is_heavy and resource == pressed:
                    limits = HEAVY_COEFFICIENT
                mean = (rng.uniform(*limits), rng.random())
                self._mean_by_pair[critical, image] = mean
        self.used_share_by_image = {
            image: rng.uniform(*USED_SHARE) for image in self.best_effort
        }

    def coefficient(self, critical, best_effort, now_ms):
        """Return the current pressure of a pair of images for one unit of usage."""
        mean, phase = self._mean_by_pair[critical, best_effort]
        angle = 2 * math.pi * (now_ms / COEFFICIENT_SWING_MS + phase)
        return mean * (1 + COEFFICIENT_SWING * math.sin(angle))


class Meter:
    """Sums in ms over all tasks of all workers.

    `over_ms` is the time of latency-critical tasks over their target, `critical_ms` all
    their time. `active_ms` is the time of best-effort runs, `capped_ms` weighted by
    their CPU caps, and `paused_ms` that with a cap of 0.
    """

    __slots__ = ("active_ms", "capped_ms", "critical_ms", "over_ms", "paused_ms")

    def __init__(self):
        self.over_ms = self.critical_ms = 0
        self.active_ms = self.capped_ms = self.paused_ms = 0


class CriticalWorkflow:
    """The load of the tasks of one latency-critical workflow over time."""

    __slots__ = ("image", "phase", "resource")

    def __init__(self, image, resource, phase):
        self.image = image
        self.resource = resource
        self.phase = phase

    def load(self, now_ms):
        """Return the load, between 0 and 1, without peaks."""
        angle = 2 * math.pi * (now_ms / SWING_MS + self.phase)
        return MEAN_LOAD * (1 + SWING * math.sin(angle))


class CriticalRun:
    """A latency-critical run; `pressures` are those of the last window."""

    __slots__ = ("peak_until_ms", "pressures", "workflow")

    def __init__(self, workflow):
        self.workflow = workflow
        self.peak_until_ms = 0
        self.pressures = []

    def advance(self, interference_pressure, noise, now_ms):
        """Record and return the pressure of one more step."""
        pressure = self.workflow.load(now_ms) + noise.gauss(0, NOISE)
        if noise.random() < PEAK_PER_S * STEP_MS / 1000:
            self.peak_until_ms = now_ms + PEAK_MS
        if now_ms < self.peak_until_ms:
            pressure += PEAK_LOAD
        pressure += interference_pressure
        self.pressures.append(pressure)
        del self.pressures[: -LATENCY_WINDOW_MS // STEP_MS]
        return pressure

    def latency_ms(self):
        """Return the tail latency of the last window, 0 before the first step."""
        if not self.pressures:
            return 0
        pressure = statistics.fmean(self.pressures)
        idle_ms = TARGET_MS / interference.IDLE_LATENCY_RATIO
        return round(idle_ms / (1 - min(pressure, MAX_PRESSURE)))


class BestEffortRun:
    """A best-effort run; `left_ms` is its remaining time at full speed."""

    __slots__ = (
        "begins_ms",
        "cpu_cap",
        "image",
        "left_ms",
        "length_ms",
        "since_ms",
        "usage_millis",
        "cpu_millis",
    )

    def __init__(self, step, left_ms, length_ms, cpu_cap, now_ms, begins_ms):
        self.image = step.image
        self.cpu_millis = step.cpu_millis
        self.left_ms = left_ms
        self.length_ms = length_ms
        self.cpu_cap = cpu_cap
        self.since_ms = now_ms
        self.begins_ms = begins_ms
        self.usage_millis = 0.0


class Worker:
    """An emulated worker with its agent."""

    __slots__ = (
        "best_effort_by_key",
        "cores",
        "critical_by_key",
        "end_count",
        "ends",
        "id",
        "incarnation",
        "is_registered",
    )

    def __init__(self, number, cores):
        self.id = f"w{number}"
        self.cores = cores
        self.incarnation = 1
        self.is_registered = False
        self.critical_by_key = {}
        self.best_effort_by_key = {}
        self.ends = []
        self.end_count = 0

    def restart(self):
        """Lose all runs; the next report is that of a new incarnation."""
        self.incarnation += 1
        self.is_registered = False
        self.critical_by_key.clear()
        self.best_effort_by_key.clear()
        self.ends.clear()
        self.end_count = 0

    def is_known(self, key):
        """Return whether a run is active or has ended here."""
        return (
            key in self.critical_by_key
            or key in self.best_effort_by_key
            or any((row[1], row[2]) == key for row in self.ends)
        )

    def end(self, key, how, checkpoint=""):
        """Record the end of a run."""
        self.end_count += 1
        self.ends.append([self.end_count, *key, how, checkpoint])

    def advance(self, images, noise, meter, now_ms):
        """Let the runs progress for one step; return whether any ended."""
        self._use_cores(images, meter, now_ms)
        usage_by_image = {}
        unit_millis = 1000 * self.cores * interference.USAGE_UNIT_SHARE
        for run in self.best_effort_by_key.values():
            usage = run.usage_millis / unit_millis
            usage_by_image[run.image] = usage_by_image.get(run.image, 0.0) + usage
        for run in self.critical_by_key.values():
            added = sum(
                images.coefficient(run.workflow.image, image, now_ms) * usage
                for image, usage in usage_by_image.items()
            )
            pressure = run.advance(added, noise, now_ms)
            meter.critical_ms += STEP_MS
            meter.over_ms += STEP_MS * (pressure > interference.TARGET_PRESSURE)
        ended = [
            key for key, run in self.best_effort_by_key.items() if run.left_ms <= 0
        ]
        for key in ended:
            del self.best_effort_by_key[key]
            self.end(key, store.DONE)
        return bool(ended)

    def _use_cores(self, images, meter, now_ms):
        """Share the cores that latency-critical tasks leave in proportion."""
        busy_millis = sum(
            CRITICAL_MILLIS * run.workflow.load(now_ms)
            for run in self.critical_by_key.values()
        )
        left_millis = max(1000 * self.cores - busy_millis, 1000)
        runs = self.best_effort_by_key.values()
        wanted = sum(run.cpu_millis * run.cpu_cap / 100 for run in runs)
        share = min(left_millis / wanted, 1.0) if wanted else 1.0
        for run in runs:
            is_begun = now_ms >= run.begins_ms
            used_share = is_begun * share * run.cpu_cap / 100
            used_millis = images.used_share_by_image[run.image] * run.cpu_millis
            run.usage_millis = used_millis * used_share
            run.left_ms -= STEP_MS * used_share
            meter.active_ms += STEP_MS
            meter.capped_ms += STEP_MS * run.cpu_cap / 100
            meter.paused_ms += STEP_MS * (not run.cpu_cap)

    def run_rows(self, now_ms):
        """Return the runs as rows of a `views.Report`."""
        rows = []
        for key, run in self.critical_by_key.items():
            rows.append([*key, views.ACTIVE, "", 100, run.latency_ms(), "", 100, 5000])
        for key, run in self.best_effort_by_key.items():
            progress = int(100 * (1 - run.left_ms / run.length_ms))
            row = [*key, views.ACTIVE, "", progress, int(run.usage_millis), ""]
            rows.append([*row, run.cpu_cap, now_ms - run.since_ms])
        return rows
