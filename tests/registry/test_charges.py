"""Charges over a network that loses, duplicates and reorders messages, while proxies and counters restart.

Each charge counts once and admissions stay within the allowance, as compared with a model that counts by sets.
"""

import random

import pytest

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_timing import ALLOWED, LOCAL_QUOTA_FROM_S, OVER_LIMIT, SHARE_DEDUCTION_START_S
from thistleusher.proxy.cluster_view import ClusterView
from thistleusher.proxy.commands import DeliverChargeAnswer, SendToRegistry
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.open_charges import ANSWER_MAX_AGE_S
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.registry import charges
from thistleusher.registry.charges import ChargeTable
from thistleusher.registry.quota_counter import QuotaCounter
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import (
    AdmissionReport,
    AdmissionReportAck,
    Charge,
    ChargeResult,
    HeartbeatEcho,
    ProxyHeartbeat,
    ProxyStatusReport,
)

RATE = BURST = 10.0
LIMITS = {"t": (RATE, BURST)}
ALLOWANCE = BURST


def proxy_of(name, incarnation, now):
    decisions = Decisions(name, "z", "r", Bounds(), random.Random(1), now)
    return ClusterView(name, incarnation, "r", lambda zone: "r", {}, decisions, now)


def counter_of(now, shares=()):
    counter = QuotaCounter(now)
    counter.configure(LIMITS, dict.fromkeys(shares, 0.1))
    return ChargeTable(counter)


