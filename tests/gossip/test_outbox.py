"""The outbox: merging, rate limit and bounds of updates, and keep-alives."""

from __future__ import annotations

import random

from thistleusher.gossip import Outbox
from thistleusher.gossip.outbox import BURST_S, CONTACT_S, KEEP_ALIVE_S, LAZY_DELAY_S


def test_outbox_never_exceeds_its_send_budget():
    rng, box, sent, now = random.Random(4), Outbox(50.0, 28, 0.0), [], 0.0
    for _ in range(200):  # 20 s of ticks; in each of them there are updates for all of 40 peers
        for _ in range(100):
            box.mark_changed(now, rng.randrange(1000), [rng.randrange(40) for _ in range(5)])
        sent += [(now, peer) for peer, _ in box.take(now)]
        now += 0.1
    assert len(sent) <= 50.0 * (20.0 + BURST_S)
    assert len(sent) >= 45.0 * 20.0  # the budget is used
    per = [sum(1 for _, peer in sent if peer == p) for p in range(40)]
    assert max(per) <= min(per) + 2  # the longest waiting peer is served first, so no peer starves


def test_waiting_updates_are_merged_and_entries_per_message_bounded():
    box = Outbox(50.0, 3, 0.0)
    for _ in range(10):
        for key in range(4):
            box.mark_changed(0.0, key, [1])
    assert box.take(0.0) == [(1, [0, 1, 2])]
    assert box.take(0.1) == [(1, [3])] and box.take(0.2) == []


def test_lazy_update_waits_for_other_updates_up_to_the_maximum_delay():
    box = Outbox(50.0, 28, 0.0)
    box.mark_changed(0.0, 7, [1], lazy=True)
    assert box.take(0.1) == []
    box.mark_changed(0.1, 8, [1])
    assert box.take(0.1) == [(1, [7, 8])]
    box.mark_changed(0.2, 7, [1], lazy=True)
    assert box.take(0.2 + LAZY_DELAY_S) == [(1, [7])]


def test_only_peers_with_common_members_get_keep_alives_for_a_limited_time():
    box = Outbox(50.0, 28, 0.0)
    box.keep_contact(0.0, [1])
    sent_at = [n / 10 for n in range(100) if box.take(n / 10)]
    assert sent_at[0] == 0.0 and all(b - a <= KEEP_ALIVE_S + 0.11 for a, b in zip(sent_at, sent_at[1:], strict=False))
    assert sent_at[-1] <= CONTACT_S and not box.has_work()


def test_a_peer_that_sends_an_update_is_answered_once_in_a_while():
    box = Outbox(50.0, 28, 0.0)
    box.answer_update(0.0, 1)
    assert box.take(0.0) == [(1, [])]
    box.answer_update(0.1, 1)
    assert box.take(0.1) == [] and not box.has_work()
