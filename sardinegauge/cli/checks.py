"""``sardinegauge check``: validate a settings file without starting a process."""

import importlib
import pathlib

import typer

from sardinegauge import errors, settings

MODULE_BY_PROCESS = {
    "state": "sardinegauge.state.stateapp",
    "entry": "sardinegauge.entries.entryapp",
    "agent": "sardinegauge.agents.agentapp",
}


def check(
    file: pathlib.Path = typer.Argument(..., help="Settings file."),
    process: str = typer.Option(..., help="Its process: state, entry or agent."),
):
    """Check a settings file; every error is shown with its path.

    Example: sardinegauge check entry.json --process entry
    """
    if process not in MODULE_BY_PROCESS:
        known = ", ".join(MODULE_BY_PROCESS)
        raise errors.SettingsError(str(file), [f"--process must be one of {known}"])
    module = importlib.import_module(MODULE_BY_PROCESS[process])
    settings.load(str(file), module.KNOWN_SETTINGS)
    typer.echo(f"{file}: no errors")
