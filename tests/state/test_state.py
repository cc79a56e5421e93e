"""What is kept is there again after a kill, and what cannot be trusted is left out."""

from __future__ import annotations

import errno
import os
import shutil
import sqlite3
import subprocess
import sys
import threading

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import Ingress, only
from tests.quota.world import BASIC, PLUS, World
from tests.quota.world import settings as told
from thistleusher.assembly import allowance_terms
from thistleusher.core import actions, events
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.snapshots import SavedReservation
from thistleusher.net.daemon import backend_list_of
from thistleusher.operator_file.units import Seconds
from thistleusher.policy import Gateway
from thistleusher.state.options import StateOptions, read_options
from thistleusher.state.records import (
    BadRecord,
    Life,
    Listed,
    Member,
    Place,
    Room,
    pack,
    read_learned,
    read_life,
    read_listed,
    read_member,
)
from thistleusher.state.recovery import active_until, recover, still_learned, still_listed, still_there
from thistleusher.state.snapshotter import Snapshotter
from thistleusher.state.store import FILE, BadState, Store
from thistleusher.state.writer import Writer

PLANS = {p.name: p for p in (BASIC, PLUS)}
TERMS = allowance_terms(told(0))
NUMBER = st.floats(-1e6, 1e6)


def member(key=7, **more):
    fields = dict(
        key=key,
        plan="plus",
        rate=16.0,
        burst=36.0,
        level=3.0,
        at=100.0,
        window=44,
        told=5.0,
        pending=2.5,
        mine=40,
        theirs={1: 12},
    )
    return Member(**{**fields, **more})


# Records.


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(
    st.builds(
        Member,
        key=st.integers(0, 2**33),
        plan=st.text(max_size=20),
        rate=NUMBER,
        burst=NUMBER,
        level=NUMBER,
        at=NUMBER,
        window=st.integers(-1, 2**40),
        told=NUMBER,
        pending=NUMBER,
        mine=st.integers(0, 2**50),
        theirs=st.dictionaries(st.integers(0, 254), st.integers(0, 65535), max_size=5),
    ),
    st.data(),
)
def test_a_record_comes_back_and_one_with_a_flipped_bit_does_not(record, data):
    whole = pack(record)
    assert read_member(whole) == record
    at, bit = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(0, 7))
    spoilt = bytearray(whole)
    spoilt[at] ^= 1 << bit
    with pytest.raises(BadRecord):
        read_member(bytes(spoilt))
    with pytest.raises(BadRecord):
        read_member(whole[: data.draw(st.integers(0, len(whole) - 1))])


def test_one_version_back_and_forward_can_be_read():
    fields = msgspec.to_builtins(member())
    assert isinstance(fields, list)

    def packed(values):
        import zlib

        body = msgspec.msgpack.encode(values)
        return zlib.crc32(body).to_bytes(4) + body

    assert read_member(packed(fields[:11])) == member()  # without the fields that came later
    assert read_member(packed([*fields, "from", {"the": "future"}])) == member()
    for values in ([], fields[:5], ["x", *fields[1:]], {"key": 7}):
        with pytest.raises(BadRecord):
            read_member(packed(values))
    with pytest.raises(BadRecord):
        read_life(pack(member()))


# The folder.


def test_members_and_lives_are_there_again(tmp_path):
    store = Store(tmp_path / "a", "n0")
    first = store.begin("n0", 100.0)
    store.commit([(("member", n), pack(member(n))) for n in (7, 8, 9)])
    store.commit([(("member", 8), None)])
    store.close()
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert {m.key for m in store.members()} == {7, 9} and not store.twin
    second = store.begin("n0", 40.0)  # its clock was put back
    assert second.number == first.number + 1 and second.began > first.began
    store.close()


