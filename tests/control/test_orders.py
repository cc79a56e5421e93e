"""Operators' orders: their identity, the answers to them, and the resulting state (docs/hardening/orders.md)."""

import json
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.configuration import validation as checks
from thistleusher.configuration.items import NO_CONFIGURATION, REMEMBERED_DIGESTS, assemble, changed_items, number_of
from thistleusher.control import orders
from thistleusher.control.orders import OrderStatus
from thistleusher.transport.state_updates import State


def document(number: int, contents: str = "a") -> bytes:
    route = {"hostname": "a.example", "path_prefix": f"/{contents}/", "target": "s"}
    return json.dumps({"version": f"{number:08x}", "routes": {"r": route}, "services": {"s": {}}}).encode()


INVALID = json.loads(document(0))
INVALID["routes"]["r"]["target"] = "nobody"


def invalid(number: int) -> bytes:
    return json.dumps({**INVALID, "version": f"{number:08x}"}).encode()


class Leader:
    """A control node that follows the contract of `orders`: one change at a time, decided on the committed state."""

    def __init__(self, state: State) -> None:
        self.state, self.acked, self.waiting, self.calls = state, [], [], 0
        self.pending = None

    def send(self, body: bytes) -> int | None:
        """Return the id of the call that an order became, or None if it was rejected."""
        try:
            order = orders.parse(body, self.state)
        except ExceptionGroup:
            return None
        return self.call(lambda call: orders.configuration_change(call, order))

    def call(self, make) -> int:
        self.calls += 1
        self.waiting.append(make(self.calls))
        self.step()
        return self.calls

    def step(self) -> None:
        while self.waiting and self.pending is None:
            change = self.waiting.pop(0)
            if change.is_redundant(self.state):
                self.acked.append(change.call_id)
            else:
                self.pending = (change, change.items(self.state))

    def commit(self) -> None:
        change, items = self.pending
        self.state.apply(self.state.number + 1, items)
        self.pending = None
        self.acked.append(change.call_id)
        self.step()

    def successor(self, has_last: bool) -> "Leader":
        """Return the next leader; `has_last`: whether it has the change that was pending."""
        state = self.state.copy()
        if has_last and self.pending is not None:
            state.apply(state.number + 1, self.pending[1])
        return Leader(state)


def leader_with_configuration(number: int) -> Leader:
    leader = Leader(State())
    leader.send(document(number))
    leader.commit()
    return leader


def in_force(leader: Leader):
    found = assemble(leader.state)
    return json.loads(found) if found is not None else None


@pytest.mark.parametrize(
    "sent, status",
    [
        (document(7), OrderStatus.REPEAT),
        (json.dumps(json.loads(document(7)), indent=1, sort_keys=True).encode(), OrderStatus.REPEAT),
        (document(7, "b"), OrderStatus.CONFLICTING_CONTENTS),
        (document(6, "b"), OrderStatus.SUPERSEDED),
        (document(8, "b"), OrderStatus.NEWER),
    ],
)
def test_the_highest_number_prevails_and_one_no_higher_alters_nothing(sent, status):
    leader = leader_with_configuration(7)
    assert orders.classify(leader.state, orders.parse(sent)) is status
    call = leader.send(sent)
    if status is OrderStatus.NEWER:
        assert call not in leader.acked
        leader.commit()
    assert call in leader.acked
    assert in_force(leader) == json.loads(sent if status is OrderStatus.NEWER else document(7))


@pytest.mark.parametrize("number", [6, 7, 8])
def test_an_invalid_one_is_refused_under_any_number(number):
    leader = leader_with_configuration(7)
    assert leader.send(invalid(number)) is None
    assert in_force(leader) == json.loads(document(7))


@pytest.mark.parametrize("has_last", [False, True])
def test_a_repeat_after_a_lost_answer_is_acknowledged_by_the_next_leader(has_last):
    first = leader_with_configuration(7)
    first.send(document(8))
    second = first.successor(has_last)
    call = second.send(document(8))
    assert (call in second.acked) == has_last
    if not has_last:
        second.commit()
    assert call in second.acked and in_force(second) == json.loads(document(8))


def test_a_repeat_that_comes_while_the_first_is_pending_waits_for_it():
    leader = leader_with_configuration(7)
    first, second = leader.send(document(8)), leader.send(document(8))
    assert not {first, second} & set(leader.acked)
    leader.commit()
    assert {first, second} <= set(leader.acked) and leader.pending is None


def test_two_operators_under_one_number_leave_one_in_force_whichever_machine_leads():
    leader = leader_with_configuration(7)
    leader.send(document(8, "a"))
    other = leader.send(document(8, "b"))
    assert other not in leader.acked  # not before a configuration with its number is committed
    successor = leader.successor(False)
    successor.send(document(8, "b"))
    successor.commit()
    assert in_force(successor) == json.loads(document(8, "b"))
    late = orders.parse(document(8, "a"), successor.state)
    assert orders.classify(successor.state, late) is OrderStatus.CONFLICTING_CONTENTS
    assert orders.configuration_change(1, late).is_redundant(successor.state)


def reject_all_documents(monkeypatch):
    """Make every document invalid from now on."""

    def refuse(config):
        yield "a check of a later release"

    monkeypatch.setattr(checks, "_faults", refuse)


def test_a_stricter_check_refuses_no_repeat(monkeypatch):
    leader = Leader(State())
    for number in range(1, REMEMBERED_DIGESTS + 2):
        leader.send(document(number))
        leader.commit()
    reject_all_documents(monkeypatch)
    for number in (2, REMEMBERED_DIGESTS + 1):
        assert leader.send(document(number)) in leader.acked
    assert leader.send(document(REMEMBERED_DIGESTS + 1, "b")) is None
    assert leader.send(document(1)) is None  # its digest is no longer stored, as docs/hardening/orders.md states


