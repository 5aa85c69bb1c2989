"""Command line for operators: a module per subcommand group, a function per subcommand.

Exit statuses: 0 success; 1 error; 2 invalid usage or settings; 4 not run, safe to
repeat; 5 may have run, repeat with the same request id; 6 conflict with another
operator's change; 7 refused as invalid or impossible; 8 a wait timed out.
"""

import sys

import typer

from sardinegauge import errors
from sardinegauge.cli import (
    audits,
    checks,
    client,
    configs,
    domains,
    explanations,
    jobs,
    queues,
    services,
    states,
    tenants,
    upstreams,
    workflows,
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Drive a sardinegauge deployment from an operator's shell.",
)
app.add_typer(jobs.app, name="job")
app.add_typer(services.app, name="service")
app.add_typer(configs.app, name="config")
app.add_typer(upstreams.app, name="upstream")
app.add_typer(upstreams.vm_app, name="vm")
app.add_typer(domains.app, name="domain")
app.add_typer(states.app, name="state")
app.add_typer(tenants.app, name="tenant")
app.add_typer(queues.app, name="queue")
app.add_typer(workflows.app, name="workflow")
app.command("audit")(audits.show)
app.command("explain")(explanations.explain)
app.command("check")(checks.check)


@app.callback()
def root(
    context: typer.Context,
    entry: str = typer.Option(
        "127.0.0.1:8080",
        envvar="SARDINEGAUGE_ENTRY",
        help="Entry addresses, ip:port, separated by commas.",
    ),
    token: str = typer.Option(
        "",
        envvar="SARDINEGAUGE_TOKEN",
        help="The operator's bearer token.",
        show_default=False,
    ),
    json: bool = typer.Option(False, help="Print JSON instead of tables."),
):
    """Handle the options common to all subcommands."""
    context.obj = client.Client(
        [address.strip() for address in entry.split(",")], token, is_json=json
    )


def main():
    """Run the command line; print user errors and exit with their status."""
    try:
        app()
    except errors.UserError as error:
        print(f"sardinegauge: {error}", file=sys.stderr)
        sys.exit(error.exit_status)
