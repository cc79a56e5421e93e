"""What is kept, as bytes: MessagePack arrays with a checksum. Members, rooms, what was learned, the list, lives.

Read one version back and forward: a later version only adds fields at the end, with values that stand in for them where
they are missing; what an earlier reader does not know it leaves out (msgspec, array-like structs). Units are units of
quota, times Unix seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TypeVar

import msgspec

from thistleusher.core.snapshots import Learned

FORMAT = 1
T = TypeVar("T")
CHECK = 4  # bytes of CRC-32 before the body


class BadRecord(ValueError):
    """A record that cannot be read: cut, flipped, or of another kind."""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One ingress's knowledge of a member's count; behind the plan's, the fields of `SavedMember` in order."""

    key: int
    plan: str
    rate: float  # of the plan as it was, to notice that it has changed
    burst: float
    level: float
    at: float  # when `level` was true
    window: int
    told: float  # own units in the window's count
    pending: float  # let in, and in no count yet
    mine: int  # quarter units let in here, all in all
    theirs: dict[int, int] = {}  # the same of each peer, as last heard
    heard: float = 0.0  # what peers have told of in the window `heard_in`
    heard_in: int = -1
    excess: float = 0.0  # of the last total over all of that
    doubt: float = 0.0  # of `pending`: on its way to the count, or without an answer, in the window `doubted`
    doubted: int = -1


class Life(msgspec.Struct, array_like=True, frozen=True):
    """One life of an ingress. `began` and `number` rise from life to life; `inode` tells a copied folder."""

    name: str
    number: int
    began: float
    inode: int
    format: int = FORMAT
    ended: float = 0.0  # when it ended in order, with all committed; 0 while it has not


class Room(msgspec.Struct, array_like=True, frozen=True):
    """What an earlier life left alone of a member's allowance; see `thistleusher.quota.reserve`."""

    plan: str
    customer: int
    first: int
    width: int
    rate: float  # of the allowance as it was
    burst: float
    room: float
    at: float


class Place(msgspec.Struct, array_like=True, frozen=True):
    """A server of the last list."""

    name: str
    phase: str
    weight: float
    kind: str
    cell: int
    born: float
    zone: str
    host: str
    port: int


class Listed(msgspec.Struct, array_like=True, frozen=True):
    """The last list of servers, as it was known at a time."""

    at: float
    version: int
    places: tuple[Place, ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_member: Callable[[bytes], Member] = msgspec.msgpack.Decoder(Member).decode
_life: Callable[[bytes], Life] = msgspec.msgpack.Decoder(Life).decode
_room: Callable[[bytes], Room] = msgspec.msgpack.Decoder(Room).decode
_listed: Callable[[bytes], Listed] = msgspec.msgpack.Decoder(Listed).decode
_learned: Callable[[bytes], Learned] = msgspec.msgpack.Decoder(Learned).decode


def pack(record: Member | Life | Room | Listed | Learned) -> bytes:
    """A record with its checksum."""
    body = _encode(record)
    return zlib.crc32(body).to_bytes(CHECK) + body


def _body(data: bytes) -> bytes:
    if not isinstance(data, bytes) or zlib.crc32(data[CHECK:]).to_bytes(CHECK) != data[:CHECK]:
        raise BadRecord(f"expected a record whose checksum fits, got {data!r:.60}")
    return data[CHECK:]


def _read(what: str, decode: Callable[[bytes], T], data: bytes) -> T:
    try:
        return decode(_body(data))
    except msgspec.MsgspecError as error:
        raise BadRecord(f"not {what}: {error}") from error


def read_member(data: bytes) -> Member:
    """BadRecord where it cannot be one."""
    return _read("a member", _member, data)


def read_life(data: bytes) -> Life:
    """BadRecord where it cannot be one."""
    return _read("a life", _life, data)


def read_room(data: bytes) -> Room:
    """BadRecord where it cannot be one."""
    return _read("a room", _room, data)


def read_listed(data: bytes) -> Listed:
    """BadRecord where it cannot be one."""
    return _read("a list", _listed, data)


def read_learned(data: bytes) -> Learned:
    """BadRecord where it cannot be one."""
    return _read("what was learned", _learned, data)
