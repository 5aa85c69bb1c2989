"""``sardinegauge audit``: list the accepted changes with their operators."""

import typer

from sardinegauge.cli import output

_COLUMNS = ("index", "at_ms", "operator", "call", "subject", "outcome")


def show(
    context: typer.Context,
    limit: int = typer.Option(20, min=1, help="Newest records to show."),
):
    """Show the newest accepted changes with the operator who made each."""
    data = context.obj.read("ListAudit", limit=limit)
    output.show(context.obj, data, "records", _COLUMNS)
