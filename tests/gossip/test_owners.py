"""Owners: all ingresses of a set agree on them, they are spread evenly, and skipped if they do not reply."""

from __future__ import annotations

import pytest

from thistleusher.gossip import Owners
from thistleusher.gossip.owners import MAX_MISSES, OWNER_CANDIDATES, OWNER_SKIP_S
from thistleusher.gossip.queries import MAX_QUERIES, OutstandingQueries


def ask(queries: OutstandingQueries, now: float, request: str = "r", owner: int = 1) -> bytes | None:
    return queries.add(now, request, owner, 7, 0, 1.0, lambda number: b"%d" % number)


@pytest.mark.parametrize("first,width", [(190, 120), (0, 200), (199, 2), (5, 3)])
def test_ingresses_of_a_set_agree_on_its_owner_also_if_it_wraps_round(first, width):
    members = {(first + n) % 200 for n in range(width)}
    for key in range(200):
        owners = {Owners(200, me).owner_of(0.0, key, first, width) for me in members}
        assert len(owners) == 1 and owners <= members


def test_owners_are_distributed_evenly():
    found = [Owners(200, 0).owner_of(0.0, key, 0, 200) for key in range(20_000)]
    assert max(found.count(n) for n in range(200)) < 150


def test_an_owner_that_does_not_reply_is_skipped_for_a_while():
    owners = Owners(200, 3)
    queries = OutstandingQueries(owners, 0.18)
    owner = owners.owner_of(0.0, 7, 0, 100)
    for n in range(MAX_MISSES):
        assert owners.owner_of(0.0, 7, 0, 100) == owner
        ask(queries, 0.0, f"r{n}", owner)
        assert queries.expire(0.27) == [] and queries.expire(0.28) == [f"r{n}"]
    other = owners.owner_of(0.3, 7, 0, 100)
    assert other not in (owner, None)
    assert owners.owner_of(0.3 + OWNER_SKIP_S, 7, 0, 100) == owner
    owners.skipped_until = {p: 9.0 for p in range(200)}
    assert owners.owner_of(1.0, 7, 0, 100) is None
    owners.record_message(owner)  # a message of any kind ends the skipping
    assert owners.owner_of(1.0, 7, 0, 100) == owner
    assert OWNER_CANDIDATES > 1


def test_one_lost_message_does_not_change_an_owner():
    owners = Owners(200, 3)
    queries = OutstandingQueries(owners, 0.18)
    owner = owners.owner_of(0.0, 7, 0, 100)
    for n in range(10):
        ask(queries, float(n), "lost", owner)
        queries.expire(n + 0.5)
        owners.record_message(owner)
    assert owners.owner_of(10.0, 7, 0, 100) == owner


def test_outstanding_queries_are_bounded():
    owners = Owners(200, 3)
    queries = OutstandingQueries(owners, 0.18)
    assert all(ask(queries, 0.0) is not None for _ in range(MAX_QUERIES))
    assert ask(queries, 0.0) is None
    assert len(queries.expire(1.0)) == MAX_QUERIES and ask(queries, 1.0) is not None
    for _ in range(3 * MAX_QUERIES):
        ask(queries, 2.0)
        queries.expire(3.0)
    assert len(queries.expired) <= MAX_QUERIES
