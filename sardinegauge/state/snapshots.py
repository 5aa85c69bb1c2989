"""Conversion of records to tables of columns and rows for snapshots."""

import operator


def to_rows(cls, items):
    """Return records of one class as a dict of field names and rows.

    Field names are not repeated in each row: at 21,000 tasks they would be more than
    half of the snapshot. Lists are copied, so the result doesn't change with the
    machine.

    Examples
    --------
    >>> from sardinegauge.links import httpmessages
    >>> to_rows(httpmessages.Header, [httpmessages.Header(name="a", value="b")])
    {'fields': ['name', 'value'], 'rows': [['a', 'b']]}
    """
    names = cls.field_names()
    get = operator.attrgetter(*names)
    rows = [list(get(item)) for item in items]
    # Only columns of lists are copied: a check of every value for a list would double
    # the time of the conversion.
    for column in _list_columns(cls, names):
        for row in rows:
            row[column] = list(row[column])
    return {"fields": list(names), "rows": rows}


def _list_columns(cls, names):
    """Return the positions of fields whose default is a list."""
    defaults = cls._defaults
    return [n for n, name in enumerate(names) if defaults.get(name) is list]


def from_rows(cls, data):
    """Build the records from the result of `to_rows`.

    Fields missing in the snapshot get their default, so that a newer version can read
    an older snapshot; fields unknown to the class raise an error.
    """
    defaults = cls._defaults
    lists = _list_columns(cls, data["fields"])
    missing = [name for name in cls.field_names() if name not in data["fields"]]
    items = []
    for row in data["rows"]:
        item = cls.__new__(cls)
        for name, value in zip(data["fields"], row):
            setattr(item, name, value)
        for column in lists:
            setattr(item, data["fields"][column], list(row[column]))
        for name in missing:
            default = defaults[name]
            setattr(item, name, default() if callable(default) else default)
        items.append(item)
    return items
