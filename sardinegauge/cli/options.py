"""Options that several subcommands share."""

import typer

REQUEST_ID = typer.Option(
    "", help="Request id of an earlier attempt, to repeat it safely."
)
TIMEOUT_S = typer.Option(600.0, help="Give up waiting after this many seconds.")
