"""Names and marks that all datagrams between instances share, and the entry that reports a customer's usage."""

from __future__ import annotations

import hashlib
import struct

NOTIFY_INTERVAL_S = 0.1  # between notifications of peers, at least
NOTIFY_SHARE = 0.75  # of the messages that an ingress takes in, that its peers' notifications may make up
MESSAGE_BYTES_MAX = 256

USAGE_ENTRY = struct.Struct(">5sHbb")  # customer and plan; quarter units admitted so far, and new; level
LEVEL_STEPS = 100.0  # steps of a burst in which an entry gives the level
NEW_MIN, NEW_MAX = -128, 127  # quarter units that an entry can give as new

USAGE_MARK = b"\x01"  # the first byte of a message of usage entries
ESCROW_MARKS = (b"\x02", b"\x03", b"\x04", b"\x05", b"\x06")  # of messages that the escrow reads
GRANT_MARKS = (b"\x03", b"\x06")  # of these, those that bring shares
QUERY_MARK = b"\x07"  # to the owner of a customer's account
REPLY_MARK = b"\x08"  # of the owner
RECONCILE_MARK = b"\x09"  # to the owner
OWNER_MARKS = (QUERY_MARK, REPLY_MARK, RECONCILE_MARK)

USAGE_ENTRIES_MAX = (MESSAGE_BYTES_MAX - len(USAGE_MARK)) // USAGE_ENTRY.size  # in one message


def encode_customer(plan: int, customer: int) -> bytes:
    """Return a customer (below 2^33) and its plan's number (below 128) as the five bytes that name it to peers."""
    return (customer << 7 | plan).to_bytes(5)


def decode_customer(name: bytes) -> tuple[int, int]:
    """Return the plan's number and the customer of such a name."""
    number = int.from_bytes(name)
    return number & 127, number >> 7


def encode_usage(plan: int, customer: int, total: int, new: int, headroom: float, burst: float) -> bytes:
    """Return the entry of one customer; `total` goes modulo 2^16, `new` is limited, both in quarter units."""
    new = max(NEW_MIN, min(NEW_MAX, new))
    level = max(-LEVEL_STEPS, min(LEVEL_STEPS, LEVEL_STEPS * headroom / burst))
    return USAGE_ENTRY.pack(encode_customer(plan, customer), total & 0xFFFF, new, round(level))


def hash63(a: int, b: int) -> int:
    """Return a 63-bit name made of two numbers, the same at every instance."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1
