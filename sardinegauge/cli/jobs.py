"""``sardinegauge job``: submit, list, show, wait for and cancel batch jobs."""

import time

import typer

from sardinegauge.cli import client as client_module
from sardinegauge.cli import options, output

POLL_INTERVAL_S = 0.5
FINAL_STATES = ("finished", "failed", "cancelled", "impossible")
_JOB_COLUMNS = ("id", "name", "tenant", "state", "finished", "task_count", "reason")
_TASK_COLUMNS = ("id", "state", "epoch", "upstream", "evictions", "reason")

app = typer.Typer(no_args_is_help=True, help="Batch jobs.")


@app.command()
def submit(
    context: typer.Context,
    name: str,
    tenant: str = typer.Option(..., help="Tenant whose quota the job uses."),
    tasks: int = typer.Option(1, min=1, help="Number of equal tasks."),
    cores: float = typer.Option(1.0, help="Cores of each task."),
    memory_mb: int = typer.Option(512, help="Memory of each task in MB."),
    accelerators: int = typer.Option(0, help="Accelerators of each task."),
    run_time_s: float = typer.Option(60.0, help="Expected run time in seconds."),
    urgent: bool = typer.Option(False, help="Start before other work."),
    gang: bool = typer.Option(False, help="Start all tasks together or none."),
    command: str = typer.Option("", help="What the worker runs."),
    group: str = typer.Option("", help="Interference group; default: the name."),
    request_id: str = options.REQUEST_ID,
):
    """Submit a batch job and print its id.

    Example: sardinegauge job submit sweep --tenant irbid --tasks 4 --cores 2
    """
    reply = context.obj.change(
        "SubmitJob",
        request_id,
        name=name,
        tenant=tenant,
        task_count=tasks,
        cores=cores,
        memory_mb=memory_mb,
        accelerators=accelerators,
        run_time_s=run_time_s,
        urgent=urgent,
        gang=gang,
        command=command,
        group=group,
    )
    typer.echo(" ".join(reply["ids"]))


@app.command("list")
def list_jobs(
    context: typer.Context,
    tenant: str = typer.Option("", help="Only this tenant."),
    state: str = typer.Option("", help="Only this state."),
):
    """List jobs."""
    data = context.obj.read("ListJobs", tenant=tenant, state=state)
    output.show(context.obj, data, "jobs", _JOB_COLUMNS)


@app.command()
def show(context: typer.Context, job: str):
    """Show a job and its tasks."""
    data = context.obj.read("GetJob", id=job)
    output.show_fields(context.obj, data, _JOB_COLUMNS)
    if not context.obj.is_json:
        typer.echo(output.table(data.get("tasks", []), _TASK_COLUMNS))


@app.command()
def wait(context: typer.Context, job: str, timeout_s: float = options.TIMEOUT_S):
    """Wait until a job has ended; exit status 0 only if it finished."""
    deadline_s = time.monotonic() + timeout_s
    last_progress = None
    while True:
        data = context.obj.read("GetJob", id=job)
        progress = f"{data['state']} {data['finished']}/{data['task_count']}"
        if progress != last_progress:
            typer.echo(f"{job}: {progress}", err=True)
            last_progress = progress
        if data["state"] in FINAL_STATES:
            break
        if time.monotonic() > deadline_s:
            raise client_module.CallError(
                f"{job} is still {data['state']}", client_module.WAIT_TIMEOUT_STATUS
            )
        time.sleep(POLL_INTERVAL_S)
    if data["state"] != "finished":
        raise client_module.CallError(f"{job} {data['state']}: {data['reason']}")


@app.command()
def cancel(
    context: typer.Context, jobs: list[str], request_id: str = options.REQUEST_ID
):
    """Cancel jobs; cancellation is final."""
    reply = context.obj.change("CancelJobs", request_id, jobs=jobs)
    typer.echo(" ".join(reply["ids"]))
