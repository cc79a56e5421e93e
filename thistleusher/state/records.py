"""The stored records and their encoding: a CRC-32, then a MessagePack array.

The format is compatible one version back and forward. A later version only appends fields, with defaults for records
that lack them, and a reader ignores unknown fields (msgspec, array-like structs). The order of the fields is therefore
part of the format. `field(name=...)` sets the name under which `thistleusher state export` prints a field. Units are
quota units; times are Unix time in seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TypeVar

import msgspec
from msgspec import field

from thistleusher.core.snapshots import Learned

FORMAT = 1
CHECKSUM_BYTES = 4  # size of the CRC-32 that precedes the body
T = TypeVar("T")


class RecordError(ValueError):
    """A record cannot be read because it is truncated, corrupt, or of another kind."""


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """Quota usage of one member (a customer on one plan), as one ingress knows it.

    After the plan's rate and burst, the fields are those of `core.snapshots.SavedCustomer`, in the same order.
    """

    key: int
    plan: str
    rate: float  # the plan's rate when the record was written; a difference shows that the plan has changed
    burst: float  # the plan's burst when the record was written
    level: float  # units left in the bucket at the time `at`
    at: float
    window: int
    acknowledged: float = field(name="told")  # units of this ingress that the window's count includes
    pending: float  # admitted units that no count includes yet
    admitted_quarters: int = field(name="mine")  # running total of units admitted by this ingress, in quarter units
    peer_quarters: dict[int, int] = field(
        name="theirs", default_factory=dict
    )  # last received running total of each peer, in quarter units
    reported: float = field(name="heard", default=0.0)  # units that peers reported in the window `reported_window`
    reported_window: int = field(name="heard_in", default=-1)
    excess: float = 0.0  # units of the last total beyond `acknowledged` and `reported`
    # The part of `pending` that was sent to the count of `doubtful_window` but not acknowledged.
    doubtful: float = field(name="doubt", default=0.0)
    doubtful_window: int = field(name="doubted", default=-1)


class IncarnationRecord(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an ingress.

    `started_at` and `number` increase from one incarnation to the next. `inode` is the inode of the database file; a
    mismatch reveals a copied folder.
    """

    name: str  # the ingress's name
    number: int
    started_at: float = field(name="began")
    inode: int
    format: int = FORMAT
    ended_at: float = field(name="ended", default=0.0)  # time of an orderly shutdown with all changes committed, else 0


class ReservationRecord(msgspec.Struct, array_like=True, frozen=True):
    """Headroom of an allowance that an incarnation reserves for the next one; see `thistleusher.quota.reservations`."""

    plan: str
    customer: int
    first: int
    width: int
    rate: float  # the allowance's rate when the record was written
    burst: float  # the allowance's burst when the record was written
    units: float = field(name="room")
    at: float


class EndpointRecord(msgspec.Struct, array_like=True, frozen=True):
    """A backend of the last endpoint list."""

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
    """The last endpoint list, as known at the time `at`."""

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
    """Return a record's bytes: its checksum, then its body."""
    body = _encode(record)
    return _checksum(body) + body


def decode_member(data: bytes) -> MemberRecord:
    """Return the record of a member. Raises RecordError if the bytes are not one."""
    return _decode("a member", _member, data)


def decode_incarnation(data: bytes) -> IncarnationRecord:
    """Return the record of an incarnation. Raises RecordError if the bytes are not one."""
    return _decode("an incarnation", _incarnation, data)


def decode_reservation(data: bytes) -> ReservationRecord:
    """Return the record of a reservation. Raises RecordError if the bytes are not one."""
    return _decode("a reservation", _reservation, data)


def decode_endpoint_list(data: bytes) -> EndpointListRecord:
    """Return the record of an endpoint list. Raises RecordError if the bytes are not one."""
    return _decode("an endpoint list", _endpoint_list, data)


def decode_learned(data: bytes) -> Learned:
    """Return the saved measurements of the backends. Raises RecordError if the bytes are not such a record."""
    return _decode("backend measurements", _learned, data)


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES)


def _decode(kind: str, decode: Callable[[bytes], T], data: bytes) -> T:
    # SQLite's columns are untyped, so a corrupt page may hold a value that is not bytes.
    if not isinstance(data, bytes) or _checksum(data[CHECKSUM_BYTES:]) != data[:CHECKSUM_BYTES]:
        raise RecordError(f"record checksum mismatch: {data!r:.60}")
    try:
        return decode(data[CHECKSUM_BYTES:])
    except msgspec.MsgspecError as error:
        raise RecordError(f"not {kind}: {error}") from error
