"""``sardinegauge explain``: the reasons behind decisions."""

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
    """Tell why a job, task or upstream is as it is, or what logs tell of any id.

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
    found = logstory.tell(id, lines)
    if not found:
        raise errors.UserError(f"no line of these logs mentions {id!r}")
    return found
