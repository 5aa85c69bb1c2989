"""``sardinegauge state``: manage the members of the replicated state."""

import time

import typer

from sardinegauge.cli import client as client_module
from sardinegauge.cli import options, output

POLL_INTERVAL_S = 0.5
# Longer than a lost member remains listed as live.
STABLE_TIME_S = 3.0
_COLUMNS = ("identity", "name", "role", "live", "address", "match_index")

app = typer.Typer(no_args_is_help=True, help="State replicas and their membership.")


@app.command()
def members(context: typer.Context):
    """List the members of the state group."""
    output.show(context.obj, context.obj.read("ListMembers"), "members", _COLUMNS)


@app.command()
def promote(
    context: typer.Context, identity: str, request_id: str = options.REQUEST_ID
):
    """Make a caught-up learner a voter."""
    context.obj.change("ChangeMember", request_id, identity=identity, action="promote")


@app.command()
def remove(context: typer.Context, identity: str, request_id: str = options.REQUEST_ID):
    """Remove a member for good, such as one whose VM is lost."""
    context.obj.change("ChangeMember", request_id, identity=identity, action="remove")


@app.command()
def replace(
    context: typer.Context,
    name: str,
    timeout_s: float = options.TIMEOUT_S,
):
    """Wait until a replica with a new data folder has replaced its lost identity.

    Start the replica with an empty data folder and the same name first; the leader
    catches it up, promotes it and removes the lost identity by itself.
    """
    deadline_s = time.monotonic() + timeout_s
    replaced_since_s = None
    last_progress = None
    while True:
        rows = context.obj.read("ListMembers").get("members", [])
        own = [row for row in rows if row["name"] == name]
        progress = ", ".join(_describe(row) for row in own) or "not a member yet"
        now_s = time.monotonic()
        if progress != last_progress:
            typer.echo(f"{name}: {progress}", err=True)
            last_progress = progress
            replaced_since_s = None
        is_replaced = len(own) == 1 and own[0]["live"] and own[0]["role"] != "learner"
        replaced_since_s = (replaced_since_s or now_s) if is_replaced else None
        if is_replaced and now_s - replaced_since_s >= STABLE_TIME_S:
            return
        if now_s > deadline_s:
            raise client_module.CallError(
                f"{name} is not replaced yet", client_module.WAIT_TIMEOUT_STATUS
            )
        time.sleep(POLL_INTERVAL_S)


def _describe(row):
    answers = "" if row["live"] else ", not answering"
    return f"{row['identity']} {row['role']}{answers}"
