"""The state folder: committed records survive a kill, and a folder that cannot be used is rejected."""

from __future__ import annotations

import errno
import os
import shutil
import sqlite3
import subprocess
import sys

import pytest

from tests.state.helpers import TERMS, member
from thistleusher.state.records import IncarnationRecord, ReservationRecord, encode
from thistleusher.state.recovery import last_active_time
from thistleusher.state.store import DATABASE_FILE, StateFolderError, Store

RESERVATION = ReservationRecord("plus", 7, 0, 3, *TERMS["plus"], 2.5, 100.0)


def test_members_and_incarnations_are_read_again(tmp_path):
    store = Store(tmp_path / "a", "n0")
    first = store.start_incarnation("n0", 100.0)
    store.commit([(("member", n), encode(member(n))) for n in (7, 8, 9)])
    store.commit([(("member", 8), None)])
    store.close()
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert {m.key for m in store.members()} == {7, 9} and not store.is_copy
    second = store.start_incarnation("n0", 40.0)  # its clock was set back
    assert second.number == first.number + 1 and second.started_at > first.started_at
    store.close()


def test_a_folder_in_use_of_another_ingress_of_a_later_format_or_none_is_rejected(tmp_path):
    store = Store(tmp_path / "a", "n0")
    with pytest.raises(StateFolderError, match="a: locked by another process"):
        Store(tmp_path / "a", "n0")
    store.start_incarnation("n0", 1.0)
    store.close()
    with pytest.raises(StateFolderError, match="belongs to ingress 'n0', but this ingress is 'n1'"):
        Store(tmp_path / "a", "n1")
    db = sqlite3.connect(tmp_path / "a" / DATABASE_FILE)
    db.execute("INSERT INTO life VALUES (99, ?)", (encode(IncarnationRecord("n0", 99, 1.0, 1, 2)),))
    db.commit()
    db.close()
    with pytest.raises(StateFolderError, match="format 2"):
        Store(tmp_path / "a", "n0")
    (tmp_path / "file").write_text("x")
    with pytest.raises(StateFolderError, match="file"):
        Store(tmp_path / "file", "n0")
    with pytest.raises(StateFolderError, match="sync: expected one of"):
        Store(tmp_path / "b", "n0", sync="sometimes")
    (tmp_path / "c").mkdir()
    (tmp_path / "c" / DATABASE_FILE).write_bytes(b"no database at all" * 500)
    with pytest.raises(StateFolderError, match="state.db: "):
        Store(tmp_path / "c", "n0")


@pytest.mark.parametrize("error", [errno.EROFS, errno.EACCES, errno.ENOSPC])
def test_a_folder_that_cannot_be_written_or_is_another_user_s_is_rejected_in_one_line(tmp_path, monkeypatch, error):
    Store(tmp_path / "a", "n0").close()

    def failing(*_, **__):
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(os, "open", failing)
    with pytest.raises(StateFolderError, match=f"a: {os.strerror(error)}"):
        Store(tmp_path / "a", "n0")
    monkeypatch.undo()
    monkeypatch.setattr(os, "geteuid", lambda: 4711)
    with pytest.raises(StateFolderError, match="a: owned by user .* runs as 4711"):
        Store(tmp_path / "a", "n0")
    monkeypatch.undo()
    Store(tmp_path / "a", "n0").close()  # the failed attempts left no lock behind


def test_a_record_that_is_written_twice_is_there_once(tmp_path):
    store = Store(tmp_path / "a", "n0")
    for level in (1.0, 2.0):
        store.commit([(("member", 7), encode(member(level=9.0))), (("member", 7), encode(member(level=level)))])
    assert [m.level for m in store.members()] == [2.0]
    store.close()


def test_copied_folder_is_detected(tmp_path):
    store = Store(tmp_path / "a", "n0")
    store.start_incarnation("n0", 1.0)
    store.close()
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    copy = Store(tmp_path / "b", "n0")
    assert copy.is_copy
    copy.start_incarnation("n0", 2.0)
    copy.close()
    assert not Store(tmp_path / "b", "n0").is_copy  # independent once its first incarnation has started


