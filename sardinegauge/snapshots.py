"""Tables of records as columns and rows, for snapshots."""

import operator


def to_rows(cls, items):
    """Return records of one class as plain field names and rows.

    Rows leave out the field names, which at 21,000 tasks would be more than half of
    the snapshot. Lists are copied, so the result doesn't change with the machine.

    Examples
    --------
    >>> from sardinegauge import messages
    >>> to_rows(messages.Header, [messages.Header(name="a", value="b")])
    {'fields': ['name', 'value'], 'rows': [['a', 'b']]}
    """
    names = cls.field_names()
    get = operator.attrgetter(*names)
    rows = [
        [value.copy() if type(value) is list else value for value in get(item)]
        for item in items
    ]
    return {"fields": list(names), "rows": rows}


def from_rows(cls, data):
    """Build the records from the result of `to_rows`.

    Fields that the snapshot lacks get their default, so that a newer version reads an
    older snapshot; fields unknown to the class are an error.
    """
    defaults = cls._defaults
    missing = [name for name in cls.field_names() if name not in data["fields"]]
    items = []
    for row in data["rows"]:
        item = cls.__new__(cls)
        for name, value in zip(data["fields"], row):
            setattr(item, name, value.copy() if type(value) is list else value)
        for name in missing:
            default = defaults[name]
            setattr(item, name, default() if callable(default) else default)
        items.append(item)
    return items
