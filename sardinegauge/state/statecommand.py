"""Command line of the state process."""

import sys

import typer

from sardinegauge import errors, logs, settings
from sardinegauge.agreement import storage
from sardinegauge.state import stateapp

command_line = typer.Typer(add_completion=False)


def _load_settings(path):
    try:
        return settings.load(path, stateapp.KNOWN_SETTINGS)
    except errors.UserError as error:
        _fail(error)


def _fail(error):
    print(f"sardinegauge-state: {error}", file=sys.stderr)
    raise typer.Exit(error.exit_status)


@command_line.callback(invoke_without_command=True)
def run(
    context: typer.Context,
    settings_file: str = typer.Option("", "--settings", help="Settings file."),
):
    """Run one replica of the state."""
    if context.invoked_subcommand is not None:
        return
    if not settings_file:
        _fail(errors.SettingsError("--settings", ["the option is missing"]))
    config = _load_settings(settings_file)
    logs.configure(config.log_level)
    app = stateapp.StateApplication(config, stateapp.default_modules())
    raise typer.Exit(app.run())


@command_line.command()
def init(settings_file: str = typer.Option(..., "--settings", help="Settings file.")):
    """Create the data folder of one initial member of a new group."""
    config = _load_settings(settings_file)
    if config.name not in config.initial_members:
        problem = f"initial_members: {config.name} is not among them"
        _fail(errors.SettingsError(settings_file, [problem]))
    try:
        storage.init_folder(config.data_dir, config.name, config.initial_members)
    except errors.UserError as error:
        _fail(error)


def main():
    """Run the command line."""
    command_line()


if __name__ == "__main__":
    main()
