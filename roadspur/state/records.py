"""What is kept of a member and of an ingress's life, as bytes: MessagePack arrays with a checksum.

Read one version back and forward: a later version only adds fields at the end, with values that stand in for them where
they are missing; what an earlier reader does not know it leaves out (msgspec, array-like structs). Units are units of
quota, times Unix seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

import msgspec

FORMAT = 1
CHECK = 4  # bytes of CRC-32 before the body


class BadRecord(ValueError):
    """A record that cannot be read: cut, flipped, or of another kind."""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One ingress's knowledge of a member's count; behind the plan's, the fields of `io.SavedMember` in order."""

    key: int
    plan: str
    rate: float   # of the plan as it was, to notice that it has changed
    burst: float
    level: float
    at: float     # when `level` was true
    window: int
    told: float   # own units in the window's count
    pending: float  # let in, and in no count yet
    mine: int     # quarter units let in here, all in all
    theirs: dict[int, int] = {}  # the same of each peer, as last heard
    heard: float = 0.0  # what peers have told of in the window `heard_in`
    heard_in: int = -1
    excess: float = 0.0  # of the last total over all of that


class Life(msgspec.Struct, array_like=True, frozen=True):
    """One life of an ingress. `began` and `number` rise from life to life; `inode` tells a copied folder."""

    name: str
    number: int
    began: float
    inode: int
    format: int = FORMAT


_encode = msgspec.msgpack.Encoder().encode
_member: Callable[[bytes], Member] = msgspec.msgpack.Decoder(Member).decode
_life: Callable[[bytes], Life] = msgspec.msgpack.Decoder(Life).decode


def pack(record: Member | Life) -> bytes:
    """A record with its checksum."""
    body = _encode(record)
    return zlib.crc32(body).to_bytes(CHECK) + body


def _body(data: bytes) -> bytes:
    if not isinstance(data, bytes) or zlib.crc32(data[CHECK:]).to_bytes(CHECK) != data[:CHECK]:
        raise BadRecord(f"expected a record whose checksum fits, got {data!r:.60}")
    return data[CHECK:]


def read_member(data: bytes) -> Member:
    """BadRecord where it cannot be one."""
    try:
        return _member(_body(data))
    except msgspec.MsgspecError as error:
        raise BadRecord(f"not a member: {error}") from error


def read_life(data: bytes) -> Life:
    """BadRecord where it cannot be one."""
    try:
        return _life(_body(data))
    except msgspec.MsgspecError as error:
        raise BadRecord(f"not a life: {error}") from error
