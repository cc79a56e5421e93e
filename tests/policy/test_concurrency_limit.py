"""The concurrency limit on outstanding attempts, which follows latency."""

from __future__ import annotations

from tests.helpers import SAFE, UNSAFE, Ingress, only, some
from tests.policy.rig import finals
from thistleusher.core import events
from thistleusher.core.actions import Attempt, Log
from thistleusher.core.events import Outcome


def test_overload_from_the_start_is_not_learned_as_unloaded_latency():
    # Regression: latency measured under overload became the unloaded latency, so the limit never shrank.
    g = Ingress(backends=4)
    before = g.gw.fleet.slots
    for k in range(120):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=1.8)
    assert g.gw.fleet.base_latency["read"] <= 0.5 and g.gw.fleet.slots < before


def test_overload_recovers_once_answers_are_fast_again():
    # Regression: admission was limited by measured latency. Once it rejected all requests, no attempt could lower the
    # measured latency again.
    g = Ingress(backends=4)
    g.gw.fleet.latency["read"] = 30.0
    g.gw.fleet.pressure = 10.0
    for k in range(300):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=0.1)
        g.beat(0.05)
    assert g.gw.fleet.pressure < 2.0
    assert some(g.ask(customer=999), Attempt)


def test_late_answer_of_a_disconnected_client_updates_the_pressure():
    g = Ingress(backends=1)
    a = only(g.ask(), Attempt)
    g.give(events.ClientGone("r1"))
    g.end(a, Outcome.TIMEOUT, elapsed=5.0, done=True)
    assert g.gw.fleet.pressure > 1.0 and g.gw.fleet.backends.outstanding == 0


def test_a_few_very_costly_requests_neither_shrink_the_limit_nor_eject():
    # Regression: one answer in twenty at thirty times the typical latency lowered the limit and ejected half of the
    # backends.
    g = Ingress(backends=4)
    before, out = g.gw.fleet.slots, []
    for k in range(400):
        out += some(g.ask(customer=k), Attempt)
        while len(out) > 3:
            g.end(out.pop(0), elapsed=6.0 if k % 20 == 0 else 0.2)
    assert g.gw.fleet.slots >= before
    assert not some(g.log, Log)


def test_a_limit_below_one_slot_pauses_between_attempts():
    # Regression: the limit could not fall below one attempt per ingress, which overloads a backend that hundreds of
    # ingresses share.
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.pressure, g.gw.fleet.slots = 4.0, 0.5
    g.end(only(g.ask("once"), Attempt), elapsed=1.0)
    assert not some(g.ask("once", customer=8), Attempt)
    assert g.gw.fleet.slots < 0.5 and g.gw.fleet.paused_until > g.now


def test_rare_answers_weigh_more():
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.slots = before = 8.0
    for k in range(6):  # 3 s of late answers, two per second
        a = only(g.ask(customer=k), Attempt)
        g.now += 0.5
        g.end(a, elapsed=1.9)
    assert g.gw.fleet.slots < before / 1.5


def test_a_class_rejected_by_some_is_routed_round_them_and_shrinks_nothing():
    # Regression: if half of the backends answered 'full' for one class, this counted as overload and lowered the limit.
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
    # Regression: under overload each 'full' answer was retried at the next full backend, up to five attempts per
    # request, which prolonged the overload.
    g = Ingress(backends=4)
    g.gw.fleet.pressure = 4.0
    acts = g.end(only(g.ask(), Attempt), Outcome.FULL)
    assert not some(acts, Attempt) and len(finals(acts)) == 1
