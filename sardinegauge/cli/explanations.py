"""``sardinegauge explain``: show the reasons for decisions, or a trace from logs."""

import json

import typer

from sardinegauge import errors, logstory


def explain(
    context: typer.Context,
    id: str,
    logs: list[str] = typer.Option(
        [], "--logs", help="Saved log of a process; may be given more than once."
    ),
):
    """Explain the state of a job, task or upstream, or trace any id in saved logs.

    Example: sardinegauge explain job-17
    Example: sardinegauge explain 3fef2a3df57a671e --logs front.log --logs core.log
    """
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


def _from_logs(id, paths):
    lines = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file
        except OSError as error:
            raise errors.UserError(f"{path}: {error.strerror}") from error
    trace_lines = logstory.tell(id, lines)
    if not trace_lines:
        raise errors.UserError(f"no line of these logs mentions {id!r}")
    return trace_lines
