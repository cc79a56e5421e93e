"""Queries, replies, pending requests and reconciliations, and their encodings."""

from __future__ import annotations

import pytest

from tests.gossip.helpers import gossip, request
from thistleusher.core.decision_ports import OwnerQuery
from thistleusher.gossip.messages import QUERY_MARK, RECONCILIATION_MARK, REPLY_MARK
from thistleusher.gossip.pending import MAX_PENDING, PendingRequests
from thistleusher.gossip.queries import REPLY_CACHE_S, REPLY_CACHE_SIZE, REPLY_TIMEOUT_S
from thistleusher.gossip.reconciliations import MAX_RECONCILIATIONS


def test_query_and_reply_byte_by_byte():
    asker, owner = gossip(3), gossip(9)
    r = request(units=2.25)
    message = asker.create_query(0.0, 9, r, 1)
    assert message == QUERY_MARK + bytes.fromhex("0001" "ffffffff81" "00be" "0078" "0009")
    assert owner.receive_query(0.0, 3, message) == OwnerQuery(1, r.customer, 1, 190, 120, 2.25)
    reply = owner.create_reply(3, 1, True, 7.9)
    assert reply == REPLY_MARK + bytes.fromhex("0001" "01" "001f")
    assert asker.receive_reply(8, reply) is None  # from a peer that was not asked
    assert asker.receive_reply(9, reply) == ("r1", True, 7.75)
    assert asker.receive_reply(9, reply) is None  # a duplicate
    assert owner.receive_reply(3, owner.create_reply(3, 5, False, -1e9)) is None


@pytest.mark.parametrize(
    "payload",
    [b"", QUERY_MARK, QUERY_MARK + bytes(5), QUERY_MARK + bytes(13), QUERY_MARK + bytes(14), QUERY_MARK + b"\xff" * 13],
)
def test_invalid_queries_are_rejected(payload):
    assert gossip().receive_query(0.0, 3, payload) is None  # also sets of no ingress, and of more than exist


def test_a_query_is_sent_once_more_and_its_owner_repeats_the_reply():
    """Without the repetition, a lost reply would cause two charges.

    The owner would charge the request, and so would the ingress, which then decides without the owner.
    """
    asker, owner = gossip(3), gossip(9)
    message = asker.create_query(0.0, 9, request(), 1)
    assert asker.timer_delay(0.0) == REPLY_TIMEOUT_S and asker.due_retransmissions(0.09) == []
    # The query is retransmitted only once.
    assert asker.due_retransmissions(REPLY_TIMEOUT_S) == [(9, message)] and asker.due_retransmissions(0.2) == []
    assert owner.receive_query(0.01, 3, message).answer == b""
    assert owner.receive_query(0.12, 3, message) is None  # the query is still being decided
    reply = owner.create_reply(3, 1, True, 1.0)
    assert owner.receive_query(0.13, 3, message).answer == reply
    assert owner.receive_query(0.13, 4, message).answer == b""  # another peer's query with the same number
    other = QUERY_MARK + message[1:-1] + b"\x05"
    assert owner.receive_query(0.14, 3, other).answer == b""  # same number, but sent by another incarnation
    assert asker.receive_reply(9, reply) is not None and asker.expired_requests(9.0) == []
    for n in range(2 * REPLY_CACHE_SIZE):
        owner.receive_query(0.2, n, message)
    assert len(owner.replies.received) <= REPLY_CACHE_SIZE + 1
    assert owner.receive_query(0.2 + REPLY_CACHE_S + 0.1, 3, message).answer == b"" and len(owner.replies.received) == 1


def test_pending_requests_are_taken_in_order_and_bounded_in_time_and_number():
    pending = PendingRequests()
    assert (
        pending.next_deadline() is None
        and pending.add("a", 0.3)
        and pending.add("b", 0.2)
        and pending.next_deadline() == 0.2
    )
    assert pending.expire(0.2) == ["b"] and pending.take() == ["a"] and pending.take() == []
    assert all(pending.add(str(n), 1.0) for n in range(MAX_PENDING)) and not pending.add("more", 1.0)
    assert len(pending.expire(1.0)) == MAX_PENDING and pending.add("more", 2.0)


def test_late_admission_by_the_owner_is_refunded():
    asker = gossip(3)
    message = asker.create_query(0.0, 9, request(), 0)
    assert message is not None and asker.expired_requests(0.28) == ["r1"] and asker.timer_delay(0.3) is None
    assert asker.receive_reply(9, asker.create_reply(3, 1, True, 0.0)) is None
    [(peer, message)] = asker.due_reconciliations()
    assert peer == 9 and gossip(9).parse_reconciliations(message) == [(request().customer, 0, -2.0)]


def test_reconciliations_are_merged_and_bounded():
    one = gossip()
    for n in range(MAX_RECONCILIATIONS + 10):
        one.reconcile(n % 7, n, 0, 0.5)
        one.reconcile(n % 7, n, 0, 0.25)
    assert sum(map(len, one.reconciliations.waiting.values())) <= MAX_RECONCILIATIONS
    messages = one.due_reconciliations()
    assert max(len(m) for _, m in messages) <= 256 and not one.has_work() and one.due_reconciliations() == []
    rows = [row for _, m in messages for row in one.parse_reconciliations(m)]
    assert len(rows) > MAX_RECONCILIATIONS / 2 and {units for _, _, units in rows} == {0.75}
    assert one.parse_reconciliations(RECONCILIATION_MARK + bytes(6)) == []
