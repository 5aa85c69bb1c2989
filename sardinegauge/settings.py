"""Settings files: JSON with comments, validated completely before a process starts."""

import json

from sardinegauge import addresses, errors, record

_REQUIRED = object()
_ITEM_KIND_BY_LIST_KIND = {"texts": "text", "addresses": "address"}


class Setting(record.Record):
    """One key of a settings file.

    `kind` is one of ``text``, ``integer``, ``number``, ``flag``, ``address``
    (``ip:port``), ``texts`` and ``addresses`` (lists), and ``table`` (an object with
    arbitrary keys and text values).
    """

    __slots__ = ("name", "kind", "default", "minimum", "maximum", "choices", "text")
    _defaults = {
        "default": _REQUIRED,
        "minimum": None,
        "maximum": None,
        "choices": (),
        "text": "",
    }

    @property
    def is_required(self):
        """Whether the key has no default."""
        return self.default is _REQUIRED


class Settings:
    """Validated settings; each key of the file is an attribute.

    Examples
    --------
    >>> known = [Setting(name="name", kind="text"),
    ...          Setting(name="limit", kind="integer", default=3, minimum=1)]
    >>> check({"name": "a"}, known, "demo").limit
    3
    """

    def __init__(self, values):
        self.__dict__.update(values)


# Settings of every process, and of processes that accept links.
PROCESS = (
    Setting(name="metrics_listen", kind="address", default=""),
    Setting(name="failure_domain", kind="text", default=""),
    Setting(
        name="log_level",
        kind="text",
        default="info",
        choices=("debug", "info", "warning", "error"),
    ),
    Setting(name="drain_limit_s", kind="number", default=30.0, minimum=0, maximum=3600),
)
LINKS = (
    Setting(name="name", kind="text"),
    Setting(name="listen", kind="address"),
    Setting(name="advertise", kind="address", default=""),
)


def load(path, known):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
        File with JSON and comments.
    known : list of Setting
        Every key that the process accepts.

    Returns
    -------
    Settings
        The values, with defaults for keys that the file omits.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; lists every problem with its path.
    """
    try:
        with open(path, encoding="utf-8") as file:
            data = _parse(file.read())
    except OSError as error:
        raise errors.SettingsError(path, [str(error)]) from error
    except ValueError as error:
        raise errors.SettingsError(
            path, [f"not JSON with comments: {error}"]
        ) from error
    return check(data, known, path)


def _parse(text):
    try:
        return json.loads(text)
    except ValueError:
        # Most files are plain JSON, and importing json5 costs the agent 0.5 MB.
        import json5

        return json5.loads(text)


def check(data, known, path):
    """Validate a plain dict against the known settings; see `load`."""
    if not isinstance(data, dict):
        raise errors.SettingsError(path, ["the file must hold one object"])
    by_name = {setting.name: setting for setting in known}
    problems = [_unknown_key(key, by_name) for key in data if key not in by_name]
    values = {}
    for setting in known:
        if setting.name in data:
            value = data[setting.name]
            problems += _check_value(setting, value)
        elif setting.is_required:
            problems.append(f"{setting.name}: missing, and it has no default")
            value = None
        else:
            value = setting.default
        values[setting.name] = value
    if problems:
        raise errors.SettingsError(path, problems)
    return Settings(values)


def _unknown_key(key, by_name):
    # Imported only for an invalid file, since it costs the agent 0.6 MB.
    import difflib

    close = difflib.get_close_matches(key, by_name, n=1)
    hint = f"; did you mean {close[0]}?" if close else ""
    return f"{key}: unknown key{hint}"


def _check_value(setting, value):
    """Return the problems of one value as ``path: reason`` lines."""
    if setting.kind in _ITEM_KIND_BY_LIST_KIND:
        if not isinstance(value, list):
            return [f"{setting.name}: must be a list"]
        item = setting.replace(kind=_ITEM_KIND_BY_LIST_KIND[setting.kind])
        problems = []
        for number, entry in enumerate(value):
            item.name = f"{setting.name}[{number}]"
            problems += _check_value(item, entry)
        return problems
    reason = _value_problem(setting, value)
    return [f"{setting.name}: {reason}"] if reason else []


def _value_problem(setting, value):
    kind = setting.kind
    if kind == "flag":
        return "" if isinstance(value, bool) else "must be true or false"
    if kind == "table":
        if isinstance(value, dict) and all(isinstance(v, str) for v in value.values()):
            return ""
        return "must be an object with text values"
    if kind in ("integer", "number"):
        return _number_problem(setting, value)
    if not isinstance(value, str):
        return "must be text"
    if setting.choices and value not in setting.choices:
        return f"must be one of {', '.join(setting.choices)}"
    if kind == "address":
        return _address_problem(value)
    return ""


def _number_problem(setting, value):
    allowed = int if setting.kind == "integer" else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        return f"must be a{'n' if setting.kind == 'integer' else ''} {setting.kind}"
    if setting.minimum is not None and value < setting.minimum:
        return f"must be at least {setting.minimum}"
    if setting.maximum is not None and value > setting.maximum:
        return f"must be at most {setting.maximum}"
    return ""


def _address_problem(value):
    try:
        addresses.parse(value)
    except ValueError:
        return "must be ip:port with an IP address"
    return ""
