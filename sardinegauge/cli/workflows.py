"""``sardinegauge workflow``: submit, list, show and cancel jobs of several steps."""

import typer

from sardinegauge.cli import options, output, queues

_COLUMNS = ("id", "queue", "state", "tasks_done", "task_count", "reason")
_RUN_COLUMNS = ("task", "run", "worker", "assigned_at_ms")

app = typer.Typer(no_args_is_help=True, help="Workflows: jobs of several steps.")


@app.command()
def submit(
    context: typer.Context,
    workflow: str,
    queue: str,
    file: str,
    request_id: str = options.REQUEST_ID,
):
    """Submit the steps of a file; a resend under the same id changes nothing.

    Example: sardinegauge workflow submit w1 quotes steps.json
    """
    document = queues.read_file(file)
    context.obj.change(
        "SubmitWorkflow", request_id, id=workflow, queue=queue, document=document
    )
    typer.echo(workflow)


@app.command("list")
def list_workflows(
    context: typer.Context, queue: str = typer.Option("", help="Only this queue.")
):
    """List workflows."""
    data = context.obj.read("ListWorkflows", queue=queue)
    output.show(context.obj, data, "workflows", _COLUMNS)


@app.command()
def show(context: typer.Context, workflow: str):
    """Show a workflow and its runs."""
    data = context.obj.read("GetWorkflow", id=workflow)
    output.show_fields(context.obj, data, _COLUMNS)
    if not context.obj.is_json:
        typer.echo(output.table(data.get("runs", []), _RUN_COLUMNS))


@app.command()
def cancel(context: typer.Context, workflow: str, request_id: str = options.REQUEST_ID):
    """Cancel a workflow; cancellation is final."""
    context.obj.change("CancelWorkflow", request_id, id=workflow)
    typer.echo(workflow)
