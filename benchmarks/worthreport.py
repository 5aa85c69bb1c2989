"""Reports where days of the users' bench lose time and worth, as text and as plots.

    python -m benchmarks.worthreport --journal journal --output run/report LOG...

LOG is the output of one day of the bench, with the logs of all processes. The worth of
the days is read from the journal.
"""

import argparse
import collections
import json
import pathlib
import statistics

from sardinegauge import logtrace

# Parts of the time of a workflow along its critical path, as the report prints them:
# until a task is first assigned, from the last assignment until the run is active, from
# the first assignment until the last, while the run is active, and from the end of the
# last task until the workflow is recorded as ended.
CAPACITY_WAIT = "waiting for room"
DISPATCH = "being ordered"
RETRIES = "lost runs"
EXECUTION = "running"
COMPLETION_DELAY = "until shown"
PARTS = (CAPACITY_WAIT, DISPATCH, RETRIES, EXECUTION, COMPLETION_DELAY)


class Run:
    """Times in s of one run of a task; None where the logs have no such event."""

    __slots__ = ("active_s", "assigned_s", "ended_s", "how")

    def __init__(self, assigned_s):
        self.assigned_s = assigned_s
        self.active_s = None
        self.ended_s = None
        self.how = ""


class Workflow:
    """Times in s of a workflow, and its runs by task and run number."""

    __slots__ = ("accepted_s", "ended_s", "queue", "runs_by_task", "state")

    def __init__(self, queue, accepted_s):
        self.queue = queue
        self.accepted_s = accepted_s
        self.ended_s = None
        self.state = "open"
        self.runs_by_task = collections.defaultdict(dict)


class Day:
    """Workflows, submissions and moved best-effort tasks from the logs of one day."""

    def __init__(self, lines):
        self.workflow_by_id = {}
        self.submission_count_by_status = collections.Counter()
        self.moved_best_effort_tasks = 0
        parsed = [line for line in map(logtrace.parse, lines) if line is not None]
        for line in sorted(parsed, key=lambda line: line.timestamp):
            method = _METHOD_BY_EVENT.get(line.event)
            if method is not None:
                method(self, line.fields, logtrace.seconds(line.timestamp))

    def _record_acceptance(self, fields, at_s):
        self.workflow_by_id.setdefault(fields["id"], Workflow(fields["queue"], at_s))

    def _record_end(self, fields, at_s):
        known = self.workflow_by_id.get(fields["id"])
        if known is not None and known.ended_s is None:
            known.ended_s = at_s
            known.state = fields["state"]

    def _record_assignment(self, fields, at_s):
        run_by_number = self._runs_of_task(fields)
        if run_by_number is not None:
            run_by_number.setdefault(fields["run"], Run(at_s))

    def _record_activation(self, fields, at_s):
        run_by_number = self._runs_of_task(fields)
        if (
            run_by_number
            and fields["run"] in run_by_number
            and run_by_number[fields["run"]].active_s is None
        ):
            run_by_number[fields["run"]].active_s = at_s

    def _record_run_end(self, fields, at_s):
        run_by_number = self._runs_of_task(fields)
        if (
            run_by_number
            and fields["run"] in run_by_number
            and run_by_number[fields["run"]].ended_s is None
        ):
            run_by_number[fields["run"]].ended_s = at_s
            run_by_number[fields["run"]].how = fields["how"]

    def _runs_of_task(self, fields):
        known = self.workflow_by_id.get(fields["task"].partition(".")[0])
        return known.runs_by_task[fields["task"]] if known is not None else None

    def _count_submission(self, fields, at_s):
        if fields.get("method") == "POST":
            self.submission_count_by_status[fields["status"]] += 1

    def _count_moved_best_effort_task(self, fields, at_s):
        self.moved_best_effort_tasks += 1


_METHOD_BY_EVENT = {
    "workflow_accepted": Day._record_acceptance,
    "workflow_ended": Day._record_end,
    "run_assigned": Day._record_assignment,
    "run_active": Day._record_activation,
    "run_end_recorded": Day._record_run_end,
    "request_answered": Day._count_submission,
    "filler_moved": Day._count_moved_best_effort_task,
}


def breakdown(workflow):
    """Return the seconds of a completed workflow by part.

    The parts are summed along the critical path, which is followed from the end of the
    workflow back to its acceptance: the task that ended last, then the task that ended
    last before the first assignment of that one, and so on.

    Examples
    --------
    >>> item = Workflow("q", 0.0)
    >>> run = item.runs_by_task["w.0.0.0"]["1"] = Run(1.0)
    >>> run.active_s, run.ended_s, run.how = 1.5, 3.5, "done"
    >>> item.ended_s = 4.0
    >>> breakdown(item)["waiting for room"], breakdown(item)["running"]
    (1.0, 2.0)
    """
    parts = dict.fromkeys(PARTS, 0.0)
    end_s = workflow.ended_s
    is_last = True
    while True:
        step = _last_completed_task(workflow, end_s, is_last)
        if step is None:
            break
        runs, done = step
        parts[COMPLETION_DELAY if is_last else CAPACITY_WAIT] += end_s - done.ended_s
        started_s = done.active_s if done.active_s is not None else done.assigned_s
        first_s = min(run.assigned_s for run in runs)
        parts[EXECUTION] += done.ended_s - started_s
        parts[DISPATCH] += started_s - done.assigned_s
        parts[RETRIES] += done.assigned_s - first_s
        end_s = first_s
        is_last = False
    parts[CAPACITY_WAIT] += end_s - workflow.accepted_s
    return parts