def test_a_folder_in_use_another_ingress_s_a_later_format_or_no_folder_is_refused(tmp_path):
    store = Store(tmp_path / "a", "n0")
    with pytest.raises(BadState, match="a: another process holds it"):
        Store(tmp_path / "a", "n0")
    store.begin("n0", 1.0)
    store.close()
    with pytest.raises(BadState, match="it is of ingress 'n0', this is 'n1'"):
        Store(tmp_path / "a", "n1")
    db = sqlite3.connect(tmp_path / "a" / FILE)
    db.execute("INSERT INTO life VALUES (99, ?)", (pack(Life("n0", 99, 1.0, 1, 2)),))
    db.commit()
    db.close()
    with pytest.raises(BadState, match="format 2"):
        Store(tmp_path / "a", "n0")
    (tmp_path / "file").write_text("x")
    with pytest.raises(BadState, match="file"):
        Store(tmp_path / "file", "n0")
    with pytest.raises(BadState, match="sync: expected one of"):
        Store(tmp_path / "b", "n0", sync="sometimes")
    (tmp_path / "c").mkdir()
    (tmp_path / "c" / FILE).write_bytes(b"no database at all" * 500)
    with pytest.raises(BadState, match="state.db: "):
        Store(tmp_path / "c", "n0")


@pytest.mark.parametrize("error", [errno.EROFS, errno.EACCES, errno.ENOSPC])
def test_a_folder_that_cannot_be_written_or_is_another_user_s_is_refused_in_one_line(tmp_path, monkeypatch, error):
    Store(tmp_path / "a", "n0").close()

    def refused(*_, **__):
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(os, "open", refused)
    with pytest.raises(BadState, match=f"a: {os.strerror(error)}"):
        Store(tmp_path / "a", "n0")
    monkeypatch.undo()
    monkeypatch.setattr(os, "geteuid", lambda: 4711)
    with pytest.raises(BadState, match="a: it is user .* this is user 4711"):
        Store(tmp_path / "a", "n0")
    monkeypatch.undo()
    Store(tmp_path / "a", "n0").close()  # nothing is held any more


def test_a_record_that_is_written_twice_is_there_once(tmp_path):
    store = Store(tmp_path / "a", "n0")
    for level in (1.0, 2.0):
        store.commit([(("member", 7), pack(member(level=9.0))), (("member", 7), pack(member(level=level)))])
    assert [m.level for m in store.members()] == [2.0]
    store.close()


def test_a_copied_folder_is_noticed(tmp_path):
    store = Store(tmp_path / "a", "n0")
    store.begin("n0", 1.0)
    store.close()
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    copy = Store(tmp_path / "b", "n0")
    assert copy.twin
    copy.begin("n0", 2.0)
    copy.close()
    assert not Store(tmp_path / "b", "n0").twin  # and is its own from then on


@pytest.mark.parametrize("cut", [1, 100, 4096, 20_000])
def test_a_torn_tail_costs_what_it_held_and_nothing_before(tmp_path, cut):
    store = Store(tmp_path / "a", "n0")
    store.begin("n0", 1.0)
    for n in range(20):
        store.commit([(("member", n), pack(member(n)))])
    log = tmp_path / "a" / (FILE + "-wal")
    whole = log.read_bytes()
    shutil.copytree(tmp_path / "a", tmp_path / "b")  # as a machine that stops leaves it
    (tmp_path / "b" / (FILE + "-wal")).write_bytes(whole[:-cut])
    store.close()
    torn = Store(tmp_path / "b", "n0")
    keys = [m.key for m in torn.members()]
    assert keys == list(range(len(keys))) and len(keys) >= 19 - cut // 4096 and torn.spoilt == 0
    torn.close()


def test_a_spoilt_record_costs_itself_only(tmp_path):
    store = Store(tmp_path / "a", "n0")
    store.begin("n0", 1.0)
    store.commit(
        [(("member", n), pack(member(n))) for n in range(5)]
        + [(("member", 5), b""), (("member", 6), pack(member())[:-1])]
    )
    assert [m.key for m in store.members()] == [0, 1, 2, 3, 4] and store.spoilt == 2
    store.close()


KILLED = """
import sys
from thistleusher.state.records import Member, pack
from thistleusher.state.store import Store
store = Store(sys.argv[1], "n0", sync=sys.argv[2])
store.begin("n0", 1.0)
n = 0
while True:
    store.commit([(("member", k), pack(Member(k, "plus", 16.0, 36.0, float(n), 0.0, 0, 0.0, 0.0, n)))
                  for k in range(50)])
    print(n, flush=True)
    n += 1
"""


