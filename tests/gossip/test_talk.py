"""What a large fleet says, piece by piece: budgets, homes, and the bytes between them."""

from __future__ import annotations

import random

import pytest

from thistleusher.core import events
from thistleusher.core.decision_ports import OwnerQuery
from thistleusher.gossip import Gossip, Outbox, Owners
from thistleusher.gossip.outbox import ALIVE_S, BURST_S, COMPANY_S, LAZY_S
from thistleusher.gossip.owners import ANSWER_S, CANDIDATES, KNOWN_MOST, KNOWN_S, MISSES, MUTE_S, OUT_MOST
from thistleusher.gossip.pending import MOST, PendingRequests
from thistleusher.gossip.updates import ANSWER, ASK, SETTLE_MOST, SETTLED


def request(name: str = "r1", first: int = 190, width: int = 120, units: float = 2.0) -> events.Request:
    return events.Request(name, "read", "basic", (1 << 33) - 1, 6.0, units, width, first)


def talk(me: int = 3, instances: int = 200) -> Gossip:
    return Gossip(instances, me, 100.0, 28, 0.08, 0.0)


def ask(homes: Owners, now: float, request: str = "r", home: int = 1) -> bytes | None:
    return homes.ask(now, request, home, 7, 0, 1.0, lambda number: b"%d" % number)


def test_no_traffic_makes_an_outbox_say_more_than_its_budget():
    rng, box, sent, now = random.Random(4), Outbox(50.0, 28, 0.0), [], 0.0
    for _ in range(200):  # 20 s of ticks; 40 peers, all of them told something in each
        for _ in range(100):
            box.note(now, rng.randrange(1000), [rng.randrange(40) for _ in range(5)])
        sent += [(now, peer) for peer, _ in box.take(now)]
        now += 0.1
    assert len(sent) <= 50.0 * (20.0 + BURST_S)
    assert len(sent) >= 45.0 * 20.0  # and it uses what it has
    per = [sum(1 for _, peer in sent if peer == p) for p in range(40)]
    assert max(per) <= min(per) + 2  # the longest waiting first: nobody is left out


def test_what_waits_is_merged_and_a_message_holds_so_many():
    box = Outbox(50.0, 3, 0.0)
    for _ in range(10):
        for key in range(4):
            box.note(0.0, key, [1])
    assert box.take(0.0) == [(1, [0, 1, 2])]
    assert box.take(0.1) == [(1, [3])] and box.take(0.2) == []


def test_a_settlement_waits_for_company_but_not_for_ever():
    box = Outbox(50.0, 28, 0.0)
    box.note(0.0, 7, [1], lazy=True)
    assert box.take(0.1) == []
    box.note(0.1, 8, [1])
    assert box.take(0.1) == [(1, [7, 8])]
    box.note(0.2, 7, [1], lazy=True)
    assert box.take(0.2 + LAZY_S) == [(1, [7])]


def test_who_has_common_members_hears_that_this_ingress_is_there_and_nobody_else():
    box = Outbox(50.0, 28, 0.0)
    box.meet(0.0, [1])
    heard = [n / 10 for n in range(100) if box.take(n / 10)]
    assert heard[0] == 0.0 and all(b - a <= ALIVE_S + 0.11 for a, b in zip(heard, heard[1:], strict=False))
    assert heard[-1] <= COMPANY_S and not box.busy()


def test_a_peer_that_tells_of_use_is_answered_once_in_a_while():
    box = Outbox(50.0, 28, 0.0)
    box.owe(0.0, 1)
    assert box.take(0.0) == [(1, [])]
    box.owe(0.1, 1)
    assert box.take(0.1) == [] and not box.busy()


@pytest.mark.parametrize("first,width", [(190, 120), (0, 200), (199, 2), (5, 3)])
def test_all_of_a_set_agree_on_its_home_also_where_it_wraps_round(first, width):
    members = {(first + n) % 200 for n in range(width)}
    for key in range(200):
        homes = {Owners(200, me, 0.18).of(0.0, key, first, width) for me in members}
        assert len(homes) == 1 and homes <= members


def test_homes_lie_evenly():
    found = [Owners(200, 0, 0.18).of(0.0, key, 0, 200) for key in range(20_000)]
    assert max(found.count(n) for n in range(200)) < 150


def test_a_home_that_says_nothing_is_passed_over_for_a_while():
    homes = Owners(200, 3, 0.18)
    home = homes.of(0.0, 7, 0, 100)
    for n in range(MISSES):
        assert homes.of(0.0, 7, 0, 100) == home
        ask(homes, 0.0, f"r{n}", home)
        assert homes.overdue(0.27) == [] and homes.overdue(0.28) == [f"r{n}"]
    other = homes.of(0.3, 7, 0, 100)
    assert other not in (home, None)
    assert homes.of(0.3 + MUTE_S, 7, 0, 100) == home
    homes.mute = {p: 9.0 for p in range(200)}
    assert homes.of(1.0, 7, 0, 100) is None
    homes.heard(home)  # any word of it will do
    assert homes.of(1.0, 7, 0, 100) == home
    assert CANDIDATES > 1


