"""``sardinegauge explain``: the reasons behind decisions."""

import json

import typer


def explain(context: typer.Context, id: str):
    """Tell why a job, task or upstream is as it is.

    Example: sardinegauge explain job-17
    """
    data = context.obj.read("Explain", id=id)
    if context.obj.is_json:
        typer.echo(json.dumps(data, indent=2))
        return
    for line in data.get("lines", []):
        typer.echo(line)
