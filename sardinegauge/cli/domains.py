"""``sardinegauge domain``: drain and restore failure domains."""

import time

import typer

from sardinegauge.cli import client as client_module
from sardinegauge.cli import options, output

POLL_INTERVAL_S = 0.5
_COLUMNS = ("name", "workers", "drained", "drained_since_ms", "operator", "runs")

app = typer.Typer(no_args_is_help=True, help="Failure domains and their drain.")


@app.command("list")
def list_domains(context: typer.Context):
    """List failure domains with their workers, drains and runs."""
    data = context.obj.read("ListFailureDomains")
    output.show(context.obj, data, "domains", _COLUMNS)


@app.command()
def drain(
    context: typer.Context,
    domain: str,
    wait: bool = typer.Option(False, help="Wait until its runs have left or ended."),
    timeout_s: float = options.TIMEOUT_S,
    request_id: str = options.REQUEST_ID,
):
    """Start nothing in a failure domain, and move its long runs elsewhere.

    Example: sardinegauge domain drain zone-b --wait
    """
    context.obj.change("DrainFailureDomain", request_id, failure_domain=domain)
    if wait:
        _wait_until_empty(context.obj, domain, timeout_s)


@app.command()
def restore(context: typer.Context, domain: str, request_id: str = options.REQUEST_ID):
    """Start work in a drained failure domain again."""
    context.obj.change(
        "DrainFailureDomain", request_id, failure_domain=domain, undo=True
    )


def _wait_until_empty(client, domain, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    last_count = None
    while True:
        reply = client.read("ListFailureDomains")
        rows = reply.get("domains", [])
        run_count = sum(row["runs"] for row in rows if row["name"] == domain)
        if run_count != last_count:
            typer.echo(f"{domain}: {run_count} runs left", err=True)
            last_count = run_count
        if run_count == 0 and reply.get("is_complete"):
            return
        if time.monotonic() > deadline_s:
            raise client_module.CallError(
                f"{domain} still has {run_count} runs",
                client_module.WAIT_TIMEOUT_STATUS,
            )
        time.sleep(POLL_INTERVAL_S)
