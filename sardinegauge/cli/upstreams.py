"""``sardinegauge upstream`` and ``sardinegauge vm``: list VMs and drain upstreams."""

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
    """Move the work of an upstream elsewhere and assign no more to it.

    Example: sardinegauge upstream drain worker-3 --wait
    """
    context.obj.change("DrainUpstream", request_id, upstream=upstream, undo=undo)
    if wait and not undo:
        _wait_until_empty(context.obj, upstream, timeout_s)


def _wait_until_empty(client, upstream, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    last_count = None
    while True:
        rows = client.read("ListUpstreams").get("upstreams", [])
        task_count = sum(row["tasks"] for row in rows if row["name"] == upstream)
        if task_count != last_count:
            typer.echo(f"{upstream}: {task_count} tasks left", err=True)
            last_count = task_count
        if task_count == 0:
            return
        if time.monotonic() > deadline_s:
            raise client_module.CallError(
                f"{upstream} still has {task_count} tasks",
                client_module.WAIT_TIMEOUT_STATUS,
            )
        time.sleep(POLL_INTERVAL_S)
