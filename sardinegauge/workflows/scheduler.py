"""The leader's reducer for workflows.

It processes reports of agents and applied commands, and returns proposals and pushes of
orders. It reads the store and never changes it: state that must survive a change of
leader is proposed as a command, all other state is soft and rebuilt from reports.
"""

import collections
import logging

from sardinegauge import commands
from sardinegauge.workflows import (
    besteffort,
    commandrows,
    commandsize,
    crashes,
    decisions,
    displacing,
    draining,
    drainmoves,
    incarnations,
    isolation,
    keptestimates,
    lastingtasks,
    movestarts,
    overcommit,
    recovery,
    refusedcommands,
    runends,
    schedulerevents,
    store,
    views,
    waitingcount,
    withdrawal,
    workerclient,
)

# Recorded ends are kept this long, so that a run in a report older than its end is not
# taken for a stray run.
RECENT_END_RETENTION_MS = 5000
# A task is not assigned again for this long to a worker that refused it.
REFUSAL_BACKOFF_MS = 500
# Reason to stop a run whose start was not ordered yet.
NO_TICKET_REASON = "no ticket"
log = logging.getLogger(__name__)


def reduce(state, event):
    """Apply one event to the state and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, event.now_ms)
    state.health.now_ms = state.now_ms
    _BY_EVENT[type(event)](state, event)
    effects, state.effects = state.effects, []
    return effects


def _on_leadership_gained(state, event):
    state.term = event.term
    log.info(
        "scheduling_began term=%d workers=%d open_workflows=%d queues_version=%d",
        event.term,
        len(state.store.worker_by_id),
        len(state.store.open_ids),
        state.store.queue_set.version,
    )
    state.wall_offset_ms = event.wall_ms - event.now_ms
    keptestimates.load(state)
    for worker in state.store.worker_by_id.values():
        incarnations.create_view(state, worker.worker, worker.life, worker.agent)
    waitingcount.begin(state)
    isolation.begin(state)
    draining.begin(state)
    drainmoves.begin(state)


def _on_report(state, event):
    report = event.report
    view = state.view_by_id.get(report.worker)
    if view is not None and report.life < view.incarnation:
        return
    if view is not None and report.life == view.incarnation:
        if view.is_outdated(report):
            return
    if view is None or report.life > view.incarnation:
        view = incarnations.create_view(state, report.worker, report.life, report.agent)
    was_usable = view.may_start(state.now_ms)
    former_place = (view.pool, view.labels)
    view.update(report, state.now_ms)
    besteffort.resolve_cpu_caps(state, view)
    state.workers_by_agent.setdefault(report.agent, set()).add(view.id)
    if view.may_start(state.now_ms) != was_usable:
        log.info(
            "worker_use_changed worker=%s life=%d usable=%s fenced=%s draining=%s "
            "lapsed=%s",
            view.id,
            view.incarnation,
            not was_usable,
            view.is_fenced,
            view.is_draining,
            view.is_lapsed,
        )
    incarnations.propose_registration(state, view)
    incarnations.release_former_incarnations(state, view)
    state.run_times.observe_report(state.store, view, state.now_ms)
    _record_advice(state, report)
    waitingcount.on_report(state, view)
    crashes.on_report(state, report)
    isolation.on_report(state, view)
    recovery.on_report(state, view)
    _propose_ends(state, view, report)
    _expire_recent_ends(state)
    # A new leader does not know whether the capacity shrank before its first report.
    if view.has_shrunk or view.update_count == 1:
        withdrawal.withdraw_starts(state, view)
    if (view.pool, view.labels) != former_place:
        withdrawal.withdraw_misplaced(state, view)
    displacing.record_checkpoints(state, view)
    overcommit.relieve(state, view)
    besteffort.update_cpu_caps(state, view)
    state.is_plan_due = True


def _record_advice(state, report):
    """Record answers of the policy service about current incarnations of workers.

    An answer counts also if its question is no longer open, as after a change of
    leader.
    """
    tracker = state.advice_tracker
    ended = []
    for step, workers, tickets, valid_ms in report.advice:
        if _advised_queue(state, step) is None:
            continue
        if tickets and valid_ms <= 0:
            ended.append(
                tracker.questions.end_expired(report.worker, step, state.now_ms)
            )
        else:
            ended.append(
                tracker.questions.end_answered(
                    report.worker, step, workers, state.now_ms
                )
            )
        tracker.record_answer(
            step,
            {worker: state.registered_incarnation(worker) for worker in workers},
            dict(tickets),
            state.now_ms + valid_ms,
            state.now_ms,
        )
    for step, age_ms, reason in report.advice_failures:
        failed_ms = state.now_ms - age_ms
        ended.append(
            tracker.questions.end_failed(
                report.worker, step, failed_ms, reason, state.now_ms
            )
        )
    _count_questions(state, [question for question in ended if question is not None])


def _advised_queue(state, step):
    """Return the queue of an open workflow's step if a policy service decides on it."""
    workflow = state.store.workflow_by_id.get(step.split(".")[0])
    if workflow is None or not workflow.is_open:
        return None
    queue = state.store.queue_of(workflow)
    return queue if queue.advice is not None else None


