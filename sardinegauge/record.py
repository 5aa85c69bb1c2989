"""Base class of messages, commands, events and effects: data classes with slots."""

import json

_NO_DEFAULT = object()
# Value of a parameter that the caller left out.
_OMITTED = object()


def _build_and_call_constructor(self, /, **fields):
    """Construct the first instance of a record class.

    Constructors are built at first use, since most processes use few of the classes. A
    loop over the fields for each instance takes more than twice as long.
    """
    cls = type(self)
    cls.__init__ = _build_constructor(cls)
    cls.__init__(self, **fields)


def _build_constructor(cls):
    """Return an ``__init__`` with the fields of a record class as parameters."""
    names = cls.field_names()
    # A bare star must be followed by a parameter.
    parameters = ["*"] * bool(names) + [f"{name}=_OMITTED" for name in names]
    lines = [f"def __init__({', '.join(['self', '/', *parameters])}, **_unknown):"]
    for name in names:
        lines += [
            f"    if {name} is _OMITTED:",
            f"        {name} = {_default_expression(cls, name)}",
            f"    self.{name} = {name}",
        ]
    lines += ["    if _unknown:", "        _raise_unknown(self, _unknown)"]
    namespace = {
        "_OMITTED": _OMITTED,
        "_defaults": cls._defaults,
        "_raise_missing": _raise_missing,
        "_raise_unknown": _raise_unknown,
    }
    exec("\n".join(lines), namespace)
    return namespace["__init__"]


def _default_expression(cls, name):
    """Return the source of what a field gets if the caller leaves it out."""
    if name not in cls._defaults:
        return f"_raise_missing(self, {name!r})"
    call = "()" if callable(cls._defaults[name]) else ""
    return f"_defaults[{name!r}]{call}"


def _raise_missing(item, name):
    raise TypeError(f"{type(item).__name__} needs the field {name!r}")


def _raise_unknown(item, fields):
    unknown = ", ".join(sorted(fields))
    raise TypeError(f"{type(item).__name__} has no field {unknown}")


class Record:
    """A data class whose fields are its slots.

    A subclass names its fields in ``__slots__``. Fields without an entry in
    ``_defaults`` must be given by keyword; a callable default is called for the value
    of each instance. ``_nested`` gives the record class of each field that holds a
    record or a list of records, so that `from_dict` can build them.

    Examples
    --------
    >>> class Point(Record):
    ...     __slots__ = ("x", "y")
    ...     _defaults = {"y": 0}
    >>> Point(x=1)
    Point(x=1, y=0)
    >>> Point.from_dict({"x": 1, "y": 2}).to_dict()
    {'x': 1, 'y': 2}
    """

    __slots__ = ()
    _defaults = {}
    _nested = {}

    def __init_subclass__(cls, **options):
        super().__init_subclass__(**options)
        if "__init__" in cls.__dict__:
            raise TypeError(f"{cls.__name__} has fields and can't define __init__")
        cls.__init__ = _build_and_call_constructor

    @classmethod
    def field_names(cls):
        """Return the names of all fields, those of base classes first.

        The result is cached per class, since every construction needs it.
        """
        names = cls.__dict__.get("_field_names")
        if names is None:
            names = ()
            for base in reversed(cls.__mro__):
                slots = base.__dict__.get("__slots__", ())
                names += (slots,) if isinstance(slots, str) else tuple(slots)
            cls._field_names = names
        return names

    def to_dict(self):
        """Return the fields as a plain dict; nested records are converted as well."""
        return {name: _to_plain(getattr(self, name)) for name in self.field_names()}

    def to_sparse_dict(self):
        """Return the fields that differ from their defaults; `from_dict` accepts it."""
        plain = {}
        for name in self.field_names():
            value = getattr(self, name)
            default = self._defaults.get(name, _NO_DEFAULT)
            if value != (default() if callable(default) else default):
                plain[name] = _to_plain(value)
        return plain

    @classmethod
    def from_dict(cls, data):
        """Return the record for a plain dict as returned by `to_dict`.

        Raises
        ------
        TypeError
            If a field without a default is missing or a key is unknown.
        """
        fields = dict(data)
        for name, nested in cls._nested.items():
            if fields.get(name) is not None:
                fields[name] = _from_plain(nested, fields[name])
        return cls(**fields)

    def replace(self, **changes):
        """Return a copy of the record with some fields changed."""
        fields = {name: getattr(self, name) for name in self.field_names()}
        fields.update(changes)
        return type(self)(**fields)

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name) for name in self.field_names()
        )

    __hash__ = None

    def __repr__(self):
        shown = ", ".join(
            f"{name}={getattr(self, name)!r}" for name in self.field_names()
        )
        return f"{type(self).__name__}({shown})"


def _to_plain(value):
    if isinstance(value, Record):
        return value.to_dict()
    if isinstance(value, (list, tuple)):
        return [_to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    return value


def _from_plain(nested, value):
    if isinstance(value, list):
        return [nested.from_dict(item) for item in value]
    if isinstance(value, dict):
        return nested.from_dict(value)
    return value


class Registry:
    """A set of record classes by class name, for tagged JSON.

    Examples
    --------
    >>> class Stop(Record):
    ...     __slots__ = ("task",)
    >>> registry = Registry([Stop])
    >>> registry.dumps(Stop(task="t1"))
    b'{"kind":"Stop","task":"t1"}'
    >>> registry.loads(b'{"kind":"Stop","task":"t1"}')
    Stop(task='t1')
    """

    def __init__(self, classes):
        self.by_name = {cls.__name__: cls for cls in classes}

    @classmethod
    def of_module(cls, namespace, base):
        """Collect every subclass of `base` from a module's namespace."""
        return cls(
            value
            for value in namespace.values()
            if isinstance(value, type) and issubclass(value, base) and value is not base
        )

    def to_tagged(self, item):
        """Return the record as a plain dict with its class name under ``kind``."""
        return {"kind": type(item).__name__, **item.to_dict()}

    def from_tagged(self, data):
        """Return the record for a tagged dict.

        Raises
        ------
        ValueError
            If the kind is unknown.
        """
        fields = dict(data)
        kind = fields.pop("kind", None)
        if kind not in self.by_name:
            raise ValueError(f"unknown kind {kind!r}")
        return self.by_name[kind].from_dict(fields)

    def dumps(self, item):
        """Return the record as tagged JSON bytes."""
        return json.dumps(self.to_tagged(item), separators=(",", ":")).encode()

    def loads(self, data):
        """Return the record for tagged JSON bytes."""
        return self.from_tagged(json.loads(data))
