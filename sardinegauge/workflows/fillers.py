"""Fillers on a worker, and their pace beside tasks that serve."""

from sardinegauge.workflows import sharing, views


def on_worker(state, view):
    """Return the `sharing.Filler` of each filler on a worker."""
    found = []
    for key, task in state.store.runs_of(view.id, view.life).items():
        reported = view.runs.get(key)
        if task.step.is_filler and key not in view.ended:
            found.append(_filler(view, key, task.step, reported))
    return found


def _filler(view, key, step, reported):
    """Return the `sharing.Filler` of a run, by its use of cores where that is known."""
    amount = sharing.amount_of(step.cpu_millis, view.capacity)
    measured = 0.0
    if reported is not None and reported.load > 0:
        measured = sharing.amount_of(reported.load, view.capacity)
        # At a low pace the use says little about the full pace.
        if reported.pace >= 50:
            amount = measured * 100 / reported.pace
    return sharing.Filler(key, step.image, amount, measured)


def pace(state, view):
    """Learn from the latencies of a report, and pace the fillers accordingly."""
    rows = []
    for key, reported in view.runs.items():
        _, _, task = state.store.find_task(key[0])
        if task is not None and task.step.target_ms:
            if reported.phase == views.ACTIVE:
                step = task.step
                rows.append((key, step.image, reported.load, step.target_ms))
    fillers = on_worker(state, view)
    active = [
        filler
        for filler in fillers
        if filler.key in view.runs and view.runs[filler.key].phase == views.ACTIVE
    ]
    state.sharing.observe(view.id, rows, active, state.now_ms)
    is_changed = False
    for key, pace in state.sharing.paces(view.id, fillers).items():
        is_changed = is_changed or state.paces.get(key, 100) != pace
        state.paces[key] = pace
    if is_changed:
        state.push(view.id, view.life)
