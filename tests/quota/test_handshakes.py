"""Handshakes between incarnations of ingresses."""

from __future__ import annotations

import pytest

from tests.quota.ingress_set import PLUS as TERMS
from tests.quota.ingress_set import START, IngressSet
from thistleusher.quota.bootstrap import SIMULTANEOUS_START_MS, Bootstrap
from thistleusher.quota.incarnations import INCARNATION_TIMEOUT_S
from thistleusher.quota.messages import HANDSHAKE_FORMAT, HANDSHAKE_MARK, HEADER_BYTES, TRANSFER_MARK
from thistleusher.quota.terms import epoch_length

EPOCH = epoch_length(TERMS)


def test_transfers_of_an_earlier_incarnation_are_ignored_if_they_arrive_late():
    s = IngressSet(TERMS)
    s.now = START - START % EPOCH + EPOCH + 1.0
    while s.ask(1, 4.0):
        pass
    s.settle()
    s.ask(0, 4.0)
    s.now += 0.06
    while s.ask(2, 4.0):
        pass
    demands = [m for m in s.wire if m[0] == 2 and m[1] == 1]
    s.wire = demands
    s.deliver(0)
    late = [m for m in s.wire if m[0] == 1]  # transfers given by the earlier incarnation of ingress 1
    assert late and late[0][2][:1] == TRANSFER_MARK
    s.wire = []
    s.now += 0.01
    s.restart(1)
    s.settle()
    a = s.nodes[2].allowances[0, 7]
    before = a.share, a.headroom
    s.wire = late
    s.settle()
    assert (a.share, a.headroom) == before  # no peer has been notified of these transfers as received
    assert 1 in s.nodes[2].bootstrap.incarnations.restarted


def bootstraps_of(count, began):
    return [Bootstrap(count, n, at, 6.0) for n, at in enumerate(began)]


def exchange_handshakes(bootstraps, now, lost=()):
    """Deliver all due handshakes and their answers, except from and to `lost`; return the number of messages sent."""
    wire = [(sender.me, peer, m) for sender in bootstraps for peer, m in sender.due_handshakes(now)]
    sent = 0
    while wire:
        sender, peer, message = wire.pop(0)
        sent += 1
        if not {sender, peer} & set(lost):
            answer = bootstraps[peer].receive(now, sender, message)
            if answer is not None:
                wire.append((peer, sender, answer))
    return sent


def test_all_ingresses_are_reconciled_after_one_exchange_and_send_no_more_handshakes():
    bootstraps = bootstraps_of(5, [100.0, 100.01, 100.02, 100.03, 100.04])
    exchange_handshakes(bootstraps, 100.1)
    everybody = tuple(range(5))
    assert all(x.started_together(everybody) and x.handshake_delay(100.2) is None for x in bootstraps)
    assert exchange_handshakes(bootstraps, 101.0) == 0


def test_handshakes_to_an_absent_ingress_back_off_and_stop():
    bootstraps = bootstraps_of(3, [100.0] * 3)
    sent, now = 0, 100.0
    while (wait := bootstraps[0].handshake_delay(now)) is not None:
        sent += exchange_handshakes(bootstraps[:1], now, lost=(1, 2))
        now += wait
    assert (
        40 < sent < 100
        and now < 109.0
        and not bootstraps[0].started_together((0, 1, 2))
        and bootstraps[0].started_together((0,))
    )


def test_restart_known_to_a_peer_does_not_count_as_simultaneous_start():
    bootstraps = bootstraps_of(3, [100.0] * 3)
    exchange_handshakes(bootstraps, 100.0)
    bootstraps[1] = Bootstrap(3, 1, 101.0, 6.0)
    exchange_handshakes(bootstraps, 101.0)
    assert (
        bootstraps[1].peer_knew_earlier
        and not bootstraps[1].started_together((0, 1, 2))
        and bootstraps[0].started_together((0, 1, 2))
    )
    for n in (0, 2):  # restart the others one after another, so that each incarnation overlaps the next
        bootstraps[n] = Bootstrap(3, n, 102.0 + n, 6.0)
        exchange_handshakes(bootstraps, 102.0 + n)
        assert not bootstraps[n].started_together((0, 1, 2))
    bootstraps = bootstraps_of(
        3, [200.0, 200.0, 200.0 + 2 * SIMULTANEOUS_START_MS / 1000]
    )  # the last one starts long after the others
    exchange_handshakes(bootstraps[:2] + [Bootstrap(3, 2, 0.0, 6.0)], 200.0, lost=(2,))
    exchange_handshakes(bootstraps, 215.0)
    assert not bootstraps[2].started_together((0, 1, 2)) and bootstraps[0].started_together((0, 1, 2))


def test_earlier_incarnation_is_accepted_after_the_later_one_times_out():
    a = Bootstrap(2, 0, 100.0, 6.0)
    late, early = Bootstrap(2, 1, 100.0, 6.0), Bootstrap(2, 1, 40.0, 6.0)  # its clock was set back
    assert a.receive(100.0, 1, late.handshake(100.0, 0)) is not None
    assert a.receive(101.0, 1, early.handshake(101.0, 0)) is None and a.incarnations.current[1] == late.incarnation
    assert (
        a.receive(101.0 + INCARNATION_TIMEOUT_S, 1, early.handshake(111.0, 0)) is not None
        and a.incarnations.current[1] == early.incarnation
    )


@pytest.mark.parametrize(
    "payload",
    [
        HANDSHAKE_MARK,
        HANDSHAKE_MARK + bytes(3),
        HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(5, 0, 0, 0),
        HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(5, 0, 9, 0),
        HANDSHAKE_MARK + bytes(HANDSHAKE_FORMAT.size + 1),
        TRANSFER_MARK + bytes(HEADER_BYTES - 2),
    ],
)
def test_invalid_handshakes_are_ignored(payload):
    node = IngressSet(TERMS).nodes[0]
    assert (
        node.receive(START, 1, payload) == []
        and not node.bootstrap.reconciled_at
        and node.bootstrap.origin == node.bootstrap.incarnation
    )
    assert node.receive(START, 0, HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(5, 0, 5, 0)) == []  # from itself
