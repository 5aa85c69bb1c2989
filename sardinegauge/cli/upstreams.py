"""``sardinegauge upstream`` and ``sardinegauge vm``: what the VMs carry."""

import time

import typer

from sardinegauge.cli import client as client_module
from sardinegauge.cli import options, output

POLL_INTERVAL_S = 0.5
_UPSTREAM_COLUMNS = ("name", "state", "address", "failure_domain", "services", "reason")
_VM_COLUMNS = (
    "name",
    "rack",
    "failure_domain",
    "state",
    "cores_reserved",
    "cores",
    "memory_mb_reserved",
    "memory_mb",
    "tasks",
)

app = typer.Typer(no_args_is_help=True, help="Upstreams and their drain.")
vm_app = typer.Typer(no_args_is_help=True, help="Workers and their room.")


@app.command("list")
def list_upstreams(context: typer.Context):
    """List upstreams with their state."""
    data = context.obj.read("ListUpstreams")
    output.show(context.obj, data, "upstreams", _UPSTREAM_COLUMNS)


@vm_app.command("list")
def list_vms(context: typer.Context):
    """List workers with what is reserved of their room."""
    data = context.obj.read("ListUpstreams")
    output.show(context.obj, data, "upstreams", _VM_COLUMNS)


@app.command()
def drain(
    context: typer.Context,
    upstream: str,
    undo: bool = typer.Option(False, help="Give the upstream work again."),
    wait: bool = typer.Option(False, help="Wait until its tasks have left."),
    timeout_s: float = options.TIMEOUT_S,
    request_id: str = options.REQUEST_ID,
):
    """Move work away from an upstream and give it none.

    Example: sardinegauge upstream drain worker-3 --wait
    """
    context.obj.change("DrainUpstream", request_id, upstream=upstream, undo=undo)
    if wait and not undo:
        _wait_until_empty(context.obj, upstream, timeout_s)


def _wait_until_empty(client, upstream, timeout_s):
    end = time.monotonic() + timeout_s
    shown = None
    while True:
        rows = client.read("ListUpstreams").get("upstreams", [])
        left = sum(row["tasks"] for row in rows if row["name"] == upstream)
        if left != shown:
            typer.echo(f"{upstream}: {left} tasks left", err=True)
            shown = left
        if left == 0:
            return
        if time.monotonic() > end:
            raise client_module.CallError(
                f"{upstream} still has {left} tasks", client_module.WAIT_ENDED_STATUS
            )
        time.sleep(POLL_INTERVAL_S)
