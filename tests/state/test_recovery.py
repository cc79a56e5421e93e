"""Restoring stored records after a downtime: members, reservations, backend measurements, the endpoint list."""

from __future__ import annotations

import msgspec
import pytest

from tests.helpers import Ingress, only
from tests.quota.world import BASIC
from tests.state.helpers import PLANS, TERMS, member
from thistleusher.core import actions, events
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.snapshots import SavedReservation
from thistleusher.net.daemon import backend_list_of
from thistleusher.policy import Gateway
from thistleusher.state.records import (
    EndpointListRecord,
    EndpointRecord,
    ReservationRecord,
    decode_endpoint_list,
    decode_learned,
    encode,
)
from thistleusher.state.recovery import recover_endpoint_list, recover_learned, recover_members, recover_reservations

RESERVATION = ReservationRecord("plus", 7, 0, 3, *TERMS["plus"], 2.5, 100.0)


def recovered(now=110.0, is_copy=False, retention=60.0, **more):
    return recover_members(now, [member(**more)], PLANS, retention, is_copy)


def test_a_record_is_restored_as_it_was():
    found = recovered().members[0]
    assert (found.level, found.at, found.window) == (3.0, 100.0, 44)
    assert (found.acknowledged, found.pending, found.admitted_quarters) == (5.0, 2.5, 40)
    assert found.peer_quarters == {1: 12} and not recovered().skipped


@pytest.mark.parametrize(
    "more,why",
    [
        (dict(plan="gold"), "of unknown plans"),
        (dict(level=float("nan")), "with invalid figures"),
        (dict(at=float("inf")), "with invalid figures"),
        (dict(burst=0.0), "with invalid figures"),
        (dict(at=1.0, pending=0.0), "expired"),
    ],
)
def test_record_without_usable_content_is_skipped_and_counted(more, why):
    found = recovered(**more)
    assert not found.members and found.skipped == {why: 1}


def test_after_the_clock_was_set_back_nothing_refills_and_no_window_is_trusted():
    found = recovered(now=100.0 - 3600).members[0]
    assert found.at == 100.0 - 3600 and found.level == 3.0 and found.window == -1 and found.reported_window == -1


def test_only_pending_units_remain_after_a_day():
    assert recovered(now=100.0 + 86400).members[0].pending == 2.5
    assert not recovered(now=100.0 + 86400, pending=0.0).members


def test_copied_record_writes_nothing_back_and_a_plan_change_keeps_the_usage():
    assert recovered(is_copy=True).members[0].pending == 0.0
    other = recover_members(110.0, [member(plan="basic", rate=2.0, burst=8.0, level=1.0)], PLANS, 60.0).members[0]
    assert other.level == BASIC.burst - 7.0 and other.window == -1


@pytest.mark.parametrize(
    "more,is_copy",
    [
        (dict(plan="gold"), False),
        (dict(rate=28.0), False),
        (dict(units=-1.0), False),
        (dict(units=99.0), False),
        (dict(at=float("nan")), False),
        (dict(width=0), False),
        ({}, True),
    ],
)
def test_a_reservation_is_worth_nothing_under_other_terms_or_in_a_copy(more, is_copy):
    assert recover_reservations([RESERVATION], PLANS, TERMS) == [SavedReservation(1, 7, 0, 3, 2.5, 100.0)]
    assert recover_reservations([msgspec.structs.replace(RESERVATION, **more)], PLANS, TERMS, is_copy) == []


def ingress_that_has_learned(now=100.0):
    """Return an ingress with backend measurements: answers take a quarter of the assumed time, b1 is ejected."""
    i = Ingress(now=now, born=1.0)
    for _ in range(60):
        i.end(only(i.ask(), actions.Attempt), elapsed=0.08)
        i.now += 1.0
    b1 = i.gw.fleet.backends["b1"]
    b1.fault_evidence = 9.0
    i.gw.fleet.eject(i.now, b1, "failing")
    return i


def restarted(i, now, born=1.0):
    other = Ingress(now=now)
    other.gw = Gateway(other.gw.settings, 2, now)
    other.gw.restore(now, [], recover_learned(now, decode_learned(encode(i.gw.fleet.to_learned(i.now)))))
    other.give(
        events.ListUpdate(ListKind.SAVED, 2, tuple(BackendEntry(f"b{n}", Phase.RUNNING, born=born) for n in range(4)))
    )
    return other.gw.fleet


def test_speeds_ejections_and_slots_are_restored_and_age():
    i = ingress_that_has_learned()
    old, now = i.gw.fleet, i.now
    name = min(old.backends, key=lambda n: old.backends[n].ratio)
    ratio = old.backends[name].ratio
    new = restarted(i, now + 1.0)
    assert new.backends[name].ratio == pytest.approx(ratio, rel=0.01) and new.slots == old.slots
    assert new.backends["b1"].ejected_until == old.backends["b1"].ejected_until and new.backends["b1"].trial
    assert new.latency["read"] == old.latency["read"] != Ingress().gw.fleet.latency["read"]
    later = restarted(i, now + 300.0)
    assert ratio < later.backends[name].ratio < 1.0 and not later.backends["b1"].trial
    assert restarted(i, now + 1.0, born=2.0).backends[name].ratio == 1.0  # another incarnation of the backend
    back = restarted(i, now - 3600.0)
    assert back.backends["b1"].ejected_until == 0.0 and back.backends[name].ratio < 1.0
    assert recover_learned(now + 601.0, old.to_learned(now)) is None
    assert recover_learned(now, old.to_learned(now)._replace(slots=float("nan"))) is None


def test_an_endpoint_list_serves_for_a_minute():
    record = EndpointListRecord(100.0, 7, (EndpointRecord("b0", "running", 1.0, "std", 3, 1.5, "z0", "127.0.0.1", 80),))
    assert decode_endpoint_list(encode(record)) == record
    assert recover_endpoint_list(160.0, record) == record
    assert (
        recover_endpoint_list(160.1, record) is None is recover_endpoint_list(99.0, record)
        and recover_endpoint_list(1.0, None) is None
    )
    listing = backend_list_of(record)
    assert listing.version == 7 and listing.complete and listing.entries[0][1].address == ("127.0.0.1", 80)
    assert listing.entries[0][0] == BackendEntry("b0", Phase.RUNNING, 1.0, "std", 3, 1.5, "z0")
