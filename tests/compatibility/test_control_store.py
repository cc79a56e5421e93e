"""Stores of control processes: a store that release 0.2 wrote can be read, and this release writes the same bytes."""

from __future__ import annotations

import shutil
import threading
from pathlib import Path

import lmdb
import pytest

from tests.compatibility.fixtures import FOLDER, as_json, load, positional
from thistleusher.control.interface import Records
from thistleusher.control.storage import Storage
from thistleusher.transport.messages import Position, ViewRecord

VIEW = ViewRecord(7, "10.0.0.1", ("10.0.0.2",), {"10.0.0.1": "a", "10.0.0.2": "b", "10.0.0.3": "c"}, {"10.0.0.4": "a"})
ITEMS = {
    "config": (11, {"v": 7, "d": "0011aabb", "t": ["routes", "services"]}),
    "route:r1": (11, {"hostname": "a.example", "deadline_ms": 3000, "weight": 0.5, "public": False}),
    "evac:a1": (12, {"on": True, "n": 3}),
    "evac:b1": (13, None),
}
LEASES = {"registry": ("10.0.0.2", 9), "counter": ("10.0.0.3", 1)}
WRITES = (  # fields in positional order; each element is written in its own transaction
    Records(5, None, None, 0, None, False, {"registry": ("10.0.0.1", 8)}),
    Records(None, ViewRecord(6, "10.0.0.2", (), {"10.0.0.2": "b"}), None, 0, None, False, None),
    Records(None, None, Position(6, 9, 6), 2, {"gone": (9, [1, 2])}, True, None),
    Records(7, VIEW, Position(7, 12, 7), 3, {name: ITEMS[name] for name in ("config", "route:r1", "evac:a1")}, True),
    Records(None, None, Position(7, 13, 7), 3, {"evac:b1": ITEMS["evac:b1"]}, False, LEASES),
)


def write(folder: Path, writes: tuple[Records, ...] = WRITES) -> None:
    """Write records to a folder as the control process does; fail if any write fails."""
    done = threading.Semaphore(0)
    ends: list[bool] = []

    def ended(token: int, ok: bool) -> None:
        ends.append(ok)
        done.release()

    storage = Storage(folder, 32.0, ended)
    for token, records in enumerate(writes):
        storage.write(token, records)
    for _ in writes:
        assert done.acquire(timeout=30)
    storage.close()
    storage._thread.join(30)
    storage._environment.close()
    assert ends == [True] * len(writes)


def raw(folder: Path) -> dict[str, str]:
    """Return all keys and values of a store as hexadecimal text, in key order."""
    environment = lmdb.open(str(folder), max_dbs=0, lock=False)
    with environment.begin() as transaction:
        found = {bytes(key).hex(): bytes(value).hex() for key, value in transaction.cursor()}
    environment.close()
    return found


def stored(folder: Path) -> list[object]:
    """Return the records that a process reads when it starts, with fields by position."""
    storage = Storage(folder, 32.0, lambda token, ok: None)
    found = positional(storage.read())
    storage.close()
    storage._thread.join(30)
    storage._environment.close()
    return as_json(found)


@pytest.fixture
def folder(tmp_path):
    """Return a copy of the store that release 0.2 wrote."""
    return Path(shutil.copytree(FOLDER / "control_store", tmp_path / "store"))


def test_the_fixture_is_as_it_was(folder):
    assert raw(folder) == load("control_store.json")["raw"]


def test_a_store_of_before_is_read(folder):
    assert stored(folder) == load("control_store.json")["stored"]


def test_what_is_written_has_the_keys_and_bytes_of_before(tmp_path):
    write(tmp_path / "new")
    assert raw(tmp_path / "new") == load("control_store.json")["raw"]


def test_a_store_of_before_is_written_on(folder):
    write(folder)
    assert raw(folder) == load("control_store.json")["raw"]
