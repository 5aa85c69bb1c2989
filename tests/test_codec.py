"""Guards against differences between the schema and the record classes."""

import inspect

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinegauge import errors, record
from sardinegauge.links import codec, messages

MESSAGE_CLASSES = [
    cls
    for _, cls in inspect.getmembers(messages, inspect.isclass)
    if issubclass(cls, record.Record)
]


@pytest.mark.parametrize("cls", MESSAGE_CLASSES, ids=lambda cls: cls.__name__)
def test_defaults_agree_with_schema(cls):
    """A default that differs from the schema's would change the value in transit."""
    name = cls.__name__[0].lower() + cls.__name__[1:]
    frame = codec.Frame(correlation=1, message=cls())
    if name in codec._SCHEMA.Envelope.schema.union_fields:
        assert codec.decode(codec.encode(frame)) == frame


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_wire_error(data):
    """A damaged frame must raise only `WireError`; others would end the process."""
    try:
        codec.decode(data)
    except errors.WireError:
        pass
