"""``sardinegauge explain``: show the reasons for decisions, or a trace from logs."""

import json

import typer

from sardinegauge import errors, logtrace
from sardinegauge.cli import output


def explain(
    context: typer.Context,
    id: str,
    queue: str = typer.Option("", help="With `placement`: queue of the task."),
    cpu_millis: float = typer.Option(0, min=0, help="Thousandths of a core."),
    memory_mb: float = typer.Option(0, min=0),
    accelerators: float = typer.Option(0, min=0),
    best_effort: bool = typer.Option(False, "--best-effort"),
    label: str = typer.Option("", help="Only workers with this label."),
    image: str = "",
    target_ms: float = typer.Option(0, min=0, help="Of a latency-critical task."),
    logs: list[str] = typer.Option(
        [], "--logs", help="Saved log of a process; may be given more than once."
    ),
):
    """Explain the state of a job, task or upstream, or trace any id in saved logs.

    Of a workflow, tell what is known from its policy service.

    With `placement` as the id and a queue, tell where its next task would start now.

    Example: sardinegauge explain job-17
    Example: sardinegauge explain 3fef2a3df57a671e --logs front.log --logs core.log
    Example: sardinegauge explain placement --queue q --cpu-millis 500 --memory-mb 100
    """
    if id == "placement" and queue:
        _explain_placement(
            context.obj,
            queue=queue,
            cpu_millis=cpu_millis,
            memory_mb=memory_mb,
            accelerators=accelerators,
            best_effort=best_effort,
            label=label,
            image=image,
            target_ms=target_ms,
        )
        return
    lines = _from_logs(id, logs) if logs else None
    if lines is None:
        data = context.obj.read("Explain", id=id)
        lines = data.get("lines", [])
    else:
        data = {"lines": lines}
    if context.obj.is_json:
        typer.echo(json.dumps(data, indent=2))
        return
    for line in lines:
        typer.echo(line)


def _explain_placement(client, **fields):
    data = client.read("ExplainPlacement", **fields)
    output.show(client, data, "candidates", ("worker", "score", "ruled_out", "note"))
    if not client.is_json:
        found = data.get("worker")
        typer.echo(f"starts on {found}" if found else f"waits for {data['waits_for']}")


def _from_logs(id, paths):
    lines = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file
        except OSError as error:
            raise errors.UserError(f"{path}: {error.strerror}") from error
    trace_lines = logtrace.trace(id, lines)
    if not trace_lines:
        raise errors.UserError(f"no line of these logs mentions {id!r}")
    return trace_lines
