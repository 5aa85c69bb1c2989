"""Output as tables or as JSON."""

import json

import typer


def show(client, data, key, columns):
    """Print a list of a reply as a table, or the whole reply as JSON.

    Parameters
    ----------
    client : client.Client
        Its `is_json` selects the format.
    data : dict
        The reply.
    key : str
        Key of the list in the reply.
    columns : tuple of str
        Fields to print, in order.
    """
    if client.is_json:
        typer.echo(json.dumps(data, indent=2))
        return
    typer.echo(table(data.get(key, []), columns))


def show_fields(client, data, fields):
    """Print fields of a reply, one per line, or the whole reply as JSON."""
    if client.is_json:
        typer.echo(json.dumps(data, indent=2))
        return
    width = max(len(name) for name in fields)
    for name in fields:
        typer.echo(f"{name:<{width}}  {_text(data.get(name))}")


def table(rows, columns):
    """Return rows as aligned columns under a line of column names.

    Examples
    --------
    >>> print(table([{"id": "j1", "state": "running"}], ("id", "state")))
    ID  STATE
    j1  running
    """
    lines = [[name.upper() for name in columns]]
    lines += [[_text(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


def _text(value):
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    if isinstance(value, float):
        return f"{value:g}"
    if value is None or value == "":
        return "-"
    return str(value)