@pytest.mark.parametrize("sync", ["off", "normal", "full"])
def test_what_was_committed_survives_a_kill_and_a_commit_is_whole_or_not_there(tmp_path, sync):
    for life in range(3):
        program = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path / "a"), sync], stdout=subprocess.PIPE, text=True
        )
        for _ in range(10 + 7 * life):
            last = int(program.stdout.readline())
        program.kill()
        last = max([last, *(int(line) for line in program.stdout.read().splitlines() if line.isdigit())])
        program.wait()
        store = Store(tmp_path / "a", "n0")
        found = [m.mine for m in store.members()]
        assert len(found) == 50 and len(set(found)) == 1 and found[0] >= last
        store.close()


# The writer.


class Slow:
    """A disk that commits when it is let, and fails when told."""

    def __init__(self):
        self.let, self.began, self.fail = threading.Event(), threading.Event(), 0
        self.batches = []

    def commit(self, bodies):
        batch = dict(bodies)
        self.began.set()
        assert self.let.wait(10.0)
        if self.fail:
            self.fail -= 1
            raise sqlite3.OperationalError("database or disk is full")
        self.batches.append(batch)


def test_a_disk_that_hangs_holds_nobody_up_and_the_latest_record_goes_out():
    disk, now = Slow(), [0.0]
    writer = Writer(disk, every=0.0, most=3, clock=lambda: now[0])
    assert writer.put(1, b"a") and disk.began.wait(10.0)
    assert writer.put(1, b"b") and writer.put(1, b"c") and writer.put(2, b"d") and writer.put(3, None)
    assert not writer.put(4, b"e") and writer.turned_away == 1  # bounded
    now[0] = 5.0
    assert writer.behind() == 5.0 and not disk.batches
    disk.let.set()
    assert writer.close(10.0) and writer.behind() == 0.0
    assert disk.batches == [{1: b"a"}, {1: b"c", 2: b"d", 3: None}]


def test_what_a_full_disk_did_not_take_is_tried_again_behind_what_came_since():
    disk = Slow()
    disk.fail = 2
    writer = Writer(disk, every=0.0)
    writer.put(1, b"a")
    writer.put(2, b"b")
    assert disk.began.wait(10.0)
    writer.put(1, b"newer")
    disk.let.set()
    assert writer.close(10.0) and writer.failures == 2
    kept = {}
    for batch in disk.batches:
        kept |= batch
    assert kept == {1: b"newer", 2: b"b"}


def test_a_folder_that_has_reached_its_bound_says_so_and_keeps_what_it_has(tmp_path):
    store = Store(tmp_path / "a", "n0", most=0.2 * (1 << 20))
    store.begin("n0", 1.0)
    store.commit([(("member", n), pack(member(n))) for n in range(100)])
    with pytest.raises(sqlite3.Error, match="full"):
        store.commit([(("member", n), pack(member(n, theirs=dict.fromkeys(range(200), 1)))) for n in range(100, 5000)])
    assert sum(1 for _ in store.members()) == 100
    store.commit([(("member", 1), None)])  # and goes on
    store.close()


# Recovery.


def saved(now=110.0, twin=False, kept=60.0, **more):
    return recover(now, [member(**more)], PLANS, kept, twin)


def test_a_record_is_put_back_as_it_was():
    found = saved().members[0]
    assert (found.level, found.at, found.window) == (3.0, 100.0, 44)
    assert (found.told, found.pending, found.mine) == (5.0, 2.5, 40)
    assert found.theirs == {1: 12} and not saved().left_out


@pytest.mark.parametrize(
    "more,why",
    [
        (dict(plan="gold"), "plan is gone"),
        (dict(level=float("nan")), "not a number"),
        (dict(at=float("inf")), "not a number"),
        (dict(burst=0.0), "not a number"),
        (dict(at=1.0, pending=0.0), "long full"),
    ],
)
def test_what_says_nothing_is_left_out_and_counted(more, why):
    found = saved(**more)
    assert not found.members and found.left_out == {why: 1}


def test_a_clock_that_was_put_back_lets_nothing_refill_and_trusts_no_window():
    found = saved(now=100.0 - 3600).members[0]
    assert found.at == 100.0 - 3600 and found.level == 3.0 and found.window == -1 and found.heard_in == -1


def test_a_day_later_only_what_was_not_written_back_is_left():
    assert saved(now=100.0 + 86400).members[0].pending == 2.5
    assert not saved(now=100.0 + 86400, pending=0.0).members


