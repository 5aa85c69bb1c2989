"""Cap'n Proto bytes to and from the records of `messages`."""

import pathlib

import capnp

from sardinegauge import errors, messages, record

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))
_CAPNP_ERRORS = (capnp.KjException, ValueError, TypeError)


def _to_camel(name):
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _tables():
    """Return the field names of every message class in both spellings."""
    camel_by_class = {}
    for cls in vars(messages).values():
        if isinstance(cls, type) and issubclass(cls, record.Record):
            camel_by_class[cls] = [(n, _to_camel(n)) for n in cls.field_names()]
    return camel_by_class


_CAMEL_BY_CLASS = _tables()
_CLASS_BY_UNION_FIELD = {
    cls.__name__[0].lower() + cls.__name__[1:]: cls for cls in _CAMEL_BY_CLASS
}


class Frame(record.Record):
    """One message on a link with its correlation id and direction."""

    __slots__ = ("correlation", "is_reply", "message")
    _defaults = {"correlation": 0, "is_reply": False}


def _to_wire(item):
    """Return the fields that differ from their defaults, by their wire names.

    Setting a field costs some microseconds in pycapnp, and most fields of most
    messages keep the default, which the schema shares with `messages`.
    """
    fields = {}
    defaults = item._defaults
    for name, camel in _CAMEL_BY_CLASS[type(item)]:
        value = getattr(item, name)
        default = defaults[name]
        if value == default or (callable(default) and value == []):
            continue
        fields[camel] = _value_to_wire(value)
    return fields


def _value_to_wire(value):
    if isinstance(value, record.Record):
        return _to_wire(value)
    if isinstance(value, list):
        return [_value_to_wire(item) for item in value]
    return value


def _from_wire(cls, data):
    item = cls.__new__(cls)
    nested = cls._nested
    for name, camel in _CAMEL_BY_CLASS[cls]:
        value = data.get(camel)
        if name in nested and value is not None:
            inner = nested[name]
            if isinstance(value, list):
                value = [_from_wire(inner, entry) for entry in value]
            else:
                value = _from_wire(inner, value)
        elif value is None:
            value = cls._defaults[name]
            value = value() if callable(value) else value
        setattr(item, name, value)
    return item


def encode(frame):
    """Return the bytes of a frame, without the length prefix.

    Examples
    --------
    >>> data = encode(Frame(correlation=7, message=messages.BodyEnd(length=3)))
    >>> decode(data)
    Frame(correlation=7, is_reply=False, message=BodyEnd(length=3))
    """
    name = type(frame.message).__name__
    envelope = _SCHEMA.Envelope.new_message(
        correlation=frame.correlation,
        isReply=frame.is_reply,
        **{name[0].lower() + name[1:]: _to_wire(frame.message)},
    )
    return envelope.to_bytes()


def decode(data):
    """Build a frame from the bytes made by `encode`.

    Raises
    ------
    WireError
        If the bytes are no well-formed envelope of a known message.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(data) as envelope:
            field = envelope.which.__str__()
            body = getattr(envelope, field).to_dict()
            return Frame(
                correlation=envelope.correlation,
                is_reply=envelope.isReply,
                message=_from_wire(_CLASS_BY_UNION_FIELD[field], body),
            )
    except (*_CAPNP_ERRORS, KeyError, AttributeError) as error:
        reason = str(error).partition("\n")[0]
        raise errors.WireError(f"undecodable frame: {reason}") from error
