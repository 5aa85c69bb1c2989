"""Cap'n Proto encoding and decoding of the message records."""

import pathlib

import capnp

from sardinegauge import errors, record
from sardinegauge.agreement import raftmessages
from sardinegauge.links import httpmessages, messages

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))
_CAPNP_ERRORS = (capnp.KjException, ValueError, TypeError)


def _to_camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _collect_fields():
    """Return (attribute name, schema name) pairs of all fields by message class."""
    fields_by_class = {}
    for module in (messages, raftmessages, httpmessages):
        for cls in vars(module).values():
            if isinstance(cls, type) and issubclass(cls, record.Record):
                fields_by_class[cls] = [
                    (n, _to_camel_case(n)) for n in cls.field_names()
                ]
    return fields_by_class


_FIELDS_BY_CLASS = _collect_fields()
_CLASS_BY_UNION_FIELD = {
    cls.__name__[0].lower() + cls.__name__[1:]: cls for cls in _FIELDS_BY_CLASS
}

_UNION_FIELD_BY_CLASS = {cls: name for name, cls in _CLASS_BY_UNION_FIELD.items()}


class Frame(record.Record):
    """One message with its correlation id; replies have `is_reply` set."""

    __slots__ = ("correlation", "is_reply", "message")
    _defaults = {"correlation": 0, "is_reply": False}


def _write_record(builder, item):
    """Copy the fields that differ from their defaults to a builder.

    The schema has the same defaults. Setting attributes of a builder takes a tenth of
    the time of passing a plain dict to pycapnp.
    """
    defaults = item._defaults
    for name, wire_name in _FIELDS_BY_CLASS[type(item)]:
        value = getattr(item, name)
        if isinstance(value, list):
            if value:
                _write_list(builder.init(wire_name, len(value)), value)
        elif isinstance(value, record.Record):
            _write_record(builder.init(wire_name), value)
        elif value != defaults[name]:
            setattr(builder, wire_name, value)


def _write_list(builder, values):
    for position, value in enumerate(values):
        if isinstance(value, record.Record):
            _write_record(builder[position], value)
        else:
            builder[position] = value


def _collect_readers(cls):
    """Return (attribute name, schema name, record class or None, is list) by field."""
    return [
        (name, wire_name, cls._nested.get(name), cls._defaults[name] is list)
        for name, wire_name in _FIELDS_BY_CLASS[cls]
    ]


_READERS_BY_CLASS = {cls: _collect_readers(cls) for cls in _FIELDS_BY_CLASS}


def _read_record(cls, reader):
    item = cls.__new__(cls)
    for name, wire_name, nested, is_list in _READERS_BY_CLASS[cls]:
        value = getattr(reader, wire_name)
        if nested is None:
            value = list(value) if is_list else value
        elif is_list:
            value = [_read_record(nested, entry) for entry in value]
        else:
            value = _read_record(nested, value)
        setattr(item, name, value)
    return item


def encode(frame):
    """Return the bytes of a frame, without the length prefix.

    Examples
    --------
    >>> data = encode(Frame(correlation=7, message=httpmessages.BodyEnd(length=3)))
    >>> decode(data)
    Frame(correlation=7, is_reply=False, message=BodyEnd(length=3))
    """
    envelope = _SCHEMA.Envelope.new_message()
    envelope.correlation = frame.correlation
    envelope.isReply = frame.is_reply
    _write_record(
        envelope.init(_UNION_FIELD_BY_CLASS[type(frame.message)]), frame.message
    )
    return envelope.to_bytes()


def decode(data):
    """Return the frame encoded in bytes made by `encode`.

    Raises
    ------
    WireError
        If the bytes are malformed or hold an unknown message type.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(data) as envelope:
            field = str(envelope.which)
            message = _read_record(
                _CLASS_BY_UNION_FIELD[field], getattr(envelope, field)
            )
            return Frame(
                correlation=envelope.correlation,
                is_reply=envelope.isReply,
                message=message,
            )
    except (*_CAPNP_ERRORS, KeyError, AttributeError) as error:
        reason = str(error).partition("\n")[0]
        raise errors.WireError(f"undecodable frame: {reason}") from error