@pytest.mark.parametrize("cut", [1, 100, 4096, 20_000])
def test_torn_tail_loses_only_its_own_records(tmp_path, cut):
    store = Store(tmp_path / "a", "n0")
    store.start_incarnation("n0", 1.0)
    for n in range(20):
        store.commit([(("member", n), encode(member(n)))])
    log = tmp_path / "a" / (DATABASE_FILE + "-wal")
    whole = log.read_bytes()
    shutil.copytree(tmp_path / "a", tmp_path / "b")  # the state that a machine crash leaves behind
    (tmp_path / "b" / (DATABASE_FILE + "-wal")).write_bytes(whole[:-cut])
    store.close()
    torn = Store(tmp_path / "b", "n0")
    keys = [m.key for m in torn.members()]
    assert keys == list(range(len(keys))) and len(keys) >= 19 - cut // 4096 and torn.corrupt_records == 0
    torn.close()


def test_a_corrupt_record_costs_only_itself(tmp_path):
    store = Store(tmp_path / "a", "n0")
    store.start_incarnation("n0", 1.0)
    store.commit(
        [(("member", n), encode(member(n))) for n in range(5)]
        + [(("member", 5), b""), (("member", 6), encode(member())[:-1])]
    )
    assert [m.key for m in store.members()] == [0, 1, 2, 3, 4] and store.corrupt_records == 2
    store.close()


KILLED = """
import sys
from thistleusher.state.records import MemberRecord, encode
from thistleusher.state.store import Store
store = Store(sys.argv[1], "n0", sync=sys.argv[2])
store.start_incarnation("n0", 1.0)
n = 0
while True:
    store.commit([(("member", k), encode(MemberRecord(k, "plus", 16.0, 36.0, float(n), 0.0, 0, 0.0, 0.0, n)))
                  for k in range(50)])
    print(n, flush=True)
    n += 1
"""


@pytest.mark.parametrize("sync", ["off", "normal", "full"])
def test_commits_are_atomic_and_survive_a_kill(tmp_path, sync):
    for attempt in range(3):
        program = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path / "a"), sync], stdout=subprocess.PIPE, text=True
        )
        for _ in range(10 + 7 * attempt):
            last = int(program.stdout.readline())
        program.kill()
        last = max([last, *(int(line) for line in program.stdout.read().splitlines() if line.isdigit())])
        program.wait()
        store = Store(tmp_path / "a", "n0")
        found = [m.admitted_quarters for m in store.members()]
        assert len(found) == 50 and len(set(found)) == 1 and found[0] >= last
        store.close()


def test_full_folder_reports_its_limit_and_keeps_existing_records(tmp_path):
    store = Store(tmp_path / "a", "n0", max_bytes=0.2 * (1 << 20))
    store.start_incarnation("n0", 1.0)
    store.commit([(("member", n), encode(member(n))) for n in range(100)])
    with pytest.raises(sqlite3.Error, match="full"):
        store.commit(
            [(("member", n), encode(member(n, peer_quarters=dict.fromkeys(range(200), 1)))) for n in range(100, 5000)]
        )
    assert sum(1 for _ in store.members()) == 100
    store.commit([(("member", 1), None)])  # later commits still work
    store.close()


def test_reservations_are_deleted_when_the_next_incarnation_starts(tmp_path):
    for number in (1, 2):
        store = Store(tmp_path / "a", "n0")
        assert list(store.reservations()) == ([RESERVATION] if number == 2 else [])
        store.start_incarnation("n0", 100.0)
        assert list(store.reservations()) == []  # later incarnations must not rely on what this one may spend
        store.commit([(("room", 7), encode(RESERVATION)), (("fact", 9), b"?")])
        store.close()


def test_a_shutdown_is_distinguished_from_a_kill(tmp_path):
    store = Store(tmp_path / "a", "n0")
    assert last_active_time(50.0, store.previous) is None
    store.start_incarnation("n0", 100.0)
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert last_active_time(500.0, store.previous) == 500.0  # killed at an unknown time
    store.start_incarnation("n0", 200.0)
    store.record_shutdown(300.0)
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert last_active_time(500.0, store.previous) == 300.0 and last_active_time(250.0, store.previous) == 250.0
    store.close()
