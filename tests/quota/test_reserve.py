"""Rooms kept on disk: whatever a kill loses, a set lets in no more than one store would, and less is lost."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.quota.test_escrow import EXAMPLES, PLUS, SEED, STEP, Set
from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota import EscrowTable
from thistleusher.quota.escrow import epoch_length
from thistleusher.quota.reserve import KEEP, PART, TOP, Reserve

FRESH = PLUS._replace(fresh=PLUS.burst)  # what a joint start may have at once, where nothing is remembered
EPOCH = epoch_length(PLUS)


class Kept(Set):
    """Ingresses with a folder each: notes are handed over, land in order, or are lost by a kill."""

    def __init__(self, terms=FRESH) -> None:
        super().__init__(terms)
        self.disks = [{} for _ in self.nodes]
        self.flying = [[] for _ in self.nodes]
        for node in self.nodes:
            node.restore((), None)

    def note(self, n):
        notes = self.nodes[n].changed_reservations(self.now, 100)
        if notes:
            self.flying[n].append(notes)

    def land(self, n, known=True):
        """The oldest notes on their way are committed; the ingress may be killed before it hears of it."""
        if self.flying[n]:
            notes = self.flying[n].pop(0)
            for note in notes:
                self.disks[n][note.plan, note.customer] = note
            if known:
                self.nodes[n].reservations_committed((note.plan, note.customer) for note in notes)

    def restart(self, n):
        notes = [note for note in self.disks[n].values() if note.at > -math.inf]
        self.disks[n], self.flying[n] = {}, []
        super().restart(n)
        self.nodes[n].restore(notes, self.now)


def crash(kept, landed, *which):
    """Killed, all or some, with notes on their way, of which so many have landed without a word."""
    for n in which or range(3):
        for _ in range(landed):
            kept.land(n, known=False)
        kept.restart(n)


def commit(kept):
    """All note their rooms, and the disks take it."""
    for n in range(3):
        kept.note(n)
        kept.land(n)


KEEPS = st.one_of(
    STEP,
    st.tuples(st.sampled_from(["note", "land"]), st.integers(0, 2)),
    st.tuples(st.just("crash"), st.integers(0, 2), st.integers(0, 2)),
    st.tuples(
        st.just("all"),
    ),
)


@(seed(int(SEED)) if SEED else lambda test: test)
@settings(
    max_examples=EXAMPLES,
    derandomize=not SEED,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate, Phase.shrink],
)
@given(steps=st.lists(KEEPS, min_size=5, max_size=60))
def test_kills_at_any_moment_let_in_no_more_than_one_store_would(steps):
    s = Kept()
    for kind, *args in steps:
        if kind == "note":
            s.note(args[0])
        elif kind == "land":
            s.land(args[0])
        elif kind == "crash":
            crash(s, args[1], args[0])
        elif kind == "all":
            crash(s, 1)
        else:
            s.step(kind, *args)


def pressed(s, seconds, step=0.05, units=1.0, keeps=True):
    """All three ask for all they can get, notes land with each step where they are kept."""
    before, end = s.served, s.now + seconds
    while s.now < end:
        s.now += step
        for n in range(3):
            while s.ask(n, units):
                pass
            if keeps:
                s.land(n)
                s.note(n)
        s.settle()
    return s.served - before


def drain(s, rng):
    for n in rng.sample(range(3), 3):
        while s.ask(n, rng.choice((0.25, 1.0))):
            pass


@pytest.mark.parametrize("number", range(60))
def test_pressed_everywhere_between_kills_and_notes_that_land_or_not(number):
    rng = random.Random(number + 60 * int(SEED or 0))
    s = begun()
    for _ in range(80):
        what = rng.choice(("quiet", "moment", "note", "land", "drain", "drain", "crash", "settle", "move"))
        some = rng.sample(range(3), rng.choice((1, 3, 3)))
        if what == "quiet":
            s.now += rng.uniform(0.5, 1.5 * EPOCH)
        elif what == "moment":
            s.now += 0.05
        elif what == "drain":
            drain(s, rng)
        elif what == "settle":
            s.settle()
        elif what == "move":  # one asks for all that the others can give
            for _ in range(10):
                s.ask(some[0], 4.0)
                s.settle()
                s.now += 0.05
        for n in some:
            if what in ("note", "crash") and rng.random() < 0.7:
                s.note(n)
            if what == "land":
                s.land(n)
            elif what == "crash":
                crash(s, rng.randrange(3), n)


def begun(terms=FRESH):
    s = Kept(terms)
    for n in range(3):
        s.ask(n, 0.5)  # each knows the member
    commit(s)
    s.settle()
    return s


def test_all_killed_again_and_again_get_nothing_twice():
    s = begun()
    pressed(s, 5.0)
    for _ in range(5):
        crash(s, 1)
        s.settle()
        pressed(s, 0.3)  # its own check: never over the burst
    assert s.store.worst > 0.85 * PLUS.burst  # it was pressed


def test_a_member_that_was_quiet_has_room_at_once_after_a_kill_and_without_a_note_none():
    def after_a_kill(keeps):
        s = begun()
        s.now += EPOCH / 10
        if keeps:
            commit(s)
        else:
            s.disks = [{} for _ in s.nodes]
        crash(s, 0)
        s.settle()
        return sum(s.ask(n, 1.0) for _ in range(20) for n in range(3))

    assert after_a_kill(False) == 0
    assert after_a_kill(True) >= int(TOP * KEEP * PLUS.burst / 3) * 3 > 5


def test_a_note_costs_a_pressed_member_next_to_nothing_and_a_hung_disk_what_is_left_alone():
    plain, noted, hung = begun(), begun(), begun()
    base = pressed(plain, 10.0, keeps=False)
    assert pressed(noted, 10.0) > 0.97 * base
    for n in range(3):
        hung.note(n)  # never lands
    assert base - pressed(hung, 10.0, keeps=False) <= TOP * KEEP * PLUS.burst + 3


def test_a_note_leaves_room_for_a_large_request_and_ages_at_the_rate_that_is_sure():
    r = Reserve(2.0, 12.0, 4.0)
    assert r.floor(0.0) == 0.0 and r.note(10.0, 7.9) == 0.0
    r.landed()
    assert r.note(10.0, 16.0) == PART * 16 - 4 and r.floor(10.5) == 5.0 and r.floor(99.0) == TOP * 12.0
    assert r.note(11.0, 100.0) == TOP * 12.0  # beside the one before, until it has landed
    assert r.note(11.0, 0.0) == 0.0 and r.restored((3.0, 11.0), 5.0) == 3.0
    assert r.floor(11.5) == max(0.0 + 2.0 * 1.5, 0.0 + 2.0 * 0.5)
    r.landed()
    assert r.floor(11.5) == 1.0


def test_notes_wait_for_the_one_before_and_outlive_an_allowance_until_they_are_gone():
    ledger = EscrowTable(3, 0, 0.0, (PLUS,))
    ledger.restore((), None)
    assert ledger.admit(1000.0, 0, 7, 0, 3, 1.0, 0.0)
    first = ledger.changed_reservations(1000.0, 10)
    assert [(n.plan, n.customer, n.first, n.width) for n in first] == [(0, 7, 0, 3)] and first[0].room > 0
    ledger.admit(1000.1, 0, 7, 0, 3, 1.0, 0.0)
    assert ledger.changed_reservations(1000.1, 10) == []  # one at a time
    ledger.reservations_committed([(0, 7)])
    assert len(ledger.changed_reservations(1000.2, 10)) == 1
    ledger.reservations_committed([(0, 7)])
    ledger.admit(1000.0 + 4 * EPOCH, 0, 8, 0, 3, 1.0, 0.0)  # the first is forgotten; its note stands
    assert ledger.admit(1000.0 + 4 * EPOCH, 0, 7, 0, 3, 0.5, 0.0)
    room = ledger.allowances[0, 7].room
    assert not ledger.admit(1000.0 + 4 * EPOCH, 0, 7, 0, 3, room, 0.0)
    ledger.allowances.clear()
    gone = [n for n in ledger.changed_reservations(1000.0 + 4 * EPOCH, 10) if n.customer == 7]
    assert gone == [SavedReservation(0, 7, 0, 1, 0.0, -math.inf)]
    ledger.reservations_committed([(0, 7)])
    assert not ledger.forgotten


def test_a_note_of_another_set_or_of_an_epoch_that_is_over_adds_nothing():
    def room(note, active):
        ledger = EscrowTable(3, 0, 1000.0, (FRESH,))
        ledger.restore([note], active)
        ledger.admit(1000.0, 0, 7, 0, 3, 0.0, 0.0)
        return ledger.allowances[0, 7].room

    good = SavedReservation(0, 7, 0, 3, 2.0, 999.9)
    assert 2.0 < room(good, 1000.0) < 2.5
    assert room(good._replace(first=1, width=2), 1000.0) == 0.0
    assert room(good, 1000.0 - EPOCH - 0.1) == 0.0  # it waits for its peers like anybody who begins
    assert room(good._replace(at=1005.0), 1000.0) == 2.0  # the clock was put back
