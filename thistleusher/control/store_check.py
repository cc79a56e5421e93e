"""Checks an LMDB file before it is opened: that all pages of its newest state are there and are what they should be.

LMDB trusts its files. It maps them into memory, where a page beyond the end of the file ends the process (SIGBUS), and
its reader aborts on a page of the wrong type. Neither can be caught, so a damaged file must not reach it. The format is
that of LMDB 0.9 on 64-bit little-endian machines, x86-64 and arm64 (`mdb.c`: MDB_meta, MDB_page, MDB_node).

Cost: reads each page that holds records or leads to them once.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path
from typing import BinaryIO, NamedTuple

MAGIC, VERSION = 0xBEEFC0DE, 1
PAGE_HEADER = struct.Struct("<QHHHH")  # number, padding, flags, and the bounds of the free space (or a page count)
META = struct.Struct("<IIQQ48s48sQQ")  # magic, version, address, map size, free list, records, last page, transaction
TABLE = struct.Struct("<IHHQQQQQ")  # page size, flags, depth, branch pages, leaf pages, overflow pages, entries, root
NODE = struct.Struct("<HHHH")  # low and high half of a page number or size, flags or top of a page number, key size
OFFSET = struct.Struct("<H")
OVERFLOW_ROOT = struct.Struct("<Q")
BRANCH, LEAF, OVERFLOW, META_PAGE = 0x01, 0x02, 0x04, 0x08  # flags of a page
BIG_DATA = 0x01  # flag of a node whose value is in overflow pages
NO_PAGE = 0xFFFFFFFFFFFFFFFF  # root of an empty table
MIN_PAGE_BYTES, MAX_PAGE_BYTES = 512, 65536
META_PAGES = 2
MAX_DEPTH = 32


class DamagedStoreError(Exception):
    """A store that cannot be read: the page and what is wrong with it."""


class _Table(NamedTuple):
    """The tree of one table: where it begins, and how deep it is."""

    root: int
    depth: int


class _Meta(NamedTuple):
    page_bytes: int
    tables: tuple[_Table, _Table]
    transaction: int


def check_store(path: Path) -> None:
    """Check the file at `path`. Raise DamagedStoreError if it is damaged, OSError if it cannot be read.

    An empty file is whole: LMDB creates its first pages in it.
    """
    with path.open("rb", buffering=0) as file:
        size = os.fstat(file.fileno()).st_size
        if size == 0:
            return
        meta = _newest_meta(file)
        pages = _Pages(file, meta.page_bytes, size)
        for table in meta.tables:
            _check_table(pages, table)


def _newest_meta(file: BinaryIO) -> _Meta:
    first = _read_meta(file, 0, 0)
    second = _read_meta(file, 1, first.page_bytes)
    return max(first, second, key=lambda meta: meta.transaction)


def _read_meta(file: BinaryIO, number: int, page_bytes: int) -> _Meta:
    file.seek(number * page_bytes)
    data = file.read(PAGE_HEADER.size + META.size)
    if len(data) < PAGE_HEADER.size + META.size:
        raise DamagedStoreError(f"meta page {number} is cut short")
    flags = PAGE_HEADER.unpack_from(data)[2]
    magic, version, _, _, free, records, _, transaction = META.unpack_from(data, PAGE_HEADER.size)
    if not flags & META_PAGE or magic != MAGIC or version != VERSION:
        raise DamagedStoreError(f"meta page {number} is not one")
    size = TABLE.unpack(free)[0]
    if not MIN_PAGE_BYTES <= size <= MAX_PAGE_BYTES or size & (size - 1) or page_bytes not in (0, size):
        raise DamagedStoreError(f"meta page {number} names pages of {size} bytes")
    return _Meta(size, (_table(free), _table(records)), transaction)


def _table(data: bytes) -> _Table:
    _, _, depth, _, _, _, _, root = TABLE.unpack(data)
    return _Table(root, depth)


class _Pages:
    """The pages of one file."""

    def __init__(self, file: BinaryIO, page_bytes: int, file_bytes: int) -> None:
        self.page_bytes = page_bytes
        self._file = file
        self._count = file_bytes // page_bytes

    def read(self, number: int, kind: int) -> bytes:
        """Return a page. Raise DamagedStoreError if it is not in the file or of another kind."""
        if not META_PAGES <= number < self._count:
            raise DamagedStoreError(f"page {number} is not in the file")
        self._file.seek(number * self.page_bytes)
        data = self._file.read(self.page_bytes)
        found, _, flags, _, _ = PAGE_HEADER.unpack_from(data)
        if found != number or not flags & kind:
            raise DamagedStoreError(f"page {number} is another one or of another kind")
        return data

    def check_overflow(self, number: int, value_bytes: int) -> None:
        """Check that the pages of a large value are in the file."""
        self.read(number, OVERFLOW)
        pages = -(-(PAGE_HEADER.size + value_bytes) // self.page_bytes)
        if number + pages > self._count:
            raise DamagedStoreError(f"a value of {value_bytes} bytes at page {number} is not in the file")


def _check_table(pages: _Pages, table: _Table) -> None:
    """Check all pages of a table, level by level from its root."""
    if table.root == NO_PAGE:
        return
    if not 0 < table.depth <= MAX_DEPTH:
        raise DamagedStoreError(f"a table of depth {table.depth}")
    level = [table.root]
    for _ in range(table.depth - 1):
        level = [child for number in level for child in _children(pages, number)]
    for number in level:
        _check_leaf(pages, number)


def _children(pages: _Pages, number: int) -> list[int]:
    data = pages.read(number, BRANCH)
    nodes = (NODE.unpack_from(data, offset) for offset in _node_offsets(data, number))
    return [low | high << 16 | top << 32 for low, high, top, _ in nodes]


def _check_leaf(pages: _Pages, number: int) -> None:
    data = pages.read(number, LEAF)
    for offset in _node_offsets(data, number):
        low, high, flags, key_bytes = NODE.unpack_from(data, offset)
        value_bytes, value_at = low | high << 16, offset + NODE.size + key_bytes
        stored_bytes = OVERFLOW_ROOT.size if flags & BIG_DATA else value_bytes
        if value_at + stored_bytes > len(data):
            raise DamagedStoreError(f"a record of page {number} does not fit into it")
        if flags & BIG_DATA:
            pages.check_overflow(OVERFLOW_ROOT.unpack_from(data, value_at)[0], value_bytes)


def _node_offsets(data: bytes, number: int) -> list[int]:
    """Return the offsets of a page's nodes. Raise DamagedStoreError if there is none or one is not in the page."""
    _, _, _, lower, upper = PAGE_HEADER.unpack_from(data)
    if not PAGE_HEADER.size <= lower <= upper <= len(data):
        raise DamagedStoreError(f"page {number} has impossible bounds")
    offsets = [OFFSET.unpack_from(data, at)[0] for at in range(PAGE_HEADER.size, lower, OFFSET.size)]
    if not offsets:
        raise DamagedStoreError(f"page {number} is empty")
    if any(not upper <= offset <= len(data) - NODE.size for offset in offsets):
        raise DamagedStoreError(f"page {number} has a node outside of it")
    return offsets