def test_one_lost_message_does_not_move_a_home():
    homes = Owners(200, 3, 0.18)
    home = homes.of(0.0, 7, 0, 100)
    for n in range(10):
        ask(homes, float(n), "lost", home)
        homes.overdue(n + 0.5)
        homes.heard(home)
    assert homes.of(10.0, 7, 0, 100) == home


def test_questions_out_are_bounded():
    homes = Owners(200, 3, 0.18)
    assert all(ask(homes, 0.0) is not None for _ in range(OUT_MOST))
    assert ask(homes, 0.0) is None
    assert len(homes.overdue(1.0)) == OUT_MOST and ask(homes, 1.0) is not None
    for _ in range(3 * OUT_MOST):
        ask(homes, 2.0)
        homes.overdue(3.0)
    assert len(homes.late) <= OUT_MOST


def test_question_and_answer_byte_by_byte():
    asker, home = talk(3), talk(9)
    r = request(units=2.25)
    message = asker.create_query(0.0, 9, r, 1)
    assert message == ASK + bytes.fromhex("0001" "ffffffff81" "00be" "0078" "0009")
    assert home.receive_query(0.0, 3, message) == OwnerQuery(1, r.customer, 1, 190, 120, 2.25)
    answer = home.create_reply(3, 1, True, 7.9)
    assert answer == ANSWER + bytes.fromhex("0001" "01" "001f")
    assert asker.receive_reply(8, answer) is None  # it was not asked
    assert asker.receive_reply(9, answer) == ("r1", True, 7.75)
    assert asker.receive_reply(9, answer) is None  # a copy
    assert home.receive_reply(3, home.create_reply(3, 5, False, -1e9)) is None


@pytest.mark.parametrize("spoilt", [b"", ASK, ASK + bytes(5), ASK + bytes(13), ASK + bytes(14), ASK + b"\xff" * 13])
def test_what_cannot_be_a_question_is_none(spoilt):
    assert talk().receive_query(0.0, 3, spoilt) is None  # also sets of none, and of more than there are


def test_a_question_is_put_once_more_and_its_home_says_again_what_it_has_said():
    """A lost answer would otherwise charge twice: at the home, and by the ingress that then decides for itself."""
    asker, home = talk(3), talk(9)
    message = asker.create_query(0.0, 9, request(), 1)
    assert asker.timer_delay(0.0) == ANSWER_S and asker.due_retransmissions(0.09) == []
    assert asker.due_retransmissions(ANSWER_S) == [(9, message)] and asker.due_retransmissions(0.2) == []  # once
    assert home.receive_query(0.01, 3, message).answer == b""
    assert home.receive_query(0.12, 3, message) is None  # it is being decided on
    answer = home.create_reply(3, 1, True, 1.0)
    assert home.receive_query(0.13, 3, message).answer == answer
    assert home.receive_query(0.13, 4, message).answer == b""  # another's of the same number
    other = ASK + message[1:-1] + b"\x05"
    assert home.receive_query(0.14, 3, other).answer == b""  # another life's: it asks for something else
    assert asker.receive_reply(9, answer) is not None and asker.expired_requests(9.0) == []
    for n in range(2 * KNOWN_MOST):
        home.receive_query(0.2, n, message)
    assert len(home.known.book) <= KNOWN_MOST + 1
    assert home.receive_query(0.2 + KNOWN_S + 0.1, 3, message).answer == b"" and len(home.known.book) == 1


def test_requests_wait_for_gifts_in_their_order_for_so_long_and_so_many():
    held = PendingRequests()
    assert held.due() is None and held.hold("a", 0.3) and held.hold("b", 0.2) and held.due() == 0.2
    assert held.overdue(0.2) == ["b"] and held.take() == ["a"] and held.take() == []
    assert all(held.hold(str(n), 1.0) for n in range(MOST)) and not held.hold("more", 1.0)
    assert len(held.overdue(1.0)) == MOST and held.hold("more", 2.0)


def test_a_late_yes_is_given_back():
    asker = talk(3)
    message = asker.create_query(0.0, 9, request(), 0)
    assert message is not None and asker.expired_requests(0.28) == ["r1"] and asker.timer_delay(0.3) is None
    assert asker.receive_reply(9, asker.create_reply(3, 1, True, 0.0)) is None
    [(peer, settled)] = asker.due_reconciliations()
    assert peer == 9 and talk(9).parse_reconciliations(settled) == [(request().customer, 0, -2.0)]


def test_settlements_are_merged_and_bounded():
    t = talk()
    for n in range(SETTLE_MOST + 10):
        t.reconcile(n % 7, n, 0, 0.5)
        t.reconcile(n % 7, n, 0, 0.25)
    assert sum(map(len, t.settling.values())) <= SETTLE_MOST
    messages = t.due_reconciliations()
    assert max(len(m) for _, m in messages) <= 256 and not t.has_work() and t.due_reconciliations() == []
    rows = [row for _, m in messages for row in t.parse_reconciliations(m)]
    assert len(rows) > SETTLE_MOST / 2 and {units for _, _, units in rows} == {0.75}
    assert t.parse_reconciliations(SETTLED + bytes(6)) == []