def test_a_copy_writes_nothing_back_and_another_plan_keeps_what_was_used():
    assert saved(twin=True).members[0].pending == 0.0
    other = recover(110.0, [member(plan="basic", rate=2.0, burst=8.0, level=1.0)], PLANS, 60.0).members[0]
    assert other.level == BASIC.burst - 7.0 and other.window == -1


def beyond_after_restarts(keep, seed, kills=12):
    """A member that asks for far more than it may, at an ingress that is killed again and again in an outage."""
    w = World(seed, 2)
    w.counters[0].silent = True
    for g in w.gateways:
        g.restore(w.now, [])
    book = {}
    for _ in range(kills):
        w.traffic(0.5, 40.0, lambda at: 0, "basic")
        book |= {m.key: m for m in w.gateways[0].take_changed(1000)}
        w.kill(0)
        w.run(0.1)
        w.restart(0)
        w.gateways[0].restore(w.now, book.values() if keep else [])
    return w.beyond("basic")[0]


def test_an_ingress_that_remembers_lets_nothing_in_twice():
    without = max(beyond_after_restarts(False, seed) for seed in range(5))
    kept = max(beyond_after_restarts(True, seed) for seed in range(5))
    assert kept <= 4.0 < without, (kept, without)


def test_what_peers_let_in_meanwhile_is_made_up_for_by_their_next_telling():
    w = World(3, 2)
    w.counters[0].silent = True
    for g in w.gateways:
        g.restore(w.now, [])
    for n in (0, 1):
        w.ask(n, 0, "basic")
    w.run(0.5)
    book = w.gateways[0].take_changed(10)
    w.kill(0)
    for _ in range(4):
        w.ask(1, 0, "basic", 2.0)
        w.run(0.1)
    w.restart(0)
    w.gateways[0].restore(w.now, book)
    w.ask(1, 0, "basic")  # a telling
    w.run(0.3)
    rooms = [g.headroom(w.now, 0, "basic") for g in w.gateways]
    assert rooms[0] == pytest.approx(rooms[1], abs=0.3)


def test_only_changes_are_handed_over_in_portions():
    w = World(4, 2)
    gateway = w.gateways[0]
    assert gateway.take_changed(10) == []  # nothing is followed where nothing is kept
    gateway.restore(w.now, [])
    for m in range(5):
        w.ask(0, m)
    assert len(gateway.take_changed(3)) == 3 and len(gateway.take_changed(3)) == 2
    w.run(1.0)
    w.ask(0, 2)
    assert [m.key for m in gateway.take_changed(10) if m.key == 2] == [2]


class Later:
    def __init__(self):
        self.due = []

    def call_later(self, delay, callback):
        self.due.append((delay, callback))
        return self

    def cancel(self):
        self.due.clear()


def test_a_keeper_keeps_and_puts_back(tmp_path):
    def keeper(name="n0"):
        return Snapshotter(StateOptions(str(tmp_path / "a"), commit_every=Seconds(0.005)), name, told(0), 60.0)

    w, later = World(5, 2), Later()
    one = keeper()
    life, found = one.begin(w.gateways[0], lambda: w.now, later)
    assert life.number == 1 and not found.members
    for m in range(700):
        w.ask(0, m, units=2.0)
    w.run(0.05)
    delay, portion = later.due.pop()
    portion()
    assert delay == 0.005 and later.due[-1][0] == 0.0  # more waits: at once, after the loop's turn
    assert one.close()
    w.restart(0)
    two = keeper()
    life, found = two.begin(w.gateways[0], lambda: w.now, later)
    assert life.number == 2 and len(found.members) == 700
    assert w.gateways[0].headroom(w.now, 3, "plus") < PLUS.burst
    two.store.db.execute("PRAGMA query_only=1")  # the disk takes nothing any more
    assert not two.close()
    assert Store(tmp_path / "a", "n0").before.ended == 0.0  # let go, and taken for killed


