"""CPU caps of best-effort tasks beside latency-critical tasks.

They are made for loads that swing within seconds and interference that differs for each
pair of images: best-effort tasks are throttled to keep the expected pressure below the
target by as much as its forecast may be wrong.
"""

import math

from sardinegauge.workflows import interference

# Expected error of the forecast: this much for the load, and this share of the pressure
# that the best-effort tasks of one image add.
LOAD_ERROR = 0.045
INTERFERENCE_ERROR_SHARE = 0.3
# CPU caps are whole multiples of this percentage.
CPU_CAP_STEP_PERCENT = 5
# Best-effort tasks that raise the pressure by less than this are not throttled.
MIN_EFFECT = 0.015
# Regardless of the estimates, all best-effort tasks on the worker are throttled once a
# latency-critical task has been over its target for this long, and paused after twice
# this time.
OVER_TARGET_LIMIT_MS = 900


def cpu_caps(model, worker, best_effort_tasks, now_ms):
    """Return the CPU cap in percent of each best-effort task by its key.

    Best-effort tasks are throttled in order of rank, highest first, so that work that
    can still meet its deadline keeps its speed. Best-effort tasks with an effect below
    `MIN_EFFECT` keep theirs unless a task stays over its target.

    Parameters
    ----------
    model : interference.InterferenceModel
    worker : str
    best_effort_tasks : list of interference.BestEffortTask
    now_ms : int
    """
    share_by_key = {task.key: 1.0 for task in best_effort_tasks}
    at_ms = now_ms + interference.FORECAST_MS
    load_by_task = {
        task: task.expected_load(at_ms) for task in model.latency_critical_tasks(worker)
    }
    for task in sorted(load_by_task, key=load_by_task.get, reverse=True):
        effects = [
            (model.effect(task, other.image) * other.demand, other)
            for other in best_effort_tasks
        ]
        _reduce_shares(load_by_task[task], effects, share_by_key)
    over_ms = model.over_target_ms(worker, now_ms)
    limit = min(max(2.0 - over_ms / OVER_TARGET_LIMIT_MS, 0.0), 1.0)
    return {
        key: int(100 * share * limit // CPU_CAP_STEP_PERCENT) * CPU_CAP_STEP_PERCENT
        for key, share in share_by_key.items()
    }


def _reduce_shares(load, effects, share_by_key):
    """Reduce the shares until the pressure of a latency-critical task is at its limit.

    Parameters
    ----------
    load : float
        Expected pressure without best-effort tasks.
    effects : list of tuple
        Pressure at full speed, and `interference.BestEffortTask`.
    share_by_key : dict
        Share of their full speed that the tasks have, by their key; changed.
    """
    effect_by_image = {}
    for effect, task in effects:
        effect_by_image.setdefault(task.image, 0.0)
        effect_by_image[task.image] += effect * share_by_key[task.key]
    excess = load + sum(effect_by_image.values())
    excess -= limit_of(load, list(effect_by_image.values()))
    effects.sort(key=lambda pair: (pair[1].rank, pair[0]), reverse=True)
    for effect, task in effects:
        if excess <= 0.0:
            return
        if effect < MIN_EFFECT:
            continue
        reduction = min(share_by_key[task.key] * effect, excess)
        share_by_key[task.key] -= reduction / effect
        excess -= reduction


def limit_of(load, effects):
    """Return the limit of the pressure of a task with a load.

    Of the effects of the images beside it, only as much counts for the error as fits
    below the target, since the rest is throttled.

    Examples
    --------
    >>> round(limit_of(0.6, []), 3), round(limit_of(0.2, [0.9]), 3)
    (0.755, 0.614)
    """
    total = sum(effects)
    fitting_share = 1.0
    if total > 0.0:
        room = max(interference.TARGET_PRESSURE - load, 0.0)
        fitting_share = min(room / total, 1.0)
    scale = INTERFERENCE_ERROR_SHARE * fitting_share
    errors = [scale * effect for effect in effects]
    return interference.TARGET_PRESSURE - math.hypot(LOAD_ERROR, *errors)
