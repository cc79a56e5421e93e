"""Endpoint lists: backends that drain, are removed or return."""

from __future__ import annotations

import pytest

from tests.helpers import Ingress, only
from thistleusher.core import events
from thistleusher.core.actions import Attempt
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase


@pytest.mark.parametrize("phase", [Phase.STOPPING, Phase.DELETED])
def test_nothing_new_to_a_backend_that_drains_or_is_gone(phase):
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.CHANGE, 2, (BackendEntry("b0", phase, zone="z0"),)))
    for k in range(4):
        a = only(g.ask(customer=k), Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_absent_from_a_whole_list_is_gone_and_a_failed_list_changes_nothing():
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, (BackendEntry("b1", Phase.RUNNING),)))
    g.give(events.ListUpdate(ListKind.FAILED, 2))
    assert only(g.ask(), Attempt).backend == "b1"


def test_a_backend_that_is_gone_is_forgotten_once_nothing_is_out_there():
    i = Ingress(backends=2)
    a = only(i.ask(), Attempt)
    other = "b1" if a.backend == "b0" else "b0"
    gone = tuple(BackendEntry(b, Phase.DELETED) for b in ("b0", "b1", "never-seen"))
    i.give(events.ListUpdate(ListKind.CHANGE, 2, gone))
    assert set(i.gw.fleet.backends) == {a.backend} and other not in i.gw.fleet.backends
    i.end(a)
    assert i.gw.fleet.backends.outstanding == 0
    i.give(events.ListUpdate(ListKind.CHANGE, 3))
    assert not i.gw.fleet.backends
    i.give(events.ListUpdate(ListKind.WHOLE, 3, (BackendEntry("b9", Phase.RUNNING),)))
    assert set(i.gw.fleet.backends) == {"b9"}


@pytest.mark.parametrize(
    "entries",
    [
        (),
        (BackendEntry("b0", Phase.RUNNING, born=105.0, zone="z0"),),
        (BackendEntry("b0", Phase.STOPPING, zone="z0"),),
    ],
)
def test_attempts_out_are_counted_down_whatever_becomes_of_their_backend(entries):
    """If outstanding attempts were never counted down, they would use up the concurrency limit."""
    g = Ingress(backends=1)
    attempt = only(g.ask(), Attempt)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, entries))
    g.give(events.ListUpdate(ListKind.WHOLE, 3, ()))
    assert g.gw.fleet.backends.outstanding == 1
    g.end(attempt, Outcome.RESET)
    assert g.gw.fleet.backends.outstanding == 0
