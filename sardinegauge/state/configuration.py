"""The operators' configuration: its versions, checks and changes."""

import copy
import difflib
import json

from sardinegauge import checks, outcome, record

_FRACTION = checks.number(maximum=1.0, is_minimum_allowed=False)
_TENANT = {
    "cores": checks.SIZE,
    "memory_mb": checks.COUNT,
    "accelerators": checks.COUNT,
    "max_concurrent": checks.integer(1),
    "requests_per_s": checks.number(is_minimum_allowed=False),
}
_SERVICE = {"concurrency": checks.integer(1), "queue": checks.COUNT}
_WEIGHTS = {
    "tail_latency": checks.SIZE,
    "batch_throughput": checks.SIZE,
    "evictions": checks.SIZE,
}
_POLICY = {
    "evictions_per_minute": checks.SIZE,
    # Fractions of the declared cores, from the mildest throttling to the last step
    # before eviction.
    "throttle_steps": checks.items(_FRACTION, limit=20),
    "starts_per_s": checks.number(is_minimum_allowed=False),
}


class Configuration(record.Record):
    """The configuration in force; version 0 is the initial, empty one."""

    __slots__ = ("version", "document", "operator")
    _defaults = {"version": 0, "document": dict, "operator": ""}


def check(document):
    """Return every problem of a configuration document.

    Parameters
    ----------
    document : object
        The whole configuration, see section 16 of the design page.

    Returns
    -------
    list of (str, str)
        Pairs of the field's path and the reason; empty for a valid document.

    Examples
    --------
    >>> check({"weights": {"evictions": -1}, "tennants": {}})
    [('weights.evictions', 'must be at least 0'), \
('tennants', 'unknown key; did you mean tenants?')]
    """
    problems = []
    _DOCUMENT(document, "", problems)
    return [(path, reason) for path, reason in problems]


def _section(check_by_key):
    """Return a check for an object with known, optional keys."""

    def check_section(value, path, problems):
        if not isinstance(value, dict):
            problems.append([path, "must be an object"])
            return
        for key, entry in value.items():
            inner = f"{path}.{key}" if path else str(key)
            if key in check_by_key:
                check_by_key[key](entry, inner, problems)
            else:
                close = difflib.get_close_matches(str(key)[:100], check_by_key, n=1)
                hint = f"; did you mean {close[0]}?" if close else ""
                problems.append([inner, f"unknown key{hint}"])

    return check_section


def _mapping(check_entry, check_name):
    """Return a check for an object whose keys are names chosen by operators."""

    def check_names(value, path, problems):
        if not isinstance(value, dict):
            problems.append([path, "must be an object"])
            return
        for key, entry in value.items():
            inner = f"{path}.{key}"
            check_name(key, inner, problems)
            check_entry(entry, inner, problems)

    return check_names


_DOCUMENT = _section(
    {
        "tenants": _mapping(_section(_TENANT), checks.SHORT_TEXT),
        "services": _mapping(_section(_SERVICE), checks.name),
        "weights": _section(_WEIGHTS),
        "policy": _section(_POLICY),
    }
)


def set_document(machine, index, command):
    """Apply `commands.SetConfiguration`."""
    problems = check(command.document)
    if problems:
        return outcome.Invalid(
            problems=[
                [f"document.{path}" if path else "document", reason]
                for path, reason in problems
            ]
        )
    current = machine.configuration
    if command.base_version != current.version:
        return outcome.Conflict(
            version=current.version,
            operator=current.operator,
            reason=f"the newest version is {current.version}, not the base version "
            f"{command.base_version}",
        )
    machine.configuration = Configuration(
        version=current.version + 1,
        document=copy.deepcopy(command.document),
        operator=command.operator,
    )
    return outcome.Accepted(version=current.version + 1)


def newer_than(current, version):
    """Return the configuration's version and JSON, which is empty if not newer.

    `version` is the one that the caller holds.
    """
    if current.version <= version:
        return current.version, b""
    return current.version, json.dumps(current.document).encode()
