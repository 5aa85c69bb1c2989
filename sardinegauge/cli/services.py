"""``sardinegauge service``: declare and list long-lived services."""

import typer

from sardinegauge.cli import options, output

app = typer.Typer(no_args_is_help=True, help="Long-lived services.")


@app.command()
def declare(
    context: typer.Context,
    name: str,
    tenant: str = typer.Option(..., help="Tenant whose quota the service uses."),
    replicas: int = typer.Option(1, min=0, help="Number of replicas; 0 stops it."),
    cores: float = typer.Option(1.0, help="Cores of each replica."),
    memory_mb: int = typer.Option(512, help="Memory of each replica in MB."),
    accelerators: int = typer.Option(0, help="Accelerators of each replica."),
    connections: int = typer.Option(0, help="Connections each replica takes."),
    command: str = typer.Option("", help="What the worker runs."),
    request_id: str = options.REQUEST_ID,
):
    """Declare a service, or change its size.

    Example: sardinegauge service declare ordering --tenant karri --replicas 3
    """
    reply = context.obj.change(
        "DeclareService",
        request_id,
        name=name,
        tenant=tenant,
        replicas=replicas,
        cores=cores,
        memory_mb=memory_mb,
        accelerators=accelerators,
        connections=connections,
        command=command,
    )
    typer.echo(" ".join(reply["ids"]))


@app.command("list")
def list_services(context: typer.Context):
    """List services with their replicas."""
    data = context.obj.read("ListServices")
    columns = ("name", "tenant", "replicas", "running")
    output.show(context.obj, data, "services", columns)
