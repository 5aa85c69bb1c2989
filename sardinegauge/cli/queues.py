"""``sardinegauge queue``: set and show the queues of workflows."""

import pathlib

import typer

from sardinegauge import errors
from sardinegauge.cli import options

app = typer.Typer(no_args_is_help=True, help="Queues of workflows.")


def read_file(file):
    """Return the text of a file given on the command line."""
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.UsageError(f"{file}: {error.strerror}") from error


@app.command("set")
def set_queues(
    context: typer.Context,
    file: str,
    version: int = typer.Option(..., min=1, help="The highest version wins."),
    request_id: str = options.REQUEST_ID,
):
    """Put the queues and pools of a file in force.

    Example: sardinegauge queue set queues.json --version 7
    """
    reply = context.obj.change(
        "SetQueues", request_id, version=version, document=read_file(file)
    )
    typer.echo(f"version {reply['version']} is in force")


@app.command()
def get(context: typer.Context):
    """Print the queues in force as JSON."""
    typer.echo(context.obj.read("GetQueues")["document"])
