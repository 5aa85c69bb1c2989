"""What follows when the log refuses a command of the leader.

The marks of a proposal keep it from being repeated until it is applied. A refused one
never is, so its marks are cleared, and what can be recorded is proposed once more.
"""

from sardinegauge import commands


def on_refused(state, event):
    """Process a `schedulerevents.CommandRefused`."""
    handler = _BY_COMMAND.get(type(event.command))
    if handler is not None:
        handler(state, event.command)


def _on_ends_refused(state, command):
    """Propose each row of refused ends alone, so that only the invalid ones are lost.

    A row that was refused alone stays marked, as it would be refused again. Ends with
    higher numbers may be on their way to the log by now; after them, a lower number
    would count as recorded, so the rows are proposed without their numbers.
    """
    if len(command.rows) == 1:
        return
    view = state.view_by_id.get(command.worker)
    last_number = max(number for number, *_ in command.rows)
    is_overtaken = view is None or view.proposed_end > last_number
    for number, *fields in command.rows:
        row = [0 if is_overtaken else number, *fields]
        state.propose(command.replace(rows=[row]))


def _on_release_refused(state, command):
    """Release the incarnation without the checkpoints, or let the next tick do it."""
    view = state.view_by_id.get(command.worker)
    if view is None or view.incarnation != command.life:
        return
    if command.checkpoints:
        state.propose(command.replace(checkpoints=[]))
    else:
        view.is_release_pending = False


def _on_crash_refused(state, command):
    """Record the crash without its runs, as its agent repeats it until then."""
    if command.rows:
        state.propose(command.replace(rows=[]))


def _on_assignments_refused(state, command):
    """Let the next plan assign the tasks."""
    for task_id, *_ in command.rows:
        state.drop_planned(task_id)
    state.is_plan_due = True


_BY_COMMAND = {
    commands.AssignRuns: _on_assignments_refused,
    commands.RecordCrash: _on_crash_refused,
    commands.RecordEnds: _on_ends_refused,
    commands.ReleaseLife: _on_release_refused,
}
