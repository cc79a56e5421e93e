"""Files that a loss of power, or somebody, has left of the control store: none ends the process or passes for whole."""

import os
import random
import subprocess
import sys

import lmdb
import pytest

from thistleusher.control import store_file
from thistleusher.control.interface import Records
from thistleusher.control.storage import Storage
from thistleusher.control.store_check import DamagedStoreError, check_store
from thistleusher.control.store_file import NEW_NAME, SET_ASIDE_NAME, STORE_NAME, open_store
from thistleusher.transport.messages import Position, ViewRecord

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
VIEW = ViewRecord(4, "10.0.0.1", ("10.0.0.2",), dict.fromkeys(SEEDS, "a"))
PAGE_BYTES = 4096


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "disk"


def write(folder, *writes):
    """Write records as a control process does, and close the store."""
    storage = Storage(folder, 32.0, lambda token, ok: None)
    for records in writes:
        assert storage._write(records)
    close(storage)


def close(storage):
    storage.close()
    storage._thread.join(10)
    storage._environment.close()


def read(folder, seeds=()):
    """Return the state that a new process reads, and what it says of a lost file."""
    store = open_store(folder, 32.0, seeds)
    storage = Storage(folder, 32.0, lambda token, ok: None, store)
    stored = storage.read()
    close(storage)
    return stored, store.lost


def filled(folder):
    """Write a store with small and large records in many pages; return the bytes of its file."""
    items = {f"route:{n}": (n, "v" * (n * 97 % 9000)) for n in range(300)}
    write(folder, Records(promised=4, view=VIEW, position=Position(4, 9, 4), items=items, complete=True))
    for n in range(5):
        write(folder, Records(position=Position(4, 10 + n, 4), items={f"route:{n}": (10 + n, "w" * 5000)}))
    return (folder / STORE_NAME).read_bytes()


# What a loss of power before the first sync of a new file leaves of its bytes.
HALF_MADE = {
    "zeros": lambda fresh: bytes(2 * PAGE_BYTES),
    "one page": lambda fresh: fresh[:PAGE_BYTES],
    "100 bytes": lambda fresh: fresh[:100],
    "first page lost": lambda fresh: bytes(PAGE_BYTES) + fresh[PAGE_BYTES:],
    "second page lost": lambda fresh: fresh[:PAGE_BYTES] + bytes(PAGE_BYTES) + fresh[2 * PAGE_BYTES :],
    "torn": lambda fresh: fresh[:512] + bytes(len(fresh) - 512),
}


@pytest.mark.parametrize("how", HALF_MADE)
@pytest.mark.parametrize("seeds", [(), SEEDS])
def test_a_half_made_store_counts_as_a_lost_disk(folder, how, seeds):
    write(folder)
    path = folder / STORE_NAME
    path.write_bytes(HALF_MADE[how](path.read_bytes()))
    stored, lost = read(folder, seeds)
    assert lost and stored.view is None and (folder / SET_ASIDE_NAME).exists()
    write(folder, Records(promised=7, view=VIEW))
    again, lost = read(folder, seeds)
    assert not lost and again.promised == 7 and again.view == VIEW


def test_a_machine_whose_store_was_unreadable_is_no_founder_at_a_later_start(folder):
    folder.mkdir()
    (folder / STORE_NAME).write_bytes(bytes(100))
    assert read(folder, SEEDS)[0].view is None
    assert read(folder, SEEDS)[0].view is None


def test_an_empty_file_and_a_missing_one_are_new_stores(folder):
    folder.mkdir()
    (folder / STORE_NAME).touch()
    assert read(folder, SEEDS)[0].view.epoch == 0
    (folder / STORE_NAME).unlink()
    stored, lost = read(folder)
    assert stored.view is None and not lost


