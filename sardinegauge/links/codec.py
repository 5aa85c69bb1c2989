"""Cap'n Proto bytes to and from the records of `messages`."""

import pathlib

import capnp

from sardinegauge import errors, record
from sardinegauge.agreement import raftmessages
from sardinegauge.links import httpmessages, messages

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))
_CAPNP_ERRORS = (capnp.KjException, ValueError, TypeError)


def _to_camel(name):
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _tables():
    """Return the field names of every message class in both spellings."""
    camel_by_class = {}
    for module in (messages, raftmessages, httpmessages):
        for cls in vars(module).values():
            if isinstance(cls, type) and issubclass(cls, record.Record):
                camel_by_class[cls] = [(n, _to_camel(n)) for n in cls.field_names()]
    return camel_by_class


_CAMEL_BY_CLASS = _tables()
_CLASS_BY_UNION_FIELD = {
    cls.__name__[0].lower() + cls.__name__[1:]: cls for cls in _CAMEL_BY_CLASS
}

_UNION_FIELD_BY_CLASS = {cls: name for name, cls in _CLASS_BY_UNION_FIELD.items()}


class Frame(record.Record):
    """One message on a link with its correlation id and direction."""

    __slots__ = ("correlation", "is_reply", "message")
    _defaults = {"correlation": 0, "is_reply": False}


def _write(builder, item):
    """Set the fields that differ from their defaults, which the schema shares.

    Setting attributes of a builder costs a tenth of handing pycapnp a plain dict.
    """
    defaults = item._defaults
    for name, camel in _CAMEL_BY_CLASS[type(item)]:
        value = getattr(item, name)
        if isinstance(value, list):
            if value:
                _write_list(builder.init(camel, len(value)), value)
        elif isinstance(value, record.Record):
            _write(builder.init(camel), value)
        elif value != defaults[name]:
            setattr(builder, camel, value)


def _write_list(builder, values):
    for position, value in enumerate(values):
        if isinstance(value, record.Record):
            _write(builder[position], value)
        else:
            builder[position] = value


def _read(cls, reader):
    item = cls.__new__(cls)
    nested = cls._nested
    defaults = cls._defaults
    for name, camel in _CAMEL_BY_CLASS[cls]:
        value = getattr(reader, camel)
        if name in nested:
            inner = nested[name]
            if defaults[name] is list:
                value = [_read(inner, entry) for entry in value]
            else:
                value = _read(inner, value)
        elif defaults[name] is list:
            value = list(value)
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
    _write(envelope.init(_UNION_FIELD_BY_CLASS[type(frame.message)]), frame.message)
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
            field = str(envelope.which)
            message = _read(_CLASS_BY_UNION_FIELD[field], getattr(envelope, field))
            return Frame(
                correlation=envelope.correlation,
                is_reply=envelope.isReply,
                message=message,
            )
    except (*_CAPNP_ERRORS, KeyError, AttributeError) as error:
        reason = str(error).partition("\n")[0]
        raise errors.WireError(f"undecodable frame: {reason}") from error