def _count_questions(state, ended):
    """Emit the effects that count questions that ended."""
    for question in ended:
        queue = _advised_queue(state, question.step)
        state.effects.append(
            schedulerevents.QuestionEnded(
                queue=queue.name if queue is not None else "",
                end=question.end,
                lasted_ms=question.lasted_ms,
            )
        )


def _propose_ends(state, view, report):
    """Propose the ends in a report that were not proposed yet."""
    if state.registered_incarnation(view.id) != view.incarnation:
        return
    last_number = max(view.proposed_end, state.store.worker_by_id[view.id].seen_end)
    ends = [commandrows.valid_end(end) for end in report.ends if end[0] > last_number]
    if ends:
        view.proposed_end = ends[-1][0]
    for (task_id, run_number), reported in view.runs.items():
        key = (task_id, run_number)
        if reported.phase != views.GONE or key in view.proposed_gone_runs:
            continue
        if key in state.store.runs_of(view.id, view.incarnation):
            view.proposed_gone_runs.add(key)
            _record_refusal(state, view, key, reported)
            how = store.LOST if reported.reason == views.CRASHED else store.REFUSED
            row = [0, task_id, run_number, how, reported.checkpoint]
            ends.append(commandrows.valid_end(row))
    for rows in commandsize.split_rows(ends):
        _propose_rows(state, view, rows)


def _propose_rows(state, view, rows):
    state.propose(
        commands.RecordEnds(
            worker=view.id,
            life=view.incarnation,
            rows=rows,
            has_long_checkpoints=commandrows.has_long_checkpoints(rows),
        )
    )


def _record_refusal(state, view, key, reported):
    """Keep a refused task off its worker for a while, so that starts don't loop."""
    task_id, _ = key
    if reported.reason == workerclient.TICKET_REJECTED:
        step = task_id.rpartition(".")[0]
        state.advice_tracker.drop_ticket(step, view.id, view.incarnation)
    if reported.reason in workerclient.REFUSAL_REASONS:
        state.refused_until_ms[task_id, view.id] = state.now_ms + REFUSAL_BACKOFF_MS


def _expire_recent_ends(state):
    limit_ms = state.now_ms - RECENT_END_RETENTION_MS
    while state.end_ms_by_recent_run:
        key, at_ms = next(iter(state.end_ms_by_recent_run.items()))
        if at_ms > limit_ms:
            return
        del state.end_ms_by_recent_run[key]


def _on_command_applied(state, event):
    handler = _BY_COMMAND.get(type(event.command))
    if handler is not None:
        handler(state, event)
        state.is_plan_due = True


