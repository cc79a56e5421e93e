"""The stored records and their bytes: a CRC-32, then a MessagePack array.

Compatible one version back and forward: a later version only adds fields at the end, with defaults that stand in where
they are missing, and a reader ignores fields that it does not know (msgspec, array-like structs). The order of fields
is therefore part of the format. `field(name=...)` gives the name under which `thistleusher state export` prints a
field. Units are units of quota, times are Unix seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TypeVar

import msgspec
from msgspec import field

from thistleusher.core.snapshots import Learned

FORMAT = 1
CHECKSUM_BYTES = 4  # a CRC-32, before the body
T = TypeVar("T")


class RecordError(ValueError):
    """A record that cannot be read: truncated, corrupt, or of another kind."""


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """What one ingress knows of a member's count.

    Behind the plan's rate and burst, the fields are those of `core.snapshots.SavedCustomer`, in its order.
    """

    key: int
    plan: str
    rate: float  # of the plan as it was, to notice that it has changed
    burst: float
    level: float
    at: float  # when `level` was true
    window: int
    acknowledged: float = field(name="told")  # own units that the window's count includes
    pending: float  # units let in that no count includes yet
    admitted_quarters: int = field(name="mine")  # quarter units let in here, running total
    peer_quarters: dict[int, int] = field(
        name="theirs", default_factory=dict
    )  # the same of each peer, as last received
    reported: float = field(name="heard", default=0.0)  # by peers, in the window `reported_window`
    reported_window: int = field(name="heard_in", default=-1)
    excess: float = 0.0  # of the last total over all of these
    doubtful: float = field(name="doubt", default=0.0)  # of `pending`: sent to the count of `doubtful_window`,
    doubtful_window: int = field(name="doubted", default=-1)  # and not acknowledged


class IncarnationRecord(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an ingress.

    `started_at` and `number` rise from one incarnation to the next; `inode` reveals a copied folder.
    """

    name: str  # of the ingress
    number: int
    started_at: float = field(name="began")
    inode: int
    format: int = FORMAT
    ended_at: float = field(name="ended", default=0.0)  # of an orderly shutdown, with all committed; 0 without one


class ReservationRecord(msgspec.Struct, array_like=True, frozen=True):
    """Headroom of an allowance that an incarnation left to the next one; see `thistleusher.quota.reservations`."""

    plan: str
    customer: int
    first: int
    width: int
    rate: float  # of the allowance as it was
    burst: float
    units: float = field(name="room")
    at: float


class EndpointRecord(msgspec.Struct, array_like=True, frozen=True):
    """A server of the last endpoint list."""

    name: str
    phase: str
    weight: float
    kind: str
    cell: int
    born: float
    zone: str
    host: str
    port: int


class EndpointListRecord(msgspec.Struct, array_like=True, frozen=True):
    """The last list of servers, as it was known at a time."""

    at: float
    version: int
    endpoints: tuple[EndpointRecord, ...] = field(name="places", default=())


_encode = msgspec.msgpack.Encoder().encode
_member: Callable[[bytes], MemberRecord] = msgspec.msgpack.Decoder(MemberRecord).decode
_incarnation: Callable[[bytes], IncarnationRecord] = msgspec.msgpack.Decoder(IncarnationRecord).decode
_reservation: Callable[[bytes], ReservationRecord] = msgspec.msgpack.Decoder(ReservationRecord).decode
_endpoint_list: Callable[[bytes], EndpointListRecord] = msgspec.msgpack.Decoder(EndpointListRecord).decode
_learned: Callable[[bytes], Learned] = msgspec.msgpack.Decoder(Learned).decode


def encode(record: MemberRecord | IncarnationRecord | ReservationRecord | EndpointListRecord | Learned) -> bytes:
    """Return a record's bytes, its checksum first."""
    body = _encode(record)
    return _checksum(body) + body


def decode_member(data: bytes) -> MemberRecord:
    """Return a member's record; raises RecordError where the bytes are not one."""
    return _decode("a member", _member, data)


def decode_incarnation(data: bytes) -> IncarnationRecord:
    """Return an incarnation's record; raises RecordError where the bytes are not one."""
    return _decode("an incarnation", _incarnation, data)


def decode_reservation(data: bytes) -> ReservationRecord:
    """Return a reservation's record; raises RecordError where the bytes are not one."""
    return _decode("a reservation", _reservation, data)


def decode_endpoint_list(data: bytes) -> EndpointListRecord:
    """Return the record of an endpoint list; raises RecordError where the bytes are not one."""
    return _decode("an endpoint list", _endpoint_list, data)


def decode_learned(data: bytes) -> Learned:
    """Return what was learned of the backends; raises RecordError where the bytes are not that."""
    return _decode("what was learned", _learned, data)


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES)


def _decode(kind: str, decode: Callable[[bytes], T], data: bytes) -> T:
    # SQLite's columns are untyped: a corrupt page may hold something else than bytes.
    if not isinstance(data, bytes) or _checksum(data[CHECKSUM_BYTES:]) != data[:CHECKSUM_BYTES]:
        raise RecordError(f"expected a record whose checksum fits, got {data!r:.60}")
    try:
        return decode(data[CHECKSUM_BYTES:])
    except msgspec.MsgspecError as error:
        raise RecordError(f"not {kind}: {error}") from error