def _last_completed_task(workflow, before_s, is_last):
    """Return the runs of the task that was done last by a time, and its done run.

    The result is None if no task was done by then.
    """
    latest = None
    for runs in workflow.runs_by_task.values():
        for run in runs.values():
            is_done = run.how == "done" and run.ended_s is not None
            if not is_done or run.ended_s > before_s:
                continue
            if latest is None or run.ended_s > latest[1].ended_s:
                latest = (list(runs.values()), run)
    return latest


def mean_parts(day):
    """Return by queue the number of completed workflows and the mean of each part."""
    parts_by_queue = collections.defaultdict(list)
    for item in day.workflow_by_id.values():
        if item.state == "completed":
            parts_by_queue[item.queue].append(breakdown(item))
    return {
        queue: (
            len(all_parts),
            {
                part: statistics.fmean(parts[part] for parts in all_parts)
                for part in PARTS
            },
        )
        for queue, all_parts in sorted(parts_by_queue.items())
    }


def format_day(name, day):
    """Return the lines of the report on one day."""
    states = collections.Counter(w.state for w in day.workflow_by_id.values())
    runs = [
        run
        for item in day.workflow_by_id.values()
        for by_number in item.runs_by_task.values()
        for run in by_number.values()
    ]
    ends = collections.Counter(run.how or "open or lost" for run in runs)
    lines = [
        f"{name}: {_counts(states)}",
        f"  submissions by status: {_counts(day.submission_count_by_status)}",
        f"  runs: {_counts(ends)}; moved fillers: {day.moved_best_effort_tasks}",
        "  mean seconds of completed workflows by queue:",
    ]
    for queue, (count, parts) in mean_parts(day).items():
        values = ", ".join(f"{part} {value:.2f}" for part, value in parts.items())
        lines.append(f"    {queue} ({count}): {values}")
    return lines


def _counts(counter):
    return ", ".join(f"{key} {count}" for key, count in counter.most_common()) or "none"


def journal_rows(folder):
    """Return the days of all journal entries as dicts, the oldest entry first."""
    rows = []
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        for day in entry.get("days") or []:
            rows.append({"entry": entry["id"], "site": entry.get("site"), **day})
    return rows


def format_journal(rows):
    """Return lines on the newest play of each standard day and on broken rules."""
    newest_by_day = {}
    for row in rows:
        if row.get("slot") and row.get("G") is not None:
            newest_by_day[row["site"], row["name"]] = row
    lines = ["newest play of each day: worth before prices, worth, largest price"]
    for (site, name), row in sorted(
        newest_by_day.items(), key=lambda item: str(item[0])
    ):
        prices = sorted(row.get("prices") or [], key=lambda price: -price[2])
        largest = f"{prices[0][0]} {prices[0][2]:.3f}" if prices else "-"
        lines.append(
            f"  {site} {name} ({row['entry']}): {row['served']:.3f} {row['G']:.3f} "
            f"{largest}"
        )
    broken_rows = [row for row in rows if row.get("rules")]
    lines.append(f"plays with a broken rule: {len(broken_rows)} of {len(rows)}")
    for row in broken_rows:
        rules = ", ".join(f"{rule} {count}" for rule, count in row["rules"].items())
        lines.append(f"  {row['site']} {row['name']} seed {row['seed']}: {rules}")
    return lines


def plot(days, rows, path):
    """Plot parts by day and queue, and the worth of standard days, to a file."""
    from matplotlib import pyplot

    figure, (times, worth) = pyplot.subplots(2, 1, figsize=(12, 10))
    labels, left = [], []
    means = [
        (f"{name}\n{queue}", parts)
        for name, day in days.items()
        for queue, (_, parts) in mean_parts(day).items()
    ]
    labels = [label for label, _ in means]
    left = [0.0] * len(means)
    for part in PARTS:
        values = [parts[part] for _, parts in means]
        times.barh(labels, values, left=left, label=part)
        left = [a + b for a, b in zip(left, values)]
    times.set_xlabel("mean seconds of a completed workflow")
    if means:
        times.legend()
    by_day = collections.defaultdict(list)
    for row in rows:
        if row.get("slot") and row.get("G") is not None:
            by_day[f"{row['site']} {row['name']}"].append(row["G"])
    for name, values in sorted(by_day.items()):
        worth.plot(range(len(values)), values, marker=".", label=name)
    worth.set_xlabel("play")
    worth.set_ylabel("worth")
    if by_day:
        worth.legend(fontsize="x-small", ncols=2)
    figure.tight_layout()
    figure.savefig(path)


def main():
    """Write the report; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--journal", default="journal")
    parser.add_argument("--output", default="run/report", help="path without suffix")
    parser.add_argument("logs", nargs="*")
    arguments = parser.parse_args()
    days = {}
    for name in arguments.logs:
        path = pathlib.Path(name)
        with open(path, encoding="utf-8", errors="replace") as file:
            days[path.stem] = Day(file)
    rows = journal_rows(arguments.journal)
    lines = format_journal(rows)
    for name, day in days.items():
        lines += format_day(name, day)
    output = pathlib.Path(arguments.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.with_suffix(".txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    plot(days, rows, output.with_suffix(".svg"))
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
