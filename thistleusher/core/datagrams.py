"""Names and marks that all datagrams between instances share: who is meant, and what a message is."""

from __future__ import annotations

import hashlib
import struct

NOTIFY_INTERVAL_S = 0.1  # between tellings to peers of what was let in


NOTIFY_SHARE = 0.75  # of the messages that an ingress takes in, that its peers' tellings may make up


LEVEL_STEPS = 100.0  # steps of a burst in which a telling says what is left in a store


USAGE_ENTRY = struct.Struct(">5sHbb")  # customer, plan; quarter units let in so far, since last told; level


USAGE_MARK = b"\x01"


ESCROW_MARKS = (b"\x02", b"\x03", b"\x04", b"\x05", b"\x06")  # of messages that the escrow reads


GRANT_MARKS = (b"\x03", b"\x06")  # of these, those that bring shares


OWNER_MARKS = (b"\x07", b"\x08", b"\x09")  # of messages that go between a member's home and other ingresses


USAGE_ENTRIES_MAX = (256 - len(USAGE_MARK)) // USAGE_ENTRY.size  # customers that a message of 256 bytes tells of


def encode_customer(plan: int, customer: int) -> bytes:
    """A customer (below 2^33) and its plan's number (below 128) in five bytes, as ingresses name it to one another."""
    return (customer << 7 | plan).to_bytes(5)


def decode_customer(name: bytes) -> tuple[int, int]:
    """Plan's number and customer of such a name."""
    number = int.from_bytes(name)
    return number & 127, number >> 7


def hash63(a: int, b: int) -> int:
    """A 63-bit name out of two numbers, the same at every instance."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1
