"""``sardinegauge config``: show and replace the configuration."""

import pathlib

import typer

from sardinegauge.cli import options

app = typer.Typer(no_args_is_help=True, help="The configuration.")


@app.command("get")
def get_configuration(context: typer.Context):
    """Print the configuration; its version goes to standard error."""
    data = context.obj.read("GetConfiguration")
    typer.echo(f"version {data['version']}", err=True)
    typer.echo(data["document"])


@app.command("set")
def set_configuration(
    context: typer.Context,
    file: pathlib.Path = typer.Argument(..., exists=True, dir_okay=False),
    base_version: int = typer.Option(
        ..., help="Version the change was made from, as printed by config get."
    ),
    request_id: str = options.REQUEST_ID,
):
    """Replace the configuration if nobody else changed it since.

    Example: sardinegauge config set karri.json --base-version 7
    """
    reply = context.obj.change(
        "SetConfiguration",
        request_id,
        base_version=base_version,
        document=file.read_text(encoding="utf-8"),
    )
    typer.echo(f"version {reply['version']}")