def _on_assigned(state, event):
    incarnation_by_worker = {}
    assigned_ids = set(event.answer.ids)
    reason_by_task = event.answer.value.get("reason_by_task", {})
    count_by_result = collections.Counter()
    for task_id, run_number, worker, incarnation in event.command.rows:
        decision = state.drop_planned(task_id)
        result = decisions.ASSIGNED
        if task_id not in assigned_ids:
            result = reason_by_task.get(task_id, decisions.OUTDATED)
        count_by_result[decision, result] += 1
        incarnation_by_worker[worker] = incarnation
        view = state.view_by_id.get(worker)
        log.info(
            "run_assigned task=%s run=%d worker=%s life=%d report_age_ms=%d by=%s "
            "result=%s",
            task_id,
            run_number,
            worker,
            incarnation,
            state.now_ms - view.received_ms if view is not None else -1,
            decision,
            result,
        )
        if result != decisions.ASSIGNED:
            movestarts.on_refused(state, task_id)
        else:
            isolation.on_assigned(state, task_id, run_number, worker, incarnation)
            recovery.on_assigned(state, (task_id, run_number), worker)
    for (decision, result), count in count_by_result.items():
        state.effects.append(
            schedulerevents.RowsDecided(decision=decision, result=result, count=count)
        )
    for worker, incarnation in incarnation_by_worker.items():
        view = state.view_by_id.get(worker)
        if view is not None and view.incarnation == incarnation:
            # A new best-effort task must start with its CPU cap, before latencies
            # beside it are known.
            besteffort.set_cpu_caps(state, view)
            if view.has_shrunk:
                withdrawal.withdraw_starts(state, view)
        state.push(worker, incarnation)


def _on_ends_recorded(state, event):
    waitingcount.on_ends_recorded(state, event.command)
    runends.on_recorded(state, event)


def _on_released(state, event):
    view = state.view_by_id.get(event.command.worker)
    if view is not None and view.incarnation == event.command.life:
        view.is_release_pending = False
    runends.drop_released(state)


def _on_cancelled(state, event):
    """Push the stops of the runs of a cancelled workflow."""
    workflow = state.store.workflow_by_id.get(event.command.id)
    if workflow is None:
        return
    if workflow.id in state.open_ids and not workflow.is_open:
        runends.on_workflow_ended(state, workflow)
    _push_stops(state, workflow)


def _push_stops(state, workflow):
    """Push the orders of all workers with runs of a workflow that has ended."""
    workers = {
        (run.worker, run.incarnation) for task in workflow.tasks() for run in task.runs
    }
    for worker, incarnation in sorted(workers):
        state.push(worker, incarnation)


def _on_crash_recorded(state, event):
    for workflow in crashes.on_recorded(state, event.command):
        runends.on_workflow_ended(state, workflow)
        _push_stops(state, workflow)


def _on_task_given_up(state, event):
    workflow, _, _ = state.store.find_task(event.command.task)
    if workflow is not None and not workflow.is_open and workflow.id in state.open_ids:
        runends.on_workflow_ended(state, workflow)
        _push_stops(state, workflow)


def _on_registered(state, event):
    view = state.view_by_id.get(event.command.worker)
    if view is not None and view.incarnation == event.command.life:
        incarnations.release_former_incarnations(state, view)
    state.push(event.command.worker, event.command.life)


def _on_submitted(state, event):
    workflow = state.store.workflow_by_id.get(event.command.id)
    if workflow is not None and workflow.is_open and workflow.id not in state.open_ids:
        state.open_ids.add(workflow.id)
        log.info(
            "workflow_accepted id=%s queue=%s steps=%d tasks=%d repeats=%d",
            workflow.id,
            workflow.queue,
            len(workflow.steps),
            sum(step.count for step in workflow.steps),
            workflow.repeats,
        )


def _on_queues_set(state, event):
    """Withdraw starts on the way to a pool that is no longer that of their queue."""
    former_version = state.queues_version
    state.queues_version = state.store.queue_set.version
    withdrawal.on_queues_changed(state, former_version)


def _ignore(state, event):
    """Do nothing; the next plan uses what the command changed."""


def _on_tick(state, event):
    state.wall_ms = event.wall_ms
    state.wall_offset_ms = event.wall_ms - event.now_ms
    besteffort.move_slow_best_effort_tasks(state)
    besteffort.log_throttling(state)
    lastingtasks.tick(state)
    _expire_refusals(state)
    crashes.tick(state)
    isolation.tick(state)
    draining.withdraw_starts(state)
    recovery.tick(state)
    drainmoves.tick(state)
    _renew_tickets(state)
    keptestimates.propose(state)
    state.backlog.tick(state)
    for view in list(state.view_by_id.values()):
        incarnations.release_expired_incarnations(state, view)
    state.is_plan_due = True


