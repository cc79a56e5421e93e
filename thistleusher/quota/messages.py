"""Datagram formats of the messages between ingresses about escrowed shares.

    02  demands           rows: headroom requested, in grains; share is 0
    03  transfers         rows: share and headroom given to the receiver in the epoch so far
    04  handshake         incarnations: sender's (8), receiver's as known (8); origin of the chain (8), flags (1)
    05  balance requests  like demands, from an ingress that is not reconciled with the receiver
    06  balances          receiver's incarnation (8), rows: see `BalanceRow`

Sizes in parentheses are in bytes. Each message begins with its mark (1); in all but the handshake the sender's
incarnation (8) follows. Numbers are big-endian; only the low 8 bits of an epoch are sent. Messages that cannot be
decoded are ignored.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from enum import IntFlag
from typing import NamedTuple

from thistleusher.core.datagrams import decode_customer, encode_customer

DEMAND_MARK = b"\x02"
TRANSFER_MARK = b"\x03"
HANDSHAKE_MARK = b"\x04"
BALANCE_REQUEST_MARK = b"\x05"
BALANCE_MARK = b"\x06"
ROW_MARKS = (DEMAND_MARK, TRANSFER_MARK, BALANCE_REQUEST_MARK)

MAX_MESSAGE_BYTES = 256
INCARNATION_BYTES = 8
HEADER_BYTES = 1 + INCARNATION_BYTES
BALANCE_HEADER_BYTES = HEADER_BYTES + INCARNATION_BYTES

TRANSFER_FORMAT = struct.Struct(">5sBHBHH")  # customer and plan; epoch; set: first, width; share, grains
BALANCE_FORMAT = struct.Struct(">5sBHHHHHH")  # customer and plan; epoch; given, received and new: share, grains each
HANDSHAKE_FORMAT = struct.Struct(">QQQB")
MAX_TRANSFER_ROWS = (MAX_MESSAGE_BYTES - HEADER_BYTES) // TRANSFER_FORMAT.size
MAX_BALANCE_ROWS = (MAX_MESSAGE_BYTES - BALANCE_HEADER_BYTES) // BALANCE_FORMAT.size
MAX_FIELD = 0xFFFF  # largest encodable share or number of grains
EPOCH_MASK = 0xFF


class HandshakeFlag(IntFlag):
    """Flags of a handshake."""

    KNEW_EARLIER = 1  # the sender knew an earlier incarnation of the receiver
    TRANSFERRED = 2  # shares were transferred between the two in an epoch that is not over
    SHUTTING_DOWN = 4  # the sender's incarnation ends


class Handshake(NamedTuple):
    """Announces an incarnation to a peer."""

    incarnation: int
    receiver_incarnation: int  # as known to the sender; 0 if unknown
    origin: int  # start of the chain of overlapping incarnations to which the sender belongs, in ms
    flags: int

    def encode(self) -> bytes:
        """Return the message's bytes."""
        return HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(*self)


def decode_handshake(payload: bytes) -> Handshake | None:
    """Return the decoded handshake; None if the length is wrong."""
    if len(payload) != 1 + HANDSHAKE_FORMAT.size:
        return None
    return Handshake(*HANDSHAKE_FORMAT.unpack_from(payload, 1))


class TransferRow(NamedTuple):
    """Share and headroom of one allowance that were given to the receiver, or are demanded from it."""

    plan: int
    customer: int
    epoch: int
    first: int  # first ingress of the customer's ingress set
    width: int  # number of ingresses in the customer's ingress set
    share: int
    grains: int

    def encode(self) -> bytes:
        """Return the row's bytes."""
        name = encode_customer(self.plan, self.customer)
        return TRANSFER_FORMAT.pack(name, self.epoch & EPOCH_MASK, self.first, self.width, self.share, self.grains)


class BalanceRow(NamedTuple):
    """What the sender and all incarnations of the receiver have transferred of an allowance in this epoch."""

    plan: int
    customer: int
    epoch: int
    given_share: int  # given by the sender, including `new_share`
    given_grains: int
    received_share: int  # received by the sender
    received_grains: int
    new_share: int  # given for the first time with this message
    new_grains: int

    def encode(self) -> bytes:
        """Return the row's bytes."""
        name = encode_customer(self.plan, self.customer)
        return BALANCE_FORMAT.pack(name, self.epoch & EPOCH_MASK, *self[3:])


class RowMessage(NamedTuple):
    """Demands, transfers or balance requests."""

    mark: bytes
    incarnation: int  # the sender's
    rows: list[TransferRow]


class BalanceMessage(NamedTuple):
    """Balances, addressed to one incarnation of the receiver."""

    incarnation: int  # the sender's
    receiver_incarnation: int
    rows: list[BalanceRow]


def decode_rows(payload: bytes) -> RowMessage | BalanceMessage | None:
    """Return the decoded message if it consists of rows; None if its mark or length does not match."""
    mark = payload[:1]
    if mark == BALANCE_MARK:
        return _decode_balances(payload)
    if mark not in ROW_MARKS or not _has_whole_rows(payload, HEADER_BYTES, TRANSFER_FORMAT):
        return None
    rows = [
        TransferRow(*decode_customer(name), *values)
        for name, *values in TRANSFER_FORMAT.iter_unpack(payload[HEADER_BYTES:])
    ]
    return RowMessage(mark, int.from_bytes(payload[1:HEADER_BYTES]), rows)


def _decode_balances(payload: bytes) -> BalanceMessage | None:
    if not _has_whole_rows(payload, BALANCE_HEADER_BYTES, BALANCE_FORMAT):
        return None
    rows = [
        BalanceRow(*decode_customer(name), *values)
        for name, *values in BALANCE_FORMAT.iter_unpack(payload[BALANCE_HEADER_BYTES:])
    ]
    sender = int.from_bytes(payload[1:HEADER_BYTES])
    receiver = int.from_bytes(payload[HEADER_BYTES:BALANCE_HEADER_BYTES])
    return BalanceMessage(sender, receiver, rows)


def _has_whole_rows(payload: bytes, header: int, row: struct.Struct) -> bool:
    return len(payload) >= header and (len(payload) - header) % row.size == 0


def encode_rows(mark: bytes, incarnation: int, rows: Sequence[bytes]) -> list[bytes]:
    """Return messages with the encoded transfer rows, split at the maximum message size."""
    return _split(_header(mark, incarnation), rows, MAX_TRANSFER_ROWS)


def encode_balances(incarnation: int, receiver_incarnation: int, rows: Sequence[bytes]) -> list[bytes]:
    """Return messages with the encoded balance rows, split at the maximum message size."""
    header = _header(BALANCE_MARK, incarnation) + receiver_incarnation.to_bytes(INCARNATION_BYTES)
    return _split(header, rows, MAX_BALANCE_ROWS)


def _header(mark: bytes, incarnation: int) -> bytes:
    return mark + incarnation.to_bytes(INCARNATION_BYTES)


def _split(header: bytes, rows: Sequence[bytes], max_rows: int) -> list[bytes]:
    return [header + b"".join(rows[n : n + max_rows]) for n in range(0, len(rows), max_rows)]
