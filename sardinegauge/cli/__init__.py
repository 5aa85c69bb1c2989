"""The operators' command line, one module per noun."""

import typer

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def root():
    """Drive a sardinegauge deployment."""


def main():
    """Run the command line."""
    app()