@pytest.mark.parametrize("seed", range(12))
def test_a_store_that_is_cut_short_or_overwritten_is_read_whole_or_not_at_all(folder, seed):
    """In a process of its own: LMDB would end it."""
    rng = random.Random(seed)
    data = bytearray(filled(folder))
    if seed % 3 == 0:
        del data[rng.randrange(2 * PAGE_BYTES, len(data)) :]
    else:
        for _ in range(rng.choice((1, 5, 60))):
            at = rng.randrange(0, len(data) - 512)
            data[at : at + 512] = bytes(512) if seed % 3 == 1 else rng.randbytes(512)
    (folder / STORE_NAME).write_bytes(bytes(data))
    program = (
        "import sys; from pathlib import Path; from thistleusher.control.storage import Storage\n"
        "from thistleusher.control.interface import Records\n"
        "storage = Storage(Path(sys.argv[1]), 32.0, lambda token, ok: None)\n"
        "stored = storage.read()\n"
        "assert stored.view is None or len(stored.items) == 300, stored\n"
        "assert storage._write(Records(promised=8))\n"
    )
    assert subprocess.run([sys.executable, "-c", program, folder], stderr=subprocess.DEVNULL).returncode == 0


def test_whole_stores_pass_the_check_at_every_size(folder):
    rng = random.Random(1)
    for n in range(60):
        items = {f"route:{rng.randrange(400)}": (n, "v" * rng.choice((1, 100, 2000, 9000))) for _ in range(60)}
        write(folder, Records(position=Position(1, n, 1), items=items, complete=n % 7 == 0))
        check_store(folder / STORE_NAME)


def test_the_check_finds_each_page_that_is_missing(folder):
    data = filled(folder)
    (folder / STORE_NAME).write_bytes(data[: len(data) // 2])
    with pytest.raises(DamagedStoreError):
        check_store(folder / STORE_NAME)


class PowerLostError(Exception):
    """Power is lost before a call that changes the disk."""


@pytest.mark.parametrize("step", range(4))
@pytest.mark.parametrize("unreadable", [False, True])
def test_power_that_is_lost_while_a_store_is_created_leaves_no_half_made_one(folder, monkeypatch, step, unreadable):
    folder.mkdir()
    if unreadable:
        (folder / STORE_NAME).write_bytes(bytes(100))
    steps = iter(range(100))

    def interrupted(real):
        def run(*arguments):
            if next(steps) == step:
                raise PowerLostError
            return real(*arguments)

        return run

    with monkeypatch.context() as patches:
        patches.setattr(store_file, "commit", interrupted(store_file.commit))
        patches.setattr(os, "fsync", interrupted(os.fsync))
        patches.setattr(type(folder), "rename", interrupted(type(folder).rename))
        with pytest.raises(PowerLostError):
            open_store(folder, 32.0, SEEDS)
    stored, _ = read(folder, SEEDS)
    assert (stored.view is None) == unreadable
    assert not (folder / NEW_NAME).exists()


def test_a_founder_keeps_its_record_over_a_restart_that_is_not_the_first(folder):
    assert read(folder, SEEDS)[0].view.epoch == 0
    stored = read(folder)[0]
    assert stored.view.epoch == 0 and set(stored.view.voters) == set(SEEDS) and stored.position.epoch == 0


class RefusingDisk:
    """A store whose sync fails a number of times, as on a full disk."""

    def __init__(self, environment, failures):
        self.environment, self.failures = environment, failures

    def begin(self, **options):
        return self.environment.begin(**options)

    def sync(self, force):
        if self.failures:
            self.failures -= 1
            raise lmdb.DiskError("no space left")
        self.environment.sync(force)


def test_a_write_is_reported_only_once_its_sync_has_succeeded(folder):
    storage = Storage(folder, 32.0, lambda token, ok: None)
    real = storage._environment
    storage._environment = RefusingDisk(real, 3)
    assert storage._write(Records(promised=3))
    assert storage._environment.failures == 0
    storage._environment = real
    close(storage)
    assert read(folder)[0].promised == 3


def test_writes_go_on_after_a_failure_in_the_middle_of_a_commit(folder):
    storage = Storage(folder, 32.0, lambda token, ok: None)

    class Panicking:
        closed = False

        def begin(self, **options):
            raise lmdb.PanicError("a previous commit has failed")

        def close(self):
            storage_environment.close()

    storage_environment = storage._environment
    storage._environment = Panicking()
    assert not storage._write(Records(promised=3))
    assert storage._write(Records(promised=4))
    close(storage)
    assert read(folder)[0].promised == 4