def outage_with_kills(tmp_path, keeps, seed):
    """Three ingresses that are killed together three times in an outage, each with a folder or without."""
    w, keepers = World(seed), {}

    def kept(n, life):
        options = StateOptions(str(tmp_path / f"{seed}-{n}"), "off", Seconds(0.005))
        keepers[n] = Snapshotter(options, f"n{n}", told(n), 60.0, TERMS)
        return keepers[n].begin(w.gateways[n], lambda: w.now, Later())

    def go(seconds):
        end = w.now + seconds
        while w.now < end:
            w.traffic(0.05, 120.0, lambda at: w.rng.randrange(3), "plus")
            for k in keepers.values():
                k.hand_over(1000)
                assert k.writer.flush(10.0)

    w.counters[0].silent = True
    if keeps:
        w.remind = lambda n: kept(n, 0)
        for n in range(3):
            w.kill(n)
            w.restart(n)
    go(1.0)
    before = w.served
    for _ in range(3):
        for n in range(3):
            w.kill(n)
            if keeps:
                keepers[n].writer.close()
                keepers[n].store.close()  # as a kill leaves it: without the last portion, and no end noted
        keepers.clear()
        w.run(0.1)
        for n in range(3):
            w.restart(n)
        go(0.5)
    for k in keepers.values():
        k.close()
    return w.beyond("plus")[1], w.served - before


def test_all_killed_together_in_an_outage_get_no_ceiling_anew(tmp_path):
    with_folders = [outage_with_kills(tmp_path, True, seed) for seed in range(2)]
    without = [outage_with_kills(tmp_path, False, seed) for seed in range(2)]
    assert max(over for over, _ in with_folders) <= 0.0 < min(over for over, _ in without), (with_folders, without)
    assert min(served for _, served in with_folders) > 15, (with_folders, without)  # their rate goes on


# Rooms, what was learned, the list.

ROOM = Room("plus", 7, 0, 3, *TERMS["plus"], 2.5, 100.0)


@pytest.mark.parametrize(
    "more,twin",
    [
        (dict(plan="gold"), False),
        (dict(rate=28.0), False),
        (dict(room=-1.0), False),
        (dict(room=99.0), False),
        (dict(at=float("nan")), False),
        (dict(width=0), False),
        ({}, True),
    ],
)
def test_a_room_is_worth_nothing_under_other_terms_or_in_a_copy(more, twin):
    assert still_there([ROOM], PLANS, TERMS) == [SavedReservation(1, 7, 0, 3, 2.5, 100.0)]
    assert still_there([msgspec.structs.replace(ROOM, **more)], PLANS, TERMS, twin) == []


def test_rooms_go_with_the_life_that_noted_them(tmp_path):
    for number in (1, 2):
        store = Store(tmp_path / "a", "n0")
        assert list(store.rooms()) == ([ROOM] if number == 2 else [])
        store.begin("n0", 100.0)
        assert list(store.rooms()) == []  # whoever comes next must not count on what this life may spend
        store.commit([(("room", 7), pack(ROOM)), (("fact", 9), b"?")])
        store.close()


def test_an_end_in_order_is_told_from_a_kill(tmp_path):
    store = Store(tmp_path / "a", "n0")
    assert active_until(50.0, store.before) is None
    store.begin("n0", 100.0)
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert active_until(500.0, store.before) == 500.0  # killed, and nobody knows when
    store.begin("n0", 200.0)
    store.end(300.0)
    store.close()
    store = Store(tmp_path / "a", "n0")
    assert active_until(500.0, store.before) == 300.0 and active_until(250.0, store.before) == 250.0
    store.close()


def knowing(now=100.0):
    """A fleet that has learned: answers take a quarter of what is assumed, b1 is ejected."""
    i = Ingress(now=now, born=1.0)
    for _ in range(60):
        i.end(only(i.ask(), actions.Attempt), elapsed=0.08)
        i.now += 1.0
    b1 = i.gw.fleet.backends["b1"]
    b1.fault_evidence = 9.0
    i.gw.fleet.eject(i.now, b1, "failing")
    return i


def again(i, now, born=1.0):
    other = Ingress(now=now)
    other.gw = Gateway(other.gw.settings, 2, now)
    other.gw.restore(now, [], still_learned(now, read_learned(pack(i.gw.fleet.learned(i.now)))))
    other.give(
        events.ListUpdate(ListKind.SAVED, 2, tuple(BackendEntry(f"b{n}", Phase.RUNNING, born=born) for n in range(4)))
    )
    return other.gw.fleet


