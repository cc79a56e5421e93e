"""Slow start of cold backends."""

from __future__ import annotations

from tests.helpers import Ingress, some
from thistleusher.core import events
from thistleusher.core.actions import Attempt
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase


def test_cold_backend_gets_few_requests_from_its_start():
    g = Ingress(backends=4)
    g.give(events.ListUpdate(ListKind.CHANGE, 2, (BackendEntry("new", Phase.RUNNING, born=100.0),)))
    got, out = {}, []
    for k in range(200):  # 4 s
        for a in some(g.ask(customer=k), Attempt):
            got[a.backend] = got.get(a.backend, 0) + 1
            out.append(a)
        while len(out) > 20:
            g.end(out.pop(0))
        g.now += 0.02
    assert 0 < got["new"] <= 0.5 * got["b0"]


def test_rejected_requests_do_not_raise_what_a_cold_backend_may_take():
    # Regression: attempts answered 'full' counted in the rate of warm backends, so a cold backend was overloaded.
    g = Ingress(backends=4)
    for k in range(20):
        acts, n = g.ask(customer=k), 0
        while sent := some(acts, Attempt):
            acts, n = g.end(sent[0], Outcome.FULL, n=n), n + 1
    assert g.gw.fleet.rate == 0.0


def test_many_ingresses_together_fill_the_budget_of_a_cold_backend():
    # Regression: at the tiny rate of one ingress the token bucket never reached one token, so backends that were all
    # restarted by a deployment got no requests.
    first = 0
    for seed in range(200):
        g = Ingress(backends=4, seed=seed)
        g.gw.fleet.rate, g.gw.fleet.rate_at = 0.01, g.now
        g.give(
            events.ListUpdate(
                ListKind.CHANGE, 2, tuple(BackendEntry(f"b{i}", Phase.RUNNING, born=g.now) for i in range(4))
            )
        )
        g.now += 5.0
        first += bool(some(g.ask(), Attempt))
    # Expected tokens: 4 backends x 0.01 per second x 2.5 x 0.5 x mean ramp 0.6 x 5 s (at the current ramp value)
    assert 15 <= first <= 70
