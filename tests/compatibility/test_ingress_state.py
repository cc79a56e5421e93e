"""State folders of ingresses: one that release 0.2 wrote can be read; this release writes the same tables and bytes."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path
from typing import Any

import msgpack
import pytest

from tests.compatibility.fixtures import FOLDER, as_json, load, positional
from thistleusher.core.snapshots import Learned, LearnedBackend, LearnedClass
from thistleusher.state import records
from thistleusher.state.records import EndpointListRecord, EndpointRecord, MemberRecord, ReservationRecord
from thistleusher.state.store import DATABASE_FILE, ENDPOINT_LIST_KEY, LEARNED_KEY, Store

NAME, BEGAN, ENDED = "n3", 1_700_000_000.25, 1_700_000_100.5
MEMBERS = (
    MemberRecord(7, "basic", 2.5, 10.0, 3.25, 1_700_000_001.0, 9, 1.5, 0.25, 14, {0: 3, 2: 5}, 2.0, 9, 0.5, 0.75, 9),
    MemberRecord(2**33 - 1, "plus", 16.0, 36.0, 0.0, 1_700_000_002.0, 10, 0.0, 0.0, 0),
)
ROOMS = (
    ReservationRecord("plus", 7, 2, 3, 16.0, 36.0, 4.5, 1_700_000_003.0),
    ReservationRecord("basic", 8, 0, 1, 2.5, 10.0, 0.5, 1_700_000_004.0),
)
LEARNT = Learned(
    1_700_000_005.0,
    12.5,
    3,
    40.0,
    {"read": LearnedClass(0.02, 0.01, 50, 60.0, 1.25, 0.5, 0.125), "pay": LearnedClass(0.5, 0.25)},
    {"10.0.0.9:80": LearnedBackend(1_699_999_000.0, 1.5, 0.25, 3.0, 0.0, True)},
)
PLACES = (
    EndpointRecord("10.0.0.9:80", "Running", 1.5, "std", 2, 1_699_999_000.0, "z0", "10.0.0.9", 80),
    EndpointRecord("10.0.0.8:81", "Stopping", 1.0, "", 0, 0.0, "", "10.0.0.8", 81),
)
LIST = EndpointListRecord(1_700_000_006.0, 41, PLACES)
EVERY = (*MEMBERS, *ROOMS, LEARNT, LIST)
READERS = (  # in the order of EVERY
    records.decode_member,
    records.decode_member,
    records.decode_reservation,
    records.decode_reservation,
    records.decode_learned,
    records.decode_endpoint_list,
)


def write(folder: Path) -> None:
    """Write a state folder as an ingress does during one incarnation."""
    store = Store(folder, NAME, "full")
    store.start_incarnation(NAME, BEGAN)
    store.commit([(("member", m.key), records.encode(m)) for m in MEMBERS])
    store.commit([(("member", 99), records.encode(MEMBERS[0])), (("room", 5), records.encode(ROOMS[0]))])
    store.commit([(("member", 99), None), *((("room", n), records.encode(r)) for n, r in enumerate(ROOMS))])
    store.commit(
        [(("room", 5), None), (LEARNED_KEY, records.encode(LEARNT)), (ENDPOINT_LIST_KEY, records.encode(LIST))]
    )
    store.record_shutdown(ENDED)
    store.close()


def dump(folder: Path) -> dict[str, Any]:
    """Return all tables and rows; incarnation records omit the file's inode and the checksum that depends on it."""
    database = sqlite3.connect(f"file:{folder / DATABASE_FILE}?immutable=1", uri=True)
    schema = [sql for (sql,) in database.execute("SELECT sql FROM sqlite_master ORDER BY name")]
    rows = {}
    for (table,) in database.execute("SELECT name FROM sqlite_master ORDER BY name").fetchall():
        rows[table] = [[key, body.hex()] for key, body in database.execute(f"SELECT * FROM {table} ORDER BY 1")]
    rows["life"] = [[key, incarnation_without_inode(bytes.fromhex(body))] for key, body in rows["life"]]
    database.close()
    return as_json({"schema": schema, "rows": rows})


def incarnation_without_inode(body: bytes) -> str:
    values = msgpack.unpackb(body[4:])
    assert isinstance(values[3], int)
    values[3] = 0
    return msgpack.packb(values).hex()


def read(folder: Path) -> dict[str, Any]:
    """Return the records that an ingress reads when it starts, by position, and whether any record is corrupt."""
    store = Store(folder, NAME)
    assert store.previous is not None
    incarnation = positional(store.previous)
    incarnation[3] = 0
    found = {
        "life": incarnation,
        "members": sorted(positional(each) for each in store.members()),
        "rooms": sorted(positional(each) for each in store.reservations()),
        "learned": positional(store.learned()),
        "listed": positional(store.endpoint_list()),
        "spoilt": store.corrupt_records,
        "damage": store.integrity_errors(),
    }
    store.close()
    return as_json(found)


def packed() -> list[str]:
    """Return the encoded bytes of every kind of record as hexadecimal text, including checksums."""
    return [records.encode(record).hex() for record in EVERY]


@pytest.fixture
def folder(tmp_path):
    """Return a copy of the folder that release 0.2 wrote."""
    return Path(shutil.copytree(FOLDER / "ingress_state", tmp_path / "state"))


def test_a_folder_of_before_is_read(folder):
    assert read(folder) == load("ingress_state.json")["read"]


def test_what_is_written_has_the_tables_and_bytes_of_before(tmp_path):
    write(tmp_path / "new")
    assert dump(tmp_path / "new") == dump(FOLDER / "ingress_state") == load("ingress_state.json")["dump"]


def test_a_folder_of_before_is_written_on(folder):
    before = (folder / DATABASE_FILE).stat().st_ino
    store = Store(folder, NAME)
    incarnation = store.start_incarnation(NAME, BEGAN)  # clock set back: start time still above earlier ones
    assert positional(incarnation) == [NAME, 2, BEGAN + 0.001, before, 1, 0.0]
    store.close()


@pytest.mark.parametrize("number", range(len(EVERY)))
def test_a_record_is_read_and_written_as_before(number):
    golden = bytes.fromhex(load("ingress_state.json")["packed"][number])
    assert records.encode(EVERY[number]) == golden
    assert records.encode(READERS[number](golden)) == golden
