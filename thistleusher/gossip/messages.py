"""Datagram formats of the messages between the owner of an account and the other ingresses of the customer's set.

    07  query           number (2), customer and plan (5), set: first (2), width (2), quarter units (2)  14 bytes
    08  reply           number (2), 1 admitted / 0 not (1), headroom in quarter units, signed (2)         6 bytes
    09  reconciliation  rows of customer and plan (5), difference in quarter units, signed (2)            7 bytes a row

Sizes in parentheses are in bytes. Numbers are big-endian. A message of another length is ignored.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Sequence
from typing import NamedTuple

from thistleusher.core.datagrams import decode_customer, encode_customer

QUERY_MARK = b"\x07"
REPLY_MARK = b"\x08"
RECONCILIATION_MARK = b"\x09"
QUERY_FORMAT = struct.Struct(">H5sHHH")
REPLY_FORMAT = struct.Struct(">HBh")
ROW_FORMAT = struct.Struct(">5sh")
MAX_MESSAGE_BYTES = 256
MAX_ROWS = (MAX_MESSAGE_BYTES - 1) // ROW_FORMAT.size
QUARTERS_PER_UNIT = 4
MAX_QUARTERS = 0xFFFF  # largest unsigned 16-bit number of quarter units
MIN_SIGNED, MAX_SIGNED = -0x8000, 0x7FFF  # range of a signed 16-bit number of quarter units


class Query(NamedTuple):
    """Asks the owner of an account whether a request may be admitted."""

    number: int
    plan: int
    customer: int
    first: int  # first ingress of the customer's ingress set
    width: int  # number of ingresses in the customer's ingress set
    units: float

    def encode(self) -> bytes:
        """Return the message's bytes; units are rounded to quarters."""
        quarters = min(MAX_QUARTERS, round(QUARTERS_PER_UNIT * self.units))
        name = encode_customer(self.plan, self.customer)
        return QUERY_MARK + QUERY_FORMAT.pack(self.number, name, self.first, self.width, quarters)


def decode_query(payload: bytes) -> Query | None:
    """Return the decoded query; None if the length is wrong."""
    if len(payload) != 1 + QUERY_FORMAT.size:
        return None
    number, name, first, width, quarters = QUERY_FORMAT.unpack_from(payload, 1)
    return Query(number, *decode_customer(name), first, width, quarters / QUARTERS_PER_UNIT)


class Reply(NamedTuple):
    """An owner's verdict on a query, and the headroom of the account."""

    number: int
    admitted: bool
    headroom: float  # in units; negative if the account is overspent

    def encode(self) -> bytes:
        """Return the message's bytes; headroom is rounded down, so that it is never overstated."""
        quarters = max(MIN_SIGNED, min(MAX_SIGNED, math.floor(QUARTERS_PER_UNIT * self.headroom)))
        return REPLY_MARK + REPLY_FORMAT.pack(self.number, self.admitted, quarters)


def decode_reply(payload: bytes) -> Reply | None:
    """Return the decoded reply; None if the length is wrong."""
    if len(payload) != 1 + REPLY_FORMAT.size:
        return None
    number, admitted, quarters = REPLY_FORMAT.unpack_from(payload, 1)
    return Reply(number, bool(admitted), quarters / QUARTERS_PER_UNIT)


class ReconciliationRow(NamedTuple):
    """Units that a customer used beyond those requested from its owner; negative if it used fewer."""

    customer: int
    plan: int
    units: float


def encode_reconciliations(rows: Sequence[tuple[bytes, float]]) -> list[bytes]:
    """Return messages with the rows of (encoded customer and plan, units); units are rounded to quarters."""
    encoded = [
        ROW_FORMAT.pack(name, max(MIN_SIGNED, min(MAX_SIGNED, round(QUARTERS_PER_UNIT * units))))
        for name, units in rows
    ]
    return [RECONCILIATION_MARK + b"".join(encoded[n : n + MAX_ROWS]) for n in range(0, len(encoded), MAX_ROWS)]


def decode_reconciliations(payload: bytes) -> list[ReconciliationRow]:
    """Return the rows of a message; an empty list if the length is wrong."""
    if (len(payload) - 1) % ROW_FORMAT.size:
        return []
    rows: list[ReconciliationRow] = []
    for name, quarters in ROW_FORMAT.iter_unpack(payload[1:]):
        plan, customer = decode_customer(name)
        rows.append(ReconciliationRow(customer, plan, quarters / QUARTERS_PER_UNIT))
    return rows
