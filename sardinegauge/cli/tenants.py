"""``sardinegauge tenant``: list quotas and their use."""

import typer

from sardinegauge.cli import output

_COLUMNS = ("name", "cores_quota", "cores_reserved", "tasks_running", "tasks_pending")

app = typer.Typer(no_args_is_help=True, help="Tenants.")


@app.callback()
def root():
    """Tenants and their quotas; change them with config set."""


@app.command("list")
def list_tenants(context: typer.Context):
    """List tenants with what they use of their quota."""
    output.show(context.obj, context.obj.read("ListTenants"), "tenants", _COLUMNS)