def test_speeds_ejections_and_slots_are_known_again_and_age():
    i = knowing()
    old, now = i.gw.fleet, i.now
    name = min(old.backends, key=lambda n: old.backends[n].ratio)
    ratio = old.backends[name].ratio
    new = again(i, now + 1.0)
    assert new.backends[name].ratio == pytest.approx(ratio, rel=0.01) and new.slots == old.slots
    assert new.backends["b1"].ejected_until == old.backends["b1"].ejected_until and new.backends["b1"].trial
    assert new.latency["read"] == old.latency["read"] != Ingress().gw.fleet.latency["read"]
    later = again(i, now + 300.0)
    assert ratio < later.backends[name].ratio < 1.0 and not later.backends["b1"].trial
    assert again(i, now + 1.0, born=2.0).backends[name].ratio == 1.0  # another process
    back = again(i, now - 3600.0)
    assert back.backends["b1"].ejected_until == 0.0 and back.backends[name].ratio < 1.0
    assert still_learned(now + 601.0, old.learned(now)) is None
    assert still_learned(now, old.learned(now)._replace(slots=float("nan"))) is None


def test_a_list_stands_in_for_a_minute():
    listed = Listed(100.0, 7, (Place("b0", "running", 1.0, "std", 3, 1.5, "z0", "127.0.0.1", 80),))
    assert read_listed(pack(listed)) == listed
    assert still_listed(160.0, listed) == listed
    assert still_listed(160.1, listed) is None is still_listed(99.0, listed) and still_listed(1.0, None) is None
    listing = backend_list_of(listed)
    assert listing.version == 7 and listing.whole and listing.entries[0][1].address == ("127.0.0.1", 80)
    assert listing.entries[0][0] == BackendEntry("b0", Phase.RUNNING, 1.0, "std", 3, 1.5, "z0")


def at_a_disk(tmp_path, w, disk, most=200_000):
    """A keeper of ingress 0 whose writer goes to a disk of the test's."""
    keeper = Snapshotter(StateOptions(str(tmp_path / "a")), "n0", told(0), 60.0, TERMS)
    keeper.begin(w.gateways[0], lambda: w.now, Later())
    keeper.writer.close()
    keeper.writer = Writer(disk, every=0.0, most=most)
    return keeper


def test_a_note_counts_as_on_disk_only_when_it_is(tmp_path):
    w, disk = World(5), Slow()
    w.counters[0].silent = True
    w.run(9.0)  # the ledger has begun, and rooms are full
    keeper = at_a_disk(tmp_path, w, disk)
    for _ in range(12):
        w.ask(0, 7)
        w.run(0.2)
    keeper.hand_over(1000)
    (reserve,) = [a.reserve for a in w.gateways[0].escrow.allowances.values()]
    assert disk.began.wait(10.0) and reserve.written is not None
    keeper.hand_over(1000)
    assert reserve.committed is None and reserve.written is not None  # the disk has not answered
    disk.let.set()
    assert keeper.writer.flush(10.0)
    keeper.hand_over(1000)
    assert reserve.committed is not None and any(table == "room" for b in disk.batches for table, _ in b)
    assert keeper.close()


def test_what_a_slow_disk_has_no_room_for_waits_with_the_decisions(tmp_path):
    w, disk = World(5, 2), Slow()
    keeper = at_a_disk(tmp_path, w, disk, most=20)
    for m in range(50):
        w.ask(0, m)
    assert 0 < keeper.hand_over(1000) <= 20 and disk.began.wait(10.0)
    while keeper.hand_over(1000):
        pass  # until there is no room any more
    assert keeper.writer.turned_away == 0 and len(w.gateways[0].replication.customers.changed) > 0
    disk.let.set()
    assert keeper.close()
    kept = {key for batch in disk.batches for table, key in batch if table == "member"}
    assert kept == set(range(50))


@pytest.mark.parametrize(
    "text,error",
    [
        ("", "folder"),
        ("folder = 3\n", "folder"),
        ('folder = "x"\nsnyc = "off"\n', "snyc"),
        ('folder = "x"\nsync = "now"\n', "sync"),
        ('folder = "x"\ncommit_ms = 1\n', "commit_ms"),
        ("folder = ", "Invalid"),
        ("\xff", ""),
    ],
)
def test_the_operators_file_is_checked_in_one_line(tmp_path, text, error):
    path = tmp_path / "state.toml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ValueError, match="state.toml: ") as raised:
        read_options(str(path))
    assert error in str(raised.value) and "\n" not in str(raised.value)
    with pytest.raises(ValueError, match="none.toml"):
        read_options(str(tmp_path / "none.toml"))