class Simulation:
    """Simulates several proxies, one counter at a time, and the messages in flight between them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.names = ["p", "q", "r"]
        self.proxies = {}
        self.incarnations = self.requests = self.counters = 0
        self.to_counter, self.to_proxy = [], []
        self.pending = {}  # Request -> its proxy.
        self.admitted = {}  # Admitted request -> (counter, window).
        self.answers = {}  # (incarnation, number) -> first answer of the current counter.
        self.counted = {}  # The model: (incarnation, number) -> window, for the current counter.
        self.refunded = set()  # (incarnation, number) of the refunded charges.
        for name in self.names:
            self.restart(name)
        self.start_counter()

    def start_counter(self):
        self.table = counter_of(self.now, self.names)
        self.counters += 1
        self.answers, self.counted, self.refunded = {}, {}, set()

    def restart(self, name):
        self.incarnations += 1
        self.proxies[name] = proxy_of(name, f"life {self.incarnations}", self.now)
        self.proxies[name].counter = "c"
        self.pending = {request: proxy for request, proxy in self.pending.items() if proxy.name != name}

    def execute(self, name, outputs):
        for out in outputs:
            if isinstance(out, SendToRegistry):
                self.to_counter.append((name, out.message))
            elif isinstance(out, DeliverChargeAnswer):
                self.receive_verdict(name, out.answer)

    def send_charge(self, name):
        self.requests += 1
        request = f"request {self.requests}"
        self.pending[request] = self.proxies[name]
        self.execute(name, self.proxies[name].charge(self.now, ChargeTenant(request, "t", 1)))

    def receive_verdict(self, name, counted):
        assert self.pending.pop(counted.request, None) is self.proxies[name], "answer for a request that is not waiting"
        if counted.verdict == ALLOWED:
            self.admitted[counted.request] = self.counters, counted.window
        if counted.verdict != ALLOWED or self.rng.random() < 0.1:  # Rejected after its admission.
            self.admitted.pop(counted.request, None)
            self.refund(name, counted.request)

    def cancel_request(self):
        if self.pending:
            request = self.rng.choice(sorted(self.pending))
            name = self.pending.pop(request).name
            self.refund(name, request)

    def refund(self, name, request):
        for _ in range(self.rng.choice((1, 1, 2))):  # A duplicate refund by the caller must have no effect.
            self.execute(name, self.proxies[name].charge(self.now, ChargeTenant(request, "t", -1)))

    def send_heartbeat(self, name):
        proxy = self.proxies[name]
        self.to_counter.append((name, ProxyHeartbeat(proxy.incarnation, self.now, None)))

    def deliver_or_lose(self, in_flight):
        """Deliver or lose one of the messages in flight; some of the delivered ones stay in flight as duplicates."""
        if not in_flight:
            return None
        at = self.rng.choice((0, self.rng.randrange(len(in_flight))))
        fate = self.rng.random()
        message = in_flight[at] if fate < 0.15 else in_flight.pop(at)
        return None if fate > 0.93 else message

    def receive_at_counter(self, name, message):
        if isinstance(message, ProxyHeartbeat):
            self.table.counter.shares.record_heartbeat(self.now, name, message.incarnation, self.now)
            return
        result = self.table.receive(self.now, name, message)
        key = message.incarnation, message.number
        if message.amount < 0:
            if self.table.counter.shares.proxies[name].incarnation == message.incarnation:
                self.refunded.add(key)
        elif result is not None:
            first = self.answers.setdefault(key, result)
            assert (result.verdict, result.window) == (
                first.verdict,
                first.window,
            ), "a duplicate charge has a different answer"
            if result.verdict == ALLOWED:
                self.counted[key] = result.window
            self.to_proxy.append((name, result))

    def step(self):
        name = self.rng.choice(self.names)
        action = self.rng.random()
        if action < 0.2:
            self.send_charge(name)
        elif action < 0.26:
            self.send_heartbeat(name)
        elif action < 0.29:
            self.cancel_request()
        elif action < 0.66:
            if (delivered := self.deliver_or_lose(self.to_counter)) is not None:
                self.receive_at_counter(*delivered)
        elif action < 0.995:
            if (delivered := self.deliver_or_lose(self.to_proxy)) is not None:
                self.execute(
                    delivered[0], self.proxies[delivered[0]].receive_from_registry(self.now, "c", delivered[1])[0]
                )
        elif action < 0.998:
            self.restart(name)
        elif action < 0.9988:
            self.start_counter()
        self.now += 0.01 * self.rng.random()

    def check(self):
        window = self.table.counter.windows.get("t")
        if window is not None:
            charged = {key for key, number in self.counted.items() if number == window.number}
            assert window.count == len(charged - self.refunded)
        in_window = {}
        for key in self.admitted.values():
            in_window[key] = in_window.get(key, 0) + 1
        assert all(count <= ALLOWANCE for count in in_window.values())


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_each_charge_counts_once_and_admissions_stay_within_the_allowance(first):
    admitted = refunded = 0
    for seed in range(first, first + 10):
        simulation = Simulation(seed)
        for name in simulation.names:
            simulation.receive_at_counter(
                name, ProxyHeartbeat(simulation.proxies[name].incarnation, simulation.now, None)
            )
        for _ in range(1500):
            simulation.step()
            simulation.check()
        admitted += len(simulation.admitted)
        refunded += len(simulation.refunded)
    assert admitted > 100 and refunded > 100  # Guards against a run in which nothing happens.


def with_contact(table, name="p", incarnation="x", now=2.0):
    """Return the table after its counter has been in contact with a proxy for longer than a span."""
    at = now - 7.0
    while at < now:
        table.counter.shares.record_heartbeat(at, name, incarnation, at)
        at += 0.125
    table.counter.shares.record_heartbeat(now, name, incarnation, now)
    return table


def test_memory_is_bounded_and_an_evicted_charge_is_not_counted_again(monkeypatch):
    monkeypatch.setattr(charges, "MAX_RECORDED_CHARGES", 8)
    table = with_contact(counter_of(-10.0))
    table.counter.configure({"t": (100.0, 100.0)}, {})
    for number in range(1, 20):
        table.receive(2.0, "p", Charge("x", number, "t", 1, -1))
    count = table.counter.windows["t"].count
    assert count == 19 and len(table.senders["p"].charges) == 8
    assert table.receive(2.1, "p", Charge("x", 3, "t", 1, -1)) is None
    table.receive(2.1, "p", Charge("x", 3, "t", -1, -1))
    assert table.counter.windows["t"].count == count


def test_a_new_counter_refunds_no_charge_of_another_counter():
    table = with_contact(counter_of(-10.0))
    first = table.receive(2.0, "p", Charge("x", 1, "t", 1, -1))
    later = with_contact(counter_of(-10.0))
    for number in range(2, 6):
        later.receive(2.0, "p", Charge("x", number, "t", 1, -1))
    later.receive(2.1, "p", Charge("x", 1, "t", -1, first.window))  # Both counters use the same window numbers.
    assert later.counter.windows["t"].count == 4


def test_a_charge_that_arrives_after_its_refund_is_not_counted():
    table = with_contact(counter_of(-10.0))
    table.receive(2.0, "p", Charge("x", 2, "t", 1, -1))
    table.receive(2.0, "p", Charge("x", 1, "t", -1, -1))
    assert table.receive(2.0, "p", Charge("x", 1, "t", 1, -1)) is None
    assert table.counter.windows["t"].count == 1


def test_a_message_of_a_former_incarnation_neither_counts_nor_restores_it():
    table = with_contact(with_contact(counter_of(-10.0), incarnation="old"), incarnation="new")
    assert table.receive(2.0, "p", Charge("old", 1, "t", 1, -1)) is None
    assert not table.counter.shares.record_heartbeat(2.1, "p", "old", 2.1)
    assert table.receive(2.1, "p", Charge("new", 1, "t", 1, -1)).verdict == ALLOWED


@pytest.mark.parametrize("amount", [0.0, float("nan"), float("inf"), float("-inf")])
def test_an_invalid_amount_is_rejected(amount):
    with pytest.raises(UnexpectedMessageError):
        with_contact(counter_of(-10.0)).receive(2.0, "p", Charge("x", 1, "t", amount, -1))


def test_an_answer_for_an_earlier_incarnation_or_a_cancelled_request_is_dropped():
    proxy = proxy_of("p", "x", 5.0)
    proxy.counter = "c"
    proxy.charge(5.0, ChargeTenant("r1", "t", 1))
    proxy.charge(5.0, ChargeTenant("r2", "t", 1))
    assert proxy.receive_from_registry(5.1, "c", ChargeResult("w", 1, ALLOWED, 0.5, 3)) == ([], None)
    (back,) = proxy.charge(5.1, ChargeTenant("r1", "t", -1))
    assert back.message == Charge("x", 1, "t", -1, -1)
    assert proxy.charge(5.1, ChargeTenant("r1", "t", -1)) == []  # A charge is refunded only once.
    assert proxy.receive_from_registry(5.2, "c", ChargeResult("x", 1, ALLOWED, 0.5, 3)) == ([], None)
    (verdict,), _ = proxy.receive_from_registry(5.2, "c", ChargeResult("x", 2, ALLOWED, 0.5, 3))
    assert verdict.answer.request == "r2"
    assert proxy.receive_from_registry(5.2, "c", ChargeResult("x", 2, ALLOWED, 0.5, 3)) == ([], None)  # A duplicate.


def test_a_verdict_that_is_processed_too_late_admits_nothing():
    proxy = proxy_of("p", "x", 5.0)
    proxy.counter = "c"
    proxy.charge(5.0, ChargeTenant("r", "t", 1))
    (verdict,), _ = proxy.receive_from_registry(5.0 + ANSWER_MAX_AGE_S, "c", ChargeResult("x", 1, ALLOWED, 0.5, 3))
    assert verdict.answer.verdict == OVER_LIMIT and SHARE_DEDUCTION_START_S < ANSWER_MAX_AGE_S <= LOCAL_QUOTA_FROM_S


def test_an_echo_that_is_processed_too_late_does_not_change_the_counter():
    proxy = proxy_of("p", "x", 5.0)
    report = [out.message for out in proxy.tick(5.0, True) if isinstance(out, SendToRegistry)]
    assert [type(message) for message in report] == [ProxyStatusReport]
    proxy.receive_from_registry(5.2, "new", HeartbeatEcho("new/1", 5.0, 1.0, 0.1))
    proxy.receive_from_registry(5.2, "old", HeartbeatEcho("old/1", 4.9, 1.0, 0.2))
    assert proxy.counter == "new" and proxy.decisions.quota.share == 0.1
    proxy.receive_from_registry(9.0, "old", HeartbeatEcho("old/1", 5.1, 1.0, 0.2))
    assert proxy.counter == "new" and proxy.decisions.quota.echo == ("new/1", 1.0)


def reports_of(commands):
    return [c.message for c in commands if isinstance(c, SendToRegistry) and isinstance(c.message, AdmissionReport)]


def test_a_report_goes_to_a_new_counter_with_its_first_echo_and_again_until_it_is_acknowledged():
    proxy = proxy_of("p", "x", 5.0)
    commands, _ = proxy.receive_from_registry(5.2, "c", HeartbeatEcho("c/1#7", 5.1, 1.0, 0.1))
    assert [report.counter for report in reports_of(commands)] == ["c/1#7"]
    assert not reports_of(proxy.tick(5.3, True)) and len(reports_of(proxy.tick(5.6, True))) == 1
    proxy.receive_from_registry(5.7, "c", AdmissionReportAck("c/1#7"))
    assert not reports_of(proxy.tick(6.5, True))
    commands, _ = proxy.receive_from_registry(6.6, "c", HeartbeatEcho("c/1#7", 6.5, 1.0, 0.1))
    assert not reports_of(commands)
    commands, _ = proxy.receive_from_registry(
        6.7, "c", HeartbeatEcho("c/1#8", 6.6, 1.0, 0.1)
    )  # The same registry, later term.
    assert [report.counter for report in reports_of(commands)] == ["c/1#8"]


def test_a_charge_without_an_answer_is_sent_to_the_new_counter_under_another_number():
    proxy = proxy_of("p", "x", 5.0)
    proxy.counter = "c"
    proxy.charge(5.0, ChargeTenant("r", "t", 1))
    commands, _ = proxy.receive_from_registry(5.2, "d", HeartbeatEcho("d/1#2", 5.1, 1.0, 0.1))
    charges = [(c.ip, c.message.number) for c in commands if isinstance(getattr(c, "message", None), Charge)]
    assert charges == [("d", 2)]
    assert proxy.receive_from_registry(5.3, "c", ChargeResult("x", 1, ALLOWED, 0.5, 3)) == (
        [],
        None,
    )  # From the old counter.
    (verdict,), _ = proxy.receive_from_registry(5.3, "d", ChargeResult("x", 2, ALLOWED, 0.5, 3))
    assert verdict.answer.verdict == ALLOWED
