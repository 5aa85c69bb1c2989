"""Orders for a worker: what its agent's last report lacks compared with the store.

Orders have a limit of size, since an agent closes the link for a message that is too
large. What is left out goes with the next orders, which answer the agent's next report.
"""

import json
import logging

from sardinegauge import record
from sardinegauge.workflows import draining, views

# Half of the largest message of a link; the fields beside the orders are small.
MAX_ORDERS_BYTES = 512 << 10
# Size of a row beside its texts: two numbers and the punctuation.
ROW_BYTES = 48

log = logging.getLogger(__name__)


class EncodedOrders(record.Record):
    """Orders as JSON bytes, and how many rows were left out for their size."""

    __slots__ = ("data", "left_out")


class _Body:
    """Fields of the orders, filled in the order of importance up to the limit."""

    __slots__ = ("fields", "left_out", "size")

    def __init__(self, **fields):
        self.fields = fields
        self.size = 0
        self.left_out = 0

    def add(self, name, row, text_bytes):
        """Add a row to a list if there is room for it."""
        self.size += ROW_BYTES + text_bytes
        if self.size > MAX_ORDERS_BYTES:
            self.left_out += 1
        else:
            self.fields[name].append(row)

    def encode(self):
        """Return the `EncodedOrders`."""
        data = json.dumps(self.fields, separators=(",", ":")).encode()
        return EncodedOrders(data=data, left_out=self.left_out)


def encode(state, worker, incarnation):
    """Return the `EncodedOrders` for a worker.

    The orders hold starts as rows of task, run, payload, checkpoint, ticket and CPU
    cap; ordered starts that stay in force, in `still_ordered`, as rows of task and run;
    stops, and runs for the agent to forget, as rows of task and run; CPU caps, in
    `paces`, as rows of task, run and percent; questions to the policy service as rows
    of step and workers, and their terms by step, see `advicequestions.Questions`;
    the number of the last recorded end; and the incarnation of the last recorded
    crash. A worker is watched while it runs both latency-critical and
    best-effort tasks.
    """
    view = state.view_by_id.get(worker)
    body = _Body(
        seen_end=0,
        starts=[],
        still_ordered=[],
        stops=[],
        forget=[],
        paces=[],
        is_watched=False,
        questions=state.advice_tracker.questions.rows_for(worker),
        crash_seen=0,
    )
    if (
        view is None
        or view.incarnation != incarnation
        or state.registered_incarnation(worker) != incarnation
    ):
        return body.encode()
    runs = state.store.runs_of(worker, incarnation)
    if body.fields["questions"]:
        questions = state.advice_tracker.questions
        body.fields["question_terms"] = questions.terms_for(worker)
    body.fields["crash_seen"] = state.crash_by_agent.get(view.agent, 0)
    body.fields["seen_end"] = state.store.worker_by_id[worker].seen_end
    body.fields["is_watched"] = any(
        task.step.target_ms for task in runs.values()
    ) and any(task.step.is_filler for task in runs.values())
    starts = _add_rows(state, view, runs, body)
    _add_starts(state, view, starts, body)
    if body.left_out:
        log.info(
            "orders_cut worker=%s life=%d left_out=%d starts=%d limit=%d",
            worker,
            incarnation,
            body.left_out,
            len(body.fields["starts"]),
            MAX_ORDERS_BYTES,
        )
    return body.encode()


def _add_rows(state, view, runs, body):
    """Add all rows but those of starts; return the rows of runs to start.

    A run whose end in this incarnation was recorded lately is listed by an older
    report. In another incarnation it was started by a late call, and has to be stopped.
    """
    starts = []
    still_ordered = []
    paces = []
    for key, task in runs.items():
        workflow, _, _ = state.store.find_task(task.id)
        reported = view.runs.get(key)
        if not workflow.is_open or task.is_done or key in state.stop_reason_by_run:
            if reported is None or reported.phase in (views.ORDERED, views.ACTIVE):
                body.add("stops", list(key), len(task.id))
        elif (
            reported is None and key not in view.ended and _may_start_runs(state, view)
        ):
            starts.append((key, task, workflow))
        elif draining.may_repeat_start(state, view, key):
            still_ordered.append(key)
        elif reported is not None and reported.phase == views.ACTIVE:
            cpu_cap = state.cpu_cap_by_run.get(key, 100)
            if cpu_cap != reported.cpu_cap:
                paces.append([*key, cpu_cap])
    for key, reported in view.runs.items():
        if reported.phase == views.GONE:
            if key not in runs:
                body.add("forget", list(key), len(key[0]))
        elif (
            key not in runs
            and (*key, view.id, view.incarnation) not in state.end_ms_by_recent_run
            and reported.phase != views.STOPPING
        ):
            body.add("stops", list(key), len(key[0]))
    # A start whose order is not repeated is given up, unlike a late CPU cap.
    for key in still_ordered:
        body.add("still_ordered", list(key), len(key[0]))
    for pace in paces:
        body.add("paces", pace, len(pace[0]))
    return starts


def _add_starts(state, view, starts, body):
    """Add the runs to start, as far as they fit."""
    payload_bytes_by_workflow = {}
    for key, task, workflow in starts:
        if body.size >= MAX_ORDERS_BYTES:
            # The sizes of the remaining payloads need not be known.
            body.left_out += 1
            continue
        ticket = ""
        if state.store.queue_of(workflow).advice is not None:
            step = task.id.rpartition(".")[0]
            ticket = state.advice_tracker.ticket(
                step, view.id, view.incarnation, state.now_ms
            )
            if not ticket:
                continue
        payload_bytes = payload_bytes_by_workflow.get(workflow.id)
        if payload_bytes is None:
            payload_bytes = len(json.dumps(workflow.payload))
            payload_bytes_by_workflow[workflow.id] = payload_bytes
        text_bytes = payload_bytes + len(json.dumps([task.id, task.checkpoint, ticket]))
        cpu_cap = state.cpu_cap_by_run.get(key, 100)
        start = [*key, workflow.payload, task.checkpoint, ticket, cpu_cap]
        body.add("starts", start, text_bytes)


def _may_start_runs(state, view):
    """Return whether starts may be ordered.

    Before its worker is fenced, a restarted agent does not know the active runs.
    """
    return (
        view.is_fenced
        and not view.is_release_pending
        and not draining.is_drained(state, view)
    )
