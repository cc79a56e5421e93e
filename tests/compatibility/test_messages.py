"""Messages between processes have the same bytes as in release 0.2: tags, and order and types of fields."""

from __future__ import annotations

from typing import Any, get_args

import msgpack
import msgspec
import pytest

from tests.compatibility.fixtures import load
from thistleusher.transport import codec
from thistleusher.transport.messages import AnyMessage

GOLDEN = load("messages.json")
TYPES: dict[str, Any] = {kind.__struct_config__.tag: kind for kind in get_args(AnyMessage)}


def test_the_tags_are_those_of_the_fixture():
    assert set(TYPES) == {golden["tag"] for golden in GOLDEN}


@pytest.mark.parametrize("golden", GOLDEN, ids=lambda golden: f"{golden['tag']}-{golden['variant']}")
def test_a_message_is_read_and_written_as_before(golden):
    data = bytes.fromhex(golden["bytes"])
    message = codec.decode(data)
    assert type(message) is TYPES[golden["tag"]]
    assert codec.encode(message) == data


@pytest.mark.parametrize("golden", GOLDEN, ids=lambda golden: f"{golden['tag']}-{golden['variant']}")
def test_a_message_that_is_built_by_position_has_the_same_bytes(golden):
    data = bytes.fromhex(golden["bytes"])
    tag, *values = msgpack.unpackb(data)
    kind = TYPES[tag]
    assert len(kind.__struct_fields__) == len(values)
    types = [field.type for field in msgspec.structs.fields(kind)]
    built = kind(*[msgspec.convert(value, to) for value, to in zip(values, types, strict=True)])
    assert codec.encode(built) == data


@pytest.mark.parametrize("tag", sorted(TYPES))
def test_the_fields_have_the_types_of_before(tag):
    shapes = {golden["tag"]: golden["types"] for golden in GOLDEN}
    assert [shape(field.type) for field in msgspec.structs.fields(TYPES[tag])] == shapes[tag]


@pytest.mark.parametrize("golden", GOLDEN, ids=lambda golden: f"{golden['tag']}-{golden['variant']}")
def test_a_message_that_is_cut_short_or_goes_on_is_refused(golden):
    values = msgpack.unpackb(bytes.fromhex(golden["bytes"]))
    wrong = [[*values, 1]] if len(values) == 1 else [[*values, 1], values[:-1]]
    for each in wrong:
        with pytest.raises(ValueError):
            codec.decode(msgpack.packb(each))


def shape(kind: Any) -> str:
    """Return a field's type as text; a record is shown as the list of its fields' types."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return "[" + ", ".join(shape(field.type) for field in msgspec.structs.fields(kind)) + "]"
    arguments = [shape(each) for each in get_args(kind)]
    if arguments:
        name = getattr(kind, "__name__", None) or type(kind).__name__
        return f"{'union' if 'Union' in name else name}({', '.join(arguments)})"
    return "..." if kind is Ellipsis else getattr(kind, "__name__", str(kind))
