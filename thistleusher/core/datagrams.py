"""Datagrams between ingresses: message marks, names of customers, and the entry that reports a customer's usage."""

from __future__ import annotations

import hashlib
import struct

NOTIFY_INTERVAL_S = 0.1  # minimum interval between notifications of peers
NOTIFY_SHARE = 0.75  # share of an ingress's inbound message limit that notifications from peers may use
MESSAGE_BYTES_MAX = 256

USAGE_ENTRY = struct.Struct(">5sHbb")  # customer and plan; total and new admitted quarter units; level
LEVEL_STEPS = 100.0  # an entry's level is in this fraction of a burst
NEW_MIN, NEW_MAX = -128, 127  # range of the new quarter units in an entry

# The first byte of a datagram marks its type.
USAGE_MARK = b"\x01"  # usage entries
ESCROW_MARKS = (b"\x02", b"\x03", b"\x04", b"\x05", b"\x06")  # messages of the escrow
GRANT_MARKS = (b"\x03", b"\x06")  # escrow messages that transfer shares
QUERY_MARK = b"\x07"  # query to the owner of a customer's account
REPLY_MARK = b"\x08"  # reply of the owner
RECONCILE_MARK = b"\x09"  # reconciliation to the owner
OWNER_MARKS = (QUERY_MARK, REPLY_MARK, RECONCILE_MARK)

USAGE_ENTRIES_MAX = (MESSAGE_BYTES_MAX - len(USAGE_MARK)) // USAGE_ENTRY.size  # per message


def encode_customer(plan: int, customer: int) -> bytes:
    """Return the five-byte name of a customer (below 2^33) and its plan's number (below 128) in messages to peers."""
    return (customer << 7 | plan).to_bytes(5)


def decode_customer(name: bytes) -> tuple[int, int]:
    """Return the plan's number and the customer of a five-byte name."""
    number = int.from_bytes(name)
    return number & 127, number >> 7


def encode_usage(plan: int, customer: int, total: int, new: int, headroom: float, burst: float) -> bytes:
    """Return a customer's usage entry. `total` wraps at 2^16 and `new` is clamped, both in quarter units."""
    new = max(NEW_MIN, min(NEW_MAX, new))
    level = max(-LEVEL_STEPS, min(LEVEL_STEPS, LEVEL_STEPS * headroom / burst))
    return USAGE_ENTRY.pack(encode_customer(plan, customer), total & 0xFFFF, new, round(level))


def hash63(a: int, b: int) -> int:
    """Return a 63-bit hash of two numbers, the same at every ingress."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1