def test_what_release_0_1_took_with_faults_that_it_did_not_see_is_a_repeat_by_its_bytes():
    twice = document(7).replace(b'"target": "s"', b'"target": "s", "target": "s"')
    leader = Leader(State(1, {"config": (1, {"v": 7, "z": zlib.compress(twice)})}))
    assert leader.send(twice) in leader.acked
    assert leader.send(twice.replace(b"{", b"{ ", 1)) is None


def test_a_repeat_of_what_release_0_1_took_is_known_also_once_it_is_passed_over(monkeypatch):
    leader = Leader(State(1, {"config": (1, {"v": 7, "z": zlib.compress(document(7))})}))
    assert in_force(leader) == json.loads(document(7)) and number_of(leader.state) == 7
    leader.send(document(8))
    leader.commit()
    assert in_force(leader) == json.loads(document(8))
    reject_all_documents(monkeypatch)
    assert leader.send(document(7)) in leader.acked


def test_reading_gives_the_document_or_says_that_there_is_none():
    none = orders.read_configuration(1).answer(State())
    assert isinstance(none, ServiceError) and none.kind is ErrorKind.NO_LEADER
    assert json.loads(orders.read_configuration(1).answer(leader_with_configuration(7).state)) == json.loads(
        document(7)
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_no_number_is_confirmed_for_what_is_neither_committed_nor_superseded_nor_second(data):
    """Orders, lost answers and changes of the leader occur in any order; a repeat is never rejected."""
    leader, sent = Leader(State()), []
    confirmed: dict[int, int] = {}
    for _ in range(data.draw(st.integers(1, 25))):
        step = data.draw(st.sampled_from(["new", "new", "again", "kept", "kept", "leader"]))
        if step == "kept" and leader.pending is not None:
            leader.commit()
        elif step == "leader":
            leader, confirmed = leader.successor(data.draw(st.booleans())), {}
        else:
            if step == "new" or not sent:
                sent.append(document(data.draw(st.integers(0, 6)), data.draw(st.sampled_from("ab"))))
            body = sent[-1] if step == "new" else data.draw(st.sampled_from(sent))
            call = leader.send(body)
            assert call is not None
            confirmed[call] = json.loads(body)
        current, number = in_force(leader), number_of(leader.state)
        assert current is None and number == NO_CONFIGURATION or current in [json.loads(body) for body in sent]
        for call in leader.acked:
            if call in confirmed and int(confirmed[call]["version"], 16) >= number:
                wanted = confirmed[call]
                assert int(wanted["version"], 16) == number
                second = orders.classify(leader.state, orders.parse(json.dumps(wanted).encode()))
                assert wanted == current or second is OrderStatus.CONFLICTING_CONTENTS


def evacuated(leader: Leader, zone: str) -> bool:
    current = leader.state.value(f"evac:{zone}")
    return current is not None and current["on"]


def order_evacuation(leader: Leader, begin: bool, zone: str = "z") -> bool:
    """Send an order and commit its change, if any; return whether it was acknowledged without a change."""
    call = leader.call(lambda number: orders.evacuation_change(number, zone, begin))
    acknowledged = call in leader.acked
    if not acknowledged:
        leader.commit()
    assert call in leader.acked and evacuated(leader, zone) == begin
    return acknowledged


def test_an_evacuation_sent_again_is_a_repeat_only_while_the_zone_is_as_it_asks():
    leader = Leader(State())
    assert order_evacuation(leader, False)  # there is no evacuation to finish
    assert not order_evacuation(leader, True)
    assert order_evacuation(leader, True)
    assert not order_evacuation(leader, False)
    assert not order_evacuation(leader, True)  # after another operator's finish: acknowledged only once committed
    assert leader.state.value("evac:z")["n"] == 3


def test_a_begin_that_comes_while_a_finish_is_pending_is_in_force_when_acknowledged():
    leader = Leader(State())
    order_evacuation(leader, True)
    leader.call(lambda number: orders.evacuation_change(number, "z", False))
    begin = leader.call(lambda number: orders.evacuation_change(number, "z", True))
    leader.commit()
    assert begin not in leader.acked and not evacuated(leader, "z")
    leader.commit()
    assert begin in leader.acked and evacuated(leader, "z")


@pytest.mark.parametrize("zone", ["", "a/b", "z" * 401])
def test_what_can_be_no_zone_is_refused(zone):
    with pytest.raises(ServiceError) as caught:
        orders.evacuation_change(1, zone, True)
    assert caught.value.kind is ErrorKind.INVALID_CONFIGURATION


def test_a_change_of_one_route_sets_its_item_the_header_and_one_digest():
    leader = leader_with_configuration(7)
    changed = changed_items(leader.state, 8, document(8, "b"))
    assert set(changed) == {"config", "route:r", "taken:2"}


def test_a_document_that_would_not_fit_in_memory_once_parsed_is_refused():
    """FAULT: 57 MB of empty lists, sent as a configuration, took 2.2 GB of control's memory."""
    memory_bytes = 100_000 * orders.VALUE_BYTES
    orders.check_size(document(1), memory_bytes)
    for text in (b"[]," * 60_000, b"{}," * 60_000, b"1," * 110_000):
        with pytest.raises(ServiceError) as caught:
            orders.check_size(b'{"x":[' + text + b"1]}", memory_bytes)
        assert caught.value.kind is ErrorKind.BODY_TOO_LARGE
