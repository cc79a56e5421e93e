"""Headroom reserved on disk: after kills a set admits at most what one bucket would, and loses less headroom."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.quota.ingress_set import EXAMPLES, PLUS, SEED, STEP, IngressSet
from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota import EscrowTable
from thistleusher.quota.reservations import HEADROOM_FRACTION, RESERVED_FRACTION, Reservation
from thistleusher.quota.terms import GUARANTEED_FRACTION, epoch_length

SIMULTANEOUS_START = PLUS._replace(
    simultaneous_start_burst=PLUS.burst
)  # a simultaneous start may admit one burst at once if nothing is restored
EPOCH = epoch_length(PLUS)


class PersistentSet(IngressSet):
    """Ingresses with a state folder each: records are handed over, committed in order, or lost by a kill."""

    def __init__(self, terms=SIMULTANEOUS_START) -> None:
        super().__init__(terms)
        self.disks = [{} for _ in self.nodes]
        self.in_flight = [[] for _ in self.nodes]
        for node in self.nodes:
            node.restore((), None)

    def record(self, n):
        records = self.nodes[n].changed_reservations(self.now, 100)
        if records:
            self.in_flight[n].append(records)

    def commit(self, n, known=True):
        """Commit the oldest records in flight; `known`: whether the ingress is notified of the commit."""
        if self.in_flight[n]:
            records = self.in_flight[n].pop(0)
            for record in records:
                self.disks[n][record.plan, record.customer] = record
            if known:
                self.nodes[n].reservations_committed((record.plan, record.customer) for record in records)

    def restart(self, n):
        records = [record for record in self.disks[n].values() if record.at > -math.inf]
        self.disks[n], self.in_flight[n] = {}, []
        super().restart(n)
        self.nodes[n].restore(records, self.now)


def crash(persistent, committed, *which):
    """Kill and restart some ingresses (default: all) after `committed` commits of which they are not notified."""
    for n in which or range(3):
        for _ in range(committed):
            persistent.commit(n, known=False)
        persistent.restart(n)


def commit_all(persistent):
    """Record and commit the headroom of all ingresses."""
    for n in range(3):
        persistent.record(n)
        persistent.commit(n)


PERSISTENT_STEP = st.one_of(
    STEP,
    st.tuples(st.sampled_from(["record", "commit"]), st.integers(0, 2)),
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
@given(steps=st.lists(PERSISTENT_STEP, min_size=5, max_size=60))
def test_kills_at_any_time_admit_no_more_than_one_bucket(steps):
    s = PersistentSet()
    for kind, *args in steps:
        if kind == "record":
            s.record(args[0])
        elif kind == "commit":
            s.commit(args[0])
        elif kind == "crash":
            crash(s, args[1], args[0])
        elif kind == "all":
            crash(s, 1)
        else:
            s.step(kind, *args)


def run_under_load(s, seconds, step=0.05, units=1.0, reserves=True):
    """Exhaust the headroom of all three ingresses in each step, with a record and a commit if `reserves`."""
    before, end = s.served, s.now + seconds
    while s.now < end:
        s.now += step
        for n in range(3):
            while s.ask(n, units):
                pass
            if reserves:
                s.commit(n)
                s.record(n)
        s.settle()
    return s.served - before


def drain(s, rng):
    for n in rng.sample(range(3), 3):
        while s.ask(n, rng.choice((0.25, 1.0))):
            pass


def disturb(s, what, some, rng):
    """Execute a step that concerns the whole set."""
    if what == "quiet":
        s.now += rng.uniform(0.5, 1.5 * EPOCH)
    elif what == "moment":
        s.now += 0.05
    elif what == "drain":
        drain(s, rng)
    elif what == "settle":
        s.settle()
    elif what == "move":  # one ingress demands all that the others can give
        for _ in range(10):
            s.ask(some[0], 4.0)
            s.settle()
            s.now += 0.05


@pytest.mark.parametrize("number", range(60))
def test_load_on_all_ingresses_stays_within_one_bucket_despite_kills_and_uncommitted_records(number):
    rng = random.Random(number + 60 * int(SEED or 0))
    s = set_with_records()
    for _ in range(80):
        what = rng.choice(("quiet", "moment", "record", "commit", "drain", "drain", "crash", "settle", "move"))
        some = rng.sample(range(3), rng.choice((1, 3, 3)))
        disturb(s, what, some, rng)
        for n in some:
            if what in ("record", "crash") and rng.random() < 0.7:
                s.record(n)
            if what == "commit":
                s.commit(n)
            elif what == "crash":
                crash(s, rng.randrange(3), n)


def set_with_records(terms=SIMULTANEOUS_START):
    s = PersistentSet(terms)
    for n in range(3):
        s.ask(n, 0.5)  # creates the allowance at each ingress
    commit_all(s)
    s.settle()
    return s


def test_repeated_simultaneous_kills_stay_within_one_bucket():
    s = set_with_records()
    run_under_load(s, 5.0)
    for _ in range(5):
        crash(s, 1)
        s.settle()
        run_under_load(s, 0.3)  # the reference bucket checks that the burst is never exceeded
    assert s.bucket.worst > 0.85 * PLUS.burst  # the run was under load


def test_idle_member_has_headroom_immediately_after_a_kill_only_with_a_record():
    def after_a_kill(reserves):
        s = set_with_records()
        s.now += EPOCH / 10
        if reserves:
            commit_all(s)
        else:
            s.disks = [{} for _ in s.nodes]
        crash(s, 0)
        s.settle()
        return sum(s.ask(n, 1.0) for _ in range(20) for n in range(3))

    assert after_a_kill(False) == 0
    assert after_a_kill(True) >= int(RESERVED_FRACTION * GUARANTEED_FRACTION * PLUS.burst / 3) * 3 > 5


def test_records_cost_a_loaded_member_at_most_3_percent_and_a_hung_disk_the_reservation():
    plain, recorded, hung = set_with_records(), set_with_records(), set_with_records()
    base = run_under_load(plain, 10.0, reserves=False)
    assert run_under_load(recorded, 10.0) > 0.97 * base
    for n in range(3):
        hung.record(n)  # never committed
    assert base - run_under_load(hung, 10.0, reserves=False) <= RESERVED_FRACTION * GUARANTEED_FRACTION * PLUS.burst + 3


def test_a_record_leaves_headroom_for_a_large_request_and_ages_at_the_guaranteed_rate():
    r = Reservation(2.0, 12.0, 4.0)
    assert r.reserved(0.0) == 0.0 and r.reserve(10.0, 7.9) == 0.0
    r.confirm()
    assert (
        r.reserve(10.0, 16.0) == HEADROOM_FRACTION * 16 - 4
        and r.reserved(10.5) == 5.0
        and r.reserved(99.0) == RESERVED_FRACTION * 12.0
    )
    # The earlier record stays in effect until this one is committed.
    assert r.reserve(11.0, 100.0) == RESERVED_FRACTION * 12.0
    assert r.reserve(11.0, 0.0) == 0.0 and r.restorable((3.0, 11.0), 5.0) == 3.0
    assert r.reserved(11.5) == max(0.0 + 2.0 * 1.5, 0.0 + 2.0 * 0.5)
    r.confirm()
    assert r.reserved(11.5) == 1.0


def test_records_are_written_one_at_a_time_and_outlive_an_allowance_until_they_are_deleted():
    escrow = EscrowTable(3, 0, 0.0, (PLUS,))
    escrow.restore((), None)
    assert escrow.admit(1000.0, 0, 7, 0, 3, 1.0, 0.0)
    first = escrow.changed_reservations(1000.0, 10)
    assert [(n.plan, n.customer, n.first, n.width) for n in first] == [(0, 7, 0, 3)] and first[0].units > 0
    escrow.admit(1000.1, 0, 7, 0, 3, 1.0, 0.0)
    assert escrow.changed_reservations(1000.1, 10) == []  # one record in flight at a time
    escrow.reservations_committed([(0, 7)])
    assert len(escrow.changed_reservations(1000.2, 10)) == 1
    escrow.reservations_committed([(0, 7)])
    escrow.admit(1000.0 + 4 * EPOCH, 0, 8, 0, 3, 1.0, 0.0)  # the first allowance is evicted; its record stays in effect
    assert escrow.admit(1000.0 + 4 * EPOCH, 0, 7, 0, 3, 0.5, 0.0)
    headroom = escrow.allowances[0, 7].headroom
    assert not escrow.admit(1000.0 + 4 * EPOCH, 0, 7, 0, 3, headroom, 0.0)
    escrow.allowances.clear()
    gone = [n for n in escrow.changed_reservations(1000.0 + 4 * EPOCH, 10) if n.customer == 7]
    assert gone == [SavedReservation(0, 7, 0, 1, 0.0, -math.inf)]
    escrow.reservations_committed([(0, 7)])
    assert not escrow.reservations.evicted


def test_record_of_another_ingress_set_or_an_expired_epoch_adds_no_headroom():
    def headroom(record, active):
        escrow = EscrowTable(3, 0, 1000.0, (SIMULTANEOUS_START,))
        escrow.restore([record], active)
        escrow.admit(1000.0, 0, 7, 0, 3, 0.0, 0.0)
        return escrow.allowances[0, 7].headroom

    good = SavedReservation(0, 7, 0, 3, 2.0, 999.9)
    assert 2.0 < headroom(good, 1000.0) < 2.5
    assert headroom(good._replace(first=1, width=2), 1000.0) == 0.0
    assert headroom(good, 1000.0 - EPOCH - 0.1) == 0.0  # it waits for its peers like any ingress that starts
    assert headroom(good._replace(at=1005.0), 1000.0) == 2.0  # the clock was set back
