"""The limit on attempts out, as it follows latency."""

from __future__ import annotations

from tests.helpers import SAFE, UNSAFE, Ingress, only, some
from tests.policy.rig import finals
from thistleusher.core import events
from thistleusher.core.actions import Attempt, Log
from thistleusher.core.events import Outcome


def test_a_jam_from_the_start_is_not_taken_for_the_norm():
    # Latency measured in a jam became the base, and the limit never shrank.
    g = Ingress(backends=4)
    before = g.gw.fleet.slots
    for k in range(120):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=1.8)
    assert g.gw.fleet.base_latency["read"] <= 0.5 and g.gw.fleet.slots < before


def test_overload_recovers_once_answers_are_fast_again():
    # An early gate on latency once refused everything for good, as nothing was sent to unlearn it.
    g = Ingress(backends=4)
    g.gw.fleet.latency["read"] = 30.0
    g.gw.fleet.pressure = 10.0
    for k in range(300):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=0.1)
        g.beat(0.05)
    assert g.gw.fleet.pressure < 2.0
    assert some(g.ask(customer=999), Attempt)


def test_late_answer_of_a_client_that_left_teaches():
    g = Ingress(backends=1)
    a = only(g.ask(), Attempt)
    g.give(events.ClientGone("r1"))
    g.end(a, Outcome.TIMEOUT, elapsed=5.0, done=True)
    assert g.gw.fleet.pressure > 1.0 and g.gw.fleet.backends.outstanding == 0


def test_a_few_very_costly_requests_neither_shrink_the_limit_nor_eject():
    # One answer in twenty at thirty times the usual pulled the limit down and ejected half of the fleet.
    g = Ingress(backends=4)
    before, out = g.gw.fleet.slots, []
    for k in range(400):
        out += some(g.ask(customer=k), Attempt)
        while len(out) > 3:
            g.end(out.pop(0), elapsed=6.0 if k % 20 == 0 else 0.2)
    assert g.gw.fleet.slots >= before
    assert not some(g.log, Log)


def test_a_limit_below_one_slot_rests_between_attempts():
    # One attempt out at each of hundreds of ingresses is many at each backend, and nothing could go below it.
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.pressure, g.gw.fleet.slots = 4.0, 0.5
    g.end(only(g.ask("once"), Attempt), elapsed=1.0)
    assert not some(g.ask("once", customer=8), Attempt)
    assert g.gw.fleet.slots < 0.5 and g.gw.fleet.paused_until > g.now


def test_few_answers_each_say_more():
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.slots = before = 8.0
    for k in range(6):  # 3 s of late answers, two a second
        a = only(g.ask(customer=k), Attempt)
        g.now += 0.5
        g.end(a, elapsed=1.9)
    assert g.gw.fleet.slots < before / 1.5


def test_a_class_rejected_by_some_is_routed_round_them_and_shrinks_nothing():
    # 'full' for one class at half of the fleet was taken for a full fleet and shrank the limit.
    g = Ingress(backends=4, classes=(SAFE, UNSAFE), max_attempts=4)
    g.gw.fleet.slots = before = 6.0
    attempts = []
    for k in range(30):
        acts, n = g.ask("once", customer=k), 0
        while sent := some(acts, Attempt):
            out = Outcome.FULL if sent[0].backend in ("b0", "b1") else Outcome.OK
            acts, n = g.end(sent[0], out, n=n), n + 1
        attempts.append(n)
    assert sum(attempts[-10:]) <= 12 and g.gw.fleet.slots >= before


def test_full_is_not_retried_while_answers_are_late():
    # In a jam each 'full' went on to the next full backend, five attempts a request, and the jam stayed.
    g = Ingress(backends=4)
    g.gw.fleet.pressure = 4.0
    acts = g.end(only(g.ask(), Attempt), Outcome.FULL)
    assert not some(acts, Attempt) and len(finals(acts)) == 1