def _expire_refusals(state):
    for key, expires_ms in list(state.refused_until_ms.items()):
        if state.now_ms >= expires_ms:
            del state.refused_until_ms[key]


def _renew_tickets(state):
    """Request tickets for assigned runs whose start was not ordered yet.

    Such a run has no ticket after a change of leader, or if its ticket expired.
    """
    queue_set = state.store.queue_set
    if not any(queue.advice for queue in queue_set.known_by_name.values()):
        return
    for view in state.view_by_id.values():
        for key, task in state.store.runs_of(view.id, view.incarnation).items():
            if key in view.runs or key in view.ended or key in state.stop_reason_by_run:
                continue
            workflow, _, _ = state.store.find_task(task.id)
            advice = state.store.queue_of(workflow).advice
            if advice is None or not workflow.is_open:
                continue
            step = task.id.rpartition(".")[0]
            if state.advice_tracker.is_refused(step, view.id, view.incarnation):
                state.stop_reason_by_run[key] = NO_TICKET_REASON
                state.push(view.id, view.incarnation)
            elif not state.advice_tracker.ticket(
                step, view.id, view.incarnation, state.now_ms
            ):
                candidates = [(view.id, view.incarnation, True)]
                state.advice_tracker.request_tickets(
                    step, candidates, advice, state.now_ms, task.step.gang_size
                )


def _send_questions(state):
    """Push the pending questions to agents without a question."""
    questions = state.advice_tracker.questions
    if not questions.pending_by_step:
        return
    for worker in questions.assign(_askers(state), state.now_ms):
        state.push(worker, state.registered_incarnation(worker))


def _end_unanswered_questions(state):
    """End the questions whose answer is overdue or whose agent is gone."""
    questions = state.advice_tracker.questions
    if questions.by_step:
        ended = questions.end_unanswered(set(_askers(state)), state.now_ms)
        _count_questions(state, ended)


def _askers(state):
    """Return the workers whose agents may ask the policy service."""
    return [
        view.id
        for view in state.view_by_id.values()
        if view.is_fresh(state.now_ms)
        and view.incarnation == state.registered_incarnation(view.id)
    ]


def plan(state, now_ms):
    """Propose the assignments that are possible now, and return the effects."""
    state.effects = []
    state.now_ms = max(state.now_ms, now_ms)
    state.is_plan_due = False
    _end_unanswered_questions(state)
    wall_ms = state.now_ms + state.wall_offset_ms
    movestarts.assign_reserved(state)
    assignments = state.planner.plan(state, state.now_ms, wall_ms)
    for task_id, _, worker, _ in assignments:
        if task_id not in state.worker_by_planned_task:
            state.record_planned(task_id, worker, decisions.PLAN)
    if assignments:
        state.propose_assignments(assignments)
    displacing.displace(state)
    _send_questions(state)
    effects, state.effects = state.effects, []
    return effects


_BY_EVENT = {
    schedulerevents.LeadershipGained: _on_leadership_gained,
    schedulerevents.ReportReceived: _on_report,
    schedulerevents.CommandApplied: _on_command_applied,
    schedulerevents.CommandRefused: refusedcommands.on_refused,
    schedulerevents.Tick: _on_tick,
}
_BY_COMMAND = {
    commands.AssignRuns: _on_assigned,
    commands.RecordEnds: _on_ends_recorded,
    commands.ReleaseLife: _on_released,
    commands.RecordCrash: _on_crash_recorded,
    commands.GiveUpTask: _on_task_given_up,
    commands.ClearSuspects: _ignore,
    commands.RegisterLife: _on_registered,
    commands.CancelWorkflow: _on_cancelled,
    commands.SubmitWorkflow: _on_submitted,
    commands.SetQueues: _on_queues_set,
    commands.DrainDomain: draining.on_command,
    commands.SetDomainDrain: draining.on_command,
}
